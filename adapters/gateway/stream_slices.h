/* Converts slices of the journal of streams to JSON and back. */
#ifndef PISTACHIO_GATEWAY_STREAM_SLICES_H
#define PISTACHIO_GATEWAY_STREAM_SLICES_H

#include "core/error.h"
#include "core/forward/stream_journal.h"

char *stream_slice_encode(const stream_slice_t *slice,
			  const stream_versions_t *streams, pd_time_t now);
int stream_slice_merge(const char *text, stream_journal_t *journal,
		       stream_versions_t *streams, pd_time_t now,
		       pd_time_t wall, pd_error_t *err);

#endif
