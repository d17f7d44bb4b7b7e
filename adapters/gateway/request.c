/* Requests on their way in: what is checked, who waits, whose time is over. */
#include "adapters/gateway/request_state.h"

#include "adapters/gateway/gateway.h"
#include "adapters/log_glib.h"
#include "platform/wire.h"

/* A connection to an upstream takes a few milliseconds, or a lost packet more. */
#define CONNECT_MAX (400 * PD_MSEC)
/*
 * A plain call that may be repeated and is not answered by so many times its
 * aim is sent to another upstream; the slowest sound ones take some five times
 * the mean work, which is well under the aim.
 */
#define SILENCE_GOALS 2.5
/* Bodies of all requests in progress; beyond, requests are refused. */
#define BODIES_MAX (64 * 1024 * 1024)
/*
 * A request waits for room no longer than this part of its aim: later, even a
 * free place would be of little use, and its caller could have come back.
 */
#define QUEUE_PART 0.5
#define QUEUE_MIN (100 * PD_MSEC)
/* Priorities that are told apart: of accounts, and of routes in each of these. */
#define ACCOUNT_RANKS 3
#define RANKS_OF_ACCOUNT (GATEWAY_RANKS / ACCOUNT_RANKS)
/* Another gateway takes the caller at once. */
#define RETRY_AFTER_STOPPING (20 * PD_MSEC)
#define RETRY_AFTER_NO_CONFIG (500 * PD_MSEC)
/*
 * A start reads the configuration, the upstreams and the checkpoint within some
 * 0.1 s, in fleets of hundreds too. Requests that come before wait so long after
 * the start at most: refused, they were late whatever came next, 90 to 140 of them
 * after each kill of all in fleets of 63 to 83. Whoever has still not read all by
 * then does not know when it will, and refuses at once.
 */
#define START_WAIT (250 * PD_MSEC)

/* Begins a request whose head was read; it owns itself until it is answered. */
gateway_request_t *gateway_request_create(gateway_t *gateway, caller_t *caller,
					  const http1_head_t *head)
{
	gateway_request_t *request = g_new0(gateway_request_t, 1);

	request->gateway = gateway;
	request->caller = caller;
	request->call = wire_call_read(head->method, head->target,
				       head->headers, head->header_count);
	request->has_body = head->has_body;
	request->body = g_byte_array_new();
	request->answer_head = g_string_new(NULL);
	request->answer = g_byte_array_new();
	request->arrived = gateway_now();
	list_init(&request->wait);
	list_append(&gateway->requests, &request->node);
	return request;
}

/* Adds bytes of the body. False: it is too long, and will be refused. */
bool gateway_request_add_body(gateway_request_t *request, const char *data,
			      size_t len)
{
	const forward_config_t *config = request->gateway->config;

	if (config && request->body->len + len > config->body_max)
		request->too_large = true;
	if (request->too_large)
		return false;
	g_byte_array_append(request->body, (const guint8 *)data, (guint)len);
	request->gateway->body_bytes += len;
	return true;
}

/* Says whether the caller has given the request up, by its own word. */
bool gateway_request_is_overdue(const gateway_request_t *request, pd_time_t now)
{
	return request->call->patience > 0 &&
	       now - request->arrived > request->call->patience;
}

static double request_amount(const gateway_request_t *request)
{
	const forward_account_t *account = request->account;

	if (!account->in_tokens)
		return 1;
	if (!request->call->has_tokens)
		return account->plain_tokens;
	return (double)request->call->prompt_tokens + request->call->output_tokens;
}

/* Finds whose request it is. False: it was refused. */
static bool request_identify(gateway_request_t *request)
{
	const forward_config_t *config = request->config;
	const char *key = request->call->api_key;

	if (!config->accounts->len)
		return true;
	request->account = key ? forward_config_account(config, key) : NULL;
	if (request->account || request->route->open)
		return true;
	gateway_request_refuse(request, 401, 0, "unknown key");
	return false;
}

static bool request_within_limit(gateway_request_t *request)
{
	token_decision_t verdict;
	double amount;

	if (!request->account)
		return true;
	amount = request_amount(request);
	if (token_limits_take(request->gateway->limits, request->account,
			      amount, request->read_at, &verdict)) {
		request->taken = amount;
		return true;
	}
	log_line(G_LOG_LEVEL_INFO, "limit",
		 "id=%s account=%s tokens=%.0f needed=%.0f level=%.0f "
		 "rate=%.0f "
		 "gateways=%u",
		 request->call->id ? request->call->id : "-",
		 request->account->name, amount, verdict.needed, verdict.level,
		 request->account->rate, gateway_count(request->gateway));
	gateway_request_refuse(request, 429, verdict.retry_after,
			       "over the account's limit");
	return false;
}

/* Orders requests by their account's priority, and by the route's among these. */
static int request_rank(const gateway_request_t *request)
{
	int rank = CLAMP(request->route->priority, 0, RANKS_OF_ACCOUNT - 1);

	if (request->account && request->account->priority != FORWARD_PRIORITY_UNSET)
		rank += CLAMP(request->account->priority, 0, ACCOUNT_RANKS - 1) *
			RANKS_OF_ACCOUNT;
	return rank;
}

static void request_set_deadline(gateway_request_t *request)
{
	pd_time_t allowed = request->route->timeout;

	if (request->call->patience > 0)
		allowed = MIN(allowed, request->call->patience);
	request->deadline = request->arrived + allowed;
}

/* Lets a request wait until this start is set up, if that can't be long. */
static void request_await_start(gateway_request_t *request)
{
	gateway_t *gateway = request->gateway;

	if (request->read_at - gateway->started_at > START_WAIT) {
		gateway_request_refuse(request, 503, RETRY_AFTER_NO_CONFIG,
				       "no configuration yet");
		return;
	}
	list_append(&gateway->starting, &request->wait);
	gateway->queued++;
}

/* Decides on the requests that came before this start was set up. */
static void starting_run(gateway_t *gateway, pd_time_t now)
{
	if (!gateway_is_set_up(gateway) && now - gateway->started_at <= START_WAIT)
		return;
	LIST_FOR_EACH_SAFE (it, &gateway->starting) {
		gateway_request_t *request =
			LIST_ENTRY(it, gateway_request_t, wait);

		list_remove(&request->wait);
		gateway->queued--;
		gateway_request_start(request);
	}
}

/* Decides on a request that was read whole, and sends it or refuses it. */
void gateway_request_start(gateway_request_t *request)
{
	gateway_t *gateway = request->gateway;
	forward_call_t *call = request->call;

	request->read_at = gateway_now();
	if (request->too_large) {
		gateway_request_refuse(request, 413, 0, "body over the limit");
		return;
	}
	if (!gateway_is_set_up(gateway)) {
		request_await_start(request);
		return;
	}
	if (gateway->body_bytes > BODIES_MAX) {
		gateway_request_refuse(request, 503, RETRY_AFTER_FULL,
				       "no memory for bodies");
		return;
	}
	request->config = forward_config_ref(gateway->config);
	if (!call->host) {
		gateway_request_refuse(request, 400, 0, "no host");
		return;
	}
	request->route =
		forward_config_route(request->config, call->host, call->target);
	if (!request->route) {
		gateway_request_refuse(request, 404, 0, "no route");
		return;
	}
	if (!request_identify(request))
		return;
	if (request->route->kind == FORWARD_STREAM &&
	    !gateway_admits_long(gateway)) {
		gateway_request_refuse(request, 503, RETRY_AFTER_STOPPING,
				       "stopping");
		return;
	}
	request_set_deadline(request);
	request->rank = request_rank(request);
	request->service = forward_route_service(request->route,
						 g_rand_double(gateway->random));
	if (!request->service) {
		gateway_request_refuse(request, 503, RETRY_AFTER_NO_UPSTREAM,
				       "route without a service");
		return;
	}
	if (!request_within_limit(request) || !gateway_request_let_in(request))
		return;
	retry_windows_first(gateway->retries, request->service, request->read_at);
	gateway_request_try(request);
}

/* Lets a request wait for room, behind others of its rank. */
void gateway_request_queue(gateway_request_t *request)
{
	gateway_t *gateway = request->gateway;

	request->state = REQUEST_QUEUED;
	list_append(&gateway->queues[request->rank], &request->wait);
	gateway->queued++;
}

/* How long a request may wait for room. */
static pd_time_t queue_time(const gateway_request_t *request)
{
	pd_time_t part = (pd_time_t)((double)request->route->goal * QUEUE_PART);

	return MAX(part, QUEUE_MIN);
}

/* Sends what waits, the most urgent first, as far as there is room. */
static void queues_run(gateway_t *gateway, pd_time_t now)
{
	for (int rank = 0; rank < GATEWAY_RANKS && gateway->queued; rank++) {
		LIST_FOR_EACH_SAFE (it, &gateway->queues[rank]) {
			gateway_request_t *request =
				LIST_ENTRY(it, gateway_request_t, wait);
			forward_pick_t pick;

			switch (gateway_request_choose(request, &pick)) {
			case FORWARD_CHOSEN:
				list_remove(&request->wait);
				gateway->queued--;
				gateway_request_attempt(request, &pick);
				continue;
			case FORWARD_ALL_FULL:
				break;
			case FORWARD_NONE_LEFT:
				gateway_request_give_up(request,
							RETRY_AFTER_NO_UPSTREAM,
							"no upstream left");
				continue;
			}
			if (now - request->read_at > queue_time(request))
				gateway_request_give_up(request, RETRY_AFTER_FULL,
							"no room in time");
		}
	}
}

/* Says whether an attempt has been silent for too long to wait on. */
static bool attempt_is_stuck(const gateway_request_t *request, pd_time_t now)
{
	if (!request->upstream)
		return false;
	if (!request->sent_at)
		return request->link && !upstream_link_is_up(request->link) &&
		       now - request->begun_at > CONNECT_MAX;
	if (request->route->kind != FORWARD_SAFE || !request->route->goal ||
	    request->runs + 1 >= request->route->upstreams_max)
		return false;
	return now - request->sent_at >
	       (pd_time_t)((double)request->route->goal * SILENCE_GOALS);
}

/*
 * Says whether the upstream runs anew since the attempt began. What ran there is
 * lost, and if its VM was cut off, no reset ever says so: the caller would wait
 * until its time is over for an answer that can't come.
 */
static bool attempt_is_orphaned(const gateway_request_t *request)
{
	return request->upstream && request->link &&
	       request->start != request->upstream->starts;
}

/* Returns whether an attempt still connects to an upstream that has left since. */
static bool attempt_is_too_late(const gateway_request_t *request)
{
	return request->upstream && request->link && !request->sent_at &&
	       !forward_upstream_serves(request->upstream);
}

static void attempt_leave(gateway_request_t *request, const char *reason)
{
	bool sent = request->sent_at != 0;

	upstream_link_close(request->link);
	request->link = NULL;
	gateway_request_attempt_over(request, sent ? ATTEMPT_LOST : ATTEMPT_UNSENT,
				     reason);
}

static void request_expire(gateway_request_t *request)
{
	if (request->state == REQUEST_STREAMING) {
		gateway_request_cut(request, "timeout");
		return;
	}
	if (request->link) {
		if (request->sent_at)
			request->runs++;
		upstream_link_close(request->link);
		request->link = NULL;
	}
	gateway_request_attempt_forget(request);
	gateway_request_give_up(request, RETRY_AFTER_FULL, "timeout");
}

/* Lets time pass: queues, timeouts, silent upstreams. */
void gateway_requests_run(gateway_t *gateway, pd_time_t now)
{
	gateway_sheds_run(gateway, now);
	starting_run(gateway, now);
	queues_run(gateway, now);
	LIST_FOR_EACH_SAFE (it, &gateway->requests) {
		gateway_request_t *request =
			LIST_ENTRY(it, gateway_request_t, node);

		if (request->state == REQUEST_READING)
			continue;
		gateway_request_watch(request, now);
		if (now >= request->deadline)
			request_expire(request);
		else if (attempt_is_orphaned(request))
			attempt_leave(request, "upstream restarted");
		else if (attempt_is_too_late(request))
			attempt_leave(request, "upstream left");
		else if (attempt_is_stuck(request, now))
			attempt_leave(request,
				      request->sent_at
					      ? "no answer in time"
					      : "no connection in time");
	}
}
