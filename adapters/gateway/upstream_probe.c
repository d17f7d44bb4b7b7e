/* Connects to upstreams without sending a request. */
#include "adapters/gateway/upstream_probe.h"

#include "adapters/gateway/upstream_reach.h"

typedef struct probe {
	list_node_t node;
	gateway_t *gateway;
	forward_upstream_t *upstream;
	http1_t *conn;
	pd_time_t started_at;
	upstream_probe_done_t done;
	void *ctx;
} probe_t;

/* Frees a probe, whose connection is closed, and reports its result. */
static void probe_finish(probe_t *probe, upstream_probe_result_t result)
{
	list_remove(&probe->node);
	probe->done(probe->gateway, probe->upstream, result, probe->ctx);
	forward_upstream_unref(probe->upstream);
	g_free(probe);
}

static void on_connected(void *ctx)
{
	probe_t *probe = ctx;

	http1_close(probe->conn);
	probe_finish(probe, UPSTREAM_PROBE_CONNECTED);
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

	if (end == HTTP1_END_REFUSED)
		gateway_reach_record_refusal(probe->gateway, probe->upstream);
	probe_finish(probe, UPSTREAM_PROBE_REFUSED);
}

/* Starts to connect to an upstream; DONE is called with CTX, perhaps at once. */
void upstream_probe_start(gateway_t *gateway, forward_upstream_t *upstream,
			  upstream_probe_done_t done, void *ctx)
{
	static const http1_events_t events = { on_connected, on_head, on_body,
					       on_message, on_end };
	probe_t *probe = g_new0(probe_t, 1);

	probe->gateway = gateway;
	probe->upstream = forward_upstream_ref(upstream);
	probe->started_at = gateway_now();
	probe->done = done;
	probe->ctx = ctx;
	probe->conn = http1_create(gateway->loop, HTTP1_CLIENT, &events, probe);
	list_append(&gateway->probes, &probe->node);
	if (http1_connect(probe->conn, upstream->address, upstream->port) < 0) {
		http1_close(probe->conn);
		probe_finish(probe, UPSTREAM_PROBE_REFUSED);
	}
}

/* Ends probes that got no answer in time. */
void upstream_probes_run(gateway_t *gateway, pd_time_t now)
{
	LIST_FOR_EACH_SAFE (it, &gateway->probes) {
		probe_t *probe = LIST_ENTRY(it, probe_t, node);

		if (now - probe->started_at < GATEWAY_CONNECT_TIMEOUT)
			continue;
		http1_close(probe->conn);
		probe_finish(probe, UPSTREAM_PROBE_SILENT);
	}
}
