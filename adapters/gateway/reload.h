/* Reloads changed settings while the gateway runs. */
#ifndef PISTACHIO_GATEWAY_RELOAD_H
#define PISTACHIO_GATEWAY_RELOAD_H

#include "adapters/gateway/gateway_state.h"

void gateway_reload(gateway_t *gateway);
void gateway_reload_run(gateway_t *gateway, pd_time_t now);

#endif
