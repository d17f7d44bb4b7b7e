/*
 * The versions that began the latest streams, in slices of time. Each slice is an object
 * in the store, so that a write repeats no more than what began in the same slice. It
 * serves streams that are taken up after all gateways were killed;
 * stream-versions-notes.md compares the ways.
 */
#ifndef PISTACHIO_FORWARD_STREAM_JOURNAL_H
#define PISTACHIO_FORWARD_STREAM_JOURNAL_H

#include <glib.h>

#include "core/forward/stream_versions.h"

#define STREAM_SLICES 16
#define STREAM_SLICE_LENGTH PD_SEC
/* Bounds the bytes of an object; of a slice with more streams, the first are kept. */
#define STREAM_SLICE_RECORDS_MAX 2048

/* The streams that began within STREAM_SLICE_LENGTH. */
typedef struct stream_slice {
	int64_t number; /* of its start, by fleet time, in lengths */
	GHashTable *versions; /* attempt -> version id, as pointers */
	GHashTable *version_ids; /* set of those */
} stream_slice_t;

typedef struct stream_journal stream_journal_t;

stream_journal_t *stream_journal_create(void);
void stream_journal_destroy(stream_journal_t *journal);
void stream_journal_add(stream_journal_t *journal,
			const stream_record_t *record, pd_time_t at);
void stream_journal_merge(stream_journal_t *journal,
			  const stream_record_t *record, int64_t number);
const stream_slice_t *stream_journal_slice(const stream_journal_t *journal,
					   unsigned int index);
uint64_t stream_journal_dropped(const stream_journal_t *journal);

#endif
