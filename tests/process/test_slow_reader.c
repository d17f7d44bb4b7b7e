/* Callers that don't read their streams. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>
#include <uv.h>

#include "adapters/caller_http.h"
#include "adapters/signing.h"

#define TOKEN_BYTES 16384
#define TOKENS 2000 /* 32 MB in all, more than socket buffers hold */
#define LOOP_RUNS_MAX 100000

typedef struct reader {
	uv_loop_t loop;
	caller_http_t *http;
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	caller_id_t caller; /* 0 until the request has arrived */
	bool disconnected; /* as reported to the core */
	GString *body; /* bytes received */
	bool stream_ended;
} reader_t;

static const char request_text[] =
	"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
	"authorization: Bearer k\r\ncontent-length: 71\r\n\r\n"
	"{\"model\":\"m\",\"stream\":true,"
	"\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]} ";

/* Stores the id of the caller. */
static void on_request(void *ctx, const caller_request_t *request)
{
	((reader_t *)ctx)->caller = request->caller;
}

/* Records that the caller was disconnected. */
static void on_disconnect(void *ctx, caller_id_t caller)
{
	(void)caller;
	((reader_t *)ctx)->disconnected = true;
}

/* Knows no other paths. */
static bool on_other_request(void *ctx, http_exchange_t *exchange)
{
	(void)ctx;
	(void)exchange;
	return false;
}

/* Sends the request. */
static void on_connected(uv_connect_t *connect, int status)
{
	reader_t *reader = connect->data;
	uv_buf_t buf = uv_buf_init((char *)request_text,
				   (unsigned int)strlen(request_text));

	assert_int_equal(status, 0);
	uv_write(&reader->write, connect->handle, &buf, 1, NULL);
}

/* Allocates a buffer, which on_read() frees. */
static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	*buf = uv_buf_init(g_malloc(size), (unsigned int)size);
}

/* Collects the response until its end. */
static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	reader_t *reader = stream->data;

	if (len > 0)
		g_string_append_len(reader->body, buf->base, len);
	g_free(buf->base);
	/* The last chunk of the answer, or the end of the connection. */
	if (len < 0 || g_str_has_suffix(reader->body->str, "\r\n0\r\n\r\n"))
		reader->stream_ended = true;
}

/* Starts a server and a client on one loop, and sends the request. */
static void reader_open(reader_t *reader)
{
	const caller_http_config_t config = { .address = "127.0.0.1",
					      .body_max = 4096,
					      .on_request = on_request,
					      .on_disconnect = on_disconnect,
					      .on_other_request = on_other_request,
					      .ctx = reader };
	struct sockaddr_in addr;
	pd_error_t err;

	signal(SIGPIPE, SIG_IGN);
	assert_int_equal(signing_init(&err), 0);
	uv_loop_init(&reader->loop);
	reader->body = g_string_new(NULL);
	reader->http = caller_http_create(&reader->loop, &config, &err);
	assert_non_null(reader->http);
	uv_ip4_addr("127.0.0.1", caller_http_port(reader->http), &addr);
	uv_tcp_init(&reader->loop, &reader->tcp);
	reader->tcp.data = reader;
	reader->connect.data = reader;
	uv_tcp_connect(&reader->connect, &reader->tcp,
		       (const struct sockaddr *)&addr, on_connected);
	for (int i = 0; i < LOOP_RUNS_MAX && !reader->caller; i++)
		uv_run(&reader->loop, UV_RUN_ONCE);
	assert_true(reader->caller > 0);
}

/* Sends tokens until the caller is disconnected; returns how many were sent. */
static unsigned int send_tokens(reader_t *reader)
{
	char *token = g_strnfill(TOKEN_BYTES, 't');
	unsigned int sent = 0;

	while (sent < TOKENS && !reader->disconnected) {
		caller_http_send_token(reader->http, reader->caller, "r-1",
				       sent++, token, TOKEN_BYTES);
		uv_run(&reader->loop, UV_RUN_NOWAIT);
	}
	g_free(token);
	return sent;
}

/*
 * A caller's machine is suspended during a long answer; its connection stays
 * open and reads nothing. The entry must disconnect it before the answer
 * exhausts its memory. When the machine resumes, it reads a stream that stops
 * after a complete event and has no final one, so it can resume the stream.
 */
static void test_stalled_reader_is_disconnected(void **state)
{
	reader_t *reader = g_new0(reader_t, 1);
	unsigned int sent;
	const char *last;

	(void)state;
	reader_open(reader);
	sent = send_tokens(reader);
	assert_true(reader->disconnected);
	assert_true(sent < TOKENS);
	uv_read_start((uv_stream_t *)&reader->tcp, on_alloc, on_read);
	for (int i = 0; i < LOOP_RUNS_MAX && !reader->stream_ended; i++)
		uv_run(&reader->loop, UV_RUN_ONCE);
	assert_true(reader->stream_ended);
	assert_null(strstr(reader->body->str, "[DONE]"));
	last = g_strrstr(reader->body->str, "id: r-1/");
	assert_non_null(last);
	assert_non_null(strstr(last, "}]}\n\n"));
	caller_http_destroy(reader->http);
	g_string_free(reader->body, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stalled_reader_is_disconnected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
