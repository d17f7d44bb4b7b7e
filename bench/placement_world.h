/*
 * A day of one user on a simulated clock: a cloud whose prices flip, that
 * reclaims zones and refuses starts, and a plain queue for the served load. The
 * placer's core acts on it.
 */
#ifndef PISTACHIO_PLACEMENT_WORLD_H
#define PISTACHIO_PLACEMENT_WORLD_H

#include <glib.h>

#include "core/placer.h"

typedef struct day_config {
	const char *user;
	unsigned int peak; /* requests side by side in the highest burst */
	unsigned int most_workers;
	uint32_t seed;
	mix_rule_t rule;
	unsigned int headroom; /* per cent */
} day_config_t;

typedef struct day_result {
	double cost; /* in prices of one hour of the small class */
	double bound; /* the least with perfect knowledge */
	double bound_with_spares; /* the same, with VMs whole and spare zones kept */
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
