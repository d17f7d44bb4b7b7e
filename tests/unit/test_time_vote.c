/* Tests of the vote on the fleet's time of day. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "core/forward/time_vote.h"

#define START (1000 * PD_SEC)
#define TRUE_WALL (1700000000 * PD_SEC) /* the true time of day at START */
#define MESSAGE_PERIOD (250 * PD_MSEC) /* between two messages of a gateway */
#define GATEWAYS_MAX 64
/*
 * The error that a report may have, as time: a twentieth of a window of five seconds.
 */
#define TOLERANCE (250 * PD_MSEC)

/* Gateways that all receive each other's readings; gateway 0 counts the votes. */
typedef struct fleet {
	time_vote_t *vote;
	int size;
	pd_time_t now;
	pd_time_t offsets[GATEWAYS_MAX]; /* of the clocks from the true time */
	pd_time_t stepped_at[GATEWAYS_MAX]; /* 0: the clock has not stepped */
} fleet_t;

static pd_time_t true_wall(const fleet_t *fleet)
{
	return TRUE_WALL + fleet->now - START;
}

/* Sends all clocks' readings once. */
static void fleet_send_readings(fleet_t *fleet)
{
	for (int i = 1; i < fleet->size; i++) {
		char *name = g_strdup_printf("e%d", i);
		pd_time_t age = fleet->stepped_at[i]
					? fleet->now - fleet->stepped_at[i] + 1
					: 0;

		time_vote_receive_reading(fleet->vote, name,
					  true_wall(fleet) + fleet->offsets[i],
					  age, fleet->now);
		g_free(name);
	}
	time_vote_update(fleet->vote, true_wall(fleet) + fleet->offsets[0],
			 fleet->now);
}

static fleet_t fleet_of(int size)
{
	fleet_t fleet = { .vote = time_vote_create(), .size = size, .now = START };

	time_vote_update(fleet.vote, TRUE_WALL, START);
	fleet_send_readings(&fleet);
	return fleet;
}

/* Simulates TIME; returns the maximum error of the voted time. */
static pd_time_t run_for(fleet_t *fleet, pd_time_t time)
{
	pd_time_t error = 0;

	for (pd_time_t end = fleet->now + time; fleet->now < end;) {
		fleet->now += MESSAGE_PERIOD;
		fleet_send_readings(fleet);
		error = MAX(error, ABS(time_vote_wall(fleet->vote, fleet->now) -
				       true_wall(fleet)));
	}
	return error;
}

/* Steps the clocks of the gateways in [FIRST, LAST) by STEP. */
static void step_clocks(fleet_t *fleet, int first, int last, pd_time_t step)
{
	for (int i = first; i < last; i++) {
		fleet->offsets[i] += step;
		fleet->stepped_at[i] = fleet->now;
	}
}

/* Steps clocks for six seconds; returns the maximum error of the voted time. */
static pd_time_t max_error_during_step(int size, int first, int last, pd_time_t step)
{
	fleet_t fleet = fleet_of(size);
	pd_time_t error = run_for(&fleet, 2 * PD_SEC);

	step_clocks(&fleet, first, last, step);
	error = MAX(error, run_for(&fleet, 6 * PD_SEC));
	step_clocks(&fleet, first, last, -step);
	error = MAX(error, run_for(&fleet, 6 * PD_SEC));
	time_vote_destroy(fleet.vote);
	return error;
}

/* Guards against counting requests in the wrong window when the own clock steps. */
static void test_step_of_own_clock_is_outvoted(void **state)
{
	time_vote_t *vote = time_vote_create();

	(void)state;
	time_vote_update(vote, TRUE_WALL + 5 * PD_SEC, START);
	time_vote_receive_reading(vote, "e1", TRUE_WALL, 0, START);
	time_vote_receive_reading(vote, "e2", TRUE_WALL + 3 * PD_MSEC, 0, START);
	time_vote_update(vote, TRUE_WALL + 5 * PD_SEC + PD_SEC, START + PD_SEC);
	assert_int_equal(time_vote_wall(vote, START), TRUE_WALL + 3 * PD_MSEC);
	time_vote_update(vote, TRUE_WALL - 5 * PD_SEC + 2 * PD_SEC,
			 START + 2 * PD_SEC);
	assert_int_equal(time_vote_wall(vote, START), TRUE_WALL);
	time_vote_destroy(vote);
}

/* Guards against a tied vote that is won by the clocks that have stepped. */
static void test_steps_of_half_of_the_clocks_are_ignored(void **state)
{
	(void)state;
	for (int sign = -1; sign <= 1; sign += 2) {
		pd_time_t step = sign * 2500 * PD_MSEC;

		assert_true(max_error_during_step(6, 0, 3, step) < TOLERANCE);
		assert_true(max_error_during_step(6, 3, 6, step) < TOLERANCE);
		assert_true(max_error_during_step(2, 0, 1, step) < TOLERANCE);
		assert_true(max_error_during_step(2, 1, 2, step) < TOLERANCE);
	}
}

/* Guards against following a wrong time source when most or all clocks follow it. */
static void test_steps_of_most_clocks_are_ignored(void **state)
{
	(void)state;
	for (int count = 4; count <= 6; count++) {
		assert_true(max_error_during_step(6, 6 - count, 6,
						  2500 * PD_MSEC) < TOLERANCE);
		assert_true(max_error_during_step(6, 6 - count, 6,
						  -2500 * PD_MSEC) < TOLERANCE);
	}
	assert_true(max_error_during_step(63, 3, 63, 5 * PD_SEC) < TOLERANCE);
	assert_true(max_error_during_step(1, 0, 1, 5 * PD_SEC) < TOLERANCE);
}

/* Guards against forgetting a step when the gateway restarts. */
static void test_step_is_known_after_restart(void **state)
{
	fleet_t fleet = fleet_of(6);

	(void)state;
	run_for(&fleet, 2 * PD_SEC);
	step_clocks(&fleet, 3, 6, -2500 * PD_MSEC);
	run_for(&fleet, PD_SEC);
	memset(fleet.stepped_at, 0, sizeof(fleet.stepped_at));
	assert_true(run_for(&fleet, 5 * PD_SEC) < TOLERANCE);
	time_vote_destroy(fleet.vote);
}

/* The clock offsets in a checkpoint. */
typedef struct checkpoint {
	pd_time_t offsets[GATEWAYS_MAX];
} checkpoint_t;

static void checkpoint_offset(void *ctx, const char *who, pd_time_t offset)
{
	checkpoint_t *clocks = ctx;

	clocks->offsets[who ? atoi(who + 1) : 0] = offset;
}

/* Kills all gateways, and restarts them after a second with the checkpoint. */
static void restart_all(fleet_t *fleet)
{
	checkpoint_t clocks = { { 0 } };

	time_vote_each_offset(fleet->vote, fleet->now, checkpoint_offset, &clocks);
	time_vote_destroy(fleet->vote);
	fleet->vote = time_vote_create();
	memset(fleet->stepped_at, 0, sizeof(fleet->stepped_at));
	fleet->now += PD_SEC;
	time_vote_update(fleet->vote, true_wall(fleet) + fleet->offsets[0],
			 fleet->now);
	for (int i = 0; i < fleet->size; i++) {
		char *name = i ? g_strdup_printf("e%d", i) : NULL;

		if (clocks.offsets[i])
			time_vote_correct(fleet->vote, name, clocks.offsets[i]);
		g_free(name);
	}
	fleet_send_readings(fleet);
}

/* Guards against trusting clocks with offsets after all gateways were killed. */
static void test_clocks_are_corrected_after_restart_of_all(void **state)
{
	(void)state;
	for (int first = 0; first <= 3; first++) {
		for (int sign = -1; sign <= 1; sign += 2) {
			fleet_t fleet = fleet_of(6);

			run_for(&fleet, 2 * PD_SEC);
			step_clocks(&fleet, first, first + 3,
				    sign * 2500 * PD_MSEC);
			run_for(&fleet, 2 * PD_SEC);
			restart_all(&fleet);
			assert_true(run_for(&fleet, PD_SEC) < TOLERANCE);
			restart_all(&fleet);
			assert_true(run_for(&fleet, PD_SEC) < TOLERANCE);
			step_clocks(&fleet, first, first + 3,
				    -sign * 2500 * PD_MSEC);
			assert_true(run_for(&fleet, 2 * PD_SEC) < TOLERANCE);
			restart_all(&fleet);
			assert_true(run_for(&fleet, 2 * PD_SEC) < TOLERANCE);
			time_vote_destroy(fleet.vote);
		}
	}
}

/* Guards against keeping the old time for ever when clocks were corrected for good. */
static void test_correction_of_most_clocks_is_followed(void **state)
{
	fleet_t fleet = fleet_of(6);

	(void)state;
	for (int i = 0; i < 6; i++)
		fleet.offsets[i] = 3 * PD_SEC;
	time_vote_destroy(fleet.vote);
	fleet.vote = time_vote_create();
	run_for(&fleet, PD_SEC);
	step_clocks(&fleet, 0, 4, -3 * PD_SEC);
	run_for(&fleet, 61 * PD_SEC);
	assert_true(run_for(&fleet, PD_SEC) < TOLERANCE);
	time_vote_destroy(fleet.vote);
}

/*
 * Guards against a gateway that starts with a wrong clock and trusts it more than its
 * peers.
 */
static void test_new_gateway_with_wrong_clock_takes_peers_time(void **state)
{
	fleet_t fleet = fleet_of(6);

	(void)state;
	time_vote_destroy(fleet.vote);
	fleet.vote = time_vote_create();
	fleet.offsets[0] = 4 * PD_SEC;
	run_for(&fleet, MESSAGE_PERIOD);
	assert_true(run_for(&fleet, MESSAGE_PERIOD) < TOLERANCE);
	time_vote_destroy(fleet.vote);
}

/* Guards against drift that is not followed until it is large enough for a step. */
static void test_drift_is_followed(void **state)
{
	fleet_t fleet = fleet_of(6);
	pd_time_t drift = 500; /* per second, as slewing clocks may drift */

	(void)state;
	for (int second = 0; second < 600; second++) {
		for (int i = 0; i < 6; i++)
			fleet.offsets[i] += drift;
		run_for(&fleet, PD_SEC);
	}
	assert_true(ABS(time_vote_wall(fleet.vote, fleet.now) -
			true_wall(&fleet) - 600 * drift) < CLOCK_STEP_MIN);
	time_vote_destroy(fleet.vote);
}

/* Sends all clocks' readings as they were DELAY ago, as at the end of a partition. */
static void fleet_send_delayed_readings(fleet_t *fleet, pd_time_t delay)
{
	pd_time_t wall = true_wall(fleet) - delay;

	for (int i = 1; i < fleet->size; i++) {
		char *name = g_strdup_printf("e%d", i);

		time_vote_receive_reading(fleet->vote, name, wall, 0, fleet->now);
		g_free(name);
	}
	time_vote_receive_result(fleet->vote, wall, fleet->now);
	time_vote_update(fleet->vote, true_wall(fleet), fleet->now);
}

/* Guards against taking messages that a partition delayed for clock steps. */
static void test_delayed_messages_do_not_move_time(void **state)
{
	(void)state;
	for (int size = 2; size <= GATEWAYS_MAX; size *= 2) {
		fleet_t fleet = fleet_of(size);

		time_vote_receive_result(fleet.vote, TRUE_WALL, START);
		run_for(&fleet, 5 * PD_SEC);
		fleet.now += 2 * PD_SEC;
		for (int i = 0; i < 8; i++) {
			fleet.now += CLOCK_STEP_MIN;
			fleet_send_delayed_readings(&fleet, 2 * PD_SEC);
			assert_true(ABS(time_vote_wall(fleet.vote, fleet.now) -
					true_wall(&fleet)) < CLOCK_STEP_MIN);
		}
		assert_true(run_for(&fleet, 5 * PD_SEC) < CLOCK_STEP_MIN);
		time_vote_destroy(fleet.vote);
	}
}

/* Guards against a gateway that keeps a time which all others have left. */
static void test_clocks_that_stay_behind_are_followed(void **state)
{
	fleet_t fleet = fleet_of(6);

	(void)state;
	run_for(&fleet, 5 * PD_SEC);
	for (int i = 1; i < 6; i++)
		fleet.offsets[i] = -2 * PD_SEC;
	run_for(&fleet, 5 * PD_SEC);
	assert_true(ABS(time_vote_wall(fleet.vote, fleet.now) + 2 * PD_SEC -
			true_wall(&fleet)) < CLOCK_STEP_MIN);
	time_vote_destroy(fleet.vote);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_step_of_own_clock_is_outvoted),
		cmocka_unit_test(test_steps_of_half_of_the_clocks_are_ignored),
		cmocka_unit_test(test_steps_of_most_clocks_are_ignored),
		cmocka_unit_test(test_step_is_known_after_restart),
		cmocka_unit_test(test_clocks_are_corrected_after_restart_of_all),
		cmocka_unit_test(test_correction_of_most_clocks_is_followed),
		cmocka_unit_test(test_new_gateway_with_wrong_clock_takes_peers_time),
		cmocka_unit_test(test_drift_is_followed),
		cmocka_unit_test(test_delayed_messages_do_not_move_time),
		cmocka_unit_test(test_clocks_that_stay_behind_are_followed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
