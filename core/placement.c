/*
 * Decides how many VMs of which offer each target should have, and records the
 * difference from the existing ones as intents. The reasons are in
 * placement-notes.md.
 */
#include <string.h>

#include "core/placer_state.h"

#define PLACEMENT_PERIOD (10 * PD_SEC)

/* The decision for one target: the options and the offers they stand for. */
typedef struct choice {
	const target_t *target;
	mix_need_t need;
	GArray *options; /* of mix_option_t */
	GArray *offer_indexes; /* of int; -1: no offer */
	bool has_pending; /* VMs are starting or ordered */
} choice_t;

/* Returns whether an intent to release VM is recorded. */
static bool is_draining(const placer_t *placer, const vm_t *vm)
{
	const lease_record_t *record = lease_record(placer->lease);

	for (unsigned int i = 0; i < record->intent_count; i++) {
		if (record->intents[i].vm_id &&
		    !strcmp(record->intents[i].vm_id, vm->id))
			return true;
	}
	return false;
}

/* Returns whether a machine class stands for all. */
static bool is_any_class(const char *machine_class)
{
	return !strcmp(machine_class, "any");
}

/* Returns the machine class that TARGET requires, or "any". */
static const char *target_machine_class(const target_t *target)
{
	return target->machine_class ? target->machine_class : "any";
}

/* Returns whether two machine classes are equal or one of them is "any". */
static bool machine_classes_match(const char *a, const char *b)
{
	return is_any_class(a) || is_any_class(b) || !strcmp(a, b);
}

/* Returns the option at INDEX, borrowed until the next one is added. */
static mix_option_t *choice_option(const choice_t *choice, guint index)
{
	return &g_array_index(choice->options, mix_option_t, index);
}

/* Returns the index of the offer of the option at INDEX, or -1. */
static int choice_offer_index(const choice_t *choice, guint index)
{
	return g_array_index(choice->offer_indexes, int, index);
}

/*
 * Returns the slots of a VM of the target, as reported for its VMs; 1 if it has
 * none.
 */
static unsigned int observed_slots(const placer_t *placer, const target_t *target)
{
	for (guint i = 0; i < placer->vms->len; i++) {
		const vm_t *vm = g_ptr_array_index(placer->vms, i);

		if (!strcmp(vm->serves, target->name))
			return MAX(1, vm->slots);
	}
	return 1;
}

/* Appends an option, with the index of its offer. */
static void choice_add(choice_t *choice, mix_option_t option, int index)
{
	g_array_append_val(choice->options, option);
	g_array_append_val(choice->offer_indexes, index);
}

/* Adds the offers that fit the target as options. */
static void choice_add_offers(choice_t *choice, const placer_t *placer)
{
	for (size_t i = 0; i < offers_count(placer->offers); i++) {
		const offer_t *offer = offers_at(placer->offers, i);
		mix_option_t option = { .slots = offer->slots,
					.reclaimable = offer->reclaimable,
					.price = offer->price };
		bool open = offers_is_available(placer->offers, i, placer->now);

		if (!machine_classes_match(offer->machine_class,
					   target_machine_class(choice->target)))
			continue;
		if (is_any_class(offer->machine_class))
			option.slots = observed_slots(placer, choice->target);
		option.zone = (unsigned int)offers_zone_index(placer->offers,
							      offer->zone);
		option.max = open ? UINT32_MAX : 0;
		choice_add(choice, option, (int)i);
	}
}

/* Returns the option of the matching offer, borrowed, or NULL. */
static mix_option_t *choice_find_option(choice_t *choice,
					const placer_t *placer, const char *zone,
					const char *machine_class, bool reclaimable)
{
	for (guint i = 0; i < choice->options->len; i++) {
		const offer_t *offer;

		if (choice_offer_index(choice, i) < 0)
			continue;
		offer = offers_at(placer->offers,
				  (size_t)choice_offer_index(choice, i));
		if (offer->reclaimable == reclaimable &&
		    !strcmp(offer->zone, zone) &&
		    machine_classes_match(offer->machine_class, machine_class))
			return choice_option(choice, i);
	}
	return NULL;
}

/*
 * Adds a VM that matches no offer. It counts, but can be neither bought nor
 * released.
 */
static void choice_add_unlisted_vm(choice_t *choice, const placer_t *placer,
				   const vm_t *vm)
{
	int zone = offers_zone_index(placer->offers, vm->zone);
	mix_option_t option = { .zone = zone < 0 ? MIX_ZONES_MAX - 1
						 : (unsigned int)zone,
				.slots = MAX(1, vm->slots),
				.reclaimable = vm->reclaimable,
				.current = 1,
				.min = 1 };

	choice_add(choice, option, -1);
}

/* Counts the target's VMs that stay. */
static void choice_add_vms(choice_t *choice, const placer_t *placer)
{
	for (guint i = 0; i < placer->vms->len; i++) {
		const vm_t *vm = g_ptr_array_index(placer->vms, i);
		mix_option_t *option;

		if (vm->state == VM_LEAVING || is_draining(placer, vm) ||
		    strcmp(vm->serves, choice->target->name))
			continue;
		choice->has_pending |= vm->state == VM_STARTING;
		option = choice_find_option(choice, placer, vm->zone,
					    vm->machine_class, vm->reclaimable);
		if (!option) {
			choice_add_unlisted_vm(choice, placer, vm);
			continue;
		}
		option->current++;
		/* VMs that operators started are not released. */
		option->min += vm->tag == NULL;
	}
}

/* Counts the purchases on record whose VMs are not listed yet. */
static void choice_add_intents(choice_t *choice, const placer_t *placer)
{
	const lease_record_t *record = lease_record(placer->lease);

	for (unsigned int i = 0; i < record->intent_count; i++) {
		const intent_t *intent = &record->intents[i];
		mix_option_t *option;

		if (intent->vm_id || strcmp(intent->target, choice->target->name) ||
		    placer_find_vm_by_tag(placer, intent->tag))
			continue;
		choice->has_pending = true;
		option = choice_find_option(choice, placer, intent->zone,
					    intent->machine_class,
					    intent->reclaimable);
		if (option)
			option->current++;
	}
}

/* Returns REQUESTS plus PERCENT per cent, rounded up. */
static unsigned int add_headroom(unsigned int requests, unsigned int percent)
{
	return (requests * (100 + percent) + 99) / 100;
}

/*
 * Counts the VMs of other targets, since the bundle limits the share of
 * reclaimable VMs among all VMs.
 */
static void need_count_others(mix_need_t *need, const placer_t *placer,
			      const target_t *target)
{
	for (guint i = 0; i < placer->vms->len; i++) {
		const vm_t *vm = g_ptr_array_index(placer->vms, i);

		if (vm->state == VM_LEAVING || !strcmp(vm->serves, target->name))
			continue;
		need->other_vms++;
		need->other_reclaimable += vm->reclaimable;
	}
}

/*
 * Returns the requirements of a target. One with a fixed number of VMs gets
 * that number, spread evenly, and on demand only if it is urgent. One with a
 * range gets the VMs that its demand requires.
 */
static mix_need_t placement_need(const placer_t *placer, const target_t *target)
{
	const bundle_t *bundle = placer->bundle;
	const demand_window_t *window =
		g_hash_table_lookup(placer->demand, target->name);
	mix_need_t need = { .min_vms = target->workers,
			    .max_vms = MAX(target->workers, target->most_workers),
			    .spare_zones = bundle->spare_zones,
			    .reclaimable_percent = bundle->reclaimable_percent };

	need_count_others(&need, placer, target);
	if (!target->most_workers && target->priority == PRIORITY_URGENT)
		need.reclaimable_percent = 0;
	if (target->most_workers && window) {
		demand_peak_t peak = demand_window_peak(window);

		need.slots = add_headroom(peak.requests, bundle->headroom_percent);
		need.urgent = add_headroom(peak.urgent, bundle->headroom_percent);
	}
	return need;
}

/* Collects the options of a target, with their current numbers of VMs. */
static void choice_init(choice_t *choice, const placer_t *placer,
			const target_t *target)
{
	choice->target = target;
	choice->need = placement_need(placer, target);
	choice->has_pending = false;
	choice->options = g_array_new(FALSE, FALSE, sizeof(mix_option_t));
	choice->offer_indexes = g_array_new(FALSE, FALSE, sizeof(int));
	choice_add_offers(choice, placer);
	choice_add_vms(choice, placer);
	choice_add_intents(choice, placer);
	for (guint i = 0; i < choice->options->len; i++) {
		mix_option_t *option = choice_option(choice, i);

		option->max = MAX(option->max, option->current);
	}
}

/* Frees what the choice owns, not the choice itself. */
static void choice_clear(choice_t *choice)
{
	g_array_unref(choice->options);
	g_array_unref(choice->offer_indexes);
}

/* Records an intent to buy one VM. Returns false if there is no room for it. */
static bool placement_buy(placer_t *placer, const target_t *target,
			  const offer_t *offer)
{
	bool any_class = is_any_class(offer->machine_class);
	intent_t intent = {
		.tag = g_strdup_printf("%s/%" G_GUINT64_FORMAT, placer->id,
				       ++placer->tag_counter),
		.target = g_strdup(target->name),
		.zone = g_strdup(offer->zone),
		.machine_class = g_strdup(any_class ? target_machine_class(target)
						    : offer->machine_class),
		.reclaimable = offer->reclaimable,
	};
	bool added = lease_add_intent(placer->lease, &intent);

	if (added) {
		char *reason = g_strdup_printf(
			"buy %s for %s, %s, price %" G_GINT64_FORMAT,
			intent.machine_class, target->name,
			offer->reclaimable ? "reclaimable" : "on demand",
			offer->price);

		placer_log_decision(placer, offer->zone, reason);
		g_free(reason);
	}
	intent_clear(&intent);
	return added;
}

/* Records an intent to drain and release VM. */
static void placement_release(placer_t *placer, const vm_t *vm)
{
	intent_t intent = { .tag = orders_release_tag(vm->id),
			    .vm_id = g_strdup(vm->id),
			    .target = g_strdup(vm->serves),
			    .zone = g_strdup(vm->zone),
			    .machine_class = g_strdup(vm->machine_class),
			    .reclaimable = vm->reclaimable };

	if (lease_add_intent(placer->lease, &intent))
		placer_log_decision(placer, vm->id,
				    "drain and release: not needed");
	intent_clear(&intent);
}

/*
 * Releases up to SURPLUS live VMs of an option, but none that operators
 * started.
 */
static void release_surplus(placer_t *placer, choice_t *choice,
			    const mix_option_t *option, unsigned int surplus)
{
	for (guint i = 0; i < placer->vms->len && surplus > 0; i++) {
		const vm_t *vm = g_ptr_array_index(placer->vms, i);

		if (vm->state != VM_LIVE || !vm->tag || is_draining(placer, vm) ||
		    strcmp(vm->serves, choice->target->name) ||
		    choice_find_option(choice, placer, vm->zone, vm->machine_class,
				       vm->reclaimable) != option)
			continue;
		placement_release(placer, vm);
		surplus--;
	}
}

/* Records intents for the missing VMs. Returns whether any were missing. */
static bool placement_buy_shortfall(placer_t *placer, choice_t *choice)
{
	bool any = false;

	for (guint i = 0; i < choice->options->len; i++) {
		const mix_option_t *option = choice_option(choice, i);
		const offer_t *offer;

		if (option->desired <= option->current)
			continue;
		any = true;
		offer = offers_at(placer->offers,
				  (size_t)choice_offer_index(choice, i));
		for (unsigned int n = option->current; n < option->desired; n++) {
			if (!placement_buy(placer, choice->target, offer))
				return true;
		}
	}
	return any;
}

/*
 * Buys the missing VMs of a target. Releases VMs only if none are missing,
 * ordered or starting, so that a VM which is to be replaced serves until its
 * replacement does.
 */
static void placement_adjust(placer_t *placer, const target_t *target)
{
	choice_t choice;
	mix_rule_t rule = target->most_workers ? placer->rule : MIX_EVEN;

	choice_init(&choice, placer, target);
	mix_choose(rule, &choice.need, (mix_option_t *)(void *)choice.options->data,
		   choice.options->len);
	if (!placement_buy_shortfall(placer, &choice) && !choice.has_pending) {
		for (guint i = 0; i < choice.options->len; i++) {
			const mix_option_t *option = choice_option(&choice, i);

			if (option->desired < option->current)
				release_surplus(placer, &choice, option,
						option->current - option->desired);
		}
	}
	choice_clear(&choice);
}

/* Adjusts the VMs of all targets of one priority. */
static void placement_adjust_all(placer_t *placer, priority_t priority)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, placer->bundle->targets);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const target_t *target = value;
		bool placed = target->workers || target->most_workers;

		if (placed && target->priority == priority)
			placement_adjust(placer, target);
	}
}

/*
 * Records the VMs to buy and to release as intents, once per placement period.
 * The lease must be synced.
 */
void placement_run(placer_t *placer)
{
	if (placer->now < placer->next_placement_at)
		return;
	placer->next_placement_at = placer->now + PLACEMENT_PERIOD;
	for (int i = 0; i < PRIORITIES; i++)
		placement_adjust_all(placer, (priority_t)i);
}
