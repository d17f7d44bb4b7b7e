/* The choice of an upstream for a request. */
#ifndef PISTACHIO_FORWARD_CHOICE_H
#define PISTACHIO_FORWARD_CHOICE_H

#include "core/forward/upstreams.h"

#define FORWARD_TRIED_MAX 8

/* What a request asks of an upstream. */
typedef struct forward_criteria {
	const char *service;
	const char *zone; /* of this entry */
	const forward_call_t *call;
	bool has_prompt;
	double overcommit; /* of the slots, that may be used; 1: all */
	unsigned int connections_max; /* of this entry at one upstream; 0: any */
	unsigned int sample_size; /* upstreams to compare, at random; 0: all */
	GRand *random;
	const char *tried[FORWARD_TRIED_MAX]; /* ids to leave out */
	unsigned int tried_count;
} forward_criteria_t;

/* What was chosen. */
typedef struct forward_pick {
	forward_upstream_t *upstream; /* borrowed; NULL: none */
	double uncached_tokens; /* tokens of the call's prompt that it has still to read */
} forward_pick_t;

typedef enum forward_choice {
	FORWARD_CHOSEN,
	FORWARD_ALL_FULL,
	FORWARD_NONE_LEFT /* none serves, or all were tried */
} forward_choice_t;

forward_choice_t forward_upstreams_choose(forward_upstreams_t *set,
					  const forward_criteria_t *criteria,
					  pd_time_t now, forward_pick_t *pick);

#endif
