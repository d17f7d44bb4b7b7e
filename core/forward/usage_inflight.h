/*
 * The requests that each gateway incarnation has in flight: sent to an upstream, but not
 * answered and thus not counted yet. Upstreams cancel them when the gateway process is
 * killed, as its connections close, but not when its VM loses power. Then they run the
 * requests, so the usage of the window has to include them; see usage-notes.md.
 */
#ifndef PISTACHIO_USAGE_INFLIGHT_H
#define PISTACHIO_USAGE_INFLIGHT_H

#include "core/forward/usage.h"

typedef struct usage_inflight usage_inflight_t;

/* What an account's count would be if all its requests in flight were answered. */
typedef struct inflight_expected {
	char *account;
	uint64_t count;
} inflight_expected_t;

/* The requests that one incarnation has in flight, counted in the current window. */
typedef struct inflight_snapshot {
	uint64_t incarnation_id; /* see usage_incarnation_id() */
	pd_time_t boot_time; /* time of day at which the VM's steady clock was 0 */
	pd_time_t started_at; /* start of the incarnation, by the VM's steady clock */
	pd_time_t taken_at; /* by the VM's steady clock; a later snapshot replaces this */
	int64_t window;
	GArray *expected; /* inflight_expected_t of accounts with requests in flight */
} inflight_snapshot_t;

typedef void (*inflight_snapshot_each_t)(void *ctx,
					 const inflight_snapshot_t *snapshot);

inflight_snapshot_t *inflight_snapshot_create(uint64_t incarnation_id);
void inflight_snapshot_destroy(inflight_snapshot_t *snapshot);
void inflight_snapshot_add(inflight_snapshot_t *snapshot, const char *account,
			   uint64_t count);
usage_inflight_t *usage_inflight_create(void);
void usage_inflight_destroy(usage_inflight_t *inflight);
void usage_inflight_update(usage_inflight_t *inflight,
			   inflight_snapshot_t *snapshot);
const inflight_snapshot_t *usage_inflight_find(const usage_inflight_t *inflight,
					       uint64_t incarnation_id);
void usage_inflight_each(const usage_inflight_t *inflight, int64_t from,
			 inflight_snapshot_each_t each, void *ctx);
void usage_inflight_each_lost(const usage_inflight_t *inflight,
			      const usage_t *usage, int64_t window,
			      usage_each_t each, void *ctx);
void usage_inflight_discard(usage_inflight_t *inflight, int64_t before);

#endif
