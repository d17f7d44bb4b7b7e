/*
 * What a gateway may send to an upstream that fails when it has to reject too many
 * requests: how many at a time, so that all gateways together rarely exceed its slots,
 * and how long none after it has rejected one.
 */
#ifndef PISTACHIO_FORWARD_BRITTLE_H
#define PISTACHIO_FORWARD_BRITTLE_H

#include "ports/clock.h"

/* The gateway that shares, and the fleet that it is in. */
typedef struct brittle_sharer {
	uint64_t hash; /* of the gateway's name */
	unsigned int gateway_count;
} brittle_sharer_t;

pd_time_t brittle_pause(uint64_t upstream_hash, const brittle_sharer_t *sharer,
			pd_time_t now);
unsigned int brittle_share(unsigned int slots, uint64_t upstream_hash,
			   const brittle_sharer_t *sharer, pd_time_t now);

#endif
