/*
 * Tests which requests are refused while engines are overloaded, and for how
 * long.
 */
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

/* A pool of engines whose slots are taken by streams of equal length. */
typedef struct pool {
	shed_t *shed;
	GRand *random;
	double started[STEPS]; /* requests that started in a step */
	double running;
	double offered[RANKS]; /* in the burst */
	double served[RANKS];
	double late; /* started while all slots were taken */
	double running_max; /* at a time, from the fourth second of the burst */
} pool_t;

/* Returns a random rank; the least urgent is the most frequent. */
static int draw_rank(GRand *random)
{
	double draw = g_rand_double(random);

	return draw < 0.1 ? 0 : draw < 0.5 ? 1 : 2;
}

/* Offers one request to the shedder, and starts it if it is admitted. */
static void pool_offer(pool_t *pool, int step)
{
	bool burst = step >= BURST_FROM && step < BURST_TO;
	int rank = draw_rank(pool->random);
	bool in = shed_admit(pool->shed, rank, 1, g_rand_double(pool->random));

	if (burst)
		pool->offered[rank]++;
	if (!in)
		return;
	if (burst)
		pool->served[rank]++;
	pool->started[step]++;
	pool->running++;
	pool->late += pool->running > SLOTS;
	shed_record_outcome(pool->shed, pool->running > SLOTS);
}

/* Simulates a load of half of the slots, and of 1.5 times them in the burst. */
static void pool_simulate(pool_t *pool)
{
	double due = 0;

	for (int step = 0; step < STEPS; step++) {
		bool burst = step >= BURST_FROM && step < BURST_TO;
		shed_utilization_t utilization = { pool->running / SLOTS, true };

		if (step >= STREAM_STEPS)
			pool->running -= pool->started[step - STREAM_STEPS];
		due += SLOTS / STREAM_STEPS * (burst ? 1.5 : 0.5);
		for (int calls = (int)due; calls > 0; calls--)
			pool_offer(pool, step);
		due -= (int)due;
		shed_update(pool->shed, &utilization, START + step * STEP);
		if (step > BURST_FROM + 300 && burst)
			pool->running_max = MAX(pool->running_max, pool->running);
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
 * Guards against urgent requests that are late because of less urgent ones.
 * Half as many requests again as the engines have slots for come for ten
 * seconds; if all were admitted, nearly every first token would be late.
 */
static void test_the_least_urgent_are_refused(void **state)
{
	pool_t *pool = *state;

	pool_simulate(pool);
	assert_true(pool->served[0] == pool->offered[0]);
	assert_true(pool->served[1] > 0.95 * pool->offered[1]);
	assert_true(pool->served[2] < 0.7 * pool->offered[2]);
}

/*
 * Guards against refusing too many: slots are free while callers are refused.
 */
static void test_slots_are_used_while_load_is_shed(void **state)
{
	pool_t *pool = *state;
	double served;
	double capacity = SLOTS / STREAM_STEPS * (BURST_TO - BURST_FROM);

	pool_simulate(pool);
	served = pool->served[0] + pool->served[1] + pool->served[2];
	assert_true(served > 0.85 * capacity);
	assert_true(pool->running_max < 1.15 * SLOTS);
}

/* Guards against refusals after the burst. */
static void test_all_are_admitted_after_the_burst(void **state)
{
	pool_t *pool = *state;

	pool_simulate(pool);
	assert_true(shed_admitted_share(pool->shed) >= 1);
}

/*
 * Guards against refusals because engines crashed and their requests began late
 * at others, although half of the slots are free.
 */
static void test_late_starts_with_free_slots_shed_no_load(void **state)
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
 * Guards against a gateway that is cut off from its peers, sees only its own
 * few requests at the engines, and sheds no load although they are rejected or
 * late.
 */
static void test_an_isolated_gateway_uses_its_outcomes(void **state)
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
		cmocka_unit_test_setup_teardown(test_the_least_urgent_are_refused,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_slots_are_used_while_load_is_shed,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_all_are_admitted_after_the_burst,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_late_starts_with_free_slots_shed_no_load,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_an_isolated_gateway_uses_its_outcomes,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
