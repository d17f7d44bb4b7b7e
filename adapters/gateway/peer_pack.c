/* Composes the messages between gateways. */
#include <string.h>

#include "adapters/gateway/fleet_feed.h"
#include "adapters/gateway/peer_state.h"

/* Windows of usage that are told again, in case a message was lost. */
#define WINDOWS_TOLD 3

static void pack_text(msgpack_packer *packer, const char *text)
{
	size_t len = strlen(text);

	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, text, len);
}

/* Sends a composed message to a peer. */
void peers_send(const gateway_peers_t *peers, const peer_t *peer,
		const msgpack_sbuffer *buffer)
{
	GBytes *body = g_bytes_new(buffer->data, buffer->size);

	frame_link_send(peers->link, peer->host, peer->port, body);
	g_bytes_unref(body);
}

/* Returns the version of the configuration in force, 0 for none. */
uint64_t peers_config_version(const gateway_peers_t *peers)
{
	const forward_config_t *config = peers->gateway->config;

	return config ? config->version : 0;
}

/* Returns a digest of what is known of the upstreams, 0 before a listing. */
uint64_t peers_digest(const gateway_peers_t *peers)
{
	uint64_t digest = 1;

	if (!peers->gateway->upstreams_known)
		return 0;
	for (unsigned int i = 0; i < FORWARD_BUCKETS; i++)
		digest += forward_upstreams_digest(peers->gateway->upstreams, i);
	return digest;
}

/* Names with numbers, gathered before they are packed: the count goes first. */
typedef struct sums {
	GHashTable *values; /* name -> double */
	GHashTable *levels; /* account -> double; of totals only */
} sums_t;

static void sums_add(GHashTable *values, const char *name, double amount)
{
	double *value = g_hash_table_lookup(values, name);

	if (!value) {
		value = g_new0(double, 1);
		g_hash_table_insert(values, g_strdup(name), value);
	}
	*value += amount;
}

static GHashTable *sums_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void add_all(GHashTable *values, GHashTable *more)
{
	GHashTableIter iter;
	gpointer name;
	gpointer amount;

	g_hash_table_iter_init(&iter, more);
	while (g_hash_table_iter_next(&iter, &name, &amount))
		sums_add(values, name, *(double *)amount);
}

static void add_own_total(void *ctx, const char *account, double total, double level)
{
	sums_t *sums = ctx;

	sums_add(sums->values, account, total);
	sums_add(sums->levels, account, level);
}

/* Packs what each account used, here or at all but EXCEPT, and the levels. */
static void pack_totals(msgpack_packer *packer, const gateway_peers_t *peers,
			bool all, const peer_t *except)
{
	sums_t sums = { sums_create(), sums_create() };
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	token_limits_each(peers->gateway->limits, add_own_total, &sums);
	if (all) {
		LIST_FOR_EACH (it, &peers->list) {
			const peer_t *peer = LIST_ENTRY(it, peer_t, node);

			if (peer != except)
				add_all(sums.values, peer->totals);
		}
	}
	msgpack_pack_array(packer, g_hash_table_size(sums.values));
	g_hash_table_iter_init(&iter, sums.values);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const double *level = g_hash_table_lookup(sums.levels, name);

		msgpack_pack_array(packer, 3);
		pack_text(packer, name);
		msgpack_pack_uint64(packer, (uint64_t)MAX(*(double *)value, 0));
		msgpack_pack_float(packer, level ? (float)*level : 0);
	}
	g_hash_table_unref(sums.values);
	g_hash_table_unref(sums.levels);
}

static void add_own_work(void *ctx, const char *service, double total)
{
	sums_add(ctx, service, total);
}

static void pack_works(msgpack_packer *packer, const gateway_peers_t *peers,
		       bool all, const peer_t *except)
{
	GHashTable *sums = sums_create();
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	work_rate_each_own(peers->gateway->work, add_own_work, sums);
	if (all) {
		LIST_FOR_EACH (it, &peers->list) {
			const peer_t *peer = LIST_ENTRY(it, peer_t, node);

			if (peer != except)
				add_all(sums, peer->works);
		}
	}
	msgpack_pack_array(packer, g_hash_table_size(sums));
	g_hash_table_iter_init(&iter, sums);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		msgpack_pack_array(packer, 2);
		pack_text(packer, name);
		msgpack_pack_uint64(packer, (uint64_t)MAX(*(double *)value, 0));
	}
	g_hash_table_unref(sums);
}

static const load_t *find_load(const GArray *loads, const char *upstream)
{
	for (guint i = 0; loads && i < loads->len; i++) {
		const load_t *load = &g_array_index(loads, load_t, i);

		if (!strcmp(load->upstream, upstream))
			return load;
	}
	return NULL;
}

/* Returns what runs at an upstream, here or at all but EXCEPT. */
static load_t load_of(const forward_upstream_t *upstream, bool all,
		      const peer_t *except)
{
	load_t load = { upstream->id, upstream->running, upstream->reading };
	const load_t *without;

	if (!all)
		return load;
	load.running += upstream->peers_running;
	load.reading += upstream->peers_reading;
	without = except ? find_load(except->loads, upstream->id) : NULL;
	if (without) {
		load.running -= MIN(load.running, without->running);
		load.reading = MAX(load.reading - without->reading, 0);
	}
	return load;
}

static void pack_loads(msgpack_packer *packer, const gateway_peers_t *peers,
		       bool all, const peer_t *except)
{
	list_node_t *list = forward_upstreams_list(peers->gateway->upstreams);
	uint32_t count = 0;

	LIST_FOR_EACH (it, list)
		count += load_of(LIST_ENTRY(it, forward_upstream_t, node), all,
				 except)
				 .running > 0;
	msgpack_pack_array(packer, count);
	LIST_FOR_EACH (it, list) {
		load_t load = load_of(LIST_ENTRY(it, forward_upstream_t, node),
				      all, except);

		if (!load.running)
			continue;
		msgpack_pack_array(packer, 3);
		pack_text(packer, load.upstream);
		msgpack_pack_uint32(packer, load.running);
		msgpack_pack_uint64(packer, (uint64_t)MAX(load.reading, 0));
	}
}

typedef struct usage_writer {
	msgpack_packer *packer;
	uint32_t count;
} usage_writer_t;

static void count_usage(void *ctx, int64_t window, const char *account,
			uint64_t count)
{
	(void)window;
	(void)account;
	(void)count;
	((usage_writer_t *)ctx)->count++;
}

static void pack_usage(void *ctx, int64_t window, const char *account, uint64_t count)
{
	usage_writer_t *writer = ctx;

	msgpack_pack_array(writer->packer, 3);
	msgpack_pack_uint64(writer->packer, (uint64_t)window);
	pack_text(writer->packer, account);
	msgpack_pack_uint64(writer->packer, count);
}

static void pack_usages(msgpack_packer *packer, const gateway_t *gateway)
{
	usage_writer_t writer = { packer, 0 };
	int64_t from = gateway_window(gateway) - WINDOWS_TOLD;

	usage_each_own(gateway->usage, from, count_usage, &writer);
	msgpack_pack_array(packer, writer.count);
	usage_each_own(gateway->usage, from, pack_usage, &writer);
}

static void pack_members(msgpack_packer *packer, const gateway_peers_t *peers,
			 pd_time_t now)
{
	uint32_t count = 0;

	LIST_FOR_EACH (it, &peers->list)
		count += peer_is_heard(LIST_ENTRY(it, peer_t, node), now);
	msgpack_pack_array(packer, count);
	LIST_FOR_EACH (it, &peers->list) {
		const peer_t *peer = LIST_ENTRY(it, peer_t, node);

		if (!peer_is_heard(peer, now))
			continue;
		msgpack_pack_array(packer, 2);
		pack_text(packer, peer->address);
		msgpack_pack_uint8(packer, peer->strong);
	}
}

static unsigned int state_flags(const gateway_peers_t *peers, bool asks)
{
	unsigned int flags = 0;

	if (fleet_feed_is_back(peers->gateway->feed))
		flags |= STATE_FLAG_HAS_STORE;
	if (peers->strong)
		flags |= STATE_FLAG_STRONG;
	if (asks)
		flags |= STATE_FLAG_ASKS;
	return flags;
}

static void pack_head(msgpack_packer *packer, const gateway_peers_t *peers,
		      message_kind_t kind, pd_time_t wall, bool asks)
{
	pd_time_t now = gateway_now();

	msgpack_pack_array(packer, STATE_FIELDS);
	msgpack_pack_uint8(packer, (uint8_t)kind);
	pack_text(packer, peers->address);
	pack_text(packer, peers->incarnation);
	msgpack_pack_uint64(packer, (uint64_t)wall);
	msgpack_pack_uint64(packer, peers_config_version(peers));
	msgpack_pack_uint64(packer, peers_digest(peers));
	msgpack_pack_uint64(packer, (uint64_t)(now - peers->started_at));
	msgpack_pack_uint8(packer, (uint8_t)state_flags(peers, asks));
	msgpack_pack_uint64(packer, (uint64_t)(now - peers->store_heard_at));
	pack_text(packer, peers->is_holder ? peers->address
			  : peers->holder  ? peers->holder
					   : "");
	msgpack_pack_uint64(packer, peers->holder_fence);
}

/* Sends what this gateway did; FULL: with usage and members. */
void peers_send_state(gateway_peers_t *peers, peer_t *peer, bool asks, bool full)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	pack_head(&packer, peers, MESSAGE_STATE, gateway_wall(), asks);
	pack_totals(&packer, peers, false, NULL);
	pack_works(&packer, peers, false, NULL);
	pack_loads(&packer, peers, false, NULL);
	if (full) {
		pack_usages(&packer, peers->gateway);
		pack_members(&packer, peers, gateway_now());
	} else {
		msgpack_pack_nil(&packer);
		msgpack_pack_nil(&packer);
	}
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Sends what all gateways but the receiver did; FULL: with the members. */
void peers_send_summary(gateway_peers_t *peers, peer_t *peer, bool full)
{
	const gateway_t *gateway = peers->gateway;
	pd_time_t now = gateway_now();
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	pack_head(&packer, peers, MESSAGE_SUMMARY,
		  time_vote_wall(gateway->vote, gateway_wall(), now), false);
	pack_totals(&packer, peers, true, peer);
	pack_works(&packer, peers, true, peer);
	pack_loads(&packer, peers, true, peer);
	msgpack_pack_nil(&packer);
	if (full)
		pack_members(&packer, peers, now);
	else
		msgpack_pack_nil(&packer);
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Asks a peer for what this gateway lacks. */
void peers_send_fetch(gateway_peers_t *peers, peer_t *peer, unsigned int what)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_uint8(&packer, MESSAGE_FETCH);
	pack_text(&packer, peers->address);
	msgpack_pack_uint8(&packer, (uint8_t)what);
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Sends the configuration in force, if there is one. */
void peers_send_config(gateway_peers_t *peers, peer_t *peer)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	if (!peers->gateway->config_text)
		return;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint8(&packer, MESSAGE_CONFIG);
	pack_text(&packer, peers->gateway->config_text);
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Packs the version of the configuration that was just taken. */
void peers_pack_announce(msgpack_packer *packer, const gateway_peers_t *peers)
{
	msgpack_pack_array(packer, 3);
	msgpack_pack_uint8(packer, MESSAGE_ANNOUNCE);
	pack_text(packer, peers->address);
	msgpack_pack_uint64(packer, peers_config_version(peers));
}

static void pack_upstream(msgpack_packer *packer, const forward_upstream_t *upstream)
{
	msgpack_pack_array(packer, 9);
	pack_text(packer, upstream->id);
	pack_text(packer, upstream->service);
	pack_text(packer, upstream->address);
	msgpack_pack_uint16(packer, upstream->port);
	pack_text(packer, upstream->zone);
	msgpack_pack_uint32(packer, upstream->slots);
	msgpack_pack_uint8(packer, (uint8_t)upstream->stage);
	msgpack_pack_uint8(packer, upstream->reclaimable);
	msgpack_pack_uint64(packer, upstream->revision);
}

/* Packs what is known of some upstreams; IDS is NULL for all. */
void peers_pack_news(msgpack_packer *packer, const gateway_peers_t *peers,
		     GHashTable *ids)
{
	list_node_t *list = forward_upstreams_list(peers->gateway->upstreams);
	uint32_t count = 0;

	LIST_FOR_EACH (it, list)
		count += !ids ||
			 g_hash_table_contains(
				 ids, LIST_ENTRY(it, forward_upstream_t, node)->id);
	msgpack_pack_array(packer, 3);
	msgpack_pack_uint8(packer, MESSAGE_NEWS);
	msgpack_pack_uint8(packer, !ids); /* these are all */
	msgpack_pack_array(packer, count);
	LIST_FOR_EACH (it, list) {
		const forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		if (!ids || g_hash_table_contains(ids, upstream->id))
			pack_upstream(packer, upstream);
	}
}

/* Sends all upstreams, if a whole listing is known. */
void peers_send_upstreams(gateway_peers_t *peers, peer_t *peer)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	if (!peers->gateway->upstreams_known)
		return;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	peers_pack_news(&packer, peers, NULL);
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}
