/*
 * Simulates many members of the membership protocol on a lossy network, with a
 * simulated clock. Header only, since C tests, C++ property tests and benchmarks
 * link different parts of the harness.
 */
#ifndef PISTACHIO_TEST_GOSSIP_H
#define PISTACHIO_TEST_GOSSIP_H

#include <glib.h>
#include <string.h>

#include "adapters/peer_codec.h"
#include "core/members.h"
#include "ports/event.h"

#define GOSSIP_STEP (20 * PD_MSEC) /* also a message's transit time */
#define GOSSIP_FRAME_BYTES \
	8 /* the length field, and an empty acknowledgement */
#define GOSSIP_WAVE_MAX 128 /* VMs that leave at once */
#define GOSSIP_START (1000 * PD_SEC)

typedef struct gossip_node {
	members_t *members;
	member_info_t info;
	bool dead;
	pd_time_t frozen_until; /* it neither reads nor sends before */
	uint64_t generation;
	pd_time_t generation_at;
	bool has_leaving; /* knows of the leaving VM */
	bool wave[GOSSIP_WAVE_MAX]; /* VMs of a reclaim wave that it knows of */
	unsigned int wave_known_count;
	pd_time_t wave_known_at; /* when it learned of the last one */
	pd_time_t leaving_at;
	GPtrArray *inbox; /* of peer_msg_t, owned */
	uint64_t messages; /* sent */
	uint64_t bytes; /* sent, without TCP and IP */
	uint64_t message_bytes_max; /* size of the largest message */
} gossip_node_t;

typedef struct gossip {
	gossip_node_t *nodes;
	unsigned int size;
	GRand *rand;
	double loss; /* probability that a message is lost, 0 to 1 */
	unsigned int partition_size; /* nodes below it are cut off from the rest; 0: none */
	pd_time_t now;
} gossip_t;

static inline void gossip_free_msg(gpointer msg)
{
	peer_msg_destroy((peer_msg_t *)msg);
}

/* Starts or restarts a node; its seeds are all nodes. */
static inline void gossip_join(gossip_t *gossip, unsigned int index,
			       uint64_t incarnation)
{
	gossip_node_t *node = &gossip->nodes[index];

	node->info.incarnation = incarnation;
	node->dead = false;
	node->members = members_create(&node->info, index * 7919 + 1);
	for (unsigned int i = 0; i < gossip->size; i++)
		members_seed(node->members, &gossip->nodes[i].info, 1, gossip->now);
}

/*
 * Returns a simulation of SIZE nodes that know each other. LOSS is the probability
 * that a message is lost, from 0 to 1. The caller destroys it.
 */
static inline gossip_t *gossip_create(unsigned int size, uint32_t seed, double loss)
{
	gossip_t *gossip = g_new0(gossip_t, 1);

	gossip->nodes = g_new0(gossip_node_t, size);
	gossip->size = size;
	gossip->rand = g_rand_new_with_seed(seed);
	gossip->loss = loss;
	gossip->now = GOSSIP_START;
	for (unsigned int i = 0; i < size; i++) {
		gossip_node_t *node = &gossip->nodes[i];

		node->info.id = g_strdup_printf("entry-%03u", i);
		node->info.zone = g_strdup_printf("zone-%c", 'a' + (int)(i % 11));
		node->info.address =
			g_strdup_printf("10.0.%u.%u", i / 250, i % 250);
		node->info.peer_port = (uint16_t)(i + 1);
		node->info.http_port = 8080;
		node->info.incarnation = 1700000000000000;
		node->inbox = g_ptr_array_new_with_free_func(gossip_free_msg);
	}
	for (unsigned int i = 0; i < size; i++)
		gossip_join(gossip, i, gossip->nodes[i].info.incarnation);
	return gossip;
}

static inline void gossip_destroy(gossip_t *gossip)
{
	for (unsigned int i = 0; i < gossip->size; i++) {
		members_destroy(gossip->nodes[i].members);
		member_info_clear(&gossip->nodes[i].info);
		g_ptr_array_unref(gossip->nodes[i].inbox);
	}
	g_rand_free(gossip->rand);
	g_free(gossip->nodes);
	g_free(gossip);
}

/* Adds a message to a node's counters. */
static inline void gossip_count(gossip_node_t *node, const peer_msg_t *msg)
{
	GBytes *bytes = peer_msg_encode(msg);
	uint64_t len = g_bytes_get_size(bytes) + GOSSIP_FRAME_BYTES;

	node->messages++;
	node->bytes += len;
	node->message_bytes_max = MAX(node->message_bytes_max, len);
	g_bytes_unref(bytes);
}

/* Delivers the messages in ACTIONS, except lost ones, and frees the actions. */
static inline void gossip_deliver(gossip_t *gossip, unsigned int from,
				  list_node_t *actions)
{
	list_node_t *it;

	while ((it = list_pop(actions))) {
		action_t *action = LIST_ENTRY(it, action_t, node);
		unsigned int to = action->peer.port - 1U;
		bool partitioned = (from < gossip->partition_size) !=
				   (to < gossip->partition_size);

		gossip_count(&gossip->nodes[from], action->peer.msg);
		if (!gossip->nodes[to].dead && !partitioned &&
		    g_rand_double(gossip->rand) >= gossip->loss) {
			g_ptr_array_add(gossip->nodes[to].inbox, action->peer.msg);
			action->peer.msg = NULL;
		}
		action_destroy(action);
	}
}

/*
 * Lets a node announce a bundle's generation, if it is higher than the node's own,
 * and the leaving VM, if LEAVING is set and the node does not know of it yet.
 */
static inline void gossip_announce(gossip_t *gossip, unsigned int index,
				   uint64_t generation, bool leaving)
{
	gossip_node_t *node = &gossip->nodes[index];

	if (generation > node->generation) {
		node->generation = generation;
		node->generation_at = gossip->now;
		members_set_generation(node->members, generation);
	}
	if (leaving && !node->has_leaving) {
		node->has_leaving = true;
		node->leaving_at = gossip->now;
		members_announce_leaving(node->members, "vm-1",
					 gossip->now + 30 * PD_SEC);
	}
}

/* Lets a node announce the VM-th VM of a reclaim wave, unless it knows of it. */
static inline void gossip_announce_wave(gossip_t *gossip, unsigned int index,
					unsigned int vm)
{
	gossip_node_t *node = &gossip->nodes[index];
	char id[32];

	if (vm >= GOSSIP_WAVE_MAX || node->wave[vm])
		return;
	node->wave[vm] = true;
	node->wave_known_count++;
	node->wave_known_at = gossip->now;
	g_snprintf(id, sizeof(id), "wave-%u", vm);
	members_announce_leaving(node->members, id, gossip->now + 30 * PD_SEC);
}

/* Lets a node pass on the reclaim notices of a message. */
static inline void gossip_receive_notices(gossip_t *gossip, unsigned int index,
					  const peer_msg_t *msg)
{
	for (unsigned int i = 0; i < msg->leaving_count; i++) {
		const char *id = msg->leaving[i].vm_id;

		if (g_str_has_prefix(id, "wave-"))
			gossip_announce_wave(gossip, index,
					     (unsigned int)g_ascii_strtoull(
						     id + strlen("wave-"), NULL,
						     10));
		else
			gossip_announce(gossip, index, 0, true);
	}
}

/* Lets a node read its inbox and run its timers. */
static inline void gossip_step_node(gossip_t *gossip, unsigned int index,
				    list_node_t *actions)
{
	gossip_node_t *node = &gossip->nodes[index];

	if (node->dead || gossip->now < node->frozen_until)
		return;
	for (guint i = 0; i < node->inbox->len; i++) {
		const peer_msg_t *msg =
			(const peer_msg_t *)g_ptr_array_index(node->inbox, i);

		members_receive(node->members, msg, gossip->now, actions);
		gossip_announce(gossip, index, msg->generation, false);
		gossip_receive_notices(gossip, index, msg);
	}
	g_ptr_array_set_size(node->inbox, 0);
	members_run(node->members, gossip->now, actions);
}

/* Advances the clock by DURATION. Messages sent in one step are read in the next. */
static inline void gossip_run(gossip_t *gossip, pd_time_t duration)
{
	pd_time_t end = gossip->now + duration;

	while (gossip->now < end) {
		list_node_t *out = g_new0(list_node_t, gossip->size);

		gossip->now += GOSSIP_STEP;
		for (unsigned int i = 0; i < gossip->size; i++) {
			list_init(&out[i]);
			gossip_step_node(gossip, i, &out[i]);
		}
		for (unsigned int i = 0; i < gossip->size; i++)
			gossip_deliver(gossip, i, &out[i]);
		g_free(out);
	}
}

/* Stops a node; messages to it are lost. */
static inline void gossip_kill(gossip_t *gossip, unsigned int index)
{
	gossip->nodes[index].dead = true;
	g_ptr_array_set_size(gossip->nodes[index].inbox, 0);
}

/* Returns the state of node INDEX as VIEWER sees it; MEMBER_DEAD if it is unknown. */
static inline member_state_t gossip_get_state(const gossip_t *gossip,
					      unsigned int viewer,
					      unsigned int index)
{
	const member_info_t *info = members_find(gossip->nodes[viewer].members,
						 gossip->nodes[index].info.id);

	return info ? info->state : MEMBER_DEAD;
}

/* Returns the number of running nodes that see INDEX in STATE or a later state. */
static inline unsigned int gossip_viewers(const gossip_t *gossip,
					  unsigned int index, member_state_t state)
{
	unsigned int viewers = 0;

	for (unsigned int i = 0; i < gossip->size; i++)
		viewers += i != index && !gossip->nodes[i].dead &&
			   gossip_get_state(gossip, i, index) >= state;
	return viewers;
}

#endif
