/*
 * How often a gateway calls the store while no gateway gets an answer from it.
 */
#ifndef PISTACHIO_STORE_POLL_H
#define PISTACHIO_STORE_POLL_H

#include "ports/clock.h"

pd_time_t store_poll_pause(unsigned int group_size, unsigned int failures);

#endif
