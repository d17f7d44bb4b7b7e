/* Finds the ends of events and the id of the last whole one. */
#include "core/forward/event_stream.h"

#include <string.h>

/* Returns an empty stream; the caller owns it. */
event_stream_t *event_stream_create(void)
{
	event_stream_t *stream = g_new0(event_stream_t, 1);

	stream->bytes = g_byte_array_new();
	return stream;
}

/* Frees a stream; NULL is allowed. */
void event_stream_destroy(event_stream_t *stream)
{
	if (!stream)
		return;
	g_byte_array_unref(stream->bytes);
	g_free(stream->last_id);
	g_free(stream);
}

static void note_id(event_stream_t *stream, const char *line, size_t len)
{
	static const char name[] = "id:";
	size_t skip = sizeof(name) - 1;

	if (len < skip || memcmp(line, name, skip) != 0)
		return;
	while (skip < len && line[skip] == ' ')
		skip++;
	g_free(stream->last_id);
	stream->last_id = g_strndup(line + skip, len - skip);
}

/* Reads the lines of one event. */
static void read_event(event_stream_t *stream, const char *event, size_t len)
{
	while (len) {
		const char *end = memchr(event, '\n', len);
		size_t line = end ? (size_t)(end - event) : len;
		size_t step = end ? line + 1 : line;

		if (line && event[line - 1] == '\r')
			line--;
		note_id(stream, event, line);
		event += step;
		len -= step;
	}
}

/* Says whether an event ends with the line feed at I: an empty line is next. */
static bool ends_event(const char *data, size_t i)
{
	if (i >= 1 && data[i - 1] == '\n')
		return true;
	return i >= 2 && data[i - 1] == '\r' && data[i - 2] == '\n';
}

/* Takes bytes in; returns how many events became whole by them. */
unsigned int event_stream_feed(event_stream_t *stream, const char *data, size_t len)
{
	unsigned int found = 0;
	const char *all;

	g_byte_array_append(stream->bytes, (const guint8 *)data, (guint)len);
	all = (const char *)stream->bytes->data;
	for (size_t i = stream->scanned; i < stream->bytes->len; i++) {
		if (all[i] != '\n' || !ends_event(all, i))
			continue;
		if (i + 1 - stream->whole > 2) {
			read_event(stream, all + stream->whole,
				   i + 1 - stream->whole);
			found++;
		}
		stream->whole = i + 1;
	}
	stream->scanned = stream->bytes->len;
	stream->count += found;
	return found;
}

/* Forgets the whole events, which were passed on. */
void event_stream_passed(event_stream_t *stream)
{
	if (!stream->whole)
		return;
	g_byte_array_remove_range(stream->bytes, 0, (guint)stream->whole);
	stream->scanned -= stream->whole;
	stream->whole = 0;
}

/* Says whether an event has begun and not ended. */
bool event_stream_has_partial(const event_stream_t *stream)
{
	return stream->bytes->len > stream->whole;
}

/* Forgets the event that has begun, as its upstream will not end it. */
void event_stream_drop_partial(event_stream_t *stream)
{
	g_byte_array_set_size(stream->bytes, (guint)stream->whole);
	stream->scanned = stream->whole;
}
