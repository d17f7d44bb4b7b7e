/* Which requests in flight count for the usage of a window. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "core/forward/usage_inflight.h"

#define WINDOW 7
#define NOON (1000000 * PD_SEC) /* a time of day */

typedef struct report {
	usage_t *usage;
	usage_inflight_t *inflight;
} report_t;

/* A start of a VM whose steady clock was 0 at BOOTED. */
typedef struct life {
	int vm;
	int start;
	pd_time_t booted;
	pd_time_t begun; /* times of day */
} life_t;

static const life_t first = { 1, 1, NOON - 400 * PD_SEC, NOON };
static const life_t same_boot = { 1, 2, NOON - 400 * PD_SEC, NOON + 2 * PD_SEC };
static const life_t next_boot = { 1, 3, NOON + 3 * PD_SEC, NOON + 4 * PD_SEC };
/* The steady clock of a VM need not begin at 0. */
static const life_t older_boot = { 1, 3, NOON - 9000 * PD_SEC, NOON + 4 * PD_SEC };

static uint64_t start_of(const life_t *life)
{
	char incarnation[32];

	snprintf(incarnation, sizeof(incarnation), "g%d#%d", life->vm, life->start);
	return usage_incarnation_id(incarnation);
}

/* Has a start tell at a time of day that its count would be EXPECTED. */
static void tell(report_t *report, const life_t *life, pd_time_t at,
		 int64_t window, uint64_t expected)
{
	inflight_snapshot_t *flight = inflight_snapshot_create(start_of(life));

	flight->boot_time = life->booted;
	flight->started_at = life->begun - life->booted;
	flight->taken_at = at - life->booted;
	flight->window = window;
	if (expected)
		inflight_snapshot_add(flight, "mill", expected);
	usage_inflight_update(report->inflight, flight);
}

static void count(report_t *report, const life_t *life, uint64_t counted)
{
	const usage_entry_t entry = { WINDOW, start_of(life), "mill", counted };

	usage_merge(report->usage, &entry);
}

static void add_lost(void *ctx, const usage_entry_t *entry)
{
	assert_string_equal(entry->account, "mill");
	assert_int_equal(entry->window, WINDOW);
	*(uint64_t *)ctx += entry->count;
}

static uint64_t lost(const report_t *report)
{
	uint64_t sum = 0;

	usage_inflight_each_lost(report->inflight, report->usage, WINDOW,
				 add_lost, &sum);
	return sum;
}

/* The first start has counted 40 requests, and has 6 in flight a second later. */
static int setup(void **state)
{
	report_t *report = g_new0(report_t, 1);

	report->usage = usage_create("g0#1");
	report->inflight = usage_inflight_create();
	count(report, &first, 40);
	tell(report, &first, NOON + PD_SEC, WINDOW, 46);
	*state = report;
	return 0;
}

static int teardown(void **state)
{
	report_t *report = *state;

	usage_destroy(report->usage);
	usage_inflight_destroy(report->inflight);
	g_free(report);
	return 0;
}

/* Guards against reports without what upstreams ran after power was lost. */
static void test_requests_in_flight_count_when_power_is_lost(void **state)
{
	report_t *report = *state;

	assert_int_equal(lost(report), 0);
	tell(report, &next_boot, next_boot.begun, WINDOW, 0);
	assert_int_equal(lost(report), 6);
}

static void test_a_steady_clock_may_begin_anywhere(void **state)
{
	report_t *report = *state;

	tell(report, &older_boot, older_boot.begun, WINDOW, 0);
	assert_int_equal(lost(report), 6);
}

/* Guards against bills for requests that were dropped with their connections. */
static void test_requests_of_a_killed_process_do_not_count(void **state)
{
	report_t *report = *state;

	tell(report, &same_boot, same_boot.begun, WINDOW, 0);
	assert_int_equal(lost(report), 0);
	tell(report, &next_boot, next_boot.begun, WINDOW, 0);
	assert_int_equal(lost(report), 0);
}

/* Guards against kills in a row of which only the last is told. */
static void test_the_last_start_of_a_boot_loses_power(void **state)
{
	report_t *report = *state;

	tell(report, &same_boot, same_boot.begun + PD_SEC / 2, WINDOW, 3);
	tell(report, &next_boot, next_boot.begun, WINDOW, 9);
	assert_int_equal(lost(report), 3);
}

/* Guards against requests that are counted twice, as one writer knows more. */
static void test_what_was_counted_since_is_not_lost(void **state)
{
	report_t *report = *state;

	count(report, &first, 44);
	tell(report, &next_boot, next_boot.begun, WINDOW, 0);
	assert_int_equal(lost(report), 2);
	count(report, &first, 50);
	assert_int_equal(lost(report), 0);
}

static void test_what_was_told_last_holds(void **state)
{
	report_t *report = *state;

	tell(report, &first, NOON + PD_SEC + 20 * PD_MSEC, WINDOW, 43);
	tell(report, &first, NOON + PD_SEC, WINDOW, 46);
	/* Requests may be sent between two notes of the same moment. */
	tell(report, &first, NOON + PD_SEC + 20 * PD_MSEC, WINDOW, 41);
	tell(report, &next_boot, next_boot.begun, WINDOW, 0);
	assert_int_equal(lost(report), 1);
}

/* Guards against a request that counts in two windows. */
static void test_requests_count_in_the_window_that_was_told_last(void **state)
{
	report_t *report = *state;

	tell(report, &first, NOON + PD_SEC + 20 * PD_MSEC, WINDOW + 1, 6);
	tell(report, &next_boot, next_boot.begun, WINDOW + 1, 0);
	assert_int_equal(lost(report), 0);
}

/* Guards against clocks that are corrected and look like a boot. */
static void test_a_clock_that_is_set_is_no_boot(void **state)
{
	report_t *report = *state;
	life_t corrected = same_boot;

	corrected.booted += 5 * PD_SEC;
	corrected.begun += 5 * PD_SEC;
	tell(report, &corrected, corrected.begun, WINDOW, 0);
	assert_int_equal(lost(report), 0);
}

static void test_other_vms_say_nothing(void **state)
{
	report_t *report = *state;
	life_t other = next_boot;

	other.vm = 2;
	tell(report, &other, other.begun, WINDOW, 0);
	assert_int_equal(lost(report), 0);
}

static void test_old_windows_are_dropped(void **state)
{
	report_t *report = *state;

	usage_inflight_discard(report->inflight, WINDOW);
	assert_non_null(usage_inflight_find(report->inflight, start_of(&first)));
	usage_inflight_discard(report->inflight, WINDOW + 1);
	assert_null(usage_inflight_find(report->inflight, start_of(&first)));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_requests_in_flight_count_when_power_is_lost,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_steady_clock_may_begin_anywhere,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_requests_of_a_killed_process_do_not_count,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_the_last_start_of_a_boot_loses_power,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_what_was_counted_since_is_not_lost,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_what_was_told_last_holds,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_requests_count_in_the_window_that_was_told_last,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_clock_that_is_set_is_no_boot,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_other_vms_say_nothing,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_old_windows_are_dropped,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
