/*
 * Dispatches requests to upstreams, and cancels attempts that stall or must
 * move. Requests that can't be sent at once wait in the queue of their
 * priority.
 */
#include <string.h>

#include "core/entry_state.h"
#include "core/prefix.h"
#include "core/queue.h"

#define RETRY_AFTER_SHORT (1 * PD_SEC)
/*
 * A connection can stall for good without an error. An attempt without any sign
 * of progress for this long is cancelled and its request sent on a new
 * connection; waiting for an error would block the caller until its deadline.
 */
#define SILENCE_MAX (3 * PD_SEC)
/*
 * A service's call on a leaving VM is cancelled and sent elsewhere when this
 * much time is left. Earlier would repeat calls that can still complete.
 */
#define SERVICE_MOVE_LEAD (1 * PD_SEC)
/*
 * The prefill of a long prompt gives no sign of progress either; an attempt may
 * take this many times the expected prefill time.
 */
#define PREFILL_TIME_FACTOR 4

/* Fills DISPATCH for the request's attempt on VM; copies the strings. */
static void dispatch_fill_action(const entry_t *entry, const request_t *request,
				 const vm_t *vm, dispatch_t *dispatch)
{
	const target_t *target = &request->target;

	dispatch->attempt = request->attempt;
	dispatch->kind = target->kind;
	dispatch->vm_id = g_strdup(vm->id);
	dispatch->address = g_strdup(vm->address);
	dispatch->port = vm->port;
	dispatch->request_id = g_strdup(request->id);
	dispatch->target = g_strdup(target->name);
	dispatch->path = g_strdup(request->path);
	dispatch->idempotency_key = g_strdup(request->idempotency_key);
	dispatch->body = g_bytes_ref(request->body);
	dispatch->emitted = g_strdup(request->emitted->str);
	dispatch->offset = request->offset;
	dispatch->max_tokens = request->max_tokens;
	dispatch->priority = request->priority;
	dispatch->timeout = request->deadline - entry->now;
	if (target->checks_fencing)
		dispatch->fence = entry->self.incarnation;
}

/* Resets the state of the previous attempt before a new one starts. */
static void dispatch_reset_attempt(entry_t *entry, request_t *request)
{
	request->attempt_written = false;
	request->started = false;
	request->kv_exportable = false;
	request->retry_at = 0;
	request->first_token_at = 0;
	request->first_offset = request->offset;
	request->sent_at = entry->now;
	request->last_progress_at = entry->now;
}

/* Starts an attempt of the request on that upstream. */
static void dispatch_start(entry_t *entry, request_t *request, upstream_t *upstream)
{
	action_t *action = action_create(ACTION_DISPATCH);
	const upstream_t *source = drain_export_source(entry, request, upstream);

	request->state = REQUEST_RUNNING;
	request->attempt = entry->next_id++;
	request->attempts++;
	request->imports_kv = source != NULL;
	dispatch_reset_attempt(entry, request);
	if (source) {
		action->dispatch.kv_address = g_strdup(source->vm.address);
		action->dispatch.kv_port = source->vm.port;
	}
	g_free(request->vm_id);
	request->vm_id = g_strdup(upstream->vm.id);
	upstream_record_send(upstream);
	entry->running_of[request->priority]++;
	g_hash_table_insert(entry->running, &request->attempt, request);
	dispatch_fill_action(entry, request, &upstream->vm, &action->dispatch);
	list_append(entry->actions, &action->node);
}

/* Sends a request whose attempt was cancelled to TARGET, and logs REASON. */
void dispatch_send_to(entry_t *entry, request_t *request, upstream_t *target,
		      const char *reason)
{
	char *from = g_strdup(request->vm_id);
	char *why;

	dispatch_start(entry, request, target);
	why = g_strdup_printf("%s; %s", reason,
			      request->imports_kv ? "KV cache imported"
						  : "resumed from the text");
	entry_log_decision(entry, request->id, "move", target->vm.id, why, from);
	g_free(from);
	g_free(why);
}

/* Returns the routing query for a request. It borrows from both. */
static route_query_t dispatch_query(entry_t *entry, const request_t *request)
{
	return (route_query_t){ .target = &request->target,
				.priority = request->priority,
				.avoid = request->vm_id,
				.prefix = prefix_cache_hash_prompt(request->body),
				.cache = entry->prefixes,
				.rand = entry->rand,
				.sender_count = upstreams_senders_per_upstream(
					entry->upstreams,
					members_alive(entry->members)),
				.now = entry->now };
}

/* Starts an attempt on the upstream in CHOICE, logs it, and clears CHOICE. */
static void dispatch_send_chosen(entry_t *entry, request_t *request,
				 uint64_t prefix, route_choice_t *choice)
{
	entry_log_decision(entry, request->id, "route", choice->upstream->vm.id,
			   choice->reason, choice->passed_over);
	prefix_cache_record_send(entry->prefixes, choice->upstream->vm.id,
				 prefix, entry->now);
	dispatch_start(entry, request, choice->upstream);
	route_choice_clear(choice);
}

/*
 * Dispatches a request, or queues it if all upstreams are busy. Returns false,
 * without queueing it, if no usable upstream serves its target.
 */
bool dispatch_request(entry_t *entry, request_t *request)
{
	route_query_t query = dispatch_query(entry, request);
	route_choice_t choice;

	switch (route_choose(entry->upstreams, &query, &choice)) {
	case ROUTE_CHOSEN:
		dispatch_send_chosen(entry, request, query.prefix, &choice);
		return true;
	case ROUTE_ALL_BUSY:
		entry_log_decision(entry, request->id, "route", "wait",
				   "no room where it would go", "");
		queue_add(entry, request, request->attempts > 0);
		return true;
	case ROUTE_NONE:
		break;
	}
	entry_log_decision(entry, request->id, "route", "none",
			   "no usable upstream serves it", "");
	return false;
}

/*
 * Dispatches a queued request if there is capacity; returns the result of the
 * routing.
 */
route_result_t dispatch_queued(entry_t *entry, request_t *request)
{
	route_query_t query = dispatch_query(entry, request);
	route_choice_t choice;
	route_result_t result = route_choose(entry->upstreams, &query, &choice);

	if (result == ROUTE_CHOSEN) {
		queue_remove(entry, request);
		dispatch_send_chosen(entry, request, query.prefix, &choice);
	}
	return result;
}

/* Cancels the attempt in flight; its request is then waiting, in no queue. */
void dispatch_cancel_attempt(entry_t *entry, request_t *request)
{
	upstream_t *upstream = upstreams_find(entry->upstreams, request->vm_id);
	action_t *action = action_create(ACTION_CANCEL);

	g_assert(request->state == REQUEST_RUNNING);
	action->attempt = request->attempt;
	list_append(entry->actions, &action->node);
	g_hash_table_remove(entry->running, &request->attempt);
	entry->running_of[request->priority]--;
	request->state = REQUEST_WAITING;
	request->written |= request->attempt_written;
	entry->room_may_exist = true;
	if (!upstream)
		return;
	if (!request->started)
		upstream_record_start(upstream);
	upstream_record_end(upstream);
}

/* Returns how long the attempt may go without a sign of progress. */
static pd_time_t dispatch_silence_max(const entry_t *entry, const request_t *request)
{
	double bytes =
		(double)(g_bytes_get_size(request->body) + request->emitted->len);
	double setup = bytes / PREFIX_BYTES_PER_TOKEN * entry->move_costs.recompute;

	if (request->started)
		return SILENCE_MAX;
	return SILENCE_MAX + (pd_time_t)(PREFILL_TIME_FACTOR * setup);
}

/*
 * Returns whether the attempt should be cancelled, because it stalls or, for a
 * service, because its VM is about to go; sets CAUSE. Streams on leaving VMs
 * are handled by drain_check().
 */
static bool dispatch_should_cancel(const entry_t *entry, const request_t *request,
				   failure_cause_t *cause)
{
	const upstream_t *upstream =
		upstreams_find(entry->upstreams, request->vm_id);
	bool announced = upstream && upstream->leaving;

	*cause = announced ? FAILURE_VM_LEAVING : FAILURE_LOST;
	if (request->claim_key)
		return false; /* can't be resent, so only wait */
	if (request->target.kind == TARGET_MODEL)
		return entry->now - request->last_progress_at >=
		       dispatch_silence_max(entry, request);
	return announced && upstream->leaves_at - entry->now <= SERVICE_MOVE_LEAD;
}

/* Ends, retries or moves one request, if that is due. */
static void dispatch_check_one(entry_t *entry, request_t *request)
{
	failure_cause_t cause;

	if (entry->now >= request->deadline) {
		request_fail(entry, request, REASON_TOO_LATE, RETRY_AFTER_SHORT);
		return;
	}
	if (request->retry_at && entry->now >= request->retry_at) {
		attempt_redispatch(entry, request);
		return;
	}
	if (request->state != REQUEST_RUNNING ||
	    !dispatch_should_cancel(entry, request, &cause))
		return;
	dispatch_cancel_attempt(entry, request);
	attempt_retry(entry, request, cause);
}

/*
 * Ends requests that are past their deadline, and moves those that stall or
 * whose VM leaves.
 */
void dispatch_check_all(entry_t *entry)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, entry->requests);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(all, value);
	for (guint i = 0; i < all->len; i++)
		dispatch_check_one(entry, g_ptr_array_index(all, i));
	g_ptr_array_unref(all);
	drain_check(entry);
}
