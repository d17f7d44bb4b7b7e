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
typedef struct usage_expected {
	char *account;
	uint64_t count;
} usage_expected_t;

/* What one start has in flight, in the window that it is. */
typedef struct usage_flight {
	uint64_t incarnation_id; /* see usage_incarnation_id() */
	pd_time_t booted; /* time of day at which the steady clock of its VM was 0 */
	pd_time_t begun; /* by that clock, when the start began */
	pd_time_t told; /* by that clock, when this was so; later ones replace it */
	int64_t window;
	GArray *expected; /* usage_expected_t of the accounts with some in flight */
} usage_flight_t;

typedef void (*usage_flight_each_t)(void *ctx, const usage_flight_t *flight);

usage_flight_t *usage_flight_create(uint64_t incarnation_id);
void usage_flight_destroy(usage_flight_t *flight);
void usage_flight_add(usage_flight_t *flight, const char *account, uint64_t count);
usage_inflight_t *usage_inflight_create(void);
void usage_inflight_destroy(usage_inflight_t *inflight);
void usage_inflight_take(usage_inflight_t *inflight, usage_flight_t *flight);
const usage_flight_t *usage_inflight_find(const usage_inflight_t *inflight,
					  uint64_t incarnation_id);
void usage_inflight_each(const usage_inflight_t *inflight, int64_t from,
			 usage_flight_each_t each, void *ctx);
void usage_inflight_each_lost(const usage_inflight_t *inflight,
			      const usage_t *usage, int64_t window,
			      usage_each_t each, void *ctx);
void usage_inflight_discard(usage_inflight_t *inflight, int64_t before);

#endif
