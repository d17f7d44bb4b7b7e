/* An upstream's answer on its way to the caller. */
#include "adapters/gateway/request_state.h"

#include <string.h>

#include "platform/wire.h"

/* An answer of a plain call is kept whole up to so many bytes. */
#define ANSWER_MAX (16 * 1024 * 1024)

static void on_connected(void *ctx)
{
	gateway_request_send(ctx);
}

/* An answer's header lines are passed on but for those of the connection. */
static void keep_headers(gateway_request_t *request, const http1_head_t *head)
{
	g_string_truncate(request->answer_head, 0);
	for (size_t i = 0; i < head->header_count; i++) {
		if (wire_answer_passes(head->headers, head->header_count, i))
			g_string_append_printf(request->answer_head, "%s: %s\r\n",
					       head->headers[i].name,
					       head->headers[i].value);
	}
}

static bool is_event_stream(const http1_head_t *head)
{
	const char *type =
		header_find(head->headers, head->header_count, "Content-Type");

	return type && g_str_has_prefix(type, "text/event-stream");
}

static void on_head(void *ctx, const http1_head_t *head)
{
	gateway_request_t *request = ctx;
	wire_answer_t answer;

	wire_answer_read(head->headers, head->header_count, &answer);
	/*
	 * An upstream may answer a request twice; the second answer comes where
	 * the next request's is due. Passed on, a caller would get another
	 * caller's answer. The call's id tells them apart.
	 */
	request->skipping = answer.call_id && request->call->id &&
			    strcmp(answer.call_id, request->call->id) != 0;
	if (request->skipping)
		return;
	request->status = head->status;
	request->rejected = answer.not_run || head->status == 421;
	request->sealed = answer.sealed;
	request->idle_timeout = answer.idle_timeout;
	request->answer_keeps = head->keep_alive && !head->ends_with_connection;
	request->is_stream = head->status == 200 &&
			     request->route->kind == FORWARD_STREAM &&
			     is_event_stream(head);
	if (request->state == REQUEST_STREAMING)
		return;
	request->state = REQUEST_ANSWERED;
	keep_headers(request, head);
	if (!request->rejected)
		gateway_request_count_usage(request);
}

/* Writes the head of an answer; LENGTH under 0: it comes in chunks. */
void gateway_request_answer_begin(gateway_request_t *request, gint64 length)
{
	GString *out = g_string_sized_new(request->answer_head->len + 128);

	g_string_printf(out, "HTTP/1.1 %d %s\r\n", request->status,
			http1_reason(request->status));
	g_string_append_len(out, request->answer_head->str,
			    (gssize)request->answer_head->len);
	if (length < 0)
		g_string_append(out, "Transfer-Encoding: chunked\r\n");
	else
		g_string_append_printf(out, "Content-Length: %" G_GINT64_FORMAT "\r\n",
				       length);
	if (!caller_keeps(request->caller))
		g_string_append(out, "Connection: close\r\n");
	g_string_append(out, "\r\n");
	if (length > 0)
		g_string_append_len(out, (const char *)request->answer->data,
				    (gssize)length);
	caller_write(request->caller, out->str, out->len);
	g_string_free(out, TRUE);
}

/* Sends the whole events that have come as one chunk. */
static void stream_pass(gateway_request_t *request)
{
	event_stream_t *events = request->events;
	GString *out;

	if (!events->whole)
		return;
	if (request->state != REQUEST_STREAMING) {
		gateway_request_answer_begin(request, -1);
		request->state = REQUEST_STREAMING;
	}
	out = g_string_sized_new(events->whole + 16);
	g_string_printf(out, "%zx\r\n", events->whole);
	g_string_append_len(out, (const char *)events->bytes->data,
			    (gssize)events->whole);
	g_string_append(out, "\r\n");
	caller_write(request->caller, out->str, out->len);
	g_string_free(out, TRUE);
	event_stream_passed(events);
}

static void stream_body(gateway_request_t *request, const char *data, size_t len)
{
	if (!request->events)
		request->events = event_stream_create();
	if (!event_stream_feed(request->events, data, len))
		return;
	if (request->reading > 0) {
		/* The first event: the prompt was read. */
		if (request->reads_alone)
			engine_speeds_record_sample(
				forward_upstreams_speeds(request->gateway->upstreams),
				request->service, request->reading,
				gateway_now() - request->sent_at);
		request->upstream->reading -= request->reading;
		request->reading = 0;
		forward_upstream_answered(request->upstream);
		gateway_request_begun(request);
		metrics_time(request->gateway->metrics, "gateway_first_event_ms",
			     "route", request->route->name,
			     (double)(gateway_now() - request->arrived) / PD_MSEC);
	}
	stream_pass(request);
}

static void on_body(void *ctx, const char *data, size_t len)
{
	gateway_request_t *request = ctx;

	if (request->skipping)
		return;
	if (request->is_stream) {
		stream_body(request, data, len);
		return;
	}
	if (request->state == REQUEST_STREAMING)
		return; /* a refusal to resume; its body is of no use */
	if (request->answer->len + len > ANSWER_MAX) {
		upstream_link_close(request->link);
		request->link = NULL;
		gateway_request_attempt_over(request, ATTEMPT_LOST,
					     "answer too large");
		return;
	}
	g_byte_array_append(request->answer, (const guint8 *)data, (guint)len);
}

/* Lets the attempt's link serve another request, or closes it. */
static void attempt_keep_link(gateway_request_t *request)
{
	if (!request->link)
		return;
	if (request->answer_keeps)
		upstream_link_keep(request->link, request->idle_timeout);
	else
		upstream_link_close(request->link);
	request->link = NULL;
}

/* A stream that ended in the middle of an event was cut, whatever it says. */
static bool answer_is_whole(const gateway_request_t *request)
{
	if (!request->is_stream)
		return true;
	return request->events && request->events->count &&
	       !event_stream_has_partial(request->events);
}

static void on_message(void *ctx)
{
	gateway_request_t *request = ctx;

	if (request->skipping) {
		request->skipping = false;
		upstream_link_await(request->link);
		return;
	}
	attempt_keep_link(request);
	if (request->rejected) {
		gateway_request_attempt_over(request, ATTEMPT_REJECTED,
					     "upstream rejected");
		return;
	}
	if (request->state == REQUEST_STREAMING && !request->is_stream) {
		gateway_request_attempt_over(request, ATTEMPT_FAILED,
					     "not resumed");
		return;
	}
	if (!answer_is_whole(request) ||
	    (request->status < 300 && !request->sealed)) {
		gateway_request_attempt_over(request, ATTEMPT_LOST,
					     "answer not whole");
		return;
	}
	if (request->status >= 500) {
		gateway_request_attempt_over(request, ATTEMPT_FAILED,
					     "upstream failed");
		return;
	}
	forward_upstream_answered(request->upstream);
	gateway_request_attempt_forget(request);
	request->runs++;
	gateway_request_finish(request);
}

/* The link ended before the answer did. */
static void on_end(void *ctx, http1_end_t end)
{
	static const char *const reasons[] = {
		[HTTP1_END_CLOSED] = "upstream closed",
		[HTTP1_END_CUT] = "upstream broke off",
		[HTTP1_END_RESET] = "upstream reset",
		[HTTP1_END_REFUSED] = "upstream refused the connection",
		[HTTP1_END_PROTOCOL] = "upstream sent no answer",
		[HTTP1_END_TOO_LARGE] = "upstream's head too large",
	};
	gateway_request_t *request = ctx;
	bool sent = request->state >= REQUEST_SENT && request->sent_at;

	request->link = NULL;
	gateway_request_attempt_over(request, sent ? ATTEMPT_LOST : ATTEMPT_UNSENT,
				     reasons[end]);
}

const upstream_link_user_t gateway_request_link_user = { on_connected, on_head,
							 on_body, on_message,
							 on_end };
