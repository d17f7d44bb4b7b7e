/*
 * An event stream that is forwarded from an upstream to a caller. Only complete
 * events are sent, so that if an upstream stops in the middle, another can
 * resume after the last complete event without the caller noticing.
 */
#ifndef PISTACHIO_EVENT_STREAM_H
#define PISTACHIO_EVENT_STREAM_H

#include <glib.h>
#include <stdbool.h>

typedef struct event_stream {
	GByteArray *bytes; /* not sent yet */
	size_t whole; /* length of the complete events in bytes */
	size_t scanned_len;
	/* of the last complete event, or of the one to resume after; NULL: none yet */
	char *last_id;
	unsigned int count; /* complete events received */
	bool resumable; /* the last complete event has an id, or there is none */
	bool out_of_order; /* the next event does not follow the last one */
} event_stream_t;

event_stream_t *event_stream_create(const char *resume_after);
void event_stream_destroy(event_stream_t *stream);
unsigned int event_stream_feed(event_stream_t *stream, const char *data,
			       size_t len);
void event_stream_discard_complete(event_stream_t *stream);
bool event_stream_has_partial(const event_stream_t *stream);
void event_stream_discard_partial(event_stream_t *stream);

#endif
