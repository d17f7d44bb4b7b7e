/* Limits of client accounts in sum over entries that hear of each other late. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "core/forward/token_limits.h"

#define START (1000 * PD_SEC)
#define STEP (10 * PD_MSEC)
#define TELL_STEPS 25 /* peers tell each other every 250 ms */
#define ENTRIES 6
#define STEPS 2400 /* 24 s */
#define WINDOW_STEPS 800 /* 8 s */
#define REQUEST 2000.0 /* tokens */

static const token_limits_config_t config = { .window = 8 * PD_SEC,
					      .overage = 0.1,
					      .slack = 140000 };
static const forward_account_t account = { .name = (char *)"mill",
					   .in_tokens = true,
					   .rate = 200000,
					   .burst = 200000 };

/* An account whose share in a large fleet is less than one request. */
static const forward_account_t small_account = { .name = (char *)"gin",
						 .in_tokens = true,
						 .rate = 36000,
						 .burst = 36000 };

typedef struct fleet {
	token_limits_t *entries[ENTRIES];
	unsigned int lives[ENTRIES]; /* names the start of each */
	double granted[STEPS];
	double asked;
} fleet_t;

static void fleet_start(fleet_t *fleet, bool filled)
{
	for (unsigned int i = 0; i < ENTRIES; i++) {
		fleet->entries[i] = token_limits_create(&config, filled);
		token_limits_set_gateway_count(fleet->entries[i], ENTRIES);
		fleet->lives[i]++;
	}
}

static void fleet_end(fleet_t *fleet)
{
	for (unsigned int i = 0; i < ENTRIES; i++)
		token_limits_destroy(fleet->entries[i]);
}

typedef struct teller {
	fleet_t *fleet;
	unsigned int from;
	pd_time_t now;
} teller_t;

static void tell(void *ctx, const char *name, const token_use_t *use)
{
	const teller_t *teller = ctx;
	char who[32];

	snprintf(who, sizeof(who), "%u#%u", teller->from,
		 teller->fleet->lives[teller->from]);
	for (unsigned int i = 0; i < ENTRIES; i++) {
		if (i != teller->from)
			token_limits_record_peer_use(teller->fleet->entries[i],
						     name, who, use->total,
						     true, teller->now);
	}
}

static void fleet_tell(fleet_t *fleet, pd_time_t now)
{
	for (unsigned int i = 0; i < ENTRIES; i++) {
		teller_t teller = { fleet, i, now };

		token_limits_each(fleet->entries[i], now, tell, &teller);
	}
}

/* Callers ask for RATE tokens a second, evenly at all entries. */
static void fleet_ask(fleet_t *fleet, unsigned int step, double rate, pd_time_t now)
{
	token_decision_t decision;

	fleet->asked += rate * (double)STEP / PD_SEC;
	for (unsigned int i = 0; fleet->asked >= REQUEST; i++) {
		fleet->asked -= REQUEST;
		if (token_limits_take(fleet->entries[(step + i) % ENTRIES],
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
 * An account asks for many times its limit at all entries at once. Each grants
 * on news of the others that is a quarter of a second old.
 */
static void test_a_flood_stays_within_the_limit(void **state)
{
	fleet_t fleet = { 0 };

	(void)state;
	fleet_start(&fleet, true);
	for (unsigned int step = 0; step < STEPS; step++) {
		pd_time_t now = START + step * STEP;

		if (step % TELL_STEPS == 0)
			fleet_tell(&fleet, now);
		fleet_ask(&fleet, step, account.rate * 7.5, now);
	}
	assert_true(worst_window(&fleet) <= allowed());
	/* And the account gets what it may use. */
	assert_true(worst_window(&fleet) >= account.rate * 8);
	fleet_end(&fleet);
}

/*
 * All entries are killed at the height of a flood and know nothing when they
 * are back. If each handed out the whole limit anew, the upstreams would get
 * twice what the account may use.
 */
static void test_a_restart_of_all_grants_no_second_limit(void **state)
{
	(void)state;
	for (unsigned int killed_at = 50; killed_at < 1000; killed_at += 50) {
		fleet_t fleet = { 0 };

		fleet_start(&fleet, true);
		for (unsigned int step = 0; step < STEPS; step++) {
			pd_time_t now = START + step * STEP;

			if (step == killed_at) {
				fleet_end(&fleet);
				fleet_start(&fleet, false);
			}
			if (step % TELL_STEPS == 0)
				fleet_tell(&fleet, now);
			/* They are down for a second. */
			if (step < killed_at || step >= killed_at + 100)
				fleet_ask(&fleet, step, account.rate * 7.5, now);
		}
		assert_true(worst_window(&fleet) <= allowed());
		fleet_end(&fleet);
	}
}

/*
 * The links between entries go silent. Each then knows only what the others
 * used before, and would grant the whole limit if it took silence for idleness.
 */
static void test_silent_peers_are_taken_to_go_on(void **state)
{
	fleet_t fleet = { 0 };

	(void)state;
	fleet_start(&fleet, true);
	for (unsigned int step = 0; step < STEPS; step++) {
		pd_time_t now = START + step * STEP;

		if (step % TELL_STEPS == 0 && step < 1200)
			fleet_tell(&fleet, now);
		fleet_ask(&fleet, step, account.rate * 3, now);
	}
	assert_true(worst_window(&fleet) <= allowed());
	fleet_end(&fleet);
}

/* Requests come in clumps; an account well below its limit is not refused. */
static void test_clumps_below_the_limit_are_granted(void **state)
{
	fleet_t fleet = { 0 };
	double granted = 0;

	(void)state;
	fleet_start(&fleet, true);
	for (unsigned int step = 0; step < STEPS; step++) {
		pd_time_t now = START + step * STEP;

		if (step % TELL_STEPS == 0)
			fleet_tell(&fleet, now);
		/* A quarter of the time at twice the rate. */
		fleet_ask(&fleet, step, step % 100 < 25 ? account.rate * 2 : 0,
			  now);
		granted += fleet.granted[step];
	}
	assert_true(granted > account.rate * 0.5 * 24 * 0.98);
	fleet_end(&fleet);
}

static void test_a_refusal_says_when_to_come_back(void **state)
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

/* A request larger than the bucket would otherwise never be let through. */
static void test_a_huge_request_is_not_starved(void **state)
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
 * In a fleet of hundreds an entry's even share of a small account's bucket is less
 * than one request. Callers send a few at once; all but the first would be
 * refused, although the account uses little of its limit.
 */
static void test_a_clump_goes_in_a_large_fleet(void **state)
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
 * A bucket that runs low is shared strictly, or a flood at hundreds of entries
 * would take many times what is left before they hear of each other.
 */
static void test_a_low_bucket_is_shared_strictly(void **state)
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
 * An entry hears from its peers for some seconds that an account uses half of its
 * limit, and then gets its own first request of it. Taken out of a bucket that
 * did not fill meanwhile, the peers' use would have it refused.
 */
static void test_a_bucket_fills_before_the_first_request(void **state)
{
	token_limits_t *limits = token_limits_create(&config, true);
	token_decision_t decision;
	double total = 0;
	pd_time_t now = START;

	(void)state;
	token_limits_set_gateway_count(limits, 280);
	for (; now < START + 20 * PD_SEC; now += 500 * PD_MSEC) {
		token_limits_record_peer_use(limits, account.name, "all", total,
					     false, now);
		total += account.rate / 4;
	}
	assert_true(token_limits_take(limits, &account, REQUEST, now, &decision));
	assert_true(decision.level > account.burst / 2);
	token_limits_destroy(limits);
}

/*
 * VMs are replaced all day. What callers asked of one that is gone is asked of the
 * others by then: counted on, it would grow with each replacement, until accounts
 * that keep their limits are granted by lot as if they sent many times as much.
 */
static void test_demand_of_a_peer_that_is_gone_is_forgotten(void **state)
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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_flood_stays_within_the_limit),
		cmocka_unit_test(test_a_restart_of_all_grants_no_second_limit),
		cmocka_unit_test(test_silent_peers_are_taken_to_go_on),
		cmocka_unit_test(test_clumps_below_the_limit_are_granted),
		cmocka_unit_test(test_a_refusal_says_when_to_come_back),
		cmocka_unit_test(test_a_huge_request_is_not_starved),
		cmocka_unit_test(test_a_clump_goes_in_a_large_fleet),
		cmocka_unit_test(test_a_low_bucket_is_shared_strictly),
		cmocka_unit_test(test_a_bucket_fills_before_the_first_request),
		cmocka_unit_test(test_demand_of_a_peer_that_is_gone_is_forgotten),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
