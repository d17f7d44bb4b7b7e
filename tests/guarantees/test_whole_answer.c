/*
 * Each caller gets the complete answer to its own request when connections to
 * engines stall or break, when it resumes a stream, and when two requests are
 * identical. tests/property/test_streams.cc covers late and reordered upstream
 * events.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "adapters/json.h"
#include "tests/harness/history.h"

#define ENTRIES 3
#define ENGINES 4
#define STREAMS 24
#define TOKENS 300
/* Well below 30 s, when the deadline would free the slots. */
#define SLOTS_FREED_TIMEOUT_MS 12000

static int setup(void **state)
{
	const fleet_config_t config = { .entries = ENTRIES,
					.engines = ENGINES,
					.forward_upstreams = true };

	*state = fleet_create(&config);
	return 0;
}

static int teardown(void **state)
{
	fleet_destroy(*state);
	return 0;
}

static void start_streams(fleet_t *fleet, history_t *history)
{
	for (unsigned int i = 0; i < STREAMS; i++) {
		char *prompt = g_strdup_printf("page %u", i);
		call_t *call = completion_start(fleet,
						fleet->entries[i % ENTRIES].port,
						prompt, TOKENS, i % 4 != 0);

		history_add_completion(history, call, prompt, TOKENS);
		g_free(prompt);
	}
}

/* Condition: the engines have generated MIN_TOKENS tokens in total. */
typedef struct token_wait {
	fleet_t *fleet;
	int64_t min_tokens;
} token_wait_t;

static int64_t tokens_generated(fleet_t *fleet)
{
	int64_t sum = 0;

	for (unsigned int i = 0; i < ENGINES; i++) {
		json_t *record = fleet_get(fleet, fleet->engines[i].port,
					   "/standin/record");

		sum += json_integer_or(record, "tokens", 0);
		json_decref(record);
	}
	return sum;
}

static bool tokens_were_generated(void *ctx)
{
	const token_wait_t *wait = ctx;

	return tokens_generated(wait->fleet) >= wait->min_tokens;
}

/* Waits until the engines have generated MORE further tokens. */
static void wait_tokens(fleet_t *fleet, int64_t more)
{
	token_wait_t wait = { fleet, tokens_generated(fleet) + more };

	fleet_wait(fleet, tokens_were_generated, &wait, "tokens");
}

/* Calls ACT for each engine's forwarder. */
static void for_each_forwarder(fleet_t *fleet, void (*act)(forwarder_t *forwarder))
{
	for (unsigned int i = 0; i < ENGINES; i++)
		act(fleet->engines[i].forwarder);
}

static void assert_all_complete(history_t *history)
{
	history_stats_t stats;

	history_wait(history);
	stats = history_check(history);
	history_assert_guarantees(&stats);
	assert_int_equal(stats.answered, STREAMS);
}

/*
 * A middlebox drops the state of all open connections: they stall without an error,
 * while new connections work. Streams must continue after a pause of some seconds.
 */
static void test_stalled_connections(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);

	start_streams(fleet, history);
	wait_tokens(fleet, STREAMS * TOKENS / 10);
	for_each_forwarder(fleet, forwarder_silence);
	assert_all_complete(history);
	history_destroy(history);
}

/* All connections to engines break, and again while streams are resumed. */
static void test_connections_break_twice(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);

	start_streams(fleet, history);
	for (int i = 0; i < 2; i++) {
		wait_tokens(fleet, STREAMS * TOKENS / 10);
		for_each_forwarder(fleet, forwarder_cut);
	}
	assert_all_complete(history);
	history_destroy(history);
}

static bool has_received_tokens(void *ctx)
{
	const call_t *call = ctx;

	return call->done || call->body->len > 2000;
}

/*
 * Discards the body's incomplete last event and returns the id of the last complete
 * one. The caller owns it.
 */
static char *last_event_id(call_t *call)
{
	char *end = g_strrstr(call->body->str, "\n\n");
	char *line;

	assert_non_null(end);
	g_string_truncate(call->body, (gsize)(end + 2 - call->body->str));
	line = g_strrstr(call->body->str, "id: ");
	assert_non_null(line);
	line += strlen("id: ");
	return g_strndup(line, strcspn(line, "\r\n"));
}

/* Resumes a stream at an entry after event ID; the caller destroys the call. */
static call_t *resume(fleet_t *fleet, unsigned int entry, const char *prompt,
		      const char *id)
{
	char *body = g_strdup_printf("{\"model\":\"ledger-reader\",\"stream\":"
				     "true,\"max_tokens\":%d,"
				     "\"messages\":[{\"role\":\"user\","
				     "\"content\":\"%s\"}]}",
				     TOKENS, prompt);
	call_t *call = call_start(fleet, fleet->entries[entry].port, "POST",
				  "/v1/chat/completions", FLEET_OFFICE_KEY,
				  NULL, id, body);

	g_free(body);
	return call;
}

/*
 * Waits for a resumed call and fails the test unless HEAD and its text make up the
 * answer to PROMPT. Destroys the call.
 */
static void assert_rest(call_t *call, const char *head, const char *prompt)
{
	char *rest;
	char *answer;
	char *expected = completion_expected(prompt, TOKENS);

	call_wait(call);
	assert_true(completion_is_complete(call));
	rest = completion_text(call);
	answer = g_strconcat(head, rest, NULL);
	assert_string_equal(answer, expected);
	g_free(rest);
	g_free(answer);
	g_free(expected);
	call_destroy(call);
}

/*
 * A caller's connection breaks and its client resumes the stream at two entries at
 * once. Both calls must get exactly the rest of the answer.
 */
static void test_stream_is_resumed_twice(void **state)
{
	fleet_t *fleet = *state;
	const char *prompt = "lot 88";
	call_t *call = completion_start(fleet, fleet->entries[0].port, prompt,
					TOKENS, true);
	call_t *first;
	call_t *second;
	char *head;
	char *id;

	fleet_wait(fleet, has_received_tokens, call, "some tokens");
	call_cancel(call);
	id = last_event_id(call);
	head = completion_text(call);
	first = resume(fleet, 0, prompt, id);
	second = resume(fleet, 1, prompt, id);
	assert_rest(first, head, prompt);
	assert_rest(second, head, prompt);
	call_destroy(call);
	g_free(head);
	g_free(id);
}

/*
 * A caller sends two identical requests at the same time. They must get separate
 * answers, and the end of one must not end the other.
 */
static void test_identical_requests_get_separate_answers(void **state)
{
	fleet_t *fleet = *state;
	const char *prompt = "the same question";
	call_t *calls[2];
	char *expected = completion_expected(prompt, TOKENS);

	for (int i = 0; i < 2; i++)
		calls[i] = completion_start(fleet, fleet->entries[0].port,
					    prompt, TOKENS, true);
	for (int i = 0; i < 2; i++) {
		char *text;

		call_wait(calls[i]);
		assert_true(completion_is_complete(calls[i]));
		text = completion_text(calls[i]);
		assert_string_equal(text, expected);
		g_free(text);
	}
	assert_string_not_equal(calls[0]->request_id, calls[1]->request_id);
	call_destroy(calls[0]);
	call_destroy(calls[1]);
	g_free(expected);
}

static bool no_stream_runs(void *ctx)
{
	fleet_t *fleet = ctx;
	int64_t running = 0;

	for (unsigned int i = 0; i < ENGINES; i++) {
		json_t *load = fleet_get(fleet, fleet->engines[i].port, "/load");

		running += json_integer_or(load, "running", 0);
		json_decref(load);
	}
	return running == 0;
}

/*
 * Callers disconnect during long answers. Engines must stop generating; otherwise
 * the answers would occupy slots for minutes although nobody reads them.
 */
static void test_disconnect_frees_the_engine(void **state)
{
	fleet_t *fleet = *state;
	call_t *calls[8];
	unsigned int started = 0;

	for (unsigned int i = 0; i < G_N_ELEMENTS(calls); i++)
		calls[i] = completion_start(fleet, fleet->entries[i % ENTRIES].port,
					    "a long story", 100000, true);
	for (unsigned int i = 0; i < G_N_ELEMENTS(calls); i++) {
		fleet_wait(fleet, has_received_tokens, calls[i], "some tokens");
		started += !calls[i]->done;
		call_destroy(calls[i]);
	}
	assert_int_equal(started, G_N_ELEMENTS(calls));
	assert_true(fleet_wait_ms(fleet, no_stream_runs, fleet,
				  SLOTS_FREED_TIMEOUT_MS));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stalled_connections),
		cmocka_unit_test(test_connections_break_twice),
		cmocka_unit_test(test_stream_is_resumed_twice),
		cmocka_unit_test(test_identical_requests_get_separate_answers),
		cmocka_unit_test(test_disconnect_frees_the_engine),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
