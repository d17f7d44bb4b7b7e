/*
 * A caller reconnects for the rest of an answer: asks the few entries that may
 * hold it, and continues from what they have, or else runs the request anew.
 */
#include <string.h>

#include "core/entry_state.h"

#define RETRY_AFTER_LONG (5 * PD_SEC)
/*
 * The entry that handed the request over chose among the first three of its own
 * ranking, which excludes itself; the fourth makes up for that.
 */
#define FIND_FANOUT 4
#define FIND_TIMEOUT (500 * PD_MSEC)

/*
 * Dispatches a request. If it starts anew, the tokens that its caller already
 * has are not sent again.
 */
static void resume_dispatch(entry_t *entry, request_t *request)
{
	if (request->state == REQUEST_FINDING)
		g_hash_table_remove(entry->finding, &request->attempt);
	request->state = REQUEST_WAITING;
	if (!dispatch_request(entry, request))
		request_fail(entry, request, REASON_NO_UPSTREAM, RETRY_AFTER_LONG);
}

/*
 * Sends the caller the retained text that it lacks as one event, and continues
 * or ends the request.
 */
static void resume_with_found(entry_t *entry, request_t *request,
			      const peer_msg_t *found)
{
	const handover_t *handover = &found->handover;
	const char *tail;
	gsize len;

	entry_log_decision(entry, request->id, "resume", "go on",
			   request->resume_id, "");
	if (found->body) {
		tail = g_bytes_get_data(found->body, &len);
		/* The event's id is that of the last token in it. */
		request->offset = handover->offset - 1;
		request_reply(entry, request, ACTION_TOKEN, tail, len, 0);
	}
	request->offset = handover->offset;
	g_string_assign(request->emitted, handover->emitted);
	if (handover->ended) {
		request_reply(entry, request, ACTION_END, NULL, 0, 0);
		request_end(entry, request);
		return;
	}
	resume_dispatch(entry, request);
}

/*
 * Returns whether a message holds this request's answer. The answer of another
 * account is not sent, even to a caller that knows its id.
 */
static bool resume_matches(const request_t *request, const peer_msg_t *found)
{
	const handover_t *handover = &found->handover;

	return handover->request_id && handover->account && handover->emitted &&
	       handover->offset >= request->resume_offset &&
	       !strcmp(handover->account, request->account);
}

/*
 * Asks the entries that may hold the answer of EVENT_ID; dispatches the request
 * if there are none.
 */
static void resume_query_peers(entry_t *entry, request_t *request,
			       const char *event_id)
{
	GPtrArray *rank =
		members_rank(entry->members, request->resume_id, FIND_FANOUT);

	request->state = REQUEST_FINDING;
	request->attempt = entry->next_id++;
	request->requested_at = entry->now;
	request->pending_replies = rank->len;
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

/*
 * Looks for the rest of the answer RESUME_ID, in this entry and then at its
 * peers.
 */
void resume_start(entry_t *entry, request_t *request, const char *resume_id)
{
	char *event_id = g_strdup_printf("%s/%" G_GUINT64_FORMAT, resume_id,
					 request->resume_offset);
	peer_msg_t *found = adopt_create_found(entry, event_id);

	request->resume_id = g_strdup(resume_id);
	if (resume_matches(request, found))
		resume_with_found(entry, request, found);
	else
		resume_query_peers(entry, request, event_id);
	peer_msg_destroy(found);
	g_free(event_id);
}

/* Handles a peer's reply to a search. Ignores late ones. */
void resume_handle_found(entry_t *entry, const peer_msg_t *msg)
{
	request_t *request = g_hash_table_lookup(entry->finding, &msg->sequence);

	if (!request)
		return;
	if (resume_matches(request, msg))
		resume_with_found(entry, request, msg);
	else if (--request->pending_replies == 0)
		resume_dispatch(entry, request);
}

/*
 * Dispatches the requests for which no peer has replied in time; the holder may
 * be dead.
 */
void resume_run(entry_t *entry)
{
	GPtrArray *timed_out = g_ptr_array_new();
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, entry->finding);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		request_t *request = value;

		if (entry->now - request->requested_at >= FIND_TIMEOUT)
			g_ptr_array_add(timed_out, request);
	}
	for (guint i = 0; i < timed_out->len; i++)
		resume_dispatch(entry, g_ptr_array_index(timed_out, i));
	g_ptr_array_unref(timed_out);
}
