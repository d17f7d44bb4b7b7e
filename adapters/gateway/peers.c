/* Gossip between the gateways over framed TCP, encoded by msgpack. */
#include "adapters/gateway/peers.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/frame_link.h"
#include "adapters/gateway/fleet_feed.h"
#include "adapters/gateway/gateway.h"
#include "adapters/log_glib.h"

#define PART "peers"
/* A configuration of some thousand routes; longer frames end the connection. */
#define FRAME_MAX (4 * 1024 * 1024)
/* Counts that others act on; what is older is guessed on the last rate. */
#define STATE_PERIOD (250 * PD_MSEC)
/* Every so many states carry members and usage, which need not be as fresh. */
#define FULL_EVERY 4
/* A state goes to so many peers at most, in turn, so its cost is bounded. */
#define FANOUT_MAX 8
/* A peer not heard for so long runs nothing any more, as far as loads go. */
#define LOAD_KEPT (2 * PD_SEC)
/* What a peer said of the store holds for a few states. */
#define STORE_NEWS_KEPT (700 * PD_MSEC)
/* Peers are tried for so long after they were last heard of. */
#define PEER_KEPT (20 * PD_SEC)
/* Whoever is not heard for so long no longer counts as one of the fleet. */
#define COUNT_KEPT (60 * PD_SEC)
/* Windows of usage that are told again, in case a message was lost. */
#define WINDOWS_TOLD 4

/* Levels of buckets are taken over from older peers so soon after the start. */
#define ADOPT_MAX (3 * PD_SEC)

typedef enum message_kind {
	MESSAGE_STATE,
	MESSAGE_CONFIG,
	MESSAGE_UPSTREAMS,
	MESSAGE_FETCH
} message_kind_t;

typedef struct load {
	char *upstream;
	unsigned int running;
	double reading;
} load_t;

typedef struct peer {
	list_node_t node;
	char *address; /* address:port */
	char *host;
	uint16_t port;
	char *incarnation; /* NULL: not heard yet */
	bool seed;
	pd_time_t added_at;
	pd_time_t heard_at; /* 0: never */
	bool has_store; /* it was being served when last heard */
	pd_time_t mentioned_at; /* by another peer that hears it */
	GArray *loads; /* of load_t, counted in the upstreams */
} peer_t;

struct gateway_peers {
	gateway_t *gateway;
	frame_link_t *link;
	char *incarnation; /* the node's id and a number of this start */
	list_node_t list; /* of peer_t */
	unsigned int turn; /* of the fanout */
	unsigned int round;
	pd_time_t next_at;
	pd_time_t started_at;
	bool adopted; /* levels of buckets, from an older peer */
};

static void load_clear(void *data)
{
	g_free(((load_t *)data)->upstream);
}

static void pack_text(msgpack_packer *packer, const char *text)
{
	size_t len = strlen(text);

	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, text, len);
}

static char *unpack_text(const msgpack_object *object)
{
	if (object->type != MSGPACK_OBJECT_STR)
		return NULL;
	return g_strndup(object->via.str.ptr, object->via.str.size);
}

static uint64_t unpack_number(const msgpack_object *object)
{
	return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER ? object->via.u64
							       : 0;
}

static double unpack_decimal(const msgpack_object *object)
{
	if (object->type == MSGPACK_OBJECT_FLOAT32 ||
	    object->type == MSGPACK_OBJECT_FLOAT64)
		return object->via.f64;
	return (double)unpack_number(object);
}

/* Returns the items of an array of at least LEAST, or NULL. */
static const msgpack_object *unpack_items(const msgpack_object *object,
					  uint32_t least, uint32_t *count)
{
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < least)
		return NULL;
	if (count)
		*count = object->via.array.size;
	return object->via.array.ptr;
}

static bool split_address(const char *address, char **host, uint16_t *port)
{
	const char *colon = strrchr(address, ':');

	if (!colon)
		return false;
	*host = g_strndup(address, (gsize)(colon - address));
	*port = (uint16_t)strtoul(colon + 1, NULL, 10);
	return true;
}

static peer_t *peers_find(gateway_peers_t *peers, const char *address)
{
	LIST_FOR_EACH (it, &peers->list) {
		peer_t *peer = LIST_ENTRY(it, peer_t, node);

		if (!strcmp(peer->address, address))
			return peer;
	}
	return NULL;
}

static peer_t *peers_add(gateway_peers_t *peers, const char *address)
{
	peer_t *peer = peers_find(peers, address);

	if (peer || !strcmp(address, peers->gateway->settings->peers_listen))
		return peer;
	peer = g_new0(peer_t, 1);
	if (!split_address(address, &peer->host, &peer->port)) {
		g_free(peer);
		return NULL;
	}
	peer->address = g_strdup(address);
	peer->added_at = gateway_now();
	peer->loads = g_array_new(FALSE, TRUE, sizeof(load_t));
	g_array_set_clear_func(peer->loads, load_clear);
	list_append(&peers->list, &peer->node);
	return peer;
}

/* Takes a peer's loads off the upstreams. */
static void peer_unload(gateway_peers_t *peers, peer_t *peer)
{
	for (guint i = 0; i < peer->loads->len; i++) {
		const load_t *load = &g_array_index(peer->loads, load_t, i);
		forward_upstream_t *upstream = forward_upstreams_find(
			peers->gateway->upstreams, load->upstream);

		if (!upstream)
			continue;
		upstream->peers_running -=
			MIN(upstream->peers_running, load->running);
		upstream->peers_reading =
			MAX(upstream->peers_reading - load->reading, 0);
	}
	g_array_set_size(peer->loads, 0);
}

static void peer_destroy(gateway_peers_t *peers, peer_t *peer)
{
	peer_unload(peers, peer);
	list_remove(&peer->node);
	g_array_unref(peer->loads);
	g_free(peer->address);
	g_free(peer->host);
	g_free(peer->incarnation);
	g_free(peer);
}

static void peer_send(const gateway_peers_t *peers, const peer_t *peer,
		      const msgpack_sbuffer *buffer)
{
	GBytes *body = g_bytes_new(buffer->data, buffer->size);

	frame_link_send(peers->link, peer->host, peer->port, body);
	g_bytes_unref(body);
}

static void peers_send_all(const gateway_peers_t *peers,
			   const msgpack_sbuffer *buffer)
{
	LIST_FOR_EACH (it, &peers->list)
		peer_send(peers, LIST_ENTRY(it, peer_t, node), buffer);
}

typedef struct list_writer {
	msgpack_packer *packer;
	unsigned int count;
} list_writer_t;

static void count_total(void *ctx, const char *account, double total,
			double level)
{
	(void)account;
	(void)total;
	(void)level;
	((list_writer_t *)ctx)->count++;
}

static void pack_total(void *ctx, const char *account, double total,
		       double level)
{
	list_writer_t *writer = ctx;

	msgpack_pack_array(writer->packer, 3);
	pack_text(writer->packer, account);
	msgpack_pack_uint64(writer->packer, (uint64_t)MAX(total, 0));
	msgpack_pack_float(writer->packer, (float)level);
}

static void pack_totals(msgpack_packer *packer, const gateway_t *gateway)
{
	list_writer_t writer = { packer, 0 };

	token_limits_each(gateway->limits, count_total, &writer);
	msgpack_pack_array(packer, writer.count);
	token_limits_each(gateway->limits, pack_total, &writer);
}

static void count_usage(void *ctx, int64_t window, const char *account,
			uint64_t count)
{
	(void)window;
	(void)account;
	(void)count;
	((list_writer_t *)ctx)->count++;
}

static void pack_usage(void *ctx, int64_t window, const char *account,
		       uint64_t count)
{
	list_writer_t *writer = ctx;

	msgpack_pack_array(writer->packer, 3);
	msgpack_pack_uint64(writer->packer, (uint64_t)window);
	pack_text(writer->packer, account);
	msgpack_pack_uint64(writer->packer, count);
}

static void pack_usages(msgpack_packer *packer, const gateway_t *gateway)
{
	list_writer_t writer = { packer, 0 };
	int64_t from = gateway_window(gateway) - WINDOWS_TOLD;

	usage_each_own(gateway->usage, from, count_usage, &writer);
	msgpack_pack_array(packer, writer.count);
	usage_each_own(gateway->usage, from, pack_usage, &writer);
}

static void pack_loads(msgpack_packer *packer, const gateway_t *gateway)
{
	uint32_t count = 0;

	LIST_FOR_EACH (it, forward_upstreams_list(gateway->upstreams))
		count += LIST_ENTRY(it, forward_upstream_t, node)->running > 0;
	msgpack_pack_array(packer, count);
	LIST_FOR_EACH (it, forward_upstreams_list(gateway->upstreams)) {
		const forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		if (!upstream->running)
			continue;
		msgpack_pack_array(packer, 3);
		pack_text(packer, upstream->id);
		msgpack_pack_uint32(packer, upstream->running);
		msgpack_pack_uint64(packer,
				    (uint64_t)MAX(upstream->reading, 0));
	}
}

static void count_work(void *ctx, const char *service, double total)
{
	(void)service;
	(void)total;
	((list_writer_t *)ctx)->count++;
}

static void pack_work(void *ctx, const char *service, double total)
{
	list_writer_t *writer = ctx;

	msgpack_pack_array(writer->packer, 2);
	pack_text(writer->packer, service);
	msgpack_pack_uint64(writer->packer, (uint64_t)total);
}

static void pack_works(msgpack_packer *packer, const gateway_t *gateway)
{
	list_writer_t writer = { packer, 0 };

	work_rate_each_own(gateway->work, count_work, &writer);
	msgpack_pack_array(packer, writer.count);
	work_rate_each_own(gateway->work, pack_work, &writer);
}

static bool peer_is_alive(const peer_t *peer, pd_time_t now)
{
	return peer->heard_at && now - peer->heard_at < PEER_KEPT;
}

static void pack_members(msgpack_packer *packer, const gateway_peers_t *peers,
			 pd_time_t now)
{
	uint32_t count = 0;

	LIST_FOR_EACH (it, &peers->list)
		count += peer_is_alive(LIST_ENTRY(it, peer_t, node), now);
	msgpack_pack_array(packer, count);
	LIST_FOR_EACH (it, &peers->list) {
		const peer_t *peer = LIST_ENTRY(it, peer_t, node);

		if (peer_is_alive(peer, now))
			pack_text(packer, peer->address);
	}
}

static uint64_t config_version(const gateway_t *gateway)
{
	return gateway->config ? gateway->config->version : 0;
}

static void pack_state(msgpack_packer *packer, const gateway_peers_t *peers,
		       bool full, pd_time_t now)
{
	const gateway_t *gateway = peers->gateway;

	msgpack_pack_array(packer, 12);
	msgpack_pack_uint8(packer, MESSAGE_STATE);
	pack_text(packer, gateway->settings->peers_listen);
	pack_text(packer, peers->incarnation);
	msgpack_pack_uint64(packer, (uint64_t)gateway_wall());
	msgpack_pack_uint64(packer, config_version(gateway));
	pack_totals(packer, gateway);
	pack_loads(packer, gateway);
	if (full) {
		pack_usages(packer, gateway);
		pack_members(packer, peers, now);
	} else {
		msgpack_pack_nil(packer);
		msgpack_pack_nil(packer);
	}
	msgpack_pack_uint64(packer, (uint64_t)(now - peers->started_at));
	pack_works(packer, gateway);
	msgpack_pack_uint8(packer, fleet_feed_is_back(gateway->feed));
}

/* Sends the state to the next few peers in turn. */
static void peers_send_state(gateway_peers_t *peers, pd_time_t now)
{
	unsigned int total = 0;
	unsigned int at = 0;
	unsigned int fanout;
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	LIST_FOR_EACH (it, &peers->list)
		total++;
	if (!total)
		return;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	pack_state(&packer, peers, peers->round++ % FULL_EVERY == 0, now);
	fanout = MIN(total, FANOUT_MAX);
	peers->turn %= total;
	LIST_FOR_EACH (it, &peers->list) {
		unsigned int place = (at++ + total - peers->turn) % total;

		if (place < fanout)
			peer_send(peers, LIST_ENTRY(it, peer_t, node), &buffer);
	}
	peers->turn += fanout;
	msgpack_sbuffer_destroy(&buffer);
}

static void peers_fetch(gateway_peers_t *peers, const peer_t *from)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint8(&packer, MESSAGE_FETCH);
	pack_text(&packer, peers->gateway->settings->peers_listen);
	peer_send(peers, from, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

static void pack_config(msgpack_packer *packer, const gateway_t *gateway)
{
	msgpack_pack_array(packer, 2);
	msgpack_pack_uint8(packer, MESSAGE_CONFIG);
	pack_text(packer, gateway->config_text);
}

/* Sends the configuration, just taken, to all peers. */
void gateway_peers_config(gateway_peers_t *peers)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	pack_config(&packer, peers->gateway);
	peers_send_all(peers, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

static void pack_upstream(msgpack_packer *packer,
			  const forward_upstream_t *upstream)
{
	msgpack_pack_array(packer, 9);
	pack_text(packer, upstream->id);
	pack_text(packer, upstream->service);
	pack_text(packer, upstream->address);
	msgpack_pack_uint16(packer, upstream->port);
	pack_text(packer, upstream->zone);
	msgpack_pack_uint32(packer, upstream->slots);
	msgpack_pack_uint8(packer, (uint8_t)upstream->stage);
	if (upstream->reclaimable)
		msgpack_pack_true(packer);
	else
		msgpack_pack_false(packer);
	msgpack_pack_uint64(packer, upstream->revision);
}

/* Sends what became known of an upstream to all peers. */
void gateway_peers_upstream(gateway_peers_t *peers,
			    const forward_upstream_t *upstream)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_uint8(&packer, MESSAGE_UPSTREAMS);
	msgpack_pack_false(&packer); /* not all of them */
	msgpack_pack_array(&packer, 1);
	pack_upstream(&packer, upstream);
	peers_send_all(peers, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Sends a peer all that this gateway knows of the fleet. */
static void peers_tell_all(gateway_peers_t *peers, const peer_t *peer)
{
	gateway_t *gateway = peers->gateway;
	uint32_t count = 0;
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	if (gateway->config_text) {
		pack_config(&packer, gateway);
		peer_send(peers, peer, &buffer);
		msgpack_sbuffer_clear(&buffer);
	}
	if (gateway->upstreams_known) {
		LIST_FOR_EACH (it, forward_upstreams_list(gateway->upstreams))
			count++;
		msgpack_pack_array(&packer, 3);
		msgpack_pack_uint8(&packer, MESSAGE_UPSTREAMS);
		msgpack_pack_true(&packer);
		msgpack_pack_array(&packer, count);
		LIST_FOR_EACH (it, forward_upstreams_list(gateway->upstreams))
			pack_upstream(&packer,
				      LIST_ENTRY(it, forward_upstream_t, node));
		peer_send(peers, peer, &buffer);
	}
	msgpack_sbuffer_destroy(&buffer);
}

static void take_totals(gateway_t *gateway, const char *who,
			const msgpack_object *object, bool adopt, pd_time_t now)
{
	uint32_t count = 0;
	const msgpack_object *items = unpack_items(object, 0, &count);

	for (uint32_t i = 0; i < count; i++) {
		const msgpack_object *fields = unpack_items(&items[i], 3, NULL);
		char *account = fields ? unpack_text(&fields[0]) : NULL;

		if (account && adopt)
			token_limits_adopt(gateway->limits, account,
					   unpack_decimal(&fields[2]), now);
		if (account)
			token_limits_heard(gateway->limits, account, who,
					   unpack_decimal(&fields[1]), now);
		g_free(account);
	}
}

static void take_loads(gateway_peers_t *peers, peer_t *peer,
		       const msgpack_object *object)
{
	uint32_t count = 0;
	const msgpack_object *items = unpack_items(object, 0, &count);

	peer_unload(peers, peer);
	for (uint32_t i = 0; i < count; i++) {
		const msgpack_object *fields = unpack_items(&items[i], 3, NULL);
		load_t load = { fields ? unpack_text(&fields[0]) : NULL, 0, 0 };
		forward_upstream_t *upstream;

		if (!load.upstream)
			continue;
		upstream = forward_upstreams_find(peers->gateway->upstreams,
						  load.upstream);
		if (!upstream) {
			g_free(load.upstream);
			continue;
		}
		load.running = (unsigned int)unpack_number(&fields[1]);
		load.reading = unpack_decimal(&fields[2]);
		upstream->peers_running += load.running;
		upstream->peers_reading += load.reading;
		g_array_append_val(peer->loads, load);
	}
}

static void take_usages(gateway_t *gateway, const char *who,
			const msgpack_object *object)
{
	uint32_t count = 0;
	const msgpack_object *items = unpack_items(object, 0, &count);

	for (uint32_t i = 0; i < count; i++) {
		const msgpack_object *fields = unpack_items(&items[i], 3, NULL);
		char *account = fields ? unpack_text(&fields[1]) : NULL;

		if (account)
			usage_heard(gateway->usage, who,
				    (int64_t)unpack_number(&fields[0]), account,
				    unpack_number(&fields[2]));
		g_free(account);
	}
}

static void take_works(gateway_t *gateway, const char *who,
		       const msgpack_object *object, pd_time_t now)
{
	uint32_t count = 0;
	const msgpack_object *items = unpack_items(object, 0, &count);

	for (uint32_t i = 0; i < count; i++) {
		const msgpack_object *pair = unpack_items(&items[i], 2, NULL);
		char *service = pair ? unpack_text(&pair[0]) : NULL;

		if (service)
			work_rate_heard(gateway->work, who, service,
					unpack_decimal(&pair[1]), now);
		g_free(service);
	}
}

static void take_members(gateway_peers_t *peers, const msgpack_object *object,
			 pd_time_t now)
{
	uint32_t count = 0;
	const msgpack_object *items = unpack_items(object, 0, &count);

	for (uint32_t i = 0; i < count; i++) {
		char *address = unpack_text(&items[i]);
		peer_t *peer = address ? peers_add(peers, address) : NULL;

		if (peer)
			peer->mentioned_at = now;
		g_free(address);
	}
}

/* Says whether a peer of that age knows what was used before this start. */
static bool peer_knows_more(gateway_peers_t *peers, uint64_t age, pd_time_t now)
{
	pd_time_t window = (pd_time_t)(
		peers->gateway->settings->limits_window_s * PD_SEC);

	if (peers->adopted || now - peers->started_at > ADOPT_MAX ||
	    (pd_time_t)age < window)
		return false;
	peers->adopted = true;
	return true;
}

static int take_state(gateway_peers_t *peers, const msgpack_object *fields)
{
	gateway_t *gateway = peers->gateway;
	pd_time_t now = gateway_now();
	char *address = unpack_text(&fields[1]);
	char *who = unpack_text(&fields[2]);
	peer_t *peer = address && who ? peers_add(peers, address) : NULL;

	if (!peer)
		goto done;
	if (!peer->heard_at)
		log_line(G_LOG_LEVEL_INFO, PART, "found=%s address=%s", who,
			 address);
	peer->heard_at = now;
	g_free(peer->incarnation);
	peer->incarnation = g_strdup(who);
	time_vote_hear(gateway->vote, address,
		       (pd_time_t)unpack_number(&fields[3]), now);
	take_totals(gateway, who, &fields[5],
		    peer_knows_more(peers, unpack_number(&fields[9]), now), now);
	take_loads(peers, peer, &fields[6]);
	take_usages(gateway, who, &fields[7]);
	take_members(peers, &fields[8], now);
	take_works(gateway, who, &fields[10], now);
	peer->has_store = unpack_number(&fields[11]) != 0;
	if (unpack_number(&fields[4]) > config_version(gateway) ||
	    !gateway->upstreams_known)
		peers_fetch(peers, peer);
done:
	g_free(address);
	g_free(who);
	return peer ? 0 : -1;
}

static int take_config(gateway_peers_t *peers, const msgpack_object *fields)
{
	char *text = unpack_text(&fields[1]);

	if (!text)
		return -1;
	gateway_take_config(peers->gateway, text, "peer");
	g_free(text);
	return 0;
}

/* Takes one upstream that a peer knows of; returns whether that was news. */
static bool take_upstream(gateway_t *gateway, const msgpack_object *object)
{
	const msgpack_object *fields = unpack_items(object, 9, NULL);
	char *texts[4] = { NULL };
	forward_listing_t listing = { 0 };
	bool news = false;

	if (!fields)
		return false;
	texts[0] = unpack_text(&fields[0]);
	texts[1] = unpack_text(&fields[1]);
	texts[2] = unpack_text(&fields[2]);
	texts[3] = unpack_text(&fields[4]);
	listing.id = texts[0];
	listing.service = texts[1];
	listing.address = texts[2];
	listing.port = (uint16_t)unpack_number(&fields[3]);
	listing.zone = texts[3];
	listing.slots = (unsigned int)unpack_number(&fields[5]);
	listing.stage = (forward_stage_t)unpack_number(&fields[6]);
	listing.reclaimable = fields[7].type == MSGPACK_OBJECT_BOOLEAN &&
			      fields[7].via.boolean;
	listing.revision = unpack_number(&fields[8]);
	if (!texts[0] || !texts[1] || !texts[2] || !texts[3])
		goto done;
	if (listing.stage == FORWARD_GONE)
		news = forward_upstreams_remove(gateway->upstreams, listing.id,
						listing.revision, gateway_now());
	else
		news = forward_upstreams_apply(gateway->upstreams, &listing,
					       gateway_now());
	/* Passed on, as a peer may reach some that the sender does not. */
	if (news)
		gateway_upstream_news(gateway, listing.id, "peer");
done:
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		g_free(texts[i]);
	return news;
}

static int take_upstreams(gateway_peers_t *peers, const msgpack_object *fields)
{
	uint32_t count = 0;
	const msgpack_object *items = unpack_items(&fields[2], 0, &count);

	if (!items)
		return -1;
	for (uint32_t i = 0; i < count; i++)
		take_upstream(peers->gateway, &items[i]);
	if (fields[1].type == MSGPACK_OBJECT_BOOLEAN && fields[1].via.boolean)
		peers->gateway->upstreams_known = true;
	return 0;
}

static int take_fetch(gateway_peers_t *peers, const msgpack_object *fields)
{
	char *address = unpack_text(&fields[1]);
	peer_t *peer = address ? peers_add(peers, address) : NULL;

	g_free(address);
	if (!peer)
		return -1;
	peers_tell_all(peers, peer);
	return 0;
}

static int take_message(gateway_peers_t *peers, const msgpack_object *object)
{
	static const uint32_t lengths[] = {
		[MESSAGE_STATE] = 12,
		[MESSAGE_CONFIG] = 2,
		[MESSAGE_UPSTREAMS] = 3,
		[MESSAGE_FETCH] = 2,
	};
	uint32_t count = 0;
	const msgpack_object *fields = unpack_items(object, 1, &count);
	uint64_t kind = fields ? unpack_number(&fields[0]) : UINT64_MAX;

	if (kind > MESSAGE_FETCH || count < lengths[kind])
		return -1;
	switch ((message_kind_t)kind) {
	case MESSAGE_STATE:
		return take_state(peers, fields);
	case MESSAGE_CONFIG:
		return take_config(peers, fields);
	case MESSAGE_UPSTREAMS:
		return take_upstreams(peers, fields);
	case MESSAGE_FETCH:
		return take_fetch(peers, fields);
	}
	return -1;
}

static int on_frame(void *ctx, const char *data, size_t len)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	int rc = -1;

	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, data, len, &offset) ==
	    MSGPACK_UNPACK_SUCCESS)
		rc = take_message(ctx, &unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	if (rc < 0)
		log_line(G_LOG_LEVEL_WARNING, PART,
			 "dropped a message of %zu bytes: not understood", len);
	return rc;
}

/* Starts to listen and to talk to the seeds. NULL with ERR set on failure. */
gateway_peers_t *gateway_peers_create(gateway_t *gateway, pd_error_t *err)
{
	const gateway_settings_t *settings = gateway->settings;
	gateway_peers_t *peers = g_new0(gateway_peers_t, 1);
	frame_link_config_t config = {
		.frame_max = FRAME_MAX,
		.on_frame = on_frame,
		.ctx = peers,
	};
	char *host = NULL;

	peers->gateway = gateway;
	peers->started_at = gateway_now();
	peers->incarnation = g_strdup_printf("%s#%08x", settings->node_id,
					     g_rand_int(gateway->random));
	list_init(&peers->list);
	if (!split_address(settings->peers_listen, &host, &config.port)) {
		pd_error_set(err, PD_ERROR_SETTINGS, "peers.listen: %s",
			     settings->peers_listen);
		goto error;
	}
	config.address = host;
	peers->link = frame_link_create(gateway->loop, &config, err);
	g_free(host);
	if (!peers->link)
		goto error;
	for (size_t i = 0; i < GATEWAY_SEEDS_MAX && settings->peers_seeds[i];
	     i++) {
		peer_t *peer = peers_add(peers, settings->peers_seeds[i]);

		if (peer)
			peer->seed = true;
	}
	return peers;
error:
	g_free(peers->incarnation);
	g_free(peers);
	return NULL;
}

/* Says whether the store serves a peer that was heard just now. */
bool gateway_peers_have_store(const gateway_peers_t *peers)
{
	pd_time_t now = gateway_now();

	LIST_FOR_EACH (it, &peers->list) {
		const peer_t *peer = LIST_ENTRY(it, peer_t, node);

		if (peer->has_store && peer->heard_at &&
		    now - peer->heard_at < STORE_NEWS_KEPT)
			return true;
	}
	return false;
}

/* Returns how many gateways there are, this one included. */
unsigned int gateway_peers_count(const gateway_peers_t *peers)
{
	pd_time_t now = gateway_now();
	unsigned int count = 1;

	LIST_FOR_EACH (it, &peers->list) {
		const peer_t *peer = LIST_ENTRY(it, peer_t, node);

		count += peer->heard_at && now - peer->heard_at < COUNT_KEPT;
	}
	return count;
}

static bool peer_is_lost(const peer_t *peer, pd_time_t now)
{
	pd_time_t last = MAX(peer->heard_at, peer->added_at);

	return !peer->seed && now - MAX(last, peer->mentioned_at) > COUNT_KEPT;
}

/* Tells the peers what is due, and forgets those that are gone. */
void gateway_peers_run(gateway_peers_t *peers, pd_time_t now)
{
	if (now < peers->next_at)
		return;
	peers->next_at = now + STATE_PERIOD;
	LIST_FOR_EACH_SAFE (it, &peers->list) {
		peer_t *peer = LIST_ENTRY(it, peer_t, node);

		if (now - peer->heard_at > LOAD_KEPT)
			peer_unload(peers, peer);
		if (peer_is_lost(peer, now))
			peer_destroy(peers, peer);
	}
	peers_send_state(peers, now);
}
