/*
 * What the gateways tell each other: who they are, the newest configuration,
 * upstreams that come and go, and the counts that only their sum gives sense.
 * peers-notes.md has the messages, who tells whom, and what that costs.
 */
#ifndef PISTACHIO_GATEWAY_PEERS_H
#define PISTACHIO_GATEWAY_PEERS_H

#include "adapters/gateway/gateway_state.h"
#include "core/error.h"

/*
 * Up to so many gateways all send to each other. Beyond, each sends to two aggregators,
 * and one of them sends it the sums: the cost of a node is the same in any fleet, and
 * an aggregator's grows with the fleet by one message each way for a node.
 */
#define GATEWAY_MESH_MAX 12
/* So many gateways write the checkpoint, each an object of its own. */
#define CHECKPOINT_SLOTS USAGE_WRITERS

gateway_peers_t *gateway_peers_create(gateway_t *gateway, pd_error_t *err);
void gateway_peers_add_seeds(gateway_peers_t *peers);
void gateway_peers_run(gateway_peers_t *peers, pd_time_t now);
void gateway_peers_announce_config(gateway_peers_t *peers);
void gateway_peers_queue_update(gateway_peers_t *peers, const char *id);
void gateway_peers_note_store_answer(gateway_peers_t *peers);
void gateway_peers_set_leadership(gateway_peers_t *peers, bool held,
				  uint64_t fence);
bool gateway_peers_loads_are_current(gateway_peers_t *peers, pd_time_t now);
bool gateway_peers_is_mesh(gateway_peers_t *peers);
bool gateway_peers_is_top_ranked(gateway_peers_t *peers);
unsigned int gateway_peers_poll_group_size(gateway_peers_t *peers, pd_time_t now);
bool gateway_peers_aggregator_lost_store(const gateway_peers_t *peers);
bool gateway_peers_should_watch_store(gateway_peers_t *peers);
pd_time_t gateway_peers_counts_period(gateway_peers_t *peers, pd_time_t now);
pd_time_t gateway_peers_propagation_delay(gateway_peers_t *peers, pd_time_t now);
int gateway_peers_checkpoint_slot(gateway_peers_t *peers, pd_time_t now);
bool gateway_peers_may_acquire_lease(gateway_peers_t *peers);
const char *gateway_peers_leader_vm(const gateway_peers_t *peers);
bool gateway_peers_has_newer_leader(const gateway_peers_t *peers, uint64_t fence);
bool gateway_peers_leader_is_silent(gateway_peers_t *peers, pd_time_t now);
const char *gateway_peers_incarnation(const gateway_peers_t *peers);
unsigned int gateway_peers_count(gateway_peers_t *peers);
pd_time_t gateway_peers_oldest_start(const gateway_peers_t *peers, pd_time_t now);

#endif
