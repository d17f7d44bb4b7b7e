/* An HTTP server with two resources: readiness and metrics. */
#include "adapters/gateway/health.h"

#include <string.h>

#include "adapters/gateway/gateway.h"
#include "platform/wire.h"

#define METRICS_PATH "/metrics"
/* A client that sends requests and leaves more of their responses unread is closed. */
#define UNREAD_BYTES_MAX ((size_t)256 * 1024)

typedef struct client {
	gateway_t *gateway;
	http1_t *conn;
	char *path;
	bool keep_alive;
} health_client_t;

/* Stores the path of a request. */
static void on_head(void *ctx, const http1_head_t *head)
{
	health_client_t *client = ctx;

	g_free(client->path);
	client->path = g_strdup(head->target);
	client->keep_alive = head->keep_alive;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	(void)ctx;
	(void)data;
	(void)len;
}

/* Sends a response with a plain text body. */
static void client_respond(health_client_t *client, int status, const char *body)
{
	char *text =
		g_strdup_printf("HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n"
				"Content-Length: %zu\r\n%s\r\n%s",
				status, http1_reason_phrase(status), strlen(body),
				client->keep_alive ? "" : "Connection: close\r\n",
				body);

	http1_write(client->conn, text, strlen(text));
	g_free(text);
}

/* Frees a client, whose connection is closed elsewhere. */
static void client_free(health_client_t *client)
{
	g_free(client->path);
	g_free(client);
}

/* Responds to a request, and closes the connection unless it is kept alive. */
static void on_message(void *ctx)
{
	health_client_t *client = ctx;
	const char *path = client->path ? client->path : "";

	if (http1_queued_bytes(client->conn) > UNREAD_BYTES_MAX) {
		http1_close(client->conn);
		client_free(client);
		return;
	}
	if (!strcmp(path, wire_ready_path())) {
		client_respond(client,
			       gateway_is_ready(client->gateway) ? 200 : 503, "");
	} else if (!strcmp(path, METRICS_PATH)) {
		char *text;

		gateway_update_gauges(client->gateway);
		text = metrics_format(client->gateway->metrics);

		client_respond(client, 200, text);
		g_free(text);
	} else {
		client_respond(client, 404, "");
	}
	if (client->keep_alive)
		return;
	http1_close_when_sent(client->conn);
	client_free(client);
}

/* The client disconnected. */
static void on_end(void *ctx, http1_end_t end)
{
	(void)end;
	client_free(ctx);
}

static void on_connected(void *ctx)
{
	(void)ctx;
}

/* Accepts a connection from LISTENER; it frees itself when it ends. */
void health_accept(gateway_t *gateway, uv_stream_t *listener)
{
	static const http1_events_t events = { on_connected, on_head, on_body,
					       on_message, on_end };
	health_client_t *client = g_new0(health_client_t, 1);

	client->gateway = gateway;
	client->conn = http1_create(gateway->loop, HTTP1_SERVER, &events, client);
	if (http1_accept(client->conn, listener) < 0) {
		http1_close(client->conn);
		g_free(client);
	}
}
