/*
 * Messages between entries. A message carries a bounded number of items of each
 * kind, so its size does not grow with the fleet.
 */
#ifndef PISTACHIO_PEER_PORT_H
#define PISTACHIO_PEER_PORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ports/clock.h"

#define PEER_PROTOCOL_VERSION 1
#define PEER_MSG_ITEMS_MAX 8 /* of each kind: members, leaving VMs, demand */

typedef enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_LEFT /* stopped on request */
} member_state_t;

/* An entry's addresses and the latest known state of it. */
typedef struct member_info {
	char *id;
	char *zone;
	char *address;
	uint16_t peer_port;
	uint16_t http_port;
	uint64_t incarnation;
	member_state_t state;
} member_info_t;

/* A VM that has received a reclaim notice. */
typedef struct leaving_info {
	char *vm_id;
	pd_time_t leaves_in; /* time left when the message was encoded */
} leaving_info_t;

typedef enum peer_msg_kind {
	PEER_PING,
	PEER_ACK,
	PEER_PING_REQ, /* requests that the receiver ping SUBJECT */
	PEER_BUNDLE_PULL,
	PEER_BUNDLE,
	PEER_CLAIM, /* sent to the entry that writes the claims object */
	PEER_CLAIM_RESULT,
	PEER_HANDOVER, /* transfers a request to another entry */
	PEER_HANDOVER_ACK,
	PEER_FIND, /* asks which entry has the request SUBJECT */
	PEER_FOUND,
	PEER_MSG_KIND_COUNT
} peer_msg_kind_t;

/* The recent demand of an account at one entry, for dividing up its limit. */
typedef struct account_demand {
	char *account;
	uint32_t per_second; /* requests, rounded up */
} account_demand_t;

/* A claim operation that is requested, or its outcome. */
typedef struct claim_msg {
	uint64_t ticket; /* assigned by the requester */
	uint8_t operation; /* claim_op_kind_t of core/claims.h */
	uint8_t outcome; /* claim_outcome_t of core/claims.h */
	char *key;
	char *nonce;
	char *digest;
	int32_t status;
	char *answer; /* NULL if none is recorded */
} claim_msg_t;

/* A request with all state that another entry needs to complete it. */
typedef struct handover {
	char *request_id;
	char *account; /* name */
	char *target;
	char *path;
	char *idempotency_key; /* NULL if none */
	char *claim_key; /* NULL if the request is repeatable */
	char *nonce;
	char *vm_id; /* of the last attempt, NULL if none */
	char *emitted; /* answer text so far */
	uint64_t offset; /* tokens in EMITTED */
	uint32_t max_tokens;
	bool written; /* some attempt may have reached an upstream */
	bool ended; /* the answer is complete */
	int32_t status; /* of a plain service's answer, if ended */
	pd_time_t deadline_in; /* time left when the message was encoded */
	GBytes *body;
} handover_t;

typedef struct peer_msg {
	peer_msg_kind_t kind;
	uint64_t sequence; /* an ack has that of its ping */
	uint64_t generation; /* of the sender's current bundle */
	member_info_t from;
	member_info_t updates[PEER_MSG_ITEMS_MAX];
	unsigned int update_count;
	leaving_info_t leaving[PEER_MSG_ITEMS_MAX];
	unsigned int leaving_count;
	account_demand_t demand[PEER_MSG_ITEMS_MAX];
	unsigned int demand_count;
	/* A member id in PEER_PING_REQ, otherwise a request id. */
	char *subject;
	claim_msg_t claim; /* of PEER_CLAIM and PEER_CLAIM_RESULT */
	handover_t handover; /* of PEER_HANDOVER and PEER_FOUND */
	/* PEER_BUNDLE: the signed envelope; PEER_FOUND: text not sent yet. */
	GBytes *body;
} peer_msg_t;

peer_msg_t *peer_msg_create(peer_msg_kind_t kind);
void peer_msg_destroy(peer_msg_t *msg);
void claim_msg_clear(claim_msg_t *msg);
void handover_clear(handover_t *handover);
void member_info_copy(member_info_t *to, const member_info_t *from);
void member_info_clear(member_info_t *info);

#endif
