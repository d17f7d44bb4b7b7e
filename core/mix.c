/*
 * Allocates greedily, one VM at a time, the cheapest per slot first, under a
 * limit on each zone's slots and with a number of on-demand VMs first; and
 * takes the best result over several limits and numbers. The sweep follows the
 * search of Verma, Cherkasova and Campbell ("Resource Provisioning Framework
 * for MapReduce Jobs with Performance Goals"): step through one resource, solve
 * for the other, keep the cheapest point that meets the goal.
 */
#include "core/mix.h"

#include <glib.h>
#include <string.h>

/* Number of zone limits, and of numbers of on-demand VMs, to try. */
#define SWEEP_STEPS 16
/*
 * Discount on the price of existing VMs, in per cent. Without it price swings
 * would have VMs swapped back and forth; each swap is paid twice while the new
 * VM starts, and moves streams.
 */
#define KEEP_DISCOUNT_PERCENT 15

/*
 * The quality of an allocation. Compared field by field in this order; less is
 * better.
 */
typedef struct score {
	unsigned int missing_slots; /* slots, plus VMs below min_vms */
	unsigned int urgent_shortfall; /* urgent slots, when zones are lost */
	int64_t cost;
} score_t;

typedef struct allocation {
	const mix_need_t *need;
	mix_option_t *options;
	size_t count;
	unsigned int zone_slots[MIX_ZONES_MAX];
	unsigned int slots;
	unsigned int vms;
	unsigned int reclaimable;
	int64_t cost;
	unsigned int zone_slots_max; /* full zones get no more VMs */
	bool respects_zone_loss;
	bool respects_reclaimable_share;
	bool only_on_demand;
	bool cheapest_vm_first; /* else by price per slot */
} allocation_t;

/* Returns the price of one more VM, with the discount if it exists already. */
static int64_t option_price(const mix_option_t *option)
{
	if (option->desired < option->current)
		return option->price * (100 - KEEP_DISCOUNT_PERCENT) / 100;
	return option->price;
}

/* Adds one VM of OPTION. */
static void allocation_add(allocation_t *allocation, mix_option_t *option)
{
	allocation->cost += option_price(option);
	option->desired++;
	allocation->vms++;
	allocation->slots += option->slots;
	allocation->zone_slots[option->zone] += option->slots;
	allocation->reclaimable += option->reclaimable;
}

/* Returns the slots that remain after losing the fullest spare_zones zones. */
static unsigned int allocation_slots_after_loss(const allocation_t *allocation)
{
	unsigned int left = allocation->slots;
	bool lost[MIX_ZONES_MAX] = { false };

	for (unsigned int n = 0; n < allocation->need->spare_zones; n++) {
		int fullest = -1;

		for (int i = 0; i < MIX_ZONES_MAX; i++) {
			if (!lost[i] && (fullest < 0 ||
					 allocation->zone_slots[i] >
						 allocation->zone_slots[fullest]))
				fullest = i;
		}
		if (fullest < 0)
			break;
		lost[fullest] = true;
		left -= allocation->zone_slots[fullest];
	}
	return left;
}

/* Returns by how much HAVE falls short of NEED; 0 if it does not. */
static unsigned int shortfall(unsigned int need, unsigned int have)
{
	return need > have ? need - have : 0;
}

/* Returns the urgent slots that are missing after the loss of zones. */
static unsigned int allocation_urgent_shortfall(const allocation_t *allocation)
{
	if (!allocation->respects_zone_loss)
		return 0;
	return shortfall(allocation->need->urgent,
			 allocation_slots_after_loss(allocation));
}

/* Returns how many slots have to be added. */
static unsigned int allocation_shortfall(const allocation_t *allocation)
{
	unsigned int missing_slots =
		shortfall(allocation->need->slots, allocation->slots);

	return MAX(missing_slots, allocation_urgent_shortfall(allocation));
}

/*
 * Returns whether one more reclaimable VM stays within their share of all VMs.
 */
static bool allocation_allows_reclaimable(const allocation_t *allocation)
{
	const mix_need_t *need = allocation->need;
	unsigned int reclaimable = allocation->reclaimable + need->other_reclaimable;
	unsigned int vms = allocation->vms + need->other_vms;

	return !allocation->respects_reclaimable_share ||
	       (reclaimable + 1) * 100 <= (vms + 1) * need->reclaimable_percent;
}

/* Returns whether one more VM of OPTION may be added. */
static bool allocation_allows(const allocation_t *allocation,
			      const mix_option_t *option)
{
	if (option->desired >= option->max ||
	    allocation->zone_slots[option->zone] >= allocation->zone_slots_max)
		return false;
	if (!option->reclaimable)
		return true;
	return !allocation->only_on_demand &&
	       allocation_allows_reclaimable(allocation);
}

/*
 * Returns whether A is the better buy for SLOTS_NEEDED: slots beyond that have
 * no value, so with 1 only the price counts. If both are equal, the one in the
 * zone with fewer slots wins, so that VMs are spread.
 */
static bool is_better_buy(const allocation_t *allocation, const mix_option_t *a,
			  const mix_option_t *b, unsigned int slots_needed)
{
	int64_t left = option_price(a) * (int64_t)MIN(b->slots, slots_needed);
	int64_t right = option_price(b) * (int64_t)MIN(a->slots, slots_needed);

	if (left != right)
		return left < right;
	return allocation->zone_slots[a->zone] < allocation->zone_slots[b->zone];
}

/*
 * Returns the best option to add, or NULL. ON_DEMAND excludes reclaimable ones.
 */
static mix_option_t *allocation_pick_option(const allocation_t *allocation,
					    bool on_demand)
{
	bool by_price = on_demand && allocation->cheapest_vm_first;
	unsigned int slots_needed =
		by_price ? 1 : MAX(allocation_shortfall(allocation), 1);
	mix_option_t *best = NULL;

	for (size_t i = 0; i < allocation->count; i++) {
		mix_option_t *option = &allocation->options[i];

		if (!allocation_allows(allocation, option) ||
		    (on_demand && option->reclaimable))
			continue;
		if (!best || is_better_buy(allocation, option, best, slots_needed))
			best = option;
	}
	return best;
}

/* Returns whether no VM has to, or may, be added. */
static bool allocation_is_complete(const allocation_t *allocation)
{
	return allocation->vms >= allocation->need->max_vms ||
	       (allocation->vms >= allocation->need->min_vms &&
		!allocation_shortfall(allocation));
}

/* Resets the allocation to the VMs that must be kept. */
static void allocation_reset(allocation_t *allocation, unsigned int zone_slots_max)
{
	memset(allocation->zone_slots, 0, sizeof(allocation->zone_slots));
	allocation->slots = 0;
	allocation->vms = 0;
	allocation->reclaimable = 0;
	allocation->cost = 0;
	allocation->zone_slots_max = zone_slots_max;
	for (size_t i = 0; i < allocation->count; i++) {
		allocation->options[i].desired = 0;
		while (allocation->options[i].desired < allocation->options[i].min)
			allocation_add(allocation, &allocation->options[i]);
	}
}

/*
 * Allocates VMs, the first ON_DEMAND of them on demand; returns the score. Sets
 * the desired number of each option.
 */
static score_t allocation_fill(allocation_t *allocation,
			       unsigned int zone_slots_max, unsigned int on_demand)
{
	score_t score;

	allocation_reset(allocation, zone_slots_max);
	while (!allocation_is_complete(allocation)) {
		bool first = allocation->vms - allocation->reclaimable < on_demand;
		mix_option_t *option = allocation_pick_option(allocation, first);

		if (!option && first)
			option = allocation_pick_option(allocation, false);
		if (!option)
			break;
		allocation_add(allocation, option);
	}
	score.missing_slots =
		shortfall(allocation->need->slots, allocation->slots) +
		shortfall(allocation->need->min_vms, allocation->vms);
	score.urgent_shortfall = allocation_urgent_shortfall(allocation);
	score.cost = allocation->cost;
	return score;
}

/* Returns whether A is better than B. */
static bool score_is_less(const score_t *a, const score_t *b)
{
	if (a->missing_slots != b->missing_slots)
		return a->missing_slots < b->missing_slots;
	if (a->urgent_shortfall != b->urgent_shortfall)
		return a->urgent_shortfall < b->urgent_shortfall;
	return a->cost < b->cost;
}

typedef struct sweep {
	score_t best;
	unsigned int zone_slots_max;
	unsigned int on_demand;
	bool cheapest_vm_first;
	bool has_best;
} sweep_t;

/*
 * Allocates with these parameters and keeps them if they are the best so far.
 */
static void sweep_try(sweep_t *sweep, allocation_t *allocation,
		      unsigned int zone_slots_max, unsigned int on_demand)
{
	score_t score = allocation_fill(allocation, zone_slots_max, on_demand);

	if (sweep->has_best && !score_is_less(&score, &sweep->best))
		return;
	sweep->has_best = true;
	sweep->best = score;
	sweep->zone_slots_max = zone_slots_max;
	sweep->on_demand = on_demand;
	sweep->cheapest_vm_first = allocation->cheapest_vm_first;
}

/* Tries several numbers of on-demand VMs, up to the number of VMs needed. */
static void sweep_on_demand(sweep_t *sweep, allocation_t *allocation,
			    unsigned int zone_slots_max)
{
	unsigned int on_demand_max;
	unsigned int step;

	allocation_fill(allocation, zone_slots_max, 0);
	on_demand_max = allocation->vms;
	step = MAX(1, (on_demand_max + SWEEP_STEPS - 1) / SWEEP_STEPS);
	/*
	 * The share of reclaimable VMs counts VMs, not slots: small ones on
	 * demand make room for large reclaimable ones.
	 */
	for (unsigned int n = 0; n <= on_demand_max; n += step) {
		allocation->cheapest_vm_first = false;
		sweep_try(sweep, allocation, zone_slots_max, n);
		allocation->cheapest_vm_first = true;
		sweep_try(sweep, allocation, zone_slots_max, n);
	}
	allocation->cheapest_vm_first = false;
}

/* Returns the number of zones that have options, at least 1. */
static unsigned int count_zones(const mix_option_t *options, size_t count)
{
	bool seen[MIX_ZONES_MAX] = { false };
	unsigned int zones = 0;

	for (size_t i = 0; i < count; i++) {
		zones += !seen[options[i].zone];
		seen[options[i].zone] = true;
	}
	return MAX(zones, 1);
}

/* Returns the largest number of slots of a VM, at least 1. */
static unsigned int max_slots(const mix_option_t *options, size_t count)
{
	unsigned int largest = 1;

	for (size_t i = 0; i < count; i++)
		largest = MAX(largest, options[i].slots);
	return largest;
}

/*
 * Tries several limits of a zone's slots, from an even spread to no spread;
 * with EVEN, the first only.
 */
static void sweep_zone_limits(sweep_t *sweep, allocation_t *allocation, bool even)
{
	const mix_need_t *need = allocation->need;
	unsigned int zones = count_zones(allocation->options, allocation->count);
	unsigned int zones_after_loss =
		MAX(1, zones - MIN(zones, need->spare_zones));
	unsigned int vms = need->min_vms *
			   max_slots(allocation->options, allocation->count);
	unsigned int all = MAX(MAX(need->slots, need->urgent), vms);
	unsigned int low = MAX(1, MAX((all + zones - 1) / zones,
				      (need->urgent + zones_after_loss - 1) /
					      zones_after_loss));
	unsigned int high = MAX(low, all);
	unsigned int step = MAX(1, (high - low) / SWEEP_STEPS);

	for (unsigned int zone_slots_max = low; zone_slots_max <= high;
	     zone_slots_max += step) {
		sweep_on_demand(sweep, allocation, zone_slots_max);
		if (even)
			break;
	}
	/*
	 * If zones or classes refuse starts, the limits tried may all be too
	 * tight.
	 */
	if (sweep->best.missing_slots)
		sweep_on_demand(sweep, allocation, UINT_MAX);
}

/* Sets the desired number of each option; nothing else in OPTIONS changes. */
void mix_choose(mix_rule_t rule, const mix_need_t *need, mix_option_t *options,
		size_t count)
{
	allocation_t allocation = { .need = need, .options = options, .count = count };
	sweep_t sweep = { .has_best = false };

	allocation.respects_zone_loss = rule != MIX_CHEAPEST;
	allocation.respects_reclaimable_share = rule != MIX_CHEAPEST;
	switch (rule) {
	case MIX_CHEAPEST:
		sweep_try(&sweep, &allocation, UINT_MAX, 0);
		break;
	case MIX_EVEN:
		sweep_zone_limits(&sweep, &allocation, true);
		break;
	case MIX_ON_DEMAND:
		allocation.only_on_demand = true;
		sweep_zone_limits(&sweep, &allocation, false);
		break;
	case MIX_SWEEP:
		sweep_zone_limits(&sweep, &allocation, false);
		break;
	}
	allocation.cheapest_vm_first = sweep.cheapest_vm_first;
	allocation_fill(&allocation, sweep.zone_slots_max, sweep.on_demand);
}
