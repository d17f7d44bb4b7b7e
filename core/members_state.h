/* State shared by the membership's files. Internal to them. */
#ifndef PISTACHIO_MEMBERS_STATE_H
#define PISTACHIO_MEMBERS_STATE_H

#include "core/members.h"
#include "ports/event.h"

typedef struct member {
	list_node_t node;
	list_node_t update_node; /* in members_t.updates if pending */
	member_info_t info;
	pd_time_t changed_at;
	unsigned int sends_left; /* sends of the update that remain */
	unsigned int missed_pings; /* pings in a row without an ack */
} member_t;

typedef struct leaving {
	list_node_t node;
	char *vm_id;
	pd_time_t leaves_at;
	unsigned int sends_left;
	bool sent; /* to at least one peer */
} leaving_t;

struct members {
	member_info_t self;
	GRand *rand;
	uint64_t generation;
	GHashTable *by_id; /* id -> member_t, owned */
	list_node_t list;
	list_node_t updates; /* members whose state is to be sent, next first */
	list_node_t leaving;
	GPtrArray *ping_round; /* ids not yet pinged in this round, owned */
	uint64_t sequence;
	char *ping_target; /* id of the member being pinged, or NULL */
	pd_time_t ping_sent_at;
	bool indirect_sent; /* ping requests were sent to others */
	pd_time_t next_ping;
	pd_time_t next_dead_ping; /* of a dead member */
	bool push_due; /* an urgent update is pending */
	pd_time_t next_push; /* earliest time of the next push */
};

/* members.c */
bool members_has_unsent_leaving(const members_t *members);
bool member_is_up(const member_t *member);
void members_queue_update(members_t *members, member_t *member);
unsigned int members_send_limit(const members_t *members);

/* members_msg.c */
peer_msg_t *members_create_msg(members_t *members, peer_msg_kind_t kind,
			       uint64_t sequence, const char *to, pd_time_t now);
void members_send(const member_info_t *to, peer_msg_t *msg, list_node_t *actions);

/* members_detect.c */
void members_mark_alive(members_t *members, const char *id);

#endif
