/*
 * What work costs an engine, in prompt tokens that it reads: the unit in which
 * loads are told, upstreams compared and fleets sized. What does not depend on a
 * prompt is given as a time, and becomes tokens by the speed that is learned
 * (engine_speed.h).
 */
#ifndef PISTACHIO_ENGINE_COST_H
#define PISTACHIO_ENGINE_COST_H

#include "ports/clock.h"

/*
 * What one running request costs the others there: a batch step grows by 0.05 ms
 * a request, over some 50 steps until a new prompt is through.
 */
#define ENGINE_RUNNING_REQUEST_TIME (2300 * PD_USEC)
/*
 * What making a token costs: in a batch of some 40 requests a step of a few
 * milliseconds makes 40 tokens, while prompts are read beside them.
 */
#define ENGINE_OUTPUT_TOKEN_TIME (40 * PD_USEC)

/* Returns how many prompt tokens are read in a time, at RATE a second. */
static inline double engine_time_to_tokens(double rate, pd_time_t time)
{
	return rate * (double)time / PD_SEC;
}

#endif
