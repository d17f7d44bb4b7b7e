/*
 * Gossip between gateways: membership, the newest configuration, changes of
 * upstreams, and counters that are only meaningful as a sum over all gateways.
 * peers-notes.md describes the messages, their receivers and their cost.
 */
#ifndef PISTACHIO_GATEWAY_PEERS_H
#define PISTACHIO_GATEWAY_PEERS_H

#include "adapters/gateway/gateway_state.h"
#include "core/error.h"
#include "core/forward/brittle.h"
#include "core/forward/slot_dispatch.h"

/*
 * Up to this many gateways form a full mesh. In larger fleets each gateway
 * sends its state to two aggregators and receives sums from one of them: a
 * node's cost does not depend on the fleet size, and an aggregator's grows by
 * one message each way per node.
 */
#define GATEWAY_MESH_MAX 12
/* Number of gateways that write the checkpoint, each to its own object. */
#define CHECKPOINT_SLOTS USAGE_WRITERS

gateway_peers_t *gateway_peers_create(gateway_t *gateway, pd_error_t *err);
void gateway_peers_add_seeds(gateway_peers_t *peers);
void gateway_peers_run(gateway_peers_t *peers, pd_time_t now);
void gateway_peers_announce_config(gateway_peers_t *peers);
void gateway_peers_queue_update(gateway_peers_t *peers, const char *id);
bool gateway_peers_has_relay(const gateway_peers_t *peers);
char *gateway_peers_pick_relay(const gateway_peers_t *peers);
void gateway_peers_limits_changed(gateway_peers_t *peers);
uint64_t gateway_peers_grant_candidates(gateway_peers_t *peers);
pd_time_t gateway_peers_issues_grants_since(gateway_peers_t *peers);
const char *gateway_peers_grant_issuer(gateway_peers_t *peers,
				       uint64_t upstream_hash);
double gateway_peers_fleet_share(gateway_peers_t *peers);
void gateway_peers_send_grant_ask(gateway_peers_t *peers, const char *address,
				  const brittle_ask_t *ask);
void gateway_peers_send_grant_answer(gateway_peers_t *peers, const char *address,
				     const brittle_answer_t *answer);
void gateway_peers_send_grant_report(gateway_peers_t *peers,
				     const char *address, uint32_t short_id,
				     uint32_t number, brittle_outcome_t outcome);
void gateway_peers_spread_brittle(gateway_peers_t *peers);
void gateway_peers_send_quarantine(gateway_peers_t *peers);
void gateway_peers_spread_rollouts(gateway_peers_t *peers);
const char *gateway_peers_address(const gateway_peers_t *peers);
const char *gateway_peers_slot_dispatcher(gateway_peers_t *peers,
					  const char *service);
void gateway_peers_send_slot_request(gateway_peers_t *peers,
				     const char *address, uint32_t service,
				     const slot_request_t *request);
void gateway_peers_send_slot_answer(gateway_peers_t *peers,
				    const slot_answer_t *answer);
void gateway_peers_send_slot_release(gateway_peers_t *peers,
				     const char *address, uint32_t service,
				     uint32_t number, bool rejected);
void gateway_peers_flush_slots(gateway_peers_t *peers);
void gateway_peers_send_streams(gateway_peers_t *peers);
void gateway_peers_answer_stream_queries(gateway_peers_t *peers);
void gateway_peers_query_stream(gateway_peers_t *peers, uint64_t attempt,
				const char *service);
void gateway_peers_record_store_answer(gateway_peers_t *peers);
pd_time_t gateway_peers_store_answer_age(const gateway_peers_t *peers,
					 pd_time_t now);
void gateway_peers_set_leadership(gateway_peers_t *peers, bool is_leader,
				  uint64_t fence);
bool gateway_peers_loads_are_current(gateway_peers_t *peers, pd_time_t now);
bool gateway_peers_is_mesh(gateway_peers_t *peers);
bool gateway_peers_is_store_watcher(gateway_peers_t *peers);
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
