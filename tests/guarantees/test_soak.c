/*
 * Random failures, also several at once: each seed determines a schedule of faults
 * and repairs while callers keep sending requests. No key may run twice, no call that
 * got "not-run" may have run, every complete answer must be the caller's own, and no
 * entry may go back to an older bundle. The environment variables SEEDS=N and
 * FIRST_SEED=K choose the seeds.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "adapters/json.h"
#include "tests/harness/history.h"

#define SEEDS_DEFAULT 6
#define STEPS 24
#define STEP_MS 120
#define ENTRIES 4
#define ENGINES 4
#define SERVICES 2
#define TOKENS 30

typedef enum fault {
	FAULT_NONE,
	FAULT_STORE_DOWN,
	FAULT_STORE_SLOW,
	FAULT_REPLIES_LOST,
	FAULT_ENTRY_KILLED,
	FAULT_ENTRY_STOPPED,
	FAULT_ENTRY_PAUSED,
	FAULT_ENGINE_LEAVES,
	FAULT_UPSTREAMS_CUT,
	FAULT_UPSTREAMS_SILENT,
	FAULT_ROLLOUT,
	FAULT_COUNT
} fault_t;

typedef struct soak {
	fleet_t *fleet;
	history_t *history;
	GRand *rand;
	unsigned int keys; /* used so far */
	unsigned int prompts;
	bool store_faulty;
	int down_entry; /* index of the killed, stopped or paused entry; -1: none */
	fault_t down_fault;
	bool notice_given;
	int64_t seen_generations[ENTRIES]; /* last seen of each entry */
} soak_t;

/* Returns a random number from 0 to BELOW - 1. */
static unsigned int random_below(soak_t *soak, unsigned int below)
{
	return (unsigned int)g_rand_int_range(soak->rand, 0, (gint32)below);
}

static int random_entry_port(soak_t *soak)
{
	return soak->fleet->entries[random_below(soak, ENTRIES)].port;
}

/* Sends two station calls and two completions; a third of the keys are reused. */
static void send_calls(soak_t *soak)
{
	for (int i = 0; i < 2; i++) {
		bool reuse = soak->keys > 0 && random_below(soak, 3) == 0;
		unsigned int number = reuse ? random_below(soak, soak->keys)
					    : soak->keys++;
		char *key = g_strdup_printf("key-%u", number);
		char *prompt = g_strdup_printf("page %u", soak->prompts++);

		history_add_station_call(soak->history,
					 station_call_start(soak->fleet,
							    random_entry_port(soak),
							    key),
					 key);
		history_add_completion(soak->history,
				       completion_start(soak->fleet,
							random_entry_port(soak),
							prompt, TOKENS, true),
				       prompt, TOKENS);
		g_free(key);
		g_free(prompt);
	}
}

static void set_store(soak_t *soak, const char *faults)
{
	fleet_post(soak->fleet, soak->fleet->platform.port, "/standin/faults",
		   faults);
}

static void take_entry_down(soak_t *soak, fault_t how)
{
	int index = (int)random_below(soak, ENTRIES);
	process_t *process = soak->fleet->entries[index].process;

	soak->down_entry = index;
	soak->down_fault = how;
	if (how == FAULT_ENTRY_KILLED)
		process_signal(process, SIGKILL);
	else if (how == FAULT_ENTRY_STOPPED)
		process_signal(process, SIGTERM);
	else
		process_signal(process, SIGSTOP);
}

static bool entry_has_ended(void *ctx)
{
	return process_ended(ctx);
}

static void bring_entry_back(soak_t *soak)
{
	unsigned int index = (unsigned int)soak->down_entry;
	process_t *process;

	if (soak->down_entry < 0)
		return;
	process = soak->fleet->entries[index].process;
	soak->down_entry = -1;
	if (soak->down_fault == FAULT_ENTRY_PAUSED) {
		process_signal(process, SIGCONT);
		return;
	}
	/* After SIGTERM an entry runs until its last stream ends. */
	if (!fleet_wait_ms(soak->fleet, entry_has_ended, process, 15000))
		process_signal(process, SIGKILL);
	fleet_wait(soak->fleet, entry_has_ended, process, "an entry's end");
	fleet_start_entry(soak->fleet, index);
	soak->seen_generations[index] = 0;
}

static void give_notice(soak_t *soak)
{
	fleet_t *fleet = soak->fleet;

	if (soak->notice_given)
		return;
	soak->notice_given = true;
	fleet_post(fleet, fleet->platform.port, "/standin/notice",
		   "{\"id\":\"engine-1\",\"leaves_in_ms\":2500}");
	fleet_post(fleet, fleet->engines[0].port, "/standin/faults",
		   "{\"leaving\":true,\"leaves_in_ms\":2500}");
}

/* Stalls or closes all connections of a random upstream. */
static void break_upstreams(soak_t *soak, bool silent)
{
	unsigned int pick = random_below(soak, ENGINES + SERVICES);
	fleet_node_t *node = pick < ENGINES
				     ? &soak->fleet->engines[pick]
				     : &soak->fleet->services[pick - ENGINES];

	if (silent)
		forwarder_silence(node->forwarder);
	else
		forwarder_cut(node->forwarder);
}

static void inject_store_fault(soak_t *soak, fault_t fault)
{
	soak->store_faulty = true;
	if (fault == FAULT_STORE_DOWN)
		set_store(soak, "{\"store_down\":true}");
	else if (fault == FAULT_STORE_SLOW)
		set_store(soak, "{\"delay_ms\":300}");
	else
		set_store(soak, "{\"lose_answers\":3}");
}

static void inject_fault(soak_t *soak, fault_t fault)
{
	switch (fault) {
	case FAULT_STORE_DOWN:
	case FAULT_STORE_SLOW:
	case FAULT_REPLIES_LOST:
		inject_store_fault(soak, fault);
		break;
	case FAULT_ENTRY_KILLED:
	case FAULT_ENTRY_STOPPED:
	case FAULT_ENTRY_PAUSED:
		if (soak->down_entry < 0)
			take_entry_down(soak, fault);
		break;
	case FAULT_ENGINE_LEAVES:
		give_notice(soak);
		break;
	case FAULT_UPSTREAMS_CUT:
		break_upstreams(soak, false);
		break;
	case FAULT_UPSTREAMS_SILENT:
		break_upstreams(soak, true);
		break;
	case FAULT_ROLLOUT:
		if (!soak->store_faulty)
			fleet_rollout(soak->fleet, soak->fleet->generation + 1);
		break;
	case FAULT_NONE:
	case FAULT_COUNT:
		break;
	}
}

static void repair_faults(soak_t *soak)
{
	set_store(soak, "{}");
	soak->store_faulty = false;
	bring_entry_back(soak);
}

/* Fails the test if an entry reports a lower generation than before. */
static void check_generations(soak_t *soak)
{
	for (unsigned int i = 0; i < ENTRIES; i++) {
		json_t *status;
		int64_t now;

		if ((int)i == soak->down_entry)
			continue;
		status = fleet_get(soak->fleet, soak->fleet->entries[i].port,
				   "/status");
		if (!status)
			continue;
		now = json_integer_or(status, "generation", 0);
		assert_true(now >= soak->seen_generations[i]);
		soak->seen_generations[i] = now;
		json_decref(status);
	}
}

static bool never_holds(void *ctx)
{
	(void)ctx;
	return false;
}

static void run_schedule(soak_t *soak)
{
	for (int step = 0; step < STEPS; step++) {
		send_calls(soak);
		inject_fault(soak, (fault_t)random_below(soak, FAULT_COUNT));
		/* Lets the fault affect requests in progress. */
		fleet_wait_ms(soak->fleet, never_holds, NULL, STEP_MS);
		if (step % 4 == 3) {
			repair_faults(soak);
			check_generations(soak);
		}
	}
	repair_faults(soak);
	history_wait(soak->history);
	check_generations(soak);
}

static void run_seed(uint32_t seed)
{
	const fleet_config_t config = { .entries = ENTRIES,
					.engines = ENGINES,
					.services = SERVICES,
					.forward_upstreams = true };
	soak_t soak = { .fleet = fleet_create(&config),
			.rand = g_rand_new_with_seed(seed),
			.down_entry = -1 };
	history_stats_t stats;

	soak.history = history_create(soak.fleet);
	run_schedule(&soak);
	stats = history_check(soak.history);
	printf("seed %u: %u answered, %u not run, %u outcome unknown (%u of "
	       "them did not run), %u refused, %u broken\n",
	       seed, stats.answered, stats.not_run, stats.outcome_unknown,
	       stats.unknown_but_not_run, stats.refused, stats.broken);
	history_assert_guarantees(&stats);
	assert_true(stats.answered > 0);
	history_destroy(soak.history);
	g_rand_free(soak.rand);
	fleet_destroy(soak.fleet);
}

static uint32_t read_env_number(const char *name, uint32_t default_value)
{
	const char *text = getenv(name);

	return text ? (uint32_t)strtoul(text, NULL, 10) : default_value;
}

static void test_random_failures(void **state)
{
	uint32_t first = read_env_number("FIRST_SEED", 1);
	uint32_t count = read_env_number("SEEDS", SEEDS_DEFAULT);

	(void)state;
	for (uint32_t seed = first; seed < first + count; seed++)
		run_seed(seed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_failures),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
