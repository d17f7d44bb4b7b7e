/* Queues the requests of all gateways for the slots of a service. */
#include "core/forward/slot_dispatch.h"

#include <glib.h>

#include "core/hash.h"
#include "core/list.h"

/*
 * Requests that are granted beyond the slots of an upstream wait there, so that it goes on
 * while the end of a request is reported and the next one is sent.
 */
#define SPARE_SLOTS_PART 6 /* one for so many slots */
/* A gateway that does not report the end of a request has lost it, or has ended. */
#define GRANT_TTL_MARGIN (500 * PD_MSEC)
/* An upstream that rejected a request gets none for this long. */
#define REJECTION_PAUSE (60 * PD_MSEC)
/* A request that waits is told so again after this time, as its gateway may think that the
 * dispatcher has ended. */
#define QUEUED_REPEAT (200 * PD_MSEC)
/* More requests than this wait in no case. */
#define QUEUE_MAX 1024
/* The rate at which slots come free is averaged over about half a second. */
#define RATE_WEIGHT 0.2
#define RATE_PERIOD (100 * PD_MSEC)
/* What an account got counts for about this long. */
#define SERVED_HALF_LIFE (2 * PD_SEC)
/* Bounds of Retry-After, before it is spread. */
#define RETRY_AFTER_MIN (100 * PD_MSEC)
#define RETRY_AFTER_MAX (2 * PD_SEC)
#define RETRY_AFTER_SPREAD 0.5 /* it is longer by up to this part */

/* A request that waits or was granted. */
typedef struct entry {
	list_node_t node; /* in the queue, or among the granted */
	char *gateway;
	slot_request_t request; /* its gateway is the copy above */
	pd_time_t arrived_at;
	pd_time_t late_at;
	pd_time_t deadline;
	pd_time_t answered_at; /* while it waits: when it was last told so */
	uint32_t short_id; /* of the upstream granted; 0: it waits */
} entry_t;

typedef struct server {
	uint32_t short_id;
	unsigned int slots;
	unsigned int granted;
	pd_time_t paused_until;
	bool listed; /* by the last call that set the upstreams */
} server_t;

/* What an account was served lately. */
typedef struct account {
	double served; /* grants by weight, decayed */
	pd_time_t at;
} account_t;

struct slot_dispatch {
	slot_answer_fn_t answer;
	void *ctx;
	list_node_t queue; /* of entry_t, in the order of arrival */
	unsigned int queued;
	list_node_t granted; /* of entry_t */
	GArray *servers; /* of server_t */
	GHashTable *accounts; /* hash -> account_t */
	double rate; /* ends of requests per second, averaged; 0: unknown */
	unsigned int ended; /* since rate_at */
	pd_time_t rate_at;
	slot_stats_t stats;
};

/*
 * Returns a dispatcher without upstreams, which calls ANSWER with CTX; the caller owns it.
 */
slot_dispatch_t *slot_dispatch_create(slot_answer_fn_t answer, void *ctx)
{
	slot_dispatch_t *dispatch = g_new0(slot_dispatch_t, 1);

	dispatch->answer = answer;
	dispatch->ctx = ctx;
	list_init(&dispatch->queue);
	list_init(&dispatch->granted);
	dispatch->servers = g_array_new(FALSE, TRUE, sizeof(server_t));
	dispatch->accounts = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return dispatch;
}

static void entry_destroy(entry_t *entry)
{
	list_remove(&entry->node);
	g_free(entry->gateway);
	g_free(entry);
}

/* Frees all entries of a list. */
static void clear_list(list_node_t *list)
{
	LIST_FOR_EACH_SAFE (it, list)
		entry_destroy(LIST_ENTRY(it, entry_t, node));
}

/* Frees a dispatcher, without answers to those that wait; NULL is allowed. */
void slot_dispatch_destroy(slot_dispatch_t *dispatch)
{
	if (!dispatch)
		return;
	clear_list(&dispatch->queue);
	clear_list(&dispatch->granted);
	g_array_unref(dispatch->servers);
	g_hash_table_unref(dispatch->accounts);
	g_free(dispatch);
}

/* Returns the figures, borrowed. */
const slot_stats_t *slot_dispatch_stats(const slot_dispatch_t *dispatch)
{
	return &dispatch->stats;
}

/* Returns an upstream, borrowed until one is added; NULL: it is not known. */
static server_t *find_server(slot_dispatch_t *dispatch, uint32_t short_id)
{
	for (guint i = 0; i < dispatch->servers->len; i++) {
		server_t *server = &g_array_index(dispatch->servers, server_t, i);

		if (server->short_id == short_id)
			return server;
	}
	return NULL;
}

/*
 * Sets the upstreams that serve. Those that are not among them get no further requests,
 * but keep what was granted.
 */
void slot_dispatch_set_upstreams(slot_dispatch_t *dispatch,
				 const slot_upstream_t *upstreams,
				 unsigned int count)
{
	for (guint i = 0; i < dispatch->servers->len; i++)
		g_array_index(dispatch->servers, server_t, i).listed = false;
	for (unsigned int i = 0; i < count; i++) {
		server_t added = { .short_id = upstreams[i].short_id };
		server_t *server = find_server(dispatch, added.short_id);

		if (!server) {
			g_array_append_val(dispatch->servers, added);
			server = find_server(dispatch, added.short_id);
		}
		server->slots = upstreams[i].slots;
		server->listed = true;
	}
	for (guint i = dispatch->servers->len; i-- > 0;) {
		const server_t *server =
			&g_array_index(dispatch->servers, server_t, i);

		if (!server->listed && !server->granted)
			g_array_remove_index_fast(dispatch->servers, i);
	}
}

/* Returns the number of requests that an upstream may have at a time. */
static unsigned int capacity(const server_t *server)
{
	return server->slots + MAX(server->slots / SPARE_SLOTS_PART, 1);
}

/* Returns whether an upstream serves that a request has not tried. */
static bool is_untried(const server_t *server, const entry_t *entry)
{
	for (unsigned int i = 0; i < entry->request.tried_count; i++) {
		if (entry->request.tried[i] == server->short_id)
			return false;
	}
	return server->listed;
}

/* Returns whether there is an upstream for a request, though it may have no free slot. */
static bool has_upstream(const slot_dispatch_t *dispatch, const entry_t *entry)
{
	for (guint i = 0; i < dispatch->servers->len; i++) {
		if (is_untried(&g_array_index(dispatch->servers, server_t, i), entry))
			return true;
	}
	return false;
}

/* Returns whether an upstream may be assigned to a request now. */
static bool is_usable(const server_t *server, const entry_t *entry, pd_time_t now)
{
	return now >= server->paused_until &&
	       server->granted < capacity(server) && is_untried(server, entry);
}

/* Returns the upstream with the most free slots for a request; NULL: none is free. */
static server_t *choose_server(slot_dispatch_t *dispatch, const entry_t *entry,
			       pd_time_t now)
{
	server_t *best = NULL;

	for (guint i = 0; i < dispatch->servers->len; i++) {
		server_t *server = &g_array_index(dispatch->servers, server_t, i);

		if (!is_usable(server, entry, now))
			continue;
		if (!best || (uint64_t)server->granted * best->slots <
				     (uint64_t)best->granted * server->slots)
			best = server;
	}
	return best;
}

/* Returns what an account was served lately, decayed to NOW; adds it if it is missing. */
static account_t *get_account(slot_dispatch_t *dispatch, uint32_t hash,
			      pd_time_t now)
{
	gpointer key = GUINT_TO_POINTER(hash);
	account_t *account = g_hash_table_lookup(dispatch->accounts, key);

	if (!account) {
		account = g_new0(account_t, 1);
		account->at = now;
		g_hash_table_insert(dispatch->accounts, key, account);
	}
	/* In halves of whole half-lives; between them the order hardly changes. */
	while (now - account->at >= SERVED_HALF_LIFE && account->served > 0) {
		account->served /= 2;
		account->at += SERVED_HALF_LIFE;
		if (account->served < 1e-9)
			account->served = 0;
	}
	if (account->served <= 0)
		account->at = now;
	return account;
}

/* Where a request stands in the queue: the lower, the earlier, by each field in turn. */
typedef struct place {
	int rank;
	bool late; /* its answer can't be in time any more */
	double served; /* to its account */
	bool newcomer;
	pd_time_t arrived_at;
} place_t;

/* Returns the place of a request. */
static place_t place_of(slot_dispatch_t *dispatch, const entry_t *entry,
			pd_time_t now)
{
	return (place_t){
		.rank = entry->request.rank,
		.late = now >= entry->late_at,
		.served = get_account(dispatch, entry->request.account, now)->served,
		.newcomer = !entry->request.returned,
		.arrived_at = entry->arrived_at,
	};
}

/* Returns whether a place is before another one. */
static bool is_before(const place_t *a, const place_t *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank;
	if (a->late != b->late)
		return b->late;
	if (a->served != b->served)
		return a->served < b->served;
	if (a->newcomer != b->newcomer)
		return b->newcomer;
	return a->arrived_at < b->arrived_at;
}

/* Returns the number of waiting requests that go before one. */
static unsigned int count_before(slot_dispatch_t *dispatch,
				 const entry_t *entry, pd_time_t now)
{
	place_t own = place_of(dispatch, entry, now);
	unsigned int before = 0;

	LIST_FOR_EACH (it, &dispatch->queue) {
		const entry_t *other = LIST_ENTRY(it, entry_t, node);
		place_t place = place_of(dispatch, other, now);

		before += other != entry && is_before(&place, &own);
	}
	return before;
}

/* Calls the hook with an answer to a request. */
static void send_answer(slot_dispatch_t *dispatch, const entry_t *entry,
			slot_answer_kind_t kind, pd_time_t retry_after)
{
	const slot_answer_t answer = {
		.kind = kind,
		.gateway = entry->gateway,
		.number = entry->request.number,
		.short_id = entry->short_id,
		.retry_after = retry_after,
	};

	dispatch->answer(dispatch->ctx, &answer);
}

/* Grants a slot of an upstream to a request. */
static void grant(slot_dispatch_t *dispatch, entry_t *entry, server_t *server,
		  pd_time_t now)
{
	account_t *account = get_account(dispatch, entry->request.account, now);

	server->granted++;
	account->served += 1 / entry->request.weight;
	entry->short_id = server->short_id;
	dispatch->stats.granted++;
	if (!list_empty(&entry->node)) {
		list_remove(&entry->node);
		dispatch->queued--;
		dispatch->stats.waited++;
		dispatch->stats.waiting_time += now - entry->arrived_at;
	}
	list_append(&dispatch->granted, &entry->node);
	send_answer(dispatch, entry, SLOT_GRANTED, 0);
}

/*
 * Returns the Retry-After of a refusal within bounds. It differs between requests, so that
 * those that are refused together do not return together.
 */
static pd_time_t spread_retry_after(const entry_t *entry, pd_time_t retry_after)
{
	uint64_t hash =
		hash_number(hash_string(entry->gateway) ^ entry->request.number);
	double part = (double)(hash >> 11) / (double)(1ULL << 53);
	pd_time_t bounded = CLAMP(retry_after, RETRY_AFTER_MIN, RETRY_AFTER_MAX);

	return bounded + (pd_time_t)((double)bounded * RETRY_AFTER_SPREAD * part);
}

/* Refuses a request, and frees it. */
static void refuse(slot_dispatch_t *dispatch, entry_t *entry, pd_time_t retry_after)
{
	dispatch->stats.refused++;
	if (!list_empty(&entry->node))
		dispatch->queued--;
	send_answer(dispatch, entry, SLOT_REFUSED,
		    spread_retry_after(entry, retry_after));
	entry_destroy(entry);
}

/* Returns how long a number of requests takes until slots have come free for them. */
static pd_time_t time_until_free(const slot_dispatch_t *dispatch, unsigned int before)
{
	if (!(dispatch->rate > 0))
		return 0;
	return (pd_time_t)((before + 1) * (double)PD_SEC / dispatch->rate);
}

/* Returns whether a request can't begin in time, or at all. */
static bool is_hopeless(slot_dispatch_t *dispatch, const entry_t *entry,
			pd_time_t now)
{
	pd_time_t begin =
		now +
		time_until_free(dispatch, count_before(dispatch, entry, now));

	return !has_upstream(dispatch, entry) ||
	       dispatch->queued >= QUEUE_MAX || begin > entry->deadline ||
	       (now < entry->late_at && begin > entry->late_at);
}

/* Queues a request, or refuses it if it can't begin in time. */
static void enqueue(slot_dispatch_t *dispatch, entry_t *entry, pd_time_t now)
{
	if (is_hopeless(dispatch, entry, now)) {
		refuse(dispatch, entry,
		       time_until_free(dispatch, dispatch->queued));
		return;
	}
	list_append(&dispatch->queue, &entry->node);
	dispatch->queued++;
	entry->answered_at = now;
	send_answer(dispatch, entry, SLOT_QUEUED, 0);
}

/* Returns a request with copies of its strings. */
static entry_t *entry_create(const slot_request_t *request, pd_time_t now)
{
	entry_t *entry = g_new0(entry_t, 1);

	list_init(&entry->node);
	entry->gateway = g_strdup(request->gateway);
	entry->request = *request;
	entry->request.gateway = entry->gateway;
	entry->request.weight = MAX(request->weight, 1e-6);
	entry->request.tried_count = MIN(request->tried_count, SLOT_TRIED_MAX);
	entry->arrived_at = now;
	entry->late_at = now + request->goal;
	entry->deadline = now + request->time_left;
	return entry;
}

/*
 * Handles a gateway's request for a slot: it is granted at once, queued or refused. Those
 * that wait are granted what they can use as soon as it is free, so a slot that is free for
 * this request is none of theirs.
 */
void slot_dispatch_request(slot_dispatch_t *dispatch,
			   const slot_request_t *request, pd_time_t now)
{
	entry_t *entry;
	server_t *server;

	if (dispatch->queued)
		slot_dispatch_run(dispatch, now);
	entry = entry_create(request, now);
	server = choose_server(dispatch, entry, now);
	if (server)
		grant(dispatch, entry, server, now);
	else
		enqueue(dispatch, entry, now);
	dispatch->stats.queued = dispatch->queued;
}

/* Returns a gateway's request in a list, borrowed; NULL: it is not there. */
static entry_t *find_entry(const list_node_t *list, const char *gateway,
			   uint32_t number)
{
	LIST_FOR_EACH (it, list) {
		entry_t *entry = LIST_ENTRY(it, entry_t, node);

		if (entry->request.number == number &&
		    !g_strcmp0(entry->gateway, gateway))
			return entry;
	}
	return NULL;
}

/* Frees the slot of a granted request. */
static void end_grant(slot_dispatch_t *dispatch, entry_t *entry)
{
	server_t *server = find_server(dispatch, entry->short_id);

	if (server && server->granted)
		server->granted--;
	entry_destroy(entry);
}

/*
 * Handles that a request has ended, or waits no longer. REJECTED: the upstream had no room
 * for it, so others use its slots.
 */
void slot_dispatch_release(slot_dispatch_t *dispatch, const char *gateway,
			   uint32_t number, bool rejected, pd_time_t now)
{
	entry_t *entry = find_entry(&dispatch->granted, gateway, number);
	server_t *server;

	if (entry) {
		server = find_server(dispatch, entry->short_id);
		if (rejected && server)
			server->paused_until = now + REJECTION_PAUSE;
		dispatch->ended += !rejected;
		end_grant(dispatch, entry);
	} else if ((entry = find_entry(&dispatch->queue, gateway, number)) != NULL) {
		dispatch->queued--;
		entry_destroy(entry);
	}
	slot_dispatch_run(dispatch, now);
}

/* Frees all that a gateway was granted or waits for, as it has ended. */
void slot_dispatch_remove_gateway(slot_dispatch_t *dispatch,
				  const char *gateway, pd_time_t now)
{
	LIST_FOR_EACH_SAFE (it, &dispatch->granted) {
		entry_t *entry = LIST_ENTRY(it, entry_t, node);

		if (!g_strcmp0(entry->gateway, gateway))
			end_grant(dispatch, entry);
	}
	LIST_FOR_EACH_SAFE (it, &dispatch->queue) {
		entry_t *entry = LIST_ENTRY(it, entry_t, node);

		if (g_strcmp0(entry->gateway, gateway) != 0)
			continue;
		dispatch->queued--;
		entry_destroy(entry);
	}
	slot_dispatch_run(dispatch, now);
}

/*
 * Updates the rate at which slots come free. Without a queue fewer may have ended as fewer
 * arrived, so only a higher rate counts.
 */
static void update_rate(slot_dispatch_t *dispatch, pd_time_t now)
{
	double rate;

	if (now - dispatch->rate_at < RATE_PERIOD)
		return;
	rate = dispatch->ended * (double)PD_SEC / (double)(now - dispatch->rate_at);
	if (dispatch->rate_at && (dispatch->queued || rate > dispatch->rate))
		dispatch->rate += dispatch->rate > 0
					  ? (rate - dispatch->rate) * RATE_WEIGHT
					  : rate;
	dispatch->ended = 0;
	dispatch->rate_at = now;
}

/* Frees grants whose gateway must have lost them. */
static void expire_grants(slot_dispatch_t *dispatch, pd_time_t now)
{
	LIST_FOR_EACH_SAFE (it, &dispatch->granted) {
		entry_t *entry = LIST_ENTRY(it, entry_t, node);

		if (now > entry->deadline + GRANT_TTL_MARGIN)
			end_grant(dispatch, entry);
	}
}

/* Refuses requests that wait in vain, and tells the others that they wait. */
static void run_queue(slot_dispatch_t *dispatch, pd_time_t now)
{
	LIST_FOR_EACH_SAFE (it, &dispatch->queue) {
		entry_t *entry = LIST_ENTRY(it, entry_t, node);

		if (now >= entry->deadline || !has_upstream(dispatch, entry)) {
			refuse(dispatch, entry, RETRY_AFTER_MIN);
		} else if (now - entry->answered_at >= QUEUED_REPEAT) {
			entry->answered_at = now;
			send_answer(dispatch, entry, SLOT_QUEUED, 0);
		}
	}
}

/* Returns the waiting request that goes first among those that a slot is free for. */
static entry_t *first_in_queue(slot_dispatch_t *dispatch, pd_time_t now)
{
	entry_t *first = NULL;
	place_t first_place = { 0 };

	LIST_FOR_EACH (it, &dispatch->queue) {
		entry_t *entry = LIST_ENTRY(it, entry_t, node);
		place_t place = place_of(dispatch, entry, now);

		if ((first && !is_before(&place, &first_place)) ||
		    !choose_server(dispatch, entry, now))
			continue;
		first = entry;
		first_place = place;
	}
	return first;
}

/* Returns whether any upstream has a free slot. */
static bool has_free_slot(const slot_dispatch_t *dispatch, pd_time_t now)
{
	for (guint i = 0; i < dispatch->servers->len; i++) {
		const server_t *server =
			&g_array_index(dispatch->servers, server_t, i);

		if (server->listed && now >= server->paused_until &&
		    server->granted < capacity(server))
			return true;
	}
	return false;
}

/* Grants free slots to those that wait, and drops what has expired. */
void slot_dispatch_run(slot_dispatch_t *dispatch, pd_time_t now)
{
	entry_t *entry;

	update_rate(dispatch, now);
	expire_grants(dispatch, now);
	run_queue(dispatch, now);
	while (dispatch->queued && has_free_slot(dispatch, now) &&
	       (entry = first_in_queue(dispatch, now)) != NULL)
		grant(dispatch, entry, choose_server(dispatch, entry, now), now);
	dispatch->stats.queued = dispatch->queued;
}
