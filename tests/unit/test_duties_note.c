/* The note that a leader leaves to the next one, and the lease that carries it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "adapters/gateway/duties_note.h"
#include "core/lease.h"

#define START (1000 * PD_SEC)
#define OTHER "other"

static const lease_timing_t timing = {
	.term = 2500 * PD_MSEC,
	.renew_period = 1000 * PD_MSEC,
	.takeover_timeout = 3500 * PD_MSEC,
	.standby_period = 4000 * PD_MSEC,
};

static void test_a_note_survives_the_round_trip(void **state)
{
	duties_note_t *note = duties_note_create();
	duties_note_t *read;
	char *text;

	(void)state;
	duties_note_set_report(note, 7, "{\"counts\":{},\"windowId\":7}");
	duties_note_set_need(note, "s", 4.25);
	duties_note_set_need(note, "t", -1);
	text = duties_note_format(note);
	read = duties_note_parse(text);
	assert_int_equal(read->window, 7);
	assert_string_equal(read->report, note->report);
	assert_true(duties_note_need(read, "s") == 4.25);
	assert_true(duties_note_need(read, "t") == 0);
	duties_note_destroy(read);
	duties_note_destroy(note);
	g_free(text);
}

/* Guards against a crash or false data when the lease's record has an invalid note. */
static void test_an_invalid_note_is_empty(void **state)
{
	static const char *const invalid[] = { NULL,
					       "",
					       "7 {}",
					       "[]",
					       "{",
					       "{\"needs\":7}",
					       "{\"needs\":{\"s\":\"x\"}}",
					       "{\"report\":7}" };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		duties_note_t *note = duties_note_parse(invalid[i]);

		assert_null(note->report);
		assert_true(duties_note_need(note, "s") == 0);
		duties_note_destroy(note);
	}
}

/* Runs the lease once; returns its next action, owned by the caller, or NULL. */
static placer_action_t *next_action(lease_t *lease, pd_time_t now)
{
	list_node_t actions;
	list_node_t *node;

	list_init(&actions);
	lease_run(lease, now, &actions);
	node = list_pop(&actions);
	return node ? LIST_ENTRY(node, placer_action_t, node) : NULL;
}

/* Replies to a call of the lease; RECORD NULL: it does not exist. */
static void answer(lease_t *lease, const placer_action_t *action,
		   lease_record_t *record, uint64_t version, pd_time_t now)
{
	const lease_reply_t reply = {
		.op = action->lease.op,
		.status = record ? STORE_OK : STORE_MISSING,
		.version = version,
		.record = record,
	};

	lease_handle_reply(lease, &reply, now);
}

/*
 * Guards against planned loads that cost a call to the store of their own, or that keep
 * the leader from acting until they are written: they go with the next renewal.
 */
static void test_an_update_waits_for_the_renewal(void **state)
{
	lease_t *lease = lease_create("me", &timing, 1);
	pd_time_t now = START;
	placer_action_t *action;

	(void)state;
	while (!(action = next_action(lease, now)))
		now += 20 * PD_MSEC;
	answer(lease, action, NULL, 0, now);
	placer_action_destroy(action);
	action = next_action(lease, now);
	assert_int_equal(action->kind, PLACER_LEASE_WRITE);
	answer(lease, action, action->lease.record, 1, now);
	placer_action_destroy(action);
	assert_true(lease_set_note_deferred(lease, "n", now));
	assert_true(lease_is_synced(lease, now));
	assert_null(next_action(lease, now + timing.renew_period / 2));
	action = next_action(lease, now + timing.renew_period);
	assert_int_equal(action->kind, PLACER_LEASE_WRITE);
	assert_string_equal(action->lease.record->note, "n");
	placer_action_destroy(action);
	lease_destroy(lease);
}

/*
 * Guards against a slow takeover after the leader has ended. With the usual reading
 * period of a few seconds, nobody would order upstreams or report usage for twice the
 * takeover time.
 */
static void test_a_silent_leader_is_checked_at_once(void **state)
{
	lease_t *lease = lease_create("me", &timing, 1);
	lease_record_t *record = lease_record_create();
	pd_time_t now = START;
	placer_action_t *action;

	(void)state;
	record->holder = g_strdup(OTHER);
	for (uint64_t version = 1; version < 3; version++) {
		while (!(action = next_action(lease, now)))
			now += 20 * PD_MSEC;
		answer(lease, action, record, version, now);
		placer_action_destroy(action);
	}
	assert_null(next_action(lease, now + 100 * PD_MSEC));
	lease_check_now(lease, now + 100 * PD_MSEC);
	action = next_action(lease, now + 100 * PD_MSEC);
	assert_non_null(action);
	assert_int_equal(action->kind, PLACER_LEASE_READ);
	placer_action_destroy(action);
	lease_record_destroy(record);
	lease_destroy(lease);
}

/* Guards against a leader that pauses for seconds after a call to the store hung. */
static void test_a_hung_call_does_not_delay_the_next(void **state)
{
	lease_t *lease = lease_create("me", &timing, 1);
	const lease_reply_t silent = { .op = 1, .status = STORE_UNKNOWN };
	pd_time_t now = START;
	placer_action_t *action;

	(void)state;
	while (!(action = next_action(lease, now)))
		now += 20 * PD_MSEC;
	placer_action_destroy(action);
	lease_check_now(lease, now + PD_SEC / 2);
	assert_null(next_action(lease, now + PD_SEC / 2));
	lease_handle_reply(lease, &silent, now + PD_SEC);
	action = next_action(lease, now + PD_SEC);
	assert_non_null(action);
	assert_int_equal(action->kind, PLACER_LEASE_READ);
	placer_action_destroy(action);
	lease_destroy(lease);
}

/* Advances NOW until the lease makes a call; returns that, owned by the caller. */
static placer_action_t *await_action(lease_t *lease, pd_time_t *now)
{
	placer_action_t *action;

	while (!(action = next_action(lease, *now)))
		*now += 20 * PD_MSEC;
	return action;
}

/*
 * Has a lease that HOLDER holds with fencing token 4 read by a process of "a@1". Returns
 * its write, owned by the caller, and sets WAITED to how long it came after the read.
 */
static placer_action_t *take_over(const char *holder, pd_time_t *waited)
{
	lease_t *lease = lease_create("a@1#2", &timing, 1);
	lease_record_t *record = lease_record_create();
	placer_action_t *action;
	pd_time_t now = START;
	pd_time_t read_at;

	lease_set_predecessors(lease, "a@1#");
	record->holder = g_strdup(holder);
	record->fence = 4;
	action = await_action(lease, &now);
	read_at = now;
	while (action->kind == PLACER_LEASE_READ) {
		answer(lease, action, record, 7, now);
		placer_action_destroy(action);
		action = await_action(lease, &now);
	}
	*waited = now - read_at;
	lease_record_destroy(record);
	lease_destroy(lease);
	return action;
}

/* Guards against two machines of one name that act with the same fencing token. */
static void test_a_machine_of_the_same_name_waits_and_gets_a_new_token(void **state)
{
	static const char *const others[] = { "a@2#2", "a@1", "a@11#2", "a",
					      "b@1#2" };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		pd_time_t waited;
		placer_action_t *write = take_over(others[i], &waited);

		assert_string_equal(write->lease.record->holder, "a@1#2");
		assert_int_equal(write->lease.record->fence, 5);
		assert_true(waited >= timing.takeover_timeout);
		placer_action_destroy(write);
	}
}

/* Guards against reports that are late as a restarted leader waits for its own lease. */
static void test_a_restarted_leader_takes_its_lease_over_at_once(void **state)
{
	pd_time_t waited;
	placer_action_t *write = take_over("a@1#1", &waited);

	(void)state;
	assert_int_equal(write->lease.record->fence, 5);
	assert_int_equal(waited, 0);
	placer_action_destroy(write);
}

/*
 * Guards against a leader that stands by for seconds because a renewal that had timed
 * out was done late, so that its next write conflicts with it.
 */
static void test_a_conflict_with_our_own_late_write_is_retried(void **state)
{
	lease_t *lease = lease_create("me", &timing, 1);
	lease_record_t *record = lease_record_create();
	lease_reply_t reply = { .status = STORE_UNKNOWN };
	pd_time_t now = START;
	pd_time_t failed_at;
	placer_action_t *action;

	(void)state;
	record->holder = g_strdup("me");
	action = await_action(lease, &now);
	answer(lease, action, record, 1, now);
	placer_action_destroy(action);
	action = await_action(lease, &now);
	answer(lease, action, record, 2, now);
	placer_action_destroy(action);
	assert_true(lease_is_held(lease, now));
	/* The renewal is not answered until the lease has expired. */
	action = await_action(lease, &now);
	assert_int_equal(action->kind, PLACER_LEASE_WRITE);
	reply.op = action->lease.op;
	placer_action_destroy(action);
	now += timing.term;
	assert_false(lease_is_held(lease, now));
	failed_at = now;
	lease_handle_reply(lease, &reply, now);
	/* The store does it between the read that follows and the next write. */
	action = await_action(lease, &now);
	assert_int_equal(action->kind, PLACER_LEASE_READ);
	answer(lease, action, record, 2, now);
	placer_action_destroy(action);
	action = await_action(lease, &now);
	assert_int_equal(action->kind, PLACER_LEASE_WRITE);
	reply.op = action->lease.op;
	reply.status = STORE_CONFLICT;
	lease_handle_reply(lease, &reply, now);
	placer_action_destroy(action);
	action = await_action(lease, &now);
	assert_int_equal(action->kind, PLACER_LEASE_READ);
	placer_action_destroy(action);
	assert_true(now - failed_at < PD_SEC);
	lease_record_destroy(record);
	lease_destroy(lease);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_note_survives_the_round_trip),
		cmocka_unit_test(test_an_invalid_note_is_empty),
		cmocka_unit_test(test_an_update_waits_for_the_renewal),
		cmocka_unit_test(test_a_silent_leader_is_checked_at_once),
		cmocka_unit_test(test_a_hung_call_does_not_delay_the_next),
		cmocka_unit_test(
			test_a_machine_of_the_same_name_waits_and_gets_a_new_token),
		cmocka_unit_test(test_a_restarted_leader_takes_its_lease_over_at_once),
		cmocka_unit_test(test_a_conflict_with_our_own_late_write_is_retried),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
