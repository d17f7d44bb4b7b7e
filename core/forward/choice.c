/*
 * Chooses an upstream for a request; upstreams-notes.md compares the methods.
 */
#include "core/forward/choice.h"

#include <math.h>
#include <string.h>

#include "core/forward/engine_cost.h"
#include "core/hash.h"

/*
 * Cost of an upstream in another zone: paid traffic between zones, and 0.5 ms
 * of latency each way.
 */
#define CROSS_ZONE_PENALTY_SLOTS 0.15
#define CROSS_ZONE_PENALTY (400 * PD_USEC)
/* Draws of a random upstream by speed, before the last one is taken as it is. */
#define SPEED_DRAWS_MAX 16

/* Returns whether the request has already tried the upstream with this id. */
static bool is_tried(const forward_criteria_t *criteria, const char *id)
{
	for (unsigned int i = 0; i < criteria->tried_count; i++) {
		if (!strcmp(criteria->tried[i], id))
			return true;
	}
	return false;
}

/* Returns whether the criteria allow an upstream by its version. */
static bool has_allowed_version(const forward_criteria_t *criteria,
				const forward_upstream_t *upstream)
{
	if (criteria->version_id)
		return upstream->version_id == criteria->version_id &&
		       !upstream_process_is_in_doubt(&upstream->process);
	return !criteria->excluded_version_id ||
	       upstream->version_id != criteria->excluded_version_id;
}

/*
 * Returns the id of the last prompt part that other requests may share; 0:
 * none.
 */
static uint64_t shared_prefix_of(const forward_call_t *call)
{
	/* The last part is the request's own. */
	if (call->part_count < 2)
		return 0;
	return call->parts[call->part_count - 2].id;
}

/*
 * The upstreams preferred for requests with the same prompt prefix, borrowed;
 * NULL: none.
 */
typedef struct preferred {
	forward_upstream_t *first;
	forward_upstream_t *second; /* only where a choice compares a sample */
} preferred_t;

/*
 * Returns the weight of an upstream for a prefix in weighted rendezvous hashing: upstreams
 * are preferred for a share of the prefixes in proportion to their speeds, and a change
 * of one's speed moves only its own. With equal speeds the order is that of the hashes.
 */
static double prefix_weight(uint64_t prefix, const forward_upstream_t *upstream)
{
	uint64_t hash = hash_number(prefix ^ upstream->id_hash);
	double unit = ((double)(hash >> 11) + 0.5) / (double)(1ULL << 53);

	return -upstream_speed_factor(&upstream->speed) / log(unit);
}

/*
 * Returns the preferred upstreams of a call's shared prefix, by rendezvous
 * hashing: the upstreams with the highest weight of both. All gateways agree on
 * them without communication, so only they process the shared parts. Where a
 * choice compares a sample, loads are out of date and the first one may be
 * overloaded before other gateways receive its load; the second then has the
 * shared parts as well.
 */
static preferred_t find_preferred(const GPtrArray *serving,
				  const forward_criteria_t *criteria)
{
	preferred_t preferred = { 0 };
	uint64_t prefix = shared_prefix_of(criteria->call);
	double best_score = 0;
	double second_score = 0;

	if (!criteria->has_prompt || !prefix)
		return preferred;
	for (guint i = 0; i < serving->len; i++) {
		forward_upstream_t *upstream = g_ptr_array_index(serving, i);
		double score = prefix_weight(prefix, upstream);

		if (!has_allowed_version(criteria, upstream))
			continue;

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
	const forward_upstreams_t *set;
	const GPtrArray *serving;
	preferred_t preferred;
	uint64_t part_limit; /* upstreams whose hash exceeds it are not chosen */
	double speed_max; /* of the serving upstreams; 1 if all are equal */
	/* prompt tokens that an engine of the usual speed processes per second */
	double prefill_rate;
	pd_time_t now;
	candidate_t best; /* so far */
	bool any_full; /* an upstream that was not tried yet has no room */
	bool any_limited; /* one has room, but needs a permit */
	pd_time_t rest_until; /* when the first one that rests is back; 0: none does */
} search_t;

/*
 * Returns the tokens of a call's prompt that an upstream has to process.
 * Preferred upstreams are taken to have the shared parts cached, whichever
 * gateway sent them: by their own requests alone, nine gateways counted the
 * work twice and ordered twice the engines.
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
			   MAX(call->prompt_tokens - forward_call_shared_tokens(call),
			       0));
	return uncached_tokens;
}

/*
 * Returns the cost of sending a call to an engine, in prompt tokens: what it
 * has to process before, what this call adds, and the slowdown by the requests
 * that run there.
 */
static double engine_cost(const search_t *search,
			  const forward_upstream_t *upstream,
			  double uncached_tokens, bool other_zone)
{
	return forward_upstream_prefill_tokens(upstream) + uncached_tokens +
	       forward_upstream_running(upstream) *
		       engine_time_to_tokens(search->prefill_rate,
					     ENGINE_RUNNING_REQUEST_TIME) +
	       (other_zone ? engine_time_to_tokens(search->prefill_rate,
						   CROSS_ZONE_PENALTY)
			   : 0);
}

/*
 * Returns the cost of sending a call to a plain upstream, as a fraction of its
 * slots in use.
 */
static double plain_cost(const forward_upstream_t *upstream, bool other_zone)
{
	return (double)forward_upstream_running(upstream) /
		       MAX(upstream->slots, 1) +
	       (other_zone ? CROSS_ZONE_PENALTY_SLOTS : 0);
}

/* Returns an upstream as a candidate, with its cost. */
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
	candidate.cost /= upstream_speed_factor(&upstream->speed);
	return candidate;
}

/* Returns whether an upstream has no room for the request. */
static bool is_full(const search_t *search, const forward_upstream_t *upstream)
{
	const forward_criteria_t *criteria = search->criteria;
	pd_time_t now = search->now;

	if (now < upstream->full_until)
		return true;
	if (criteria->connections_max &&
	    upstream->running >= criteria->connections_max)
		return true;
	return forward_upstream_running(upstream) >=
	       upstream->slots * criteria->overcommit;
}

/* Returns whether the rate limit of an upstream, if it has one, allows a request. */
static bool has_permit(const forward_upstream_t *upstream,
		       const forward_criteria_t *criteria, pd_time_t now)
{
	return !criteria->limits ||
	       upstream_limits_has_permit(criteria->limits,
					  forward_upstream_short_id(upstream),
					  now);
}

/* Returns whether a candidate is preferable to the best so far. */
static bool is_better(const candidate_t *candidate, const candidate_t *best)
{
	if (!best->upstream)
		return true;
	if (candidate->in_backoff != best->in_backoff)
		return !candidate->in_backoff;
	return candidate->cost < best->cost;
}

/* Returns the hash by which a part of a version's upstreams is selected. */
static uint64_t part_hash(const forward_upstream_t *upstream)
{
	return hash_number(upstream->id_hash ^ upstream->version_id);
}

/*
 * Returns the highest hash of the part of a version's upstreams that is used: its part of
 * all hashes, or the lowest hash of an upstream if that is higher.
 */
static uint64_t find_part_limit(const GPtrArray *serving,
				const forward_criteria_t *criteria)
{
	uint64_t lowest = UINT64_MAX;

	if (criteria->upstreams_part <= 0 || criteria->upstreams_part >= 1)
		return UINT64_MAX;
	for (guint i = 0; i < serving->len; i++) {
		const forward_upstream_t *upstream = g_ptr_array_index(serving, i);

		if (has_allowed_version(criteria, upstream))
			lowest = MIN(lowest, part_hash(upstream));
	}
	return MAX(lowest, (uint64_t)(criteria->upstreams_part *
				      (double)(UINT64_MAX >> 1)) *
				   2);
}

/*
 * Makes an upstream the best candidate so far if it is better. Returns whether
 * it can be chosen at all.
 */
static bool consider(search_t *search, forward_upstream_t *upstream)
{
	const forward_criteria_t *criteria = search->criteria;
	candidate_t candidate;

	if (is_tried(criteria, upstream->id) ||
	    !has_allowed_version(criteria, upstream) ||
	    (search->part_limit < UINT64_MAX &&
	     part_hash(upstream) > search->part_limit))
		return false;
	if (forward_upstream_is_resting(upstream, search->now)) {
		search->rest_until =
			search->rest_until
				? MIN(search->rest_until, upstream->rest_until)
				: upstream->rest_until;
		return false;
	}
	if (is_full(search, upstream)) {
		search->any_full = true;
		return false;
	}
	if (!has_permit(upstream, criteria, search->now)) {
		search->any_limited = true;
		return false;
	}
	candidate = make_candidate(search, upstream);
	if (is_better(&candidate, &search->best))
		search->best = candidate;
	return true;
}

/* Returns the highest speed of some upstreams; exactly 1 if all have the usual one. */
static double highest_speed(const GPtrArray *serving)
{
	double highest = 0;

	for (guint i = 0; i < serving->len; i++) {
		const forward_upstream_t *upstream = g_ptr_array_index(serving, i);

		highest = MAX(highest, upstream_speed_factor(&upstream->speed));
	}
	return highest;
}

/*
 * Returns the index of a random upstream, drawn in proportion to speed by rejection
 * sampling: the first draw is taken if all have the usual speed. It is also taken if the
 * upstream is compared with preferred ones, as the costs count speed already: with both, an
 * engine of 0.6 times the usual speed got 0.66 of the requests that this stands for.
 */
static guint random_index(const search_t *search)
{
	const GPtrArray *serving = search->serving;
	GRand *random = search->criteria->random;
	guint index = 0;

	for (unsigned int i = 0; i < SPEED_DRAWS_MAX; i++) {
		const forward_upstream_t *upstream;
		double speed;

		index = (guint)g_rand_int_range(random, 0, (gint32)serving->len);
		upstream = g_ptr_array_index(serving, index);
		speed = upstream_speed_factor(&upstream->speed);
		if (search->preferred.first || speed >= search->speed_max ||
		    g_rand_double(random) * search->speed_max < speed)
			break;
	}
	return index;
}

/*
 * Considers upstreams in order from a random index on until one can be chosen.
 * Returns whether one can.
 */
static bool consider_random(search_t *search)
{
	const GPtrArray *serving = search->serving;
	guint from = random_index(search);

	for (guint i = 0; i < serving->len; i++) {
		guint at = (from + i) % serving->len;

		if (consider(search, g_ptr_array_index(serving, at)))
			return true;
	}
	return false;
}

/* Considers a random sample of upstreams, and the preferred ones. */
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

/* The search, and the table of upstreams that it is made in. */
typedef struct permit_search {
	search_t *search;
	forward_upstreams_t *set;
} permit_search_t;

/* Considers an upstream for which a permit is held. */
static void consider_permitted(void *ctx, const upstream_limit_t *limit)
{
	permit_search_t *permits = ctx;
	forward_upstream_t *upstream =
		limit->limited && limit->permits
			? forward_upstreams_find_by_short_id(permits->set,
							     limit->short_id)
			: NULL;

	if (upstream && upstream->group == permits->search->serving)
		consider(permits->search, upstream);
}

/*
 * Considers the upstreams for which permits are held: a sample would rarely have one of
 * them before its permit expires.
 */
static void consider_permits(search_t *search, forward_upstreams_t *set)
{
	permit_search_t permits = { search, set };

	if (search->criteria->limits)
		upstream_limits_each(search->criteria->limits, search->now,
				     consider_permitted, &permits);
}

/* Considers every upstream. */
static void consider_all(search_t *search)
{
	for (guint i = 0; i < search->serving->len; i++)
		consider(search, g_ptr_array_index(search->serving, i));
}

/*
 * Chooses the upstream with the lowest cost; one in backoff only if there is no
 * other. Fills in PICK, and returns whether one was chosen. Many gateways that
 * learn of each other's loads late would all choose the same least loaded
 * upstream; a choice from a random sample spreads them, and takes the same time
 * for ten upstreams and for a thousand.
 */
forward_choice_t forward_upstreams_choose(forward_upstreams_t *set,
					  const forward_criteria_t *criteria,
					  pd_time_t now, forward_pick_t *pick)
{
	search_t search = {
		.criteria = criteria,
		.set = set,
		.serving = forward_upstreams_serving(set, criteria->service),
		.prefill_rate = engine_speeds_rate(forward_upstreams_speeds(set),
						   criteria->service),
		.now = now,
	};

	*pick = (forward_pick_t){ 0 };
	if (!search.serving || !search.serving->len)
		return FORWARD_NONE_LEFT;
	search.part_limit = find_part_limit(search.serving, criteria);
	search.preferred = find_preferred(search.serving, criteria);
	if (criteria->sample_size) {
		search.speed_max = highest_speed(search.serving);
		consider_sample(&search);
		consider_permits(&search, set);
	} else {
		consider_all(&search);
	}
	pick->upstream = search.best.upstream;
	pick->uncached_tokens = search.best.uncached_tokens;
	pick->rest_until = search.rest_until;
	if (pick->upstream)
		return FORWARD_CHOSEN;
	if (search.any_full)
		return FORWARD_ALL_FULL;
	if (search.any_limited)
		return FORWARD_ALL_LIMITED;
	return search.rest_until ? FORWARD_ALL_RESTING : FORWARD_NONE_LEFT;
}
