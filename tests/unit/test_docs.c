/* The pages that list keys say what the code checks, so they can't drift. */
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "adapters/bundle_json.h"
#include "adapters/gateway/settings.h"
#include "adapters/settings.h"

static char *read_page(const char *path)
{
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		fail_msg("can't read %s", path);
	return text;
}

static void assert_has_row(const char *page, const char *row)
{
	if (!strstr(page, row))
		fail_msg("the page lacks this row:\n%s", row);
}

static void bounds(char *text, size_t size, bool integer, int64_t least, int64_t most)
{
	if (!integer)
		g_strlcpy(text, "", size);
	else if (most == INT64_MAX)
		snprintf(text, size, "from %" PRId64, least);
	else
		snprintf(text, size, "%" PRId64 " to %" PRId64, least, most);
}

static void assert_settings(const char *page, const setting_t *rows, size_t count)
{
	static const char *const kinds[] = {
		[SETTING_STRING] = "string",
		[SETTING_INTEGER] = "integer",
		[SETTING_STRINGS] = "array of strings",
		[SETTING_FILE] = "file",
		[SETTING_CHOICE] = "choice",
		[SETTING_DECIMAL] = "decimal",
	};

	for (size_t i = 0; i < count; i++) {
		bool numeric = rows[i].kind == SETTING_INTEGER ||
			       rows[i].kind == SETTING_DECIMAL;
		char range[64];
		char row[512];

		bounds(range, sizeof(range), numeric, rows[i].least, rows[i].most);
		snprintf(row, sizeof(row), "| `%s` | %s | %s | %s | %s |",
			 rows[i].key, kinds[rows[i].kind],
			 rows[i].fallback ? rows[i].fallback : "required",
			 range, rows[i].meaning);
		assert_has_row(page, row);
	}
}

static void test_settings_page(void **state)
{
	char *page = read_page("docs/SETTINGS.md");
	size_t count;
	const setting_t *rows = settings_table(&count);

	(void)state;
	assert_settings(page, rows, count);
	assert_settings(page, gateway_settings_table()->rows,
			gateway_settings_table()->count);
	g_free(page);
}

static void test_bundle_page(void **state)
{
	static const char *const kinds[] = {
		[RULE_STRING] = "string",   [RULE_INTEGER] = "integer",
		[RULE_BOOLEAN] = "boolean", [RULE_PRIORITY] = "priority",
		[RULE_NAMES] = "names",
	};
	char *page = read_page("docs/BUNDLE.md");
	size_t count;
	const bundle_rule_t *table = bundle_rules(&count);

	(void)state;
	for (size_t i = 0; i < count; i++) {
		char range[64];
		char row[512];

		bounds(range, sizeof(range), table[i].kind == RULE_INTEGER,
		       table[i].min, table[i].max);
		snprintf(row, sizeof(row), "| `%s` | `%s` | %s | %s | %s | %s |",
			 table[i].section, table[i].key, kinds[table[i].kind],
			 table[i].default_value ? table[i].default_value : "required",
			 range, table[i].description);
		assert_has_row(page, row);
	}
	g_free(page);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_settings_page),
		cmocka_unit_test(test_bundle_page),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
