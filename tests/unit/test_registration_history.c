/* Tests of what reads of the history of registrations show. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/forward/registration_history.h"

#define T0 (1000 * PD_SEC)

static int setup(void **state)
{
	*state = registration_history_create();
	registration_history_begin(*state, 100);
	return 0;
}

static int teardown(void **state)
{
	registration_history_destroy(*state);
	return 0;
}

/* Reads one page without events, sent at a time and answered. */
static void read_all(registration_history_t *history, pd_time_t now)
{
	registration_history_request(history, now);
	assert_int_not_equal(registration_history_next_read(history, now), 0);
	assert_true(registration_history_end_read(history, 100, true));
}

/* Guards against an answer of the store that is taken for what came after it. */
static void test_read_shows_what_was_registered_until_its_call(void **state)
{
	read_all(*state, T0);
	assert_true(registration_history_is_current(*state, T0));
	assert_false(registration_history_is_current(*state, T0 + 1));
}

/* Guards against a reply that took long, and is taken for new. */
static void test_call_in_flight_does_not_satisfy_a_later_request(void **state)
{
	registration_history_request(*state, T0);
	assert_int_equal(registration_history_next_read(*state, T0), 100);
	registration_history_request(*state, T0 + PD_MSEC);
	assert_int_equal(registration_history_next_read(*state, T0 + PD_MSEC), 0);
	assert_true(registration_history_end_read(*state, 100, true));
	assert_false(registration_history_is_current(*state, T0 + PD_MSEC));
	assert_true(registration_history_is_wanted(*state, T0 + PD_MSEC));
	assert_int_equal(registration_history_next_read(*state, T0 + 50 * PD_MSEC),
			 100);
	assert_true(registration_history_end_read(*state, 100, true));
	assert_true(registration_history_is_current(*state, T0 + PD_MSEC));
}

/* Guards against a page that has events, of which more may follow. */
static void test_page_with_events_shows_nothing(void **state)
{
	registration_history_request(*state, T0);
	assert_int_equal(registration_history_next_read(*state, T0), 100);
	assert_false(registration_history_end_read(*state, 130, false));
	assert_false(registration_history_is_current(*state, T0));
	assert_int_equal(registration_history_next_read(*state, T0 + 1), 130);
	assert_true(registration_history_end_read(*state, 130, true));
	assert_true(registration_history_is_current(*state, T0 + 1));
}

/* Guards against a watch that skips changes, as its gateway listed anew. */
static void test_changes_after_a_gap_do_not_advance_it(void **state)
{
	registration_history_advance(*state, 120, 140);
	registration_history_request(*state, T0);
	assert_int_equal(registration_history_next_read(*state, T0), 100);
	registration_history_fail_read(*state);
	registration_history_advance(*state, 90, 110);
	assert_int_equal(registration_history_next_read(*state, T0 + 50 * PD_MSEC),
			 110);
}

/* Guards against a reply of before a gap that hides it. */
static void test_lost_history_shows_nothing_until_a_listing(void **state)
{
	read_all(*state, T0);
	registration_history_request(*state, T0 + PD_SEC);
	registration_history_next_read(*state, T0 + PD_SEC);
	registration_history_lose(*state);
	assert_false(registration_history_end_read(*state, 100, true));
	assert_false(registration_history_is_current(*state, T0));
	assert_false(registration_history_is_known(*state));
	registration_history_begin(*state, 200);
	registration_history_request(*state, T0 + 2 * PD_SEC);
	assert_int_equal(registration_history_next_read(*state, T0 + 2 * PD_SEC),
			 200);
}

/* Guards against calls that nobody waits for any longer, as each one is charged for. */
static void test_old_requests_are_not_read_for(void **state)
{
	pd_time_t late = T0 + REGISTRATION_READ_MAX + 1;

	registration_history_request(*state, T0);
	assert_true(registration_history_is_wanted(*state, T0));
	assert_false(registration_history_is_wanted(*state, late));
	assert_int_equal(registration_history_next_read(*state, late), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_read_shows_what_was_registered_until_its_call,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_call_in_flight_does_not_satisfy_a_later_request,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_page_with_events_shows_nothing,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_changes_after_a_gap_do_not_advance_it,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_lost_history_shows_nothing_until_a_listing,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_old_requests_are_not_read_for,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
