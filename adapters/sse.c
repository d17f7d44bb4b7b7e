/* Line-based parser for server-sent events. */
#include "adapters/sse.h"

#include <glib.h>
#include <string.h>

struct sse_parser {
	void (*on_event)(void *ctx, const sse_event_t *event);
	void *ctx;
	GString *line;
	GString *id;
	GString *name;
	GString *data;
};

/*
 * Returns a parser that calls ON_EVENT with CTX for each complete event and
 * each comment line. The caller destroys it.
 */
sse_parser_t *sse_parser_create(void (*on_event)(void *ctx, const sse_event_t *event),
				void *ctx)
{
	sse_parser_t *parser = g_new0(sse_parser_t, 1);

	parser->on_event = on_event;
	parser->ctx = ctx;
	parser->line = g_string_new(NULL);
	parser->id = g_string_new(NULL);
	parser->name = g_string_new(NULL);
	parser->data = g_string_new(NULL);
	return parser;
}

/* Frees a parser, discarding an incomplete event; NULL is allowed. */
void sse_parser_destroy(sse_parser_t *parser)
{
	if (!parser)
		return;
	g_string_free(parser->line, TRUE);
	g_string_free(parser->id, TRUE);
	g_string_free(parser->name, TRUE);
	g_string_free(parser->data, TRUE);
	g_free(parser);
}

/*
 * Reports the buffered event, unless it has neither data nor name, and clears
 * it.
 */
static void parser_dispatch_event(sse_parser_t *parser)
{
	const sse_event_t event = {
		.id = parser->id->str,
		.name = parser->name->len ? parser->name->str : "message",
		.data = parser->data->str,
	};

	if (parser->data->len || parser->name->len)
		parser->on_event(parser->ctx, &event);
	g_string_truncate(parser->id, 0);
	g_string_truncate(parser->name, 0);
	g_string_truncate(parser->data, 0);
}

/*
 * Adds one complete line to the buffered event; an empty line ends the event.
 */
static void parser_process_line(sse_parser_t *parser)
{
	char *line = parser->line->str;
	char *value = strchr(line, ':');

	if (parser->line->len == 0) {
		parser_dispatch_event(parser);
		return;
	}
	if (value == line) {
		const sse_event_t comment = { "", SSE_COMMENT, "" };

		parser->on_event(parser->ctx, &comment);
		return;
	}
	if (!value)
		return;
	*value++ = '\0';
	if (*value == ' ')
		value++;
	if (!strcmp(line, "id"))
		g_string_assign(parser->id, value);
	else if (!strcmp(line, "event"))
		g_string_assign(parser->name, value);
	else if (!strcmp(line, "data"))
		g_string_append(parser->data, value);
}

/*
 * Parses the next LEN bytes of the stream. Returns 0, or -1 with ERR set if an
 * event exceeds SSE_EVENT_MAX; the rest of the stream can't be parsed then.
 */
int sse_parser_feed(sse_parser_t *parser, const char *data, size_t len,
		    pd_error_t *err)
{
	for (size_t i = 0; i < len; i++) {
		if (data[i] == '\n') {
			parser_process_line(parser);
			g_string_truncate(parser->line, 0);
		} else if (data[i] != '\r') {
			g_string_append_c(parser->line, data[i]);
		}
		if (parser->line->len + parser->data->len > SSE_EVENT_MAX)
			return pd_error_set(err, PD_ERROR_TOO_LARGE,
					    "server-sent event over %d bytes",
					    SSE_EVENT_MAX);
	}
	return 0;
}
