/* Reads callers' requests and keeps their connections in order. */
#include "adapters/gateway/caller.h"

#include "adapters/gateway/request.h"

/*
 * How long a connection may stay open between requests beyond the limit that is
 * configured: callers use connections that were idle for most of that limit,
 * and a request must not cross the close.
 */
#define IDLE_MARGIN (2 * PD_SEC)
/* How long a stopping process waits for the first request of a connection. */
#define FIRST_REQUEST_TIME PD_SEC
/* Answers that a caller does not read are kept up to so many bytes. */
#define UNREAD_MAX (4 * 1024 * 1024)

struct caller {
	list_node_t node;
	gateway_t *gateway;
	http1_t *conn;
	gateway_request_t *request; /* NULL: none in progress */
	bool used; /* a request has come on the connection */
	bool keep; /* the connection serves further requests */
	pd_time_t since; /* when something last came of a request, or the last ended */
	pd_time_t head_since; /* a head has been coming in since; 0: none is */
	bool reading; /* a request's head or body is on its way */
};

static void caller_free(caller_t *caller)
{
	list_remove(&caller->node);
	g_free(caller);
}

static void on_head(void *ctx, const http1_head_t *head)
{
	caller_t *caller = ctx;
	const char *expect =
		header_find(head->headers, head->header_count, "Expect");

	caller->used = true;
	caller->keep = head->keep_alive;
	caller->reading = true;
	caller->since = gateway_now();
	if (expect && head->has_body)
		caller_write(caller, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	caller->request = gateway_request_create(caller->gateway, caller, head);
}

static void on_body(void *ctx, const char *data, size_t len)
{
	caller_t *caller = ctx;

	caller->since = gateway_now();
	if (caller->request && !gateway_request_add_body(caller->request, data, len))
		caller->keep = false;
}

static void on_message(void *ctx)
{
	caller_t *caller = ctx;

	caller->reading = false;
	if (!caller->request)
		return;
	http1_hold(caller->conn);
	gateway_request_start(caller->request);
}

/* The caller left, or sent what is no request. */
static void on_end(void *ctx, http1_end_t end)
{
	caller_t *caller = ctx;

	(void)end;
	if (caller->request)
		gateway_request_abandon(caller->request, "caller left");
	caller_free(caller);
}

static void on_connected(void *ctx)
{
	(void)ctx;
}

/* Takes a new connection of a caller. */
void caller_accept(gateway_t *gateway, uv_stream_t *listener)
{
	static const http1_events_t events = { on_connected, on_head, on_body,
					       on_message, on_end };
	caller_t *caller = g_new0(caller_t, 1);

	caller->gateway = gateway;
	caller->since = gateway_now();
	caller->conn = http1_create(gateway->loop, HTTP1_SERVER, &events, caller);
	list_append(&gateway->callers, &caller->node);
	if (gateway->config)
		http1_limit_head(caller->conn, gateway->config->header_bytes_max);
	if (http1_accept(caller->conn, listener) < 0) {
		http1_close(caller->conn);
		caller_free(caller);
	}
}

/* Sends bytes of an answer. */
void caller_write(caller_t *caller, const char *data, size_t len)
{
	http1_write(caller->conn, data, len);
}

/* Says whether the connection stays after the answer in progress. */
bool caller_keeps(const caller_t *caller)
{
	return caller->keep && !caller->gateway->stop_at;
}

/* Ends the request in progress, whose answer was written whole. */
void caller_answered(caller_t *caller)
{
	caller->request = NULL;
	caller->since = gateway_now();
	if (!caller->keep || caller->gateway->stop_at || caller->reading) {
		http1_close_when_sent(caller->conn);
		caller_free(caller);
		return;
	}
	http1_resume(caller->conn);
}

/* Ends a connection whose answer can't be finished, so that this shows. */
void caller_abort(caller_t *caller)
{
	caller->request = NULL;
	http1_close(caller->conn);
	caller_free(caller);
}

static void caller_timeout(caller_t *caller)
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
 * Says whether a head has been coming in for too long. Callers that send one byte
 * after the other would hold connections for as long as they like.
 */
static bool head_is_late(caller_t *caller, pd_time_t now)
{
	const forward_config_t *config = caller->gateway->config;

	if (!http1_in_message(caller->conn) || caller->reading) {
		caller->head_since = 0;
		return false;
	}
	if (!caller->head_since)
		caller->head_since = now;
	return config->header_timeout > 0 &&
	       now - caller->head_since > config->header_timeout;
}

/* Says whether the connection is idle, or slow to send, for too long. */
static bool caller_is_late(caller_t *caller, pd_time_t now)
{
	const forward_config_t *config = caller->gateway->config;

	if (now - caller->since > config->idle_timeout + IDLE_MARGIN)
		return true;
	if (caller->request)
		return gateway_request_is_overdue(caller->request, now);
	return head_is_late(caller, now);
}

/* Closes connections that are idle, or slow to send, for too long. */
void callers_run(gateway_t *gateway, pd_time_t now)
{
	if (!gateway->config)
		return;
	LIST_FOR_EACH_SAFE (it, &gateway->callers) {
		caller_t *caller = LIST_ENTRY(it, caller_t, node);

		if (caller->request && !caller->reading) {
			if (http1_unsent(caller->conn) > UNREAD_MAX) {
				gateway_request_abandon(caller->request,
							"answer not read");
				caller_abort(caller);
			}
			continue;
		}
		if (caller_is_late(caller, now))
			caller_timeout(caller);
	}
}

/*
 * Returns whether a request is in progress, being read, or to be expected: a
 * connection is opened for a request that may still be on its way.
 */
static bool caller_is_busy(const caller_t *caller, pd_time_t now)
{
	if (caller->request || http1_in_message(caller->conn))
		return true;
	return !caller->used && now - caller->since < FIRST_REQUEST_TIME;
}

/* Closes the connections on which nothing is in progress. */
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
