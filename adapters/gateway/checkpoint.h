/*
 * What outlives a kill of all gateways, in the store: how many they are and what
 * accounts have left of their limits, read by every start; and the counts of usage,
 * read before a report. Two gateways write it, each an object of each sort of its
 * own, so that neither a death nor a lost answer holds it up;
 * core/forward/usage-notes.md has the argument.
 */
#ifndef PISTACHIO_GATEWAY_CHECKPOINT_H
#define PISTACHIO_GATEWAY_CHECKPOINT_H

#include "adapters/gateway/gateway_state.h"

gateway_checkpoint_t *gateway_checkpoint_create(gateway_t *gateway);
void gateway_checkpoint_run(gateway_checkpoint_t *checkpoint, pd_time_t now);
void gateway_checkpoint_request_counts(gateway_checkpoint_t *checkpoint);
pd_time_t gateway_checkpoint_counts_read_at(const gateway_checkpoint_t *checkpoint);
bool gateway_checkpoint_recovery_has_ended(const gateway_checkpoint_t *checkpoint,
					   pd_time_t now);
void gateway_checkpoint_request_record(gateway_checkpoint_t *checkpoint);
pd_time_t gateway_checkpoint_previous_write_at(const gateway_checkpoint_t *checkpoint);
unsigned int gateway_checkpoint_fleet_size(const gateway_checkpoint_t *checkpoint,
					   pd_time_t now);

#endif
