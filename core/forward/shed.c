/*
 * Sheds load by rank; feedback from utilization and outcomes sets the share of
 * work that is admitted.
 */
#include "core/forward/shed.h"

#include <glib.h>

/* How often the share is updated: the goal for some first tokens is 300 ms. */
#define UPDATE_PERIOD (250 * PD_MSEC)
/*
 * Part of past work and outcomes that is kept at each update: they count for
 * about a second.
 */
#define DECAY 0.8
/* Fewer decayed outcomes than this show nothing. */
#define OUTCOMES_MIN 3.0
/*
 * Engines are overloaded if they rejected, or began late, more than this part
 * of the requests. Without any shortage 3 to 8 in 100 begin late.
 */
#define OVERLOAD_HIGH 0.2
#define OVERLOAD_LOW 0.1
#define OVERLOAD_FACTOR 0.9 /* kept of the share at an update while they are */
/*
 * The part of all slots that should be in use. Above it, requests queue at the
 * engines, as they are not spread evenly.
 */
#define UTILIZATION_TARGET 0.9
/* Below it, requests begin late for other reasons: crashes, reclaimed VMs. */
#define UTILIZATION_LOW 0.7
/*
 * At an update the share changes by this part of the difference from the
 * target, at most by SHARE_STEP_MAX. Streams take one to three seconds, so the
 * utilization follows slowly: when the share fell by 15 in 100 at each update,
 * half of the slots were free two seconds later.
 */
#define UTILIZATION_GAIN 0.25
#define SHARE_STEP_MAX 0.08
/*
 * Some of the most urgent work is always admitted; otherwise no outcome would
 * show that the engines have recovered.
 */
#define SHARE_MIN 0.2

/*
 * What an account asks for is divided between ranks and services like its work here. Most
 * gateways see few of its requests, so this part of the work of all counts with it.
 */
#define EXPECTED_PART 0.02

/* A change of the share that is logged. */
#define LOG_STEP 0.1

struct shed {
	double work[SHED_RANKS]; /* offered lately, by rank; decayed */
	account_shares_t *accounts[SHED_RANKS]; /* of that work */
	double outcomes;
	double overloaded; /* of the outcomes; decayed */
	double share; /* of the work that is admitted */
	double logged_share; /* the share that was logged last */
	pd_time_t next_update_at;
};

/* Returns a shedder that admits everything; the caller owns it. */
shed_t *shed_create(void)
{
	shed_t *shed = g_new0(shed_t, 1);

	shed->share = 1;
	shed->logged_share = 1;
	for (int i = 0; i < SHED_RANKS; i++)
		shed->accounts[i] = account_shares_create();
	return shed;
}

/* Frees a shedder; NULL is allowed. */
void shed_destroy(shed_t *shed)
{
	if (!shed)
		return;
	for (int i = 0; i < SHED_RANKS; i++)
		account_shares_destroy(shed->accounts[i]);
	g_free(shed);
}

/* Returns the share of the work that is admitted, at most 1. */
double shed_admitted_share(const shed_t *shed)
{
	return shed->share;
}

/*
 * Returns whether to admit a request, and counts its work as offered. The share
 * is filled by rank, and of the rank that fits in part a random part is
 * admitted. WORK is the cost of the request; DRAW is a random number from 0 to
 * 1.
 */
bool shed_admit(shed_t *shed, int rank, double work, double draw)
{
	double all = 0;
	double before = 0;

	shed->work[rank] += work;
	if (shed->share >= 1)
		return true;
	for (int i = 0; i < SHED_RANKS; i++) {
		all += shed->work[i];
		if (i < rank)
			before += shed->work[i];
	}
	return before + draw * shed->work[rank] < shed->share * all;
}

/* Returns the part of a rank's work that is admitted, from 0 to 1. */
static double rank_part(const shed_t *shed, int rank)
{
	double all = 0;
	double before = 0;

	for (int i = 0; i < SHED_RANKS; i++) {
		all += shed->work[i];
		if (i < rank)
			before += shed->work[i];
	}
	if (shed->work[rank] <= 0)
		return 1;
	return CLAMP((shed->share * all - before) / shed->work[rank], 0, 1);
}

/*
 * The same as shed_admit() for a request of an account: of the rank that fits in part,
 * accounts get equal shares by weight.
 */
bool shed_admit_account(shed_t *shed, int rank,
			const account_request_t *request, double draw)
{
	shed->work[rank] += request->work;
	account_shares_record(shed->accounts[rank], request);
	if (shed->share >= 1)
		return true;
	return draw < account_shares_part(shed->accounts[rank], request,
					  rank_part(shed, rank));
}

/* Returns what an account can be expected to ask for here in a rank. */
static double expected_in_rank(const shed_t *shed, const char *account, int rank)
{
	return account_shares_work(shed->accounts[rank], account) +
	       EXPECTED_PART * shed->work[rank];
}

/*
 * Returns what an account can be expected to ask for here, by its own work and that of all
 * of its ranks. Its demand is divided between services in proportion.
 */
double shed_expected_work(const shed_t *shed, const char *account,
			  const shed_ranks_t *ranks)
{
	double expected = 0;

	for (int i = ranks->first; i < ranks->first + ranks->count; i++)
		expected += expected_in_rank(shed, account, i);
	return expected;
}

/*
 * Sets what an account asks all gateways for in its ranks of the service, until the next
 * update.
 */
void shed_set_account_demand(shed_t *shed, const fleet_demand_t *demand,
			     const shed_ranks_t *ranks)
{
	double expected = shed_expected_work(shed, demand->account, ranks);

	if (expected <= 0)
		return;
	for (int i = ranks->first; i < ranks->first + ranks->count; i++) {
		fleet_demand_t part = *demand;

		part.per_second *=
			expected_in_rank(shed, demand->account, i) / expected;
		account_shares_set_demand(shed->accounts[i], &part);
	}
}

/* Returns how many accounts shares limit, and how many not, in the rank that fits in part. */
account_counts_t shed_count_accounts(shed_t *shed)
{
	account_counts_t counts = { 0 };

	if (shed->share >= 1)
		return counts;
	for (int i = 0; i < SHED_RANKS; i++)
		account_shares_count(shed->accounts[i], rank_part(shed, i),
				     &counts);
	return counts;
}

/*
 * Records how a request sent to an engine went; it is OVERLOADED if it was
 * rejected or began late.
 */
void shed_record_outcome(shed_t *shed, bool overloaded)
{
	shed->outcomes++;
	shed->overloaded += overloaded;
}

/*
 * Returns the part of the recent outcomes that show overload; 0 if there are
 * few.
 */
double shed_overload_ratio(const shed_t *shed)
{
	return shed->outcomes >= OUTCOMES_MIN ? shed->overloaded / shed->outcomes
					      : 0;
}

/*
 * Sets the share by the overload ratio and by the difference of the utilization
 * from its target.
 */
static void update_share(shed_t *shed, const shed_utilization_t *utilization)
{
	double overload = shed_overload_ratio(shed);
	double error = utilization->includes_peers
			       ? UTILIZATION_TARGET - utilization->ratio
			       : UTILIZATION_TARGET;
	double step =
		CLAMP(UTILIZATION_GAIN * error, -SHARE_STEP_MAX, SHARE_STEP_MAX);

	if (overload > OVERLOAD_HIGH && (!utilization->includes_peers ||
					 utilization->ratio > UTILIZATION_LOW))
		shed->share *= OVERLOAD_FACTOR;
	else if (step < 0 || overload < OVERLOAD_LOW ||
		 error > UTILIZATION_TARGET - UTILIZATION_LOW)
		shed->share *= 1 + step;
	shed->share = CLAMP(shed->share, SHARE_MIN, 1);
}

/* Returns whether the share is to be updated now. */
bool shed_update_is_due(const shed_t *shed, pd_time_t now)
{
	return now >= shed->next_update_at;
}

/*
 * Updates the share if that is due. Returns whether it changed enough to be
 * logged.
 */
bool shed_update(shed_t *shed, const shed_utilization_t *utilization, pd_time_t now)
{
	if (!shed_update_is_due(shed, now))
		return false;
	shed->next_update_at = now + UPDATE_PERIOD;
	update_share(shed, utilization);
	shed->outcomes *= DECAY;
	shed->overloaded *= DECAY;
	for (int i = 0; i < SHED_RANKS; i++) {
		shed->work[i] *= DECAY;
		account_shares_decay(shed->accounts[i], DECAY);
	}
	if (ABS(shed->share - shed->logged_share) < LOG_STEP &&
	    (shed->share < 1 || shed->logged_share >= 1))
		return false;
	shed->logged_share = shed->share;
	return true;
}
