/*
 * Retry budget of each service: retries may be a part of the requests in a
 * sliding window, plus a slack that all gateways share evenly.
 */
#ifndef PISTACHIO_RETRY_WINDOW_H
#define PISTACHIO_RETRY_WINDOW_H

#include <glib.h>
#include <stdbool.h>

#include "ports/clock.h"

#define RETRY_WINDOW_BUCKETS 10 /* of which a window consists */

typedef struct retry_limits {
	double ratio; /* retries per request */
	double slack; /* retries in a window, of all gateways together */
	pd_time_t window;
} retry_limits_t;

typedef struct retry_windows retry_windows_t;

retry_windows_t *retry_windows_create(const retry_limits_t *limits);
void retry_windows_set_limits(retry_windows_t *windows,
			      const retry_limits_t *limits);
void retry_windows_destroy(retry_windows_t *windows);
void retry_windows_record_request(retry_windows_t *windows, const char *service,
				  pd_time_t now);
bool retry_windows_take(retry_windows_t *windows, const char *service,
			unsigned int gateway_count, pd_time_t now);

#endif
