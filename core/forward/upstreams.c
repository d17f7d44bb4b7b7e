/* The table of upstreams: what the platform lists and who gets a request. */
#include "core/forward/upstreams.h"

#include <string.h>

#include "core/hash.h"

/*
 * Entries of upstreams lapse while the store is away, though the upstreams
 * live; they are back about two seconds after it is. Taken as gone at once, the
 * whole fleet would vanish at the end of each outage.
 */
#define RELIST_GRACE (2300 * PD_MSEC)
/* How long a record of a gone upstream guards against older news of it. */
#define GONE_KEPT (60 * PD_SEC)
/*
 * An upstream that failed is left alone, twice as long each time, and then
 * tried with one request. The first pause is about one aim of a plain call; the
 * last is short enough that one which recovers is used again within seconds.
 */
#define AVOID_FIRST (150 * PD_MSEC)
#define AVOID_MAX (3 * PD_SEC)
#define FAILURES_BEFORE_AVOID 2
/* One that can't be reached counts as having failed so often: 600 ms. */
#define UNREACHABLE_FAILURES 4
/* How long one that turned a request away counts as full. */
#define FULL_PAUSE (150 * PD_MSEC)
/* A test request that was not answered for so long is given up on. */
#define PROBE_MAX (2 * PD_SEC)
/*
 * What one running request costs the others at an engine, in prompt tokens: a
 * batch step grows by 0.05 ms a request, over some 50 steps until a new prompt
 * is through, at about 150 tokens read in a millisecond.
 */
#define RUNNING_TOKENS 350.0
/*
 * Parts of prompts stay at an engine until memory runs out; belief in them ends
 * after this long without use, or a lost cache would draw requests for ever.
 */
#define PART_BELIEF (30 * PD_SEC)
#define PARTS_MAX 4096
/* An upstream elsewhere costs bytes between zones and 0.5 ms each way. */
#define OTHER_ZONE_SLOTS 0.15
#define OTHER_ZONE_TOKENS 60.0

struct forward_upstreams {
	list_node_t list; /* of forward_upstream_t */
	GHashTable *by_id; /* borrows the ids */
	pd_time_t grace_until;
};

/* Returns an empty table; the caller owns it. */
forward_upstreams_t *forward_upstreams_create(void)
{
	forward_upstreams_t *set = g_new0(forward_upstreams_t, 1);

	list_init(&set->list);
	set->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	return set;
}

/* Takes a reference. */
forward_upstream_t *forward_upstream_ref(forward_upstream_t *upstream)
{
	upstream->refs++;
	return upstream;
}

/* Gives a reference up; the last one frees the upstream. */
void forward_upstream_unref(forward_upstream_t *upstream)
{
	if (--upstream->refs)
		return;
	g_hash_table_unref(upstream->parts);
	g_free(upstream->id);
	g_free(upstream->service);
	g_free(upstream->address);
	g_free(upstream->zone);
	g_free(upstream);
}

static void set_drop(forward_upstreams_t *set, forward_upstream_t *upstream)
{
	g_hash_table_remove(set->by_id, upstream->id);
	list_remove(&upstream->node);
	forward_upstream_unref(upstream);
}

/* Frees the table; upstreams that are referred to live on. */
void forward_upstreams_destroy(forward_upstreams_t *set)
{
	if (!set)
		return;
	LIST_FOR_EACH_SAFE (it, &set->list)
		set_drop(set, LIST_ENTRY(it, forward_upstream_t, node));
	g_hash_table_unref(set->by_id);
	g_free(set);
}

/* Returns the head of the list of all upstreams, the gone ones included. */
list_node_t *forward_upstreams_list(forward_upstreams_t *set)
{
	return &set->list;
}

/* Returns an upstream by its id, or NULL. */
forward_upstream_t *forward_upstreams_find(forward_upstreams_t *set, const char *id)
{
	return g_hash_table_lookup(set->by_id, id);
}

static forward_upstream_t *set_add(forward_upstreams_t *set, const char *id)
{
	forward_upstream_t *upstream = g_new0(forward_upstream_t, 1);

	upstream->refs = 1;
	upstream->id = g_strdup(id);
	upstream->service = g_strdup("");
	upstream->address = g_strdup("");
	upstream->zone = g_strdup("");
	list_init(&upstream->idle_links);
	upstream->parts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, g_free);
	list_append(&set->list, &upstream->node);
	g_hash_table_insert(set->by_id, upstream->id, upstream);
	return upstream;
}

static void replace(char **text, const char *with)
{
	if (!strcmp(*text, with))
		return;
	g_free(*text);
	*text = g_strdup(with);
}

/*
 * Takes what the platform or a peer says of an upstream, unless something newer
 * is known. Returns whether that was news.
 */
bool forward_upstreams_apply(forward_upstreams_t *set,
			     const forward_listing_t *listing)
{
	forward_upstream_t *upstream = forward_upstreams_find(set, listing->id);

	if (!upstream)
		upstream = set_add(set, listing->id);
	upstream->listed = true;
	if (listing->revision <= upstream->revision)
		return false;
	/*
	 * Listed anew after it had lapsed. The same revision, told once more by
	 * a peer, is no sign of life: taken for one, it kept upstreams that had
	 * left in use for seconds.
	 */
	upstream->gone_at = 0;
	replace(&upstream->service, listing->service);
	replace(&upstream->address, listing->address);
	replace(&upstream->zone, listing->zone);
	upstream->port = listing->port;
	upstream->slots = listing->slots;
	upstream->stage = listing->stage;
	upstream->reclaimable = listing->reclaimable;
	upstream->revision = listing->revision;
	return true;
}

/*
 * Takes it that an upstream's entry is gone as of a revision. Returns whether
 * that was news. An entry that lapsed in an outage of the store gets the time
 * to come back.
 */
bool forward_upstreams_remove(forward_upstreams_t *set, const char *id,
			      uint64_t revision, pd_time_t now)
{
	forward_upstream_t *upstream = forward_upstreams_find(set, id);
	bool lapsed = now < set->grace_until;

	if (!upstream)
		upstream = set_add(set, id);
	if (revision < upstream->revision || upstream->stage == FORWARD_GONE)
		return false;
	if (upstream->gone_at)
		return false;
	upstream->gone_at = now;
	if (lapsed && upstream->stage == FORWARD_SERVING && upstream->revision) {
		upstream->gone_at = set->grace_until;
		return false; /* news only when that time is over */
	}
	upstream->stage = FORWARD_GONE;
	upstream->revision = revision;
	return true;
}

/* Begins to read a whole listing of the platform. */
void forward_upstreams_begin_listing(forward_upstreams_t *set)
{
	LIST_FOR_EACH (it, &set->list)
		LIST_ENTRY(it, forward_upstream_t, node)->listed = false;
}

/* Ends it: what was not in it is gone, as of the listing's revision. */
void forward_upstreams_end_listing(forward_upstreams_t *set, uint64_t revision,
				   pd_time_t now)
{
	LIST_FOR_EACH (it, &set->list) {
		forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		if (!upstream->listed && upstream->revision <= revision)
			forward_upstreams_remove(set, upstream->id, revision, now);
	}
}

/* Says that the store serves again after it did not. */
void forward_upstreams_store_back(forward_upstreams_t *set, pd_time_t now)
{
	set->grace_until = now + RELIST_GRACE;
}

/*
 * Lets time pass: lapsed entries that did not come back are gone, and ON_GONE
 * is called for each.
 */
void forward_upstreams_run(forward_upstreams_t *set, pd_time_t now,
			   void (*on_gone)(void *ctx, const char *id), void *ctx)
{
	LIST_FOR_EACH_SAFE (it, &set->list) {
		forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		if (!upstream->gone_at || now < upstream->gone_at)
			continue;
		if (upstream->stage != FORWARD_GONE) {
			upstream->stage = FORWARD_GONE;
			on_gone(ctx, upstream->id);
		}
		if (now - upstream->gone_at > GONE_KEPT)
			set_drop(set, upstream);
	}
}

/* Says whether an upstream may get something new. */
bool forward_upstream_serves(const forward_upstream_t *upstream)
{
	return upstream->stage == FORWARD_SERVING && upstream->revision;
}

static bool believes(const forward_upstream_t *upstream, uint64_t id, pd_time_t now)
{
	const pd_time_t *used = g_hash_table_lookup(upstream->parts, &id);

	return used && now - *used < PART_BELIEF;
}

/* Returns how many tokens of the call's prompt the upstream has still to read. */
double forward_upstream_unread(const forward_upstream_t *upstream,
			       const forward_call_t *call, pd_time_t now)
{
	double known = 0;

	for (unsigned int i = 0; i < call->part_count; i++) {
		/* A part counts only if all before it are there too. */
		if (!believes(upstream, call->parts[i].id, now))
			break;
		known += call->parts[i].tokens;
	}
	return MAX(call->prompt_tokens - known, 0);
}

static gboolean part_is_stale(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	return *(pd_time_t *)data - *(pd_time_t *)value >= PART_BELIEF;
}

/* Notes that an upstream gets a call, whose prompt it then holds. */
void forward_upstream_sent(forward_upstream_t *upstream,
			   const forward_call_t *call, pd_time_t now)
{
	if (g_hash_table_size(upstream->parts) > PARTS_MAX)
		g_hash_table_foreach_remove(upstream->parts, part_is_stale, &now);
	for (unsigned int i = 0; i < call->part_count; i++) {
		pd_time_t *used =
			g_hash_table_lookup(upstream->parts, &call->parts[i].id);

		if (!used) {
			uint64_t *id = g_new(uint64_t, 1);

			*id = call->parts[i].id;
			used = g_new(pd_time_t, 1);
			g_hash_table_insert(upstream->parts, id, used);
		}
		*used = now;
	}
	if (upstream->failures >= FAILURES_BEFORE_AVOID)
		upstream->probing_since = now;
}

/* Notes a failure that speaks against the upstream. */
void forward_upstream_failed(forward_upstream_t *upstream, pd_time_t now)
{
	pd_time_t pause = AVOID_FIRST;

	upstream->failures++;
	upstream->probing_since = 0;
	if (upstream->failures < FAILURES_BEFORE_AVOID)
		return;
	for (unsigned int i = FAILURES_BEFORE_AVOID;
	     i < upstream->failures && pause < AVOID_MAX; i++)
		pause *= 2;
	upstream->avoid_until = now + MIN(pause, AVOID_MAX);
}

/*
 * Notes that no connection could be had. One that has crashed runs nothing, so
 * by its load it looks the best of all and draws request after request; it is
 * left alone from the first time on. In a wave of crashes some hundred requests
 * went from one to the next of them until they were given up.
 */
void forward_upstream_unreachable(forward_upstream_t *upstream, pd_time_t now)
{
	upstream->failures = MAX(upstream->failures, UNREACHABLE_FAILURES - 1);
	forward_upstream_failed(upstream, now);
}

/*
 * Notes that the upstream had no room. The loads of many entries are known late;
 * its own word is newer.
 */
void forward_upstream_rejected(forward_upstream_t *upstream, pd_time_t now)
{
	upstream->full_until = now + FULL_PAUSE;
}

/* Notes a sound answer. */
void forward_upstream_answered(forward_upstream_t *upstream)
{
	upstream->failures = 0;
	upstream->avoid_until = 0;
	upstream->probing_since = 0;
}

static bool is_tried(const forward_ask_t *ask, const char *id)
{
	for (unsigned int i = 0; i < ask->tried_count; i++) {
		if (!strcmp(ask->tried[i], id))
			return true;
	}
	return false;
}

static bool is_avoided(const forward_upstream_t *upstream, pd_time_t now)
{
	if (upstream->failures < FAILURES_BEFORE_AVOID)
		return false;
	return now < upstream->avoid_until ||
	       (upstream->probing_since &&
		now - upstream->probing_since < PROBE_MAX);
}

/* Returns the part that requests about the same subject share; 0: none. */
static uint64_t subject_of(const forward_call_t *call)
{
	/* The last part is the request's own. */
	if (call->part_count < 2)
		return 0;
	return call->parts[call->part_count - 2].id;
}

/*
 * All entries give a subject the same first upstream without talking about it:
 * the one for which the hash of both is highest. Only that one needs to read
 * what the subject's requests share.
 */
static const forward_upstream_t *subject_home(const forward_upstreams_t *set,
					      const forward_ask_t *ask)
{
	const forward_upstream_t *home = NULL;
	uint64_t subject = subject_of(ask->call);
	uint64_t best = 0;

	if (!ask->has_prompt || !subject)
		return NULL;
	LIST_FOR_EACH (it, &set->list) {
		const forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);
		uint64_t rank;

		if (!forward_upstream_serves(upstream) ||
		    strcmp(upstream->service, ask->service))
			continue;
		rank = hash_number(subject ^
				   hash_number(hash_string(upstream->id)));
		if (!home || rank > best) {
			home = upstream;
			best = rank;
		}
	}
	return home;
}

static double shared_tokens(const forward_call_t *call)
{
	double sum = 0;

	for (unsigned int i = 0; i + 1 < call->part_count; i++)
		sum += call->parts[i].tokens;
	return sum;
}

/*
 * What sending a call to an engine would cost it and its others, in prompt
 * tokens: what it has to read before, what it would have to read for this one,
 * and the slowing by what runs.
 */
static double engine_cost(const forward_upstream_t *upstream,
			  const forward_ask_t *ask, bool home, pd_time_t now)
{
	double unread = forward_upstream_unread(upstream, ask->call, now);
	double shared = shared_tokens(ask->call);
	double running = upstream->running + upstream->peers_running;

	if (home)
		unread = MIN(unread, MAX(ask->call->prompt_tokens - shared, 0));
	return upstream->reading + upstream->peers_reading + unread +
	       running * RUNNING_TOKENS;
}

static double upstream_cost(const forward_upstream_t *upstream,
			    const forward_ask_t *ask,
			    const forward_upstream_t *home, pd_time_t now)
{
	bool elsewhere = strcmp(upstream->zone, ask->zone) != 0;
	double running = upstream->running + upstream->peers_running;

	if (ask->has_prompt)
		return engine_cost(upstream, ask, upstream == home, now) +
		       (elsewhere ? OTHER_ZONE_TOKENS : 0);
	return running / MAX(upstream->slots, 1) +
	       (elsewhere ? OTHER_ZONE_SLOTS : 0);
}

static bool is_full(const forward_upstream_t *upstream,
		    const forward_ask_t *ask, pd_time_t now)
{
	double running = upstream->running + upstream->peers_running;

	if (now < upstream->full_until)
		return true;
	if (ask->connections_max && upstream->running >= ask->connections_max)
		return true;
	return running >= upstream->slots * ask->overfill;
}

static bool is_candidate(const forward_upstream_t *upstream,
			 const forward_ask_t *ask)
{
	return forward_upstream_serves(upstream) &&
	       !strcmp(upstream->service, ask->service) &&
	       !is_tried(ask, upstream->id);
}

static unsigned int count_candidates(const forward_upstreams_t *set,
				     const forward_ask_t *ask, pd_time_t now)
{
	unsigned int count = 0;

	LIST_FOR_EACH (it, &set->list)
		count += is_candidate(LIST_ENTRY(it, forward_upstream_t, node),
				      ask) &&
			 !is_full(LIST_ENTRY(it, forward_upstream_t, node), ask,
				  now);
	return count;
}

/* The best so far of a choice. */
typedef struct best {
	forward_upstream_t *upstream;
	bool avoided;
	double cost;
} best_t;

static void best_offer(best_t *best, forward_upstream_t *upstream, bool avoided,
		       double cost)
{
	if (best->upstream && (avoided > best->avoided ||
			       (avoided == best->avoided && cost >= best->cost)))
		return;
	best->upstream = upstream;
	best->avoided = avoided;
	best->cost = cost;
}

/*
 * Picks the upstream with the least cost. Those that failed lately are taken
 * only if there is no other. Many entries that hear of each other late would
 * all pick the same one; compared with a few at random, they spread.
 */
forward_choice_t forward_upstreams_choose(forward_upstreams_t *set,
					  const forward_ask_t *ask, pd_time_t now,
					  forward_upstream_t **chosen)
{
	const forward_upstream_t *home = subject_home(set, ask);
	unsigned int left = ask->sample ? count_candidates(set, ask, now) : 0;
	unsigned int wanted = ask->sample;
	best_t best = { NULL, true, 0 };
	bool any = false;

	LIST_FOR_EACH (it, &set->list) {
		forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);
		bool sampled = true;

		if (!is_candidate(upstream, ask))
			continue;
		any = true;
		if (is_full(upstream, ask, now))
			continue;
		if (ask->sample) {
			sampled = g_rand_double(ask->random) * left < wanted;
			wanted -= sampled && wanted;
			left--;
		}
		if (sampled || upstream == home)
			best_offer(&best, upstream, is_avoided(upstream, now),
				   upstream_cost(upstream, ask, home, now));
	}
	*chosen = best.upstream;
	if (best.upstream)
		return FORWARD_CHOSEN;
	return any ? FORWARD_ALL_FULL : FORWARD_NONE_LEFT;
}
