/* Membership of the gossip, and the schedule of its messages. */
#include "adapters/gateway/peers.h"

#include <stdlib.h>
#include <string.h>

#include "adapters/gateway/peer_state.h"
#include "adapters/log_glib.h"
#include "core/forward/spread.h"

#define LOG_COMPONENT "peers"
/*
 * Fits a configuration with some thousand routes; longer frames end the
 * connection.
 */
#define FRAME_MAX (4 * 1024 * 1024)
/*
 * Requests are placed by the loads of upstreams, which are at most two periods
 * old.
 */
#define MESH_PERIOD (250 * PD_MSEC)
#define AGGREGATOR_PERIOD (200 * PD_MSEC)
/*
 * In fleets larger than this the period grows in proportion, to bound the load
 * of an aggregator.
 */
#define AGGREGATOR_PERIOD_FLEET 100
#define AGGREGATOR_PERIOD_FACTOR_MAX 4
/* Period of sending limit uses to the checkpoint writers. */
#define LIMIT_USES_PERIOD (70 * PD_MSEC)
#define LIMIT_USES_PERIOD_FACTOR_MAX 3
/* Period of sending streams of services with several versions. */
#define STREAMS_PERIOD (50 * PD_MSEC)
#define STREAMS_PERIOD_FACTOR_MAX 4
/* Half-periods until a state has reached the last gateway in a summary. */
#define PROPAGATION_HALF_PERIODS 5
/*
 * Loads of a peer not heard from for this long are dropped: most of its
 * requests have ended by then.
 */
#define PEER_LOADS_MAX_AGE (2 * PD_SEC)
/*
 * An aggregator that has sent no summary for this long is skipped for a while.
 */
#define AGGREGATOR_TIMEOUT (1500 * PD_MSEC)
#define AGGREGATOR_SKIP_TIME (5 * PD_SEC)
/*
 * The store answers a watch on many objects at least every 0.8 s, and the
 * gossip of that takes two messages, one period apart. If no gateway has had an
 * answer for longer, each one calls the store itself, as the store may be
 * rejecting only those that watch.
 */
#define STORE_SILENCE_MAX (1100 * PD_MSEC)
#define STORE_SILENCE_PERIODS 2
/* A connection that keeps failing is logged at most once in this time. */
#define DISCONNECT_LOG_PERIOD (10 * PD_SEC)
/* Smallest VM that can aggregate for some hundreds of gateways. */
#define HIGH_CAPACITY_CORES 0.24
#define HIGH_CAPACITY_LINK_MBPS 100

/* Returns an empty array of load_t; the caller owns it. */
static GArray *loads_create(void)
{
	return g_array_new(FALSE, TRUE, sizeof(load_t));
}

/* Returns an empty table from name to double; the caller owns it. */
GHashTable *peers_values_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/*
 * Returns a pointer to the value of NAME, added as 0 if it is missing. The
 * table owns it.
 */
double *peers_value(GHashTable *values, const char *name)
{
	double *value = g_hash_table_lookup(values, name);

	if (!value) {
		value = g_new0(double, 1);
		g_hash_table_insert(values, g_strdup(name), value);
	}
	return value;
}

/* Returns the peer at ADDRESS, borrowed, or NULL. */
peer_t *peers_find(gateway_peers_t *peers, const char *address)
{
	return g_hash_table_lookup(peers->by_address, address);
}

/*
 * Returns the peer at ADDRESS, borrowed, adding it if it is new. Returns NULL
 * for this gateway's own address and for an invalid one.
 */
peer_t *peers_add(gateway_peers_t *peers, const char *address)
{
	peer_t *peer = peers_find(peers, address);

	if (peer || !strcmp(address, peers->address))
		return peer;
	peer = g_new0(peer_t, 1);
	if (!gateway_split_address(address, &peer->host, &peer->port)) {
		g_free(peer);
		return NULL;
	}
	peer->address = g_strdup(address);
	peer->hash = g_str_hash(address);
	peer->added_at = gateway_now();
	peer->loads = loads_create();
	peer->granted = peers_values_create();
	peer->requested = peers_values_create();
	peer->work = peers_values_create();
	list_append(&peers->list, &peer->node);
	g_hash_table_insert(peers->by_address, peer->address, peer);
	return peer;
}

/* Subtracts VALUES from SUMS and empties VALUES. */
static void subtract_values(GHashTable *sums, GHashTable *values)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, values);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		double *sum = g_hash_table_lookup(sums, name);

		if (sum)
			*sum -= *(double *)value;
	}
	g_hash_table_remove_all(values);
}

/*
 * Subtracts a peer's limit uses and work from the sums over all peers, and
 * clears them.
 */
void peers_remove_values(gateway_peers_t *peers, peer_t *peer)
{
	subtract_values(peers->granted, peer->granted);
	subtract_values(peers->requested, peer->requested);
	subtract_values(peers->work, peer->work);
}

/* Removes a peer and its part of all sums, and frees it. */
static void peer_destroy(gateway_peers_t *peers, peer_t *peer)
{
	peers_remove_loads(peers, peer->loads);
	peers_remove_values(peers, peer);
	g_hash_table_remove(peers->by_address, peer->address);
	list_remove(&peer->node);
	g_array_unref(peer->loads);
	g_hash_table_unref(peer->granted);
	g_hash_table_unref(peer->requested);
	g_hash_table_unref(peer->work);
	g_free(peer->address);
	g_free(peer->host);
	g_free(peer->incarnation);
	g_free(peer->vm_id);
	g_free(peer);
}

/* Handles a message. Returns 0, or -1 if it is malformed. */
static int on_frame(void *ctx, const char *data, size_t len)
{
	return peers_receive(ctx, data, len);
}

/*
 * Makes the next counts contain everything: all usage and the in-flight
 * snapshot.
 */
static void resend_counts(gateway_peers_t *peers)
{
	usage_mark_unsent(peers->gateway->usage);
	peers->snapshot_sent_at = 0;
}

/*
 * Handles a failed connection: frames may be lost, and the peer may have died.
 */
static void on_lost(void *ctx, const char *key)
{
	gateway_peers_t *peers = ctx;
	peer_t *peer = peers_find(peers, key);
	pd_time_t now = gateway_now();

	if (!peer)
		return;
	if (!peer->disconnected_at ||
	    now - peer->disconnected_at > DISCONNECT_LOG_PERIOD)
		log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT, "lost=%s", key);
	peer->disconnected_at = now;
	resend_counts(peers);
}

/* Records that no connection to a peer could be made. */
static void on_unreachable(void *ctx, const char *key)
{
	peer_t *peer = peers_find(ctx, key);

	if (peer)
		peer->unreachable_at = gateway_now();
}

/* Adds the peers listed in the settings. */
void gateway_peers_add_seeds(gateway_peers_t *peers)
{
	char *const *seeds = peers->gateway->settings->peers_seeds;

	for (size_t i = 0; i < GATEWAY_SEEDS_MAX && seeds[i]; i++) {
		peer_t *peer = peers_add(peers, seeds[i]);

		if (peer)
			peer->seed = true;
	}
}

/*
 * Creates the gossip module, listens for peers and adds the seeds. Returns it,
 * owned by the caller, or NULL with ERR set.
 */
gateway_peers_t *gateway_peers_create(gateway_t *gateway, pd_error_t *err)
{
	const gateway_settings_t *settings = gateway->settings;
	gateway_peers_t *peers = g_new0(gateway_peers_t, 1);
	frame_link_config_t config = {
		.frame_max = FRAME_MAX,
		.on_frame = on_frame,
		.on_lost = on_lost,
		.on_unreachable = on_unreachable,
		.ctx = peers,
	};
	char *host = NULL;

	peers->gateway = gateway;
	peers->started_at = gateway_now();
	peers->store_answered_at = peers->started_at;
	/* Jitter keeps gateways that start together from sending in step. */
	peers->next_limit_uses_at =
		peers->started_at + gateway_jitter(gateway, LIMIT_USES_PERIOD);
	peers->zone = (uint16_t)g_str_hash(settings->node_zone);
	peers->high_capacity = settings->node_cores >= HIGH_CAPACITY_CORES &&
			       settings->node_link_mbps >= HIGH_CAPACITY_LINK_MBPS;
	peers->incarnation = g_strdup_printf("%s#%08x", settings->node_id,
					     g_rand_int(gateway->random));
	peers->aggregator_loads = loads_create();
	peers->last_sent_loads = loads_create();
	peers->speed_samples = g_array_new(FALSE, FALSE, sizeof(speed_sample_t));
	peers->slot_outboxes = peers_slot_outboxes_create();
	peers->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	peers->granted = peers_values_create();
	peers->requested = peers_values_create();
	peers->work = peers_values_create();
	msgpack_sbuffer_init(&peers->loads_packed);
	peers->pending_updates =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	peers->pending_fetches = g_hash_table_new(g_direct_hash, g_direct_equal);
	peers->stream_queries = peers_stream_queries_create();
	peers_grant_candidates_init(&peers->grant_candidates);
	list_init(&peers->list);
	if (!gateway_split_address(settings->peers_listen, &host, &config.port)) {
		pd_error_set(err, PD_ERROR_SETTINGS, "peers.listen: %s",
			     settings->peers_listen);
		goto error;
	}
	config.address = host;
	peers->link = frame_link_create(gateway->loop, &config, err);
	if (!peers->link)
		goto error;
	peers->address =
		g_strdup_printf("%s:%u", host, frame_link_port(peers->link));
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "listen peers=%u",
		 frame_link_port(peers->link));
	g_clear_pointer(&host, g_free);
	gateway_peers_add_seeds(peers);
	return peers;
error:
	g_free(host);
	g_free(peers->incarnation);
	g_array_unref(peers->aggregator_loads);
	g_array_unref(peers->last_sent_loads);
	g_array_unref(peers->speed_samples);
	g_hash_table_unref(peers->slot_outboxes);
	g_hash_table_unref(peers->by_address);
	g_hash_table_unref(peers->granted);
	g_hash_table_unref(peers->requested);
	g_hash_table_unref(peers->work);
	g_hash_table_unref(peers->pending_updates);
	g_hash_table_unref(peers->pending_fetches);
	g_array_unref(peers->stream_queries);
	peers_grant_candidates_clear(&peers->grant_candidates);
	g_free(peers);
	return NULL;
}

/* Returns the name of this process's incarnation, borrowed. */
const char *gateway_peers_incarnation(const gateway_peers_t *peers)
{
	return peers->incarnation;
}

/* Records that the store answered this gateway just now. */
void gateway_peers_record_store_answer(gateway_peers_t *peers)
{
	peers->store_answered_at = gateway_now();
}

/* Returns how long ago the store answered this gateway, or one that it hears from. */
pd_time_t gateway_peers_store_answer_age(const gateway_peers_t *peers, pd_time_t now)
{
	return now - peers->store_answered_at;
}

/*
 * Records whether this gateway is the leader. FENCE is its fencing token; a
 * leader with an older one than is known is ignored.
 */
void gateway_peers_set_leadership(gateway_peers_t *peers, bool is_leader,
				  uint64_t fence)
{
	peers->is_leader = is_leader && fence >= peers->leader_fence;
	if (peers->is_leader)
		peers->leader_fence = fence;
}

/*
 * Returns the id of the leader's VM, borrowed, or NULL if the leader is
 * unknown.
 */
const char *gateway_peers_leader_vm(const gateway_peers_t *peers)
{
	const peer_t *peer;

	if (peers->is_leader)
		return peers->gateway->settings->node_id;
	peer = peers->leader ? peers_find((gateway_peers_t *)peers, peers->leader)
			     : NULL;
	return peer ? peer->vm_id : NULL;
}

/* Returns whether a leader with a higher fencing token than FENCE is known. */
bool gateway_peers_has_newer_leader(const gateway_peers_t *peers, uint64_t fence)
{
	return peers->leader_fence > fence;
}

/* Returns the live peers, borrowed, in an array that the caller owns. */
GPtrArray *peers_alive(const gateway_peers_t *peers, pd_time_t now)
{
	GPtrArray *alive = g_ptr_array_new();

	LIST_FOR_EACH (it, &peers->list) {
		peer_t *peer = LIST_ENTRY(it, peer_t, node);

		if (peer_is_alive(peer, now))
			g_ptr_array_add(alive, peer);
	}
	return alive;
}

/*
 * Sends an update to a few of many peers, each of which forwards it if it is
 * new to it. The few gateways that it misses detect this by the digests in
 * states.
 */
static void peers_spread_to_sample(gateway_peers_t *peers, const GPtrArray *alive,
				   const msgpack_sbuffer *buffer)
{
	uint16_t *zones = g_new(uint16_t, alive->len);
	unsigned int chosen[SPREAD_FANOUT];
	unsigned int count;

	for (guint i = 0; i < alive->len; i++)
		zones[i] = ((const peer_t *)g_ptr_array_index(alive, i))->zone;
	count = spread_choose(zones, alive->len, peers->zone,
			      peers->gateway->random, chosen);
	for (unsigned int i = 0; i < count; i++)
		peers_send(peers, g_ptr_array_index(alive, chosen[i]), buffer);
	g_free(zones);
}

/* Sends an update to all peers of a mesh, or to a sample in a larger fleet. */
void peers_spread(gateway_peers_t *peers, const msgpack_sbuffer *buffer,
		  pd_time_t now)
{
	GPtrArray *alive = peers_alive(peers, now);

	if (peers_is_mesh(peers, now)) {
		for (guint i = 0; i < alive->len; i++)
			peers_send(peers, g_ptr_array_index(alive, i), buffer);
	} else {
		peers_spread_to_sample(peers, alive, buffer);
	}
	g_ptr_array_unref(alive);
}

/*
 * Announces the version of the configuration just applied. Peers that lack it
 * fetch it.
 */
void gateway_peers_announce_config(gateway_peers_t *peers)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	peers_pack_announcement(&packer, peers);
	peers_spread(peers, &buffer, gateway_now());
	msgpack_sbuffer_destroy(&buffer);
}

/* Queues the change of an upstream, which the next run sends to peers. */
void gateway_peers_queue_update(gateway_peers_t *peers, const char *id)
{
	g_hash_table_add(peers->pending_updates, g_strdup(id));
}

/* Sends the queued updates of upstreams, if there are any. */
static void spread_updates(gateway_peers_t *peers, pd_time_t now)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	if (!g_hash_table_size(peers->pending_updates))
		return;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	peers_pack_updates(&packer, peers, peers->pending_updates);
	peers_spread(peers, &buffer, now);
	msgpack_sbuffer_destroy(&buffer);
	g_hash_table_remove_all(peers->pending_updates);
}

/*
 * Switches between summing the states of peers and applying the summaries of
 * AGGREGATOR; NULL: sum the states.
 */
static void follow_aggregator(gateway_peers_t *peers, const char *aggregator,
			      pd_time_t now)
{
	bool followed = peers->aggregator != NULL;

	if (!g_strcmp0(peers->aggregator, aggregator))
		return;
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "aggregator=%s before=%s",
		 aggregator ? aggregator : "self",
		 peers->aggregator ? peers->aggregator : "self");
	g_free(peers->aggregator);
	peers->aggregator = g_strdup(aggregator);
	peers->summary_received_at = now;
	if (!followed)
		peers->summarized_at = now;
	if (followed != (aggregator != NULL)) {
		/* Both would count the same use, work and loads. */
		token_limits_clear_peers(peers->gateway->limits);
		work_rate_clear_peers(peers->gateway->work);
		rollouts_clear_peers(peers->gateway->rollouts);
		LIST_FOR_EACH (it, &peers->list)
			peers_remove_loads(peers,
					   LIST_ENTRY(it, peer_t, node)->loads);
	}
	peers_remove_loads(peers, peers->aggregator_loads);
}

/* Sends this gateway's state to all peers; FULL: with usage and members. */
static void send_to_mesh(gateway_peers_t *peers, bool full)
{
	follow_aggregator(peers, NULL, gateway_now());
	LIST_FOR_EACH (it, &peers->list)
		peers_send_state(peers, LIST_ENTRY(it, peer_t, node), false, full);
}

/*
 * Returns PERIOD scaled with the fleet size, up to FACTOR_MAX times, to bound
 * the load of an aggregator.
 */
static pd_time_t fleet_period(gateway_peers_t *peers, pd_time_t period,
			      int factor_max, pd_time_t now)
{
	pd_time_t stretched = period * peers_view(peers, now)->fleet_size /
			      AGGREGATOR_PERIOD_FLEET;

	return CLAMP(stretched, period, period * factor_max);
}

/* Returns the period of states and summaries in a fleet with aggregators. */
static pd_time_t aggregator_period(gateway_peers_t *peers, pd_time_t now)
{
	return fleet_period(peers, AGGREGATOR_PERIOD,
			    AGGREGATOR_PERIOD_FACTOR_MAX, now);
}

/* Returns the period of states. */
pd_time_t peers_state_period(gateway_peers_t *peers, pd_time_t now)
{
	return peers_is_mesh(peers, now) ? MESH_PERIOD
					 : aggregator_period(peers, now);
}

/* Returns the period of sending limit uses to the checkpoint writers. */
static pd_time_t limit_uses_period(gateway_peers_t *peers, pd_time_t now)
{
	return fleet_period(peers, LIMIT_USES_PERIOD,
			    LIMIT_USES_PERIOD_FACTOR_MAX, now);
}

/* Returns the minimum time between two messages with counts. */
pd_time_t gateway_peers_counts_period(gateway_peers_t *peers, pd_time_t now)
{
	return usage_send_period(peers_view(peers, now)->fleet_size);
}

/*
 * Returns whether the checkpoint writers lack this gateway's latest in-flight
 * snapshot.
 */
bool peers_snapshot_is_unsent(const gateway_peers_t *peers)
{
	const gateway_t *gateway = peers->gateway;
	const inflight_snapshot_t *snapshot =
		usage_inflight_find(gateway->inflight,
				    usage_own_id(gateway->usage));

	return gateway->inflight_changed ||
	       (snapshot && snapshot->taken_at > peers->snapshot_sent_at);
}

/*
 * Returns whether to send counts: changed ones go out at once, at least one
 * counts period apart.
 */
static bool counts_are_due(gateway_peers_t *peers, pd_time_t now)
{
	if (now >= peers->next_limit_uses_at)
		return true;
	return (usage_has_unsent(peers->gateway->usage) ||
		peers_snapshot_is_unsent(peers)) &&
	       now - peers->counts_sent_at >=
		       gateway_peers_counts_period(peers, now);
}

/*
 * Records the current checkpoint writers. If one is new, everything is sent
 * again, as it has not received the earlier counts.
 */
static void update_writers(gateway_peers_t *peers, peer_t *const *writers,
			   unsigned int count)
{
	bool changed = false;

	for (unsigned int i = 0; i < CHECKPOINT_SLOTS; i++) {
		const char *address = i < count ? writers[i]->address : NULL;

		if (!g_strcmp0(peers->checkpoint_writers[i], address))
			continue;
		g_free(peers->checkpoint_writers[i]);
		peers->checkpoint_writers[i] = g_strdup(address);
		changed = true;
	}
	if (changed)
		resend_counts(peers);
}

/*
 * Sends the checkpoint writers the counts that changed since the last message.
 */
static void send_counts(gateway_peers_t *peers, pd_time_t now)
{
	peer_t *writers[CHECKPOINT_SLOTS];
	unsigned int count;
	msgpack_sbuffer buffer;

	if (!counts_are_due(peers, now))
		return;
	peers->next_limit_uses_at = now + limit_uses_period(peers, now);
	count = peers_checkpoint_writers(peers, writers, now);
	update_writers(peers, writers, count);
	if (!count)
		return;
	msgpack_sbuffer_init(&buffer);
	if (peers_pack_counts(&buffer, peers)) {
		peers->counts_sent_at = now;
		for (unsigned int i = 0; i < count; i++)
			peers_send(peers, writers[i], &buffer);
	}
	msgpack_sbuffer_destroy(&buffer);
}

/*
 * Returns the time until all gateways have received a change of one's counters.
 */
pd_time_t gateway_peers_propagation_delay(gateway_peers_t *peers, pd_time_t now)
{
	if (peers_is_mesh(peers, now))
		return MESH_PERIOD * 2;
	return aggregator_period(peers, now) * PROPAGATION_HALF_PERIODS / 2;
}

/*
 * Returns how long the store may be silent before each gateway calls it itself.
 */
pd_time_t peers_store_silence_max(gateway_peers_t *peers, pd_time_t now)
{
	return STORE_SILENCE_MAX +
	       STORE_SILENCE_PERIODS * aggregator_period(peers, now);
}

/* Skips the current aggregator for a while if it sends no summaries. */
static void check_aggregator(gateway_peers_t *peers, pd_time_t now)
{
	peer_t *aggregator =
		peers->aggregator ? peers_find(peers, peers->aggregator) : NULL;
	pd_time_t silence =
		MAX(AGGREGATOR_TIMEOUT, 3 * aggregator_period(peers, now));

	if (aggregator && now - peers->summary_received_at > silence)
		aggregator->skipped_until = now + AGGREGATOR_SKIP_TIME;
}

/*
 * Returns whether a gateway other than the aggregator is to be asked for what this one may
 * have missed, as no aggregator says anything.
 */
static bool is_summary_overdue(gateway_peers_t *peers, pd_time_t now)
{
	return peers->aggregator &&
	       now - peers->summarized_at > 2 * aggregator_period(peers, now);
}

/*
 * Asks a random gateway for a newer configuration and for upstreams that it knows
 * differently.
 */
static void ask_random_peer(gateway_peers_t *peers, pd_time_t now)
{
	GPtrArray *alive = peers_alive(peers, now);
	peer_t *peer;
	gint32 number;

	if (alive->len) {
		number = g_rand_int_range(peers->gateway->random, 0,
					  (gint32)alive->len);
		peer = g_ptr_array_index(alive, (guint)number);
		peers_send_announcement(peers, peer);
		if (peers->gateway->upstreams_listed)
			peers_send_fetch(peers, peer, FETCH_UPSTREAMS);
	}
	g_ptr_array_unref(alive);
}

/*
 * Sends this gateway's state to the aggregators, requesting a summary from the
 * first one, and to the leader if FULL.
 */
static void send_to_aggregators(gateway_peers_t *peers, bool full, pd_time_t now)
{
	bool is_aggregator = peers_view(peers, now)->rank < AGGREGATORS;
	peer_t *first[AGGREGATORS + 1];
	unsigned int count;
	peer_t *leader;

	check_aggregator(peers, now);
	count = peers_top_ranked(peers, first, AGGREGATORS, now);
	follow_aggregator(peers,
			  is_aggregator || !count ? NULL : first[0]->address, now);
	for (unsigned int i = 0; i < count; i++)
		peers_send_state(peers, first[i], !is_aggregator && i == 0, full);
	if (is_summary_overdue(peers, now))
		ask_random_peer(peers, now);
	/*
	 * The leader may be missing from the members that this gateway knows.
	 */
	leader = peers->leader ? peers_add(peers, peers->leader) : NULL;
	if (!leader || !full)
		return;
	for (unsigned int i = 0; i < count; i++) {
		if (first[i] == leader)
			return;
	}
	peers_send_state(peers, leader, false, full);
}

/*
 * Returns whether neither this gateway nor a peer has heard from a peer within
 * FLEET_MEMBER_TIMEOUT. Seeds never expire.
 */
static bool peer_has_expired(const peer_t *peer, pd_time_t now)
{
	pd_time_t last = MAX(peer->heard_at, peer->added_at);

	return !peer->seed &&
	       now - MAX(last, peer->mentioned_at) > FLEET_MEMBER_TIMEOUT;
}

/* Removes expired peers, and the loads of silent ones. */
static void remove_expired(gateway_peers_t *peers, pd_time_t now)
{
	LIST_FOR_EACH_SAFE (it, &peers->list) {
		peer_t *peer = LIST_ENTRY(it, peer_t, node);

		if (now - peer->heard_at > PEER_LOADS_MAX_AGE)
			peers_remove_loads(peers, peer->loads);
		if (peer_has_expired(peer, now))
			peer_destroy(peers, peer);
	}
}

/*
 * Sends records of streams of services with several versions before the next state, as
 * they are lost with this gateway until the checkpoint has them.
 */
static void send_urgent_streams(gateway_peers_t *peers, pd_time_t now)
{
	if (now < peers->next_streams_at ||
	    !stream_versions_has_urgent(peers->gateway->streams))
		return;
	peers->next_streams_at = now + fleet_period(peers, STREAMS_PERIOD,
						    STREAMS_PERIOD_FACTOR_MAX,
						    now);
	gateway_peers_send_streams(peers);
}

/* Sends the messages that are due and removes expired peers. */
void gateway_peers_run(gateway_peers_t *peers, pd_time_t now)
{
	bool mesh;
	bool full;

	send_urgent_streams(peers, now);
	spread_updates(peers, now);
	send_counts(peers, now);
	peers_run_limits(peers, now);
	peers_run_speeds(peers, now);
	if (now < peers->next_state_at)
		return;
	mesh = peers_is_mesh(peers, now);
	peers->next_state_at = now + peers_state_period(peers, now);
	remove_expired(peers, now);
	full = now >= peers->next_full_state_at;
	if (full) {
		peers->next_full_state_at = now + PEERS_FULL_PERIOD;
		peers_repeat_quarantine(peers);
	}
	peers_take_stream_records(peers);
	peers_take_speed_samples(peers);
	if (mesh)
		send_to_mesh(peers, full);
	else
		send_to_aggregators(peers, full, now);
}
