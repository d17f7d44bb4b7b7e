/*
 * Keeps the fleet's record in the store: read by every gateway that starts, and
 * written by one at a time while what it says changes. core/forward/usage-notes.md has
 * the argument for the counts in it.
 */
#ifndef PISTACHIO_GATEWAY_RECORDER_H
#define PISTACHIO_GATEWAY_RECORDER_H

#include "adapters/gateway/gateway_state.h"

gateway_recorder_t *gateway_recorder_create(gateway_t *gateway);
void gateway_recorder_run(gateway_recorder_t *recorder, pd_time_t now);
void gateway_recorder_read(gateway_recorder_t *recorder);
pd_time_t gateway_recorder_known_at(const gateway_recorder_t *recorder);
bool gateway_recorder_is_settled(const gateway_recorder_t *recorder, pd_time_t now);
unsigned int gateway_recorder_gateways(const gateway_recorder_t *recorder,
				       pd_time_t now);

#endif
