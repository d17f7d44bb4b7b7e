/* The records of one claims object, indexed by key. */
#include "core/claim_table.h"

#include <string.h>

#define RECORD_OVERHEAD_BYTES 96 /* names of the fields, numbers, punctuation */
#define ESCAPED_CONTROL_BYTES 6 /* \u0000 */
#define ESCAPED_QUOTE_BYTES 2

/* Frees a record; value destructor of the table. */
static void claim_destroy(void *data)
{
	claim_t *claim = data;

	g_free(claim->key);
	g_free(claim->nonce);
	g_free(claim->digest);
	g_free(claim->answer);
	g_free(claim);
}

/* Returns an empty table; the caller owns it. */
claim_table_t *claim_table_create(void)
{
	claim_table_t *table = g_new0(claim_table_t, 1);

	table->claims = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      claim_destroy);
	return table;
}

/* Returns a deep copy; the caller owns it. */
claim_table_t *claim_table_copy(const claim_table_t *table)
{
	claim_table_t *copy = claim_table_create();
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, table->claims);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const claim_t *from = value;
		claim_t *to = claim_table_put(copy, from->key, from->nonce,
					      from->digest);

		to->state = from->state;
		to->made_at = from->made_at;
		to->status = from->status;
		to->answer = g_strdup(from->answer);
	}
	return copy;
}

/* Frees a table and its records; NULL is allowed. */
void claim_table_destroy(claim_table_t *table)
{
	if (!table)
		return;
	g_hash_table_unref(table->claims);
	g_free(table);
}

/* Returns the record of KEY, borrowed, or NULL. */
claim_t *claim_table_get(const claim_table_t *table, const char *key)
{
	return g_hash_table_lookup(table->claims, key);
}

/* Inserts a held record, replacing any old one of KEY; returns it, borrowed. */
claim_t *claim_table_put(claim_table_t *table, const char *key,
			 const char *nonce, const char *digest)
{
	claim_t *claim = g_new0(claim_t, 1);

	claim->key = g_strdup(key);
	claim->nonce = g_strdup(nonce);
	claim->digest = g_strdup(digest);
	claim->state = CLAIM_HELD;
	g_hash_table_replace(table->claims, claim->key, claim);
	return claim;
}

/* Returns whether a record was made before the time in DATA. */
static gboolean claim_is_older(void *key, void *value, void *data)
{
	const claim_t *claim = value;
	const int64_t *before = data;

	(void)key;
	return claim->made_at < *before;
}

/* Removes every record made before BEFORE, in wall-clock seconds. */
void claim_table_expire(claim_table_t *table, int64_t before)
{
	g_hash_table_foreach_remove(table->claims, claim_is_older, &before);
}

/* Returns the length of TEXT in bytes when escaped as a JSON string. */
static size_t escaped_size(const char *text)
{
	size_t size = 0;

	for (; text && *text; text++) {
		if (g_ascii_iscntrl(*text))
			size += ESCAPED_CONTROL_BYTES;
		else if (*text == '"' || *text == '\\')
			size += ESCAPED_QUOTE_BYTES;
		else
			size++;
	}
	return size;
}

/* Returns an upper estimate of the encoded size of a record, in bytes. */
static size_t claim_size(const claim_t *claim)
{
	return RECORD_OVERHEAD_BYTES + strlen(claim->key) + strlen(claim->nonce) +
	       strlen(claim->digest) + escaped_size(claim->answer);
}

/* Returns an upper estimate of the encoded size of the table, in bytes. */
size_t claim_table_size(const claim_table_t *table)
{
	GHashTableIter it;
	void *value;
	size_t size = 0;

	g_hash_table_iter_init(&it, table->claims);
	while (g_hash_table_iter_next(&it, NULL, &value))
		size += claim_size(value);
	return size;
}

/* Orders pointers to records by age, oldest first. */
static int claim_compare_age(const void *left, const void *right)
{
	const claim_t *a = *(claim_t *const *)left;
	const claim_t *b = *(claim_t *const *)right;

	return (a->made_at > b->made_at) - (a->made_at < b->made_at);
}

/*
 * Removes recorded answers, oldest first, until the estimated size is at most
 * MAX bytes. The records stay: without its record a call could run twice.
 */
void claim_table_trim(claim_table_t *table, size_t max)
{
	size_t size = claim_table_size(table);
	GPtrArray *by_age;
	GHashTableIter it;
	void *value;

	if (size <= max)
		return;
	by_age = g_ptr_array_new();
	g_hash_table_iter_init(&it, table->claims);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(by_age, value);
	g_ptr_array_sort(by_age, claim_compare_age);
	for (guint i = 0; i < by_age->len && size > max; i++) {
		claim_t *claim = g_ptr_array_index(by_age, i);

		size -= escaped_size(claim->answer);
		g_clear_pointer(&claim->answer, g_free);
	}
	g_ptr_array_unref(by_age);
}
