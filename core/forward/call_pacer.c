/* Paces calls by a period, by the time that answers take, and by failures. */
#include "core/forward/call_pacer.h"

#include <glib.h>

/* A call is repeated if its answer takes so many times what answers usually take. */
#define PATIENCE 3
#define PATIENCE_MIN (20 * PD_MSEC)
/* What answers are taken to need until some have come. */
#define ANSWER_TIME_FIRST (100 * PD_MSEC)
#define ANSWER_TIME_WEIGHT 4 /* a new measure counts for one part in so many */
/* So many calls without an answer, or for so long, are chance; then pauses double. */
#define UNANSWERED_BY_CHANCE 4
#define CHANCE_TIME (300 * PD_MSEC)
#define UNANSWERED_MAX 10 /* then pauses double no more */
#define FAILURE_PAUSE (300 * PD_MSEC)

struct call_pacer {
	pd_time_t period;
	pd_time_t begun_at[CALL_PACER_CALLS]; /* 0: that call is not out */
	unsigned int out;
	unsigned int unanswered; /* begun since an answer came */
	pd_time_t last_begun_at; /* 0: none yet */
	pd_time_t answered_at; /* when an answer came last */
	pd_time_t answer_time; /* smoothed */
	pd_time_t pause_until;
	pd_time_t renewed_at; /* calls begun before say nothing of later ones */
};

/* Returns a pacer of calls that are made every PERIOD; the caller owns it. */
call_pacer_t *call_pacer_create(pd_time_t period)
{
	call_pacer_t *pacer = g_new0(call_pacer_t, 1);

	pacer->period = period;
	pacer->answer_time = ANSWER_TIME_FIRST;
	return pacer;
}

/* Frees a pacer; NULL is allowed. */
void call_pacer_destroy(call_pacer_t *pacer)
{
	g_free(pacer);
}

/* Sets the period of the calls from now on. */
void call_pacer_set_period(call_pacer_t *pacer, pd_time_t period)
{
	pacer->period = period;
}

/* Returns whether a call may be made now. */
bool call_pacer_is_due(const call_pacer_t *pacer, pd_time_t now)
{
	pd_time_t wait = pacer->period;

	if (pacer->out >= CALL_PACER_CALLS || now < pacer->pause_until)
		return false;
	if (pacer->unanswered)
		wait = MAX(PATIENCE * pacer->answer_time, PATIENCE_MIN);
	if (pacer->unanswered > UNANSWERED_BY_CHANCE)
		wait <<= pacer->unanswered - UNANSWERED_BY_CHANCE;
	return !pacer->last_begun_at || now - pacer->last_begun_at >= wait;
}

/* Returns whether the next call is one of the period, and not to make up for another. */
bool call_pacer_is_regular(const call_pacer_t *pacer)
{
	return pacer->last_begun_at && !pacer->unanswered;
}

/* Returns what answers are taken to need. */
pd_time_t call_pacer_answer_time(const call_pacer_t *pacer)
{
	return pacer->answer_time;
}

/* Sets what answers are taken to need, as other calls to the store have shown. */
void call_pacer_expect(call_pacer_t *pacer, pd_time_t answer_time)
{
	pacer->answer_time = answer_time;
}

/* Notes a call; only when one is due. Returns its number, for its end. */
unsigned int call_pacer_begin(call_pacer_t *pacer, pd_time_t now)
{
	unsigned int call = 0;

	while (pacer->begun_at[call])
		call++;
	pacer->begun_at[call] = now;
	pacer->last_begun_at = now;
	pacer->out++;
	if (pacer->unanswered < UNANSWERED_BY_CHANCE ||
	    now - pacer->answered_at > CHANCE_TIME)
		pacer->unanswered = MIN(pacer->unanswered + 1, UNANSWERED_MAX);
	return call;
}

/* Notes how a call has ended. */
void call_pacer_end(call_pacer_t *pacer, unsigned int call, call_end_t end,
		    pd_time_t now)
{
	pd_time_t begun_at = pacer->begun_at[call];

	pacer->begun_at[call] = 0;
	pacer->out--;
	switch (end) {
	case CALL_ANSWERED:
		if (!pacer->answered_at)
			pacer->answer_time = now - begun_at;
		pacer->answer_time += (now - begun_at - pacer->answer_time) /
				      ANSWER_TIME_WEIGHT;
		pacer->answered_at = now;
		pacer->unanswered = 0;
		pacer->pause_until = 0;
		return;
	case CALL_REFUSED:
		pacer->unanswered = 0;
		pacer->pause_until = now + FAILURE_PAUSE;
		return;
	case CALL_LOST:
		/* The store may have answered other calls since. */
		if (MAX(pacer->answered_at, pacer->renewed_at) < begun_at)
			pacer->pause_until = now + FAILURE_PAUSE;
		return;
	}
}

/* Begins anew: the next call is made at once, and earlier ones pause nothing. */
void call_pacer_renew(call_pacer_t *pacer, pd_time_t now)
{
	pacer->renewed_at = now;
	pacer->last_begun_at = 0;
	pacer->unanswered = 0;
	pacer->pause_until = 0;
}

/* Has the next call made at once, unless the store is failing. */
void call_pacer_hurry(call_pacer_t *pacer)
{
	pacer->last_begun_at = 0;
}

/* Has the next call made a period from now, as there is nothing to call for. */
void call_pacer_postpone(call_pacer_t *pacer, pd_time_t now)
{
	pacer->last_begun_at = now;
}
