/* Rate limits of upstreams: records, logs, metrics, and the need of permits. */
#include "adapters/gateway/rate_limits.h"

#include <string.h>

#include "adapters/gateway/peers.h"
#include "adapters/gateway/request.h"
#include "adapters/log_glib.h"

#define LOG_COMPONENT "upstream-limit"

/* Logs a limit of an upstream that is new; SOURCE says how it was learned. */
static void log_limit(const forward_upstream_t *upstream, bool limited,
		      double rate, const char *source)
{
	if (limited)
		log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
			 "upstream=%s service=%s rate=%.2f source=%s",
			 upstream->id, upstream->service, rate, source);
	else
		log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
			 "upstream=%s service=%s ended source=%s", upstream->id,
			 upstream->service, source);
}

/*
 * Records the limit that a response of an upstream named, in requests per second, or
 * that it named none; the other gateways are sent what is new.
 */
void gateway_limits_record(gateway_t *gateway, const forward_upstream_t *upstream,
			   bool limited, double rate)
{
	if (!upstream_limits_record_response(gateway->upstream_limits,
					     forward_upstream_short_id(upstream),
					     limited, rate, gateway_now()))
		return;
	log_limit(upstream, limited, rate, "response");
	gateway_peers_limits_changed(gateway->peers);
}

/* Applies what a peer knows of a limit. Returns whether that is new. */
bool gateway_limits_merge(gateway_t *gateway, const upstream_limit_t *limit)
{
	const forward_upstream_t *upstream;

	if (!upstream_limits_merge(gateway->upstream_limits, limit, gateway_now()))
		return false;
	upstream = forward_upstreams_find_by_short_id(gateway->upstreams,
						      limit->short_id);
	if (upstream)
		log_limit(upstream, limit->limited, limit->rate, "peer");
	return true;
}

/* Records that a request needs an upstream of a service. */
void gateway_limits_record_demand(gateway_t *gateway, const char *service)
{
	if (!upstream_limits_are_empty(gateway->upstream_limits))
		upstream_limits_record_demand(gateway->upstream_limits, service,
					      gateway_now());
}

/* Uses up a permit for an attempt at an upstream, if it has a limit. */
void gateway_limits_use_permit(gateway_t *gateway, const forward_upstream_t *upstream)
{
	uint32_t short_id = forward_upstream_short_id(upstream);

	if (!upstream_limits_is_limited(gateway->upstream_limits, short_id))
		return;
	upstream_limits_use_permit(gateway->upstream_limits, short_id,
				   gateway_now());
	metrics_add(gateway->metrics, "gateway_permits_used_total", 1);
}

/* Adds permits for an upstream that were requested at a time of this gateway's clock. */
void gateway_limits_add_permits(gateway_t *gateway, uint32_t short_id,
				unsigned int count, pd_time_t requested_at)
{
	const forward_upstream_t *upstream =
		forward_upstreams_find_by_short_id(gateway->upstreams, short_id);

	if (!upstream || !count)
		return;
	upstream_limits_add_permits(gateway->upstream_limits, upstream->service,
				    short_id, count, requested_at, gateway_now());
	metrics_add(gateway->metrics, "gateway_permits_received_total", count);
}

/* Adds the short id of a limit to an array. */
static void add_short_id(void *ctx, const upstream_limit_t *limit)
{
	g_array_append_val((GArray *)ctx, limit->short_id);
}

/* Forgets the limits of upstreams that are gone, and those not confirmed for long. */
void gateway_limits_expire(gateway_t *gateway, pd_time_t now)
{
	GArray *short_ids = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	upstream_limits_expire(gateway->upstream_limits, now);
	upstream_limits_each(gateway->upstream_limits, now, add_short_id,
			     short_ids);
	for (guint i = 0; i < short_ids->len; i++) {
		uint32_t short_id = g_array_index(short_ids, uint32_t, i);
		const forward_upstream_t *upstream =
			forward_upstreams_find_by_short_id(gateway->upstreams,
							   short_id);

		if (upstream && upstream->stage == FORWARD_GONE)
			upstream_limits_forget(gateway->upstream_limits, short_id);
	}
	g_array_unref(short_ids);
}

/* The limits of one service, in a walk over all. */
typedef struct service_limits {
	const gateway_t *gateway;
	const char *service;
	GArray *limits; /* of upstream_limit_t: of upstreams that serve */
} service_limits_t;

/* Adds a limit whose upstream serves the service. */
static void add_of_service(void *ctx, const upstream_limit_t *limit)
{
	service_limits_t *found = ctx;
	const forward_upstream_t *upstream =
		forward_upstreams_find_by_short_id(found->gateway->upstreams,
						   limit->short_id);

	if (upstream && limit->limited && forward_upstream_is_serving(upstream) &&
	    !strcmp(upstream->service, found->service))
		g_array_append_val(found->limits, *limit);
}

/* Returns the limits of the upstreams that serve a service; owned by the caller. */
static GArray *limits_of_service(const gateway_t *gateway, const char *service,
				 pd_time_t now)
{
	service_limits_t found = {
		.gateway = gateway,
		.service = service,
		.limits = g_array_new(FALSE, FALSE, sizeof(upstream_limit_t)),
	};

	upstream_limits_each(gateway->upstream_limits, now, add_of_service, &found);
	return found.limits;
}

/* Adds a limit that has ended, as a response of its upstream showed here. */
static void add_ended(void *ctx, const upstream_limit_t *limit)
{
	if (!limit->limited && limit->observed)
		g_array_append_val((GArray *)ctx, *limit);
}

/*
 * Returns the limits in force of all services of the configuration, with the permits to
 * request, and those that ended. Of upstream_limit_t, owned by the caller.
 */
GArray *gateway_limits_plan_requests(gateway_t *gateway, pd_time_t period,
				     pd_time_t now)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(upstream_limit_t));
	const forward_config_t *config = gateway->config;

	upstream_limits_each(gateway->upstream_limits, now, add_ended, all);
	for (guint i = 0; config && i < config->services->len; i++) {
		const forward_service_t *service =
			g_ptr_array_index(config->services, i);
		GArray *limits = limits_of_service(gateway, service->name, now);
		const upstream_permit_need_t need = {
			.queued = gateway_queue_length(gateway, service->name,
						       GATEWAY_RANKS),
			.period = period,
		};

		upstream_limits_plan_requests(gateway->upstream_limits,
					      service->name,
					      (upstream_limit_t *)limits->data,
					      limits->len, &need, now);
		g_array_append_vals(all, limits->data, limits->len);
		g_array_unref(limits);
	}
	return all;
}

/* Returns the sum of limits in requests per second. */
static double sum_rates(const GArray *limits)
{
	double sum = 0;

	for (guint i = 0; i < limits->len; i++)
		sum += g_array_index(limits, upstream_limit_t, i).rate;
	return sum;
}

/*
 * Returns how long a request of a service waits for a permit behind AHEAD others, at
 * the rate at which they arrive, or this gateway's even share of the limits.
 */
pd_time_t gateway_limits_estimate_wait(const gateway_t *gateway,
				       const char *service, unsigned int ahead,
				       pd_time_t now)
{
	GArray *limits = limits_of_service(gateway, service, now);
	double share = sum_rates(limits) / MAX(gateway_count(gateway), 1);

	g_array_unref(limits);
	return upstream_limits_estimate_wait(gateway->upstream_limits, service,
					     ahead, share, now);
}

/*
 * Returns how many upstreams of a service the limits take away. Callers' requests are
 * taken to come evenly to all gateways, and to go evenly to upstreams without a limit.
 */
double gateway_limits_lost_upstreams(const gateway_t *gateway,
				     const char *service, pd_time_t now)
{
	const GPtrArray *serving =
		forward_upstreams_serving(gateway->upstreams, service);
	GArray *limits = limits_of_service(gateway, service, now);
	double demand =
		upstream_limits_demand(gateway->upstream_limits, service, now) *
		gateway_count(gateway);
	double lost = 0;

	for (guint i = 0; serving && serving->len && i < limits->len; i++)
		lost += upstream_limits_lost_capacity(
			g_array_index(limits, upstream_limit_t, i).rate,
			demand / serving->len);
	g_array_unref(limits);
	return lost;
}

/* Counts a limit that is in force. */
static void count_limited(void *ctx, const upstream_limit_t *limit)
{
	*(unsigned int *)ctx += limit->limited;
}

/* Returns the number of upstreams that name a limit. */
unsigned int gateway_limits_count(const gateway_t *gateway, pd_time_t now)
{
	unsigned int count = 0;

	upstream_limits_each(gateway->upstream_limits, now, count_limited, &count);
	return count;
}
