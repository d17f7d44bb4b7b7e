/* Creation and destruction of the placer's actions and of lease records. */
#include "ports/placer_event.h"

/* Copies FROM to TO, which must not own anything yet. */
void intent_copy(intent_t *to, const intent_t *from)
{
	to->tag = g_strdup(from->tag);
	to->vm_id = g_strdup(from->vm_id);
	to->target = g_strdup(from->target);
	to->zone = g_strdup(from->zone);
	to->machine_class = g_strdup(from->machine_class);
	to->reclaimable = from->reclaimable;
}

/* Frees the strings of INTENT, not INTENT itself. */
void intent_clear(intent_t *intent)
{
	g_free(intent->tag);
	g_free(intent->vm_id);
	g_free(intent->target);
	g_free(intent->zone);
	g_free(intent->machine_class);
}

/* Returns an empty record; the caller owns it. */
lease_record_t *lease_record_create(void)
{
	return g_new0(lease_record_t, 1);
}

/* Returns a deep copy; the caller owns it. */
lease_record_t *lease_record_copy(const lease_record_t *record)
{
	lease_record_t *copy = lease_record_create();

	copy->holder = g_strdup(record->holder);
	copy->fence = record->fence;
	copy->renewals = record->renewals;
	copy->note = g_strdup(record->note);
	copy->intent_count = record->intent_count;
	for (unsigned int i = 0; i < record->intent_count; i++)
		intent_copy(&copy->intents[i], &record->intents[i]);
	return copy;
}

/* Frees a record; NULL is allowed. */
void lease_record_destroy(lease_record_t *record)
{
	if (!record)
		return;
	for (unsigned int i = 0; i < record->intent_count; i++)
		intent_clear(&record->intents[i]);
	g_free(record->holder);
	g_free(record->note);
	g_free(record);
}

/* Returns an action of that kind, otherwise zeroed; the caller owns it. */
placer_action_t *placer_action_create(placer_action_kind_t kind)
{
	placer_action_t *action = g_new0(placer_action_t, 1);

	list_init(&action->node);
	action->kind = kind;
	return action;
}

/* Frees an action that is not linked into a list, and all it owns. */
void placer_action_destroy(placer_action_t *action)
{
	switch (action->kind) {
	case PLACER_LEASE_READ:
	case PLACER_LEASE_WRITE:
		lease_record_destroy(action->lease.record);
		break;
	case PLACER_BUY:
		intent_clear(&action->buy.intent);
		break;
	case PLACER_RELEASE:
		g_free(action->release.vm_id);
		break;
	case PLACER_ENGINE_ORDER:
		g_free(action->engine.vm_id);
		g_free(action->engine.address);
		g_free(action->engine.model);
		break;
	case PLACER_DECISION:
		decision_clear(&action->decision);
		break;
	}
	g_free(action);
}
