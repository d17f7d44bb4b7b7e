/* Keeps the versions that began the latest streams, by slices of time. */
#include "core/forward/stream_journal.h"

struct stream_journal {
	stream_slice_t slices[STREAM_SLICES]; /* that of a number at its remainder */
	uint64_t dropped; /* records of slices that were full */
};

/* Returns an empty journal; the caller owns it. */
stream_journal_t *stream_journal_create(void)
{
	stream_journal_t *journal = g_new0(stream_journal_t, 1);

	for (unsigned int i = 0; i < STREAM_SLICES; i++) {
		stream_slice_t *slice = &journal->slices[i];

		slice->versions = g_hash_table_new(g_direct_hash, g_direct_equal);
		slice->version_ids =
			g_hash_table_new(g_direct_hash, g_direct_equal);
	}
	return journal;
}

/* Frees a journal; NULL is allowed. */
void stream_journal_destroy(stream_journal_t *journal)
{
	if (!journal)
		return;
	for (unsigned int i = 0; i < STREAM_SLICES; i++) {
		g_hash_table_unref(journal->slices[i].versions);
		g_hash_table_unref(journal->slices[i].version_ids);
	}
	g_free(journal);
}

/* Adds a stream that began at AT, in fleet time. */
void stream_journal_add(stream_journal_t *journal,
			const stream_record_t *record, pd_time_t at)
{
	stream_journal_merge(journal, record, at / STREAM_SLICE_LENGTH);
}

/* Adds a stream of the slice with a number, unless a later slice has replaced it. */
void stream_journal_merge(stream_journal_t *journal,
			  const stream_record_t *record, int64_t number)
{
	stream_slice_t *slice;
	gpointer key = GSIZE_TO_POINTER(record->attempt);

	if (number < 0 || !record->attempt || !record->version_id)
		return;
	slice = &journal->slices[number % STREAM_SLICES];
	if (number < slice->number)
		return;
	if (number > slice->number) {
		g_hash_table_remove_all(slice->versions);
		g_hash_table_remove_all(slice->version_ids);
		slice->number = number;
	}
	if (g_hash_table_size(slice->versions) >= STREAM_SLICE_RECORDS_MAX &&
	    !g_hash_table_contains(slice->versions, key)) {
		journal->dropped++;
		return;
	}
	g_hash_table_insert(slice->versions, key,
			    GSIZE_TO_POINTER(record->version_id));
	g_hash_table_add(slice->version_ids, GSIZE_TO_POINTER(record->version_id));
}

/* Returns the slice whose number has the remainder INDEX, borrowed; it may be empty. */
const stream_slice_t *stream_journal_slice(const stream_journal_t *journal,
					   unsigned int index)
{
	return &journal->slices[index];
}

/* Returns how many records were dropped, as their slices were full. */
uint64_t stream_journal_dropped(const stream_journal_t *journal)
{
	return journal->dropped;
}
