/* One request in flight: creation, replies and end. */
#include <string.h>

#include "core/entry_state.h"
#include "core/queue.h"

/*
 * Returns the SHA-256 of the parts, in hex; the caller owns it. The strings are
 * terminated by NUL, which neither may contain. BODY may be NULL.
 */
static char *request_digest(const char *a, const char *b, GBytes *body)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	char *hex;

	g_checksum_update(sum, (const guchar *)a, (gssize)strlen(a) + 1);
	g_checksum_update(sum, (const guchar *)b, (gssize)strlen(b) + 1);
	if (body)
		g_checksum_update(sum, g_bytes_get_data(body, NULL),
				  (gssize)g_bytes_get_size(body));
	hex = g_strdup(g_checksum_get_string(sum));
	g_checksum_free(sum);
	return hex;
}

/* Requests the claim without which the call may not be dispatched. */
static void request_acquire_claim(entry_t *entry, request_t *request,
				  const caller_request_t *from)
{
	const account_t *account = bundle_account(entry->bundle, from->key_hash);
	char *digest = request_digest(request->target.name, request->path,
				      request->body);

	request->state = REQUEST_CLAIMING;
	request->claim_key =
		request_digest(account->name, from->idempotency_key, NULL);
	request->nonce = g_strdup(request->id);
	request->attempt = entry->next_id++;
	g_hash_table_insert(entry->claiming, &request->attempt, request);
	claims_acquire(entry->claims, request->attempt, request->claim_key,
		       request->nonce, digest, entry->now);
	g_free(digest);
}

/*
 * Creates the request of an authorized caller, and requests its claim if its
 * target is not repeatable. The entry owns the request.
 */
request_t *request_create(entry_t *entry, const caller_request_t *from,
			  const target_t *target)
{
	request_t *request = g_new0(request_t, 1);
	const account_t *account = bundle_account(entry->bundle, from->key_hash);

	list_init(&request->node);
	request->state = REQUEST_WAITING;
	request->id = g_strdup_printf("%s-%" G_GINT64_MODIFIER
				      "x-%" G_GUINT64_FORMAT,
				      entry->self.id, entry->self.incarnation,
				      entry->next_id++);
	request->account = g_strdup(account->name);
	request->caller = from->caller;
	request->target = *target;
	request->target.name = g_strdup(target->name);
	request->target.machine_class = NULL;
	request->priority = account->has_priority ? account->priority
						  : target->priority;
	request->path = g_strdup(from->path ? from->path : "/");
	request->idempotency_key = g_strdup(from->idempotency_key);
	request->body = g_bytes_ref(from->body);
	request->max_tokens = from->max_tokens;
	request->resume_offset = from->resume_offset;
	request->emitted = g_string_new(NULL);
	request->arrived_at = entry->now;
	request->deadline = entry->now + target->timeout;
	g_hash_table_insert(entry->requests, &request->caller, request);
	if (!target->repeatable)
		request_acquire_claim(entry, request, from);
	return request;
}

/* Frees a request that no table refers to any more. */
void request_destroy(void *data)
{
	request_t *request = data;

	list_remove(&request->node);
	if (request->adopted)
		request->adopted->request = NULL;
	g_free(request->id);
	g_free(request->account);
	g_free(request->resume_id);
	g_free(request->target.name);
	g_free(request->path);
	g_free(request->idempotency_key);
	g_free(request->claim_key);
	g_free(request->nonce);
	g_free(request->vm_id);
	g_bytes_unref(request->body);
	g_string_free(request->emitted, TRUE);
	g_free(request);
}

/*
 * Appends a reply of that kind to the request's caller, unless the caller has
 * gone. Copies DATA.
 */
void request_reply(entry_t *entry, const request_t *request, action_kind_t kind,
		   const char *data, size_t len, int status)
{
	action_t *action;

	if (request->caller_gone)
		return;
	action = action_create(kind);
	action->reply.caller = request->caller;
	action->reply.request_id = g_strdup(request->id);
	action->reply.offset = request->offset;
	action->reply.data = data ? g_strndup(data, len) : NULL;
	action->reply.len = len;
	action->reply.status = status;
	list_append(entry->actions, &action->node);
}

/* Removes the request from all tables, cancels its attempt and frees it. */
void request_end(entry_t *entry, request_t *request)
{
	if (request->state == REQUEST_RUNNING)
		dispatch_cancel_attempt(entry, request);
	if (request->state == REQUEST_CLAIMING)
		g_hash_table_remove(entry->claiming, &request->attempt);
	if (request->state == REQUEST_FINDING)
		g_hash_table_remove(entry->finding, &request->attempt);
	if (request->state == REQUEST_WAITING)
		queue_remove(entry, request);
	g_hash_table_remove(entry->requests, &request->caller);
}

/*
 * Refuses and ends a request. If no attempt has been written to an upstream the
 * refusal is "not run", and a claim is released so that the caller's retry can
 * run. Otherwise the outcome is unknown, and a claim stays held for ever,
 * because the call may have run.
 */
void request_fail(entry_t *entry, request_t *request, refusal_reason_t reason,
		  pd_time_t retry_after)
{
	refusal_t refusal = REFUSAL_NOT_RUN;

	if (request->state == REQUEST_RUNNING)
		dispatch_cancel_attempt(entry, request);
	if (request->written)
		refusal = REFUSAL_OUTCOME_UNKNOWN;
	else if (request->claim_key)
		claims_release(entry->claims, request->claim_key,
			       request->nonce, entry->now);
	if (!request->caller_gone)
		entry_refuse(entry, request->caller, request->id, refusal,
			     reason, retry_after);
	request_end(entry, request);
}
