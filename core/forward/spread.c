/*
 * The load: a change of an upstream reaches hundreds of gateways as each passes it on
 * to a few, and everybody receives several copies. Bytes between availability zones
 * are paid for, so most copies stay in the zone of the sender.
 */
#include "core/forward/spread.h"

#include <stdbool.h>

/* Of the receivers, so many are in the sender's availability zone. */
#define SPREAD_NEAR 4
#define SPREAD_ZONES_MAX 32

typedef struct draw {
	GRand *random;
	unsigned int candidates; /* that are still to come */
	unsigned int wanted;
} draw_t;

/* Returns whether a candidate is drawn; each is as likely to be. */
static bool draw_next(draw_t *draw)
{
	bool drawn = draw->wanted &&
		     g_rand_double(draw->random) * draw->candidates < draw->wanted;

	draw->candidates--;
	draw->wanted -= drawn;
	return drawn;
}

typedef struct zone_count {
	uint16_t zone;
	unsigned int gateways;
} zone_count_t;

/* Gateways by zone; more zones than fit are not told apart. */
typedef struct zone_counts {
	zone_count_t items[SPREAD_ZONES_MAX];
	unsigned int count;
	bool overflow;
} zone_counts_t;

static void zone_counts_add(zone_counts_t *counts, uint16_t zone)
{
	unsigned int i = 0;

	while (i < counts->count && counts->items[i].zone != zone)
		i++;
	if (i == SPREAD_ZONES_MAX) {
		counts->overflow = true;
		return;
	}
	counts->items[i].zone = zone;
	counts->items[i].gateways++;
	counts->count = MAX(counts->count, i + 1);
}

/*
 * Returns whether each zone has so many gateways that one which is reached reaches
 * the others. A smaller one needs the copies that come from other zones.
 */
static bool zones_are_large(const zone_counts_t *counts)
{
	for (unsigned int i = 0; i < counts->count; i++) {
		if (counts->items[i].gateways <= SPREAD_FANOUT)
			return false;
	}
	return counts->count > 1 && !counts->overflow;
}

/*
 * Chooses receivers among COUNT peers by their availability zones, at random. Fills in
 * the places of at most SPREAD_FANOUT, and returns how many those are.
 */
unsigned int spread_choose(const uint16_t *zones, unsigned int count,
			   uint16_t own, GRand *random, unsigned int *chosen)
{
	zone_counts_t counts = { .items = { { own, 1 } }, .count = 1 };
	draw_t any = { random, count, SPREAD_FANOUT };
	draw_t near = { .random = random, .wanted = SPREAD_NEAR };
	draw_t far = { .random = random, .wanted = SPREAD_FANOUT - SPREAD_NEAR };
	unsigned int found = 0;
	bool by_zone;

	for (unsigned int i = 0; i < count; i++)
		zone_counts_add(&counts, zones[i]);
	by_zone = zones_are_large(&counts);
	near.candidates = counts.items[0].gateways - 1;
	far.candidates = count - near.candidates;
	for (unsigned int i = 0; i < count; i++) {
		draw_t *draw = !by_zone ? &any : zones[i] == own ? &near : &far;

		if (draw_next(draw))
			chosen[found++] = i;
	}
	return found;
}
