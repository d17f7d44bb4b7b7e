/* Checks that the documents that list keys match the tables in the code. */
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

/* Returns the text of a file, owned by the caller. */
static char *read_document(const char *path)
{
	char *text = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		fail_msg("can't read %s", path);
	return text;
}

/* Asserts that the document contains the table row ROW. */
static void assert_has_row(const char *document, const char *row)
{
	if (!strstr(document, row))
		fail_msg("the document lacks this row:\n%s", row);
}

/*
 * Writes the bounds of an integer as the documents do; nothing for other types.
 */
static void format_range(char *text, size_t size, bool integer, int64_t least,
			 int64_t most)
{
	if (!integer)
		g_strlcpy(text, "", size);
	else if (most == INT64_MAX)
		snprintf(text, size, "from %" PRId64, least);
	else
		snprintf(text, size, "%" PRId64 " to %" PRId64, least, most);
}

/* Asserts that the document has a row for each of COUNT settings. */
static void assert_settings(const char *document, const setting_t *rows, size_t count)
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

		format_range(range, sizeof(range), numeric, rows[i].min,
			     rows[i].max);
		snprintf(row, sizeof(row), "| `%s` | %s | %s | %s | %s |",
			 rows[i].key, kinds[rows[i].kind],
			 rows[i].default_value ? rows[i].default_value : "required",
			 range, rows[i].description);
		assert_has_row(document, row);
	}
}

static void test_settings_document_lists_all_keys(void **state)
{
	char *document = read_document("docs/SETTINGS.md");
	size_t count;
	const setting_t *rows = settings_table(&count);

	(void)state;
	assert_settings(document, rows, count);
	assert_settings(document, gateway_settings_table()->rows,
			gateway_settings_table()->count);
	g_free(document);
}

static void test_bundle_document_lists_all_keys(void **state)
{
	static const char *const kinds[] = {
		[RULE_STRING] = "string",   [RULE_INTEGER] = "integer",
		[RULE_BOOLEAN] = "boolean", [RULE_PRIORITY] = "priority",
		[RULE_NAMES] = "names",
	};
	char *document = read_document("docs/BUNDLE.md");
	size_t count;
	const bundle_rule_t *table = bundle_rules(&count);

	(void)state;
	for (size_t i = 0; i < count; i++) {
		char range[64];
		char row[512];

		format_range(range, sizeof(range), table[i].kind == RULE_INTEGER,
			     table[i].min, table[i].max);
		snprintf(row, sizeof(row), "| `%s` | `%s` | %s | %s | %s | %s |",
			 table[i].section, table[i].key, kinds[table[i].kind],
			 table[i].default_value ? table[i].default_value : "required",
			 range, table[i].description);
		assert_has_row(document, row);
	}
	g_free(document);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_settings_document_lists_all_keys),
		cmocka_unit_test(test_bundle_document_lists_all_keys),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
