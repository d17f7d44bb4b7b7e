/* Tests of when a gateway takes itself for cut off from all upstreams. */
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
		reach_record_failure(reach, first + i, now);
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

/* Fails COUNT probes; returns whether the gateway is cut off then. */
static bool fail_probes(reach_t *reach, unsigned int count, unsigned int serving)
{
	for (unsigned int i = 0; i < count; i++)
		reach_record_probe_failure(reach, serving);
	return reach_is_cut_off(reach);
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
	assert_true(reach_record_connected(reach));
	assert_false(reach_is_cut_off(reach));
	assert_false(reach_record_connected(reach));
}

/* Guards against a gateway that takes many upstreams that are down for a cut. */
static void test_one_probe_connects(void **state)
{
	reach_t *reach = *state;

	fail_upstreams(reach, 1, 9, START);
	assert_int_equal(start_probes(reach, 10, SERVING, START), 2);
	assert_false(fail_probes(reach, 1, SERVING));
	reach_record_connected(reach);
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
		reach_record_failure(reach, 1, START + i * 10 * PD_MSEC);
	assert_int_equal(start_probes(reach, 10, SERVING, START + PD_SEC), 0);
	fail_upstreams(reach, 2, 1, START + PD_SEC);
	assert_int_equal(start_probes(reach, 10, 1, START + PD_SEC), 0);
}

static void test_old_failures_do_not_count(void **state)
{
	reach_t *reach = *state;

	fail_upstreams(reach, 1, 1, START);
	fail_upstreams(reach, 2, 1, START + 4 * PD_SEC);
	assert_int_equal(start_probes(reach, 10, SERVING, START + 4 * PD_SEC), 0);
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
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_all_probes_fail, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_one_probe_connects, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_one_upstream_fails, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_old_failures_do_not_count,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_all_of_a_few_upstreams,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_probes_while_cut_off,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
