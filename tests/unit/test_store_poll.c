/* What an outage of the store costs a fleet in calls, and when its end is noticed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/forward/store_poll.h"

#define STEP (10 * PD_MSEC)
#define OUTAGE (4500 * PD_MSEC)
#define ANSWER_MAX (1600 * PD_MSEC) /* a call to a silent store takes so long */
#define FLEET_MAX 320
#define TRIALS 50

typedef struct gateway {
	unsigned int failures;
	pd_time_t next_at;
} gateway_t;

typedef struct outage {
	unsigned int calls;
	pd_time_t noticed_after; /* its end */
} outage_t;

static pd_time_t draw(GRand *random, unsigned int size, unsigned int failures)
{
	pd_time_t pause = store_poll_pause(size, failures);

	return (pd_time_t)(g_rand_double(random) * 2 * (double)pause);
}

/* Plays an outage in which calls hang; the first call after it is answered. */
static outage_t play_outage(GRand *random, unsigned int size)
{
	gateway_t gateways[FLEET_MAX] = { 0 };
	outage_t outage = { 0 };

	for (unsigned int i = 0; i < size; i++)
		gateways[i].next_at = draw(random, size, 0);
	for (pd_time_t now = 0;; now += STEP) {
		for (unsigned int i = 0; i < size; i++) {
			gateway_t *gateway = &gateways[i];

			if (now < gateway->next_at)
				continue;
			outage.calls++;
			if (now >= OUTAGE) {
				outage.noticed_after = now - OUTAGE;
				return outage;
			}
			gateway->next_at = now + ANSWER_MAX +
					   draw(random, size, ++gateway->failures);
		}
	}
}

/* Guards against an outage in which every gateway of a large fleet asks. */
static void test_an_outage_costs_a_fleet_few_calls(void **state)
{
	static const unsigned int sizes[] = { 20, 83, 295, FLEET_MAX };
	GRand *random = g_rand_new_with_seed(5);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		pd_time_t noticed = 0;

		for (unsigned int trial = 0; trial < TRIALS; trial++) {
			outage_t outage = play_outage(random, sizes[i]);

			assert_true(outage.calls < 150);
			noticed += outage.noticed_after;
		}
		assert_true(noticed / TRIALS < 150 * PD_MSEC);
	}
	g_rand_free(random);
}

/* Guards against a gateway that is cut off from its peers and waits for them. */
static void test_a_gateway_alone_asks_soon(void **state)
{
	(void)state;
	assert_int_equal(store_poll_pause(1, 0), 150 * PD_MSEC);
	assert_int_equal(store_poll_pause(1, 9), 1200 * PD_MSEC);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_an_outage_costs_a_fleet_few_calls),
		cmocka_unit_test(test_a_gateway_alone_asks_soon),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
