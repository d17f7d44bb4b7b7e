/* Paces calls by a period, by the response times, and by failures. */
#include "core/forward/call_pacer.h"

#include <glib.h>

/* A call is repeated if its answer takes so many times the usual time. */
#define REPEAT_FACTOR 3
#define REPEAT_WAIT_MIN (20 * PD_MSEC)
/* The answer time that is assumed until calls were answered. */
#define ANSWER_TIME_INITIAL (100 * PD_MSEC)
#define ANSWER_TIME_WEIGHT 4 /* inverse weight of a new sample */
/*
 * So many unanswered calls, or unanswered calls for so long, may be isolated
 * losses; after that, pauses double.
 */
#define UNANSWERED_TOLERATED 4
#define UNANSWERED_TOLERATED_TIME (300 * PD_MSEC)
#define UNANSWERED_MAX 10 /* limits the doubling of pauses */
#define FAILURE_PAUSE (300 * PD_MSEC)

struct call_pacer {
	pd_time_t period;
	pd_time_t started_at[CALL_PACER_IN_FLIGHT_MAX]; /* 0: not in flight */
	unsigned int in_flight;
	unsigned int unanswered; /* started since the last answer */
	pd_time_t last_started_at; /* 0: none yet */
	pd_time_t answered_at; /* last answer; 0: none yet */
	pd_time_t answer_time; /* exponential moving average */
	pd_time_t pause_until;
	pd_time_t reset_at; /* failures of earlier calls are ignored */
};

/* Returns a pacer of calls that are made every PERIOD; the caller owns it. */
call_pacer_t *call_pacer_create(pd_time_t period)
{
	call_pacer_t *pacer = g_new0(call_pacer_t, 1);

	pacer->period = period;
	pacer->answer_time = ANSWER_TIME_INITIAL;
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

/* Returns whether a call is to be made now. */
bool call_pacer_is_due(const call_pacer_t *pacer, pd_time_t now)
{
	pd_time_t wait = pacer->period;

	if (pacer->in_flight >= CALL_PACER_IN_FLIGHT_MAX || now < pacer->pause_until)
		return false;
	if (pacer->unanswered)
		wait = MAX(REPEAT_FACTOR * pacer->answer_time, REPEAT_WAIT_MIN);
	if (pacer->unanswered > UNANSWERED_TOLERATED)
		wait <<= pacer->unanswered - UNANSWERED_TOLERATED;
	return !pacer->last_started_at || now - pacer->last_started_at >= wait;
}

/*
 * Returns whether the next call is a periodic one, not a repetition of an
 * unanswered one.
 */
bool call_pacer_is_regular(const call_pacer_t *pacer)
{
	return pacer->last_started_at && !pacer->unanswered;
}

/* Returns the average answer time. */
pd_time_t call_pacer_answer_time(const call_pacer_t *pacer)
{
	return pacer->answer_time;
}

/* Sets the average answer time, as measured by other calls to the store. */
void call_pacer_set_answer_time(call_pacer_t *pacer, pd_time_t answer_time)
{
	pacer->answer_time = answer_time;
}

/*
 * Records that a call starts, which must be due. Returns its number, for
 * call_pacer_end().
 */
unsigned int call_pacer_begin(call_pacer_t *pacer, pd_time_t now)
{
	unsigned int call = 0;

	while (pacer->started_at[call])
		call++;
	pacer->started_at[call] = now;
	pacer->last_started_at = now;
	pacer->in_flight++;
	if (pacer->unanswered < UNANSWERED_TOLERATED ||
	    now - pacer->answered_at > UNANSWERED_TOLERATED_TIME)
		pacer->unanswered = MIN(pacer->unanswered + 1, UNANSWERED_MAX);
	return call;
}

/* Records how a call ended. */
void call_pacer_end(call_pacer_t *pacer, unsigned int call, call_end_t end,
		    pd_time_t now)
{
	pd_time_t started_at = pacer->started_at[call];

	pacer->started_at[call] = 0;
	pacer->in_flight--;
	switch (end) {
	case CALL_ANSWERED:
		if (!pacer->answered_at)
			pacer->answer_time = now - started_at;
		pacer->answer_time += (now - started_at - pacer->answer_time) /
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
		/* The store may have answered later calls. */
		if (MAX(pacer->answered_at, pacer->reset_at) < started_at)
			pacer->pause_until = now + FAILURE_PAUSE;
		return;
	}
}

/*
 * Makes the next call due at once; failures of earlier calls cause no pause any
 * more.
 */
void call_pacer_reset(call_pacer_t *pacer, pd_time_t now)
{
	pacer->reset_at = now;
	pacer->last_started_at = 0;
	pacer->unanswered = 0;
	pacer->pause_until = 0;
}

/* Makes the next call due at once, unless the store is failing. */
void call_pacer_make_due(call_pacer_t *pacer)
{
	pacer->last_started_at = 0;
}

/*
 * Makes the next call due in a period from NOW, as there is nothing to call
 * for.
 */
void call_pacer_postpone(call_pacer_t *pacer, pd_time_t now)
{
	pacer->last_started_at = now;
}
