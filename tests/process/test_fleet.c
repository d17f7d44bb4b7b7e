/* End to end with real processes: requests and their complete answers. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "adapters/json.h"
#include "tests/harness/history.h"

#define REQUESTS 200
#define TOKENS 24

/* Retries of a call, after which its record must have been written. */
#define RETRIES_MAX 100

/* Starts a fleet of six entries, four engines and two services. */
static int setup(void **state)
{
	const fleet_config_t config = { .entries = 6, .engines = 4, .services = 2 };

	*state = fleet_create(&config);
	return 0;
}

/* Stops the fleet. */
static int teardown(void **state)
{
	fleet_destroy(*state);
	return 0;
}

/*
 * Two hundred concurrent callers send requests through all six entries. A mix-up
 * would give a caller the answer of another, or one with a token duplicated or
 * missing.
 */
static void test_each_caller_gets_its_own_answer(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);
	history_stats_t stats;
	char prompt[64];

	for (int i = 0; i < REQUESTS; i++) {
		call_t *call;

		snprintf(prompt, sizeof(prompt), "ledger page %d", i);
		call = completion_start(fleet, fleet->entries[i % 6].port,
					prompt, TOKENS, i % 3 != 0);
		history_add_completion(history, call, prompt, TOKENS);
	}
	history_wait(history);
	stats = history_check(history);
	history_assert_guarantees(&stats);
	assert_int_equal(stats.answered, REQUESTS);
	history_destroy(history);
}

/* Waits for a call, checks its status and problem type, and destroys it. */
static void assert_refused(call_t *call, int status, const char *problem)
{
	char name[64];

	call_wait(call);
	assert_int_equal(call->status, status);
	assert_string_equal(call_problem(call, name, sizeof(name)), problem);
	call_destroy(call);
}

/*
 * Each invalid request gets a typed refusal at once, and the entry continues to
 * serve other callers.
 */
static void test_bad_requests_are_refused(void **state)
{
	fleet_t *fleet = *state;
	int port = fleet->entries[0].port;
	const char *path = "/v1/chat/completions";

	assert_refused(call_start(fleet, port, "POST", path, FLEET_OFFICE_KEY,
				  NULL, NULL, "{broken"),
		       400, "bad-request");
	assert_refused(call_start(fleet, port, "POST", path, "no-such-key",
				  NULL, NULL,
				  "{\"model\":\"ledger-reader\",\"messages\":"
				  "[{\"role\":\"user\",\"content\":\"x\"}]}"),
		       401, "unauthenticated");
	assert_refused(call_start(fleet, port, "POST", path, FLEET_LINE_KEY,
				  NULL, NULL,
				  "{\"model\":\"ledger-reader\",\"messages\":"
				  "[{\"role\":\"user\",\"content\":\"x\"}]}"),
		       403, "forbidden");
	assert_refused(call_start(fleet, port, "POST", path, FLEET_OFFICE_KEY,
				  NULL, NULL,
				  "{\"model\":\"unheard-of\",\"messages\":"
				  "[{\"role\":\"user\",\"content\":\"x\"}]}"),
		       404, "unknown-target");
	assert_refused(call_start(fleet, port, "POST",
				  "/v1/services/station-call/calls",
				  FLEET_LINE_KEY, NULL, NULL, "{}"),
		       400, "idempotency-key-required");
	assert_refused(call_start(fleet, port, "GET", "/nowhere", NULL, NULL,
				  NULL, NULL),
		       404, "not-found");
}

/* An oversized body is rejected and does not disturb the next request. */
static void test_oversized_body_is_refused(void **state)
{
	fleet_t *fleet = *state;
	char *body = g_strnfill(2 * 1024 * 1024, 'x');
	call_t *call = call_start(fleet, fleet->entries[0].port, "POST",
				  "/v1/chat/completions", FLEET_OFFICE_KEY,
				  NULL, NULL, body);

	call_wait(call);
	assert_true(call->failed || call->status == 413);
	call_destroy(call);
	g_free(body);
	call = completion_start(fleet, fleet->entries[0].port, "still there", 4,
				true);
	call_wait(call);
	assert_true(completion_is_complete(call));
	call_destroy(call);
}

/* An oversized header is rejected and does not disturb the next request. */
static void test_oversized_head_is_refused(void **state)
{
	fleet_t *fleet = *state;
	char *key = g_strnfill(512 * 1024, 'k');
	call_t *call = station_call_start(fleet, fleet->entries[0].port, key);

	call_wait(call);
	assert_true(call->failed || call->status >= 400);
	call_destroy(call);
	g_free(key);
	call = completion_start(fleet, fleet->entries[0].port, "still there", 4,
				true);
	call_wait(call);
	assert_true(completion_is_complete(call));
	call_destroy(call);
}

/*
 * A caller that received no answer retries with the same key, and the load
 * balancer sends it to another entry. The service must see one call.
 */
static void test_key_runs_once_across_entries(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);
	history_stats_t stats;
	char problem[64];

	for (int i = 0; i < 6; i++) {
		call_t *call = station_call_start(fleet, fleet->entries[i].port,
						  "harness-1");

		call_wait(call);
		/*
		 * The first entry replies before its record of the answer is
		 * written. Until then another entry must reply that the outcome
		 * is unknown, and after that with the answer.
		 */
		for (int again = 0;
		     i && call->status == 502 && again < RETRIES_MAX; again++) {
			assert_string_equal(call_problem(call, problem,
							 sizeof(problem)),
					    "outcome-unknown");
			call_destroy(call);
			call = station_call_start(fleet, fleet->entries[i].port,
						  "harness-1");
			call_wait(call);
		}
		assert_int_equal(call->status, 200);
		assert_int_equal(call->replayed, i > 0);
		history_add_station_call(history, call, "harness-1");
	}
	stats = history_check(history);
	history_assert_guarantees(&stats);
	assert_int_equal(stats.answered, 6);
	history_destroy(history);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_caller_gets_its_own_answer),
		cmocka_unit_test(test_bad_requests_are_refused),
		cmocka_unit_test(test_oversized_body_is_refused),
		cmocka_unit_test(test_oversized_head_is_refused),
		cmocka_unit_test(test_key_runs_once_across_entries),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
