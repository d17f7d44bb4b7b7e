/* Which upstream gets a request; upstreams-notes.md weighs the ways. */
#include "core/forward/choice.h"

#include <string.h>

#include "core/forward/engine_cost.h"
#include "core/hash.h"

/* An upstream elsewhere costs bytes between zones and 0.5 ms each way. */
#define OTHER_ZONE_SLOTS 0.15
#define OTHER_ZONE_TIME (400 * PD_USEC)

static bool is_tried(const forward_ask_t *ask, const char *id)
{
	for (unsigned int i = 0; i < ask->tried_count; i++) {
		if (!strcmp(ask->tried[i], id))
			return true;
	}
	return false;
}

/* Returns the part that requests about the same subject share; 0: none. */
static uint64_t subject_of(const forward_call_t *call)
{
	/* The last part is the request's own. */
	if (call->part_count < 2)
		return 0;
	return call->parts[call->part_count - 2].id;
}

/* The upstreams that a subject's requests go to first, borrowed; NULL: none. */
typedef struct homes {
	forward_upstream_t *first;
	forward_upstream_t *second; /* only where a choice compares a few */
} homes_t;

/*
 * All entries give a subject the same first upstreams without talking about it:
 * those for which the hash of both is highest. Only they need to read what the
 * subject's requests share. Where loads of others are known late, as a choice that
 * compares a few supposes, one is at times loaded before anybody hears of it; the
 * second then has the shared parts as well.
 */
static homes_t subject_homes(const GPtrArray *serving, const forward_ask_t *ask)
{
	homes_t homes = { 0 };
	uint64_t subject = subject_of(ask->call);
	uint64_t best = 0;
	uint64_t next = 0;

	if (!ask->has_prompt || !subject)
		return homes;
	for (guint i = 0; i < serving->len; i++) {
		forward_upstream_t *upstream = g_ptr_array_index(serving, i);
		uint64_t rank = hash_number(subject ^ upstream->mark);

		if (!homes.first || rank > best) {
			homes.second = homes.first;
			next = best;
			homes.first = upstream;
			best = rank;
		} else if (!homes.second || rank > next) {
			homes.second = upstream;
			next = rank;
		}
	}
	if (!ask->sample)
		homes.second = NULL;
	return homes;
}

/* An upstream that may be chosen. */
typedef struct offer {
	forward_upstream_t *upstream; /* NULL: none yet */
	bool avoided;
	double unread; /* of the call's prompt, there */
	double cost;
} offer_t;

/* A choice in progress; the upstreams are borrowed. */
typedef struct search {
	const forward_ask_t *ask;
	const GPtrArray *serving;
	homes_t homes;
	double rate; /* prompt tokens that an engine reads in a second */
	pd_time_t now;
	offer_t best; /* so far */
	bool any; /* one was not tried yet, full or not */
} search_t;

/*
 * Returns what an upstream has still to read of a call's prompt, by what all
 * entries send there: a subject's first upstreams have read what its requests
 * share, whoever sent them. By an entry's own requests alone, nine entries took
 * the work for twice of what it was, and ordered as many engines.
 */
static double unread_at(const search_t *search, const forward_upstream_t *upstream)
{
	const forward_call_t *call = search->ask->call;
	const homes_t *homes = &search->homes;
	double unread = forward_upstream_unread(upstream, call, search->now);

	if (upstream == homes->first || upstream == homes->second)
		return MIN(unread,
			   MAX(call->prompt_tokens - forward_call_shared(call), 0));
	return unread;
}

/*
 * What sending a call to an engine would cost it and its others, in prompt
 * tokens: what it has to read before, what it would have to read for this one,
 * and the slowing by what runs.
 */
static double engine_cost(const search_t *search,
			  const forward_upstream_t *upstream, double unread,
			  bool elsewhere)
{
	return forward_upstream_reading(upstream) + unread +
	       forward_upstream_running(upstream) *
		       engine_time_to_tokens(search->rate,
					     ENGINE_RUNNING_REQUEST_TIME) +
	       (elsewhere ? engine_time_to_tokens(search->rate, OTHER_ZONE_TIME)
			  : 0);
}

static double plain_cost(const forward_upstream_t *upstream, bool elsewhere)
{
	return (double)forward_upstream_running(upstream) /
		       MAX(upstream->slots, 1) +
	       (elsewhere ? OTHER_ZONE_SLOTS : 0);
}

static offer_t make_offer(const search_t *search, forward_upstream_t *upstream)
{
	const forward_ask_t *ask = search->ask;
	bool elsewhere = strcmp(upstream->zone, ask->zone) != 0;
	offer_t offer = {
		.upstream = upstream,
		.avoided = forward_upstream_is_avoided(upstream, search->now),
	};

	if (ask->has_prompt) {
		offer.unread = unread_at(search, upstream);
		offer.cost = engine_cost(search, upstream, offer.unread, elsewhere);
	} else {
		offer.cost = plain_cost(upstream, elsewhere);
	}
	return offer;
}

static bool is_full(const forward_upstream_t *upstream,
		    const forward_ask_t *ask, pd_time_t now)
{
	if (now < upstream->full_until)
		return true;
	if (ask->connections_max && upstream->running >= ask->connections_max)
		return true;
	return forward_upstream_running(upstream) >= upstream->slots * ask->overfill;
}

static bool is_better(const offer_t *offer, const offer_t *best)
{
	if (!best->upstream)
		return true;
	if (offer->avoided != best->avoided)
		return !offer->avoided;
	return offer->cost < best->cost;
}

/* Offers an upstream. Says whether it could be chosen. */
static bool search_offer(search_t *search, forward_upstream_t *upstream)
{
	const forward_ask_t *ask = search->ask;
	offer_t offer;

	if (is_tried(ask, upstream->id))
		return false;
	search->any = true;
	if (is_full(upstream, ask, search->now))
		return false;
	offer = make_offer(search, upstream);
	if (is_better(&offer, &search->best))
		search->best = offer;
	return true;
}

/*
 * Offers the first upstream from a random place on that can be chosen. False if
 * none can.
 */
static bool offer_at_random(search_t *search)
{
	const GPtrArray *serving = search->serving;
	guint from = (guint)g_rand_int_range(search->ask->random, 0,
					     (gint32)serving->len);

	for (guint i = 0; i < serving->len; i++) {
		guint at = (from + i) % serving->len;

		if (search_offer(search, g_ptr_array_index(serving, at)))
			return true;
	}
	return false;
}

static void offer_some(search_t *search)
{
	for (unsigned int i = 0; i < search->ask->sample; i++) {
		if (!offer_at_random(search))
			return;
	}
	if (search->homes.first)
		search_offer(search, search->homes.first);
	if (search->homes.second)
		search_offer(search, search->homes.second);
}

static void offer_all(search_t *search)
{
	for (guint i = 0; i < search->serving->len; i++)
		search_offer(search, g_ptr_array_index(search->serving, i));
}

/*
 * Picks the upstream with the least cost. Those that failed lately are taken
 * only if there is no other. Many entries that hear of each other late would
 * all pick the same one; compared with a few at random, they spread, and a
 * choice costs the same before ten upstreams and before a thousand.
 */
forward_choice_t forward_upstreams_choose(forward_upstreams_t *set,
					  const forward_ask_t *ask,
					  pd_time_t now, forward_pick_t *pick)
{
	search_t search = {
		.ask = ask,
		.serving = forward_upstreams_serving(set, ask->service),
		.rate = engine_speeds_rate(forward_upstreams_speeds(set),
					   ask->service),
		.now = now,
	};

	*pick = (forward_pick_t){ 0 };
	if (!search.serving || !search.serving->len)
		return FORWARD_NONE_LEFT;
	search.homes = subject_homes(search.serving, ask);
	if (ask->sample)
		offer_some(&search);
	else
		offer_all(&search);
	pick->upstream = search.best.upstream;
	pick->unread = search.best.unread;
	if (pick->upstream)
		return FORWARD_CHOSEN;
	return search.any ? FORWARD_ALL_FULL : FORWARD_NONE_LEFT;
}
