/*
 * HTTP calls with h2o's client on a libuv loop. Each call has its own
 * connection, so that a connection that hangs affects only that call.
 */
#ifndef PISTACHIO_HTTP_CLIENT_H
#define PISTACHIO_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "adapters/http_server.h"
#include "core/error.h"
#include "ports/clock.h"

typedef struct http_client http_client_t;
typedef struct http_call http_call_t;

typedef struct http_request {
	const char *address; /* IPv4, numeric */
	uint16_t port;
	const char *method;
	const char *path; /* with the query, percent-encoded */
	const http_header_t *headers;
	size_t header_count;
	const char *body;
	size_t body_len;
} http_request_t;

/*
 * The handlers of a call. ON_DONE is called last, once, unless the call is
 * cancelled. ON_FREE follows in either case, when no other handler of the call
 * is running, and may free CTX. All but ON_DONE may be NULL.
 */
typedef struct http_call_handlers {
	void (*on_sending)(void *ctx); /* connected; the request is sent next */
	void (*on_head)(void *ctx, http_call_t *call, int status);
	void (*on_body)(void *ctx, const char *data, size_t len);
	void (*on_done)(void *ctx, const pd_error_t *err); /* NULL: complete */
	void (*on_free)(void *ctx);
} http_call_handlers_t;

http_client_t *http_client_create(uv_loop_t *loop, pd_time_t io_timeout);
void http_client_destroy(http_client_t *client);
http_call_t *http_call_start(http_client_t *client, const http_request_t *request,
			     const http_call_handlers_t *handlers, void *ctx);
void http_call_cancel(http_call_t *call);
const char *http_call_header(const http_call_t *call, const char *name);

#endif
