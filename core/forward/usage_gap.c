/* Checkpoint gaps by window. */
#include "core/forward/usage_gap.h"

#include <glib.h>

/* Returns how much of window WINDOW, which is LENGTH long, lies in the gap. */
pd_time_t usage_gap_in_window(const usage_gap_t *gap, int64_t window,
			      pd_time_t length)
{
	pd_time_t from = MAX(gap->from, window * length);
	pd_time_t to = MIN(gap->to, (window + 1) * length);

	return gap->from ? MAX(to - from, 0) : 0;
}
