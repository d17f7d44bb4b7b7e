/* Which requests are in flight, for the counts of usage. */
#ifndef PISTACHIO_GATEWAY_REQUEST_FLIGHT_H
#define PISTACHIO_GATEWAY_REQUEST_FLIGHT_H

#include "adapters/gateway/gateway_state.h"

const inflight_snapshot_t *gateway_requests_note_flight(gateway_t *gateway);

#endif
