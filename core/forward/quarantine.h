/*
 * Quarantine of requests under which upstreams end, and of parts of prompts: how many
 * upstreams ended under each, over all attempts of all callers and all gateways. One under
 * which QUARANTINE_ENDS ended, or QUARANTINE_PART_ENDS for a part, is held: no request of
 * that kind gets a further upstream. Requests and parts are told apart by their keys.
 */
#ifndef PISTACHIO_FORWARD_QUARANTINE_H
#define PISTACHIO_FORWARD_QUARANTINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/forward/call.h"
#include "ports/clock.h"

/* Upstreams that may end under one request. */
#define QUARANTINE_ENDS 2
/* The same under requests with one part in their prompts; many share it. */
#define QUARANTINE_PART_ENDS 3
/* Reports in one message. */
#define QUARANTINE_REPORTS_MAX 64

/* Ends that are remembered of a request or part, those included that were cleared. */
#define QUARANTINE_ENDS_KEPT 8

/* What an upstream may have ended under: the request first, then parts of its prompt. */
typedef struct quarantine_suspects {
	uint64_t keys[PROMPT_PARTS_MAX];
	unsigned int count;
} quarantine_suspects_t;

/* An upstream that ended under a request. */
typedef struct quarantine_end {
	uint32_t upstream; /* short id */
	bool cleared; /* an upstream has completed the request since */
	pd_time_t age;
} quarantine_end_t;

/* What is known of one request or part, as gateways send it to each other. */
typedef struct quarantine_report {
	uint64_t fingerprint; /* the key of the request or part */
	/* time since an attempt at it was last made or rejected */
	pd_time_t idle;
	unsigned int end_count;
	quarantine_end_t ends[QUARANTINE_ENDS_KEPT];
} quarantine_report_t;

typedef struct quarantine quarantine_t;

uint64_t quarantine_part_key(uint64_t part_id);
bool quarantine_is_part(uint64_t key);
void quarantine_find_suspects(const forward_call_t *call, uint64_t fingerprint,
			      quarantine_suspects_t *suspects);
quarantine_t *quarantine_create(void);
void quarantine_destroy(quarantine_t *quarantine);
void quarantine_record_end(quarantine_t *quarantine, uint64_t fingerprint,
			   uint32_t upstream, pd_time_t now);
void quarantine_record_success(quarantine_t *quarantine, uint64_t fingerprint,
			       pd_time_t now);
void quarantine_merge(quarantine_t *quarantine, const quarantine_report_t *report,
		      bool forward, pd_time_t now);
bool quarantine_is_suspect(const quarantine_t *quarantine, uint64_t fingerprint);
bool quarantine_is_held(const quarantine_t *quarantine, uint64_t fingerprint);
pd_time_t quarantine_record_attempt(quarantine_t *quarantine,
				    uint64_t fingerprint, pd_time_t now);
bool quarantine_rejects(const quarantine_t *quarantine,
			const quarantine_suspects_t *suspects);
bool quarantine_has_unsent(const quarantine_t *quarantine);
unsigned int quarantine_take_unsent(quarantine_t *quarantine, bool all,
				    pd_time_t now, quarantine_report_t *reports);
unsigned int quarantine_list_held(const quarantine_t *quarantine, pd_time_t now,
				  quarantine_report_t *reports, unsigned int most);
unsigned int quarantine_held_count(const quarantine_t *quarantine);
uint64_t quarantine_holds(const quarantine_t *quarantine);
void quarantine_expire(quarantine_t *quarantine, pd_time_t now);

#endif
