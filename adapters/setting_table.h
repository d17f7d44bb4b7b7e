/*
 * Settings described by a table: one row per key, with its bounds, default
 * value and description. The table is used both to validate the settings file
 * and to check the document that lists the keys.
 */
#ifndef PISTACHIO_SETTING_TABLE_H
#define PISTACHIO_SETTING_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/error.h"

typedef enum setting_kind {
	SETTING_STRING,
	SETTING_INTEGER,
	SETTING_STRINGS,
	SETTING_FILE, /* a string that names a readable file */
	SETTING_CHOICE,
	SETTING_DECIMAL /* a double */
} setting_kind_t;

/* One key, as it is validated and documented. */
typedef struct setting {
	const char *key;
	setting_kind_t kind;
	size_t offset; /* of the member in the struct of settings */
	int64_t min; /* of a number */
	int64_t max; /* of a number; of an array, the number of items */
	const char *default_value; /* NULL: the key is required */
	const char *description; /* with the unit; of a choice, its values: a|b */
} setting_t;

typedef struct setting_table {
	const setting_t *rows;
	size_t count;
} setting_table_t;

int setting_table_read(const setting_table_t *table, const char *path,
		       void *settings, pd_error_t *err);
bool setting_equal(const setting_t *setting, const void *one, const void *other);
void setting_swap(const setting_t *setting, void *one, void *other);
void setting_table_clear(const setting_table_t *table, void *settings);

#endif
