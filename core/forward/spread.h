/*
 * Chooses the peers that an update is gossiped to, in a fleet too large to send
 * it to all.
 */
#ifndef PISTACHIO_SPREAD_H
#define PISTACHIO_SPREAD_H

#include <glib.h>
#include <stdint.h>

/* Receivers of an update from each gateway to which it is new. */
#define SPREAD_FANOUT 5

unsigned int spread_choose(const uint16_t *zones, unsigned int count,
			   uint16_t own, GRand *random, unsigned int *chosen);

#endif
