/*
 * The choice of an upstream for one attempt: the lowest expected wait among a
 * random sample of this entry's subset, and those that hold the prompt's
 * prefix, that have capacity.
 */
#ifndef PISTACHIO_ROUTE_H
#define PISTACHIO_ROUTE_H

#include <glib.h>

#include "core/bundle.h"
#include "core/prefix_cache.h"
#include "core/upstreams.h"

typedef struct route_query {
	const target_t *target;
	priority_t priority;
	const char *avoid; /* VM of the attempt that failed, or NULL */
	uint64_t prefix; /* hash of the prompt's prefix; 0 if none */
	const prefix_cache_t *cache; /* borrowed */
	GRand *rand; /* borrowed */
	double sender_count; /* entries that send to one upstream, mean */
	pd_time_t now;
} route_query_t;

/* The result of route_choose(). */
typedef enum route_result {
	ROUTE_CHOSEN,
	ROUTE_ALL_BUSY, /* there is no capacity now */
	ROUTE_NONE /* no usable upstream serves the target */
} route_result_t;

typedef struct route_choice {
	upstream_t *upstream; /* borrowed from the table */
	char *reason; /* owned */
	char *passed_over; /* owned: ID=SCORE of the scored upstreams */
} route_choice_t;

route_result_t route_choose(upstreams_t *upstreams, const route_query_t *query,
			    route_choice_t *choice);
void route_choice_clear(route_choice_t *choice);

#endif
