/*
 * Checkpoint in the store, for recovery after all gateways are killed at once:
 * the fleet size and what is left of accounts' limits, read by each process
 * start, usage counts, read before a report, and which versions began streams of
 * services with several, read for streams that are not known. Two gateways write it,
 * each to objects of its own of each kind, so that neither a dead writer nor a lost
 * answer delays it. core/forward/usage-notes.md has the argument.
 */
#ifndef PISTACHIO_GATEWAY_CHECKPOINT_H
#define PISTACHIO_GATEWAY_CHECKPOINT_H

#include "adapters/gateway/gateway_state.h"

gateway_checkpoint_t *gateway_checkpoint_create(gateway_t *gateway);
void gateway_checkpoint_run(gateway_checkpoint_t *checkpoint, pd_time_t now);
void gateway_checkpoint_request_counts(gateway_checkpoint_t *checkpoint);
void gateway_checkpoint_request_streams(gateway_checkpoint_t *checkpoint);
bool gateway_checkpoint_is_reading_streams(const gateway_checkpoint_t *checkpoint);
pd_time_t gateway_checkpoint_counts_read_at(const gateway_checkpoint_t *checkpoint);
bool gateway_checkpoint_recovery_has_ended(const gateway_checkpoint_t *checkpoint,
					   pd_time_t now);
void gateway_checkpoint_request_record(gateway_checkpoint_t *checkpoint);
pd_time_t gateway_checkpoint_previous_write_at(const gateway_checkpoint_t *checkpoint);
unsigned int gateway_checkpoint_fleet_size(const gateway_checkpoint_t *checkpoint,
					   pd_time_t now);

#endif
