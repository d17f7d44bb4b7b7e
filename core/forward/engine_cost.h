/*
 * The cost of work for an engine in prompt tokens, the unit in which loads are
 * reported, upstreams compared and fleets sized. Costs that don't depend on a prompt
 * are given as times, and converted to tokens by the learned prefill speed
 * (engine_speed.h).
 */
#ifndef PISTACHIO_ENGINE_COST_H
#define PISTACHIO_ENGINE_COST_H

#include "ports/clock.h"

/*
 * The cost of one running request for the others on the engine: it adds 0.05 ms to a
 * batch step, over some 50 steps until a new prompt is processed.
 */
#define ENGINE_RUNNING_REQUEST_TIME (2300 * PD_USEC)
/*
 * The cost of generating a token: in a batch of some 40 requests a step of a few
 * milliseconds generates 40 tokens, while prompts are processed beside them.
 */
#define ENGINE_OUTPUT_TOKEN_TIME (40 * PD_USEC)

/* Returns the number of prompt tokens that are processed in TIME at RATE per second. */
static inline double engine_time_to_tokens(double rate, pd_time_t time)
{
	return rate * (double)time / PD_SEC;
}

#endif
