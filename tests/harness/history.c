/* Checks the outcomes of calls against the stand-ins' records. */
#include "tests/harness/history.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "adapters/json.h"

typedef struct item {
	call_t *call;
	char *key; /* of a station call, or NULL */
	char *expected; /* text of a completion, or NULL */
} item_t;

struct history {
	fleet_t *fleet;
	GPtrArray *items; /* of item_t */
};

static void item_destroy(void *data)
{
	item_t *item = data;

	call_destroy(item->call);
	g_free(item->key);
	g_free(item->expected);
	g_free(item);
}

/* Returns an empty history; the caller destroys it. */
history_t *history_create(fleet_t *fleet)
{
	history_t *history = g_new0(history_t, 1);

	history->fleet = fleet;
	history->items = g_ptr_array_new_with_free_func(item_destroy);
	return history;
}

/* Frees the history and its calls; running calls are cancelled. */
void history_destroy(history_t *history)
{
	g_ptr_array_unref(history->items);
	g_free(history);
}

static item_t *history_add(history_t *history, call_t *call)
{
	item_t *item = g_new0(item_t, 1);

	item->call = call;
	g_ptr_array_add(history->items, item);
	return item;
}

/* Adds a completion with its expected text; the history takes ownership of the call. */
void history_add_completion(history_t *history, call_t *call,
			    const char *prompt, unsigned int tokens)
{
	item_t *item = history_add(history, call);

	item->expected = completion_expected(prompt, tokens);
}

/* Adds a station call; the history takes ownership of it. */
void history_add_station_call(history_t *history, call_t *call, const char *key)
{
	item_t *item = history_add(history, call);

	item->key = g_strdup(key);
}

static bool all_calls_done(void *ctx)
{
	history_t *history = ctx;

	for (guint i = 0; i < history->items->len; i++) {
		const item_t *item = g_ptr_array_index(history->items, i);

		if (!item->call->done)
			return false;
	}
	return true;
}

/* Waits until every call has completed or failed. */
void history_wait(history_t *history)
{
	fleet_wait(history->fleet, all_calls_done, history, "the end of all calls");
}

/* Merged records of the stand-ins. */
typedef struct record {
	GHashTable *requests; /* ids of the requests that ran */
	GHashTable *runs; /* idempotency key -> number of runs, as a pointer */
} record_t;

static void record_add_requests(record_t *record, const json_t *list)
{
	json_t *id;
	size_t i;

	json_array_foreach(list, i, id)
		g_hash_table_add(record->requests, g_strdup(json_string_value(id)));
}

static void record_add_runs(record_t *record, json_t *runs)
{
	const char *key;
	json_t *run_count;

	json_object_foreach(runs, key, run_count)
	{
		gpointer before = g_hash_table_lookup(record->runs, key);
		gintptr sum = GPOINTER_TO_INT(before) +
			      (gintptr)json_integer_value(run_count);

		g_hash_table_replace(record->runs, g_strdup(key),
				     GINT_TO_POINTER(sum));
	}
}

/* Merges the record of a stand-in, unless its process has ended. */
static void record_add_node(record_t *record, fleet_t *fleet,
			    const fleet_node_t *node)
{
	json_t *answer;

	if (!node->process || process_ended(node->process))
		return;
	answer = fleet_get(fleet, node->port, "/standin/record");
	record_add_requests(record, json_object_get(answer, "ran"));
	record_add_runs(record, json_object_get(answer, "runs"));
	json_decref(answer);
}

/* Returns true if the answer is the text expected, or names the call's key. */
static bool answer_is_correct(const item_t *item)
{
	char *text;
	bool correct;

	if (item->key)
		return strstr(item->call->body->str, item->key) != NULL;
	text = completion_text(item->call);
	correct = !strcmp(text, item->expected);
	g_free(text);
	return correct;
}

/*
 * Returns true if a streamed response lacks its final event. h2o's client reports a
 * connection closed between two chunks as a normal end of the response.
 */
static bool stream_is_truncated(const call_t *call)
{
	return call->content_type &&
	       !strcmp(call->content_type, "text/event-stream") &&
	       !strstr(call->body->str, "data: [DONE]") &&
	       !strstr(call->body->str, "event: ");
}

/* Adds the outcome of a call to STATS. */
static void count_outcome(const item_t *item, const record_t *record,
			  history_stats_t *stats)
{
	const call_t *call = item->call;
	const char *id = call->request_id ? call->request_id : "";
	bool ran = g_hash_table_contains(record->requests, id);
	char problem[64];

	call_problem(call, problem, sizeof(problem));
	if (call->failed || !call->done || stream_is_truncated(call)) {
		stats->broken++;
	} else if (!strcmp(problem, "not-run")) {
		stats->not_run++;
		stats->not_run_but_ran += ran;
	} else if (!strcmp(problem, "outcome-unknown")) {
		stats->outcome_unknown++;
		stats->unknown_but_not_run += !ran;
	} else if (problem[0] || call->status != 200) {
		stats->refused++;
	} else {
		stats->answered++;
		stats->wrong_answers += !answer_is_correct(item);
	}
}

/* Returns the outcomes of the calls, checked against the stand-ins' records. */
history_stats_t history_check(history_t *history)
{
	fleet_t *fleet = history->fleet;
	history_stats_t stats = { 0 };
	record_t record = {
		.requests = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, NULL),
		.runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
	};
	GHashTableIter it;
	void *run_count;

	for (unsigned int i = 0; i < FLEET_NODES_MAX; i++) {
		record_add_node(&record, fleet, &fleet->engines[i]);
		record_add_node(&record, fleet, &fleet->services[i]);
	}
	for (guint i = 0; i < history->items->len; i++)
		count_outcome(g_ptr_array_index(history->items, i), &record,
			      &stats);
	g_hash_table_iter_init(&it, record.runs);
	while (g_hash_table_iter_next(&it, NULL, &run_count))
		stats.keys_run_twice += GPOINTER_TO_INT(run_count) > 1;
	g_hash_table_unref(record.requests);
	g_hash_table_unref(record.runs);
	return stats;
}

/* Fails the test if a key ran twice, a "not-run" call ran, or an answer is wrong. */
void history_assert_guarantees(const history_stats_t *stats)
{
	assert_int_equal(stats->keys_run_twice, 0);
	assert_int_equal(stats->not_run_but_ran, 0);
	assert_int_equal(stats->wrong_answers, 0);
}
