/* Lists and watches of the store, one loop for each kind of object. */
#include "adapters/gateway/fleet_feed.h"

#include "adapters/gateway/gateway.h"
#include "adapters/gateway/peers.h"
#include "adapters/log_glib.h"
#include "core/forward/store_feed.h"
#include "platform/wire.h"

#define PART "store"
/* Lines about spoiled entries in each such time. */
#define SPOILED_TOLD 5
#define SPOILED_PERIOD (10 * PD_SEC)

typedef struct feed {
	fleet_feed_t *fleet;
	wire_kind_t kind;
	const char *name;
	uint64_t revision; /* to watch from */
	uint64_t listed_at; /* revision of the listing's first page */
	char *after; /* the last name of the page before; NULL: the first */
	store_feed_t *calls; /* when to make the next */
	pd_time_t spoiled_at; /* when such entries were begun to be told */
	unsigned int spoiled_told; /* since then */
} feed_t;

struct fleet_feed {
	gateway_t *gateway;
	feed_t config;
	feed_t upstreams;
};

static void feed_run(feed_t *feed, pd_time_t now);

static void feed_init(feed_t *feed, fleet_feed_t *fleet, wire_kind_t kind,
		      const char *name)
{
	feed->fleet = fleet;
	feed->kind = kind;
	feed->name = name;
	feed->calls = store_feed_create(fleet->gateway->random);
}

/* Starts to read both kinds; the caller owns the feed. */
fleet_feed_t *fleet_feed_create(gateway_t *gateway)
{
	fleet_feed_t *fleet = g_new0(fleet_feed_t, 1);

	fleet->gateway = gateway;
	feed_init(&fleet->config, fleet, WIRE_CONFIG, "configuration");
	feed_init(&fleet->upstreams, fleet, WIRE_UPSTREAMS, "upstreams");
	return fleet;
}

/* Says whether the store answered the last call for the upstreams. */
bool fleet_feed_is_back(const fleet_feed_t *feed)
{
	return !store_feed_is_lost(feed->upstreams.calls);
}

static void apply_config(feed_t *feed, const wire_page_t *page)
{
	gateway_t *gateway = feed->fleet->gateway;

	for (size_t i = 0; i < wire_page_count(page); i++) {
		char *text;

		if (wire_page_is_gone(page, i))
			continue;
		text = wire_page_spec(page, i);
		if (text)
			gateway_take_config(gateway, text, "store");
		else
			log_line(G_LOG_LEVEL_WARNING, PART,
				 "dropped a configuration: no object");
		g_free(text);
	}
}

/*
 * Notes an entry that can't be used. Others may write many of them, again and
 * again, so few are told one by one.
 */
static void feed_spoiled(feed_t *feed, const char *id, const pd_error_t *err)
{
	pd_time_t now = gateway_now();

	metrics_add(feed->fleet->gateway->metrics,
		    "gateway_spoiled_entries_total", 1);
	if (now - feed->spoiled_at > SPOILED_PERIOD) {
		feed->spoiled_at = now;
		feed->spoiled_told = 0;
	}
	if (feed->spoiled_told++ < SPOILED_TOLD)
		log_error(PART, id, err);
}

static void apply_upstream(feed_t *feed, const wire_page_t *page, size_t i)
{
	gateway_t *gateway = feed->fleet->gateway;
	const char *id = wire_page_name(page, i);
	forward_listing_t listing;
	bool news = false;
	pd_error_t err;

	if (wire_page_is_gone(page, i)) {
		if (!*id)
			return;
		/*
		 * Not the page's revision: an entry that lapsed and came back
		 * may be in the same page, and would count as older than its
		 * end. The whole fleet was lost that way after an outage.
		 */
		news = forward_upstreams_remove(gateway->upstreams, id,
						wire_page_object_revision(page, i),
						gateway_now());
	} else if (wire_page_upstream(page, i, &listing, &err) < 0) {
		feed_spoiled(feed, id, &err);
		/* What stood there before no longer does. */
		if (forward_upstreams_find(gateway->upstreams, id))
			news = forward_upstreams_remove(
				gateway->upstreams, id,
				wire_page_object_revision(page, i), gateway_now());
	} else {
		news = forward_upstreams_apply(gateway->upstreams, &listing);
	}
	if (news)
		gateway_upstream_news(gateway, id, "store");
}

/*
 * Applies a page. Calls are served from the first one on: thousands of upstreams are
 * several pages, and hundreds of starts wait for each other's at the store.
 */
static void apply_upstreams(feed_t *feed, const wire_page_t *page)
{
	for (size_t i = 0; i < wire_page_count(page); i++)
		apply_upstream(feed, page, i);
	feed->fleet->gateway->upstreams_usable = true;
}

static void feed_apply(feed_t *feed, const wire_page_t *page)
{
	switch (feed->kind) {
	case WIRE_CONFIG:
		apply_config(feed, page);
		break;
	case WIRE_UPSTREAMS:
		apply_upstreams(feed, page);
		break;
	case WIRE_LEASES:
	case WIRE_RECORDS:
	case WIRE_COUNTS:
		break;
	}
}

static void feed_listed(feed_t *feed)
{
	gateway_t *gateway = feed->fleet->gateway;

	store_feed_listed(feed->calls, gateway_now());
	feed->revision = feed->listed_at;
	g_clear_pointer(&feed->after, g_free);
	if (feed->kind != WIRE_UPSTREAMS)
		return;
	forward_upstreams_end_listing(gateway->upstreams, feed->listed_at,
				      gateway_now());
	gateway->upstreams_known = true;
}

static void feed_take(feed_t *feed, const wire_page_t *page)
{
	size_t count = wire_page_count(page);

	if (!store_feed_is_listing(feed->calls)) {
		feed_apply(feed, page);
		feed->revision = wire_page_revision(page);
		return;
	}
	if (!feed->after) {
		feed->listed_at = wire_page_revision(page);
		if (feed->kind == WIRE_UPSTREAMS)
			forward_upstreams_begin_listing(
				feed->fleet->gateway->upstreams);
	}
	feed_apply(feed, page);
	if (!wire_page_has_more(page) || !count) {
		feed_listed(feed);
		return;
	}
	g_free(feed->after);
	feed->after = g_strdup(wire_page_name(page, count - 1));
}

/* Logs that the store is lost, if it was not before. */
static void feed_lost(const feed_t *feed, bool before, int status)
{
	if (before || !store_feed_is_lost(feed->calls))
		return;
	log_line(G_LOG_LEVEL_WARNING, PART,
		 "lost=%s status=%d revision=%" G_GUINT64_FORMAT, feed->name,
		 status, feed->revision);
}

static store_feed_fleet_t feed_fleet(const feed_t *feed, pd_time_t now)
{
	const gateway_t *gateway = feed->fleet->gateway;
	gateway_peers_t *peers = gateway->peers;

	return (store_feed_fleet_t){
		.is_mesh = gateway_peers_is_mesh(peers),
		.is_large = gateway_count(gateway) > GATEWAY_MESH_MAX,
		.goes_first = gateway_peers_is_top_ranked(peers),
		.asks = gateway_peers_should_watch_store(peers),
		.aggregator_lost = gateway_peers_aggregator_lost_store(peers),
		.poll_group = gateway_peers_poll_group_size(peers, now),
	};
}

static void feed_failed(feed_t *feed, int status)
{
	pd_time_t now = gateway_now();
	const store_feed_fleet_t fleet = feed_fleet(feed, now);
	bool before = store_feed_is_lost(feed->calls);

	store_feed_failed(feed->calls, &fleet, now);
	feed_lost(feed, before, status);
}

static void feed_regained(feed_t *feed)
{
	if (!store_feed_is_lost(feed->calls))
		return;
	log_line(G_LOG_LEVEL_INFO, PART, "regained=%s", feed->name);
}

static void feed_relist(feed_t *feed)
{
	log_line(G_LOG_LEVEL_INFO, PART, "relist=%s reason=\"history gone\"",
		 feed->name);
	store_feed_relist(feed->calls, gateway_now());
	g_clear_pointer(&feed->after, g_free);
}

static void feed_replied(void *ctx, const http1_reply_t *reply)
{
	feed_t *feed = ctx;
	wire_page_t *page;
	pd_error_t err;

	if (reply->status == 410) {
		feed_relist(feed);
		return;
	}
	if (reply->status != 200) {
		feed_failed(feed, reply->status);
		return;
	}
	page = wire_page_read(reply->body, reply->len, &err);
	if (!page) {
		log_error(PART, feed->name, &err);
		feed_failed(feed, reply->status);
		return;
	}
	feed_regained(feed);
	store_feed_answered(feed->calls, gateway_now());
	gateway_peers_note_store_answer(feed->fleet->gateway->peers);
	feed_take(feed, page);
	wire_page_destroy(page);
	feed_run(feed, gateway_now());
}

static void feed_ask(feed_t *feed, const store_ask_t *due)
{
	char *path =
		due->kind == STORE_ASK_LIST
			? wire_list_path(feed->kind, feed->after)
			: wire_watch_path(feed->kind, feed->revision, due->wait);
	http1_ask_t ask = {
		.method = "GET",
		.path = path,
		.timeout_ms = (uint64_t)(due->timeout / PD_MSEC),
		.on_reply = feed_replied,
		.ctx = feed,
	};

	http1_client_call(feed->fleet->gateway->store, &ask);
	g_free(path);
}

static void feed_run(feed_t *feed, pd_time_t now)
{
	bool before = store_feed_is_lost(feed->calls);
	store_feed_fleet_t fleet;
	store_ask_t due;

	if (store_feed_is_calling(feed->calls))
		return;
	fleet = feed_fleet(feed, now);
	due = store_feed_run(feed->calls, &fleet, now);
	/* The calls of the one that watches for this gateway failed. */
	if (!before && store_feed_is_lost(feed->calls))
		gateway_store_failed(feed->fleet->gateway, now);
	feed_lost(feed, before, 0);
	switch (due.kind) {
	case STORE_ASK_NONE:
		break;
	case STORE_ASK_LIST:
	case STORE_ASK_WATCH:
		feed_ask(feed, &due);
		break;
	}
}

/* Asks again what is due after a failure. */
void fleet_feed_run(fleet_feed_t *feed, pd_time_t now)
{
	feed_run(&feed->config, now);
	feed_run(&feed->upstreams, now);
}
