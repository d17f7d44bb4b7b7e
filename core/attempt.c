/*
 * The outcome of attempts: handles tokens, answers and failures, and retries
 * requests whose attempt failed, at once or after a delay.
 */
#include "core/entry_state.h"
#include "core/queue.h"
#include "core/hash.h"

#define FAILURES_MAX 6 /* lost attempts of one request */
#define RETRY_AFTER_SHORT (1 * PD_SEC)
/*
 * An attempt that did not start is retried after a delay that doubles. In a
 * wave of reclaims the remaining upstreams reject many attempts; immediate
 * retries would only add to their load, and giving up would fail requests that
 * were accepted.
 */
#define BACKOFF_MIN (50 * PD_MSEC)
#define BACKOFF_DOUBLINGS 4
/* With an empty retry budget, a retry is delayed by one to two times this. */
#define BACKOFF_NO_BUDGET (1 * PD_SEC)

/*
 * Schedules a retry of the request after WAIT plus a jitter of up to the same
 * time, so that requests that failed together are not all retried together.
 */
static void attempt_back_off(entry_t *entry, request_t *request, pd_time_t wait)
{
	pd_time_t spread = (pd_time_t)(hash_string(request->id) % (uint64_t)wait);

	request->retry_at = entry->now + wait + spread;
	entry_log_decision(entry, request->id, "route", "wait",
			   "tried in vain; it waits before the next attempt", "");
}

/*
 * Dispatches a request that was accepted before. If there is no upstream for
 * it, it is queued.
 */
void attempt_redispatch(entry_t *entry, request_t *request)
{
	request->retry_at = 0;
	if (drain_resume(entry, request))
		return;
	if (!dispatch_request(entry, request))
		queue_add(entry, request, true);
}

/*
 * Retries a request after its attempt was cancelled. Attempts that did not
 * start, or whose VM had a reclaim notice, don't use the retry budget: they
 * don't multiply the load, and a wave of reclaims would use up the budget at
 * once. A call that is not repeatable and may have reached an upstream is never
 * resent.
 */
void attempt_retry(entry_t *entry, request_t *request, failure_cause_t cause)
{
	if (request->claim_key && request->written) {
		request_fail(entry, request, REASON_UPSTREAM_LOST,
			     RETRY_AFTER_SHORT);
		return;
	}
	if (cause == FAILURE_NOT_STARTED && request->rejections++ > 0) {
		unsigned int doublings =
			MIN(request->rejections, BACKOFF_DOUBLINGS);

		attempt_back_off(entry, request, BACKOFF_MIN << doublings);
		return;
	}
	if (cause == FAILURE_LOST && ++request->failures >= FAILURES_MAX) {
		request_fail(entry, request, REASON_RETRY_BUDGET,
			     RETRY_AFTER_SHORT);
		return;
	}
	if (cause == FAILURE_LOST && !retry_budget_spend(&entry->retry_budget)) {
		attempt_back_off(entry, request, BACKOFF_NO_BUDGET);
		return;
	}
	attempt_redispatch(entry, request);
}

/* Handles a rejected or failed attempt. */
static void attempt_handle_failure(entry_t *entry, request_t *request,
				   const upstream_event_t *event)
{
	upstream_t *upstream = upstreams_find(entry->upstreams, request->vm_id);
	bool written = event->kind == UPSTREAM_FAILED && event->written;
	failure_cause_t cause = written ? FAILURE_LOST : FAILURE_NOT_STARTED;

	if (written && upstream && upstream->leaving)
		cause = FAILURE_VM_LEAVING;
	request->attempt_written = written;
	dispatch_cancel_attempt(entry, request);
	if (upstream) {
		upstream->failed_at = entry->now;
		upstream->rejects_when_full |= event->kind == UPSTREAM_REJECTED;
	}
	attempt_retry(entry, request, cause);
}

/* Handles the first response of an attempt. */
static void attempt_handle_start(entry_t *entry, request_t *request,
				 const upstream_event_t *event)
{
	upstream_t *upstream = upstreams_find(entry->upstreams, request->vm_id);
	unsigned int set_up = event->recomputed;

	if (request->started)
		return;
	request->started = true;
	request->rejections = 0;
	if (upstream)
		upstream_record_start(upstream);
	if (event->kind != UPSTREAM_STARTED)
		return;
	if (request->attempts > 1)
		entry->recomputed_tokens += event->recomputed;
	/* After a successful import hardly any token is recomputed. */
	if (request->imports_kv && set_up == 0)
		move_costs_record_start(&entry->move_costs, true,
					(unsigned int)request->offset,
					entry->now - request->sent_at);
	else
		move_costs_record_start(&entry->move_costs, false, set_up,
					entry->now - request->sent_at);
}

/*
 * Sends a token to the caller if it is the next one. An upstream that resumed
 * too early repeats tokens that the caller has; they are dropped. One that
 * skipped tokens would leave a gap, so its attempt counts as failed.
 */
static void attempt_handle_token(entry_t *entry, request_t *request,
				 const upstream_event_t *event)
{
	upstream_event_t skipped = { .kind = UPSTREAM_FAILED, .written = true };

	request->last_progress_at = entry->now;
	attempt_handle_start(entry, request, event);
	if (event->offset < request->offset)
		return;
	if (event->offset > request->offset) {
		attempt_handle_failure(entry, request, &skipped);
		return;
	}
	if (!request->first_token_at) {
		request->first_token_at = entry->now;
		predict_record_first_token(entry->predict, request->target.name,
					   request->priority,
					   entry->now - request->sent_at);
	}
	if (request->offset >= request->resume_offset)
		request_reply(entry, request, ACTION_TOKEN, event->data,
			      event->len, 0);
	g_string_append_len(request->emitted, event->data, (gssize)event->len);
	if (request->adopted)
		adopted_answer_append(request->adopted, event->data, event->len);
	request->offset++;
}

/*
 * Sends a complete answer to the caller, records it if there is a claim, and
 * ends the request.
 */
static void attempt_handle_answer(entry_t *entry, request_t *request,
				  const upstream_event_t *event)
{
	if (request->claim_key) {
		char *body = g_strndup(event->data, event->len);

		claims_complete(entry->claims, request->claim_key,
				request->nonce, event->status, body, entry->now);
		g_free(body);
	}
	request_reply(entry, request, ACTION_ANSWER, event->data, event->len,
		      event->status);
	request_end(entry, request);
}

/*
 * Handles an upstream's event about an attempt. Ignores attempts that have
 * ended.
 */
void attempt_handle_event(entry_t *entry, const upstream_event_t *event)
{
	request_t *request = g_hash_table_lookup(entry->running, &event->attempt);

	if (!request)
		return;
	switch (event->kind) {
	case UPSTREAM_SENDING:
		request->attempt_written = true;
		break;
	case UPSTREAM_QUEUED:
		request->last_progress_at = entry->now;
		break;
	case UPSTREAM_STARTED:
		request->last_progress_at = entry->now;
		attempt_handle_start(entry, request, event);
		break;
	case UPSTREAM_TOKEN:
		attempt_handle_token(entry, request, event);
		break;
	case UPSTREAM_ANSWER:
		attempt_handle_answer(entry, request, event);
		break;
	case UPSTREAM_END:
		if (request->adopted)
			request->adopted->ended = true;
		predict_record_completion(entry->predict, request->target.name,
					  request->priority,
					  entry->now - request->sent_at);
		request_reply(entry, request, ACTION_END, NULL, 0, 0);
		request_end(entry, request);
		break;
	case UPSTREAM_REJECTED:
	case UPSTREAM_FAILED:
		attempt_handle_failure(entry, request, event);
		break;
	}
}
