/*
 * The policy of moving streams off a leaving VM: which ones, when, and where
 * to. Private to core/.
 */
#ifndef PISTACHIO_MOVE_H
#define PISTACHIO_MOVE_H

#include <stdbool.h>

#include "core/upstreams.h"
#include "ports/clock.h"

/* What setting up one token of context costs an engine, learned from starts. */
typedef struct move_costs {
	double recompute; /* microseconds a token */
	double transfer; /* import of a KV cache, microseconds a token */
} move_costs_t;

/* The progress of a stream. */
typedef struct move_stream {
	unsigned int remaining_tokens; /* that it may still generate */
	unsigned int context_tokens; /* prompt and generated text */
	pd_time_t token_gap; /* mean time between tokens */
} move_stream_t;

/* The criteria for the target of a move. */
typedef struct move_query {
	const char *avoid; /* VM to leave, or on which an attempt failed */
	pd_time_t now;
	const char *serves;
	bool imports_kv; /* the KV cache is imported */
	bool ignores_start_limit; /* CONCURRENT_STARTS_MAX does not apply */
	const char *zone; /* of this entry */
	const uint64_t *prefixes; /* of the prompt and the generated text */
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
