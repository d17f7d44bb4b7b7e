/*
 * The HTTP API for callers: chat completions for models, plain paths for
 * services, and problem documents for refusals. It is documented in docs/API.md.
 */
#ifndef PISTACHIO_CALLER_HTTP_H
#define PISTACHIO_CALLER_HTTP_H

#include <uv.h>

#include "adapters/http_server.h"
#include "core/error.h"
#include "ports/caller.h"
#include "ports/clock.h"

typedef struct caller_http caller_http_t;

typedef struct caller_http_config {
	const char *address;
	uint16_t port;
	size_t body_max; /* bytes of a request's body */
	void (*on_request)(void *ctx, const caller_request_t *request);
	void (*on_disconnect)(void *ctx, caller_id_t caller);
	/* Handles requests for other paths; returns false if the path is unknown. */
	bool (*on_other_request)(void *ctx, http_exchange_t *exchange);
	void *ctx;
} caller_http_config_t;

caller_http_t *caller_http_create(uv_loop_t *loop,
				  const caller_http_config_t *config,
				  pd_error_t *err);
void caller_http_destroy(caller_http_t *http);
uint16_t caller_http_port(const caller_http_t *http);
unsigned int caller_http_open_exchanges(const caller_http_t *http);
void caller_http_drain(caller_http_t *http);
void caller_http_send_token(caller_http_t *http, caller_id_t caller,
			    const char *request_id, uint64_t offset,
			    const char *data, size_t len);
void caller_http_end(caller_http_t *http, caller_id_t caller,
		     const char *request_id);
void caller_http_send_moved(caller_http_t *http, caller_id_t id,
			    const char *request_id, uint64_t offset);
void caller_http_answer(caller_http_t *http, caller_id_t caller,
			const char *request_id, int status, const char *data,
			size_t len, bool replayed);
void caller_http_refuse(caller_http_t *http, caller_id_t caller,
			const char *request_id, refusal_t refusal,
			refusal_reason_t reason, pd_time_t retry_after);

#endif
