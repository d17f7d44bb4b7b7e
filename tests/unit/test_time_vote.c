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
#define MESSAGE_PERIOD (250 * PD_MSEC) /* of the messages between gateways */
#define GATEWAYS_MAX 64
/* What a report may be error, as time: a twentieth of a window of five seconds. */
#define TOLERANCE (250 * PD_MSEC)

/* Gateways that all receive each other; [0] is where the vote is counted. */
typedef struct fleet {
	time_vote_t *vote;
	int size;
	pd_time_t now;
	pd_time_t offsets[GATEWAYS_MAX]; /* of the clocks, from the true time */
	pd_time_t step_at[GATEWAYS_MAX]; /* 0: it has not jumped */
} fleet_t;

static pd_time_t true_wall(const fleet_t *fleet)
{
	return TRUE_WALL + fleet->now - START;
}

/* Sends all clocks' readings once. */
static void fleet_send(fleet_t *fleet)
{
	for (int i = 1; i < fleet->size; i++) {
		char *name = g_strdup_printf("e%d", i);
		pd_time_t age = fleet->step_at[i]
					? fleet->now - fleet->step_at[i] + 1
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
	fleet_send(&fleet);
	return fleet;
}

/* Lets time run_for; returns by how much the vote was error at most. */
static pd_time_t run_for(fleet_t *fleet, pd_time_t time)
{
	pd_time_t error = 0;

	for (pd_time_t end = fleet->now + time; fleet->now < end;) {
		fleet->now += MESSAGE_PERIOD;
		fleet_send(fleet);
		error = MAX(error, ABS(time_vote_wall(fleet->vote, fleet->now) -
				       true_wall(fleet)));
	}
	return error;
}

/* Has the clocks from FIRST up to, not including, LAST step_clocks by STEP. */
static void step_clocks(fleet_t *fleet, int first, int last, pd_time_t step)
{
	for (int i = first; i < last; i++) {
		fleet->offsets[i] += step;
		fleet->step_at[i] = fleet->now;
	}
}

/* Has clocks step_clocks for six seconds, and returns by how much the vote was error. */
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

/* Guards against requests in wrong windows as the own clock jumps. */
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

/* Guards against a tie of the clocks that goes to those that have jumped. */
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

/* Guards against a wrong source of time that all clocks but some follow, or all. */
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

/* Guards against a step_clocks that is forgotten as the gateway restarts. */
static void test_step_is_known_after_restart(void **state)
{
	fleet_t fleet = fleet_of(6);

	(void)state;
	run_for(&fleet, 2 * PD_SEC);
	step_clocks(&fleet, 3, 6, -2500 * PD_MSEC);
	run_for(&fleet, PD_SEC);
	memset(fleet.step_at, 0, sizeof(fleet.step_at));
	assert_true(run_for(&fleet, 5 * PD_SEC) < TOLERANCE);
	time_vote_destroy(fleet.vote);
}

/* The clocks that are error, as a checkpoint has them. */
typedef struct checkpoint {
	pd_time_t offsets[GATEWAYS_MAX];
} checkpoint_t;

static void checkpoint_clock(void *ctx, const char *who, pd_time_t offset)
{
	checkpoint_t *clocks = ctx;

	clocks->offsets[who ? atoi(who + 1) : 0] = offset;
}

/* Kills all gateways; they are back after a second, with what is checkpoint. */
static void restart_all(fleet_t *fleet)
{
	checkpoint_t clocks = { { 0 } };

	time_vote_each_offset(fleet->vote, fleet->now, checkpoint_clock, &clocks);
	time_vote_destroy(fleet->vote);
	fleet->vote = time_vote_create();
	memset(fleet->step_at, 0, sizeof(fleet->step_at));
	fleet->now += PD_SEC;
	time_vote_update(fleet->vote, true_wall(fleet) + fleet->offsets[0],
			 fleet->now);
	for (int i = 0; i < fleet->size; i++) {
		char *name = i ? g_strdup_printf("e%d", i) : NULL;

		if (clocks.offsets[i])
			time_vote_correct(fleet->vote, name, clocks.offsets[i]);
		g_free(name);
	}
	fleet_send(fleet);
}

/* Guards against clocks that are error and taken for right after a kill of all. */
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

/* Guards against a time that is held for ever though all clocks were corrected. */
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

/* Guards against a start that keeps its own wrong clock beside peers that agree. */
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

/* Guards against drift that is not followed until it is a step_clocks. */
static void test_drift_is_followed(void **state)
{
	fleet_t fleet = fleet_of(6);
	pd_time_t drift = 500; /* a second's, as slewing clocks may */

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

/* Sends all clocks' readings as of LATE ago, as when a cut has ended. */
static void fleet_send_late(fleet_t *fleet, pd_time_t late)
{
	pd_time_t wall = true_wall(fleet) - late;

	for (int i = 1; i < fleet->size; i++) {
		char *name = g_strdup_printf("e%d", i);

		time_vote_receive_reading(fleet->vote, name, wall, 0, fleet->now);
		g_free(name);
	}
	time_vote_receive_result(fleet->vote, wall, fleet->now);
	time_vote_update(fleet->vote, true_wall(fleet), fleet->now);
}

/* Guards against messages that a cut held up and that are taken for jumps of clocks. */
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
			fleet_send_late(&fleet, 2 * PD_SEC);
			assert_true(ABS(time_vote_wall(fleet.vote, fleet.now) -
					true_wall(&fleet)) < CLOCK_STEP_MIN);
		}
		assert_true(run_for(&fleet, 5 * PD_SEC) < CLOCK_STEP_MIN);
		time_vote_destroy(fleet.vote);
	}
}

/* Guards against a fleet that keeps a time that all others have given up. */
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
