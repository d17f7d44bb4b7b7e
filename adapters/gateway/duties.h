/*
 * The duties of the leader, the gateway that holds a lease in the platform's store: it
 * reports usage and scales the upstreams. duties-notes.md argues why no two gateways
 * perform them at once.
 */
#ifndef PISTACHIO_GATEWAY_DUTIES_H
#define PISTACHIO_GATEWAY_DUTIES_H

#include "adapters/gateway/gateway_state.h"

gateway_duties_t *gateway_duties_create(gateway_t *gateway);
bool gateway_duties_is_acting(const gateway_duties_t *duties, pd_time_t now);
bool gateway_duties_may_hold(const gateway_duties_t *duties);
void gateway_duties_resume(gateway_duties_t *duties);
void gateway_duties_run(gateway_duties_t *duties, pd_time_t now);

#endif
