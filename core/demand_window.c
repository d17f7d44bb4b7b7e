/*
 * Keeps the peaks of several time buckets. VMs are released by the peak of all
 * buckets, so a dip between two bursts releases nothing that the next burst
 * needs. Buckets end only when a report arrives: a placer that gets no reports
 * keeps its VMs, since missing reports don't indicate low demand.
 */
#include "core/demand_window.h"

#include <glib.h>

#define BUCKET_DURATION (12 * PD_SEC)
/* Time over which a rise is measured. */
#define TREND_DURATION (60 * PD_SEC)
/*
 * Time until a VM bought now serves, after it has booted and loaded its
 * weights. Rising demand is extrapolated until then; otherwise every burst
 * begins with a queue.
 */
#define TREND_HORIZON (120 * PD_SEC)

/*
 * Returns the oldest report within the duration of a trend, borrowed. The
 * newest report must be recent.
 */
static const demand_report_t *trend_start(const demand_window_t *window,
					  pd_time_t now)
{
	const demand_report_t *oldest = NULL;

	for (unsigned int i = 0; i < DEMAND_REPORTS; i++) {
		const demand_report_t *report = &window->reports[i];

		if (!report->received_at ||
		    now - report->received_at > TREND_DURATION)
			continue;
		if (!oldest || report->received_at < oldest->received_at)
			oldest = report;
	}
	return oldest;
}

/* Returns TO plus the rise that is expected until a VM bought now serves. */
static unsigned int extrapolate(unsigned int from, unsigned int to)
{
	if (to <= from)
		return to;
	return to + (unsigned int)((to - from) * TREND_HORIZON / TREND_DURATION);
}

/* Adds a report of the current requests, and the urgent ones of them. */
void demand_window_add(demand_window_t *window, unsigned int requests,
		       unsigned int urgent, pd_time_t now)
{
	const demand_report_t *before;
	demand_peak_t *bucket;

	if (!window->bucket_started_at ||
	    now - window->bucket_started_at >= BUCKET_DURATION) {
		window->current_bucket =
			(window->current_bucket + 1) % DEMAND_BUCKETS;
		window->buckets[window->current_bucket] = (demand_peak_t){ 0 };
		window->bucket_started_at = now;
	}
	window->reports[window->next_report] =
		(demand_report_t){ now, { requests, urgent } };
	window->next_report = (window->next_report + 1) % DEMAND_REPORTS;
	before = trend_start(window, now);
	bucket = &window->buckets[window->current_bucket];
	bucket->requests = MAX(bucket->requests,
			       extrapolate(before->demand.requests, requests));
	bucket->urgent =
		MAX(bucket->urgent, extrapolate(before->demand.urgent, urgent));
}

/* Returns the peak of each number over all buckets. */
demand_peak_t demand_window_peak(const demand_window_t *window)
{
	demand_peak_t peak = { 0 };

	for (unsigned int i = 0; i < DEMAND_BUCKETS; i++) {
		peak.requests = MAX(peak.requests, window->buckets[i].requests);
		peak.urgent = MAX(peak.urgent, window->buckets[i].urgent);
	}
	return peak;
}
