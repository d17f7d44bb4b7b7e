/* Unit tests of the token buckets of accounts. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/limits.h"

#define NOW (1000 * PD_SEC)

/* A refused caller is told when the bucket will hold a request again. */
static void test_refusal_sets_retry_after(void **state)
{
	limits_t *limits = limits_create();
	account_t account = { .name = (char *)"a",
			      .requests_per_second = 10,
			      .burst = 10 };
	pd_time_t retry_after = 0;

	(void)state;
	for (int i = 0; i < 10; i++)
		assert_true(limits_take(limits, &account, 1, NOW, &retry_after));
	assert_false(limits_take(limits, &account, 1, NOW, &retry_after));
	assert_int_equal(retry_after, 100 * PD_MSEC);
	assert_true(limits_take(limits, &account, 1, NOW + retry_after + 1,
				&retry_after));
	limits_destroy(limits);
}

/*
 * The bucket lacks less than a microsecond's worth of tokens. A Retry-After
 * rounded to zero would tell the caller that retrying won't help.
 */
static void test_retry_after_is_never_rounded_to_zero(void **state)
{
	limits_t *limits = limits_create();
	account_t account = { .name = (char *)"a",
			      .requests_per_second = 1e7,
			      .burst = 3 };
	pd_time_t retry_after = 0;

	(void)state;
	while (limits_take(limits, &account, 1, NOW, &retry_after))
		continue;
	assert_true(retry_after > 0);
	limits_destroy(limits);
}

/* An account without a rate gets no time to retry. */
static void test_zero_rate_has_no_retry_after(void **state)
{
	limits_t *limits = limits_create();
	account_t account = { .name = (char *)"a" };
	pd_time_t retry_after = 1;

	(void)state;
	while (limits_take(limits, &account, 1, NOW, &retry_after))
		continue;
	assert_int_equal(retry_after, 0);
	limits_destroy(limits);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_refusal_sets_retry_after),
		cmocka_unit_test(test_retry_after_is_never_rounded_to_zero),
		cmocka_unit_test(test_zero_rate_has_no_retry_after),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
