/*
 * Monotonic time from libuv; wall-clock time for data that outlives a process.
 */
#include "adapters/clock_uv.h"

#include <glib.h>

/* Returns monotonic time in microseconds, from an unspecified origin. */
pd_time_t clock_now(void)
{
	return (pd_time_t)(uv_hrtime() / 1000);
}

/* Returns wall-clock time in seconds since the epoch. */
int64_t clock_wall(void)
{
	return g_get_real_time() / G_USEC_PER_SEC;
}
