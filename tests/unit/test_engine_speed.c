/* Tests of the estimates of the prefill speed of engines. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <math.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/forward/engine_speed.h"

#define SERVICE "s"
#define STEP_LATENCY \
	(7 * PD_MSEC) /* of an engine's batch step, in addition to the time for the tokens */

static const double engine_rates[] = { 4000, 42800, 900000 };

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

/*
 * Records samples of prompts of 200 to 20,000 tokens, processed alone; SLOWDOWN is
 * above 1 for a faulty engine.
 */
static void record_samples(engine_speeds_t *speeds, GRand *random,
			   unsigned int count, double rate, double slowdown)
{
	for (unsigned int i = 0; i < count; i++) {
		double tokens = g_rand_double_range(random, 200, 20000);
		pd_time_t elapsed = (pd_time_t)(tokens / rate * PD_SEC * slowdown);

		engine_speeds_record_sample(speeds, SERVICE, tokens,
					    elapsed + STEP_LATENCY);
	}
}

static void assert_rate_near(engine_speeds_t *speeds, double rate)
{
	assert_true(engine_speeds_is_known(speeds, SERVICE));
	assert_true(engine_speeds_rate(speeds, SERVICE) > rate * 0.6);
	assert_true(engine_speeds_rate(speeds, SERVICE) < rate * 1.3);
}

/* Returns the expected estimate; the batch step reduces it more for fast engines. */
static double expected_rate(double rate)
{
	return 15000 / (15000 / rate + (double)STEP_LATENCY / PD_SEC);
}

static void test_speed_is_unknown_at_first(void **state)
{
	assert_false(engine_speeds_is_known(*state, SERVICE));
	assert_true(engine_speeds_rate(*state, SERVICE) > 0);
}

/*
 * Guards against a built-in speed: engines of another customer are ten times slower or
 * faster than those that the program was tested with. With a wrong speed the fleet is
 * too small by that factor, and callers are refused until somebody changes a constant.
 */
static void test_any_engine_speed_is_learned(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(engine_rates); i++) {
		engine_speeds_t *speeds = engine_speeds_create();
		GRand *random = g_rand_new_with_seed(7);

		record_samples(speeds, random, 40, engine_rates[i], 1);
		assert_rate_near(speeds, expected_rate(engine_rates[i]));
		g_rand_free(random);
		engine_speeds_destroy(speeds);
	}
}

/*
 * Guards against a mean of the samples: every fourth engine hangs or is eight times
 * slower for a while. By the mean all gateways would take the other engines for slow as
 * well, and order a fleet many times too large.
 */
static void test_few_slow_engines_are_ignored(void **state)
{
	GRand *random = g_rand_new_with_seed(7);

	for (int i = 0; i < 100; i++) {
		record_samples(*state, random, 3, 42800, 1);
		record_samples(*state, random, 1, 42800, i % 2 ? 8 : 1000);
	}
	assert_rate_near(*state, 42800);
	g_rand_free(random);
}

/* The engines are replaced by others that are four times as fast. */
static void test_change_of_speed_is_followed(void **state)
{
	GRand *random = g_rand_new_with_seed(7);

	record_samples(*state, random, 500, 42800, 1);
	record_samples(*state, random, 500, 171200, 1);
	assert_rate_near(*state, expected_rate(171200));
	g_rand_free(random);
}

/*
 * A gateway that has just started sizes the fleet within a second, before it has sent
 * much.
 */
static void test_new_gateway_uses_peers_rate(void **state)
{
	GRand *random = g_rand_new_with_seed(7);

	for (int i = 0; i < 9; i++)
		engine_speeds_record_peer(*state, SERVICE, 42800);
	assert_rate_near(*state, 42800);
	/* Implausible reports change nothing. */
	engine_speeds_record_peer(*state, SERVICE, 0);
	engine_speeds_record_peer(*state, SERVICE, -1);
	engine_speeds_record_peer(*state, SERVICE, 1e300);
	engine_speeds_record_peer(*state, SERVICE, (double)NAN);
	assert_rate_near(*state, 42800);
	/* Enough samples of its own take precedence. */
	record_samples(*state, random, 100, 10000, 1);
	assert_rate_near(*state, 10000);
	g_rand_free(random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_speed_is_unknown_at_first,
						setup, teardown),
		cmocka_unit_test(test_any_engine_speed_is_learned),
		cmocka_unit_test_setup_teardown(test_few_slow_engines_are_ignored,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_change_of_speed_is_followed,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_new_gateway_uses_peers_rate,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
