/* Tests of the overlap of usage windows with a checkpoint gap. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/forward/usage_gap.h"

#define LENGTH (5 * PD_SEC)
#define BEGIN (7 * LENGTH) /* start of window 7 */

static void test_gap_is_split_by_window(void **state)
{
	const usage_gap_t gap = { BEGIN + 4 * PD_SEC, BEGIN + LENGTH + PD_SEC };

	(void)state;
	assert_int_equal(usage_gap_in_window(&gap, 6, LENGTH), 0);
	assert_int_equal(usage_gap_in_window(&gap, 7, LENGTH), PD_SEC);
	assert_int_equal(usage_gap_in_window(&gap, 8, LENGTH), PD_SEC);
	assert_int_equal(usage_gap_in_window(&gap, 9, LENGTH), 0);
}

static void test_long_gap_covers_whole_windows(void **state)
{
	const usage_gap_t gap = { BEGIN - PD_SEC, BEGIN + 2 * LENGTH };

	(void)state;
	assert_int_equal(usage_gap_in_window(&gap, 7, LENGTH), LENGTH);
	assert_int_equal(usage_gap_in_window(&gap, 8, LENGTH), LENGTH);
}

/* Guards against reporting a gap although only one gateway was restarted. */
static void test_surviving_gateway_leaves_no_gap(void **state)
{
	const usage_gap_t gap = { BEGIN + 4 * PD_SEC, BEGIN + 3 * PD_SEC };
	const usage_gap_t unknown = { 0, BEGIN + 3 * PD_SEC };

	(void)state;
	assert_int_equal(usage_gap_in_window(&gap, 7, LENGTH), 0);
	assert_int_equal(usage_gap_in_window(&unknown, 7, LENGTH), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_gap_is_split_by_window),
		cmocka_unit_test(test_long_gap_covers_whole_windows),
		cmocka_unit_test(test_surviving_gateway_leaves_no_gap),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
