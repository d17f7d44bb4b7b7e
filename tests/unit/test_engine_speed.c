/* What entries learn of the speed at which engines read prompts. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <math.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/forward/engine_speed.h"

#define SERVICE "s"
#define STEP_TIME (7 * PD_MSEC) /* of an engine, whatever it reads */

static const double speeds_played[] = { 4000, 42800, 900000 };

static int setup(void **state)
{
	*state = engine_speeds_create();
	return 0;
}

static int teardown(void **state)
{
	engine_speeds_destroy(*state);
	return 0;
}

/* Prompts of 200 to 20,000 tokens are read alone; SLOWER: by a faulty engine. */
static void read_some(engine_speeds_t *speeds, GRand *random,
		      unsigned int count, double rate, double slower)
{
	for (unsigned int i = 0; i < count; i++) {
		double tokens = g_rand_double_range(random, 200, 20000);
		pd_time_t took = (pd_time_t)(tokens / rate * PD_SEC * slower);

		engine_speeds_seen(speeds, SERVICE, tokens, took + STEP_TIME);
	}
}

static void assert_about(engine_speeds_t *speeds, double rate)
{
	assert_true(engine_speeds_known(speeds, SERVICE));
	assert_true(engine_speeds_rate(speeds, SERVICE) > rate * 0.6);
	assert_true(engine_speeds_rate(speeds, SERVICE) < rate * 1.3);
}

/* A short step of an engine counts for more before a fast one. */
static double seen_rate(double rate)
{
	return 15000 / (15000 / rate + (double)STEP_TIME / PD_SEC);
}

static void test_nothing_is_known_at_first(void **state)
{
	assert_false(engine_speeds_known(*state, SERVICE));
	assert_true(engine_speeds_rate(*state, SERVICE) > 0);
}

/*
 * Engines of another customer are ten times slower or faster than those that the
 * program was tried with. With a wrong figure the fleet is too small by that
 * factor, and callers are turned away until somebody changes a constant.
 */
static void test_engines_of_any_speed_are_learned(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(speeds_played); i++) {
		engine_speeds_t *speeds = engine_speeds_create();
		GRand *random = g_rand_new_with_seed(7);

		read_some(speeds, random, 40, speeds_played[i], 1);
		assert_about(speeds, seen_rate(speeds_played[i]));
		g_rand_free(random);
		engine_speeds_destroy(speeds);
	}
}

/*
 * Every fourth engine hangs or works eight times slower for a while. A mean of
 * what is seen would have all entries take the sound ones for slow as well, and
 * order a fleet many times too large.
 */
static void test_a_few_slow_engines_teach_nothing(void **state)
{
	GRand *random = g_rand_new_with_seed(7);

	for (int i = 0; i < 100; i++) {
		read_some(*state, random, 3, 42800, 1);
		read_some(*state, random, 1, 42800, i % 2 ? 8 : 1000);
	}
	assert_about(*state, 42800);
	g_rand_free(random);
}

/* The engines are replaced by others that are four times as fast. */
static void test_a_change_is_followed(void **state)
{
	GRand *random = g_rand_new_with_seed(7);

	read_some(*state, random, 500, 42800, 1);
	read_some(*state, random, 500, 171200, 1);
	assert_about(*state, seen_rate(171200));
	g_rand_free(random);
}

/* An entry that starts sizes the fleet within a second, before it sent much. */
static void test_peers_teach_one_that_starts(void **state)
{
	GRand *random = g_rand_new_with_seed(7);

	for (int i = 0; i < 9; i++)
		engine_speeds_told(*state, SERVICE, 42800);
	assert_about(*state, 42800);
	/* A peer that makes no sense changes nothing. */
	engine_speeds_told(*state, SERVICE, 0);
	engine_speeds_told(*state, SERVICE, -1);
	engine_speeds_told(*state, SERVICE, 1e300);
	engine_speeds_told(*state, SERVICE, (double)NAN);
	assert_about(*state, 42800);
	/* Enough of its own counts for more. */
	read_some(*state, random, 100, 10000, 1);
	assert_about(*state, 10000);
	g_rand_free(random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_nothing_is_known_at_first,
						setup, teardown),
		cmocka_unit_test(test_engines_of_any_speed_are_learned),
		cmocka_unit_test_setup_teardown(test_a_few_slow_engines_teach_nothing,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_change_is_followed,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_peers_teach_one_that_starts,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
