/* Fills accounts to a common level (max-min fairness), by the work that they ask for. */
#include "core/forward/account_shares.h"

/* Name of the entry that accounts beyond the limit share. */
#define OTHERS ""
/* Less work, decayed, than this is forgotten. */
#define WORK_MIN 1e-3
/* The level is worked out anew if the part differs by more from that of the last time. */
#define PART_STEP 0.01

typedef struct account {
	double weight;
	double fleet_demand; /* per second, of all services and ranks; 0: not known */
	double work; /* asked for here lately, decayed */
	double returned; /* of it, by callers that came back */
} account_t;

struct account_shares {
	GHashTable *accounts; /* name -> account_t */
	/* the level of the last call, and what it was worked out for */
	bool has_level;
	double level_part;
	double level;
	double scale; /* fleet demand by work asked for here, of all accounts */
};

/* Returns shares of no accounts; the caller owns them. */
account_shares_t *account_shares_create(void)
{
	account_shares_t *shares = g_new0(account_shares_t, 1);

	shares->accounts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return shares;
}

/* Frees shares; NULL is allowed. */
void account_shares_destroy(account_shares_t *shares)
{
	if (!shares)
		return;
	g_hash_table_unref(shares->accounts);
	g_free(shares);
}

/* Returns the entry of an account, borrowed; adds one that is missing. */
static account_t *get_account(account_shares_t *shares, const char *name)
{
	account_t *account = g_hash_table_lookup(shares->accounts, name);

	if (account)
		return account;
	if (*name && g_hash_table_size(shares->accounts) >= ACCOUNT_SHARES_MAX)
		return get_account(shares, OTHERS);
	account = g_new0(account_t, 1);
	account->weight = 1;
	g_hash_table_insert(shares->accounts, g_strdup(name), account);
	return account;
}

/* Records what an account asks for, whether it is admitted or not. */
void account_shares_record(account_shares_t *shares, const account_request_t *request)
{
	account_t *account = get_account(shares, request->account);

	account->weight = MAX(request->weight, WORK_MIN);
	account->fleet_demand = request->fleet_demand;
	account->work += request->work;
	if (request->returned)
		account->returned += request->work;
}

/* Keeps a PART of what was asked for before, and forgets accounts that ask for nothing. */
void account_shares_decay(account_shares_t *shares, double part)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shares->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		account_t *account = value;

		account->work *= part;
		account->returned *= part;
		if (account->work < WORK_MIN)
			g_hash_table_iter_remove(&iter);
	}
	shares->has_level = false;
}

/*
 * Returns the demand by which an account is compared with others: that of all gateways, or
 * what it asks for here, scaled to that.
 */
static double demand_of(const account_shares_t *shares, const account_t *account)
{
	return account->fleet_demand > 0 ? account->fleet_demand
					 : account->work * shares->scale;
}

/* Works out by what work that is asked for here is scaled to that of all gateways. */
static void update_scale(account_shares_t *shares)
{
	GHashTableIter iter;
	gpointer value;
	double demand = 0;
	double work = 0;

	g_hash_table_iter_init(&iter, shares->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const account_t *account = value;

		if (account->fleet_demand <= 0)
			continue;
		demand += account->fleet_demand;
		work += account->work;
	}
	shares->scale = work > 0 && demand > 0 ? demand / work : 1;
}

/* Returns what all accounts get that are filled to a level by weight. */
static double filled_to(const account_shares_t *shares, double level)
{
	GHashTableIter iter;
	gpointer value;
	double filled = 0;

	g_hash_table_iter_init(&iter, shares->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const account_t *account = value;

		filled += MIN(demand_of(shares, account), account->weight * level);
	}
	return filled;
}

/*
 * Raises the level from that of the accounts that are filled at it, until PART of all
 * demand is filled: each round fills at least one account more, or ends.
 */
static double find_level(const account_shares_t *shares, double part)
{
	double wanted = part * filled_to(shares, G_MAXDOUBLE / 1e10);
	double level = 0;

	for (guint i = 0; i <= g_hash_table_size(shares->accounts); i++) {
		GHashTableIter iter;
		gpointer value;
		double filled = filled_to(shares, level);
		double weight = 0;
		double next = G_MAXDOUBLE;

		g_hash_table_iter_init(&iter, shares->accounts);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			const account_t *account = value;
			double full = demand_of(shares, account) / account->weight;

			if (full <= level)
				continue;
			weight += account->weight;
			next = MIN(next, full);
		}
		if (weight <= 0)
			break;
		if (filled + (next - level) * weight >= wanted)
			return level + (wanted - filled) / weight;
		level = next;
	}
	return level;
}

/* Updates the level if time has passed or the part has changed since. */
static void update_level(account_shares_t *shares, double part)
{
	if (shares->has_level && ABS(shares->level_part - part) < PART_STEP)
		return;
	update_scale(shares);
	shares->level = find_level(shares, part);
	shares->level_part = part;
	shares->has_level = true;
}

/*
 * Returns the probability with which a request is admitted while PART of all that is asked
 * for can be: an account below the common level is admitted whole. What an account gets
 * goes to returned requests first.
 */
double account_shares_part(account_shares_t *shares,
			   const account_request_t *request, double part)
{
	const account_t *account = get_account(shares, request->account);
	double demand;
	double own;
	double returned;

	if (part <= 0 || part >= 1)
		return CLAMP(part, 0, 1);
	update_level(shares, part);
	demand = demand_of(shares, account);
	own = demand > 0 ? MIN(account->weight * shares->level / demand, 1) : 1;
	returned = account->work > 0 ? account->returned / account->work : 0;
	if (returned <= 0 || own >= 1)
		return own;
	if (request->returned)
		return MIN(own / returned, 1);
	return own > returned ? (own - returned) / (1 - returned) : 0;
}
