/*
 * Scores upstreams by the expected time to the first token, in milliseconds:
 * the load, the part of the prompt that is not cached, the zone, and the risks.
 * core/route-notes.md has the reasoning and the measurements.
 */
#include "core/route.h"

#include <string.h>

#include "core/prefix.h"

#define CROSS_ZONE_MS 1.0 /* another zone: half a millisecond each way */
#define RECENT_FAILURE_MS 500.0 /* an attempt failed there recently */
#define RECENT_FAILURE_TIME (5 * PD_SEC) /* a failure counts this long */
#define RECLAIM_RISK_MS 10.0 /* urgent request on a reclaimable VM */
#define LOAD_MS 6.0 /* each request in the engine's batch, by its prefill */
#define PREFILL_MS 150.0 /* prefill of a prefix that is not cached */
#define LOGGED_CANDIDATES_MAX 6 /* more would obscure the choice in the log */
#define RANDOM_CHOICES 2 /* besides those that hold the prefix */
#define URGENT_RESERVE_DIVISOR 8 /* one slot in eight is for urgent requests */
/*
 * When a burst begins, reports still show every engine as empty for up to a
 * second; if all of that capacity could be used, all entries would fill it at
 * once. So each entry may use at most this many times its fair share.
 */
#define FAIR_SHARE_FACTOR 2
#define BATCHING_SLOTS_MIN 8 /* slots; an engine with fewer hardly batches */

/* The candidates among the subset, and the best of them. */
typedef struct candidates {
	upstream_t *best;
	double best_score;
	unsigned int usable;
	unsigned int available; /* usable ones with capacity */
	double fair_share; /* of this entry, in slots of all usable ones */
	unsigned int running; /* attempts of this entry on all of them */
	GString *log_text;
	unsigned int log_count;
} candidates_t;

/*
 * Returns how many slots of the upstream requests of that priority may use.
 * Urgent requests may exceed the number of slots: an engine that respects
 * priorities gives them the next free one, sooner than an entry learns of it.
 * An engine that has rejected an attempt as full is not overcommitted in this
 * way.
 */
static unsigned int route_slots_for_priority(const upstream_t *upstream,
					     priority_t priority)
{
	unsigned int slots = upstream->vm.slots;

	if (priority != PRIORITY_URGENT)
		return slots - slots / URGENT_RESERVE_DIVISOR;
	if (slots < BATCHING_SLOTS_MIN || upstream->rejects_when_full)
		return slots;
	return 2 * slots;
}

/*
 * Returns the expected time to the first token on the upstream, in
 * milliseconds.
 */
static double route_score(upstreams_t *upstreams, const upstream_t *upstream,
			  const route_query_t *query, bool cached)
{
	double score = upstream_load(upstream) * LOAD_MS;

	if (query->prefix && !cached)
		score += PREFILL_MS;
	if (strcmp(upstream->vm.zone, upstreams_zone(upstreams)))
		score += CROSS_ZONE_MS;
	if (upstream->failed_at &&
	    query->now - upstream->failed_at < RECENT_FAILURE_TIME)
		score += RECENT_FAILURE_MS;
	if (query->avoid && !strcmp(query->avoid, upstream->vm.id))
		score += RECENT_FAILURE_MS;
	if (query->priority == PRIORITY_URGENT && upstream->vm.reclaimable)
		score += RECLAIM_RISK_MS;
	return score;
}

/* Returns whether the upstream serves the target. */
static bool route_serves(const upstream_t *upstream, const target_t *target)
{
	vm_role_t role = target->kind == TARGET_MODEL ? VM_MODEL : VM_SERVICE;

	return upstream->vm.role == role &&
	       !strcmp(upstream->vm.serves, target->name);
}

/*
 * Returns whether the upstream has capacity for a request of that priority from
 * this entry: within its fair share, or in what the other entries have left
 * unused for some time. By reports alone all entries would see the same free
 * capacity and use it together; under overload that gives long queues inside
 * the engines.
 */
static bool route_has_capacity(const upstream_t *upstream,
			       const route_query_t *query,
			       const candidates_t *candidates)
{
	unsigned int slots = route_slots_for_priority(upstream, query->priority);

	if (!route_serves(upstream, query->target) || !upstream_is_usable(upstream))
		return false;
	if (candidates->running < candidates->fair_share &&
	    upstream->running < slots / query->sender_count)
		return true;
	return upstream->running <
		       MAX(FAIR_SHARE_FACTOR * slots / query->sender_count,
			   upstream->allowance) &&
	       upstream->running + upstream->others_load_peak + 1 <= slots;
}

/*
 * Samples RANDOM_CHOICES of the available upstreams, by their index. If each
 * entry took the best of all upstreams by reports that are up to a second old,
 * all would load the same one until the next report, and engines would
 * alternate between idle and long queues. Two random choices spread the load
 * nearly as well, and entries sample independently.
 */
static void route_sample(GRand *rand, unsigned int available, unsigned int *sampled)
{
	for (int i = 0; i < RANDOM_CHOICES; i++)
		sampled[i] = (unsigned int)g_rand_int_range(rand, 0,
							    (gint32)available);
}

/* Returns whether the upstream of that index was sampled. */
static bool route_is_sampled(const unsigned int *sampled, unsigned int index)
{
	for (int i = 0; i < RANDOM_CHOICES; i++) {
		if (sampled[i] == index)
			return true;
	}
	return false;
}

/* Adds a scored upstream; the one with the lowest score becomes the best. */
static void route_add_candidate(candidates_t *candidates, upstream_t *upstream,
				double score)
{
	if (candidates->log_count++ < LOGGED_CANDIDATES_MAX)
		g_string_append_printf(candidates->log_text, "%s%s=%.2f",
				       candidates->log_text->len ? "," : "",
				       upstream->vm.id, score);
	if (!candidates->best || score < candidates->best_score) {
		candidates->best = upstream;
		candidates->best_score = score;
	}
}

/* Counts the usable and available upstreams and this entry's fair share. */
static void route_count_candidates(upstreams_t *upstreams,
				   const route_query_t *query,
				   candidates_t *candidates)
{
	LIST_FOR_EACH (it, upstreams_list(upstreams)) {
		upstream_t *upstream = LIST_ENTRY(it, upstream_t, node);

		if (!upstream->in_subset)
			break; /* the subset is first in the list */
		if (!route_serves(upstream, query->target) ||
		    !upstream_is_usable(upstream))
			continue;
		candidates->usable++;
		candidates->running += upstream->running;
		candidates->fair_share +=
			route_slots_for_priority(upstream, query->priority) /
			query->sender_count;
	}
	LIST_FOR_EACH (it, upstreams_list(upstreams)) {
		const upstream_t *upstream = LIST_ENTRY(it, upstream_t, node);

		if (!upstream->in_subset)
			break;
		candidates->available +=
			route_has_capacity(upstream, query, candidates);
	}
}

/*
 * Returns whether the upstream probably has the prompt's prefix cached: by its
 * own cache events, or because this entry recently sent such a prompt there.
 */
static bool route_is_cached(const upstream_t *upstream, const route_query_t *query)
{
	if (!query->prefix)
		return false;
	return prefix_set_count_blocks(upstream->cached_prefixes,
				       &query->prefix, 1) ||
	       prefix_cache_contains(query->cache, upstream->vm.id,
				     query->prefix, query->now);
}

/* Scores the sampled upstreams and those that have the prefix cached. */
static void route_score_candidates(upstreams_t *upstreams,
				   const route_query_t *query,
				   candidates_t *candidates)
{
	unsigned int sampled[RANDOM_CHOICES];
	unsigned int index = 0;

	route_sample(query->rand, candidates->available, sampled);
	LIST_FOR_EACH (it, upstreams_list(upstreams)) {
		upstream_t *upstream = LIST_ENTRY(it, upstream_t, node);
		bool cached;

		if (!upstream->in_subset)
			break;
		if (!route_has_capacity(upstream, query, candidates))
			continue;
		cached = route_is_cached(upstream, query);
		if (cached || route_is_sampled(sampled, index))
			route_add_candidate(candidates, upstream,
					    route_score(upstreams, upstream,
							query, cached));
		index++;
	}
}

/*
 * Chooses an upstream for the query. On ROUTE_CHOSEN the caller owns the
 * strings in CHOICE and frees them with route_choice_clear(); otherwise CHOICE
 * is empty.
 */
route_result_t route_choose(upstreams_t *upstreams, const route_query_t *query,
			    route_choice_t *choice)
{
	candidates_t candidates = { 0 };

	memset(choice, 0, sizeof(*choice));
	route_count_candidates(upstreams, query, &candidates);
	if (!candidates.available)
		return candidates.usable ? ROUTE_ALL_BUSY : ROUTE_NONE;
	candidates.log_text = g_string_new(NULL);
	route_score_candidates(upstreams, query, &candidates);
	choice->upstream = candidates.best;
	choice->reason = g_strdup_printf("lowest score %.2f of %u usable",
					 candidates.best_score, candidates.usable);
	choice->passed_over = g_string_free(candidates.log_text, FALSE);
	return ROUTE_CHOSEN;
}

/* Frees the strings of CHOICE, not CHOICE itself. */
void route_choice_clear(route_choice_t *choice)
{
	g_clear_pointer(&choice->reason, g_free);
	g_clear_pointer(&choice->passed_over, g_free);
}
