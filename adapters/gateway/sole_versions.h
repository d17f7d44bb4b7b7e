/*
 * Which services ran one software version only. After a kill of all gateways the checkpoint
 * names them. Another version may serve since its last write, or since this gateway last
 * read the store, and may be gone again, so the history since then is read before an only
 * version is taken for that of a stream.
 */
#ifndef PISTACHIO_GATEWAY_SOLE_VERSIONS_H
#define PISTACHIO_GATEWAY_SOLE_VERSIONS_H

#include "adapters/gateway/checkpoint_record.h"
#include "adapters/gateway/gateway_state.h"
#include "core/forward/registration_history.h"

sole_versions_t *sole_versions_create(gateway_t *gateway);
void sole_versions_destroy(sole_versions_t *versions);
void sole_versions_record_listing(sole_versions_t *versions, uint64_t revision);
void sole_versions_record_changes(sole_versions_t *versions, uint64_t from,
				  uint64_t to);
void sole_versions_lose_history(sole_versions_t *versions);
bool sole_versions_request(sole_versions_t *versions, const char *service);
bool sole_versions_are_current(const sole_versions_t *versions, pd_time_t since);
bool sole_versions_is_reading(const sole_versions_t *versions, pd_time_t since);
void sole_versions_restore(sole_versions_t *versions,
			   const checkpoint_record_t *record);
void sole_versions_restore_first(sole_versions_t *versions, uint64_t revision);
void sole_versions_run(sole_versions_t *versions, pd_time_t now);

#endif
