/*
 * Sizes a service's fleet by its load, with as many cheap reclaimable upstreams as
 * possible.
 */
#include "core/forward/scale_plan.h"

#include <math.h>
#include <string.h>

/*
 * Engines per engine that the load would keep busy. Prompts are of very uneven length
 * and come in bursts, so queues grow long before an engine is fully busy. Nearly all
 * can be reclaimable ones, at a fifth of the price: if a zone of them is reclaimed,
 * others are ordered within the notice (SHORTAGE_FACTOR).
 */
#define FLEET_FACTOR 2.0
/*
 * On-demand engines per busy engine, plus a constant, while there is no shortage. They
 * serve the most urgent requests from the end of a reclaim notice until replacements
 * serve. Without any, first events were late for seconds at each reclaim; each further
 * one costs as much as five reclaimable ones.
 */
#define ON_DEMAND_FACTOR 0.35
#define ON_DEMAND_SPARE 0.5
/*
 * On-demand engines per busy engine during a shortage, when orders of reclaimable ones
 * are refused: where one zone is reclaimed and no others are available, the next zone
 * is likely to be reclaimed too, and on-demand engines take longer to start than a
 * notice lasts. When the remaining reclaimable ones were counted on, first events were
 * late until the shortage was over. It is expensive, but only for as long as the
 * shortage.
 */
#define SHORTAGE_FACTOR 1.5
/*
 * Engines per busy engine up to which on-demand ones are kept until their replacements
 * serve.
 */
#define KEPT_ON_DEMAND_FACTOR 1.0
/*
 * An engine with all slots in use counts as this many busy engines, in a fleet sized by
 * FLEET_FACTOR: unlike a busy engine, a slot in use does not mean that requests queue.
 */
#define SLOTS_FACTOR 0.7
/*
 * How long the load has to be measured before it replaces the initial size of the
 * fleet.
 */
#define INITIAL_SIZE_TTL (15 * PD_SEC)
/* Upstreams have all registered if their number has not grown for this long. */
#define DISCOVERY_SETTLE_TIME (1500 * PD_MSEC)
#define LOAD_MIN 0.1 /* in busy engines; less counts as no load */
/*
 * Weights for smoothing the number of running requests, which changes faster than
 * engines start and stop.
 */
#define RISE_WEIGHT 0.1
#define FALL_WEIGHT 0.02
/* How long a zone that refused an order is taken to have no reclaimable upstreams. */
#define REFUSAL_TTL (3 * PD_SEC)
/*
 * The fleet shrinks only after it was too large for this long, and once in such a time.
 * Each change drains engines and loses what they have cached: a fleet that followed the
 * load up and down served 85 in 100 requests in time, where one of constant size and
 * the same price served 91. With a delay of two minutes, a fleet that a first wave had
 * made too large lowered the score of a simulated day by 0.01 more.
 */
#define SHRINK_DELAY (20 * PD_SEC)

/*
 * Reclaimable upstreams that are still ordered in a zone that refuses them, to detect
 * the end of the shortage.
 */
#define PROBE_COUNT 1
/* Granted upstreams serve at most this long after their boot time. */
#define BOOT_MARGIN PD_SEC

typedef struct zone_state {
	char *zone;
	pd_time_t refused_until;
	unsigned int granted; /* reclaimable upstreams of the last order that was granted */
	pd_time_t granted_at;
	unsigned int on_demand; /* as planned last */
	unsigned int reclaimable;
} zone_state_t;

struct scale_plan {
	GArray *zones; /* of zone_state_t */
	pd_time_t load_seen_at; /* when load was first measured; 0: not yet */
	double initial_count; /* upstreams that were registered before the first plan */
	double initial_load; /* load, in busy engines, for which a fleet of that size is made */
	pd_time_t count_grew_at; /* when the number of registered upstreams last grew */
	bool initialized; /* a plan was made, starting from the upstreams found */
	double running; /* running requests, smoothed */
	double planned_load; /* load, in busy engines, that the fleet is sized for */
	double restored_load; /* planned_load of an earlier leader; 0: not known */
	pd_time_t below_since; /* since when the load is below planned_load */
	double lost; /* upstreams ordered in place of what rate limits take away */
	pd_time_t lost_since; /* since when less is lost */
	scale_basis_t basis;
};

/* Frees the content of a zone_state_t. */
static void zone_clear(void *data)
{
	g_free(((zone_state_t *)data)->zone);
}

/* Returns a plan without any state; the caller owns it. */
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

/*
 * Returns a zone's state, and creates it if needed; valid until the next zone is added.
 */
static zone_state_t *plan_zone(scale_plan_t *plan, const char *zone)
{
	zone_state_t fresh = { 0 };

	for (guint i = 0; i < plan->zones->len; i++) {
		zone_state_t *state = &g_array_index(plan->zones, zone_state_t, i);

		if (!strcmp(state->zone, zone))
			return state;
	}
	fresh.zone = g_strdup(zone);
	g_array_append_val(plan->zones, fresh);
	return &g_array_index(plan->zones, zone_state_t, plan->zones->len - 1);
}

/*
 * Restores the load, in busy engines, that an earlier leader planned for; ignores
 * values that are not positive and finite. Without it a new leader takes the size that
 * it finds for the intended one, and in the middle of a shortage it releases on-demand
 * upstreams.
 */
void scale_plan_restore(scale_plan_t *plan, double planned_load)
{
	if (planned_load > 0 && isfinite(planned_load))
		plan->restored_load = planned_load;
}

/* Returns the basis of the last plan, borrowed. */
const scale_basis_t *scale_plan_basis(const scale_plan_t *plan)
{
	return &plan->basis;
}

/* Records that a zone refused an order of reclaimable upstreams. */
void scale_plan_mark_refused(scale_plan_t *plan, const char *zone, pd_time_t now)
{
	plan_zone(plan, zone)->refused_until = now + REFUSAL_TTL;
}

/*
 * Records that a zone granted an order that brings its reclaimable upstreams to NUMBER.
 */
void scale_plan_mark_granted(scale_plan_t *plan, const char *zone,
			     unsigned int number, pd_time_t now)
{
	zone_state_t *state = plan_zone(plan, zone);

	state->granted = number;
	state->granted_at = now;
}

/*
 * Returns how many upstreams of a kind serve in a zone, or in all zones if ZONE is
 * NULL.
 */
unsigned int scale_plan_count_serving(forward_upstreams_t *upstreams,
				      const char *service, const char *zone,
				      bool reclaimable)
{
	unsigned int count = 0;

	LIST_FOR_EACH (it, forward_upstreams_list(upstreams)) {
		const forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		count += upstream->stage == FORWARD_SERVING && !upstream->leaving &&
			 upstream->reclaimable == reclaimable &&
			 !strcmp(upstream->service, service) &&
			 (!zone || !strcmp(upstream->zone, zone));
	}
	return count;
}

/* Returns the number of running requests of a service. */
static double count_running(forward_upstreams_t *upstreams, const char *service)
{
	double sum = 0;

	LIST_FOR_EACH (it, forward_upstreams_list(upstreams)) {
		const forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		if (!strcmp(upstream->service, service))
			sum += forward_upstream_running(upstream);
	}
	return sum;
}

/*
 * Returns the number of engines that the load would keep busy: by the work sent and
 * refused, or by the slots that running requests take, whichever is more.
 */
static double plan_load(scale_plan_t *plan, const forward_service_t *service,
			forward_upstreams_t *upstreams,
			const scale_demand_t *demand)
{
	double requested = demand->sent + demand->refused;
	double running = count_running(upstreams, service->name);
	double slots;

	plan->running += (running - plan->running) *
			 (running > plan->running ? RISE_WEIGHT : FALL_WEIGHT);
	/* Refused requests would have taken slots in proportion to their work. */
	slots = plan->running / MAX(service->engine_slots, 1) * SLOTS_FACTOR *
		requested / MAX(demand->sent, 1);
	return MAX(demand->rate > 0 ? requested / demand->rate : 0, slots);
}

/*
 * Returns whether the load has been measured for long enough to size the fleet by it.
 */
static bool plan_is_measured(const scale_plan_t *plan, pd_time_t now)
{
	return plan->load_seen_at && now - plan->load_seen_at >= INITIAL_SIZE_TTL;
}

/*
 * Returns the load to plan for: the measured one, or at first that of the initial size.
 * COUNT is the number of upstreams that serve.
 */
static double plan_update_load(scale_plan_t *plan, double load, double count,
			       pd_time_t now)
{
	if (!plan->count_grew_at)
		plan->count_grew_at = now;
	/*
	 * Upstreams that were ordered since then say nothing about the intended size.
	 */
	if (!plan->initialized && count > plan->initial_count) {
		plan->initial_count = count;
		plan->count_grew_at = now;
		plan->initial_load = count / FLEET_FACTOR;
	}
	if (plan->restored_load > 0)
		plan->initial_load = plan->restored_load;
	if (!plan->load_seen_at && load > LOAD_MIN)
		plan->load_seen_at = now;
	if (!plan_is_measured(plan, now))
		load = MAX(load, plan->initial_load);
	if (load >= plan->planned_load) {
		plan->planned_load = load;
		plan->below_since = now;
	} else if (now - plan->below_since > SHRINK_DELAY) {
		plan->planned_load = load;
		plan->below_since = now;
	}
	return plan->planned_load;
}

/*
 * Returns how many upstreams to order in place of LOST ones. Like the load, it is kept
 * for a while when it falls.
 */
static double plan_update_lost(scale_plan_t *plan, double lost, pd_time_t now)
{
	if (lost >= plan->lost || now - plan->lost_since > SHRINK_DELAY) {
		plan->lost = lost;
		plan->lost_since = now;
	}
	return plan->lost;
}

/* Returns the price of an upstream in the service's zone number I. */
static double zone_price(const forward_service_t *service, guint i)
{
	return g_array_index(service->zone_prices, forward_zone_price_t, i).price;
}

/* Returns the number of upstreams of a kind in a zone. */
static unsigned int zone_count(const scale_zone_t *zone, bool reclaimable)
{
	return reclaimable ? zone->reclaimable : zone->on_demand;
}

/* Adds BY, which may be negative, to the number of a kind in a zone. */
static void zone_change_count(scale_zone_t *zone, bool reclaimable, int by)
{
	if (reclaimable)
		zone->reclaimable = (unsigned int)((int)zone->reclaimable + by);
	else
		zone->on_demand = (unsigned int)((int)zone->on_demand + by);
}

/*
 * Adds one of a kind to the zone that has fewest of it, the cheapest if several do.
 * Returns false if all zones are full.
 */
static bool add_one(const forward_service_t *service, scale_zone_t *zones,
		    unsigned int count, bool reclaimable)
{
	unsigned int best = count;

	for (unsigned int i = 0; i < count; i++) {
		unsigned int current = zone_count(&zones[i], reclaimable);

		if (zones[i].on_demand + zones[i].reclaimable >= service->zone_max)
			continue;
		if (best == count ||
		    current < zone_count(&zones[best], reclaimable) ||
		    (current == zone_count(&zones[best], reclaimable) &&
		     zone_price(service, i) < zone_price(service, best)))
			best = i;
	}
	if (best == count)
		return false;
	zone_change_count(&zones[best], reclaimable, 1);
	return true;
}

/*
 * Removes one of a kind from the zone that has most of it, the most expensive if
 * several do. Returns false if no zone may have fewer.
 */
static bool remove_one(const forward_service_t *service, scale_zone_t *zones,
		       unsigned int count, bool reclaimable)
{
	unsigned int best = count;

	for (unsigned int i = 0; i < count; i++) {
		unsigned int current = zone_count(&zones[i], reclaimable);

		if (!current || zones[i].on_demand + zones[i].reclaimable <=
					service->zone_min)
			continue;
		if (best == count ||
		    current > zone_count(&zones[best], reclaimable) ||
		    (current == zone_count(&zones[best], reclaimable) &&
		     zone_price(service, i) > zone_price(service, best)))
			best = i;
	}
	if (best == count)
		return false;
	zone_change_count(&zones[best], reclaimable, -1);
	return true;
}

/* Returns how many of a kind all zones have together. */
static unsigned int zones_total(const scale_zone_t *zones, unsigned int count,
				bool reclaimable)
{
	unsigned int sum = 0;

	for (unsigned int i = 0; i < count; i++)
		sum += zone_count(&zones[i], reclaimable);
	return sum;
}

/*
 * Adds or removes upstreams of a kind until WANTED are left, with as few changes as
 * possible.
 */
static void adjust_total(const forward_service_t *service, scale_zone_t *zones,
			 unsigned int count, bool reclaimable, unsigned int wanted)
{
	unsigned int sum = zones_total(zones, count, reclaimable);

	for (; sum < wanted; sum++) {
		if (!add_one(service, zones, count, reclaimable))
			return;
	}
	for (; sum > wanted; sum--) {
		if (!remove_one(service, zones, count, reclaimable))
			return;
	}
}

/* The totals to plan over all zones. */
typedef struct scale_totals {
	unsigned int on_demand;
	unsigned int on_demand_min; /* in place of refused ones, if a zone is full */
	unsigned int reclaimable;
} scale_totals_t;

/* Returns a number rounded up to an integer, and at least 0. */
static unsigned int round_up(double number)
{
	return (unsigned int)ceil(MAX(number, 0));
}

/*
 * Returns the totals for the load that the fleet is sized for, with LOST more. A shortage is handled by
 * the current LOAD instead, because it is over soon.
 */
static scale_totals_t plan_totals(double planned_load, double load, double lost,
				  unsigned int on_demand_now,
				  unsigned int reclaimable_now, bool shortage)
{
	unsigned int total = round_up(planned_load * FLEET_FACTOR + lost);
	unsigned int kept = round_up(load * KEPT_ON_DEMAND_FACTOR);
	unsigned int missing = kept > reclaimable_now ? kept - reclaimable_now : 0;
	scale_totals_t totals = {
		.on_demand = round_up(planned_load * ON_DEMAND_FACTOR +
				      ON_DEMAND_SPARE),
		.on_demand_min = missing,
	};

	totals.reclaimable = total > totals.on_demand ? total - totals.on_demand
						      : 0;
	if (shortage)
		totals.on_demand =
			MAX(totals.on_demand, round_up(load * SHORTAGE_FACTOR));
	/* On-demand upstreams are kept until their replacements serve. */
	totals.on_demand = MAX(totals.on_demand, MIN(on_demand_now, missing));
	return totals;
}

/*
 * Sets ZONES to the numbers of the last plan, or to those that serve if there was none.
 * Returns the number of zones.
 */
static unsigned int init_zones(scale_plan_t *plan, const forward_service_t *service,
			       forward_upstreams_t *upstreams,
			       scale_zone_t zones[SCALE_ZONES_MAX])
{
	unsigned int count = MIN(service->zone_prices->len, SCALE_ZONES_MAX);

	for (unsigned int i = 0; i < count; i++) {
		const char *zone = g_array_index(service->zone_prices,
						 forward_zone_price_t, i)
					   .zone;
		zone_state_t *state = plan_zone(plan, zone);

		if (!plan->initialized) {
			state->on_demand =
				scale_plan_count_serving(upstreams, service->name,
							 zone, false);
			state->reclaimable =
				scale_plan_count_serving(upstreams, service->name,
							 zone, true);
		}
		zones[i] = (scale_zone_t){ zone, state->on_demand,
					   state->reclaimable };
	}
	plan->initialized = true;
	return count;
}

/* Returns whether any zone has lately refused an order. */
static bool plan_has_shortage(const scale_plan_t *plan, pd_time_t now)
{
	for (guint i = 0; i < plan->zones->len; i++) {
		if (now < g_array_index(plan->zones, zone_state_t, i).refused_until)
			return true;
	}
	return false;
}

/* Returns how many reclaimable upstreams a zone has, including those that boot. */
static unsigned int zone_available(const zone_state_t *state,
				   const forward_service_t *service,
				   forward_upstreams_t *upstreams, pd_time_t now)
{
	unsigned int serving = scale_plan_count_serving(upstreams, service->name,
							state->zone, true);
	bool boots = state->granted &&
		     now - state->granted_at < service->boot_time + BOOT_MARGIN;

	return boots ? MAX(serving, state->granted) : serving;
}

/*
 * Sets REFUSED to the number of planned reclaimable upstreams that each zone refuses,
 * without the few that are still ordered as a probe.
 */
static void count_refused(scale_plan_t *plan, const forward_service_t *service,
			  forward_upstreams_t *upstreams,
			  const scale_zone_t *zones, unsigned int count,
			  pd_time_t now, unsigned int *refused)
{
	for (unsigned int i = 0; i < count; i++) {
		const zone_state_t *state = plan_zone(plan, zones[i].zone);
		unsigned int stay;

		refused[i] = 0;
		if (now >= state->refused_until)
			continue;
		stay = zone_available(state, service, upstreams, now) + PROBE_COUNT;
		if (zones[i].reclaimable > stay)
			refused[i] = zones[i].reclaimable - stay;
	}
}

/*
 * Replaces refused reclaimable upstreams with on-demand ones in zones that could
 * otherwise have no more, until there are WANTED on-demand ones. Otherwise orders that
 * are never granted would keep a fleet small for as long as the shortage lasts.
 */
static void replace_refused(scale_zone_t *zones, unsigned int count,
			    unsigned int *refused, unsigned int wanted)
{
	unsigned int sum = zones_total(zones, count, false);

	for (; sum < wanted; sum++) {
		unsigned int best = count;

		for (unsigned int i = 0; i < count; i++) {
			if (refused[i] &&
			    (best == count ||
			     zones[i].on_demand < zones[best].on_demand))
				best = i;
		}
		if (best == count)
			return;
		refused[best]--;
		zones[best].reclaimable--;
		zones[best].on_demand++;
	}
}

/*
 * Sets ZONES to the upstreams wanted in each zone, and returns the number of zones, or
 * 0 while it is too early for a plan. A plan has absolute numbers, so an order that is
 * given twice changes nothing.
 */
unsigned int scale_plan_make(scale_plan_t *plan, const forward_service_t *service,
			     forward_upstreams_t *upstreams,
			     const scale_demand_t *demand, pd_time_t now,
			     scale_zone_t zones[SCALE_ZONES_MAX])
{
	unsigned int on_demand_now =
		scale_plan_count_serving(upstreams, service->name, NULL, false);
	unsigned int reclaimable_now =
		scale_plan_count_serving(upstreams, service->name, NULL, true);
	double load = plan_load(plan, service, upstreams, demand);
	double planned_load =
		plan_update_load(plan, load, on_demand_now + reclaimable_now, now);
	double lost = plan_update_lost(plan, demand->lost, now);
	bool shortage = plan_has_shortage(plan, now);
	scale_totals_t totals =
		plan_totals(planned_load,
			    plan_is_measured(plan, now) ? load : planned_load,
			    lost, on_demand_now, reclaimable_now, shortage);
	unsigned int refused[SCALE_ZONES_MAX];
	unsigned int count;

	plan->basis = (scale_basis_t){ planned_load, load, demand->rate, lost,
				       shortage };
	/* Upstreams are still registering. */
	if (!plan->load_seen_at && now - plan->count_grew_at < DISCOVERY_SETTLE_TIME)
		return 0;
	count = init_zones(plan, service, upstreams, zones);
	adjust_total(service, zones, count, false, totals.on_demand);
	count_refused(plan, service, upstreams, zones, count, now, refused);
	replace_refused(zones, count, refused,
			MIN(totals.on_demand, totals.on_demand_min));
	adjust_total(service, zones, count, true, totals.reclaimable);
	for (unsigned int i = 0; i < count; i++) {
		zone_state_t *state = plan_zone(plan, zones[i].zone);

		while (zones[i].on_demand + zones[i].reclaimable < service->zone_min)
			zones[i].reclaimable++;
		state->on_demand = zones[i].on_demand;
		state->reclaimable = zones[i].reclaimable;
	}
	return count;
}
