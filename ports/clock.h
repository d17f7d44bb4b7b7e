/*
 * Time as the core sees it. It comes in with each event; the core never asks
 * for it. The runtime's clock is monotonic, so differences are safe and an
 * absolute value means nothing outside the process.
 */
#ifndef PISTACHIO_CLOCK_H
#define PISTACHIO_CLOCK_H

#include <stdint.h>

typedef int64_t pd_time_t; /* microseconds */

#define PD_USEC ((pd_time_t)1)
#define PD_MSEC ((pd_time_t)1000)
#define PD_SEC ((pd_time_t)1000000)
/* Times that other processes tell, in microseconds, are a mistake beyond this. */
#define PD_TIME_MAX ((uint64_t)1 << 53)

/* Returns a time that another process tells in ms; PD_TIME_MAX at most. */
static inline pd_time_t pd_time_from_ms(uint64_t ms)
{
	const uint64_t most = PD_TIME_MAX / (uint64_t)PD_MSEC;

	return (pd_time_t)(ms < most ? ms : most) * PD_MSEC;
}

#endif
