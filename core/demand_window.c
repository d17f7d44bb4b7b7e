/*
 * Keeps the peaks of some spans of time. VMs are given back by the peak of them
 * all, so a dip between two bursts gives back nothing that the next one needs.
 * Spans end only when a report comes: a placer that hears nothing keeps what it
 * has, for silence is no sign of idleness.
 */
#include "core/demand_window.h"

#include <glib.h>

#define BUCKET_DURATION (12 * PD_SEC)
/* A rise is measured over so long. */
#define TREND_DURATION (60 * PD_SEC)
/*
 * A VM bought now serves after it has booted and loaded its weights. Demand that
 * rises goes on rising till then; without this every burst begins with a queue.
 */
#define TREND_HORIZON (120 * PD_SEC)

/* Returns the oldest report within the span of a trend; there is one. */
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

/* Returns where a number that rose will be when a VM bought now serves. */
static unsigned int extrapolate(unsigned int from, unsigned int to)
{
	if (to <= from)
		return to;
	return to + (unsigned int)((to - from) * TREND_HORIZON / TREND_DURATION);
}

/* Adds a report of the requests in hand. */
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

/* Returns the most seen in the window, each number for itself. */
demand_peak_t demand_window_peak(const demand_window_t *window)
{
	demand_peak_t peak = { 0 };

	for (unsigned int i = 0; i < DEMAND_BUCKETS; i++) {
		peak.requests = MAX(peak.requests, window->buckets[i].requests);
		peak.urgent = MAX(peak.urgent, window->buckets[i].urgent);
	}
	return peak;
}
