/*
 * The load: after a kill of all gateways hundreds of starts read their tables from the
 * store at once, some tenths of a second for thousands of upstreams, and the callers
 * of all of them come back meanwhile.
 */
#include "core/forward/start_wait.h"

#include <glib.h>

/* A start that has not read its tables by then does not know when it will. */
#define START_MAX PD_SEC
/* If the store fails, peers that are set up answer within this, or there are none. */
#define START_BY_PEERS_MAX (250 * PD_MSEC)
/* Of a caller's time so many parts less one are left for a try elsewhere. */
#define PATIENCE_PARTS 3
/* How long a caller waits that did not say. */
#define HELD_UNKNOWN (500 * PD_MSEC)

/*
 * Returns until when a request that came at ARRIVED is held for a start that is not
 * set up: for a part of its caller's patience (0: unknown), as long as the start may
 * be set up any moment. In the past: it is refused at once.
 */
pd_time_t start_wait_until(const start_wait_t *start, pd_time_t arrived,
			   pd_time_t patience)
{
	pd_time_t most = start->store_failed ? START_BY_PEERS_MAX : START_MAX;
	pd_time_t held = patience > 0 ? patience / PATIENCE_PARTS : HELD_UNKNOWN;

	return MIN(arrived + held, start->started_at + most);
}
