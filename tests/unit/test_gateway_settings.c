/* The gateway's settings: defaults, invalid values, and the deployment template. */
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "adapters/gateway/settings.h"

static const char good[] = "[node]\nid = \"g\"\nzone = \"a\"\n"
			   "[callers]\nlisten = \"127.0.0.1:1\"\n"
			   "[health]\nlisten = \"127.0.0.1:2\"\n"
			   "[peers]\nlisten = \"127.0.0.1:3\"\n"
			   "[store]\naddress = \"127.0.0.1:4\"\n"
			   "[cloud]\naddress = \"127.0.0.1:5\"\n";

static gateway_settings_t *read_text(const char *text, pd_error_t *err)
{
	char path[] = "/tmp/gateway-settings-XXXXXX";
	gateway_settings_t *settings;
	int fd = mkstemp(path);

	assert_true(fd >= 0);
	assert_int_equal(write(fd, text, strlen(text)), strlen(text));
	close(fd);
	settings = gateway_settings_read(path, err);
	unlink(path);
	return settings;
}

static void test_defaults_and_decimals(void **state)
{
	pd_error_t err;
	char *text = g_strconcat(good, "[retry]\nratio = 0.3\nslack = 52\n", NULL);
	gateway_settings_t *settings = read_text(text, &err);

	(void)state;
	assert_non_null(settings);
	assert_true(settings->retry_ratio == 0.3);
	assert_true(settings->retry_slack == 52);
	assert_true(settings->retry_window_s == 10);
	assert_string_equal(settings->node_start, "again");
	gateway_settings_destroy(settings);
	g_free(text);
}

/* Asserts that settings with MORE are rejected with an error that contains WHY. */
static void assert_refused(const char *more, const char *why)
{
	pd_error_t err;
	char *text = g_strconcat(good, more, NULL);

	assert_null(read_text(text, &err));
	assert_int_equal(err.kind, PD_ERROR_SETTINGS);
	if (!strstr(err.context, why))
		fail_msg("%s does not say %s", err.context, why);
	g_free(text);
}

static void test_faults_name_the_key(void **state)
{
	(void)state;
	assert_refused("[retry]\nratio = \"many\"\n", "retry.ratio");
	assert_refused("[retry]\nratio = -1.0\n", "retry.ratio");
	assert_refused("[duties]\nlease_gap_ms = 1\n", "duties.lease_gap_ms");
	assert_refused("[node2]\nx = 1\n", "node2.x");
	assert_refused("[fleet]\nzones = 3\n", "fleet.zones");
}

/* Guards against a template with an unknown key, with which no gateway would start. */
static void test_the_template_has_known_keys_only(void **state)
{
	const setting_table_t *table = gateway_settings_table();
	char *section = NULL;
	char **lines;
	char *text;

	(void)state;
	assert_true(g_file_get_contents("deploy/gateway.toml.template", &text,
					NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (size_t i = 0; lines[i]; i++) {
		char *equals = strstr(lines[i], " = ");
		bool known = false;
		char *key;

		if (lines[i][0] == '[') {
			g_free(section);
			section = g_strndup(lines[i] + 1, strlen(lines[i]) - 2);
		}
		if (!equals)
			continue;
		*equals = '\0';
		key = g_strdup_printf("%s.%s", section, lines[i]);
		for (size_t k = 0; k < table->count; k++)
			known |= !strcmp(table->rows[k].key, key);
		if (!known)
			fail_msg("the template renders %s", key);
		g_free(key);
	}
	g_strfreev(lines);
	g_free(section);
	g_free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_defaults_and_decimals),
		cmocka_unit_test(test_faults_name_the_key),
		cmocka_unit_test(test_the_template_has_known_keys_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
