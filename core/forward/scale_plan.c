/* Sizes a service's fleet by its load, mostly of upstreams that are cheap. */
#include "core/forward/scale_plan.h"

#include <math.h>
#include <string.h>

/*
 * What one engine gets done a second, in prompt tokens: some 2,000 are read in
 * a step of 17 ms beside the tokens of running requests.
 */
#define ENGINE_WORK 117000.0
/*
 * How many engines there are for each that would be busy throughout. Prompts
 * are of very uneven length and come in clumps, so queues grow long before an
 * engine is busy. Most of the engines can be reclaimed, at a fifth of the price:
 * 5 that last and 10 that can go kept more of the worth of callers' requests
 * than 9 that last, for three quarters of the price, in days with reclaims of
 * whole zones; with 2 or 3 that last, first tokens came late while no others
 * were to be had.
 */
#define FLEET_FACTOR 1.45
#define FLEET_SPARE 1
#define LASTING_FACTOR 0.5
#define LASTING_SPARE 1.5
/* While reclaimable ones are not to be had, so many last. */
#define SHORT_FACTOR 0.8
/* With little load seen, the size that was found is trusted for so long. */
#define TRUST_FOUND (15 * PD_SEC)
#define LOAD_MIN 0.1 /* engines' worth; less is no load */
/* Requests in progress rise and fall faster than engines start and stop. */
#define RISE_WEIGHT 0.3
#define FALL_WEIGHT 0.03
/* How long a zone that had none to give is not counted on. */
#define REFUSED_KEPT (3 * PD_SEC)
/* Orders that shrink the fleet are given only after it was too large so long. */
#define SHRINK_AFTER (6 * PD_SEC)

typedef struct zone_state {
	char *zone;
	pd_time_t refused_until;
} zone_state_t;

struct scale_plan {
	GArray *zones; /* of zone_state_t */
	pd_time_t load_since; /* when load was first seen; 0: not yet */
	double found; /* upstreams when the plan began */
	double running; /* requests in progress, smoothed */
	double held; /* engines' worth of load that is planned for */
	pd_time_t lower_since;
};

static void zone_clear(void *data)
{
	g_free(((zone_state_t *)data)->zone);
}

/* Returns a plan that knows nothing; the caller owns it. */
scale_plan_t *scale_plan_create(void)
{
	scale_plan_t *plan = g_new0(scale_plan_t, 1);

	plan->zones = g_array_new(FALSE, TRUE, sizeof(zone_state_t));
	g_array_set_clear_func(plan->zones, zone_clear);
	return plan;
}

/* Frees a plan; NULL is allowed. */
void scale_plan_destroy(scale_plan_t *plan)
{
	if (!plan)
		return;
	g_array_unref(plan->zones);
	g_free(plan);
}

static zone_state_t *plan_zone(scale_plan_t *plan, const char *zone)
{
	zone_state_t fresh = { NULL, 0 };

	for (guint i = 0; i < plan->zones->len; i++) {
		zone_state_t *state =
			&g_array_index(plan->zones, zone_state_t, i);

		if (!strcmp(state->zone, zone))
			return state;
	}
	fresh.zone = g_strdup(zone);
	g_array_append_val(plan->zones, fresh);
	return &g_array_index(plan->zones, zone_state_t, plan->zones->len - 1);
}

/* Notes that a zone had no reclaimable upstream to give. */
void scale_plan_refused(scale_plan_t *plan, const char *zone, pd_time_t now)
{
	plan_zone(plan, zone)->refused_until = now + REFUSED_KEPT;
}

/* Returns how many serve in a zone, or in all if that is NULL. */
unsigned int scale_plan_serving(forward_upstreams_t *upstreams,
				const char *service, const char *zone,
				bool reclaimable)
{
	unsigned int count = 0;

	LIST_FOR_EACH (it, forward_upstreams_list(upstreams)) {
		const forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		count += upstream->stage == FORWARD_SERVING &&
			 upstream->reclaimable == reclaimable &&
			 !strcmp(upstream->service, service) &&
			 (!zone || !strcmp(upstream->zone, zone));
	}
	return count;
}

static double count_running(forward_upstreams_t *upstreams, const char *service)
{
	double sum = 0;

	LIST_FOR_EACH (it, forward_upstreams_list(upstreams)) {
		const forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		if (!strcmp(upstream->service, service))
			sum += upstream->running + upstream->peers_running;
	}
	return sum;
}

/*
 * Returns how many engines the load would keep busy: by the work sent to them,
 * or by the places that requests in progress take.
 */
static double plan_load(scale_plan_t *plan, const forward_service_t *service,
			forward_upstreams_t *upstreams, double work_rate)
{
	double running = count_running(upstreams, service->name);

	plan->running += (running - plan->running) *
			 (running > plan->running ? RISE_WEIGHT : FALL_WEIGHT);
	return MAX(work_rate / ENGINE_WORK,
		   plan->running / MAX(service->engine_slots, 1));
}

/* Returns the load to plan for: what is seen, or what the fleet was made for. */
static double plan_need(scale_plan_t *plan, double load, double found,
			pd_time_t now)
{
	if (!plan->found)
		plan->found = found;
	if (!plan->load_since && load > LOAD_MIN)
		plan->load_since = now;
	if (!plan->load_since || now - plan->load_since < TRUST_FOUND)
		load = MAX(load, plan->found / FLEET_FACTOR);
	if (load >= plan->held) {
		plan->held = load;
		plan->lower_since = now;
	} else if (now - plan->lower_since > SHRINK_AFTER) {
		plan->held = load;
	}
	return plan->held;
}

static double zone_price(const forward_service_t *service, guint i)
{
	return g_array_index(service->zone_prices, forward_zone_price_t, i)
		.price;
}

/* Gives one more of a kind to the zone that has least of it, the cheapest. */
static bool add_one(const forward_service_t *service, scale_zone_t *zones,
		    unsigned int count, bool reclaimable, const bool *usable)
{
	unsigned int best = count;

	for (unsigned int i = 0; i < count; i++) {
		unsigned int has = reclaimable ? zones[i].reclaimable
					       : zones[i].lasting;
		unsigned int least = best == count ? 0
				     : reclaimable ? zones[best].reclaimable
						   : zones[best].lasting;

		if (!usable[i] || zones[i].lasting + zones[i].reclaimable >=
					  service->zone_max)
			continue;
		if (best == count || has < least ||
		    (has == least &&
		     zone_price(service, i) < zone_price(service, best)))
			best = i;
	}
	if (best == count)
		return false;
	if (reclaimable)
		zones[best].reclaimable++;
	else
		zones[best].lasting++;
	return true;
}

static void add_many(const forward_service_t *service, scale_zone_t *zones,
		     unsigned int count, bool reclaimable, const bool *usable,
		     unsigned int wanted)
{
	while (wanted-- && add_one(service, zones, count, reclaimable, usable))
		continue;
}

/*
 * Fills in what should be in each zone; returns how many zones. The plan says
 * what is wanted, whatever is there, so an order given twice changes nothing.
 */
unsigned int scale_plan_make(scale_plan_t *plan, const forward_service_t *service,
			     forward_upstreams_t *upstreams, double work_rate,
			     pd_time_t now, scale_zone_t zones[SCALE_ZONES_MAX])
{
	unsigned int count = MIN(service->zone_prices->len, SCALE_ZONES_MAX);
	unsigned int lasting_now =
		scale_plan_serving(upstreams, service->name, NULL, false);
	unsigned int spot_now =
		scale_plan_serving(upstreams, service->name, NULL, true);
	double need = plan_need(
		plan, plan_load(plan, service, upstreams, work_rate),
		lasting_now + spot_now, now);
	unsigned int total =
		(unsigned int)ceil(need * FLEET_FACTOR) + FLEET_SPARE;
	unsigned int lasting =
		(unsigned int)ceil(need * LASTING_FACTOR + LASTING_SPARE);
	bool usable[SCALE_ZONES_MAX];
	bool any[SCALE_ZONES_MAX];
	unsigned int shortage = 0;

	for (unsigned int i = 0; i < count; i++) {
		zones[i] = (scale_zone_t){ .zone = g_array_index(
						   service->zone_prices,
						   forward_zone_price_t, i)
						   .zone };
		any[i] = true;
		usable[i] = now >= plan_zone(plan, zones[i].zone)->refused_until;
		shortage += !usable[i];
	}
	/* Lasting ones start in time only if they are ordered at the notice. */
	if (shortage)
		lasting = MAX(lasting,
			      (unsigned int)ceil(need * SHORT_FACTOR));
	add_many(service, zones, count, false, any, MAX(lasting, 1));
	add_many(service, zones, count, true, any,
		 total > lasting ? total - lasting : 0);
	for (unsigned int i = 0; i < count; i++) {
		while (zones[i].lasting + zones[i].reclaimable <
		       service->zone_min)
			zones[i].reclaimable++;
	}
	return count;
}
