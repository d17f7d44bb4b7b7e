/*
 * Responses without a length, which end with their connection. The kernel closes the
 * connections of a process that is killed like those of one that has sent everything, so
 * the end of file alone does not show that such a response is complete. A process that is
 * killed no longer listens either: the response is complete if its upstream accepts a
 * connection after the end of file.
 */
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/quarantine_checks.h"
#include "adapters/gateway/request_state.h"
#include "adapters/gateway/upstream_probe.h"

/* Returns the request that waits for a probe, or NULL if it has ended meanwhile. */
static gateway_request_t *find_request(const gateway_t *gateway, size_t probe)
{
	LIST_FOR_EACH (it, &gateway->requests) {
		gateway_request_t *request =
			LIST_ENTRY(it, gateway_request_t, node);

		if (request->end_probe == probe)
			return request;
	}
	return NULL;
}

/* Returns whether the upstream of an attempt still runs, by the result of a probe. */
static bool upstream_runs(const gateway_request_t *request,
			  upstream_probe_result_t result)
{
	return result == UPSTREAM_PROBE_CONNECTED &&
	       request->upstream_incarnation == request->upstream->incarnation &&
	       !gateway_upstream_is_replaced(request->gateway, request->upstream);
}

/* Ends the attempt of a request whose response may have ended early. */
static void reject_end(gateway_request_t *request)
{
	metrics_add(request->gateway->metrics, "gateway_unverified_ends_total", 1);
	gateway_request_reject_answer(request);
}

static void on_probe_done(gateway_t *gateway, forward_upstream_t *upstream,
			  upstream_probe_result_t result, void *ctx)
{
	gateway_request_t *request = find_request(gateway, GPOINTER_TO_SIZE(ctx));

	(void)upstream;
	if (!request)
		return;
	request->end_probe = 0;
	if (upstream_runs(request, result)) {
		gateway_request_accept_answer(request);
		return;
	}
	reject_end(request);
}

/*
 * Returns whether the end of file may have arrived long ago, as this process was paused:
 * another upstream may listen at the address by now.
 */
static bool end_may_be_old(const gateway_t *gateway)
{
	pd_time_t now = gateway_now();

	return now - gateway->ticked_at > GATEWAY_STALL_MIN ||
	       (gateway->stalled_at &&
		now - gateway->stalled_at < GATEWAY_STALL_MIN);
}

/*
 * Forwards the end of a response whose connection was closed, or ends the attempt, once it
 * is known whether its upstream still runs.
 */
void gateway_request_verify_end(gateway_request_t *request)
{
	gateway_t *gateway = request->gateway;

	if (end_may_be_old(gateway)) {
		reject_end(request);
		return;
	}
	request->end_probe = ++gateway->end_probes;
	metrics_add(gateway->metrics, "gateway_end_probes_total", 1);
	upstream_probe_start(gateway, request->upstream, on_probe_done,
			     GSIZE_TO_POINTER(request->end_probe));
}
