/*
 * Tests how many gateways a gossiped update reaches, and with how many copies.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/forward/spread.h"

#define FLEET_MAX 320
#define UPDATES 200
#define SOURCES 3 /* gateways that learn of an update from the store */
#define ZONES_MAX 6

typedef struct fleet {
	uint16_t zones[FLEET_MAX];
	unsigned int size;
	GRand *random;
	unsigned long reached; /* gateways reached, over all updates */
	unsigned long copies;
	unsigned long cross_zone_copies; /* those to another zone */
} fleet_t;

/* Sets up a fleet with SIZES[i] gateways in zone i + 1. */
static void fleet_init(fleet_t *fleet, const unsigned int *sizes)
{
	*fleet = (fleet_t){ .random = g_rand_new_with_seed(11) };
	for (unsigned int zone = 0; zone < ZONES_MAX; zone++) {
		for (unsigned int i = 0; i < sizes[zone]; i++)
			fleet->zones[fleet->size++] = (uint16_t)(zone + 1);
	}
}

/*
 * Passes an update on from one gateway; receivers to which it is new are
 * queued.
 */
static void forward_update(fleet_t *fleet, unsigned int from, bool *known,
			   GQueue *queue)
{
	uint16_t zones[FLEET_MAX];
	unsigned int peers[FLEET_MAX];
	unsigned int chosen[SPREAD_FANOUT];
	unsigned int count = 0;
	unsigned int chosen_count;

	for (unsigned int i = 0; i < fleet->size; i++) {
		if (i == from)
			continue;
		zones[count] = fleet->zones[i];
		peers[count++] = i;
	}
	chosen_count = spread_choose(zones, count, fleet->zones[from],
				     fleet->random, chosen);
	assert_true(chosen_count <= SPREAD_FANOUT);
	for (unsigned int i = 0; i < chosen_count; i++) {
		unsigned int to = peers[chosen[i]];

		fleet->copies++;
		fleet->cross_zone_copies += fleet->zones[to] != fleet->zones[from];
		if (known[to])
			continue;
		known[to] = true;
		g_queue_push_tail(queue, GUINT_TO_POINTER(to));
	}
}

/* Spreads one update from SOURCES gateways until nobody passes it on. */
static void spread_update(fleet_t *fleet)
{
	bool known[FLEET_MAX] = { false };
	GQueue queue = G_QUEUE_INIT;

	for (unsigned int i = 0; i < SOURCES; i++) {
		unsigned int source =
			(unsigned int)g_rand_int_range(fleet->random, 0,
						       (gint32)fleet->size);

		known[source] = true;
		g_queue_push_tail(&queue, GUINT_TO_POINTER(source));
	}
	while (!g_queue_is_empty(&queue))
		forward_update(fleet, GPOINTER_TO_UINT(g_queue_pop_head(&queue)),
			       known, &queue);
	for (unsigned int i = 0; i < fleet->size; i++)
		fleet->reached += known[i];
}

/*
 * Simulates updates in a fleet with zones of these sizes, and checks that
 * nearly all gateways receive each. Fills in FLEET, with the counts.
 */
static void assert_nearly_all_reached(fleet_t *fleet, const unsigned int *sizes)
{
	fleet_init(fleet, sizes);
	for (unsigned int i = 0; i < UPDATES; i++)
		spread_update(fleet);
	g_rand_free(fleet->random);
	assert_true((double)fleet->reached > 0.985 * UPDATES * fleet->size);
}

/* Guards against updates of which most copies cross availability zones. */
static void test_most_copies_stay_in_the_zone(void **state)
{
	static const unsigned int sizes[][ZONES_MAX] = {
		{ 20, 20, 20, 20 },
		{ 55, 49, 55, 46, 47, 43 },
		{ 150, 90, 40, 12, 8, 6 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		fleet_t fleet;

		assert_nearly_all_reached(&fleet, sizes[i]);
		assert_true(fleet.cross_zone_copies * 4 < fleet.copies);
	}
}

/* Guards against a zone of a few gateways that updates seldom reach. */
static void test_a_small_zone_is_reached(void **state)
{
	static const unsigned int sizes[][ZONES_MAX] = {
		{ 40, 40, 1 },
		{ 100, 100, 80, 2, 1, 1 },
		{ 13 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		fleet_t fleet;

		assert_nearly_all_reached(&fleet, sizes[i]);
	}
}

/* Guards against a choice among fewer peers than are to be chosen. */
static void test_few_peers_are_all_chosen(void **state)
{
	static const uint16_t zones[] = { 1, 2, 2 };
	GRand *random = g_rand_new_with_seed(3);
	unsigned int chosen[SPREAD_FANOUT];

	(void)state;
	assert_int_equal(spread_choose(zones, G_N_ELEMENTS(zones), 1, random, chosen),
			 G_N_ELEMENTS(zones));
	assert_int_equal(spread_choose(zones, 0, 1, random, chosen), 0);
	g_rand_free(random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_most_copies_stay_in_the_zone),
		cmocka_unit_test(test_a_small_zone_is_reached),
		cmocka_unit_test(test_few_peers_are_all_chosen),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
