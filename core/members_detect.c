/* The SWIM-like failure detector: pings, suspicion and urgent pushes. */
#include <string.h>

#include "core/members_state.h"

#define PING_PERIOD (1 * PD_SEC)
#define PING_TIMEOUT (300 * PD_MSEC)
#define INDIRECT_PINGS 2
#define MISSED_PINGS_MAX 5 /* in a row, one per period */
#define DEAD_PING_PERIOD (10 * PD_SEC)
/*
 * A member that left is removed after this time, when all have learned of it. A
 * dead one is kept for longer than a partition between regions lasts, so that
 * it is pinged again.
 */
#define LEFT_RETENTION (300 * PD_SEC)
#define DEAD_RETENTION (3600 * PD_SEC)
/*
 * Each entry that learns an urgent update first sends it to this many peers.
 * With four, all but a few per cent have it after log4 of the fleet size hops,
 * and the periodic pings reach the rest.
 */
#define PUSH_FANOUT 4
/*
 * Minimum time between pushes. When all VMs of a zone leave, updates arrive
 * faster than a node may send. A push for each would cost several times the
 * node's budget of 3 KB a second; the first is sent at once, later ones are
 * batched.
 */
#define PUSH_INTERVAL (500 * PD_MSEC)

/*
 * Returns up to COUNT random running members except EXCEPT, which may be NULL.
 * The caller owns the array; its items are borrowed.
 */
static GPtrArray *members_sample(members_t *members, unsigned int count,
				 const char *except)
{
	GPtrArray *sample = g_ptr_array_new();
	unsigned int seen = 0;

	LIST_FOR_EACH (it, &members->list) {
		member_t *member = LIST_ENTRY(it, member_t, node);
		guint32 slot;

		if (!member_is_up(member) ||
		    (except && !strcmp(except, member->info.id)))
			continue;
		seen++;
		if (sample->len < count) {
			g_ptr_array_add(sample, member);
			continue;
		}
		slot = (guint32)g_rand_int_range(members->rand, 0, (gint32)seen);
		if (slot < count)
			sample->pdata[slot] = member;
	}
	return sample;
}

/* Sends the pending updates to a few random members at once. */
static void members_send_updates(members_t *members, pd_time_t now,
				 list_node_t *actions)
{
	GPtrArray *sample = members_sample(members, PUSH_FANOUT, NULL);

	members->next_push = now + PUSH_INTERVAL;
	for (guint i = 0; i < sample->len; i++) {
		member_t *member = g_ptr_array_index(sample, i);

		members_send(&member->info,
			     members_create_msg(members, PEER_PING, 0,
						member->info.id, now),
			     actions);
	}
	g_ptr_array_unref(sample);
	members->push_due = members_has_unsent_leaving(members);
}

/* Returns a member that this entry itself suspects, or NULL. */
static member_t *members_find_suspect(const members_t *members)
{
	LIST_FOR_EACH (it, &members->list) {
		member_t *member = LIST_ENTRY(it, member_t, node);

		if (member->info.state == MEMBER_SUSPECT && member->missed_pings)
			return member;
	}
	return NULL;
}

/*
 * Returns the next member to ping, or NULL: one that this entry suspects, or
 * the next of a shuffled round, so that each is pinged regularly.
 */
static member_t *members_next_target(members_t *members)
{
	member_t *suspect = members_find_suspect(members);

	if (suspect)
		return suspect;
	for (;;) {
		member_t *member;
		char *id;

		if (members->ping_round->len == 0) {
			LIST_FOR_EACH (it, &members->list) {
				member = LIST_ENTRY(it, member_t, node);
				if (member_is_up(member))
					g_ptr_array_add(members->ping_round,
							g_strdup(member->info.id));
			}
			if (members->ping_round->len == 0)
				return NULL;
		}
		id = g_ptr_array_steal_index_fast(
			members->ping_round,
			(guint)g_rand_int_range(members->rand, 0,
						(gint32)members->ping_round->len));
		member = g_hash_table_lookup(members->by_id, id);
		g_free(id);
		if (member && member_is_up(member))
			return member;
	}
}

/* Starts the ping of this period. */
static void members_ping(members_t *members, pd_time_t now, list_node_t *actions)
{
	member_t *member = members_next_target(members);

	members->next_ping = now + PING_PERIOD;
	if (!member)
		return;
	members->ping_target = g_strdup(member->info.id);
	members->ping_sent_at = now;
	members->indirect_sent = false;
	members->sequence++;
	members_send(&member->info,
		     members_create_msg(members, PEER_PING, members->sequence,
					member->info.id, now),
		     actions);
}

/*
 * Pings one random dead member from time to time. The two sides of a partition
 * consider each other dead and send each other nothing, so otherwise neither
 * would notice that the link is back.
 */
static void members_ping_dead(members_t *members, pd_time_t now, list_node_t *actions)
{
	member_t *chosen = NULL;
	gint32 seen = 0;

	members->next_dead_ping = now + DEAD_PING_PERIOD;
	LIST_FOR_EACH (it, &members->list) {
		member_t *member = LIST_ENTRY(it, member_t, node);

		if (member->info.state == MEMBER_DEAD &&
		    g_rand_int_range(members->rand, 0, ++seen) == 0)
			chosen = member;
	}
	if (!chosen)
		return;
	members->sequence++;
	members_send(&chosen->info,
		     members_create_msg(members, PEER_PING, members->sequence,
					chosen->info.id, now),
		     actions);
}

/*
 * Asks two other members to ping the target, since a lost or slow direct path
 * must not make a healthy member suspect.
 */
static void members_ping_indirectly(members_t *members, pd_time_t now,
				    list_node_t *actions)
{
	GPtrArray *helpers =
		members_sample(members, INDIRECT_PINGS, members->ping_target);

	members->indirect_sent = true;
	for (guint i = 0; i < helpers->len; i++) {
		member_t *helper = g_ptr_array_index(helpers, i);
		peer_msg_t *msg = members_create_msg(members, PEER_PING_REQ,
						     members->sequence,
						     helper->info.id, now);

		msg->subject = g_strdup(members->ping_target);
		members_send(&helper->info, msg, actions);
	}
	g_ptr_array_unref(helpers);
}

/* Sets the state of a member and disseminates it. */
static void member_set_state(members_t *members, member_t *member,
			     member_state_t state, pd_time_t now)
{
	member->info.state = state;
	member->changed_at = now;
	members_queue_update(members, member);
}

/*
 * Handles a ping without an ack. The suspicion is local: this entry pings the
 * member again each period, and disseminates its death only after
 * MISSED_PINGS_MAX unanswered pings in a row. Disseminating and refuting each
 * suspicion filled every message at 320 members with 5 % loss; the refutations
 * came too late and living members were declared dead.
 */
static void members_time_out_ping(members_t *members, pd_time_t now)
{
	member_t *member;

	if (!members->ping_target)
		return;
	member = g_hash_table_lookup(members->by_id, members->ping_target);
	if (member && member_is_up(member)) {
		member->info.state = MEMBER_SUSPECT;
		if (++member->missed_pings >= MISSED_PINGS_MAX)
			member_set_state(members, member, MEMBER_DEAD, now);
	}
	g_clear_pointer(&members->ping_target, g_free);
}

/* Clears the suspicion of a member after a message directly from it. */
void members_mark_alive(members_t *members, const char *id)
{
	member_t *member = g_hash_table_lookup(members->by_id, id);

	if (!member || !member_is_up(member))
		return;
	member->info.state = MEMBER_ALIVE;
	member->missed_pings = 0;
}

/* Returns whether a member that is not running is to be removed. */
static gboolean member_has_expired(void *key, void *value, void *data)
{
	const member_t *member = value;
	const pd_time_t *now = data;
	pd_time_t retention = member->info.state == MEMBER_DEAD ? DEAD_RETENTION
								: LEFT_RETENTION;

	(void)key;
	return !member_is_up(member) && *now - member->changed_at > retention;
}

/* Sends the pings and updates that are due at NOW; appends them to ACTIONS. */
void members_run(members_t *members, pd_time_t now, list_node_t *actions)
{
	if (members->push_due && now >= members->next_push)
		members_send_updates(members, now, actions);
	if (members->ping_target && !members->indirect_sent &&
	    now - members->ping_sent_at >= PING_TIMEOUT)
		members_ping_indirectly(members, now, actions);
	if (now < members->next_ping)
		return;
	members_time_out_ping(members, now);
	g_hash_table_foreach_remove(members->by_id, member_has_expired, &now);
	if (now >= members->next_dead_ping)
		members_ping_dead(members, now, actions);
	members_ping(members, now, actions);
}

/* Tells a few peers that this entry stops as planned. */
void members_leave(members_t *members, pd_time_t now, list_node_t *actions)
{
	members->self.state = MEMBER_LEFT;
	members_send_updates(members, now, actions);
}
