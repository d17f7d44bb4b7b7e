/* The clock port: libuv's monotonic clock and the wall clock. */
#ifndef PISTACHIO_CLOCK_UV_H
#define PISTACHIO_CLOCK_UV_H

#include <uv.h>

#include "ports/clock.h"

pd_time_t clock_now(void);
int64_t clock_wall(void);

#endif
