/* Counts first and repeated sends of each service in a sliding window. */
#include "core/forward/retry_window.h"

#include <string.h>

/*
 * The part of the allowance that is used: windows slide, entries are uneven,
 * and a send that arrives late counts in a later window than it left in.
 */
#define USED_PART 0.7

typedef struct window {
	unsigned int firsts[RETRY_SPANS];
	unsigned int repeats[RETRY_SPANS];
	int64_t span; /* number of the newest span */
} window_t;

struct retry_windows {
	retry_limits_t limits;
	GHashTable *services; /* name -> window_t */
};

/* Returns an empty count; the caller owns it. */
retry_windows_t *retry_windows_create(const retry_limits_t *limits)
{
	retry_windows_t *windows = g_new0(retry_windows_t, 1);

	windows->limits = *limits;
	windows->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return windows;
}

/* Goes by other limits from now on. With another window, counts begin anew. */
void retry_windows_change(retry_windows_t *windows, const retry_limits_t *limits)
{
	if (limits->window != windows->limits.window)
		g_hash_table_remove_all(windows->services);
	windows->limits = *limits;
}

/* Frees the count; NULL is allowed. */
void retry_windows_destroy(retry_windows_t *windows)
{
	if (!windows)
		return;
	g_hash_table_unref(windows->services);
	g_free(windows);
}

/* Returns the service's window, moved on to NOW. */
static window_t *windows_at(retry_windows_t *windows, const char *service,
			    pd_time_t now)
{
	window_t *window = g_hash_table_lookup(windows->services, service);
	int64_t span = now / (windows->limits.window / RETRY_SPANS);

	if (!window) {
		window = g_new0(window_t, 1);
		window->span = span;
		g_hash_table_insert(windows->services, g_strdup(service), window);
	}
	if (span - window->span >= RETRY_SPANS) {
		memset(window, 0, sizeof(*window));
		window->span = span;
	}
	while (window->span < span) {
		window->span++;
		window->firsts[window->span % RETRY_SPANS] = 0;
		window->repeats[window->span % RETRY_SPANS] = 0;
	}
	return window;
}

/* Notes a new request of a caller. */
void retry_windows_first(retry_windows_t *windows, const char *service,
			 pd_time_t now)
{
	window_t *window = windows_at(windows, service, now);

	window->firsts[window->span % RETRY_SPANS]++;
}

/* Takes one repeat, where ENTRIES share the slack; false if there is none. */
bool retry_windows_repeat(retry_windows_t *windows, const char *service,
			  unsigned int entries, pd_time_t now)
{
	window_t *window = windows_at(windows, service, now);
	double firsts = 0;
	double repeats = 0;
	double allowed;

	for (unsigned int i = 0; i < RETRY_SPANS; i++) {
		firsts += window->firsts[i];
		repeats += window->repeats[i];
	}
	allowed = windows->limits.ratio * firsts +
		  windows->limits.slack / MAX(entries, 1);
	if (repeats + 1 > allowed * USED_PART)
		return false;
	window->repeats[window->span % RETRY_SPANS]++;
	return true;
}
