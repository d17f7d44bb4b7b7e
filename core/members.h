/*
 * Membership of the entries: a SWIM-like failure detector with suspicion and
 * incarnation numbers. Each entry pings one other per period and updates are
 * piggybacked, so the cost per node does not grow with the fleet. Urgent
 * updates (a leaving VM, a new bundle) are also pushed at once to a few peers.
 */
#ifndef PISTACHIO_MEMBERS_H
#define PISTACHIO_MEMBERS_H

#include <glib.h>

#include "core/list.h"
#include "ports/clock.h"
#include "ports/peer.h"

typedef struct members members_t;

members_t *members_create(const member_info_t *self, uint32_t seed);
void members_destroy(members_t *members);
void members_seed(members_t *members, const member_info_t *infos, size_t count,
		  pd_time_t now);
void members_set_generation(members_t *members, uint64_t generation);
void members_announce_leaving(members_t *members, const char *vm_id,
			      pd_time_t leaves_at);
void members_receive(members_t *members, const peer_msg_t *msg, pd_time_t now,
		     list_node_t *actions);
void members_run(members_t *members, pd_time_t now, list_node_t *actions);
void members_leave(members_t *members, pd_time_t now, list_node_t *actions);
unsigned int members_alive(const members_t *members);
GPtrArray *members_rank(const members_t *members, const char *key,
			unsigned int count);
bool members_is_gone(const members_t *members, const char *id, pd_time_t now);
const member_info_t *members_find(const members_t *members, const char *id);

#endif
