/*
 * Samples of the speed of upstreams: the pauses between the events of a stream, and the
 * time to the answer of a plain service.
 */
#include "adapters/gateway/request_state.h"

/* Streams with fewer pauses show the prefill of prompts rather than the engine's speed. */
#define PAUSES_MIN 4
/* The pause that half of a stream's pauses are below: others have a prefill in them. */
#define PAUSE_PART 0.5

/* Begins to measure an attempt that is sent now. */
void gateway_request_begin_speed_sample(gateway_request_t *request)
{
	const forward_upstream_t *upstream = request->upstream;

	request->pause = (quantile_t){ 0 };
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
		quantile_add(&request->pause, PAUSE_PART,
			     (double)(now - request->events_at) / events);
	request->events_at = now;
}

/* Records the sample of an attempt that was answered. */
void gateway_request_record_speed(gateway_request_t *request)
{
	forward_upstream_t *upstream = request->upstream;

	if (!upstream || request->upstream_incarnation != upstream->incarnation)
		return;
	if (request->pause.sample_count >= PAUSES_MIN)
		upstream_speed_record_own(&upstream->speed, request->pause.value);
	else if (request->is_speed_sample && !request->is_stream)
		upstream_speed_record_own(&upstream->speed,
					  (double)(gateway_now() -
						   request->sent_at));
}
