/* Requests that wait for a grant of a brittle upstream. */
#include "adapters/gateway/grants.h"
#include "adapters/gateway/request_state.h"

/*
 * Starts an attempt at an upstream. At a brittle one this comes when a grant does; the
 * request waits without an attempt until then.
 */
void gateway_request_begin_attempt(gateway_request_t *request,
				   const forward_pick_t *pick)
{
	gateway_t *gateway = request->gateway;

	if (!forward_upstreams_rejections_max(gateway->upstreams, pick->upstream)) {
		gateway_request_start_attempt(request, pick);
		return;
	}
	if (request->state != REQUEST_STREAMING)
		request->state = REQUEST_QUEUED;
	request->granted_pick = *pick;
	forward_upstream_ref(pick->upstream);
	request->grant_number =
		gateway_grants_ask(gateway->grants, pick->upstream,
				   request->deadline - gateway_now(), request);
}

/* Forgets the upstream that a grant was asked for. */
static void clear_pick(gateway_request_t *request)
{
	forward_upstream_unref(request->granted_pick.upstream);
	request->granted_pick.upstream = NULL;
	request->grant_number = 0;
	request->grant_settled = false;
}

/*
 * Returns the grant of a request that has one or waits for one. REJECTED: the upstream had
 * no room for it.
 */
void gateway_request_release_grant(gateway_request_t *request, bool rejected)
{
	brittle_outcome_t outcome = BRITTLE_ENDED;

	if (!request->grant_number)
		return;
	if (rejected)
		outcome = BRITTLE_REJECTED;
	else if (request->sent_at && !request->grant_settled)
		outcome = BRITTLE_LOST;
	gateway_grants_report(request->gateway->grants, request->grant_number,
			      outcome);
	clear_pick(request);
}

/* Reports that the upstream has admitted the request, if that needed a grant. */
void gateway_request_settle_grant(gateway_request_t *request)
{
	if (!request->grant_number || request->grant_settled)
		return;
	request->grant_settled = true;
	gateway_grants_report(request->gateway->grants, request->grant_number,
			      BRITTLE_ADMITTED);
}

/* Takes a request for admitted that was not rejected for a while. */
void gateway_request_check_grant(gateway_request_t *request, pd_time_t now)
{
	if (request->grant_number && request->sent_at &&
	    now - request->sent_at >= BRITTLE_SETTLE_TIME)
		gateway_request_settle_grant(request);
}

/* Returns whether a request may be sent now: it needs no grant, or has one in force. */
bool gateway_request_has_fresh_grant(const gateway_request_t *request, pd_time_t now)
{
	return !request->grant_number ||
	       gateway_grants_is_fresh(request->gateway->grants,
				       request->grant_number, now);
}

/* Sends a request to the upstream that it has a grant for. */
static void on_granted(gateway_request_t *request)
{
	if (gateway_request_may_use(request, request->granted_pick.upstream)) {
		gateway_request_start_attempt(request, &request->granted_pick);
		return;
	}
	gateway_request_release_grant(request, false);
	gateway_request_dispatch(request);
}

/* Has a request choose another upstream, as one has no room or its issuer is silent. */
static void on_denied(gateway_request_t *request, pd_time_t retry_after)
{
	forward_upstream_t *upstream = request->granted_pick.upstream;

	upstream->full_until =
		MAX(upstream->full_until, gateway_now() + retry_after);
	clear_pick(request);
	gateway_request_release_slot(request, false);
	gateway_request_dispatch(request);
}

/* Returns what happens to requests that ask for grants. */
const gateway_grant_hooks_t *gateway_request_grant_hooks(void)
{
	static const gateway_grant_hooks_t hooks = { on_granted, on_denied };

	return &hooks;
}
