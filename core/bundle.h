/*
 * The bundle: what operators sign and roll out. It names models, services,
 * client accounts, priorities and the limits that all programs go by. A bundle
 * does not change once it is in force; a new one takes its place.
 */
#ifndef PISTACHIO_BUNDLE_H
#define PISTACHIO_BUNDLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/error.h"
#include "ports/clock.h"

/* In the order in which waiting work is taken. */
typedef enum priority {
	PRIORITY_URGENT,
	PRIORITY_NORMAL,
	PRIORITY_BATCH,
	PRIORITIES
} priority_t;

/* What an upstream kind serves: a language model or a plain service. */
typedef enum target_kind { TARGET_MODEL, TARGET_SERVICE } target_kind_t;

typedef struct target {
	target_kind_t kind;
	char *name;
	priority_t priority;
	bool repeatable; /* always true for a model */
	bool checks_fencing; /* the upstream refuses an old fencing number */
	pd_time_t timeout; /* the longest wait for a whole answer */
	unsigned int workers; /* VMs to keep; 0: not placed by the system */
	unsigned int most_workers; /* VMs at most, by demand; 0: no more */
	char *machine_class; /* of those VMs */
} target_t;

typedef struct account {
	char *name;
	char *key_hash; /* lower-case hex of the key's BLAKE2b-256 */
	double requests_per_second;
	double burst;
	bool has_priority; /* else its requests have their target's */
	priority_t priority;
	GPtrArray *allowed; /* of char *, names of targets */
} account_t;

typedef struct bundle {
	uint64_t generation; /* grows with each rollout, starts at 1 */
	char *name;
	GHashTable *targets; /* name -> target_t */
	GHashTable *accounts; /* key hash -> account_t */
	pd_time_t first_token_target;
	pd_time_t token_gap_target;
	pd_time_t drain_bound;
	pd_time_t claim_retention;
	unsigned int queue_limit; /* waiting requests per priority, an entry */
	unsigned int reclaimable_percent; /* per cent of VMs, at most */
	unsigned int spare_zones; /* zones whose loss must not hurt */
	unsigned int headroom_percent; /* per cent of slots kept above demand */
} bundle_t;

bundle_t *bundle_create(void);
void bundle_destroy(bundle_t *bundle);
target_t *bundle_add_target(bundle_t *bundle, target_kind_t kind, const char *name);
account_t *bundle_add_account(bundle_t *bundle, const char *name,
			      const char *key_hash);
const target_t *bundle_target(const bundle_t *bundle, const char *name);
const account_t *bundle_account(const bundle_t *bundle, const char *key_hash);
bool account_allows(const account_t *account, const char *target);
const char *priority_name(priority_t priority);
int priority_parse(const char *name, priority_t *priority);

#endif
