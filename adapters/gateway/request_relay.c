/*
 * Relays requests to another gateway while this one reaches few upstreams or none. The
 * other one handles them like those of its own callers; this one does not charge or count
 * them.
 * core/forward/reach-notes.md compares the alternatives.
 */
#include <string.h>
#include <strings.h>

#include "adapters/gateway/gateway.h"
#include "adapters/gateway/peers.h"
#include "adapters/gateway/request_state.h"
#include "adapters/gateway/upstream_reach.h"
#include "adapters/log_glib.h"
#include "platform/wire.h"

#define LOG_COMPONENT "request"
/* Gateways that a request is relayed to at most; only one may have run it. */
#define RELAYS_MAX 2

/*
 * Names the upstream of a relayed response if that leaves: the gateway that relays it passes
 * on that it leaves, so it must know that as well.
 */
#define LEAVING_UPSTREAM "Relayed-Upstream"

struct relay {
	http1_t *conn;
	char *peer; /* address:port of the other gateway's relays */
	pd_time_t started_at;
	bool connected;
	pd_time_t retry_after; /* of a refusal; 0: not stated */
};

/* Returns whether a header is one between gateways, which is not forwarded. */
bool gateway_is_relay_header(const char *name)
{
	return !strcasecmp(name, LEAVING_UPSTREAM);
}

/* Appends which upstream leaves to the headers for a gateway that relays the response. */
void gateway_request_append_leaving(const gateway_request_t *request,
				    GString *headers)
{
	if (caller_is_gateway(request->caller) && request->upstream->leaving)
		g_string_append_printf(headers, LEAVING_UPSTREAM ": %s\r\n",
				       request->upstream->id);
}

/* Records that an upstream leaves if a relayed response names one. */
static void record_leaving(const gateway_request_t *request,
			   const http1_head_t *head)
{
	const char *id =
		header_find(head->headers, head->header_count, LEAVING_UPSTREAM);
	forward_upstream_t *upstream =
		id ? forward_upstreams_find(request->gateway->upstreams, id) : NULL;

	if (upstream)
		gateway_request_record_leaving(request->gateway, upstream);
}

/* Closes a relay's connection and frees the relay; NULL is allowed. */
void gateway_relay_destroy(relay_t *relay)
{
	if (!relay)
		return;
	http1_close(relay->conn);
	g_free(relay->peer);
	g_free(relay);
}

/* Stops reading the response, or goes on. */
void gateway_relay_hold(relay_t *relay, bool hold)
{
	http1_hold(relay->conn, hold);
}

/* Drops the relay in progress. */
static void clear_relay(gateway_request_t *request)
{
	gateway_relay_destroy(request->relay);
	request->relay = NULL;
}

/*
 * Tries another gateway after one that has not run the request, then the upstreams that
 * this one still reaches, or else refuses it at once. RETRY_AFTER is what the caller is
 * told then.
 */
static void relay_failed(gateway_request_t *request, pd_time_t retry_after,
			 const char *reason)
{
	clear_relay(request);
	request->possible_runs = 0;
	request->usage_counted = false;
	if (gateway_request_may_relay(request))
		gateway_request_relay(request);
	else if (!gateway_reach_is_total(request->gateway, request->service))
		gateway_request_find_version(request);
	else
		gateway_request_give_up(request, retry_after, reason);
}

/* Ends a request of which the other gateway may have run a part; REASON is logged. */
void gateway_request_end_relay(gateway_request_t *request, const char *reason)
{
	clear_relay(request);
	if (request->state == REQUEST_STREAMING)
		gateway_request_abort_stream(request, reason);
	else
		gateway_request_give_up(request, 0, reason);
}

/* Sends the request. From now on it may run there, and counts there. */
static void on_connected(void *ctx)
{
	gateway_request_t *request = ctx;
	GString *head;

	request->relay->connected = true;
	if (gateway_request_is_late_to_send(request)) {
		gateway_request_end_at_stop(request);
		return;
	}
	head = g_string_sized_new(512);
	wire_relay_format(head, request->call, request->deadline - gateway_now(),
			  request->body->len, request->has_body);
	request->possible_runs = 1;
	request->usage_counted = true;
	request->state = REQUEST_SENT;
	http1_expect_response(request->relay->conn,
			      !strcmp(request->call->method, "HEAD"));
	http1_write_request(request->relay->conn, head, request->body);
	g_string_free(head, TRUE);
}

/* Returns whether a status of the other gateway itself says that nothing was run. */
static bool is_refusal(const gateway_request_t *request)
{
	return !request->sealed && request->status >= 400 && request->status < 500;
}

/* Reads the head of the response, and stores what is forwarded of it. */
static void on_head(void *ctx, const http1_head_t *head)
{
	gateway_request_t *request = ctx;
	wire_response_t answer;

	wire_response_parse(head->headers, head->header_count, &answer);
	request->status = head->status;
	request->sealed = answer.sealed;
	request->relay->retry_after = answer.retry_after;
	record_leaving(request, head);
	request->is_stream = gateway_request_is_streamed(request, head);
	request->state = REQUEST_HEAD_RECEIVED;
	gateway_request_store_headers(request, head);
	if (!gateway_request_answer_fits(request))
		gateway_request_end_relay(request, REASON_NO_MEMORY);
}

/* Forwards data of a streamed response, and buffers that of any other. */
static void on_body(void *ctx, const char *data, size_t len)
{
	gateway_request_t *request = ctx;
	const char *excess;

	if (request->is_stream) {
		gateway_request_forward_chunk(request, data, len);
		return;
	}
	excess = gateway_request_buffer_body(request, data, len);
	if (excess)
		gateway_request_end_relay(request, excess);
}

/* The response is complete: forwards it, unless another gateway is tried. */
static void on_message(void *ctx)
{
	gateway_request_t *request = ctx;

	if (!request->sealed && request->status == 503) {
		relay_failed(request,
			     MAX(request->relay->retry_after, RETRY_AFTER_FULL),
			     "relay refused");
		return;
	}
	if (is_refusal(request) && request->status != 429) {
		/* The other gateway may have another configuration for a moment. */
		relay_failed(request, RETRY_AFTER_NO_UPSTREAM, "relay refused");
		return;
	}
	clear_relay(request);
	gateway_request_finish(request);
}

/* The connection ended before the response did. */
static void on_end(void *ctx, http1_end_t end)
{
	gateway_request_t *request = ctx;

	if (end == HTTP1_END_CONNECT_FAILED || !request->relay->connected)
		relay_failed(request, RETRY_AFTER_NO_UPSTREAM, "no relay");
	else
		gateway_request_end_relay(request, "relay broke off");
}

/*
 * Returns whether a request should be relayed: this gateway is cut off from its service,
 * another one may not be, and the request came from a caller and can't have run.
 */
bool gateway_request_may_relay(const gateway_request_t *request)
{
	const gateway_t *gateway = request->gateway;

	return gateway_reach_is_cut_off(gateway, request->service) &&
	       !caller_is_gateway(request->caller) &&
	       request->state != REQUEST_STREAMING && !request->possible_runs &&
	       !request->deliveries && request->relays < RELAYS_MAX &&
	       gateway_peers_has_relay(gateway->peers);
}

/* Relays a request to a random gateway, without a charge of this one. */
void gateway_request_relay(gateway_request_t *request)
{
	static const http1_events_t events = { on_connected, on_head, on_body,
					       on_message, on_end };
	gateway_t *gateway = request->gateway;
	relay_t *relay = g_new0(relay_t, 1);
	char *host = NULL;
	uint16_t port = 0;

	gateway_request_refund(request);
	request->relays++;
	request->relay = relay;
	request->state = REQUEST_CONNECTING;
	gateway_request_discard_answer(request);
	relay->peer = gateway_peers_pick_relay(gateway->peers);
	relay->started_at = gateway_now();
	relay->conn = http1_create(gateway->loop, HTTP1_CLIENT, &events, request);
	metrics_add(gateway->metrics, "gateway_relays_total", 1);
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "id=%s relay=%s",
		 request->call->id ? request->call->id : "-",
		 relay->peer ? relay->peer : "-");
	if (!relay->peer || !gateway_split_address(relay->peer, &host, &port) ||
	    http1_connect(relay->conn, host, port) < 0)
		relay_failed(request, RETRY_AFTER_NO_UPSTREAM, "no relay");
	g_free(host);
}

/* Tries another gateway if the connection to one was not established in time. */
void gateway_request_check_relay(gateway_request_t *request, pd_time_t now)
{
	if (!request->relay->connected &&
	    now - request->relay->started_at > GATEWAY_CONNECT_TIMEOUT)
		relay_failed(request, RETRY_AFTER_NO_UPSTREAM, "no relay in time");
}
