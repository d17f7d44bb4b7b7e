/* Probes of upstreams: connections that carry no request. */
#ifndef PISTACHIO_GATEWAY_UPSTREAM_PROBE_H
#define PISTACHIO_GATEWAY_UPSTREAM_PROBE_H

#include "adapters/gateway/gateway_state.h"

typedef enum upstream_probe_result {
	UPSTREAM_PROBE_CONNECTED,
	UPSTREAM_PROBE_REFUSED,
	UPSTREAM_PROBE_SILENT /* no answer within GATEWAY_CONNECT_TIMEOUT */
} upstream_probe_result_t;

/* Called once for each probe; UPSTREAM is borrowed. */
typedef void (*upstream_probe_done_t)(gateway_t *gateway,
				      forward_upstream_t *upstream,
				      upstream_probe_result_t result, void *ctx);

void upstream_probe_start(gateway_t *gateway, forward_upstream_t *upstream,
			  upstream_probe_done_t done, void *ctx);
void upstream_probes_run(gateway_t *gateway, pd_time_t now);

#endif
