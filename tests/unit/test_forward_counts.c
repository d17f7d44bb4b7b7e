/* Tests of retry windows, usage counters and work rates. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/forward/retry_window.h"
#include "core/forward/usage.h"
#include "core/forward/work_rate.h"

#define START (1000 * PD_SEC)

static const retry_limits_t limits = { .ratio = 0.2,
				       .slack = 60,
				       .window = 10 * PD_SEC };

/*
 * Guards against a retry storm: all requests of a service fail, and if each were retried,
 * the upstreams would get twice the load when they are already overloaded.
 */
static void test_retries_stay_within_budget(void **state)
{
	retry_windows_t *windows = retry_windows_create(&limits);
	unsigned int repeats = 0;

	(void)state;
	for (int i = 0; i < 1000; i++) {
		pd_time_t now = START + i * 10 * PD_MSEC;

		retry_windows_record_request(windows, "s", now);
		repeats += retry_windows_take(windows, "s", 6, now);
	}
	assert_true(repeats <= 1000 * 0.2 + 10);
	assert_true(repeats >= 100);
	retry_windows_destroy(windows);
}

static void test_retries_of_the_past_are_forgotten(void **state)
{
	retry_windows_t *windows = retry_windows_create(&limits);
	unsigned int repeats = 0;

	(void)state;
	while (retry_windows_take(windows, "s", 6, START))
		repeats++;
	assert_true(repeats > 0);
	assert_true(retry_windows_take(windows, "s", 6, START + 11 * PD_SEC));
	retry_windows_destroy(windows);
}

static void add_sum(void *ctx, const char *account, uint64_t sum)
{
	assert_string_equal(account, "mill");
	*(uint64_t *)ctx += sum;
}

static void add_entry(void *ctx, const usage_entry_t *entry)
{
	*(uint64_t *)ctx += entry->count;
}

static uint64_t sum_of(const usage_t *usage, int64_t window)
{
	uint64_t sum = 0;

	usage_each_sum(usage, window, add_sum, &sum);
	return sum;
}

static uint64_t unsent(usage_t *usage)
{
	uint64_t sum = 0;

	usage_each_unsent(usage, add_entry, &sum);
	return sum;
}

static void merge(usage_t *usage, const char *incarnation, int64_t window,
		  uint64_t count)
{
	const usage_entry_t entry = { window, usage_incarnation_id(incarnation),
				      "mill", count };

	usage_merge(usage, &entry);
}

/* Guards against a report without the counts of a gateway that has died. */
static void test_counts_of_dead_peer_stay_in_sum(void **state)
{
	usage_t *usage = usage_create("e0#1");

	(void)state;
	usage_increment(usage, 7, "mill");
	merge(usage, "e1#1", 7, 5);
	merge(usage, "e1#1", 7, 3);
	merge(usage, "e1#2", 7, 2); /* its next incarnation */
	merge(usage, "e1#2", 8, 9);
	assert_int_equal(sum_of(usage, 7), 1 + 5 + 2);
	usage_discard(usage, 8);
	assert_int_equal(sum_of(usage, 7), 0);
	assert_int_equal(sum_of(usage, 8), 9);
	usage_destroy(usage);
}

/* Guards against a report of only the counts since all gateways were killed. */
static void test_stored_counts_add_to_those_of_new_incarnation(void **state)
{
	usage_t *usage = usage_create("e0#2");

	(void)state;
	merge(usage, "e0#1", 7, 40);
	usage_increment(usage, 7, "mill");
	assert_int_equal(sum_of(usage, 7), 41);
	usage_destroy(usage);
}

/* Guards against billing a request twice that two writers have checkpointed. */
static void test_count_received_twice_is_counted_once(void **state)
{
	usage_t *usage = usage_create("e0#1");

	(void)state;
	merge(usage, "e1#1", 7, 30);
	merge(usage, "e1#1", 7, 33);
	merge(usage, "e1#1", 7, 30);
	assert_int_equal(sum_of(usage, 7), 33);
	usage_destroy(usage);
}

/* Guards against counts that are discarded or skipped before their report is due. */
static void test_windows_are_retained_until_report_is_due(void **state)
{
	usage_t *usage = usage_create("e0#1");

	(void)state;
	assert_int_equal(usage_windows_retained(5 * PD_SEC, 10 * PD_SEC), 3);
	assert_int_equal(usage_windows_retained(1 * PD_SEC, 10 * PD_SEC), 11);
	assert_int_equal(usage_windows_retained(60 * PD_SEC, 10 * PD_SEC), 2);
	assert_int_equal(usage_first_window(usage, 5, 9), 9);
	merge(usage, "e1#1", 7, 1);
	merge(usage, "e1#1", 4, 1);
	assert_int_equal(usage_first_window(usage, 5, 9), 7);
	usage_destroy(usage);
}

/* Guards against adding own counts again when they are read from the store. */
static void test_own_counts_from_store_are_ignored(void **state)
{
	usage_t *usage = usage_create("e0#1");

	(void)state;
	usage_increment(usage, 7, "mill");
	merge(usage, "e0#1", 7, 9);
	assert_int_equal(sum_of(usage, 7), 1);
	usage_destroy(usage);
}

/* Guards against counts that are lost with a connection and never sent again. */
static void test_counts_are_sent_once_unless_marked_unsent(void **state)
{
	usage_t *usage = usage_create("e0#1");

	(void)state;
	usage_increment(usage, 7, "mill");
	assert_int_equal(unsent(usage), 1);
	assert_int_equal(unsent(usage), 0);
	usage_increment(usage, 7, "mill");
	assert_int_equal(unsent(usage), 2);
	usage_mark_unsent(usage);
	assert_int_equal(unsent(usage), 2);
	usage_destroy(usage);
}

/* Guards against negative work when a peer restarts and counts from 0. */
static void test_work_of_restarted_peer(void **state)
{
	work_rate_t *work = work_rate_create();
	pd_time_t now = START;
	double total = 0;

	(void)state;
	work_rate_update(work, now);
	for (int i = 0; i < 100; i++) {
		now += 500 * PD_MSEC;
		total = i == 50 ? 0 : total + 500;
		work_rate_record_peer(work, "e1", "s", total);
		work_rate_update(work, now);
	}
	assert_true(work_rate_get(work, "s") > 900);
	assert_true(work_rate_get(work, "s") < 1100);
	work_rate_destroy(work);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_retries_stay_within_budget),
		cmocka_unit_test(test_retries_of_the_past_are_forgotten),
		cmocka_unit_test(test_counts_of_dead_peer_stay_in_sum),
		cmocka_unit_test(test_stored_counts_add_to_those_of_new_incarnation),
		cmocka_unit_test(test_count_received_twice_is_counted_once),
		cmocka_unit_test(test_windows_are_retained_until_report_is_due),
		cmocka_unit_test(test_own_counts_from_store_are_ignored),
		cmocka_unit_test(test_counts_are_sent_once_unless_marked_unsent),
		cmocka_unit_test(test_work_of_restarted_peer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
