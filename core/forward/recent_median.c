/* Keeps the last samples and sorts them on demand. */
#include "core/forward/recent_median.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Drops all samples. */
void recent_median_reset(recent_median_t *recent)
{
	recent->count = 0;
}

/* Adds a sample, in place of the oldest one if there are RECENT_MEDIAN_SAMPLES. */
void recent_median_add(recent_median_t *recent, double sample)
{
	recent->samples[recent->count++ % RECENT_MEDIAN_SAMPLES] = sample;
}

/* Orders two doubles. */
static int compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Returns the median, the lower one of two; 0 if there are no samples. */
double recent_median_value(const recent_median_t *recent)
{
	unsigned int count = MIN(recent->count, RECENT_MEDIAN_SAMPLES);
	double sorted[RECENT_MEDIAN_SAMPLES];

	if (!count)
		return 0;
	memcpy(sorted, recent->samples, count * sizeof(*sorted));
	qsort(sorted, count, sizeof(*sorted), compare);
	return sorted[(count - 1) / 2];
}
