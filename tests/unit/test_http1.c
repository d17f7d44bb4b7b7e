/* Tests of HTTP/1.1 connections on loopback: framing, and how they end. */
#include <arpa/inet.h>
#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "adapters/http1/http1.h"

#define LOOP_ITERATIONS_MAX 20000 /* up to 0.1 ms each */

/* One end is an http1_t, the other a plain socket for the test. */
typedef struct fixture {
	uv_loop_t loop;
	uv_tcp_t listener;
	uv_timer_t wakeup_timer; /* wakes the loop */
	uint16_t port;
	http1_t *conn;
	int fd; /* the test's socket */
	GString *body;
	unsigned int heads;
	unsigned int messages;
	int status;
	bool ended;
	http1_end_t end;
	char *target;
} fixture_t;

static void on_connected(void *ctx)
{
	(void)ctx;
}

static void on_head(void *ctx, const http1_head_t *head)
{
	fixture_t *fixture = ctx;

	fixture->heads++;
	fixture->status = head->status;
	g_free(fixture->target);
	fixture->target = g_strdup(head->target);
}

static void on_body(void *ctx, const char *data, size_t len)
{
	g_string_append_len(((fixture_t *)ctx)->body, data, (gssize)len);
}

static void on_message(void *ctx)
{
	((fixture_t *)ctx)->messages++;
}

static void on_end(void *ctx, http1_end_t end)
{
	fixture_t *fixture = ctx;

	fixture->ended = true;
	fixture->end = end;
	fixture->conn = NULL;
}

static const http1_events_t events = { on_connected, on_head, on_body,
				       on_message, on_end };

static void on_accept(uv_stream_t *listener, int status)
{
	fixture_t *fixture = listener->data;

	assert_int_equal(status, 0);
	fixture->conn =
		http1_create(&fixture->loop, HTTP1_SERVER, &events, fixture);
	http1_accept(fixture->conn, listener);
}

static void on_wakeup(uv_timer_t *timer)
{
	(void)timer;
}

static int setup(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	struct sockaddr_in addr;
	int len = sizeof(addr);

	uv_loop_init(&fixture->loop);
	uv_timer_init(&fixture->loop, &fixture->wakeup_timer);
	uv_timer_start(&fixture->wakeup_timer, on_wakeup, 1, 1);
	uv_tcp_init(&fixture->loop, &fixture->listener);
	fixture->listener.data = fixture;
	uv_ip4_addr("127.0.0.1", 0, &addr);
	uv_tcp_bind(&fixture->listener, (struct sockaddr *)&addr, 0);
	uv_listen((uv_stream_t *)&fixture->listener, 8, on_accept);
	uv_tcp_getsockname(&fixture->listener, (struct sockaddr *)&addr, &len);
	fixture->port = ntohs(addr.sin_port);
	fixture->body = g_string_new(NULL);
	*state = fixture;
	return 0;
}

static void close_handle(uv_handle_t *handle, void *ctx)
{
	(void)ctx;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

static int teardown(void **state)
{
	fixture_t *fixture = *state;

	if (fixture->conn)
		http1_close(fixture->conn);
	uv_run(&fixture->loop, UV_RUN_NOWAIT);
	uv_walk(&fixture->loop, close_handle, NULL);
	while (uv_run(&fixture->loop, UV_RUN_NOWAIT))
		continue;
	uv_loop_close(&fixture->loop);
	if (fixture->fd > 0)
		close(fixture->fd);
	g_string_free(fixture->body, TRUE);
	g_free(fixture->target);
	g_free(fixture);
	return 0;
}

#define WAIT_UNTIL(fixture, condition)                                     \
	do {                                                               \
		int iterations = 0;                                        \
		while (!(condition) && iterations++ < LOOP_ITERATIONS_MAX) \
			uv_run(&(fixture)->loop, UV_RUN_ONCE);             \
		assert_true(condition);                                    \
	} while (0)

/* Connects the test's socket to the server and sends LEN bytes. */
static void connect_to_server(fixture_t *fixture, const char *bytes, size_t len)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(fixture->port) };

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fixture->fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(connect(fixture->fd, (struct sockaddr *)&addr,
				 sizeof(addr)),
			 0);
	assert_int_equal(write(fixture->fd, bytes, len), len);
}

/* Connects an http1_t client to the test's socket. */
static void open_client(fixture_t *fixture)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);
	int listener = socket(AF_INET, SOCK_STREAM, 0);

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(listener, (struct sockaddr *)&addr, len), 0);
	assert_int_equal(listen(listener, 1), 0);
	getsockname(listener, (struct sockaddr *)&addr, &len);
	fixture->conn =
		http1_create(&fixture->loop, HTTP1_CLIENT, &events, fixture);
	http1_connect(fixture->conn, "127.0.0.1", ntohs(addr.sin_port));
	uv_run(&fixture->loop, UV_RUN_NOWAIT);
	fixture->fd = accept(listener, NULL, NULL);
	assert_true(fixture->fd > 0);
	close(listener);
	uv_run(&fixture->loop, UV_RUN_NOWAIT);
}

static void send_text(const fixture_t *fixture, const char *text)
{
	assert_int_equal(write(fixture->fd, text, strlen(text)), strlen(text));
}

static void reset_connection(fixture_t *fixture)
{
	struct linger now = { 1, 0 };

	setsockopt(fixture->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	close(fixture->fd);
	fixture->fd = 0;
}

static void test_chunked_request(void **state)
{
	static const char text[] = "POST /a?b HTTP/1.1\r\nHost: h\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n"
				   "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
	fixture_t *fixture = *state;

	connect_to_server(fixture, text, sizeof(text) - 1);
	WAIT_UNTIL(fixture, fixture->messages == 1);
	assert_string_equal(fixture->body->str, "abcde");
	assert_string_equal(fixture->target, "/a?b");
}

/*
 * Guards against request smuggling: two parsers may disagree on where an
 * ambiguous request ends. It is rejected, and nothing after it on the connection
 * is read.
 */
static void test_ambiguous_requests_are_rejected(void **state)
{
	static const char *const bad[] = {
		"POST / HTTP/1.1\r\nContent-Length: 4\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / "
		"HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 4\r\n"
		"Content-Length: 5\r\n\r\nabcd",
		"POST / HTTP/1.1\r\nContent-Length: 4\r\n"
		"Content-Length: 4\r\n\r\nabcd",
		"POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length : 4\r\n\r\nabcd",
		"POST / HTTP/1.1\r\nContent-Length: +4\r\n\r\nabcd",
		"POST / HTTP/1.1\r\nA: b\rC: d\r\n\r\n",
		"POST / HTTP/1.1\r\n A: b\r\n\r\n",
		"not http at all\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		char response[256] = "";
		fixture_t *fixture;

		setup(state);
		fixture = *state;
		connect_to_server(fixture, bad[i], strlen(bad[i]));
		WAIT_UNTIL(fixture, fixture->ended);
		assert_int_equal(fixture->messages, 0);
		assert_int_equal(fixture->end, HTTP1_END_PROTOCOL_ERROR);
		assert_true(read(fixture->fd, response, sizeof(response) - 1) > 0);
		assert_non_null(strstr(response, " 400 "));
		teardown(state);
	}
}

static void test_oversized_head_is_rejected(void **state)
{
	fixture_t *fixture = *state;
	GString *text = g_string_new("GET / HTTP/1.1\r\nA: ");
	char response[256] = "";

	for (int i = 0; i < 70000; i++)
		g_string_append_c(text, 'a');
	connect_to_server(fixture, text->str, text->len);
	g_string_free(text, TRUE);
	WAIT_UNTIL(fixture, fixture->ended);
	assert_int_equal(fixture->end, HTTP1_END_TOO_LARGE);
	assert_true(read(fixture->fd, response, sizeof(response) - 1) > 0);
	assert_non_null(strstr(response, " 431 "));
}

/* Pipelined requests wait until messages are resumed. */
static void test_paused_request_waits(void **state)
{
	static const char two[] = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
				  "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
	fixture_t *fixture = *state;

	connect_to_server(fixture, two, 0);
	WAIT_UNTIL(fixture, fixture->conn != NULL);
	http1_pause(fixture->conn);
	send_text(fixture, two);
	for (int i = 0; i < 20; i++)
		uv_run(&fixture->loop, UV_RUN_ONCE);
	assert_int_equal(fixture->messages, 0);
	http1_resume(fixture->conn);
	assert_int_equal(fixture->messages, 2);
	assert_string_equal(fixture->target, "/2");
}

/* A caller disconnects while its request is in progress. */
static void test_disconnect_is_detected_while_paused(void **state)
{
	static const char one[] = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
	fixture_t *fixture = *state;

	connect_to_server(fixture, one, sizeof(one) - 1);
	WAIT_UNTIL(fixture, fixture->messages == 1);
	http1_pause(fixture->conn);
	close(fixture->fd);
	fixture->fd = 0;
	WAIT_UNTIL(fixture, fixture->ended);
}

static void test_response_without_length(void **state)
{
	fixture_t *fixture = *state;

	open_client(fixture);
	http1_expect_response(fixture->conn, false);
	send_text(fixture, "HTTP/1.1 200 OK\r\n\r\nabc");
	WAIT_UNTIL(fixture, fixture->heads == 1);
	close(fixture->fd);
	fixture->fd = 0;
	WAIT_UNTIL(fixture, fixture->ended);
	assert_int_equal(fixture->messages, 1);
	assert_string_equal(fixture->body->str, "abc");
}

/*
 * Guards against taking the reset of a failed upstream for the end of a response
 * without a length: the caller would get a truncated response as complete.
 */
static void test_reset_truncates_response_without_length(void **state)
{
	fixture_t *fixture = *state;

	open_client(fixture);
	http1_expect_response(fixture->conn, false);
	send_text(fixture, "HTTP/1.1 200 OK\r\n\r\nabc");
	WAIT_UNTIL(fixture, fixture->heads == 1);
	reset_connection(fixture);
	WAIT_UNTIL(fixture, fixture->ended);
	assert_int_equal(fixture->messages, 0);
	assert_int_equal(fixture->end, HTTP1_END_TRUNCATED);
}

/* Guards against a reset that shows after the end of file, as the request is not read. */
static void test_end_before_request_is_received_truncates(void **state)
{
	fixture_t *fixture = *state;
	GString *head = g_string_new(
		"POST / HTTP/1.1\r\nContent-Length: 16000000\r\n\r\n");
	GByteArray *body = g_byte_array_sized_new(16000000);

	g_byte_array_set_size(body, 16000000);
	open_client(fixture);
	http1_expect_response(fixture->conn, false);
	http1_write_request(fixture->conn, head, body);
	send_text(fixture, "HTTP/1.1 200 OK\r\n\r\nabc");
	WAIT_UNTIL(fixture, fixture->heads == 1);
	shutdown(fixture->fd, SHUT_WR);
	WAIT_UNTIL(fixture, fixture->ended);
	assert_int_equal(fixture->messages, 0);
	assert_int_equal(fixture->end, HTTP1_END_TRUNCATED);
	g_byte_array_unref(body);
	g_string_free(head, TRUE);
}

/* The connection ends within a response that has a length or chunks. */
static void test_truncated_responses_are_reported(void **state)
{
	static const char *const truncated[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: "
		"chunked\r\n\r\n3\r\nabc\r\n",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(truncated); i++) {
		fixture_t *fixture;

		setup(state);
		fixture = *state;
		open_client(fixture);
		http1_expect_response(fixture->conn, false);
		send_text(fixture, truncated[i]);
		close(fixture->fd);
		fixture->fd = 0;
		WAIT_UNTIL(fixture, fixture->ended);
		assert_int_equal(fixture->messages, 0);
		assert_int_equal(fixture->end, HTTP1_END_TRUNCATED);
		teardown(state);
	}
}

/*
 * Guards against using unsolicited bytes of an idle connection as the response to
 * the next request, which could give a caller another caller's response.
 */
static void test_unsolicited_bytes_end_connection(void **state)
{
	fixture_t *fixture = *state;

	open_client(fixture);
	send_text(fixture, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	WAIT_UNTIL(fixture, fixture->ended);
	assert_int_equal(fixture->heads, 0);
	assert_int_equal(fixture->end, HTTP1_END_PROTOCOL_ERROR);
}

static void test_interim_response_is_skipped(void **state)
{
	fixture_t *fixture = *state;

	open_client(fixture);
	http1_expect_response(fixture->conn, false);
	send_text(fixture, "HTTP/1.1 100 Continue\r\n\r\n"
			   "HTTP/1.1 204 No Content\r\n\r\n");
	WAIT_UNTIL(fixture, fixture->messages == 1);
	assert_int_equal(fixture->heads, 1);
	assert_int_equal(fixture->status, 204);
}

/* Guards against bytes that are taken for a response, or for a part of the next one. */
static void test_invalid_statuses_end_connection(void **state)
{
	static const char *const heads[] = {
		"HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 000 None\r\n\r\n",
		"HTTP/1.1 099 Low\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 600 High\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 999 High\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
		fixture_t *fixture;

		setup(state);
		fixture = *state;
		open_client(fixture);
		http1_expect_response(fixture->conn, false);
		send_text(fixture, heads[i]);
		send_text(fixture, "helloHTTP/1.1 200 OK\r\n"
				   "Content-Length: 5\r\n\r\nworld");
		WAIT_UNTIL(fixture, fixture->ended);
		assert_int_equal(fixture->heads, 0);
		assert_int_equal(fixture->messages, 0);
		assert_string_equal(fixture->body->str, "");
		assert_int_equal(fixture->end, HTTP1_END_PROTOCOL_ERROR);
		teardown(state);
	}
}

/* Sends the repeated TEXT until the peer closes, or fails after LEN bytes. */
static void send_until_closed(fixture_t *fixture, const char *text, size_t len)
{
	GString *block = g_string_new(NULL);
	size_t sent = 0;

	while (block->len < 4096)
		g_string_append(block, text);
	while (!fixture->ended && sent < len) {
		ssize_t step = send(fixture->fd, block->str, block->len,
				    MSG_DONTWAIT | MSG_NOSIGNAL);

		/* A partial write shifts the text, which all parsers reject. */
		if (step > 0)
			assert_int_equal(step, block->len);
		sent += step > 0 ? (size_t)step : 0;
		uv_run(&fixture->loop, UV_RUN_NOWAIT);
	}
	g_string_free(block, TRUE);
	if (!fixture->ended)
		fail_msg("not ended after %zu bytes of: %s", sent, text);
}

/*
 * Guards against an upstream that occupies a request with bytes that never become
 * an answer. Each response begins as it should.
 */
static void test_endless_responses_end_connection(void **state)
{
	static const char chunked[] =
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
	static const struct {
		const char *begin;
		const char *first;
		const char *repeated;
		http1_end_t end;
	} cases[] = {
		{ "", "HTTP/1.1 200 OK\r\n", "A: bcdef\r\n", HTTP1_END_TOO_LARGE },
		{ "", "HTTP/1.1 200 OK\r\nA: ", "a", HTTP1_END_TOO_LARGE },
		{ "", "HTTP/1.1 200 ", "O", HTTP1_END_TOO_LARGE },
		{ "", "", "\r\n", HTTP1_END_TOO_LARGE },
		{ "", "", "HTTP/1.1 102 Processing\r\n\r\n", HTTP1_END_TOO_LARGE },
		{ "", "", "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n",
		  HTTP1_END_TOO_LARGE },
		{ chunked, "", "0", HTTP1_END_TOO_LARGE },
		{ chunked, "1;", "a", HTTP1_END_TOO_LARGE },
		{ chunked, "0\r\n", "A: b\r\n", HTTP1_END_TOO_LARGE },
		{ chunked, "0\r\nA: ", "a", HTTP1_END_TOO_LARGE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t *fixture;

		setup(state);
		fixture = *state;
		open_client(fixture);
		http1_expect_response(fixture->conn, false);
		send_text(fixture, cases[i].begin);
		send_text(fixture, cases[i].first);
		send_until_closed(fixture, cases[i].repeated, 1024 * 1024);
		assert_int_equal(fixture->messages, 0);
		assert_int_equal(fixture->end, cases[i].end);
		teardown(state);
	}
}

/* Guards against an idle connection that stays open while its upstream sends on. */
static void test_endless_blank_lines_end_idle_connection(void **state)
{
	fixture_t *fixture = *state;

	open_client(fixture);
	send_until_closed(fixture, "\r\n", 1024 * 1024);
	assert_int_equal(fixture->heads, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_chunked_request, setup,
						teardown),
		cmocka_unit_test(test_ambiguous_requests_are_rejected),
		cmocka_unit_test_setup_teardown(test_oversized_head_is_rejected,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_paused_request_waits,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_disconnect_is_detected_while_paused,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_response_without_length,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_reset_truncates_response_without_length,
						setup, teardown),
		cmocka_unit_test(test_truncated_responses_are_reported),
		cmocka_unit_test_setup_teardown(test_unsolicited_bytes_end_connection,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_interim_response_is_skipped,
						setup, teardown),
		cmocka_unit_test(test_invalid_statuses_end_connection),
		cmocka_unit_test_setup_teardown(test_end_before_request_is_received_truncates,
						setup, teardown),
		cmocka_unit_test(test_endless_responses_end_connection),
		cmocka_unit_test_setup_teardown(test_endless_blank_lines_end_idle_connection,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
