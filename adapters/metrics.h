/*
 * Counters, gauges and histograms of one process, in the Prometheus text format.
 */
#ifndef PISTACHIO_METRICS_H
#define PISTACHIO_METRICS_H

#include <glib.h>

typedef struct metrics metrics_t;

metrics_t *metrics_create(void);
void metrics_destroy(metrics_t *metrics);
void metrics_increment(metrics_t *metrics, const char *name, const char *label,
		       const char *value);
void metrics_add(metrics_t *metrics, const char *name, double amount);
void metrics_set_gauge(metrics_t *metrics, const char *name, double value);
void metrics_observe_ms(metrics_t *metrics, const char *name, const char *label,
			const char *value, double ms);
char *metrics_format(const metrics_t *metrics);

#endif
