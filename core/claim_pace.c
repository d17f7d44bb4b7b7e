/*
 * A token bucket whose rate is the fleet's divided by the entries. Beyond the
 * store's rate each write is refused and made again, and claims that could have
 * waited for a turn are refused; waiting here lets more of them share a write.
 */
#include "core/claim_pace.h"

#include <glib.h>

/* Of the few hundred that the store takes; the rest is for other objects. */
#define FLEET_WRITES_PER_S 240.0
/* What may be saved up, so that a lone call need not wait. */
#define BURST_S 0.1

static double claim_pace_burst(const claim_pace_t *pace)
{
	return MAX(1.0, pace->rate * BURST_S);
}

/* Makes the pace of an entry that knows of no other. */
void claim_pace_init(claim_pace_t *pace)
{
	claim_pace_set_entries(pace, 1);
	pace->tokens = claim_pace_burst(pace);
	pace->refilled_at = 0;
}

/* Sets how many entries, this one among them, share the store's rate. */
void claim_pace_set_entries(claim_pace_t *pace, unsigned int entries)
{
	pace->rate = FLEET_WRITES_PER_S / MAX(entries, 1);
}

/* Says whether a write may be made now, and counts it if so. */
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
