/* Unit tests of the claims: releases, and objects that are full. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "adapters/platform_json.h"
#include "core/claims.h"
#include "ports/event.h"

#define WALL 1700000000

/*
 * Runs the claims and drops the results. Returns the first action, owned by the
 * caller, or NULL.
 */
static action_t *run_once(claims_t *claims, pd_time_t now)
{
	list_node_t actions;
	list_node_t results;
	list_node_t *node;

	list_init(&actions);
	list_init(&results);
	claims_run(claims, now, WALL, &actions, &results);
	while ((node = list_pop(&results)))
		claim_result_destroy(LIST_ENTRY(node, claim_result_t, node));
	node = list_pop(&actions);
	return node ? LIST_ENTRY(node, action_t, node) : NULL;
}

/*
 * A release is written only after a later attempt has claimed the same key. If
 * it released the later claim, a third attempt could run beside it.
 */
static void test_release_keeps_later_claim(void **state)
{
	claims_t *claims = claims_create("entry-1", 3600 * PD_SEC);
	store_reply_t reply = { .status = STORE_MISSING };
	pd_time_t now = PD_SEC;
	claim_t *record;
	action_t *action;

	(void)state;
	claims_acquire(claims, 1, "key", "nonce-2", "digest", now);
	claims_release(claims, "key", "nonce-1", now);
	action = run_once(claims, now);
	assert_int_equal(action->kind, ACTION_STORE_READ);
	reply.op = action->store.op;
	action_destroy(action);
	claims_handle_store_reply(claims, &reply, now);
	action = run_once(claims, now);
	assert_int_equal(action->kind, ACTION_STORE_WRITE);
	record = claim_table_get(action->store.table, "key");
	assert_string_equal(record->nonce, "nonce-2");
	assert_int_equal(record->state, CLAIM_HELD);
	action_destroy(action);
	claims_destroy(claims);
}

#define OBJECT_MAX_BYTES (1024 * 1024) /* limit of the platform's store */

/*
 * Returns a table of COUNT completed calls, oldest first; the caller owns it.
 */
static claim_table_t *make_table(unsigned int count, const char *answer)
{
	claim_table_t *table = claim_table_create();
	char name[65];

	for (unsigned int i = 0; i < count; i++) {
		claim_t *record;

		snprintf(name, sizeof(name), "%064x", i);
		record = claim_table_put(table, name, name, name);
		record->state = CLAIM_DONE;
		record->made_at = WALL - count + i;
		record->answer = g_strdup(answer);
	}
	return table;
}

/* Returns the size in bytes of the table as it is written. */
static size_t encoded_size(const claim_table_t *table)
{
	char *text = claim_table_encode(table);
	size_t size = strlen(text);

	free(text);
	return size;
}

/*
 * Acquires KEY on an object that holds TABLE. Returns the next request to the
 * store, or NULL.
 */
static action_t *acquire_on(claims_t *claims, claim_table_t *table, const char *key)
{
	store_reply_t reply = { .status = STORE_OK, .version = 7, .table = table };
	action_t *action;

	claims_acquire(claims, 1, key, "nonce", "digest", PD_SEC);
	action = run_once(claims, PD_SEC);
	reply.op = action->store.op;
	action_destroy(action);
	claims_handle_store_reply(claims, &reply, PD_SEC);
	return run_once(claims, PD_SEC);
}

/*
 * More calls came within the retention than an object can hold. The store
 * rejects an object over 1 MB; if it were written all the same, no call of that
 * object would get through and no answer be recorded until the retention is
 * over. The call has to be refused as not run, with nothing written.
 */
static void test_full_object_refuses_claims(void **state)
{
	claims_t *claims = claims_create("entry-1", 3600 * PD_SEC);
	claim_table_t *table = make_table(4300, NULL);

	(void)state;
	assert_null(acquire_on(claims, table, "key"));
	assert_true(claims_is_idle(claims));
	claim_table_destroy(table);
	claims_destroy(claims);
}

/*
 * Recorded answers fill an object long before the records do. The oldest are
 * evicted, since their callers are the least likely to retry; the records stay,
 * so that none of the calls can run twice.
 */
static void test_oldest_answers_are_evicted(void **state)
{
	claims_t *claims = claims_create("entry-1", 3600 * PD_SEC);
	char *answer = g_strnfill(1500, '"');
	claim_table_t *table = make_table(1000, answer);
	action_t *action = acquire_on(claims, table, "key");
	claim_table_t *written;
	char newest[65];

	(void)state;
	assert_non_null(action);
	written = action->store.table;
	assert_true(encoded_size(written) < OBJECT_MAX_BYTES);
	assert_int_equal(g_hash_table_size(written->claims), 1001);
	snprintf(newest, sizeof(newest), "%064x", 999);
	assert_non_null(claim_table_get(written, newest)->answer);
	snprintf(newest, sizeof(newest), "%064x", 0);
	assert_null(claim_table_get(written, newest)->answer);
	action_destroy(action);
	claim_table_destroy(table);
	claims_destroy(claims);
	g_free(answer);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_release_keeps_later_claim),
		cmocka_unit_test(test_full_object_refuses_claims),
		cmocka_unit_test(test_oldest_answers_are_evicted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
