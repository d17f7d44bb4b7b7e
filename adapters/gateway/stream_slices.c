/*
 * Encodes slices of the journal of streams for the store, and merges encoded ones:
 *
 * {"format": 1, "slice": number, "versions": {version id in hex: base64 of the hashes of
 *  the attempts that it began, 8 bytes each, little-endian}}
 */
#include "adapters/gateway/stream_slices.h"

#include <stdlib.h>
#include <string.h>

#include "adapters/json.h"

#define FORMAT 1
#define VERSION_ID_DIGITS 16

/* Returns whether a slice has a version whose service has several. */
static bool has_ambiguous(const stream_slice_t *slice,
			  const stream_versions_t *streams, pd_time_t now)
{
	GHashTableIter iter;
	gpointer version_id;

	g_hash_table_iter_init(&iter, slice->version_ids);
	while (g_hash_table_iter_next(&iter, &version_id, NULL)) {
		if (stream_versions_is_ambiguous(streams,
						 GPOINTER_TO_SIZE(version_id), now))
			return true;
	}
	return false;
}

/*
 * Returns the attempts of a slice by version: version id -> GByteArray, only of versions
 * whose service has several. The caller owns it.
 */
static GHashTable *group_by_version(const stream_slice_t *slice,
				    const stream_versions_t *streams, pd_time_t now)
{
	GHashTable *groups =
		g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
				      (GDestroyNotify)g_byte_array_unref);
	GHashTableIter iter;
	gpointer attempt;
	gpointer version_id;

	g_hash_table_iter_init(&iter, slice->versions);
	while (g_hash_table_iter_next(&iter, &attempt, &version_id)) {
		uint64_t hash = GUINT64_TO_LE((uint64_t)GPOINTER_TO_SIZE(attempt));
		GByteArray *group = g_hash_table_lookup(groups, version_id);

		if (!group) {
			if (!stream_versions_is_ambiguous(
				    streams, GPOINTER_TO_SIZE(version_id), now))
				continue;
			group = g_byte_array_new();
			g_hash_table_insert(groups, version_id, group);
		}
		g_byte_array_append(group, (const guint8 *)&hash, sizeof(hash));
	}
	return groups;
}

/* Returns groups of attempts as JSON, owned by the caller. */
static json_t *write_groups(GHashTable *groups)
{
	json_t *versions = json_object();
	char digits[VERSION_ID_DIGITS + 1];
	GHashTableIter iter;
	gpointer version_id;
	gpointer group;

	g_hash_table_iter_init(&iter, groups);
	while (g_hash_table_iter_next(&iter, &version_id, &group)) {
		const GByteArray *attempts = group;
		char *text = g_base64_encode(attempts->data, attempts->len);

		g_snprintf(digits, sizeof(digits), "%" G_GINT64_MODIFIER "x",
			   (guint64)GPOINTER_TO_SIZE(version_id));
		json_object_set_new(versions, digits, json_string(text));
		g_free(text);
	}
	return versions;
}

/*
 * Returns a slice as JSON, owned by the caller, or NULL if it has no stream of a service
 * with several versions.
 */
char *stream_slice_encode(const stream_slice_t *slice,
			  const stream_versions_t *streams, pd_time_t now)
{
	GHashTable *groups;
	char *copy = NULL;

	if (!has_ambiguous(slice, streams, now))
		return NULL;
	groups = group_by_version(slice, streams, now);
	if (g_hash_table_size(groups)) {
		json_t *root = json_pack("{s:i, s:I, s:o}", "format", FORMAT,
					 "slice", (json_int_t)slice->number,
					 "versions", write_groups(groups));
		char *text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);

		copy = g_strdup(text);
		free(text);
		json_decref(root);
	}
	g_hash_table_unref(groups);
	return copy;
}

/* Merges the attempts that a version began, encoded as TEXT. JOURNAL may be NULL. */
static void merge_group(const char *text, uint64_t version_id, int64_t number,
			stream_journal_t *journal, stream_versions_t *streams,
			pd_time_t now)
{
	gsize size = 0;
	guchar *attempts = g_base64_decode(text, &size);

	for (gsize at = 0; at + sizeof(uint64_t) <= size; at += sizeof(uint64_t)) {
		stream_record_t record = { .version_id = version_id };

		memcpy(&record.attempt, attempts + at, sizeof(uint64_t));
		record.attempt = GUINT64_FROM_LE(record.attempt);
		stream_versions_merge(streams, &record, now);
		if (journal)
			stream_journal_merge(journal, &record, number);
	}
	g_free(attempts);
}

/*
 * Adds what an encoded slice has to the known streams, and to the journal unless a later
 * slice is there or it lies in the future of WALL, the fleet time. Returns 0, or -1 with
 * ERR set if TEXT is malformed or of another format. Invalid versions are skipped.
 */
int stream_slice_merge(const char *text, stream_journal_t *journal,
		       stream_versions_t *streams, pd_time_t now,
		       pd_time_t wall, pd_error_t *err)
{
	json_t *root = json_parse(text, strlen(text), err);
	int64_t number = json_integer_or(root, "slice", -1);
	json_t *versions = json_object_get(root, "versions");
	const char *digits;
	json_t *value;

	if (!root)
		return -1;
	if (json_integer_or(root, "format", 0) != FORMAT || number < 0 ||
	    !json_is_object(versions)) {
		json_decref(root);
		return pd_error_set(err, PD_ERROR_VERSION,
				    "slice of streams: unknown format");
	}
	/* It would keep the slices of the present out of the journal. */
	if (number > wall / STREAM_SLICE_LENGTH + STREAM_SLICES)
		journal = NULL;
	json_object_foreach(versions, digits, value)
	{
		const char *attempts = json_string_value(value);
		guint64 version_id;

		if (attempts && g_ascii_string_to_unsigned(digits, 16, 1, G_MAXUINT64,
							   &version_id, NULL))
			merge_group(attempts, version_id, number, journal,
				    streams, now);
	}
	json_decref(root);
	return 0;
}
