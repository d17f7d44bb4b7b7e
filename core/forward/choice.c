/* Which upstream gets a request; upstreams-notes.md weighs the ways. */
#include "core/forward/choice.h"

#include <string.h>

#include "core/forward/engine_cost.h"
#include "core/hash.h"

/* An upstream other_zone costs bytes between zones and 0.5 ms each way. */
#define CROSS_ZONE_PENALTY_SLOTS 0.15
#define CROSS_ZONE_PENALTY (400 * PD_USEC)

static bool is_tried(const forward_criteria_t *criteria, const char *id)
{
	for (unsigned int i = 0; i < criteria->tried_count; i++) {
		if (!strcmp(criteria->tried[i], id))
			return true;
	}
	return false;
}

/* Returns the part that requests about the same prefix share; 0: none. */
static uint64_t shared_prefix_of(const forward_call_t *call)
{
	/* The last part is the request's own. */
	if (call->part_count < 2)
		return 0;
	return call->parts[call->part_count - 2].id;
}

/* The upstreams that a prefix's requests go to first, borrowed; NULL: none. */
typedef struct preferred {
	forward_upstream_t *first;
	forward_upstream_t *second; /* only where a choice compares a few */
} preferred_t;

/*
 * All entries give a prefix the same first upstreams without talking about it:
 * those for which the hash of both is highest. Only they need to read what the
 * prefix's requests share. Where loads of others are known late, as a choice that
 * compares a few supposes, one is at times loaded before anybody hears of it; the
 * second then has the shared parts as well.
 */
static preferred_t find_preferred(const GPtrArray *serving,
				  const forward_criteria_t *criteria)
{
	preferred_t preferred = { 0 };
	uint64_t prefix = shared_prefix_of(criteria->call);
	uint64_t best_score = 0;
	uint64_t second_score = 0;

	if (!criteria->has_prompt || !prefix)
		return preferred;
	for (guint i = 0; i < serving->len; i++) {
		forward_upstream_t *upstream = g_ptr_array_index(serving, i);
		uint64_t score = hash_number(prefix ^ upstream->id_hash);

		if (!preferred.first || score > best_score) {
			preferred.second = preferred.first;
			second_score = best_score;
			preferred.first = upstream;
			best_score = score;
		} else if (!preferred.second || score > second_score) {
			preferred.second = upstream;
			second_score = score;
		}
	}
	if (!criteria->sample_size)
		preferred.second = NULL;
	return preferred;
}

/* An upstream that may be chosen. */
typedef struct candidate {
	forward_upstream_t *upstream; /* NULL: none yet */
	bool in_backoff;
	double uncached_tokens; /* of the call's prompt, there */
	double cost;
} candidate_t;

/* A choice in progress; the upstreams are borrowed. */
typedef struct search {
	const forward_criteria_t *criteria;
	const GPtrArray *serving;
	preferred_t preferred;
	double prefill_rate; /* prompt tokens that an engine reads in a second */
	pd_time_t now;
	candidate_t best; /* so far */
	bool any_untried; /* one was not tried yet, full or not */
} search_t;

/*
 * Returns what an upstream has still to read of a call's prompt, by what all
 * entries send there: a prefix's first upstreams have read what its requests
 * share, whoever sent them. By an entry's own requests alone, nine entries took
 * the work for twice of what it was, and ordered as many engines.
 */
static double uncached_tokens_at(const search_t *search,
				 const forward_upstream_t *upstream)
{
	const forward_call_t *call = search->criteria->call;
	const preferred_t *preferred = &search->preferred;
	double uncached_tokens =
		forward_upstream_uncached_tokens(upstream, call, search->now);

	if (upstream == preferred->first || upstream == preferred->second)
		return MIN(uncached_tokens,
			   MAX(call->prompt_tokens - forward_call_shared(call), 0));
	return uncached_tokens;
}

/*
 * What sending a call to an engine would cost it and its others, in prompt
 * tokens: what it has to read before, what it would have to read for this one,
 * and the slowing by what runs.
 */
static double engine_cost(const search_t *search,
			  const forward_upstream_t *upstream,
			  double uncached_tokens, bool other_zone)
{
	return forward_upstream_prefill_tokens(upstream) + uncached_tokens +
	       forward_upstream_running(upstream) *
		       engine_tokens(search->prefill_rate, ENGINE_RUNNING_TIME) +
	       (other_zone ? engine_tokens(search->prefill_rate, CROSS_ZONE_PENALTY)
			   : 0);
}

static double plain_cost(const forward_upstream_t *upstream, bool other_zone)
{
	return (double)forward_upstream_running(upstream) /
		       MAX(upstream->slots, 1) +
	       (other_zone ? CROSS_ZONE_PENALTY_SLOTS : 0);
}

static candidate_t make_candidate(const search_t *search,
				  forward_upstream_t *upstream)
{
	const forward_criteria_t *criteria = search->criteria;
	bool other_zone = strcmp(upstream->zone, criteria->zone) != 0;
	candidate_t candidate = {
		.upstream = upstream,
		.in_backoff = forward_upstream_in_backoff(upstream, search->now),
	};

	if (criteria->has_prompt) {
		candidate.uncached_tokens = uncached_tokens_at(search, upstream);
		candidate.cost = engine_cost(search, upstream,
					     candidate.uncached_tokens,
					     other_zone);
	} else {
		candidate.cost = plain_cost(upstream, other_zone);
	}
	return candidate;
}

static bool is_full(const forward_upstream_t *upstream,
		    const forward_criteria_t *criteria, pd_time_t now)
{
	if (now < upstream->full_until)
		return true;
	if (criteria->connections_max &&
	    upstream->running >= criteria->connections_max)
		return true;
	return forward_upstream_running(upstream) >=
	       upstream->slots * criteria->overcommit;
}

static bool is_better(const candidate_t *candidate, const candidate_t *best)
{
	if (!best->upstream)
		return true;
	if (candidate->in_backoff != best->in_backoff)
		return !candidate->in_backoff;
	return candidate->cost < best->cost;
}

/* Offers an upstream. Says whether it could be chosen. */
static bool consider(search_t *search, forward_upstream_t *upstream)
{
	const forward_criteria_t *criteria = search->criteria;
	candidate_t candidate;

	if (is_tried(criteria, upstream->id))
		return false;
	search->any_untried = true;
	if (is_full(upstream, criteria, search->now))
		return false;
	candidate = make_candidate(search, upstream);
	if (is_better(&candidate, &search->best))
		search->best = candidate;
	return true;
}

/*
 * Offers the first upstream from a random place on that can be chosen. False if
 * none can.
 */
static bool consider_random(search_t *search)
{
	const GPtrArray *serving = search->serving;
	guint from = (guint)g_rand_int_range(search->criteria->random, 0,
					     (gint32)serving->len);

	for (guint i = 0; i < serving->len; i++) {
		guint at = (from + i) % serving->len;

		if (consider(search, g_ptr_array_index(serving, at)))
			return true;
	}
	return false;
}

static void consider_sample(search_t *search)
{
	for (unsigned int i = 0; i < search->criteria->sample_size; i++) {
		if (!consider_random(search))
			return;
	}
	if (search->preferred.first)
		consider(search, search->preferred.first);
	if (search->preferred.second)
		consider(search, search->preferred.second);
}

static void consider_all(search_t *search)
{
	for (guint i = 0; i < search->serving->len; i++)
		consider(search, g_ptr_array_index(search->serving, i));
}

/*
 * Picks the upstream with the least cost. Those that failed lately are taken
 * only if there is no other. Many entries that hear of each other late would
 * all pick the same one; compared with a few at random, they spread, and a
 * choice costs the same before ten upstreams and before a thousand.
 */
forward_choice_t forward_upstreams_choose(forward_upstreams_t *set,
					  const forward_criteria_t *criteria,
					  pd_time_t now, forward_pick_t *pick)
{
	search_t search = {
		.criteria = criteria,
		.serving = forward_upstreams_serving(set, criteria->service),
		.prefill_rate = engine_speeds_rate(forward_upstreams_speeds(set),
						   criteria->service),
		.now = now,
	};

	*pick = (forward_pick_t){ 0 };
	if (!search.serving || !search.serving->len)
		return FORWARD_NONE_LEFT;
	search.preferred = find_preferred(search.serving, criteria);
	if (criteria->sample_size)
		consider_sample(&search);
	else
		consider_all(&search);
	pick->upstream = search.best.upstream;
	pick->uncached_tokens = search.best.uncached_tokens;
	if (pick->upstream)
		return FORWARD_CHOSEN;
	return search.any_untried ? FORWARD_ALL_FULL : FORWARD_NONE_LEFT;
}
