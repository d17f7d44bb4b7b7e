/*
 * What entries tell each other. One heartbeat carries a bounded number of news
 * items, so its size does not grow with the fleet.
 */
#ifndef PISTACHIO_PEER_PORT_H
#define PISTACHIO_PEER_PORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ports/clock.h"

#define PEER_PROTOCOL_VERSION 1
#define PEER_MSG_ITEMS_MAX \
	8 /* members, and leaving VMs, one heartbeat carries */

typedef enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_LEFT /* stopped as planned */
} member_state_t;

/* Where an entry can be reached, and the latest news of it. */
typedef struct member_info {
	char *id;
	char *zone;
	char *address;
	uint16_t peer_port;
	uint16_t http_port;
	uint64_t incarnation;
	member_state_t state;
} member_info_t;

/* A VM that has been told to leave. */
typedef struct leaving_info {
	char *vm_id;
	pd_time_t leaves_in; /* time left when the message was written */
} leaving_info_t;

typedef enum peer_msg_kind {
	PEER_PING,
	PEER_ACK,
	PEER_PING_REQ, /* asks a third entry to ping SUBJECT */
	PEER_BUNDLE_PULL,
	PEER_BUNDLE,
	PEER_CLAIM, /* asks the entry that writes a claims object */
	PEER_CLAIM_RESULT,
	PEER_HANDOVER, /* gives a request to another entry */
	PEER_HANDOVER_ACK,
	PEER_FIND, /* asks who holds the request SUBJECT */
	PEER_FOUND,
	PEER_MSG_KIND_COUNT
} peer_msg_kind_t;

/* What an entry saw of an account lately, for sharing out its limit. */
typedef struct account_demand {
	char *account;
	uint32_t per_second; /* requests, rounded up */
} account_demand_t;

/* A claim asked for, or its outcome. */
typedef struct claim_msg {
	uint64_t ticket; /* of the asker */
	uint8_t operation; /* claim_op_kind_t of core/claims.h */
	uint8_t outcome; /* claim_outcome_t of core/claims.h */
	char *key;
	char *nonce;
	char *digest;
	int32_t status;
	char *answer; /* NULL if none is recorded */
} claim_msg_t;

/* One request with all that another entry needs to finish it. */
typedef struct handover {
	char *request_id;
	char *account; /* name */
	char *target;
	char *path;
	char *idempotency_key; /* NULL if none */
	char *claim_key; /* NULL if it may be repeated */
	char *nonce;
	char *vm_id; /* of the last attempt, NULL if none */
	char *emitted; /* text so far */
	uint64_t offset; /* tokens in that text */
	uint32_t max_tokens;
	bool written; /* some attempt may have reached an upstream */
	bool ended; /* the answer is whole */
	int32_t status; /* of a plain service's answer, if ended */
	pd_time_t deadline_in; /* time left when the message was written */
	GBytes *body;
} handover_t;

typedef struct peer_msg {
	peer_msg_kind_t kind;
	uint64_t sequence; /* an ack repeats that of its ping */
	uint64_t generation; /* of the bundle the sender has in force */
	member_info_t from;
	member_info_t updates[PEER_MSG_ITEMS_MAX];
	unsigned int update_count;
	leaving_info_t leaving[PEER_MSG_ITEMS_MAX];
	unsigned int leaving_count;
	account_demand_t demand[PEER_MSG_ITEMS_MAX];
	unsigned int demand_count;
	/* Of a ping request the member's id, of a search the request's. */
	char *subject;
	claim_msg_t claim; /* of PEER_CLAIM and PEER_CLAIM_RESULT */
	handover_t handover; /* of PEER_HANDOVER and PEER_FOUND */
	GBytes *body; /* of a bundle: the signed envelope */
} peer_msg_t;

peer_msg_t *peer_msg_create(peer_msg_kind_t kind);
void peer_msg_destroy(peer_msg_t *msg);
void claim_msg_clear(claim_msg_t *note);
void handover_clear(handover_t *handover);
void member_info_copy(member_info_t *to, const member_info_t *from);
void member_info_clear(member_info_t *info);

#endif
