/*
 * The requests that each start of a gateway has in flight: sent to an upstream, not
 * answered, and so not counted. Upstreams drop them when a process is killed, as its
 * connections close, but not when its VM loses power: they run them, and the usage of the
 * window has to name them. usage-notes.md has the argument.
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

/* What one start has in flight, in the window that it is. */
typedef struct inflight_snapshot {
	uint64_t incarnation_id; /* see usage_incarnation_id() */
	pd_time_t boot_time; /* time of day at which the steady clock of its VM was 0 */
	pd_time_t started_at; /* by that clock, when the start began */
	pd_time_t taken_at; /* by that clock, when this was so; later ones replace it */
	int64_t window;
	GArray *expected; /* inflight_expected_t of the accounts with some in flight */
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
