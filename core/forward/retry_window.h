/*
 * How often requests to a service may be sent once more: a part of the requests
 * in a sliding window, and a slack that all entries share evenly.
 */
#ifndef PISTACHIO_RETRY_WINDOW_H
#define PISTACHIO_RETRY_WINDOW_H

#include <glib.h>
#include <stdbool.h>

#include "ports/clock.h"

#define RETRY_SPANS 10 /* that a window is counted in */

typedef struct retry_limits {
	double ratio; /* repeats for each request */
	double slack; /* repeats in a window, of all entries */
	pd_time_t window;
} retry_limits_t;

typedef struct retry_windows retry_windows_t;

retry_windows_t *retry_windows_create(const retry_limits_t *limits);
void retry_windows_change(retry_windows_t *windows, const retry_limits_t *limits);
void retry_windows_destroy(retry_windows_t *windows);
void retry_windows_first(retry_windows_t *windows, const char *service,
			 pd_time_t now);
bool retry_windows_repeat(retry_windows_t *windows, const char *service,
			  unsigned int entries, pd_time_t now);

#endif
