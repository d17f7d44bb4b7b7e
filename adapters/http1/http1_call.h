/*
 * Whole calls to one address: a request, an answer, a timeout. Connections are
 * kept for the next call, as each new one costs time and money.
 */
#ifndef PISTACHIO_HTTP1_CALL_H
#define PISTACHIO_HTTP1_CALL_H

#include "adapters/http1/http1.h"

typedef struct http1_client http1_client_t;

/* How a call ended. BODY is borrowed and ends with a zero byte. */
typedef struct http1_reply {
	int status; /* 0: there was no whole answer */
	bool sent; /* without an answer: it may have been done */
	const char *body;
	size_t len;
} http1_reply_t;

typedef void (*http1_on_reply_t)(void *ctx, const http1_reply_t *reply);
/* Is told of each call's end before its caller is; ELAPSED_MS since it was made. */
typedef void (*http1_on_done_t)(void *ctx, int status, uint64_t elapsed_ms);

typedef struct http1_request {
	const char *method;
	const char *path;
	const char *headers; /* whole lines; NULL: none */
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
