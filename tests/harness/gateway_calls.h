/* Requests of callers and of the load balancer to the gateways of a test rig. */
#ifndef PISTACHIO_TEST_GATEWAY_CALLS_H
#define PISTACHIO_TEST_GATEWAY_CALLS_H

#include "tests/harness/gateway_rig.h"

bool rig_has_received(rig_caller_t *caller, const char *text);
bool rig_is_closed(rig_caller_t *caller);
void rig_start_gateway(gateway_rig_t *rig, int number, int start_count);
void rig_start_gateways(gateway_rig_t *rig, int start_count);
void rig_start_fleet(gateway_rig_t *rig);
void rig_cut_off(gateway_rig_t *rig, int number);
bool rig_is_ready(gateway_rig_t *rig, int number);
void rig_send_call_with(rig_caller_t *caller, const char *method,
			const char *path, const char *id, const char *more);
void rig_send_call(rig_caller_t *caller, const char *method, const char *path,
		   const char *id);
rig_caller_t *rig_call_at(gateway_rig_t *rig, int number, const char *method,
			  const char *path, const char *id);

#endif
