/*
 * How an entry ends: planned stops, and the handover when its VM is reclaimed.
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
 * Replies to all reads with status READ, and to all writes with status WRITE.
 */
static void reply_to_store_actions(drive_t *drive, store_status_t read,
				   store_status_t write)
{
	action_t *pending;

	while ((pending = drive_take(drive, ACTION_STORE_READ))) {
		drive_store_reply(drive, pending, read, 0, NULL);
		action_destroy(pending);
	}
	while ((pending = drive_take(drive, ACTION_STORE_WRITE))) {
		drive_store_reply(drive, pending, write, 1, NULL);
		action_destroy(pending);
	}
}

/*
 * Ticks for up to LIMIT with the store down; returns whether the entry stopped.
 */
static bool is_stopped_within(drive_t *drive, pd_time_t limit)
{
	for (pd_time_t t = 0; t < limit; t += PD_SEC) {
		reply_to_store_actions(drive, STORE_DOWN, STORE_DOWN);
		drive_tick(drive, PD_SEC);
		if (drive_count(drive, ACTION_STOPPED) > 0)
			return true;
	}
	return false;
}

/*
 * The store goes down while a call with a claim runs, and operators stop the
 * entry. The call's answer can't be recorded. An entry that waited for the
 * store would block its replacement as long as the outage lasts; one that
 * exited at once would lose the record to a short outage.
 */
static void test_stop_completes_while_store_is_down(void **state)
{
	drive_t *drive = *state;
	event_t stop = { .kind = EVENT_STOP };
	attempt_id_t attempt;

	drive_request(drive, TARGET_SERVICE, "once", "k");
	reply_to_store_actions(drive, STORE_MISSING, STORE_OK);
	attempt = expect_dispatch(drive, 0);
	drive_upstream(drive, UPSTREAM_SENDING, attempt, 0, true);
	drive_event(drive, &stop);
	drive_event(drive, &stop);
	assert_false(is_stopped_within(drive, 5 * PD_SEC));
	drive_upstream(drive, UPSTREAM_ANSWER, attempt, 0, true);
	assert_int_equal(drive_count(drive, ACTION_ANSWER), 1);
	assert_false(is_stopped_within(drive, 10 * PD_SEC));
	assert_true(is_stopped_within(drive, 60 * PD_SEC));
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 0);
}

/* Adds PEERS peers, at ports 1 and up. */
static void add_peers(drive_t *drive, unsigned int peers)
{
	for (unsigned int i = 1; i <= peers; i++) {
		char *id = g_strdup_printf("peer-%u", i);
		const member_info_t info = { .id = id,
					     .zone = (char *)"zone-b",
					     .address = (char *)"127.0.0.1",
					     .peer_port = (uint16_t)i,
					     .incarnation = 1 };
		event_t event = { .kind = EVENT_PEER_SEEDS, .seeds = { &info, 1 } };

		drive_event(drive, &event);
		g_free(id);
	}
	/*
	 * They send nothing, so the entry serves without a message from them.
	 */
	drive_tick(drive, 3 * PD_SEC);
	drive_clear(drive);
}

/* Gives the entry the notice that its VM is reclaimed. */
static void reclaim(drive_t *drive, pd_time_t notice)
{
	event_t stop = { .kind = EVENT_STOP };

	entry_set_reclaim_time(drive->entry, drive->now + notice);
	drive_event(drive, &stop);
}

/*
 * Takes the next message of that kind; returns the port that it is sent to, 0
 * if there is none.
 */
static uint16_t take_message(drive_t *drive, peer_msg_kind_t kind)
{
	action_t *action;
	uint16_t port = 0;

	while (!port && (action = drive_take(drive, ACTION_PEER_SEND))) {
		if (action->peer.msg->kind == kind)
			port = action->peer.port;
		action_destroy(action);
	}
	return port;
}

/*
 * All VMs of an availability zone are reclaimed at once. If an entry did not
 * announce its notice, other entries that are reclaimed with it would hand
 * their requests over to it, and the load balancer would send it callers to the
 * end.
 */
static void test_notice_takes_effect_at_once(void **state)
{
	drive_t *drive = *state;
	action_t *action;
	unsigned int notified = 0;

	add_peers(drive, 3);
	reclaim(drive, 30 * PD_SEC);
	assert_false(entry_is_ready(drive->entry));
	drive_tick(drive, 20 * PD_MSEC);
	while ((action = drive_take(drive, ACTION_PEER_SEND))) {
		notified += action->peer.msg->from.state == MEMBER_LEFT;
		action_destroy(action);
	}
	assert_true(notified >= 3);
}

/*
 * The peer that should take an answer is dead or leaving too, and does not
 * reply. The next ones are asked. When none replies the caller is still told
 * its offset, since otherwise its connection would break without notice when
 * the VM goes.
 */
static void test_unresponsive_peers_are_skipped(void **state)
{
	drive_t *drive = *state;
	uint16_t offered_to[3];
	action_t *moved;
	attempt_id_t attempt;

	add_peers(drive, 5);
	drive_request(drive, TARGET_MODEL, "m", NULL);
	attempt = expect_dispatch(drive, 0);
	drive_upstream(drive, UPSTREAM_TOKEN, attempt, 0, true);
	reclaim(drive, 2 * PD_SEC);
	for (size_t i = 0; i < G_N_ELEMENTS(offered_to); i++) {
		drive_tick(drive, 400 * PD_MSEC);
		offered_to[i] = take_message(drive, PEER_HANDOVER);
		assert_true(offered_to[i] > 0);
		assert_int_equal(drive_count(drive, ACTION_MOVED), 0);
	}
	assert_true(offered_to[0] != offered_to[1] &&
		    offered_to[1] != offered_to[2] &&
		    offered_to[0] != offered_to[2]);
	drive_tick(drive, 400 * PD_MSEC);
	moved = drive_take(drive, ACTION_MOVED);
	assert_non_null(moved);
	assert_int_equal(moved->reply.offset, 1);
	action_destroy(moved);
	assert_int_equal(entry_in_flight(drive->entry), 0);
}

/* A long notice must not move an answer that finishes in time. */
static void test_long_notice_lets_answers_finish(void **state)
{
	drive_t *drive = *state;
	attempt_id_t attempt;

	add_peers(drive, 2);
	drive_request(drive, TARGET_MODEL, "m", NULL);
	attempt = expect_dispatch(drive, 0);
	reclaim(drive, 10 * PD_SEC);
	for (uint64_t i = 0; i < 7; i++) {
		drive_tick(drive, PD_SEC);
		drive_upstream(drive, UPSTREAM_TOKEN, attempt, i, true);
	}
	drive_upstream(drive, UPSTREAM_END, attempt, 0, true);
	assert_int_equal(drive_count(drive, ACTION_END), 1);
	assert_int_equal(drive_count(drive, ACTION_MOVED), 0);
	assert_int_equal(take_message(drive, PEER_HANDOVER), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_stop_completes_while_store_is_down,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_notice_takes_effect_at_once,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_unresponsive_peers_are_skipped,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_long_notice_lets_answers_finish,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
