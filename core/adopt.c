/*
 * Requests that leaving entries gave to this one: runs them on, keeps what they
 * answer, and gives it to the entry that their caller comes back to.
 */
#include <string.h>

#include "core/entry_state.h"
#include "core/queue.h"

/* A caller who has not come back by then has gone for good. */
#define HELD_MAX (120 * PD_SEC)
/* Adopted requests have no connection; their ids must not meet those that do. */
#define ADOPTED_CALLER ((caller_id_t)1 << 63)

/* Frees what is held; a run of it goes on without being kept. */
void held_destroy(void *data)
{
	held_t *held = data;

	if (held->request)
		held->request->held = NULL;
	g_free(held->id);
	g_free(held->account);
	g_string_free(held->text, TRUE);
	g_array_unref(held->ends);
	g_free(held);
}

static held_t *held_create(entry_t *entry, const handover_t *from)
{
	held_t *held = g_new0(held_t, 1);

	held->id = g_strdup(from->request_id);
	held->account = g_strdup(from->account);
	held->text = g_string_new(from->emitted);
	held->base = from->offset;
	held->base_len = held->text->len;
	held->ends = g_array_new(FALSE, FALSE, sizeof(gsize));
	held->expires_at = entry->now + HELD_MAX;
	g_hash_table_insert(entry->held, held->id, held);
	return held;
}

static const account_t *account_named(const bundle_t *bundle, const char *name)
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

static void adopt_start(entry_t *entry, const handover_t *from,
			const account_t *account, const target_t *target)
{
	const caller_request_t as_asked = {
		.caller = ADOPTED_CALLER | entry->next_id++,
		.kind = target->kind,
		.key_hash = account->key_hash,
		.path = from->path,
		.body = from->body,
		.max_tokens = from->max_tokens,
	};
	request_t *request = request_create(entry, &as_asked, target);

	g_free(request->id);
	request->id = g_strdup(from->request_id);
	request->caller_gone = true;
	g_string_assign(request->emitted, from->emitted);
	request->offset = from->offset;
	request->deadline = entry->now + from->deadline_in;
	request->written = from->written;
	request->held = held_create(entry, from);
	request->held->request = request;
	entry_decide(entry, request->id, "handover", "adopt",
		     "its entry leaves", "");
	if (!dispatch_request(entry, request))
		queue_add(entry, request, true);
}

/* Says whether a request may be adopted, and by what it then runs. */
static bool adopt_check(const entry_t *entry, const handover_t *from,
			const account_t **account, const target_t **target)
{
	if (entry->stopping || !entry->bundle || !from->request_id || !from->body)
		return false;
	*account = account_named(entry->bundle, from->account);
	*target = bundle_target(entry->bundle, from->target);
	return *account && *target && (*target)->kind == TARGET_MODEL;
}

/*
 * Takes a request over from a leaving entry and says so. One that came before
 * is acknowledged again, as the first acknowledgement may be lost. An entry that
 * can't take it says nothing, and the other asks its next peer.
 */
void adopt_handover(entry_t *entry, const peer_msg_t *msg)
{
	const handover_t *from = &msg->handover;
	const account_t *account;
	const target_t *target;
	peer_msg_t *ack;

	if (!adopt_check(entry, from, &account, &target))
		return;
	if (!g_hash_table_contains(entry->held, from->request_id))
		adopt_start(entry, from, account, target);
	ack = peer_msg_create(PEER_HANDOVER_ACK);
	ack->subject = g_strdup(from->request_id);
	entry_send_peer(entry, &msg->from, ack);
}

/* Keeps one more token. */
void adopt_token(held_t *held, const char *data, size_t len)
{
	g_string_append_len(held->text, data, (gssize)len);
	g_array_append_val(held->ends, held->text->len);
}

/*
 * Finds where token OFFSET begins in the text; false if that is not known. The
 * first one's place always is: whoever waits for a whole answer has no token.
 */
static bool held_split(const held_t *held, uint64_t offset, gsize *at)
{
	*at = 0;
	if (offset == 0)
		return true;
	if (offset < held->base || offset - held->base > held->ends->len)
		return false;
	*at = held->base_len;
	if (offset > held->base)
		*at = g_array_index(held->ends, gsize, offset - held->base - 1);
	return true;
}

/* Looks up REQUEST-ID/OFFSET; OFFSET is the next token's place. */
static held_t *held_find(const entry_t *entry, const char *event_id, gsize *at)
{
	const char *slash = strrchr(event_id, '/');
	held_t *held;
	char *id;

	if (!slash)
		return NULL;
	id = g_strndup(event_id, (gsize)(slash - event_id));
	held = g_hash_table_lookup(entry->held, id);
	g_free(id);
	if (!held || !held_split(held, g_ascii_strtoull(slash + 1, NULL, 10), at))
		return NULL;
	return held;
}

/*
 * Returns what this entry has of the answer that EVENT_ID (REQUEST-ID/OFFSET)
 * is in, as a message that the caller then owns: the text so far, and from
 * OFFSET on once more as its body. An empty one says that it has none. A run
 * ends here, since it goes on at the entry that asked; its text stays for the
 * case that the message is lost.
 */
peer_msg_t *adopt_answer(entry_t *entry, const char *event_id)
{
	peer_msg_t *msg = peer_msg_create(PEER_FOUND);
	gsize at;
	held_t *held = held_find(entry, event_id, &at);

	if (!held)
		return msg;
	if (held->request)
		request_end(entry, held->request);
	msg->handover.request_id = g_strdup(held->id);
	msg->handover.account = g_strdup(held->account);
	msg->handover.emitted = g_strdup(held->text->str);
	msg->handover.offset = held->base + held->ends->len;
	msg->handover.ended = held->ended;
	if (held->text->len > at)
		msg->body = g_bytes_new(held->text->str + at, held->text->len - at);
	return msg;
}

/* Answers an entry that asks who holds a request. */
void adopt_find(entry_t *entry, const peer_msg_t *msg)
{
	peer_msg_t *answer;

	if (!msg->subject)
		return;
	answer = adopt_answer(entry, msg->subject);
	answer->sequence = msg->sequence;
	entry_send_peer(entry, &msg->from, answer);
}

static gboolean held_expires(void *key, void *value, void *data)
{
	const held_t *held = value;
	const pd_time_t *now = data;

	(void)key;
	return !held->request && *now >= held->expires_at;
}

/* Forgets answers that nobody came back for. */
void adopt_run(entry_t *entry)
{
	g_hash_table_foreach_remove(entry->held, held_expires, &entry->now);
}
