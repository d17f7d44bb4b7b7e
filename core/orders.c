/*
 * Carries out the recorded intents. Each was written into the lease object
 * before its first order, and none is withdrawn, only finished: so a late order
 * of an earlier holder requests nothing that the present one does not.
 */
#include <string.h>

#include "core/placer_state.h"

/* Longer lag for a purchase that the cloud granted: it may be listed late. */
#define GRANTED_LIST_LAG_MAX (60 * PD_SEC)
/* Interval at which a draining engine is asked for its running requests. */
#define DRAIN_POLL_PERIOD (2 * PD_SEC)
#define RELEASE_PERIOD (5 * PD_SEC)
/*
 * An engine that answers no order for this time has lost its streams already.
 */
#define ENGINE_SILENCE_MAX (300 * PD_SEC)

typedef struct order {
	char *tag;
	pd_time_t first_seen_at; /* when this process first read the intent */
	pd_time_t requested_at; /* of the latest order; 0: none */
	bool granted; /* the cloud granted the purchase */
	bool refused; /* the cloud refused the purchase */
	pd_time_t draining_since; /* as first confirmed; 0: not yet */
	bool idle; /* the engine drains and runs no requests */
	bool finished; /* its intent is to be removed */
	bool recorded; /* in the record at the latest run */
} order_t;

/* Frees an order; value destructor of the table. */
static void order_destroy(void *data)
{
	order_t *order = data;

	g_free(order->tag);
	g_free(order);
}

/* Returns an empty table of orders by tag; the caller owns it. */
GHashTable *orders_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, order_destroy);
}

/* Returns the tag of the intent that releases a VM; the caller owns it. */
char *orders_release_tag(const char *vm_id)
{
	return g_strconcat("release-", vm_id, NULL);
}

/* Returns the order of TAG, borrowed; creates it if there is none. */
static order_t *orders_get(placer_t *placer, const char *tag)
{
	order_t *order = g_hash_table_lookup(placer->orders, tag);

	if (order)
		return order;
	order = g_new0(order_t, 1);
	order->tag = g_strdup(tag);
	order->first_seen_at = placer->now;
	g_hash_table_insert(placer->orders, order->tag, order);
	return order;
}

/* Returns whether this process created TAG. */
static bool is_own_tag(const placer_t *placer, const char *tag)
{
	size_t len = strlen(placer->id);

	return !strncmp(tag, placer->id, len) && tag[len] == '/';
}

/* Appends the purchase of INTENT to the actions. */
static void orders_buy(placer_t *placer, const intent_t *intent)
{
	placer_action_t *action = placer_action_create(PLACER_BUY);

	intent_copy(&action->buy.intent, intent);
	action->buy.fence = lease_fencing_token(placer->lease);
	action->buy.not_after = lease_held_until(placer->lease);
	list_append(placer->actions, &action->node);
}

/*
 * Carries on with a purchase. An intent of an earlier holder may have been
 * carried out already, so its tag is first looked for in the VM list for as
 * long as the list may lag. The cloud should start only one VM per tag; if it
 * starts two, both carry the tag, and the second is released as surplus.
 */
static void orders_run_purchase(placer_t *placer, const intent_t *intent,
				order_t *order)
{
	pd_time_t lag = order->granted ? GRANTED_LIST_LAG_MAX : LIST_LAG_MAX;

	if (placer_find_vm_by_tag(placer, intent->tag) || order->refused ||
	    (order->requested_at && placer->now - order->requested_at >= lag)) {
		order->finished = true;
		return;
	}
	if (order->requested_at ||
	    (!is_own_tag(placer, intent->tag) &&
	     placer->now - order->first_seen_at < LIST_LAG_MAX))
		return;
	order->requested_at = placer->now;
	orders_buy(placer, intent);
}

/* Appends an order to drain to the actions. */
static void orders_drain(placer_t *placer, const vm_t *vm)
{
	placer_action_t *action = placer_action_create(PLACER_ENGINE_ORDER);

	action->engine.vm_id = g_strdup(vm->id);
	action->engine.address = g_strdup(vm->address);
	action->engine.port = vm->port;
	action->engine.model = g_strdup(vm->serves);
	action->engine.role = ENGINE_DRAINING;
	action->engine.fence = lease_fencing_token(placer->lease);
	action->engine.not_after = lease_held_until(placer->lease);
	list_append(placer->actions, &action->node);
}

/* Appends the release of VM to the actions. */
static void orders_release_vm(placer_t *placer, const vm_t *vm)
{
	placer_action_t *action = placer_action_create(PLACER_RELEASE);

	action->release.vm_id = g_strdup(vm->id);
	action->release.fence = lease_fencing_token(placer->lease);
	action->release.not_after = lease_held_until(placer->lease);
	list_append(placer->actions, &action->node);
}

/*
 * Returns whether no request that the VM accepted can still be running. The
 * time counts from the engine's confirmation that it drains: an order may be
 * lost or late, and until then the engine accepts streams that the release
 * would break.
 */
static bool is_drained(const placer_t *placer, const vm_t *vm, const order_t *order)
{
	const target_t *target = bundle_target(placer->bundle, vm->serves);
	pd_time_t drain_time_max =
		placer->bundle->drain_bound + (target ? target->timeout : 0);
	pd_time_t silence_max = drain_time_max + ENGINE_SILENCE_MAX;

	if (order->idle)
		return true;
	/*
	 * A plain service accepts no orders; its calls end with their timeout.
	 */
	if (vm->role == VM_SERVICE)
		silence_max = drain_time_max;
	if (order->draining_since)
		return placer->now - order->draining_since >= drain_time_max;
	return placer->now - order->first_seen_at >= silence_max;
}

/*
 * Carries on with a release: drains the VM and releases it once it is idle, or
 * once no request that it accepted can still be running. If it were released at
 * once, its streams would break and be recomputed elsewhere. The order is
 * repeated until then, since an engine that ignores fencing tokens may have
 * obeyed an old one in between.
 */
static void orders_run_release(placer_t *placer, const intent_t *intent,
			       order_t *order)
{
	const vm_t *vm = placer_find_vm(placer, intent->vm_id);

	if (!vm || vm->state == VM_LEAVING) {
		order->finished = true;
		return;
	}
	if (is_drained(placer, vm, order)) {
		if (order->requested_at &&
		    placer->now - order->requested_at < RELEASE_PERIOD)
			return;
		order->requested_at = placer->now;
		orders_release_vm(placer, vm);
	} else if (vm->role == VM_MODEL &&
		   (!order->requested_at ||
		    placer->now - order->requested_at >= DRAIN_POLL_PERIOD)) {
		order->requested_at = placer->now;
		orders_drain(placer, vm);
	}
}

/* Returns whether the record no longer has the order's intent. */
static gboolean order_is_obsolete(void *key, void *value, void *ctx)
{
	order_t *order = value;
	bool recorded = order->recorded;

	(void)key;
	(void)ctx;
	order->recorded = false;
	return !recorded;
}

/* Carries on with every recorded intent. The lease must be synced. */
void orders_run(placer_t *placer)
{
	const lease_record_t *record = lease_record(placer->lease);

	/*
	 * Backwards, since removing an intent moves the last one into its
	 * place.
	 */
	for (unsigned int i = record->intent_count; i-- > 0;) {
		const intent_t *intent = &record->intents[i];
		order_t *order = orders_get(placer, intent->tag);

		order->recorded = true;
		if (!order->finished && intent->vm_id)
			orders_run_release(placer, intent, order);
		else if (!order->finished)
			orders_run_purchase(placer, intent, order);
		if (order->finished)
			lease_drop_intent(placer->lease, order->tag);
	}
	/*
	 * An order is removed only after its intent is gone from the record: if
	 * the write that removes the intent is lost, it must not be carried out
	 * again.
	 */
	g_hash_table_foreach_remove(placer->orders, order_is_obsolete, NULL);
}

/* Returns the recorded intent with TAG, borrowed, or NULL. */
static const intent_t *recorded_intent(const placer_t *placer, const char *tag)
{
	const lease_record_t *record = lease_record(placer->lease);

	for (unsigned int i = 0; record && i < record->intent_count; i++) {
		if (!strcmp(record->intents[i].tag, tag))
			return &record->intents[i];
	}
	return NULL;
}

/*
 * Handles the cloud's reply to a purchase. STATUS is STORE_DOWN if it was
 * refused.
 */
void orders_handle_purchase_reply(placer_t *placer, const char *tag,
				  store_status_t status)
{
	order_t *order = g_hash_table_lookup(placer->orders, tag);
	const intent_t *intent = recorded_intent(placer, tag);

	if (!order)
		return;
	order->granted = status == STORE_OK;
	order->refused = status == STORE_DOWN;
	if (intent && order->granted)
		offers_note_grant(placer->offers, intent);
	if (intent && order->refused)
		offers_note_refusal(placer->offers, intent, placer->now);
}

/*
 * Handles an engine's reply to an order to drain. RUNNING is the number of
 * requests that it still runs.
 */
void orders_handle_engine_reply(placer_t *placer, const char *vm_id,
				store_status_t status, unsigned int running)
{
	char *tag = orders_release_tag(vm_id);
	order_t *order = g_hash_table_lookup(placer->orders, tag);

	if (order) {
		bool idle = status == STORE_OK && running == 0;

		if (status == STORE_OK && !order->draining_since)
			order->draining_since = placer->now;
		/* Release an idle engine's VM without delay. */
		if (idle && !order->idle)
			order->requested_at = 0;
		order->idle = idle;
	}
	g_free(tag);
}
