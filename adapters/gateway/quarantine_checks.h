/*
 * Finds out which upstreams ended while they ran requests, and ends the requests that
 * are held for that. core/forward/quarantine-notes.md says what counts as an end.
 */
#ifndef PISTACHIO_GATEWAY_QUARANTINE_CHECKS_H
#define PISTACHIO_GATEWAY_QUARANTINE_CHECKS_H

#include "adapters/gateway/request.h"

void gateway_quarantine_check_broken(gateway_t *gateway,
				     forward_upstream_t *upstream,
				     const quarantine_suspects_t *suspects);
void gateway_quarantine_watch_silent(gateway_t *gateway,
				     forward_upstream_t *upstream,
				     pd_time_t connected_at,
				     const quarantine_suspects_t *suspects);
void gateway_quarantine_record_ends(gateway_t *gateway,
				    const forward_upstream_t *upstream,
				    const quarantine_suspects_t *suspects);
bool gateway_upstream_is_replaced(const gateway_t *gateway,
				  const forward_upstream_t *gone);
pd_time_t gateway_quarantine_settle_time(const gateway_t *gateway);
void gateway_quarantine_run(gateway_t *gateway, pd_time_t now);

#endif
