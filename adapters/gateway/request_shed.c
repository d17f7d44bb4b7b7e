/* Turns requests away while the engines of their service are pressed. */
#include "adapters/gateway/request_state.h"
#include "adapters/gateway/peers.h"
#include "adapters/log_glib.h"
#include "core/forward/engine_cost.h"
#include "core/forward/shed.h"

/*
 * When callers may come back: by then a shortage of some seconds is less, and
 * callers wait no longer than a third of the time that they have left.
 */
#define RETRY_PART 0.3
#define RETRY_MIN (400 * PD_MSEC)
#define RETRY_MAX (3 * PD_SEC)

static shed_t *shed_of(gateway_t *gateway, const char *service)
{
	shed_t *shed = g_hash_table_lookup(gateway->sheds, service);

	if (!shed) {
		shed = shed_create();
		g_hash_table_insert(gateway->sheds, g_strdup(service), shed);
	}
	return shed;
}

/* Returns the work of a call whose shared parts an engine holds already. */
static double unshared_work(const gateway_request_t *request)
{
	const forward_call_t *call = request->call;
	double rate = gateway_engine_rate(request->gateway, request->service);

	return MAX(call->prompt_tokens - forward_call_shared(call), 0) +
	       call->output_tokens *
		       engine_time_to_tokens(rate, ENGINE_OUTPUT_TOKEN_TIME);
}

/* Says whether a request is let in; if not, it was refused. */
bool gateway_request_let_in(gateway_request_t *request)
{
	gateway_t *gateway = request->gateway;
	double work = unshared_work(request);
	pd_time_t left = request->deadline - gateway_now();
	pd_time_t retry_after = CLAMP((pd_time_t)((double)left * RETRY_PART),
				      RETRY_MIN, RETRY_MAX);

	if (!request->route->has_prompt)
		return true;
	if (shed_admits(shed_of(gateway, request->service), request->rank, work,
			g_rand_double(gateway->random)))
		return true;
	work_rate_add_refused(gateway->work, request->service, work);
	gateway_request_refuse(request, 503, retry_after, "engines pressed");
	return false;
}

/* How long after its arrival the request's first event is late. */
static pd_time_t late_after(const gateway_request_t *request)
{
	double reading = request->call->prompt_tokens * (double)PD_SEC /
			 gateway_engine_rate(request->gateway, request->service);

	return request->route->goal + (pd_time_t)reading;
}

/* Notes how the request's first send went, once. */
void gateway_request_judge(gateway_request_t *request, bool pressed)
{
	if (request->judged || !request->route->has_prompt)
		return;
	request->judged = true;
	shed_outcome(shed_of(request->gateway, request->service), pressed);
}

/* Notes that the first event came, in time or late. */
void gateway_request_begun(gateway_request_t *request)
{
	gateway_request_judge(request, gateway_now() - request->arrived >
					       late_after(request));
}

/* Notes a first event that is overdue; it need not come for that. */
void gateway_request_watch(gateway_request_t *request, pd_time_t now)
{
	if (!request->judged && request->route->has_prompt &&
	    request->route->goal && now - request->arrived > late_after(request))
		gateway_request_judge(request, true);
}

/* Lets time pass. */
void gateway_sheds_run(gateway_t *gateway, pd_time_t now)
{
	GHashTableIter iter;
	gpointer service;
	gpointer shed;
	shed_fill_t fill = {
		.known = gateway_peers_know_loads(gateway->peers, now),
	};

	g_hash_table_iter_init(&iter, gateway->sheds);
	while (g_hash_table_iter_next(&iter, &service, &shed)) {
		/* The fill is a walk over all upstreams. */
		if (!shed_is_due(shed, now))
			continue;
		fill.part = forward_upstreams_fill(gateway->upstreams, service);
		if (shed_run(shed, &fill, now))
			log_line(G_LOG_LEVEL_INFO, "shed",
				 "service=%s share=%.2f fill=%.2f known=%d "
				 "pressed=%.2f",
				 (const char *)service, shed_share(shed),
				 fill.part, fill.known, shed_pressed(shed));
	}
}
