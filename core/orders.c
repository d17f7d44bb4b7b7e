/*
 * Carries out the intents that are on record. Each was written into the lease
 * object before its first order, and none is withdrawn, only finished: so a late
 * order of an earlier holder asks for nothing that the present one does not.
 */
#include <string.h>

#include "core/placer_state.h"

/* A purchase that the cloud took may show in the list later than others. */
#define GRANTED_LAG_MAX (60 * PD_SEC)
/* An engine that drains is asked so often what it still has. */
#define DRAIN_ASK_PERIOD (2 * PD_SEC)
#define RELEASE_PERIOD (5 * PD_SEC)
/* An engine that answers no order for so long has lost its streams already. */
#define ENGINE_SILENT_MAX (300 * PD_SEC)

typedef struct order {
	char *tag;
	pd_time_t since; /* when this process first saw the intent */
	pd_time_t asked_at; /* of the latest order; 0: none by this process */
	bool granted; /* the cloud took the purchase */
	bool refused; /* nothing was bought */
	pd_time_t drained_at; /* when the engine first said that it drains */
	bool idle; /* the engine drains and has nothing left */
	bool closed; /* finished; its intent is to go */
	bool recorded; /* its intent was in the record just looked at */
} order_t;

static void order_destroy(void *data)
{
	order_t *order = data;

	g_free(order->tag);
	g_free(order);
}

/* Returns a table for the orders under way. */
GHashTable *orders_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, order_destroy);
}

/* Returns the tag of the one intent that releases a VM, owned by the caller. */
char *orders_release_tag(const char *vm_id)
{
	return g_strconcat("release-", vm_id, NULL);
}

static order_t *orders_get(placer_t *placer, const char *tag)
{
	order_t *order = g_hash_table_lookup(placer->orders, tag);

	if (order)
		return order;
	order = g_new0(order_t, 1);
	order->tag = g_strdup(tag);
	order->since = placer->now;
	g_hash_table_insert(placer->orders, order->tag, order);
	return order;
}

static bool is_own_tag(const placer_t *placer, const char *tag)
{
	size_t len = strlen(placer->id);

	return !strncmp(tag, placer->id, len) && tag[len] == '/';
}

static void orders_buy(placer_t *placer, const intent_t *intent)
{
	placer_action_t *action = placer_action_create(PLACER_BUY);

	intent_copy(&action->buy.intent, intent);
	action->buy.fence = lease_fencing_token(placer->lease);
	action->buy.not_after = lease_held_until(placer->lease);
	list_append(placer->actions, &action->node);
}

/*
 * Buys what an intent says. An intent of an earlier holder may have been bought
 * already, so its tag is looked for first, for as long as the list may lag. The
 * cloud makes one VM of a tag; where it did not, both carry the tag, and the
 * second is released as one too many.
 */
static void orders_purchase(placer_t *placer, const intent_t *intent, order_t *order)
{
	pd_time_t lag = order->granted ? GRANTED_LAG_MAX : LIST_LAG_MAX;

	if (placer_vm_of_tag(placer, intent->tag) || order->refused ||
	    (order->asked_at && placer->now - order->asked_at >= lag)) {
		order->closed = true;
		return;
	}
	if (order->asked_at || (!is_own_tag(placer, intent->tag) &&
				placer->now - order->since < LIST_LAG_MAX))
		return;
	order->asked_at = placer->now;
	orders_buy(placer, intent);
}

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

static void orders_give_back(placer_t *placer, const vm_t *vm)
{
	placer_action_t *action = placer_action_create(PLACER_RELEASE);

	action->release.vm_id = g_strdup(vm->id);
	action->release.fence = lease_fencing_token(placer->lease);
	action->release.not_after = lease_held_until(placer->lease);
	list_append(placer->actions, &action->node);
}

/*
 * Says whether no request that the VM took can still run. The time counts from
 * the engine's own word that it drains: an order may be lost, or late, and until
 * then the engine takes streams that the release would break.
 */
static bool is_drained(const placer_t *placer, const vm_t *vm, const order_t *order)
{
	const target_t *target = bundle_target(placer->bundle, vm->serves);
	pd_time_t limit =
		placer->bundle->drain_bound + (target ? target->timeout : 0);
	pd_time_t silent = limit + ENGINE_SILENT_MAX;

	if (order->idle)
		return true;
	/* A plain service takes no orders; its calls end with their timeout. */
	if (vm->role == VM_SERVICE)
		silent = limit;
	if (order->drained_at)
		return placer->now - order->drained_at >= limit;
	return placer->now - order->since >= silent;
}

/*
 * Drains a VM and gives it back once it has nothing left, or once no request
 * that it took may still run. Given back at once, its streams would break and
 * be computed anew elsewhere. The order is repeated until then: an engine that
 * ignores fencing may have taken an old one in between.
 */
static void orders_release(placer_t *placer, const intent_t *intent, order_t *order)
{
	const vm_t *vm = placer_vm(placer, intent->vm_id);

	if (!vm || vm->state == VM_LEAVING) {
		order->closed = true;
		return;
	}
	if (is_drained(placer, vm, order)) {
		if (order->asked_at && placer->now - order->asked_at < RELEASE_PERIOD)
			return;
		order->asked_at = placer->now;
		orders_give_back(placer, vm);
	} else if (vm->role == VM_MODEL &&
		   (!order->asked_at ||
		    placer->now - order->asked_at >= DRAIN_ASK_PERIOD)) {
		order->asked_at = placer->now;
		orders_drain(placer, vm);
	}
}

static gboolean order_is_gone(void *key, void *value, void *ctx)
{
	order_t *order = value;
	bool recorded = order->recorded;

	(void)key;
	(void)ctx;
	order->recorded = false;
	return !recorded;
}

/* Goes on with every intent of the record, which must be settled. */
void orders_run(placer_t *placer)
{
	const lease_record_t *record = lease_record(placer->lease);

	/* Backwards, since dropping an intent moves the last into its place. */
	for (unsigned int i = record->intent_count; i-- > 0;) {
		const intent_t *intent = &record->intents[i];
		order_t *order = orders_get(placer, intent->tag);

		order->recorded = true;
		if (!order->closed && intent->vm_id)
			orders_release(placer, intent, order);
		else if (!order->closed)
			orders_purchase(placer, intent, order);
		if (order->closed)
			lease_drop_intent(placer->lease, order->tag);
	}
	/*
	 * An order is forgotten only when the record no longer has its intent:
	 * if the write that drops it is lost, it must not be carried out again.
	 */
	g_hash_table_foreach_remove(placer->orders, order_is_gone, NULL);
}

static const intent_t *recorded_intent(const placer_t *placer, const char *tag)
{
	const lease_record_t *record = lease_record(placer->lease);

	for (unsigned int i = 0; record && i < record->intent_count; i++) {
		if (!strcmp(record->intents[i].tag, tag))
			return &record->intents[i];
	}
	return NULL;
}

/* Takes the cloud's answer to a purchase. */
void orders_bought(placer_t *placer, const char *tag, store_status_t status)
{
	order_t *order = g_hash_table_lookup(placer->orders, tag);
	const intent_t *intent = recorded_intent(placer, tag);

	if (!order)
		return;
	order->granted = status == STORE_OK;
	order->refused = status == STORE_DOWN;
	if (intent && order->granted)
		offers_granted(placer->offers, intent);
	if (intent && order->refused)
		offers_refused(placer->offers, intent, placer->now);
}

/* Takes an engine's answer to an order to drain. */
void orders_engine(placer_t *placer, const char *vm_id, store_status_t status,
		   unsigned int running)
{
	char *tag = orders_release_tag(vm_id);
	order_t *order = g_hash_table_lookup(placer->orders, tag);

	if (order) {
		bool idle = status == STORE_OK && running == 0;

		if (status == STORE_OK && !order->drained_at)
			order->drained_at = placer->now;
		/* What follows an idle engine's answer need not wait. */
		if (idle && !order->idle)
			order->asked_at = 0;
		order->idle = idle;
	}
	g_free(tag);
}
