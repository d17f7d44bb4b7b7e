/*
 * An HTTP/1.1 client for one address: complete calls with a timeout. Connections
 * are pooled, since each new one costs time and money.
 */
#ifndef PISTACHIO_HTTP1_CALL_H
#define PISTACHIO_HTTP1_CALL_H

#include "adapters/http1/http1.h"

typedef struct http1_client http1_client_t;

/* The result of a call. BODY is borrowed and NUL-terminated. */
typedef struct http1_reply {
	int status; /* 0: no complete response */
	bool sent; /* if STATUS is 0: the request may have been executed */
	const char *body;
	size_t len;
} http1_reply_t;

typedef void (*http1_on_reply_t)(void *ctx, const http1_reply_t *reply);
/* Called when a call ends, before its on_reply; ELAPSED_MS since its start. */
typedef void (*http1_on_done_t)(void *ctx, int status, uint64_t elapsed_ms);

/* A request; the strings are needed only during http1_client_call(). */
typedef struct http1_request {
	const char *method;
	const char *path;
	const char *headers; /* complete header lines; NULL: none */
	const char *body; /* NULL: none */
	uint64_t timeout_ms;
	http1_on_reply_t on_reply; /* once, unless the call is cancelled */
	void *ctx;
} http1_request_t;

http1_client_t *http1_client_create(uv_loop_t *loop, const char *address,
				    uint16_t port);
void http1_client_destroy(http1_client_t *client);
void http1_client_observe(http1_client_t *client, http1_on_done_t on_done,
			  void *ctx);
void http1_client_set_address(http1_client_t *client, const char *address,
			      uint16_t port);
void http1_client_call(http1_client_t *client, const http1_request_t *request);

#endif
