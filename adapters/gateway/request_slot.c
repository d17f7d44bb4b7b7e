/* Requests that wait for a slot of a plain service. */
#include "adapters/gateway/request_state.h"
#include "adapters/gateway/slots.h"
#include "adapters/log_glib.h"
#include "core/hash.h"

/* Part of the latency goal in which a request has to begin, to be answered in time. */
#define BEGIN_GOAL_PART 0.7

/*
 * Lists the upstreams that a request is not to get: those that it tried or that asked this
 * gateway for a rest and, while there are others, those in backoff. One that takes no connections from this gateway would
 * otherwise have the most free slots and get every request first; the dispatcher can't
 * leave it out, as others may reach it. Returns whether any upstream is left.
 */
static bool list_excluded(const gateway_request_t *request, slot_request_t *ask,
			  pd_time_t now)
{
	const GPtrArray *serving =
		forward_upstreams_serving(request->gateway->upstreams,
					  request->service);
	uint32_t in_backoff[SLOT_TRIED_MAX];
	unsigned int backoff_count = 0;
	unsigned int untried = 0;

	for (guint i = 0; serving && i < serving->len; i++) {
		const forward_upstream_t *upstream = g_ptr_array_index(serving, i);
		uint32_t short_id = forward_upstream_short_id(upstream);

		if (!gateway_request_may_use(request, upstream)) {
			if (ask->tried_count < SLOT_TRIED_MAX)
				ask->tried[ask->tried_count++] = short_id;
			continue;
		}
		untried++;
		if (forward_upstream_in_backoff(upstream, now) &&
		    backoff_count < SLOT_TRIED_MAX)
			in_backoff[backoff_count++] = short_id;
	}
	for (unsigned int i = 0; i < backoff_count && backoff_count < untried &&
				 ask->tried_count < SLOT_TRIED_MAX;
	     i++)
		ask->tried[ask->tried_count++] = in_backoff[i];
	return untried > 0;
}

/* Fills in what a request asks for. Returns false if no upstream is left for it. */
static bool make_ask(const gateway_request_t *request, slot_request_t *ask)
{
	pd_time_t now = gateway_now();
	pd_time_t begin = (pd_time_t)((double)request->route->latency_goal *
				      BEGIN_GOAL_PART);

	*ask = (slot_request_t){
		.rank = request->rank,
		.weight = 1,
		.returned = request->returned,
		.time_left = request->deadline - now,
	};
	/* Without a goal an answer is late at its deadline. */
	ask->goal = begin ? MAX(request->arrived_at + begin - now, 0)
			  : ask->time_left;
	if (request->account) {
		ask->account = (uint32_t)hash_string(request->account->name);
		if (request->account->rate > 0)
			ask->weight = request->account->rate;
	}
	return list_excluded(request, ask, now);
}

/*
 * Has a request wait for a slot if those of its service are scarce. Returns false if it is
 * to choose an upstream itself.
 */
bool gateway_request_await_slot(gateway_request_t *request)
{
	gateway_slots_t *slots = request->gateway->slots;
	slot_request_t ask;

	if (request->route->has_prompt ||
	    request->route->kind == FORWARD_STREAM || request->slot_number ||
	    request->slot_unanswered || request->state == REQUEST_STREAMING ||
	    !upstream_limits_are_empty(request->gateway->upstream_limits) ||
	    gateway_request_is_restricted(request) ||
	    !gateway_slots_are_scarce(slots, request->service) ||
	    !make_ask(request, &ask))
		return false;
	request->state = REQUEST_QUEUED;
	return gateway_slots_ask(slots, request->service, &ask, request,
				 &request->slot_number);
}

/*
 * Releases the slot of a request that has one or waits for one. REJECTED: the upstream had
 * no room for it.
 */
void gateway_request_release_slot(gateway_request_t *request, bool rejected)
{
	uint32_t number = request->slot_number;

	request->slot_number = 0;
	if (number)
		gateway_slots_release(request->gateway->slots, number, rejected);
}

/* Sends a request to the upstream whose slot it got. */
static void on_granted(gateway_request_t *request, uint32_t short_id)
{
	forward_pick_t pick = {
		.upstream = forward_upstreams_find_by_short_id(
			request->gateway->upstreams, short_id),
	};

	if (pick.upstream && gateway_request_may_use(request, pick.upstream)) {
		gateway_request_begin_attempt(request, &pick);
		return;
	}
	gateway_request_release_slot(request, false);
	request->slot_unanswered = true;
	gateway_request_dispatch(request);
}

/* Refuses a request for which no slot comes free in time. */
static void on_refused(gateway_request_t *request, pd_time_t retry_after)
{
	request->slot_number = 0;
	gateway_request_give_up(request, retry_after, "no slot in time");
}

/* Has a request choose an upstream itself, as the dispatcher does not answer. */
static void on_unanswered(gateway_request_t *request)
{
	request->slot_number = 0;
	request->slot_unanswered = true;
	gateway_request_dispatch(request);
}

/* Returns what happens to requests that ask for slots. */
const gateway_slot_hooks_t *gateway_request_slot_hooks(void)
{
	static const gateway_slot_hooks_t hooks = { on_granted, on_refused,
						    on_unanswered };

	return &hooks;
}
