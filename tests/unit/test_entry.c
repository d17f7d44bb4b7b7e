/* The entry's core as a whole: readiness, retries, refusals, stopping. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "tests/harness/drive.h"

static int setup(void **state)
{
	drive_t *drive = drive_create("entry-1", "zone-a", 7);

	drive_bundle(drive, 1);
	drive_vms(drive, 2, 2, 4);
	drive_clear(drive);
	*state = drive;
	return 0;
}

static int teardown(void **state)
{
	drive_destroy(*state);
	return 0;
}

static void expect_refusal(drive_t *drive, refusal_t refusal, refusal_reason_t reason)
{
	action_t *action = drive_take(drive, ACTION_REFUSE);

	assert_non_null(action);
	assert_int_equal(action->refuse.refusal, refusal);
	assert_int_equal(action->refuse.reason, reason);
	action_destroy(action);
}

static attempt_id_t expect_dispatch(drive_t *drive, uint64_t offset)
{
	action_t *action = drive_take(drive, ACTION_DISPATCH);
	attempt_id_t attempt;

	assert_non_null(action);
	assert_int_equal(action->dispatch.offset, offset);
	attempt = action->dispatch.attempt;
	action_destroy(action);
	return attempt;
}

/*
 * The VM list lags, so a fresh entry's first list may be empty though VMs are
 * live. Callers sent there by the balancer would be refused for nothing.
 */
static void test_not_ready_before_a_vm_is_listed(void **state)
{
	drive_t *drive = drive_create("entry-2", "zone-a", 7);

	(void)state;
	drive_bundle(drive, 1);
	drive_vms(drive, 0, 0, 4);
	assert_false(entry_is_ready(drive->entry));
	drive_vms(drive, 1, 0, 4);
	assert_true(entry_is_ready(drive->entry));
	drive_vms(drive, 0, 0, 4);
	assert_true(entry_is_ready(drive->entry));
	drive_destroy(drive);
}

/*
 * An engine dies in the middle of a stream. The caller's answer must go on from
 * the next token, with none twice and none missing.
 */
static void test_a_broken_stream_resumes_at_its_offset(void **state)
{
	drive_t *drive = *state;
	attempt_id_t first;
	attempt_id_t second;

	drive_request(drive, TARGET_MODEL, "m", NULL);
	first = expect_dispatch(drive, 0);
	drive_upstream(drive, UPSTREAM_TOKEN, first, 0, true);
	drive_upstream(drive, UPSTREAM_TOKEN, first, 1, true);
	drive_upstream(drive, UPSTREAM_FAILED, first, 0, true);
	second = expect_dispatch(drive, 2);
	drive_upstream(drive, UPSTREAM_TOKEN, first, 2, true);
	drive_upstream(drive, UPSTREAM_TOKEN, second, 1, true);
	drive_upstream(drive, UPSTREAM_TOKEN, second, 2, true);
	assert_int_equal(drive_count(drive, ACTION_TOKEN), 3);
	drive_upstream(drive, UPSTREAM_END, second, 0, true);
	assert_int_equal(drive_count(drive, ACTION_END), 1);
	assert_int_equal(entry_in_flight(drive->entry), 0);
}

/*
 * A stream's connection goes silent: no error, no token. Waiting for an error
 * would hold the caller until its deadline.
 */
static void test_a_silent_stream_is_moved(void **state)
{
	drive_t *drive = *state;

	drive_request(drive, TARGET_MODEL, "m", NULL);
	drive_upstream(drive, UPSTREAM_TOKEN, expect_dispatch(drive, 0), 0, true);
	drive_tick(drive, 4 * PD_SEC);
	assert_int_equal(drive_count(drive, ACTION_CANCEL), 1);
	expect_dispatch(drive, 1);
}

/*
 * The engine is full and keeps a stream waiting for its turn, longer than a
 * silent connection is given. Sent elsewhere each time, the stream would lose
 * its place and in the end fail; the engine's comments say that it is alive.
 */
static void test_a_stream_that_waits_its_turn_stays(void **state)
{
	drive_t *drive = *state;
	attempt_id_t attempt;

	drive_request(drive, TARGET_MODEL, "m", NULL);
	attempt = expect_dispatch(drive, 0);
	for (int i = 0; i < 10; i++) {
		drive_tick(drive, 1 * PD_SEC);
		drive_upstream(drive, UPSTREAM_QUEUED, attempt, 0, true);
	}
	assert_int_equal(drive_count(drive, ACTION_CANCEL), 0);
	drive_tick(drive, 5 * PD_SEC);
	assert_int_equal(drive_count(drive, ACTION_CANCEL), 1);
}

static void test_no_upstream_is_not_run(void **state)
{
	drive_t *drive = *state;

	drive_vms(drive, 0, 2, 4);
	drive_request(drive, TARGET_MODEL, "m", NULL);
	expect_refusal(drive, REFUSAL_NOT_RUN, REASON_NO_UPSTREAM);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 0);
}

static void test_an_older_bundle_is_not_taken(void **state)
{
	drive_t *drive = *state;

	drive_bundle(drive, 5);
	drive_bundle(drive, 4);
	assert_int_equal(entry_generation(drive->entry), 5);
}

/* Puts a not-repeatable call through its claim; returns its attempt. */
static attempt_id_t claimed_call(drive_t *drive, const char *key)
{
	action_t *read;
	action_t *write;

	drive_request(drive, TARGET_SERVICE, "once", key);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 0);
	read = drive_take(drive, ACTION_STORE_READ);
	assert_non_null(read);
	drive_store_reply(drive, read, STORE_MISSING, 0, NULL);
	write = drive_take(drive, ACTION_STORE_WRITE);
	assert_non_null(write);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 0);
	drive_store_reply(drive, write, STORE_OK, 1, NULL);
	action_destroy(read);
	action_destroy(write);
	return expect_dispatch(drive, 0);
}

/*
 * The connection to a station breaks after the call was sent. It may have run,
 * so it must not be sent again, and the caller must not hear "not run".
 */
static void test_a_sent_call_is_never_sent_again(void **state)
{
	drive_t *drive = *state;
	attempt_id_t attempt = claimed_call(drive, "k");

	drive_upstream(drive, UPSTREAM_SENDING, attempt, 0, true);
	drive_upstream(drive, UPSTREAM_FAILED, attempt, 0, true);
	expect_refusal(drive, REFUSAL_OUTCOME_UNKNOWN, REASON_UPSTREAM_LOST);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 0);
	drive_request(drive, TARGET_SERVICE, "once", "k");
	for (action_t *ask; (ask = drive_take(drive, ACTION_STORE_READ));) {
		claim_table_t *table = claim_table_create();

		drive_store_reply(drive, ask, STORE_DOWN, 0, table);
		claim_table_destroy(table);
		action_destroy(ask);
	}
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 0);
}

/* Nothing was written, so the same claim may go to another upstream. */
static void test_a_refused_connection_is_tried_elsewhere(void **state)
{
	drive_t *drive = *state;
	attempt_id_t attempt = claimed_call(drive, "k");

	drive_upstream(drive, UPSTREAM_FAILED, attempt, 0, false);
	expect_dispatch(drive, 0);
}

/*
 * The store is down when a station call comes. It can't be claimed, so it must
 * not run; the caller hears so at once and may come back.
 */
static void test_store_down_is_not_run_at_once(void **state)
{
	drive_t *drive = *state;
	action_t *read;

	drive_request(drive, TARGET_SERVICE, "once", "k");
	read = drive_take(drive, ACTION_STORE_READ);
	drive_store_reply(drive, read, STORE_DOWN, 0, NULL);
	expect_refusal(drive, REFUSAL_NOT_RUN, REASON_STORE_DOWN);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 0);
	action_destroy(read);
}

/*
 * Office work fills the engine and its queue when a line terminal asks. The
 * terminal must get the next free slot though it came last.
 */
static void test_urgent_goes_before_normal(void **state)
{
	drive_t *drive = *state;
	attempt_id_t first;
	action_t *action;

	drive_vms(drive, 1, 0, 1);
	drive_request(drive, TARGET_MODEL, "m", NULL);
	first = expect_dispatch(drive, 0);
	drive_request(drive, TARGET_MODEL, "m", NULL);
	drive_urgent_request(drive, "m");
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 0);
	drive_upstream(drive, UPSTREAM_END, first, 0, true);
	action = drive_take(drive, ACTION_DISPATCH);
	assert_non_null(action);
	assert_int_equal(action->dispatch.priority, PRIORITY_URGENT);
	action_destroy(action);
}

/*
 * An operator stops an entry. What runs there must end by itself, and callers
 * that the balancer still sends for a moment must be served.
 */
static void test_a_stop_waits_for_what_runs(void **state)
{
	drive_t *drive = *state;
	event_t stop = { .kind = EVENT_STOP };
	attempt_id_t attempt;

	drive_request(drive, TARGET_MODEL, "m", NULL);
	attempt = expect_dispatch(drive, 0);
	drive_event(drive, &stop);
	assert_false(entry_is_ready(drive->entry));
	drive_request(drive, TARGET_SERVICE, "s", NULL);
	drive_upstream(drive, UPSTREAM_ANSWER, expect_dispatch(drive, 0), 0, true);
	for (int i = 0; i < 5; i++) {
		drive_upstream(drive, UPSTREAM_TOKEN, attempt, (uint64_t)i, true);
		drive_tick(drive, 1 * PD_SEC);
	}
	assert_int_equal(drive_count(drive, ACTION_STOPPED), 0);
	drive_upstream(drive, UPSTREAM_END, attempt, 0, true);
	drive_tick(drive, 1 * PD_SEC);
	assert_int_equal(drive_count(drive, ACTION_STOPPED), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_not_ready_before_a_vm_is_listed),
		cmocka_unit_test_setup_teardown(test_a_broken_stream_resumes_at_its_offset,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_silent_stream_is_moved,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_stream_that_waits_its_turn_stays,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_no_upstream_is_not_run,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_an_older_bundle_is_not_taken,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_sent_call_is_never_sent_again,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_refused_connection_is_tried_elsewhere,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_store_down_is_not_run_at_once,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_urgent_goes_before_normal,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_stop_waits_for_what_runs,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
