/*
 * Simulates a day of one user: a cloud whose prices change and that reclaims
 * zones and refuses to start VMs, a queue model of the served load, and the
 * core of the placer, which buys and releases the VMs.
 */
#ifndef PISTACHIO_PLACEMENT_WORLD_H
#define PISTACHIO_PLACEMENT_WORLD_H

#include <glib.h>

#include "core/placer.h"

typedef struct day_config {
	const char *user;
	unsigned int peak; /* concurrent requests in the highest burst */
	unsigned int most_workers;
	uint32_t seed;
	mix_rule_t rule;
	unsigned int headroom; /* percent */
} day_config_t;

typedef struct day_result {
	double cost; /* in hourly on-demand prices of the small class */
	double bound; /* lower bound, with perfect knowledge */
	double bound_with_spares; /* the same, with whole VMs and spare zones */
	double requests;
	double late;
	double urgent;
	double urgent_late;
	double moved; /* requests whose VM was reclaimed */
	unsigned int bought;
	unsigned int refused;
} day_result_t;

day_result_t day_run(const day_config_t *config);

#endif
