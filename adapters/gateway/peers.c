/* Who the other gateways are, and who tells whom. */
#include "adapters/gateway/peers.h"

#include <stdlib.h>
#include <string.h>

#include "adapters/gateway/peer_state.h"
#include "adapters/log_glib.h"
#include "core/forward/spread.h"

#define PART "peers"
/* A configuration of some thousand routes; longer frames end the connection. */
#define FRAME_MAX (4 * 1024 * 1024)
/* Loads of upstreams, by which requests are placed, are two periods old at most. */
#define MESH_PERIOD (250 * PD_MSEC)
#define AGGREGATOR_PERIOD (200 * PD_MSEC)
/* Beyond so many gateways the period grows with them, to bound an aggregator's load. */
#define AGGREGATOR_PERIOD_FLEET 100
#define AGGREGATOR_PERIOD_FACTOR_MAX 4
/* How often usage is sent to the checkpoint writers. */
#define USES_PERIOD (70 * PD_MSEC)
#define USES_PERIOD_FACTOR_MAX 3
/* Halves of periods until a state has come back in a summary to the slowest. */
#define LAG_PERIODS_2 5
/* A peer not heard for so long runs nothing any more, as far as loads go. */
#define LOAD_KEPT (2 * PD_SEC)
/* An aggregator that has not answered for so long is passed over for a while. */
#define AGGREGATOR_SILENCE (1500 * PD_MSEC)
#define AGGREGATOR_PAUSE (5 * PD_SEC)
/*
 * A watch for many answers every 0.8 s at least, and word of that takes two messages,
 * a period apart. If nobody has been served for longer, each gateway asks for itself,
 * as the store may turn away just those that watch.
 */
#define STORE_STALE (1100 * PD_MSEC)
#define STORE_STALE_PERIODS 2
/* A connection that fails again and again is logged once in such a time. */
#define LOST_LOG_PERIOD (10 * PD_SEC)
/* A VM with that much processor and link can carry an aggregator of some hundreds. */
#define STRONG_CORES 0.24
#define STRONG_MBPS 100

static GArray *loads_create(void)
{
	return g_array_new(FALSE, TRUE, sizeof(load_t));
}

/* Returns an empty table of numbers by name; the caller owns it. */
GHashTable *peers_values_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Returns the number of that name in a table, added as 0 if it is not there. */
double *peers_value(GHashTable *values, const char *name)
{
	double *value = g_hash_table_lookup(values, name);

	if (!value) {
		value = g_new0(double, 1);
		g_hash_table_insert(values, g_strdup(name), value);
	}
	return value;
}

/* Returns the peer at an address, or NULL. */
peer_t *peers_find(gateway_peers_t *peers, const char *address)
{
	return g_hash_table_lookup(peers->by_address, address);
}

/* Returns the peer at an address, a new one if need be; NULL: it is oneself. */
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
	peer->totals = peers_values_create();
	peer->asked = peers_values_create();
	peer->works = peers_values_create();
	list_append(&peers->list, &peer->node);
	g_hash_table_insert(peers->by_address, peer->address, peer);
	return peer;
}

static void sum_without(GHashTable *sums, GHashTable *values)
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

/* Takes what a peer has told of its accounts and work out of the sums. */
void peers_forget_counts(gateway_peers_t *peers, peer_t *peer)
{
	sum_without(peers->totals, peer->totals);
	sum_without(peers->asked, peer->asked);
	sum_without(peers->works, peer->works);
}

static void peer_destroy(gateway_peers_t *peers, peer_t *peer)
{
	peers_unload(peers, peer->loads);
	peers_forget_counts(peers, peer);
	g_hash_table_remove(peers->by_address, peer->address);
	list_remove(&peer->node);
	g_array_unref(peer->loads);
	g_hash_table_unref(peer->totals);
	g_hash_table_unref(peer->asked);
	g_hash_table_unref(peer->works);
	g_free(peer->address);
	g_free(peer->host);
	g_free(peer->incarnation);
	g_free(peer->vm_id);
	g_free(peer);
}

static int on_frame(void *ctx, const char *data, size_t len)
{
	return peers_take(ctx, data, len);
}

/* Has the writers sent all counts and what is in flight once more. */
static void resend_counts(gateway_peers_t *peers)
{
	usage_mark_unsent(peers->gateway->usage);
	peers->flight_sent = 0;
}

/* Notes that frames to a peer may be lost, and that it may have died. */
static void on_lost(void *ctx, const char *key)
{
	gateway_peers_t *peers = ctx;
	peer_t *peer = peers_find(peers, key);
	pd_time_t now = gateway_now();

	if (!peer)
		return;
	if (!peer->lost_at || now - peer->lost_at > LOST_LOG_PERIOD)
		log_line(G_LOG_LEVEL_WARNING, PART, "lost=%s", key);
	peer->lost_at = now;
	resend_counts(peers);
}

/* Takes the gateways to begin with from the settings. */
void gateway_peers_take_seeds(gateway_peers_t *peers)
{
	char *const *seeds = peers->gateway->settings->peers_seeds;

	for (size_t i = 0; i < GATEWAY_SEEDS_MAX && seeds[i]; i++) {
		peer_t *peer = peers_add(peers, seeds[i]);

		if (peer)
			peer->seed = true;
	}
}

/* Starts to listen and to talk to the seeds. NULL with ERR set on failure. */
gateway_peers_t *gateway_peers_create(gateway_t *gateway, pd_error_t *err)
{
	const gateway_settings_t *settings = gateway->settings;
	gateway_peers_t *peers = g_new0(gateway_peers_t, 1);
	frame_link_config_t config = {
		.frame_max = FRAME_MAX,
		.on_frame = on_frame,
		.on_lost = on_lost,
		.ctx = peers,
	};
	char *host = NULL;

	peers->gateway = gateway;
	peers->started_at = gateway_now();
	peers->store_heard_at = peers->started_at;
	/* Gateways that start together don't send in step. */
	peers->uses_at = peers->started_at + gateway_jitter(gateway, USES_PERIOD);
	peers->zone = (uint16_t)g_str_hash(settings->node_zone);
	peers->strong = settings->node_cores >= STRONG_CORES &&
			settings->node_link_mbps >= STRONG_MBPS;
	peers->incarnation = g_strdup_printf("%s#%08x", settings->node_id,
					     g_rand_int(gateway->random));
	peers->aggregator_loads = loads_create();
	peers->loads_told = loads_create();
	peers->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	peers->totals = peers_values_create();
	peers->asked = peers_values_create();
	peers->works = peers_values_create();
	msgpack_sbuffer_init(&peers->loads_packed);
	peers->news = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	peers->wanted = g_hash_table_new(g_direct_hash, g_direct_equal);
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
	log_line(G_LOG_LEVEL_INFO, PART, "listen peers=%u",
		 frame_link_port(peers->link));
	g_clear_pointer(&host, g_free);
	gateway_peers_take_seeds(peers);
	return peers;
error:
	g_free(host);
	g_free(peers->incarnation);
	g_array_unref(peers->aggregator_loads);
	g_array_unref(peers->loads_told);
	g_hash_table_unref(peers->by_address);
	g_hash_table_unref(peers->totals);
	g_hash_table_unref(peers->asked);
	g_hash_table_unref(peers->works);
	g_hash_table_unref(peers->news);
	g_hash_table_unref(peers->wanted);
	g_free(peers);
	return NULL;
}

/* Returns the name of this gateway's start, borrowed. */
const char *gateway_peers_incarnation(const gateway_peers_t *peers)
{
	return peers->incarnation;
}

/* Notes that the store answered this gateway. */
void gateway_peers_store_heard(gateway_peers_t *peers)
{
	peers->store_heard_at = gateway_now();
}

/* Notes whether this gateway holds the duties: usage is told to the holder. */
void gateway_peers_hold_duties(gateway_peers_t *peers, bool held, uint64_t fence)
{
	peers->is_holder = held && fence >= peers->holder_fence;
	if (peers->is_holder)
		peers->holder_fence = fence;
}

/* Returns the id of the leader's VM, borrowed; NULL: it is not known. */
const char *gateway_peers_leader(const gateway_peers_t *peers)
{
	const peer_t *peer;

	if (peers->is_holder)
		return peers->gateway->settings->node_id;
	peer = peers->holder ? peers_find((gateway_peers_t *)peers, peers->holder)
			     : NULL;
	return peer ? peer->vm_id : NULL;
}

/* Says whether a later holder of the duties was heard of than that with FENCE. */
bool gateway_peers_has_holder_after(const gateway_peers_t *peers, uint64_t fence)
{
	return peers->holder_fence > fence;
}

/* Returns the live peers, borrowed, in an array that the caller owns. */
static GPtrArray *peers_alive(const gateway_peers_t *peers, pd_time_t now)
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
 * Sends an update to a few of many peers; each passes it on if it is new there.
 * Digests in the states make up for the few gateways that it does not reach.
 */
static void peers_spread_to_some(gateway_peers_t *peers, const GPtrArray *alive,
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

/* Sends an update to all peers of a mesh, or to some of a larger fleet. */
static void peers_spread(gateway_peers_t *peers, const msgpack_sbuffer *buffer,
			 pd_time_t now)
{
	GPtrArray *alive = peers_alive(peers, now);

	if (peers_is_mesh(peers, now)) {
		for (guint i = 0; i < alive->len; i++)
			peers_send(peers, g_ptr_array_index(alive, i), buffer);
	} else {
		peers_spread_to_some(peers, alive, buffer);
	}
	g_ptr_array_unref(alive);
}

/* Tells of the configuration just taken; whoever lacks it asks for it. */
void gateway_peers_config(gateway_peers_t *peers)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	peers_pack_announce(&packer, peers);
	peers_spread(peers, &buffer, gateway_now());
	msgpack_sbuffer_destroy(&buffer);
}

/* Notes an upstream of which the peers are to be told, with the next step. */
void gateway_peers_upstream(gateway_peers_t *peers, const char *id)
{
	g_hash_table_add(peers->news, g_strdup(id));
}

static void spread_news(gateway_peers_t *peers, pd_time_t now)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	if (!g_hash_table_size(peers->news))
		return;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	peers_pack_news(&packer, peers, peers->news);
	peers_spread(peers, &buffer, now);
	msgpack_sbuffer_destroy(&buffer);
	g_hash_table_remove_all(peers->news);
}

/* Changes between hearing the peers oneself and following an aggregator's sums. */
static void follow_aggregator(gateway_peers_t *peers, const char *aggregator,
			      pd_time_t now)
{
	bool followed = peers->aggregator != NULL;

	if (!g_strcmp0(peers->aggregator, aggregator))
		return;
	log_line(G_LOG_LEVEL_INFO, PART, "aggregator=%s before=%s",
		 aggregator ? aggregator : "self",
		 peers->aggregator ? peers->aggregator : "self");
	g_free(peers->aggregator);
	peers->aggregator = g_strdup(aggregator);
	peers->summed_at = now;
	if (followed != (aggregator != NULL)) {
		/* The same use would be counted by both. */
		token_limits_clear_peers(peers->gateway->limits);
		work_rate_clear_peers(peers->gateway->work);
		LIST_FOR_EACH (it, &peers->list)
			peers_unload(peers, LIST_ENTRY(it, peer_t, node)->loads);
	}
	peers_unload(peers, peers->aggregator_loads);
}

static void tell_mesh(gateway_peers_t *peers, bool full)
{
	follow_aggregator(peers, NULL, gateway_now());
	LIST_FOR_EACH (it, &peers->list)
		peers_send_state(peers, LIST_ENTRY(it, peer_t, node), false, full);
}

/* Stretches a period with the fleet, up to a bound, so that an aggregator's load stays. */
static pd_time_t fleet_period(gateway_peers_t *peers, pd_time_t period,
			      int factor_max, pd_time_t now)
{
	pd_time_t stretched = period * peers_view(peers, now)->counted /
			      AGGREGATOR_PERIOD_FLEET;

	return CLAMP(stretched, period, period * factor_max);
}

/* How often aggregators are told and tell. */
static pd_time_t aggregator_period(gateway_peers_t *peers, pd_time_t now)
{
	return fleet_period(peers, AGGREGATOR_PERIOD,
			    AGGREGATOR_PERIOD_FACTOR_MAX, now);
}

/* How often the use of limits is sent to the checkpoint writers. */
static pd_time_t uses_period(gateway_peers_t *peers, pd_time_t now)
{
	return fleet_period(peers, USES_PERIOD, USES_PERIOD_FACTOR_MAX, now);
}

/* Returns how soon after a message with counts the next one may be sent. */
pd_time_t gateway_peers_counts_period(gateway_peers_t *peers, pd_time_t now)
{
	return usage_send_period(peers_view(peers, now)->counted);
}

/* Returns whether the writers don't know what this gateway has in flight. */
bool peers_flight_is_unsent(const gateway_peers_t *peers)
{
	const gateway_t *gateway = peers->gateway;
	const inflight_snapshot_t *flight =
		usage_inflight_find(gateway->inflight,
				    usage_own_id(gateway->usage));

	return gateway->flight_changed ||
	       (flight && flight->taken_at > peers->flight_sent);
}

/* Counts that have changed are sent at once, unless others have just been sent. */
static bool counts_are_due(gateway_peers_t *peers, pd_time_t now)
{
	if (now >= peers->uses_at)
		return true;
	return (usage_has_unsent(peers->gateway->usage) ||
		peers_flight_is_unsent(peers)) &&
	       now - peers->counts_sent_at >=
		       gateway_peers_counts_period(peers, now);
}

/* Notes the checkpoint writers; a new one has not been sent what others have. */
static void follow_writers(gateway_peers_t *peers, peer_t *const *writers,
			   unsigned int count)
{
	bool changed = false;

	for (unsigned int i = 0; i < CHECKPOINT_SLOTS; i++) {
		const char *address = i < count ? writers[i]->address : NULL;

		if (!g_strcmp0(peers->counts_to[i], address))
			continue;
		g_free(peers->counts_to[i]);
		peers->counts_to[i] = g_strdup(address);
		changed = true;
	}
	if (changed)
		resend_counts(peers);
}

/* Sends the checkpoint writers what was counted here since the last time. */
static void send_counts(gateway_peers_t *peers, pd_time_t now)
{
	peer_t *writers[CHECKPOINT_SLOTS];
	unsigned int count;
	msgpack_sbuffer buffer;

	if (!counts_are_due(peers, now))
		return;
	peers->uses_at = now + uses_period(peers, now);
	count = peers_writers(peers, writers, now);
	follow_writers(peers, writers, count);
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

/* Returns how long it takes until all gateways know what one has done. */
pd_time_t gateway_peers_lag(gateway_peers_t *peers, pd_time_t now)
{
	if (peers_is_mesh(peers, now))
		return MESH_PERIOD * 2;
	return aggregator_period(peers, now) * LAG_PERIODS_2 / 2;
}

/* After how long without news of the store each gateway asks for itself. */
pd_time_t peers_store_stale(gateway_peers_t *peers, pd_time_t now)
{
	return STORE_STALE + STORE_STALE_PERIODS * aggregator_period(peers, now);
}

/* Passes an aggregator over that gives no summaries. */
static void check_aggregator(gateway_peers_t *peers, pd_time_t now)
{
	peer_t *aggregator =
		peers->aggregator ? peers_find(peers, peers->aggregator) : NULL;
	pd_time_t silence =
		MAX(AGGREGATOR_SILENCE, 3 * aggregator_period(peers, now));

	if (aggregator && now - peers->summed_at > silence)
		aggregator->passed_over_until = now + AGGREGATOR_PAUSE;
}

static void send_to_aggregators(gateway_peers_t *peers, bool full, pd_time_t now)
{
	bool is_aggregator = peers_view(peers, now)->rank < AGGREGATORS;
	peer_t *first[AGGREGATORS + 1];
	unsigned int count;
	peer_t *holder;

	check_aggregator(peers, now);
	count = peers_first(peers, first, AGGREGATORS, now);
	follow_aggregator(peers,
			  is_aggregator || !count ? NULL : first[0]->address, now);
	for (unsigned int i = 0; i < count; i++)
		peers_send_state(peers, first[i], !is_aggregator && i == 0, full);
	/* It need not be among the members that this gateway was told. */
	holder = peers->holder ? peers_add(peers, peers->holder) : NULL;
	if (!holder || !full)
		return;
	for (unsigned int i = 0; i < count; i++) {
		if (first[i] == holder)
			return;
	}
	peers_send_state(peers, holder, false, full);
}

static bool peer_is_lost(const peer_t *peer, pd_time_t now)
{
	pd_time_t last = MAX(peer->heard_at, peer->added_at);

	return !peer->seed && now - MAX(last, peer->mentioned_at) > COUNT_KEPT;
}

static void forget_lost(gateway_peers_t *peers, pd_time_t now)
{
	LIST_FOR_EACH_SAFE (it, &peers->list) {
		peer_t *peer = LIST_ENTRY(it, peer_t, node);

		if (now - peer->heard_at > LOAD_KEPT)
			peers_unload(peers, peer->loads);
		if (peer_is_lost(peer, now))
			peer_destroy(peers, peer);
	}
}

/* Tells the peers what is due, and forgets those that are gone. */
void gateway_peers_run(gateway_peers_t *peers, pd_time_t now)
{
	bool mesh;
	bool full;

	spread_news(peers, now);
	send_counts(peers, now);
	if (now < peers->next_at)
		return;
	mesh = peers_is_mesh(peers, now);
	peers->next_at =
		now + (mesh ? MESH_PERIOD : aggregator_period(peers, now));
	forget_lost(peers, now);
	full = now >= peers->full_at;
	if (full)
		peers->full_at = now + PEERS_FULL_PERIOD;
	if (mesh)
		tell_mesh(peers, full);
	else
		send_to_aggregators(peers, full, now);
}
