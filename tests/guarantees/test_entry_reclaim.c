/*
 * An entry's VM is reclaimed with notice. Callers whose answers can't be completed in
 * time are told to reconnect, and must get the rest from any other entry.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "adapters/json.h"
#include "tests/harness/history.h"

#define ENTRIES 4
#define ENGINES 2
#define READERS 8
#define TOKENS 300 /* at 10 ms each: longer than any notice below */
#define NOTICE_BODY "{\"leaves_in_ms\":2300}"

/* A caller that resumes its answer at other entries. */
typedef struct reader {
	fleet_t *fleet;
	char *prompt;
	bool stream;
	call_t *call;
	char *last_id; /* to resume after, or NULL */
	unsigned int entry; /* index of the entry it is connected to */
	unsigned int moves; /* times it was told to reconnect */
	bool must_reconnect; /* told to reconnect, not yet reconnected */
	bool done;
	bool has_failed; /* a call failed */
	GString *text;
} reader_t;

/* Sends the request to an entry, with the id to resume after if there is one. */
static void reader_call(reader_t *reader, unsigned int entry)
{
	json_t *body = json_pack("{s:s, s:b, s:i, s:[{s:s, s:s}]}", "model",
				 "ledger-reader", "stream", reader->stream,
				 "max_tokens", TOKENS, "messages", "role",
				 "user", "content", reader->prompt);
	char *text = json_dumps(body, JSON_COMPACT);

	reader->entry = entry;
	reader->must_reconnect = false;
	reader->call = call_start(reader->fleet, reader->fleet->entries[entry].port,
				  "POST", "/v1/chat/completions",
				  FLEET_OFFICE_KEY, NULL, reader->last_id, text);
	free(text);
	json_decref(body);
}

static reader_t *reader_create(fleet_t *fleet, unsigned int index, bool stream)
{
	reader_t *reader = g_new0(reader_t, 1);

	reader->fleet = fleet;
	reader->stream = stream;
	reader->prompt = g_strdup_printf("bale %u", index);
	reader->text = g_string_new(NULL);
	reader_call(reader, 0);
	return reader;
}

static void reader_destroy(reader_t *reader)
{
	if (reader->call)
		call_destroy(reader->call);
	g_free(reader->prompt);
	g_free(reader->last_id);
	g_string_free(reader->text, TRUE);
	g_free(reader);
}

/* Saves the id to resume after: of the last event, or the request id if not streamed. */
static void reader_save_last_id(reader_t *reader)
{
	char **lines = g_strsplit(reader->call->body->str, "\n", -1);

	for (char **line = lines; reader->stream && *line; line++) {
		if (!g_str_has_prefix(*line, "id: "))
			continue;
		g_free(reader->last_id);
		reader->last_id = g_strdup(*line + strlen("id: "));
	}
	if (!reader->stream) {
		g_free(reader->last_id);
		reader->last_id = g_strdup(reader->call->request_id);
	}
	g_strfreev(lines);
}

static bool reader_was_moved(const reader_t *reader)
{
	char problem[32];

	if (reader->stream)
		return strstr(reader->call->body->str, "event: moved") != NULL;
	return !strcmp(call_problem(reader->call, problem, sizeof(problem)),
		       "moved");
}

/* Saves the text and outcome of the reader's call if it has ended. */
static void reader_finish_call(reader_t *reader)
{
	char *text;

	if (!reader->call || !reader->call->done)
		return;
	text = completion_text(reader->call);
	g_string_append(reader->text, text);
	g_free(text);
	reader_save_last_id(reader);
	if (reader_was_moved(reader)) {
		reader->moves++;
		reader->must_reconnect = true;
	} else if (!reader->call->failed && reader->call->status == 200) {
		reader->done = true;
	} else {
		reader->has_failed = true;
	}
	call_destroy(reader->call);
	reader->call = NULL;
}

typedef struct group {
	fleet_t *fleet;
	reader_t *readers[READERS];
	unsigned int moves; /* awaited of each reader */
} group_t;

/* Starts a fleet and the readers; the first UNSTREAMED of them don't stream. */
static group_t group_create(unsigned int unstreamed)
{
	const fleet_config_t config = { .entries = ENTRIES,
					.engines = ENGINES,
					.services = 2,
					.token_ms = "10" };
	group_t group = { .fleet = fleet_create(&config) };

	for (unsigned int i = 0; i < READERS; i++)
		group.readers[i] = reader_create(group.fleet, i, i >= unstreamed);
	return group;
}

static void group_finish_calls(group_t *group)
{
	for (unsigned int i = 0; i < READERS; i++)
		reader_finish_call(group->readers[i]);
}

static bool group_has_begun(void *ctx)
{
	group_t *group = ctx;

	for (unsigned int i = 0; i < READERS; i++) {
		const reader_t *reader = group->readers[i];

		if (reader->stream &&
		    (!reader->call || !reader->call->first_byte_at))
			return false;
	}
	return true;
}

static bool group_has_moved(void *ctx)
{
	group_t *group = ctx;

	group_finish_calls(group);
	for (unsigned int i = 0; i < READERS; i++) {
		if (group->readers[i]->moves < group->moves &&
		    !group->readers[i]->has_failed)
			return false;
	}
	return true;
}

static bool group_has_ended(void *ctx)
{
	group_t *group = ctx;

	group_finish_calls(group);
	for (unsigned int i = 0; i < READERS; i++) {
		if (!group->readers[i]->done && !group->readers[i]->has_failed &&
		    !group->readers[i]->must_reconnect)
			return false;
	}
	return true;
}

static void reclaim(fleet_t *fleet, unsigned int entry)
{
	fleet_post(fleet, fleet->entries[entry].port, "/reclaim", NOTICE_BODY);
}

/* Waits until every reader was told to reconnect MOVES times. */
static void group_wait_moved(group_t *group, unsigned int moves)
{
	group->moves = moves;
	fleet_wait(group->fleet, group_has_moved, group, "callers to be moved");
}

/* Reconnects the waiting readers to the entries FIRST to LAST in turn. */
static void group_reconnect(group_t *group, unsigned int first, unsigned int last)
{
	for (unsigned int i = 0; i < READERS; i++) {
		reader_t *reader = group->readers[i];

		if (reader->must_reconnect)
			reader_call(reader, first + i % (last - first + 1));
	}
}

/* Returns the sum of a number in the engines' replies to PATH. */
static int64_t engines_sum(const group_t *group, const char *path, const char *key)
{
	int64_t sum = 0;

	for (unsigned int i = 0; i < ENGINES; i++) {
		json_t *record = fleet_get(group->fleet,
					   group->fleet->engines[i].port, path);

		sum += json_integer_or(record, key, 0);
		json_decref(record);
	}
	return sum;
}

static bool engines_are_idle(void *ctx)
{
	return engines_sum(ctx, "/load", "running") == 0;
}

/*
 * Checks that every reader got its text, and that it was generated only once: entries
 * that restarted answers would generate about twice as many tokens.
 */
static void group_check(group_t *group)
{
	int64_t generated;

	fleet_wait(group->fleet, group_has_ended, group, "answers to end");
	generated = engines_sum(group, "/standin/record", "tokens");
	for (unsigned int i = 0; i < READERS; i++) {
		reader_t *reader = group->readers[i];
		char *expected = completion_expected(reader->prompt, TOKENS);

		assert_false(reader->has_failed);
		assert_true(reader->done);
		assert_string_equal(reader->text->str, expected);
		g_free(expected);
		reader_destroy(reader);
	}
	printf("%d answers of %d tokens, %d generated\n", READERS, TOKENS,
	       (int)generated);
	assert_true(generated <= READERS * TOKENS * 11 / 10);
	fleet_destroy(group->fleet);
}

/*
 * An entry's VM is reclaimed during eight answers, two of them not streamed. The
 * handover must let callers get the rest from another entry; without it they would
 * have to repeat their requests.
 */
static void test_answers_continue_at_another_entry(void **state)
{
	group_t group = group_create(2);

	(void)state;
	fleet_wait(group.fleet, group_has_begun, &group, "first tokens");
	reclaim(group.fleet, 0);
	group_wait_moved(&group, 1);
	fleet_stop_entry(group.fleet, 0, SIGKILL);
	group_reconnect(&group, 1, ENTRIES - 1);
	group_check(&group);
}

/*
 * Callers reconnect only after the entry that took over their answers has completed
 * them.
 */
static void test_completed_answers_are_kept(void **state)
{
	group_t group = group_create(2);

	(void)state;
	fleet_wait(group.fleet, group_has_begun, &group, "first tokens");
	reclaim(group.fleet, 0);
	group_wait_moved(&group, 1);
	fleet_stop_entry(group.fleet, 0, SIGKILL);
	fleet_wait(group.fleet, engines_are_idle, &group, "the engines' end");
	group_reconnect(&group, 1, ENTRIES - 1);
	group_check(&group);
}

/* The entry that callers reconnected to is reclaimed as well. */
static void test_answers_move_twice(void **state)
{
	group_t group = group_create(0);

	(void)state;
	fleet_wait(group.fleet, group_has_begun, &group, "first tokens");
	reclaim(group.fleet, 0);
	group_wait_moved(&group, 1);
	fleet_stop_entry(group.fleet, 0, SIGKILL);
	group_reconnect(&group, 1, 1);
	fleet_wait(group.fleet, group_has_begun, &group, "tokens again");
	reclaim(group.fleet, 1);
	group_wait_moved(&group, 2);
	fleet_stop_entry(group.fleet, 1, SIGKILL);
	group_reconnect(&group, 2, ENTRIES - 1);
	group_check(&group);
}

static bool call_has_run(void *ctx)
{
	const fleet_t *fleet = ctx;
	size_t runs = 0;

	for (unsigned int i = 0; i < 2; i++) {
		json_t *record = fleet_get((fleet_t *)fleet,
					   fleet->services[i].port,
					   "/standin/record");

		runs += json_array_size(json_object_get(record, "ran"));
		json_decref(record);
	}
	return runs > 0;
}

/*
 * A station call takes longer than the notice, so that its outcome is unknown when
 * the VM ends. The terminal must be told before that, and its retry at another entry
 * must not run the call twice.
 */
static void test_station_call_is_not_repeated(void **state)
{
	const fleet_config_t config = {
		.entries = 2, .engines = 1, .services = 2, .work_ms = "6000"
	};
	fleet_t *fleet = fleet_create(&config);
	history_t *history = history_create(fleet);
	call_t *call = station_call_start(fleet, fleet->entries[0].port, "k");
	history_stats_t stats;
	char problem[32];

	(void)state;
	history_add_station_call(history, call, "k");
	fleet_wait(fleet, call_has_run, fleet, "the station to have the call");
	fleet_post(fleet, fleet->entries[0].port, "/reclaim",
		   "{\"leaves_in_ms\":1000}");
	call_wait(call);
	assert_string_equal(call_problem(call, problem, sizeof(problem)),
			    "outcome-unknown");
	fleet_stop_entry(fleet, 0, SIGKILL);
	history_add_station_call(history,
				 station_call_start(fleet,
						    fleet->entries[1].port, "k"),
				 "k");
	history_wait(history);
	stats = history_check(history);
	history_assert_guarantees(&stats);
	assert_int_equal(stats.outcome_unknown, 2);
	assert_int_equal(stats.broken, 0);
	history_destroy(history);
	fleet_destroy(fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answers_continue_at_another_entry),
		cmocka_unit_test(test_completed_answers_are_kept),
		cmocka_unit_test(test_answers_move_twice),
		cmocka_unit_test(test_station_call_is_not_repeated),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
