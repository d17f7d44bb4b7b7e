/*
 * Parses the boundaries of server-sent events, and the id of the last complete
 * one.
 */
#include "core/forward/event_stream.h"

#include <string.h>

/*
 * Returns an empty stream, which the caller owns. RESUME_AFTER is the id of the event that
 * it follows; NULL: none.
 */
event_stream_t *event_stream_create(const char *resume_after)
{
	event_stream_t *stream = g_new0(event_stream_t, 1);

	stream->bytes = g_byte_array_new();
	stream->last_id = g_strdup(resume_after);
	stream->resumable = true;
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

/* Replaces ID if a line contains one. */
static void parse_id(char **id, const char *line, size_t len)
{
	static const char name[] = "id:";
	size_t skip = sizeof(name) - 1;

	if (len < skip || memcmp(line, name, skip) != 0)
		return;
	while (skip < len && line[skip] == ' ')
		skip++;
	g_free(*id);
	*id = g_strndup(line + skip, len - skip);
}

/*
 * Returns the id of an event, owned by the caller; NULL: it has none. Sets IS_COMMENT to
 * whether it has nothing but comments.
 */
static char *parse_event(const char *event, size_t len, bool *is_comment)
{
	char *id = NULL;

	*is_comment = true;
	while (len) {
		const char *end = memchr(event, '\n', len);
		size_t line_len = end ? (size_t)(end - event) : len;
		size_t step = end ? line_len + 1 : line_len;

		if (line_len && event[line_len - 1] == '\r')
			line_len--;
		parse_id(&id, event, line_len);
		if (line_len && *event != ':')
			*is_comment = false;
		event += step;
		len -= step;
	}
	return id;
}

/* Returns whether the event with ID may follow the one with LAST: numbers increase. */
static bool id_follows(const char *id, const char *last)
{
	guint64 number;
	guint64 last_number;

	if (!last ||
	    !g_ascii_string_to_unsigned(id, 10, 0, G_MAXUINT64, &number, NULL) ||
	    !g_ascii_string_to_unsigned(last, 10, 0, G_MAXUINT64, &last_number, NULL))
		return true;
	return number > last_number;
}

/* Records a complete event, unless it does not follow the last one; returns whether it did. */
static bool accept_event(event_stream_t *stream, const char *event, size_t len)
{
	bool is_comment;
	char *id = parse_event(event, len, &is_comment);

	if (!id) {
		stream->resumable &= is_comment;
		return true;
	}
	if (!id_follows(id, stream->last_id)) {
		stream->out_of_order = true;
		g_free(id);
		return false;
	}
	g_free(stream->last_id);
	stream->last_id = id;
	stream->resumable = true;
	return true;
}

/*
 * Returns whether the line feed at index I ends an empty line, and thereby an
 * event.
 */
static bool ends_event(const char *data, size_t i)
{
	if (i >= 1 && data[i - 1] == '\n')
		return true;
	return i >= 2 && data[i - 1] == '\r' && data[i - 2] == '\n';
}

/*
 * Appends received bytes. Returns how many events they complete. The first one that is out
 * of order and what follows it stay incomplete.
 */
unsigned int event_stream_feed(event_stream_t *stream, const char *data, size_t len)
{
	unsigned int completed = 0;
	const char *bytes;

	g_byte_array_append(stream->bytes, (const guint8 *)data, (guint)len);
	bytes = (const char *)stream->bytes->data;
	for (size_t i = stream->scanned_len;
	     i < stream->bytes->len && !stream->out_of_order; i++) {
		if (bytes[i] != '\n' || !ends_event(bytes, i))
			continue;
		if (i + 1 - stream->whole > 2) {
			if (!accept_event(stream, bytes + stream->whole,
					  i + 1 - stream->whole))
				break;
			completed++;
		}
		stream->whole = i + 1;
	}
	stream->scanned_len = stream->bytes->len;
	stream->count += completed;
	return completed;
}

/* Discards the complete events, after they were sent. */
void event_stream_discard_complete(event_stream_t *stream)
{
	if (!stream->whole)
		return;
	g_byte_array_remove_range(stream->bytes, 0, (guint)stream->whole);
	stream->scanned_len -= stream->whole;
	stream->whole = 0;
}

/* Returns whether the stream ends with an incomplete event. */
bool event_stream_has_partial(const event_stream_t *stream)
{
	return stream->bytes->len > stream->whole;
}

/* Discards the incomplete event, as its upstream will not complete it. */
void event_stream_discard_partial(event_stream_t *stream)
{
	if (!stream->whole && stream->bytes->len) {
		/* Setting its size would not free its memory. */
		g_byte_array_unref(stream->bytes);
		stream->bytes = g_byte_array_new();
	}
	g_byte_array_set_size(stream->bytes, (guint)stream->whole);
	stream->scanned_len = stream->whole;
	stream->out_of_order = false;
}
