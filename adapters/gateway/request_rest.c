/* Requests whose upstreams have all asked for a rest. */
#include "adapters/gateway/request_state.h"
#include "adapters/log_glib.h"

/* Callers that are refused come back over this part of the rest, not all at its end. */
#define RETRY_SPREAD_PART 0.1
#define RETRY_SPREAD_MAX PD_SEC

/* Records that an upstream rejected a request and asked for a time of rest. */
void gateway_request_record_rest(const gateway_request_t *request, pd_time_t rest)
{
	gateway_t *gateway = request->gateway;
	pd_time_t now = gateway_now();

	if (!forward_upstream_is_resting(request->upstream, now))
		log_line(G_LOG_LEVEL_INFO, "upstream",
			 "id=%s rest_ms=%" G_GINT64_FORMAT,
			 request->upstream->id, rest / PD_MSEC);
	metrics_add(gateway->metrics, "gateway_upstream_rests_total", 1);
	forward_upstream_record_rest(request->upstream, rest, now);
}

/*
 * Returns how long all upstreams of a request's service rest, and a random part of that in
 * which callers come back; 0: one does not rest.
 */
pd_time_t gateway_request_rest_left(const gateway_request_t *request)
{
	const gateway_t *gateway = request->gateway;
	pd_time_t now = gateway_now();
	pd_time_t until =
		request->service
			? forward_upstreams_rest_until(gateway->upstreams,
						       request->service, now)
			: 0;
	pd_time_t left = MAX(until - now, 0);
	pd_time_t spread = MIN((pd_time_t)((double)left * RETRY_SPREAD_PART),
			       RETRY_SPREAD_MAX);

	return left + gateway_jitter(gateway, spread);
}

/*
 * Returns whether a request may wait until REST_UNTIL, when the first of its upstreams that
 * all rest is back. One that can't be served in time is refused at once and told when that
 * is; it is freed then.
 */
bool gateway_request_may_await_rest(gateway_request_t *request,
				    pd_time_t rest_until, pd_time_t now)
{
	gateway_t *gateway = request->gateway;

	if (rest_until - request->read_at <= gateway_request_queue_time_max(request))
		return true;
	metrics_add(gateway->metrics, "gateway_rest_refusals_total", 1);
	if (request->route->has_prompt) {
		gateway_request_record_outcome(request, true);
		work_rate_add_refused(gateway->work, request->service,
				      gateway_request_unshared_work(request));
	}
	gateway_request_give_up(request, rest_until - now, "all upstreams rest");
	return false;
}
