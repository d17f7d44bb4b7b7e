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
	};
	double draw = g_rand_double(fleet->random);

	if (fleet->plain)
		return shed_admit(fleet->sheds[place], 0, work, draw);
	return shed_admit_account(fleet->sheds[place], 0, &request, draw);
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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_heavy_accounts_do_not_displace_others),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
