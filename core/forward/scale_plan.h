/*
 * How many upstreams of a service there should be in each availability zone,
 * and how many of them may be reclaimed. scale-plan-notes.md weighs the ways.
 */
#ifndef PISTACHIO_SCALE_PLAN_H
#define PISTACHIO_SCALE_PLAN_H

#include "core/forward/config.h"
#include "core/forward/upstreams.h"

#define SCALE_ZONES_MAX 32

/* The upstreams that are wanted in a zone, each kind apart. */
typedef struct scale_zone {
	const char *zone; /* borrowed from the service */
	unsigned int on_demand;
	unsigned int reclaimable;
} scale_zone_t;

/* Work a second that is asked of a service, by all entries. */
typedef struct scale_demand {
	double sent;
	double refused; /* turned away for want of engines */
	double rate; /* what one engine gets done; 0: not known yet */
} scale_demand_t;

/* What a plan was made by. */
typedef struct scale_basis {
	double planned_load; /* engines' worth of load that the fleet is held for */
	double load; /* the same, as seen at present */
	double rate; /* what one engine gets done a second; 0: not known */
	bool shortage; /* reclaimable upstreams were refused lately */
} scale_basis_t;

typedef struct scale_plan scale_plan_t;

scale_plan_t *scale_plan_create(void);
void scale_plan_destroy(scale_plan_t *plan);
void scale_plan_restore(scale_plan_t *plan, double planned_load);
const scale_basis_t *scale_plan_basis(const scale_plan_t *plan);
void scale_plan_mark_refused(scale_plan_t *plan, const char *zone, pd_time_t now);
void scale_plan_mark_granted(scale_plan_t *plan, const char *zone,
			     unsigned int number, pd_time_t now);
unsigned int scale_plan_count_serving(forward_upstreams_t *upstreams,
				      const char *service, const char *zone,
				      bool reclaimable);
unsigned int scale_plan_make(scale_plan_t *plan, const forward_service_t *service,
			     forward_upstreams_t *upstreams,
			     const scale_demand_t *demand, pd_time_t now,
			     scale_zone_t zones[SCALE_ZONES_MAX]);

#endif
