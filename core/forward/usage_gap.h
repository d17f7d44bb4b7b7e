/*
 * The time of which the checkpoint holds no counts, after all gateways were killed: for
 * operators, who learn from it which reports of usage may be short. usage-notes.md says
 * why such counts can't be kept.
 */
#ifndef PISTACHIO_USAGE_GAP_H
#define PISTACHIO_USAGE_GAP_H

#include <stdint.h>

#include "ports/clock.h"

/* Times of day; nothing is missing if it ends no later than it begins. */
typedef struct usage_gap {
	pd_time_t from; /* the checkpoint was written last; 0: unknown */
	pd_time_t to; /* the first of the gateways that are alive has started */
} usage_gap_t;

pd_time_t usage_gap_in_window(const usage_gap_t *gap, int64_t window,
			      pd_time_t length);

#endif
