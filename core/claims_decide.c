/*
 * Resolves waiting operations against the confirmed table, and applies the
 * others to the table that is to be written.
 */
#include <string.h>

#include "core/claims_state.h"

/* Unlinks an operation and frees it. */
void claim_op_destroy(claim_op_t *op)
{
	list_remove(&op->node);
	g_free(op->key);
	g_free(op->nonce);
	g_free(op->digest);
	g_free(op->answer);
	g_free(op);
}

/*
 * Queues the result of an acquire operation and frees the operation. RECORD is
 * the confirmed record, or NULL; an answer is copied from it.
 */
void claims_resolve(claims_t *claims, claim_op_t *op, claim_outcome_t outcome,
		    const claim_t *record)
{
	claim_result_t *result = g_new0(claim_result_t, 1);

	result->ticket = op->ticket;
	result->outcome = outcome;
	if (outcome == CLAIM_ANSWERED) {
		result->status = record->status;
		result->answer = g_strdup(record->answer);
	}
	list_append(&claims->results, &result->node);
	claim_op_destroy(op);
}

/* Returns whether a release of NONCE is queued ahead of OP. */
static bool shard_has_release_before(shard_t *shard, const claim_op_t *op,
				     const char *nonce)
{
	LIST_FOR_EACH (it, &shard->ops) {
		const claim_op_t *other = LIST_ENTRY(it, claim_op_t, node);

		if (other == op)
			return false;
		if (other->kind == OP_RELEASE && !strcmp(other->nonce, nonce))
			return true;
	}
	return false;
}

/*
 * Resolves an acquire operation against the confirmed record. Returns false if
 * the operation has to wait for another read or write.
 */
static bool claims_resolve_acquire(claims_t *claims, shard_t *shard,
				   claim_op_t *op, const claim_t *record)
{
	if (!record || record->state == CLAIM_RELEASED)
		return false;
	if (!strcmp(record->nonce, op->nonce)) {
		claims_resolve(claims, op, CLAIM_WON, record);
		return true;
	}
	if (shard_has_release_before(shard, op, record->nonce))
		return false;
	if (strcmp(record->digest, op->digest)) {
		claims_resolve(claims, op, CLAIM_MISMATCH, record);
	} else if (record->state == CLAIM_DONE) {
		claims_resolve(claims, op, CLAIM_ANSWERED, record);
	} else if (shard->confirmed_at >= op->requested_at) {
		claims_resolve(claims, op, CLAIM_TAKEN, record);
	} else {
		/*
		 * Another entry may have completed the call after this table
		 * was read. Without another read the caller would be told that
		 * the outcome is unknown although the answer is recorded.
		 */
		shard->phase = SHARD_STALE;
		return false;
	}
	return true;
}

/* Resolves all waiting operations that the confirmed table decides. */
void shard_resolve(claims_t *claims, shard_t *shard)
{
	LIST_FOR_EACH_SAFE (it, &shard->ops) {
		claim_op_t *op = LIST_ENTRY(it, claim_op_t, node);
		const claim_t *record = claim_table_get(shard->table, op->key);
		bool own = record && !strcmp(record->nonce, op->nonce);
		bool held = own && record->state == CLAIM_HELD;

		switch (op->kind) {
		case OP_ACQUIRE:
			claims_resolve_acquire(claims, shard, op, record);
			break;
		case OP_COMPLETE:
			if (!own || record->state == CLAIM_DONE)
				claim_op_destroy(op);
			break;
		case OP_RELEASE:
			/*
			 * While an unanswered write may still take effect, it
			 * may contain this claim. The claim would then have no
			 * owner, and retries would be told that the call may
			 * have run. Any write of ours makes the unanswered one
			 * fail.
			 */
			if (!held && !shard->write_in_doubt)
				claim_op_destroy(op);
			break;
		}
	}
}

/*
 * Applies one waiting operation to TABLE, which is to be written. WALL is the
 * wall-clock time in seconds.
 */
void claim_op_apply(const claim_op_t *op, claim_table_t *table, int64_t wall)
{
	claim_t *record = claim_table_get(table, op->key);
	bool own = record && !strcmp(record->nonce, op->nonce);

	switch (op->kind) {
	case OP_ACQUIRE:
		if (record && record->state != CLAIM_RELEASED)
			return;
		record = claim_table_put(table, op->key, op->nonce, op->digest);
		record->made_at = wall;
		break;
	case OP_COMPLETE:
		if (!own)
			return; /* dropped because its retention is over */
		record->state = CLAIM_DONE;
		record->status = op->status;
		g_free(record->answer);
		record->answer = g_strdup(op->answer);
		break;
	case OP_RELEASE:
		if (own && record->state == CLAIM_HELD)
			record->state = CLAIM_RELEASED;
		break;
	}
}
