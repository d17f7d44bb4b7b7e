/* The in-memory cloud of the placement benchmark. */
#include "bench/placement_cloud.h"

#include <glib.h>
#include <string.h>

#define ZONE_COUNT 4
#define CLASS_COUNT 2
#define KIND_COUNT 2
#define OFFER_COUNT (ZONE_COUNT * CLASS_COUNT * KIND_COUNT)
#define VMS_MAX 4096
#define RECLAIM_COUNT 3
#define PRICE_UNIT 1e6
#define BOOT_SECONDS 60
#define WEIGHTS_SECONDS 10 /* that the weight store takes for one VM */
#define NOTICE_SECONDS 30
#define START_REFUSAL_SECONDS 600
#define DRAIN_SECONDS 20
#define PRICE_CHANGE_SECONDS 1800
#define SECOND_ZONE_DELAY_SECONDS 40

typedef enum cloud_vm_state {
	TERMINATED,
	STARTING,
	LIVE,
	DRAINING,
	LEAVING
} cloud_vm_state_t;

typedef struct cloud_vm {
	char id[16];
	char tag[48];
	unsigned int offer;
	cloud_vm_state_t state;
	unsigned int at; /* second at which the state ends */
} cloud_vm_t;

typedef struct reclaim {
	unsigned int at;
	unsigned int zone;
	int second_zone; /* -1: none */
} reclaim_t;

struct cloud {
	const char *const *zones;
	GRand *random;
	offer_t offers[OFFER_COUNT];
	unsigned int price_changes_at[OFFER_COUNT];
	unsigned int starts_refused_until[ZONE_COUNT]; /* for reclaimable VMs */
	reclaim_t reclaims[RECLAIM_COUNT];
	cloud_vm_t vms[VMS_MAX];
	unsigned int count;
	unsigned int weights_busy_until; /* the weight store */
	unsigned int version;
	vm_t list[VMS_MAX + CLOUD_SERVICE_VMS];
	double cost;
};

/* Returns the index of the zone of an offer. */
static unsigned int offer_zone(unsigned int offer)
{
	return offer / (CLASS_COUNT * KIND_COUNT);
}

/*
 * Sets a new price and the time of the next change. On-demand prices differ by
 * up to a tenth between zones; reclaimable VMs cost 0.2 to 0.5 of that.
 */
static void set_price(cloud_t *cloud, unsigned int i)
{
	static const double base[CLASS_COUNT] = { 1.0, 1.9 };
	offer_t *offer = &cloud->offers[i];
	double zone = 1 + 0.03 * offer_zone(i);
	double price = base[i / KIND_COUNT % CLASS_COUNT] * zone;

	if (offer->reclaimable)
		price *= 0.2 + 0.3 * g_rand_double(cloud->random);
	offer->price = (int64_t)(price * PRICE_UNIT);
	cloud->price_changes_at[i] +=
		(unsigned int)(PRICE_CHANGE_SECONDS / 2.0 +
			       PRICE_CHANGE_SECONDS * g_rand_double(cloud->random));
}

/* Creates one offer for each zone, class and kind. */
static void create_offers(cloud_t *cloud)
{
	static const char *const classes[CLASS_COUNT] = { "small", "large" };
	static const unsigned int slots[CLASS_COUNT] = { 8, 16 };

	for (unsigned int i = 0; i < OFFER_COUNT; i++) {
		unsigned int class_index = i / KIND_COUNT % CLASS_COUNT;

		cloud->offers[i] = (offer_t){
			.zone = (char *)cloud->zones[offer_zone(i)],
			.machine_class = (char *)classes[class_index],
			.reclaimable = i % KIND_COUNT == 1,
			.slots = slots[class_index],
		};
		set_price(cloud, i);
	}
}

/*
 * Schedules the reclaims of the day. One of them takes two zones within a
 * minute, the others one.
 */
static void schedule_reclaims(cloud_t *cloud, unsigned int seconds)
{
	for (int i = 0; i < RECLAIM_COUNT; i++) {
		reclaim_t *reclaim = &cloud->reclaims[i];
		double part = (i + g_rand_double(cloud->random)) / RECLAIM_COUNT;

		reclaim->at = (unsigned int)(part * seconds);
		reclaim->zone = (unsigned int)g_rand_int_range(cloud->random, 0,
							       ZONE_COUNT);
		reclaim->second_zone =
			i == 1 ? (int)((reclaim->zone + 1) % ZONE_COUNT) : -1;
	}
}

/*
 * Creates a cloud with four ZONES, borrowed, for a day of SECONDS. The caller
 * owns it.
 */
cloud_t *cloud_create(const char *const *zones, uint32_t seed, unsigned int seconds)
{
	cloud_t *cloud = g_new0(cloud_t, 1);

	cloud->zones = zones;
	cloud->random = g_rand_new_with_seed(seed);
	cloud->version = 1;
	create_offers(cloud);
	schedule_reclaims(cloud, seconds);
	return cloud;
}

/* Frees a cloud. */
void cloud_destroy(cloud_t *cloud)
{
	g_rand_free(cloud->random);
	g_free(cloud);
}

/*
 * Sends the reclaim notice to all reclaimable VMs of a zone, and refuses new
 * ones there for a time.
 */
static void reclaim_zone(cloud_t *cloud, unsigned int zone, unsigned int second)
{
	cloud->starts_refused_until[zone] = second + START_REFUSAL_SECONDS;
	for (unsigned int i = 0; i < cloud->count; i++) {
		cloud_vm_t *vm = &cloud->vms[i];

		if (vm->state == TERMINATED || vm->state == LEAVING ||
		    offer_zone(vm->offer) != zone ||
		    !cloud->offers[vm->offer].reclaimable)
			continue;
		vm->state = LEAVING;
		vm->at = second + NOTICE_SECONDS;
		cloud->version++;
	}
}

/* Adds the cost of a VM for one second and ends a state that is due. */
static void step_vm(cloud_t *cloud, cloud_vm_t *vm, unsigned int second)
{
	if (vm->state == TERMINATED)
		return;
	cloud->cost += (double)cloud->offers[vm->offer].price / PRICE_UNIT / 3600;
	if (vm->state == STARTING && second >= vm->at) {
		vm->state = LIVE;
		cloud->version++;
	} else if (vm->state == LEAVING && second >= vm->at) {
		vm->state = TERMINATED;
		cloud->version++;
	}
}

/* Advances the cloud by one second. */
void cloud_step(cloud_t *cloud, unsigned int second)
{
	for (unsigned int i = 0; i < OFFER_COUNT; i++) {
		if (second >= cloud->price_changes_at[i])
			set_price(cloud, i);
	}
	for (int i = 0; i < RECLAIM_COUNT; i++) {
		const reclaim_t *reclaim = &cloud->reclaims[i];

		if (second == reclaim->at)
			reclaim_zone(cloud, reclaim->zone, second);
		if (reclaim->second_zone >= 0 &&
		    second == reclaim->at + SECOND_ZONE_DELAY_SECONDS)
			reclaim_zone(cloud, (unsigned int)reclaim->second_zone,
				     second);
	}
	for (unsigned int i = 0; i < cloud->count; i++)
		step_vm(cloud, &cloud->vms[i], second);
}

/* Returns the index of the offer that matches an intent, or -1. */
static int find_offer(const cloud_t *cloud, const intent_t *intent)
{
	for (unsigned int i = 0; i < OFFER_COUNT; i++) {
		const offer_t *offer = &cloud->offers[i];

		if (!strcmp(offer->zone, intent->zone) &&
		    !strcmp(offer->machine_class, intent->machine_class) &&
		    offer->reclaimable == intent->reclaimable)
			return (int)i;
	}
	return -1;
}

/*
 * Starts a VM. Returns STORE_DOWN if the start is refused. Weights are loaded
 * by one VM after another.
 */
store_status_t cloud_buy(cloud_t *cloud, const intent_t *intent, unsigned int second)
{
	int offer = find_offer(cloud, intent);
	cloud_vm_t *vm;

	if (offer < 0 || cloud->count == VMS_MAX)
		return STORE_DOWN;
	if (intent->reclaimable &&
	    second < cloud->starts_refused_until[offer_zone((unsigned int)offer)])
		return STORE_DOWN;
	vm = &cloud->vms[cloud->count++];
	g_snprintf(vm->id, sizeof(vm->id), "vm-%u", cloud->count);
	g_strlcpy(vm->tag, intent->tag, sizeof(vm->tag));
	vm->offer = (unsigned int)offer;
	vm->state = STARTING;
	cloud->weights_busy_until =
		MAX(cloud->weights_busy_until, second + BOOT_SECONDS) +
		WEIGHTS_SECONDS;
	vm->at = cloud->weights_busy_until;
	cloud->version++;
	return STORE_OK;
}

/* Returns the VM with that id, or NULL. */
static cloud_vm_t *find_vm(cloud_t *cloud, const char *vm_id)
{
	for (unsigned int i = 0; i < cloud->count; i++) {
		if (!strcmp(cloud->vms[i].id, vm_id))
			return &cloud->vms[i];
	}
	return NULL;
}

/* Terminates a VM, which must exist. */
void cloud_release(cloud_t *cloud, const char *vm_id)
{
	find_vm(cloud, vm_id)->state = TERMINATED;
	cloud->version++;
}

/* Begins to drain a live VM. Returns 1 while it still has requests, else 0. */
unsigned int cloud_drain(cloud_t *cloud, const char *vm_id, unsigned int second)
{
	cloud_vm_t *vm = find_vm(cloud, vm_id);

	if (vm->state == LIVE) {
		vm->state = DRAINING;
		vm->at = second + DRAIN_SECONDS;
	}
	return vm->state == DRAINING && second < vm->at;
}

/* Returns the offers at current prices, borrowed. */
const offer_t *cloud_offers(const cloud_t *cloud, size_t *count)
{
	*count = OFFER_COUNT;
	return cloud->offers;
}

/* Returns a number that increases when the VM list changes. */
unsigned int cloud_list_version(const cloud_t *cloud)
{
	return cloud->version;
}

/* Returns the VM list, borrowed until the next call. */
const vm_t *cloud_list(cloud_t *cloud, size_t *count)
{
	static const vm_state_t states[] = {
		[STARTING] = VM_STARTING,
		[LIVE] = VM_LIVE,
		[DRAINING] = VM_LIVE,
		[LEAVING] = VM_LEAVING,
	};

	for (*count = 0; *count < CLOUD_SERVICE_VMS; (*count)++) {
		cloud->list[*count] = (vm_t){ .id = (char *)"service",
					      .zone = (char *)cloud->zones[*count],
					      .machine_class = (char *)"small",
					      .address = (char *)"127.0.0.1",
					      .serves = (char *)"s",
					      .role = VM_SERVICE,
					      .state = VM_LIVE,
					      .slots = 8 };
	}
	for (unsigned int i = 0; i < cloud->count; i++) {
		cloud_vm_t *vm = &cloud->vms[i];
		const offer_t *offer = &cloud->offers[vm->offer];

		if (vm->state == TERMINATED)
			continue;
		cloud->list[(*count)++] =
			(vm_t){ .id = vm->id,
				.tag = vm->tag,
				.zone = offer->zone,
				.machine_class = offer->machine_class,
				.address = (char *)"127.0.0.1",
				.serves = (char *)CLOUD_TARGET,
				.role = VM_MODEL,
				.state = states[vm->state],
				.reclaimable = offer->reclaimable,
				.slots = offer->slots };
	}
	return cloud->list;
}

/* Returns the number of slots of all live VMs. */
double cloud_live_slots(const cloud_t *cloud)
{
	double slots = 0;

	for (unsigned int i = 0; i < cloud->count; i++) {
		if (cloud->vms[i].state == LIVE)
			slots += cloud->offers[cloud->vms[i].offer].slots;
	}
	return slots;
}

/* Returns the total cost of all VMs so far. */
double cloud_cost(const cloud_t *cloud)
{
	return cloud->cost;
}

/* Returns the lowest hourly price of a slot. */
double cloud_min_slot_price(const cloud_t *cloud, bool reclaimable)
{
	double best = G_MAXDOUBLE;

	for (unsigned int i = 0; i < OFFER_COUNT; i++) {
		const offer_t *offer = &cloud->offers[i];
		double price = (double)offer->price / PRICE_UNIT / offer->slots;

		if (offer->reclaimable == reclaimable)
			best = MIN(best, price);
	}
	return best;
}

/* Returns the hourly price of the cheapest whole VMs that meet NEED. */
double cloud_min_price(const cloud_t *cloud, const mix_need_t *need)
{
	mix_option_t options[OFFER_COUNT];
	double price = 0;

	for (unsigned int i = 0; i < OFFER_COUNT; i++) {
		const offer_t *offer = &cloud->offers[i];

		options[i] = (mix_option_t){ .zone = offer_zone(i),
					     .slots = offer->slots,
					     .reclaimable = offer->reclaimable,
					     .price = offer->price,
					     .max = UINT32_MAX };
	}
	mix_choose(MIX_SWEEP, need, options, OFFER_COUNT);
	for (unsigned int i = 0; i < OFFER_COUNT; i++)
		price += options[i].desired * (double)options[i].price / PRICE_UNIT;
	return price;
}
