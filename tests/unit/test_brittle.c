/* Tests of how gateways share the slots of a brittle upstream. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/forward/brittle.h"
#include "core/hash.h"

#define START (1000 * PD_SEC)
#define PERIOD (500 * PD_MSEC)
#define PERIODS 400

/* Returns the sum of all shares of a fleet at a time. */
static unsigned int sum_shares(unsigned int slots, unsigned int gateways,
			       pd_time_t now)
{
	unsigned int sum = 0;

	for (unsigned int i = 0; i < gateways; i++) {
		const brittle_sharer_t sharer = { hash_number(i + 1), gateways };

		sum += brittle_share(slots, 77, &sharer, now);
	}
	return sum;
}

/* Guards against shares that sum up to more than the slots. */
static void test_sum_of_shares(void **state)
{
	static const unsigned int sizes[] = { 1, 3, 6, 63, 300 };

	(void)state;
	for (unsigned int k = 0; k < 5; k++) {
		double mean = 0;
		unsigned int over = 0;

		for (int i = 0; i < PERIODS; i++) {
			unsigned int sum =
				sum_shares(6, sizes[k], START + i * PERIOD);

			mean += (double)sum / PERIODS;
			over += sum > 6;
		}
		assert_true(mean <= 6.0);
		assert_true(mean >= 0.5 * 6);
		/* Where shares are drawn, the sum varies. */
		assert_in_range(over, 0, PERIODS / 10);
	}
}

static void test_few_gateways_share_evenly(void **state)
{
	const brittle_sharer_t sharer = { 5, 6 };

	(void)state;
	assert_int_equal(brittle_share(96, 77, &sharer, START), 16);
	assert_int_equal(brittle_share(6, 77, &sharer, START), 1);
}

/* Guards against gateways that never get a share, as others always do. */
static void test_every_gateway_draws_a_share(void **state)
{
	(void)state;
	for (unsigned int i = 0; i < 63; i++) {
		const brittle_sharer_t sharer = { hash_number(i + 1), 63 };
		unsigned int drawn = 0;

		for (int k = 0; k < PERIODS; k++)
			drawn += brittle_share(6, 77, &sharer,
					       START + k * PERIOD) > 0;
		assert_in_range(drawn, 5, PERIODS / 4);
	}
}

/* Guards against gateways that all go on at once after a rejection. */
static void test_gateways_go_on_one_after_the_other(void **state)
{
	unsigned int within[30] = { 0 };

	(void)state;
	for (unsigned int i = 0; i < 100; i++) {
		const brittle_sharer_t sharer = { hash_number(i + 1), 100 };
		pd_time_t pause = brittle_pause(77, &sharer, START);

		assert_in_range(pause, 500 * PD_MSEC, 1500 * PD_MSEC);
		within[pause / (50 * PD_MSEC)]++;
	}
	for (unsigned int i = 0; i < 30; i++)
		assert_in_range(within[i], 0, 15);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_sum_of_shares),
		cmocka_unit_test(test_few_gateways_share_evenly),
		cmocka_unit_test(test_every_gateway_draws_a_share),
		cmocka_unit_test(test_gateways_go_on_one_after_the_other),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
