/*
 * Where a gateway's configuration came from, and which newer one it has heard of. A request
 * that is refused under an old configuration is only understood with these.
 */
#ifndef PISTACHIO_GATEWAY_CONFIG_ORIGIN_H
#define PISTACHIO_GATEWAY_CONFIG_ORIGIN_H

#include "adapters/gateway/gateway_state.h"

void gateway_config_record_applied(gateway_t *gateway, const char *source,
				   uint64_t before, size_t bytes);
void gateway_config_record_read(gateway_t *gateway);
void gateway_config_record_heard(gateway_t *gateway, uint64_t version,
				 const char *from);
void gateway_config_record_fetch(gateway_t *gateway, const char *from);
void gateway_config_log_refusal(gateway_t *gateway, const char *reason);
void gateway_config_run(gateway_t *gateway, pd_time_t now);

#endif
