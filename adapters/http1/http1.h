/*
 * An HTTP/1.1 connection on libuv, as server or client. On top of the parser
 * library it enforces strict framing, rejects unsolicited bytes and reports how
 * a connection ended. http1-notes.md lists the cases that a proxy must
 * distinguish.
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

/* The head of a request or response, valid during the callback. */
typedef struct http1_head {
	const char *method; /* of a request */
	const char *target; /* of a request: path and query as sent */
	int status; /* of a response */
	bool keep_alive;
	bool has_body;
	bool ends_with_connection; /* a response without a length */
	const header_t *headers; /* valid as long as the head */
	size_t header_count;
} http1_head_t;

/* How a connection ended. */
typedef enum http1_end {
	HTTP1_END_CLOSED, /* closed by the other side between two messages */
	HTTP1_END_TRUNCATED, /* closed or reset in the middle of a message */
	HTTP1_END_RESET, /* reset between two messages */
	HTTP1_END_CONNECT_FAILED, /* never established */
	HTTP1_END_REFUSED, /* the same, as nobody listens at the address */
	HTTP1_END_PROTOCOL_ERROR, /* malformed or unsolicited bytes */
	HTTP1_END_TOO_LARGE, /* the head, or interim responses, exceed the limit */
	HTTP1_END_UNREAD /* see http1_end_unread() */
} http1_end_t;

/* Callbacks of a connection. */
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
void http1_write_request(http1_t *conn, const GString *head, GByteArray *body);
size_t http1_unsent_bytes(const http1_t *conn);
size_t http1_queued_bytes(const http1_t *conn);
size_t http1_servers_queued_bytes(void);
http1_t *http1_find_longest_queue(void);
void http1_end_unread(http1_t *conn);
void http1_hold(http1_t *conn, bool hold);
bool http1_in_message(const http1_t *conn);
void http1_expect_response(http1_t *conn, bool for_head);
void http1_pause(http1_t *conn);
void http1_resume(http1_t *conn);
void http1_close(http1_t *conn);
void http1_close_when_sent(http1_t *conn);
bool http1_is_draining(void);
const char *http1_reason_phrase(int status);

#endif
