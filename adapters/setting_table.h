/*
 * Settings described by a table: one row a key, with its bounds, default and
 * meaning. The same table checks the file and the page that lists the keys.
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

/* One key, as it is checked and documented. */
typedef struct setting {
	const char *key;
	setting_kind_t kind;
	size_t offset; /* in the struct that is filled in */
	int64_t min; /* of an integer; most items of an array in MOST */
	int64_t max;
	const char *default_value; /* NULL: the key is required */
	const char *description; /* with the unit; for choices, the choices */
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
