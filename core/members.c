/* The table of members, and the handling of received updates. */
#include "core/members.h"

#include <string.h>

#include "core/hash.h"
#include "core/members_state.h"

#define SENDS_PER_LOG2 3 /* times log2 of the number of members */
#define DEAD_REMOVAL_DELAY (900 * PD_SEC) /* then it counts as removed */

/* Unlinks and frees a member; value destructor of the table. */
static void member_destroy(void *data)
{
	member_t *member = data;

	list_remove(&member->node);
	list_remove(&member->update_node);
	member_info_clear(&member->info);
	g_free(member);
}

/*
 * Returns a membership that contains only SELF; the caller owns it. SELF is
 * copied; SEED makes the order of pings reproducible.
 */
members_t *members_create(const member_info_t *self, uint32_t seed)
{
	members_t *members = g_new0(members_t, 1);

	member_info_copy(&members->self, self);
	members->self.state = MEMBER_ALIVE;
	members->rand = g_rand_new_with_seed(seed);
	members->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       member_destroy);
	list_init(&members->list);
	list_init(&members->updates);
	list_init(&members->leaving);
	members->ping_round = g_ptr_array_new_with_free_func(g_free);
	members->sequence = 1;
	return members;
}

/* Frees the membership; NULL is allowed. */
void members_destroy(members_t *members)
{
	if (!members)
		return;
	LIST_FOR_EACH_SAFE (it, &members->leaving) {
		leaving_t *leaving = LIST_ENTRY(it, leaving_t, node);

		g_free(leaving->vm_id);
		g_free(leaving);
	}
	g_hash_table_unref(members->by_id);
	g_ptr_array_unref(members->ping_round);
	g_rand_free(members->rand);
	member_info_clear(&members->self);
	g_free(members->ping_target);
	g_free(members);
}

/* Returns how many entries are considered alive, including this one. */
unsigned int members_alive(const members_t *members)
{
	unsigned int alive = 1;

	LIST_FOR_EACH (it, &members->list) {
		const member_t *member = LIST_ENTRY(it, member_t, node);

		if (member->info.state == MEMBER_ALIVE ||
		    member->info.state == MEMBER_SUSPECT)
			alive++;
	}
	return alive;
}

/*
 * Returns whether a member left, or has been dead for longer than a partition
 * between regions lasts: until then it may only be unreachable.
 */
bool members_is_gone(const members_t *members, const char *id, pd_time_t now)
{
	const member_t *member = g_hash_table_lookup(members->by_id, id);

	if (!member)
		return false;
	if (member->info.state == MEMBER_LEFT)
		return true;
	return member->info.state == MEMBER_DEAD &&
	       now - member->changed_at >= DEAD_REMOVAL_DELAY;
}

/* Returns the known state of another entry, borrowed, or NULL. */
const member_info_t *members_find(const members_t *members, const char *id)
{
	const member_t *member = g_hash_table_lookup(members->by_id, id);

	return member ? &member->info : NULL;
}

/* Returns how often an update is sent so that it reaches all members. */
unsigned int members_send_limit(const members_t *members)
{
	unsigned int size = g_hash_table_size(members->by_id) + 1;

	return SENDS_PER_LOG2 * (g_bit_storage(size));
}

/*
 * Returns whether an update supersedes the known state: a later incarnation
 * does, and within one incarnation the worse state.
 */
static bool update_supersedes(const member_info_t *known, const member_info_t *update)
{
	if (update->incarnation != known->incarnation)
		return update->incarnation > known->incarnation;
	return update->state > known->state;
}

/*
 * Refutes an update that calls this entry suspect or dead, by a higher
 * incarnation, which overrides the update everywhere. Otherwise one lost ping
 * would remove a healthy entry from the fleet.
 */
static void members_refute(members_t *members, const member_info_t *update)
{
	/*
	 * A leaving entry has announced that itself; there is nothing to
	 * refute.
	 */
	if (update->state == MEMBER_ALIVE || members->self.state == MEMBER_LEFT ||
	    update->incarnation < members->self.incarnation)
		return;
	members->self.incarnation = update->incarnation + 1;
}

/* Queues the state of a member for dissemination, behind the others. */
void members_queue_update(members_t *members, member_t *member)
{
	member->sends_left = members_send_limit(members);
	list_remove(&member->update_node);
	list_append(&members->updates, &member->update_node);
}

/*
 * Applies an update from a peer or from the platform's list, and queues it for
 * dissemination if it is new.
 */
static void members_apply_update(members_t *members,
				 const member_info_t *update, pd_time_t now)
{
	member_t *member;

	if (!strcmp(update->id, members->self.id)) {
		members_refute(members, update);
		return;
	}
	member = g_hash_table_lookup(members->by_id, update->id);
	if (!member) {
		if (update->state == MEMBER_DEAD || update->state == MEMBER_LEFT)
			return;
		member = g_new0(member_t, 1);
		member_info_copy(&member->info, update);
		list_init(&member->update_node);
		list_append(&members->list, &member->node);
		g_hash_table_insert(members->by_id, member->info.id, member);
	} else if (update_supersedes(&member->info, update)) {
		/* The id is kept, as the table's key points to it. */
		char *id = g_steal_pointer(&member->info.id);

		member_info_clear(&member->info);
		member_info_copy(&member->info, update);
		g_free(member->info.id);
		member->info.id = id;
	} else {
		return;
	}
	member->changed_at = now;
	member->missed_pings = 0;
	members_queue_update(members, member);
}

/*
 * Adds entries that the platform lists; they are pinged in turn. Other entries
 * read the same list, so these are not disseminated: 320 of them, eight per
 * message, delayed urgent updates.
 */
void members_seed(members_t *members, const member_info_t *infos, size_t count,
		  pd_time_t now)
{
	for (size_t i = 0; i < count; i++) {
		bool known = g_hash_table_contains(members->by_id, infos[i].id);
		member_t *member;

		members_apply_update(members, &infos[i], now);
		member = g_hash_table_lookup(members->by_id, infos[i].id);
		if (!known && member)
			list_remove(&member->update_node);
	}
}

/* Sets the generation of the bundle in force, and pushes it to a few peers. */
void members_set_generation(members_t *members, uint64_t generation)
{
	members->generation = generation;
	members->push_due = true;
	/* New bundles are rare, so the push interval need not be observed. */
	members->next_push = 0;
}

/*
 * Returns whether there is a leaving VM that was not sent to anybody; such VMs
 * are first in the list.
 */
bool members_has_unsent_leaving(const members_t *members)
{
	if (list_empty(&members->leaving))
		return false;
	return !LIST_ENTRY(members->leaving.next, leaving_t, node)->sent;
}

/*
 * Announces that a VM leaves, and pushes that to a few peers at once. To be
 * called once per VM.
 */
void members_announce_leaving(members_t *members, const char *vm_id,
			      pd_time_t leaves_at)
{
	leaving_t *leaving = g_new0(leaving_t, 1);

	leaving->vm_id = g_strdup(vm_id);
	leaving->leaves_at = leaves_at;
	leaving->sends_left = members_send_limit(members);
	list_append(members->leaving.next, &leaving->node);
	members->push_due = true;
}

/* Returns whether a member is considered running. */
bool member_is_up(const member_t *member)
{
	return member->info.state == MEMBER_ALIVE ||
	       member->info.state == MEMBER_SUSPECT;
}

/* Orders members by descending rendezvous weight for KEY, then by id. */
static gint compare_rendezvous_weight(gconstpointer a, gconstpointer b, gpointer key)
{
	const member_info_t *const *one = a;
	const member_info_t *const *other = b;
	uint64_t weight = hash_pair((*one)->id, key);
	uint64_t other_weight = hash_pair((*other)->id, key);

	if (weight != other_weight)
		return weight < other_weight ? 1 : -1;
	return strcmp((*one)->id, (*other)->id);
}

/*
 * Returns up to COUNT other running entries in the order of rendezvous hashing
 * for KEY. Entries with the same members get the same order, except that each
 * leaves out itself. The caller owns the array; its items are borrowed.
 */
GPtrArray *members_rank(const members_t *members, const char *key, unsigned int count)
{
	GPtrArray *rank = g_ptr_array_new();

	LIST_FOR_EACH (it, &members->list) {
		member_t *member = LIST_ENTRY(it, member_t, node);

		if (member_is_up(member))
			g_ptr_array_add(rank, &member->info);
	}
	g_ptr_array_sort_with_data(rank, compare_rendezvous_weight, (gpointer)key);
	if (rank->len > count)
		g_ptr_array_set_size(rank, (gint)count);
	return rank;
}

/*
 * Pings the member named in a ping request on behalf of the sender, to whom the
 * ack goes directly.
 */
static void members_ping_for(members_t *members, const peer_msg_t *msg,
			     pd_time_t now, list_node_t *actions)
{
	const member_info_t *about = members_find(members, msg->subject);
	peer_msg_t *ping;

	if (!about)
		return;
	ping = members_create_msg(members, PEER_PING, msg->sequence, about->id,
				  now);
	member_info_clear(&ping->from);
	member_info_copy(&ping->from, &msg->from);
	ping->generation = msg->generation;
	members_send(about, ping, actions);
}

/*
 * Handles a ping, an ack or a ping request with its updates; appends replies to
 * ACTIONS. Leaving VMs are handled by the entry, which reads them from the
 * message itself.
 */
void members_receive(members_t *members, const peer_msg_t *msg, pd_time_t now,
		     list_node_t *actions)
{
	members_apply_update(members, &msg->from, now);
	members_mark_alive(members, msg->from.id);
	for (unsigned int i = 0; i < msg->update_count; i++)
		members_apply_update(members, &msg->updates[i], now);
	switch (msg->kind) {
	case PEER_PING:
		if (msg->sequence)
			members_send(&msg->from,
				     members_create_msg(members, PEER_ACK,
							msg->sequence,
							msg->from.id, now),
				     actions);
		break;
	case PEER_ACK:
		if (members->ping_target && msg->sequence == members->sequence &&
		    !strcmp(members->ping_target, msg->from.id))
			g_clear_pointer(&members->ping_target, g_free);
		break;
	case PEER_PING_REQ:
		members_ping_for(members, msg, now, actions);
		break;
	case PEER_BUNDLE_PULL:
	case PEER_BUNDLE:
	case PEER_CLAIM:
	case PEER_CLAIM_RESULT:
	case PEER_HANDOVER:
	case PEER_HANDOVER_ACK:
	case PEER_FIND:
	case PEER_FOUND:
	case PEER_MSG_KIND_COUNT:
		break;
	}
}
