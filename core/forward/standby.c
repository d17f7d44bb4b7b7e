/*
 * The load: the leader of a large fleet dies while zones are reclaimed, and nothing is
 * ordered until another takes its lease. Each that stands by looks at the lease, and
 * calls are paid for, so few do; but the first few may all be cut off from the store,
 * or about to stop.
 */
#include "core/forward/standby.h"

/* So many that are able to take the lease stand by. */
#define LEADERS_MIN 3

/*
 * Returns whether a gateway stands by that has so many live ones BEFORE it in the order
 * that all compute alike, LEADERS_BEFORE of which reach the store and are not stopping.
 */
bool standby_stands(unsigned int before, unsigned int leaders_before)
{
	return before < STANDBY_MAX && leaders_before < LEADERS_MIN;
}
