/* Reads settings from a TOML file, with errors that name the file and line. */
#include "adapters/setting_table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "adapters/toml_reader.h"

/* Returns the row of a key, or NULL if there is none. */
static const setting_t *setting_find(const setting_table_t *table, const char *key)
{
	for (size_t i = 0; i < table->count; i++) {
		if (!strcmp(table->rows[i].key, key))
			return &table->rows[i];
	}
	return NULL;
}

/* Returns the member of SETTINGS that holds the setting. */
static void *setting_field(void *settings, const setting_t *setting)
{
	return (char *)settings + setting->offset;
}

/* Returns whether VALUE is one of CHOICES, which "|" separates. */
static bool choices_contain(const char *choices, const char *value)
{
	char **names = g_strsplit(choices, "|", -1);
	bool found = g_strv_contains((const char *const *)names, value);

	g_strfreev(names);
	return found;
}

/*
 * The functions below that set a value return 0, or -1 with ERR set to a
 * message that begins with LOCATION, the file and line.
 */

/* Sets a string, file name or choice. */
static int setting_set_string(void *settings, const setting_t *setting,
			      const char *text, const char *location,
			      pd_error_t *err)
{
	char **slot = setting_field(settings, setting);

	if (setting->kind == SETTING_FILE && access(text, R_OK) != 0)
		return pd_error_set(err, PD_ERROR_SETTINGS,
				    "%s: %s: expected a readable file, got %s",
				    location, setting->key, text);
	if (setting->kind == SETTING_CHOICE &&
	    !choices_contain(setting->description, text))
		return pd_error_set(err, PD_ERROR_SETTINGS,
				    "%s: %s: expected one of %s, got %s", location,
				    setting->key, setting->description, text);
	if (!*text)
		return pd_error_set(err, PD_ERROR_SETTINGS,
				    "%s: %s: expected a non-empty string",
				    location, setting->key);
	g_free(*slot);
	*slot = g_strdup(text);
	return 0;
}

/* Sets an integer. */
static int setting_set_integer(void *settings, const setting_t *setting,
			       int64_t number, const char *location,
			       pd_error_t *err)
{
	if (number < setting->min || number > setting->max)
		return pd_error_set(err, PD_ERROR_SETTINGS,
				    "%s: %s: expected an integer from "
				    "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT
				    ", got %" G_GINT64_FORMAT,
				    location, setting->key, setting->min,
				    setting->max, number);
	*(int64_t *)setting_field(settings, setting) = number;
	return 0;
}

/* Appends an item to an array of strings. */
static int setting_append_string(void *settings, const setting_t *setting,
				 const char *text, const char *location,
				 pd_error_t *err)
{
	char **slots = setting_field(settings, setting);

	for (int64_t i = 0; i < setting->max; i++) {
		if (slots[i])
			continue;
		slots[i] = g_strdup(text);
		return 0;
	}
	return pd_error_set(err, PD_ERROR_SETTINGS,
			    "%s: %s: expected at most %" G_GINT64_FORMAT
			    " items",
			    location, setting->key, setting->max);
}

/* Sets ERR to the type that was expected; returns -1. */
static int set_type_error(const setting_t *setting, const char *location,
			  pd_error_t *err)
{
	static const char *const expected[] = {
		[SETTING_STRING] = "a string",
		[SETTING_INTEGER] = "an integer",
		[SETTING_STRINGS] = "an array of strings",
		[SETTING_FILE] = "a string",
		[SETTING_CHOICE] = "a string",
		[SETTING_DECIMAL] = "a decimal number",
	};

	return pd_error_set(err, PD_ERROR_SETTINGS, "%s: %s: expected %s",
			    location, setting->key, expected[setting->kind]);
}

/* Sets a number with a fraction; integers are accepted too. */
static int setting_set_double(void *settings, const setting_t *setting,
			      const toml_leaf_t *leaf, const char *location,
			      pd_error_t *err)
{
	double number = leaf->kind == TOML_FLOAT ? leaf->decimal
						 : (double)leaf->number;

	if (leaf->kind != TOML_FLOAT && leaf->kind != TOML_INTEGER)
		return set_type_error(setting, location, err);
	if (number < (double)setting->min || number > (double)setting->max)
		return pd_error_set(err, PD_ERROR_SETTINGS,
				    "%s: %s: expected a number from "
				    "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
				    location, setting->key, setting->min,
				    setting->max);
	*(double *)setting_field(settings, setting) = number;
	return 0;
}

/* Sets the setting that a leaf of the document names. */
static int apply_leaf(const setting_table_t *table, void *settings,
		      const toml_leaf_t *leaf, const char *location,
		      pd_error_t *err)
{
	char *key = g_strdup(leaf->key);
	char *bracket = strchr(key, '[');
	const setting_t *setting;
	int rc;

	if (bracket)
		*bracket = '\0';
	setting = setting_find(table, key);
	if (!setting)
		rc = pd_error_set(err, PD_ERROR_SETTINGS, "%s: %s: unknown key",
				  location, leaf->key);
	else if ((setting->kind == SETTING_STRINGS) != (bracket != NULL))
		rc = set_type_error(setting, location, err);
	else if (setting->kind == SETTING_INTEGER && leaf->kind == TOML_INTEGER)
		rc = setting_set_integer(settings, setting, leaf->number,
					 location, err);
	else if (setting->kind == SETTING_DECIMAL)
		rc = setting_set_double(settings, setting, leaf, location, err);
	else if (setting->kind == SETTING_INTEGER || leaf->kind != TOML_STRING)
		rc = set_type_error(setting, location, err);
	else if (setting->kind == SETTING_STRINGS)
		rc = setting_append_string(settings, setting, leaf->text,
					   location, err);
	else
		rc = setting_set_string(settings, setting, leaf->text, location,
					err);
	g_free(key);
	return rc;
}

/*
 * Sets the settings that the document lacks to their default values. Returns 0,
 * or -1 with ERR set if a required one is missing.
 */
static int apply_defaults(const setting_table_t *table, void *settings,
			  const char *path, const toml_document_t *document,
			  pd_error_t *err)
{
	for (size_t i = 0; i < table->count; i++) {
		const setting_t *setting = &table->rows[i];
		bool is_set = false;

		for (size_t k = 0; k < document->count; k++)
			is_set |= g_str_has_prefix(document->leaves[k].key,
						   setting->key);
		if (is_set || setting->kind == SETTING_STRINGS)
			continue;
		if (!setting->default_value)
			return pd_error_set(err, PD_ERROR_SETTINGS,
					    "%s:1: %s: expected, but missing",
					    path, setting->key);
		if (setting->kind == SETTING_INTEGER)
			*(int64_t *)setting_field(settings, setting) =
				g_ascii_strtoll(setting->default_value, NULL, 10);
		else if (setting->kind == SETTING_DECIMAL)
			*(double *)setting_field(settings, setting) =
				g_ascii_strtod(setting->default_value, NULL);
		else
			*(char **)setting_field(settings, setting) =
				g_strdup(setting->default_value);
	}
	return 0;
}

/*
 * Reads the file at PATH into SETTINGS, a zeroed struct that the table
 * describes. Returns 0, or -1 with ERR set to one line that names the file,
 * line, key and what was expected. The caller calls setting_table_clear() in
 * either case.
 */
int setting_table_read(const setting_table_t *table, const char *path,
		       void *settings, pd_error_t *err)
{
	toml_document_t *document = toml_document_read(path);

	if (document->problem) {
		pd_error_set(err, PD_ERROR_SETTINGS, "%s:%u: %s", path,
			     document->problem_line, document->problem);
		goto error;
	}
	for (size_t i = 0; i < document->count; i++) {
		char *location =
			g_strdup_printf("%s:%u", path, document->leaves[i].line);
		int rc = apply_leaf(table, settings, &document->leaves[i],
				    location, err);

		g_free(location);
		if (rc < 0)
			goto error;
	}
	if (apply_defaults(table, settings, path, document, err) < 0)
		goto error;
	toml_document_free(document);
	return 0;
error:
	toml_document_free(document);
	return -1;
}

/* Returns the size of a setting in its struct, in bytes. */
static size_t setting_size(const setting_t *setting)
{
	switch (setting->kind) {
	case SETTING_INTEGER:
		return sizeof(int64_t);
	case SETTING_DECIMAL:
		return sizeof(double);
	case SETTING_STRINGS:
		return sizeof(char *) * (size_t)setting->max;
	case SETTING_STRING:
	case SETTING_FILE:
	case SETTING_CHOICE:
		return sizeof(char *);
	}
	return 0;
}

/* Returns whether a setting has the same value in two structs. */
bool setting_equal(const setting_t *setting, const void *one, const void *other)
{
	const char *left = (const char *)one + setting->offset;
	const char *right = (const char *)other + setting->offset;
	size_t count = setting_size(setting) / sizeof(char *);

	if (setting->kind == SETTING_INTEGER || setting->kind == SETTING_DECIMAL)
		return !memcmp(left, right, setting_size(setting));
	for (size_t i = 0; i < count; i++) {
		if (g_strcmp0(((char *const *)left)[i], ((char *const *)right)[i]))
			return false;
	}
	return true;
}

/* Swaps the values of a setting in two structs. */
void setting_swap(const setting_t *setting, void *one, void *other)
{
	size_t size = setting_size(setting);
	char *saved = g_memdup2((char *)one + setting->offset, size);

	memcpy((char *)one + setting->offset, (char *)other + setting->offset,
	       size);
	memcpy((char *)other + setting->offset, saved, size);
	g_free(saved);
}

/* Frees the values of SETTINGS, but not the struct itself. */
void setting_table_clear(const setting_table_t *table, void *settings)
{
	for (size_t i = 0; i < table->count; i++) {
		const setting_t *row = &table->rows[i];
		char **slots = setting_field(settings, row);

		if (row->kind == SETTING_INTEGER || row->kind == SETTING_DECIMAL)
			continue;
		g_free(slots[0]);
		for (int64_t k = 1;
		     row->kind == SETTING_STRINGS && k < row->max; k++)
			g_free(slots[k]);
	}
}
