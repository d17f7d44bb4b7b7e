/*
 * Limits the calls of a fleet to a store that does not answer. In an outage
 * hundreds of gateways would call it again and again; each call is paid for,
 * though the first answer is passed on to all gateways.
 */
#include "core/forward/store_poll.h"

#include <glib.h>

/* The mean pause at first; it doubles with each failure, up to a limit. */
#define PAUSE_INITIAL (150 * PD_MSEC)
#define PAUSE_DOUBLINGS_MAX 3
/* The gateways of a group together make at most one call per interval. */
#define FLEET_CALL_INTERVAL (50 * PD_MSEC)

/*
 * Returns the mean pause before a gateway's next call. GROUP_SIZE gateways would all
 * learn of an answer to any of them; 1: this one is on its own. FAILURES counts its
 * failed calls since the last answer.
 */
pd_time_t store_poll_pause(unsigned int group_size, unsigned int failures)
{
	pd_time_t pause = PAUSE_INITIAL << MIN(failures, PAUSE_DOUBLINGS_MAX);

	return group_size > 1 ? MAX(pause, FLEET_CALL_INTERVAL * group_size)
			      : pause;
}
