/* A snapshot of this gateway's requests in flight, for the usage counts. */
#ifndef PISTACHIO_GATEWAY_REQUEST_FLIGHT_H
#define PISTACHIO_GATEWAY_REQUEST_FLIGHT_H

#include "adapters/gateway/gateway_state.h"

const inflight_snapshot_t *gateway_requests_update_snapshot(gateway_t *gateway);

#endif
