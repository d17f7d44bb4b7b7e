/*
 * Tests how many calls a fleet makes in an outage of the store, and how soon it
 * detects the end.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/forward/store_poll.h"

#define STEP (10 * PD_MSEC)
#define OUTAGE (4500 * PD_MSEC)
/* of a call to a store that does not answer */
#define CALL_TIMEOUT (1600 * PD_MSEC)
#define FLEET_MAX 320
#define TRIALS 50

typedef struct gateway {
	unsigned int failures;
	pd_time_t next_at;
} gateway_t;

typedef struct outage {
	unsigned int calls;
	pd_time_t detection_delay; /* after the end of the outage */
} outage_t;

/* Returns a random pause of one of SIZE gateways. */
static pd_time_t random_pause(GRand *random, unsigned int size, unsigned int failures)
{
	pd_time_t pause = store_poll_pause(size, failures);

	return (pd_time_t)(g_rand_double(random) * 2 * (double)pause);
}

/*
 * Simulates an outage in which calls time out; the first call after it is
 * answered.
 */
static outage_t simulate_outage(GRand *random, unsigned int size)
{
	gateway_t gateways[FLEET_MAX] = { 0 };
	outage_t outage = { 0 };

	for (unsigned int i = 0; i < size; i++)
		gateways[i].next_at = random_pause(random, size, 0);
	for (pd_time_t now = 0;; now += STEP) {
		for (unsigned int i = 0; i < size; i++) {
			gateway_t *gateway = &gateways[i];

			if (now < gateway->next_at)
				continue;
			outage.calls++;
			if (now >= OUTAGE) {
				outage.detection_delay = now - OUTAGE;
				return outage;
			}
			gateway->next_at =
				now + CALL_TIMEOUT +
				random_pause(random, size, ++gateway->failures);
		}
	}
}

/*
 * Guards against an outage in which every gateway of a large fleet calls the
 * store.
 */
static void test_an_outage_causes_few_calls(void **state)
{
	static const unsigned int sizes[] = { 20, 83, 295, FLEET_MAX };
	GRand *random = g_rand_new_with_seed(5);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		pd_time_t total_delay = 0;

		for (unsigned int trial = 0; trial < TRIALS; trial++) {
			outage_t outage = simulate_outage(random, sizes[i]);

			assert_true(outage.calls < 150);
			total_delay += outage.detection_delay;
		}
		assert_true(total_delay / TRIALS < 150 * PD_MSEC);
	}
	g_rand_free(random);
}

/*
 * Guards against a gateway that is cut off from its peers and waits for them.
 */
static void test_an_isolated_gateway_retries_soon(void **state)
{
	(void)state;
	assert_int_equal(store_poll_pause(1, 0), 150 * PD_MSEC);
	assert_int_equal(store_poll_pause(1, 9), 1200 * PD_MSEC);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_an_outage_causes_few_calls),
		cmocka_unit_test(test_an_isolated_gateway_retries_soon),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
