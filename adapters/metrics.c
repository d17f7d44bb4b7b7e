/* Stores metrics by name, and writes them in the order of their first use. */
#include "adapters/metrics.h"

typedef struct series {
	char *name;
	double value;
} series_t;

struct metrics {
	GHashTable *by_name; /* name with labels -> series_t, borrowed */
	GPtrArray *order; /* of series_t, owned */
};

/* Frees a series. */
static void series_destroy(void *data)
{
	series_t *series = data;

	g_free(series->name);
	g_free(series);
}

/* Returns an empty set of metrics, owned by the caller. */
metrics_t *metrics_create(void)
{
	metrics_t *metrics = g_new0(metrics_t, 1);

	metrics->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	metrics->order = g_ptr_array_new_with_free_func(series_destroy);
	return metrics;
}

/* Frees a set of metrics; NULL is allowed. */
void metrics_destroy(metrics_t *metrics)
{
	if (!metrics)
		return;
	g_hash_table_unref(metrics->by_name);
	g_ptr_array_unref(metrics->order);
	g_free(metrics);
}

/*
 * Returns the series of NAME, which includes its labels; a new one starts at 0.
 */
static series_t *find_or_add_series(metrics_t *metrics, const char *name)
{
	series_t *series = g_hash_table_lookup(metrics->by_name, name);

	if (series)
		return series;
	series = g_new0(series_t, 1);
	series->name = g_strdup(name);
	g_hash_table_insert(metrics->by_name, series->name, series);
	g_ptr_array_add(metrics->order, series);
	return series;
}

/* Increments a counter with one label. */
void metrics_increment(metrics_t *metrics, const char *name, const char *label,
		       const char *value)
{
	char *series_name = g_strdup_printf("%s{%s=\"%s\"}", name, label, value);

	find_or_add_series(metrics, series_name)->value += 1;
	g_free(series_name);
}

/* Adds AMOUNT to a counter without labels. */
void metrics_add(metrics_t *metrics, const char *name, double amount)
{
	find_or_add_series(metrics, name)->value += amount;
}

/* Sets a gauge without labels. */
void metrics_set_gauge(metrics_t *metrics, const char *name, double value)
{
	find_or_add_series(metrics, name)->value = value;
}

/* Upper bounds of a histogram's buckets, from a fast call to a long stream. */
static const double bucket_bounds_ms[] = { 10,	25,   50,   100,  200,	400,
					   800, 1600, 3200, 6400, 12800 };

/* Adds a time in milliseconds to a histogram with one label. */
void metrics_observe_ms(metrics_t *metrics, const char *name, const char *label,
			const char *value, double ms)
{
	char series_name[256];

	for (gsize i = 0; i < G_N_ELEMENTS(bucket_bounds_ms); i++) {
		if (ms > bucket_bounds_ms[i])
			continue;
		g_snprintf(series_name, sizeof(series_name),
			   "%s_bucket{%s=\"%s\",le=\"%g\"}", name, label, value,
			   bucket_bounds_ms[i]);
		find_or_add_series(metrics, series_name)->value += 1;
	}
	g_snprintf(series_name, sizeof(series_name),
		   "%s_bucket{%s=\"%s\",le=\"+Inf\"}", name, label, value);
	find_or_add_series(metrics, series_name)->value += 1;
	g_snprintf(series_name, sizeof(series_name), "%s_count{%s=\"%s\"}",
		   name, label, value);
	find_or_add_series(metrics, series_name)->value += 1;
	g_snprintf(series_name, sizeof(series_name), "%s_sum{%s=\"%s\"}", name,
		   label, value);
	find_or_add_series(metrics, series_name)->value += ms;
}

/* Returns all series in the text format, owned by the caller. */
char *metrics_format(const metrics_t *metrics)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < metrics->order->len; i++) {
		const series_t *series = g_ptr_array_index(metrics->order, i);

		g_string_append_printf(text, "%s %.17g\n", series->name,
				       series->value);
	}
	return g_string_free(text, FALSE);
}
