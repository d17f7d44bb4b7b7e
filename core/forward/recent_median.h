/* The exact median of the last few samples of a series. */
#ifndef PISTACHIO_RECENT_MEDIAN_H
#define PISTACHIO_RECENT_MEDIAN_H

#define RECENT_MEDIAN_SAMPLES 15

typedef struct recent_median {
	double samples[RECENT_MEDIAN_SAMPLES]; /* the last ones, in a ring */
	unsigned int count; /* of all samples that were added */
} recent_median_t;

void recent_median_reset(recent_median_t *recent);
void recent_median_add(recent_median_t *recent, double sample);
double recent_median_value(const recent_median_t *recent);

#endif
