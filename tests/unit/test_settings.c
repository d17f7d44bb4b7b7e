/*
 * Tests that errors in settings name the file, line, key and what was expected.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "adapters/settings.h"

#define VALID_SETTINGS                                       \
	"[node]\nid = \"entry-1\"\nzone = \"zone-a\"\n"      \
	"[platform]\naddress = \"127.0.0.1\"\nport = 1234\n" \
	"[bundle]\npublic_key_file = \"/dev/null\"\n"        \
	"[peers]\nkey_file = \"/dev/null\"\n"

/* Reads TEXT as a settings file; returns NULL with ERR set if it is invalid. */
static settings_t *read_text(const char *text, pd_error_t *err)
{
	char *dir = g_dir_make_tmp("settings-XXXXXX", NULL);
	char *path = g_build_filename(dir, "s.toml", NULL);
	settings_t *settings;

	assert_true(g_file_set_contents(path, text, -1, NULL));
	settings = settings_read(path, err);
	g_unlink(path);
	g_rmdir(dir);
	g_free(path);
	g_free(dir);
	return settings;
}

/* Asserts that TEXT is rejected with a one-line message that has EXPECTED. */
static void assert_error(const char *text, const char *expected)
{
	pd_error_t err;
	settings_t *settings = read_text(text, &err);

	assert_null(settings);
	assert_int_equal(err.kind, PD_ERROR_SETTINGS);
	if (!strstr(err.context, expected))
		fail_msg("expected \"%s\" in \"%s\"", expected, err.context);
	assert_null(strchr(err.context, '\n'));
}

static void test_valid_settings_get_defaults(void **state)
{
	pd_error_t err;
	settings_t *settings = read_text(VALID_SETTINGS, &err);

	(void)state;
	assert_non_null(settings);
	assert_string_equal(settings->node_id, "entry-1");
	assert_int_equal(settings->platform_port, 1234);
	assert_int_equal(settings->callers_port, 8080);
	assert_int_equal(settings->routing_subset, 24);
	assert_string_equal(settings->log_level, "info");
	settings_destroy(settings);
}

static void test_errors_name_line_and_key(void **state)
{
	(void)state;
	assert_error(VALID_SETTINGS "[callers]\nprot = 1\n",
		     "s.toml:12: callers.prot: unknown key");
	assert_error(VALID_SETTINGS "[callers]\nport = \"x\"\n",
		     "s.toml:12: callers.port: expected an integer");
	assert_error(VALID_SETTINGS "[callers]\nport = 70000\n",
		     "s.toml:12: callers.port: expected an integer from 0 to "
		     "65535, got 70000");
	assert_error(VALID_SETTINGS "[log]\nlevel = \"loud\"\n",
		     "s.toml:12: log.level: expected one of "
		     "debug|info|warning|error, got loud");
	assert_error("[node]\nid = \"a\"\n",
		     "node.zone: expected, but missing");
	assert_error("[node\n", "s.toml:1: ");
	assert_error("[node]\nid = \"a\"\nzone = \"z\"\n[platform]\n"
		     "address = \"a\"\nport = 1\n[bundle]\n"
		     "public_key_file = \"/no/such/file\"\n",
		     "expected a readable file");
}

static void test_arrays_are_bounded(void **state)
{
	pd_error_t err;
	settings_t *settings = read_text(VALID_SETTINGS
					 "[placer]\nzones = [\"a\", \"b\"]\n",
					 &err);

	(void)state;
	assert_non_null(settings);
	assert_string_equal(settings->placer_zones[1], "b");
	settings_destroy(settings);
	assert_error(VALID_SETTINGS "[placer]\nzones = \"a\"\n",
		     "an array of strings");
	assert_error(VALID_SETTINGS "seeds = [\"1\",\"2\",\"3\",\"4\",\"5\","
				    "\"6\",\"7\",\"8\",\"9\"]\n",
		     "at most 8 items");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_valid_settings_get_defaults),
		cmocka_unit_test(test_errors_name_line_and_key),
		cmocka_unit_test(test_arrays_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
