/* Tests when a gateway infers an outage of the store for all gateways. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/forward/store_feed.h"
#include "core/forward/store_outage.h"

#define START (1000 * PD_SEC)

static int setup(void **state)
{
	*state = store_outage_create(START);
	store_outage_record_answer(*state, START);
	return 0;
}

static int teardown(void **state)
{
	store_outage_destroy(*state);
	return 0;
}

static void test_the_first_answer_after_failures_ends_an_outage(void **state)
{
	store_outage_record_failure(*state, START + PD_SEC, START + 3 * PD_SEC);
	assert_int_equal(store_outage_end(*state), 0);
	store_outage_record_answer(*state, START + 4 * PD_SEC);
	assert_int_equal(store_outage_end(*state), START + 4 * PD_SEC);
}

/*
 * Guards against a grace period that begins with the answer that reports a
 * removal.
 */
static void test_later_answers_do_not_change_the_end(void **state)
{
	store_outage_record_failure(*state, START + PD_SEC, START + 3 * PD_SEC);
	store_outage_record_answer(*state, START + 4 * PD_SEC);
	store_outage_record_answer(*state, START + 7 * PD_SEC);
	assert_int_equal(store_outage_end(*state), START + 4 * PD_SEC);
}

/*
 * Guards against a second outage inferred from a call that hung since the first
 * one.
 */
static void test_a_late_timeout_belongs_to_its_outage(void **state)
{
	store_outage_record_failure(*state, START + PD_SEC, START + 3 * PD_SEC);
	store_outage_record_answer(*state, START + 4 * PD_SEC);
	store_outage_record_answer(*state, START + 6 * PD_SEC);
	store_outage_record_failure(*state, START + 3500 * PD_MSEC,
				    START + 6300 * PD_MSEC);
	store_outage_record_answer(*state, START + 9 * PD_SEC);
	assert_int_equal(store_outage_end(*state), START + 4 * PD_SEC);
}

/*
 * Guards against expiries taken for removals by a gateway that starts in an
 * outage.
 */
static void test_a_gateway_may_start_late_in_an_outage(void **state)
{
	store_outage_t *outage = store_outage_create(START);

	(void)state;
	store_outage_record_failure(outage, START, START + 100 * PD_MSEC);
	store_outage_record_answer(outage, START + 200 * PD_MSEC);
	assert_int_equal(store_outage_end(outage), START + 200 * PD_MSEC);
	store_outage_destroy(outage);
}

/*
 * Guards against expiries taken for removals by a gateway that thaws during an
 * outage.
 */
static void test_an_outage_may_outlast_an_isolation(void **state)
{
	store_outage_record_peer_message(*state, START);
	for (int i = 40; i <= 80; i++)
		store_outage_record_peer_message(*state, START + i * 100 * PD_MSEC);
	store_outage_record_failure(*state, START + 5 * PD_SEC, START + 6 * PD_SEC);
	store_outage_record_answer(*state, START + 8 * PD_SEC);
	assert_int_equal(store_outage_end(*state), START + 8 * PD_SEC);
}

/*
 * Guards against removals taken for expiries because no gateway had a call to
 * make.
 */
static void test_a_silence_without_calls_is_no_outage(void **state)
{
	store_outage_record_answer(*state, START + 9 * PD_SEC);
	assert_int_equal(store_outage_end(*state), 0);
}

/*
 * Guards against an outage inferred from one lost call while nothing changes.
 */
static void test_waiting_watches_are_no_outage(void **state)
{
	store_outage_record_failure(*state, START, START + 1800 * PD_MSEC);
	store_outage_record_answer(*state, START + STORE_WATCH_WAIT + 50 * PD_MSEC);
	assert_int_equal(store_outage_end(*state), 0);
}

/*
 * Guards against removals taken for expiries by a gateway that alone can't
 * reach the store.
 */
static void test_a_failure_of_one_gateway_is_no_outage(void **state)
{
	for (int i = 10; i <= 50; i++) {
		store_outage_record_answer(*state, START + i * 100 * PD_MSEC);
		store_outage_record_failure(*state,
					    START + i * 100 * PD_MSEC - PD_SEC,
					    START + i * 100 * PD_MSEC);
	}
	assert_int_equal(store_outage_end(*state), 0);
}

/*
 * Guards against removals taken for expiries by a gateway that was cut off or
 * frozen.
 */
static void test_an_isolated_gateway_sees_no_outage(void **state)
{
	store_outage_record_peer_message(*state, START);
	store_outage_record_failure(*state, START + PD_SEC, START + 3 * PD_SEC);
	store_outage_record_peer_message(*state, START + 4 * PD_SEC);
	store_outage_record_answer(*state, START + 4100 * PD_MSEC);
	assert_int_equal(store_outage_end(*state), 0);
	store_outage_record_failure(*state, START + 5 * PD_SEC, START + 6 * PD_SEC);
	store_outage_record_answer(*state, START + 8 * PD_SEC);
	assert_int_equal(store_outage_end(*state), 0);
}

static void test_a_gateway_with_peers_sees_an_outage(void **state)
{
	for (int i = 0; i <= 40; i++)
		store_outage_record_peer_message(*state, START + i * 100 * PD_MSEC);
	store_outage_record_failure(*state, START + PD_SEC, START + 3 * PD_SEC);
	store_outage_record_answer(*state, START + 4 * PD_SEC);
	assert_int_equal(store_outage_end(*state), START + 4 * PD_SEC);
}

/*
 * Guards against expiries taken for removals because a call of the outage fails
 * after its end.
 */
static void test_a_call_may_fail_after_its_outage_ended(void **state)
{
	store_outage_record_answer(*state, START + 3 * PD_SEC);
	store_outage_record_failure(*state, START + PD_SEC, START + 4 * PD_SEC);
	assert_int_equal(store_outage_end(*state), START + 3 * PD_SEC);
}

/*
 * Guards against an outage that is ended by an answer that a peer had before
 * it.
 */
static void test_an_older_answer_ends_no_outage(void **state)
{
	store_outage_record_failure(*state, START + PD_SEC, START + 3 * PD_SEC);
	store_outage_record_answer(*state, START - PD_SEC);
	store_outage_record_answer(*state, START + 500 * PD_MSEC);
	assert_int_equal(store_outage_end(*state), 0);
	store_outage_record_answer(*state, START + 5 * PD_SEC);
	assert_int_equal(store_outage_end(*state), START + 5 * PD_SEC);
}

#define OUTAGE_TEST(test) cmocka_unit_test_setup_teardown(test, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		OUTAGE_TEST(test_the_first_answer_after_failures_ends_an_outage),
		OUTAGE_TEST(test_later_answers_do_not_change_the_end),
		OUTAGE_TEST(test_a_late_timeout_belongs_to_its_outage),
		OUTAGE_TEST(test_a_gateway_may_start_late_in_an_outage),
		OUTAGE_TEST(test_an_outage_may_outlast_an_isolation),
		OUTAGE_TEST(test_a_silence_without_calls_is_no_outage),
		OUTAGE_TEST(test_waiting_watches_are_no_outage),
		OUTAGE_TEST(test_a_failure_of_one_gateway_is_no_outage),
		OUTAGE_TEST(test_an_isolated_gateway_sees_no_outage),
		OUTAGE_TEST(test_a_gateway_with_peers_sees_an_outage),
		OUTAGE_TEST(test_a_call_may_fail_after_its_outage_ended),
		OUTAGE_TEST(test_an_older_answer_ends_no_outage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
