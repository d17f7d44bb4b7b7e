/* The demand for one target over the last two minutes, and its trend. */
#ifndef PISTACHIO_DEMAND_WINDOW_H
#define PISTACHIO_DEMAND_WINDOW_H

#include <stdbool.h>

#include "ports/clock.h"

#define DEMAND_BUCKETS 10
#define DEMAND_REPORTS 8

typedef struct demand_peak {
	unsigned int requests;
	unsigned int urgent;
} demand_peak_t;

typedef struct demand_report {
	pd_time_t received_at; /* 0: none */
	demand_peak_t demand;
} demand_report_t;

/* A zeroed window is an empty one. */
typedef struct demand_window {
	demand_peak_t buckets[DEMAND_BUCKETS];
	unsigned int current_bucket; /* index */
	pd_time_t bucket_started_at; /* 0: no reports yet */
	demand_report_t reports[DEMAND_REPORTS]; /* ring buffer */
	unsigned int next_report;
} demand_window_t;

void demand_window_add(demand_window_t *window, unsigned int requests,
		       unsigned int urgent, pd_time_t now);
demand_peak_t demand_window_peak(const demand_window_t *window);

#endif
