/*
 * Admission of requests: authorization, rate limits, queue limits and claims. A
 * request that is refused here has not been sent anywhere, so "not run" is
 * certain.
 */
#include <string.h>

#include "core/entry_state.h"
#include "core/queue.h"

/*
 * The predicted time to the first token is a mean, which half of the callers
 * exceed. Refusing requests whose prediction exceeds this fraction of the
 * target keeps the admitted ones within the target.
 */
#define FIRST_TOKEN_MARGIN 0.4
#define RETRY_AFTER_SHORT (1 * PD_SEC)
#define RETRY_AFTER_LONG (5 * PD_SEC)

/*
 * Records a request of the account and returns this entry's share of its limit.
 */
static double admission_share(entry_t *entry, const account_t *account)
{
	demand_record_request(entry->demand, account->name, entry->now);
	return demand_share(entry->demand, account->name,
			    members_alive(entry->members), entry->now);
}

/* Returns the priority of a request: the account's overrides the target's. */
static priority_t admission_priority(const account_t *account, const target_t *target)
{
	return account->has_priority ? account->priority : target->priority;
}

/*
 * Checks authorization and limits. Returns the target, borrowed, or NULL after
 * a refusal.
 */
static const target_t *admission_check(entry_t *entry, const caller_request_t *from)
{
	const account_t *account = NULL;
	const target_t *target;
	pd_time_t retry_after = 0;

	if (!entry_can_serve(entry)) {
		entry_refuse(entry, from->caller, NULL, REFUSAL_NOT_RUN,
			     REASON_NOT_READY, RETRY_AFTER_SHORT);
		return NULL;
	}
	if (from->key_hash)
		account = bundle_account(entry->bundle, from->key_hash);
	if (!account) {
		entry_refuse(entry, from->caller, NULL, REFUSAL_UNAUTHENTICATED,
			     REASON_NONE, 0);
		return NULL;
	}
	target = bundle_target(entry->bundle, from->target);
	if (!target || target->kind != from->kind) {
		entry_refuse(entry, from->caller, NULL, REFUSAL_UNKNOWN_TARGET,
			     REASON_NONE, 0);
		return NULL;
	}
	if (!account_allows(account, from->target)) {
		entry_refuse(entry, from->caller, NULL, REFUSAL_FORBIDDEN,
			     REASON_NONE, 0);
		return NULL;
	}
	if (!target->repeatable && !from->idempotency_key) {
		entry_refuse(entry, from->caller, NULL, REFUSAL_KEY_REQUIRED,
			     REASON_NONE, 0);
		return NULL;
	}
	if (!limits_take(entry->limits, account, admission_share(entry, account),
			 entry->now, &retry_after)) {
		entry_refuse(entry, from->caller, NULL, REFUSAL_OVER_LIMIT,
			     REASON_NONE, retry_after);
		return NULL;
	}
	if (entry->queued[admission_priority(account, target)] >=
	    entry->bundle->queue_limit) {
		entry_refuse(entry, from->caller, NULL, REFUSAL_NOT_RUN,
			     REASON_QUEUE_FULL, RETRY_AFTER_SHORT);
		return NULL;
	}
	return target;
}

/*
 * Refuses a queued request if its first token is predicted to come too late.
 * Under overload a queue that accepts requests up to its limit makes every
 * caller late: engines are full and answers time out. It is better to tell the
 * caller at once when to retry. Urgent requests have no better alternative and
 * stay queued.
 */
static void admission_refuse_if_late(entry_t *entry, request_t *request)
{
	pd_time_t target = entry->bundle->first_token_target;
	pd_time_t expected;

	if (request->target.kind != TARGET_MODEL ||
	    request->priority == PRIORITY_URGENT)
		return;
	/* The request itself is counted in the queue. */
	expected =
		predict_time_to_first_token(entry->predict, request->target.name,
					    request->priority,
					    entry->queued[request->priority] - 1,
					    queue_slots(entry, request->priority));
	if (expected > (pd_time_t)((double)target * FIRST_TOKEN_MARGIN))
		request_fail(entry, request, REASON_QUEUE_FULL,
			     MAX(expected - target, RETRY_AFTER_SHORT));
}

/* Admits a caller's request, or refuses it at once. */
void admission_handle_request(entry_t *entry, const caller_request_t *from)
{
	const target_t *target = admission_check(entry, from);
	request_t *request;

	if (!target)
		return;
	retry_budget_credit(&entry->retry_budget);
	request = request_create(entry, from, target);
	if (request->state == REQUEST_CLAIMING)
		return;
	if (from->resume_id && target->kind == TARGET_MODEL) {
		resume_start(entry, request, from->resume_id);
		return;
	}
	if (!dispatch_request(entry, request))
		request_fail(entry, request, REASON_NO_UPSTREAM, RETRY_AFTER_LONG);
	else if (request->state == REQUEST_WAITING)
		admission_refuse_if_late(entry, request);
}

/* Sends the answer that is recorded under the request's claim and ends it. */
static void admission_send_recorded_answer(entry_t *entry, request_t *request,
					   const claim_result_t *result)
{
	const char *body = result->answer ? result->answer : "";
	action_t *action;

	request_reply(entry, request, ACTION_ANSWER, body, strlen(body),
		      result->status);
	if (!request->caller_gone) {
		action = LIST_ENTRY(entry->actions->prev, action_t, node);
		action->reply.replayed = true;
	}
	request_end(entry, request);
}

/* Refuses and ends a request whose claim was not acquired. */
static void admission_refuse_claim(entry_t *entry, request_t *request,
				   refusal_t refusal, refusal_reason_t reason,
				   pd_time_t retry_after)
{
	if (!request->caller_gone)
		entry_refuse(entry, request->caller, request->id, refusal,
			     reason, retry_after);
	request_end(entry, request);
}

/*
 * Dispatches a request whose claim was acquired. The queue may have filled
 * while the claim was written; requests that arrived in that time all passed
 * the check on arrival and would grow the queue without bound when the store is
 * slow.
 */
static void admission_dispatch_claimed(entry_t *entry, request_t *request)
{
	if (entry->queued[request->priority] >= entry->bundle->queue_limit)
		request_fail(entry, request, REASON_QUEUE_FULL, RETRY_AFTER_SHORT);
	else if (!dispatch_request(entry, request))
		request_fail(entry, request, REASON_NO_UPSTREAM, RETRY_AFTER_LONG);
}

/*
 * Continues a request whose claim has been resolved. Ignores requests that have
 * ended.
 */
void admission_handle_claim(entry_t *entry, const claim_result_t *result)
{
	request_t *request = g_hash_table_lookup(entry->claiming, &result->ticket);

	if (!request)
		return;
	g_hash_table_remove(entry->claiming, &result->ticket);
	request->state = REQUEST_WAITING;
	switch (result->outcome) {
	case CLAIM_WON:
		admission_dispatch_claimed(entry, request);
		break;
	case CLAIM_ANSWERED:
		admission_send_recorded_answer(entry, request, result);
		break;
	case CLAIM_TAKEN:
		admission_refuse_claim(entry, request, REFUSAL_OUTCOME_UNKNOWN,
				       REASON_EARLIER_ATTEMPT, RETRY_AFTER_LONG);
		break;
	case CLAIM_MISMATCH:
		admission_refuse_claim(entry, request, REFUSAL_KEY_REUSED,
				       REASON_NONE, 0);
		break;
	case CLAIM_UNAVAILABLE:
		admission_refuse_claim(entry, request, REFUSAL_NOT_RUN,
				       REASON_STORE_DOWN, RETRY_AFTER_LONG);
		break;
	}
}

/*
 * Handles the disconnect of a caller. A model's request ends. A call that is
 * not repeatable and has been sent continues, so that its answer is recorded
 * when the caller retries with the same key.
 */
void admission_handle_disconnect(entry_t *entry, caller_id_t caller)
{
	request_t *request = g_hash_table_lookup(entry->requests, &caller);

	if (!request)
		return;
	request->caller_gone = true;
	if (request->claim_key && request->state != REQUEST_WAITING)
		return;
	if (request->claim_key)
		request_fail(entry, request, REASON_NONE, 0);
	else
		request_end(entry, request);
}
