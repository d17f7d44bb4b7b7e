/*
 * Gives what can't end in time to other entries when this entry's VM is
 * reclaimed. handover-notes.md has the whole protocol.
 */
#include <string.h>

#include "core/entry_state.h"
#include "core/queue.h"

/*
 * When this much of the notice is left, models' answers under way are given
 * away: room for three peers in turn and for the last bytes to the caller.
 * Earlier would move answers that could still end here.
 */
#define MOVE_LEAD (2 * PD_SEC)
/*
 * A plain service's call can't be moved once it is sent, so it is waited for
 * until this little is left; then its caller is told, while there is time.
 */
#define REFUSE_LEAD (300 * PD_MSEC)
#define OFFER_TIMEOUT (400 * PD_MSEC)
#define OFFERS_MAX 3

/*
 * Of an answer that is itself held for a caller, only what that caller has is
 * given on: the next holder could not tell the bounds of the tokens between.
 */
static void handover_fill(const entry_t *entry, const request_t *request,
			  handover_t *handover)
{
	const held_t *held = request->held;

	handover->request_id = g_strdup(request->id);
	handover->account = g_strdup(request->account);
	handover->target = g_strdup(request->target.name);
	handover->path = g_strdup(request->path);
	handover->vm_id = g_strdup(request->vm_id);
	handover->emitted = held ? g_strndup(held->text->str, held->base_len)
				 : g_strdup(request->emitted->str);
	handover->offset = held ? held->base : request->offset;
	handover->max_tokens = request->max_tokens;
	handover->written = request->written;
	handover->deadline_in = request->deadline - entry->now;
	handover->body = g_bytes_ref(request->body);
}

/*
 * Ends a request here. Its caller is told to come back even if no peer took it:
 * the entry it comes to then runs it anew and leaves out what the caller has,
 * while silence would end in a broken connection.
 */
static void handover_end(entry_t *entry, request_t *request)
{
	action_t *action;

	if (!request->caller_gone) {
		request_reply(entry, request, ACTION_MOVED, NULL, 0, 0);
		action = LIST_ENTRY(entry->actions->prev, action_t, node);
		action->reply.offset = MAX(request->offset, request->resume_offset);
	}
	if (request->held)
		g_hash_table_remove(entry->held, request->id);
	request_end(entry, request);
}

/* Offers a request to the next peer, or ends it if there is none. */
static void handover_offer(entry_t *entry, request_t *request)
{
	GPtrArray *rank = members_rank(entry->members, request->id, OFFERS_MAX);
	const member_info_t *to = NULL;
	peer_msg_t *msg;

	if (request->offers < rank->len)
		to = g_ptr_array_index(rank, request->offers);
	g_ptr_array_unref(rank);
	entry_decide(entry, request->id, "handover", to ? to->id : "none",
		     to ? "this entry leaves" : "no peer took it", "");
	if (!to) {
		handover_end(entry, request);
		return;
	}
	request->offers++;
	request->asked_at = entry->now;
	msg = peer_msg_create(PEER_HANDOVER);
	msg->subject = g_strdup(request->id);
	handover_fill(entry, request, &msg->handover);
	entry_send_peer(entry, to, msg);
}

/*
 * Stops a model's answer here and offers it to a peer. The attempt is dropped
 * first, so that the caller gets no token of which the peer does not know.
 */
static void handover_begin(entry_t *entry, request_t *request)
{
	if (request->state == REQUEST_RUNNING)
		dispatch_drop_attempt(entry, request);
	queue_remove(entry, request);
	request->state = REQUEST_MOVING;
	handover_offer(entry, request);
}

static void handover_check(entry_t *entry, request_t *request)
{
	pd_time_t left = entry->leaves_at - entry->now;

	if (request->target.kind != TARGET_MODEL) {
		if (left <= REFUSE_LEAD)
			request_give_up(entry, request, REASON_STOPPING, PD_SEC);
		return;
	}
	if (request->state == REQUEST_FINDING)
		return; /* it is found or runs in a moment */
	if (request->state != REQUEST_MOVING)
		handover_begin(entry, request);
	else if (entry->now - request->asked_at >= OFFER_TIMEOUT)
		handover_offer(entry, request);
}

/*
 * Moves on what is under way once this entry's VM is about to go. Peers hear of
 * the notice at once, so that none gives its own requests to this entry, as all
 * of an availability zone's may be told at the same time.
 */
void handover_run(entry_t *entry)
{
	GPtrArray *all;
	GHashTableIter it;
	void *value;

	if (!entry->leaves_at)
		return;
	if (!entry->leave_told) {
		entry->leave_told = true;
		members_leave(entry->members, entry->now, entry->actions);
	}
	if (entry->leaves_at - entry->now > MOVE_LEAD)
		return;
	all = g_ptr_array_new();
	g_hash_table_iter_init(&it, entry->requests);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(all, value);
	for (guint i = 0; i < all->len; i++)
		handover_check(entry, g_ptr_array_index(all, i));
	g_ptr_array_unref(all);
}

/* A peer has a request; its caller may go there. */
void handover_acknowledged(entry_t *entry, const char *request_id)
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
