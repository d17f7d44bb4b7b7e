/*
 * Compares the cost of the placement rules at the latency target, for both
 * users' sizes, over ten simulated days with fixed seeds. Each rule is given the
 * smallest headroom at which 95 % of first tokens meet the target, both of all
 * requests and of the urgent ones, over all days together.
 */
#include <stdio.h>

#include "bench/placement_world.h"

#define SEED_COUNT 10
#define LATE_FRACTION_MAX 0.05

typedef struct user {
	const char *name;
	unsigned int peak;
	unsigned int most_workers;
} user_t;

static const char *const rule_names[] = {
	[MIX_SWEEP] = "sweep",
	[MIX_EVEN] = "even",
	[MIX_ON_DEMAND] = "on_demand",
	[MIX_CHEAPEST] = "cheapest",
};

/*
 * Simulates a day for each seed and returns counts of requests and VM starts as
 * sums, and costs and moves as means.
 */
static day_result_t run_days(const user_t *user, mix_rule_t rule,
			     unsigned int headroom)
{
	day_result_t sum = { 0 };

	for (uint32_t seed = 1; seed <= SEED_COUNT; seed++) {
		const day_config_t config = { .user = user->name,
					      .peak = user->peak,
					      .most_workers = user->most_workers,
					      .seed = seed,
					      .rule = rule,
					      .headroom = headroom };
		day_result_t day = day_run(&config);

		sum.cost += day.cost / SEED_COUNT;
		sum.bound += day.bound / SEED_COUNT;
		sum.bound_with_spares += day.bound_with_spares / SEED_COUNT;
		sum.requests += day.requests;
		sum.late += day.late;
		sum.urgent += day.urgent;
		sum.urgent_late += day.urgent_late;
		sum.moved += day.moved / SEED_COUNT;
		sum.bought += day.bought;
		sum.refused += day.refused;
	}
	return sum;
}

/* Prints the result of a rule as a line of CSV. */
static void print_row(const user_t *user, mix_rule_t rule, unsigned int headroom,
		      const day_result_t *sum, double on_demand)
{
	printf("%s,%s,%u,%.2f,%.2f,%.2f,%.3f,%.3f,%.3f,%.0f,%.1f,%.1f\n",
	       user->name, rule_names[rule], headroom,
	       100 * sum->late / sum->requests,
	       100 * sum->urgent_late / sum->urgent, sum->cost,
	       on_demand > 0 ? sum->cost / on_demand : 1.0,
	       sum->cost / sum->bound, sum->cost / sum->bound_with_spares,
	       sum->moved, (double)sum->bought / SEED_COUNT,
	       (double)sum->refused / SEED_COUNT);
	fflush(stdout);
}

/*
 * Prints the result of a rule at the smallest sufficient headroom, or at the
 * largest if none suffices. Returns its cost.
 */
static double measure(const user_t *user, mix_rule_t rule, double on_demand)
{
	static const unsigned int headrooms[] = { 0,  10, 20,  30, 40,
						  60, 80, 120, 200 };
	day_result_t sum = { 0 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(headrooms); i++) {
		sum = run_days(user, rule, headrooms[i]);
		if (sum.late <= LATE_FRACTION_MAX * sum.requests &&
		    sum.urgent_late <= LATE_FRACTION_MAX * sum.urgent)
			break;
	}
	i = MIN(i, G_N_ELEMENTS(headrooms) - 1);
	print_row(user, rule, headrooms[i], &sum, on_demand);
	return sum.cost;
}

int main(void)
{
	static const user_t users[] = {
		{ "hanbit", 54, 18 },
		{ "kaipuzha", 108, 36 },
	};

	printf("user,rule,headroom_percent,late_percent,urgent_late_percent,"
	       "cost,"
	       "of_on_demand,of_bound,of_insured_bound,moved,bought,refused\n");
	for (size_t i = 0; i < G_N_ELEMENTS(users); i++) {
		double on_demand = measure(&users[i], MIX_ON_DEMAND, 0);

		measure(&users[i], MIX_CHEAPEST, on_demand);
		measure(&users[i], MIX_EVEN, on_demand);
		measure(&users[i], MIX_SWEEP, on_demand);
	}
	return 0;
}
