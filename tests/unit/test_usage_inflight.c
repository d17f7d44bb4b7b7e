/* Tests of which requests in flight count for the usage of a window. */
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

/* One incarnation of the gateway on a VM. */
typedef struct incarnation {
	int vm;
	int number; /* unique on the VM */
	pd_time_t boot_time; /* time of day at which the VM's steady clock was 0 */
	pd_time_t started_at; /* time of day */
} incarnation_t;

static const incarnation_t first_incarnation = { 1, 1, NOON - 400 * PD_SEC, NOON };
static const incarnation_t second_incarnation = { 1, 2, NOON - 400 * PD_SEC,
						  NOON + 2 * PD_SEC };
static const incarnation_t run_after_reboot = { 1, 3, NOON + 3 * PD_SEC,
						NOON + 4 * PD_SEC };
/* The steady clock of a VM need not begin at 0. */
static const incarnation_t run_with_clock_offset = { 1, 3, NOON - 9000 * PD_SEC,
						     NOON + 4 * PD_SEC };

static uint64_t id_of(const incarnation_t *incarnation)
{
	char name[32];

	snprintf(name, sizeof(name), "g%d#%d", incarnation->vm,
		 incarnation->number);
	return usage_incarnation_id(name);
}

/*
 * Adds an incarnation's snapshot, taken at time of day AT: its count would be EXPECTED if
 * all its requests in flight were answered; 0: none is in flight.
 */
static void add_snapshot(report_t *report, const incarnation_t *incarnation,
			 pd_time_t at, int64_t window, uint64_t expected)
{
	inflight_snapshot_t *snapshot =
		inflight_snapshot_create(id_of(incarnation));

	snapshot->boot_time = incarnation->boot_time;
	snapshot->started_at = incarnation->started_at - incarnation->boot_time;
	snapshot->taken_at = at - incarnation->boot_time;
	snapshot->window = window;
	if (expected)
		inflight_snapshot_add(snapshot, "mill", expected);
	usage_inflight_update(report->inflight, snapshot);
}

static void count(report_t *report, const incarnation_t *incarnation,
		  uint64_t counted)
{
	const usage_entry_t entry = { WINDOW, id_of(incarnation), "mill", counted };

	usage_merge(report->usage, &entry);
}

static void add_lost(void *ctx, const usage_entry_t *entry)
{
	assert_string_equal(entry->account, "mill");
	assert_int_equal(entry->window, WINDOW);
	*(uint64_t *)ctx += entry->count;
}

static uint64_t lost_requests(const report_t *report)
{
	uint64_t sum = 0;

	usage_inflight_each_lost(report->inflight, report->usage, WINDOW,
				 add_lost, &sum);
	return sum;
}

/* The first incarnation has counted 40 requests, and has 6 in flight a second after its start. */
static int setup(void **state)
{
	report_t *report = g_new0(report_t, 1);

	report->usage = usage_create("g0#1");
	report->inflight = usage_inflight_create();
	count(report, &first_incarnation, 40);
	add_snapshot(report, &first_incarnation, NOON + PD_SEC, WINDOW, 46);
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

/* Guards against reports that omit requests which ran although their gateway lost power. */
static void test_power_loss_counts_requests_in_flight(void **state)
{
	report_t *report = *state;

	assert_int_equal(lost_requests(report), 0);
	add_snapshot(report, &run_after_reboot, run_after_reboot.started_at,
		     WINDOW, 0);
	assert_int_equal(lost_requests(report), 6);
}

static void test_steady_clock_may_start_at_any_value(void **state)
{
	report_t *report = *state;

	add_snapshot(report, &run_with_clock_offset,
		     run_with_clock_offset.started_at, WINDOW, 0);
	assert_int_equal(lost_requests(report), 6);
}

/* Guards against billing requests that were cancelled when their connections closed. */
static void test_killed_process_counts_no_requests_in_flight(void **state)
{
	report_t *report = *state;

	add_snapshot(report, &second_incarnation, second_incarnation.started_at,
		     WINDOW, 0);
	assert_int_equal(lost_requests(report), 0);
	add_snapshot(report, &run_after_reboot, run_after_reboot.started_at,
		     WINDOW, 0);
	assert_int_equal(lost_requests(report), 0);
}

/* Guards against counting an incarnation that was killed before the power loss. */
static void test_only_last_incarnation_of_boot_loses_power(void **state)
{
	report_t *report = *state;

	add_snapshot(report, &second_incarnation,
		     second_incarnation.started_at + PD_SEC / 2, WINDOW, 3);
	add_snapshot(report, &run_after_reboot, run_after_reboot.started_at,
		     WINDOW, 9);
	assert_int_equal(lost_requests(report), 3);
}

/* Guards against counting a request twice that another writer knows as answered. */
static void test_counted_requests_are_not_lost(void **state)
{
	report_t *report = *state;

	count(report, &first_incarnation, 44);
	add_snapshot(report, &run_after_reboot, run_after_reboot.started_at,
		     WINDOW, 0);
	assert_int_equal(lost_requests(report), 2);
	count(report, &first_incarnation, 50);
	assert_int_equal(lost_requests(report), 0);
}

static void test_latest_snapshot_wins(void **state)
{
	report_t *report = *state;

	add_snapshot(report, &first_incarnation, NOON + PD_SEC + 20 * PD_MSEC,
		     WINDOW, 43);
	add_snapshot(report, &first_incarnation, NOON + PD_SEC, WINDOW, 46);
	/* Requests may be sent between two snapshots of the same moment. */
	add_snapshot(report, &first_incarnation, NOON + PD_SEC + 20 * PD_MSEC,
		     WINDOW, 41);
	add_snapshot(report, &run_after_reboot, run_after_reboot.started_at,
		     WINDOW, 0);
	assert_int_equal(lost_requests(report), 1);
}

/* Guards against counting a request in two windows. */
static void test_requests_count_in_window_of_latest_snapshot(void **state)
{
	report_t *report = *state;

	add_snapshot(report, &first_incarnation, NOON + PD_SEC + 20 * PD_MSEC,
		     WINDOW + 1, 6);
	add_snapshot(report, &run_after_reboot, run_after_reboot.started_at,
		     WINDOW + 1, 0);
	assert_int_equal(lost_requests(report), 0);
}

/* Guards against taking a clock correction for a reboot. */
static void test_clock_correction_is_no_reboot(void **state)
{
	report_t *report = *state;
	incarnation_t corrected = second_incarnation;

	corrected.boot_time += 5 * PD_SEC;
	corrected.started_at += 5 * PD_SEC;
	add_snapshot(report, &corrected, corrected.started_at, WINDOW, 0);
	assert_int_equal(lost_requests(report), 0);
}

static void test_reboots_of_other_vms_are_ignored(void **state)
{
	report_t *report = *state;
	incarnation_t other = run_after_reboot;

	other.vm = 2;
	add_snapshot(report, &other, other.started_at, WINDOW, 0);
	assert_int_equal(lost_requests(report), 0);
}

static void test_old_windows_are_discarded(void **state)
{
	report_t *report = *state;

	usage_inflight_discard(report->inflight, WINDOW);
	assert_non_null(usage_inflight_find(report->inflight,
					    id_of(&first_incarnation)));
	usage_inflight_discard(report->inflight, WINDOW + 1);
	assert_null(usage_inflight_find(report->inflight,
					id_of(&first_incarnation)));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_power_loss_counts_requests_in_flight,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_steady_clock_may_start_at_any_value,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_killed_process_counts_no_requests_in_flight,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_only_last_incarnation_of_boot_loses_power,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_counted_requests_are_not_lost,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_latest_snapshot_wins,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_requests_count_in_window_of_latest_snapshot,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_clock_correction_is_no_reboot,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_reboots_of_other_vms_are_ignored,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_old_windows_are_discarded,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
