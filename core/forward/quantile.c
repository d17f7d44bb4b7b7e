/*
 * Frugal streaming (Ma, Muthukrishnan, Sandler 2013) in the logarithmic domain: steps up
 * and down are in the ratio of the wanted shares of samples, so that a few extreme
 * samples don't move the estimate further than others.
 */
#include "core/forward/quantile.h"

#include <math.h>

/*
 * Logarithmic steps: the first samples find the order of magnitude, the later ones keep
 * the estimate within some percent.
 */
#define STEP_FIRST 1.0
#define STEP_MIN 0.05

/*
 * Adds a SAMPLE, which must be positive, to the estimate of the value that a PART of the
 * samples, between 0 and 1, is below.
 */
void quantile_add(quantile_t *quantile, double part, double sample)
{
	double step;

	if (!(sample > 0))
		return;
	quantile->sample_count++;
	if (quantile->sample_count == 1) {
		quantile->value = sample;
		return;
	}
	step = fmax(STEP_FIRST / quantile->sample_count, STEP_MIN);
	if (sample > quantile->value)
		quantile->value = fmin(quantile->value * exp(step * part), sample);
	else
		quantile->value =
			fmax(quantile->value * exp(-step * (1 - part)), sample);
}
