/*
 * Follows the configuration and the upstreams in the platform's store: lists them,
 * then watches for changes, and lists again when the store no longer has the history
 * since the watched revision.
 */
#ifndef PISTACHIO_FLEET_FEED_H
#define PISTACHIO_FLEET_FEED_H

#include "adapters/gateway/gateway_state.h"

fleet_feed_t *fleet_feed_create(gateway_t *gateway);
void fleet_feed_run(fleet_feed_t *feed, pd_time_t now);
uint64_t fleet_feed_upstreams_revision(const fleet_feed_t *feed);
bool fleet_feed_is_store_reachable(const fleet_feed_t *feed);

#endif
