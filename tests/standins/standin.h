/* Shared by the stand-ins: an HTTP server on an ephemeral port, and replies. */
#ifndef PISTACHIO_STANDIN_H
#define PISTACHIO_STANDIN_H

#include <jansson.h>
#include <uv.h>

#include "adapters/http_server.h"

typedef void (*standin_handler_t)(void *ctx, http_exchange_t *exchange);

http_server_t *standin_serve(uv_loop_t *loop, standin_handler_t handler, void *ctx);
void standin_run(uv_loop_t *loop);
void standin_reply_json(http_exchange_t *exchange, int status, json_t *body);
void standin_reply_text(http_exchange_t *exchange, int status, const char *etag,
			const char *body, size_t len);
json_t *standin_parse_body(http_exchange_t *exchange);
void standin_start_timer(uv_loop_t *loop, uint64_t delay_ms,
			 void (*run)(void *ctx), void *ctx);

#endif
