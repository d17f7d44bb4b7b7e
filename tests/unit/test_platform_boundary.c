/* Checks that only platform/ uses names of the platform's wire format. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#define PLATFORM_LINES_MAX 1500

static const char *const folders[] = { "core",		 "core/forward",
				       "ports",		 "adapters",
				       "adapters/http1", "adapters/gateway",
				       "programs",	 "ctl" };

/*
 * Headers, paths and fields that no other folder may use. /objects is not
 * included, since the API of the project's own platform has that path too.
 */
static const char *const platform_names[] = {
	"X-Attempt-Id",	   "X-Deadline-Ms",   "X-Prompt-Prefix",
	"X-Response-Seal", "X-Tenant",	      "X-Expect-Instance",
	"X-Not-Run",	   "X-Token-Count",   "X-Request-Priority",
	"X-Duty-Holder",   "X-Fence-Token",   "X-Expect-Version",
	"X-Pin-Ms",	   "X-Hold",	      "X-Kv-Backup",
	"Kv-From",	   "Kv-Fetch",	      "\"servers/",
	"\"/usage\"",	   "\"/scale\"",      "\"/ready\"",
	"waitMs",	   "allowStale",      "asOf",
	"hasMore",	   "tombstone",	      "pathPrefix",
	"goalMs",	   "gapGoalMs",	      "maxAttempts",
	"apiKeys",	   "ratePerS",	      "plainTokens",
	"maxConns",	   "healthPath",      "kvCapacity",
	"zonePrices",	   "spotPrice",	      "windowId",
	"coldLeftMs",	   "\"preemptible\"", "\"servers\"",
};

static void check_for_platform_names(const char *path)
{
	char *text;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		fail_msg("can't read %s", path);
	for (size_t i = 0; i < G_N_ELEMENTS(platform_names); i++) {
		if (strstr(text, platform_names[i]))
			fail_msg("%s uses the platform's %s", path,
				 platform_names[i]);
	}
	g_free(text);
}

/* Calls CHECK for each .c and .h file of a folder. */
static void for_each_source(const char *folder, void (*check)(const char *path))
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	assert_non_null(dir);
	while ((name = g_dir_read_name(dir)) != NULL) {
		char *path;

		if (!g_str_has_suffix(name, ".c") &&
		    !g_str_has_suffix(name, ".h"))
			continue;
		path = g_build_filename(folder, name, NULL);
		check(path);
		g_free(path);
	}
	g_dir_close(dir);
}

static void test_other_folders_lack_platform_names(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(folders); i++)
		for_each_source(folders[i], check_for_platform_names);
}

static unsigned int platform_lines;

/* Fails if a file of platform/ uses clocks, connections or stateful modules. */
static void check_platform_source(const char *path)
{
	static const char *const forbidden[] = {
		"uv.h",		"adapters/http1", "adapters/gateway",
		"gateway_now",	"clock_gettime",  "g_rand",
		"core/lease.h", "token_limits.h", "retry_window.h",
		"scale_plan.h", "core/entry",
	};
	char *text;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		fail_msg("can't read %s", path);
	for (size_t i = 0; i < G_N_ELEMENTS(forbidden); i++) {
		if (strstr(text, forbidden[i]))
			fail_msg("%s uses %s, which platform/ must not", path,
				 forbidden[i]);
	}
	for (const char *at = text; *at; at++)
		platform_lines += *at == '\n';
	g_free(text);
}

static void test_platform_folder_only_converts(void **state)
{
	(void)state;
	platform_lines = 0;
	for_each_source("platform", check_platform_source);
	assert_true(platform_lines < PLATFORM_LINES_MAX);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_other_folders_lack_platform_names),
		cmocka_unit_test(test_platform_folder_only_converts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
