/*
 * Keeps the rate limits that upstreams name in their responses, together with the
 * other gateways: records them, and plans which permits to request.
 */
#ifndef PISTACHIO_GATEWAY_RATE_LIMITS_H
#define PISTACHIO_GATEWAY_RATE_LIMITS_H

#include "adapters/gateway/gateway_state.h"

void gateway_limits_record(gateway_t *gateway, const forward_upstream_t *upstream,
			   bool limited, double rate);
bool gateway_limits_merge(gateway_t *gateway, const upstream_limit_t *limit);
void gateway_limits_record_demand(gateway_t *gateway, const char *service);
void gateway_limits_use_permit(gateway_t *gateway,
			       const forward_upstream_t *upstream);
void gateway_limits_add_permits(gateway_t *gateway, uint32_t short_id,
				unsigned int count, pd_time_t requested_at);
void gateway_limits_expire(gateway_t *gateway, pd_time_t now);
GArray *gateway_limits_plan_requests(gateway_t *gateway, pd_time_t period,
				     pd_time_t now);
pd_time_t gateway_limits_estimate_wait(const gateway_t *gateway,
				       const char *service, unsigned int ahead,
				       pd_time_t now);
double gateway_limits_lost_upstreams(const gateway_t *gateway,
				     const char *service, pd_time_t now);
unsigned int gateway_limits_count(const gateway_t *gateway, pd_time_t now);

#endif
