/* Which gateways are alive, which of them go first, and what follows for this. */
#include <string.h>

#include "adapters/gateway/peer_state.h"

/* A peer heard within this is alive; messages can be late by a lost packet. */
#define PEER_TIMEOUT (3 * PD_SEC)
/* Four states of the holder were lost, or it has ended: the lease is looked at. */
#define LEADER_SILENCE_MAX PD_SEC
/* After its connection has failed a peer is sent no counts until it is heard. */
#define DISCONNECT_PAUSE (2 * PD_SEC)
/* Who was sent counts within this writes them. */
#define COUNTS_RECEIVED_MAX_AGE PD_SEC
/* A mention comes with every few states of whoever hears the peer. */
#define MENTION_TIMEOUT (6 * PD_SEC)
/* Sums of loads older than this say little: most requests have ended since. */
#define LOADS_MAX_AGE (2 * PD_SEC)
/*
 * Who is alive changes within seconds, and is asked for many times a tick, which
 * in a fleet of hundreds cost more than the requests did.
 */
#define VIEW_MAX_AGE (100 * PD_MSEC)

/* Says whether the peer itself was heard lately. */
bool peer_is_heard(const peer_t *peer, pd_time_t now)
{
	return peer->heard_at && now - peer->heard_at < PEER_TIMEOUT;
}

/* Says whether the peer was heard lately, here or by somebody who told. */
bool peer_is_alive(const peer_t *peer, pd_time_t now)
{
	return peer_is_heard(peer, now) ||
	       (peer->mentioned_at && now - peer->mentioned_at < MENTION_TIMEOUT);
}

static bool peer_is_in_fleet(const peer_t *peer, pd_time_t now)
{
	pd_time_t last = MAX(peer->heard_at, peer->mentioned_at);

	return last && now - last < FLEET_MEMBER_TIMEOUT;
}

/* Says whether one gateway goes before another, by address, hash and strength. */
static bool ranks_before(bool high_capacity, guint hash, const char *address,
			 const peer_t *other)
{
	if (high_capacity != other->high_capacity)
		return high_capacity;
	if (hash != other->hash)
		return hash < other->hash;
	return strcmp(address, other->address) < 0;
}

static bool peer_ranks_before(const peer_t *peer, const peer_t *other)
{
	return ranks_before(peer->high_capacity, peer->hash, peer->address, other);
}

/* Returns what follows from who is alive. */
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
		view.rank += !ranks_before(peers->high_capacity, hash,
					   peers->address, peer);
	}
	/* An aggregator hears all; its followers hear of some of many only. */
	if (peers->aggregator && peers->summary_fleet_size > MEMBERS_LISTED_MAX) {
		view.alive = MAX(view.alive, peers->summary_fleet_size);
		view.fleet_size = MAX(view.fleet_size, peers->summary_fleet_size);
	}
	peers->view = view;
	return &peers->view;
}

/* Inserts a peer among COUNT that are sorted, of which MOST are kept; returns how many. */
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

/* Fills in the live peers that go first; returns how many there are. */
unsigned int peers_top_ranked(const gateway_peers_t *peers, peer_t **first,
			      unsigned int most, pd_time_t now)
{
	unsigned int count = 0;

	LIST_FOR_EACH (it, &peers->list) {
		peer_t *peer = LIST_ENTRY(it, peer_t, node);

		if (peer_is_alive(peer, now) && now >= peer->skipped_until)
			count = insert_by_rank(first, count, most, peer);
	}
	return count;
}

/* Says whether all gateways tell each other, as there are few. */
bool peers_is_mesh(gateway_peers_t *peers, pd_time_t now)
{
	return peers_view(peers, now)->alive <= GATEWAY_MESH_MAX;
}

/* The same, as of now. */
bool gateway_peers_is_mesh(gateway_peers_t *peers)
{
	return peers_is_mesh(peers, gateway_now());
}

/* Returns how many gateways there are, this one included. */
unsigned int gateway_peers_count(gateway_peers_t *peers)
{
	return peers_view(peers, gateway_now())->fleet_size;
}

/* Returns when the first of the gateways that are heard has started, this one included. */
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

/* Says whether this gateway is one of the few that ask the store for all. */
bool gateway_peers_is_top_ranked(gateway_peers_t *peers)
{
	pd_time_t now = gateway_now();

	return peers_is_mesh(peers, now) ||
	       peers_view(peers, now)->rank < STORE_WATCHERS;
}

/* Says whether this gateway asks the store itself. */
bool gateway_peers_should_watch_store(gateway_peers_t *peers)
{
	pd_time_t now = gateway_now();

	return gateway_peers_is_top_ranked(peers) ||
	       now - peers->store_answered_at >
		       peers_store_silence_max(peers, now) ||
	       !peers->gateway->config || !peers->gateway->upstreams_known;
}

/*
 * Returns how many gateways share the polling of the store, as the aggregator passes
 * on what one of them learns; 1 if this one hears no aggregator.
 */
unsigned int gateway_peers_poll_group_size(gateway_peers_t *peers, pd_time_t now)
{
	bool heard = peers->aggregator &&
		     now - peers->summary_received_at < LOADS_MAX_AGE;

	return heard ? peers_view(peers, now)->alive : 1;
}

/* Returns whether the aggregator, which watches the store, is not served by it. */
bool gateway_peers_aggregator_lost_store(const gateway_peers_t *peers)
{
	const peer_t *aggregator =
		peers->aggregator
			? g_hash_table_lookup(peers->by_address, peers->aggregator)
			: NULL;

	return aggregator && !aggregator->has_store;
}

/* Returns whether counts may be sent to a peer: it is alive and was reached. */
static bool peer_accepts_counts(const peer_t *peer, pd_time_t now)
{
	bool lost = peer->disconnected_at &&
		    peer->heard_at <= peer->disconnected_at &&
		    now - peer->disconnected_at < DISCONNECT_PAUSE;

	return !lost && now >= peer->skipped_until && peer_is_alive(peer, now);
}

/*
 * Fills in the first peers that counts may be sent to, CHECKPOINT_SLOTS at most.
 * Returns how many those are; RANK is how many of them go before this gateway.
 */
static unsigned int top_ranked_receivers(const gateway_peers_t *peers,
					 peer_t **first, unsigned int *rank,
					 pd_time_t now)
{
	guint hash = g_str_hash(peers->address);
	unsigned int count = 0;

	LIST_FOR_EACH (it, &peers->list) {
		peer_t *peer = LIST_ENTRY(it, peer_t, node);

		if (peer_accepts_counts(peer, now))
			count = insert_by_rank(first, count, CHECKPOINT_SLOTS,
					       peer);
	}
	*rank = 0;
	while (*rank < count && !ranks_before(peers->high_capacity, hash,
					      peers->address, first[*rank]))
		(*rank)++;
	return count;
}

/*
 * Fills in the peers that write the checkpoint, as far as this gateway knows, at most
 * CHECKPOINT_SLOTS. Returns how many.
 */
unsigned int peers_checkpoint_writers(gateway_peers_t *peers, peer_t **writers,
				      pd_time_t now)
{
	unsigned int rank;
	unsigned int count = top_ranked_receivers(peers, writers, &rank, now);

	/* This gateway is one of the writers itself. */
	if (rank < CHECKPOINT_SLOTS)
		count = MIN(count, CHECKPOINT_SLOTS - 1);
	return count;
}

/*
 * Returns which of the checkpoint's objects this gateway writes, -1 if none: one of
 * the first, or whoever is sent counts, as others may know more of who is alive.
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

/* Says whether this gateway may take the lease on the duties. */
bool gateway_peers_may_acquire_lease(gateway_peers_t *peers)
{
	return peers->is_leader || gateway_peers_is_top_ranked(peers);
}

/*
 * Says whether the holder of the duties was heard of, and is silent now. It tells
 * its state every 0.25 s in a mesh.
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
 * Says whether the loads at the upstreams include those of the other gateways. A
 * gateway that is cut off sees only its own requests, and would take upstreams
 * that are full for empty.
 */
bool gateway_peers_loads_are_current(gateway_peers_t *peers, pd_time_t now)
{
	const peer_view_t *view = peers_view(peers, now);

	if (peers->aggregator)
		return now - peers->summary_received_at < LOADS_MAX_AGE;
	return 2 * view->alive > view->fleet_size;
}
