/* Chooses an upstream for a request. */
#ifndef PISTACHIO_FORWARD_CHOICE_H
#define PISTACHIO_FORWARD_CHOICE_H

#include "core/forward/upstream_limits.h"
#include "core/forward/upstreams.h"

#define FORWARD_TRIED_MAX 8

/* What a request requires of an upstream. */
typedef struct forward_criteria {
	const char *service;
	const char *zone; /* of this gateway */
	const forward_call_t *call;
	bool has_prompt;
	double overcommit; /* part of the slots that may be used; 1: all */
	/* of this gateway to one upstream; 0: no limit */
	unsigned int connections_max;
	uint64_t version_id; /* of the upstreams to choose from; 0: any */
	uint64_t excluded_version_id; /* of upstreams not to choose; 0: none */
	/* part of the upstreams of VERSION_ID to choose from, the same everywhere */
	double upstreams_part; /* 0 or 1: all */
	/* rate limits of upstreams; NULL: none has one */
	const upstream_limits_t *limits;
	/* upstreams to compare at random; 0: compare all */
	unsigned int sample_size;
	GRand *random;
	/* ids of upstreams not to choose */
	const char *tried[FORWARD_TRIED_MAX];
	unsigned int tried_count;
} forward_criteria_t;

/* The result of a choice. */
typedef struct forward_pick {
	forward_upstream_t *upstream; /* borrowed; NULL: none */
	/* tokens of the call's prompt that it has to process */
	double uncached_tokens;
	pd_time_t rest_until; /* if all rest: when the first one is back */
} forward_pick_t;

typedef enum forward_choice {
	FORWARD_CHOSEN,
	FORWARD_ALL_FULL,
	FORWARD_ALL_LIMITED, /* all that could be used need a permit first */
	FORWARD_ALL_RESTING, /* all that could be used asked for a rest */
	FORWARD_NONE_LEFT /* no upstream serves, or all were tried */
} forward_choice_t;

forward_choice_t forward_upstreams_choose(forward_upstreams_t *set,
					  const forward_criteria_t *criteria,
					  pd_time_t now, forward_pick_t *pick);

#endif
