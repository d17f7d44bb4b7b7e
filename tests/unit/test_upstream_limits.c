/* Tests of the rate limits of upstreams: what is known of them, and permits. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/forward/choice.h"
#include "core/forward/upstream_limits.h"

#define START (1000 * PD_SEC)
#define ID 7u
#define RATE 4.0
#define TTL (1500 * PD_MSEC) /* of a permit at RATE */

static int setup(void **state)
{
	*state = upstream_limits_create();
	return 0;
}

static int teardown(void **state)
{
	upstream_limits_destroy(*state);
	return 0;
}

/* Grants permits for a minute after START, requesting WANTED every 100 ms. */
static unsigned int grant_for_a_minute(upstream_limits_t *limits,
				       unsigned int wanted, pd_time_t from)
{
	unsigned int granted = 0;

	for (int i = 0; i < 600; i++)
		granted += upstream_limits_grant(limits, ID, wanted,
						 from + i * 100 * PD_MSEC);
	return granted;
}

static void test_newest_response_counts(void **state)
{
	upstream_limits_t *limits = *state;
	const upstream_limit_t older = { ID, true, 9, 2 * PD_SEC, 0, false };
	const upstream_limit_t newer = { ID, true, 5, 500 * PD_MSEC, 0, false };
	upstream_limit_t known = { .short_id = ID };

	assert_true(upstream_limits_are_empty(limits));
	assert_false(upstream_limits_record_response(limits, ID, false, 0, START));
	assert_true(upstream_limits_record_response(limits, ID, true, RATE,
						    START - PD_SEC));
	assert_false(upstream_limits_merge(limits, &older, START));
	assert_true(upstream_limits_merge(limits, &newer, START));
	assert_true(upstream_limits_get(limits, START, &known));
	assert_true(known.limited && known.rate == 5);
	assert_true(upstream_limits_record_response(limits, ID, false, 0, START));
	assert_false(upstream_limits_merge(limits, &newer, START));
	assert_false(upstream_limits_is_limited(limits, ID));
}

/* Guards against a limit that has ended and is learned anew from an old message. */
static void test_ended_limit_is_remembered_for_a_while(void **state)
{
	upstream_limits_t *limits = *state;
	const upstream_limit_t old = { ID, true, 5, 9 * PD_SEC, 0, false };

	upstream_limits_record_response(limits, ID, true, RATE, START);
	upstream_limits_record_response(limits, ID, false, 0, START + 1);
	upstream_limits_expire(limits, START + 8 * PD_SEC);
	assert_false(upstream_limits_merge(limits, &old, START + 8 * PD_SEC));
	upstream_limits_expire(limits, START + 11 * PD_SEC);
	assert_true(upstream_limits_are_empty(limits));
}

static void test_request_needs_a_permit(void **state)
{
	upstream_limits_t *limits = *state;

	assert_true(upstream_limits_use_permit(limits, ID, START));
	upstream_limits_record_response(limits, ID, true, RATE, START);
	assert_false(upstream_limits_use_permit(limits, ID, START));
	upstream_limits_add_permits(limits, "s", ID, 2, START, START);
	assert_true(upstream_limits_use_permit(limits, ID, START));
	assert_true(upstream_limits_has_permit(limits, ID, START + TTL - 1));
	assert_false(upstream_limits_has_permit(limits, ID, START + TTL));
}

/* Guards against grants that a cut held up and that are used long after it. */
static void test_late_grant_adds_no_permits(void **state)
{
	upstream_limits_t *limits = *state;

	upstream_limits_record_response(limits, ID, true, RATE, START);
	upstream_limits_add_permits(limits, "s", ID, 2, START, START + TTL);
	assert_false(upstream_limits_has_permit(limits, ID, START + TTL));
	upstream_limits_add_permits(limits, "s", ID, 2, START + 1, START);
	assert_false(upstream_limits_has_permit(limits, ID, START));
}

static void test_permits_are_issued_at_the_rate(void **state)
{
	upstream_limits_t *limits = *state;
	pd_time_t from = START + UPSTREAM_LIMITS_HANDOVER_TIME;
	unsigned int granted;

	upstream_limits_record_response(limits, ID, true, RATE, START);
	assert_int_equal(upstream_limits_grant(limits, ID, 9, START), 0);
	upstream_limits_set_issuing(limits, 1, START);
	assert_int_equal(upstream_limits_grant(limits, ID, 9, from - 1), 0);
	granted = grant_for_a_minute(limits, 9, from);
	assert_in_range(granted, (uintmax_t)(60 * RATE * 0.9),
			(uintmax_t)(60 * RATE));
	/* Half of the fleet gets half. */
	upstream_limits_set_issuing(limits, 0.5, from + 60 * PD_SEC);
	granted = grant_for_a_minute(limits, 9, from + 60 * PD_SEC);
	assert_in_range(granted, (uintmax_t)(30 * RATE * 0.9),
			(uintmax_t)(30 * RATE) + 2);
}

/* Guards against two gateways that issue the whole rate while they change over. */
static void test_new_issuer_waits(void **state)
{
	upstream_limits_t *limits = *state;
	pd_time_t now = START + 60 * PD_SEC;

	upstream_limits_record_response(limits, ID, true, RATE, START);
	upstream_limits_set_issuing(limits, 1, START);
	upstream_limits_set_issuing(limits, 0, START + 30 * PD_SEC);
	assert_int_equal(upstream_limits_grant(limits, ID, 9, now), 0);
	upstream_limits_set_issuing(limits, 1, now);
	now += UPSTREAM_LIMITS_HANDOVER_TIME;
	assert_int_equal(upstream_limits_grant(limits, ID, 9, now), 0);
	assert_int_equal(upstream_limits_grant(limits, ID, 9, now + PD_SEC), 1);
}

/* Guards against permits that are requested for callers that do not ask. */
static void test_permits_are_requested_by_demand(void **state)
{
	upstream_limits_t *limits = *state;
	const upstream_permit_need_t need = { 0, 250 * PD_MSEC };
	upstream_limit_t candidates[2] = { { .short_id = 1, .limited = true },
					   { .short_id = 2, .limited = true } };

	upstream_limits_plan_requests(limits, "s", candidates, 2, &need, START);
	assert_int_equal(candidates[0].permits + candidates[1].permits, 0);
	for (int i = 0; i < 100; i++)
		upstream_limits_record_demand(limits, "s",
					      START + i * 50 * PD_MSEC);
	upstream_limits_plan_requests(limits, "s", candidates, 2, &need,
				      START + 5 * PD_SEC);
	/* 20 a second for a quarter of a second, and a quarter more. */
	assert_in_range(candidates[0].permits + candidates[1].permits, 6, 8);
	assert_in_range(candidates[0].permits, 3, 4);
	candidates[0].permits = 9; /* held */
	upstream_limits_plan_requests(limits, "s", candidates, 2, &need,
				      START + 5 * PD_SEC);
	assert_int_equal(candidates[0].permits + candidates[1].permits, 0);
}

static void test_wait_follows_the_rate_of_permits(void **state)
{
	upstream_limits_t *limits = *state;

	assert_int_equal(upstream_limits_estimate_wait(limits, "s", 1, 4, START),
			 500 * PD_MSEC);
	upstream_limits_record_response(limits, ID, true, RATE, START);
	for (int i = 0; i < 100; i++) {
		pd_time_t now = START + i * 100 * PD_MSEC;

		upstream_limits_add_permits(limits, "s", ID, 1, now, now);
	}
	assert_in_range(upstream_limits_estimate_wait(limits, "s", 1, 4,
						      START + 10 * PD_SEC),
			180 * PD_MSEC, 240 * PD_MSEC);
}

/* Registers an upstream of service "s". */
static forward_upstream_t *add_upstream(forward_upstreams_t *set, const char *id)
{
	const forward_registration_t registration = { .id = id,
						      .service = "s",
						      .address = "10.0.0.1",
						      .port = 80,
						      .zone = "a",
						      .slots = 4,
						      .stage = FORWARD_SERVING,
						      .revision = 1 };

	forward_upstreams_apply(set, &registration);
	return forward_upstreams_find(set, id);
}

/* Guards against requests to a limited upstream without a permit. */
static void test_choice_needs_a_permit(void **state)
{
	upstream_limits_t *limits = *state;
	static forward_call_t call;
	forward_criteria_t criteria = { .service = "s",
					.zone = "a",
					.call = &call,
					.overcommit = 1,
					.limits = limits };
	forward_upstreams_t *set = forward_upstreams_create();
	forward_upstream_t *one = add_upstream(set, "one");
	forward_upstream_t *two = add_upstream(set, "two");
	uint32_t id = forward_upstream_short_id(one);
	forward_pick_t pick;

	upstream_limits_record_response(limits, id, true, RATE, START);
	assert_int_equal(forward_upstreams_choose(set, &criteria, START, &pick),
			 FORWARD_CHOSEN);
	assert_ptr_equal(pick.upstream, two);
	two->full_until = START + PD_SEC;
	assert_int_equal(forward_upstreams_choose(set, &criteria, START, &pick),
			 FORWARD_ALL_FULL);
	upstream_limits_record_response(limits, forward_upstream_short_id(two),
					true, RATE, START);
	two->full_until = 0;
	assert_int_equal(forward_upstreams_choose(set, &criteria, START, &pick),
			 FORWARD_ALL_LIMITED);
	upstream_limits_add_permits(limits, "s", id, 1, START, START);
	criteria.sample_size = 1;
	criteria.random = g_rand_new_with_seed(1);
	assert_int_equal(forward_upstreams_choose(set, &criteria, START, &pick),
			 FORWARD_CHOSEN);
	assert_ptr_equal(pick.upstream, one);
	g_rand_free(criteria.random);
	forward_upstreams_destroy(set);
}

static void test_lost_capacity(void **state)
{
	(void)state;
	assert_true(upstream_limits_lost_capacity(5, 10) == 0.5);
	assert_true(upstream_limits_lost_capacity(10, 5) == 0);
	assert_true(upstream_limits_lost_capacity(0, 0) == 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_newest_response_counts,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_ended_limit_is_remembered_for_a_while,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_request_needs_a_permit,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_late_grant_adds_no_permits,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_permits_are_issued_at_the_rate,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_new_issuer_waits, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_permits_are_requested_by_demand,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_wait_follows_the_rate_of_permits,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_choice_needs_a_permit,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_lost_capacity, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
