/* Tests of pistachioctl and of the programs' command lines. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>
#include <sys/wait.h>

#include <cmocka.h>
#include <glib/gstdio.h>

#include "adapters/json.h"
#include "tests/harness/fleet.h"

static int setup(void **state)
{
	const fleet_config_t config = { .entries = 2, .engines = 1, .services = 1 };

	*state = fleet_create(&config);
	return 0;
}

static int teardown(void **state)
{
	fleet_destroy(*state);
	return 0;
}

static bool process_has_ended(void *ctx)
{
	return process_ended(ctx);
}

/*
 * Runs a program until it exits; returns its exit code and sets PRINTED to its
 * output, owned by the caller.
 */
static int run_program(fleet_t *fleet, const char *program,
		       const char *const *args, char **printed)
{
	const char *dir = g_getenv("B");
	char *path = g_build_filename(dir ? dir : "build/release", program, NULL);
	const char *argv[12] = { path };
	process_t *process;
	char *out = NULL;
	char *log;
	int code;

	for (int i = 0; args[i] && i < 10; i++)
		argv[i + 1] = args[i];
	process = process_start(fleet->dir, "run", argv);
	fleet_wait(fleet, process_has_ended, process, "a program's end");
	assert_true(WIFEXITED(process->status));
	code = WEXITSTATUS(process->status);
	log = process_log(process);
	assert_true(g_file_get_contents(process->out_path, &out, NULL, NULL));
	*printed = g_strconcat(out, log, NULL);
	g_unlink(process->out_path);
	g_unlink(process->log_path);
	process_destroy(process);
	g_free(out);
	g_free(log);
	g_free(path);
	return code;
}

static void assert_run(fleet_t *fleet, const char *program,
		       const char *const *args, int code, const char *text)
{
	char *printed;
	int got = run_program(fleet, program, args, &printed);

	if (got != code || !strstr(printed, text))
		fail_msg("%s: exit %d, printed: %s", program, got, printed);
	g_free(printed);
}

static void test_programs_have_help_and_version(void **state)
{
	static const char *const programs[] = { "pistachio-entry",
						"pistachio-placer",
						"pistachioctl" };
	const char *const help[] = { "--help", NULL };
	const char *const version[] = { "--version", NULL };

	for (size_t i = 0; i < G_N_ELEMENTS(programs); i++) {
		assert_run(*state, programs[i], help, EX_OK, "Usage:");
		assert_run(*state, programs[i], version, EX_OK, "pistachiodrift");
	}
}

/*
 * Guards against starting with a misspelled settings key, which would silently
 * run a part of the fleet on defaults. The program must report where it is.
 */
static void test_invalid_settings_exit_78(void **state)
{
	fleet_t *fleet = *state;
	char *path = g_build_filename(fleet->dir, "bad.toml", NULL);
	const char *const args[] = { "--settings", path, "--check", NULL };

	assert_true(g_file_set_contents(path, "[nod]\nid = \"x\"\n", -1, NULL));
	assert_run(fleet, "pistachio-entry", args, EX_CONFIG,
		   "bad.toml:2: nod.id: unknown key");
	assert_run(fleet, "pistachio-placer", args, EX_CONFIG,
		   "bad.toml:2: nod.id: unknown key");
	g_free(path);
	path = g_build_filename(fleet->dir, "entry-1.toml", NULL);
	{
		const char *const good[] = { "--settings", path, "--check", NULL };

		assert_run(fleet, "pistachio-entry", good, EX_OK, "ok");
	}
	g_free(path);
}

static void test_status_shows_every_entry(void **state)
{
	fleet_t *fleet = *state;
	char *platform = g_strdup_printf("127.0.0.1:%d", fleet->platform.port);
	const char *const args[] = { "status", "--platform", platform, "--json",
				     NULL };
	char *printed;
	json_t *report;

	assert_int_equal(run_program(fleet, "pistachioctl", args, &printed), EX_OK);
	report = json_loads(printed, 0, NULL);
	assert_int_equal(json_array_size(report), 2);
	json_decref(report);
	g_free(printed);
	g_free(platform);
}

static void test_explain_shows_chosen_upstream(void **state)
{
	fleet_t *fleet = *state;
	char *platform = g_strdup_printf("127.0.0.1:%d", fleet->platform.port);
	call_t *call =
		completion_start(fleet, fleet->entries[1].port, "why", 4, true);
	const char *args[] = { "explain", NULL, "--platform", platform, NULL };

	call_wait(call);
	args[1] = call->request_id;
	assert_run(fleet, "pistachioctl", args, EX_OK, "chose engine-1");
	args[1] = "entry-1-0-0";
	assert_run(fleet, "pistachioctl", args, EX_NOINPUT, "not-found");
	call_destroy(call);
	g_free(platform);
}

/*
 * Guards against a rollout that seems to succeed although a newer generation is
 * already accepted. The operator must get a conflict.
 */
static void test_lower_generation_conflicts(void **state)
{
	fleet_t *fleet = *state;
	char *platform = g_strdup_printf("127.0.0.1:%d", fleet->platform.port);
	char *key = g_build_filename(fleet->dir, "operator.pub", NULL);
	char *newer = fleet_sign_bundle(fleet, 5);
	char *older = fleet_sign_bundle(fleet, 4);
	const char *args[] = { "rollout",    newer,    "--key", key,
			       "--platform", platform, NULL };

	assert_run(fleet, "pistachioctl", args, EX_OK, "generation 5");
	assert_run(fleet, "pistachioctl", args, EX_OK, "generation 5");
	args[1] = older;
	assert_run(fleet, "pistachioctl", args, EX_TEMPFAIL, "conflict");
	g_free(platform);
	g_free(key);
	g_free(newer);
	g_free(older);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_programs_have_help_and_version),
		cmocka_unit_test(test_invalid_settings_exit_78),
		cmocka_unit_test(test_status_shows_every_entry),
		cmocka_unit_test(test_explain_shows_chosen_upstream),
		cmocka_unit_test(test_lower_generation_conflicts),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
