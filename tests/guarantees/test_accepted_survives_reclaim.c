/*
 * Engines are reclaimed while streams run on them, and then killed: a single one, a
 * zone, two zones in a row, with and without time for a KV cache export, and all
 * engines while no replacement starts. Every accepted request must get its complete
 * answer.
 */
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

#define ENTRIES 3
#define ENGINES 8 /* two in each of four zones */
#define ZONES 4
#define STREAMS 36
#define TOKENS 400 /* 2 s at 5 ms a token */
#define PROMPT_BYTES 2000
#define LONG_NOTICE_MS 1000
#define SHORT_NOTICE_MS 20

typedef struct reclaim {
	fleet_t *fleet;
	unsigned int first; /* reclaims this engine and every STEP-th after it */
	unsigned int step;
	int64_t notice_end; /* end of the notice, monotonic microseconds */
} reclaim_t;

static int setup(void **state)
{
	const fleet_config_t config = { .entries = ENTRIES, .engines = ENGINES };

	*state = fleet_create(&config);
	return 0;
}

static int teardown(void **state)
{
	fleet_destroy(*state);
	return 0;
}

/* Returns a prompt whose KV cache is worth an export; the caller owns it. */
static char *long_prompt(unsigned int number)
{
	char *filler = g_strnfill(PROMPT_BYTES, 'l');
	char *prompt = g_strdup_printf("ledger %u %s", number, filler);

	g_free(filler);
	return prompt;
}

static void start_streams(fleet_t *fleet, history_t *history)
{
	for (unsigned int i = 0; i < STREAMS; i++) {
		char *prompt = long_prompt(i);
		call_t *call = completion_start(fleet,
						fleet->entries[i % ENTRIES].port,
						prompt, TOKENS, true);

		history_add_completion(history, call, prompt, TOKENS);
		g_free(prompt);
	}
}

/* Returns the sum of a number in the records of all running engines. */
static int64_t record_sum(fleet_t *fleet, const char *name)
{
	int64_t sum = 0;

	for (unsigned int i = 0; i < ENGINES; i++) {
		json_t *record;

		if (!fleet->engines[i].process ||
		    process_ended(fleet->engines[i].process))
			continue;
		record = fleet_get(fleet, fleet->engines[i].port,
				   "/standin/record");
		sum += json_integer_or(record, name, 0);
		json_decref(record);
	}
	return sum;
}

static bool streams_are_midway(void *ctx)
{
	return record_sum(ctx, "tokens") >= STREAMS * TOKENS / 10;
}

static unsigned int engine_running_requests(fleet_t *fleet, unsigned int index)
{
	json_t *load = fleet_get(fleet, fleet->engines[index].port, "/load");
	int64_t running = json_integer_or(load, "running", 0);

	json_decref(load);
	return (unsigned int)running;
}

/* Gives notice to the engines, in the VM list and in their load reports. */
static void give_notice(reclaim_t *reclaim, int notice_ms)
{
	fleet_t *fleet = reclaim->fleet;
	unsigned int running = 0;
	char *notice = g_strdup_printf("{\"leaving\":true,\"leaves_in_ms\":%d}",
				       notice_ms);

	for (unsigned int i = reclaim->first; i < ENGINES; i += reclaim->step) {
		char *item =
			g_strdup_printf("{\"id\":\"%s\",\"leaves_in_ms\":%d}",
					fleet->engines[i].id, notice_ms);

		running += engine_running_requests(fleet, i);
		fleet_post(fleet, fleet->engines[i].port, "/standin/faults",
			   notice);
		fleet_post(fleet, fleet->platform.port, "/standin/notice", item);
		g_free(item);
	}
	g_free(notice);
	assert_true(running > 0);
	reclaim->notice_end = g_get_monotonic_time() + notice_ms * 1000;
}

static bool notice_is_over(void *ctx)
{
	return g_get_monotonic_time() >= ((reclaim_t *)ctx)->notice_end;
}

static bool engine_has_ended(void *ctx)
{
	return process_ended(ctx);
}

static void kill_engines(reclaim_t *reclaim)
{
	for (unsigned int i = reclaim->first; i < ENGINES; i += reclaim->step) {
		process_t *process = reclaim->fleet->engines[i].process;

		process_signal(process, SIGKILL);
		fleet_wait(reclaim->fleet, engine_has_ended, process,
			   "the end of an engine");
	}
}

static void reclaim_engines(reclaim_t *reclaim, int notice_ms)
{
	give_notice(reclaim, notice_ms);
	fleet_wait(reclaim->fleet, notice_is_over, reclaim, "the reclaim");
	kill_engines(reclaim);
}

static void reject_purchases(fleet_t *fleet)
{
	fleet_post(fleet, fleet->platform.port, "/standin/faults",
		   "{\"starts_refused\":true}");
}

static void assert_all_complete(history_t *history)
{
	history_stats_t stats;

	history_wait(history);
	stats = history_check(history);
	history_assert_guarantees(&stats);
	assert_int_equal(stats.answered, STREAMS);
}

/* One engine leaves in 1 s. Its streams must move with their KV caches. */
static void test_one_engine_is_reclaimed(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);
	reclaim_t reclaim = { .fleet = fleet, .first = 0, .step = ENGINES };

	start_streams(fleet, history);
	fleet_wait(fleet, streams_are_midway, fleet, "the middle of streams");
	reclaim_engines(&reclaim, LONG_NOTICE_MS);
	assert_all_complete(history);
	assert_true(record_sum(fleet, "imported") > 0);
	history_destroy(history);
}

/* All engines of a zone get notice at once, and the cloud API starts no new VM. */
static void test_zone_is_reclaimed(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);
	reclaim_t reclaim = { .fleet = fleet, .first = 0, .step = ZONES };

	reject_purchases(fleet);
	start_streams(fleet, history);
	fleet_wait(fleet, streams_are_midway, fleet, "the middle of streams");
	reclaim_engines(&reclaim, LONG_NOTICE_MS);
	assert_all_complete(history);
	assert_true(record_sum(fleet, "imported") > 0);
	history_destroy(history);
}

/* A second zone is reclaimed just after streams of the first one moved into it. */
static void test_two_zones_are_reclaimed_in_a_row(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);
	reclaim_t first = { .fleet = fleet, .first = 0, .step = ZONES };
	reclaim_t second = { .fleet = fleet, .first = 1, .step = ZONES };

	reject_purchases(fleet);
	start_streams(fleet, history);
	fleet_wait(fleet, streams_are_midway, fleet, "the middle of streams");
	reclaim_engines(&first, LONG_NOTICE_MS / 3);
	reclaim_engines(&second, LONG_NOTICE_MS / 3);
	assert_all_complete(history);
	history_destroy(history);
}

/*
 * A zone gets 20 ms notice, which most entries learn of only after its VMs have
 * ended. There are no KV caches left, so streams must be resumed from the text that
 * was already sent to the callers.
 */
static void test_zone_is_reclaimed_without_time_for_export(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);
	reclaim_t reclaim = { .fleet = fleet, .first = 0, .step = ZONES };

	start_streams(fleet, history);
	fleet_wait(fleet, streams_are_midway, fleet, "the middle of streams");
	reclaim_engines(&reclaim, SHORT_NOTICE_MS);
	assert_all_complete(history);
	history_destroy(history);
}

static bool no_engine_is_usable(void *ctx)
{
	fleet_t *fleet = ctx;
	bool usable = false;

	for (unsigned int i = 0; i < ENTRIES; i++) {
		json_t *status =
			fleet_get(fleet, fleet->entries[i].port, "/status");

		usable |= json_integer_or(status, "upstreams_usable", 0) > 0;
		json_decref(status);
	}
	return !usable;
}

/*
 * All engines are reclaimed and none starts for a while. Streams must stay open and
 * continue when an engine becomes available.
 */
static void test_streams_wait_for_a_new_engine(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);
	reclaim_t all = { .fleet = fleet, .first = 0, .step = 1 };
	process_t *replacement;
	char *program =
		g_build_filename(g_getenv("B") ? g_getenv("B") : "build/release",
				 "standin-engine", NULL);
	const char *argv[] = { program, "5", "20", "64", NULL };
	char *item;
	int port = 0;

	start_streams(fleet, history);
	fleet_wait(fleet, streams_are_midway, fleet, "the middle of streams");
	reclaim_engines(&all, SHORT_NOTICE_MS);
	fleet_wait(fleet, no_engine_is_usable, fleet, "no engine to be usable");
	replacement = process_start(fleet->dir, "fresh", argv);
	while (!port)
		port = process_read_port(replacement, replacement->out_path,
					 "port ");
	item = g_strdup_printf(
		"{\"id\":\"fresh-1\",\"zone\":\"zone-b\",\"address\":"
		"\"127.0.0.1\",\"port\":%d,\"role\":\"model\",\"state\":"
		"\"live\",\"serves\":\"ledger-reader\",\"slots\":64,"
		"\"reclaimable\":true,\"machine_class\":\"any\"}",
		port);
	fleet_post(fleet, fleet->platform.port, "/standin/vms", item);
	assert_all_complete(history);
	history_destroy(history);
	process_destroy(replacement);
	g_free(program);
	g_free(item);
}

#define RECLAIM_TEST(name) \
	cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		RECLAIM_TEST(test_one_engine_is_reclaimed),
		RECLAIM_TEST(test_zone_is_reclaimed),
		RECLAIM_TEST(test_two_zones_are_reclaimed_in_a_row),
		RECLAIM_TEST(test_zone_is_reclaimed_without_time_for_export),
		RECLAIM_TEST(test_streams_wait_for_a_new_engine),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
