/*
 * Hands requests that can't finish in time over to other entries when this
 * entry's VM is reclaimed. handover-notes.md describes the whole protocol.
 */
#include <string.h>

#include "core/entry_state.h"
#include "core/queue.h"

/*
 * The time before the VM goes at which models' answers in flight are handed
 * over: enough for three peers in turn and for the last bytes to the caller. An
 * earlier handover would move answers that could still finish here.
 */
#define HANDOVER_LEAD (2 * PD_SEC)
/*
 * A service's call can't be moved once it is sent, so it may run until this
 * little time is left; then its caller is refused, while that is still
 * possible.
 */
#define REFUSE_LEAD (300 * PD_MSEC)
#define OFFER_TIMEOUT (400 * PD_MSEC)
#define OFFERS_MAX 3

/*
 * Fills HANDOVER from the request. Of an answer that was itself handed over to
 * this entry, only what its caller has is included: the next holder could not
 * tell the boundaries of the later tokens.
 */
static void handover_fill(const entry_t *entry, const request_t *request,
			  handover_t *handover)
{
	const adopted_answer_t *adopted = request->adopted;

	handover->request_id = g_strdup(request->id);
	handover->account = g_strdup(request->account);
	handover->target = g_strdup(request->target.name);
	handover->path = g_strdup(request->path);
	handover->vm_id = g_strdup(request->vm_id);
	handover->emitted =
		adopted ? g_strndup(adopted->text->str, adopted->base_bytes)
			: g_strdup(request->emitted->str);
	handover->offset = adopted ? adopted->base_offset : request->offset;
	handover->max_tokens = request->max_tokens;
	handover->written = request->written;
	handover->deadline_in = request->deadline - entry->now;
	handover->body = g_bytes_ref(request->body);
}

/*
 * Ends a request in this entry. Its caller is told to reconnect even if no peer
 * has accepted it: the entry that it then reaches runs the request anew and
 * omits what the caller has, while silence would end in a broken connection.
 */
static void handover_end(entry_t *entry, request_t *request)
{
	action_t *action;

	if (!request->caller_gone) {
		request_reply(entry, request, ACTION_MOVED, NULL, 0, 0);
		action = LIST_ENTRY(entry->actions->prev, action_t, node);
		action->reply.offset = MAX(request->offset, request->resume_offset);
	}
	if (request->adopted)
		g_hash_table_remove(entry->adopted, request->id);
	request_end(entry, request);
}

/* Offers a request to the next peer, or ends it if there is none. */
static void handover_offer(entry_t *entry, request_t *request)
{
	GPtrArray *rank = members_rank(entry->members, request->id, OFFERS_MAX);
	const member_info_t *to = NULL;
	peer_msg_t *msg;

	if (request->offer_count < rank->len)
		to = g_ptr_array_index(rank, request->offer_count);
	g_ptr_array_unref(rank);
	entry_log_decision(entry, request->id, "handover", to ? to->id : "none",
			   to ? "this entry leaves" : "no peer took it", "");
	if (!to) {
		handover_end(entry, request);
		return;
	}
	request->offer_count++;
	request->requested_at = entry->now;
	msg = peer_msg_create(PEER_HANDOVER);
	msg->subject = g_strdup(request->id);
	handover_fill(entry, request, &msg->handover);
	entry_send_peer(entry, to, msg);
}

/*
 * Stops generating a model's answer and offers it to a peer. The attempt is
 * cancelled first, so that the caller gets no token that the peer does not know
 * of.
 */
static void handover_begin(entry_t *entry, request_t *request)
{
	if (request->state == REQUEST_RUNNING)
		dispatch_cancel_attempt(entry, request);
	queue_remove(entry, request);
	request->state = REQUEST_MOVING;
	handover_offer(entry, request);
}

/* Hands one request over, or refuses it, if that is due. */
static void handover_check(entry_t *entry, request_t *request)
{
	pd_time_t left = entry->leaves_at - entry->now;

	if (request->target.kind != TARGET_MODEL) {
		if (left <= REFUSE_LEAD)
			request_fail(entry, request, REASON_STOPPING, PD_SEC);
		return;
	}
	if (request->state == REQUEST_FINDING)
		return; /* it is found or dispatched in a moment */
	if (request->state != REQUEST_MOVING)
		handover_begin(entry, request);
	else if (entry->now - request->requested_at >= OFFER_TIMEOUT)
		handover_offer(entry, request);
}

/*
 * Hands over the requests in flight when this entry's VM is about to go. Peers
 * are told of the notice at once, so that none hands its own requests over to
 * this entry, as all entries of an availability zone may get a notice at the
 * same time.
 */
void handover_run(entry_t *entry)
{
	GPtrArray *all;
	GHashTableIter it;
	void *value;

	if (!entry->leaves_at)
		return;
	if (!entry->leave_announced) {
		entry->leave_announced = true;
		members_leave(entry->members, entry->now, entry->actions);
	}
	if (entry->leaves_at - entry->now > HANDOVER_LEAD)
		return;
	all = g_ptr_array_new();
	g_hash_table_iter_init(&it, entry->requests);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(all, value);
	for (guint i = 0; i < all->len; i++)
		handover_check(entry, g_ptr_array_index(all, i));
	g_ptr_array_unref(all);
}

/* Handles a peer's acknowledgement of a request: its caller may go there. */
void handover_handle_ack(entry_t *entry, const char *request_id)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, entry->requests);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		request_t *request = value;

		if (request->state != REQUEST_MOVING ||
		    strcmp(request->id, request_id))
			continue;
		handover_end(entry, request);
		return;
	}
}
