/*
 * Up to which window each start of a gateway has sent all its counts, as far as this
 * gateway has received them: whether the report of a window would be complete. For
 * reports that are made while gateways are cut off or restarted; usage-notes.md has the
 * argument.
 */
#ifndef PISTACHIO_USAGE_WATERMARK_H
#define PISTACHIO_USAGE_WATERMARK_H

#include "core/forward/usage.h"

typedef struct usage_watermarks usage_watermarks_t;

/* What a window's report would be made of. */
typedef struct usage_coverage {
	uint64_t counted; /* requests known in the window and the one before */
	uint64_t open; /* of these, by starts whose counts may not be all there */
} usage_coverage_t;

usage_watermarks_t *usage_watermarks_create(void);
void usage_watermarks_destroy(usage_watermarks_t *marks);
void usage_watermarks_take(usage_watermarks_t *marks, uint64_t incarnation_id,
			   int64_t closed);
usage_coverage_t usage_watermarks_coverage(const usage_watermarks_t *marks,
					   const usage_t *usage, int64_t window);
bool usage_coverage_is_complete(const usage_coverage_t *coverage);
void usage_watermarks_give_up(usage_watermarks_t *marks, const usage_t *usage,
			      int64_t window);
void usage_watermarks_discard(usage_watermarks_t *marks, int64_t before);
pd_time_t usage_report_delay(bool complete, pd_time_t due);

#endif
