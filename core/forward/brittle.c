/*
 * brittle-notes.md argues the bound on rejections.
 *
 * An even share of the slots for each gateway, in whole requests. What is left over, and
 * all slots where there are fewer of them than gateways, is drawn for a short time: by a
 * hash of the gateway, the upstream and the time, so no messages are needed. Loads that
 * peers report are too old for this, as requests to plain services take milliseconds.
 */
#include "core/forward/brittle.h"

#include <glib.h>

#include "core/hash.h"

/* The part of the slots that are left over which is drawn, on average. */
#define DRAWN_FRACTION 0.6
#define DRAW_PERIOD (500 * PD_MSEC)
/* All gateways pause so long after a rejection, and then go on one after the other. */
#define PAUSE_MIN (500 * PD_MSEC)
#define PAUSE_SPREAD PD_SEC
/* In larger fleets a rejection reaches all gateways later. */
#define PAUSE_SPREAD_PER_GATEWAY (10 * PD_MSEC)

/* Returns a number from 0 to 1 for a gateway and an upstream, in a period of time. */
static double draw(uint64_t upstream_hash, const brittle_sharer_t *sharer,
		   pd_time_t now)
{
	uint64_t hash = hash_number(
		upstream_hash ^
		hash_number(sharer->hash + (uint64_t)(now / DRAW_PERIOD)));

	return (double)(hash >> 11) / (double)((uint64_t)1 << 53);
}

/*
 * Returns how many requests a gateway may have at an upstream with SLOTS. The shares of
 * all gateways sum up to the slots at most, on average where some are drawn.
 */
unsigned int brittle_share(unsigned int slots, uint64_t upstream_hash,
			   const brittle_sharer_t *sharer, pd_time_t now)
{
	unsigned int gateways = sharer->gateway_count ? sharer->gateway_count : 1;
	unsigned int share = slots / gateways;
	double drawn = DRAWN_FRACTION * (slots % gateways) / gateways;

	return share + (draw(upstream_hash, sharer, now) < drawn);
}

/*
 * Returns how long a gateway sends nothing to an upstream that has just rejected a
 * request of any gateway. The first one that goes on shows the others whether it has room.
 */
pd_time_t brittle_pause(uint64_t upstream_hash, const brittle_sharer_t *sharer,
			pd_time_t now)
{
	pd_time_t spread = MAX(PAUSE_SPREAD,
			       sharer->gateway_count * PAUSE_SPREAD_PER_GATEWAY);

	return PAUSE_MIN +
	       (pd_time_t)(draw(upstream_hash, sharer, now) * (double)spread);
}
