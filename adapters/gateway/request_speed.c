/*
 * Samples of the speed of upstreams: the median of the last pauses between the events of a
 * stream, as prefills of other prompts lengthen some, and the time to the answer of a plain
 * service.
 */
#include "adapters/gateway/request_state.h"

/* Streams with fewer pauses show the prefill of prompts rather than the engine's speed. */
#define PAUSES_MIN 4

/* Begins to measure an attempt that is sent now. */
void gateway_request_begin_speed_sample(gateway_request_t *request)
{
	const forward_upstream_t *upstream = request->upstream;

	recent_median_reset(&request->pauses);
	request->events_at = 0;
	request->is_speed_sample = request->route->kind != FORWARD_STREAM &&
				   !request->route->has_prompt &&
				   forward_upstream_running(upstream) <=
					   MAX(upstream->slots / 2, 1);
}

/* Records that a number of events has arrived. */
void gateway_request_record_pause(gateway_request_t *request, unsigned int events)
{
	pd_time_t now = gateway_now();

	if (request->events_at && now > request->events_at)
		recent_median_add(&request->pauses,
				  (double)(now - request->events_at) / events);
	request->events_at = now;
}

/* Records the sample of an attempt that was answered. */
void gateway_request_record_speed(gateway_request_t *request)
{
	forward_upstream_t *upstream = request->upstream;

	if (!upstream || request->upstream_incarnation != upstream->incarnation)
		return;
	if (request->pauses.count >= PAUSES_MIN)
		upstream_speed_record_own(&upstream->speed,
					  recent_median_value(&request->pauses));
	else if (request->is_speed_sample && !request->is_stream)
		upstream_speed_record_own(&upstream->speed,
					  (double)(gateway_now() -
						   request->sent_at));
}
