/* Tests of how many upstreams are ordered, and that none is released too early. */
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
#define ENGINE_RATE 117000.0 /* work per second that keeps one engine busy */

typedef struct rig {
	forward_config_t *config;
	forward_service_t *service;
	forward_upstreams_t *upstreams;
	scale_plan_t *plan;
	scale_zone_t zones[SCALE_ZONES_MAX];
	unsigned int count;
	uint64_t revision;
	pd_time_t now;
	double lost; /* upstreams, to rate limits */
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
	rig->service->autoscaled = true;
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

static void add_upstreams(rig_t *rig, const char *zone, unsigned int number,
			  bool reclaimable)
{
	char id[32];
	forward_registration_t registration = { .id = id,
						.service = "s",
						.address = "127.0.0.1",
						.port = 1,
						.zone = zone,
						.slots = 96,
						.reclaimable = reclaimable };

	for (unsigned int i = 0; i < number; i++) {
		registration.revision = ++rig->revision;
		snprintf(id, sizeof(id), "u%u", (unsigned int)rig->revision);
		forward_upstreams_apply(rig->upstreams, &registration);
	}
}

/*
 * Simulates TIME with LOAD engines' worth of work that is sent, and REFUSED that is
 * refused.
 */
static void simulate_with_refusals(rig_t *rig, pd_time_t time, double load,
				   double refused)
{
	const scale_demand_t demand = { load * ENGINE_RATE, refused * ENGINE_RATE,
					ENGINE_RATE, rig->lost };

	for (pd_time_t end = rig->now + time; rig->now < end; rig->now += TICK)
		rig->count = scale_plan_make(rig->plan, rig->service,
					     rig->upstreams, &demand, rig->now,
					     rig->zones);
}

/* Simulates TIME with LOAD engines' worth of work, none of which is refused. */
static void simulate(rig_t *rig, pd_time_t time, double load)
{
	simulate_with_refusals(rig, time, load, 0);
}

static unsigned int on_demand_total(const rig_t *rig)
{
	unsigned int sum = 0;

	for (unsigned int i = 0; i < rig->count; i++)
		sum += rig->zones[i].on_demand;
	return sum;
}

static unsigned int reclaimable_total(const rig_t *rig)
{
	unsigned int sum = 0;

	for (unsigned int i = 0; i < rig->count; i++)
		sum += rig->zones[i].reclaimable;
	return sum;
}

/*
 * Guards against a plan for an incomplete fleet: after a start upstreams register one
 * by one. If the plan were made with the first few, the others would be released before
 * any caller comes.
 */
static void test_no_plan_while_upstreams_register(void **state)
{
	rig_t *rig = *state;

	add_upstreams(rig, "a", 1, false);
	simulate(rig, PD_SEC, 0);
	assert_int_equal(rig->count, 0);
	add_upstreams(rig, "b", 4, false);
	simulate(rig, PD_SEC, 0);
	assert_int_equal(rig->count, 0);
	simulate(rig, 2 * PD_SEC, 0);
	assert_int_equal(rig->count, 3);
}

/*
 * Guards against releasing on-demand upstreams when their replacements are ordered:
 * reclaimable ones take seconds to start, and callers would have too few upstreams
 * until then.
 */
static void test_on_demand_ones_stay_until_others_serve(void **state)
{
	rig_t *rig = *state;
	unsigned int before;

	add_upstreams(rig, "a", 4, false);
	add_upstreams(rig, "b", 4, false);
	add_upstreams(rig, "c", 4, false);
	simulate(rig, 4 * PD_SEC, 0);
	before = on_demand_total(rig);
	assert_true(reclaimable_total(rig) >= 4);
	assert_true(before >= 5);
	add_upstreams(rig, "a", 4, true);
	add_upstreams(rig, "b", 4, true);
	simulate(rig, 4 * PD_SEC, 0);
	assert_true(on_demand_total(rig) < before);
}

/* A whole zone of reclaimable upstreams is reclaimed, and no others are available. */
static void test_on_demand_ones_fill_a_shortage(void **state)
{
	rig_t *rig = *state;
	unsigned int before;

	add_upstreams(rig, "a", 3, false);
	add_upstreams(rig, "b", 3, true);
	add_upstreams(rig, "c", 3, true);
	simulate(rig, 10 * PD_SEC, 6);
	before = on_demand_total(rig);
	forward_upstreams_begin_listing(rig->upstreams);
	add_upstreams(rig, "a", 3, false);
	forward_upstreams_end_listing(rig->upstreams, rig->revision, rig->now);
	scale_plan_mark_refused(rig->plan, "b", rig->now);
	simulate(rig, PD_SEC, 6);
	assert_true(on_demand_total(rig) > before);
}

/*
 * Guards against releasing and ordering upstreams when the load fluctuates by the
 * second.
 */
static void test_noise_changes_nothing(void **state)
{
	rig_t *rig = *state;
	unsigned int changes = 0;
	scale_zone_t before[SCALE_ZONES_MAX];

	add_upstreams(rig, "a", 6, false);
	add_upstreams(rig, "b", 6, true);
	simulate(rig, 60 * PD_SEC, 5); /* until the fleet is sized by the load */
	for (int i = 0; i < 60; i++) {
		memcpy(before, rig->zones, sizeof(before));
		simulate(rig, PD_SEC, i % 2 ? 4.5 : 5);
		for (unsigned int k = 0; k < rig->count; k++)
			changes += before[k].on_demand != rig->zones[k].on_demand ||
				   before[k].reclaimable !=
					   rig->zones[k].reclaimable;
	}
	assert_int_equal(changes, 0);
}

/*
 * Without a shortage nearly all upstreams can be reclaimable ones, at a fifth of the
 * price.
 */
static void test_few_on_demand_ones_without_shortage(void **state)
{
	rig_t *rig = *state;

	add_upstreams(rig, "a", 4, false);
	add_upstreams(rig, "b", 4, false);
	add_upstreams(rig, "c", 4, false);
	simulate(rig, 4 * PD_SEC, 0);
	add_upstreams(rig, "a", 3, true);
	add_upstreams(rig, "b", 3, true);
	add_upstreams(rig, "c", 3, true);
	simulate(rig, 4 * PD_SEC, 5);
	assert_true(on_demand_total(rig) >= 2);
	assert_true(on_demand_total(rig) * 3 <= reclaimable_total(rig));
}

/*
 * Guards against counting on the remaining zones when one zone is reclaimed and no
 * others are available: they are likely to be reclaimed too, which would leave callers
 * with too few upstreams for seconds.
 */
static void test_shortage_does_not_count_on_remaining_ones(void **state)
{
	rig_t *rig = *state;

	add_upstreams(rig, "a", 2, false);
	add_upstreams(rig, "b", 5, true);
	add_upstreams(rig, "c", 5, true);
	simulate(rig, 20 * PD_SEC, 5);
	scale_plan_mark_refused(rig->plan, "a", rig->now);
	simulate(rig, PD_SEC, 5);
	assert_true(on_demand_total(rig) >= 7);
}

/* Reclaims every reclaimable upstream, and has all zones refuse orders of others. */
static void reclaim_all_and_refuse(rig_t *rig, unsigned int on_demand_each)
{
	static const char *const zones[] = { "a", "b", "c" };

	forward_upstreams_begin_listing(rig->upstreams);
	for (size_t i = 0; i < G_N_ELEMENTS(zones); i++) {
		add_upstreams(rig, zones[i], on_demand_each, false);
		scale_plan_mark_refused(rig->plan, zones[i], rig->now);
	}
	forward_upstreams_end_listing(rig->upstreams, rig->revision, rig->now);
}

/* Guards against refused upstreams that use up the maximum of a zone. */
static void test_refused_ones_leave_room_for_on_demand_ones(void **state)
{
	rig_t *rig = *state;

	add_upstreams(rig, "a", 1, false);
	add_upstreams(rig, "b", 1, false);
	add_upstreams(rig, "c", 1, false);
	add_upstreams(rig, "a", 5, true);
	add_upstreams(rig, "b", 5, true);
	add_upstreams(rig, "c", 5, true);
	simulate(rig, 20 * PD_SEC, 9);
	assert_in_range(on_demand_total(rig), 3, 4);
	reclaim_all_and_refuse(rig, 1);
	simulate(rig, PD_SEC, 9);
	assert_in_range(on_demand_total(rig), 9, 13);
	/*
	 * Some are still ordered, as only a granted order shows that the shortage is
	 * over.
	 */
	assert_true(reclaimable_total(rig) >= 3);
}

/* Guards against cancelling an order of upstreams that are about to serve. */
static void test_granted_ones_are_kept(void **state)
{
	rig_t *rig = *state;
	unsigned int before;

	rig->service->boot_time = 4 * PD_SEC;
	add_upstreams(rig, "a", 1, false);
	add_upstreams(rig, "b", 1, false);
	add_upstreams(rig, "c", 1, false);
	simulate(rig, 20 * PD_SEC, 9);
	before = reclaimable_total(rig);
	reclaim_all_and_refuse(rig, 1);
	for (unsigned int i = 0; i < rig->count; i++)
		scale_plan_mark_granted(rig->plan, rig->zones[i].zone, 5, rig->now);
	simulate(rig, PD_SEC, 9);
	assert_int_equal(reclaimable_total(rig), before);
}

/*
 * Guards against a new leader that takes the fleet it finds for the intended one: all
 * gateways are killed in the middle of a shortage, when only a few upstreams are left.
 * On-demand ones would be released while callers are refused.
 */
static void test_new_leader_continues_with_planned_load(void **state)
{
	rig_t *rig = *state;

	scale_plan_restore(rig->plan, 6);
	add_upstreams(rig, "a", 2, false);
	add_upstreams(rig, "b", 2, false);
	scale_plan_mark_refused(rig->plan, "c", rig->now + 4 * PD_SEC);
	simulate(rig, 5 * PD_SEC, 1);
	assert_true(on_demand_total(rig) >= 9);
	assert_true(scale_plan_basis(rig->plan)->planned_load >= 6);
	assert_true(scale_plan_basis(rig->plan)->shortage);
}

/* Guards against restoring an implausible load. */
static void test_invalid_load_is_not_restored(void **state)
{
	rig_t *rig = *state;

	scale_plan_restore(rig->plan, -3);
	scale_plan_restore(rig->plan, INFINITY);
	add_upstreams(rig, "a", 4, false);
	simulate(rig, 5 * PD_SEC, 0);
	assert_true(scale_plan_basis(rig->plan)->planned_load <= 4);
}

static void test_zones_keep_their_bounds(void **state)
{
	rig_t *rig = *state;

	add_upstreams(rig, "a", 3, false);
	simulate(rig, 60 * PD_SEC, 100);
	for (unsigned int i = 0; i < rig->count; i++) {
		unsigned int sum =
			rig->zones[i].on_demand + rig->zones[i].reclaimable;

		assert_true(sum >= 1 && sum <= 6);
	}
}

/*
 * Guards against sizing the fleet only by the work that it gets done: a fleet that is
 * too small refuses requests, and would stay too small.
 */
static void test_refused_work_is_load(void **state)
{
	rig_t *rig = *state;
	unsigned int before;

	add_upstreams(rig, "a", 4, false);
	simulate(rig, 20 * PD_SEC, 3);
	before = on_demand_total(rig) + reclaimable_total(rig);
	simulate_with_refusals(rig, 5 * PD_SEC, 3, 3);
	assert_true(on_demand_total(rig) + reclaimable_total(rig) >= before + 4);
}

/*
 * Guards against a fleet that stays as small as it is while most of its upstreams take
 * fewer requests than usual.
 */
static void test_limited_capacity_is_replaced(void **state)
{
	rig_t *rig = *state;
	unsigned int before;

	add_upstreams(rig, "a", 2, true);
	add_upstreams(rig, "b", 2, true);
	simulate(rig, 30 * PD_SEC, 2);
	before = on_demand_total(rig) + reclaimable_total(rig);
	rig->lost = 2.4;
	simulate(rig, PD_SEC, 2);
	assert_int_equal(on_demand_total(rig) + reclaimable_total(rig), before + 3);
	/* What was ordered is not released at once. */
	rig->lost = 0;
	simulate(rig, 10 * PD_SEC, 2);
	assert_int_equal(on_demand_total(rig) + reclaimable_total(rig), before + 3);
	simulate(rig, 30 * PD_SEC, 2);
	assert_int_equal(on_demand_total(rig) + reclaimable_total(rig), before);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_no_plan_while_upstreams_register,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_on_demand_ones_stay_until_others_serve,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_on_demand_ones_fill_a_shortage,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_noise_changes_nothing,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_invalid_load_is_not_restored,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_new_leader_continues_with_planned_load,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_shortage_does_not_count_on_remaining_ones,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_few_on_demand_ones_without_shortage,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_zones_keep_their_bounds,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_refused_ones_leave_room_for_on_demand_ones,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_granted_ones_are_kept,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_refused_work_is_load,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_limited_capacity_is_replaced,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
