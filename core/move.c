/*
 * The policy of moves. A stream that will finish in the remaining time stays,
 * because moving it would cost a prefill for nothing. The others move as soon
 * as the notice arrives, a few at a time, so that no target has to set up many
 * of them at once.
 */
#include "core/move.h"

#include <string.h>

#include "core/prefix.h"

#define RECOMPUTE_COST_INITIAL \
	300.0 /* microseconds a token, before any start */
#define TRANSFER_COST_INITIAL 30.0
#define EWMA_WEIGHT 0.2 /* of the latest start */
#define SAMPLE_TOKENS_MIN 16 /* with fewer, network latency dominates */
/* Factor on the remaining time of a stream, which may become slower. */
#define FINISH_MARGIN_NUM 5
#define FINISH_MARGIN_DEN 4
/* Time before the VM goes at which a stream must move at the latest. */
#define MOVE_RESERVE (1 * PD_SEC)
/* A KV export must finish this long before the VM goes. */
#define EXPORT_RESERVE (100 * PD_MSEC)
/*
 * After a notice all streams of a VM, and in a wave those of a whole zone, look
 * for a new upstream at the same time. If all went to the best target, each
 * would wait for the prefill of the others there, and streams that already run
 * there would stall. So this entry sets up at most this many at once on one
 * target.
 */
#define CONCURRENT_STARTS_MAX 2
#define CROSS_ZONE_COST 1000.0 /* microseconds */
/*
 * An upstream that recently rejected or failed an attempt looks idle, and by
 * its load each stream that moves would try it first.
 */
#define RECENT_FAILURE_COST 10e6 /* microseconds */
#define RECENT_FAILURE_TIME (5 * PD_SEC) /* a failure counts this long */

/* Sets the initial costs, before any start was seen. */
void move_costs_init(move_costs_t *costs)
{
	costs->recompute = RECOMPUTE_COST_INITIAL;
	costs->transfer = TRANSFER_COST_INITIAL;
}

/*
 * Updates the costs from a start that set up TOKENS tokens in ELAPSED, by a KV
 * import if IMPORTED.
 */
void move_costs_record_start(move_costs_t *costs, bool imported,
			     unsigned int tokens, pd_time_t elapsed)
{
	double *cost = imported ? &costs->transfer : &costs->recompute;

	if (tokens < SAMPLE_TOKENS_MIN)
		return;
	*cost += EWMA_WEIGHT * ((double)elapsed / tokens - *cost);
}

/* Returns whether the stream will finish before the VM goes. */
bool move_stream_will_finish(const move_stream_t *stream, pd_time_t time_left)
{
	pd_time_t needed = (pd_time_t)stream->remaining_tokens * stream->token_gap *
			   FINISH_MARGIN_NUM / FINISH_MARGIN_DEN;

	return needed <= time_left;
}

/*
 * Returns whether a stream must move now, regardless of CONCURRENT_STARTS_MAX.
 */
bool move_is_due(pd_time_t time_left)
{
	return time_left <= MOVE_RESERVE;
}

/*
 * Returns whether the KV cache should be imported: the export finishes in time,
 * and is quicker than recomputing the part that the target, with CACHED tokens
 * of it, lacks.
 */
bool move_should_import(const move_costs_t *costs, const move_stream_t *stream,
			unsigned int cached, pd_time_t time_left)
{
	unsigned int uncached =
		stream->context_tokens - MIN(cached, stream->context_tokens);
	double export = stream->context_tokens * costs->transfer;

	return export < uncached * costs->recompute &&
	       export <= (double)(time_left - EXPORT_RESERVE);
}

/* Returns how many tokens the upstream must compute for the stream. */
static unsigned int move_uncached_tokens(const upstream_t *upstream,
					 const move_query_t *query)
{
	unsigned int cached;

	if (query->imports_kv)
		return 0;
	cached = upstream_cached_tokens(upstream, query->prefixes,
					query->prefix_count);
	return query->context_tokens - MIN(cached, query->context_tokens);
}

/*
 * Returns the estimated time until the stream continues on the upstream, in
 * microseconds.
 */
static double move_cost(const move_costs_t *costs, const upstream_t *upstream,
			const move_query_t *query)
{
	double setup = move_uncached_tokens(upstream, query) * costs->recompute;
	double load = (double)upstream_load(upstream) / MAX(upstream->vm.slots, 1);
	double cost;

	if (query->imports_kv)
		setup = query->context_tokens * costs->transfer;
	/* A full engine takes about twice as long as an idle one. */
	cost = setup * (1.0 + upstream->starting) * (1.0 + load);
	cost += load * CROSS_ZONE_COST;
	if (strcmp(upstream->vm.zone, query->zone) != 0)
		cost += CROSS_ZONE_COST;
	if (upstream->failed_at &&
	    query->now - upstream->failed_at < RECENT_FAILURE_TIME)
		cost += RECENT_FAILURE_COST;
	return cost;
}

/* Returns whether this entry may start another stream on the upstream. */
bool move_has_start_capacity(const upstream_t *upstream)
{
	return upstream->starting < CONCURRENT_STARTS_MAX;
}

/* Returns whether the upstream can take the stream now. */
static bool move_is_candidate(const upstream_t *upstream, const move_query_t *query)
{
	if (upstream->vm.role != VM_MODEL || !upstream_is_usable(upstream) ||
	    strcmp(upstream->vm.serves, query->serves) != 0)
		return false;
	if (query->avoid && !strcmp(upstream->vm.id, query->avoid))
		return false;
	if (upstream_load(upstream) >= upstream->vm.slots)
		return false;
	return query->ignores_start_limit || move_has_start_capacity(upstream);
}

/*
 * Returns the upstream on which the stream continues soonest, borrowed, or NULL
 * if none can take it now.
 */
upstream_t *move_choose(upstreams_t *upstreams, const move_costs_t *costs,
			const move_query_t *query)
{
	upstream_t *best = NULL;
	double best_cost = 0;

	LIST_FOR_EACH (it, upstreams_list(upstreams)) {
		upstream_t *upstream = LIST_ENTRY(it, upstream_t, node);
		double cost;

		if (!move_is_candidate(upstream, query))
			continue;
		cost = move_cost(costs, upstream, query);
		if (!best || cost < best_cost) {
			best = upstream;
			best_cost = cost;
		}
	}
	return best;
}
