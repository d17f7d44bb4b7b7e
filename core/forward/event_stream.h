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
	char *last_id; /* of the last complete event; NULL: none yet */
	unsigned int count; /* complete events received */
} event_stream_t;

event_stream_t *event_stream_create(void);
void event_stream_destroy(event_stream_t *stream);
unsigned int event_stream_feed(event_stream_t *stream, const char *data,
			       size_t len);
void event_stream_discard_complete(event_stream_t *stream);
bool event_stream_has_partial(const event_stream_t *stream);
void event_stream_discard_partial(event_stream_t *stream);

#endif
