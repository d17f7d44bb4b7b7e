/* How many upstreams are ordered, and that none is let go too early. */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "core/forward/scale_plan.h"

#define START (1000 * PD_SEC)
#define TICK (500 * PD_MSEC)
#define ENGINE 117000.0 /* work that keeps one engine busy */

typedef struct rig {
	forward_config_t *config;
	forward_service_t *service;
	forward_upstreams_t *upstreams;
	scale_plan_t *plan;
	scale_zone_t zones[SCALE_ZONES_MAX];
	unsigned int count;
	uint64_t revision;
	pd_time_t now;
} rig_t;

static void add_zone(forward_service_t *service, const char *name, double price)
{
	forward_zone_price_t zone = { g_strdup(name), price };

	g_array_append_val(service->zone_prices, zone);
}

static int setup(void **state)
{
	rig_t *rig = g_new0(rig_t, 1);

	rig->config = forward_config_create();
	rig->service = forward_config_add_service(rig->config);
	rig->service->name = g_strdup("s");
	rig->service->scaled = true;
	rig->service->zone_min = 1;
	rig->service->zone_max = 6;
	rig->service->engine_slots = 96;
	add_zone(rig->service, "a", 1);
	add_zone(rig->service, "b", 0.8);
	add_zone(rig->service, "c", 1.2);
	rig->upstreams = forward_upstreams_create();
	rig->plan = scale_plan_create();
	rig->now = START;
	*state = rig;
	return 0;
}

static int teardown(void **state)
{
	rig_t *rig = *state;

	scale_plan_destroy(rig->plan);
	forward_upstreams_destroy(rig->upstreams);
	forward_config_unref(rig->config);
	g_free(rig);
	return 0;
}

static void start(rig_t *rig, const char *zone, unsigned int number, bool reclaimable)
{
	char id[32];
	forward_listing_t listing = { .id = id,
				      .service = "s",
				      .address = "127.0.0.1",
				      .port = 1,
				      .zone = zone,
				      .slots = 96,
				      .reclaimable = reclaimable };

	for (unsigned int i = 0; i < number; i++) {
		listing.revision = ++rig->revision;
		snprintf(id, sizeof(id), "u%u", (unsigned int)rig->revision);
		forward_upstreams_apply(rig->upstreams, &listing);
	}
}

/* Lets time pass with a load that is sent, and one that is turned away. */
static void pass_short(rig_t *rig, pd_time_t time, double load, double away)
{
	const scale_demand_t demand = { load * ENGINE, away * ENGINE, ENGINE };

	for (pd_time_t end = rig->now + time; rig->now < end; rig->now += TICK)
		rig->count = scale_plan_make(rig->plan, rig->service,
					     rig->upstreams, &demand, rig->now,
					     rig->zones);
}

/* Lets time pass with a load, in engines' worth of work. */
static void pass(rig_t *rig, pd_time_t time, double load)
{
	pass_short(rig, time, load, 0);
}

static unsigned int lasting(const rig_t *rig)
{
	unsigned int sum = 0;

	for (unsigned int i = 0; i < rig->count; i++)
		sum += rig->zones[i].on_demand;
	return sum;
}

static unsigned int reclaimable(const rig_t *rig)
{
	unsigned int sum = 0;

	for (unsigned int i = 0; i < rig->count; i++)
		sum += rig->zones[i].reclaimable;
	return sum;
}

/*
 * The fleet lists itself one by one after a start. Planned on the first few, the
 * others would be let go before any caller comes.
 */
static void test_no_plan_while_the_fleet_lists_itself(void **state)
{
	rig_t *rig = *state;

	start(rig, "a", 1, false);
	pass(rig, PD_SEC, 0);
	assert_int_equal(rig->count, 0);
	start(rig, "b", 4, false);
	pass(rig, PD_SEC, 0);
	assert_int_equal(rig->count, 0);
	pass(rig, 2 * PD_SEC, 0);
	assert_int_equal(rig->count, 3);
}

/*
 * Reclaimable upstreams take seconds to start. Lasting ones let go at the order
 * leave callers with too few until then.
 */
static void test_lasting_ones_stay_until_others_serve(void **state)
{
	rig_t *rig = *state;
	unsigned int before;

	start(rig, "a", 4, false);
	start(rig, "b", 4, false);
	start(rig, "c", 4, false);
	pass(rig, 4 * PD_SEC, 0);
	before = lasting(rig);
	assert_true(reclaimable(rig) >= 4);
	assert_true(before >= 5);
	start(rig, "a", 4, true);
	start(rig, "b", 4, true);
	pass(rig, 4 * PD_SEC, 0);
	assert_true(lasting(rig) < before);
}

/* A whole zone of reclaimable upstreams goes, and no others are to be had. */
static void test_lasting_ones_fill_a_shortage(void **state)
{
	rig_t *rig = *state;
	unsigned int before;

	start(rig, "a", 3, false);
	start(rig, "b", 3, true);
	start(rig, "c", 3, true);
	pass(rig, 10 * PD_SEC, 6);
	before = lasting(rig);
	forward_upstreams_begin_listing(rig->upstreams);
	start(rig, "a", 3, false);
	forward_upstreams_end_listing(rig->upstreams, rig->revision, rig->now);
	scale_plan_mark_refused(rig->plan, "b", rig->now);
	pass(rig, PD_SEC, 6);
	assert_true(lasting(rig) > before);
}

/* Load that swings from second to second moves no upstream about. */
static void test_noise_changes_nothing(void **state)
{
	rig_t *rig = *state;
	unsigned int changes = 0;
	scale_zone_t before[SCALE_ZONES_MAX];

	start(rig, "a", 6, false);
	start(rig, "b", 6, true);
	pass(rig, 60 * PD_SEC, 5); /* until it is sized by the load */
	for (int i = 0; i < 60; i++) {
		memcpy(before, rig->zones, sizeof(before));
		pass(rig, PD_SEC, i % 2 ? 4.5 : 5);
		for (unsigned int k = 0; k < rig->count; k++)
			changes += before[k].on_demand != rig->zones[k].on_demand ||
				   before[k].reclaimable !=
					   rig->zones[k].reclaimable;
	}
	assert_int_equal(changes, 0);
}

/* Nearly all of a calm fleet can be reclaimed, at a fifth of the price. */
static void test_few_lasting_ones_while_none_is_refused(void **state)
{
	rig_t *rig = *state;

	start(rig, "a", 4, false);
	start(rig, "b", 4, false);
	start(rig, "c", 4, false);
	pass(rig, 4 * PD_SEC, 0);
	start(rig, "a", 3, true);
	start(rig, "b", 3, true);
	start(rig, "c", 3, true);
	pass(rig, 4 * PD_SEC, 5);
	assert_true(lasting(rig) >= 2);
	assert_true(lasting(rig) * 3 <= reclaimable(rig));
}

/*
 * One zone is reclaimed and no others are to be had. The zones that are left are
 * likely to go too; counted on, they leave callers with too few for seconds.
 */
static void test_a_shortage_does_not_count_on_those_left(void **state)
{
	rig_t *rig = *state;

	start(rig, "a", 2, false);
	start(rig, "b", 5, true);
	start(rig, "c", 5, true);
	pass(rig, 20 * PD_SEC, 5);
	scale_plan_mark_refused(rig->plan, "a", rig->now);
	pass(rig, PD_SEC, 5);
	assert_true(lasting(rig) >= 7);
}

/* Has every reclaimable upstream leave, and all zones refuse others. */
static void reclaim_all(rig_t *rig, unsigned int lasting_each)
{
	static const char *const zones[] = { "a", "b", "c" };

	forward_upstreams_begin_listing(rig->upstreams);
	for (size_t i = 0; i < G_N_ELEMENTS(zones); i++) {
		start(rig, zones[i], lasting_each, false);
		scale_plan_mark_refused(rig->plan, zones[i], rig->now);
	}
	forward_upstreams_end_listing(rig->upstreams, rig->revision, rig->now);
}

/* Guards against refused upstreams that take up what a zone may have at most. */
static void test_refused_ones_leave_room_for_lasting_ones(void **state)
{
	rig_t *rig = *state;

	start(rig, "a", 1, false);
	start(rig, "b", 1, false);
	start(rig, "c", 1, false);
	start(rig, "a", 5, true);
	start(rig, "b", 5, true);
	start(rig, "c", 5, true);
	pass(rig, 20 * PD_SEC, 9);
	assert_in_range(lasting(rig), 3, 4);
	reclaim_all(rig, 1);
	pass(rig, PD_SEC, 9);
	assert_in_range(lasting(rig), 9, 13);
	/* Some are asked for still, as nothing else tells when there are any. */
	assert_true(reclaimable(rig) >= 3);
}

/* Guards against taking back an order for upstreams that are about to serve. */
static void test_granted_ones_keep_their_place(void **state)
{
	rig_t *rig = *state;
	unsigned int before;

	rig->service->boot_time = 4 * PD_SEC;
	start(rig, "a", 1, false);
	start(rig, "b", 1, false);
	start(rig, "c", 1, false);
	pass(rig, 20 * PD_SEC, 9);
	before = reclaimable(rig);
	reclaim_all(rig, 1);
	for (unsigned int i = 0; i < rig->count; i++)
		scale_plan_mark_granted(rig->plan, rig->zones[i].zone, 5, rig->now);
	pass(rig, PD_SEC, 9);
	assert_int_equal(reclaimable(rig), before);
}

/*
 * All gateways are killed in the middle of a shortage. Whoever holds the duties
 * next finds a few upstreams; taken for the fleet that was meant, lasting ones
 * would be let go while callers are turned away.
 */
static void test_a_new_holder_goes_on_with_what_was_planned(void **state)
{
	rig_t *rig = *state;

	scale_plan_restore(rig->plan, 6);
	start(rig, "a", 2, false);
	start(rig, "b", 2, false);
	scale_plan_mark_refused(rig->plan, "c", rig->now + 4 * PD_SEC);
	pass(rig, 5 * PD_SEC, 1);
	assert_true(lasting(rig) >= 9);
	assert_true(scale_plan_basis(rig->plan)->planned_load >= 6);
	assert_true(scale_plan_basis(rig->plan)->shortage);
}

/* A note that makes no sense changes nothing. */
static void test_a_need_that_is_none_is_not_restored(void **state)
{
	rig_t *rig = *state;

	scale_plan_restore(rig->plan, -3);
	scale_plan_restore(rig->plan, INFINITY);
	start(rig, "a", 4, false);
	pass(rig, 5 * PD_SEC, 0);
	assert_true(scale_plan_basis(rig->plan)->planned_load <= 4);
}

static void test_zones_keep_their_bounds(void **state)
{
	rig_t *rig = *state;

	start(rig, "a", 3, false);
	pass(rig, 60 * PD_SEC, 100);
	for (unsigned int i = 0; i < rig->count; i++) {
		unsigned int sum =
			rig->zones[i].on_demand + rig->zones[i].reclaimable;

		assert_true(sum >= 1 && sum <= 6);
	}
}

/*
 * A fleet that is too small turns requests away. Sized by what it gets done, it
 * stays as it is, and callers go on being refused.
 */
static void test_what_is_turned_away_is_load(void **state)
{
	rig_t *rig = *state;
	unsigned int before;

	start(rig, "a", 4, false);
	pass(rig, 20 * PD_SEC, 3);
	before = lasting(rig) + reclaimable(rig);
	pass_short(rig, 5 * PD_SEC, 3, 3);
	assert_true(lasting(rig) + reclaimable(rig) >= before + 4);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_no_plan_while_the_fleet_lists_itself,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_lasting_ones_stay_until_others_serve,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_lasting_ones_fill_a_shortage,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_noise_changes_nothing,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_need_that_is_none_is_not_restored,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_new_holder_goes_on_with_what_was_planned,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_shortage_does_not_count_on_those_left,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_few_lasting_ones_while_none_is_refused,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_zones_keep_their_bounds,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_refused_ones_leave_room_for_lasting_ones,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_granted_ones_keep_their_place,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_what_is_turned_away_is_load,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
