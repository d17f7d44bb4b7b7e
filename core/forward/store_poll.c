/*
 * The load: in an outage of the store hundreds of gateways ask it at once and again,
 * and each call is paid for, though the first one that is answered tells all others.
 */
#include "core/forward/store_poll.h"

#include <glib.h>

/* The mean pause after a first failure. It doubles with each, so many times. */
#define PAUSE_FIRST (150 * PD_MSEC)
#define DOUBLINGS 3
/* Gateways that hear of each other make one call in such a time between them. */
#define FLEET_GAP (50 * PD_MSEC)

/*
 * Returns the mean pause of one of GATEWAYS, which would all hear of an answer to one
 * of them, before it asks; 1: it has to ask for itself. FAILURES are its own in a row.
 */
pd_time_t store_poll_pause(unsigned int gateways, unsigned int failures)
{
	pd_time_t pause = PAUSE_FIRST << MIN(failures, DOUBLINGS);

	return gateways > 1 ? MAX(pause, FLEET_GAP * gateways) : pause;
}
