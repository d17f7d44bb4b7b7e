/* An in-memory cloud with changing prices, zone reclaims and VM starts. */
#ifndef PISTACHIO_PLACEMENT_CLOUD_H
#define PISTACHIO_PLACEMENT_CLOUD_H

#include "core/mix.h"
#include "ports/placer_event.h"

#define CLOUD_TARGET "m"
/* On-demand VMs of a service, one in each zone. */
#define CLOUD_SERVICE_VMS 4

typedef struct cloud cloud_t;

cloud_t *cloud_create(const char *const *zones, uint32_t seed,
		      unsigned int seconds);
void cloud_destroy(cloud_t *cloud);
void cloud_step(cloud_t *cloud, unsigned int second);
store_status_t cloud_buy(cloud_t *cloud, const intent_t *intent,
			 unsigned int second);
void cloud_release(cloud_t *cloud, const char *vm_id);
unsigned int cloud_drain(cloud_t *cloud, const char *vm_id, unsigned int second);
const offer_t *cloud_offers(const cloud_t *cloud, size_t *count);
unsigned int cloud_list_version(const cloud_t *cloud);
const vm_t *cloud_list(cloud_t *cloud, size_t *count);
double cloud_live_slots(const cloud_t *cloud);
double cloud_cost(const cloud_t *cloud);
double cloud_min_slot_price(const cloud_t *cloud, bool reclaimable);
double cloud_min_price(const cloud_t *cloud, const mix_need_t *need);

#endif
