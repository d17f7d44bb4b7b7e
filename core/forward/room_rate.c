/* Estimates the wait for room by the work that was refused and admitted lately. */
#include "core/forward/room_rate.h"

#include <glib.h>

/* Work counts for about this long. */
#define MEMORY (2 * PD_SEC)
#define DECAY_PERIOD (100 * PD_MSEC)
/* Later, a caller may have no time left for the answer; most wait no longer either. */
#define TIME_LEFT_PART 0.3
/* By then an overload of a moment has passed. */
#define RETRY_AFTER_MIN (400 * PD_MSEC)
#define RETRY_AFTER_MAX (3 * PD_SEC)
/* Callers come back within this part of the expected wait before and after it. */
#define SPREAD 0.5
/* Over at least this, so that no 100 ms gets more than a fifth of them. */
#define SPAN_MIN (600 * PD_MSEC)

/* Records work that was admitted or refused. */
void room_rate_record(room_rate_t *rate, bool admitted, double work, pd_time_t now)
{
	if (!rate->decayed_at || now - rate->decayed_at > 2 * MEMORY) {
		rate->admitted = 0;
		rate->refused = 0;
		rate->decayed_at = now;
	}
	while (now - rate->decayed_at >= DECAY_PERIOD) {
		double kept = 1 - (double)DECAY_PERIOD / MEMORY;

		rate->admitted *= kept;
		rate->refused *= kept;
		rate->decayed_at += DECAY_PERIOD;
	}
	if (admitted)
		rate->admitted += work;
	else
		rate->refused += work;
}

/*
 * Returns when a refused request with TIME_LEFT can expect room: when all that was refused
 * lately would have been taken in, at the rate of what was admitted. DRAW, a random number
 * from 0 to 1, spreads the callers around it.
 */
pd_time_t room_rate_retry_after(const room_rate_t *rate, pd_time_t time_left,
				double draw)
{
	double expected = rate->admitted > 0
				  ? rate->refused / rate->admitted * MEMORY
				  : RETRY_AFTER_MAX;
	double most = CLAMP((double)time_left * TIME_LEFT_PART, RETRY_AFTER_MIN,
			    RETRY_AFTER_MAX);
	double from = CLAMP(expected * (1 - SPREAD), RETRY_AFTER_MIN,
			    MAX(most * (1 - SPREAD), RETRY_AFTER_MIN));
	double to = MIN(MAX(expected * (1 + SPREAD), from + SPAN_MIN), most);

	/* Those that can't wait as long are spread over the time that they have. */
	from = MAX(MIN(from, to - SPAN_MIN), RETRY_AFTER_MIN);
	return (pd_time_t)(from + draw * (to - from));
}
