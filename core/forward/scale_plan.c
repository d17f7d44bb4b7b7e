/* Sizes a service's fleet by its load, mostly of upstreams that are cheap. */
#include "core/forward/scale_plan.h"

#include <math.h>
#include <string.h>

/*
 * How many engines there are for each that would be busy throughout. Prompts
 * are of very uneven length and come in clumps, so queues grow long before an
 * engine is busy. Nearly all can be reclaimed, at a fifth of the price: that a
 * zone of them goes is answered within the notice (SHORTAGE_FACTOR).
 */
#define FLEET_FACTOR 2.0
/*
 * Lasting ones while no shortage is seen. They carry the most urgent work from
 * the end of a notice until others serve. With none, first events were late
 * for seconds at each reclaim; each more costs as much as five reclaimable ones.
 */
#define ON_DEMAND_FACTOR 0.35
#define ON_DEMAND_SPARE 0.5
/*
 * While reclaimable ones are refused, lasting ones make a fleet of this by
 * themselves: where one zone is reclaimed and no others are to be had, the next
 * zone is likely to go too, and lasting ones start later than a notice runs out.
 * Counting on those that were left, first events were late until the shortage
 * was over. It is dear, but only for as long as the shortage.
 */
#define SHORTAGE_FACTOR 1.5
/* Lasting ones are kept up to this until those that replace them serve. */
#define KEPT_ON_DEMAND_FACTOR 1.0
/*
 * Places that running requests take, of a fleet with FLEET_FACTOR, as a part of
 * what they may take at most: a place taken is no queue, as a busy engine is.
 */
#define SLOTS_FACTOR 0.7
/* With little load seen, the size that was found is trusted for so long. */
#define INITIAL_SIZE_TTL (15 * PD_SEC)
/* A fleet that has not grown for so long has listed itself. */
#define DISCOVERY_SETTLE_TIME (1500 * PD_MSEC)
#define LOAD_MIN 0.1 /* engines' worth; less is no load */
/* Requests in progress rise and fall faster than engines start and stop. */
#define RISE_WEIGHT 0.1
#define FALL_WEIGHT 0.02
/* How long a zone that had none to give is not counted on. */
#define REFUSAL_TTL (3 * PD_SEC)
/*
 * The fleet shrinks only after it was too large for so long, and once in such a
 * time. Each change drains engines and loses what they have cached: a fleet that
 * followed the load up and down served 85 in 100 in time where one of constant
 * size and the same price served 91. Held for two minutes instead, a fleet that a
 * first wave had made too large cost 0.01 more of worth.
 */
#define SHRINK_DELAY (20 * PD_SEC)

/* Of upstreams that a zone refuses so many are asked for still, to see when it has some. */
#define PROBE_COUNT 1
/* Granted upstreams serve so much after their boot time at the latest. */
#define BOOT_MARGIN PD_SEC

typedef struct zone_state {
	char *zone;
	pd_time_t refused_until;
	unsigned int granted; /* reclaimable, with the last order that was taken */
	pd_time_t granted_at;
	unsigned int on_demand; /* as planned last */
	unsigned int reclaimable;
} zone_state_t;

struct scale_plan {
	GArray *zones; /* of zone_state_t */
	pd_time_t load_seen_at; /* when load was first seen; 0: not yet */
	double initial_count; /* upstreams that were there before any load */
	double initial_load; /* engines' worth of load that they speak of */
	pd_time_t count_grew_at; /* when there were last more than before */
	bool initialized; /* a plan was made, on the numbers found */
	double running; /* requests in progress, smoothed */
	double held_load; /* engines' worth of load that is planned for */
	double restored_load; /* the same, as an earlier holder noted it; 0: not known */
	pd_time_t below_since;
	scale_basis_t basis;
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
 * Takes over the load that an earlier holder of the duty planned for. Without it
 * a new holder takes what it finds for the size that was meant, and if that is in
 * the middle of a shortage, it lets lasting ones go.
 */
void scale_plan_restore(scale_plan_t *plan, double planned_load)
{
	if (planned_load > 0 && isfinite(planned_load))
		plan->restored_load = planned_load;
}

/* Returns what the last plan was made by. */
const scale_basis_t *scale_plan_basis(const scale_plan_t *plan)
{
	return &plan->basis;
}

/* Notes that a zone had no reclaimable upstream to give. */
void scale_plan_mark_refused(scale_plan_t *plan, const char *zone, pd_time_t now)
{
	plan_zone(plan, zone)->refused_until = now + REFUSAL_TTL;
}

/* Notes that a zone's order for NUMBER reclaimable upstreams was taken. */
void scale_plan_mark_granted(scale_plan_t *plan, const char *zone,
			     unsigned int number, pd_time_t now)
{
	zone_state_t *state = plan_zone(plan, zone);

	state->granted = number;
	state->granted_at = now;
}

/* Returns how many serve in a zone, or in all if that is NULL. */
unsigned int scale_plan_count_serving(forward_upstreams_t *upstreams,
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
			sum += forward_upstream_running(upstream);
	}
	return sum;
}

/*
 * Returns how many engines the load would keep busy: by the work sent to them,
 * or by the places that requests in progress take.
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
	/* What was turned away would have taken as many places as the rest. */
	slots = plan->running / MAX(service->engine_slots, 1) * SLOTS_FACTOR *
		requested / MAX(demand->sent, 1);
	return MAX(demand->rate > 0 ? requested / demand->rate : 0, slots);
}

/* Says whether the load has been seen for long enough to go by it. */
static bool plan_is_measured(const scale_plan_t *plan, pd_time_t now)
{
	return plan->load_seen_at && now - plan->load_seen_at >= INITIAL_SIZE_TTL;
}

/* Returns the load to plan for: what is seen, or what the fleet was made for. */
static double plan_hold_load(scale_plan_t *plan, double load, double count,
			     pd_time_t now)
{
	if (!plan->count_grew_at)
		plan->count_grew_at = now;
	/* What was ordered since says nothing of the size that was meant. */
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
	if (load >= plan->held_load) {
		plan->held_load = load;
		plan->below_since = now;
	} else if (now - plan->below_since > SHRINK_DELAY) {
		plan->held_load = load;
		plan->below_since = now;
	}
	return plan->held_load;
}

static double zone_price(const forward_service_t *service, guint i)
{
	return g_array_index(service->zone_prices, forward_zone_price_t, i).price;
}

static unsigned int zone_count(const scale_zone_t *zone, bool reclaimable)
{
	return reclaimable ? zone->reclaimable : zone->on_demand;
}

static void zone_change_count(scale_zone_t *zone, bool reclaimable, int by)
{
	if (reclaimable)
		zone->reclaimable = (unsigned int)((int)zone->reclaimable + by);
	else
		zone->on_demand = (unsigned int)((int)zone->on_demand + by);
}

/* Gives one more of a kind to the zone that has least of it, the cheapest. */
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

/* Takes one of a kind from the zone that has most of it, the dearest. */
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

/* Returns how many of a kind all zones have. */
static unsigned int zones_total(const scale_zone_t *zones, unsigned int count,
				bool reclaimable)
{
	unsigned int sum = 0;

	for (unsigned int i = 0; i < count; i++)
		sum += zone_count(&zones[i], reclaimable);
	return sum;
}

/* Brings the sum of a kind to what is wanted, with as few moves as it takes. */
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

/* How many of each kind there should be in all zones. */
typedef struct scale_totals {
	unsigned int on_demand;
	unsigned int on_demand_min; /* in place of others, if there is no room */
	unsigned int reclaimable;
} scale_totals_t;

static unsigned int round_up(double number)
{
	return (unsigned int)ceil(MAX(number, 0));
}

/*
 * NEED is the load that the fleet is held for, LOAD what is seen at present; a
 * shortage is answered by that, as it is soon over.
 */
static scale_totals_t plan_totals(double planned_load, double load,
				  unsigned int on_demand_now,
				  unsigned int reclaimable_now, bool shortage)
{
	unsigned int total = round_up(planned_load * FLEET_FACTOR);
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
	/* None is let go before those that take its place serve. */
	totals.on_demand = MAX(totals.on_demand, MIN(on_demand_now, missing));
	return totals;
}

/* Begins with the numbers last planned, at first with those that are there. */
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

static bool plan_has_shortage(const scale_plan_t *plan, pd_time_t now)
{
	for (guint i = 0; i < plan->zones->len; i++) {
		if (now < g_array_index(plan->zones, zone_state_t, i).refused_until)
			return true;
	}
	return false;
}

/* Returns how many reclaimable upstreams a zone has, with those that boot. */
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
 * Counts for each zone how many of the planned reclaimable upstreams it refuses, but
 * for the few that are asked for still.
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
 * Puts lasting upstreams in the place of reclaimable ones that are refused, where a
 * zone may have no more otherwise, until there are as many as WANTED. Orders that
 * nothing comes of would keep a fleet small for as long as the shortage is.
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
 * Fills in what should be in each zone; returns how many zones, 0 while it is
 * too early to say. The plan says what is wanted, whatever is there, so an
 * order given twice changes nothing.
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
		plan_hold_load(plan, load, on_demand_now + reclaimable_now, now);
	bool shortage = plan_has_shortage(plan, now);
	scale_totals_t totals =
		plan_totals(planned_load,
			    plan_is_measured(plan, now) ? load : planned_load,
			    on_demand_now, reclaimable_now, shortage);
	unsigned int refused[SCALE_ZONES_MAX];
	unsigned int count;

	plan->basis = (scale_basis_t){ planned_load, load, demand->rate, shortage };
	/* The fleet is still listing itself. */
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
