/* What callers get from gateways that all start at once. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/forward/start_wait.h"

#define STARTED PD_SEC
#define CALLER_PATIENCE (1500 * PD_MSEC)
#define STEP (10 * PD_MSEC)

typedef struct outcome {
	unsigned int served;
	unsigned int refused;
	pd_time_t held_most;
} outcome_t;

/* Plays callers that come back, a step apart, to a start set up after SET_UP. */
static outcome_t play_start(const start_wait_t *start, pd_time_t set_up,
			    pd_time_t until)
{
	pd_time_t set_up_at = start->started_at + set_up;
	outcome_t outcome = { 0 };

	for (pd_time_t at = start->started_at; at < start->started_at + until;
	     at += STEP) {
		pd_time_t held = start_wait_until(start, at, CALLER_PATIENCE);

		if (set_up_at <= MAX(held, at))
			outcome.served++;
		else
			outcome.refused++;
		outcome.held_most = MAX(outcome.held_most, held - at);
	}
	return outcome;
}

/* Guards against refusing callers a moment before a large fleet's start serves. */
static void test_callers_wait_for_a_start_of_a_large_fleet(void **state)
{
	const start_wait_t start = { .started_at = STARTED };
	outcome_t outcome = play_start(&start, 450 * PD_MSEC, 450 * PD_MSEC);

	(void)state;
	assert_int_equal(outcome.refused, 0);
	assert_in_range(outcome.held_most, 1, CALLER_PATIENCE / 3);
}

/* Guards against holding callers when it is known that nothing comes. */
static void test_callers_do_not_wait_for_a_store_that_fails(void **state)
{
	const start_wait_t start = { .started_at = STARTED, .store_failed = true };
	outcome_t outcome = play_start(&start, 10 * PD_SEC, 2 * PD_SEC);

	(void)state;
	assert_int_equal(outcome.served, 0);
	assert_in_range(outcome.held_most, 0, 250 * PD_MSEC);
	assert_true(start_wait_until(&start, STARTED + 300 * PD_MSEC, 0) <
		    STARTED + 300 * PD_MSEC);
}

/* Guards against a start that holds callers for as long as it lacks its tables. */
static void test_a_start_that_gets_nowhere_refuses_at_once(void **state)
{
	const start_wait_t start = { .started_at = STARTED };

	(void)state;
	assert_true(start_wait_until(&start, STARTED + 2 * PD_SEC, 0) <
		    STARTED + 2 * PD_SEC);
}

/* Guards against holding a caller so long that no time is left to ask elsewhere. */
static void test_a_short_deadline_is_held_for_a_part_of_it(void **state)
{
	const start_wait_t start = { .started_at = STARTED };
	const pd_time_t patience = 600 * PD_MSEC;

	(void)state;
	assert_int_equal(start_wait_until(&start, STARTED, patience),
			 STARTED + patience / 3);
	assert_in_range(start_wait_until(&start, STARTED, 0), STARTED + 1,
			STARTED + PD_SEC);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_callers_wait_for_a_start_of_a_large_fleet),
		cmocka_unit_test(test_callers_do_not_wait_for_a_store_that_fails),
		cmocka_unit_test(test_a_start_that_gets_nowhere_refuses_at_once),
		cmocka_unit_test(test_a_short_deadline_is_held_for_a_part_of_it),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
