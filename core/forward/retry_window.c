/*
 * Limits the retries to each service by a sliding window of requests and
 * retries.
 */
#include "core/forward/retry_window.h"

#include <string.h>

/*
 * The part of the limit that is used: windows slide, gateways have uneven
 * loads, and a request that arrives late counts in a later window than it was
 * sent in.
 */
#define USABLE_FRACTION 0.7

typedef struct window {
	unsigned int requests[RETRY_WINDOW_BUCKETS];
	unsigned int retries[RETRY_WINDOW_BUCKETS];
	int64_t bucket; /* number of the newest bucket */
} window_t;

struct retry_windows {
	retry_limits_t limits;
	GHashTable *services; /* service -> window_t */
};

/* Returns empty windows; the caller owns them. */
retry_windows_t *retry_windows_create(const retry_limits_t *limits)
{
	retry_windows_t *windows = g_new0(retry_windows_t, 1);

	windows->limits = *limits;
	windows->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return windows;
}

/*
 * Sets the limits from now on. If the length of the window changes, the counts
 * are reset.
 */
void retry_windows_set_limits(retry_windows_t *windows, const retry_limits_t *limits)
{
	if (limits->window != windows->limits.window)
		g_hash_table_remove_all(windows->services);
	windows->limits = *limits;
}

/* Frees the windows; NULL is allowed. */
void retry_windows_destroy(retry_windows_t *windows)
{
	if (!windows)
		return;
	g_hash_table_unref(windows->services);
	g_free(windows);
}

/* Returns the service's window, advanced to NOW, borrowed. */
static window_t *get_window(retry_windows_t *windows, const char *service,
			    pd_time_t now)
{
	window_t *window = g_hash_table_lookup(windows->services, service);
	int64_t bucket = now / (windows->limits.window / RETRY_WINDOW_BUCKETS);

	if (!window) {
		window = g_new0(window_t, 1);
		window->bucket = bucket;
		g_hash_table_insert(windows->services, g_strdup(service), window);
	}
	if (bucket - window->bucket >= RETRY_WINDOW_BUCKETS) {
		memset(window, 0, sizeof(*window));
		window->bucket = bucket;
	}
	while (window->bucket < bucket) {
		window->bucket++;
		window->requests[window->bucket % RETRY_WINDOW_BUCKETS] = 0;
		window->retries[window->bucket % RETRY_WINDOW_BUCKETS] = 0;
	}
	return window;
}

/* Records a new request of a caller. */
void retry_windows_record_request(retry_windows_t *windows, const char *service,
				  pd_time_t now)
{
	window_t *window = get_window(windows, service, now);

	window->requests[window->bucket % RETRY_WINDOW_BUCKETS]++;
}

/*
 * Takes one retry if the limits allow it, where GATEWAY_COUNT gateways share the slack.
 * Returns whether they do.
 */
bool retry_windows_take(retry_windows_t *windows, const char *service,
			unsigned int gateway_count, pd_time_t now)
{
	window_t *window = get_window(windows, service, now);
	double requests = 0;
	double retries = 0;
	double allowed;

	for (unsigned int i = 0; i < RETRY_WINDOW_BUCKETS; i++) {
		requests += window->requests[i];
		retries += window->retries[i];
	}
	allowed = windows->limits.ratio * requests +
		  windows->limits.slack / MAX(gateway_count, 1);
	if (retries + 1 > allowed * USABLE_FRACTION)
		return false;
	window->retries[window->bucket % RETRY_WINDOW_BUCKETS]++;
	return true;
}
