/*
 * One HTTP/1.1 connection on libuv, towards either side. The parser library
 * splits the bytes; this module adds what it leaves open: strict framing, bytes
 * that nobody asked for, and how a connection ended. http1-notes.md says which
 * cases a proxy has to tell apart.
 */
#ifndef PISTACHIO_HTTP1_H
#define PISTACHIO_HTTP1_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "core/error.h"
#include "core/forward/header.h"

typedef struct http1 http1_t;

/* The first part of a request or an answer, valid inside the callbacks. */
typedef struct http1_head {
	const char *method; /* of a request */
	const char *target; /* of a request: path and query as sent */
	int status; /* of an answer */
	bool keep_alive;
	bool has_body;
	bool ends_with_connection; /* an answer without a length */
	const header_t *headers; /* they live as long as the head */
	size_t header_count;
} http1_head_t;

/* How a connection ended. */
typedef enum http1_end {
	HTTP1_END_CLOSED, /* the peer closed it between two messages */
	HTTP1_END_TRUNCATED, /* closed or reset in the middle of a message */
	HTTP1_END_RESET, /* reset between two messages */
	HTTP1_END_CONNECT_FAILED, /* it was never up */
	HTTP1_END_PROTOCOL_ERROR, /* bytes that are no message */
	HTTP1_END_TOO_LARGE /* a head over the limit */
} http1_end_t;

typedef struct http1_events {
	void (*on_connected)(void *ctx);
	void (*on_head)(void *ctx, const http1_head_t *head);
	void (*on_body)(void *ctx, const char *data, size_t len);
	void (*on_message)(void *ctx);
	/* The last event; the connection is closed. */
	void (*on_end)(void *ctx, http1_end_t end);
} http1_events_t;

typedef enum http1_side { HTTP1_SERVER, HTTP1_CLIENT } http1_side_t;

http1_t *http1_create(uv_loop_t *loop, http1_side_t side,
		      const http1_events_t *events, void *ctx);
int http1_accept(http1_t *conn, uv_stream_t *listener);
int http1_connect(http1_t *conn, const char *address, uint16_t port);
void http1_set_head_limit(http1_t *conn, size_t bytes);
void http1_write(http1_t *conn, const char *data, size_t len);
size_t http1_unsent_bytes(const http1_t *conn);
bool http1_in_message(const http1_t *conn);
void http1_expect_response(http1_t *conn, bool for_head);
void http1_pause(http1_t *conn);
void http1_resume(http1_t *conn);
void http1_close(http1_t *conn);
void http1_close_when_sent(http1_t *conn);
bool http1_is_draining(void);
const char *http1_reason_phrase(int status);

#endif
