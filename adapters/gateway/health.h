/* Serves the load balancer's readiness check and the metrics. */
#ifndef PISTACHIO_GATEWAY_HEALTH_H
#define PISTACHIO_GATEWAY_HEALTH_H

#include "adapters/gateway/gateway_state.h"

void health_accept(gateway_t *gateway, uv_stream_t *listener);

#endif
