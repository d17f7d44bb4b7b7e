/*
 * Rate limits that upstreams name in their responses, and that all gateways keep in
 * sum. A request to an upstream with a limit needs a permit. One gateway issues the
 * permits of the fleet; the others request them for what their callers ask for.
 * upstream-limits-notes.md has a bound of what upstreams get.
 */
#ifndef PISTACHIO_UPSTREAM_LIMITS_H
#define PISTACHIO_UPSTREAM_LIMITS_H

#include <glib.h>
#include <stdbool.h>

#include "ports/clock.h"

/* Limits in one message at most, and permits for one upstream in it. */
#define UPSTREAM_LIMITS_LISTED_MAX 32
#define UPSTREAM_PERMITS_MAX 64
/* Gateways that differ in who issues permits agree within this. */
#define UPSTREAM_LIMITS_HANDOVER_TIME PD_SEC
#define UPSTREAM_RATE_MAX 1e6 /* requests per second */

typedef struct upstream_limits upstream_limits_t;

/* What a gateway knows of an upstream's limit. */
typedef struct upstream_limit {
	uint32_t short_id; /* of the upstream */
	bool limited; /* false: it no longer names a limit */
	double rate; /* requests per second */
	pd_time_t age; /* since a response said so */
	unsigned int permits; /* requested, granted or held */
	bool observed; /* from a response here, and not sent to other gateways yet */
} upstream_limit_t;

/* What the requests for permits of a service are planned by. */
typedef struct upstream_permit_need {
	unsigned int queued; /* requests that wait for a permit */
	pd_time_t period; /* of requests for permits */
} upstream_permit_need_t;

typedef void (*upstream_limits_each_t)(void *ctx, const upstream_limit_t *limit);

upstream_limits_t *upstream_limits_create(void);
void upstream_limits_destroy(upstream_limits_t *limits);
void upstream_limits_seed(upstream_limits_t *limits, uint32_t seed);
bool upstream_limits_are_empty(const upstream_limits_t *limits);
bool upstream_limits_record_response(upstream_limits_t *limits, uint32_t short_id,
				     bool limited, double rate, pd_time_t now);
bool upstream_limits_merge(upstream_limits_t *limits,
			   const upstream_limit_t *limit, pd_time_t now);
void upstream_limits_mark_sent(upstream_limits_t *limits, uint32_t short_id);
void upstream_limits_forget(upstream_limits_t *limits, uint32_t short_id);
void upstream_limits_expire(upstream_limits_t *limits, pd_time_t now);
bool upstream_limits_get(const upstream_limits_t *limits, pd_time_t now,
			 upstream_limit_t *limit);
void upstream_limits_each(const upstream_limits_t *limits, pd_time_t now,
			  upstream_limits_each_t each, void *ctx);

bool upstream_limits_is_limited(const upstream_limits_t *limits, uint32_t short_id);
bool upstream_limits_has_permit(const upstream_limits_t *limits,
				uint32_t short_id, pd_time_t now);
bool upstream_limits_use_permit(upstream_limits_t *limits, uint32_t short_id,
				pd_time_t now);
void upstream_limits_add_permits(upstream_limits_t *limits, const char *service,
				 uint32_t short_id, unsigned int count,
				 pd_time_t requested_at, pd_time_t now);

void upstream_limits_record_demand(upstream_limits_t *limits,
				   const char *service, pd_time_t now);
double upstream_limits_demand(const upstream_limits_t *limits,
			      const char *service, pd_time_t now);
void upstream_limits_plan_requests(upstream_limits_t *limits, const char *service,
				   upstream_limit_t *candidates, unsigned int count,
				   const upstream_permit_need_t *need,
				   pd_time_t now);
pd_time_t upstream_limits_estimate_wait(const upstream_limits_t *limits,
					const char *service, unsigned int ahead,
					double rate_min, pd_time_t now);
double upstream_limits_lost_capacity(double rate, double usual);

void upstream_limits_set_issuing(upstream_limits_t *limits, double share,
				 pd_time_t now);
unsigned int upstream_limits_grant(upstream_limits_t *limits, uint32_t short_id,
				   unsigned int wanted, pd_time_t now);

#endif
