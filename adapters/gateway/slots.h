/*
 * Slots of plain services that have few of them for many gateways: requests ask one
 * gateway, the dispatcher of the service, for a slot while these are scarce. Without its
 * answer they choose an upstream as usual. core/forward/slot_dispatch.h decides.
 */
#ifndef PISTACHIO_GATEWAY_SLOTS_H
#define PISTACHIO_GATEWAY_SLOTS_H

#include "adapters/gateway/gateway_state.h"
#include "adapters/gateway/request.h"
#include "core/forward/slot_dispatch.h"

/* What happens to a request that asked for a slot. */
struct gateway_slot_hooks {
	/* SHORT_ID: of the upstream granted */
	void (*on_granted)(gateway_request_t *request, uint32_t short_id);
	void (*on_refused)(gateway_request_t *request, pd_time_t retry_after);
	/* the dispatcher doesn't answer */
	void (*on_unanswered)(gateway_request_t *request);
};
typedef struct gateway_slot_hooks gateway_slot_hooks_t;

gateway_slots_t *gateway_slots_create(gateway_t *gateway,
				      const gateway_slot_hooks_t *hooks);
void gateway_slots_destroy(gateway_slots_t *slots);
bool gateway_slots_are_scarce(gateway_slots_t *slots, const char *service);
void gateway_slots_record_shortage(gateway_slots_t *slots, const char *service);
bool gateway_slots_ask(gateway_slots_t *slots, const char *service,
		       slot_request_t *ask, gateway_request_t *request,
		       uint32_t *number);
void gateway_slots_release(gateway_slots_t *slots, uint32_t number, bool rejected);
void gateway_slots_run(gateway_slots_t *slots, pd_time_t now);
void gateway_slots_flush(gateway_slots_t *slots);

/* Messages, from peer_slots.c. */
void gateway_slots_receive_request(gateway_slots_t *slots, uint32_t service,
				   const slot_request_t *request);
void gateway_slots_receive_answer(gateway_slots_t *slots,
				  const slot_answer_t *answer);
void gateway_slots_receive_release(gateway_slots_t *slots, const char *gateway,
				   uint32_t service, uint32_t number,
				   bool rejected);
void gateway_slots_remove_gateway(gateway_slots_t *slots, const char *gateway);

#endif
