/* The HTTP client: one object for each call, driven by h2o's callbacks. */
#include "adapters/http_client.h"

#include <glib.h>
#include <string.h>

#include "adapters/h2o_uv.h"

struct http_client {
	h2o_http1client_ctx_t ctx;
	h2o_timeout_t io_timeout;
};

struct http_call {
	h2o_http1client_t *h2o; /* NULL once h2o has freed it */
	http_call_handlers_t handlers;
	void *ctx;
	GString *bytes; /* of the request; must outlive its sending */
	h2o_iovec_t iov;
	GHashTable *headers; /* of the response, by lower-case name */
	bool starting; /* in http_call_start() */
	bool in_callback;
	bool cancelled;
	uv_timer_t *timer; /* reports a failed start from the loop */
};

/*
 * Returns a client whose calls fail after IO_TIMEOUT without any I/O. The caller
 * destroys it.
 */
http_client_t *http_client_create(uv_loop_t *loop, pd_time_t io_timeout)
{
	http_client_t *client = g_new0(http_client_t, 1);

	h2o_timeout_init(loop, &client->io_timeout,
			 (uint64_t)(io_timeout / PD_MSEC));
	client->ctx.loop = loop;
	client->ctx.io_timeout = &client->io_timeout;
	return client;
}

/*
 * Stops a client that has no calls in progress; NULL is allowed. Its memory is
 * not freed, because h2o closes its timer through the loop, which may not run
 * again.
 */
void http_client_destroy(http_client_t *client)
{
	if (client)
		uv_timer_stop(&client->io_timeout._backend.timer);
}

/* Frees a call, after its last handler. */
static void call_free(http_call_t *call)
{
	if (call->handlers.on_free)
		call->handlers.on_free(call->ctx);
	g_string_free(call->bytes, TRUE);
	if (call->headers)
		g_hash_table_unref(call->headers);
	g_free(call);
}

/*
 * Reports the end of a call unless it was cancelled, and frees it. ERRSTR is
 * NULL on success.
 */
static void call_finish(http_call_t *call, const char *errstr)
{
	pd_error_t err;

	call->h2o = NULL;
	if (!call->cancelled && !errstr)
		call->handlers.on_done(call->ctx, NULL);
	if (!call->cancelled && errstr) {
		pd_error_set(&err, PD_ERROR_IO, "HTTP call: %s", errstr);
		call->handlers.on_done(call->ctx, &err);
	}
	call_free(call);
}

/* Passes on the data of the body that has arrived. */
static int call_on_body(h2o_http1client_t *h2o, const char *errstr)
{
	http_call_t *call = h2o->data;
	h2o_buffer_t **input = &h2o->sock->input;

	call->in_callback = true;
	if ((*input)->size && call->handlers.on_body && !call->cancelled)
		call->handlers.on_body(call->ctx, (*input)->bytes, (*input)->size);
	h2o_buffer_consume(input, (*input)->size);
	call->in_callback = false;
	if (errstr) {
		call_finish(call, errstr == h2o_http1client_error_is_eos ? NULL
									 : errstr);
		return 0;
	}
	if (call->cancelled) {
		call_finish(call, NULL);
		return -1;
	}
	return 0;
}

/* Stores the headers of the response and reports its status. */
static h2o_http1client_body_cb call_on_head(h2o_http1client_t *h2o,
					    const char *errstr, int minor_version,
					    int status, h2o_iovec_t msg,
					    h2o_header_t *headers, size_t count,
					    int rlen)
{
	http_call_t *call = h2o->data;
	bool complete = errstr == h2o_http1client_error_is_eos;

	(void)minor_version;
	(void)msg;
	(void)rlen;
	if (errstr && !complete) {
		call_finish(call, errstr);
		return NULL;
	}
	call->headers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (size_t i = 0; i < count; i++)
		g_hash_table_replace(call->headers,
				     g_ascii_strdown(headers[i].name->base,
						     (gssize)headers[i].name->len),
				     g_strndup(headers[i].value.base,
					       headers[i].value.len));
	call->in_callback = true;
	if (call->handlers.on_head)
		call->handlers.on_head(call->ctx, call, status);
	call->in_callback = false;
	if (complete || call->cancelled) {
		call_finish(call, NULL);
		return NULL;
	}
	return call_on_body;
}

/* Frees a closed timer. */
static void timer_closed(uv_handle_t *timer)
{
	g_free(timer);
}

/* Reports a failure that occurred in http_call_start(). */
static void report_start_failure(uv_timer_t *timer)
{
	http_call_t *call = timer->data;

	uv_close((uv_handle_t *)timer, timer_closed);
	call_finish(call, "the connection could not be started");
}

/*
 * Sends the request, or reports that there is no connection; a failure within
 * http_call_start() is reported from the loop.
 */
static h2o_http1client_head_cb call_on_connect(h2o_http1client_t *h2o,
					       const char *errstr,
					       h2o_iovec_t **bufs,
					       size_t *count, int *is_head)
{
	http_call_t *call = h2o->data;

	if (errstr && call->starting) {
		call->h2o = NULL;
		call->timer = g_new0(uv_timer_t, 1);
		call->timer->data = call;
		uv_timer_init(h2o->ctx->loop, call->timer);
		uv_timer_start(call->timer, report_start_failure, 0, 0);
		return NULL;
	}
	if (errstr) {
		call_finish(call, errstr);
		return NULL;
	}
	call->in_callback = true;
	if (call->handlers.on_sending)
		call->handlers.on_sending(call->ctx);
	call->in_callback = false;
	if (call->cancelled) {
		call_finish(call, NULL);
		return NULL;
	}
	call->iov = h2o_iovec_init(call->bytes->str, call->bytes->len);
	*bufs = &call->iov;
	*count = 1;
	*is_head = 0;
	return call_on_head;
}

/* Returns the bytes of a request, owned by the caller. */
static GString *format_request(const http_request_t *request)
{
	GString *bytes = g_string_new(NULL);

	g_string_printf(bytes, "%s %s HTTP/1.1\r\nhost: %s:%u\r\n", request->method,
			request->path, request->address, request->port);
	g_string_append(bytes, "connection: close\r\n");
	for (size_t i = 0; i < request->header_count; i++)
		g_string_append_printf(bytes, "%s: %s\r\n",
				       request->headers[i].name,
				       request->headers[i].value);
	g_string_append_printf(bytes, "content-length: %zu\r\n\r\n",
			       request->body_len);
	if (request->body_len)
		g_string_append_len(bytes, request->body,
				    (gssize)request->body_len);
	return bytes;
}

/*
 * Starts a call; the request is copied. No handler runs before this returns. The
 * call frees itself after ON_DONE or when it is cancelled.
 */
http_call_t *http_call_start(http_client_t *client, const http_request_t *request,
			     const http_call_handlers_t *handlers, void *ctx)
{
	http_call_t *call = g_new0(http_call_t, 1);
	h2o_iovec_t host =
		h2o_iovec_init(request->address, strlen(request->address));

	call->handlers = *handlers;
	call->ctx = ctx;
	call->bytes = format_request(request);
	call->starting = true;
	h2o_http1client_connect(&call->h2o, call, &client->ctx, host,
				request->port, 0, call_on_connect);
	call->starting = false;
	if (call->timer)
		call->h2o = NULL;
	return call;
}

/* Cancels a call: only ON_FREE is still called. */
void http_call_cancel(http_call_t *call)
{
	call->cancelled = true;
	if (call->in_callback)
		return;
	if (call->h2o)
		h2o_http1client_cancel(call->h2o);
	if (call->timer)
		uv_close((uv_handle_t *)call->timer, timer_closed);
	call_free(call);
}

/* Returns a header of the response by its lower-case name, borrowed, or NULL. */
const char *http_call_header(const http_call_t *call, const char *name)
{
	return call->headers ? g_hash_table_lookup(call->headers, name) : NULL;
}
