/* Creation and destruction of the events' and actions' contents. */
#include "ports/event.h"

#include "ports/placer_event.h"

static const char *const refusal_names[REFUSAL_COUNT] = {
	[REFUSAL_UNAUTHENTICATED] = "unauthenticated",
	[REFUSAL_FORBIDDEN] = "forbidden",
	[REFUSAL_UNKNOWN_TARGET] = "unknown-target",
	[REFUSAL_KEY_REQUIRED] = "idempotency-key-required",
	[REFUSAL_KEY_REUSED] = "idempotency-key-reused",
	[REFUSAL_OVER_LIMIT] = "over-limit",
	[REFUSAL_NOT_RUN] = "not-run",
	[REFUSAL_OUTCOME_UNKNOWN] = "outcome-unknown",
};

static const int refusal_statuses[REFUSAL_COUNT] = {
	[REFUSAL_UNAUTHENTICATED] = 401, [REFUSAL_FORBIDDEN] = 403,
	[REFUSAL_UNKNOWN_TARGET] = 404,	 [REFUSAL_KEY_REQUIRED] = 400,
	[REFUSAL_KEY_REUSED] = 422,	 [REFUSAL_OVER_LIMIT] = 429,
	[REFUSAL_NOT_RUN] = 503,	 [REFUSAL_OUTCOME_UNKNOWN] = 502,
};

static const char *const reason_names[REASON_COUNT] = {
	[REASON_NONE] = "none",
	[REASON_QUEUE_FULL] = "queue-full",
	[REASON_NO_UPSTREAM] = "no-upstream",
	[REASON_TOO_LATE] = "too-late",
	[REASON_STORE_DOWN] = "store-down",
	[REASON_NOT_READY] = "not-ready",
	[REASON_STOPPING] = "stopping",
	[REASON_UPSTREAM_LOST] = "upstream-lost",
	[REASON_RETRY_BUDGET] = "retry-budget",
	[REASON_EARLIER_ATTEMPT] = "earlier-attempt",
};

/*
 * Returns the last segment of the problem type URI that a refusal is sent as.
 */
const char *refusal_name(refusal_t refusal)
{
	g_assert(refusal >= 0 && refusal < REFUSAL_COUNT);
	return refusal_names[refusal];
}

/* Returns the name of a reason, as it is logged. */
const char *refusal_reason_name(refusal_reason_t reason)
{
	g_assert(reason >= 0 && reason < REASON_COUNT);
	return reason_names[reason];
}

/* Returns the HTTP status of a refusal. */
int refusal_status(refusal_t refusal)
{
	g_assert(refusal >= 0 && refusal < REFUSAL_COUNT);
	return refusal_statuses[refusal];
}

/* Frees the strings of INFO, not INFO itself. */
void member_info_clear(member_info_t *info)
{
	g_free(info->id);
	g_free(info->zone);
	g_free(info->address);
}

/* Makes TO a deep copy of FROM. TO must not own anything yet. */
void member_info_copy(member_info_t *to, const member_info_t *from)
{
	*to = *from;
	to->id = g_strdup(from->id);
	to->zone = g_strdup(from->zone);
	to->address = g_strdup(from->address);
}

/* Frees the strings of NOTE, not NOTE itself. */
void claim_msg_clear(claim_msg_t *msg)
{
	g_free(msg->key);
	g_free(msg->nonce);
	g_free(msg->digest);
	g_free(msg->answer);
}

/* Frees the contents of HANDOVER, not HANDOVER itself. */
void handover_clear(handover_t *handover)
{
	g_free(handover->request_id);
	g_free(handover->account);
	g_free(handover->target);
	g_free(handover->path);
	g_free(handover->idempotency_key);
	g_free(handover->claim_key);
	g_free(handover->nonce);
	g_free(handover->vm_id);
	g_free(handover->emitted);
	g_clear_pointer(&handover->body, g_bytes_unref);
}

/* Returns an empty message of that kind. The caller owns it. */
peer_msg_t *peer_msg_create(peer_msg_kind_t kind)
{
	peer_msg_t *msg = g_new0(peer_msg_t, 1);

	msg->kind = kind;
	return msg;
}

/* Frees a message and its contents. NULL is allowed. */
void peer_msg_destroy(peer_msg_t *msg)
{
	if (!msg)
		return;
	member_info_clear(&msg->from);
	for (unsigned int i = 0; i < msg->update_count; i++)
		member_info_clear(&msg->updates[i]);
	for (unsigned int i = 0; i < msg->leaving_count; i++)
		g_free(msg->leaving[i].vm_id);
	for (unsigned int i = 0; i < msg->demand_count; i++)
		g_free(msg->demand[i].account);
	g_free(msg->subject);
	claim_msg_clear(&msg->claim);
	handover_clear(&msg->handover);
	g_clear_pointer(&msg->body, g_bytes_unref);
	g_free(msg);
}

/* Frees the contents of DISPATCH, not DISPATCH itself. */
static void dispatch_clear(dispatch_t *dispatch)
{
	g_free(dispatch->vm_id);
	g_free(dispatch->address);
	g_free(dispatch->request_id);
	g_free(dispatch->target);
	g_free(dispatch->path);
	g_free(dispatch->idempotency_key);
	g_free(dispatch->emitted);
	g_free(dispatch->kv_address);
	g_clear_pointer(&dispatch->body, g_bytes_unref);
}

/* Frees the strings of DECISION, not DECISION itself. */
void decision_clear(decision_t *decision)
{
	g_free(decision->request_id);
	g_free(decision->component);
	g_free(decision->choice);
	g_free(decision->reason);
	g_free(decision->passed_over);
}

/* Returns an empty action of that kind. The caller owns it. */
action_t *action_create(action_kind_t kind)
{
	action_t *action = g_new0(action_t, 1);

	list_init(&action->node);
	action->kind = kind;
	return action;
}

/* Frees an action that is not linked into a list, and its contents. */
void action_destroy(action_t *action)
{
	switch (action->kind) {
	case ACTION_DISPATCH:
		dispatch_clear(&action->dispatch);
		break;
	case ACTION_PROBE:
		g_free(action->probe.vm_id);
		g_free(action->probe.address);
		break;
	case ACTION_TOKEN:
	case ACTION_ANSWER:
	case ACTION_END:
	case ACTION_MOVED:
		g_free(action->reply.request_id);
		g_free(action->reply.data);
		break;
	case ACTION_REFUSE:
		g_free(action->refuse.request_id);
		break;
	case ACTION_STORE_READ:
	case ACTION_STORE_WRITE:
		g_free(action->store.key);
		claim_table_destroy(action->store.table);
		break;
	case ACTION_PEER_SEND:
		g_free(action->peer.address);
		peer_msg_destroy(action->peer.msg);
		break;
	case ACTION_DECISION:
		decision_clear(&action->decision);
		break;
	case ACTION_CANCEL:
	case ACTION_BUNDLE_APPLIED:
	case ACTION_STOPPED:
		break;
	}
	g_free(action);
}

/* Frees all actions on a list and empties the list. */
void action_list_clear(list_node_t *actions)
{
	list_node_t *node;

	while ((node = list_pop(actions)))
		action_destroy(LIST_ENTRY(node, action_t, node));
}
