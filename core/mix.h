/*
 * Chooses how many VMs to keep of each offer: which zone, which machine class,
 * reclaimable or on demand. placement-notes.md compares the alternatives.
 */
#ifndef PISTACHIO_MIX_H
#define PISTACHIO_MIX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MIX_ZONES_MAX 16

/* The rules. All but the first exist for comparison in benchmarks. */
typedef enum mix_rule {
	MIX_SWEEP, /* parameter sweep over limits of a zone's slots */
	MIX_EVEN, /* equal shares for all zones */
	MIX_ON_DEMAND, /* as MIX_SWEEP, but on-demand VMs only */
	MIX_CHEAPEST /* lowest price, without regard to losses */
} mix_rule_t;

/* The requirements on the VMs of one target. */
typedef struct mix_need {
	unsigned int slots; /* concurrent requests */
	unsigned int urgent; /* of these, after losing spare_zones zones */
	unsigned int min_vms;
	unsigned int max_vms;
	unsigned int spare_zones;
	unsigned int reclaimable_percent; /* limit of the share of VMs */
	unsigned int other_vms; /* of other targets; part of the share */
	unsigned int other_reclaimable;
} mix_need_t;

/* One offer of the cloud and its numbers of VMs. */
typedef struct mix_option {
	unsigned int zone; /* index, less than MIX_ZONES_MAX */
	unsigned int slots; /* per VM, at least 1 */
	bool reclaimable;
	int64_t price;
	unsigned int current;
	unsigned int min; /* must be kept */
	unsigned int max; /* available */
	unsigned int desired; /* result of mix_choose() */
} mix_option_t;

void mix_choose(mix_rule_t rule, const mix_need_t *need, mix_option_t *options,
		size_t count);

#endif
