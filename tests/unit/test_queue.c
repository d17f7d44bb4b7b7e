/* The queues: order of priorities, refusals, and the cost of a token. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/queue.h"
#include "tests/harness/drive.h"

#define SLOTS 2
#define NORMAL_REQUESTS 30

static int setup(void **state)
{
	drive_t *drive = drive_create("entry-1", "zone-a", 7);

	drive_bundle(drive, 1);
	drive_vms(drive, 1, 0, SLOTS);
	drive_clear(drive);
	*state = drive;
	return 0;
}

static int teardown(void **state)
{
	drive_destroy(*state);
	return 0;
}

/* Adds a request of that priority to its queue. */
static void add_queued_request(drive_t *drive, priority_t priority)
{
	const target_t *target = bundle_target(drive->entry->bundle, "m");
	GBytes *body = g_bytes_new_static("p", 1);
	caller_request_t from = { .caller = ++drive->next_caller,
				  .kind = TARGET_MODEL,
				  .key_hash = DRIVE_KEY_HASH,
				  .target = "m",
				  .body = body };
	request_t *request = request_create(drive->entry, &from, target);

	request->priority = priority;
	queue_add(drive->entry, request, false);
	g_bytes_unref(body);
}

/* Ends the first attempt that was dispatched; returns its priority. */
static priority_t end_first_attempt(drive_t *drive)
{
	action_t *action = drive_take(drive, ACTION_DISPATCH);
	priority_t priority;

	assert_non_null(action);
	priority = action->dispatch.priority;
	drive_upstream(drive, UPSTREAM_END, action->dispatch.attempt, 0, true);
	action_destroy(action);
	return priority;
}

/*
 * Batch requests behind a steady stream of normal ones would wait until their
 * deadline; so one of eight that are dispatched is a batch request.
 */
static void test_batch_work_is_not_starved(void **state)
{
	drive_t *drive = *state;
	unsigned int before = 0;

	for (int i = 0; i < NORMAL_REQUESTS; i++)
		add_queued_request(drive, PRIORITY_NORMAL);
	add_queued_request(drive, PRIORITY_BATCH);
	drive_tick(drive, PD_MSEC);
	while (end_first_attempt(drive) != PRIORITY_BATCH)
		before++;
	assert_in_range(before, 1, 8 + SLOTS);
}

/*
 * An entry handles ten thousand tokens a second while its queue is long. If
 * each of them scanned the queue, the entry would fall behind and all streams
 * would stall.
 */
static void test_token_does_not_scan_queue(void **state)
{
	drive_t *drive = *state;
	action_t *action;

	for (int i = 0; i < NORMAL_REQUESTS; i++)
		add_queued_request(drive, PRIORITY_NORMAL);
	drive_tick(drive, PD_MSEC);
	action = drive_take(drive, ACTION_DISPATCH);
	assert_false(drive->entry->room_may_exist);
	drive_upstream(drive, UPSTREAM_TOKEN, action->dispatch.attempt, 0, true);
	assert_false(drive->entry->room_may_exist);
	assert_int_equal(drive->entry->queued[PRIORITY_NORMAL],
			 NORMAL_REQUESTS - SLOTS);
	action_destroy(action);
}

/* Returns the number of refused calls, and checks their refusals. */
static unsigned int take_refusals(drive_t *drive)
{
	unsigned int refused = 0;

	for (action_t *action; (action = drive_take(drive, ACTION_REFUSE));) {
		assert_int_equal(action->refuse.refusal, REFUSAL_NOT_RUN);
		assert_int_equal(action->refuse.reason, REASON_QUEUE_FULL);
		assert_true(action->refuse.retry_after >= PD_SEC);
		action_destroy(action);
		refused++;
	}
	return refused;
}

/*
 * The load is three times the capacity. A caller whose first token would come
 * too late must be refused at once, with a time to retry.
 */
static void test_late_request_is_refused_at_once(void **state)
{
	drive_t *drive = *state;

	for (int i = 0; i < NORMAL_REQUESTS; i++)
		drive_request(drive, TARGET_MODEL, "m", NULL);
	assert_int_equal(take_refusals(drive), NORMAL_REQUESTS - SLOTS);
	drive_urgent_request(drive, "m");
	assert_int_equal(take_refusals(drive), 0);
	assert_int_equal(drive->entry->queued[PRIORITY_URGENT], 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_batch_work_is_not_starved,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_token_does_not_scan_queue,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_late_request_is_refused_at_once,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
