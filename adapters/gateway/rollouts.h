/*
 * Roll-outs of software versions: reads operators' orders from the store, has the leader
 * write their status, and logs how they go. core/forward/rollout.h decides.
 */
#ifndef PISTACHIO_GATEWAY_ROLLOUTS_H
#define PISTACHIO_GATEWAY_ROLLOUTS_H

#include "adapters/gateway/gateway_state.h"
#include "platform/wire.h"

pd_time_t gateway_rollouts_now(const gateway_t *gateway);
void gateway_rollouts_apply_page(gateway_t *gateway, const wire_page_t *page);
void gateway_rollouts_record_version(gateway_t *gateway,
				     const forward_upstream_t *upstream);
void gateway_rollouts_run(gateway_t *gateway, pd_time_t now);

#endif
