/*
 * Waiting operations and claims objects. Internal to claims.c and
 * claims_decide.c.
 */
#ifndef PISTACHIO_CLAIMS_STATE_H
#define PISTACHIO_CLAIMS_STATE_H

#include "core/claim_pace.h"
#include "core/claims.h"

typedef enum claim_op_kind {
	OP_ACQUIRE,
	OP_COMPLETE,
	OP_RELEASE
} claim_op_kind_t;

typedef struct claim_op {
	list_node_t node;
	claim_op_kind_t kind;
	uint64_t ticket;
	char *key;
	char *nonce;
	char *digest;
	int status;
	char *answer;
	pd_time_t requested_at;
} claim_op_t;

typedef enum shard_phase {
	SHARD_STALE, /* must be read before anything is decided */
	SHARD_READING,
	SHARD_FRESH, /* the table is the last one confirmed */
	SHARD_WRITING
} shard_phase_t;

typedef struct shard {
	char *object;
	shard_phase_t phase;
	store_op_t store_op;
	pd_time_t requested_at;
	pd_time_t retry_at;
	pd_time_t confirmed_at; /* the table was current then or later */
	uint64_t version;
	bool has_write_permit; /* may write once */
	pd_time_t write_permit_at; /* when the permit was granted */
	bool write_in_doubt; /* a write based on in_doubt_version may take effect */
	uint64_t in_doubt_version;
	claim_table_t *table;
	claim_table_t *write_table; /* content of the write in flight */
	list_node_t ops;
} shard_t;

struct claims {
	char *entry_id;
	pd_time_t retention;
	store_op_t next_op;
	claim_pace_t pace;
	pd_time_t confirmed_at; /* last confirmed read or write */
	unsigned int entries; /* live entries that share the objects */
	unsigned int first_shard; /* index served first by the next run */
	shard_t shards[CLAIM_SHARDS];
	list_node_t results; /* resolved, not yet returned by claims_run() */
};

/* claims_decide.c */
void claim_op_destroy(claim_op_t *op);
void claims_resolve(claims_t *claims, claim_op_t *op, claim_outcome_t outcome,
		    const claim_t *record);
void shard_resolve(claims_t *claims, shard_t *shard);
void claim_op_apply(const claim_op_t *op, claim_table_t *table, int64_t wall);

#endif
