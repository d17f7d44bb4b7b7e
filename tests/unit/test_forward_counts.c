/* Retry windows, usage, work and the vote on the time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/forward/retry_window.h"
#include "core/forward/time_vote.h"
#include "core/forward/usage.h"
#include "core/forward/work_rate.h"

#define START (1000 * PD_SEC)

static const retry_limits_t limits = { .ratio = 0.2,
				       .slack = 60,
				       .window = 10 * PD_SEC };

/*
 * All requests of a service fail. Each sent once more, the upstreams would get
 * twice the load at the moment at which they can least take it.
 */
static void test_repeats_stay_within_their_part(void **state)
{
	retry_windows_t *windows = retry_windows_create(&limits);
	unsigned int repeats = 0;

	(void)state;
	for (int i = 0; i < 1000; i++) {
		pd_time_t now = START + i * 10 * PD_MSEC;

		retry_windows_first(windows, "s", now);
		repeats += retry_windows_repeat(windows, "s", 6, now);
	}
	assert_true(repeats <= 1000 * 0.2 + 10);
	assert_true(repeats >= 100);
	retry_windows_destroy(windows);
}

static void test_repeats_of_the_past_are_forgotten(void **state)
{
	retry_windows_t *windows = retry_windows_create(&limits);
	unsigned int repeats = 0;

	(void)state;
	while (retry_windows_repeat(windows, "s", 6, START))
		repeats++;
	assert_true(repeats > 0);
	assert_true(retry_windows_repeat(windows, "s", 6, START + 11 * PD_SEC));
	retry_windows_destroy(windows);
}

static void add_up(void *ctx, const usage_entry_t *entry)
{
	*(uint64_t *)ctx += entry->count;
}

static void hear(usage_t *usage, const char *peer, int64_t window, uint64_t count)
{
	const usage_entry_t entry = { window, "mill", count, 0 };

	usage_heard(usage, peer, &entry);
}

/*
 * An entry dies after it told its counts. What it counted stays in the sum, and
 * told twice or out of order it is not counted twice.
 */
static void test_counts_of_a_dead_peer_stay_in_the_sum(void **state)
{
	usage_t *usage = usage_create();
	uint64_t sum = 0;

	(void)state;
	usage_add(usage, 7, "mill");
	hear(usage, "e1#1", 7, 5);
	hear(usage, "e1#1", 7, 3);
	hear(usage, "e1#2", 7, 2); /* its next start */
	hear(usage, "e1#2", 8, 9);
	usage_sum(usage, 7, add_up, &sum);
	assert_int_equal(sum, 1 + 5 + 2);
	usage_forget(usage, 8);
	sum = 0;
	usage_sum(usage, 7, add_up, &sum);
	assert_int_equal(sum, 0);
	usage_destroy(usage);
}

static void adopt(usage_t *usage, uint64_t count)
{
	const usage_entry_t entry = { 7, "mill", count, 0 };
	GArray *entries = g_array_new(FALSE, FALSE, sizeof(entry));

	g_array_append_val(entries, entry);
	usage_adopt(usage, entries);
	g_array_unref(entries);
}

/*
 * All entries are killed at once in the middle of a window, and what they counted
 * in it is on record. Whoever reports it then adds what came in after the start
 * to neither nothing nor to what it knows alone: the record includes both.
 */
static void test_the_record_goes_before_what_a_new_start_knows(void **state)
{
	usage_t *usage = usage_create();
	uint64_t sum = 0;

	(void)state;
	adopt(usage, 40);
	usage_add(usage, 7, "mill");
	usage_compose(usage, 7, add_up, &sum);
	assert_int_equal(sum, 41);
	usage_recorded(usage);
	sum = 0;
	usage_sum(usage, 7, add_up, &sum);
	assert_int_equal(sum, 41);
	usage_destroy(usage);
}

/*
 * The keeper of the record dies, and a peer that had told it 30 of its 33 requests
 * tells the next one all of them. Added to the record, which has the 30, the
 * customer would be billed for them twice.
 */
static void test_a_new_keeper_counts_nothing_twice(void **state)
{
	const usage_entry_t told = { 7, "mill", 33, 30 };
	usage_t *usage = usage_create();
	uint64_t sum = 0;

	(void)state;
	adopt(usage, 40);
	usage_keep(usage, "e1#1", &told);
	usage_compose(usage, 7, add_up, &sum);
	assert_int_equal(sum, 43);
	assert_true(usage_owes(usage));
	usage_recorded(usage);
	assert_false(usage_owes(usage));
	usage_destroy(usage);
}

/*
 * The time of day of this VM jumps by seconds. Its own clock alone would put
 * requests into the wrong window, and report one that has not ended.
 */
static void test_a_jump_of_the_own_clock_is_outvoted(void **state)
{
	const pd_time_t wall = 1700000000 * PD_SEC;
	time_vote_t *vote = time_vote_create();

	(void)state;
	time_vote_hear(vote, "e1", wall, START);
	time_vote_hear(vote, "e2", wall + 3 * PD_MSEC, START);
	assert_int_equal(time_vote_wall(vote, wall + 5 * PD_SEC, START),
			 wall + 3 * PD_MSEC);
	assert_int_equal(time_vote_wall(vote, wall - 5 * PD_SEC, START), wall);
	time_vote_destroy(vote);
}

/* A peer that starts anew counts from nothing; that is no negative work. */
static void test_work_of_a_restarted_peer(void **state)
{
	work_rate_t *work = work_rate_create();
	pd_time_t now = START;
	double total = 0;

	(void)state;
	work_rate_run(work, now);
	for (int i = 0; i < 100; i++) {
		now += 500 * PD_MSEC;
		total = i == 50 ? 0 : total + 500;
		work_rate_heard(work, "e1", "s", total);
		work_rate_run(work, now);
	}
	assert_true(work_rate_of(work, "s") > 900);
	assert_true(work_rate_of(work, "s") < 1100);
	work_rate_destroy(work);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_repeats_stay_within_their_part),
		cmocka_unit_test(test_repeats_of_the_past_are_forgotten),
		cmocka_unit_test(test_counts_of_a_dead_peer_stay_in_the_sum),
		cmocka_unit_test(test_the_record_goes_before_what_a_new_start_knows),
		cmocka_unit_test(test_a_new_keeper_counts_nothing_twice),
		cmocka_unit_test(test_a_jump_of_the_own_clock_is_outvoted),
		cmocka_unit_test(test_work_of_a_restarted_peer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
