/* Load shedding: refuses requests while the engines of their service are overloaded. */
#include "adapters/gateway/request_state.h"
#include "adapters/gateway/peers.h"
#include "adapters/log_glib.h"
#include "core/forward/engine_cost.h"
#include "core/forward/shed.h"

/*
 * Retry-After of a shed request: by then an overload of some seconds has decreased, and
 * the caller has waited no more than a third of the time until its deadline.
 */
#define RETRY_AFTER_FRACTION 0.3
#define RETRY_AFTER_MIN (400 * PD_MSEC)
#define RETRY_AFTER_MAX (3 * PD_SEC)

/* Returns the load shedder of a service; creates one that is missing. */
static shed_t *get_shedder(gateway_t *gateway, const char *service)
{
	shed_t *shed = g_hash_table_lookup(gateway->shedders, service);

	if (!shed) {
		shed = shed_create();
		g_hash_table_insert(gateway->shedders, g_strdup(service), shed);
	}
	return shed;
}

/* Returns the work of a request, in prompt tokens, if its shared parts are cached. */
double gateway_request_unshared_work(const gateway_request_t *request)
{
	const forward_call_t *call = request->call;
	double rate = gateway_engine_rate(request->gateway, request->service);

	return MAX(call->prompt_tokens - forward_call_shared_tokens(call), 0) +
	       call->output_tokens *
		       engine_time_to_tokens(rate, ENGINE_OUTPUT_TOKEN_TIME);
}

/* Returns whether a request is admitted; one that is not was refused with a 503. */
bool gateway_request_admit(gateway_request_t *request)
{
	gateway_t *gateway = request->gateway;
	double work = gateway_request_unshared_work(request);
	pd_time_t left = request->deadline - gateway_now();
	pd_time_t retry_after =
		CLAMP((pd_time_t)((double)left * RETRY_AFTER_FRACTION),
		      RETRY_AFTER_MIN, RETRY_AFTER_MAX);

	if (!request->route->has_prompt)
		return true;
	if (shed_admit(get_shedder(gateway, request->service), request->rank,
		       work, g_rand_double(gateway->random)))
		return true;
	work_rate_add_refused(gateway->work, request->service, work);
	gateway_request_respond_error(request, 503, retry_after, "engines pressed");
	return false;
}

/* Returns how long after the arrival of a request its first event counts as late. */
static pd_time_t first_event_time_max(const gateway_request_t *request)
{
	double prefill_time =
		request->call->prompt_tokens * (double)PD_SEC /
		gateway_engine_rate(request->gateway, request->service);

	return request->route->latency_goal + (pd_time_t)prefill_time;
}

/* Records once whether the request was delayed or rejected by OVERLOADED engines. */
void gateway_request_record_outcome(gateway_request_t *request, bool overloaded)
{
	if (request->outcome_recorded || !request->route->has_prompt)
		return;
	request->outcome_recorded = true;
	shed_record_outcome(get_shedder(request->gateway, request->service),
			    overloaded);
}

/* Records that the first event was received, in time or late. */
void gateway_request_record_first_event(gateway_request_t *request)
{
	gateway_request_record_outcome(request,
				       gateway_now() - request->arrived_at >
					       first_event_time_max(request));
}

/* Records a first event as late as soon as it is overdue. */
void gateway_request_check_first_event(gateway_request_t *request, pd_time_t now)
{
	if (!request->outcome_recorded && request->route->has_prompt &&
	    request->route->latency_goal &&
	    now - request->arrived_at > first_event_time_max(request))
		gateway_request_record_outcome(request, true);
}

/* Updates the load shedders that are due, and logs changes of their shares. */
void gateway_shedders_run(gateway_t *gateway, pd_time_t now)
{
	GHashTableIter iter;
	gpointer service;
	gpointer shed;
	shed_utilization_t utilization = {
		.includes_peers =
			gateway_peers_loads_are_current(gateway->peers, now),
	};

	g_hash_table_iter_init(&iter, gateway->shedders);
	while (g_hash_table_iter_next(&iter, &service, &shed)) {
		/* Checked first, as this visits all upstreams. */
		if (!shed_update_is_due(shed, now))
			continue;
		utilization.ratio =
			forward_upstreams_utilization(gateway->upstreams, service);
		if (shed_update(shed, &utilization, now))
			log_line(G_LOG_LEVEL_INFO, "shed",
				 "service=%s share=%.2f fill=%.2f known=%d "
				 "pressed=%.2f",
				 (const char *)service, shed_admitted_share(shed),
				 utilization.ratio, utilization.includes_peers,
				 shed_overload_ratio(shed));
	}
}
