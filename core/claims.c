/*
 * Group commit of claims. Each claims object (shard) has at most one read or
 * write in flight; operations that arrive meanwhile are batched into the next
 * write. All decisions are based on a table that the store has confirmed.
 */
#include "core/claims.h"

#include <string.h>

#include "core/claims_state.h"
#include "core/hash.h"
#include "ports/event.h"

#define STORE_TIMEOUT (2 * PD_SEC)
#define STORE_RETRY_DELAY (500 * PD_MSEC)
/*
 * A refusal within this time of a confirmed read or write is taken as
 * throttling, and calls wait. If the store has confirmed nothing for longer, it
 * counts as down and calls are refused at once.
 */
#define STORE_DOWN_AFTER PD_SEC
#define THROTTLED_RETRY_DELAY (100 * PD_MSEC)
/*
 * A table older than this is read again before it is written. Other entries
 * write while this one waits for its write permit, and a write based on an old
 * version ends in a conflict; reads are much cheaper than writes.
 */
#define TABLE_MAX_AGE (10 * PD_MSEC)
/* A call whose claim takes longer is refused as not run. */
#define ACQUIRE_TIMEOUT (3 * PD_SEC)

/* Frees a result that is not linked into a list. */
void claim_result_destroy(claim_result_t *result)
{
	g_free(result->answer);
	g_free(result);
}

/*
 * Returns the claims of the entry ENTRY_ID; the caller owns them. Records are
 * kept for RETENTION; a key that is used again after that counts as new.
 */
claims_t *claims_create(const char *entry_id, pd_time_t retention)
{
	claims_t *claims = g_new0(claims_t, 1);

	claims->entry_id = g_strdup(entry_id);
	claims->retention = retention;
	claims->next_op = 1;
	claims->entries = 1;
	claim_pace_init(&claims->pace);
	list_init(&claims->results);
	for (unsigned int i = 0; i < CLAIM_SHARDS; i++) {
		claims->shards[i].object = g_strdup_printf("claims/%02u", i);
		list_init(&claims->shards[i].ops);
	}
	return claims;
}

/*
 * Frees the claims with their waiting operations and results; NULL is allowed.
 */
void claims_destroy(claims_t *claims)
{
	list_node_t *node;

	if (!claims)
		return;
	for (unsigned int i = 0; i < CLAIM_SHARDS; i++) {
		shard_t *shard = &claims->shards[i];

		LIST_FOR_EACH_SAFE (it, &shard->ops)
			claim_op_destroy(LIST_ENTRY(it, claim_op_t, node));
		claim_table_destroy(shard->table);
		claim_table_destroy(shard->write_table);
		g_free(shard->object);
	}
	while ((node = list_pop(&claims->results)))
		claim_result_destroy(LIST_ENTRY(node, claim_result_t, node));
	g_free(claims->entry_id);
	g_free(claims);
}

/* Sets the retention of records, as configured by the bundle in force. */
void claims_set_retention(claims_t *claims, pd_time_t retention)
{
	claims->retention = retention;
}

/*
 * Sets the number of live entries, including this one, that share the store's
 * write rate.
 */
void claims_set_entries(claims_t *claims, unsigned int entries)
{
	claims->entries = entries;
	claim_pace_set_entries(&claims->pace, entries);
}

/* Returns the shard that holds KEY. */
static shard_t *claims_shard(claims_t *claims, const char *key)
{
	return &claims->shards[hash_string(key) % CLAIM_SHARDS];
}

/* Appends an operation to its shard; returns it, borrowed. */
static claim_op_t *claims_enqueue(claims_t *claims, claim_op_kind_t kind,
				  const char *key, const char *nonce, pd_time_t now)
{
	shard_t *shard = claims_shard(claims, key);
	claim_op_t *op = g_new0(claim_op_t, 1);

	op->kind = kind;
	op->key = g_strdup(key);
	op->nonce = g_strdup(nonce);
	op->requested_at = now;
	list_append(&shard->ops, &op->node);
	return op;
}

/*
 * Requests the claim of KEY under a fresh NONCE. DIGEST identifies the call, so
 * that reuse of a key for a different call is detected. claims_run() returns
 * the outcome under TICKET.
 */
void claims_acquire(claims_t *claims, uint64_t ticket, const char *key,
		    const char *nonce, const char *digest, pd_time_t now)
{
	claim_op_t *op = claims_enqueue(claims, OP_ACQUIRE, key, nonce, now);

	op->ticket = ticket;
	op->digest = g_strdup(digest);
}

/*
 * Records the answer of a call that this entry claimed and ran. ANSWER may be
 * NULL; one longer than CLAIM_ANSWER_MAX_BYTES is not kept.
 */
void claims_complete(claims_t *claims, const char *key, const char *nonce,
		     int status, const char *answer, pd_time_t now)
{
	claim_op_t *op = claims_enqueue(claims, OP_COMPLETE, key, nonce, now);

	op->status = status;
	if (answer && strlen(answer) <= CLAIM_ANSWER_MAX_BYTES)
		op->answer = g_strdup(answer);
}

/*
 * Removes the waiting acquire operation of NONCE. Otherwise it could acquire
 * the claim after its request was refused: nothing would run, but each retry
 * would be told that the call may have run.
 */
static void claims_cancel_acquire(claims_t *claims, const char *key,
				  const char *nonce)
{
	shard_t *shard = claims_shard(claims, key);

	LIST_FOR_EACH_SAFE (it, &shard->ops) {
		claim_op_t *op = LIST_ENTRY(it, claim_op_t, node);

		if (op->kind == OP_ACQUIRE && !strcmp(op->nonce, nonce))
			claim_op_destroy(op);
	}
}

/*
 * Releases a claim, or cancels the attempt to acquire it, so that a later
 * attempt of the same key may run. Only for a nonce that this entry has not
 * dispatched and never will.
 */
void claims_release(claims_t *claims, const char *key, const char *nonce,
		    pd_time_t now)
{
	claims_cancel_acquire(claims, key, nonce);
	claims_enqueue(claims, OP_RELEASE, key, nonce, now);
}

/*
 * Returns a read or write request for the shard's object, owned by the caller,
 * and records it as the one in flight.
 */
static action_t *shard_request(claims_t *claims, shard_t *shard,
			       action_kind_t kind, pd_time_t now)
{
	action_t *action = action_create(kind);

	shard->store_op = claims->next_op++;
	shard->requested_at = now;
	action->store.op = shard->store_op;
	action->store.key = g_strdup(shard->object);
	return action;
}

/*
 * Fails the acquire operations requested at OLDER_THAN or before. Their claims
 * are also released, because an unanswered write of them may have taken effect.
 */
static void shard_fail_acquires(claims_t *claims, shard_t *shard, pd_time_t now,
				pd_time_t older_than)
{
	list_node_t expired;

	list_init(&expired);
	LIST_FOR_EACH_SAFE (it, &shard->ops) {
		claim_op_t *op = LIST_ENTRY(it, claim_op_t, node);

		if (op->kind == OP_ACQUIRE && op->requested_at <= older_than) {
			list_remove(&op->node);
			list_append(&expired, &op->node);
		}
	}
	LIST_FOR_EACH_SAFE (it, &expired) {
		claim_op_t *op = LIST_ENTRY(it, claim_op_t, node);

		claims_release(claims, op->key, op->nonce, now);
		claims_resolve(claims, op, CLAIM_UNAVAILABLE, NULL);
	}
}

/*
 * Fails the waiting acquire operations if the object has no room for their
 * records. The store rejects an object that is too large, and then none of it
 * could be written.
 */
static void shard_check_capacity(claims_t *claims, shard_t *shard, pd_time_t now)
{
	if (claim_table_size(shard->write_table) < CLAIM_TABLE_FULL_BYTES)
		return;
	claim_table_trim(shard->write_table, CLAIM_TABLE_FULL_BYTES - 1);
	if (claim_table_size(shard->write_table) >= CLAIM_TABLE_FULL_BYTES)
		shard_fail_acquires(claims, shard, now, now);
}

/* Writes the waiting operations, as far as the table has room for them. */
static void shard_write(claims_t *claims, shard_t *shard, pd_time_t now,
			int64_t wall, list_node_t *actions)
{
	action_t *action;

	shard->write_table = claim_table_copy(shard->table);
	claim_table_expire(shard->write_table, wall - claims->retention / PD_SEC);
	shard_check_capacity(claims, shard, now);
	shard_resolve(claims, shard);
	if (list_empty(&shard->ops)) {
		g_clear_pointer(&shard->write_table, claim_table_destroy);
		return;
	}
	LIST_FOR_EACH (it, &shard->ops)
		claim_op_apply(LIST_ENTRY(it, claim_op_t, node),
			       shard->write_table, wall);
	claim_table_trim(shard->write_table, CLAIM_TABLE_MAX_BYTES);
	action = shard_request(claims, shard, ACTION_STORE_WRITE, now);
	shard->phase = SHARD_WRITING;
	action->store.version = shard->version;
	action->store.table = claim_table_copy(shard->write_table);
	list_append(actions, &action->node);
}

/*
 * Handles a request that the store refused: the object's content is unknown, so
 * it has to be read again.
 */
static void shard_handle_failure(claims_t *claims, shard_t *shard, pd_time_t now)
{
	shard->phase = SHARD_STALE;
	if (claims->confirmed_at && now - claims->confirmed_at < STORE_DOWN_AFTER) {
		shard->retry_at = now + THROTTLED_RETRY_DELAY;
		return;
	}
	shard->retry_at = now + STORE_RETRY_DELAY;
	shard_fail_acquires(claims, shard, now, now);
}

/*
 * Records that the store confirmed the shard's table at VERSION. Writes are
 * conditional on a version, so an unanswered write can no longer take effect
 * once the object has moved past the version it was based on.
 */
static void shard_confirm(claims_t *claims, shard_t *shard, uint64_t version)
{
	shard->version = version;
	shard->confirmed_at = shard->requested_at;
	shard->phase = SHARD_FRESH;
	claims->confirmed_at = shard->requested_at;
	if (version != shard->in_doubt_version)
		shard->write_in_doubt = false;
	shard_resolve(claims, shard);
}

/* Handles the store's reply to a read of the shard's object. */
static void shard_handle_read(claims_t *claims, shard_t *shard,
			      const store_reply_t *reply, pd_time_t now)
{
	if (reply->status != STORE_OK && reply->status != STORE_MISSING) {
		shard_handle_failure(claims, shard, now);
		return;
	}
	claim_table_destroy(shard->table);
	shard->table = reply->table ? claim_table_copy(reply->table)
				    : claim_table_create();
	shard_confirm(claims, shard, reply->version);
}

/* Handles the store's reply to a write of the shard's object. */
static void shard_handle_write(claims_t *claims, shard_t *shard,
			       const store_reply_t *reply, pd_time_t now)
{
	switch (reply->status) {
	case STORE_OK:
		claim_table_destroy(shard->table);
		shard->table = g_steal_pointer(&shard->write_table);
		shard_confirm(claims, shard, reply->version);
		break;
	case STORE_UNKNOWN:
		shard->write_in_doubt = true;
		shard->in_doubt_version = shard->version;
		/* fall through */
	case STORE_CONFLICT:
	case STORE_MISSING:
		/* Reading back shows which nonce is recorded. */
		shard->phase = SHARD_STALE;
		shard->retry_at = now;
		break;
	case STORE_DOWN:
		shard_handle_failure(claims, shard, now);
		break;
	}
	g_clear_pointer(&shard->write_table, claim_table_destroy);
}

/*
 * Handles the store's reply to a read or write requested through claims_run().
 * Late replies to requests that timed out are ignored.
 */
void claims_handle_store_reply(claims_t *claims, const store_reply_t *reply,
			       pd_time_t now)
{
	for (unsigned int i = 0; i < CLAIM_SHARDS; i++) {
		shard_t *shard = &claims->shards[i];

		if (shard->store_op != reply->op)
			continue;
		if (shard->phase == SHARD_READING)
			shard_handle_read(claims, shard, reply, now);
		else if (shard->phase == SHARD_WRITING)
			shard_handle_write(claims, shard, reply, now);
		return;
	}
}

/* Appends a read of the shard's object to ACTIONS. */
static void shard_read(claims_t *claims, shard_t *shard, pd_time_t now,
		       list_node_t *actions)
{
	action_t *action = shard_request(claims, shard, ACTION_STORE_READ, now);

	shard->phase = SHARD_READING;
	list_append(actions, &action->node);
}

/*
 * Returns whether the shard may write now. A permit is kept until it is used.
 */
static bool shard_take_write_permit(claims_t *claims, shard_t *shard, pd_time_t now)
{
	if (!shard->has_write_permit && claim_pace_try_take(&claims->pace, now)) {
		shard->has_write_permit = true;
		shard->write_permit_at = now;
	}
	return shard->has_write_permit;
}

/* Uses the permit to write; reads again first if the table is too old. */
static void shard_use_write_permit(claims_t *claims, shard_t *shard, pd_time_t now,
				   int64_t wall, list_node_t *actions)
{
	if (claims->entries > 1 &&
	    shard->confirmed_at + TABLE_MAX_AGE < shard->write_permit_at) {
		shard_read(claims, shard, now, actions);
		return;
	}
	shard->has_write_permit = false;
	shard_write(claims, shard, now, wall, actions);
}

/*
 * Advances one shard: times out its operations and its request to the store,
 * and appends the next request to ACTIONS.
 */
static void shard_run(claims_t *claims, shard_t *shard, pd_time_t now,
		      int64_t wall, list_node_t *actions)
{
	shard_fail_acquires(claims, shard, now, now - ACQUIRE_TIMEOUT);
	if ((shard->phase == SHARD_READING || shard->phase == SHARD_WRITING) &&
	    now - shard->requested_at >= STORE_TIMEOUT) {
		const store_reply_t timed_out = { .op = shard->store_op,
						  .status = STORE_UNKNOWN };

		claims_handle_store_reply(claims, &timed_out, now);
	}
	if (shard->phase == SHARD_FRESH)
		shard_resolve(claims, shard);
	if (list_empty(&shard->ops)) {
		shard->has_write_permit = false;
		return;
	}
	if (shard->phase == SHARD_STALE && now >= shard->retry_at)
		shard_read(claims, shard, now, actions);
	else if (shard->phase == SHARD_FRESH &&
		 shard_take_write_permit(claims, shard, now))
		shard_use_write_permit(claims, shard, now, wall, actions);
}

/*
 * Advances every shard: times out unanswered reads and writes, appends the next
 * requests to ACTIONS and the resolved outcomes to RESULTS. The caller owns the
 * items of both lists. WALL is the wall-clock time in seconds.
 */
void claims_run(claims_t *claims, pd_time_t now, int64_t wall,
		list_node_t *actions, list_node_t *results)
{
	list_node_t *node;

	for (unsigned int i = 0; i < CLAIM_SHARDS; i++)
		shard_run(claims,
			  &claims->shards[(claims->first_shard + i) % CLAIM_SHARDS],
			  now, wall, actions);
	/* Rotate, so that no shard starves when permits run short. */
	claims->first_shard++;
	while ((node = list_pop(&claims->results)))
		list_append(results, node);
}

/* Returns whether no operation is waiting to be written. */
bool claims_is_idle(const claims_t *claims)
{
	for (unsigned int i = 0; i < CLAIM_SHARDS; i++) {
		if (!list_empty(&claims->shards[i].ops))
			return false;
	}
	return true;
}
