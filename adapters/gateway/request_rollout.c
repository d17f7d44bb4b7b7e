/* The software version that a request uses during a roll-out, and what came of it. */
#include <math.h>

#include "adapters/gateway/request_state.h"
#include "adapters/gateway/rollouts.h"

/*
 * Returns the random number by which a request uses the new version or not: the same for
 * each choice while it is queued. Once an attempt has failed the request is not part of
 * the canary, so that its caller meets a bad version once.
 */
static double rollout_draw(gateway_request_t *request)
{
	if (request->deliveries)
		return nextafter(1, 0);
	if (!request->has_rollout_draw) {
		request->has_rollout_draw = true;
		request->rollout_draw = g_rand_double(request->gateway->random);
	}
	return request->rollout_draw;
}

/* Returns whether a roll-out restricts the versions that a request may use. */
bool gateway_request_is_restricted(const gateway_request_t *request)
{
	const gateway_t *gateway = request->gateway;
	rollout_use_t use = rollouts_choose(gateway->rollouts, request->service,
					    0, gateway_rollouts_now(gateway));

	return use.only || use.except;
}

/* Chooses among the versions that were not allowed at first. */
static forward_choice_t choose_other(const gateway_request_t *request,
				     forward_criteria_t *criteria,
				     const rollout_use_t *use, forward_pick_t *pick)
{
	criteria->upstreams_part = 0;
	criteria->version_id = use->except;
	criteria->excluded_version_id = use->only;
	return forward_upstreams_choose(request->gateway->upstreams, criteria,
					gateway_now(), pick);
}

/* Chooses an upstream by CRITERIA among the versions that a request may use. */
forward_choice_t gateway_request_choose_version(gateway_request_t *request,
						forward_criteria_t *criteria,
						forward_pick_t *pick)
{
	const gateway_t *gateway = request->gateway;
	forward_choice_t choice;
	rollout_use_t use;

	if (request->version_id ||
	    !rollouts_restrict(gateway->rollouts, request->service))
		return forward_upstreams_choose(gateway->upstreams, criteria,
						gateway_now(), pick);
	use = rollouts_choose(gateway->rollouts, request->service,
			      rollout_draw(request),
			      gateway_rollouts_now(gateway));
	criteria->version_id = use.only;
	criteria->excluded_version_id = use.except;
	criteria->upstreams_part = use.upstreams_part;
	choice = forward_upstreams_choose(gateway->upstreams, criteria,
					  gateway_now(), pick);
	if (choice == FORWARD_CHOSEN)
		return choice;
	if (use.only &&
	    (use.may_fall_back ||
	     !forward_upstreams_has_version(gateway->upstreams,
					    request->service, use.only)))
		return choose_other(request, criteria, &use, pick);
	if (use.except && use.may_fall_back &&
	    !forward_upstreams_has_other_version(gateway->upstreams,
						 request->service, use.except))
		return choose_other(request, criteria, &use, pick);
	return choice;
}

/* Records that a request is sent to its upstream. */
void gateway_request_record_rollout_send(gateway_request_t *request)
{
	request->first_event_at = 0;
	request->last_event_at = 0;
	request->attempt_events = 0;
	rollouts_record_send(request->gateway->rollouts, request->service,
			     request->route->name, request->upstream_version_id);
}

/* Records that a number of events of a stream has arrived. */
void gateway_request_record_events(gateway_request_t *request, unsigned int events)
{
	request->last_event_at = gateway_now();
	if (!request->first_event_at)
		request->first_event_at = request->last_event_at;
	request->attempt_events += events;
}

/* Returns what an attempt took so far. */
static rollout_times_t attempt_times(const gateway_request_t *request)
{
	pd_time_t total = gateway_now() - request->sent_at;
	rollout_times_t times = { .total = total };

	if (request->first_event_at)
		times.first_event = request->first_event_at - request->sent_at;
	else if (request->route->kind == FORWARD_STREAM)
		times.first_event = total;
	if (request->attempt_events > 1)
		times.mean_gap =
			(request->last_event_at - request->first_event_at) /
			(request->attempt_events - 1);
	return times;
}

/* Records that the caller left during an attempt. */
void gateway_request_record_rollout_abandoned(const gateway_request_t *request)
{
	rollout_times_t times = attempt_times(request);

	if (request->sent_at && request->upstream)
		rollouts_record_abandoned(request->gateway->rollouts,
					  request->service, request->route->name,
					  request->upstream_version_id, &times);
}

/* Records the outcome of an attempt that reached its upstream. */
void gateway_request_record_rollout_answer(const gateway_request_t *request,
					   bool failed)
{
	rollout_times_t times = attempt_times(request);

	if (!request->sent_at)
		return;
	rollouts_record_answer(request->gateway->rollouts, request->service,
			       request->route->name,
			       request->upstream_version_id, failed, &times);
}
