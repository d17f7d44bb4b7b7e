/* How one entry ends: planned stops, and hand-over when its VM is reclaimed. */
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

/* Answers every read and write of claims the same way. */
static void answer_store(drive_t *drive, store_status_t read, store_status_t write)
{
	action_t *ask;

	while ((ask = drive_take(drive, ACTION_STORE_READ))) {
		drive_store_reply(drive, ask, read, 0, NULL);
		action_destroy(ask);
	}
	while ((ask = drive_take(drive, ACTION_STORE_WRITE))) {
		drive_store_reply(drive, ask, write, 1, NULL);
		action_destroy(ask);
	}
}

/* Ticks for that long with the store down; returns whether the entry stopped. */
static bool stops_within(drive_t *drive, pd_time_t limit)
{
	for (pd_time_t t = 0; t < limit; t += PD_SEC) {
		answer_store(drive, STORE_DOWN, STORE_DOWN);
		drive_tick(drive, PD_SEC);
		if (drive_count(drive, ACTION_STOPPED) > 0)
			return true;
	}
	return false;
}

/*
 * The store goes down while a station call runs, and operators stop the entry.
 * The call's answer can't be recorded. An entry that waited for the store would
 * block the replacement as long as the outage lasts; one that left at once
 * would lose the record to a blip.
 */
static void test_a_stop_ends_while_the_store_is_down(void **state)
{
	drive_t *drive = *state;
	event_t stop = { .kind = EVENT_STOP };
	attempt_id_t attempt;

	drive_request(drive, TARGET_SERVICE, "once", "k");
	answer_store(drive, STORE_MISSING, STORE_OK);
	attempt = expect_dispatch(drive, 0);
	drive_upstream(drive, UPSTREAM_SENDING, attempt, 0, true);
	drive_event(drive, &stop);
	drive_event(drive, &stop);
	assert_false(stops_within(drive, 5 * PD_SEC));
	drive_upstream(drive, UPSTREAM_ANSWER, attempt, 0, true);
	assert_int_equal(drive_count(drive, ACTION_ANSWER), 1);
	assert_false(stops_within(drive, 10 * PD_SEC));
	assert_true(stops_within(drive, 60 * PD_SEC));
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 0);
}

/* Makes the entry know PEERS others, at ports 1 and up. */
static void know_peers(drive_t *drive, unsigned int peers)
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
	/* They say nothing, so the entry serves without having heard them. */
	drive_tick(drive, 3 * PD_SEC);
	drive_clear(drive);
}

static void reclaim(drive_t *drive, pd_time_t notice)
{
	event_t stop = { .kind = EVENT_STOP };

	entry_leave_by(drive->entry, drive->now + notice);
	drive_event(drive, &stop);
}

/* Takes the next message of that kind; returns the port it goes to, 0: none. */
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
 * An availability zone is reclaimed at once. An entry that kept its notice to
 * itself would be given the requests of others that go with it, and be sent
 * callers by the balancer to the end.
 */
static void test_a_notice_shows_at_once(void **state)
{
	drive_t *drive = *state;
	action_t *action;
	unsigned int told = 0;

	know_peers(drive, 3);
	reclaim(drive, 30 * PD_SEC);
	assert_false(entry_is_ready(drive->entry));
	drive_tick(drive, 20 * PD_MSEC);
	while ((action = drive_take(drive, ACTION_PEER_SEND))) {
		told += action->peer.msg->from.state == MEMBER_LEFT;
		action_destroy(action);
	}
	assert_true(told >= 3);
}

/*
 * The peer that should take an answer is dead or leaves too, and says nothing.
 * The next ones are asked; when none answers the caller is still told where it
 * stands, since the VM's end would break its connection without a word.
 */
static void test_silent_peers_are_passed_over(void **state)
{
	drive_t *drive = *state;
	uint16_t asked[3];
	action_t *moved;
	attempt_id_t attempt;

	know_peers(drive, 5);
	drive_request(drive, TARGET_MODEL, "m", NULL);
	attempt = expect_dispatch(drive, 0);
	drive_upstream(drive, UPSTREAM_TOKEN, attempt, 0, true);
	reclaim(drive, 2 * PD_SEC);
	for (size_t i = 0; i < G_N_ELEMENTS(asked); i++) {
		drive_tick(drive, 400 * PD_MSEC);
		asked[i] = take_message(drive, PEER_HANDOVER);
		assert_true(asked[i] > 0);
		assert_int_equal(drive_count(drive, ACTION_MOVED), 0);
	}
	assert_true(asked[0] != asked[1] && asked[1] != asked[2] &&
		    asked[0] != asked[2]);
	drive_tick(drive, 400 * PD_MSEC);
	moved = drive_take(drive, ACTION_MOVED);
	assert_non_null(moved);
	assert_int_equal(moved->reply.offset, 1);
	action_destroy(moved);
	assert_int_equal(entry_in_flight(drive->entry), 0);
}

/* A long notice must not move an answer that ends in time where it is. */
static void test_a_long_notice_lets_answers_end(void **state)
{
	drive_t *drive = *state;
	attempt_id_t attempt;

	know_peers(drive, 2);
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
		cmocka_unit_test_setup_teardown(test_a_stop_ends_while_the_store_is_down,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_notice_shows_at_once,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_silent_peers_are_passed_over,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_long_notice_lets_answers_end,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
