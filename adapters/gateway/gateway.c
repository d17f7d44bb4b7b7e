/* Creates the gateway's parts, drives them from one timer, and shuts them down. */
#include "adapters/gateway/gateway.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "adapters/gateway/caller.h"
#include "adapters/gateway/config_origin.h"
#include "adapters/gateway/duties.h"
#include "adapters/gateway/fleet_feed.h"
#include "adapters/gateway/grants.h"
#include "adapters/gateway/health.h"
#include "adapters/gateway/peers.h"
#include "adapters/gateway/checkpoint.h"
#include "adapters/gateway/quarantine_checks.h"
#include "adapters/gateway/rate_limits.h"
#include "adapters/gateway/reload.h"
#include "adapters/gateway/request.h"
#include "adapters/gateway/rollouts.h"
#include "adapters/gateway/sole_versions.h"
#include "adapters/gateway/slots.h"
#include "adapters/gateway/upstream_link.h"
#include "adapters/gateway/upstream_probe.h"
#include "adapters/gateway/upstream_reach.h"
#include "adapters/log_buffer.h"
#include "adapters/log_glib.h"
#include "core/forward/shed.h"
#include "platform/wire.h"

#define LOG_COMPONENT "gateway"
/* Resolution of all timeouts; each wake-up costs some processor time. */
#define TICK_MS 20
#define LISTEN_BACKLOG 512
#define VERSIONS_RECORD_PERIOD (500 * PD_MSEC)
/*
 * How long a stopping gateway goes on accepting connections. The load balancer needs
 * two health checks, a second apart, to stop sending callers here, and connections
 * that are being set up then arrive after that.
 */
#define STOP_LISTEN_TIME (4 * PD_SEC)
#define STOP_LISTEN_GRACE_PART 0.5 /* at most */
/*
 * How long a stopping gateway goes on accepting streams, and requests that may outlast
 * its grace period: by then the load balancer sends callers elsewhere.
 */
#define STOP_ACCEPT_LONG_TIME (2600 * PD_MSEC)
#define STOP_ACCEPT_LONG_GRACE_PART 0.33 /* at most */
/* Usage windows kept beyond those still due, as the clocks of peers differ. */
#define SPARE_USAGE_WINDOWS 2
/* Time left before the process is killed when it ends all requests. */
#define KILL_MARGIN (400 * PD_MSEC)
/* The same when it ends itself, even if bytes are still to be sent. */
#define EXIT_MARGIN (100 * PD_MSEC)

/*
 * Returns the monotonic time in microseconds. It includes the time in which the VM is
 * suspended, as leases and the cached state of peers expire meanwhile.
 */
pd_time_t gateway_now(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (pd_time_t)now.tv_sec * PD_SEC + now.tv_nsec / 1000;
}

/* Returns the time of day by this VM's own clock, in microseconds since the epoch. */
pd_time_t gateway_wall_time(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (pd_time_t)now.tv_sec * PD_SEC + now.tv_nsec / 1000;
}

/* Returns the prefill rate of a service's engines, in prompt tokens per second. */
double gateway_engine_rate(const gateway_t *gateway, const char *service)
{
	return engine_speeds_rate(forward_upstreams_speeds(gateway->upstreams),
				  service);
}

/* Returns a random time in [0, MOST), so that gateways don't act in lockstep. */
pd_time_t gateway_jitter(const gateway_t *gateway, pd_time_t most)
{
	return (pd_time_t)(g_rand_double(gateway->random) * (double)most);
}

/* Returns the length of a usage window. */
pd_time_t gateway_window_length(const gateway_t *gateway)
{
	return (pd_time_t)(gateway->settings->usage_window_s * PD_SEC);
}

/* Returns how long after the end of a usage window its report is due at the latest. */
pd_time_t gateway_report_delay_max(const gateway_t *gateway)
{
	return (pd_time_t)(gateway->settings->usage_due_s * PD_SEC);
}

/* Returns the number of the current usage window by the fleet's agreed time. */
int64_t gateway_current_window(const gateway_t *gateway)
{
	pd_time_t wall = time_vote_wall(gateway->vote, gateway_now());

	return wall / gateway_window_length(gateway);
}

/* Returns the first usage window whose report is not overdue yet. */
int64_t gateway_first_due_window(const gateway_t *gateway)
{
	return gateway_current_window(gateway) -
	       usage_windows_retained(gateway_window_length(gateway),
				      gateway_report_delay_max(gateway)) +
	       1;
}

/* Returns the number of gateways that share the fleet-wide limits; at least 1. */
unsigned int gateway_count(const gateway_t *gateway)
{
	unsigned int zones = 0;

	while (zones < GATEWAY_ZONES_MAX && gateway->settings->zones[zones])
		zones++;
	/* Each zone has at least one gateway, even if no message came from it yet. */
	zones = MAX(zones, 1);
	zones = MAX(zones, gateway_checkpoint_fleet_size(gateway->checkpoint,
							 gateway_now()));
	return MAX(gateway_peers_count(gateway->peers), zones);
}

/* Returns whether enough state was read since the start to serve callers. */
bool gateway_is_initialized(const gateway_t *gateway)
{
	return gateway->config &&
	       (gateway->upstreams_usable || gateway->upstreams_listed) &&
	       gateway_checkpoint_recovery_has_ended(gateway->checkpoint,
						     gateway_now());
}

/* Returns whether the load balancer may send callers here. */
bool gateway_is_ready(const gateway_t *gateway)
{
	return gateway_is_initialized(gateway) && !gateway->stop_requested_at;
}

/* Returns the longest time that a route allows for a stream. */
static pd_time_t longest_stream(const forward_config_t *config)
{
	pd_time_t longest = 0;

	for (guint i = 0; i < config->routes->len; i++) {
		const forward_route_t *route = g_ptr_array_index(config->routes, i);

		if (route->kind == FORWARD_STREAM)
			longest = MAX(longest, route->timeout);
	}
	return longest;
}

/*
 * Applies a configuration if it is newer than the current one, and announces it to
 * the peers. SOURCE is logged. Returns whether it was newer; logs one that can't be
 * parsed.
 */
bool gateway_apply_config(gateway_t *gateway, const char *text, const char *source)
{
	pd_error_t err;
	forward_config_t *config = wire_config_parse(text, strlen(text), &err);
	uint64_t before = gateway->config ? gateway->config->version : 0;

	if (!config) {
		log_error(LOG_COMPONENT, "configuration", &err);
		return false;
	}
	if (gateway->config && config->version <= before) {
		forward_config_unref(config);
		return false;
	}
	forward_config_unref(gateway->config);
	gateway->config = config;
	gateway_config_record_applied(gateway, source, before, strlen(text));
	g_free(gateway->config_text);
	gateway->config_text = g_strdup(text);
	stream_versions_set_ttl(gateway->streams,
				MAX(longest_stream(config), STREAM_VERSIONS_TTL_MIN),
				gateway_now());
	gateway_peers_announce_config(gateway->peers);
	return true;
}

/*
 * Gives upstreams whose registration expired in an outage of the store time to
 * register again, if the end of the outage differs from BEFORE.
 */
static void apply_outage_end(gateway_t *gateway, pd_time_t before)
{
	pd_time_t end = store_outage_end(gateway->outage);

	if (end == before)
		return;
	log_line(G_LOG_LEVEL_INFO, "store", "outage ended_ms_ago=%" PRId64,
		 (gateway_now() - end) / PD_MSEC);
	forward_upstreams_store_recovered(gateway->upstreams, end);
}

/* Records that the store answered a call of this gateway or of a peer at AT. */
void gateway_store_answered(gateway_t *gateway, pd_time_t at)
{
	pd_time_t before = store_outage_end(gateway->outage);

	store_outage_record_answer(gateway->outage, at);
	apply_outage_end(gateway, before);
}

/* Records that a call to the store made at SENT_AT was not served. */
void gateway_store_failed(gateway_t *gateway, pd_time_t sent_at)
{
	pd_time_t before = store_outage_end(gateway->outage);

	store_outage_record_failure(gateway->outage, sent_at, gateway_now());
	apply_outage_end(gateway, before);
}

/* Returns whether STATUS shows that the store processed the call, or rejected it. */
static bool store_has_served(int status)
{
	return status && status != 429 && status < 500;
}

/* Records whether the store served a call, for the detection of outages. */
static void on_store_call_done(void *ctx, int status, uint64_t elapsed_ms)
{
	gateway_t *gateway = ctx;
	pd_time_t now = gateway_now();

	if (store_has_served(status))
		gateway_store_answered(gateway, now);
	else
		gateway_store_failed(gateway,
				     now - (pd_time_t)elapsed_ms * PD_MSEC);
}

/* Logs a change of an upstream, with its SOURCE, and queues it for the peers. */
void gateway_upstream_changed(gateway_t *gateway, const char *id, const char *source)
{
	static const char *const stages[] = {
		[FORWARD_SERVING] = "serving",
		[FORWARD_DRAINING] = "draining",
		[FORWARD_GONE] = "gone",
	};
	const forward_upstream_t *upstream =
		forward_upstreams_find(gateway->upstreams, id);

	if (!upstream)
		return;
	log_line(G_LOG_LEVEL_INFO, "upstream",
		 "id=%s stage=%s service=%s version=%s zone=%s address=%s:%u "
		 "slots=%u reclaimable=%d revision=%" G_GUINT64_FORMAT
		 " source=%s",
		 id, stages[upstream->stage], upstream->service,
		 upstream->version, upstream->zone, upstream->address,
		 upstream->port, upstream->slots, upstream->reclaimable,
		 upstream->revision, source);
	/* It may be gone before the versions that serve are next recorded. */
	if (upstream->revision && upstream->stage != FORWARD_GONE)
		stream_versions_record_serving(gateway->streams, upstream->service,
					       upstream->version_id,
					       gateway_now());
	gateway_rollouts_record_version(gateway, upstream);
	gateway_peers_queue_update(gateway->peers, id);
}

/* Returns PART of the time from the order to stop until the process is killed. */
static pd_time_t grace_part(const gateway_t *gateway, double part)
{
	return (pd_time_t)(gateway->settings->stop_grace_s * part * PD_SEC);
}

/* Returns when a stopping gateway ends all requests. */
static pd_time_t stop_end(const gateway_t *gateway)
{
	return gateway->stop_requested_at + grace_part(gateway, 1) - KILL_MARGIN;
}

/* Returns whether a stopping gateway accepts requests that may take long. */
static bool stop_accepts_long(const gateway_t *gateway, pd_time_t now)
{
	return now - gateway->stop_requested_at <
	       MIN(STOP_ACCEPT_LONG_TIME,
		   grace_part(gateway, STOP_ACCEPT_LONG_GRACE_PART));
}

/*
 * Returns whether a request of a route of KIND may be accepted, and sent, though the
 * gateway stops. Most end long before their deadline, so any is worth a try while
 * callers still come here and much time is left. Later on a stream is refused, and any
 * other request that might outlast this process.
 */
bool gateway_has_time_for(const gateway_t *gateway, forward_route_kind_t kind,
			  pd_time_t deadline)
{
	if (!gateway->stop_requested_at ||
	    stop_accepts_long(gateway, gateway_now()))
		return true;
	return kind != FORWARD_STREAM && deadline <= stop_end(gateway);
}

/*
 * Advances the shutdown: closes idle connections, then the listener, and stops the
 * loop when no caller is left. Near the end of the grace period it answers what is
 * left, and waits only for the answers to be sent.
 */
static void run_shutdown(gateway_t *gateway, pd_time_t now)
{
	pd_time_t since = now - gateway->stop_requested_at;
	pd_time_t end = stop_end(gateway);
	bool open;

	if (!stop_accepts_long(gateway, now))
		callers_close_idle(gateway, now);
	if (since <
	    MIN(STOP_LISTEN_TIME, grace_part(gateway, STOP_LISTEN_GRACE_PART)))
		return;
	if (gateway->listening) {
		gateway->listening = false;
		uv_close((uv_handle_t *)&gateway->callers_listener, NULL);
		if (gateway->relay_port)
			uv_close((uv_handle_t *)&gateway->relay_listener, NULL);
	}
	/* A caller that is still connected has a request in progress or being read. */
	open = !list_empty(&gateway->callers) || http1_is_draining();
	if (open && now >= end) {
		gateway_requests_end(gateway);
		callers_close_all(gateway);
		open = http1_is_draining();
	}
	if (open && now < end + KILL_MARGIN - EXIT_MARGIN)
		return;
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "stopped open=%d", open);
	log_buffer_flush(now);
	uv_stop(gateway->loop);
}

/* Publishes that the registration of an upstream has expired. */
static void on_registration_expired(void *ctx, const char *id)
{
	gateway_upstream_changed(ctx, id, "lapse");
}

/* Discards counts of old windows; needed in gateways that never report as well. */
static void discard_old_usage(gateway_t *gateway)
{
	int64_t window = gateway_current_window(gateway);
	int64_t first;

	if (window == gateway->usage_discarded_window)
		return;
	gateway->usage_discarded_window = window;
	first = gateway_first_due_window(gateway) - SPARE_USAGE_WINDOWS;
	usage_discard(gateway->usage, first);
	usage_watermarks_discard(gateway->watermarks, first);
	usage_inflight_discard(gateway->inflight, first);
}

/*
 * Creates the token buckets of all accounts, including those without a request so far,
 * as peers adopt this gateway's levels. This must wait for the checkpoint record: a
 * bucket that exists keeps its level.
 */
static void create_account_buckets(gateway_t *gateway, pd_time_t now)
{
	const forward_config_t *config = gateway->config;

	if (!gateway_is_initialized(gateway) ||
	    gateway->limits_version == config->version)
		return;
	gateway->limits_version = config->version;
	for (guint i = 0; i < config->accounts->len; i++)
		token_limits_add_account(gateway->limits,
					 g_ptr_array_index(config->accounts, i),
					 now);
}

/* Updates the fleet's agreed time of day from the own clock and the peers' votes. */
static void run_time_vote(gateway_t *gateway, pd_time_t now)
{
	clock_steps_t steps =
		time_vote_update(gateway->vote, gateway_wall_time(), now);

	if (steps.own || steps.fleet)
		log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
			 "clock own_step_ms=%" PRId64 " fleet_step_ms=%" PRId64
			 " own_off_ms=%" PRId64,
			 steps.own / PD_MSEC, steps.fleet / PD_MSEC,
			 (time_vote_own_wall(gateway->vote, now) -
			  time_vote_wall(gateway->vote, now)) /
				 PD_MSEC);
}

/* Records which software versions upstreams run, those included that leave. */
static void record_serving_versions(gateway_t *gateway, pd_time_t now)
{
	gateway->versions_record_at = now + VERSIONS_RECORD_PERIOD;
	LIST_FOR_EACH (it, forward_upstreams_list(gateway->upstreams)) {
		const forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		if (upstream->revision && upstream->stage != FORWARD_GONE)
			stream_versions_record_serving(gateway->streams,
						       upstream->service,
						       upstream->version_id, now);
		gateway_rollouts_record_version(gateway, upstream);
	}
}

/*
 * Returns the version of all streams of a service that began until SINCE and may still be
 * resumed; 0: there may be several, or this gateway has not read the registrations since.
 */
uint64_t gateway_sole_version(gateway_t *gateway, const char *service,
			      pd_time_t since)
{
	pd_time_t now = gateway_now();

	if (!sole_versions_are_current(gateway->sole_versions, since))
		return 0;
	record_serving_versions(gateway, now);
	return stream_versions_sole(gateway->streams, service, now);
}

/*
 * Calls EACH with CTX for each service with such a version. Returns the revision of the
 * store as of which they are, or 0 without a call if that is unknown. It may be out of date.
 */
uint64_t gateway_each_sole_version(gateway_t *gateway,
				   stream_versions_each_t each, void *ctx)
{
	uint64_t revision = fleet_feed_upstreams_revision(gateway->feed);
	pd_time_t now = gateway_now();

	if (!revision)
		return 0;
	record_serving_versions(gateway, now);
	stream_versions_each_sole(gateway->streams, now, each, ctx);
	return revision;
}

/* Advances all parts of the gateway; called every TICK_MS. */
static void on_tick(uv_timer_t *timer)
{
	gateway_t *gateway = timer->data;
	pd_time_t now = gateway_now();

	if (gateway->ticked_at && now - gateway->ticked_at > GATEWAY_STALL_MIN)
		gateway->stalled_at = now;
	gateway->ticked_at = now;
	run_time_vote(gateway, now);
	forward_upstreams_expire(gateway->upstreams, now,
				 on_registration_expired, gateway);
	/* Before its users, as it gives a new gateway the size of the fleet. */
	gateway_checkpoint_run(gateway->checkpoint, now);
	fleet_feed_run(gateway->feed, now);
	sole_versions_run(gateway->sole_versions, now);
	discard_old_usage(gateway);
	upstream_probes_run(gateway, now);
	gateway_reach_run(gateway, now);
	gateway_config_run(gateway, now);
	gateway_quarantine_run(gateway, now);
	if (now >= gateway->versions_record_at)
		record_serving_versions(gateway, now);
	gateway_slots_run(gateway->slots, now);
	gateway_grants_run(gateway->grants, now);
	gateway_requests_run(gateway, now);
	callers_run(gateway, now);
	upstream_links_run(gateway, now);
	gateway_peers_run(gateway->peers, now);
	create_account_buckets(gateway, now);
	token_limits_set_gateway_count(gateway->limits, gateway_count(gateway));
	token_limits_set_lag(gateway->limits,
			     gateway_peers_propagation_delay(gateway->peers, now));
	work_rate_update(gateway->work, now);
	gateway_duties_run(gateway->duties, now);
	gateway_rollouts_run(gateway, now);
	gateway_reload_run(gateway, now);
	log_buffer_flush(now);
	if (gateway->stop_requested_at)
		run_shutdown(gateway, now);
}

/* Sends what arose in the last iteration of the loop. */
static void on_flush(uv_prepare_t *flush)
{
	gateway_t *gateway = flush->data;

	gateway_limit_answers(gateway);
	gateway_slots_flush(gateway->slots);
	gateway_grants_flush(gateway->grants);
	gateway_peers_flush_slots(gateway->peers);
}

static void on_caller(uv_stream_t *listener, int status)
{
	if (status == 0)
		caller_accept(listener->data, listener, false);
}

/* Accepts a connection of another gateway, which relays requests of its callers. */
static void on_relay(uv_stream_t *listener, int status)
{
	if (status == 0)
		caller_accept(listener->data, listener, true);
}

static void on_health_connection(uv_stream_t *listener, int status)
{
	if (status == 0)
		health_accept(listener->data, listener);
}

/*
 * Splits address:port; HOST is a copy that the caller frees. Returns false and sets
 * nothing if there is no colon.
 */
bool gateway_split_address(const char *address, char **host, uint16_t *port)
{
	const char *colon = strrchr(address, ':');

	if (!colon)
		return false;
	*host = g_strndup(address, (gsize)(colon - address));
	*port = (uint16_t)strtoul(colon + 1, NULL, 10);
	return true;
}

/* Like gateway_split_address(), but sets ERR and returns -1 on failure. */
static int split_address_setting(const char *address, char **host,
				 uint16_t *port, pd_error_t *err)
{
	if (gateway_split_address(address, host, port))
		return 0;
	return pd_error_set(err, PD_ERROR_SETTINGS, "%s: expected address:port",
			    address);
}

/*
 * Listens on address:port and logs the port under the name WHAT. Returns the port, or -1
 * with ERR set.
 */
static int listen_on(gateway_t *gateway, uv_tcp_t *listener, const char *what,
		     const char *address, uv_connection_cb on_connection,
		     pd_error_t *err)
{
	struct sockaddr_in addr;
	int len = sizeof(addr);
	char *host = NULL;
	uint16_t port = 0;
	int rc;

	if (split_address_setting(address, &host, &port, err) < 0)
		return -1;
	uv_tcp_init(gateway->loop, listener);
	listener->data = gateway;
	rc = uv_ip4_addr(host, port, &addr);
	if (rc == 0)
		rc = uv_tcp_bind(listener, (struct sockaddr *)&addr, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)listener, LISTEN_BACKLOG,
			       on_connection);
	if (rc == 0)
		rc = uv_tcp_getsockname(listener, (struct sockaddr *)&addr, &len);
	g_free(host);
	if (rc != 0)
		return pd_error_set(err, PD_ERROR_IO, "listen on %s: %s",
				    address, uv_strerror(rc));
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "listen %s=%u", what,
		 ntohs(addr.sin_port));
	return ntohs(addr.sin_port);
}

/* Returns a client for address:port, owned by the caller; NULL with ERR set. */
static http1_client_t *create_client(gateway_t *gateway, const char *address,
				     pd_error_t *err)
{
	http1_client_t *client;
	char *host = NULL;
	uint16_t port = 0;

	if (split_address_setting(address, &host, &port, err) < 0)
		return NULL;
	client = http1_client_create(gateway->loop, host, port);
	g_free(host);
	return client;
}

/* Creates the state of core/forward, the metrics and the random generator. */
static void create_forwarding_state(gateway_t *gateway)
{
	const gateway_settings_t *settings = gateway->settings;
	const retry_limits_t retries = gateway_settings_retries(settings);
	const token_limits_config_t limits = gateway_settings_limits(settings);
	const rollout_settings_t rollout_bounds =
		gateway_settings_rollouts(settings);

	gateway->upstreams = forward_upstreams_create();
	gateway->upstream_limits = upstream_limits_create();
	gateway->reaches = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						 (GDestroyNotify)reach_destroy);
	gateway->streams = stream_versions_create(STREAM_VERSIONS_TTL_MIN,
						  gateway->started_at);
	gateway->stream_journal = stream_journal_create();
	gateway->rollouts = rollouts_create(&rollout_bounds);
	gateway->invalid_orders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	gateway->logged_rollouts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gateway->quarantine = quarantine_create();
	list_init(&gateway->quarantine_checks);
	list_init(&gateway->silences);
	list_init(&gateway->probes);
	gateway->outage = store_outage_create(gateway->started_at);
	gateway->limits =
		token_limits_create(&limits,
				    !strcmp(settings->node_start, "first"));
	gateway->retries = retry_windows_create(&retries);
	gateway->work = work_rate_create();
	gateway->shedders = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						  (GDestroyNotify)shed_destroy);
	gateway->rooms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gateway->returns = return_detector_create();
	gateway->watermarks = usage_watermarks_create();
	gateway->inflight = usage_inflight_create();
	gateway->inflight_changed = true;
	gateway->vote = time_vote_create();
	run_time_vote(gateway, gateway->started_at);
	gateway->metrics = metrics_create();
	gateway->random = g_rand_new();
	gateway->slots =
		gateway_slots_create(gateway, gateway_request_slot_hooks());
	gateway->grants =
		gateway_grants_create(gateway, gateway_request_grant_hooks());
	token_limits_seed(gateway->limits, g_rand_int(gateway->random));
	upstream_limits_seed(gateway->upstream_limits, g_rand_int(gateway->random));
	list_init(&gateway->callers);
	list_init(&gateway->requests);
	list_init(&gateway->startup_queue);
	for (int i = 0; i < GATEWAY_RANKS; i++)
		list_init(&gateway->queues[i]);
}

/*
 * Creates a gateway on LOOP and starts it; it owns the settings from then on. Returns
 * NULL with ERR set if an address can't be used; the process is then expected to exit,
 * so what was created so far is not freed.
 */
gateway_t *gateway_create(uv_loop_t *loop, gateway_settings_t *settings,
			  pd_error_t *err)
{
	gateway_t *gateway = g_new0(gateway_t, 1);
	int relay_port;

	gateway->loop = loop;
	gateway->settings = settings;
	gateway->started_at = gateway_now();
	create_forwarding_state(gateway);
	gateway->store = create_client(gateway, settings->store_address, err);
	gateway->cloud = create_client(gateway, settings->cloud_address, err);
	if (!gateway->store || !gateway->cloud)
		return NULL;
	http1_client_observe(gateway->store, on_store_call_done, gateway);
	gateway->checkpoint = gateway_checkpoint_create(gateway);
	gateway->sole_versions = sole_versions_create(gateway);
	gateway->peers = gateway_peers_create(gateway, err);
	if (!gateway->peers ||
	    listen_on(gateway, &gateway->callers_listener, "callers",
		      settings->callers_listen, on_caller, err) < 0 ||
	    listen_on(gateway, &gateway->health_listener, "health",
		      settings->health_listen, on_health_connection, err) < 0)
		return NULL;
	if (settings->relay_listen[0]) {
		relay_port = listen_on(gateway, &gateway->relay_listener, "relay",
				       settings->relay_listen, on_relay, err);
		if (relay_port < 0)
			return NULL;
		gateway->relay_port = (uint16_t)relay_port;
	}
	gateway->listening = true;
	gateway->usage = usage_create(gateway_peers_incarnation(gateway->peers));
	gateway->feed = fleet_feed_create(gateway);
	gateway->duties = gateway_duties_create(gateway);
	uv_prepare_init(loop, &gateway->flush);
	gateway->flush.data = gateway;
	uv_prepare_start(&gateway->flush, on_flush);
	uv_timer_init(loop, &gateway->timer);
	gateway->timer.data = gateway;
	uv_timer_start(&gateway->timer, on_tick, 1, TICK_MS);
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
		 "start node=%s zone=%s callers=%s", settings->node_id,
		 settings->node_zone, settings->callers_listen);
	return gateway;
}

/* Returns the length of a list. */
static unsigned int count_nodes(const list_node_t *head)
{
	unsigned int count = 0;

	LIST_FOR_EACH (it, head)
		count++;
	return count;
}

/* Sets the gauges to the current state; called before the metrics are read. */
void gateway_update_gauges(gateway_t *gateway)
{
	metrics_t *metrics = gateway->metrics;

	metrics_set_gauge(metrics, "gateway_config_version",
			  gateway->config ? (double)gateway->config->version : 0);
	metrics_set_gauge(metrics, "gateway_upstreams_serving",
			  forward_upstreams_count_serving(gateway->upstreams));
	metrics_set_gauge(metrics, "gateway_peers", gateway_count(gateway) - 1.0);
	metrics_set_gauge(metrics, "gateway_cut_off",
			  gateway_reach_is_cut_off_from_any(gateway));
	metrics_set_gauge(metrics, "gateway_quarantine_held",
			  quarantine_held_count(gateway->quarantine));
	metrics_set_gauge(metrics, "gateway_stream_journal_dropped",
			  (double)stream_journal_dropped(gateway->stream_journal));
	metrics_set_gauge(metrics, "gateway_upstreams_limited",
			  gateway_limits_count(gateway, gateway_now()));
	metrics_set_gauge(metrics, "gateway_store_serves",
			  fleet_feed_is_store_reachable(gateway->feed));
	metrics_set_gauge(metrics, "gateway_requests_open",
			  count_nodes(&gateway->requests));
	metrics_set_gauge(metrics, "gateway_requests_queued", gateway->queued);
	metrics_set_gauge(metrics, "gateway_callers_open",
			  count_nodes(&gateway->callers));
}

/*
 * Begins the shutdown: the health check fails from now on, and requests in progress
 * are completed.
 */
void gateway_stop(gateway_t *gateway)
{
	if (gateway->stop_requested_at)
		return;
	gateway->stop_requested_at = gateway_now();
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "stop grace_s=%.1f",
		 gateway->settings->stop_grace_s);
}
