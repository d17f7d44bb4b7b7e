/*
 * What became of an attempt: tokens, answers and failures come in, and a request
 * whose attempt broke goes on elsewhere, now or after a wait.
 */
#include "core/entry_state.h"
#include "core/queue.h"
#include "core/hash.h"

#define FAILURES_MAX 6
#define RETRY_SOON (1 * PD_SEC)
/*
 * An attempt that did not begin is tried again after a wait that doubles. In a
 * wave the remaining upstreams refuse much; trying on at once would only load
 * them more, and giving up would fail work that was accepted.
 */
#define BACKOFF_MIN (50 * PD_MSEC)
#define BACKOFF_DOUBLINGS 4
/* Without retries left in the budget, a retry waits once to twice this long. */
#define BACKOFF_NO_BUDGET (1 * PD_SEC)

/*
 * Leaves a request outside the queue for WAIT, and up to as long again: those
 * that failed together must not all come back together.
 */
static void attempt_back_off(entry_t *entry, request_t *request, pd_time_t wait)
{
	pd_time_t spread = (pd_time_t)(hash_string(request->id) % (uint64_t)wait);

	request->retry_at = entry->now + wait + spread;
	entry_decide(entry, request->id, "route", "wait",
		     "tried in vain; it waits before the next attempt", "");
}

/* Sends a request that has been accepted. With nobody to send to it waits. */
void attempt_resume(entry_t *entry, request_t *request)
{
	request->retry_at = 0;
	if (drain_resume(entry, request))
		return;
	if (!dispatch_request(entry, request))
		queue_add(entry, request, true);
}

/*
 * Tries a request again after its attempt was dropped. What was announced or
 * did not begin costs no retry: no work is multiplied by it, and a wave would
 * use up every retry at once. A call that may not be repeated and may have
 * reached its upstream is never sent again.
 */
void attempt_again(entry_t *entry, request_t *request, break_cause_t cause)
{
	if (request->claim_key && request->written) {
		request_give_up(entry, request, REASON_UPSTREAM_LOST, RETRY_SOON);
		return;
	}
	if (cause == BREAK_NOT_BEGUN && request->busy++ > 0) {
		unsigned int doublings = MIN(request->busy, BACKOFF_DOUBLINGS);

		attempt_back_off(entry, request, BACKOFF_MIN << doublings);
		return;
	}
	if (cause == BREAK_LOST && ++request->failures >= FAILURES_MAX) {
		request_give_up(entry, request, REASON_RETRY_BUDGET, RETRY_SOON);
		return;
	}
	if (cause == BREAK_LOST && !retry_budget_spend(&entry->retries)) {
		attempt_back_off(entry, request, BACKOFF_NO_BUDGET);
		return;
	}
	attempt_resume(entry, request);
}

static void attempt_failed(entry_t *entry, request_t *request,
			   const upstream_event_t *event)
{
	upstream_t *upstream = upstreams_find(entry->upstreams, request->vm_id);
	bool written = event->kind == UPSTREAM_FAILED && event->written;
	break_cause_t cause = written ? BREAK_LOST : BREAK_NOT_BEGUN;

	if (written && upstream && upstream->leaving)
		cause = BREAK_ANNOUNCED;
	request->attempt_written = written;
	dispatch_drop_attempt(entry, request);
	if (upstream) {
		upstream->failed_at = entry->now;
		upstream->refuses_when_full |= event->kind == UPSTREAM_REJECTED;
	}
	attempt_again(entry, request, cause);
}

/* Takes the first sign of life of an attempt. */
static void attempt_started(entry_t *entry, request_t *request,
			    const upstream_event_t *event)
{
	upstream_t *upstream = upstreams_find(entry->upstreams, request->vm_id);
	unsigned int set_up = event->recomputed;

	if (request->started)
		return;
	request->started = true;
	request->busy = 0;
	if (upstream)
		upstream_started(upstream);
	if (event->kind != UPSTREAM_STARTED)
		return;
	if (request->attempts > 1)
		entry->recomputed += event->recomputed;
	/* An import that worked leaves next to nothing to compute. */
	if (request->imports && set_up == 0)
		move_costs_learn(&entry->move_costs, true,
				 (unsigned int)request->offset,
				 entry->now - request->sent_at);
	else
		move_costs_learn(&entry->move_costs, false, set_up,
				 entry->now - request->sent_at);
}

/*
 * Passes a token on if it is the next one. An upstream that resumed too early
 * repeats tokens the caller has; they are dropped. One that skipped ahead would
 * leave a hole, so its attempt counts as failed.
 */
static void attempt_token(entry_t *entry, request_t *request,
			  const upstream_event_t *event)
{
	upstream_event_t skipped = { .kind = UPSTREAM_FAILED, .written = true };

	request->progress_at = entry->now;
	attempt_started(entry, request, event);
	if (event->offset < request->offset)
		return;
	if (event->offset > request->offset) {
		attempt_failed(entry, request, &skipped);
		return;
	}
	if (!request->first_at) {
		request->first_at = entry->now;
		predict_record_first_token(entry->predict, request->target.name,
					   request->priority,
					   entry->now - request->sent_at);
	}
	if (request->offset >= request->resume_offset)
		request_reply(entry, request, ACTION_TOKEN, event->data,
			      event->len, 0);
	g_string_append_len(request->emitted, event->data, (gssize)event->len);
	if (request->held)
		adopt_token(request->held, event->data, event->len);
	request->offset++;
}

static void attempt_answered(entry_t *entry, request_t *request,
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

/* Takes what an upstream did with an attempt; late news is ignored. */
void attempt_upstream(entry_t *entry, const upstream_event_t *event)
{
	request_t *request = g_hash_table_lookup(entry->running, &event->attempt);

	if (!request)
		return;
	switch (event->kind) {
	case UPSTREAM_SENDING:
		request->attempt_written = true;
		break;
	case UPSTREAM_QUEUED:
		request->progress_at = entry->now;
		break;
	case UPSTREAM_STARTED:
		request->progress_at = entry->now;
		attempt_started(entry, request, event);
		break;
	case UPSTREAM_TOKEN:
		attempt_token(entry, request, event);
		break;
	case UPSTREAM_ANSWER:
		attempt_answered(entry, request, event);
		break;
	case UPSTREAM_END:
		if (request->held)
			request->held->ended = true;
		predict_record_completion(entry->predict, request->target.name,
					  request->priority,
					  entry->now - request->sent_at);
		request_reply(entry, request, ACTION_END, NULL, 0, 0);
		request_end(entry, request);
		break;
	case UPSTREAM_REJECTED:
	case UPSTREAM_FAILED:
		attempt_failed(entry, request, event);
		break;
	}
}
