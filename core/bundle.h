/*
 * The bundle: the configuration that operators sign and roll out. It contains
 * models, services, client accounts, priorities and the limits that apply to
 * all programs. A bundle is immutable once it is in force; a new one replaces
 * it.
 */
#ifndef PISTACHIO_BUNDLE_H
#define PISTACHIO_BUNDLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/error.h"
#include "ports/clock.h"

/* In the order in which queued requests are dispatched. */
typedef enum priority {
	PRIORITY_URGENT,
	PRIORITY_NORMAL,
	PRIORITY_BATCH,
	PRIORITIES
} priority_t;

/* What an upstream serves: a language model or a plain service. */
typedef enum target_kind { TARGET_MODEL, TARGET_SERVICE } target_kind_t;

typedef struct target {
	target_kind_t kind;
	char *name;
	priority_t priority;
	bool repeatable; /* always true for a model */
	bool checks_fencing; /* the upstream rejects an old fencing token */
	pd_time_t timeout; /* maximum time for a complete answer */
	unsigned int workers; /* VMs to keep; 0: not managed by the placer */
	unsigned int most_workers; /* upper limit by demand; 0: fixed number */
	char *machine_class; /* of those VMs */
} target_t;

typedef struct account {
	char *name;
	char *key_hash; /* BLAKE2b-256 of the key, lower-case hex */
	double requests_per_second;
	double burst;
	bool has_priority; /* false: its requests have the target's */
	priority_t priority;
	GPtrArray *allowed; /* names of targets, of char * */
} account_t;

typedef struct bundle {
	uint64_t generation; /* increases with each rollout, from 1 */
	char *name;
	GHashTable *targets; /* name -> target_t */
	GHashTable *accounts; /* key hash -> account_t */
	pd_time_t first_token_target;
	pd_time_t token_gap_target;
	pd_time_t drain_bound;
	pd_time_t claim_retention;
	unsigned int queue_limit; /* queued requests per priority and entry */
	unsigned int reclaimable_percent; /* maximum share of VMs */
	unsigned int spare_zones; /* zones whose loss must be tolerated */
	unsigned int headroom_percent; /* slots to keep above the demand */
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
