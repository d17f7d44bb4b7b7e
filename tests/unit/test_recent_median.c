/* Tests of the median of the last samples, by which pauses of a stream are judged. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/forward/recent_median.h"

#define PAUSE 20.0
#define HANG 500.0

/*
 * Guards against a hang, or the prefill of another's long prompt, in one of a stream's few
 * pauses: with an estimate that moves in steps from the first pause on, an engine looked
 * seven times slower after 20 events.
 */
static void test_one_long_pause_does_not_count(void **state)
{
	(void)state;
	for (unsigned int count = 4; count <= 40; count++) {
		for (unsigned int long_one = 0; long_one < count; long_one++) {
			recent_median_t recent = { 0 };

			for (unsigned int i = 0; i < count; i++)
				recent_median_add(&recent,
						  i == long_one ? HANG : PAUSE);
			assert_true(recent_median_value(&recent) == PAUSE);
		}
	}
}

static void test_median_is_of_the_last_samples(void **state)
{
	recent_median_t recent = { 0 };

	(void)state;
	assert_true(recent_median_value(&recent) == 0);
	for (unsigned int i = 1; i <= 5; i++)
		recent_median_add(&recent, i);
	assert_true(recent_median_value(&recent) == 3);
	for (unsigned int i = 1; i <= 1000; i++)
		recent_median_add(&recent, i);
	/* of 986 to 1000 */
	assert_true(recent_median_value(&recent) == 993);
	recent_median_reset(&recent);
	assert_true(recent_median_value(&recent) == 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_long_pause_does_not_count),
		cmocka_unit_test(test_median_is_of_the_last_samples),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
