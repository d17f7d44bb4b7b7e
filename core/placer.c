/*
 * Handles the placer's events. While it holds the lease and the record is
 * synced, it first carries on with the recorded intents (orders.c), then
 * compares the VMs with the demand and records new intents (placement.c).
 */
#include "core/placer.h"

#include <string.h>

#include "core/placer_state.h"
#include "core/upstreams.h"

/* Frees a VM; element destructor of the list. */
static void vm_destroy(void *data)
{
	vm_clear(data);
	g_free(data);
}

/*
 * Returns a placer that does not hold the lease; the caller owns it. CONFIG is
 * copied.
 */
placer_t *placer_create(const placer_config_t *config)
{
	placer_t *placer = g_new0(placer_t, 1);

	placer->id = g_strdup(config->id);
	placer->rule = config->rule;
	placer->zones = g_ptr_array_new_with_free_func(g_free);
	for (size_t i = 0; config->zones[i]; i++)
		g_ptr_array_add(placer->zones, g_strdup(config->zones[i]));
	placer->random = g_rand_new_with_seed(config->seed);
	placer->lease = lease_create(config->id, &lease_timing_placer,
				     g_rand_int(placer->random));
	placer->offers = offers_create(placer->zones, placer->random);
	placer->vms = g_ptr_array_new_with_free_func(vm_destroy);
	placer->orders = orders_create();
	placer->demand =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return placer;
}

/* Frees the placer; its lease expires by itself. NULL is allowed. */
void placer_destroy(placer_t *placer)
{
	if (!placer)
		return;
	lease_destroy(placer->lease);
	offers_destroy(placer->offers);
	bundle_destroy(placer->bundle);
	g_ptr_array_unref(placer->zones);
	g_ptr_array_unref(placer->vms);
	g_hash_table_unref(placer->orders);
	g_hash_table_unref(placer->demand);
	g_rand_free(placer->random);
	g_free(placer->id);
	g_free(placer);
}

/* Returns whether this process held the lease as of its last event. */
bool placer_is_active(const placer_t *placer)
{
	return lease_is_held(placer->lease, placer->now);
}

/* Appends a log entry about a decision to the actions. */
void placer_log_decision(placer_t *placer, const char *choice, const char *reason)
{
	placer_action_t *action = placer_action_create(PLACER_DECISION);

	action->decision.request_id = g_strdup("-");
	action->decision.component = g_strdup("placement");
	action->decision.choice = g_strdup(choice);
	action->decision.reason = g_strdup(reason);
	action->decision.passed_over = g_strdup("");
	list_append(placer->actions, &action->node);
}

/* Returns the listed VM with that id, borrowed, or NULL. */
const vm_t *placer_find_vm(const placer_t *placer, const char *id)
{
	for (guint i = 0; i < placer->vms->len; i++) {
		const vm_t *vm = g_ptr_array_index(placer->vms, i);

		if (!strcmp(vm->id, id))
			return vm;
	}
	return NULL;
}

/* Returns the listed VM that was bought with TAG, borrowed, or NULL. */
const vm_t *placer_find_vm_by_tag(const placer_t *placer, const char *tag)
{
	for (guint i = 0; i < placer->vms->len; i++) {
		const vm_t *vm = g_ptr_array_index(placer->vms, i);

		if (vm->tag && !strcmp(vm->tag, tag))
			return vm;
	}
	return NULL;
}

/*
 * Runs all parts. Whether the lease is synced is checked twice, because orders
 * that finish remove their intents from the record, which has to be written
 * before new intents are added.
 */
static void placer_run(placer_t *placer)
{
	/*
	 * A list from before a takeover lacks the VMs that others bought since.
	 */
	if (!lease_is_held(placer->lease, placer->now))
		placer->vm_list_is_current = false;
	if (lease_is_synced(placer->lease, placer->now) &&
	    placer->vm_list_is_current && placer->bundle)
		orders_run(placer);
	if (lease_is_synced(placer->lease, placer->now) &&
	    placer->vm_list_is_current && placer->bundle)
		placement_run(placer);
	lease_run(placer->lease, placer->now, placer->actions);
}

/* Replaces the list of VMs with copies of VMS. */
static void placer_update_vms(placer_t *placer, const vm_t *vms, size_t count)
{
	g_ptr_array_set_size(placer->vms, 0);
	for (size_t i = 0; i < count; i++) {
		vm_t *copy = g_new0(vm_t, 1);

		vm_copy(copy, &vms[i]);
		g_ptr_array_add(placer->vms, copy);
	}
	placer->vm_list_is_current = true;
	/* VMs may be gone, so placement runs without delay. */
	placer->next_placement_at = 0;
}

/* Adds reports of demand to the windows of their targets. */
static void placer_add_demand(placer_t *placer, const demand_t *demands, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		demand_window_t *window =
			g_hash_table_lookup(placer->demand, demands[i].target);

		if (!window) {
			window = g_new0(demand_window_t, 1);
			g_hash_table_insert(placer->demand,
					    g_strdup(demands[i].target), window);
		}
		demand_window_add(window, demands[i].requests,
				  demands[i].urgent, placer->now);
	}
}

/*
 * Handles one event and appends the resulting actions to ACTIONS, whose items
 * the caller owns.
 */
void placer_handle(placer_t *placer, placer_event_t *event, list_node_t *actions)
{
	placer->now = event->now;
	placer->actions = actions;
	switch (event->kind) {
	case PLACER_TICK:
	case PLACER_STOP:
		break;
	case PLACER_LEASE_REPLY:
		lease_handle_reply(placer->lease, &event->lease, event->now);
		break;
	case PLACER_VM_LIST:
		placer_update_vms(placer, event->vm_list.vms, event->vm_list.count);
		break;
	case PLACER_BUNDLE:
		bundle_destroy(placer->bundle);
		placer->bundle = event->bundle;
		event->bundle = NULL;
		break;
	case PLACER_PURCHASE_REPLY:
		orders_handle_purchase_reply(placer, event->purchase.tag,
					     event->purchase.status);
		break;
	case PLACER_PRICES:
		offers_update(placer->offers, event->prices.offers,
			      event->prices.count);
		break;
	case PLACER_DEMAND:
		placer_add_demand(placer, event->demand.demands,
				  event->demand.count);
		break;
	case PLACER_ENGINE_REPLY:
		orders_handle_engine_reply(placer, event->engine.vm_id,
					   event->engine.status,
					   event->engine.running);
		break;
	}
	placer_run(placer);
}
