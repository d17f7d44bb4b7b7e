/*
 * Recognizes requests whose callers were refused before and come back: at any gateway,
 * also after a kill of all, by the time that they have left. A caller's first request on a
 * route has the time that is usual there; a later one has what the caller has not used up
 * yet.
 */
#ifndef PISTACHIO_RETURN_DETECTOR_H
#define PISTACHIO_RETURN_DETECTOR_H

#include <stdbool.h>

#include "ports/clock.h"

typedef struct return_detector return_detector_t;

return_detector_t *return_detector_create(void);
void return_detector_destroy(return_detector_t *detector);
bool return_detector_record(return_detector_t *detector, const char *route,
			    pd_time_t time_left);

#endif
