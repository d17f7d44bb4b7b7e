/*
 * Running estimate of a quantile of positive samples, in constant memory. It follows a
 * change of the samples' distribution.
 */
#ifndef PISTACHIO_QUANTILE_H
#define PISTACHIO_QUANTILE_H

typedef struct quantile {
	double value; /* 0: no sample yet */
	unsigned int sample_count;
} quantile_t;

void quantile_add(quantile_t *quantile, double part, double sample);

#endif
