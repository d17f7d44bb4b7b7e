/*
 * An HTTP server with h2o on a libuv loop. It passes complete requests to a
 * handler, which replies to each at once, later, or with a stream.
 */
#ifndef PISTACHIO_HTTP_SERVER_H
#define PISTACHIO_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "core/error.h"

typedef struct http_server http_server_t;
typedef struct http_exchange http_exchange_t;

typedef struct http_header {
	const char *name; /* lower case */
	const char *value;
} http_header_t;

typedef struct http_server_config {
	const char *address;
	uint16_t port; /* 0: the kernel chooses */
	size_t body_max; /* bytes; a longer body is rejected with 413 */
	void (*on_request)(void *ctx, http_exchange_t *exchange);
	void *ctx;
} http_server_config_t;

http_server_t *http_server_create(uv_loop_t *loop,
				  const http_server_config_t *config,
				  pd_error_t *err);
uint16_t http_server_port(const http_server_t *server);
unsigned int http_server_open_exchanges(const http_server_t *server);
void http_server_drain(http_server_t *server);
void http_server_destroy(http_server_t *server);

const char *http_exchange_method(const http_exchange_t *exchange);
const char *http_exchange_path(const http_exchange_t *exchange);
const char *http_exchange_target(const http_exchange_t *exchange);
const char *http_exchange_query(const http_exchange_t *exchange, const char *name);
const char *http_exchange_header(const http_exchange_t *exchange, const char *name);
bool http_exchange_is_local(const http_exchange_t *exchange);
const char *http_exchange_body(const http_exchange_t *exchange, size_t *len);
void http_exchange_on_disconnect(http_exchange_t *exchange,
				 void (*on_disconnect)(void *ctx), void *ctx);
void http_exchange_reply(http_exchange_t *exchange, int status,
			 const http_header_t *headers, size_t count,
			 const char *body, size_t len);
void http_exchange_begin(http_exchange_t *exchange, int status,
			 const http_header_t *headers, size_t count);
void http_exchange_send(http_exchange_t *exchange, const char *data, size_t len);
void http_exchange_end(http_exchange_t *exchange);
void http_exchange_abort(http_exchange_t *exchange);
size_t http_exchange_pending(const http_exchange_t *exchange);
void http_exchange_truncate(http_exchange_t *exchange);
bool http_exchange_has_begun(const http_exchange_t *exchange);

#endif
