/*
 * Keeps the checkpoint in the store: read by every gateway that starts, and
 * written by one at a time while what it says changes. core/forward/usage-notes.md has
 * the argument for the counts in it.
 */
#ifndef PISTACHIO_GATEWAY_CHECKPOINT_H
#define PISTACHIO_GATEWAY_CHECKPOINT_H

#include "adapters/gateway/gateway_state.h"

gateway_checkpoint_t *gateway_checkpoint_create(gateway_t *gateway);
void gateway_checkpoint_run(gateway_checkpoint_t *checkpoint, pd_time_t now);
void gateway_checkpoint_read(gateway_checkpoint_t *checkpoint);
pd_time_t gateway_checkpoint_known_at(const gateway_checkpoint_t *checkpoint);
bool gateway_checkpoint_is_settled(const gateway_checkpoint_t *checkpoint,
				   pd_time_t now);
unsigned int gateway_checkpoint_gateways(const gateway_checkpoint_t *checkpoint,
					 pd_time_t now);

#endif
