/*
 * A caller comes back for the rest of an answer: asks the few entries that may
 * hold it, goes on from what they have, or runs the request anew.
 */
#include <string.h>

#include "core/entry_state.h"

#define RETRY_LATER (5 * PD_SEC)
/*
 * The entry that gave a request away chose among the first three of its own
 * ranking, which leaves itself out; the fourth makes up for that.
 */
#define FIND_FANOUT 4
#define FIND_TIMEOUT (500 * PD_MSEC)

/* Sends a request out; its caller's tokens are left out if it starts anew. */
static void resume_dispatch(entry_t *entry, request_t *request)
{
	if (request->state == REQUEST_FINDING)
		g_hash_table_remove(entry->finding, &request->attempt);
	request->state = REQUEST_WAITING;
	if (!dispatch_request(entry, request))
		request_give_up(entry, request, REASON_NO_UPSTREAM, RETRY_LATER);
}

/* Gives the caller what was held for it, as one event, and goes on. */
static void resume_take(entry_t *entry, request_t *request, const peer_msg_t *found)
{
	const handover_t *held = &found->handover;
	const char *tail;
	gsize len;

	entry_decide(entry, request->id, "resume", "go on", request->resume_id, "");
	if (found->body) {
		tail = g_bytes_get_data(found->body, &len);
		/* The event's id is that of the last token in it. */
		request->offset = held->offset - 1;
		request_reply(entry, request, ACTION_TOKEN, tail, len, 0);
	}
	request->offset = held->offset;
	g_string_assign(request->emitted, held->emitted);
	if (held->ended) {
		request_reply(entry, request, ACTION_END, NULL, 0, 0);
		request_end(entry, request);
		return;
	}
	resume_dispatch(entry, request);
}

/*
 * Says whether a message holds this request's answer. Another account's is not
 * given out, whoever guesses its id.
 */
static bool resume_matches(const request_t *request, const peer_msg_t *found)
{
	const handover_t *held = &found->handover;

	return held->request_id && held->account && held->emitted &&
	       held->offset >= request->resume_offset &&
	       !strcmp(held->account, request->account);
}

static void resume_ask(entry_t *entry, request_t *request, const char *event_id)
{
	GPtrArray *rank =
		members_rank(entry->members, request->resume_id, FIND_FANOUT);

	request->state = REQUEST_FINDING;
	request->attempt = entry->next_id++;
	request->asked_at = entry->now;
	request->answers_due = rank->len;
	g_hash_table_insert(entry->finding, &request->attempt, request);
	for (guint i = 0; i < rank->len; i++) {
		peer_msg_t *msg = peer_msg_create(PEER_FIND);

		msg->sequence = request->attempt;
		msg->subject = g_strdup(event_id);
		entry_send_peer(entry, g_ptr_array_index(rank, i), msg);
	}
	if (rank->len == 0)
		resume_dispatch(entry, request);
	g_ptr_array_unref(rank);
}

/* Looks for the rest of the answer RESUME_ID, here and then at peers. */
void resume_start(entry_t *entry, request_t *request, const char *resume_id)
{
	char *event_id = g_strdup_printf("%s/%" G_GUINT64_FORMAT, resume_id,
					 request->resume_offset);
	peer_msg_t *found = adopt_answer(entry, event_id);

	request->resume_id = g_strdup(resume_id);
	if (resume_matches(request, found))
		resume_take(entry, request, found);
	else
		resume_ask(entry, request, event_id);
	peer_msg_destroy(found);
	g_free(event_id);
}

/* Takes a peer's answer to a search; one that comes late is ignored. */
void resume_found(entry_t *entry, const peer_msg_t *msg)
{
	request_t *request = g_hash_table_lookup(entry->finding, &msg->sequence);

	if (!request)
		return;
	if (resume_matches(request, msg))
		resume_take(entry, request, msg);
	else if (--request->answers_due == 0)
		resume_dispatch(entry, request);
}

/* Runs anew what no peer has answered for in time; a holder may be dead. */
void resume_run(entry_t *entry)
{
	GPtrArray *late = g_ptr_array_new();
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, entry->finding);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		request_t *request = value;

		if (entry->now - request->asked_at >= FIND_TIMEOUT)
			g_ptr_array_add(late, request);
	}
	for (guint i = 0; i < late->len; i++)
		resume_dispatch(entry, g_ptr_array_index(late, i));
	g_ptr_array_unref(late);
}
