/*
 * Restores which services ran one software version only, as the checkpoint names them. A
 * version may have served since its last write and be gone again, so the store's history
 * since then is read first.
 */
#ifndef PISTACHIO_GATEWAY_SOLE_VERSIONS_H
#define PISTACHIO_GATEWAY_SOLE_VERSIONS_H

#include "adapters/gateway/checkpoint_record.h"
#include "adapters/gateway/gateway_state.h"

typedef struct sole_versions sole_versions_t;

sole_versions_t *sole_versions_create(gateway_t *gateway);
void sole_versions_restore(sole_versions_t *versions,
			   const checkpoint_record_t *record);
void sole_versions_run(sole_versions_t *versions, pd_time_t now);

#endif
