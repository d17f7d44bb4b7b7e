/* A small server of two pages. */
#include "adapters/gateway/health.h"

#include <string.h>

#include "adapters/gateway/gateway.h"
#include "platform/wire.h"

#define METRICS_PATH "/metrics"

typedef struct visitor {
	gateway_t *gateway;
	http1_t *conn;
	char *path;
	bool keep;
} visitor_t;

static void on_head(void *ctx, const http1_head_t *head)
{
	visitor_t *visitor = ctx;

	g_free(visitor->path);
	visitor->path = g_strdup(head->target);
	visitor->keep = head->keep_alive;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	(void)ctx;
	(void)data;
	(void)len;
}

static void visitor_answer(visitor_t *visitor, int status, const char *body)
{
	char *text =
		g_strdup_printf("HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n"
				"Content-Length: %zu\r\n%s\r\n%s",
				status, http1_reason(status), strlen(body),
				visitor->keep ? "" : "Connection: close\r\n",
				body);

	http1_write(visitor->conn, text, strlen(text));
	g_free(text);
}

static void on_message(void *ctx)
{
	visitor_t *visitor = ctx;
	const char *path = visitor->path ? visitor->path : "";

	if (!strcmp(path, wire_ready_path())) {
		visitor_answer(visitor,
			       gateway_is_ready(visitor->gateway) ? 200 : 503, "");
	} else if (!strcmp(path, METRICS_PATH)) {
		char *text;

		gateway_update_gauges(visitor->gateway);
		text = metrics_text(visitor->gateway->metrics);

		visitor_answer(visitor, 200, text);
		g_free(text);
	} else {
		visitor_answer(visitor, 404, "");
	}
	if (visitor->keep)
		return;
	http1_close_when_sent(visitor->conn);
	g_free(visitor->path);
	g_free(visitor);
}

static void on_end(void *ctx, http1_end_t end)
{
	visitor_t *visitor = ctx;

	(void)end;
	g_free(visitor->path);
	g_free(visitor);
}

static void on_connected(void *ctx)
{
	(void)ctx;
}

/* Takes a new connection. */
void health_accept(gateway_t *gateway, uv_stream_t *listener)
{
	static const http1_events_t events = { on_connected, on_head, on_body,
					       on_message, on_end };
	visitor_t *visitor = g_new0(visitor_t, 1);

	visitor->gateway = gateway;
	visitor->conn = http1_create(gateway->loop, HTTP1_SERVER, &events, visitor);
	if (http1_accept(visitor->conn, listener) < 0) {
		http1_close(visitor->conn);
		g_free(visitor);
	}
}
