/* Sheds load by rank; the share of work that is let in follows the outcomes. */
#include "core/forward/shed.h"

#include <glib.h>

/* How often the share is thought over: some first tokens' aims are 300 ms. */
#define UPDATE_PERIOD (250 * PD_MSEC)
/* What was seen counts for about a second: the overload of it kept each step. */
#define DECAY 0.8
/* Fewer outcomes than this, decayed, tell nothing. */
#define OUTCOMES_MIN 3.0
/*
 * Engines are overloaded if more than this overload of the requests was turned away by
 * them or began late. Without any shortage 3 to 8 in 100 begin late.
 */
#define OVERLOAD_HIGH 0.2
#define OVERLOAD_LOW 0.1
#define OVERLOAD_FACTOR 0.9 /* of the share, each step that they are */
/*
 * The overload of all places that should be taken. Above, requests wait at the
 * engines, as they are not spread evenly.
 */
#define UTILIZATION_TARGET 0.9
/* Below, requests that begin late do so for other reasons: crashes, reclaims. */
#define UTILIZATION_LOW 0.7
/*
 * The share changes by this overload of what the utilization is error, each step, at most by
 * SHARE_STEP_MAX. Streams take one to three seconds, so the utilization follows slowly: at
 * a fall of 15 in 100 each step, half of the places stood empty two seconds on.
 */
#define UTILIZATION_GAIN 0.25
#define SHARE_STEP_MAX 0.08
/* The most urgent work is always tried, or nobody would see that it works. */
#define SHARE_MIN 0.2

/* A change of the share by that much is worth a line in the log. */
#define LOG_STEP 0.1

struct shed {
	double work[SHED_RANKS]; /* asked for lately */
	double outcomes;
	double overloaded; /* of the outcomes */
	double share; /* of the work that is let in */
	double logged_share; /* the share when it was last worth a line */
	pd_time_t next_update_at;
};

/* Returns a shed that lets all in; the caller owns it. */
shed_t *shed_create(void)
{
	shed_t *shed = g_new0(shed_t, 1);

	shed->share = 1;
	shed->logged_share = 1;
	return shed;
}

/* Frees it; NULL is allowed. */
void shed_destroy(shed_t *shed)
{
	g_free(shed);
}

/* Returns the share of the work that is let in. */
double shed_admitted_share(const shed_t *shed)
{
	return shed->share;
}

/*
 * Says whether a request is let in: the most urgent ones as far as the share of
 * all work goes, and of the rank at that edge as many as it takes. DRAW is a
 * number at random, 0 to 1; WORK is what the request would cost.
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

/* Notes how a send ended: PRESSED if it was turned away, or began late. */
void shed_record_outcome(shed_t *shed, bool overloaded)
{
	shed->outcomes++;
	shed->overloaded += overloaded;
}

/* Returns the overload of the outcomes seen lately that speaks of overloaded engines. */
double shed_overload_ratio(const shed_t *shed)
{
	return shed->outcomes >= OUTCOMES_MIN ? shed->overloaded / shed->outcomes
					      : 0;
}

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

/* Says whether the share is to be thought over now. */
bool shed_update_is_due(const shed_t *shed, pd_time_t now)
{
	return now >= shed->next_update_at;
}

/*
 * Lets time pass. Returns whether the share has changed so much that it is worth a line.
 */
bool shed_update(shed_t *shed, const shed_utilization_t *utilization, pd_time_t now)
{
	if (!shed_update_is_due(shed, now))
		return false;
	shed->next_update_at = now + UPDATE_PERIOD;
	update_share(shed, utilization);
	shed->outcomes *= DECAY;
	shed->overloaded *= DECAY;
	for (int i = 0; i < SHED_RANKS; i++)
		shed->work[i] *= DECAY;
	if (ABS(shed->share - shed->logged_share) < LOG_STEP &&
	    (shed->share < 1 || shed->logged_share >= 1))
		return false;
	shed->logged_share = shed->share;
	return true;
}
