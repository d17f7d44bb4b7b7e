/* Wires the gateway's parts, lets time pass, and stops in order. */
#include "adapters/gateway/gateway.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "adapters/gateway/caller.h"
#include "adapters/gateway/duties.h"
#include "adapters/gateway/fleet_feed.h"
#include "adapters/gateway/health.h"
#include "adapters/gateway/peers.h"
#include "adapters/gateway/checkpoint.h"
#include "adapters/gateway/reload.h"
#include "adapters/gateway/request.h"
#include "adapters/gateway/upstream_link.h"
#include "adapters/log_buffer.h"
#include "adapters/log_glib.h"
#include "core/forward/shed.h"
#include "platform/wire.h"

#define PART "gateway"
/* Timeouts are kept to this; each wake-up costs some processor time. */
#define TICK_MS 20
#define BACKLOG 512
/*
 * After the order to stop the balancer needs two questions, a second apart, to
 * turn new callers away, and connections in the making arrive after that.
 */
#define STOP_LISTEN (4 * PD_SEC)
/*
 * From then on new requests that may take long are refused, as they might not
 * end before the process does. By then the balancer sends callers elsewhere.
 */
#define STOP_ADMIT (2600 * PD_MSEC)
/* Windows of usage that are held beyond those due: clocks of peers differ. */
#define WINDOWS_SPARE 2
/* What is left before the process is killed, for the last bytes to leave. */
#define STOP_MARGIN (400 * PD_MSEC)

/*
 * Returns the steady time. It counts the time in which the VM is suspended, in
 * which leases and beliefs of others run out.
 */
pd_time_t gateway_now(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (pd_time_t)now.tv_sec * PD_SEC + now.tv_nsec / 1000;
}

/* Returns this VM's time of day. */
pd_time_t gateway_wall(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (pd_time_t)now.tv_sec * PD_SEC + now.tv_nsec / 1000;
}

/* Returns the prompt tokens that an engine of a service reads in a second. */
double gateway_engine_rate(const gateway_t *gateway, const char *service)
{
	return engine_speeds_rate(forward_upstreams_speeds(gateway->upstreams),
				  service);
}

/* Returns a time from 0 up to MOST at random, so that gateways don't act in step. */
pd_time_t gateway_jitter(const gateway_t *gateway, pd_time_t most)
{
	return (pd_time_t)(g_rand_double(gateway->random) * (double)most);
}

/* Returns how long a usage window is. */
pd_time_t gateway_window_length(const gateway_t *gateway)
{
	return (pd_time_t)(gateway->settings->usage_window_s * PD_SEC);
}

/* Returns how long after the end of a usage window its report is due. */
pd_time_t gateway_report_due(const gateway_t *gateway)
{
	return (pd_time_t)(gateway->settings->usage_due_s * PD_SEC);
}

/* Returns the number of the usage window that it is by the fleet's clocks. */
int64_t gateway_window(const gateway_t *gateway)
{
	pd_time_t wall = time_vote_wall(gateway->vote, gateway_now());

	return wall / gateway_window_length(gateway);
}

/* Returns the first usage window whose report is not overdue yet. */
int64_t gateway_first_window_due(const gateway_t *gateway)
{
	return gateway_window(gateway) -
	       usage_windows_retained(gateway_window_length(gateway),
				      gateway_report_due(gateway)) +
	       1;
}

/* Returns how many gateways share what is limited in sum. */
unsigned int gateway_count(const gateway_t *gateway)
{
	unsigned int zones = 0;

	while (zones < GATEWAY_ZONES_MAX && gateway->settings->zones[zones])
		zones++;
	/* There is at least one in each zone, also before it was heard. */
	zones = MAX(zones, 1);
	zones = MAX(zones, gateway_checkpoint_gateways(gateway->checkpoint,
						       gateway_now()));
	return MAX(gateway_peers_count(gateway->peers), zones);
}

/* Says whether enough is known to serve callers. */
bool gateway_is_set_up(const gateway_t *gateway)
{
	return gateway->config &&
	       (gateway->upstreams_usable || gateway->upstreams_known) &&
	       gateway_checkpoint_is_settled(gateway->checkpoint, gateway_now());
}

/* Says whether callers may be sent here. */
bool gateway_is_ready(const gateway_t *gateway)
{
	return gateway_is_set_up(gateway) && !gateway->stop_at;
}

/*
 * Takes a configuration if it is newer than the one in force, and tells the
 * peers. SOURCE says who brought it. Returns whether it was newer.
 */
bool gateway_take_config(gateway_t *gateway, const char *text, const char *source)
{
	pd_error_t err;
	forward_config_t *config = wire_config_read(text, strlen(text), &err);

	if (!config) {
		log_error(PART, "configuration", &err);
		return false;
	}
	if (gateway->config && config->version <= gateway->config->version) {
		forward_config_unref(config);
		return false;
	}
	log_line(G_LOG_LEVEL_INFO, PART,
		 "config=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT
		 " source=%s routes=%u services=%u accounts=%u",
		 config->version, gateway->config ? gateway->config->version : 0,
		 source, config->routes->len, config->services->len,
		 config->accounts->len);
	forward_config_unref(gateway->config);
	gateway->config = config;
	g_free(gateway->config_text);
	gateway->config_text = g_strdup(text);
	gateway_peers_config(gateway->peers);
	return true;
}

/* Has entries that lapsed in an outage of the store get time to come back after it. */
static void follow_outage(gateway_t *gateway, pd_time_t before)
{
	pd_time_t end = store_outage_end(gateway->outage);

	if (end == before)
		return;
	log_line(G_LOG_LEVEL_INFO, "store", "outage ended_ms_ago=%" PRId64,
		 (gateway_now() - end) / PD_MSEC);
	forward_upstreams_store_back(gateway->upstreams, end);
}

/* Takes that the store answered at AT, this gateway or another. */
void gateway_store_answered(gateway_t *gateway, pd_time_t at)
{
	pd_time_t before = store_outage_end(gateway->outage);

	store_outage_answered(gateway->outage, at);
	follow_outage(gateway, before);
}

/* Takes that the store did not serve a call that was made at SENT_AT. */
void gateway_store_failed(gateway_t *gateway, pd_time_t sent_at)
{
	pd_time_t before = store_outage_end(gateway->outage);

	store_outage_failed(gateway->outage, sent_at, gateway_now());
	follow_outage(gateway, before);
}

/* Returns whether a call with that status was served, if not as it was hoped. */
static bool was_served(int status)
{
	return status && status != 429 && status < 500;
}

static void on_store_ended(void *ctx, int status, uint64_t elapsed_ms)
{
	gateway_t *gateway = ctx;
	pd_time_t now = gateway_now();

	if (was_served(status))
		gateway_store_answered(gateway, now);
	else
		gateway_store_failed(gateway,
				     now - (pd_time_t)elapsed_ms * PD_MSEC);
}

/* Logs what became known of an upstream and passes it on to the peers. */
void gateway_upstream_news(gateway_t *gateway, const char *id, const char *source)
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
		 "id=%s stage=%s service=%s zone=%s address=%s:%u slots=%u "
		 "reclaimable=%d revision=%" G_GUINT64_FORMAT " source=%s",
		 id, stages[upstream->stage], upstream->service, upstream->zone,
		 upstream->address, upstream->port, upstream->slots,
		 upstream->reclaimable, upstream->revision, source);
	gateway_peers_upstream(gateway->peers, id);
}

/* Says whether a request that may take seconds can still be taken. */
bool gateway_admits_long(const gateway_t *gateway)
{
	return !gateway->stop_at || gateway_now() - gateway->stop_at < STOP_ADMIT;
}

static void stop_step(gateway_t *gateway, pd_time_t now)
{
	pd_time_t grace = (pd_time_t)(gateway->settings->stop_grace_s * PD_SEC);
	pd_time_t since = now - gateway->stop_at;
	bool open;

	if (since >= STOP_ADMIT)
		callers_close_idle(gateway, now);
	if (since < STOP_LISTEN)
		return;
	if (gateway->listening) {
		gateway->listening = false;
		uv_close((uv_handle_t *)&gateway->callers_listener, NULL);
	}
	/* Callers left have a request in progress, or one that is being read. */
	open = !list_empty(&gateway->callers) || http1_is_draining();
	if (open && since < grace - STOP_MARGIN)
		return;
	log_line(G_LOG_LEVEL_INFO, PART, "stopped open=%d", open);
	log_buffer_flush(now);
	uv_stop(gateway->loop);
}

static void on_lapsed(void *ctx, const char *id)
{
	gateway_upstream_news(ctx, id, "lapse");
}

/* Drops counts of old windows, also in gateways that never report. */
static void forget_old_usage(gateway_t *gateway)
{
	int64_t window = gateway_window(gateway);
	int64_t first;

	if (window == gateway->usage_window)
		return;
	gateway->usage_window = window;
	first = gateway_first_window_due(gateway) - WINDOWS_SPARE;
	usage_discard(gateway->usage, first);
	usage_watermarks_discard(gateway->watermarks, first);
	usage_inflight_discard(gateway->inflight, first);
}

/*
 * Has the buckets of all accounts there, also of those of which no request came
 * yet, as others go by this gateway's levels. Not before the record was read: a
 * bucket that is there keeps its level.
 */
static void know_accounts(gateway_t *gateway, pd_time_t now)
{
	const forward_config_t *config = gateway->config;

	if (!gateway_is_set_up(gateway) || gateway->limits_version == config->version)
		return;
	gateway->limits_version = config->version;
	for (guint i = 0; i < config->accounts->len; i++)
		token_limits_add_account(gateway->limits,
					 g_ptr_array_index(config->accounts, i),
					 now);
}

/* Reads the own clock and counts the votes on the time of day. */
static void run_vote(gateway_t *gateway, pd_time_t now)
{
	clock_steps_t steps = time_vote_update(gateway->vote, gateway_wall(), now);

	if (steps.own || steps.fleet)
		log_line(G_LOG_LEVEL_WARNING, PART,
			 "clock own_step_ms=%" PRId64 " fleet_step_ms=%" PRId64
			 " own_off_ms=%" PRId64,
			 steps.own / PD_MSEC, steps.fleet / PD_MSEC,
			 (time_vote_own_wall(gateway->vote, now) -
			  time_vote_wall(gateway->vote, now)) /
				 PD_MSEC);
}

static void on_tick(uv_timer_t *timer)
{
	gateway_t *gateway = timer->data;
	pd_time_t now = gateway_now();

	run_vote(gateway, now);
	forward_upstreams_run(gateway->upstreams, now, on_lapsed, gateway);
	/* First, as it tells a start how large the fleet is. */
	gateway_checkpoint_run(gateway->checkpoint, now);
	fleet_feed_run(gateway->feed, now);
	forget_old_usage(gateway);
	gateway_requests_run(gateway, now);
	callers_run(gateway, now);
	upstream_links_run(gateway, now);
	gateway_peers_run(gateway->peers, now);
	know_accounts(gateway, now);
	token_limits_set_gateway_count(gateway->limits, gateway_count(gateway));
	token_limits_set_lag(gateway->limits,
			     gateway_peers_lag(gateway->peers, now));
	work_rate_update(gateway->work, now);
	gateway_duties_run(gateway->duties, now);
	gateway_reload_run(gateway, now);
	log_buffer_flush(now);
	if (gateway->stop_at)
		stop_step(gateway, now);
}

static void on_caller(uv_stream_t *listener, int status)
{
	if (status == 0)
		caller_accept(listener->data, listener);
}

static void on_visitor(uv_stream_t *listener, int status)
{
	if (status == 0)
		health_accept(listener->data, listener);
}

/*
 * Splits address:port; HOST is a copy that the caller frees. False, and nothing
 * set, if there is no colon.
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

static int split_setting(const char *address, char **host, uint16_t *port,
			 pd_error_t *err)
{
	if (gateway_split_address(address, host, port))
		return 0;
	return pd_error_set(err, PD_ERROR_SETTINGS, "%s: expected address:port",
			    address);
}

static int listen_on(gateway_t *gateway, uv_tcp_t *listener, const char *what,
		     const char *address, uv_connection_cb on_connection,
		     pd_error_t *err)
{
	struct sockaddr_in addr;
	int len = sizeof(addr);
	char *host = NULL;
	uint16_t port = 0;
	int rc;

	if (split_setting(address, &host, &port, err) < 0)
		return -1;
	uv_tcp_init(gateway->loop, listener);
	listener->data = gateway;
	rc = uv_ip4_addr(host, port, &addr);
	if (rc == 0)
		rc = uv_tcp_bind(listener, (struct sockaddr *)&addr, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)listener, BACKLOG, on_connection);
	if (rc == 0)
		rc = uv_tcp_getsockname(listener, (struct sockaddr *)&addr, &len);
	g_free(host);
	if (rc != 0)
		return pd_error_set(err, PD_ERROR_IO, "listen on %s: %s",
				    address, uv_strerror(rc));
	log_line(G_LOG_LEVEL_INFO, PART, "listen %s=%u", what,
		 ntohs(addr.sin_port));
	return 0;
}

static http1_client_t *client_for(gateway_t *gateway, const char *address,
				  pd_error_t *err)
{
	http1_client_t *client;
	char *host = NULL;
	uint16_t port = 0;

	if (split_setting(address, &host, &port, err) < 0)
		return NULL;
	client = http1_client_create(gateway->loop, host, port);
	g_free(host);
	return client;
}

static void create_decisions(gateway_t *gateway)
{
	const gateway_settings_t *settings = gateway->settings;
	const retry_limits_t retries = gateway_settings_retries(settings);
	const token_limits_config_t limits = gateway_settings_limits(settings);

	gateway->upstreams = forward_upstreams_create();
	gateway->outage = store_outage_create(gateway->started_at);
	gateway->limits =
		token_limits_create(&limits,
				    !strcmp(settings->node_start, "first"));
	gateway->retries = retry_windows_create(&retries);
	gateway->work = work_rate_create();
	gateway->sheds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       (GDestroyNotify)shed_destroy);
	gateway->watermarks = usage_watermarks_create();
	gateway->inflight = usage_inflight_create();
	gateway->flight_changed = true;
	gateway->vote = time_vote_create();
	run_vote(gateway, gateway->started_at);
	gateway->metrics = metrics_create();
	gateway->random = g_rand_new();
	token_limits_seed(gateway->limits, g_rand_int(gateway->random));
	list_init(&gateway->callers);
	list_init(&gateway->requests);
	list_init(&gateway->starting);
	for (int i = 0; i < GATEWAY_RANKS; i++)
		list_init(&gateway->queues[i]);
}

/*
 * Starts a gateway on a loop; it owns the settings from then on. NULL with ERR set if an address can't be used;
 * what was begun by then ends with the process.
 */
gateway_t *gateway_create(uv_loop_t *loop, gateway_settings_t *settings,
			  pd_error_t *err)
{
	gateway_t *gateway = g_new0(gateway_t, 1);

	gateway->loop = loop;
	gateway->settings = settings;
	gateway->started_at = gateway_now();
	create_decisions(gateway);
	gateway->store = client_for(gateway, settings->store_address, err);
	gateway->cloud = client_for(gateway, settings->cloud_address, err);
	if (!gateway->store || !gateway->cloud)
		return NULL;
	http1_client_observe(gateway->store, on_store_ended, gateway);
	gateway->checkpoint = gateway_checkpoint_create(gateway);
	gateway->peers = gateway_peers_create(gateway, err);
	if (!gateway->peers ||
	    listen_on(gateway, &gateway->callers_listener, "callers",
		      settings->callers_listen, on_caller, err) < 0 ||
	    listen_on(gateway, &gateway->health_listener, "health",
		      settings->health_listen, on_visitor, err) < 0)
		return NULL;
	gateway->listening = true;
	gateway->usage = usage_create(gateway_peers_incarnation(gateway->peers));
	gateway->feed = fleet_feed_create(gateway);
	gateway->duties = gateway_duties_create(gateway);
	uv_timer_init(loop, &gateway->tick);
	gateway->tick.data = gateway;
	uv_timer_start(&gateway->tick, on_tick, 1, TICK_MS);
	log_line(G_LOG_LEVEL_INFO, PART, "start node=%s zone=%s callers=%s",
		 settings->node_id, settings->node_zone, settings->callers_listen);
	return gateway;
}

static unsigned int count_serving(const gateway_t *gateway)
{
	unsigned int count = 0;

	LIST_FOR_EACH (it, forward_upstreams_list(gateway->upstreams))
		count += forward_upstream_serves(
			LIST_ENTRY(it, forward_upstream_t, node));
	return count;
}

static unsigned int count_nodes(const list_node_t *head)
{
	unsigned int count = 0;

	LIST_FOR_EACH (it, head)
		count++;
	return count;
}

/* Sets the gauges to how things stand, for whoever reads the metrics now. */
void gateway_gauges(gateway_t *gateway)
{
	metrics_t *metrics = gateway->metrics;

	metrics_gauge(metrics, "gateway_config_version",
		      gateway->config ? (double)gateway->config->version : 0);
	metrics_gauge(metrics, "gateway_upstreams_serving", count_serving(gateway));
	metrics_gauge(metrics, "gateway_peers", gateway_count(gateway) - 1.0);
	metrics_gauge(metrics, "gateway_store_serves",
		      fleet_feed_is_back(gateway->feed));
	metrics_gauge(metrics, "gateway_requests_open",
		      count_nodes(&gateway->requests));
	metrics_gauge(metrics, "gateway_requests_queued", gateway->queued);
	metrics_gauge(metrics, "gateway_callers_open",
		      count_nodes(&gateway->callers));
}

/* Begins to stop: callers are turned away, what is in progress ends. */
void gateway_stop(gateway_t *gateway)
{
	if (gateway->stop_at)
		return;
	gateway->stop_at = gateway_now();
	log_line(G_LOG_LEVEL_INFO, PART, "stop grace_s=%.1f",
		 gateway->settings->stop_grace_s);
}
