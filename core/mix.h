/*
 * Chooses how many VMs to keep of each offer: which zone, which machine class,
 * reclaimable or on demand. placement-notes.md gives what was weighed.
 */
#ifndef PISTACHIO_MIX_H
#define PISTACHIO_MIX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MIX_ZONES_MAX 16

/* The rules but the first are there to be measured against. */
typedef enum mix_rule {
	MIX_SWEEP, /* the cheapest over bounds on a zone's share */
	MIX_EVEN, /* the same share for each zone */
	MIX_ON_DEMAND, /* as MIX_SWEEP, of on-demand VMs alone */
	MIX_CHEAPEST /* the lowest price, whatever may be lost with it */
} mix_rule_t;

/* What the VMs of one target must be able to do. */
typedef struct mix_need {
	unsigned int slots; /* requests side by side */
	unsigned int urgent; /* of these, when spare_zones zones are lost */
	unsigned int min_vms;
	unsigned int max_vms;
	unsigned int spare_zones;
	unsigned int reclaimable_percent; /* of the VMs, at most */
	unsigned int other_vms; /* of other targets; they count for the share */
	unsigned int other_reclaimable;
} mix_need_t;

/* One offer of the cloud, and how many VMs of it there are. */
typedef struct mix_option {
	unsigned int zone; /* an index below MIX_ZONES_MAX */
	unsigned int slots; /* of one VM, at least 1 */
	bool reclaimable;
	int64_t price;
	unsigned int current;
	unsigned int min; /* that can't be given back */
	unsigned int max; /* that can be had */
	unsigned int desired; /* the answer */
} mix_option_t;

void mix_choose(mix_rule_t rule, const mix_need_t *need, mix_option_t *options,
		size_t count);

#endif
