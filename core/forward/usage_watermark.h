/*
 * Watermarks: the last window for which all counts of a gateway incarnation have been
 * received. They tell whether a window's report would be complete while gateways are
 * partitioned or restarted; see usage-notes.md.
 */
#ifndef PISTACHIO_USAGE_WATERMARK_H
#define PISTACHIO_USAGE_WATERMARK_H

#include "core/forward/usage.h"

typedef struct usage_watermarks usage_watermarks_t;

/* How complete the report of a window would be. */
typedef struct usage_coverage {
	uint64_t counted; /* known requests of the window and the previous one */
	uint64_t open; /* those of them by incarnations with counts still to come */
} usage_coverage_t;

usage_watermarks_t *usage_watermarks_create(void);
void usage_watermarks_destroy(usage_watermarks_t *watermarks);
void usage_watermarks_advance(usage_watermarks_t *watermarks,
			      uint64_t incarnation_id, int64_t closed);
usage_coverage_t usage_watermarks_coverage(const usage_watermarks_t *watermarks,
					   const usage_t *usage, int64_t window);
bool usage_coverage_is_complete(const usage_coverage_t *coverage);
void usage_watermarks_give_up(usage_watermarks_t *watermarks,
			      const usage_t *usage, int64_t window);
void usage_watermarks_discard(usage_watermarks_t *watermarks, int64_t before);
pd_time_t usage_report_delay(bool complete, pd_time_t due);

#endif
