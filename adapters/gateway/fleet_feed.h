/*
 * What the platform's store says of the configuration and of the upstreams:
 * a list, then a watch for changes, a list again when the watch's past is gone.
 */
#ifndef PISTACHIO_FLEET_FEED_H
#define PISTACHIO_FLEET_FEED_H

#include "adapters/gateway/gateway_state.h"

fleet_feed_t *fleet_feed_create(gateway_t *gateway);
void fleet_feed_run(fleet_feed_t *feed, pd_time_t now);
bool fleet_feed_is_store_reachable(const fleet_feed_t *feed);

#endif
