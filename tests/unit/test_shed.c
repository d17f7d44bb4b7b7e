/* Who is turned away while engines are pressed, and for how long. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/forward/shed.h"

#define START (1000 * PD_SEC)
#define STEP (10 * PD_MSEC)
#define STEPS 2000 /* 20 s */
#define BURST_FROM 200
#define BURST_TO 1200
#define SLOTS 1000.0
#define STREAM_STEPS 150 /* a stream takes 1.5 s */
#define RANKS 3
#define SEED 11

/* A pool of engines whose places are taken by streams of equal length. */
typedef struct pool {
	shed_t *shed;
	GRand *random;
	double begun[STEPS]; /* requests that began in a step */
	double running;
	double asked[RANKS]; /* in the burst */
	double served[RANKS];
	double late; /* began while more ran than there are places */
	double most; /* that ran at a time, from the fourth second of the burst */
} pool_t;

/* The least urgent are many, as look-ups are beside drafts. */
static int draw_rank(GRand *random)
{
	double draw = g_rand_double(random);

	return draw < 0.1 ? 0 : draw < 0.5 ? 1 : 2;
}

static void pool_ask(pool_t *pool, int step)
{
	bool burst = step >= BURST_FROM && step < BURST_TO;
	int rank = draw_rank(pool->random);
	bool in = shed_admit(pool->shed, rank, 1, g_rand_double(pool->random));

	if (burst)
		pool->asked[rank]++;
	if (!in)
		return;
	if (burst)
		pool->served[rank]++;
	pool->begun[step]++;
	pool->running++;
	pool->late += pool->running > SLOTS;
	shed_record_outcome(pool->shed, pool->running > SLOTS);
}

/* Plays a load of half of the places, and of 1.5 times them in the burst. */
static void pool_play(pool_t *pool)
{
	double due = 0;

	for (int step = 0; step < STEPS; step++) {
		bool burst = step >= BURST_FROM && step < BURST_TO;
		shed_utilization_t utilization = { pool->running / SLOTS, true };

		if (step >= STREAM_STEPS)
			pool->running -= pool->begun[step - STREAM_STEPS];
		due += SLOTS / STREAM_STEPS * (burst ? 1.5 : 0.5);
		for (int calls = (int)due; calls > 0; calls--)
			pool_ask(pool, step);
		due -= (int)due;
		shed_update(pool->shed, &utilization, START + step * STEP);
		if (step > BURST_FROM + 300 && burst)
			pool->most = MAX(pool->most, pool->running);
	}
}

static int setup(void **state)
{
	pool_t *pool = g_new0(pool_t, 1);

	pool->shed = shed_create();
	pool->random = g_rand_new_with_seed(SEED);
	*state = pool;
	return 0;
}

static int teardown(void **state)
{
	pool_t *pool = *state;

	shed_destroy(pool->shed);
	g_rand_free(pool->random);
	g_free(pool);
	return 0;
}

/*
 * Half as much again is asked as the engines have places for, for ten seconds.
 * Let in, all would wait for places, and nearly every first word would come
 * late; drafts must not be late for look-ups that nobody hurries for.
 */
static void test_the_least_urgent_are_turned_away(void **state)
{
	pool_t *pool = *state;

	pool_play(pool);
	assert_true(pool->served[0] == pool->asked[0]);
	assert_true(pool->served[1] > 0.95 * pool->asked[1]);
	assert_true(pool->served[2] < 0.7 * pool->asked[2]);
}

/*
 * Turning too many away is as bad: places stand empty while callers are refused.
 */
static void test_places_are_used_while_load_is_shed(void **state)
{
	pool_t *pool = *state;
	double served;
	double capacity = SLOTS / STREAM_STEPS * (BURST_TO - BURST_FROM);

	pool_play(pool);
	served = pool->served[0] + pool->served[1] + pool->served[2];
	assert_true(served > 0.85 * capacity);
	assert_true(pool->most < 1.15 * SLOTS);
}

/* When the burst is over, nobody may be refused any more. */
static void test_all_are_let_in_again(void **state)
{
	pool_t *pool = *state;

	pool_play(pool);
	assert_true(shed_admitted_share(pool->shed) >= 1);
}

/*
 * Engines crash, and their requests begin late at others. Half of the places are
 * free; callers who were turned away for that would be refused for nothing.
 */
static void test_late_starts_beside_free_places_turn_nobody_away(void **state)
{
	pool_t *pool = *state;
	const shed_utilization_t utilization = { 0.5, true };

	for (int step = 0; step < 400; step++) {
		shed_record_outcome(pool->shed, step % 2);
		shed_update(pool->shed, &utilization, START + step * STEP);
	}
	assert_true(shed_admitted_share(pool->shed) >= 1);
}

/*
 * A gateway that is cut off from its peers sees only its own few requests at the
 * engines. That they are turned away or late tells it all the same.
 */
static void test_a_gateway_alone_goes_by_its_outcomes(void **state)
{
	pool_t *pool = *state;
	const shed_utilization_t utilization = { 0.01, false };

	for (int step = 0; step < 400; step++) {
		shed_admit(pool->shed, step % RANKS, 1, 0);
		shed_record_outcome(pool->shed, step % 2);
		shed_update(pool->shed, &utilization, START + step * STEP);
	}
	assert_true(shed_admitted_share(pool->shed) < 0.5);
	assert_true(shed_admit(pool->shed, 0, 1, 0.5));
	assert_false(shed_admit(pool->shed, 2, 1, 0.5));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_the_least_urgent_are_turned_away,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_places_are_used_while_load_is_shed,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_all_are_let_in_again,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_late_starts_beside_free_places_turn_nobody_away,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_gateway_alone_goes_by_its_outcomes,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
