/*
 * Sends requests to model engines and plain services over HTTP, and probes
 * them.
 */
#ifndef PISTACHIO_UPSTREAM_HTTP_H
#define PISTACHIO_UPSTREAM_HTTP_H

#include <uv.h>

#include "ports/upstream.h"

typedef struct upstream_http upstream_http_t;

typedef struct upstream_http_config {
	void (*on_event)(void *ctx, const upstream_event_t *event);
	/* From probes, and from streams as they start. */
	void (*on_load)(void *ctx, const load_report_t *report);
	void *ctx;
} upstream_http_config_t;

upstream_http_t *upstream_http_create(uv_loop_t *loop,
				      const upstream_http_config_t *config);
void upstream_http_dispatch(upstream_http_t *http, const dispatch_t *dispatch);
void upstream_http_cancel(upstream_http_t *http, attempt_id_t attempt);
void upstream_http_probe(upstream_http_t *http, const char *vm_id,
			 const char *address, uint16_t port);

#endif
