/*
 * A call that is not repeatable runs at most once, whatever fails between its claim
 * and its answer. The service stand-in runs every request that reaches it and counts
 * the runs of each key; the tests check these counts.
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
#define SERVICES 2
#define RACE_KEYS 40

static int setup(void **state)
{
	const fleet_config_t config = { .entries = ENTRIES, .services = SERVICES };

	*state = fleet_create(&config);
	return 0;
}

static int teardown(void **state)
{
	fleet_destroy(*state);
	return 0;
}

static void set_store(fleet_t *fleet, const char *faults)
{
	fleet_post(fleet, fleet->platform.port, "/standin/faults", faults);
}

static void set_services(fleet_t *fleet, const char *faults)
{
	for (unsigned int i = 0; i < SERVICES; i++)
		fleet_post(fleet, fleet->services[i].port, "/standin/faults",
			   faults);
}

/* Returns how many times the stand-ins ran a key. */
static int64_t count_runs(fleet_t *fleet, const char *key)
{
	int64_t runs = 0;

	for (unsigned int i = 0; i < SERVICES; i++) {
		json_t *record = fleet_get(fleet, fleet->services[i].port,
					   "/standin/record");

		runs += json_integer_or(json_object_get(record, "runs"), key, 0);
		json_decref(record);
	}
	return runs;
}

/* Returns the number of writes that the store has applied. */
static int64_t count_writes(fleet_t *fleet)
{
	json_t *counts = fleet_get(fleet, fleet->platform.port, "/standin/counts");
	int64_t writes = json_integer_or(counts, "writes", 0);

	json_decref(counts);
	return writes;
}

typedef struct wait {
	fleet_t *fleet;
	const char *key;
	int64_t writes; /* of the store, before */
	unsigned int entry; /* that retries go to */
} wait_t;

static bool key_has_run(void *ctx)
{
	const wait_t *wait = ctx;

	return count_runs(wait->fleet, wait->key) > 0;
}

static bool store_was_written(void *ctx)
{
	const wait_t *wait = ctx;

	return count_writes(wait->fleet) > wait->writes;
}

/*
 * Retries a key once at an entry. Returns "ran", "replayed" or the problem type; the
 * caller owns it.
 */
static char *retry(fleet_t *fleet, unsigned int entry, const char *key)
{
	call_t *call = station_call_start(fleet, fleet->entries[entry].port, key);
	char problem[64];
	char *outcome;

	call_wait(call);
	assert_false(call->failed);
	outcome = g_strdup(call->status == 200
				   ? (call->replayed ? "replayed" : "ran")
				   : call_problem(call, problem, sizeof(problem)));
	call_destroy(call);
	return outcome;
}

static void assert_retry(fleet_t *fleet, unsigned int entry, const char *key,
			 const char *expected)
{
	char *outcome = retry(fleet, entry, key);

	assert_string_equal(outcome, expected);
	g_free(outcome);
}

/*
 * Retries a key; returns true unless its outcome is unknown. It stays unknown while
 * an entry is still recording that the call ran, or releasing its claim.
 */
static bool key_is_settled(void *ctx)
{
	const wait_t *wait = ctx;
	char *outcome = retry(wait->fleet, wait->entry, wait->key);
	bool settled = strcmp(outcome, "outcome-unknown") != 0;

	g_free(outcome);
	return settled;
}

/* Fails the test unless the recorded answer is replayed within the wait limit. */
static void assert_replayed(fleet_t *fleet, unsigned int entry, const char *key)
{
	wait_t wait = { fleet, key, 0, entry };

	fleet_wait(fleet, key_is_settled, &wait, "the answer to be on record");
	assert_retry(fleet, entry, key, "replayed");
	assert_int_equal(count_runs(fleet, key), 1);
}

/*
 * A terminal sends a key several times at once and the balancer sends the calls to
 * different entries. One must run; the others get its answer or outcome-unknown.
 */
static void test_entries_race_for_one_key(void **state)
{
	fleet_t *fleet = *state;
	history_t *history = history_create(fleet);
	history_stats_t stats;
	char key[32];

	for (int i = 0; i < RACE_KEYS; i++) {
		snprintf(key, sizeof(key), "race-%d", i);
		for (unsigned int j = 0; j < ENTRIES; j++)
			history_add_station_call(
				history,
				station_call_start(fleet,
						   fleet->entries[j].port, key),
				key);
	}
	history_wait(history);
	stats = history_check(history);
	history_assert_guarantees(&stats);
	assert_int_equal(stats.broken, 0);
	for (int i = 0; i < RACE_KEYS; i++) {
		snprintf(key, sizeof(key), "race-%d", i);
		assert_int_equal(count_runs(fleet, key), 1);
		assert_replayed(fleet, (unsigned int)i % ENTRIES, key);
	}
	print_message("race: %u answered, %u outcome-unknown of %d\n",
		      stats.answered, stats.outcome_unknown, RACE_KEYS * ENTRIES);
	history_destroy(history);
}

/*
 * An entry is killed while its claim waits for a slow store. Nothing was claimed or
 * sent, so a retry at another entry must run.
 */
static void test_entry_is_killed_before_its_claim(void **state)
{
	fleet_t *fleet = *state;
	call_t *call;

	set_store(fleet, "{\"delay_ms\":60000}");
	call = station_call_start(fleet, fleet->entries[0].port, "before-claim");
	fleet_stop_entry(fleet, 0, SIGKILL);
	call_wait(call);
	call_destroy(call);
	set_store(fleet, "{}");
	assert_retry(fleet, 1, "before-claim", "ran");
	assert_int_equal(count_runs(fleet, "before-claim"), 1);
	fleet_start_entry(fleet, 0);
	fleet_wait_ready(fleet);
	assert_replayed(fleet, 0, "before-claim");
}

/*
 * An entry is killed after its claim was written, but before the store's reply. Other
 * entries can't know whether it dispatched the call, so each retry must get
 * outcome-unknown, and the call never runs.
 */
static void test_entry_is_killed_between_claim_and_dispatch(void **state)
{
	fleet_t *fleet = *state;
	wait_t wait = { fleet, "after-claim", count_writes(fleet), 0 };
	call_t *call;

	set_store(fleet, "{\"late_answers_ms\":60000}");
	call = station_call_start(fleet, fleet->entries[0].port, wait.key);
	fleet_wait(fleet, store_was_written, &wait, "the claim's write");
	fleet_stop_entry(fleet, 0, SIGKILL);
	call_wait(call);
	call_destroy(call);
	set_store(fleet, "{}");
	assert_retry(fleet, 1, wait.key, "outcome-unknown");
	assert_retry(fleet, 2, wait.key, "outcome-unknown");
	fleet_start_entry(fleet, 0);
	fleet_wait_ready(fleet);
	assert_retry(fleet, 0, wait.key, "outcome-unknown");
	assert_int_equal(count_runs(fleet, wait.key), 0);
}

/* An entry is killed while the service runs its call. A retry must not run it again. */
static void test_entry_is_killed_after_dispatch(void **state)
{
	fleet_t *fleet = *state;
	wait_t wait = { fleet, "after-dispatch", 0, 0 };
	call_t *call;

	set_services(fleet, "{\"silent\":true}");
	call = station_call_start(fleet, fleet->entries[0].port, wait.key);
	fleet_wait(fleet, key_has_run, &wait, "the call to run");
	fleet_stop_entry(fleet, 0, SIGKILL);
	call_wait(call);
	call_destroy(call);
	set_services(fleet, "{\"silent\":false}");
	assert_retry(fleet, 1, wait.key, "outcome-unknown");
	fleet_start_entry(fleet, 0);
	fleet_wait_ready(fleet);
	assert_retry(fleet, 0, wait.key, "outcome-unknown");
	assert_int_equal(count_runs(fleet, wait.key), 1);
}

static bool first_entry_has_a_call(void *ctx)
{
	fleet_t *fleet = ctx;
	json_t *status = fleet_get(fleet, fleet->entries[0].port, "/status");
	bool has = json_integer_or(status, "in_flight", 0) > 0;

	json_decref(status);
	return has;
}

/*
 * An entry is paused while it writes its claim, and a retry runs at another entry.
 * When the first one continues, it still has the call and must not run it.
 */
static void test_paused_entry_continues_after_another_ran(void **state)
{
	fleet_t *fleet = *state;
	call_t *call;
	char problem[64];

	set_store(fleet, "{\"delay_ms\":1000}");
	call = station_call_start(fleet, fleet->entries[0].port, "frozen-early");
	fleet_wait(fleet, first_entry_has_a_call, fleet, "a call in hand");
	process_signal(fleet->entries[0].process, SIGSTOP);
	set_store(fleet, "{}");
	assert_retry(fleet, 1, "frozen-early", "ran");
	process_signal(fleet->entries[0].process, SIGCONT);
	call_wait(call);
	call_problem(call, problem, sizeof(problem));
	assert_true(call->status != 200 || call->replayed);
	assert_int_equal(count_runs(fleet, "frozen-early"), 1);
	call_destroy(call);
}

/*
 * An entry is paused after its claim was written, and other entries get the same key.
 * They must not run it, however long the pause; the first entry may when it
 * continues.
 */
static void test_paused_entry_continues_with_its_claim(void **state)
{
	fleet_t *fleet = *state;
	wait_t wait = { fleet, "frozen-late", count_writes(fleet), 0 };
	call_t *call;

	set_store(fleet, "{\"late_answers_ms\":60000}");
	call = station_call_start(fleet, fleet->entries[0].port, wait.key);
	fleet_wait(fleet, store_was_written, &wait, "the claim's write");
	process_signal(fleet->entries[0].process, SIGSTOP);
	set_store(fleet, "{}");
	assert_retry(fleet, 1, wait.key, "outcome-unknown");
	assert_retry(fleet, 2, wait.key, "outcome-unknown");
	assert_int_equal(count_runs(fleet, wait.key), 0);
	process_signal(fleet->entries[0].process, SIGCONT);
	call_wait(call);
	assert_true(count_runs(fleet, wait.key) <= 1);
	call_destroy(call);
}

/*
 * Sends RACE_KEYS keys to two entries each under a store fault, clears the fault and
 * retries every key. Returns the outcomes of the first calls.
 */
static history_stats_t race_with_fault(fleet_t *fleet, const char *name,
				       const char *faults)
{
	history_t *history = history_create(fleet);
	history_stats_t stats;
	unsigned int unsettled = 0;
	char key[64];

	set_store(fleet, faults);
	for (int i = 0; i < RACE_KEYS; i++) {
		snprintf(key, sizeof(key), "%s-%d", name, i);
		for (unsigned int j = 0; j < 2; j++)
			history_add_station_call(
				history,
				station_call_start(
					fleet,
					fleet->entries[(i + j) % ENTRIES].port, key),
				key);
	}
	history_wait(history);
	set_store(fleet, "{}");
	for (int i = 0; i < RACE_KEYS; i++) {
		wait_t wait = { fleet, key, 0, (unsigned int)i % ENTRIES };

		snprintf(key, sizeof(key), "%s-%d", name, i);
		if (!key_is_settled(&wait)) {
			unsettled++;
			/* All entries run, so the outcome becomes known. */
			fleet_wait(fleet, key_is_settled, &wait, "a key's end");
		}
		assert_true(count_runs(fleet, key) <= 1);
	}
	stats = history_check(history);
	history_assert_guarantees(&stats);
	print_message("%s: %u answered, %u not-run, %u outcome-unknown (%u of "
		      "them never ran) of %d; %u of %d keys open at the first "
		      "retry\n",
		      name, stats.answered, stats.not_run,
		      stats.outcome_unknown, stats.unknown_but_not_run,
		      RACE_KEYS * 2, unsettled, RACE_KEYS);
	history_destroy(history);
	return stats;
}

/* The store replies late. Calls wait, and no key may run twice. */
static void test_store_replies_late(void **state)
{
	race_with_fault(*state, "late", "{\"late_answers_ms\":150}");
}

/*
 * The store applies writes but its replies are lost. The entry must read the claim
 * back instead of writing it again unconditionally.
 */
static void test_store_replies_are_lost(void **state)
{
	race_with_fault(*state, "lost", "{\"lose_answers\":30}");
}

/*
 * Connections break during writes that are applied later, possibly after other
 * writes. A claim that was abandoned must not take effect.
 */
static void test_writes_are_applied_late(void **state)
{
	race_with_fault(*state, "landing", "{\"late_writes_ms\":120}");
}

/* The store rejects writes as conflicts, as if many entries wrote one object. */
static void test_store_conflicts(void **state)
{
	race_with_fault(*state, "conflict", "{\"conflicts\":40}");
}

/*
 * The store rejects some writes with 429. Calls must wait instead of being rejected,
 * as a terminal would have to repeat a rejected call.
 */
static void test_store_limits_the_rate(void **state)
{
	history_stats_t stats =
		race_with_fault(*state, "rate", "{\"too_many\":20}");

	assert_int_equal(stats.not_run, 0);
	assert_true(stats.answered >= RACE_KEYS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_entries_race_for_one_key),
		cmocka_unit_test(test_entry_is_killed_before_its_claim),
		cmocka_unit_test(test_entry_is_killed_between_claim_and_dispatch),
		cmocka_unit_test(test_entry_is_killed_after_dispatch),
		cmocka_unit_test(test_paused_entry_continues_after_another_ran),
		cmocka_unit_test(test_paused_entry_continues_with_its_claim),
		cmocka_unit_test(test_store_replies_late),
		cmocka_unit_test(test_store_replies_are_lost),
		cmocka_unit_test(test_writes_are_applied_late),
		cmocka_unit_test(test_store_conflicts),
		cmocka_unit_test(test_store_limits_the_rate),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
