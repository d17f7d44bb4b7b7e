/* Admission, queueing and timeouts of requests. */
#include "adapters/gateway/request_state.h"

#include "adapters/gateway/config_origin.h"
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/quarantine_checks.h"
#include "adapters/gateway/slots.h"
#include "adapters/gateway/upstream_reach.h"
#include "adapters/log_glib.h"
#include "platform/wire.h"

/*
 * A request to a safe route without a response after so many times the route's latency
 * goal is sent to another upstream. The slowest healthy requests take about five times
 * the mean, which is well below the goal.
 */
#define RESPONSE_TIMEOUT_GOALS 2.5
/*
 * Limit of the buffered bodies of all requests. Beyond it, the largest of those that are
 * being read are dropped, and their requests get a 503.
 */
#define BODY_BYTES_MAX (64 * 1024 * 1024)
/*
 * A request is queued no longer than this fraction of its route's latency goal: later,
 * even a free slot is of little use, and the caller could have retried elsewhere.
 */
#define QUEUE_GOAL_FRACTION 0.5
#define QUEUE_TIME_MIN (100 * PD_MSEC)
/* Priorities of accounts; each is divided into RANKS_PER_ACCOUNT ones of routes. */
#define ACCOUNT_RANKS 3
#define RANKS_PER_ACCOUNT (GATEWAY_RANKS / ACCOUNT_RANKS)
#define RETRY_AFTER_NO_CONFIG (500 * PD_MSEC)
/*
 * How long after the start of the process requests wait for its initialization at most.
 * A gateway reads the configuration, the upstreams and the checkpoint within about
 * 0.1 s, in fleets of hundreds as well. When earlier requests were refused instead, 90
 * to 140 of them missed their deadlines after each restart of all gateways in fleets of
 * 63 to 83. A gateway that is not initialized by then can't tell when it will be, and
 * refuses requests at once.
 */
#define STARTUP_WAIT_MAX (250 * PD_MSEC)

/*
 * Creates a request whose head was read. It frees itself when it ends; CALLER is
 * borrowed and must abandon the request before it is freed.
 */
gateway_request_t *gateway_request_create(gateway_t *gateway, caller_t *caller,
					  const http1_head_t *head)
{
	gateway_request_t *request = g_new0(gateway_request_t, 1);

	request->gateway = gateway;
	request->caller = caller;
	request->call = wire_call_parse(head->method, head->target,
					head->headers, head->header_count);
	request->has_body = head->has_body;
	request->body = g_byte_array_new();
	request->response_headers = g_string_new(NULL);
	request->response_body = g_byte_array_new();
	request->arrived_at = gateway_now();
	list_init(&request->queue_node);
	list_append(&gateway->requests, &request->node);
	return request;
}

/* Frees the body of a request, which is not run then. */
static void request_free_body(gateway_request_t *request)
{
	request->gateway->body_bytes -= request->body->len;
	g_byte_array_unref(request->body);
	request->body = g_byte_array_new();
}

/* Returns the request that is being read and has the largest body so far, or NULL. */
static gateway_request_t *find_largest_read(const gateway_t *gateway)
{
	gateway_request_t *largest = NULL;

	LIST_FOR_EACH (it, &gateway->requests) {
		gateway_request_t *request =
			LIST_ENTRY(it, gateway_request_t, node);

		if (!request->read_at &&
		    request->body->len > (largest ? largest->body->len : 0))
			largest = request;
	}
	return largest;
}

/* Drops the largest bodies that are being read while all take too much memory. */
static void limit_bodies(gateway_t *gateway)
{
	while (gateway->body_bytes > BODY_BYTES_MAX) {
		gateway_request_t *largest = find_largest_read(gateway);

		if (!largest)
			return;
		largest->body_dropped = true;
		request_free_body(largest);
	}
}

/*
 * Appends to the body. Returns false if the rest of it is ignored: the request then gets
 * a 413 as it is too long, or a 503 as there is no memory.
 */
bool gateway_request_add_body(gateway_request_t *request, const char *data,
			      size_t len)
{
	const forward_config_t *config = request->gateway->config;

	if (config && request->body->len + len > config->body_bytes_max) {
		request->too_large = true;
		request_free_body(request);
	}
	if (request->too_large || request->body_dropped)
		return false;
	g_byte_array_append(request->body, (const guint8 *)data, (guint)len);
	request->gateway->body_bytes += len;
	limit_bodies(request->gateway);
	return !request->body_dropped;
}

/* Returns whether the time that the caller allowed for the request is over. */
bool gateway_request_is_overdue(const gateway_request_t *request, pd_time_t now)
{
	return request->call->time_left > 0 &&
	       now - request->arrived_at > request->call->time_left;
}

/* Returns what a request costs of its account's limit: tokens, or 1 for a request. */
static double request_cost(const gateway_request_t *request)
{
	const forward_account_t *account = request->account;

	if (!account->limits_tokens)
		return 1;
	if (!request->call->has_tokens)
		return account->default_tokens;
	return (double)request->call->prompt_tokens + request->call->output_tokens;
}

/* Finds the account of the request by its API key. Returns false if it was refused. */
static bool request_authenticate(gateway_request_t *request)
{
	const forward_config_t *config = request->config;
	const char *key = request->call->api_key;

	if (!config->accounts->len)
		return true;
	request->account = key ? forward_config_account(config, key) : NULL;
	if (request->account || request->route->is_public)
		return true;
	gateway_config_log_refusal(request->gateway, "unknown key");
	gateway_request_respond_error(request, 401, 0, "unknown key");
	return false;
}

/*
 * Returns whether the request takes up a stream that a gateway began, by the fleet's
 * records of streams; the caller's word is not enough.
 */
static bool request_resumes_known_stream(const gateway_request_t *request)
{
	const forward_call_t *call = request->call;
	const char *first = call->resumes ? call->resumes : call->id;

	return request->route->kind == FORWARD_STREAM &&
	       request->route->resumable && call->resume_after && first &&
	       stream_versions_find(request->gateway->streams,
				    stream_versions_hash(first));
}

/* Charges the request to its account's limit. Returns false if it was refused. */
static bool request_charge(gateway_request_t *request)
{
	token_limits_t *limits = request->gateway->limits;
	token_decision_t decision;
	double amount;
	bool granted;

	if (!request->account)
		return true;
	amount = request_cost(request);
	if (request_resumes_known_stream(request))
		granted = token_limits_take_resumed(limits, request->account,
						    amount, request->read_at,
						    &decision);
	else
		granted = token_limits_take(limits, request->account, amount,
					    request->read_at, &decision);
	if (granted) {
		request->charged = amount;
		return true;
	}
	log_line(G_LOG_LEVEL_INFO, "limit",
		 "id=%s account=%s tokens=%.0f needed=%.0f level=%.0f "
		 "rate=%.0f "
		 "gateways=%u",
		 request->call->id ? request->call->id : "-",
		 request->account->name, amount, decision.needed, decision.level,
		 request->account->rate, gateway_count(request->gateway));
	gateway_request_respond_error(request, 429, decision.retry_after,
				      "over the account's limit");
	return false;
}

/* Returns the ranks that requests of an account may have, by its priority. */
shed_ranks_t gateway_account_ranks(const forward_account_t *account)
{
	shed_ranks_t ranks = { .count = RANKS_PER_ACCOUNT };

	if (account->priority != FORWARD_PRIORITY_UNSET)
		ranks.first = CLAMP(account->priority, 0, ACCOUNT_RANKS - 1) *
			      RANKS_PER_ACCOUNT;
	return ranks;
}

/* Returns the rank by the account's priority first, then by that of the route. */
static int request_rank(const gateway_request_t *request)
{
	int rank = CLAMP(request->route->priority, 0, RANKS_PER_ACCOUNT - 1);

	if (request->account)
		rank += gateway_account_ranks(request->account).first;
	return rank;
}

/* Sets the deadline to the route's timeout, or the caller's own one if that is shorter. */
static void request_set_deadline(gateway_request_t *request)
{
	pd_time_t allowed = request->route->timeout;

	if (request->call->time_left > 0)
		allowed = MIN(allowed, request->call->time_left);
	request->deadline = request->arrived_at + allowed;
}

/* Queues a request until the gateway is initialized; refuses it if that takes long. */
static void request_await_startup(gateway_request_t *request)
{
	gateway_t *gateway = request->gateway;

	if (request->read_at - gateway->started_at > STARTUP_WAIT_MAX) {
		gateway_request_respond_error(request, 503, RETRY_AFTER_NO_CONFIG,
					      "no configuration yet");
		return;
	}
	list_append(&gateway->startup_queue, &request->queue_node);
	gateway->queued++;
}

/* Starts the requests of the startup queue when the gateway is initialized. */
static void startup_queue_run(gateway_t *gateway, pd_time_t now)
{
	if (!gateway_is_initialized(gateway) &&
	    now - gateway->started_at <= STARTUP_WAIT_MAX)
		return;
	LIST_FOR_EACH_SAFE (it, &gateway->startup_queue) {
		gateway_request_t *request =
			LIST_ENTRY(it, gateway_request_t, queue_node);

		list_remove(&request->queue_node);
		gateway->queued--;
		gateway_request_start(request);
	}
}

/* Checks a request that was read completely, and dispatches, queues or refuses it. */
void gateway_request_start(gateway_request_t *request)
{
	gateway_t *gateway = request->gateway;
	forward_call_t *call = request->call;

	request->read_at = gateway_now();
	if (request->too_large) {
		gateway_request_respond_error(request, 413, 0,
					      "body over the limit");
		return;
	}
	if (!gateway_is_initialized(gateway)) {
		request_await_startup(request);
		return;
	}
	if (request->body_dropped) {
		gateway_request_respond_error(request, 503, RETRY_AFTER_FULL,
					      "no memory for bodies");
		return;
	}
	request->config = forward_config_ref(gateway->config);
	if (!call->host) {
		gateway_request_respond_error(request, 400, 0, "no host");
		return;
	}
	request->route =
		forward_config_route(request->config, call->host, call->target);
	if (!request->route) {
		gateway_config_log_refusal(gateway, "no route");
		gateway_request_respond_error(request, 404, 0, "no route");
		return;
	}
	if (!request_authenticate(request))
		return;
	request_set_deadline(request);
	if (!gateway_has_time_for(gateway, request->route->kind, request->deadline)) {
		gateway_request_respond_error(request, 503,
					      RETRY_AFTER_STOPPING, REASON_STOP);
		return;
	}
	request->rank = request_rank(request);
	request->fingerprint =
		forward_call_fingerprint(call,
					 request->account ? request->account->name
							  : NULL,
					 request->body);
	quarantine_find_suspects(call, request->fingerprint, &request->suspects);
	request->service =
		forward_route_pick_service(request->route,
					   g_rand_double(gateway->random));
	if (!request->service) {
		gateway_request_respond_error(request, 503, RETRY_AFTER_NO_UPSTREAM,
					      "route without a service");
		return;
	}
	if (gateway_request_is_quarantined(request))
		return;
	if (gateway_request_may_relay(request)) {
		gateway_request_relay(request);
		return;
	}
	if (caller_is_gateway(request->caller) &&
	    gateway_reach_is_cut_off(gateway, request->service)) {
		gateway_request_respond_error(request, 503, RETRY_AFTER_NO_UPSTREAM,
					      "no upstream reached");
		return;
	}
	gateway_request_find_version(request);
}

/* Charges, admits and dispatches a request. */
void gateway_request_proceed(gateway_request_t *request)
{
	gateway_t *gateway = request->gateway;

	if (!request_charge(request) || !gateway_request_admit(request))
		return;
	retry_windows_record_request(gateway->retries, request->service,
				     request->read_at);
	gateway_request_dispatch(request);
}

/* Queues a request behind others of its rank until an upstream has capacity. */
void gateway_request_enqueue(gateway_request_t *request)
{
	gateway_t *gateway = request->gateway;

	request->state = REQUEST_QUEUED;
	gateway_slots_record_shortage(gateway->slots, request->service);
	list_append(&gateway->queues[request->rank], &request->queue_node);
	gateway->queued++;
}

/* Returns how long a request may be queued. */
pd_time_t gateway_request_queue_time_max(const gateway_request_t *request)
{
	pd_time_t part = (pd_time_t)((double)request->route->latency_goal *
				     QUEUE_GOAL_FRACTION);

	return MAX(part, QUEUE_TIME_MIN);
}

/* Sends queued requests, the most urgent first, while upstreams have capacity. */
static void queues_run(gateway_t *gateway, pd_time_t now)
{
	for (int rank = 0; rank < GATEWAY_RANKS && gateway->queued; rank++) {
		LIST_FOR_EACH_SAFE (it, &gateway->queues[rank]) {
			gateway_request_t *request =
				LIST_ENTRY(it, gateway_request_t, queue_node);
			forward_pick_t pick;

			if (gateway_request_may_relay(request)) {
				list_remove(&request->queue_node);
				gateway->queued--;
				gateway_request_relay(request);
				continue;
			}
			switch (gateway_request_choose(request, &pick)) {
			case FORWARD_CHOSEN:
				list_remove(&request->queue_node);
				gateway->queued--;
				gateway_request_begin_attempt(request, &pick);
				continue;
			case FORWARD_ALL_FULL:
				break;
			case FORWARD_ALL_LIMITED:
				if (!gateway_request_may_await_permit(request, now))
					continue;
				break;
			case FORWARD_ALL_RESTING:
				if (!gateway_request_may_await_rest(request,
								    pick.rest_until,
								    now))
					continue;
				break;
			case FORWARD_NONE_LEFT:
				gateway_request_give_up(request,
							RETRY_AFTER_NO_UPSTREAM,
							"no upstream left");
				continue;
			}
			if (now - request->read_at >
			    gateway_request_queue_time_max(request))
				gateway_request_give_up(request, RETRY_AFTER_FULL,
							"no room in time");
		}
	}
}

/* Returns whether to abandon an attempt that has not connected or responded in time. */
static bool attempt_timed_out(const gateway_request_t *request, pd_time_t now)
{
	if (!request->link)
		return false;
	if (!request->sent_at)
		return !upstream_link_is_connected(request->link) &&
		       (now - request->attempt_started_at > GATEWAY_CONNECT_TIMEOUT ||
			gateway_request_may_relay(request));
	if (request->route->kind != FORWARD_SAFE || !request->route->latency_goal ||
	    request->possible_runs + 1 >= request->route->upstreams_max)
		return false;
	return now - request->sent_at >
	       (pd_time_t)((double)request->route->latency_goal *
			   RESPONSE_TIMEOUT_GOALS);
}

/*
 * Returns whether the process that the attempt was sent to has ended and was started again.
 * Without a TCP reset, the caller would wait until its deadline for a response that can't
 * come.
 */
static bool attempt_upstream_restarted(const gateway_request_t *request,
				       pd_time_t now)
{
	return request->upstream && request->link &&
	       upstream_link_has_ended(request->link, now);
}

/* Returns whether an attempt is still connecting to an upstream that left meanwhile. */
static bool attempt_upstream_left(const gateway_request_t *request)
{
	return request->upstream && request->link && !request->sent_at &&
	       !forward_upstream_is_serving(request->upstream);
}

/* Returns how long ago something happened at AT, in ms; -1: it did not. */
static double ms_since(pd_time_t at, pd_time_t now)
{
	return at ? (double)(now - at) / PD_MSEC : -1;
}

/* Logs why an attempt is abandoned, and since when its connection exists and is silent. */
static void log_abandoned(const gateway_request_t *request, const char *reason)
{
	const upstream_link_t *link = request->link;
	pd_time_t now = gateway_now();

	log_line(G_LOG_LEVEL_INFO, "request",
		 "id=%s abandoned=\"%s\" upstream=%s sent_ms_ago=%.1f "
		 "connected_ms_ago=%.1f received_ms_ago=%.1f",
		 request->call->id ? request->call->id : "-", reason,
		 request->upstream->id, ms_since(request->sent_at, now),
		 ms_since(upstream_link_connected_at(link), now),
		 ms_since(upstream_link_received_at(link), now));
}

/* Closes the connection of an attempt and ends it. */
static void attempt_abandon(gateway_request_t *request, const char *reason)
{
	bool sent = request->sent_at != 0;

	log_abandoned(request, reason);
	if (sent && attempt_upstream_restarted(request, gateway_now()))
		gateway_quarantine_record_ends(request->gateway, request->upstream,
					       &request->suspects);
	upstream_link_close(request->link);
	request->link = NULL;
	gateway_request_end_attempt(request,
				    sent ? ATTEMPT_UNKNOWN : ATTEMPT_UNSENT,
				    reason);
}

/* Ends the attempt of a request, which has possibly run if it was sent. */
static void end_last_attempt(gateway_request_t *request)
{
	if (request->upstream && request->sent_at)
		request->possible_runs++;
	gateway_request_close_link(request);
	gateway_request_clear_attempt(request);
}

/* Ends a request whose deadline is over. */
static void request_expire(gateway_request_t *request)
{
	if (request->state == REQUEST_STREAMING) {
		gateway_request_abort_stream(request, "timeout");
		return;
	}
	if (request->upstream && request->sent_at)
		gateway_request_record_rollout_answer(request, true);
	if (request->upstream)
		gateway_request_watch_upstream(request);
	end_last_attempt(request);
	gateway_request_give_up(request, RETRY_AFTER_FULL, "timeout");
}

/* Ends a request as the gateway stops. */
void gateway_request_end_at_stop(gateway_request_t *request)
{
	if (request->state == REQUEST_STREAMING) {
		gateway_request_abort_stream(request, REASON_STOP);
		return;
	}
	if (request->upstream && request->sent_at)
		gateway_request_count_usage(request);
	end_last_attempt(request);
	gateway_request_give_up(request, RETRY_AFTER_STOPPING, REASON_STOP);
}

/*
 * Ends all requests that were read completely. Callers are told that theirs has not
 * run, or get a failure that leaves it open, or notice that their stream is incomplete.
 */
void gateway_requests_end(gateway_t *gateway)
{
	LIST_FOR_EACH_SAFE (it, &gateway->requests) {
		gateway_request_t *request =
			LIST_ENTRY(it, gateway_request_t, node);

		if (request->state != REQUEST_READING)
			gateway_request_end_at_stop(request);
	}
}

/*
 * Returns whether an unsafe request was not sent yet and must not be any more, as it
 * might outlast this process.
 */
bool gateway_request_is_late_to_send(const gateway_request_t *request)
{
	return request->route->kind == FORWARD_UNSAFE &&
	       !request->possible_runs && !request->sent_at &&
	       !gateway_has_time_for(request->gateway, FORWARD_UNSAFE,
				     request->deadline);
}

/* Advances the queues, and ends requests and attempts that timed out. */
void gateway_requests_run(gateway_t *gateway, pd_time_t now)
{
	gateway_shedders_run(gateway, now);
	startup_queue_run(gateway, now);
	gateway_requests_end_held(gateway);
	queues_run(gateway, now);
	LIST_FOR_EACH_SAFE (it, &gateway->requests) {
		gateway_request_t *request =
			LIST_ENTRY(it, gateway_request_t, node);

		if (request->state == REQUEST_READING)
			continue;
		gateway_request_check_first_event(request, now);
		gateway_request_check_grant(request, now);
		if (now >= request->deadline)
			request_expire(request);
		else if (gateway_request_is_late_to_send(request))
			gateway_request_end_at_stop(request);
		else if (request->version_asked_at)
			gateway_request_check_version(request, now);
		else if (request->retry_at && now >= request->retry_at)
			gateway_request_retry(request);
		else if (request->relay)
			gateway_request_check_relay(request, now);
		else if (attempt_upstream_restarted(request, now))
			attempt_abandon(request, "upstream restarted");
		else if (attempt_upstream_left(request))
			attempt_abandon(request, "upstream left");
		else if (attempt_timed_out(request, now))
			attempt_abandon(request,
					request->sent_at
						? "no answer in time"
						: "no connection in time");
	}
}
