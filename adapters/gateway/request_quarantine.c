/* Requests and parts of prompts under which upstreams ended: they get no further one. */
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/quarantine_checks.h"
#include "adapters/gateway/request_state.h"

#define REASON "upstreams ended under it"

/* Returns whether another request for the same runs at an upstream of this gateway. */
static bool runs_elsewhere(const gateway_request_t *request)
{
	LIST_FOR_EACH (it, &request->gateway->requests) {
		const gateway_request_t *other =
			LIST_ENTRY(it, gateway_request_t, node);

		if (other != request && other->fingerprint == request->fingerprint &&
		    (other->upstream || other->retry_at))
			return true;
	}
	return false;
}

/* Returns whether a request is held, itself or by a part of its prompt. */
static bool is_held(const gateway_request_t *request)
{
	return quarantine_rejects(request->gateway->quarantine, &request->suspects);
}

/*
 * Records that a request is tried. Returns for how long it is held, itself or by a part of
 * its prompt, if nobody tries such a request; 0: not.
 */
static pd_time_t record_attempt(const gateway_request_t *request, pd_time_t now)
{
	pd_time_t held = 0;

	if (!is_held(request))
		return 0;
	for (unsigned int i = 0; i < request->suspects.count; i++)
		held = MAX(held,
			   quarantine_record_attempt(request->gateway->quarantine,
						     request->suspects.keys[i],
						     now));
	return held;
}

/*
 * Records the first event of a request's response: upstreams don't end under the parts of
 * its prompt. Later ends are not counted against these either.
 */
void gateway_request_clear_parts(gateway_request_t *request)
{
	for (; request->suspects.count > 1; request->suspects.count--)
		quarantine_record_success(
			request->gateway->quarantine,
			request->suspects.keys[request->suspects.count - 1],
			gateway_now());
}

/*
 * Rejects a request that has not run if it is held, or if it is a suspect that runs
 * already: then one more upstream could end at the same time. Returns whether it did;
 * the request is freed then.
 */
bool gateway_request_is_quarantined(gateway_request_t *request)
{
	gateway_t *gateway = request->gateway;
	pd_time_t held = record_attempt(request, request->read_at);

	if (!held &&
	    !(quarantine_is_suspect(gateway->quarantine, request->fingerprint) &&
	      runs_elsewhere(request)))
		return false;
	metrics_add(gateway->metrics, "gateway_quarantine_refusals_total", 1);
	gateway_request_respond_error(request, 503,
				      held ? held : RETRY_AFTER_FULL, REASON);
	return true;
}

/* Ends a request that is held, wherever it is. */
static void end_held(gateway_request_t *request)
{
	pd_time_t held = record_attempt(request, gateway_now());

	metrics_add(request->gateway->metrics,
		    "gateway_quarantine_aborts_total", 1);
	if (request->state == REQUEST_STREAMING) {
		gateway_request_abort_stream(request, REASON);
		return;
	}
	if (request->upstream && request->sent_at)
		request->possible_runs++;
	gateway_request_close_link(request);
	gateway_request_clear_attempt(request);
	gateway_request_give_up(request, held, REASON);
}

/* Ends the requests in progress that have begun to be held. */
void gateway_requests_end_held(gateway_t *gateway)
{
	uint64_t holds = quarantine_holds(gateway->quarantine);

	if (holds == gateway->quarantine_holds)
		return;
	gateway->quarantine_holds = holds;
	LIST_FOR_EACH_SAFE (it, &gateway->requests) {
		gateway_request_t *request =
			LIST_ENTRY(it, gateway_request_t, node);

		if (!request->relay && is_held(request))
			end_held(request);
	}
}

/* Tries another upstream after a connection broke, unless the request is held now. */
void gateway_request_retry(gateway_request_t *request)
{
	request->retry_at = 0;
	if (is_held(request))
		end_held(request);
	else
		gateway_request_dispatch(request);
}

/* Watches the upstream of a request that is given up, as it may have ended. */
void gateway_request_watch_upstream(const gateway_request_t *request)
{
	pd_time_t connected_at =
		request->link ? upstream_link_connected_at(request->link) : 0;

	if (request->upstream && request->sent_at)
		gateway_quarantine_watch_silent(request->gateway,
						request->upstream, connected_at,
						&request->suspects);
}
