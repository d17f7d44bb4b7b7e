/*
 * The entry's core as a whole: readiness, retries, refusals and planned stops.
 */
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

/* Takes the next refusal and checks it. */
static void expect_refusal(drive_t *drive, refusal_t refusal, refusal_reason_t reason)
{
	action_t *action = drive_take(drive, ACTION_REFUSE);

	assert_non_null(action);
	assert_int_equal(action->refuse.refusal, refusal);
	assert_int_equal(action->refuse.reason, reason);
	action_destroy(action);
}

/* Takes the next dispatch and checks its offset; returns its attempt. */
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
 * The VM list lags, so a new entry's first list may be empty though VMs are
 * live. If the entry were ready on it, the load balancer would send it callers
 * that it must refuse.
 */
static void test_not_ready_before_first_vm_is_listed(void **state)
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
 * An engine fails in the middle of a stream. The answer must continue from the
 * next token, without duplicates or gaps.
 */
static void test_broken_stream_resumes_at_its_offset(void **state)
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
 * A stream's connection stalls without an error. Waiting for an error would
 * block the caller until its deadline.
 */
static void test_stalled_stream_is_moved(void **state)
{
	drive_t *drive = *state;

	drive_request(drive, TARGET_MODEL, "m", NULL);
	drive_upstream(drive, UPSTREAM_TOKEN, expect_dispatch(drive, 0), 0, true);
	drive_tick(drive, 4 * PD_SEC);
	assert_int_equal(drive_count(drive, ACTION_CANCEL), 1);
	expect_dispatch(drive, 1);
}

/*
 * A full engine queues a stream for longer than the time-out of a stalled
 * connection. Sent elsewhere each time, the stream would lose its place and
 * finally fail; the engine's comment lines show that it is alive.
 */
static void test_queued_stream_is_not_moved(void **state)
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

static void test_older_bundle_is_ignored(void **state)
{
	drive_t *drive = *state;

	drive_bundle(drive, 5);
	drive_bundle(drive, 4);
	assert_int_equal(entry_generation(drive->entry), 5);
}

/*
 * Sends a call that is not repeatable and completes its claim; returns its
 * attempt.
 */
static attempt_id_t start_claimed_call(drive_t *drive, const char *key)
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
 * The connection to a service breaks after the call was sent. It may have run,
 * so it must not be sent again, and the caller must not be told "not run".
 */
static void test_sent_call_is_never_resent(void **state)
{
	drive_t *drive = *state;
	attempt_id_t attempt = start_claimed_call(drive, "k");

	drive_upstream(drive, UPSTREAM_SENDING, attempt, 0, true);
	drive_upstream(drive, UPSTREAM_FAILED, attempt, 0, true);
	expect_refusal(drive, REFUSAL_OUTCOME_UNKNOWN, REASON_UPSTREAM_LOST);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 0);
	drive_request(drive, TARGET_SERVICE, "once", "k");
	for (action_t *read; (read = drive_take(drive, ACTION_STORE_READ));) {
		claim_table_t *table = claim_table_create();

		drive_store_reply(drive, read, STORE_DOWN, 0, table);
		claim_table_destroy(table);
		action_destroy(read);
	}
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 0);
}

/* Nothing was sent, so the same claim may go to another upstream. */
static void test_refused_connection_is_retried_elsewhere(void **state)
{
	drive_t *drive = *state;
	attempt_id_t attempt = start_claimed_call(drive, "k");

	drive_upstream(drive, UPSTREAM_FAILED, attempt, 0, false);
	expect_dispatch(drive, 0);
}

/*
 * The store is down when a call that needs a claim arrives. It must not run,
 * and the caller must be told so at once and may retry.
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
 * Normal requests fill the engine and its queue before an urgent one arrives.
 * The urgent one must get the next free slot.
 */
static void test_urgent_is_dispatched_before_normal(void **state)
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
 * An operator stops an entry. Requests in flight must complete, and callers
 * that the load balancer still sends for a moment must be served.
 */
static void test_stop_waits_for_requests_in_flight(void **state)
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
		cmocka_unit_test(test_not_ready_before_first_vm_is_listed),
		cmocka_unit_test_setup_teardown(test_broken_stream_resumes_at_its_offset,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_stalled_stream_is_moved,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_queued_stream_is_not_moved,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_no_upstream_is_not_run,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_older_bundle_is_ignored,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_sent_call_is_never_resent,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_refused_connection_is_retried_elsewhere,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_store_down_is_not_run_at_once,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_urgent_is_dispatched_before_normal,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_stop_waits_for_requests_in_flight,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
