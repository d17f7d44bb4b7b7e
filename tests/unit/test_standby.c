/* Who stands by for the lease in fleets of which some can't take it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/forward/standby.h"

#define FLEET 63

typedef struct standing {
	unsigned int all;
	unsigned int able;
} standing_t;

/* Counts who stands by in a fleet whose first UNABLE gateways can't take the lease. */
static standing_t count_standing(unsigned int unable)
{
	standing_t standing = { 0 };
	unsigned int leaders_before = 0;

	for (unsigned int rank = 0; rank < FLEET; rank++) {
		bool able = rank >= unable;

		if (standby_stands(rank, leaders_before)) {
			standing.all++;
			standing.able += able;
		}
		leaders_before += able;
	}
	return standing;
}

static void test_few_stand_by(void **state)
{
	(void)state;
	assert_int_equal(count_standing(0).all, 3);
}

/* Guards against a fleet without a leader while its first gateways are cut off. */
static void test_others_stand_by_for_the_first(void **state)
{
	(void)state;
	for (unsigned int unable = 0; unable + 3 <= STANDBY_MAX; unable++)
		assert_int_equal(count_standing(unable).able, 3);
}

/* Guards against all of a fleet asking a store that is away for everybody. */
static void test_an_outage_makes_few_stand_by(void **state)
{
	(void)state;
	assert_int_equal(count_standing(FLEET).all, STANDBY_MAX);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_few_stand_by),
		cmocka_unit_test(test_others_stand_by_for_the_first),
		cmocka_unit_test(test_an_outage_makes_few_stand_by),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
