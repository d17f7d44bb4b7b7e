/* Messages between members, with piggybacked updates. */
#include "core/members_state.h"

/*
 * Adds pending updates to a message. Each goes to the end of the queue once
 * sent. Otherwise, when a fleet starts or a zone is lost, the first eight would
 * be in every message until their sends are used up, and entries would not know
 * of each other for minutes.
 */
static void msg_add_updates(members_t *members, peer_msg_t *msg)
{
	list_node_t sent;
	list_node_t *node;

	list_init(&sent);
	while (msg->update_count < PEER_MSG_ITEMS_MAX &&
	       (node = list_pop(&members->updates))) {
		member_t *member = LIST_ENTRY(node, member_t, update_node);
		member_info_t *update = &msg->updates[msg->update_count++];

		member_info_copy(update, &member->info);
		/* Suspicions are local; peers would disseminate them. */
		if (update->state == MEMBER_SUSPECT)
			update->state = MEMBER_ALIVE;
		if (--member->sends_left > 0)
			list_append(&sent, &member->update_node);
	}
	while ((node = list_pop(&sent)))
		list_append(&members->updates, node);
}

/* Frees a leaving VM that is not linked into a list. */
static void leaving_destroy(leaving_t *leaving)
{
	g_free(leaving->vm_id);
	g_free(leaving);
}

/*
 * Adds leaving VMs to a message. Those sent go to the end of the list.
 * Otherwise, when all VMs of a zone leave, the first eight would be in every
 * message until their sends are used up, and the last would be known everywhere
 * only after more than a minute.
 */
static void msg_add_leaving(members_t *members, peer_msg_t *msg, pd_time_t now)
{
	list_node_t sent;
	list_node_t *node;

	list_init(&sent);
	while (msg->leaving_count < PEER_MSG_ITEMS_MAX &&
	       (node = list_pop(&members->leaving))) {
		leaving_t *leaving = LIST_ENTRY(node, leaving_t, node);
		leaving_info_t *info = &msg->leaving[msg->leaving_count++];

		info->vm_id = g_strdup(leaving->vm_id);
		info->leaves_in = MAX(leaving->leaves_at - now, 0);
		leaving->sent = true;
		if (--leaving->sends_left == 0)
			leaving_destroy(leaving);
		else
			list_append(&sent, &leaving->node);
	}
	while ((node = list_pop(&sent)))
		list_append(&members->leaving, node);
}

/*
 * Adds the death of the receiver, if it is considered dead, as the first
 * update. Only the receiver can refute it, and it may have been unreachable
 * while the update was disseminated; a living member would stay declared dead
 * for good.
 */
static void msg_add_death(members_t *members, peer_msg_t *msg, const char *to)
{
	const member_t *member = g_hash_table_lookup(members->by_id, to);

	if (!member || member->info.state != MEMBER_DEAD)
		return;
	member_info_copy(&msg->updates[msg->update_count++], &member->info);
}

/* Returns a message for the member TO, with updates; the caller owns it. */
peer_msg_t *members_create_msg(members_t *members, peer_msg_kind_t kind,
			       uint64_t sequence, const char *to, pd_time_t now)
{
	peer_msg_t *msg = peer_msg_create(kind);

	msg->sequence = sequence;
	msg->generation = members->generation;
	member_info_copy(&msg->from, &members->self);
	msg_add_death(members, msg, to);
	msg_add_updates(members, msg);
	msg_add_leaving(members, msg, now);
	return msg;
}

/* Appends the sending of MSG to ACTIONS; takes ownership of MSG. */
void members_send(const member_info_t *to, peer_msg_t *msg, list_node_t *actions)
{
	action_t *action = action_create(ACTION_PEER_SEND);

	action->peer.address = g_strdup(to->address);
	action->peer.port = to->peer_port;
	action->peer.msg = msg;
	list_append(actions, &action->node);
}
