/*
 * Which requests are turned away while the engines of a service are pressed: the
 * least urgent first, and only as many as it takes. shed-notes.md weighs the ways.
 */
#ifndef PISTACHIO_SHED_H
#define PISTACHIO_SHED_H

#include <stdbool.h>

#include "ports/clock.h"

#define SHED_RANKS 10 /* 0 is the most urgent */

typedef struct shed shed_t;

/* How much of a service's places is taken. */
typedef struct shed_fill {
	double part; /* of all; over 1: requests wait at the upstreams */
	bool known; /* the other entries' requests are counted in it */
} shed_fill_t;

shed_t *shed_create(void);
void shed_destroy(shed_t *shed);
bool shed_admits(shed_t *shed, int rank, double work, double draw);
void shed_outcome(shed_t *shed, bool pressed);
bool shed_is_due(const shed_t *shed, pd_time_t now);
bool shed_run(shed_t *shed, const shed_fill_t *fill, pd_time_t now);
double shed_share(const shed_t *shed);
double shed_pressed(const shed_t *shed);

#endif
