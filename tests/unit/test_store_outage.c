/* When the store was away for all gateways, as one of them can tell. */
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

/* Guards against a grace that begins with the answer that tells of a leave. */
static void test_later_answers_do_not_move_the_end(void **state)
{
	store_outage_record_failure(*state, START + PD_SEC, START + 3 * PD_SEC);
	store_outage_record_answer(*state, START + 4 * PD_SEC);
	store_outage_record_answer(*state, START + 7 * PD_SEC);
	assert_int_equal(store_outage_end(*state), START + 4 * PD_SEC);
}

/* Guards against a second outage seen in a call that hung since the first. */
static void test_a_call_that_hangs_on_is_part_of_its_outage(void **state)
{
	store_outage_record_failure(*state, START + PD_SEC, START + 3 * PD_SEC);
	store_outage_record_answer(*state, START + 4 * PD_SEC);
	store_outage_record_answer(*state, START + 6 * PD_SEC);
	store_outage_record_failure(*state, START + 3500 * PD_MSEC,
				    START + 6300 * PD_MSEC);
	store_outage_record_answer(*state, START + 9 * PD_SEC);
	assert_int_equal(store_outage_end(*state), START + 4 * PD_SEC);
}

/* Guards against lapses taken for leaves by a gateway that starts in an outage. */
static void test_a_start_may_come_late_in_an_outage(void **state)
{
	store_outage_t *outage = store_outage_create(START);

	(void)state;
	store_outage_record_failure(outage, START, START + 100 * PD_MSEC);
	store_outage_record_answer(outage, START + 200 * PD_MSEC);
	assert_int_equal(store_outage_end(outage), START + 200 * PD_MSEC);
	store_outage_destroy(outage);
}

/* Guards against lapses taken for leaves by one that thaws in an outage. */
static void test_an_outage_goes_on_after_a_cut(void **state)
{
	store_outage_record_peer_message(*state, START);
	for (int i = 40; i <= 80; i++)
		store_outage_record_peer_message(*state, START + i * 100 * PD_MSEC);
	store_outage_record_failure(*state, START + 5 * PD_SEC, START + 6 * PD_SEC);
	store_outage_record_answer(*state, START + 8 * PD_SEC);
	assert_int_equal(store_outage_end(*state), START + 8 * PD_SEC);
}

/* Guards against leaves taken for lapses where nobody had anything to ask. */
static void test_a_silence_without_calls_is_no_outage(void **state)
{
	store_outage_record_answer(*state, START + 9 * PD_SEC);
	assert_int_equal(store_outage_end(*state), 0);
}

/* Guards against an outage seen by one whose call is lost where nothing changes. */
static void test_waiting_watches_are_no_outage(void **state)
{
	store_outage_record_failure(*state, START, START + 1800 * PD_MSEC);
	store_outage_record_answer(*state, START + STORE_WATCH_WAIT + 50 * PD_MSEC);
	assert_int_equal(store_outage_end(*state), 0);
}

/* Guards against leaves taken for lapses by a gateway that alone lacks the store. */
static void test_a_gateway_that_alone_lacks_the_store_sees_no_outage(void **state)
{
	for (int i = 10; i <= 50; i++) {
		store_outage_record_answer(*state, START + i * 100 * PD_MSEC);
		store_outage_record_failure(*state,
					    START + i * 100 * PD_MSEC - PD_SEC,
					    START + i * 100 * PD_MSEC);
	}
	assert_int_equal(store_outage_end(*state), 0);
}

/* Guards against leaves taken for lapses by a gateway that was cut off or frozen. */
static void test_a_gateway_that_was_cut_off_sees_no_outage(void **state)
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

static void test_an_outage_is_seen_by_one_that_hears_its_peers(void **state)
{
	for (int i = 0; i <= 40; i++)
		store_outage_record_peer_message(*state, START + i * 100 * PD_MSEC);
	store_outage_record_failure(*state, START + PD_SEC, START + 3 * PD_SEC);
	store_outage_record_answer(*state, START + 4 * PD_SEC);
	assert_int_equal(store_outage_end(*state), START + 4 * PD_SEC);
}

/* Guards against lapses taken for leaves by a call that fails after the outage. */
static void test_a_call_may_fail_after_the_outage_it_fell_into(void **state)
{
	store_outage_record_answer(*state, START + 3 * PD_SEC);
	store_outage_record_failure(*state, START + PD_SEC, START + 4 * PD_SEC);
	assert_int_equal(store_outage_end(*state), START + 3 * PD_SEC);
}

/* Guards against an outage that ends by what a peer heard before it. */
static void test_old_word_of_an_answer_ends_nothing(void **state)
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
		OUTAGE_TEST(test_later_answers_do_not_move_the_end),
		OUTAGE_TEST(test_a_call_that_hangs_on_is_part_of_its_outage),
		OUTAGE_TEST(test_a_start_may_come_late_in_an_outage),
		OUTAGE_TEST(test_an_outage_goes_on_after_a_cut),
		OUTAGE_TEST(test_a_silence_without_calls_is_no_outage),
		OUTAGE_TEST(test_waiting_watches_are_no_outage),
		OUTAGE_TEST(test_a_gateway_that_alone_lacks_the_store_sees_no_outage),
		OUTAGE_TEST(test_a_gateway_that_was_cut_off_sees_no_outage),
		OUTAGE_TEST(test_an_outage_is_seen_by_one_that_hears_its_peers),
		OUTAGE_TEST(test_a_call_may_fail_after_the_outage_it_fell_into),
		OUTAGE_TEST(test_old_word_of_an_answer_ends_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
