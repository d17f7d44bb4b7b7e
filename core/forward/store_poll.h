/* How often a gateway asks the store while nobody in the fleet hears it. */
#ifndef PISTACHIO_STORE_POLL_H
#define PISTACHIO_STORE_POLL_H

#include "ports/clock.h"

pd_time_t store_poll_pause(unsigned int gateways, unsigned int failures);

#endif
