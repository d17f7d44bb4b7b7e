/* Forwards an upstream's response to the caller. */
#include "adapters/gateway/request_state.h"

#include <string.h>

#include "adapters/gateway/peers.h"
#include "adapters/gateway/quarantine_checks.h"
#include "adapters/gateway/rate_limits.h"
#include "adapters/gateway/upstream_reach.h"
#include "adapters/log_glib.h"
#include "platform/wire.h"

/* Limit of a response that is not streamed, as it is buffered completely. */
#define RESPONSE_BYTES_MAX (16 * 1024 * 1024)
/*
 * Limit of one event of a stream, which is buffered until it is complete. Events of
 * prompts' answers have some KB.
 */
#define EVENT_BYTES_MAX ((size_t)256 * 1024)
/*
 * Responses to other requests that an attempt skips. One is usual after an upstream
 * has responded twice.
 */
#define SKIPPED_RESPONSES_MAX 8
#define REASON_OTHER_CALLS "answers to other calls"

/*
 * Records to which process of its upstream the attempt leads, as its link shows it now.
 * Returns false if the attempt was ended, as its stream is of two versions.
 */
static bool follow_process(gateway_request_t *request)
{
	request->upstream_incarnation = upstream_link_incarnation(request->link);
	if (gateway_request_update_version(request))
		return true;
	gateway_request_cut_off(request, "upstream of another version");
	return false;
}

/* The link is connected: sends the request. */
static void on_connected(void *ctx)
{
	gateway_request_t *request = ctx;

	request->upstream_incarnation = upstream_link_incarnation(request->link);
	gateway_reach_record_connected(request->gateway, request->upstream);
	gateway_request_send(request);
}

/* Stores the header lines to forward, without those of the connection. */
void gateway_request_store_headers(gateway_request_t *request,
				   const http1_head_t *head)
{
	g_string_truncate(request->response_headers, 0);
	for (size_t i = 0; i < head->header_count; i++) {
		if (wire_response_header_is_forwarded(head->headers,
						      head->header_count, i) &&
		    !gateway_is_relay_header(head->headers[i].name))
			g_string_append_printf(request->response_headers,
					       "%s: %s\r\n", head->headers[i].name,
					       head->headers[i].value);
	}
}

/* Records that an upstream leaves, by one of its responses. */
void gateway_request_record_leaving(gateway_t *gateway, forward_upstream_t *upstream)
{
	if (!forward_upstreams_record_leaving(gateway->upstreams, upstream))
		return;
	log_line(G_LOG_LEVEL_INFO, "upstream", "id=%s leaving=1", upstream->id);
	metrics_add(gateway->metrics, "gateway_upstreams_leaving_total", 1);
}

/* Returns whether the body of a response is a stream of server-sent events. */
static bool is_event_stream(const http1_head_t *head)
{
	const char *type =
		header_find(head->headers, head->header_count, "Content-Type");

	return type && g_str_has_prefix(type, "text/event-stream");
}

/* Returns whether the events of a response are forwarded as they arrive. */
bool gateway_request_is_streamed(const gateway_request_t *request,
				 const http1_head_t *head)
{
	return head->status == 200 && request->route->kind == FORWARD_STREAM &&
	       is_event_stream(head);
}

/*
 * Records how many rejections in a second the upstream bears; 0: any number. Other gateways
 * are sent now and then that a service is brittle.
 */
static void record_brittleness(const gateway_request_t *request,
			       unsigned int rejections_max)
{
	gateway_t *gateway = request->gateway;
	forward_upstream_t *upstream = request->upstream;
	pd_time_t now = gateway_now();
	pd_time_t before = forward_upstreams_brittleness(gateway->upstreams,
							 upstream->service)
				   .at;

	if (forward_upstreams_record_brittleness(gateway->upstreams, upstream,
						 rejections_max, now))
		log_line(G_LOG_LEVEL_INFO, "upstream", "id=%s brittle=%u",
			 upstream->id, rejections_max);
	if (rejections_max && (!before || now - before > FORWARD_BRITTLENESS_REPEAT))
		gateway_peers_spread_brittle(gateway->peers);
}

/*
 * Records the limits that the upstream names, or that it names none. An upstream
 * that has a limit says so in each response; one that broke off or is garbled proves
 * nothing.
 */
static void record_limits(const gateway_request_t *request,
			  const wire_response_t *answer)
{
	if (answer->rejections_max || answer->sealed)
		record_brittleness(request, answer->rejections_max);
	if (answer->has_rate_limit || answer->sealed)
		gateway_limits_record(request->gateway, request->upstream,
				      answer->has_rate_limit, answer->rate_limit);
}

/* Reads the head of a response, and stores what is forwarded of it. */
static void on_head(void *ctx, const http1_head_t *head)
{
	gateway_request_t *request = ctx;
	wire_response_t answer;

	if (!follow_process(request))
		return;
	wire_response_parse(head->headers, head->header_count, &answer);
	/*
	 * An upstream may respond twice to a request. The second response
	 * arrives in place of the next request's, and its caller would get the
	 * response to another caller. The id of the call tells them apart.
	 */
	request->skipping_response = answer.call_id && request->call->id &&
				     strcmp(answer.call_id, request->call->id) != 0;
	if (request->skipping_response)
		return;
	record_limits(request, &answer);
	if (answer.leaving)
		gateway_request_record_leaving(request->gateway, request->upstream);
	request->upstream->answered_at = gateway_now();
	request->status = head->status;
	request->rejected = answer.not_run || head->status == 421;
	request->sealed = answer.sealed;
	if (head->status == 503 && answer.retry_after &&
	    (request->rejected || !request->sealed))
		gateway_request_record_rest(request, answer.retry_after);
	request->idle_timeout = answer.idle_timeout;
	request->ends_with_connection = head->ends_with_connection;
	request->response_keep_alive = head->keep_alive &&
				       !head->ends_with_connection;
	request->is_stream = gateway_request_is_streamed(request, head);
	if (request->state == REQUEST_STREAMING)
		return;
	request->state = REQUEST_HEAD_RECEIVED;
	gateway_request_store_headers(request, head);
	gateway_request_append_leaving(request, request->response_headers);
	if (!request->rejected) {
		gateway_request_settle_grant(request);
		gateway_request_count_usage(request);
	}
	if (!gateway_request_answer_fits(request))
		gateway_request_cut_off(request, REASON_NO_MEMORY);
}

/*
 * Sends the head of the response, and its LENGTH bytes of body; a negative LENGTH
 * starts a chunked body.
 */
void gateway_request_begin_response(gateway_request_t *request, gint64 length)
{
	GString *out = g_string_sized_new(request->response_headers->len + 128);

	g_string_printf(out, "HTTP/1.1 %d %s\r\n", request->status,
			http1_reason_phrase(request->status));
	g_string_append_len(out, request->response_headers->str,
			    (gssize)request->response_headers->len);
	if (length < 0)
		g_string_append(out, "Transfer-Encoding: chunked\r\n");
	else
		g_string_append_printf(out, "Content-Length: %" G_GINT64_FORMAT "\r\n",
				       length);
	if (!caller_keeps_alive(request->caller))
		g_string_append(out, "Connection: close\r\n");
	g_string_append(out, "\r\n");
	if (length > 0)
		g_string_append_len(out, (const char *)request->response_body->data,
				    (gssize)length);
	caller_write(request->caller, out->str, out->len);
	g_string_free(out, TRUE);
}

/* Forwards data of a streamed response as one chunk, after the head if it is the first. */
void gateway_request_forward_chunk(gateway_request_t *request, const char *data,
				   size_t len)
{
	GString *out = g_string_sized_new(len + 16);

	if (request->state != REQUEST_STREAMING) {
		gateway_request_begin_response(request, -1);
		request->state = REQUEST_STREAMING;
	}
	g_string_printf(out, "%zx\r\n", len);
	g_string_append_len(out, data, (gssize)len);
	g_string_append(out, "\r\n");
	caller_write(request->caller, out->str, out->len);
	g_string_free(out, TRUE);
	gateway_request_pace(request);
}

/* Forwards the complete events received so far. */
static void stream_forward_events(gateway_request_t *request)
{
	event_stream_t *events = request->events;

	if (!events->whole)
		return;
	gateway_request_forward_chunk(request, (const char *)events->bytes->data,
				      events->whole);
	event_stream_discard_complete(events);
}

/* Records completed events; the first one shows that prefill has ended. */
static void record_events(gateway_request_t *request, unsigned int completed)
{
	gateway_request_record_events(request, completed);
	gateway_request_record_pause(request, completed);
	gateway_request_record_version(request);
	gateway_request_clear_parts(request);
	if (request->prefill_tokens > 0) {
		if (request->prefills_alone)
			engine_speeds_record_sample(
				forward_upstreams_speeds(request->gateway->upstreams),
				request->service,
				request->prefill_tokens /
					upstream_speed_factor(
						&request->upstream->speed),
				gateway_now() - request->sent_at);
		request->upstream->prefill_tokens -= request->prefill_tokens;
		request->prefill_tokens = 0;
		forward_upstream_record_success(request->upstream);
		gateway_request_record_first_event(request);
		metrics_observe_ms(request->gateway->metrics,
				   "gateway_first_event_ms", "route",
				   request->route->name,
				   (double)(gateway_now() - request->arrived_at) /
					   PD_MSEC);
	}
}

/*
 * Handles data of a streamed response. Returns NULL, or the reason to end the attempt
 * if too much is buffered.
 */
static const char *stream_body(gateway_request_t *request, const char *data,
			       size_t len)
{
	unsigned int completed;

	if (!request->events)
		request->events = event_stream_create(request->call->resume_after);
	completed = event_stream_feed(request->events, data, len);
	if (completed) {
		record_events(request, completed);
		stream_forward_events(request);
	}
	/* The upstream ignores where the stream goes on, or repeats events. */
	if (request->events->out_of_order)
		return "event out of order";
	/* Blank lines are buffered as well until an event is complete. */
	if (request->events->bytes->len > EVENT_BYTES_MAX)
		return "event too large";
	return gateway_request_answer_fits(request) ? NULL : REASON_NO_MEMORY;
}

/*
 * Appends to a response that is not streamed. Returns NULL, or the reason to end the
 * attempt if too much is buffered.
 */
const char *gateway_request_buffer_body(gateway_request_t *request,
					const char *data, size_t len)
{
	if (request->response_body->len + len > RESPONSE_BYTES_MAX)
		return "answer too large";
	g_byte_array_append(request->response_body, (const guint8 *)data,
			    (guint)len);
	return gateway_request_answer_fits(request) ? NULL : REASON_NO_MEMORY;
}

/*
 * Counts data that is discarded, since an upstream may send it without end. Returns
 * NULL, or the reason to end the attempt.
 */
static const char *discard_body(gateway_request_t *request, size_t len)
{
	request->discarded_bytes += len;
	if (request->discarded_bytes <= RESPONSE_BYTES_MAX)
		return NULL;
	return request->skipping_response ? REASON_OTHER_CALLS : "answer too large";
}

/* Forwards data of a streamed response, and buffers that of any other. */
static void on_body(void *ctx, const char *data, size_t len)
{
	gateway_request_t *request = ctx;
	const char *excess;

	if (!follow_process(request))
		return;
	if (request->skipping_response)
		excess = discard_body(request, len);
	else if (request->is_stream)
		excess = stream_body(request, data, len);
	else if (request->state == REQUEST_STREAMING)
		excess = discard_body(request, len); /* it was not resumed */
	else
		excess = gateway_request_buffer_body(request, data, len);
	if (excess)
		gateway_request_cut_off(request, excess);
}

/* Releases the attempt's link for another request, or closes it. */
static void attempt_release_link(gateway_request_t *request)
{
	if (!request->link)
		return;
	if (request->response_keep_alive)
		upstream_link_release(request->link, request->idle_timeout);
	else
		upstream_link_close(request->link);
	request->link = NULL;
}

/* Returns whether the response is complete: a stream must not end within an event. */
static bool response_is_complete(const gateway_request_t *request)
{
	if (!request->is_stream)
		return true;
	return request->events && request->events->count &&
	       !event_stream_has_partial(request->events);
}

/* Forwards the end of a response that is complete; frees the request. */
void gateway_request_accept_answer(gateway_request_t *request)
{
	forward_upstream_record_success(request->upstream);
	gateway_request_record_rollout_answer(request, false);
	gateway_request_record_speed(request);
	quarantine_record_success(request->gateway->quarantine,
				  request->fingerprint, gateway_now());
	gateway_request_clear_parts(request);
	gateway_request_clear_attempt(request);
	request->possible_runs++;
	gateway_request_finish(request);
}

/* Ends an attempt whose response ended early. */
void gateway_request_reject_answer(gateway_request_t *request)
{
	/* One without a length may end as its upstream does. */
	if (request->ends_with_connection)
		gateway_quarantine_check_broken(request->gateway, request->upstream,
						&request->suspects);
	gateway_request_end_attempt(request, ATTEMPT_UNKNOWN, "answer not whole");
}

/* The response ended: forwards it, or ends the attempt. */
static void on_message(void *ctx)
{
	gateway_request_t *request = ctx;

	if (request->skipping_response) {
		if (++request->skipped_responses > SKIPPED_RESPONSES_MAX) {
			gateway_request_cut_off(request, REASON_OTHER_CALLS);
			return;
		}
		request->skipping_response = false;
		upstream_link_expect_response(request->link);
		return;
	}
	attempt_release_link(request);
	if (request->rejected) {
		gateway_request_end_attempt(request, ATTEMPT_REJECTED,
					    "upstream rejected");
		return;
	}
	if (request->state == REQUEST_STREAMING && !request->is_stream) {
		gateway_request_end_attempt(request, ATTEMPT_FAILED, "not resumed");
		return;
	}
	if (!response_is_complete(request) ||
	    (request->status < 300 && !request->sealed)) {
		gateway_request_reject_answer(request);
		return;
	}
	if (request->status >= 500) {
		gateway_request_end_attempt(request, ATTEMPT_FAILED,
					    "upstream failed");
		return;
	}
	if (request->ends_with_connection)
		gateway_request_verify_end(request);
	else
		gateway_request_accept_answer(request);
}

/* The connection ended before the response did. */
static void on_end(void *ctx, http1_end_t end)
{
	static const char *const reasons[] = {
		[HTTP1_END_CLOSED] = "upstream closed",
		[HTTP1_END_TRUNCATED] = "upstream broke off",
		[HTTP1_END_RESET] = "upstream reset",
		[HTTP1_END_CONNECT_FAILED] = "upstream refused the connection",
		[HTTP1_END_REFUSED] = "upstream refused the connection",
		[HTTP1_END_PROTOCOL_ERROR] = "upstream sent no answer",
		[HTTP1_END_TOO_LARGE] = "upstream's head too large",
	};
	gateway_request_t *request = ctx;
	bool sent = request->state >= REQUEST_SENT && request->sent_at;

	request->link = NULL;
	if (sent)
		gateway_quarantine_check_broken(request->gateway, request->upstream,
						&request->suspects);
	gateway_request_end_attempt(request,
				    sent ? ATTEMPT_UNKNOWN : ATTEMPT_UNSENT,
				    reasons[end]);
}

const upstream_link_callbacks_t gateway_request_link_callbacks = {
	on_connected, on_head, on_body, on_message, on_end
};
