/*
 * An accepted bundle is applied by every entry within seconds and is never reverted:
 * with the store down, concurrent rollouts, lost replies and unsigned bodies.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include <cmocka.h>

#include "adapters/json.h"
#include "adapters/signing.h"
#include "tests/harness/fleet.h"

#define ENTRIES 6
#define ROLLOUTS 5
#define APPLY_TIMEOUT_MS 7000 /* for all entries; required by operators */

typedef struct fixture {
	fleet_t *fleet;
	int64_t expected_generation; /* generation rolled out last */
	int64_t seen_generations[ENTRIES]; /* generation last seen of each entry */
	process_t *extra; /* an entry besides the fleet's, or NULL */
	int extra_port;
} fixture_t;

/* Returns a number from an entry's /status, or -1. */
static int64_t status_get_number(fleet_t *fleet, int port, const char *key)
{
	json_t *status = fleet_get(fleet, port, "/status");
	int64_t value = status ? json_integer_or(status, key, -1) : -1;

	json_decref(status);
	return value;
}

static bool status_is_ready(fleet_t *fleet, int port)
{
	json_t *status = fleet_get(fleet, port, "/status");
	bool ready = status && json_is_true(json_object_get(status, "ready"));

	json_decref(status);
	return ready;
}

/*
 * Returns true if all entries have applied the wanted generation. Fails the test if
 * one went back to a lower generation.
 */
static bool is_applied_everywhere(void *ctx)
{
	fixture_t *fixture = ctx;
	bool everywhere = true;

	for (unsigned int i = 0; i < ENTRIES; i++) {
		int64_t now = status_get_number(fixture->fleet,
						fixture->fleet->entries[i].port,
						"generation");

		assert_true(now >= fixture->seen_generations[i]);
		assert_true(now <= fixture->expected_generation);
		fixture->seen_generations[i] = now;
		everywhere = everywhere && now == fixture->expected_generation;
	}
	return everywhere;
}

/*
 * Waits until all entries have applied a generation. Returns the milliseconds since
 * SINCE, the start of the rollout.
 */
static int64_t wait_applied(fixture_t *fixture, int64_t generation, int64_t since)
{
	fixture->expected_generation = generation;
	assert_true(fleet_wait_ms(fixture->fleet, is_applied_everywhere,
				  fixture, APPLY_TIMEOUT_MS));
	return (g_get_monotonic_time() - since) / 1000;
}

static void set_store(fleet_t *fleet, const char *faults)
{
	fleet_post(fleet, fleet->platform.port, "/standin/faults", faults);
}

/* Returns the number of reads that the store has answered, or -1. */
static int64_t store_reads(fleet_t *fleet)
{
	json_t *counts = fleet_get(fleet, fleet->platform.port, "/standin/counts");
	int64_t reads = json_integer_or(counts, "reads", -1);

	json_decref(counts);
	return reads;
}

static fixture_t *fixture_create(bool forward_platform)
{
	const fleet_config_t config = { .entries = ENTRIES,
					.engines = 1,
					.services = 1,
					.forward_platform = forward_platform };
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->fleet = fleet_create(&config);
	fixture->expected_generation = (int64_t)fixture->fleet->generation;
	return fixture;
}

static bool process_has_ended(void *ctx)
{
	return process_ended(ctx);
}

static void fixture_destroy(fixture_t *fixture)
{
	if (fixture->extra) {
		process_signal(fixture->extra, SIGKILL);
		fleet_wait(fixture->fleet, process_has_ended, fixture->extra,
			   "the end of an entry");
		process_destroy(fixture->extra);
	}
	fleet_destroy(fixture->fleet);
	g_free(fixture);
}

static bool extra_has_port(void *ctx)
{
	fixture_t *fixture = ctx;

	fixture->extra_port = process_read_port(fixture->extra,
						fixture->extra->log_path,
						"serves callers on port ");
	return fixture->extra_port > 0;
}

/* Starts an entry that reaches the platform without the forwarder. */
static void start_extra(fixture_t *fixture, bool with_seeds)
{
	fleet_t *fleet = fixture->fleet;
	const char *dir = g_getenv("B");
	char *program = g_build_filename(dir ? dir : "build/release",
					 "pistachio-entry", NULL);
	char *path = g_build_filename(fleet->dir, "extra.toml", NULL);
	int seed = process_read_port(fleet->entries[0].process,
				     fleet->entries[0].process->log_path,
				     "peers on port ");
	char *seeds =
		with_seeds ? g_strdup_printf("seeds = [\"127.0.0.1:%d\"]\n", seed)
			   : g_strdup("");
	char *text = g_strdup_printf(
		"[node]\nid = \"extra\"\nzone = \"zone-a\"\n"
		"[platform]\naddress = \"127.0.0.1\"\nport = %d\n"
		"vm_list_period_ms = 200\n"
		"[callers]\nport = 0\n[peers]\nport = 0\n"
		"key_file = \"%s/peers.key\"\n%s"
		"[bundle]\npublic_key_file = \"%s/operator.pub\"\n",
		fleet->platform.port, fleet->dir, seeds, fleet->dir);
	const char *argv[] = { program, "--settings", path, NULL };

	assert_true(seed > 0);
	assert_true(g_file_set_contents(path, text, -1, NULL));
	fixture->extra = process_start(fleet->dir, "extra", argv);
	fleet_wait(fleet, extra_has_port, fixture, "an entry's port");
	g_free(program);
	g_free(path);
	g_free(seeds);
	g_free(text);
}

static bool extra_sees_vms(void *ctx)
{
	const fixture_t *fixture = ctx;

	return status_get_number(fixture->fleet, fixture->extra_port,
				 "upstreams_usable") > 0;
}

static bool extra_is_ready(void *ctx)
{
	const fixture_t *fixture = ctx;

	return status_is_ready(fixture->fleet, fixture->extra_port);
}

/*
 * Bundles are rolled out one after the other, and the store goes down right after it
 * accepted the last one. Entries that depended on the store alone would apply
 * different bundles for as long as the outage lasts.
 */
static void test_accepted_bundle_is_applied_everywhere(void **state)
{
	fixture_t *fixture = fixture_create(false);
	uint64_t generation = fixture->fleet->generation;
	int64_t since;

	(void)state;
	for (int i = 0; i < ROLLOUTS; i++) {
		since = g_get_monotonic_time();
		fleet_rollout(fixture->fleet, ++generation);
		printf("store up: in force after %d ms\n",
		       (int)wait_applied(fixture, (int64_t)generation, since));
	}
	since = g_get_monotonic_time();
	fleet_rollout(fixture->fleet, ++generation);
	set_store(fixture->fleet, "{\"store_down\":true}");
	printf("store down after acceptance: in force after %d ms\n",
	       (int)wait_applied(fixture, (int64_t)generation, since));
	fixture_destroy(fixture);
}

/*
 * Six entries have lost the store, and only a seventh still reaches it at a rollout.
 * The six must get the bundle from it.
 */
static void test_bundle_is_delivered_by_peers_alone(void **state)
{
	fixture_t *fixture = fixture_create(true);
	uint64_t generation = fixture->fleet->generation + 1;
	int64_t since;

	(void)state;
	start_extra(fixture, true);
	fleet_wait(fixture->fleet, extra_is_ready, fixture, "one more entry");
	forwarder_refuse(fixture->fleet->platform.forwarder, true);
	forwarder_cut(fixture->fleet->platform.forwarder);
	since = g_get_monotonic_time();
	fleet_rollout(fixture->fleet, generation);
	printf("by peers alone: in force after %d ms\n",
	       (int)wait_applied(fixture, (int64_t)generation, since));
	fixture_destroy(fixture);
}

/* A paused entry misses two rollouts and must catch up when it continues. */
static void test_paused_entry_catches_up(void **state)
{
	fixture_t *fixture = fixture_create(false);
	uint64_t generation = fixture->fleet->generation;

	(void)state;
	process_signal(fixture->fleet->entries[2].process, SIGSTOP);
	fleet_rollout(fixture->fleet, generation + 1);
	fleet_rollout(fixture->fleet, generation + 2);
	process_signal(fixture->fleet->entries[2].process, SIGCONT);
	wait_applied(fixture, (int64_t)generation + 2, g_get_monotonic_time());
	fixture_destroy(fixture);
}

/*
 * An entry starts while the store is down. It has no local state, so it must get the
 * members and the bundle from the seeds in its settings.
 */
static void test_entry_starts_from_its_peers(void **state)
{
	fixture_t *fixture = fixture_create(false);

	(void)state;
	set_store(fixture->fleet, "{\"store_down\":true}");
	start_extra(fixture, true);
	fleet_wait(fixture->fleet, extra_is_ready, fixture,
		   "an entry that starts without the store");
	assert_int_equal(status_get_number(fixture->fleet, fixture->extra_port,
					   "generation"),
			 (int64_t)fixture->fleet->generation);
	fixture_destroy(fixture);
}

/*
 * As before, but without seeds. An entry that reported itself ready without a bundle
 * would reject callers that other entries could serve.
 */
static void test_entry_without_bundle_is_not_ready(void **state)
{
	fixture_t *fixture = fixture_create(false);

	(void)state;
	set_store(fixture->fleet, "{\"store_down\":true}");
	start_extra(fixture, false);
	fleet_wait(fixture->fleet, extra_sees_vms, fixture, "the VM list");
	assert_false(status_is_ready(fixture->fleet, fixture->extra_port));
	set_store(fixture->fleet, "{}");
	fleet_wait(fixture->fleet, extra_is_ready, fixture, "the store's return");
	fixture_destroy(fixture);
}

/* Starts a rollout without waiting for it; the caller destroys the process. */
static process_t *start_rollout(fleet_t *fleet, uint64_t generation)
{
	const char *dir = g_getenv("B");
	char *program = g_build_filename(dir ? dir : "build/release",
					 "pistachioctl", NULL);
	char *body = fleet_sign_bundle(fleet, generation);
	char *key = g_build_filename(fleet->dir, "operator.pub", NULL);
	char *platform = g_strdup_printf("127.0.0.1:%d", fleet->platform.port);
	char *name = g_strdup_printf("race-%u", (unsigned int)generation);
	const char *argv[] = { program, "rollout",    body,	"--key",
			       key,	"--platform", platform, NULL };
	process_t *process = process_start(fleet->dir, name, argv);

	g_free(program);
	g_free(body);
	g_free(key);
	g_free(platform);
	g_free(name);
	return process;
}

/*
 * Two rollouts run at once, and the store's replies to their first writes are lost.
 * The higher generation must be accepted and reported as such, and no entry may go
 * from it to the lower one.
 */
static void test_concurrent_rollouts(void **state)
{
	fixture_t *fixture = fixture_create(false);
	fleet_t *fleet = fixture->fleet;
	uint64_t generation = fleet->generation;

	(void)state;
	for (int i = 0; i < ROLLOUTS; i++, generation += 2) {
		process_t *low;
		process_t *high;

		set_store(fleet, "{\"lose_answers\":2}");
		low = start_rollout(fleet, generation + 1);
		high = start_rollout(fleet, generation + 2);
		fleet_wait(fleet, process_has_ended, low, "the lower rollout");
		fleet_wait(fleet, process_has_ended, high, "the higher rollout");
		assert_int_equal(WEXITSTATUS(high->status), 0);
		wait_applied(fixture, (int64_t)generation + 2,
			     g_get_monotonic_time());
		process_destroy(low);
		process_destroy(high);
	}
	fixture_destroy(fixture);
}

static void put_object(fleet_t *fleet, const char *key, const char *body)
{
	char *path = g_strconcat("/objects/", key, NULL);
	call_t *call = call_start(fleet, fleet->platform.port, "PUT", path,
				  NULL, NULL, NULL, body);

	call_wait(call);
	assert_int_equal(call->status, 200);
	call_destroy(call);
	g_free(path);
}

/*
 * Someone with write access to the store, but without the operators' key, stores a
 * modified body and points to it. No entry may apply it; and once the signed body is
 * stored under the same key, all must apply it without another rollout.
 */
static void test_unsigned_body_is_rejected(void **state)
{
	fixture_t *fixture = fixture_create(false);
	fleet_t *fleet = fixture->fleet;
	uint64_t generation = fleet->generation + 1;
	char *path = fleet_sign_bundle(fleet, generation);
	char *pointer =
		g_strdup_printf("{\"generation\":%u,\"object\":\"bundles/x\"}",
				(unsigned int)generation);
	int64_t reads = store_reads(fleet);
	char *body = NULL;
	char *modified;

	(void)state;
	assert_true(g_file_get_contents(path, &body, NULL, NULL));
	modified = g_strdup(body);
	strstr(modified, "timeout_ms")[0] = 'T';
	put_object(fleet, "bundles/x", modified);
	put_object(fleet, "bundle/current", pointer);
	fixture->expected_generation = (int64_t)generation - 1;
	while (store_reads(fleet) < reads + 2 * ENTRIES)
		assert_true(is_applied_everywhere(fixture));
	put_object(fleet, "bundles/x", body);
	wait_applied(fixture, (int64_t)generation, g_get_monotonic_time());
	g_free(path);
	g_free(pointer);
	g_free(body);
	g_free(modified);
	fixture_destroy(fixture);
}

static int check_bundle(fleet_t *fleet, const char *path)
{
	const char *dir = g_getenv("B");
	char *program = g_build_filename(dir ? dir : "build/release",
					 "pistachioctl", NULL);
	const char *argv[] = { program, "check", path, NULL };
	process_t *process = process_start(fleet->dir, "check", argv);
	int code;

	fleet_wait(fleet, process_has_ended, process, "the check");
	code = WEXITSTATUS(process->status);
	process_destroy(process);
	g_free(program);
	return code;
}

/*
 * A bundle exceeds the store's size limit. The check must report it, so that the
 * rollout doesn't fail later.
 */
static void test_oversized_bundle_is_rejected(void **state)
{
	fixture_t *fixture = fixture_create(false);
	char *path = g_build_filename(fixture->fleet->dir, "large.toml", NULL);
	GString *text =
		g_string_new("[bundle]\ngeneration = 9\nname = \"n\"\n");

	(void)state;
	for (int i = 0; i < 1000; i++)
		g_string_append_printf(text, "[services.service-%d]\n", i);
	assert_true(g_file_set_contents(path, text->str, -1, NULL));
	assert_int_equal(check_bundle(fixture->fleet, path), 0);
	for (int i = 1000; i < 60000; i++)
		g_string_append_printf(text, "[services.service-%d]\n", i);
	assert_true(g_file_set_contents(path, text->str, -1, NULL));
	assert_int_not_equal(check_bundle(fixture->fleet, path), 0);
	g_string_free(text, TRUE);
	g_free(path);
	fixture_destroy(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_accepted_bundle_is_applied_everywhere),
		cmocka_unit_test(test_bundle_is_delivered_by_peers_alone),
		cmocka_unit_test(test_paused_entry_catches_up),
		cmocka_unit_test(test_entry_starts_from_its_peers),
		cmocka_unit_test(test_entry_without_bundle_is_not_ready),
		cmocka_unit_test(test_concurrent_rollouts),
		cmocka_unit_test(test_unsigned_body_is_rejected),
		cmocka_unit_test(test_oversized_bundle_is_rejected),
	};
	pd_error_t err;

	if (signing_init(&err) < 0)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
