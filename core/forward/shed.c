/* Sheds load by rank; the share of work that is let in follows the outcomes. */
#include "core/forward/shed.h"

#include <glib.h>

/* How often the share is thought over: some first tokens' aims are 300 ms. */
#define STEP (250 * PD_MSEC)
/* What was seen counts for about a second: the part of it kept each step. */
#define MEMORY 0.8
/* Fewer outcomes than this, decayed, tell nothing. */
#define OUTCOMES_MIN 3.0
/*
 * Engines are pressed if more than this part of the requests was turned away by
 * them or began late. Without any shortage 3 to 8 in 100 begin late.
 */
#define PRESSED_PART 0.2
#define CALM_PART 0.1
#define PRESSED_FALL 0.9 /* of the share, each step that they are */
/*
 * The part of all places that should be taken. Above, requests wait at the
 * engines, as they are not spread evenly.
 */
#define FILL_AIM 0.9
/* Below, requests that begin late do so for other reasons: crashes, reclaims. */
#define FILL_FREE 0.7
/*
 * The share changes by this part of what the fill is off, each step, at most by
 * STEP_MAX. Streams take one to three seconds, so the fill follows slowly: at
 * a fall of 15 in 100 each step, half of the places stood empty two seconds on.
 */
#define FILL_GAIN 0.25
#define STEP_MAX 0.08
/* The most urgent work is always tried, or nobody would see that it works. */
#define SHARE_MIN 0.2

/* A change of the share by that much is worth a line in the log. */
#define TOLD_STEP 0.1

struct shed {
	double work[SHED_RANKS]; /* asked for lately */
	double outcomes;
	double pressed; /* of the outcomes */
	double share; /* of the work that is let in */
	double told; /* the share when it was last worth a line */
	pd_time_t step_at;
};

/* Returns a shed that lets all in; the caller owns it. */
shed_t *shed_create(void)
{
	shed_t *shed = g_new0(shed_t, 1);

	shed->share = 1;
	shed->told = 1;
	return shed;
}

/* Frees it; NULL is allowed. */
void shed_destroy(shed_t *shed)
{
	g_free(shed);
}

/* Returns the share of the work that is let in. */
double shed_share(const shed_t *shed)
{
	return shed->share;
}

/*
 * Says whether a request is let in: the most urgent ones as far as the share of
 * all work goes, and of the rank at that edge as many as it takes. DRAW is a
 * number at random, 0 to 1; WORK is what the request would cost.
 */
bool shed_admits(shed_t *shed, int rank, double work, double draw)
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
void shed_outcome(shed_t *shed, bool pressed)
{
	shed->outcomes++;
	shed->pressed += pressed;
}

/* Returns the part of the outcomes seen lately that speaks of pressed engines. */
double shed_pressed(const shed_t *shed)
{
	return shed->outcomes >= OUTCOMES_MIN ? shed->pressed / shed->outcomes : 0;
}

static void share_follow(shed_t *shed, const shed_fill_t *fill)
{
	double part = shed_pressed(shed);
	double off = fill->known ? FILL_AIM - fill->part : FILL_AIM;
	double step = CLAMP(FILL_GAIN * off, -STEP_MAX, STEP_MAX);

	if (part > PRESSED_PART && (!fill->known || fill->part > FILL_FREE))
		shed->share *= PRESSED_FALL;
	else if (step < 0 || part < CALM_PART || off > FILL_AIM - FILL_FREE)
		shed->share *= 1 + step;
	shed->share = CLAMP(shed->share, SHARE_MIN, 1);
}

/* Says whether the share is to be thought over now. */
bool shed_is_due(const shed_t *shed, pd_time_t now)
{
	return now >= shed->step_at;
}

/*
 * Lets time pass. Returns whether the share has changed so much that it is worth a line.
 */
bool shed_run(shed_t *shed, const shed_fill_t *fill, pd_time_t now)
{
	if (!shed_is_due(shed, now))
		return false;
	shed->step_at = now + STEP;
	share_follow(shed, fill);
	shed->outcomes *= MEMORY;
	shed->pressed *= MEMORY;
	for (int i = 0; i < SHED_RANKS; i++)
		shed->work[i] *= MEMORY;
	if (ABS(shed->share - shed->told) < TOLD_STEP &&
	    (shed->share < 1 || shed->told >= 1))
		return false;
	shed->told = shed->share;
	return true;
}
