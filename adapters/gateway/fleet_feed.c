/* Lists and watches the store, in one loop for each kind of object. */
#include "adapters/gateway/fleet_feed.h"

#include "adapters/gateway/config_origin.h"
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/peers.h"
#include "adapters/gateway/rollouts.h"
#include "adapters/gateway/sole_versions.h"
#include "adapters/log_glib.h"
#include "core/forward/store_feed.h"
#include "platform/wire.h"

#define LOG_COMPONENT "store"
/* At most so many invalid registrations are logged in each period. */
#define INVALID_LOGGED_MAX 5
#define INVALID_LOG_PERIOD (10 * PD_SEC)

typedef struct feed {
	fleet_feed_t *fleet;
	wire_kind_t kind;
	const char *name;
	uint64_t revision; /* to watch from */
	uint64_t list_revision; /* revision of the listing's first page */
	char *page_after; /* last name of the previous page; NULL: first page */
	store_feed_t *schedule; /* decides on the next call */
	pd_time_t invalid_since; /* start of the logging period of invalid entries */
	unsigned int invalid_logged; /* in that period */
} feed_t;

struct fleet_feed {
	gateway_t *gateway;
	feed_t config;
	feed_t upstreams;
	feed_t rollouts; /* only called if they are served */
};

static void feed_run(feed_t *feed, pd_time_t now);

/* Initializes the feed of one kind of object; NAME is logged. */
static void feed_init(feed_t *feed, fleet_feed_t *fleet, wire_kind_t kind,
		      const char *name)
{
	feed->fleet = fleet;
	feed->kind = kind;
	feed->name = name;
	feed->schedule = store_feed_create(fleet->gateway->random);
}

/* Returns a feed of both kinds, whose calls start with fleet_feed_run(); owned. */
fleet_feed_t *fleet_feed_create(gateway_t *gateway)
{
	fleet_feed_t *fleet = g_new0(fleet_feed_t, 1);

	fleet->gateway = gateway;
	feed_init(&fleet->config, fleet, WIRE_CONFIG, "configuration");
	feed_init(&fleet->upstreams, fleet, WIRE_UPSTREAMS, "upstreams");
	feed_init(&fleet->rollouts, fleet, WIRE_ROLLOUTS, "rollouts");
	return fleet;
}

/*
 * Returns the revision of the store up to which this gateway has read all changes of
 * upstreams itself; 0: it has not listed them.
 */
uint64_t fleet_feed_upstreams_revision(const fleet_feed_t *feed)
{
	return feed->upstreams.revision;
}

/* Returns whether the store answered the last call for the upstreams. */
bool fleet_feed_is_store_reachable(const fleet_feed_t *feed)
{
	return !store_feed_is_unreachable(feed->upstreams.schedule);
}

/* Applies the configurations of a page; logs entries that are not objects. */
static void apply_config(feed_t *feed, const wire_page_t *page)
{
	gateway_t *gateway = feed->fleet->gateway;

	for (size_t i = 0; i < wire_page_count(page); i++) {
		char *text;

		if (wire_page_is_removed(page, i))
			continue;
		text = wire_page_spec(page, i);
		if (text)
			gateway_apply_config(gateway, text, "store");
		else
			log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
				 "dropped a configuration: not a JSON object");
		g_free(text);
	}
}

/*
 * Counts and logs a registration that is invalid. Other writers may store many of
 * them again and again, so the log lines are rate limited.
 */
static void log_invalid_entry(feed_t *feed, const char *id, const pd_error_t *err)
{
	pd_time_t now = gateway_now();

	metrics_add(feed->fleet->gateway->metrics,
		    "gateway_spoiled_entries_total", 1);
	if (now - feed->invalid_since > INVALID_LOG_PERIOD) {
		feed->invalid_since = now;
		feed->invalid_logged = 0;
	}
	if (feed->invalid_logged++ < INVALID_LOGGED_MAX)
		log_error(LOG_COMPONENT, id, err);
}

/* Applies entry I of a page: a registration, its removal, or an invalid one. */
static void apply_upstream(feed_t *feed, const wire_page_t *page, size_t i)
{
	gateway_t *gateway = feed->fleet->gateway;
	const char *id = wire_page_name(page, i);
	forward_registration_t registration;
	bool changed = false;
	pd_error_t err;

	if (wire_page_is_removed(page, i)) {
		if (!*id)
			return;
		/*
		 * Not the page's revision: a registration that expired and was
		 * renewed may be in the same page, and would count as older
		 * than its removal. After an outage of the store, all
		 * upstreams would be lost that way.
		 */
		changed = forward_upstreams_remove(gateway->upstreams, id,
						   wire_page_object_revision(page, i),
						   gateway_now());
	} else if (wire_page_parse_upstream(page, i, &registration, &err) < 0) {
		log_invalid_entry(feed, id, &err);
		/* The entry has replaced the valid one of the same name. */
		if (forward_upstreams_find(gateway->upstreams, id))
			changed = forward_upstreams_remove(
				gateway->upstreams, id,
				wire_page_object_revision(page, i), gateway_now());
	} else {
		/* Also if a later entry of the page has it removed again. */
		stream_versions_record_serving(
			gateway->streams, registration.service,
			forward_version_id(registration.service,
					   registration.version),
			gateway_now());
		registration.read_at = gateway_now();
		changed = forward_upstreams_apply(gateway->upstreams,
						  &registration);
	}
	if (changed)
		gateway_upstream_changed(gateway, id, "store");
}

/*
 * Applies a page of upstreams. The first one is enough to serve callers: thousands of
 * upstreams need several pages, and when hundreds of gateways start together their
 * listings queue at the store.
 */
static void apply_upstreams(feed_t *feed, const wire_page_t *page)
{
	for (size_t i = 0; i < wire_page_count(page); i++)
		apply_upstream(feed, page, i);
	feed->fleet->gateway->upstreams_usable = true;
}

/* Applies the objects of a page. */
static void feed_apply(feed_t *feed, const wire_page_t *page)
{
	switch (feed->kind) {
	case WIRE_CONFIG:
		apply_config(feed, page);
		break;
	case WIRE_UPSTREAMS:
		apply_upstreams(feed, page);
		break;
	case WIRE_ROLLOUTS:
		gateway_rollouts_apply_page(feed->fleet->gateway, page);
		break;
	case WIRE_LEASES:
	case WIRE_RECORDS:
	case WIRE_COUNTS:
	case WIRE_STREAMS:
		break;
	}
}

/* Ends a listing: watches from its revision on, and removes upstreams not in it. */
static void feed_end_listing(feed_t *feed)
{
	gateway_t *gateway = feed->fleet->gateway;

	store_feed_end_listing(feed->schedule, gateway_now());
	feed->revision = feed->list_revision;
	g_clear_pointer(&feed->page_after, g_free);
	if (feed->kind != WIRE_UPSTREAMS)
		return;
	forward_upstreams_end_listing(gateway->upstreams, feed->list_revision,
				      gateway_now());
	gateway->upstreams_listed = true;
	sole_versions_record_listing(gateway->sole_versions, feed->list_revision);
}

/* Applies a page of a listing or of a watch; the next call continues after it. */
static void feed_apply_page(feed_t *feed, const wire_page_t *page)
{
	size_t count = wire_page_count(page);

	if (!store_feed_is_listing(feed->schedule)) {
		feed_apply(feed, page);
		if (feed->kind == WIRE_UPSTREAMS)
			sole_versions_record_changes(feed->fleet->gateway->sole_versions,
						     feed->revision,
						     wire_page_revision(page));
		feed->revision = wire_page_revision(page);
		return;
	}
	if (!feed->page_after) {
		feed->list_revision = wire_page_revision(page);
		if (feed->kind == WIRE_UPSTREAMS)
			forward_upstreams_begin_listing(
				feed->fleet->gateway->upstreams);
	}
	feed_apply(feed, page);
	if (!wire_page_has_more(page) || !count) {
		feed_end_listing(feed);
		return;
	}
	g_free(feed->page_after);
	feed->page_after = g_strdup(wire_page_name(page, count - 1));
}

/* Logs that the store became unreachable; WAS_UNREACHABLE: it already was. */
static void log_store_lost(const feed_t *feed, bool was_unreachable, int status)
{
	if (was_unreachable || !store_feed_is_unreachable(feed->schedule))
		return;
	log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
		 "lost=%s status=%d revision=%" G_GUINT64_FORMAT, feed->name,
		 status, feed->revision);
}

/* Returns what the schedule of calls depends on besides this gateway's own calls. */
static store_feed_fleet_t feed_fleet(const feed_t *feed, pd_time_t now)
{
	const gateway_t *gateway = feed->fleet->gateway;
	gateway_peers_t *peers = gateway->peers;

	return (store_feed_fleet_t){
		.is_mesh = gateway_peers_is_mesh(peers),
		.is_large = gateway_count(gateway) > GATEWAY_MESH_MAX,
		.is_watcher = gateway_peers_is_top_ranked(peers),
		.must_call = gateway_peers_should_watch_store(peers),
		.aggregator_lost_store = gateway_peers_aggregator_lost_store(peers),
		.poll_group_size = gateway_peers_poll_group_size(peers, now),
	};
}

/* Schedules a retry after a failed call, and logs if the store became unreachable. */
static void feed_handle_failure(feed_t *feed, int status)
{
	pd_time_t now = gateway_now();
	const store_feed_fleet_t fleet = feed_fleet(feed, now);
	bool was_unreachable = store_feed_is_unreachable(feed->schedule);

	store_feed_record_failure(feed->schedule, &fleet, now);
	log_store_lost(feed, was_unreachable, status);
}

/* Logs that the store is reachable again, if it was not. */
static void log_store_regained(feed_t *feed)
{
	if (!store_feed_is_unreachable(feed->schedule))
		return;
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "regained=%s", feed->name);
}

/* Starts a listing, as the store has no history since the watched revision. */
static void feed_relist(feed_t *feed)
{
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
		 "relist=%s reason=\"history gone\"", feed->name);
	store_feed_restart_listing(feed->schedule, gateway_now());
	g_clear_pointer(&feed->page_after, g_free);
	if (feed->kind == WIRE_UPSTREAMS)
		sole_versions_lose_history(feed->fleet->gateway->sole_versions);
}

/* Handles the reply to a list or watch, and makes the next call. */
static void on_feed_reply(void *ctx, const http1_reply_t *reply)
{
	feed_t *feed = ctx;
	wire_page_t *page;
	pd_error_t err;

	if (reply->status == 410) {
		feed_relist(feed);
		return;
	}
	if (reply->status != 200) {
		feed_handle_failure(feed, reply->status);
		return;
	}
	page = wire_page_parse(reply->body, reply->len, &err);
	if (!page) {
		log_error(LOG_COMPONENT, feed->name, &err);
		feed_handle_failure(feed, reply->status);
		return;
	}
	log_store_regained(feed);
	store_feed_record_answer(feed->schedule, gateway_now());
	gateway_peers_record_store_answer(feed->fleet->gateway->peers);
	feed_apply_page(feed, page);
	if (feed->kind == WIRE_CONFIG)
		gateway_config_record_read(feed->fleet->gateway);
	wire_page_destroy(page);
	feed_run(feed, gateway_now());
}

/* Sends the list or watch call that is due. */
static void feed_call(feed_t *feed, const store_call_t *due)
{
	char *path =
		due->kind == STORE_CALL_LIST
			? wire_list_path(feed->kind, feed->page_after)
			: wire_watch_path(feed->kind, feed->revision, due->wait);
	http1_request_t ask = {
		.method = "GET",
		.path = path,
		.timeout_ms = (uint64_t)(due->timeout / PD_MSEC),
		.on_reply = on_feed_reply,
		.ctx = feed,
	};

	http1_client_call(feed->fleet->gateway->store, &ask);
	g_free(path);
}

static void feed_run(feed_t *feed, pd_time_t now)
{
	bool was_unreachable = store_feed_is_unreachable(feed->schedule);
	store_feed_fleet_t fleet;
	store_call_t due;

	if (store_feed_is_calling(feed->schedule))
		return;
	fleet = feed_fleet(feed, now);
	due = store_feed_next_call(feed->schedule, &fleet, now);
	/* The calls of the peer that watches on behalf of this gateway failed. */
	if (!was_unreachable && store_feed_is_unreachable(feed->schedule))
		gateway_store_failed(feed->fleet->gateway, now);
	log_store_lost(feed, was_unreachable, 0);
	switch (due.kind) {
	case STORE_CALL_NONE:
		break;
	case STORE_CALL_LIST:
	case STORE_CALL_WATCH:
		feed_call(feed, &due);
		break;
	}
}

/* Makes the calls that are due by now, such as retries after a failure. */
void fleet_feed_run(fleet_feed_t *feed, pd_time_t now)
{
	feed_run(&feed->config, now);
	feed_run(&feed->upstreams, now);
	if (rollouts_is_enabled(feed->gateway->rollouts))
		feed_run(&feed->rollouts, now);
}
