/* Attempts of a request at upstreams: choice, sending, and retries. */
#include "adapters/gateway/request_state.h"

#include <string.h>

#include "adapters/gateway/grants.h"
#include "adapters/gateway/peers.h"
#include "adapters/gateway/quarantine_checks.h"
#include "adapters/gateway/rate_limits.h"
#include "adapters/gateway/slots.h"
#include "adapters/gateway/upstream_reach.h"
#include "adapters/log_glib.h"
#include "core/forward/engine_cost.h"
#include "platform/wire.h"

#define LOG_COMPONENT "request"
/* With less time left, another upstream could not respond before the deadline. */
#define TIME_LEFT_MIN (15 * PD_MSEC)
/* Upstreams that a request is sent to at most, including those that reject it. */
#define DELIVERIES_MAX 4
/* Upstreams other than engines queue a few requests beyond their slots. */
#define PLAIN_OVERCOMMIT 2.5
#define ENGINE_OVERCOMMIT 1.0
/* A prompt with a larger shared fraction is no sample of the prefill rate. */
#define SHARED_PROMPT_MAX 0.3
/* In larger fleets peers' loads are out of date; see core/forward/upstreams-notes.md. */
#define SAMPLING_FLEET_SIZE 12
#define SAMPLE_SIZE 1
/* The connection limit is fleet-wide; gateways with uneven load need some headroom. */
#define CONNECTION_HEADROOM 1.3

/* Returns this gateway's share of the connections to one upstream; 0: no limit. */
static unsigned int connections_max(const gateway_request_t *request,
				    unsigned int fleet_size)
{
	const forward_service_t *service =
		forward_config_service(request->config, request->service);

	if (!service || !service->connections_max)
		return 0;
	return MAX((unsigned int)(service->connections_max *
				  CONNECTION_HEADROOM / fleet_size),
		   1);
}

/* Chooses the best upstream that was not tried yet, and stores it in PICK. */
forward_choice_t gateway_request_choose(gateway_request_t *request,
					forward_pick_t *pick)
{
	const gateway_t *gateway = request->gateway;
	unsigned int fleet_size = gateway_count(gateway);
	forward_choice_t choice;
	forward_criteria_t criteria = {
		.service = request->service,
		.zone = gateway->settings->node_zone,
		.call = request->call,
		.has_prompt = request->route->has_prompt,
		.overcommit = request->route->has_prompt ? ENGINE_OVERCOMMIT
							 : PLAIN_OVERCOMMIT,
		.connections_max = connections_max(request, fleet_size),
		.limits = upstream_limits_are_empty(gateway->upstream_limits)
				  ? NULL
				  : gateway->upstream_limits,
		.sample_size = fleet_size > SAMPLING_FLEET_SIZE ? SAMPLE_SIZE : 0,
		.random = gateway->random,
		.tried_count = request->tried_count,
		.version_id = request->version_id,
	};

	for (unsigned int i = 0; i < request->tried_count; i++)
		criteria.tried[i] = request->tried[i];
	choice = gateway_request_choose_version(request, &criteria, pick);
	if (choice == FORWARD_CHOSEN &&
	    forward_upstreams_rejections_max(gateway->upstreams, pick->upstream) &&
	    !gateway_grants_may_ask(gateway->grants, gateway_now()))
		return FORWARD_ALL_FULL;
	return choice;
}

/*
 * Returns whether an upstream that was chosen a moment ago, here or by another gateway, may
 * still be used.
 */
bool gateway_request_may_use(const gateway_request_t *request,
			     const forward_upstream_t *upstream)
{
	pd_time_t now = gateway_now();

	for (unsigned int i = 0; i < request->tried_count; i++) {
		if (!strcmp(request->tried[i], upstream->id))
			return false;
	}
	return request->tried_count < FORWARD_TRIED_MAX &&
	       forward_upstream_is_serving(upstream) &&
	       !forward_upstream_is_resting(upstream, now) &&
	       upstream_limits_has_permit(request->gateway->upstream_limits,
					  forward_upstream_short_id(upstream),
					  now);
}

/* Ends an attempt before its request is sent, on a link that others may use. */
static void withhold(gateway_request_t *request, const char *reason)
{
	upstream_link_release(request->link, 0);
	request->link = NULL;
	gateway_request_end_attempt(request, ATTEMPT_WITHHELD, reason);
}

/* Sends the request on the link of its attempt, which must be connected. */
void gateway_request_send(gateway_request_t *request)
{
	GString *head;
	const forward_call_t *call = request->call;
	pd_time_t now = gateway_now();
	wire_attempt_t send = {
		.time_left = request->deadline - now,
		.account = request->account ? request->account->name : NULL,
		.upstream_id = request->upstream->id,
		.resume_after = call->resume_after,
		.priority = request->route->has_prompt ? request->rank : -1,
		.body_len = request->body->len,
		.has_body = request->has_body,
	};

	if (gateway_request_is_late_to_send(request)) {
		gateway_request_end_at_stop(request);
		return;
	}
	/* These may have changed while the connection was made. */
	if (!gateway_request_has_fresh_grant(request, now)) {
		withhold(request, "no connection in time");
		return;
	}
	if (forward_upstream_is_resting(request->upstream, now)) {
		withhold(request, "upstream rests");
		return;
	}
	request->connected_at = upstream_link_connected_at(request->link);
	if (!gateway_request_resolve_version(request)) {
		withhold(request, "version of the upstream unknown");
		return;
	}
	if (request->events && request->events->last_id)
		send.resume_after = request->events->last_id;
	head = g_string_sized_new(512);
	wire_call_format(head, call, &send);
	request->sent_at = now;
	gateway_request_pin_version(request);
	gateway_request_record_rollout_send(request);
	request->deliveries++;
	gateway_request_begin_speed_sample(request);
	if (request->state != REQUEST_STREAMING)
		request->state = REQUEST_SENT;
	request->gateway->inflight_changed = true;
	upstream_link_send(request->link, head, request->body,
			   !strcmp(call->method, "HEAD"));
	g_string_free(head, TRUE);
}

/* Returns whether a request that may have run may be sent to another upstream. */
bool gateway_request_is_retryable(const gateway_request_t *request)
{
	switch (request->route->kind) {
	case FORWARD_SAFE:
		return true;
	case FORWARD_STREAM:
		return request->route->resumable;
	case FORWARD_UNSAFE:
		return false;
	}
	return false;
}

/* Returns whether it is known after which event a stream goes on. */
static bool is_position_known(const gateway_request_t *request)
{
	return !request->events || request->events->resumable;
}

/* Returns whether another upstream may be tried; counts against the retry budget. */
static bool is_retry_allowed(gateway_request_t *request, attempt_outcome_t outcome)
{
	pd_time_t now = gateway_now();

	if (request->deliveries >= DELIVERIES_MAX ||
	    request->tried_count >= FORWARD_TRIED_MAX ||
	    request->deadline - now < TIME_LEFT_MIN ||
	    gateway_request_is_late_to_send(request))
		return false;
	switch (outcome) {
	case ATTEMPT_UNSENT:
	case ATTEMPT_WITHHELD:
		return true; /* not delivered, so it is no repeated send */
	case ATTEMPT_REJECTED:
		break;
	case ATTEMPT_UNKNOWN:
	case ATTEMPT_FAILED:
		if (!gateway_request_is_retryable(request) ||
		    !is_position_known(request) ||
		    request->possible_runs >= request->route->upstreams_max)
			return false;
		break;
	}
	return retry_windows_take(request->gateway->retries, request->service,
				  gateway_count(request->gateway), now);
}

/* Records the outcome of the attempt at its upstream. */
static void record_attempt_outcome(gateway_request_t *request,
				   attempt_outcome_t outcome)
{
	pd_time_t now = gateway_now();

	switch (outcome) {
	case ATTEMPT_UNSENT:
		forward_upstream_record_connect_failure(request->upstream, now);
		gateway_reach_record_failure(request->gateway, request->upstream);
		break;
	case ATTEMPT_WITHHELD:
		break;
	case ATTEMPT_UNKNOWN:
		forward_upstream_record_failure(request->upstream, now);
		break;
	case ATTEMPT_REJECTED:
		/* 421: another upstream has the address now. */
		if (request->status == 421)
			forward_upstream_record_connect_failure(request->upstream,
								now);
		else
			forward_upstream_record_rejection(request->upstream, now);
		gateway_request_record_outcome(request, true);
		gateway_slots_record_shortage(request->gateway->slots,
					      request->service);
		break;
	case ATTEMPT_FAILED:
		forward_upstream_record_success(request->upstream);
		break;
	}
}

/*
 * Ends an attempt without a response to forward: tries another upstream if a retry is
 * allowed, or else responds to the caller at once.
 */
void gateway_request_end_attempt(gateway_request_t *request,
				 attempt_outcome_t outcome, const char *reason)
{
	bool streaming = request->state == REQUEST_STREAMING;

	if (request->sent_at)
		gateway_request_update_version(request);
	if (outcome == ATTEMPT_UNKNOWN || outcome == ATTEMPT_FAILED) {
		gateway_request_record_rollout_answer(request, true);
		request->possible_runs++;
		gateway_request_count_usage(request);
	}
	record_attempt_outcome(request, outcome);
	gateway_request_release_slot(request, outcome == ATTEMPT_REJECTED);
	gateway_request_release_grant(request, outcome == ATTEMPT_REJECTED &&
						       request->status != 421);
	gateway_request_clear_attempt(request);
	request->sent_at = 0;
	if (outcome != ATTEMPT_FAILED)
		gateway_request_discard_answer(request);
	else if (request->events)
		event_stream_discard_partial(request->events);
	if (is_retry_allowed(request, outcome)) {
		log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
			 "id=%s fingerprint=%016" G_GINT64_MODIFIER
			 "x retry=%u reason=\"%s\" upstream=%s",
			 request->call->id ? request->call->id : "-",
			 request->fingerprint, request->sends, reason,
			 request->tried[request->tried_count - 1]);
		if (outcome == ATTEMPT_UNKNOWN)
			request->retry_at =
				gateway_now() +
				gateway_quarantine_settle_time(request->gateway);
		else
			gateway_request_dispatch(request);
		return;
	}
	if (streaming) {
		gateway_request_abort_stream(request, reason);
		return;
	}
	if (outcome == ATTEMPT_FAILED && request->sealed) {
		gateway_request_finish(request);
		return;
	}
	gateway_request_give_up(request, RETRY_AFTER_FULL, reason);
}

/* Records the work of the attempt; UNCACHED_TOKENS must be prefilled. */
static void attempt_add_work(gateway_request_t *request, double uncached_tokens)
{
	const forward_call_t *call = request->call;
	double rate = gateway_engine_rate(request->gateway, request->service);
	double output = call->output_tokens *
			engine_time_to_tokens(rate, ENGINE_OUTPUT_TOKEN_TIME);

	request->prefill_tokens = uncached_tokens;
	/*
	 * A prompt is a sample of the prefill rate only if the engine prefills
	 * no other one, and if little of it is shared: whether the engine has
	 * shared parts in its cache, perhaps from another gateway's request, is
	 * not known.
	 */
	request->prefills_alone =
		forward_upstream_prefill_tokens(request->upstream) < 1 &&
		forward_call_shared_tokens(call) <=
			call->prompt_tokens * SHARED_PROMPT_MAX;
	work_rate_add(request->gateway->work, request->service,
		      uncached_tokens + output);
}

/* Starts an attempt at an upstream: sends the request, or connects first. */
void gateway_request_start_attempt(gateway_request_t *request,
				   const forward_pick_t *pick)
{
	forward_upstream_t *upstream = pick->upstream;
	pd_time_t now = gateway_now();

	metrics_add(request->gateway->metrics, "gateway_sends_total", 1);
	gateway_limits_use_permit(request->gateway, upstream);
	if (request->sends)
		metrics_add(request->gateway->metrics, "gateway_resends_total", 1);
	request->upstream = forward_upstream_ref(upstream);
	request->upstream_incarnation = upstream->incarnation;
	request->upstream_version_id = upstream->version_id;
	request->connected_at = 0;
	request->resumed_version_id =
		gateway_request_is_resumed(request) ? request->version_id : 0;
	request->tried[request->tried_count++] = g_strdup(upstream->id);
	request->sends++;
	request->attempt_started_at = now;
	request->sent_at = 0;
	request->skipping_response = false;
	request->skipped_responses = 0;
	request->discarded_bytes = 0;
	if (request->state != REQUEST_STREAMING)
		request->state = REQUEST_CONNECTING;
	gateway_request_discard_answer(request);
	if (request->route->has_prompt)
		attempt_add_work(request, pick->uncached_tokens);
	upstream->running++;
	upstream->prefill_tokens += request->prefill_tokens;
	forward_upstream_record_send(upstream, request->call, now);
	request->link =
		upstream_link_open(request->gateway, upstream,
				   !gateway_request_is_retryable(request),
				   &gateway_request_link_callbacks, request);
	if (!request->link) {
		gateway_request_end_attempt(request, ATTEMPT_UNSENT,
					    "no connection");
		return;
	}
	if (upstream_link_is_connected(request->link))
		gateway_request_send(request);
}

/* Starts an attempt at the best upstream, or queues the request, or ends it. */
void gateway_request_dispatch(gateway_request_t *request)
{
	forward_pick_t pick;

	if (gateway_request_may_relay(request)) {
		gateway_request_relay(request);
		return;
	}
	gateway_limits_record_demand(request->gateway, request->service);
	if (gateway_request_await_slot(request))
		return;
	switch (gateway_request_choose(request, &pick)) {
	case FORWARD_CHOSEN:
		gateway_request_begin_attempt(request, &pick);
		return;
	case FORWARD_ALL_LIMITED:
		if (request->state == REQUEST_STREAMING)
			break;
		if (gateway_request_may_await_permit(request, gateway_now()))
			gateway_request_enqueue(request);
		return;
	case FORWARD_ALL_RESTING:
		if (request->state == REQUEST_STREAMING)
			break;
		if (gateway_request_may_await_rest(request, pick.rest_until,
						   gateway_now()))
			gateway_request_enqueue(request);
		return;
	case FORWARD_ALL_FULL:
		if (request->state == REQUEST_STREAMING)
			break;
		gateway_request_enqueue(request);
		return;
	case FORWARD_NONE_LEFT:
		break;
	}
	if (request->state == REQUEST_STREAMING) {
		gateway_request_abort_stream(request,
					     "no upstream left to resume");
		return;
	}
	gateway_request_give_up(request, RETRY_AFTER_NO_UPSTREAM,
				"no upstream left");
}
