/*
 * Assigns the slots of a service's upstreams to the requests of all gateways, in one
 * queue. It answers the load of a plain service with few slots before many gateways: each
 * of them sees a small part of the load, so upstreams that are chosen independently queue
 * at one while others idle, and reject what does not fit.
 * docs/design/slot-dispatch.md compares the alternatives.
 */
#ifndef PISTACHIO_SLOT_DISPATCH_H
#define PISTACHIO_SLOT_DISPATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "ports/clock.h"

#define SLOT_TRIED_MAX 8

/* A request of one gateway for a slot. */
typedef struct slot_request {
	const char *gateway; /* address of the one that asks */
	uint32_t number; /* unique at that gateway */
	int rank; /* 0 is the most urgent */
	uint32_t account; /* hash of its name; 0: none */
	double weight; /* share of the account when there are too few slots; above 0 */
	bool returned; /* its caller was told to come back, and did */
	pd_time_t goal; /* time left until the answer is late; negative: it is */
	pd_time_t time_left; /* until its deadline */
	uint32_t tried[SLOT_TRIED_MAX]; /* short ids of upstreams not to assign */
	unsigned int tried_count;
} slot_request_t;

/* An upstream whose slots are assigned. */
typedef struct slot_upstream {
	uint32_t short_id;
	unsigned int slots;
} slot_upstream_t;

typedef enum slot_answer_kind {
	SLOT_GRANTED,
	SLOT_QUEUED, /* the request waits */
	SLOT_REFUSED
} slot_answer_kind_t;

typedef struct slot_answer {
	slot_answer_kind_t kind;
	const char *gateway; /* that asked */
	uint32_t number;
	uint32_t short_id; /* of the upstream granted */
	pd_time_t retry_after; /* of a refusal: when a slot is expected */
} slot_answer_t;

/* Called while a request is handled; must not call the dispatcher. */
typedef void (*slot_answer_fn_t)(void *ctx, const slot_answer_t *answer);

/* Figures for metrics. */
typedef struct slot_stats {
	uint64_t granted;
	uint64_t refused;
	uint64_t waited; /* grants that were queued first */
	pd_time_t waiting_time; /* of these, summed */
	unsigned int queued; /* now */
} slot_stats_t;

typedef struct slot_dispatch slot_dispatch_t;

slot_dispatch_t *slot_dispatch_create(slot_answer_fn_t answer, void *ctx);
void slot_dispatch_destroy(slot_dispatch_t *dispatch);
void slot_dispatch_set_upstreams(slot_dispatch_t *dispatch,
				 const slot_upstream_t *upstreams,
				 unsigned int count);
void slot_dispatch_request(slot_dispatch_t *dispatch,
			   const slot_request_t *request, pd_time_t now);
void slot_dispatch_release(slot_dispatch_t *dispatch, const char *gateway,
			   uint32_t number, bool rejected, pd_time_t now);
void slot_dispatch_remove_gateway(slot_dispatch_t *dispatch,
				  const char *gateway, pd_time_t now);
void slot_dispatch_run(slot_dispatch_t *dispatch, pd_time_t now);
const slot_stats_t *slot_dispatch_stats(const slot_dispatch_t *dispatch);

#endif
