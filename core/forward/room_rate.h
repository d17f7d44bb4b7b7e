/*
 * How fast a service takes in work while it is short of room, and when a request that is
 * refused can expect room. It answers callers that all come back at the same time.
 */
#ifndef PISTACHIO_ROOM_RATE_H
#define PISTACHIO_ROOM_RATE_H

#include <stdbool.h>

#include "ports/clock.h"

typedef struct room_rate {
	double admitted; /* work lately, decayed */
	double refused; /* the same */
	pd_time_t decayed_at;
} room_rate_t;

void room_rate_record(room_rate_t *rate, bool admitted, double work, pd_time_t now);
pd_time_t room_rate_retry_after(const room_rate_t *rate, pd_time_t time_left,
				double draw);

#endif
