/* Reads requests from callers' connections, and closes those that time out. */
#include "adapters/gateway/caller.h"

#include "adapters/gateway/request.h"

/*
 * How long an idle connection is kept beyond the configured idle timeout. Callers reuse
 * connections until shortly before that timeout, and a request on its way must not
 * meet a closed connection.
 */
#define IDLE_MARGIN (2 * PD_SEC)
/* How long a stopping gateway waits for the first request on a connection. */
#define FIRST_REQUEST_TIMEOUT PD_SEC

struct caller {
	list_node_t node;
	gateway_t *gateway;
	http1_t *conn;
	gateway_request_t *request; /* NULL: none in progress */
	bool is_gateway; /* it relays the requests of its callers */
	bool has_sent_request; /* at least one head was read */
	bool keep_alive; /* the connection may carry further requests */
	pd_time_t last_active_at; /* when data last arrived or a request ended */
	pd_time_t head_started_at; /* first byte of a partial head; 0: none */
	bool reading_request; /* a head was read, but not yet the whole body */
	bool behind; /* reads no further request until responses are read */
};

/* Removes a caller from the gateway and frees it; its connection is closed elsewhere. */
static void caller_free(caller_t *caller)
{
	list_remove(&caller->node);
	g_free(caller);
}

/* Begins the request that HEAD announces. */
static void on_head(void *ctx, const http1_head_t *head)
{
	caller_t *caller = ctx;
	const char *expect =
		header_find(head->headers, head->header_count, "Expect");

	caller->has_sent_request = true;
	caller->keep_alive = head->keep_alive;
	caller->reading_request = true;
	caller->last_active_at = gateway_now();
	if (expect && head->has_body)
		caller_write(caller, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	caller->request = gateway_request_create(caller->gateway, caller, head);
}

/* Adds data of a body to the request; a body that is too long ends keep-alive. */
static void on_body(void *ctx, const char *data, size_t len)
{
	caller_t *caller = ctx;

	caller->last_active_at = gateway_now();
	if (caller->request && !gateway_request_add_body(caller->request, data, len))
		caller->keep_alive = false;
}

/* The request was read completely: reads no further one until it has a response. */
static void on_message(void *ctx)
{
	caller_t *caller = ctx;

	caller->reading_request = false;
	if (!caller->request)
		return;
	http1_pause(caller->conn);
	gateway_request_start(caller->request);
}

/* The caller disconnected, or sent data that is not valid HTTP. */
static void on_end(void *ctx, http1_end_t end)
{
	caller_t *caller = ctx;

	if (caller->request)
		gateway_request_abandon(caller->request,
					end == HTTP1_END_UNREAD
						? "answer not read"
						: "caller left");
	caller_free(caller);
}

static void on_connected(void *ctx)
{
	(void)ctx;
}

/*
 * Accepts the connection of a caller, or of a gateway that relays requests, from
 * LISTENER; it frees itself when it ends.
 */
void caller_accept(gateway_t *gateway, uv_stream_t *listener, bool is_gateway)
{
	static const http1_events_t events = { on_connected, on_head, on_body,
					       on_message, on_end };
	caller_t *caller = g_new0(caller_t, 1);

	caller->gateway = gateway;
	caller->is_gateway = is_gateway;
	caller->last_active_at = gateway_now();
	caller->conn = http1_create(gateway->loop, HTTP1_SERVER, &events, caller);
	list_append(&gateway->callers, &caller->node);
	if (gateway->config)
		http1_set_head_limit(caller->conn,
				     gateway->config->header_bytes_max);
	if (http1_accept(caller->conn, listener) < 0) {
		http1_close(caller->conn);
		caller_free(caller);
	}
}

/* Returns whether the caller is a gateway that relays the requests of its callers. */
bool caller_is_gateway(const caller_t *caller)
{
	return caller->is_gateway;
}

/* Sends LEN bytes of a response. */
void caller_write(caller_t *caller, const char *data, size_t len)
{
	http1_write(caller->conn, data, len);
}

/* Returns how much memory the caller's unread responses take, in bytes. */
size_t caller_unread_bytes(const caller_t *caller)
{
	return http1_queued_bytes(caller->conn);
}

/* Returns whether CONN is the caller's connection. */
bool caller_has_connection(const caller_t *caller, const http1_t *conn)
{
	return caller->conn == conn;
}

/* Returns whether the connection stays open after the current response. */
bool caller_keeps_alive(const caller_t *caller)
{
	return caller->keep_alive && !caller->gateway->stop_requested_at;
}

/*
 * Ends the current request after its response was written completely. Frees the caller
 * if its connection is not kept open.
 */
void caller_response_done(caller_t *caller)
{
	caller->request = NULL;
	caller->last_active_at = gateway_now();
	if (!caller->keep_alive || caller->gateway->stop_requested_at ||
	    caller->reading_request) {
		http1_close_when_sent(caller->conn);
		caller_free(caller);
		return;
	}
	caller->behind = gateway_answers_are_behind(caller->gateway,
						    caller_unread_bytes(caller));
	if (!caller->behind)
		http1_resume(caller->conn);
}

/*
 * Closes a connection whose response can't be completed, so that the caller notices;
 * frees the caller.
 */
void caller_abort(caller_t *caller)
{
	caller->request = NULL;
	http1_close(caller->conn);
	caller_free(caller);
}

/* Closes a connection that timed out, after a 408 if it has sent part of a request. */
static void caller_close_timed_out(caller_t *caller)
{
	static const char late[] = "HTTP/1.1 408 Request Timeout\r\n"
				   "Content-Length: 0\r\n"
				   "Connection: close\r\n\r\n";

	if (caller->request)
		gateway_request_abandon(caller->request,
					"request not read in time");
	caller->request = NULL;
	if (http1_in_message(caller->conn))
		caller_write(caller, late, sizeof(late) - 1);
	http1_close_when_sent(caller->conn);
	caller_free(caller);
}

/*
 * Returns whether a head has been incomplete for too long. Otherwise callers that send
 * single bytes could hold connections for as long as they like.
 */
static bool head_timed_out(caller_t *caller, pd_time_t now)
{
	const forward_config_t *config = caller->gateway->config;

	if (!http1_in_message(caller->conn) || caller->reading_request) {
		caller->head_started_at = 0;
		return false;
	}
	if (!caller->head_started_at)
		caller->head_started_at = now;
	return config->header_timeout > 0 &&
	       now - caller->head_started_at > config->header_timeout;
}

/* Returns whether a connection was idle, or slow to send a request, for too long. */
static bool caller_timed_out(caller_t *caller, pd_time_t now)
{
	const forward_config_t *config = caller->gateway->config;

	if (now - caller->last_active_at > config->idle_timeout + IDLE_MARGIN)
		return true;
	if (caller->request)
		return gateway_request_is_overdue(caller->request, now);
	return head_timed_out(caller, now);
}

/*
 * Goes on with a caller that may have read its responses meanwhile: with the response in
 * progress, or the next request. The caller may be freed.
 */
static void caller_catch_up(caller_t *caller)
{
	if (caller->request) {
		gateway_request_pace(caller->request);
	} else if (caller->behind &&
		   !gateway_answers_are_behind(caller->gateway,
					       caller_unread_bytes(caller))) {
		caller->behind = false;
		http1_resume(caller->conn);
	}
}

/*
 * Closes connections that timed out, and goes on with those whose callers have read
 * their responses.
 */
void callers_run(gateway_t *gateway, pd_time_t now)
{
	if (!gateway->config)
		return;
	LIST_FOR_EACH_SAFE (it, &gateway->callers) {
		caller_t *caller = LIST_ENTRY(it, caller_t, node);

		if ((!caller->request || caller->reading_request) &&
		    caller_timed_out(caller, now))
			caller_close_timed_out(caller);
		else
			caller_catch_up(caller);
	}
}

/*
 * Returns whether a request is in progress, being read, or expected soon: the first
 * one of a new connection may still be on its way.
 */
static bool caller_is_busy(const caller_t *caller, pd_time_t now)
{
	if (caller->request || http1_in_message(caller->conn))
		return true;
	return !caller->has_sent_request &&
	       now - caller->last_active_at < FIRST_REQUEST_TIMEOUT;
}

/* Closes the connections without a current or expected request. */
void callers_close_idle(gateway_t *gateway, pd_time_t now)
{
	LIST_FOR_EACH_SAFE (it, &gateway->callers) {
		caller_t *caller = LIST_ENTRY(it, caller_t, node);

		if (caller_is_busy(caller, now))
			continue;
		http1_close_when_sent(caller->conn);
		caller_free(caller);
	}
}

/* Closes all connections; no request that was read completely may be in progress. */
void callers_close_all(gateway_t *gateway)
{
	LIST_FOR_EACH_SAFE (it, &gateway->callers)
		caller_close_timed_out(LIST_ENTRY(it, caller_t, node));
}
