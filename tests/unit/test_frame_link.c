/* Tests of frame links with peers that send or leave unread too much. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "adapters/frame_link.h"

#define FRAME_BYTES_MAX (1024 * 1024)
#define BLOCK_BYTES (64 * 1024)
#define SENT_BYTES_MAX ((size_t)64 * 1024 * 1024)
#define PEERS 20
#define PEERS_OPEN_MAX 4 /* with an incomplete frame of the largest size each */
#define LOOP_RUNS_MAX 20000

typedef struct fixture {
	uv_loop_t loop;
	uv_timer_t wakeup;
	frame_link_t *link;
	unsigned int frames;
	bool lost;
	bool unreachable;
} fixture_t;

static int on_frame(void *ctx, const char *data, size_t len)
{
	(void)data;
	(void)len;
	((fixture_t *)ctx)->frames++;
	return 0;
}

static void on_lost(void *ctx, const char *key)
{
	(void)key;
	((fixture_t *)ctx)->lost = true;
}

static void on_unreachable(void *ctx, const char *key)
{
	(void)key;
	((fixture_t *)ctx)->unreachable = true;
}

static void on_wakeup(uv_timer_t *timer)
{
	(void)timer;
}

static int setup(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	const frame_link_config_t config = { .address = "127.0.0.1",
					     .frame_max = FRAME_BYTES_MAX,
					     .on_frame = on_frame,
					     .on_lost = on_lost,
					     .on_unreachable = on_unreachable,
					     .ctx = fixture };
	pd_error_t err;

	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&fixture->loop);
	uv_timer_init(&fixture->loop, &fixture->wakeup);
	uv_timer_start(&fixture->wakeup, on_wakeup, 1, 1);
	fixture->link = frame_link_create(&fixture->loop, &config, &err);
	assert_non_null(fixture->link);
	*state = fixture;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *fixture = *state;

	frame_link_destroy(fixture->link);
	uv_close((uv_handle_t *)&fixture->wakeup, NULL);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(&fixture->loop), 0);
	g_free(fixture->link);
	g_free(fixture);
	return 0;
}

/* Returns a socket that is connected to the link, or listens if PORT is 0. */
static int open_socket(uint16_t port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (port) {
		assert_int_equal(connect(fd, (struct sockaddr *)&addr, sizeof(addr)),
				 0);
	} else {
		assert_int_equal(bind(fd, (struct sockaddr *)&addr, sizeof(addr)),
				 0);
		assert_int_equal(listen(fd, 1), 0);
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

/* Sends a part of a block; returns what was sent, or -1 if the connection is closed. */
static ssize_t send_part(int fd, const char *block, size_t len)
{
	ssize_t sent = send(fd, block, len, MSG_NOSIGNAL);

	return sent < 0 && errno == EAGAIN ? 0 : sent;
}

/* Guards against acknowledgements that pile up for a peer that does not read them. */
static void test_peer_that_reads_no_acknowledgements_is_closed(void **state)
{
	static const char frame[] = { 0, 0, 0, 1, 'a' };
	fixture_t *fixture = *state;
	int fd = open_socket(frame_link_port(fixture->link));
	GString *block = g_string_new(NULL);
	size_t offset = 0;
	size_t total = 0;
	ssize_t sent = 0;

	while (block->len < BLOCK_BYTES)
		g_string_append_len(block, frame, sizeof(frame));
	while (sent >= 0 && total < SENT_BYTES_MAX) {
		sent = send_part(fd, block->str + offset, block->len - offset);
		total += sent > 0 ? (size_t)sent : 0;
		offset = (offset + (size_t)MAX(sent, 0)) % block->len;
		uv_run(&fixture->loop, UV_RUN_NOWAIT);
	}
	assert_int_equal(sent, -1);
	assert_true(fixture->frames > 0);
	close(fd);
	g_string_free(block, TRUE);
}

/* Guards against frames that pile up for a peer that acknowledges and does not read. */
static void test_peer_that_acknowledges_and_does_not_read_is_closed(void **state)
{
	static const char acknowledgement[4];
	fixture_t *fixture = *state;
	int listener = open_socket(0);
	struct sockaddr_in addr = { 0 };
	socklen_t len = sizeof(addr);
	char *data = g_strnfill(BLOCK_BYTES, 'a');
	GBytes *body = g_bytes_new_take(data, BLOCK_BYTES);
	size_t total = 0;
	int fd = -1;

	getsockname(listener, (struct sockaddr *)&addr, &len);
	while (!fixture->lost && total < SENT_BYTES_MAX) {
		frame_link_send(fixture->link, "127.0.0.1",
				ntohs(addr.sin_port), body);
		total += BLOCK_BYTES;
		uv_run(&fixture->loop, UV_RUN_NOWAIT);
		if (fd < 0)
			fd = accept(listener, NULL, NULL);
		else
			(void)send_part(fd, acknowledgement,
					sizeof(acknowledgement));
	}
	assert_true(fixture->lost);
	assert_false(fixture->unreachable);
	close(fd);
	close(listener);
	g_bytes_unref(body);
}

/* Guards against incomplete frames that take too much memory together. */
static void test_incomplete_frames_have_a_common_limit(void **state)
{
	static const char head[] = { 0, 16, 0, 0 };
	fixture_t *fixture = *state;
	char *data = g_strnfill(FRAME_BYTES_MAX, 'a');
	size_t sent[PEERS] = { 0 };
	bool closed[PEERS] = { false };
	int fds[PEERS];
	unsigned int open = 0;

	for (int i = 0; i < PEERS; i++) {
		fds[i] = open_socket(frame_link_port(fixture->link));
		assert_int_equal(send(fds[i], head, sizeof(head), 0), sizeof(head));
	}
	for (int run = 0; run < LOOP_RUNS_MAX; run++) {
		for (int i = 0; i < PEERS; i++) {
			ssize_t len = send_part(fds[i], data,
						FRAME_BYTES_MAX - 1 - sent[i]);
			char byte;

			sent[i] += len > 0 ? (size_t)len : 0;
			/* A link without unread bytes is closed without a reset. */
			closed[i] |= len < 0 || recv(fds[i], &byte, 1, 0) == 0;
		}
		uv_run(&fixture->loop, UV_RUN_NOWAIT);
	}
	for (int i = 0; i < PEERS; i++) {
		open += !closed[i];
		close(fds[i]);
	}
	assert_in_range(open, 1, PEERS_OPEN_MAX);
	assert_int_equal(fixture->frames, 0);
	g_free(data);
}

/* Guards against a peer that is taken for slow although nobody listens there. */
static void test_refused_connection_is_unreachable(void **state)
{
	fixture_t *fixture = *state;
	GBytes *body = g_bytes_new_static("a", 1);

	frame_link_send(fixture->link, "127.0.0.1", 1, body);
	while (!fixture->lost)
		uv_run(&fixture->loop, UV_RUN_ONCE);
	assert_true(fixture->unreachable);
	g_bytes_unref(body);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_refused_connection_is_unreachable,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_peer_that_reads_no_acknowledgements_is_closed,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_peer_that_acknowledges_and_does_not_read_is_closed,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_incomplete_frames_have_a_common_limit,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
