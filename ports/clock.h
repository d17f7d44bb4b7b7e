/*
 * Time in the core. The core never reads a clock: each event carries the time.
 * The clock is monotonic, so differences are valid, and an absolute value has no
 * meaning outside the process.
 */
#ifndef PISTACHIO_CLOCK_H
#define PISTACHIO_CLOCK_H

#include <stdint.h>

typedef int64_t pd_time_t; /* microseconds */

#define PD_USEC ((pd_time_t)1)
#define PD_MSEC ((pd_time_t)1000)
#define PD_SEC ((pd_time_t)1000000)
/* Greatest valid time from another process, in microseconds. */
#define PD_TIME_MAX ((uint64_t)1 << 53)

/* Converts a time from another process, in ms; returns PD_TIME_MAX at max. */
static inline pd_time_t pd_time_from_ms(uint64_t ms)
{
	const uint64_t max = PD_TIME_MAX / (uint64_t)PD_MSEC;

	return (pd_time_t)(ms < max ? ms : max) * PD_MSEC;
}

#endif
