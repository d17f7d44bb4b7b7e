/* Tests of when a gateway takes itself for cut off from the upstreams of a service. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/forward/reach.h"

#define START (1000 * PD_SEC)
#define SERVING 13

static int setup(void **state)
{
	*state = reach_create();
	return 0;
}

static int teardown(void **state)
{
	reach_destroy(*state);
	return 0;
}

/* Records that requests could not be sent to the upstreams from FIRST on. */
static void fail_upstreams(reach_t *reach, uint32_t first, unsigned int count,
			   pd_time_t now)
{
	for (unsigned int i = 0; i < count; i++)
		reach_record_outcome(reach, first + i, false, now);
}

/* Starts the probes that are due, and returns their number. */
static unsigned int start_probes(reach_t *reach, uint32_t first,
				 unsigned int serving, pd_time_t now)
{
	unsigned int count = reach_take_probes(reach, serving, now);

	for (unsigned int i = 0; i < count; i++)
		reach_record_probe(reach, first + i);
	return count;
}

/* Records COUNT results of probes; returns whether the gateway is cut off then. */
static bool end_probes(reach_t *reach, bool connected, unsigned int count,
		       unsigned int serving)
{
	for (unsigned int i = 0; i < count; i++)
		reach_record_probe_result(reach, connected, serving);
	return reach_is_cut_off(reach);
}

/* Fails COUNT probes; returns whether the gateway is cut off then. */
static bool fail_probes(reach_t *reach, unsigned int count, unsigned int serving)
{
	return end_probes(reach, false, count, serving);
}

/*
 * Runs a round of probes, the first of which fails and the next CONNECTED of which
 * connect. Returns their number.
 */
static unsigned int run_round(reach_t *reach, unsigned int connected,
			      unsigned int serving, pd_time_t now)
{
	unsigned int probes = 0;
	unsigned int count;

	while ((count = start_probes(reach, 100 + probes, serving, now)) != 0) {
		for (unsigned int i = 0; i < count; i++, probes++)
			reach_record_probe_result(reach,
						  probes > 0 && probes <= connected,
						  serving);
	}
	return probes;
}

/* Probes ROUNDS times while the gateway is cut off; CONNECTED of three connect. */
static void probe_cut(reach_t *reach, unsigned int connected,
		      unsigned int rounds, pd_time_t start)
{
	for (unsigned int i = 0; i < rounds && reach_is_cut_off(reach); i++) {
		unsigned int count = start_probes(reach, 1000, SERVING,
						  start + i * 200 * PD_MSEC);

		for (unsigned int k = 0; k < count; k++)
			reach_record_probe_result(reach, k < connected, SERVING);
	}
}

static void test_all_probes_fail(void **state)
{
	reach_t *reach = *state;

	fail_upstreams(reach, 1, 2, START);
	assert_true(reach_is_suspicious(reach));
	assert_int_equal(start_probes(reach, 10, SERVING, START), 2);
	assert_int_equal(start_probes(reach, 20, SERVING, START), 0);
	assert_false(fail_probes(reach, 2, SERVING));
	assert_int_equal(start_probes(reach, 20, SERVING, START), 4);
	assert_false(reach_may_probe(reach, 10));
	assert_true(reach_may_probe(reach, 30));
	assert_true(fail_probes(reach, 4, SERVING));
	assert_true(reach_is_total(reach));
	reach_record_outcome(reach, 1, true, START);
	assert_true(reach_is_cut_off(reach));
	probe_cut(reach, 3, 5, START + PD_SEC);
	assert_false(reach_is_cut_off(reach));
	assert_false(reach_is_suspicious(reach));
}

/* Guards against a gateway that takes many upstreams that are down for a cut. */
static void test_most_probes_connect(void **state)
{
	reach_t *reach = *state;

	fail_upstreams(reach, 1, 9, START);
	assert_int_equal(run_round(reach, 4, SERVING, START), 6);
	assert_false(fail_probes(reach, 9, SERVING));
	/* Requests that still fail begin another round, but not at once. */
	fail_upstreams(reach, 1, 9, START + PD_MSEC);
	assert_int_equal(start_probes(reach, 10, SERVING, START + PD_MSEC), 0);
	assert_int_equal(start_probes(reach, 10, SERVING, START + PD_SEC), 2);
}

/* Guards against a gateway that takes an upstream that is down or silent for a cut. */
static void test_one_upstream_fails(void **state)
{
	reach_t *reach = *state;

	for (int i = 0; i < 100; i++)
		reach_record_outcome(reach, 1, false, START + i * 10 * PD_MSEC);
	assert_int_equal(start_probes(reach, 10, SERVING, START + PD_SEC), 0);
	fail_upstreams(reach, 2, 1, START + PD_SEC);
	assert_int_equal(start_probes(reach, 10, 1, START + PD_SEC), 0);
}

/* Guards against a cut that is found late as each wave of probes hangs. */
static void test_waves_do_not_wait_for_probes_that_hang(void **state)
{
	reach_t *reach = *state;

	fail_upstreams(reach, 1, 2, START);
	assert_int_equal(start_probes(reach, 10, SERVING, START), 2);
	assert_int_equal(start_probes(reach, 20, SERVING, START + 99 * PD_MSEC), 0);
	assert_int_equal(start_probes(reach, 20, SERVING, START + 100 * PD_MSEC),
			 4);
	assert_int_equal(start_probes(reach, 30, SERVING, START + 200 * PD_MSEC),
			 6);
	assert_int_equal(start_probes(reach, 40, SERVING, START + 300 * PD_MSEC),
			 0);
	assert_false(fail_probes(reach, 11, SERVING));
	assert_true(fail_probes(reach, 1, SERVING));
}

/* Guards against an upstream that is down and raises suspicion of all links. */
static void test_one_upstream_that_fails_raises_no_suspicion(void **state)
{
	reach_t *reach = *state;

	for (int i = 0; i < 5; i++)
		reach_record_outcome(reach, 1, false, START + i * PD_SEC);
	assert_false(reach_is_suspicious(reach));
}

/* Guards against one connection that hides that most upstreams are away. */
static void test_few_of_many_upstreams_connect(void **state)
{
	reach_t *reach = *state;

	fail_upstreams(reach, 1, 2, START);
	assert_int_equal(run_round(reach, 3, 90, START), 6);
	assert_false(reach_is_cut_off(reach));
	assert_int_equal(run_round(reach, 2, 90, START + PD_SEC), 12);
	assert_true(reach_is_cut_off(reach));
	assert_false(reach_is_total(reach));
}

/* Guards against a cut that ends with a connection to one of many upstreams. */
static void test_cut_ends_when_most_upstreams_connect(void **state)
{
	reach_t *reach = *state;

	fail_upstreams(reach, 1, 2, START);
	run_round(reach, 0, SERVING, START);
	probe_cut(reach, 1, 50, START + PD_SEC);
	assert_true(reach_is_cut_off(reach));
	assert_false(reach_is_total(reach));
	probe_cut(reach, 3, 10, START + 20 * PD_SEC);
	assert_false(reach_is_cut_off(reach));
}

/* Guards against a cut that ends as probes that hang are not counted. */
static void test_probes_that_hang_count_while_cut_off(void **state)
{
	/* How many of three probes connect; the others hang for two rounds. */
	static const unsigned int connect[] = { 3, 3, 0, 0, 0 };
	reach_t *reach = *state;

	fail_upstreams(reach, 1, 2, START);
	run_round(reach, 0, SERVING, START);
	for (unsigned int i = 0; i < 50; i++) {
		pd_time_t now = START + PD_SEC + i * 200 * PD_MSEC;

		assert_int_equal(start_probes(reach, 1, SERVING, now), 3);
		assert_true(end_probes(reach, true, connect[i % 5], SERVING));
		if (i >= 2)
			assert_true(fail_probes(reach, 3 - connect[(i - 2) % 5],
						SERVING));
	}
}

/* Guards against a cut that ends as those that connect are heard of first. */
static void test_probes_under_way_count_while_cut_off(void **state)
{
	static const unsigned int connect[] = { 3, 3, 2, 1 };
	reach_t *reach = *state;

	fail_upstreams(reach, 1, 2, START);
	assert_int_equal(run_round(reach, 2, SERVING, START), 12);
	for (unsigned int i = 0; i < 4; i++) {
		pd_time_t now = START + PD_SEC + i * 200 * PD_MSEC;

		assert_int_equal(start_probes(reach, 1, SERVING, now), 3);
		assert_true(end_probes(reach, true, connect[i], SERVING));
	}
}

/* Guards against many probes while few of many connections fail. */
static void test_few_of_many_connections_fail(void **state)
{
	reach_t *reach = *state;

	for (uint32_t i = 0; i < 20; i++) {
		pd_time_t now = START + i * 10 * PD_MSEC;

		reach_record_outcome(reach, i % 3, false, now);
		for (uint32_t k = 0; k < 5; k++)
			reach_record_outcome(reach, 50 + 5 * i + k, true, now);
	}
	assert_false(reach_is_suspicious(reach));
	assert_int_equal(start_probes(reach, 100, SERVING, START + PD_SEC), 0);
}

/* Guards against connections before a cut that hide it. */
static void test_connections_before_the_first_failure_do_not_count(void **state)
{
	reach_t *reach = *state;

	for (uint32_t i = 0; i < 50; i++)
		reach_record_outcome(reach, i, true, START);
	fail_upstreams(reach, 60, 2, START + PD_MSEC);
	assert_int_equal(start_probes(reach, 100, SERVING, START + PD_MSEC), 2);
}

static void test_old_failures_do_not_count(void **state)
{
	reach_t *reach = *state;

	fail_upstreams(reach, 1, 1, START);
	fail_upstreams(reach, 2, 1, START + 5 * PD_SEC);
	assert_int_equal(start_probes(reach, 10, SERVING, START + 5 * PD_SEC), 0);
}

static void test_all_of_a_few_upstreams(void **state)
{
	reach_t *reach = *state;

	fail_upstreams(reach, 1, 2, START);
	assert_int_equal(start_probes(reach, 1, 3, START), 2);
	assert_false(fail_probes(reach, 2, 3));
	assert_int_equal(start_probes(reach, 3, 3, START), 1);
	assert_true(fail_probes(reach, 1, 3));
}

static void test_probes_while_cut_off(void **state)
{
	reach_t *reach = *state;

	fail_upstreams(reach, 1, 2, START);
	start_probes(reach, 1, 2, START);
	assert_true(fail_probes(reach, 2, 2));
	assert_int_equal(start_probes(reach, 1, 2, START + 2 * PD_SEC), 2);
	assert_int_equal(start_probes(reach, 1, 2, START + 2 * PD_SEC), 0);
	assert_true(fail_probes(reach, 2, 2));
	assert_int_equal(start_probes(reach, 1, 2, START + 2200 * PD_MSEC), 2);
	assert_int_equal(start_probes(reach, 1, 9, START + 2400 * PD_MSEC), 3);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_all_probes_fail, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_most_probes_connect, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_one_upstream_fails, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_waves_do_not_wait_for_probes_that_hang,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_one_upstream_that_fails_raises_no_suspicion,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_few_of_many_upstreams_connect,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_cut_ends_when_most_upstreams_connect,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_probes_that_hang_count_while_cut_off,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_probes_under_way_count_while_cut_off,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_few_of_many_connections_fail,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_connections_before_the_first_failure_do_not_count,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_old_failures_do_not_count,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_all_of_a_few_upstreams,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_probes_while_cut_off,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
