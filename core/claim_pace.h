/*
 * Rate limit of the claims' writes: keeps those of all entries together below
 * what the platform's store accepts. Each entry limits itself to its share, so
 * no coordination is needed.
 */
#ifndef PISTACHIO_CLAIM_PACE_H
#define PISTACHIO_CLAIM_PACE_H

#include <stdbool.h>

#include "ports/clock.h"

typedef struct claim_pace {
	double rate; /* writes per second for this entry */
	double tokens; /* writes allowed now */
	pd_time_t refilled_at;
} claim_pace_t;

void claim_pace_init(claim_pace_t *pace);
void claim_pace_set_entries(claim_pace_t *pace, unsigned int entries);
bool claim_pace_try_take(claim_pace_t *pace, pd_time_t now);

#endif
