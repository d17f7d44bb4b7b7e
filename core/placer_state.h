/* State shared by the modules of the placer's core. Internal to them. */
#ifndef PISTACHIO_PLACER_STATE_H
#define PISTACHIO_PLACER_STATE_H

#include "core/demand_window.h"
#include "core/lease.h"
#include "core/offers.h"
#include "core/placer.h"

/*
 * The VM list lags: a purchase whose tag is not listed after this time failed.
 */
#define LIST_LAG_MAX (15 * PD_SEC)

struct placer {
	char *id;
	mix_rule_t rule;
	GPtrArray *zones; /* of char * */
	GRand *random;
	lease_t *lease;
	offers_t *offers;
	bundle_t *bundle;
	GPtrArray *vms; /* of vm_t *, from the latest list */
	bool vm_list_is_current;
	GHashTable *orders; /* tag -> order_t, owned */
	GHashTable *demand; /* target -> demand_window_t, owned */
	uint64_t tag_counter;
	pd_time_t next_placement_at; /* when placement runs next */
	pd_time_t now;
	list_node_t *actions;
};

void placer_log_decision(placer_t *placer, const char *choice, const char *reason);
const vm_t *placer_find_vm(const placer_t *placer, const char *id);
const vm_t *placer_find_vm_by_tag(const placer_t *placer, const char *tag);

GHashTable *orders_create(void);
void orders_run(placer_t *placer);
void orders_handle_purchase_reply(placer_t *placer, const char *tag,
				  store_status_t status);
void orders_handle_engine_reply(placer_t *placer, const char *vm_id,
				store_status_t status, unsigned int running);
char *orders_release_tag(const char *vm_id);

void placement_run(placer_t *placer);

#endif
