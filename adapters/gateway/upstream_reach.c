/* Probes random upstreams of a service while connections to some fail. */
#include "adapters/gateway/upstream_reach.h"

#include "adapters/gateway/upstream_probe.h"
#include "adapters/log_glib.h"

#define LOG_COMPONENT "reach"

/* Returns what is known of the links to a service, borrowed; NULL: none have failed. */
static reach_t *find_reach(const gateway_t *gateway, const char *service)
{
	return g_hash_table_lookup(gateway->reaches, service);
}

/* Returns the same; creates what is missing. */
static reach_t *get_reach(gateway_t *gateway, const char *service)
{
	reach_t *reach = find_reach(gateway, service);

	if (!reach) {
		reach = reach_create();
		g_hash_table_insert(gateway->reaches, g_strdup(service), reach);
	}
	return reach;
}

/* Returns the number of upstreams of a service that accept new requests. */
static unsigned int count_serving(const gateway_t *gateway, const char *service)
{
	const GPtrArray *serving =
		forward_upstreams_serving(gateway->upstreams, service);

	return serving ? serving->len : 0;
}

/* Returns whether this gateway is cut off from all upstreams of a service or most. */
bool gateway_reach_is_cut_off(const gateway_t *gateway, const char *service)
{
	const reach_t *reach = find_reach(gateway, service);

	return reach && reach_is_cut_off(reach);
}

/* Returns whether it is cut off from all of them, as far as is known. */
bool gateway_reach_is_total(const gateway_t *gateway, const char *service)
{
	const reach_t *reach = find_reach(gateway, service);

	return reach && reach_is_total(reach);
}

/* Returns whether this gateway may be cut off from the upstreams of a service. */
bool gateway_reach_is_suspicious(const gateway_t *gateway, const char *service)
{
	const reach_t *reach = find_reach(gateway, service);

	return reach && reach_is_suspicious(reach);
}

/* Returns whether this gateway is cut off from the upstreams of some service. */
bool gateway_reach_is_cut_off_from_any(const gateway_t *gateway)
{
	GHashTableIter iter;
	gpointer reach;

	g_hash_table_iter_init(&iter, gateway->reaches);
	while (g_hash_table_iter_next(&iter, NULL, &reach)) {
		if (reach_is_cut_off(reach))
			return true;
	}
	return false;
}

/* Records that a request was connected to an upstream. */
void gateway_reach_record_connected(gateway_t *gateway,
				    const forward_upstream_t *upstream)
{
	reach_t *reach = find_reach(gateway, upstream->service);

	if (reach)
		reach_record_outcome(reach, forward_upstream_short_id(upstream),
				     true, gateway_now());
}

/* Records that a request could not be sent to an upstream, if that serves. */
void gateway_reach_record_failure(gateway_t *gateway,
				  const forward_upstream_t *upstream)
{
	if (forward_upstream_is_serving(upstream))
		reach_record_outcome(get_reach(gateway, upstream->service),
				     forward_upstream_short_id(upstream), false,
				     gateway_now());
}

/*
 * Records that an upstream refused a connection, which shows that its process has ended,
 * unless this gateway is cut off.
 */
void gateway_reach_record_refusal(const gateway_t *gateway,
				  forward_upstream_t *upstream)
{
	if (!gateway_reach_is_cut_off(gateway, upstream->service))
		forward_upstream_record_refusal(upstream, gateway_now());
}

/* Records the result of a probe. */
static void on_probe_done(gateway_t *gateway, forward_upstream_t *upstream,
			  upstream_probe_result_t result, void *ctx)
{
	const char *service = upstream->service;
	reach_t *reach = find_reach(gateway, service);

	(void)ctx;
	if (!reach ||
	    !reach_record_probe_result(reach, result == UPSTREAM_PROBE_CONNECTED,
				       count_serving(gateway, service)))
		return;
	if (reach_is_cut_off(reach)) {
		log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
			 "cut_off=1 service=%s upstream=%s", service,
			 upstream->id);
		metrics_add(gateway->metrics, "gateway_cut_off_total", 1);
	} else {
		log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
			 "cut_off=0 service=%s", service);
	}
}

/* Returns a random upstream of a service that was not probed, borrowed, or NULL. */
static forward_upstream_t *pick_upstream(gateway_t *gateway, const reach_t *reach,
					 const GPtrArray *serving)
{
	forward_upstream_t *picked = NULL;
	gint32 count = 0;

	for (guint i = 0; i < serving->len; i++) {
		forward_upstream_t *upstream = g_ptr_array_index(serving, i);

		if (reach_may_probe(reach, forward_upstream_short_id(upstream)) &&
		    g_rand_int_range(gateway->random, 0, ++count) == 0)
			picked = upstream;
	}
	return picked;
}

/* Starts the probes of a service's upstreams that are due. */
static void start_probes(gateway_t *gateway, const char *service,
			 reach_t *reach, pd_time_t now)
{
	const GPtrArray *serving =
		forward_upstreams_serving(gateway->upstreams, service);
	unsigned int due;

	if (!serving)
		return;
	due = reach_take_probes(reach, serving->len, now);
	for (; due; due--) {
		forward_upstream_t *upstream =
			pick_upstream(gateway, reach, serving);

		if (!upstream)
			return;
		reach_record_probe(reach, forward_upstream_short_id(upstream));
		metrics_add(gateway->metrics, "gateway_reach_probes_total", 1);
		upstream_probe_start(gateway, upstream, on_probe_done, NULL);
	}
}

/* Returns whether a service that was removed from the configuration is to be forgotten. */
static bool is_removed(const gateway_t *gateway, const char *service)
{
	return gateway->config &&
	       !forward_config_service(gateway->config, service);
}

/* Starts the probes that are due. */
void gateway_reach_run(gateway_t *gateway, pd_time_t now)
{
	GHashTableIter iter;
	gpointer service;
	gpointer reach;

	g_hash_table_iter_init(&iter, gateway->reaches);
	while (g_hash_table_iter_next(&iter, &service, &reach)) {
		if (is_removed(gateway, service))
			g_hash_table_iter_remove(&iter);
		else
			start_probes(gateway, service, reach, now);
	}
}
