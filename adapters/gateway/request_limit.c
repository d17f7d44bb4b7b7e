/* Requests that only upstreams with a rate limit could serve. */
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/rate_limits.h"
#include "adapters/gateway/request_state.h"

#include <string.h>

/* Retry-After is at least this, and at most what a caller may wait. */
#define RETRY_AFTER_MIN (100 * PD_MSEC)

/*
 * A request starts to wait only if this many times its expected wait is left: permits
 * come at random, and a request that waits in vain could have gone elsewhere.
 */
#define WAIT_MARGIN 2

/* Returns how many requests of a service wait in a queue before END. */
static unsigned int queue_length(const list_node_t *queue, const char *service,
				 const gateway_request_t *end)
{
	unsigned int count = 0;

	LIST_FOR_EACH (it, queue) {
		const gateway_request_t *request =
			LIST_ENTRY(it, gateway_request_t, queue_node);

		if (request == end)
			break;
		count += !strcmp(request->service, service);
	}
	return count;
}

/* Returns how many requests of a service wait in the queues of the first RANKS ranks. */
unsigned int gateway_queue_length(const gateway_t *gateway, const char *service,
				  int ranks)
{
	unsigned int count = 0;

	for (int rank = 0; rank < ranks; rank++)
		count += queue_length(&gateway->queues[rank], service, NULL);
	return count;
}

/* Returns how many requests of the same service get a permit before a request. */
static unsigned int count_ahead(const gateway_request_t *request)
{
	const gateway_t *gateway = request->gateway;

	return gateway_queue_length(gateway, request->service, request->rank) +
	       queue_length(&gateway->queues[request->rank], request->service,
			    request);
}

/* Refuses a request that no permit will come for in time. */
static void refuse(gateway_request_t *request, pd_time_t wait)
{
	gateway_t *gateway = request->gateway;

	metrics_add(gateway->metrics, "gateway_limit_refusals_total", 1);
	if (request->route->has_prompt) {
		gateway_request_record_outcome(request, true);
		work_rate_add_refused(gateway->work, request->service,
				      gateway_request_unshared_work(request));
	}
	gateway_request_give_up(request, MAX(wait, RETRY_AFTER_MIN),
				"over the limits of upstreams");
}

/*
 * Returns whether a request that needs a permit may wait for one, behind those that
 * are more urgent. One that would wait for too long is refused at once, and told when
 * a permit can be expected; it is freed then.
 */
bool gateway_request_may_await_permit(gateway_request_t *request, pd_time_t now)
{
	pd_time_t wait =
		gateway_limits_estimate_wait(request->gateway, request->service,
					     count_ahead(request), now);
	bool queued = request->state == REQUEST_QUEUED;
	pd_time_t needed =
		now - request->read_at + (queued ? wait : wait * WAIT_MARGIN);

	if (needed <= gateway_request_queue_time_max(request))
		return true;
	refuse(request, wait);
	return false;
}
