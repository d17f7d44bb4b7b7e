/*
 * Probes are connections to upstreams that carry no request. They are made only while
 * connections fail.
 */
#include "adapters/gateway/upstream_reach.h"

#include "adapters/log_glib.h"

#define LOG_COMPONENT "reach"

typedef struct probe {
	list_node_t node;
	gateway_t *gateway;
	forward_upstream_t *upstream;
	http1_t *conn;
	pd_time_t started_at;
} probe_t;

/* Frees a probe; its connection is closed elsewhere. */
static void probe_free(probe_t *probe)
{
	list_remove(&probe->node);
	forward_upstream_unref(probe->upstream);
	g_free(probe);
}

/* Records that a connection to an upstream was established. */
void gateway_reach_record_connected(gateway_t *gateway)
{
	if (reach_record_connected(gateway->reach))
		log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "cut_off=0");
}

/* Records that a request could not be sent to an upstream, if that serves. */
void gateway_reach_record_failure(gateway_t *gateway,
				  const forward_upstream_t *upstream)
{
	if (forward_upstream_is_serving(upstream))
		reach_record_failure(gateway->reach,
				     forward_upstream_short_id(upstream),
				     gateway_now());
}

static void on_connected(void *ctx)
{
	probe_t *probe = ctx;

	gateway_reach_record_connected(probe->gateway);
	http1_close(probe->conn);
	probe_free(probe);
}

static void on_head(void *ctx, const http1_head_t *head)
{
	(void)ctx;
	(void)head;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	(void)ctx;
	(void)data;
	(void)len;
}

static void on_message(void *ctx)
{
	(void)ctx;
}

static void on_end(void *ctx, http1_end_t end)
{
	probe_t *probe = ctx;
	gateway_t *gateway = probe->gateway;

	(void)end;
	if (reach_record_probe_failure(gateway->reach,
				       forward_upstreams_count_serving(
					       gateway->upstreams))) {
		log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
			 "cut_off=1 upstream=%s", probe->upstream->id);
		metrics_add(gateway->metrics, "gateway_cut_off_total", 1);
	}
	probe_free(probe);
}

/* Returns a random upstream that serves and was not probed, borrowed, or NULL. */
static forward_upstream_t *pick_upstream(gateway_t *gateway)
{
	forward_upstream_t *picked = NULL;
	gint32 count = 0;

	LIST_FOR_EACH (it, forward_upstreams_list(gateway->upstreams)) {
		forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		if (!forward_upstream_is_serving(upstream) ||
		    !reach_may_probe(gateway->reach,
				     forward_upstream_short_id(upstream)))
			continue;
		if (g_rand_int_range(gateway->random, 0, ++count) == 0)
			picked = upstream;
	}
	return picked;
}

/* Starts to connect to an upstream. */
static void start_probe(gateway_t *gateway, forward_upstream_t *upstream)
{
	static const http1_events_t events = { on_connected, on_head, on_body,
					       on_message, on_end };
	probe_t *probe = g_new0(probe_t, 1);

	probe->gateway = gateway;
	probe->upstream = forward_upstream_ref(upstream);
	probe->started_at = gateway_now();
	probe->conn = http1_create(gateway->loop, HTTP1_CLIENT, &events, probe);
	list_append(&gateway->reach_probes, &probe->node);
	reach_record_probe(gateway->reach, forward_upstream_short_id(upstream));
	metrics_add(gateway->metrics, "gateway_reach_probes_total", 1);
	if (http1_connect(probe->conn, upstream->address, upstream->port) < 0) {
		http1_close(probe->conn);
		on_end(probe, HTTP1_END_CONNECT_FAILED);
	}
}

/* Ends probes that got no answer, and starts those that are due. */
void gateway_reach_run(gateway_t *gateway, pd_time_t now)
{
	unsigned int due;

	LIST_FOR_EACH_SAFE (it, &gateway->reach_probes) {
		probe_t *probe = LIST_ENTRY(it, probe_t, node);

		if (now - probe->started_at < GATEWAY_CONNECT_TIMEOUT)
			continue;
		http1_close(probe->conn);
		on_end(probe, HTTP1_END_CONNECT_FAILED);
	}
	if (!reach_is_suspicious(gateway->reach))
		return;
	due = reach_take_probes(gateway->reach,
				forward_upstreams_count_serving(gateway->upstreams),
				now);
	for (; due; due--) {
		forward_upstream_t *upstream = pick_upstream(gateway);

		if (upstream)
			start_probe(gateway, upstream);
	}
}
