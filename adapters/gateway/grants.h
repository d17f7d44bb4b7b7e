/*
 * Grants for requests to brittle upstreams: asks the gateway that issues them, and issues
 * those of the upstreams that this gateway is in charge of.
 * core/forward/brittle-notes.md has the bounds.
 */
#ifndef PISTACHIO_GATEWAY_GRANTS_H
#define PISTACHIO_GATEWAY_GRANTS_H

#include "adapters/gateway/gateway_state.h"
#include "adapters/gateway/request.h"
#include "core/forward/brittle.h"

/* What happens to a request that asked; may end it. */
struct gateway_grant_hooks {
	void (*on_granted)(gateway_request_t *request);
	void (*on_denied)(gateway_request_t *request, pd_time_t retry_after);
};

typedef struct gateway_grant_hooks gateway_grant_hooks_t;

gateway_grants_t *gateway_grants_create(gateway_t *gateway,
					const gateway_grant_hooks_t *hooks);
void gateway_grants_destroy(gateway_grants_t *grants);
bool gateway_grants_may_ask(const gateway_grants_t *grants, pd_time_t now);
uint32_t gateway_grants_ask(gateway_grants_t *grants,
			    const forward_upstream_t *upstream,
			    pd_time_t time_left, gateway_request_t *request);
bool gateway_grants_is_fresh(const gateway_grants_t *grants, uint32_t number,
			     pd_time_t now);
void gateway_grants_report(gateway_grants_t *grants, uint32_t number,
			   brittle_outcome_t outcome);
void gateway_grants_receive_ask(gateway_grants_t *grants, const brittle_ask_t *ask);
void gateway_grants_receive_answer(gateway_grants_t *grants,
				   const brittle_answer_t *answer);
void gateway_grants_receive_report(gateway_grants_t *grants,
				   const char *gateway, uint32_t short_id,
				   uint32_t number, brittle_outcome_t outcome);
void gateway_grants_remove_gateway(gateway_grants_t *grants, const char *gateway);
void gateway_grants_run(gateway_grants_t *grants, pd_time_t now);
void gateway_grants_flush(gateway_grants_t *grants);

#endif
