/*
 * Quarantine of requests under which upstreams end: how many of them ended under each
 * request, over all attempts of its caller and all gateways. A request under which
 * QUARANTINE_ENDS ended is held: it gets no further upstream.
 */
#ifndef PISTACHIO_FORWARD_QUARANTINE_H
#define PISTACHIO_FORWARD_QUARANTINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ports/clock.h"

/* Upstreams that may end under one request. */
#define QUARANTINE_ENDS 2
/* Reports in one message. */
#define QUARANTINE_REPORTS_MAX 64

/* Ends that are remembered of one request, those included that were cleared. */
#define QUARANTINE_ENDS_KEPT 4

/* An upstream that ended under a request. */
typedef struct quarantine_end {
	uint32_t upstream; /* short id */
	bool cleared; /* an upstream has completed the request since */
	pd_time_t age;
} quarantine_end_t;

/* What is known of one request, as gateways send it to each other. */
typedef struct quarantine_report {
	uint64_t fingerprint; /* of the request */
	/* time since an attempt at it was last made or rejected */
	pd_time_t idle;
	unsigned int end_count;
	quarantine_end_t ends[QUARANTINE_ENDS_KEPT];
} quarantine_report_t;

typedef struct quarantine quarantine_t;

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
bool quarantine_has_unsent(const quarantine_t *quarantine);
unsigned int quarantine_take_unsent(quarantine_t *quarantine, bool all,
				    pd_time_t now, quarantine_report_t *reports);
unsigned int quarantine_list_held(const quarantine_t *quarantine, pd_time_t now,
				  quarantine_report_t *reports, unsigned int most);
unsigned int quarantine_held_count(const quarantine_t *quarantine);
uint64_t quarantine_holds(const quarantine_t *quarantine);
void quarantine_expire(quarantine_t *quarantine, pd_time_t now);

#endif
