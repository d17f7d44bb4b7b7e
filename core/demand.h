/*
 * The demand of each account at this entry and at its peers, from which follows
 * the share of the account's limit that this entry may grant.
 */
#ifndef PISTACHIO_DEMAND_H
#define PISTACHIO_DEMAND_H

#include <glib.h>

#include "ports/clock.h"
#include "ports/peer.h"

typedef struct demand demand_t;

demand_t *demand_create(void);
void demand_destroy(demand_t *demand);
void demand_record_request(demand_t *demand, const char *account, pd_time_t now);
void demand_record_peer(demand_t *demand, const peer_msg_t *msg, pd_time_t now);
double demand_share(demand_t *demand, const char *account, unsigned int entries,
		    pd_time_t now);
void demand_add_to_msg(demand_t *demand, peer_msg_t *msg, pd_time_t now);

#endif
