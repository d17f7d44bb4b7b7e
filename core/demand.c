/*
 * Request rates measured locally, and those reported in the latest pings of
 * peers.
 */
#include "core/demand.h"

#include <math.h>
#include <string.h>

#define RATE_WINDOW (1 * PD_SEC)
#define EWMA_WEIGHT 0.2 /* weight of the latest window in the average */
/*
 * How long a peer's report is used. With six entries each peer's ping arrives
 * every few seconds; with hundreds, these are a sample of them.
 */
#define PEER_DEMAND_MAX_AGE (15 * PD_SEC)
#define PEERS_MAX 64
/* Time constants of a share that rises or falls. */
#define SHARE_RISE_TIME (20 * PD_SEC)
#define SHARE_FALL_TIME (5 * PD_SEC)

typedef struct local_demand {
	unsigned int count; /* requests in the current window */
	pd_time_t window_start;
	double rate; /* per second */
	double share; /* currently granted; 0: not yet known */
	pd_time_t share_updated_at;
} local_demand_t;

typedef struct peer_demand {
	pd_time_t received_at;
	account_demand_t demand[PEER_MSG_ITEMS_MAX];
	unsigned int count;
} peer_demand_t;

struct demand {
	GHashTable *local; /* account -> local_demand_t, owned */
	GHashTable *peers; /* entry id -> peer_demand_t, owned */
};

/* Removes the accounts of a report. */
static void peer_demand_clear(peer_demand_t *peer)
{
	for (unsigned int i = 0; i < peer->count; i++)
		g_free(peer->demand[i].account);
	peer->count = 0;
}

/* Frees a report; value destructor of the table. */
static void peer_demand_destroy(void *data)
{
	peer_demand_clear(data);
	g_free(data);
}

/* Returns an empty table; the caller owns it. */
demand_t *demand_create(void)
{
	demand_t *demand = g_new0(demand_t, 1);

	demand->local =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	demand->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      peer_demand_destroy);
	return demand;
}

/* Frees the table; NULL is allowed. */
void demand_destroy(demand_t *demand)
{
	if (!demand)
		return;
	g_hash_table_unref(demand->local);
	g_hash_table_unref(demand->peers);
	g_free(demand);
}

/* Updates the rate if the window has ended. */
static void local_demand_update_rate(local_demand_t *local, pd_time_t now)
{
	double seconds = (double)(now - local->window_start) / PD_SEC;

	if (now - local->window_start < RATE_WINDOW)
		return;
	local->rate *= pow(1 - EWMA_WEIGHT, floor(seconds));
	local->rate += EWMA_WEIGHT * local->count / seconds;
	local->count = 0;
	local->window_start = now;
}

/* Counts one request of the account, whether or not it is granted. */
void demand_record_request(demand_t *demand, const char *account, pd_time_t now)
{
	local_demand_t *local = g_hash_table_lookup(demand->local, account);

	if (!local) {
		local = g_new0(local_demand_t, 1);
		local->window_start = now;
		g_hash_table_insert(demand->local, g_strdup(account), local);
	}
	local->count++;
	local_demand_update_rate(local, now);
}

/* Returns whether the report of a peer is too old. */
static gboolean peer_demand_has_expired(void *key, void *value, void *data)
{
	const peer_demand_t *peer = value;
	const pd_time_t *now = data;

	(void)key;
	return *now - peer->received_at > PEER_DEMAND_MAX_AGE;
}

/*
 * Stores the demand that a peer reports in its heartbeat. Reports of more than
 * PEERS_MAX peers are dropped.
 */
void demand_record_peer(demand_t *demand, const peer_msg_t *msg, pd_time_t now)
{
	peer_demand_t *peer;

	if (msg->kind != PEER_PING && msg->kind != PEER_ACK)
		return;
	peer = g_hash_table_lookup(demand->peers, msg->from.id);
	if (!peer) {
		if (g_hash_table_size(demand->peers) >= PEERS_MAX)
			g_hash_table_foreach_remove(demand->peers,
						    peer_demand_has_expired, &now);
		if (g_hash_table_size(demand->peers) >= PEERS_MAX)
			return;
		peer = g_new0(peer_demand_t, 1);
		g_hash_table_insert(demand->peers, g_strdup(msg->from.id), peer);
	}
	peer_demand_clear(peer);
	peer->received_at = now;
	for (unsigned int i = 0; i < msg->demand_count; i++) {
		peer->demand[i].account = g_strdup(msg->demand[i].account);
		peer->demand[i].per_second = msg->demand[i].per_second;
	}
	peer->count = msg->demand_count;
}

/* Returns the rate of an account at a peer, in requests per second. */
static double peer_demand_rate(const peer_demand_t *peer, const char *account)
{
	for (unsigned int i = 0; i < peer->count; i++) {
		if (!strcmp(peer->demand[i].account, account))
			return peer->demand[i].per_second;
	}
	return 0;
}

/* Returns the share that corresponds to the rates currently known. */
static double proportional_share(const demand_t *demand, const char *account,
				 double own_rate, unsigned int entries,
				 pd_time_t now)
{
	double peer_rates = 0;
	unsigned int peer_count = 0;
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, demand->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (peer_demand_has_expired(NULL, value, &now))
			continue;
		peer_rates += peer_demand_rate(value, account);
		peer_count++;
	}
	if (!peer_count || entries < 2)
		return 1.0 / MAX(entries, 1);
	return own_rate / (own_rate + peer_rates / peer_count * (entries - 1));
}

/*
 * Returns the share, 0 to 1, of the account's limit that this entry may grant,
 * if ENTRIES are alive. The rate at entries without a recent report is taken as
 * the mean of those with one. Equal shares would refuse callers of an account
 * that uses few entries, although it is within its limit.
 *
 * Reports are seconds old. When an account's calls begin everywhere at once,
 * each entry considers itself the only one. If each granted the whole limit,
 * the account would get it as many times as there are entries, and the flood
 * would be let through. So a share rises slowly from the equal one, over the
 * time that reports take to go round, and falls faster. It does not fall at
 * once: rates of a few calls a second fluctuate, and all shares would be too
 * small.
 */
double demand_share(demand_t *demand, const char *account, unsigned int entries,
		    pd_time_t now)
{
	local_demand_t *local = g_hash_table_lookup(demand->local, account);
	double equal = 1.0 / MAX(entries, 1);
	double target_share;
	double step;

	if (!local)
		return equal;
	local_demand_update_rate(local, now);
	target_share = proportional_share(demand, account, MAX(local->rate, 1),
					  entries, now);
	if (local->share == 0 ||
	    now - local->share_updated_at > PEER_DEMAND_MAX_AGE) {
		local->share = equal;
		local->share_updated_at = now;
	}
	/*
	 * After a pause it falls by the whole pause, but rises by one window.
	 */
	step = target_share > local->share
		       ? (double)MIN(now - local->share_updated_at, RATE_WINDOW) /
				 SHARE_RISE_TIME
		       : (double)(now - local->share_updated_at) / SHARE_FALL_TIME;
	local->share += MIN(step, 1) * (target_share - local->share);
	local->share_updated_at = now;
	return local->share;
}

/* Adds the largest local rates to a heartbeat. */
void demand_add_to_msg(demand_t *demand, peer_msg_t *msg, pd_time_t now)
{
	GHashTableIter it;
	void *key;
	void *value;

	g_hash_table_iter_init(&it, demand->local);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		local_demand_t *local = value;
		account_demand_t *slot = &msg->demand[0];
		uint32_t rate;

		local_demand_update_rate(local, now);
		rate = (uint32_t)ceil(local->rate);
		if (rate == 0)
			continue;
		if (msg->demand_count < PEER_MSG_ITEMS_MAX) {
			slot = &msg->demand[msg->demand_count++];
		} else {
			for (unsigned int i = 1; i < PEER_MSG_ITEMS_MAX; i++) {
				if (msg->demand[i].per_second < slot->per_second)
					slot = &msg->demand[i];
			}
			if (slot->per_second >= rate)
				continue;
		}
		g_free(slot->account);
		slot->account = g_strdup(key);
		slot->per_second = rate;
	}
}
