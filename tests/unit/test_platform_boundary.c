/* The names of the platform's wire stand in platform/ and nowhere else. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#define PLATFORM_LINES_MAX 1500

static const char *const rooms[] = { "core",	       "core/forward",
				     "ports",	       "adapters",
				     "adapters/http1", "adapters/gateway",
				     "programs",       "ctl" };

/*
 * Headers, paths, fields and words that no other room may know. /objects is not
 * among them: the interface of the product's own platform has that path too.
 */
static const char *const names[] = {
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

static void look_into(const char *path)
{
	char *text;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		fail_msg("can't read %s", path);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strstr(text, names[i]))
			fail_msg("%s knows the platform's %s", path, names[i]);
	}
	g_free(text);
}

/* Calls LOOK for each source file of a room. */
static void each_source(const char *room, void (*look)(const char *path))
{
	GDir *dir = g_dir_open(room, 0, NULL);
	const char *name;

	assert_non_null(dir);
	while ((name = g_dir_read_name(dir)) != NULL) {
		char *path;

		if (!g_str_has_suffix(name, ".c") &&
		    !g_str_has_suffix(name, ".h"))
			continue;
		path = g_build_filename(room, name, NULL);
		look(path);
		g_free(path);
	}
	g_dir_close(dir);
}

static void test_no_other_room_knows_the_wire(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rooms); i++)
		each_source(rooms[i], look_into);
}

static unsigned int platform_lines;

/* What keeps time, state or connections is no translation. */
static void look_at_platform(const char *path)
{
	static const char *const foreign[] = {
		"uv.h",		"adapters/http1", "adapters/gateway",
		"gateway_now",	"clock_gettime",  "g_rand",
		"core/lease.h", "token_limits.h", "retry_window.h",
		"scale_plan.h", "core/entry",
	};
	char *text;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		fail_msg("can't read %s", path);
	for (size_t i = 0; i < G_N_ELEMENTS(foreign); i++) {
		if (strstr(text, foreign[i]))
			fail_msg("%s is more than translation: %s", path,
				 foreign[i]);
	}
	for (const char *at = text; *at; at++)
		platform_lines += *at == '\n';
	g_free(text);
}

static void test_the_platforms_room_only_translates(void **state)
{
	(void)state;
	platform_lines = 0;
	each_source("platform", look_at_platform);
	assert_true(platform_lines < PLATFORM_LINES_MAX);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_other_room_knows_the_wire),
		cmocka_unit_test(test_the_platforms_room_only_translates),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
