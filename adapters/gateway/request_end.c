/* How a request ends: what its caller is told, and what is counted. */
#include "adapters/gateway/request_state.h"

#include <string.h>

#include "adapters/log_glib.h"
#include "platform/wire.h"

#define PART "request"

static void request_free(gateway_request_t *request)
{
	list_remove(&request->node);
	if (!list_empty(&request->wait))
		request->gateway->queued--;
	list_remove(&request->wait);
	request->gateway->body_bytes -= request->body->len;
	forward_call_destroy(request->call);
	forward_config_unref(request->config);
	g_byte_array_unref(request->body);
	g_byte_array_unref(request->answer);
	g_string_free(request->answer_head, TRUE);
	event_stream_destroy(request->events);
	for (unsigned int i = 0; i < request->tried_count; i++)
		g_free(request->tried[i]);
	g_free(request);
}

/* Takes the attempt's share off the upstream's counts. */
static void attempt_uncount(gateway_request_t *request)
{
	forward_upstream_t *upstream = request->upstream;

	if (!upstream)
		return;
	upstream->running--;
	upstream->reading -= request->reading;
	request->reading = 0;
}

/* Ends the attempt's part in the upstream's counts; its link is not closed. */
void gateway_request_attempt_forget(gateway_request_t *request)
{
	attempt_uncount(request);
	request->gateway->flight_changed |= request->sent_at && !request->counted;
	if (request->upstream)
		forward_upstream_unref(request->upstream);
	request->upstream = NULL;
	request->link = NULL;
}

static void log_end(const gateway_request_t *request, int status, const char *reason)
{
	const gateway_t *gateway = request->gateway;
	pd_time_t now = gateway_now();

	log_line(G_LOG_LEVEL_INFO, PART,
		 "id=%s route=%s service=%s account=%s status=%d "
		 "reason=\"%s\" upstream=%s sends=%u ran=%u events=%u "
		 "tokens=%.0f "
		 "ms=%.1f config=%" G_GUINT64_FORMAT " queued=%u",
		 request->call->id ? request->call->id : "-",
		 request->route ? request->route->name : "-",
		 request->service ? request->service : "-",
		 request->account ? request->account->name : "-", status, reason,
		 request->tried_count ? request->tried[request->tried_count - 1]
				      : "-",
		 request->sends, request->runs,
		 request->events ? request->events->count : 0, request->taken,
		 (double)(now - request->arrived) / PD_MSEC,
		 request->config ? request->config->version : 0, gateway->queued);
}

static void request_count(const gateway_request_t *request, const char *what)
{
	metrics_t *metrics = request->gateway->metrics;
	pd_time_t took = gateway_now() - request->arrived;

	metrics_count(metrics, "gateway_requests_total", "outcome", what);
	metrics_time(metrics, "gateway_request_ms", "route",
		     request->route ? request->route->name : "none",
		     (double)took / PD_MSEC);
}

/* Gives the account back what it did not use: the request has not run. */
static void request_refund(gateway_request_t *request)
{
	if (request->account && request->taken > 0 && !request->runs)
		token_limits_refund(request->gateway->limits,
				    request->account->name, request->taken);
	request->taken = 0;
}

/* Counts the request in the usage, once however often it is sent. */
void gateway_request_count_usage(gateway_request_t *request)
{
	gateway_t *gateway = request->gateway;

	if (request->counted || !request->account)
		return;
	request->counted = true;
	usage_increment(gateway->usage, gateway_window(gateway),
			request->account->name);
}

/* Answers with a status of the gateway's own; ends the request. */
void gateway_request_refuse(gateway_request_t *request, int status,
			    pd_time_t retry_after, const char *reason)
{
	caller_t *caller = request->caller;
	GString *out = g_string_new(NULL);

	g_string_printf(out, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n", status,
			http1_reason(status));
	wire_refusal_headers(out, request->call, retry_after);
	if (!caller_keeps(caller))
		g_string_append(out, "Connection: close\r\n");
	g_string_append(out, "\r\n");
	caller_write(caller, out->str, out->len);
	g_string_free(out, TRUE);
	log_end(request, status, reason);
	request_count(request, reason);
	request_refund(request);
	request_free(request);
	caller_answered(caller);
}

/* The final answer when no upstream gave one; not run only if that is known. */
void gateway_request_give_up(gateway_request_t *request, pd_time_t retry_after,
			     const char *reason)
{
	bool late = gateway_now() >= request->deadline;

	if (!request->runs)
		gateway_request_refuse(request, 503, retry_after, reason);
	else
		gateway_request_refuse(request, late ? 504 : 502, 0, reason);
}

/* Ends a request without an answer to its caller, who left or must see a cut. */
void gateway_request_drop(gateway_request_t *request, const char *reason)
{
	if (request->link) {
		upstream_link_close(request->link);
		request->link = NULL;
	}
	gateway_request_attempt_forget(request);
	log_end(request, 0, reason);
	request_count(request, reason);
	request_refund(request);
	request_free(request);
}

/* The caller left: whoever works for it stops at once. */
void gateway_request_abandon(gateway_request_t *request, const char *reason)
{
	if (request->state >= REQUEST_SENT)
		request->runs++;
	gateway_request_drop(request, reason);
}

/*
 * Ends a request whose caller has a part of an answer that will not go on. The
 * connection is closed without the answer's end, so that the part does not look
 * like the whole.
 */
void gateway_request_cut(gateway_request_t *request, const char *reason)
{
	caller_t *caller = request->caller;

	gateway_request_drop(request, reason);
	caller_abort(caller);
}

/* Ends a request with the upstream's answer, or with the end of its stream. */
void gateway_request_finish(gateway_request_t *request)
{
	caller_t *caller = request->caller;

	if (request->state == REQUEST_STREAMING)
		caller_write(caller, "0\r\n\r\n", 5);
	else
		gateway_request_answer_begin(request, request->answer->len);
	log_end(request, request->status, "answered");
	request_count(request, request->status < 400 ? "answered" : "failed");
	request_free(request);
	caller_answered(caller);
}
