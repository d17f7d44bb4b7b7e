/* Tests of what callers get of responses that are none, or that end early. */
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "tests/harness/gateway_calls.h"

#define SEAL "X-Response-Seal: s0\r\n"
#define NEXT "HTTP/1.1 200 OK\r\n" SEAL "Content-Length: 5\r\n\r\nworld"
#define NEXT_STREAM                                                   \
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" SEAL \
	"Transfer-Encoding: chunked\r\n\r\n9\r\ndata: x\n\n\r\n0\r\n\r\n"
#define UPLOAD_BYTES 3000000 /* more than socket buffers hold */
#define ANSWER_MS 1500 /* well before the routes' timeout of 4 s */

/* Starts a gateway with one upstream, whose answers are given as text. */
static int setup(void **state)
{
	gateway_rig_t *rig = gateway_rig_create_sized(1, 1);

	rig->body_bytes_max = UPLOAD_BYTES;
	rig->upstreams[0].behavior = RIG_ENDLESS;
	rig->upstreams[0].endless_piece = " ";
	rig->upstreams[0].endless_gap_ms = 10000;
	rig_start_fleet(rig);
	*state = rig;
	return 0;
}

static int teardown(void **state)
{
	gateway_rig_destroy(*state);
	return 0;
}

/* Calls an upstream that answers with TEXT, and waits for the gateway's answer. */
static rig_caller_t *call(gateway_rig_t *rig, const char *path, const char *text)
{
	rig_caller_t *caller;

	rig->upstreams[0].endless_begin = text;
	caller = rig_call_at(rig, 0, "POST", path, "c1");
	RIG_UNTIL_WITHIN(rig, rig_has_received(caller, "\r\n\r\n"), ANSWER_MS);
	return caller;
}

/* Guards against callers that get bytes that are no response, alone or before another. */
static void test_invalid_statuses_are_no_answers(void **state)
{
	static const char *const answers[][2] = {
		{ "/unsafe/x", "HTTP/1.1 000 None\r\n" SEAL
			       "Content-Length: 5\r\n\r\nhello" },
		{ "/unsafe/x", "HTTP/1.1 000 None\r\n" SEAL
			       "Content-Length: 5\r\n\r\nhello" NEXT },
		{ "/unsafe/x", "HTTP/1.1 103 Early Hints\r\n" SEAL
			       "Content-Length: 5\r\n\r\nhello" NEXT },
		{ "/unsafe/x", "HTTP/1.1 600 High\r\n" SEAL
			       "Content-Length: 5\r\n\r\nhello" },
		{ "/once/x", "HTTP/1.1 000 None\r\n" SEAL
			     "Content-Length: 5\r\n\r\nhello" NEXT_STREAM },
		{ "/once/x", "HTTP/1.1 103 Early Hints\r\n" SEAL
			     "Content-Length: 5\r\n\r\nhello" NEXT_STREAM },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		rig_caller_t *caller;

		setup(state);
		caller = call(*state, answers[i][0], answers[i][1]);
		assert_true(rig_has_received(caller, "HTTP/1.1 502"));
		assert_false(rig_has_received(caller, "hello"));
		rig_caller_destroy(caller);
		teardown(state);
	}
}

/* Registers a listening socket as the only upstream. Returns it. */
static int listen_as_upstream(gateway_rig_t *rig)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	char spec[160];

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&addr, len), 0);
	assert_int_equal(listen(fd, 8), 0);
	getsockname(fd, (struct sockaddr *)&addr, &len);
	snprintf(spec, sizeof(spec),
		 "{\"service\":\"s\",\"address\":\"127.0.0.1:%u\",\"zone\":"
		 "\"a\","
		 "\"slots\":8,\"version\":\"v\",\"state\":\"ready\"}",
		 ntohs(addr.sin_port));
	rig_remove(rig, "servers", "u0");
	rig_put(rig, "servers", "early", spec);
	RIG_UNTIL(rig, rig_count_logged(rig, 0, "id=u0 stage=gone"));
	RIG_UNTIL(rig, rig_count_logged(rig, 0, "id=early stage=serving"));
	return fd;
}

/* Sends a call with a long body. */
static void send_upload(gateway_rig_t *rig, const rig_caller_t *caller,
			const char *path)
{
	GString *text = g_string_new(NULL);
	size_t sent = 0;

	g_string_printf(text,
			"POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: c1\r\n"
			"X-Deadline-Ms: 3000\r\nAuthorization: Bearer k\r\n"
			"Content-Length: %d\r\n\r\n",
			path, UPLOAD_BYTES);
	g_string_set_size(text, text->len + UPLOAD_BYTES);
	while (sent < text->len) {
		ssize_t step = send(caller->fd, text->str + sent,
				    text->len - sent, MSG_NOSIGNAL);

		sent += step > 0 ? (size_t)step : 0;
		rig_run_once(rig);
	}
	g_string_free(text, TRUE);
}

/*
 * Calls an upstream that answers with TEXT as the request arrives, ends the answer, and
 * resets the connection once its caller has an answer. Returns the caller.
 */
static rig_caller_t *call_early(gateway_rig_t *rig, int listener,
				const char *path, const char *text)
{
	rig_caller_t *caller = rig_call(rig, rig_port(rig, 0, "callers"), "");
	int fd;

	send_upload(rig, caller, path);
	RIG_UNTIL(rig, (fd = accept(listener, NULL, NULL)) >= 0);
	assert_int_equal(write(fd, text, strlen(text)), strlen(text));
	shutdown(fd, SHUT_WR);
	RIG_UNTIL_WITHIN(rig,
			 rig_is_closed(caller) ||
				 rig_has_received(caller, "HTTP/1.1 502"),
			 ANSWER_MS);
	close(fd);
	return caller;
}

/* Guards against a part of an answer that looks whole, as its upload was not read. */
static void test_early_answer_that_is_reset_is_not_whole(void **state)
{
	static const char *const answers[][3] = {
		{ "/unsafe/x", "HTTP/1.1 200 OK\r\n" SEAL "\r\npart", "part" },
		{ "/once/x",
		  "HTTP/1.1 200 OK\r\n" SEAL
		  "Content-Type: text/event-stream\r\n\r\ndata: x\n\n",
		  "\r\n0\r\n\r\n" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		rig_caller_t *caller;
		int listener;

		setup(state);
		listener = listen_as_upstream(*state);
		caller = call_early(*state, listener, answers[i][0], answers[i][1]);
		assert_false(rig_has_received(caller, answers[i][2]));
		rig_caller_destroy(caller);
		close(listener);
		teardown(state);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_early_answer_that_is_reset_is_not_whole),
		cmocka_unit_test(test_invalid_statuses_are_no_answers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
