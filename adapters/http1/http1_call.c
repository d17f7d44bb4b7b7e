/* HTTP calls over pooled connections, each with its own timer. */
#include "adapters/http1/http1_call.h"

#include <string.h>

#include "core/list.h"

/*
 * An idle connection is reused only within this time. The server may close idle
 * connections after a time that it doesn't announce, and a call sent at that
 * moment is lost. Half of the shortest common idle timeout.
 */
#define IDLE_TIMEOUT_MS 2500
#define IDLE_CHANNELS_MAX 4
#define CONNECT_TIMEOUT_MS 1000
/*
 * Limit of the bodies that all calls of a client buffer. A reply has some thousand
 * objects of a few hundred bytes at most; a server that sends without end must not
 * exhaust the memory.
 */
#define REPLIES_BYTES_MAX ((size_t)8 * 1024 * 1024)

/* A pooled connection and the call on it. */
typedef struct channel {
	list_node_t node;
	http1_client_t *client;
	http1_t *conn;
	uv_timer_t timer;
	http1_request_t request; /* its strings are not valid after the call */
	GString *request_text;
	GString *body;
	int status;
	bool busy;
	bool connected;
	bool sent;
	bool reusable;
	uint64_t started_at;
	uint64_t idle_since;
} channel_t;

struct http1_client {
	uv_loop_t *loop;
	char *address;
	uint16_t port;
	list_node_t channels;
	size_t reply_bytes; /* buffered for calls in progress */
	http1_on_done_t on_done; /* NULL: none */
	void *on_done_ctx;
};

static void on_timer_closed(uv_handle_t *handle)
{
	channel_t *channel = handle->data;

	g_string_free(channel->request_text, TRUE);
	g_string_free(channel->body, TRUE);
	g_free(channel);
}

static void channel_close(channel_t *channel)
{
	list_remove(&channel->node);
	if (channel->conn)
		http1_close(channel->conn);
	channel->conn = NULL;
	if (!uv_is_closing((uv_handle_t *)&channel->timer))
		uv_close((uv_handle_t *)&channel->timer, on_timer_closed);
}

static unsigned int count_idle_channels(const http1_client_t *client)
{
	unsigned int count = 0;

	LIST_FOR_EACH (it, &client->channels)
		count += !LIST_ENTRY(it, channel_t, node)->busy;
	return count;
}

static void channel_end_call(channel_t *channel, int status)
{
	const http1_request_t request = channel->request;
	http1_reply_t reply = {
		.status = status,
		.sent = channel->sent,
		.body = channel->body->str,
		.len = channel->body->len,
	};
	bool reuse = status && channel->reusable &&
		     count_idle_channels(channel->client) < IDLE_CHANNELS_MAX;

	uv_timer_stop(&channel->timer);
	channel->client->reply_bytes -= channel->body->len;
	channel->busy = false;
	channel->idle_since = uv_now(channel->client->loop);
	if (channel->client->on_done)
		channel->client->on_done(channel->client->on_done_ctx, status,
					 channel->idle_since - channel->started_at);
	/* Without a response, the connection's state is unknown. */
	if (!reuse)
		list_remove(&channel->node);
	request.on_reply(request.ctx, &reply);
	if (!reuse)
		channel_close(channel);
}

static void on_timeout(uv_timer_t *timer)
{
	channel_end_call(timer->data, 0);
}

static void channel_send(channel_t *channel)
{
	channel->sent = true;
	http1_expect_response(channel->conn, false);
	http1_write(channel->conn, channel->request_text->str,
		    channel->request_text->len);
}

static void on_connected(void *ctx)
{
	channel_t *channel = ctx;

	channel->connected = true;
	uv_timer_start(&channel->timer, on_timeout, channel->request.timeout_ms, 0);
	channel_send(channel);
}

static void on_head(void *ctx, const http1_head_t *head)
{
	channel_t *channel = ctx;

	channel->status = head->status;
	channel->reusable = head->keep_alive;
}

/* Buffers a part of the reply; ends the call, as without a reply, if it is too long. */
static void on_body(void *ctx, const char *data, size_t len)
{
	channel_t *channel = ctx;

	if (channel->client->reply_bytes + len > REPLIES_BYTES_MAX) {
		channel_end_call(channel, 0);
		return;
	}
	channel->client->reply_bytes += len;
	g_string_append_len(channel->body, data, (gssize)len);
}

static void on_message(void *ctx)
{
	channel_t *channel = ctx;

	channel_end_call(channel, channel->status);
}

static void on_end(void *ctx, http1_end_t end)
{
	channel_t *channel = ctx;

	(void)end;
	channel->conn = NULL;
	if (channel->busy)
		channel_end_call(channel, 0);
	else
		channel_close(channel);
}

static channel_t *channel_open(http1_client_t *client)
{
	static const http1_events_t events = { on_connected, on_head, on_body,
					       on_message, on_end };
	channel_t *channel = g_new0(channel_t, 1);

	channel->client = client;
	channel->request_text = g_string_new(NULL);
	channel->body = g_string_new(NULL);
	channel->conn = http1_create(client->loop, HTTP1_CLIENT, &events, channel);
	uv_timer_init(client->loop, &channel->timer);
	channel->timer.data = channel;
	list_append(&client->channels, &channel->node);
	return channel;
}

/* Returns an idle channel that may be reused, or NULL; closes expired ones. */
static channel_t *find_idle_channel(http1_client_t *client)
{
	uint64_t now = uv_now(client->loop);

	LIST_FOR_EACH_SAFE (it, &client->channels) {
		channel_t *channel = LIST_ENTRY(it, channel_t, node);

		if (channel->busy)
			continue;
		if (now - channel->idle_since < IDLE_TIMEOUT_MS)
			return channel;
		channel_close(channel);
	}
	return NULL;
}

/* Returns a client without connections, owned by the caller. */
http1_client_t *http1_client_create(uv_loop_t *loop, const char *address,
				    uint16_t port)
{
	http1_client_t *client = g_new0(http1_client_t, 1);

	client->loop = loop;
	client->address = g_strdup(address);
	client->port = port;
	list_init(&client->channels);
	return client;
}

/*
 * Closes all connections and frees the client, which may be NULL. Calls in
 * flight get no reply.
 */
void http1_client_destroy(http1_client_t *client)
{
	if (!client)
		return;
	LIST_FOR_EACH_SAFE (it, &client->channels)
		channel_close(LIST_ENTRY(it, channel_t, node));
	g_free(client->address);
	g_free(client);
}

static void channel_format_request(channel_t *channel, const http1_request_t *request)
{
	const http1_client_t *client = channel->client;

	g_string_printf(channel->request_text,
			"%s %s HTTP/1.1\r\nHost: %s:%u\r\n%s", request->method,
			request->path, client->address, client->port,
			request->headers ? request->headers : "");
	if (request->body)
		g_string_append_printf(channel->request_text,
				       "Content-Type: application/json\r\n"
				       "Content-Length: %zu\r\n",
				       strlen(request->body));
	g_string_append(channel->request_text, "\r\n");
	if (request->body)
		g_string_append(channel->request_text, request->body);
}

/* Sets a callback for the end of each call; CTX is borrowed. */
void http1_client_observe(http1_client_t *client, http1_on_done_t on_done, void *ctx)
{
	client->on_done = on_done;
	client->on_done_ctx = ctx;
}

/* Sets the address for further calls; calls in flight are not affected. */
void http1_client_set_address(http1_client_t *client, const char *address,
			      uint16_t port)
{
	LIST_FOR_EACH_SAFE (it, &client->channels) {
		channel_t *channel = LIST_ENTRY(it, channel_t, node);

		channel->reusable = false;
		if (!channel->busy)
			channel_close(channel);
	}
	g_free(client->address);
	client->address = g_strdup(address);
	client->port = port;
}

/* Starts a call. on_reply is never called from within this function. */
void http1_client_call(http1_client_t *client, const http1_request_t *request)
{
	channel_t *channel = find_idle_channel(client);

	if (!channel)
		channel = channel_open(client);
	channel->request = *request;
	channel->busy = true;
	channel->sent = false;
	channel->status = 0;
	channel->started_at = uv_now(client->loop);
	g_string_truncate(channel->body, 0);
	channel_format_request(channel, request);
	if (channel->connected) {
		uv_timer_start(&channel->timer, on_timeout, request->timeout_ms, 0);
		channel_send(channel);
		return;
	}
	uv_timer_start(&channel->timer, on_timeout,
		       MIN(request->timeout_ms, CONNECT_TIMEOUT_MS), 0);
	/* If connecting fails at once, the timer ends the call. */
	(void)http1_connect(channel->conn, client->address, client->port);
}
