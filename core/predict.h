/*
 * Predicts the time to the first token of a queued request, from the recent
 * latencies of requests for the same target.
 */
#ifndef PISTACHIO_PREDICT_H
#define PISTACHIO_PREDICT_H

#include <glib.h>

#include "core/bundle.h"
#include "ports/clock.h"

typedef struct predict predict_t;

predict_t *predict_create(void);
void predict_destroy(predict_t *predict);
void predict_record_first_token(predict_t *predict, const char *target,
				priority_t priority, pd_time_t duration);
void predict_record_completion(predict_t *predict, const char *target,
			       priority_t priority, pd_time_t duration);
pd_time_t predict_time_to_first_token(predict_t *predict, const char *target,
				      priority_t priority, unsigned int ahead,
				      double slots);

#endif
