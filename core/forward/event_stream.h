/*
 * An event stream on its way from an upstream to a caller. Only whole events
 * are passed on: what an upstream leaves half-way can then be taken up by
 * another after the last whole one, and the caller sees no seam.
 */
#ifndef PISTACHIO_EVENT_STREAM_H
#define PISTACHIO_EVENT_STREAM_H

#include <glib.h>
#include <stdbool.h>

typedef struct event_stream {
	GByteArray *bytes; /* not yet passed on */
	size_t whole; /* of these, up to the end of the last whole event */
	size_t scanned;
	char *last_id; /* of the last whole event; NULL: none yet */
	unsigned int count; /* whole events seen */
} event_stream_t;

event_stream_t *event_stream_create(void);
void event_stream_destroy(event_stream_t *stream);
unsigned int event_stream_feed(event_stream_t *stream, const char *data,
			       size_t len);
void event_stream_passed(event_stream_t *stream);
bool event_stream_has_partial(const event_stream_t *stream);
void event_stream_drop_partial(event_stream_t *stream);

#endif
