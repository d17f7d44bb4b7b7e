/*
 * Keeps the claims' writes of all entries together under what the platform's
 * store takes. Each entry keeps to its share, so no message is needed for it.
 */
#ifndef PISTACHIO_CLAIM_PACE_H
#define PISTACHIO_CLAIM_PACE_H

#include <stdbool.h>

#include "ports/clock.h"

typedef struct claim_pace {
	double rate; /* writes a second that this entry may make */
	double tokens; /* writes it may make now */
	pd_time_t refilled_at;
} claim_pace_t;

void claim_pace_init(claim_pace_t *pace);
void claim_pace_set_entries(claim_pace_t *pace, unsigned int entries);
bool claim_pace_try_take(claim_pace_t *pace, pd_time_t now);

#endif
