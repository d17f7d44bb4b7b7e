/* Fills accounts to a common level (max-min fairness), by the work that they ask for. */
#include "core/forward/account_shares.h"

/* Less work, decayed, than this is forgotten. */
#define WORK_MIN 1e-3

typedef struct account {
	double weight; /* 0: not stated */
	double fleet_demand; /* per second; 0: not known */
	double work; /* asked for here lately, decayed */
	double returned; /* of it, by callers that came back */
	double step_demand; /* that the steps were worked out with; 0: none */
} account_t;

/* An account, and sums over it and those that are filled at lower levels. */
typedef struct step {
	double full_level; /* by weight, at which the account is admitted whole */
	double demand;
	double weight;
	double demand_sum;
	double weight_sum;
} step_t;

struct account_shares {
	GHashTable *accounts; /* name -> account_t */
	/* by full_level; worked out at the first decision after a decay */
	GArray *steps;
	bool has_steps;
	double scale; /* fleet demand by work asked for here, of all accounts */
	double usual_weight; /* mean of the weights that are stated */
};

/* Returns shares of no accounts; the caller owns them. */
account_shares_t *account_shares_create(void)
{
	account_shares_t *shares = g_new0(account_shares_t, 1);

	shares->accounts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	shares->steps = g_array_new(FALSE, FALSE, sizeof(step_t));
	return shares;
}

/* Frees shares; NULL is allowed. */
void account_shares_destroy(account_shares_t *shares)
{
	if (!shares)
		return;
	g_hash_table_unref(shares->accounts);
	g_array_unref(shares->steps);
	g_free(shares);
}

/* Returns the entry of an account, borrowed; adds one; NULL if there are too many. */
static account_t *get_account(account_shares_t *shares, const char *name)
{
	account_t *account = g_hash_table_lookup(shares->accounts, name);

	if (account || g_hash_table_size(shares->accounts) >= ACCOUNT_SHARES_MAX)
		return account;
	account = g_new0(account_t, 1);
	g_hash_table_insert(shares->accounts, g_strdup(name), account);
	return account;
}

/* Records what an account asks for, whether it is admitted or not. */
void account_shares_record(account_shares_t *shares, const account_request_t *request)
{
	account_t *account = get_account(shares, request->account);

	if (!account)
		return;
	account->weight = request->weight;
	account->work += request->work;
	if (request->returned)
		account->returned += request->work;
}

/*
 * Sets what an account asks all gateways for, until the next decay. Accounts whose requests
 * come to other gateways only belong to it: without them the level is another one here.
 */
void account_shares_set_demand(account_shares_t *shares, const fleet_demand_t *demand)
{
	account_t *account;

	if (!(demand->per_second > 0))
		return;
	account = get_account(shares, demand->account);
	if (!account)
		return;
	account->weight = demand->weight;
	account->fleet_demand = demand->per_second;
	shares->has_steps = false;
}

/* Returns the work that an account has asked for here lately, decayed. */
double account_shares_work(const account_shares_t *shares, const char *account)
{
	const account_t *found = g_hash_table_lookup(shares->accounts, account);

	return found ? found->work : 0;
}

/*
 * Keeps a PART of what was asked for here before, forgets demands at all gateways, and
 * accounts that ask for nothing.
 */
void account_shares_decay(account_shares_t *shares, double part)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shares->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		account_t *account = value;

		account->work *= part;
		account->returned *= part;
		account->fleet_demand = 0;
		if (account->work < WORK_MIN)
			g_hash_table_iter_remove(&iter);
	}
	shares->has_steps = false;
}

/*
 * Returns the demand by which an account is compared with others: that of all gateways, or
 * what it asked for here, scaled to that. It stays until the next decay, like the level.
 */
static double demand_of(const account_shares_t *shares, const account_t *account)
{
	return account->step_demand > 0 ? account->step_demand
					: account->work * shares->scale;
}

/* Returns the weight of an account; above 0. */
static double weight_of(const account_shares_t *shares, const account_t *account)
{
	return account->weight > 0 ? account->weight : shares->usual_weight;
}

/* Works out the usual weight, and how work asked for here is scaled to all gateways. */
static void update_scale(account_shares_t *shares)
{
	GHashTableIter iter;
	gpointer value;
	double demand = 0;
	double work = 0;
	double weight = 0;
	unsigned int weighted = 0;

	g_hash_table_iter_init(&iter, shares->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const account_t *account = value;

		if (account->weight > 0) {
			weight += account->weight;
			weighted++;
		}
		if (account->fleet_demand > 0) {
			demand += account->fleet_demand;
			work += account->work;
		}
	}
	shares->scale = work > 0 ? demand / work : 1;
	shares->usual_weight = weighted ? weight / weighted : 1;
}

static int compare_steps(gconstpointer a, gconstpointer b)
{
	const step_t *first = a;
	const step_t *second = b;

	return (first->full_level > second->full_level) -
	       (first->full_level < second->full_level);
}

/* Orders the accounts by the level at which each is admitted whole. */
static void update_steps(account_shares_t *shares)
{
	GHashTableIter iter;
	gpointer value;
	double demand_sum = 0;
	double weight_sum = 0;

	if (shares->has_steps)
		return;
	shares->has_steps = true;
	update_scale(shares);
	g_array_set_size(shares->steps, 0);
	g_hash_table_iter_init(&iter, shares->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		account_t *account = value;
		step_t step = { .weight = weight_of(shares, account) };

		account->step_demand = account->fleet_demand > 0
					       ? account->fleet_demand
					       : account->work * shares->scale;
		step.demand = account->step_demand;
		step.full_level = step.demand / step.weight;
		if (step.demand > 0)
			g_array_append_val(shares->steps, step);
	}
	g_array_sort(shares->steps, compare_steps);
	for (guint i = 0; i < shares->steps->len; i++) {
		step_t *step = &g_array_index(shares->steps, step_t, i);

		step->demand_sum = demand_sum += step->demand;
		step->weight_sum = weight_sum += step->weight;
	}
}

/* Returns the level, by weight, up to which accounts are filled with PART of all demand. */
static double find_level(const account_shares_t *shares, double part)
{
	const step_t *steps = (const step_t *)(const void *)shares->steps->data;
	guint from = 0;
	guint to = shares->steps->len;
	const step_t *last;
	double wanted;

	if (!to)
		return 0;
	last = &steps[to - 1];
	wanted = part * last->demand_sum;
	/* Finds the first account at whose full level as much as is wanted is filled. */
	while (from + 1 < to) {
		guint middle = from + (to - from) / 2 - 1;
		const step_t *step = &steps[middle];
		double filled = step->demand_sum +
				step->full_level *
					(last->weight_sum - step->weight_sum);

		if (filled >= wanted)
			to = middle + 1;
		else
			from = middle + 1;
	}
	return (wanted - (steps[from].demand_sum - steps[from].demand)) /
	       (last->weight_sum - (steps[from].weight_sum - steps[from].weight));
}

/*
 * Returns the probability with which a request is admitted while PART of all that is asked
 * for can be: an account below the common level is admitted whole. What an account gets
 * goes to returned requests first.
 */
double account_shares_part(account_shares_t *shares,
			   const account_request_t *request, double part)
{
	const account_t *account =
		g_hash_table_lookup(shares->accounts, request->account);
	double demand;
	double own;
	double returned;

	if (part <= 0 || part >= 1 || !account)
		return CLAMP(part, 0, 1);
	update_steps(shares);
	demand = demand_of(shares, account);
	own = demand > 0 ? MIN(weight_of(shares, account) *
				       find_level(shares, part) / demand,
			       1)
			 : 1;
	returned = account->work > 0 ? account->returned / account->work : 0;
	if (returned <= 0 || own >= 1)
		return own;
	if (request->returned)
		return MIN(own / returned, 1);
	return own > returned ? (own - returned) / (1 - returned) : 0;
}

/* Adds to COUNTS how many accounts are below the level of PART, and how many are not. */
void account_shares_count(account_shares_t *shares, double part,
			  account_counts_t *counts)
{
	double level;

	if (part <= 0 || part >= 1)
		return;
	update_steps(shares);
	level = find_level(shares, part);
	for (guint i = 0; i < shares->steps->len; i++) {
		if (g_array_index(shares->steps, step_t, i).full_level < level)
			counts->below++;
		else
			counts->limited++;
	}
}
