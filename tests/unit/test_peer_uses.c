/*
 * Tests of the predictions of peers' use, against a model that iterates over all peers.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <time.h>

#include <cmocka.h>
#include <glib.h>

#include "core/forward/peer_uses.h"

#define START (1000 * PD_SEC)
#define STEP (10 * PD_MSEC)
#define PREDICTION_TIME (15 * PD_SEC)
#define PEERS 40
#define STEPS 6000 /* one minute */
#define NAME_MAX_LEN 16
#define MANY_PEERS 300
#define FEW_PEERS 10
#define PREDICTIONS 20000
#define ATTEMPTS 5
#define RATIO_MAX \
	5 /* iterating over the peers would give MANY_PEERS / FEW_PEERS */

typedef struct model_peer {
	bool has_reported;
	double total;
	double rate;
	pd_time_t reported_at;
} model_peer_t;

static const char *peer_name(char *name, unsigned int peer)
{
	snprintf(name, NAME_MAX_LEN, "peer-%u", peer);
	return name;
}

/*
 * Returns the tokens that all peers of the model are predicted to use in a step up to
 * NOW.
 */
static double model_step(const model_peer_t *peers, pd_time_t now)
{
	double sum = 0;

	for (unsigned int i = 0; i < PEERS; i++) {
		pd_time_t from = MAX(now - STEP, peers[i].reported_at);
		pd_time_t to = MIN(now, peers[i].reported_at + PREDICTION_TIME);

		if (peers[i].has_reported && to > from)
			sum += peers[i].rate * (double)(to - from) / PD_SEC;
	}
	return sum;
}

/* Records a report of a peer of the model; returns the correction to its prediction. */
static double model_report(model_peer_t *peer, double total, pd_time_t now)
{
	pd_time_t span = now - peer->reported_at;
	double growth = total - peer->total;
	double used = 0;

	if (peer->has_reported) {
		used = growth -
		       peer->rate * (double)MIN(span, PREDICTION_TIME) / PD_SEC;
		peer->rate += (growth * PD_SEC / (double)span - peer->rate) *
			      PEER_USES_RATE_WEIGHT;
	}
	peer->has_reported = true;
	peer->total = total;
	peer->reported_at = now;
	return used;
}

/* Guards against a running sum that drifts from the sum over the peers. */
static void test_prediction_equals_sum_over_peers(void **state)
{
	model_peer_t model[PEERS] = { 0 };
	peer_uses_t *uses = peer_uses_create(START);
	GRand *random = g_rand_new_with_seed(7);
	pd_time_t now = START;
	double expected = 0;
	double got = 0;

	(void)state;
	for (unsigned int step = 0; step < STEPS; step++) {
		unsigned int i = (unsigned int)g_rand_int_range(random, 0, PEERS);
		double total = model[i].total + g_rand_double_range(random, 0, 900);
		char name[NAME_MAX_LEN];
		double used;

		now += STEP;
		expected += model_step(model, now);
		got += peer_uses_predict(uses, now);
		/* The last quarter of the peers falls silent half-way through. */
		if (step > STEPS / 2 && i >= PEERS * 3 / 4)
			continue;
		if (model[i].has_reported &&
		    now - model[i].reported_at < PEER_USES_INTERVAL_MIN)
			continue;
		assert_true(peer_uses_report(uses, peer_name(name, i), total,
					     false, now, &used));
		expected += model_report(&model[i], total, now);
		got += used;
		assert_float_equal(got, expected, 1e-3);
	}
	peer_uses_destroy(uses);
	g_rand_free(random);
}

/* Guards against granting a limit once more because a peer was cut off. */
static void test_use_of_silent_peer_is_predicted_for_a_time(void **state)
{
	peer_uses_t *uses = peer_uses_create(START);
	double used;

	(void)state;
	peer_uses_report(uses, "a", 0, true, START, &used);
	peer_uses_report(uses, "a", 1000, true, START + PD_SEC, &used);
	assert_float_equal(used, 1000, 1e-6);
	assert_float_equal(peer_uses_predict(uses, START + 11 * PD_SEC), 5000,
			   1e-6);
	assert_float_equal(peer_uses_predict(uses, START + 60 * PD_SEC), 2500,
			   1e-6);
	assert_float_equal(peer_uses_predict(uses, START + 90 * PD_SEC), 0, 1e-6);
	peer_uses_destroy(uses);
}

/* Guards against predicting that a dead peer goes on using tokens. */
static void test_removed_peer_uses_no_more(void **state)
{
	peer_uses_t *uses = peer_uses_create(START);
	double used;

	(void)state;
	peer_uses_report(uses, "a", 0, true, START, &used);
	peer_uses_report(uses, "a", 1000, true, START + PD_SEC, &used);
	assert_float_equal(peer_uses_remove(uses, "a", PD_SEC, START + PD_SEC),
			   0, 1e-6);
	assert_float_equal(peer_uses_predict(uses, START + 9 * PD_SEC), 0, 1e-6);
	peer_uses_destroy(uses);
}

/* Guards against taking a total that restarts from 0 for negative use. */
static void test_falling_total_is_no_use(void **state)
{
	peer_uses_t *uses = peer_uses_create(START);
	double used;

	(void)state;
	peer_uses_report(uses, "a", 5000, false, START, &used);
	assert_float_equal(used, 0, 1e-6);
	assert_false(peer_uses_report(uses, "a", 10, false, START + PD_SEC, &used));
	assert_float_equal(used, 0, 1e-6);
	assert_true(peer_uses_report(uses, "a", 30, false, START + 2 * PD_SEC,
				     &used));
	assert_float_equal(used, 20, 1e-6);
	peer_uses_destroy(uses);
}

/* Returns the shortest processor time of a series of predictions, in microseconds. */
static double time_predictions(unsigned int peers)
{
	peer_uses_t *uses = peer_uses_create(START);
	pd_time_t now = START;
	double shortest = INFINITY;
	double used;

	for (unsigned int i = 0; i < peers; i++) {
		char name[NAME_MAX_LEN];

		peer_uses_report(uses, peer_name(name, i), 0, true, now, &used);
	}
	for (unsigned int attempt = 0; attempt < ATTEMPTS; attempt++) {
		clock_t begun = clock();

		for (unsigned int i = 0; i < PREDICTIONS; i++)
			assert_float_equal(peer_uses_predict(uses, ++now), 0, 1e-6);
		shortest = fmin(shortest, (double)(clock() - begun));
	}
	peer_uses_destroy(uses);
	return shortest;
}

/* Guards against an aggregator whose work for each message grows with the fleet. */
static void test_cost_of_prediction_is_independent_of_fleet_size(void **state)
{
	(void)state;
	assert_true(time_predictions(MANY_PEERS) <
		    RATIO_MAX * time_predictions(FEW_PEERS));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_prediction_equals_sum_over_peers),
		cmocka_unit_test(test_use_of_silent_peer_is_predicted_for_a_time),
		cmocka_unit_test(test_removed_peer_uses_no_more),
		cmocka_unit_test(test_falling_total_is_no_use),
		cmocka_unit_test(test_cost_of_prediction_is_independent_of_fleet_size),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
