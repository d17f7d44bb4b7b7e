/* What the files of membership share. Private to them. */
#ifndef PISTACHIO_MEMBERS_STATE_H
#define PISTACHIO_MEMBERS_STATE_H

#include "core/members.h"
#include "ports/event.h"

typedef struct member {
	list_node_t node;
	list_node_t update_node; /* of the news, if it is to be told */
	member_info_t info;
	pd_time_t changed_at;
	unsigned int sends_left; /* how often this news is still to be sent */
	unsigned int missed_pings; /* pings in a row that it did not answer */
} member_t;

typedef struct leaving {
	list_node_t node;
	char *vm_id;
	pd_time_t leaves_at;
	unsigned int sends_left;
	bool sent; /* to somebody */
} leaving_t;

struct members {
	member_info_t self;
	GRand *rand;
	uint64_t generation;
	GHashTable *by_id; /* id -> member_t, owned */
	list_node_t list;
	list_node_t updates; /* members to tell of, next first */
	list_node_t leaving;
	GPtrArray *ping_round; /* ids still to be pinged this round, owned */
	uint64_t sequence;
	char *ping_target; /* id of the member asked now, or NULL */
	pd_time_t ping_sent_at;
	bool indirect_sent; /* others have been asked too */
	pd_time_t next_ping;
	pd_time_t next_dead_ping; /* of one of the dead */
	bool push_due; /* urgent news waits */
	pd_time_t next_push; /* not before */
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
