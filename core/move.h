/*
 * Which streams leave a VM that was told to leave, when, and where to. Private
 * to core/.
 */
#ifndef PISTACHIO_MOVE_H
#define PISTACHIO_MOVE_H

#include <stdbool.h>

#include "core/upstreams.h"
#include "ports/clock.h"

/* What setting up one token costs an engine; learnt from how starts went. */
typedef struct move_costs {
	double recompute; /* microseconds a token */
	double transfer; /* microseconds a token, of an imported KV cache */
} move_costs_t;

/* How far a stream is, as the policy sees it. */
typedef struct move_stream {
	unsigned int remaining_tokens; /* tokens it may still generate */
	unsigned int context_tokens; /* tokens computed for it so far, with the prompt */
	pd_time_t token_gap; /* between its tokens */
} move_stream_t;

/* What is looked for in a target. */
typedef struct move_query {
	const char *avoid; /* VM that is left, or on which an attempt broke */
	pd_time_t now;
	const char *serves;
	bool imports_kv; /* the KV cache comes along */
	bool ignores_start_limit; /* the pace of moves no longer matters */
	const char *zone; /* of this entry */
	const uint64_t *prefixes; /* of the prompt and the text so far */
	size_t prefix_count;
	unsigned int context_tokens;
} move_query_t;

void move_costs_init(move_costs_t *costs);
void move_costs_record_start(move_costs_t *costs, bool imported,
			     unsigned int tokens, pd_time_t elapsed);
bool move_stream_will_finish(const move_stream_t *stream, pd_time_t time_left);
bool move_is_due(pd_time_t time_left);
bool move_should_import(const move_costs_t *costs, const move_stream_t *stream,
			unsigned int cached, pd_time_t time_left);
bool move_has_start_capacity(const upstream_t *upstream);
upstream_t *move_choose(upstreams_t *upstreams, const move_costs_t *costs,
			const move_query_t *query);

#endif
