/* Messages between members, and the news that rides on them. */
#include "core/members_state.h"

/*
 * Adds members that are news. Each goes behind the others once told: when a
 * fleet starts, or a zone goes, the first eight would else ride on every message
 * until they are worn out, and entries would not know of each other for minutes.
 */
static void msg_add_updates(members_t *members, peer_msg_t *msg)
{
	list_node_t sent;
	list_node_t *node;

	list_init(&sent);
	while (msg->news_count < PEER_NEWS_MAX &&
	       (node = list_pop(&members->updates))) {
		member_t *member = LIST_ENTRY(node, member_t, update_node);
		member_info_t *update = &msg->news[msg->news_count++];

		member_info_copy(update, &member->info);
		/* A suspicion is this entry's own; others would pass it on. */
		if (update->state == MEMBER_SUSPECT)
			update->state = MEMBER_ALIVE;
		if (--member->sends_left > 0)
			list_append(&sent, &member->update_node);
	}
	while ((node = list_pop(&sent)))
		list_append(&members->updates, node);
}

static void leaving_destroy(leaving_t *leaving)
{
	g_free(leaving->vm_id);
	g_free(leaving);
}

/*
 * Adds leaving VMs. What was told goes to the end: when a zone's VMs leave at
 * once, the first eight would else ride on every message until they are worn
 * out, and the last would be known everywhere only after a minute and more.
 */
static void msg_add_leaving(members_t *members, peer_msg_t *msg, pd_time_t now)
{
	list_node_t sent;
	list_node_t *node;

	list_init(&sent);
	while (msg->leaving_count < PEER_NEWS_MAX &&
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
 * Tells a member first that it is thought dead, if it is. It alone can
 * refute that, and it may have been unreachable while the news went round; a
 * living member would stay declared dead for good.
 */
static void msg_add_death(members_t *members, peer_msg_t *msg, const char *to)
{
	const member_t *member = g_hash_table_lookup(members->by_id, to);

	if (!member || member->info.state != MEMBER_DEAD)
		return;
	member_info_copy(&msg->news[msg->news_count++], &member->info);
}

/* Returns a message for the member TO, with news; owned by the caller. */
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

/* Appends a message to a member; takes MSG over. */
void members_send(const member_info_t *to, peer_msg_t *msg, list_node_t *actions)
{
	action_t *action = action_create(ACTION_PEER_SEND);

	action->peer.address = g_strdup(to->address);
	action->peer.port = to->peer_port;
	action->peer.msg = msg;
	list_append(actions, &action->node);
}
