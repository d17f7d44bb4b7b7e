/*
 * What work costs an engine, in prompt tokens that it reads: the unit in which
 * loads are told, upstreams compared and fleets sized.
 */
#ifndef PISTACHIO_ENGINE_COST_H
#define PISTACHIO_ENGINE_COST_H

/*
 * What one engine gets done a second: some 2,000 prompt tokens are read in a step
 * of 17 ms beside the tokens of running requests.
 */
#define ENGINE_READ_RATE 117000.0
/*
 * What one running request costs the others there: a batch step grows by 0.05 ms
 * a request, over some 50 steps until a new prompt is through, at about 150 tokens
 * read in a millisecond.
 */
#define ENGINE_RUNNING_TOKENS 350.0
/*
 * What making a token costs: in a batch of some 40 requests a step of 5 ms makes
 * 40 tokens.
 */
#define ENGINE_OUTPUT_TOKENS 6.0

#endif
