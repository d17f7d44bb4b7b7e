/* Tests of account limits over several gateways that learn of each other's use late. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "core/forward/token_limits.h"

#define START (1000 * PD_SEC)
#define STEP (10 * PD_MSEC)
#define REPORT_STEPS 25 /* gateways report to each other every 250 ms */
#define GATEWAYS 6
#define STEPS 2400 /* 24 s */
#define WINDOW_STEPS 800 /* 8 s */
#define REQUEST 2000.0 /* tokens */

static const token_limits_config_t config = { .window = 8 * PD_SEC,
					      .overage = 0.1,
					      .slack = 140000 };
static const forward_account_t account = { .name = (char *)"mill",
					   .limits_tokens = true,
					   .rate = 200000,
					   .burst = 200000 };

/* An account whose share in a large fleet is less than one request. */
static const forward_account_t small_account = { .name = (char *)"gin",
						 .limits_tokens = true,
						 .rate = 36000,
						 .burst = 36000 };

typedef struct fleet {
	token_limits_t *gateways[GATEWAYS];
	unsigned int incarnations[GATEWAYS]; /* numbers of the gateways' current incarnations */
	double granted[STEPS];
	double requested;
} fleet_t;

static void fleet_start(fleet_t *fleet, bool full)
{
	for (unsigned int i = 0; i < GATEWAYS; i++) {
		fleet->gateways[i] = token_limits_create(&config, full);
		token_limits_set_gateway_count(fleet->gateways[i], GATEWAYS);
		fleet->incarnations[i]++;
	}
}

static void fleet_stop(fleet_t *fleet)
{
	for (unsigned int i = 0; i < GATEWAYS; i++)
		token_limits_destroy(fleet->gateways[i]);
}

typedef struct report_ctx {
	fleet_t *fleet;
	unsigned int from;
	pd_time_t now;
} report_ctx_t;

static void deliver_report(void *ctx, const char *name, const token_use_t *use)
{
	const report_ctx_t *report = ctx;
	char who[32];

	snprintf(who, sizeof(who), "%u#%u", report->from,
		 report->fleet->incarnations[report->from]);
	for (unsigned int i = 0; i < GATEWAYS; i++) {
		if (i != report->from)
			token_limits_record_peer_use(report->fleet->gateways[i],
						     name, who, use->granted,
						     true, report->now);
	}
}

static void fleet_report(fleet_t *fleet, pd_time_t now)
{
	for (unsigned int i = 0; i < GATEWAYS; i++) {
		report_ctx_t report = { fleet, i, now };

		token_limits_each(fleet->gateways[i], now, deliver_report, &report);
	}
}

/* Callers request RATE tokens a second, evenly at all gateways. */
static void fleet_request(fleet_t *fleet, unsigned int step, double rate,
			  pd_time_t now)
{
	token_decision_t decision;

	fleet->requested += rate * (double)STEP / PD_SEC;
	for (unsigned int i = 0; fleet->requested >= REQUEST; i++) {
		fleet->requested -= REQUEST;
		if (token_limits_take(fleet->gateways[(step + i) % GATEWAYS],
				      &account, REQUEST, now, &decision))
			fleet->granted[step] += REQUEST;
	}
}

static double allowed(void)
{
	return (account.rate * 8 + account.burst) * (1 + config.overage) +
	       config.slack;
}

static double worst_window(const fleet_t *fleet)
{
	double sum = 0;
	double worst = 0;

	for (unsigned int i = 0; i < STEPS; i++) {
		sum += fleet->granted[i];
		if (i >= WINDOW_STEPS)
			sum -= fleet->granted[i - WINDOW_STEPS];
		worst = MAX(worst, sum);
	}
	print_message("worst window %.3f of what is allowed\n", worst / allowed());
	return worst;
}

/*
 * Guards against exceeding a limit in a flood: an account requests many times its limit
 * at all gateways at once, and each grants by reports of the others that are a quarter
 * of a second old.
 */
static void test_flood_stays_within_limit(void **state)
{
	fleet_t fleet = { 0 };

	(void)state;
	fleet_start(&fleet, true);
	for (unsigned int step = 0; step < STEPS; step++) {
		pd_time_t now = START + step * STEP;

		if (step % REPORT_STEPS == 0)
			fleet_report(&fleet, now);
		fleet_request(&fleet, step, account.rate * 7.5, now);
	}
	assert_true(worst_window(&fleet) <= allowed());
	/* The account still gets what it is allowed. */
	assert_true(worst_window(&fleet) >= account.rate * 8);
	fleet_stop(&fleet);
}

/*
 * Guards against granting a limit twice: all gateways are killed at the height of a
 * flood and know nothing after their restart. If each granted the whole limit again,
 * the upstreams would get twice what the account may use.
 */
static void test_restart_of_all_grants_no_second_limit(void **state)
{
	(void)state;
	for (unsigned int killed_at = 50; killed_at < 1000; killed_at += 50) {
		fleet_t fleet = { 0 };

		fleet_start(&fleet, true);
		for (unsigned int step = 0; step < STEPS; step++) {
			pd_time_t now = START + step * STEP;

			if (step == killed_at) {
				fleet_stop(&fleet);
				fleet_start(&fleet, false);
			}
			if (step % REPORT_STEPS == 0)
				fleet_report(&fleet, now);
			/* The gateways are down for a second. */
			if (step < killed_at || step >= killed_at + 100)
				fleet_request(&fleet, step, account.rate * 7.5,
					      now);
		}
		assert_true(worst_window(&fleet) <= allowed());
		fleet_stop(&fleet);
	}
}

/*
 * Guards against taking silence for idleness: when the links between gateways fail,
 * each only knows what the others used before, and could grant the whole limit.
 */
static void test_silent_peers_are_assumed_to_go_on(void **state)
{
	fleet_t fleet = { 0 };

	(void)state;
	fleet_start(&fleet, true);
	for (unsigned int step = 0; step < STEPS; step++) {
		pd_time_t now = START + step * STEP;

		if (step % REPORT_STEPS == 0 && step < 1200)
			fleet_report(&fleet, now);
		fleet_request(&fleet, step, account.rate * 3, now);
	}
	assert_true(worst_window(&fleet) <= allowed());
	fleet_stop(&fleet);
}

/* Guards against refusing bursts of an account that is well below its limit. */
static void test_bursts_below_limit_are_granted(void **state)
{
	fleet_t fleet = { 0 };
	double granted = 0;

	(void)state;
	fleet_start(&fleet, true);
	for (unsigned int step = 0; step < STEPS; step++) {
		pd_time_t now = START + step * STEP;

		if (step % REPORT_STEPS == 0)
			fleet_report(&fleet, now);
		/* At twice the rate for a quarter of the time. */
		fleet_request(&fleet, step,
			      step % 100 < 25 ? account.rate * 2 : 0, now);
		granted += fleet.granted[step];
	}
	assert_true(granted > account.rate * 0.5 * 24 * 0.98);
	fleet_stop(&fleet);
}

static void test_refusal_has_retry_time(void **state)
{
	token_limits_t *limits = token_limits_create(&config, false);
	token_decision_t decision;

	(void)state;
	while (token_limits_take(limits, &account, REQUEST, START, &decision))
		continue;
	assert_true(decision.retry_after >= 100 * PD_MSEC);
	assert_true(token_limits_take(limits, &account, REQUEST,
				      START + decision.retry_after, &decision));
	token_limits_destroy(limits);
}

/* Guards against never granting a request that is larger than the bucket. */
static void test_oversized_request_is_granted(void **state)
{
	const forward_account_t small = { .name = (char *)"small",
					  .rate = 10,
					  .burst = 10 };
	token_limits_t *limits = token_limits_create(&config, true);
	token_decision_t decision;

	(void)state;
	assert_true(token_limits_take(limits, &small, 1000, START, &decision));
	token_limits_destroy(limits);
}

/*
 * Guards against refusing bursts in a fleet of hundreds, where a gateway's even share
 * of a small account's bucket is less than one request. Callers send a few requests at
 * once, and all but the first would be refused although the account uses little of its
 * limit.
 */
static void test_burst_is_granted_in_large_fleet(void **state)
{
	token_limits_t *limits = token_limits_create(&config, true);
	token_decision_t decision;

	(void)state;
	token_limits_set_gateway_count(limits, 280);
	for (int i = 0; i < 3; i++)
		assert_true(token_limits_take(limits, &small_account, 7000,
					      START, &decision));
	assert_false(token_limits_take(limits, &small_account, 7000, START,
				       &decision));
	token_limits_destroy(limits);
}

/*
 * Guards against a flood at hundreds of gateways that takes many times what is left in
 * a bucket before they learn of each other's grants.
 */
static void test_low_bucket_is_shared_strictly(void **state)
{
	token_limits_t *limits = token_limits_create(&config, false);
	token_decision_t decision;

	(void)state;
	token_limits_set_gateway_count(limits, 280);
	assert_true(token_limits_take(limits, &small_account, 7000, START,
				      &decision));
	assert_false(token_limits_take(limits, &small_account, 7000, START,
				       &decision));
	token_limits_destroy(limits);
}

/*
 * Guards against a bucket that only fills from the first request on: for some seconds a
 * gateway learns from its peers that an account uses half of its limit, and then
 * receives its own first request of it. If the peers' use were taken out of a bucket
 * that did not fill meanwhile, the request would be refused.
 */
static void test_bucket_fills_before_first_request(void **state)
{
	token_limits_t *limits = token_limits_create(&config, true);
	token_decision_t decision;
	double granted = 0;
	pd_time_t now = START;

	(void)state;
	token_limits_set_gateway_count(limits, 280);
	for (; now < START + 20 * PD_SEC; now += 500 * PD_MSEC) {
		token_limits_record_peer_use(limits, account.name, "all",
					     granted, false, now);
		granted += account.rate / 4;
	}
	assert_true(token_limits_take(limits, &account, REQUEST, now, &decision));
	assert_true(decision.level > account.burst / 2);
	token_limits_destroy(limits);
}

/*
 * Guards against counting the demand at gateways that are gone. VMs are replaced all
 * day, and callers move to other gateways, which count their requests. If the old
 * demand were kept, it would grow with each replacement, until accounts within their
 * limits were throttled as if they sent many times as much.
 */
static void test_demand_of_silent_peer_expires(void **state)
{
	token_limits_t *limits = token_limits_create(&config, true);
	pd_time_t now = START;

	(void)state;
	for (int i = 0; i < 8; i++, now += 250 * PD_MSEC) {
		token_limits_record_peer_use(limits, account.name, "gone#1", 0,
					     true, now);
		token_limits_record_peer_demand(limits, account.name, "gone#1",
						i * 50000.0, now);
	}
	assert_true(token_limits_demand(limits, account.name, now) > 100000);
	now += 16 * PD_SEC;
	assert_true(token_limits_demand(limits, account.name, now) < 1);
	token_limits_destroy(limits);
}

/* Sets CTX, a double, to the level of the only account. */
static void copy_level(void *ctx, const char *name, const token_use_t *use)
{
	(void)name;
	*(double *)ctx = use->level;
}

/* Guards against an account that pays for what dead gateways were thought to grant. */
static void test_predicted_use_of_a_dead_peer_is_returned(void **state)
{
	token_limits_t *limits = token_limits_create(&config, true);
	pd_time_t now = START;
	double alive;
	double silent;
	double level;

	(void)state;
	token_limits_add_account(limits, &account, now);
	for (int i = 0; i < 8; i++, now += 250 * PD_MSEC)
		token_limits_record_peer_use(limits, account.name, "b#1",
					     i * 100000.0, true, now);
	token_limits_each(limits, now, copy_level, &alive);
	now += 2 * PD_SEC;
	token_limits_each(limits, now, copy_level, &silent);
	assert_true(silent < alive - account.rate / 2);
	token_limits_remove_peer(limits, "b#1", now);
	token_limits_each(limits, now, copy_level, &level);
	/* It may have granted for a moment after its last report. */
	assert_true(level > alive);
	token_limits_remove_peer(limits, "b#1", now);
	token_limits_each(limits, now, copy_level, &silent);
	assert_float_equal(silent, level, 1e-6);
	token_limits_destroy(limits);
}

/* Sends twenty times what the account is allowed for a second, until *NOW. */
static void flood(token_limits_t *limits, pd_time_t *now)
{
	token_decision_t decision;
	double level;

	for (int step = 0; step < 100; step++, *now += STEP) {
		for (int i = 0; i < 20; i++)
			token_limits_take(limits, &account, REQUEST, *now,
					  &decision);
		if (step % 10 == 0)
			token_limits_each(limits, *now, copy_level, &level);
		if (step % REPORT_STEPS == 0)
			token_limits_record_peer_use(limits, account.name,
						     "b#1", 0, true, *now);
	}
}

/* Guards against a flood that leaves nothing to streams that are taken up again. */
static void test_flood_leaves_room_for_resumed_streams(void **state)
{
	token_limits_t *limits = token_limits_create(&config, true);
	token_decision_t decision;
	pd_time_t now = START;
	double size;
	double level;

	(void)state;
	token_limits_set_gateway_count(limits, GATEWAYS);
	token_limits_add_account(limits, &account, now);
	token_limits_each(limits, now, copy_level, &size);
	flood(limits, &now);
	token_limits_mark_reported(limits);
	token_limits_set_level(limits, account.name, size / 4, now);
	flood(limits, &now);
	token_limits_each(limits, now, copy_level, &level);
	assert_true(level > size * 0.2);
	/* It begins a round of shares. */
	token_limits_record_peer_use(limits, account.name, "b#1", 0, true, now);
	for (int i = 0; i < 10; i++)
		assert_true(token_limits_take_resumed(limits, &account, REQUEST,
						      now, &decision));
	token_limits_each(limits, now, copy_level, &size);
	assert_float_equal(size, level - 10 * REQUEST, 1e-6);
	token_limits_destroy(limits);
}

/* Guards against free work for callers that claim to resume streams. */
static void test_resumed_streams_are_limited(void **state)
{
	token_limits_t *limits = token_limits_create(&config, true);
	token_decision_t decision;
	double granted = 0;

	(void)state;
	token_limits_set_gateway_count(limits, GATEWAYS);
	for (int i = 0; i < 1000; i++)
		if (token_limits_take_resumed(limits, &account, REQUEST, START,
					      &decision))
			granted += REQUEST;
	assert_true(granted < 1000 * REQUEST / 2);
	assert_true(decision.level >= 0);
	token_limits_destroy(limits);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_flood_stays_within_limit),
		cmocka_unit_test(test_restart_of_all_grants_no_second_limit),
		cmocka_unit_test(test_silent_peers_are_assumed_to_go_on),
		cmocka_unit_test(test_bursts_below_limit_are_granted),
		cmocka_unit_test(test_refusal_has_retry_time),
		cmocka_unit_test(test_oversized_request_is_granted),
		cmocka_unit_test(test_burst_is_granted_in_large_fleet),
		cmocka_unit_test(test_low_bucket_is_shared_strictly),
		cmocka_unit_test(test_bucket_fills_before_first_request),
		cmocka_unit_test(test_demand_of_silent_peer_expires),
		cmocka_unit_test(test_predicted_use_of_a_dead_peer_is_returned),
		cmocka_unit_test(test_flood_leaves_room_for_resumed_streams),
		cmocka_unit_test(test_resumed_streams_are_limited),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
