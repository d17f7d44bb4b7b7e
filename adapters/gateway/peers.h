/*
 * What the gateways tell each other: who they are, the newest configuration,
 * upstreams that come and go, and the counts that only their sum gives sense.
 * peers-notes.md has the messages and their cost.
 */
#ifndef PISTACHIO_GATEWAY_PEERS_H
#define PISTACHIO_GATEWAY_PEERS_H

#include "adapters/gateway/gateway_state.h"
#include "core/error.h"

gateway_peers_t *gateway_peers_create(gateway_t *gateway, pd_error_t *err);
void gateway_peers_run(gateway_peers_t *peers, pd_time_t now);
void gateway_peers_config(gateway_peers_t *peers);
void gateway_peers_upstream(gateway_peers_t *peers,
			    const forward_upstream_t *upstream);
bool gateway_peers_have_store(const gateway_peers_t *peers);
unsigned int gateway_peers_count(const gateway_peers_t *peers);

#endif
