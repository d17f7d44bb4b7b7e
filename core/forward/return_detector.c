/* Learns the usual time left on each route. */
#include "core/forward/return_detector.h"

#include <glib.h>

#include "core/forward/quantile.h"

/* In a shortage many requests have come back, but most have not. */
#define USUAL_PART 0.75
/* A caller that was refused comes back with less than this part of the usual time. */
#define RETURNED_PART 0.95
#define SAMPLES_MIN 20
/* Routes that are known; the table starts anew with more. */
#define ROUTES_MAX 4096

struct return_detector {
	GHashTable *routes; /* name -> quantile_t of the time left */
};

/* Returns a detector that knows no route; the caller owns it. */
return_detector_t *return_detector_create(void)
{
	return_detector_t *detector = g_new0(return_detector_t, 1);

	detector->routes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return detector;
}

/* Frees a detector; NULL is allowed. */
void return_detector_destroy(return_detector_t *detector)
{
	if (!detector)
		return;
	g_hash_table_unref(detector->routes);
	g_free(detector);
}

/*
 * Records the time that the caller of a request on a route has left; 0: not stated. Returns
 * whether the request is one whose caller has come back.
 */
bool return_detector_record(return_detector_t *detector, const char *route,
			    pd_time_t time_left)
{
	quantile_t *usual;

	if (time_left <= 0)
		return false;
	usual = g_hash_table_lookup(detector->routes, route);
	if (!usual) {
		if (g_hash_table_size(detector->routes) >= ROUTES_MAX)
			g_hash_table_remove_all(detector->routes);
		usual = g_new0(quantile_t, 1);
		g_hash_table_insert(detector->routes, g_strdup(route), usual);
	}
	quantile_add(usual, USUAL_PART, (double)time_left);
	return usual->sample_count >= SAMPLES_MIN &&
	       (double)time_left < usual->value * RETURNED_PART;
}
