/*
 * Limits what the gateway buffers of upstreams' answers, for all requests together, so
 * that answers without end, or callers that do not read them, can't exhaust its memory.
 */
#include "adapters/gateway/request_state.h"

#include "adapters/log_glib.h"

/*
 * Answers that all requests in progress buffer, and those that callers have not read. A
 * gateway has as little as 120 MB of memory, of which bodies of requests take up to 64 MB
 * and the control plane 32 MB.
 */
#define ANSWERS_BYTES_MAX ((size_t)24 * 1024 * 1024)
/*
 * A stream of which its caller has not read more is not read on from the upstream, and
 * neither is the caller's next request. Streams of prompts' answers have less in all.
 */
#define UNREAD_BYTES_MAX ((size_t)256 * 1024)

/* Updates the sum over all requests after the buffers of one have changed. */
static void account_answer(gateway_request_t *request)
{
	size_t held = request->response_body->len + request->response_headers->len;

	if (request->events)
		held += request->events->bytes->len;
	request->gateway->answer_bytes += held - request->answer_bytes;
	request->answer_bytes = held;
}

/* Returns the request, still receiving its answer, that buffers most; or NULL. */
static gateway_request_t *find_largest(const gateway_t *gateway)
{
	gateway_request_t *largest = NULL;

	LIST_FOR_EACH (it, &gateway->requests) {
		gateway_request_t *request =
			LIST_ENTRY(it, gateway_request_t, node);

		if ((request->link || request->relay) &&
		    request->answer_bytes > (largest ? largest->answer_bytes : 0))
			largest = request;
	}
	return largest;
}

/* Returns the bytes of answers that are buffered or that callers have not read. */
static size_t held_bytes(const gateway_t *gateway)
{
	return gateway->answer_bytes + http1_servers_queued_bytes();
}

/*
 * Drops the largest of all answers that are buffered or unread, but not that of CURRENT,
 * which may be NULL. Returns false if that is the largest, or if there is none.
 */
static bool drop_largest(gateway_t *gateway, const gateway_request_t *current)
{
	gateway_request_t *largest = find_largest(gateway);
	http1_t *unread = http1_find_longest_queue();

	if (unread &&
	    http1_queued_bytes(unread) > (largest ? largest->answer_bytes : 0)) {
		if (current && caller_has_connection(current->caller, unread))
			return false;
		log_line(G_LOG_LEVEL_WARNING, "caller", "unread=%zu dropped=1",
			 http1_queued_bytes(unread));
		metrics_add(gateway->metrics, "gateway_unread_answers_total", 1);
		http1_end_unread(unread);
		return true;
	}
	if (!largest || largest == current)
		return false;
	gateway_request_cut_off(largest, REASON_NO_MEMORY);
	return true;
}

/*
 * Returns whether a request may go on after it has buffered more. While all requests
 * together buffer too much, those that buffer most are ended first, as the other
 * answers are more likely to be ordinary ones. Returns false if REQUEST is one of them;
 * the caller then ends it.
 */
bool gateway_request_answer_fits(gateway_request_t *request)
{
	gateway_t *gateway = request->gateway;

	account_answer(request);
	while (held_bytes(gateway) > ANSWERS_BYTES_MAX) {
		if (!drop_largest(gateway, request))
			/* What its caller has not read is dropped by the loop. */
			return find_largest(gateway) != request;
	}
	return true;
}

/* Drops the largest answers while all together take too much memory. */
void gateway_limit_answers(gateway_t *gateway)
{
	while (held_bytes(gateway) > ANSWERS_BYTES_MAX &&
	       drop_largest(gateway, NULL))
		continue;
}

/* Returns whether a caller that has left UNREAD bytes gets no more for now. */
bool gateway_answers_are_behind(const gateway_t *gateway, size_t unread)
{
	size_t most = held_bytes(gateway) > ANSWERS_BYTES_MAX / 2
			      ? 0
			      : UNREAD_BYTES_MAX;

	return unread > most;
}

/* Reads a streamed response no faster than its caller does. */
void gateway_request_pace(gateway_request_t *request)
{
	bool hold =
		request->state == REQUEST_STREAMING &&
		gateway_answers_are_behind(request->gateway,
					   caller_unread_bytes(request->caller));

	if (request->link)
		upstream_link_hold(request->link, hold);
	if (request->relay)
		gateway_relay_hold(request->relay, hold);
	/* The time in which it was held does not tell the upstream's speed. */
	if (request->held)
		request->events_at = 0;
	request->held = hold;
}

/* Frees what was buffered of an answer that is not forwarded. */
void gateway_request_discard_answer(gateway_request_t *request)
{
	if (request->response_body->len) {
		g_byte_array_unref(request->response_body);
		request->response_body = g_byte_array_new();
	}
	if (request->response_headers->len) {
		g_string_free(request->response_headers, TRUE);
		request->response_headers = g_string_new(NULL);
	}
	if (request->events) {
		/* Complete events were forwarded; only blank lines may be left. */
		event_stream_discard_complete(request->events);
		event_stream_discard_partial(request->events);
	}
	account_answer(request);
}

/*
 * Ends the attempt or relay of a request because of the answer that it receives: closes
 * the connection, as an upstream may send until then. The request may have run.
 */
void gateway_request_cut_off(gateway_request_t *request, const char *reason)
{
	if (request->relay) {
		gateway_request_end_relay(request, reason);
		return;
	}
	upstream_link_close(request->link);
	request->link = NULL;
	gateway_request_end_attempt(request, ATTEMPT_UNKNOWN, reason);
}
