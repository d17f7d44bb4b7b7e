/*
 * Scores upstreams by the expected time to the first token, in milliseconds:
 * the work ahead, the prompt left to compute after the prefix cache, the zone,
 * and the risks. core/route-notes.md has the reasoning and the figures.
 */
#include "core/route.h"

#include <string.h>

#include "core/prefix.h"

#define CROSS_ZONE_MS 1.0 /* another zone: half a millisecond more each way */
#define RECENT_FAILURE_MS 500.0 /* an attempt failed there a moment ago */
#define RECENT_FAILURE_TIME (5 * PD_SEC)
#define RECLAIM_RISK_MS 10.0 /* urgent work on a VM that may vanish */
#define LOAD_MS 6.0 /* each request in the batch, by its prompt's work */
#define PREFILL_MS 150.0 /* computing a prefix that is not cached */
#define LOGGED_CANDIDATES_MAX \
	6 /* named in the log; more would hide the choice */
#define RANDOM_CHOICES \
	2 /* sampled at random, besides those that hold the prefix */
#define URGENT_RESERVE_DIVISOR 8 /* one slot in so many is for urgent work */
/*
 * When a burst begins, reports still call every engine empty for a second; were
 * all of it open, all entries would fill it at once. So each may use at most this
 * many times its fair share.
 */
#define FAIR_SHARE_FACTOR 2
#define BATCHING_SLOTS_MIN 8 /* slots; with fewer an engine hardly batches */

/* What one candidates over the subset found. */
typedef struct candidates {
	upstream_t *best;
	double best_score;
	unsigned int usable;
	unsigned int available; /* of them with room */
	double fair_share; /* slots that are this entry's by right */
	unsigned int running; /* attempts of this entry, all upstreams */
	GString *log_text;
	unsigned int log_count;
} candidates_t;

/*
 * Returns how many slots of the upstream work of that priority may fill. Urgent
 * work may go beyond the slots: an engine that honours priorities gives it the
 * next one that comes free, sooner than an entry hears of it. One that has
 * refused work for being full is not tried so again.
 */
static unsigned int route_slots_for_priority(const upstream_t *upstream,
					     priority_t priority)
{
	unsigned int slots = upstream->vm.slots;

	if (priority != PRIORITY_URGENT)
		return slots - slots / URGENT_RESERVE_DIVISOR;
	if (slots < BATCHING_SLOTS_MIN || upstream->refuses_when_full)
		return slots;
	return 2 * slots;
}

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

static bool route_serves(const upstream_t *upstream, const target_t *target)
{
	vm_role_t role = target->kind == TARGET_MODEL ? VM_MODEL : VM_SERVICE;

	return upstream->vm.role == role &&
	       !strcmp(upstream->vm.serves, target->name);
}

/*
 * Says whether the upstream has room for work of that priority from this entry:
 * within its fair share, or in what the other entries have left unused for some
 * time. By reports alone all entries would see the same room and fill it
 * together, seen under overload as engines with long queues of their own.
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
 * Draws which of the open upstreams, by their index in the candidates, compete. If
 * every entry took the best of all by reports that are a second old, they would
 * all load the same one until the next report; seen as engines taking turns at
 * long queues. Two choices at random spread the load nearly as well, and no two
 * entries draw the same.
 */
static void route_sample(GRand *rand, unsigned int available, unsigned int *sampled)
{
	for (int i = 0; i < RANDOM_CHOICES; i++)
		sampled[i] = (unsigned int)g_rand_int_range(rand, 0,
							    (gint32)available);
}

static bool route_is_sampled(const unsigned int *sampled, unsigned int index)
{
	for (int i = 0; i < RANDOM_CHOICES; i++) {
		if (sampled[i] == index)
			return true;
	}
	return false;
}

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

static void route_count_candidates(upstreams_t *upstreams,
				   const route_query_t *query,
				   candidates_t *candidates)
{
	LIST_FOR_EACH (it, upstreams_list(upstreams)) {
		upstream_t *upstream = LIST_ENTRY(it, upstream_t, node);

		if (!upstream->in_subset)
			break; /* the subset is in front */
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
 * Says whether the upstream probably holds the prompt's prefix: by its own
 * news, or because this entry sent such a prompt there a moment ago.
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
 * strings in CHOICE and frees them by route_choice_clear(); else CHOICE is
 * empty.
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
