/* Probes random upstreams while connections fail. */
#include "adapters/gateway/upstream_reach.h"

#include "adapters/gateway/upstream_probe.h"
#include "adapters/log_glib.h"

#define LOG_COMPONENT "reach"

/* Records that a connection to an upstream was established. */
void gateway_reach_record_connected(gateway_t *gateway)
{
	if (reach_record_connected(gateway->reach))
		log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "cut_off=0");
}

/* Records that a request could not be sent to an upstream, if that serves. */
void gateway_reach_record_failure(gateway_t *gateway,
				  const forward_upstream_t *upstream)
{
	if (forward_upstream_is_serving(upstream))
		reach_record_failure(gateway->reach,
				     forward_upstream_short_id(upstream),
				     gateway_now());
}

/* Records the result of a probe. */
static void on_probe_done(gateway_t *gateway, forward_upstream_t *upstream,
			  upstream_probe_result_t result, void *ctx)
{
	(void)ctx;
	if (result == UPSTREAM_PROBE_CONNECTED) {
		gateway_reach_record_connected(gateway);
		return;
	}
	if (!reach_record_probe_failure(gateway->reach,
					forward_upstreams_count_serving(
						gateway->upstreams)))
		return;
	log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT, "cut_off=1 upstream=%s",
		 upstream->id);
	metrics_add(gateway->metrics, "gateway_cut_off_total", 1);
}

/* Returns a random upstream that serves and was not probed, borrowed, or NULL. */
static forward_upstream_t *pick_upstream(gateway_t *gateway)
{
	forward_upstream_t *picked = NULL;
	gint32 count = 0;

	LIST_FOR_EACH (it, forward_upstreams_list(gateway->upstreams)) {
		forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		if (!forward_upstream_is_serving(upstream) ||
		    !reach_may_probe(gateway->reach,
				     forward_upstream_short_id(upstream)))
			continue;
		if (g_rand_int_range(gateway->random, 0, ++count) == 0)
			picked = upstream;
	}
	return picked;
}

/* Starts the probes that are due. */
void gateway_reach_run(gateway_t *gateway, pd_time_t now)
{
	unsigned int due;

	if (!reach_is_suspicious(gateway->reach))
		return;
	due = reach_take_probes(gateway->reach,
				forward_upstreams_count_serving(gateway->upstreams),
				now);
	for (; due; due--) {
		forward_upstream_t *upstream = pick_upstream(gateway);

		if (!upstream)
			return;
		reach_record_probe(gateway->reach,
				   forward_upstream_short_id(upstream));
		metrics_add(gateway->metrics, "gateway_reach_probes_total", 1);
		upstream_probe_start(gateway, upstream, on_probe_done, NULL);
	}
}
