/*
 * Requests that leaving entries handed over to this one: runs them, retains
 * their answers, and sends these to the entry that their caller reconnects to.
 */
#include <string.h>

#include "core/entry_state.h"
#include "core/queue.h"

/* A caller that has not reconnected by then is assumed to be gone for good. */
#define ADOPTED_ANSWER_TTL (120 * PD_SEC)
/*
 * Adopted requests have no connection; this bit keeps their caller ids distinct
 * from those that do.
 */
#define ADOPTED_CALLER ((caller_id_t)1 << 63)

/*
 * Frees an adopted answer. A request that still runs for it continues without
 * recording its tokens.
 */
void adopted_answer_destroy(void *data)
{
	adopted_answer_t *adopted = data;

	if (adopted->request)
		adopted->request->adopted = NULL;
	g_free(adopted->id);
	g_free(adopted->account);
	g_string_free(adopted->text, TRUE);
	g_array_unref(adopted->token_ends);
	g_free(adopted);
}

/*
 * Adds the answer of a request that is handed over to the entry's table;
 * returns it, borrowed.
 */
static adopted_answer_t *adopted_answer_create(entry_t *entry,
					       const handover_t *from)
{
	adopted_answer_t *adopted = g_new0(adopted_answer_t, 1);

	adopted->id = g_strdup(from->request_id);
	adopted->account = g_strdup(from->account);
	adopted->text = g_string_new(from->emitted);
	adopted->base_offset = from->offset;
	adopted->base_bytes = adopted->text->len;
	adopted->token_ends = g_array_new(FALSE, FALSE, sizeof(gsize));
	adopted->expires_at = entry->now + ADOPTED_ANSWER_TTL;
	g_hash_table_insert(entry->adopted, adopted->id, adopted);
	return adopted;
}

/* Returns the account of that name, borrowed, or NULL. */
static const account_t *find_account(const bundle_t *bundle, const char *name)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, bundle->accounts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const account_t *account = value;

		if (!strcmp(account->name, name))
			return account;
	}
	return NULL;
}

/* Runs a request that is handed over, from its offset on. */
static void adopt_start(entry_t *entry, const handover_t *from,
			const account_t *account, const target_t *target)
{
	const caller_request_t original = {
		.caller = ADOPTED_CALLER | entry->next_id++,
		.kind = target->kind,
		.key_hash = account->key_hash,
		.path = from->path,
		.body = from->body,
		.max_tokens = from->max_tokens,
	};
	request_t *request = request_create(entry, &original, target);

	g_free(request->id);
	request->id = g_strdup(from->request_id);
	request->caller_gone = true;
	g_string_assign(request->emitted, from->emitted);
	request->offset = from->offset;
	request->deadline = entry->now + from->deadline_in;
	request->written = from->written;
	request->adopted = adopted_answer_create(entry, from);
	request->adopted->request = request;
	entry_log_decision(entry, request->id, "handover", "adopt",
			   "its entry leaves", "");
	if (!dispatch_request(entry, request))
		queue_add(entry, request, true);
}

/*
 * Returns whether this entry can adopt a request; if so sets its ACCOUNT and
 * TARGET, borrowed.
 */
static bool adopt_check(const entry_t *entry, const handover_t *from,
			const account_t **account, const target_t **target)
{
	if (entry->stopping || !entry->bundle || !from->request_id || !from->body)
		return false;
	*account = find_account(entry->bundle, from->account);
	*target = bundle_target(entry->bundle, from->target);
	return *account && *target && (*target)->kind == TARGET_MODEL;
}

/*
 * Adopts a request of a leaving entry and acknowledges it. A repeated one is
 * acknowledged again, as the first acknowledgement may have been lost. An entry
 * that can't adopt it does not reply, and the other entry asks its next peer.
 */
void adopt_handover(entry_t *entry, const peer_msg_t *msg)
{
	const handover_t *from = &msg->handover;
	const account_t *account;
	const target_t *target;
	peer_msg_t *ack;

	if (!adopt_check(entry, from, &account, &target))
		return;
	if (!g_hash_table_contains(entry->adopted, from->request_id))
		adopt_start(entry, from, account, target);
	ack = peer_msg_create(PEER_HANDOVER_ACK);
	ack->subject = g_strdup(from->request_id);
	entry_send_peer(entry, &msg->from, ack);
}

/* Appends one token to the answer. */
void adopted_answer_append(adopted_answer_t *adopted, const char *data, size_t len)
{
	g_string_append_len(adopted->text, data, (gssize)len);
	g_array_append_val(adopted->token_ends, adopted->text->len);
}

/*
 * Sets AT to the position of token OFFSET in the text. Returns false if it is
 * unknown. The position of token 0 is always known: a caller that waits for a
 * whole answer has no token.
 */
static bool adopted_answer_split(const adopted_answer_t *adopted,
				 uint64_t offset, gsize *at)
{
	*at = 0;
	if (offset == 0)
		return true;
	if (offset < adopted->base_offset ||
	    offset - adopted->base_offset > adopted->token_ends->len)
		return false;
	*at = adopted->base_bytes;
	if (offset > adopted->base_offset)
		*at = g_array_index(adopted->token_ends, gsize,
				    offset - adopted->base_offset - 1);
	return true;
}

/*
 * Returns the answer of EVENT_ID (REQUEST-ID/OFFSET, OFFSET being that of the
 * next token), borrowed, and sets AT to the token's position; NULL if there is
 * none.
 */
static adopted_answer_t *adopted_answer_find(const entry_t *entry,
					     const char *event_id, gsize *at)
{
	const char *slash = strrchr(event_id, '/');
	adopted_answer_t *adopted;
	char *id;

	if (!slash)
		return NULL;
	id = g_strndup(event_id, (gsize)(slash - event_id));
	adopted = g_hash_table_lookup(entry->adopted, id);
	g_free(id);
	if (!adopted ||
	    !adopted_answer_split(adopted,
				  g_ascii_strtoull(slash + 1, NULL, 10), at))
		return NULL;
	return adopted;
}

/*
 * Returns what this entry has of the answer of EVENT_ID (REQUEST-ID/OFFSET) as
 * a message, owned by the caller: the text so far, and its part from OFFSET on
 * as the body. The message is empty if there is none. The request ends here,
 * since it continues at the entry that asked; its text is retained in case the
 * message is lost.
 */
peer_msg_t *adopt_create_found(entry_t *entry, const char *event_id)
{
	peer_msg_t *msg = peer_msg_create(PEER_FOUND);
	gsize at;
	adopted_answer_t *adopted = adopted_answer_find(entry, event_id, &at);

	if (!adopted)
		return msg;
	if (adopted->request)
		request_end(entry, adopted->request);
	msg->handover.request_id = g_strdup(adopted->id);
	msg->handover.account = g_strdup(adopted->account);
	msg->handover.emitted = g_strdup(adopted->text->str);
	msg->handover.offset = adopted->base_offset + adopted->token_ends->len;
	msg->handover.ended = adopted->ended;
	if (adopted->text->len > at)
		msg->body = g_bytes_new(adopted->text->str + at,
					adopted->text->len - at);
	return msg;
}

/* Replies to an entry that looks for the holder of a request. */
void adopt_handle_find(entry_t *entry, const peer_msg_t *msg)
{
	peer_msg_t *answer;

	if (!msg->subject)
		return;
	answer = adopt_create_found(entry, msg->subject);
	answer->sequence = msg->sequence;
	entry_send_peer(entry, &msg->from, answer);
}

/*
 * Returns whether the request has ended and its caller has not come back in
 * time.
 */
static gboolean adopted_answer_has_expired(void *key, void *value, void *data)
{
	const adopted_answer_t *adopted = value;
	const pd_time_t *now = data;

	(void)key;
	return !adopted->request && *now >= adopted->expires_at;
}

/* Removes answers that have expired. */
void adopt_run(entry_t *entry)
{
	g_hash_table_foreach_remove(entry->adopted, adopted_answer_has_expired,
				    &entry->now);
}
