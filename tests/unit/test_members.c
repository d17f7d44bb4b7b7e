/*
 * How an entry uses what its peers report: which bundle they have, and when to
 * pull it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "tests/harness/drive.h"

#define PEERS 3

static member_info_t peer_info(unsigned int number)
{
	static char *const ids[PEERS] = { "peer-1", "peer-2", "peer-3" };

	return (member_info_t){ .id = ids[number],
				.zone = (char *)"zone-b",
				.address = (char *)"127.0.0.1",
				.peer_port = (uint16_t)(number + 1),
				.incarnation = 1 };
}

/* Creates an entry that knows three peers and has received no message yet. */
static int setup(void **state)
{
	drive_t *drive = drive_create("entry-1", "zone-a", 7);

	for (unsigned int i = 0; i < PEERS; i++) {
		const member_info_t info = peer_info(i);
		event_t event = { .kind = EVENT_PEER_SEEDS, .seeds = { &info, 1 } };

		drive_event(drive, &event);
	}
	drive_vms(drive, 1, 1, 4);
	drive_clear(drive);
	*state = drive;
	return 0;
}

static int teardown(void **state)
{
	drive_destroy(*state);
	return 0;
}

/* Delivers a ping of a peer that has bundle GENERATION in force. */
static void receive_ping(drive_t *drive, unsigned int peer, uint64_t generation)
{
	peer_msg_t *msg = peer_msg_create(PEER_PING);
	const member_info_t info = peer_info(peer);
	event_t event = { .kind = EVENT_PEER_MSG, .peer = msg };

	msg->sequence = 9;
	msg->generation = generation;
	member_info_copy(&msg->from, &info);
	drive_event(drive, &event);
	peer_msg_destroy(msg);
}

/* Returns how many bundle pulls were sent, and clears the sent messages. */
static unsigned int count_pulls(drive_t *drive)
{
	unsigned int pulls = 0;
	action_t *action;

	while ((action = drive_take(drive, ACTION_PEER_SEND))) {
		pulls += action->peer.msg->kind == PEER_BUNDLE_PULL;
		action_destroy(action);
	}
	return pulls;
}

/*
 * A new entry reads a stale bundle from the store, while its peers have a later
 * one. If it served at once, callers would be subject to accounts and
 * priorities that operators have replaced.
 */
static void test_stale_bundle_is_not_served(void **state)
{
	drive_t *drive = *state;

	drive_bundle(drive, 4);
	assert_false(entry_is_ready(drive->entry));
	receive_ping(drive, 0, 5);
	assert_int_equal(count_pulls(drive), 1);
	drive_request(drive, TARGET_MODEL, "m", NULL);
	assert_int_equal(drive_count(drive, ACTION_DISPATCH), 0);
	assert_int_equal(drive_count(drive, ACTION_REFUSE), 1);
	assert_false(entry_is_ready(drive->entry));
	drive_bundle(drive, 5);
	assert_true(entry_is_ready(drive->entry));
	/* Later rollouts don't make an entry that serves unready. */
	receive_ping(drive, 1, 6);
	assert_true(entry_is_ready(drive->entry));
}

/* An entry becomes ready when a peer has the same generation in force. */
static void test_entry_is_ready_once_a_peer_agrees(void **state)
{
	drive_t *drive = *state;

	drive_bundle(drive, 4);
	assert_false(entry_is_ready(drive->entry));
	receive_ping(drive, 0, 4);
	assert_true(entry_is_ready(drive->entry));
}

/* All peers have died with their zone; the remaining entry must serve. */
static void test_entry_is_ready_without_peers(void **state)
{
	drive_t *drive = *state;

	drive_bundle(drive, 4);
	drive_tick(drive, 1 * PD_SEC);
	assert_false(entry_is_ready(drive->entry));
	drive_tick(drive, 1 * PD_SEC);
	assert_true(entry_is_ready(drive->entry));
}

/*
 * Several peers announce a rollout at once. Pulling the body from each would
 * transfer 100 KB several times.
 */
static void test_bundle_is_pulled_once(void **state)
{
	drive_t *drive = *state;

	drive_bundle(drive, 4);
	receive_ping(drive, 0, 5);
	receive_ping(drive, 1, 5);
	receive_ping(drive, 2, 5);
	assert_int_equal(count_pulls(drive), 1);
	/* The peer that was asked has died; the next is asked after a delay. */
	drive_tick(drive, 600 * PD_MSEC);
	receive_ping(drive, 1, 5);
	assert_int_equal(count_pulls(drive), 1);
}

/* Lets time pass in steps of a second. */
static void run_seconds(drive_t *drive, int seconds)
{
	for (int i = 0; i < seconds; i++) {
		drive_tick(drive, 1 * PD_SEC);
		drive_clear(drive);
	}
}

/*
 * A region is unreachable for minutes, and its entries look dead from here. If
 * their records were deleted at once, both sides would keep deleting each
 * other's and operators would see half a fleet.
 */
static void test_dead_members_are_gone_after_delay(void **state)
{
	drive_t *drive = *state;

	run_seconds(drive, 120);
	assert_int_equal(entry_members_alive(drive->entry), 1);
	assert_false(entry_member_is_gone(drive->entry, "peer-1"));
	run_seconds(drive, 600);
	assert_false(entry_member_is_gone(drive->entry, "peer-1"));
	run_seconds(drive, 600);
	assert_true(entry_member_is_gone(drive->entry, "peer-1"));
	assert_false(entry_member_is_gone(drive->entry, "never heard of"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_stale_bundle_is_not_served,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_entry_is_ready_once_a_peer_agrees,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_entry_is_ready_without_peers,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_bundle_is_pulled_once,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_dead_members_are_gone_after_delay,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
