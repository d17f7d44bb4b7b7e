/* Incremental parser for server-sent events. */
#ifndef PISTACHIO_SSE_H
#define PISTACHIO_SSE_H

#include <stddef.h>

#include "core/error.h"

#define SSE_EVENT_MAX (64 * 1024) /* bytes of one event */

/*
 * Event name under which comment lines are reported: senders use them as
 * keep-alives.
 */
#define SSE_COMMENT ":"

typedef struct sse_event {
	const char *id; /* borrowed, as are the others; "" if the event has none */
	const char *name; /* "message" if the event has none; SSE_COMMENT */
	const char *data;
} sse_event_t;

typedef struct sse_parser sse_parser_t;

sse_parser_t *sse_parser_create(void (*on_event)(void *ctx, const sse_event_t *event),
				void *ctx);
void sse_parser_destroy(sse_parser_t *parser);
int sse_parser_feed(sse_parser_t *parser, const char *data, size_t len,
		    pd_error_t *err);

#endif
