/*
 * Requests that a gateway may have at an upstream that fails when it has to reject too
 * many, so that all gateways together rarely exceed its slots.
 */
#ifndef PISTACHIO_FORWARD_BRITTLE_H
#define PISTACHIO_FORWARD_BRITTLE_H

#include "ports/clock.h"

/* The gateway that shares, and the fleet that it is in. */
typedef struct brittle_sharer {
	uint64_t hash; /* of the gateway's name */
	unsigned int gateway_count;
} brittle_sharer_t;

unsigned int brittle_share(unsigned int slots, uint64_t upstream_hash,
			   const brittle_sharer_t *sharer, pd_time_t now);

#endif
