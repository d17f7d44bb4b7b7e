/*
 * Compares the answers of a new software version with those that the old one gives at the
 * same time, while both serve. docs/design/rollouts.md gives the reasons.
 */
#ifndef PISTACHIO_ROLLOUT_JUDGE_H
#define PISTACHIO_ROLLOUT_JUDGE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/forward/quantile.h"
#include "ports/clock.h"

/* Requests to one version, and how they were answered. */
typedef struct rollout_tally {
	uint64_t sent;
	uint64_t answers; /* those that the upstream began to answer, or broke off */
	uint64_t failed; /* of the answers */
	uint64_t slow; /* of the answers that did not fail */
	/* of the old version: sums of logarithms of times, in thousandths */
	uint64_t timed; /* answers with a time to the first event, or to the end */
	uint64_t log_times;
	uint64_t gapped; /* answers with pauses */
	uint64_t log_gaps;
} rollout_tally_t;

/* How long an answer took; a time of 0 does not apply to it. */
typedef struct rollout_times {
	pd_time_t first_event; /* from the send to the first event of a stream */
	pd_time_t mean_gap; /* between the events of a stream */
	pd_time_t total; /* from the send to the end */
} rollout_times_t;

/* What the old version's answers on a route usually take. */
typedef struct rollout_pace {
	quantile_t first_event;
	quantile_t mean_gap;
	quantile_t total;
} rollout_pace_t;

void rollout_pace_add(rollout_pace_t *pace, const rollout_times_t *times);
bool rollout_pace_is_known(const rollout_pace_t *pace,
			   const rollout_times_t *times);
bool rollout_pace_is_slow(const rollout_pace_t *pace, const rollout_times_t *times);
void rollout_tally_add_times(rollout_tally_t *tally, const rollout_times_t *times);
bool rollout_tally_is_slow(const rollout_tally_t *old_version,
			   const rollout_times_t *times);
void rollout_tally_add(rollout_tally_t *tally, const rollout_tally_t *more);
void rollout_tally_subtract(rollout_tally_t *tally, const rollout_tally_t *less);
bool rollout_judge_is_worse(const rollout_tally_t *old_version,
			    const rollout_tally_t *new_version);

#endif
