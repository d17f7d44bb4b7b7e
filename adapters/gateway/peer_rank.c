/* Liveness and ranking of gateways, and the roles that follow from them. */
#include <string.h>

#include "adapters/gateway/peer_state.h"

/* A peer heard from within this is alive. A lost packet can delay messages. */
#define PEER_TIMEOUT (3 * PD_SEC)
/* Four lost states, or the leader has ended: the lease is checked then. */
#define LEADER_SILENCE_MAX PD_SEC
/*
 * After a failed connection no counts are sent to a peer until it is heard
 * from, or this has passed.
 */
#define DISCONNECT_PAUSE (2 * PD_SEC)
/*
 * A peer to which no connection could be made is left out of roles for so long, unless it
 * is heard. Others may name it as live for some seconds after its end.
 */
#define UNREACHABLE_TIME (5 * PD_SEC)
/* A gateway that was sent counts within this time writes them. */
#define COUNTS_RECEIVED_MAX_AGE PD_SEC
/* Peers list a live member in every few of their states. */
#define MENTION_TIMEOUT (6 * PD_SEC)
/* Summed loads older than this are useless: most requests have ended since. */
#define LOADS_MAX_AGE (2 * PD_SEC)
/*
 * Liveness changes within seconds, but is queried many times per tick.
 * Recomputing it for each query cost more than the requests in a fleet of
 * hundreds.
 */
#define VIEW_MAX_AGE (100 * PD_MSEC)

/* Returns whether the peer itself was heard from recently. */
bool peer_is_heard(const peer_t *peer, pd_time_t now)
{
	return peer->heard_at && now - peer->heard_at < PEER_TIMEOUT;
}

/*
 * Returns whether the peer was recently heard from, by this gateway or by
 * another.
 */
bool peer_is_alive(const peer_t *peer, pd_time_t now)
{
	return peer_is_heard(peer, now) ||
	       (peer->mentioned_at && now - peer->mentioned_at < MENTION_TIMEOUT);
}

/*
 * Returns whether the peer counts towards the fleet size, alive or lost
 * recently.
 */
static bool peer_is_in_fleet(const peer_t *peer, pd_time_t now)
{
	pd_time_t last = MAX(peer->heard_at, peer->mentioned_at);

	return last && now - last < FLEET_MEMBER_TIMEOUT;
}

/* Returns whether no connection to a peer could be made lately, and it was not heard since. */
static bool peer_is_unreachable(const peer_t *peer, pd_time_t now)
{
	return peer->unreachable_at && peer->heard_at <= peer->unreachable_at &&
	       now - peer->unreachable_at < UNREACHABLE_TIME;
}

/*
 * Returns whether one gateway ranks before OTHER: by capacity, hash and
 * address.
 */
static bool ranks_before(bool high_capacity, guint hash, const char *address,
			 const peer_t *other)
{
	if (high_capacity != other->high_capacity)
		return high_capacity;
	if (hash != other->hash)
		return hash < other->hash;
	return strcmp(address, other->address) < 0;
}

/* Returns whether this gateway ranks before a peer. */
bool peers_ranks_before(const gateway_peers_t *peers, const peer_t *other)
{
	return ranks_before(peers->high_capacity, g_str_hash(peers->address),
			    peers->address, other);
}

/* Returns whether one peer ranks before another. */
static bool peer_ranks_before(const peer_t *peer, const peer_t *other)
{
	return ranks_before(peer->high_capacity, peer->hash, peer->address, other);
}

/*
 * Returns the current membership view, borrowed; recomputes it if it is too
 * old.
 */
const peer_view_t *peers_view(gateway_peers_t *peers, pd_time_t now)
{
	peer_view_t view = { .at = now, .alive = 1, .fleet_size = 1 };
	guint hash;

	if (peers->view.at && now - peers->view.at < VIEW_MAX_AGE)
		return &peers->view;
	hash = g_str_hash(peers->address);
	LIST_FOR_EACH (it, &peers->list) {
		const peer_t *peer = LIST_ENTRY(it, peer_t, node);

		view.fleet_size += peer_is_in_fleet(peer, now);
		if (!peer_is_alive(peer, now))
			continue;
		view.alive++;
		view.rank += !peer_is_unreachable(peer, now) &&
			     !ranks_before(peers->high_capacity, hash,
					   peers->address, peer);
	}
	/*
	 * Unlike an aggregator, its followers know only some members of a large
	 * fleet.
	 */
	if (peers->aggregator && peers->summary_fleet_size > MEMBERS_LISTED_MAX) {
		view.alive = MAX(view.alive, peers->summary_fleet_size);
		view.fleet_size = MAX(view.fleet_size, peers->summary_fleet_size);
	}
	peers->view = view;
	return &peers->view;
}

/*
 * Inserts a peer into FIRST, sorted by rank with COUNT entries, and keeps MOST
 * of them. Returns the new count.
 */
static unsigned int insert_by_rank(peer_t **first, unsigned int count,
				   unsigned int most, peer_t *peer)
{
	unsigned int place = 0;

	while (place < count && peer_ranks_before(first[place], peer))
		place++;
	if (place >= most)
		return count;
	count = MIN(count + 1, most);
	memmove(&first[place + 1], &first[place],
		(count - place - 1) * sizeof(peer_t *));
	first[place] = peer;
	return count;
}

/* Returns whether a peer is alive and is not skipped. */
static bool peer_is_usable(const peer_t *peer, pd_time_t now)
{
	return peer_is_alive(peer, now) && now >= peer->skipped_until &&
	       !peer_is_unreachable(peer, now);
}

/* Fills in the MOST peers that rank first of those that pass TEST. Returns their number. */
static unsigned int fill_by_rank(const gateway_peers_t *peers, peer_t **first,
				 unsigned int most,
				 bool (*test)(const peer_t *peer, pd_time_t now),
				 pd_time_t now)
{
	unsigned int count = 0;

	LIST_FOR_EACH (it, &peers->list) {
		peer_t *peer = LIST_ENTRY(it, peer_t, node);

		if (test(peer, now))
			count = insert_by_rank(first, count, most, peer);
	}
	return count;
}

/*
 * Fills in the MOST live peers that rank first, without skipped ones. Returns
 * their number.
 */
unsigned int peers_top_ranked(const gateway_peers_t *peers, peer_t **first,
			      unsigned int most, pd_time_t now)
{
	return fill_by_rank(peers, first, most, peer_is_usable, now);
}

/* The same with those that this gateway skips, so that all gateways agree on them. */
unsigned int peers_top_alive(const gateway_peers_t *peers, peer_t **first,
			     unsigned int most, pd_time_t now)
{
	return fill_by_rank(peers, first, most, peer_is_alive, now);
}

/* The same of those that this gateway itself has heard from. */
unsigned int peers_top_heard(const gateway_peers_t *peers, peer_t **first,
			     unsigned int most, pd_time_t now)
{
	return fill_by_rank(peers, first, most, peer_is_heard, now);
}

/* Returns whether the fleet is small enough for a full mesh. */
bool peers_is_mesh(gateway_peers_t *peers, pd_time_t now)
{
	return peers_view(peers, now)->alive <= GATEWAY_MESH_MAX;
}

/* Returns the same as of now. */
bool gateway_peers_is_mesh(gateway_peers_t *peers)
{
	return peers_is_mesh(peers, gateway_now());
}

/* Returns the fleet size, including this gateway and those lost recently. */
unsigned int gateway_peers_count(gateway_peers_t *peers)
{
	return peers_view(peers, gateway_now())->fleet_size;
}

/*
 * Returns when the longest-running gateway started, among this one and those
 * heard from recently.
 */
pd_time_t gateway_peers_oldest_start(const gateway_peers_t *peers, pd_time_t now)
{
	pd_time_t oldest = peers->started_at;

	LIST_FOR_EACH (it, &peers->list) {
		const peer_t *peer = LIST_ENTRY(it, peer_t, node);

		if (peer->started_at && peer_is_heard(peer, now))
			oldest = MIN(oldest, peer->started_at);
	}
	return oldest;
}

/* Returns whether this gateway ranks among the few that watch the store for others. */
bool gateway_peers_is_store_watcher(gateway_peers_t *peers)
{
	return peers_view(peers, gateway_now())->rank < STORE_WATCHERS;
}

/*
 * Returns whether this gateway is one of the few that call the store on behalf
 * of all; in a mesh all are.
 */
bool gateway_peers_is_top_ranked(gateway_peers_t *peers)
{
	return peers_is_mesh(peers, gateway_now()) ||
	       gateway_peers_is_store_watcher(peers);
}

/* Returns whether this gateway watches the store itself. */
bool gateway_peers_should_watch_store(gateway_peers_t *peers)
{
	pd_time_t now = gateway_now();

	return gateway_peers_is_top_ranked(peers) ||
	       now - peers->store_answered_at >
		       peers_store_silence_max(peers, now) ||
	       !peers->gateway->config || !peers->gateway->upstreams_listed;
}

/*
 * Returns how many gateways share the polling of the store, as the aggregator
 * forwards what one of them learns. Returns 1 if no aggregator is heard.
 */
unsigned int gateway_peers_poll_group_size(gateway_peers_t *peers, pd_time_t now)
{
	bool heard = peers->aggregator &&
		     now - peers->summary_received_at < LOADS_MAX_AGE;

	return heard ? peers_view(peers, now)->alive : 1;
}

/*
 * Returns whether the aggregator, which watches the store, gets no answers from
 * it.
 */
bool gateway_peers_aggregator_lost_store(const gateway_peers_t *peers)
{
	const peer_t *aggregator =
		peers->aggregator
			? g_hash_table_lookup(peers->by_address, peers->aggregator)
			: NULL;

	return aggregator && !aggregator->has_store;
}

/* Returns whether the connection to a peer failed lately, and it was not heard since. */
static bool peer_is_disconnected(const peer_t *peer, pd_time_t now)
{
	return peer->disconnected_at && peer->heard_at <= peer->disconnected_at &&
	       now - peer->disconnected_at < DISCONNECT_PAUSE;
}

/* Returns whether counts may be sent to a peer: it is alive and reachable. */
static bool peer_accepts_counts(const peer_t *peer, pd_time_t now)
{
	return !peer_is_disconnected(peer, now) && now >= peer->skipped_until &&
	       peer_is_alive(peer, now);
}

/*
 * Fills in the top-ranked peers that counts may be sent to, at most
 * CHECKPOINT_SLOTS. Returns their number. RANK is set to how many of them rank
 * before this gateway.
 */
static unsigned int top_ranked_receivers(const gateway_peers_t *peers,
					 peer_t **first, unsigned int *rank,
					 pd_time_t now)
{
	unsigned int count = 0;

	LIST_FOR_EACH (it, &peers->list) {
		peer_t *peer = LIST_ENTRY(it, peer_t, node);

		if (peer_accepts_counts(peer, now))
			count = insert_by_rank(first, count, CHECKPOINT_SLOTS,
					       peer);
	}
	*rank = 0;
	while (*rank < count && !peers_ranks_before(peers, first[*rank]))
		(*rank)++;
	return count;
}

/*
 * Fills in the other gateways that write the checkpoint as far as this one
 * knows, at most CHECKPOINT_SLOTS. Returns their number.
 */
unsigned int peers_checkpoint_writers(gateway_peers_t *peers, peer_t **writers,
				      pd_time_t now)
{
	unsigned int rank;
	unsigned int count = top_ranked_receivers(peers, writers, &rank, now);

	/* This gateway is a writer itself. */
	if (rank < CHECKPOINT_SLOTS)
		count = MIN(count, CHECKPOINT_SLOTS - 1);
	return count;
}

/*
 * Returns the slot of the checkpoint that this gateway writes, or -1. The
 * top-ranked gateways write, and so does one that is sent counts, as peers may
 * know a different set of live gateways.
 */
int gateway_peers_checkpoint_slot(gateway_peers_t *peers, pd_time_t now)
{
	peer_t *first[CHECKPOINT_SLOTS];
	unsigned int rank;

	top_ranked_receivers(peers, first, &rank, now);
	if (rank < CHECKPOINT_SLOTS)
		return (int)rank;
	if (peers->counts_received_at &&
	    now - peers->counts_received_at < COUNTS_RECEIVED_MAX_AGE)
		return CHECKPOINT_SLOTS - 1;
	return -1;
}

/* Returns whether this gateway may acquire the leader's lease. */
bool gateway_peers_may_acquire_lease(gateway_peers_t *peers)
{
	return peers->is_leader || gateway_peers_is_top_ranked(peers);
}

/*
 * Returns whether the leader was heard from before and is silent now. Only
 * meaningful in a mesh, where it sends its state every 0.25 s; false otherwise.
 */
bool gateway_peers_leader_is_silent(gateway_peers_t *peers, pd_time_t now)
{
	const peer_t *leader = peers->leader && !peers->is_leader
				       ? peers_find(peers, peers->leader)
				       : NULL;

	return leader && leader->heard_at &&
	       now - leader->heard_at > LEADER_SILENCE_MAX &&
	       peers_is_mesh(peers, now);
}

/*
 * Returns whether the loads of upstreams include those of the other gateways. A
 * partitioned gateway sees only its own requests and would take full upstreams
 * for idle ones.
 */
bool gateway_peers_loads_are_current(gateway_peers_t *peers, pd_time_t now)
{
	const peer_view_t *view = peers_view(peers, now);

	if (peers->aggregator)
		return now - peers->summary_received_at < LOADS_MAX_AGE;
	return 2 * view->alive > view->fleet_size;
}

/* Returns whether a peer may take requests that this gateway relays. */
static bool peer_takes_relays(const peer_t *peer, pd_time_t now)
{
	return peer->relay_port && !peer->cut_off &&
	       !peer_is_disconnected(peer, now) && peer_is_alive(peer, now);
}

/* Returns whether another gateway may take requests that this one relays. */
bool gateway_peers_has_relay(const gateway_peers_t *peers)
{
	pd_time_t now = gateway_now();

	LIST_FOR_EACH (it, &peers->list) {
		if (peer_takes_relays(LIST_ENTRY(it, peer_t, node), now))
			return true;
	}
	return false;
}

/*
 * Returns the address:port of a random gateway that may take relayed requests, owned by
 * the caller, or NULL.
 */
char *gateway_peers_pick_relay(const gateway_peers_t *peers)
{
	const peer_t *picked = NULL;
	pd_time_t now = gateway_now();
	gint32 count = 0;

	LIST_FOR_EACH (it, &peers->list) {
		const peer_t *peer = LIST_ENTRY(it, peer_t, node);

		if (peer_takes_relays(peer, now) &&
		    g_rand_int_range(peers->gateway->random, 0, ++count) == 0)
			picked = peer;
	}
	return picked ? g_strdup_printf("%s:%u", picked->host, picked->relay_port)
		      : NULL;
}
