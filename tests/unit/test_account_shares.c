/* Tests of the shares of client accounts in the work that is admitted in a shortage. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <math.h>

#include "core/forward/shed.h"

#define START (1000 * PD_SEC)
#define PERIOD (250 * PD_MSEC)
#define PERIODS 80 /* 20 s */
#define MEASURED_FROM 24 /* the share has settled */
#define GATEWAYS 64
#define GATEWAYS_OF_ACCOUNT 6
#define ACCOUNTS 16
#define HEAVY 2 /* the first of the accounts */
#define USUAL_RATE 10.0 /* requests of an account in a period */
#define HEAVY_FACTOR 7.5
#define WORK_MEAN 1000.0
#define LARGE \
	(WORK_MEAN * 2.302585) /* a tenth of exponential work is above it */
#define LAG 0.5 /* kept of a figure in a period */
#define SEED 7

/* What requests of one kind asked for and got. */
typedef struct tally {
	double offered;
	double admitted;
} tally_t;

/* A fleet whose upstreams have room for a part of what is asked of them. */
typedef struct fleet {
	GRand *random;
	shed_t *sheds[GATEWAYS];
	unsigned int gateways[ACCOUNTS][GATEWAYS_OF_ACCOUNT];
	double rates[ACCOUNTS]; /* requests in a period */
	double weights[ACCOUNTS];
	double demand[ACCOUNTS]; /* as gateways know it, per second */
	bool plain; /* shed_admit() decides */
	bool knows_demand;
	bool has_ranks; /* a half of the requests is less urgent */
	bool odd_wait; /* all requests of every second account are */
	bool returns[ACCOUNTS]; /* says so of half of its requests */
	double capacity; /* work in a period */
	double used; /* lately, in a period */
	tally_t accounts[ACCOUNTS];
	tally_t large; /* requests of the heavy accounts, by count */
	tally_t small;
} fleet_t;

static const char *const names[ACCOUNTS] = { "a0",  "a1",  "a2",  "a3",
					     "a4",  "a5",  "a6",  "a7",
					     "a8",  "a9",  "a10", "a11",
					     "a12", "a13", "a14", "a15" };

static const shed_ranks_t all_ranks = { 0, SHED_RANKS };

static fleet_t *fleet_create(void)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	fleet->random = g_rand_new_with_seed(SEED);
	fleet->knows_demand = true;
	for (int i = 0; i < GATEWAYS; i++)
		fleet->sheds[i] = shed_create();
	for (int i = 0; i < ACCOUNTS; i++) {
		fleet->rates[i] = USUAL_RATE * (i < HEAVY ? HEAVY_FACTOR : 1);
		fleet->weights[i] = 100000;
		/* Squares of draws: some gateways have most of the traffic. */
		for (int j = 0; j < GATEWAYS_OF_ACCOUNT; j++)
			fleet->gateways[i][j] =
				(unsigned int)(GATEWAYS *
					       pow(g_rand_double(fleet->random), 2));
	}
	return fleet;
}

/* Lets all requests come to one gateway. */
static void fleet_use_one_gateway(fleet_t *fleet)
{
	for (int i = 0; i < ACCOUNTS; i++)
		for (int j = 0; j < GATEWAYS_OF_ACCOUNT; j++)
			fleet->gateways[i][j] = 0;
}

static void fleet_destroy(fleet_t *fleet)
{
	for (int i = 0; i < GATEWAYS; i++)
		shed_destroy(fleet->sheds[i]);
	g_rand_free(fleet->random);
	g_free(fleet);
}

static bool fleet_admit(fleet_t *fleet, int account, double work)
{
	unsigned int place =
		fleet->gateways[account][g_rand_int_range(fleet->random, 0,
							  GATEWAYS_OF_ACCOUNT)];
	account_request_t request = {
		.account = names[account],
		.weight = fleet->weights[account],
		.work = work,
		.returned = fleet->returns[account] && g_rand_boolean(fleet->random),
	};
	int rank = fleet->has_ranks ? g_rand_boolean(fleet->random) : 0;
	double draw = g_rand_double(fleet->random);

	if (fleet->odd_wait && account % 2)
		rank = 1;
	if (fleet->plain)
		return shed_admit(fleet->sheds[place], rank, work, draw);
	return shed_admit_account(fleet->sheds[place], rank, &request, draw);
}

static void tally_add(tally_t *tally, bool admitted, double work)
{
	tally->offered += work;
	tally->admitted += admitted ? work : 0;
}

/* Updates the shares, and what gateways know of the demand at all. */
static void fleet_update(fleet_t *fleet, const shed_utilization_t *utilization,
			 pd_time_t now)
{
	for (int i = 0; i < GATEWAYS; i++) {
		shed_update(fleet->sheds[i], utilization, now);
		for (int j = 0; j < ACCOUNTS && fleet->knows_demand; j++) {
			const fleet_demand_t demand = { names[j],
							fleet->weights[j],
							fleet->demand[j] };

			shed_set_account_demand(fleet->sheds[i], &demand,
						&all_ranks);
		}
	}
}

/* Lets the accounts ask for what they do in a period; returns what was admitted. */
static double fleet_run_period(fleet_t *fleet, bool measured)
{
	double admitted = 0;

	for (int i = 0; i < ACCOUNTS; i++) {
		double offered = 0;

		for (int j = 0; j < (int)fleet->rates[i]; j++) {
			double work = -WORK_MEAN *
				      log(1 - g_rand_double(fleet->random));
			bool in = fleet_admit(fleet, i, work);

			offered += work;
			admitted += in ? work : 0;
			if (!measured)
				continue;
			tally_add(&fleet->accounts[i], in, work);
			if (i < HEAVY)
				tally_add(work > LARGE ? &fleet->large
						       : &fleet->small,
					  in, 1);
		}
		fleet->demand[i] = fleet->demand[i] * LAG +
				   offered * (1 - LAG) * PD_SEC / PERIOD;
	}
	return admitted;
}

/* Runs the load of 20 s with room for PART of it. */
static void fleet_run(fleet_t *fleet, double part)
{
	fleet->capacity = 0;
	for (int i = 0; i < ACCOUNTS; i++)
		fleet->capacity += part * fleet->rates[i] * WORK_MEAN;
	fleet->used = fleet->capacity;
	for (int i = 0; i < PERIODS; i++) {
		double admitted = fleet_run_period(fleet, i >= MEASURED_FROM);
		/* Gateways aim at 0.9 of the slots; capacity here is that. */
		shed_utilization_t utilization = { .includes_peers = true };

		fleet->used = fleet->used * LAG + admitted * (1 - LAG);
		utilization.ratio = 0.9 * fleet->used / fleet->capacity;
		fleet_update(fleet, &utilization, START + i * PERIOD);
	}
}

static double part_of(const tally_t *tally)
{
	return tally->offered > 0 ? tally->admitted / tally->offered : 0;
}

/* Prints admitted parts; returns the whole admitted work by the capacity. */
static double fleet_print(const fleet_t *fleet, const char *name)
{
	double admitted = 0;

	print_message("%s:", name);
	for (int i = 0; i < ACCOUNTS; i++) {
		print_message(" %.2f", part_of(&fleet->accounts[i]));
		admitted += fleet->accounts[i].admitted;
	}
	admitted /= fleet->capacity * (PERIODS - MEASURED_FROM);
	print_message("; admitted of the capacity: %.3f\n", admitted);
	return admitted;
}

/*
 * Guards against accounts that displace others by asking for many times their usual, and
 * against shares that leave room unused or differ between gateways.
 */
static void test_heavy_accounts_do_not_displace_others(void **state)
{
	fleet_t *fleet = fleet_create();
	fleet_t *plain = fleet_create();
	double admitted;

	(void)state;
	plain->plain = true;
	fleet_run(plain, 0.6);
	fleet_print(plain, "shed_admit()");
	fleet_run(fleet, 0.6);
	admitted = fleet_print(fleet, "shed_admit_account()");
	for (int i = HEAVY; i < ACCOUNTS; i++)
		assert_true(part_of(&fleet->accounts[i]) >= 0.95);
	assert_true(fabs(fleet->accounts[0].admitted / fleet->accounts[1].admitted -
			 1) < 0.15);
	assert_true(fabs(admitted - 1) < 0.05);
	fleet_destroy(fleet);
	fleet_destroy(plain);
}

/* Guards against shares of the less urgent work that depend on what a gateway has seen. */
static void test_shares_hold_inside_a_rank(void **state)
{
	fleet_t *fleet = fleet_create();
	/* 14.5 usual amounts are less urgent, and there is room for 2.9, a 16th for each. */
	double expected = 0.5 + 2.9 / ACCOUNTS;

	(void)state;
	fleet->has_ranks = true;
	fleet_run(fleet, 0.6);
	assert_true(fabs(fleet_print(fleet, "two ranks") - 1) < 0.05);
	for (int i = HEAVY; i < ACCOUNTS; i++)
		assert_true(part_of(&fleet->accounts[i]) > 0.9 * expected);
	fleet_destroy(fleet);
}

/*
 * Guards against demand that counts in a rank in which the account does not ask for it, so
 * that it is limited there for what it asks for in another.
 */
static void test_shares_follow_the_mix_of_ranks(void **state)
{
	fleet_t *fleet = fleet_create();

	(void)state;
	fleet->has_ranks = true;
	fleet->odd_wait = true;
	fleet_use_one_gateway(fleet);
	fleet_run(fleet, 0.6);
	assert_true(fabs(fleet_print(fleet, "two mixes") - 1) < 0.05);
	/* Room for 10.15 of the less urgent work: a level of 0.74 usual amounts. */
	for (int i = HEAVY; i < ACCOUNTS; i++)
		assert_true(part_of(&fleet->accounts[i]) >
			    0.9 * (i % 2 ? 0.74 : 1));
	fleet_destroy(fleet);
}

/* Guards against starving large requests, which fit where little room is left less often. */
static void test_large_requests_are_admitted_like_others(void **state)
{
	fleet_t *fleet = fleet_create();
	double part;

	(void)state;
	fleet_run(fleet, 0.6);
	part = part_of(&fleet->small);
	print_message("large %.3f of %.0f, others %.3f of %.0f\n",
		      part_of(&fleet->large), fleet->large.offered, part,
		      fleet->small.offered);
	assert_true(fabs(part_of(&fleet->large) - part) <
		    3 * sqrt(part * (1 - part) / fleet->large.offered));
	fleet_destroy(fleet);
}

/* Guards against shares that ignore the limits of accounts. */
static void test_twice_the_limit_gets_twice_the_share(void **state)
{
	fleet_t *fleet = fleet_create();
	double first = 0;
	double second = 0;

	(void)state;
	for (int i = 0; i < ACCOUNTS; i++) {
		fleet->rates[i] = 3 * USUAL_RATE;
		fleet->weights[i] *= i < ACCOUNTS / 2 ? 2 : 1;
	}
	fleet_run(fleet, 0.4);
	fleet_print(fleet, "weights 2 and 1");
	for (int i = 0; i < ACCOUNTS / 2; i++) {
		first += part_of(&fleet->accounts[i]);
		second += part_of(&fleet->accounts[i + ACCOUNTS / 2]);
	}
	print_message("ratio %.3f\n", first / second);
	/* Three times the standard deviation that chance gives so many requests. */
	assert_true(fabs(first / second - 2) < 0.15);
	fleet_destroy(fleet);
}

/* Guards against accounts without a limit that get nearly nothing beside those with one. */
static void test_an_account_without_a_limit_has_the_usual_weight(void **state)
{
	fleet_t *fleet = fleet_create();

	(void)state;
	fleet->weights[ACCOUNTS - 1] = 0;
	fleet_run(fleet, 0.6);
	fleet_print(fleet, "the last has no limit");
	assert_true(part_of(&fleet->accounts[ACCOUNTS - 1]) >= 0.95);
	fleet_destroy(fleet);
}

/* Guards against callers that state short deadlines in order to displace other accounts. */
static void test_returned_requests_get_no_more_than_the_account(void **state)
{
	fleet_t *fleet = fleet_create();

	(void)state;
	fleet->returns[0] = true;
	fleet_run(fleet, 0.6);
	fleet_print(fleet, "the first returns");
	assert_true(fabs(fleet->accounts[0].admitted / fleet->accounts[1].admitted -
			 1) < 0.15);
	fleet_destroy(fleet);
}

/* Guards against a cut-off gateway that falls back to admitting by what is asked for. */
static void test_a_cut_off_gateway_is_fair_by_its_own_figures(void **state)
{
	fleet_t *fleet = fleet_create();

	(void)state;
	fleet->knows_demand = false;
	fleet_use_one_gateway(fleet);
	fleet_run(fleet, 0.6);
	assert_true(fabs(fleet_print(fleet, "cut off") - 1) < 0.05);
	for (int i = HEAVY; i < ACCOUNTS; i++)
		assert_true(part_of(&fleet->accounts[i]) >= 0.9);
	fleet_destroy(fleet);
}

/* Returns a shedder that admits about half of the work. */
static shed_t *create_short(pd_time_t *now)
{
	const shed_utilization_t utilization = { 2, true };
	shed_t *shed = shed_create();

	for (*now = START; shed_admitted_share(shed) > 0.5; *now += PERIOD)
		shed_update(shed, &utilization, *now);
	return shed;
}

/* Guards against decisions that change where all accounts are alike. */
static void test_equal_accounts_are_admitted_as_without_shares(void **state)
{
	const shed_utilization_t steady = { 0.9, true };
	GRand *random = g_rand_new_with_seed(SEED);
	pd_time_t now;
	shed_t *plain = create_short(&now);
	shed_t *shed = create_short(&now);
	unsigned int differing = 0;

	(void)state;
	for (int i = 0; i < 200 * ACCOUNTS; i++) {
		account_request_t request = { names[i % ACCOUNTS], 1, 0, false };
		int rank = i / ACCOUNTS % 3;
		double draw = g_rand_double(random);
		bool same;

		if (i % (20 * ACCOUNTS) == 0) {
			now += PERIOD;
			shed_update(plain, &steady, now);
			shed_update(shed, &steady, now);
			for (int j = 0; j < ACCOUNTS; j++) {
				const fleet_demand_t demand = { names[j], 1, 700 };

				shed_set_account_demand(shed, &demand, &all_ranks);
			}
		}
		request.work = 1 + i / ACCOUNTS % 5;
		/* The demand is known from the second period on. */
		same = shed_admit(plain, rank, request.work, draw) ==
		       shed_admit_account(shed, rank, &request, draw);
		differing += i >= 20 * ACCOUNTS && !same;
	}
	assert_int_equal(differing, 0);
	shed_destroy(plain);
	shed_destroy(shed);
	g_rand_free(random);
}

/* Guards against accounts beyond the limit that get nothing, or all that they ask for. */
static void test_accounts_beyond_the_limit_get_the_part_of_all(void **state)
{
	account_shares_t *shares = account_shares_create();
	account_counts_t counts = { 0 };

	(void)state;
	for (int i = 0; i < ACCOUNT_SHARES_MAX + 44; i++) {
		g_autofree char *name = g_strdup_printf("%d", i);
		/* The first asks for as much as ten. */
		account_request_t request = { name, 1, i ? 1 : 10, false };
		double part;

		account_shares_record(shares, &request);
		part = account_shares_part(shares, &request, 0.5);
		assert_true(i < ACCOUNT_SHARES_MAX || part == 0.5);
	}
	account_shares_decay(shares, 1);
	account_shares_count(shares, 0.99, &counts);
	assert_int_equal(counts.below, ACCOUNT_SHARES_MAX - 1);
	assert_int_equal(counts.limited, 1);
	account_shares_destroy(shares);
}

/* Guards against room that is kept for accounts that ask for nothing any more. */
static void test_an_account_that_stops_asking_is_forgotten(void **state)
{
	account_shares_t *shares = account_shares_create();
	account_request_t request = { "gone", 1, 1000, false };
	account_counts_t counts = { 0 };

	(void)state;
	account_shares_record(shares, &request);
	for (int i = 0; i < 70; i++)
		account_shares_decay(shares, 0.8);
	account_shares_count(shares, 0.5, &counts);
	assert_int_equal(counts.below + counts.limited, 0);
	account_shares_destroy(shares);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_heavy_accounts_do_not_displace_others),
		cmocka_unit_test(test_shares_hold_inside_a_rank),
		cmocka_unit_test(test_shares_follow_the_mix_of_ranks),
		cmocka_unit_test(test_large_requests_are_admitted_like_others),
		cmocka_unit_test(test_twice_the_limit_gets_twice_the_share),
		cmocka_unit_test(test_an_account_without_a_limit_has_the_usual_weight),
		cmocka_unit_test(test_returned_requests_get_no_more_than_the_account),
		cmocka_unit_test(test_a_cut_off_gateway_is_fair_by_its_own_figures),
		cmocka_unit_test(test_equal_accounts_are_admitted_as_without_shares),
		cmocka_unit_test(test_accounts_beyond_the_limit_get_the_part_of_all),
		cmocka_unit_test(test_an_account_that_stops_asking_is_forgotten),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
