/* How long a request is held by a gateway that has just started. */
#ifndef PISTACHIO_START_WAIT_H
#define PISTACHIO_START_WAIT_H

#include <stdbool.h>

#include "ports/clock.h"

/* A caller that is refused by a start is told to come back after so long. */
#define START_RETRY_AFTER (500 * PD_MSEC)

typedef struct start_wait {
	pd_time_t started_at;
	bool store_failed; /* a call for what the start lacks was not answered */
} start_wait_t;

pd_time_t start_wait_until(const start_wait_t *start, pd_time_t arrived,
			   pd_time_t patience);

#endif
