/*
 * The time span whose counts no checkpoint holds after all gateways were killed. It is
 * reported to operators, as usage reports of the windows in it may be too low.
 * usage-notes.md explains why such counts can't be kept.
 */
#ifndef PISTACHIO_USAGE_GAP_H
#define PISTACHIO_USAGE_GAP_H

#include <stdint.h>

#include "ports/clock.h"

/* Times of day; the gap is empty if TO is not after FROM. */
typedef struct usage_gap {
	pd_time_t from; /* last write of the checkpoint; 0: unknown, no gap */
	pd_time_t to; /* start of the gateway that has run for longest */
} usage_gap_t;

pd_time_t usage_gap_in_window(const usage_gap_t *gap, int64_t window,
			      pd_time_t length);

#endif
