/*
 * A token bucket whose rate is the fleet's write budget divided by the number
 * of entries. Beyond the store's rate each write is rejected and repeated, and
 * claims that could have waited are refused. Waiting for a permit here lets
 * more claims share one write.
 */
#include "core/claim_pace.h"

#include <glib.h>

/*
 * Most of the few hundred a second that the store accepts; the rest is left for
 * other objects.
 */
#define FLEET_WRITES_PER_S 240.0
/* Bucket size in seconds of the rate, so that a single call need not wait. */
#define BURST_S 0.1

/* Returns the bucket size in writes. */
static double claim_pace_burst(const claim_pace_t *pace)
{
	return MAX(1.0, pace->rate * BURST_S);
}

/* Initializes a full bucket with the whole fleet's rate, for a single entry. */
void claim_pace_init(claim_pace_t *pace)
{
	claim_pace_set_entries(pace, 1);
	pace->tokens = claim_pace_burst(pace);
	pace->refilled_at = 0;
}

/* Sets the number of live entries, including this one, that share the rate. */
void claim_pace_set_entries(claim_pace_t *pace, unsigned int entries)
{
	pace->rate = FLEET_WRITES_PER_S / MAX(entries, 1);
}

/* Takes a token for one write. Returns false if the bucket is empty. */
bool claim_pace_try_take(claim_pace_t *pace, pd_time_t now)
{
	double elapsed_s = (double)(now - pace->refilled_at) / PD_SEC;

	pace->tokens = MIN(pace->tokens + pace->rate * elapsed_s,
			   claim_pace_burst(pace));
	pace->refilled_at = now;
	if (pace->tokens < 1)
		return false;
	pace->tokens -= 1;
	return true;
}
