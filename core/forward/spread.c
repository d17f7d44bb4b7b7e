/*
 * Chooses the receivers of a gossiped update. A change of an upstream reaches
 * hundreds of gateways as each passes it on to a few, and every gateway
 * receives several copies. Traffic between availability zones is paid for, so
 * most copies stay in the sender's zone.
 */
#include "core/forward/spread.h"

#include <stdbool.h>

/* How many of the receivers are in the sender's availability zone. */
#define SPREAD_SAME_ZONE 4
#define SPREAD_ZONES_MAX 32

typedef struct sampler {
	GRand *random;
	unsigned int candidates; /* not offered yet */
	unsigned int remaining;
} sampler_t;

/*
 * Selection sampling: returns whether to take the next candidate; each is
 * equally likely to be taken.
 */
static bool sampler_take(sampler_t *sampler)
{
	bool taken = sampler->remaining &&
		     g_rand_double(sampler->random) * sampler->candidates <
			     sampler->remaining;

	sampler->candidates--;
	sampler->remaining -= taken;
	return taken;
}

typedef struct zone_count {
	uint16_t zone;
	unsigned int gateways;
} zone_count_t;

/* Gateways by zone; more zones than SPREAD_ZONES_MAX are not counted. */
typedef struct zone_counts {
	zone_count_t items[SPREAD_ZONES_MAX];
	unsigned int count;
	bool zones_overflow;
} zone_counts_t;

/* Counts a gateway in a zone. */
static void zone_counts_add(zone_counts_t *counts, uint16_t zone)
{
	unsigned int i = 0;

	while (i < counts->count && counts->items[i].zone != zone)
		i++;
	if (i == SPREAD_ZONES_MAX) {
		counts->zones_overflow = true;
		return;
	}
	counts->items[i].zone = zone;
	counts->items[i].gateways++;
	counts->count = MAX(counts->count, i + 1);
}

/*
 * Returns whether each zone has enough gateways for an update to spread in it
 * from one of them. A smaller zone needs the copies that come from other zones.
 */
static bool zones_are_large(const zone_counts_t *counts)
{
	for (unsigned int i = 0; i < counts->count; i++) {
		if (counts->items[i].gateways <= SPREAD_FANOUT)
			return false;
	}
	return counts->count > 1 && !counts->zones_overflow;
}

/*
 * Chooses receivers among COUNT peers by their availability zones, at random;
 * OWN is the sender's zone. Fills CHOSEN with the indexes of at most
 * SPREAD_FANOUT peers, and returns their number.
 */
unsigned int spread_choose(const uint16_t *zones, unsigned int count,
			   uint16_t own, GRand *random, unsigned int *chosen)
{
	zone_counts_t counts = { .items = { { own, 1 } }, .count = 1 };
	sampler_t any = { random, count, SPREAD_FANOUT };
	sampler_t same_zone = { .random = random, .remaining = SPREAD_SAME_ZONE };
	sampler_t other_zones = { .random = random,
				  .remaining = SPREAD_FANOUT - SPREAD_SAME_ZONE };
	unsigned int chosen_count = 0;
	bool by_zone;

	for (unsigned int i = 0; i < count; i++)
		zone_counts_add(&counts, zones[i]);
	by_zone = zones_are_large(&counts);
	same_zone.candidates = counts.items[0].gateways - 1;
	other_zones.candidates = count - same_zone.candidates;
	for (unsigned int i = 0; i < count; i++) {
		sampler_t *sampler = !by_zone	       ? &any
				     : zones[i] == own ? &same_zone
						       : &other_zones;

		if (sampler_take(sampler))
			chosen[chosen_count++] = i;
	}
	return chosen_count;
}
