/* The end of a request: the response to its caller, log line, metrics and usage. */
#include "adapters/gateway/request_state.h"

#include <string.h>

#include "adapters/log_glib.h"
#include "platform/wire.h"

#define LOG_COMPONENT "request"

/* Removes a request from the gateway and frees it; its attempt must be cleared. */
static void request_free(gateway_request_t *request)
{
	gateway_request_release_slot(request, false);
	gateway_request_release_grant(request, false);
	list_remove(&request->node);
	if (!list_empty(&request->queue_node))
		request->gateway->queued--;
	list_remove(&request->queue_node);
	gateway_relay_destroy(request->relay);
	request->gateway->body_bytes -= request->body->len;
	request->gateway->answer_bytes -= request->answer_bytes;
	forward_call_destroy(request->call);
	forward_config_unref(request->config);
	g_byte_array_unref(request->body);
	g_byte_array_unref(request->response_body);
	g_string_free(request->response_headers, TRUE);
	event_stream_destroy(request->events);
	for (unsigned int i = 0; i < request->tried_count; i++)
		g_free(request->tried[i]);
	g_free(request);
}

/* Closes the link of the current attempt, if it has one. */
void gateway_request_close_link(gateway_request_t *request)
{
	if (request->link)
		upstream_link_close(request->link);
	request->link = NULL;
}

/* Subtracts the attempt from the load of its upstream. */
static void release_upstream_load(gateway_request_t *request)
{
	forward_upstream_t *upstream = request->upstream;

	if (!upstream)
		return;
	upstream->running--;
	upstream->prefill_tokens -= request->prefill_tokens;
	request->prefill_tokens = 0;
}

/* Clears the current attempt and its upstream's load; does not close its link. */
void gateway_request_clear_attempt(gateway_request_t *request)
{
	release_upstream_load(request);
	gateway_request_release_slot(request, false);
	gateway_request_release_grant(request, false);
	request->gateway->inflight_changed |= request->sent_at &&
					      !request->usage_counted;
	if (request->upstream)
		forward_upstream_unref(request->upstream);
	request->upstream = NULL;
	request->link = NULL;
	request->end_probe = 0;
}

/* Logs the end of a request; STATUS 0: the caller got no complete response. */
static void log_end(const gateway_request_t *request, int status, const char *reason)
{
	const gateway_t *gateway = request->gateway;
	pd_time_t now = gateway_now();

	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
		 "id=%s fingerprint=%016" G_GINT64_MODIFIER
		 "x route=%s service=%s account=%s status=%d "
		 "reason=\"%s\" upstream=%s sends=%u ran=%u events=%u "
		 "tokens=%.0f "
		 "ms=%.1f config=%" G_GUINT64_FORMAT " queued=%u%s%s",
		 request->call->id ? request->call->id : "-",
		 request->fingerprint, request->route ? request->route->name : "-",
		 request->service ? request->service : "-",
		 request->account ? request->account->name : "-", status, reason,
		 request->tried_count ? request->tried[request->tried_count - 1]
				      : "-",
		 request->sends, request->possible_runs,
		 request->events ? request->events->count : 0, request->charged,
		 (double)(now - request->arrived_at) / PD_MSEC,
		 request->config ? request->config->version : 0,
		 gateway->queued, request->call->resumes ? " resumes=" : "",
		 request->call->resumes ? request->call->resumes : "");
}

/* Counts the request by its outcome, and records its duration in ms. */
static void record_request_metrics(const gateway_request_t *request,
				   const char *what)
{
	metrics_t *metrics = request->gateway->metrics;
	pd_time_t took = gateway_now() - request->arrived_at;

	metrics_increment(metrics, "gateway_requests_total", "outcome", what);
	metrics_observe_ms(metrics, "gateway_request_ms", "route",
			   request->route ? request->route->name : "none",
			   (double)took / PD_MSEC);
}

/* Returns the charge to the account if the request has not run. */
void gateway_request_refund(gateway_request_t *request)
{
	if (request->account && request->charged > 0 && !request->possible_runs)
		token_limits_refund(request->gateway->limits,
				    request->account->name, request->charged);
	request->charged = 0;
}

/* Counts the request in the usage of its account, once however often it is sent. */
void gateway_request_count_usage(gateway_request_t *request)
{
	gateway_t *gateway = request->gateway;

	if (request->usage_counted || !request->account)
		return;
	request->usage_counted = true;
	usage_increment(gateway->usage, gateway_current_window(gateway),
			request->account->name);
}

/*
 * Responds with a status of the gateway itself and frees the request. RETRY_AFTER of 0
 * sends no such header; REASON is logged.
 */
void gateway_request_respond_error(gateway_request_t *request, int status,
				   pd_time_t retry_after, const char *reason)
{
	caller_t *caller = request->caller;
	GString *out = g_string_new(NULL);

	g_string_printf(out, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n", status,
			http1_reason_phrase(status));
	wire_append_error_headers(out, request->call, retry_after);
	if (!caller_keeps_alive(caller))
		g_string_append(out, "Connection: close\r\n");
	g_string_append(out, "\r\n");
	caller_write(caller, out->str, out->len);
	g_string_free(out, TRUE);
	log_end(request, status, reason);
	record_request_metrics(request, reason);
	gateway_request_refund(request);
	request_free(request);
	caller_response_done(caller);
}

/*
 * Responds when no upstream did, and frees the request. The status tells the caller
 * that the request was not run only if that is certain. One that comes back earlier than
 * the first of upstreams that all rest would be refused again.
 */
void gateway_request_give_up(gateway_request_t *request, pd_time_t retry_after,
			     const char *reason)
{
	bool late = gateway_now() >= request->deadline;

	if (!request->possible_runs)
		gateway_request_respond_error(
			request, 503,
			MAX(retry_after, gateway_request_rest_left(request)),
			reason);
	else
		gateway_request_respond_error(request, late ? 504 : 502, 0, reason);
}

/*
 * Closes the link of a request and frees the request, without a response. Leaves the
 * caller's connection as it is; REASON is logged.
 */
void gateway_request_drop(gateway_request_t *request, const char *reason)
{
	gateway_request_share_version(request);
	gateway_request_close_link(request);
	gateway_request_clear_attempt(request);
	log_end(request, 0, reason);
	record_request_metrics(request, reason);
	gateway_request_refund(request);
	request_free(request);
}

/* Frees a request whose caller is gone; closing its link stops the upstream's work. */
void gateway_request_abandon(gateway_request_t *request, const char *reason)
{
	if (request->state >= REQUEST_SENT) {
		request->possible_runs++;
		gateway_request_record_rollout_abandoned(request);
		gateway_request_watch_upstream(request);
	}
	gateway_request_drop(request, reason);
}

/*
 * Ends a request whose caller has received part of a response that can't be completed.
 * Closes the caller's connection without the last chunk, so that the response does not
 * look complete.
 */
void gateway_request_abort_stream(gateway_request_t *request, const char *reason)
{
	caller_t *caller = request->caller;

	gateway_request_drop(request, reason);
	caller_abort(caller);
}

/* Sends the upstream's response, or the last chunk of a stream; frees the request. */
void gateway_request_finish(gateway_request_t *request)
{
	caller_t *caller = request->caller;

	if (request->state == REQUEST_STREAMING)
		caller_write(caller, "0\r\n\r\n", 5);
	else
		gateway_request_begin_response(request,
					       request->response_body->len);
	log_end(request, request->status, "answered");
	record_request_metrics(request,
			       request->status < 400 ? "answered" : "failed");
	request_free(request);
	caller_response_done(caller);
}
