/*
 * Limits what the gateway buffers of upstreams' answers, for all requests together, so
 * that answers without end can't exhaust its memory.
 */
#include "adapters/gateway/request_state.h"

/*
 * Answers that all requests in progress buffer. A gateway has as little as 120 MB of
 * memory, of which bodies of requests take up to 64 MB and the control plane 32 MB.
 */
#define ANSWERS_BYTES_MAX ((size_t)24 * 1024 * 1024)

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
	while (gateway->answer_bytes > ANSWERS_BYTES_MAX) {
		gateway_request_t *largest = find_largest(gateway);

		if (!largest || largest == request)
			return false;
		gateway_request_cut_off(largest, REASON_NO_MEMORY);
	}
	return true;
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
