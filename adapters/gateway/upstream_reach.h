/*
 * Whether this gateway reaches the upstreams of each service: records connections, and
 * probes.
 */
#ifndef PISTACHIO_GATEWAY_UPSTREAM_REACH_H
#define PISTACHIO_GATEWAY_UPSTREAM_REACH_H

#include "adapters/gateway/gateway_state.h"

void gateway_reach_record_connected(gateway_t *gateway,
				    const forward_upstream_t *upstream);
void gateway_reach_record_refusal(const gateway_t *gateway,
				  forward_upstream_t *upstream);
void gateway_reach_record_failure(gateway_t *gateway,
				  const forward_upstream_t *upstream);
bool gateway_reach_is_cut_off(const gateway_t *gateway, const char *service);
bool gateway_reach_is_total(const gateway_t *gateway, const char *service);
bool gateway_reach_is_suspicious(const gateway_t *gateway, const char *service);
bool gateway_reach_is_cut_off_from_any(const gateway_t *gateway);
void gateway_reach_run(gateway_t *gateway, pd_time_t now);

#endif
