/*
 * The choice of an upstream for one attempt: the lowest expected wait among
 * those of this entry's subset that have a free slot.
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
	uint64_t prefix; /* of the prompt; 0 if it has none */
	const prefix_cache_t *cache; /* borrowed */
	GRand *rand; /* borrowed */
	double sender_count; /* entries that send to one upstream */
	pd_time_t now;
} route_query_t;

/* Why route_choose() found nothing. */
typedef enum route_result {
	ROUTE_CHOSEN,
	ROUTE_ALL_BUSY, /* waiting helps */
	ROUTE_NONE /* no usable upstream serves it */
} route_result_t;

typedef struct route_choice {
	upstream_t *upstream; /* borrowed from the table */
	char *reason; /* owned */
	char *passed_over; /* owned: upstream=score, best first found */
} route_choice_t;

route_result_t route_choose(upstreams_t *upstreams, const route_query_t *query,
			    route_choice_t *choice);
void route_choice_clear(route_choice_t *choice);

#endif
