/*
 * Planned stops under load: entries are replaced one by one while callers keep
 * sending requests. No caller may see a broken connection or an error.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "tests/harness/history.h"

#define ENTRIES 6
#define TOKENS 230 /* at 10 ms each, a stream outlives the grace of a stop */
#define CALLS_PER_ROUND 4 /* of each kind, per entry and round */

typedef struct load {
	fleet_t *fleet;
	history_t *history;
	unsigned int sent;
	unsigned int keys;
} load_t;

/* Starts a completion at an entry and adds it to the history. */
static void send_stream(load_t *load, int port)
{
	char *prompt = g_strdup_printf("lot %u", load->sent++);

	history_add_completion(load->history,
			       completion_start(load->fleet, port, prompt,
						TOKENS, load->sent % 4 != 0),
			       prompt, TOKENS);
	g_free(prompt);
}

static void send_station_call(load_t *load, int port)
{
	char *key = g_strdup_printf("harness-%u", load->keys++);

	history_add_station_call(load->history,
				 station_call_start(load->fleet, port, key), key);
	load->sent++;
	g_free(key);
}

static void send_round(load_t *load, unsigned int index)
{
	for (int i = 0; i < CALLS_PER_ROUND; i++) {
		send_stream(load, load->fleet->entries[index].port);
		send_station_call(load, load->fleet->entries[index].port);
	}
}

static void load_create(load_t *load, unsigned int entries)
{
	const fleet_config_t config = { .entries = entries,
					.engines = 4,
					.services = 2,
					.token_ms = "10",
					.work_ms = "300" };

	*load = (load_t){ .fleet = fleet_create(&config) };
	load->history = history_create(load->fleet);
}

/* Waits for all calls and fails the test unless each was answered. */
static void load_check(load_t *load)
{
	history_stats_t stats;

	history_wait(load->history);
	stats = history_check(load->history);
	printf("%u sent: %u answered, %u not run, %u outcome unknown, "
	       "%u refused, %u broken\n",
	       load->sent, stats.answered, stats.not_run, stats.outcome_unknown,
	       stats.refused, stats.broken);
	history_assert_guarantees(&stats);
	assert_int_equal(stats.answered, load->sent);
	history_destroy(load->history);
	fleet_destroy(load->fleet);
}

/*
 * A rolling restart of all entries while streams and station calls run on each.
 * Guards against streams that are truncated and calls that are rejected by an entry
 * that is stopping: the balancer still sends it requests for a moment, and a second
 * SIGTERM must not end it early.
 */
static void test_rolling_restart_breaks_no_request(void **state)
{
	load_t load;

	(void)state;
	load_create(&load, ENTRIES);
	for (unsigned int i = 0; i < ENTRIES; i++) {
		process_t *process = load.fleet->entries[i].process;

		for (unsigned int k = 0; k < ENTRIES; k++)
			send_round(&load, k);
		process_signal(process, SIGTERM);
		send_round(&load, i);
		process_signal(process, SIGTERM);
		fleet_stop_entry(load.fleet, i, SIGTERM);
		assert_int_equal(process->status, 0);
		fleet_start_entry(load.fleet, i);
		fleet_wait_ready(load.fleet);
	}
	load_check(&load);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rolling_restart_breaks_no_request),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
