/*
 * Plans how many upstreams a service should have in each availability zone, and how
 * many of them reclaimable. scale-plan-notes.md compares the alternatives.
 */
#ifndef PISTACHIO_SCALE_PLAN_H
#define PISTACHIO_SCALE_PLAN_H

#include "core/forward/config.h"
#include "core/forward/upstreams.h"

#define SCALE_ZONES_MAX 32

/* The upstreams of each kind that are wanted in a zone. */
typedef struct scale_zone {
	const char *zone; /* borrowed from the service */
	unsigned int on_demand;
	unsigned int reclaimable;
} scale_zone_t;

/* The demand for a service, as work per second at all gateways. */
typedef struct scale_demand {
	double sent;
	double refused; /* refused for lack of engines */
	double rate; /* work per second that one engine does; 0: not known yet */
	/* upstreams that are missing, as others take fewer requests than usual */
	double lost;
} scale_demand_t;

/* The basis of a plan. */
typedef struct scale_basis {
	double planned_load; /* load, in busy engines, that the fleet is sized for */
	double load; /* load, in busy engines, as currently measured */
	double rate; /* work per second that one engine does; 0: not known */
	double lost; /* upstreams ordered in place of what rate limits take away */
	bool shortage; /* orders of reclaimable upstreams were refused lately */
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
