/* HTTP/1.1 connections on loopback: what is let in, and how ends are told. */
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

#define TURNS_MAX 20000 /* of the loop, at most a tenth of a millisecond each */

/* One end is an http1_t, the other a plain socket that the test writes to. */
typedef struct rig {
	uv_loop_t loop;
	uv_tcp_t listener;
	uv_timer_t pacer; /* keeps the loop turning */
	uint16_t port;
	http1_t *conn;
	int fd; /* the test's end */
	GString *body;
	unsigned int heads;
	unsigned int messages;
	int status;
	bool ended;
	http1_end_t end;
	char *target;
} rig_t;

static void on_connected(void *ctx)
{
	(void)ctx;
}

static void on_head(void *ctx, const http1_head_t *head)
{
	rig_t *rig = ctx;

	rig->heads++;
	rig->status = head->status;
	g_free(rig->target);
	rig->target = g_strdup(head->target);
}

static void on_body(void *ctx, const char *data, size_t len)
{
	g_string_append_len(((rig_t *)ctx)->body, data, (gssize)len);
}

static void on_message(void *ctx)
{
	((rig_t *)ctx)->messages++;
}

static void on_end(void *ctx, http1_end_t end)
{
	rig_t *rig = ctx;

	rig->ended = true;
	rig->end = end;
	rig->conn = NULL;
}

static const http1_events_t events = { on_connected, on_head, on_body,
				       on_message, on_end };

static void on_accept(uv_stream_t *listener, int status)
{
	rig_t *rig = listener->data;

	assert_int_equal(status, 0);
	rig->conn = http1_create(&rig->loop, HTTP1_SERVER, &events, rig);
	http1_accept(rig->conn, listener);
}

static void on_pace(uv_timer_t *timer)
{
	(void)timer;
}

static int setup(void **state)
{
	rig_t *rig = g_new0(rig_t, 1);
	struct sockaddr_in addr;
	int len = sizeof(addr);

	uv_loop_init(&rig->loop);
	uv_timer_init(&rig->loop, &rig->pacer);
	uv_timer_start(&rig->pacer, on_pace, 1, 1);
	uv_tcp_init(&rig->loop, &rig->listener);
	rig->listener.data = rig;
	uv_ip4_addr("127.0.0.1", 0, &addr);
	uv_tcp_bind(&rig->listener, (struct sockaddr *)&addr, 0);
	uv_listen((uv_stream_t *)&rig->listener, 8, on_accept);
	uv_tcp_getsockname(&rig->listener, (struct sockaddr *)&addr, &len);
	rig->port = ntohs(addr.sin_port);
	rig->body = g_string_new(NULL);
	*state = rig;
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
	rig_t *rig = *state;

	if (rig->conn)
		http1_close(rig->conn);
	uv_run(&rig->loop, UV_RUN_NOWAIT);
	uv_walk(&rig->loop, close_handle, NULL);
	while (uv_run(&rig->loop, UV_RUN_NOWAIT))
		continue;
	uv_loop_close(&rig->loop);
	if (rig->fd > 0)
		close(rig->fd);
	g_string_free(rig->body, TRUE);
	g_free(rig->target);
	g_free(rig);
	return 0;
}

#define TURN_UNTIL(rig, condition)                          \
	do {                                                \
		int turns = 0;                              \
		while (!(condition) && turns++ < TURNS_MAX) \
			uv_run(&(rig)->loop, UV_RUN_ONCE);  \
		assert_true(condition);                     \
	} while (0)

/* Connects the test's socket to a server side and sends it bytes. */
static void call_server(rig_t *rig, const char *bytes, size_t len)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(rig->port) };

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	rig->fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(connect(rig->fd, (struct sockaddr *)&addr, sizeof(addr)),
			 0);
	assert_int_equal(write(rig->fd, bytes, len), len);
}

/* Connects a client side to a socket of the test. */
static void open_client(rig_t *rig)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);
	int listener = socket(AF_INET, SOCK_STREAM, 0);

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(listener, (struct sockaddr *)&addr, len), 0);
	assert_int_equal(listen(listener, 1), 0);
	getsockname(listener, (struct sockaddr *)&addr, &len);
	rig->conn = http1_create(&rig->loop, HTTP1_CLIENT, &events, rig);
	http1_connect(rig->conn, "127.0.0.1", ntohs(addr.sin_port));
	uv_run(&rig->loop, UV_RUN_NOWAIT);
	rig->fd = accept(listener, NULL, NULL);
	assert_true(rig->fd > 0);
	close(listener);
	uv_run(&rig->loop, UV_RUN_NOWAIT);
}

static void say(const rig_t *rig, const char *text)
{
	assert_int_equal(write(rig->fd, text, strlen(text)), strlen(text));
}

static void reset(rig_t *rig)
{
	struct linger now = { 1, 0 };

	setsockopt(rig->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	close(rig->fd);
	rig->fd = 0;
}

static void test_a_request_in_chunks(void **state)
{
	static const char text[] = "POST /a?b HTTP/1.1\r\nHost: h\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n"
				   "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
	rig_t *rig = *state;

	call_server(rig, text, sizeof(text) - 1);
	TURN_UNTIL(rig, rig->messages == 1);
	assert_string_equal(rig->body->str, "abcde");
	assert_string_equal(rig->target, "/a?b");
}

/*
 * A request that can be read in two ways hides another one in its body from one
 * of the readers. Each is refused, and nothing after it on that connection is
 * read.
 */
static void test_ambiguous_requests_are_refused(void **state)
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
		char answer[256] = "";
		rig_t *rig;

		setup(state);
		rig = *state;
		call_server(rig, bad[i], strlen(bad[i]));
		TURN_UNTIL(rig, rig->ended);
		assert_int_equal(rig->messages, 0);
		assert_int_equal(rig->end, HTTP1_END_PROTOCOL);
		assert_true(read(rig->fd, answer, sizeof(answer) - 1) > 0);
		assert_non_null(strstr(answer, " 400 "));
		teardown(state);
	}
}

static void test_a_long_head_is_refused(void **state)
{
	rig_t *rig = *state;
	GString *text = g_string_new("GET / HTTP/1.1\r\nA: ");
	char answer[256] = "";

	for (int i = 0; i < 70000; i++)
		g_string_append_c(text, 'a');
	call_server(rig, text->str, text->len);
	g_string_free(text, TRUE);
	TURN_UNTIL(rig, rig->ended);
	assert_int_equal(rig->end, HTTP1_END_TOO_LARGE);
	assert_true(read(rig->fd, answer, sizeof(answer) - 1) > 0);
	assert_non_null(strstr(answer, " 431 "));
}

/* The second request of a connection waits until the first is answered. */
static void test_a_held_request_waits(void **state)
{
	static const char two[] = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
				  "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
	rig_t *rig = *state;

	call_server(rig, two, 0);
	TURN_UNTIL(rig, rig->conn != NULL);
	http1_hold(rig->conn);
	say(rig, two);
	for (int i = 0; i < 20; i++)
		uv_run(&rig->loop, UV_RUN_ONCE);
	assert_int_equal(rig->messages, 0);
	http1_resume(rig->conn);
	assert_int_equal(rig->messages, 2);
	assert_string_equal(rig->target, "/2");
}

/* A caller hangs up while its request is in progress. */
static void test_a_hang_up_is_noticed_while_held(void **state)
{
	static const char one[] = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
	rig_t *rig = *state;

	call_server(rig, one, sizeof(one) - 1);
	TURN_UNTIL(rig, rig->messages == 1);
	http1_hold(rig->conn);
	close(rig->fd);
	rig->fd = 0;
	TURN_UNTIL(rig, rig->ended);
}

static void test_an_answer_without_a_length(void **state)
{
	rig_t *rig = *state;

	open_client(rig);
	http1_expect_message(rig->conn, false);
	say(rig, "HTTP/1.1 200 OK\r\n\r\nabc");
	TURN_UNTIL(rig, rig->heads == 1);
	close(rig->fd);
	rig->fd = 0;
	TURN_UNTIL(rig, rig->ended);
	assert_int_equal(rig->messages, 1);
	assert_string_equal(rig->body->str, "abc");
}

/*
 * An upstream dies while it sends an answer without a length. Taken for the end
 * of the answer, its caller would be given a part of it as the whole.
 */
static void test_a_reset_is_no_end_of_an_answer(void **state)
{
	rig_t *rig = *state;

	open_client(rig);
	http1_expect_message(rig->conn, false);
	say(rig, "HTTP/1.1 200 OK\r\n\r\nabc");
	TURN_UNTIL(rig, rig->heads == 1);
	reset(rig);
	TURN_UNTIL(rig, rig->ended);
	assert_int_equal(rig->messages, 0);
	assert_int_equal(rig->end, HTTP1_END_CUT);
}

/* The end of a connection in the middle of an answer with a length, or chunks. */
static void test_cut_answers_are_told(void **state)
{
	static const char *const cut[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: "
		"chunked\r\n\r\n3\r\nabc\r\n",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cut); i++) {
		rig_t *rig;

		setup(state);
		rig = *state;
		open_client(rig);
		http1_expect_message(rig->conn, false);
		say(rig, cut[i]);
		close(rig->fd);
		rig->fd = 0;
		TURN_UNTIL(rig, rig->ended);
		assert_int_equal(rig->messages, 0);
		assert_int_equal(rig->end, HTTP1_END_CUT);
		teardown(state);
	}
}

/*
 * An upstream sends bytes that nobody asked for on a kept connection. Given to
 * the next request, a caller would get another caller's answer.
 */
static void test_unasked_bytes_end_the_connection(void **state)
{
	rig_t *rig = *state;

	open_client(rig);
	say(rig, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	TURN_UNTIL(rig, rig->ended);
	assert_int_equal(rig->heads, 0);
	assert_int_equal(rig->end, HTTP1_END_PROTOCOL);
}

static void test_an_interim_answer_is_passed_over(void **state)
{
	rig_t *rig = *state;

	open_client(rig);
	http1_expect_message(rig->conn, false);
	say(rig, "HTTP/1.1 100 Continue\r\n\r\n"
		 "HTTP/1.1 204 No Content\r\n\r\n");
	TURN_UNTIL(rig, rig->messages == 1);
	assert_int_equal(rig->heads, 1);
	assert_int_equal(rig->status, 204);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_a_request_in_chunks, setup,
						teardown),
		cmocka_unit_test(test_ambiguous_requests_are_refused),
		cmocka_unit_test_setup_teardown(test_a_long_head_is_refused,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_held_request_waits,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_hang_up_is_noticed_while_held,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_an_answer_without_a_length,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_reset_is_no_end_of_an_answer,
						setup, teardown),
		cmocka_unit_test(test_cut_answers_are_told),
		cmocka_unit_test_setup_teardown(test_unasked_bytes_end_the_connection,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_an_interim_answer_is_passed_over,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
