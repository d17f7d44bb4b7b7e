/* Tests of a gateway whose upstreams or store send answers that never end. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "tests/harness/gateway_calls.h"

#define HEAD "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
#define LENGTH_HEAD HEAD "Content-Length: 1000000000\r\n\r\n"
#define CHUNKED_HEAD HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define STREAM_TYPE "Content-Type: text/event-stream\r\n"
#define STREAM_HEAD HEAD STREAM_TYPE "Transfer-Encoding: chunked\r\n\r\n"
#define FIRST_EVENT "f\r\nid: 1\ndata: a\n\n\r\n"
#define OTHER_HEAD \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: of-another-call\r\nContent-Length: "
#define CALLS 48 /* at a time; without a common limit they hold 16 MB each */
#ifdef __SANITIZE_ADDRESS__
#define GATEWAY_BYTES_MAX \
	((size_t)1000 * 1000 * 1000) /* it keeps freed memory */
#else
#define GATEWAY_BYTES_MAX ((size_t)110 * 1000 * 1000) /* a gateway has 120 MB */
#endif
#define ANSWER_MS_MAX 1500 /* calls have 3 s; endless answers are cut before */
#define OTHER_CALL_MS_MAX 1000
#define DEADLINE_MS 3000 /* of calls */
#define SLOW_GAP_MS 10
#define UPSTREAMS_MANY 12
#define UNREAD_STREAMS 80
#define RELAYED_STREAMS 32
#define UNREAD_ANSWERS 20 /* of RIG_LARGE_BYTES */
#define UNREAD_MS 2000
#define SOCKET_BYTES 4096
#define EVENT_BYTES 16384
#define UNREAD_READ_BYTES 16000000 /* more than socket buffers hold */
#define PIPELINING_CALLERS 4
#define BODY_BYTES (4 * 1024 * 1024)
#define BODIES 60
#define BODIES_MIN 14 /* that fit into 64 MB with what is being sent */
#define LARGE_BODY_BYTES (16 * 1024 * 1024)
#define LARGE_BODIES 4 /* that fit into 64 MB */
#define STILL_MS 300 /* less than gateways take for dead */
#define RESUMED_CALLS 6 /* enough for one at each upstream */

/* An answer without end; the log gives REASON, unless NULL. */
typedef struct endless {
	const char *begin;
	const char *piece;
	const char *reason;
} endless_t;

static const endless_t unstreamed[] = {
	{ HEAD "A: ", "a", "upstream's head too large" },
	{ "", "HTTP/1.1 102 Processing\r\n\r\n", "upstream's head too large" },
	{ CHUNKED_HEAD, "0", "upstream's head too large" },
	{ CHUNKED_HEAD "0\r\nA: ", "a", "upstream's head too large" },
	{ LENGTH_HEAD, "a", "answer too large" },
	{ HEAD "\r\n", "a", "answer too large" },
	{ OTHER_HEAD "1000000000\r\n\r\n", "a", "answers to other calls" },
	{ "", OTHER_HEAD "0\r\n\r\n", "answers to other calls" },
};

/* Answers that have not begun for the caller. */
static const endless_t streams[] = {
	{ STREAM_HEAD, "4\r\naaaa\r\n", "event too large" },
	{ STREAM_HEAD, "2\r\n\n\n\r\n", "event too large" },
	{ HEAD STREAM_TYPE "\r\n", "a", "event too large" },
};

/* Answers whose caller has received an event. */
static const endless_t begun_streams[] = {
	{ STREAM_HEAD FIRST_EVENT, "4\r\naaaa\r\n", "event too large" },
	{ STREAM_HEAD FIRST_EVENT "1;", "a", "upstream's head too large" },
};

/* Has calls to paths with "endless" get such answers, and others usual ones. */
static rig_behavior_t choose_behavior(void *ctx, const char *target)
{
	(void)ctx;
	if (strstr(target, "large"))
		return RIG_LARGE;
	return strstr(target, "endless") ? RIG_ENDLESS : RIG_ANSWER;
}

static int setup(void **state)
{
	gateway_rig_t *rig = gateway_rig_create_sized(1, RIG_UPSTREAMS);

	rig->choose_behavior = choose_behavior;
	rig_start_fleet(rig);
	*state = rig;
	return 0;
}

static int setup_many_upstreams(void **state)
{
	gateway_rig_t *rig = gateway_rig_create_sized(1, UPSTREAMS_MANY);

	rig->choose_behavior = choose_behavior;
	rig_start_fleet(rig);
	*state = rig;
	return 0;
}

/* Has the first of two gateways reach no upstream, so that it relays its calls. */
static int setup_cut_off(void **state)
{
	gateway_rig_t *rig = gateway_rig_create_sized(2, UPSTREAMS_MANY);
	rig_caller_t *caller = NULL;

	rig->choose_behavior = choose_behavior;
	rig_cut_off(rig, 0);
	rig_start_fleet(rig);
	while (!caller || !rig_has_received(caller, "from ")) {
		if (caller)
			rig_caller_destroy(caller);
		caller = rig_call_at(rig, 0, "POST", "/safe/x", "first");
		RIG_UNTIL(rig, rig_has_received(caller, "\r\n\r\n"));
	}
	rig_caller_destroy(caller);
	assert_true(rig_count_logged(rig, 0, " relay=") > 0);
	*state = rig;
	return 0;
}

static int teardown(void **state)
{
	gateway_rig_destroy(*state);
	return 0;
}

static void set_endless(gateway_rig_t *rig, const endless_t *endless)
{
	for (int i = 0; i < rig->upstream_count; i++) {
		rig->upstreams[i].endless_begin = endless->begin;
		rig->upstreams[i].endless_piece = endless->piece;
	}
}

/* Returns the resident bytes of the gateway that has most. */
static size_t gateway_bytes(const gateway_rig_t *rig)
{
	unsigned long most = 0;

	for (int i = 0; i < rig->gateway_count; i++) {
		char *path = g_strdup_printf("/proc/%d/statm",
					     (int)rig->gateways[i]->pid);
		char *text = NULL;
		unsigned long pages = 0;

		assert_true(g_file_get_contents(path, &text, NULL, NULL));
		assert_int_equal(sscanf(text, "%*u %lu", &pages), 1);
		most = MAX(most, pages);
		g_free(text);
		g_free(path);
	}
	return most * (size_t)sysconf(_SC_PAGESIZE);
}

static void check_memory(const gateway_rig_t *rig)
{
	assert_in_range(gateway_bytes(rig), 1, GATEWAY_BYTES_MAX);
}

/* Sends a call with a usual answer, and waits for that. */
static void check_serves(gateway_rig_t *rig, const char *id)
{
	rig_caller_t *caller = rig_call_at(rig, 0, "POST", "/unsafe/x", id);

	RIG_UNTIL_WITHIN(rig, rig_has_received(caller, "from "), OTHER_CALL_MS_MAX);
	rig_caller_destroy(caller);
}

/* Waits for the end of a call: RESPONSE, or the close of its connection if NULL. */
static void await_end(gateway_rig_t *rig, rig_caller_t *caller, const char *response)
{
	if (response)
		RIG_UNTIL_WITHIN(rig, rig_has_received(caller, response),
				 ANSWER_MS_MAX);
	else
		RIG_UNTIL_WITHIN(rig, rig_is_closed(caller), ANSWER_MS_MAX);
}

/* Makes one call for each answer to a route that allows no repetition. */
static void check_each(gateway_rig_t *rig, const endless_t *answers,
		       size_t count, const char *path, const char *response)
{
	/* The one that calls the upstream, also if the first relays to it. */
	int last = rig->gateway_count - 1;

	for (size_t i = 0; i < count; i++) {
		char *id = g_strdup_printf("%s-%zu", path + 1, i);
		char *usual = g_strdup_printf("usual-%s", id);
		int logged = rig_count_logged(rig, last, answers[i].reason);
		rig_caller_t *caller;

		set_endless(rig, &answers[i]);
		caller = rig_call_at(rig, 0, "POST", path, id);
		check_serves(rig, usual);
		await_end(rig, caller, response);
		check_memory(rig);
		assert_int_equal(rig_run_count(rig, id), 1);
		RIG_UNTIL(rig, rig_count_logged(rig, last, answers[i].reason) >
				       logged);
		/* The last chunk would make a stream look complete. */
		assert_null(strstr(caller->received->str, "\r\n0\r\n\r\n"));
		rig_caller_destroy(caller);
		g_free(usual);
		g_free(id);
	}
}

/* Guards against requests that endless answers occupy until their deadlines. */
static void test_endless_answers_end(void **state)
{
	check_each(*state, unstreamed, G_N_ELEMENTS(unstreamed),
		   "/unsafe/endless", "HTTP/1.1 502 ");
}

/* Guards against an event without end that is buffered without a limit. */
static void test_endless_events_end(void **state)
{
	check_each(*state, streams, G_N_ELEMENTS(streams), "/once/endless",
		   "HTTP/1.1 502 ");
	check_each(*state, begun_streams, G_N_ELEMENTS(begun_streams),
		   "/once/endless-begun", NULL);
}

/* Guards against a gateway that relays a call and keeps all of its answer. */
static void test_endless_answers_end_over_a_relay(void **state)
{
	test_endless_answers_end(state);
	test_endless_events_end(state);
}

/* Guards against slow answers without end that outlast their calls' deadlines. */
static void test_slow_endless_answers_end_at_the_deadline(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *callers[G_N_ELEMENTS(unstreamed)];
	uint64_t end = rig_now_ms() + DEADLINE_MS + ANSWER_MS_MAX;

	for (size_t i = 0; i < G_N_ELEMENTS(unstreamed); i++) {
		char id[32];

		set_endless(rig, &unstreamed[i]);
		for (int j = 0; j < rig->upstream_count; j++)
			rig->upstreams[j].endless_gap_ms = SLOW_GAP_MS;
		snprintf(id, sizeof(id), "slow-%zu", i);
		callers[i] = rig_call_at(rig, 0, "POST", "/unsafe/endless", id);
		RIG_UNTIL(rig, rig_run_count(rig, id) == 1);
	}
	check_serves(rig, "usual-slow");
	for (size_t i = 0; i < G_N_ELEMENTS(unstreamed); i++) {
		RIG_UNTIL_WITHIN(rig, rig_has_received(callers[i], "HTTP/1.1 50"),
				 end - rig_now_ms());
		rig_caller_destroy(callers[i]);
	}
}

/* Guards against a stream that is lost, though another upstream can resume it. */
static void test_stream_resumes_after_an_endless_event(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *callers[RESUMED_CALLS];

	set_endless(rig, &begun_streams[0]);
	rig->choose_behavior = NULL;
	rig->upstreams[0].behavior = RIG_ENDLESS;
	rig->upstreams[1].behavior = RIG_STREAM;
	rig->upstreams[2].behavior = RIG_STREAM;
	for (int i = 0; i < RESUMED_CALLS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "resumed-%d", i);
		callers[i] = rig_call_at(rig, 0, "POST", "/stream/x", id);
	}
	for (int i = 0; i < RESUMED_CALLS; i++) {
		RIG_UNTIL(rig, rig_has_received(callers[i], "\r\n0\r\n\r\n"));
		for (const char *event = "123456"; *event; event++) {
			char line[] = "\nid: 1\n";

			line[5] = *event;
			assert_non_null(strstr(callers[i]->received->str, line));
		}
		rig_caller_destroy(callers[i]);
	}
	assert_true(rig_count_logged(rig, 0,
				     "retry=1 reason=\"event too large\"") > 0);
}

/* Guards against a gateway whose memory many endless answers exhaust together. */
static void test_many_endless_answers_fit_into_memory(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *callers[CALLS];
	unsigned int open = CALLS;
	uint64_t end;

	set_endless(rig, &(endless_t){ .begin = LENGTH_HEAD, .piece = "a" });
	for (int i = 0; i < CALLS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "many-%d", i);
		callers[i] = rig_call_at(rig, 0, "POST", "/unsafe/endless", id);
	}
	check_serves(rig, "usual-many");
	for (end = rig_now_ms() + 2 * ANSWER_MS_MAX; open && rig_now_ms() < end;) {
		rig_run_once(rig);
		check_memory(rig);
		open = 0;
		for (int i = 0; i < CALLS; i++)
			open += !rig_has_received(callers[i], "HTTP/1.1 50");
	}
	assert_int_equal(open, 0);
	assert_true(rig_count_logged(rig, 0, "no memory for answers") > 0);
	for (int i = 0; i < CALLS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "many-%d", i);
		assert_in_range(rig_run_count(rig, id), 0, 1);
		rig_caller_destroy(callers[i]);
	}
	check_serves(rig, "usual-after");
}

/* Returns a chunk with one event. */
static const char *whole_event(void)
{
	static char chunk[EVENT_BYTES + 32];
	char *data = g_strnfill(EVENT_BYTES, 'a');

	snprintf(chunk, sizeof(chunk), "%x\r\ndata: %s\n\n\r\n",
		 EVENT_BYTES + 8, data);
	g_free(data);
	return chunk;
}

/* Runs the rig for a while in which its callers read nothing. */
static void leave_unread(gateway_rig_t *rig)
{
	uint64_t end = rig_now_ms() + UNREAD_MS;

	while (rig_now_ms() < end) {
		rig_run_once(rig);
		check_memory(rig);
	}
}

/* Connects to the gateway's port for WHAT; the socket receives little before it is read. */
static rig_caller_t *connect_unread(gateway_rig_t *rig, const char *what)
{
	rig_caller_t *caller = rig_call(rig, rig_port(rig, 0, what), "");
	const int bytes = SOCKET_BYTES;

	assert_int_equal(setsockopt(caller->fd, SOL_SOCKET, SO_RCVBUF, &bytes,
				    sizeof(bytes)),
			 0);
	return caller;
}

/* Makes calls for streams that are not read; the gateway's memory must bear them. */
static void check_unread_streams(gateway_rig_t *rig, int count)
{
	rig_caller_t *callers[UNREAD_STREAMS];

	set_endless(rig,
		    &(endless_t){ .begin = STREAM_HEAD, .piece = whole_event() });
	for (int i = 0; i < count; i++) {
		char id[32];

		snprintf(id, sizeof(id), "unread-%d", i);
		callers[i] = connect_unread(rig, "callers");
		rig_send_call(callers[i], "POST", "/once/endless", id);
	}
	leave_unread(rig);
	check_serves(rig, "usual-unread");
	for (int i = 0; i < count; i++)
		rig_caller_destroy(callers[i]);
	check_serves(rig, "usual-after");
}

/* Guards against a gateway that keeps all of a stream that its callers do not read. */
static void test_unread_streams_fit_into_memory(void **state)
{
	check_unread_streams(*state, UNREAD_STREAMS);
}

/* Guards against a gateway that keeps many complete answers for callers that do not read. */
static void test_unread_answers_fit_into_memory(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *callers[UNREAD_ANSWERS];

	for (int i = 0; i < UNREAD_ANSWERS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "large-%d", i);
		callers[i] = connect_unread(rig, "callers");
		rig_send_call(callers[i], "POST", "/unsafe/large", id);
		RIG_UNTIL(rig, rig_count_logged(rig, 0, " route=unsafe ") > i);
		check_memory(rig);
	}
	check_serves(rig, "usual-unread");
	for (int i = 0; i < UNREAD_ANSWERS; i++)
		rig_caller_destroy(callers[i]);
	check_serves(rig, "usual-after");
}

/* Guards against a gateway that keeps what it relays and its callers do not read. */
static void test_unread_answers_over_a_relay_fit_into_memory(void **state)
{
	gateway_rig_t *rig = *state;

	/* Sockets between gateways hold more, and filling them takes the processor. */
	for (int i = 0; i < rig->upstream_count; i++)
		rig->upstreams[i].endless_gap_ms = 1;
	check_unread_streams(rig, RELAYED_STREAMS);
	test_unread_answers_fit_into_memory(state);
}

/* Guards against a gateway that pauses a stream for its caller and does not go on. */
static void test_stream_goes_on_after_its_caller_reads(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;
	size_t before;

	set_endless(rig,
		    &(endless_t){ .begin = STREAM_HEAD, .piece = whole_event() });
	caller = rig_call_at(rig, 0, "POST", "/once/endless", "goes-on");
	rig_run_for(rig, DEADLINE_MS / 3);
	rig_receive(caller);
	before = caller->received->len;
	RIG_UNTIL_WITHIN(rig,
			 (rig_receive(caller),
			  caller->received->len > before + UNREAD_READ_BYTES),
			 ANSWER_MS_MAX);
	rig_caller_destroy(caller);
}

/* Guards against the same of a stream that is relayed. */
static void test_relayed_stream_goes_on_after_its_caller_reads(void **state)
{
	test_stream_goes_on_after_its_caller_reads(state);
}

/* Sends as much of TEXT as the socket takes, from OFFSET on; returns the next offset. */
static size_t send_some(rig_caller_t *caller, const GString *text, size_t offset)
{
	ssize_t len = send(caller->fd, text->str + offset, text->len - offset,
			   MSG_NOSIGNAL);

	return len < 0 ? offset : (offset + (size_t)len) % text->len;
}

/* Sends requests on connections, on and on, without reading the answers. */
static void check_pipelined(gateway_rig_t *rig, const char *what, const char *text)
{
	rig_caller_t *callers[PIPELINING_CALLERS];
	size_t offsets[PIPELINING_CALLERS] = { 0 };
	GString *block = g_string_new(NULL);
	uint64_t start = rig_now_ms();

	while (block->len < RIG_ENDLESS_BLOCK)
		g_string_append(block, text);
	for (int i = 0; i < PIPELINING_CALLERS; i++)
		callers[i] = rig_call(rig, rig_port(rig, 0, what), "");
	/* What has arrived while the gateway stood still is read at once. */
	process_signal(rig->gateways[0], SIGSTOP);
	while (rig_now_ms() < start + STILL_MS + UNREAD_MS) {
		for (int i = 0; i < PIPELINING_CALLERS; i++)
			offsets[i] = send_some(callers[i], block, offsets[i]);
		rig_run_once(rig);
		if (rig_now_ms() >= start + STILL_MS)
			process_signal(rig->gateways[0], SIGCONT);
		check_memory(rig);
	}
	for (int i = 0; i < PIPELINING_CALLERS; i++)
		rig_caller_destroy(callers[i]);
	RIG_UNTIL(rig, rig_is_ready(rig, 0));
	check_serves(rig, "usual-pipelined");
	g_string_free(block, TRUE);
}

/* Guards against answers that pile up for callers that send requests without end. */
static void test_unread_answers_to_pipelined_requests(void **state)
{
	check_pipelined(*state, "callers", "GET / HTTP/1.1\r\n\r\n");
}

/* Guards against the same on the port of the health check. */
static void test_unread_answers_of_the_health_check(void **state)
{
	check_pipelined(*state, "health", "GET /metrics HTTP/1.1\r\n\r\n");
}

/* Sends the rest of callers' requests TEXT; returns once all are sent, or fails. */
static void send_all(gateway_rig_t *rig, rig_caller_t **callers,
		     size_t *offsets, const GString *text, size_t end)
{
	uint64_t deadline = rig_now_ms() + RIG_TIMEOUT_MS;

	for (bool sent = false; !sent;) {
		assert_true(rig_now_ms() < deadline);
		rig_run_once(rig);
		check_memory(rig);
		sent = true;
		for (int i = 0; i < BODIES; i++) {
			ssize_t len = send(callers[i]->fd, text->str + offsets[i],
					   end - offsets[i], MSG_NOSIGNAL);

			offsets[i] += len > 0 ? (size_t)len : 0;
			sent &= offsets[i] == end;
		}
	}
}

/* Guards against bodies that take too much memory together before they are complete. */
static void test_bodies_that_are_read_fit_into_memory(void **state)
{
	gateway_rig_t *rig = *state;
	GString *text = g_string_new(NULL);
	char *body = g_strnfill(BODY_BYTES, 'b');
	rig_caller_t *callers[BODIES];
	size_t offsets[BODIES] = { 0 };
	unsigned int refused = 0;

	rig->body_bytes_max = BODY_BYTES;
	rig_put_config(rig, 2, "");
	RIG_UNTIL(rig, rig_count_logged(rig, 0, "config=2") > 0);
	g_string_printf(text,
			"POST /unsafe/x HTTP/1.1\r\nHost: h\r\n"
			"Authorization: Bearer k\r\nContent-Length: "
			"%d\r\n\r\n%s",
			BODY_BYTES, body);
	for (int i = 0; i < BODIES; i++)
		callers[i] = rig_call(rig, rig_port(rig, 0, "callers"), "");
	send_all(rig, callers, offsets, text, text->len - 1);
	check_serves(rig, "usual-body");
	/* One after the other, as their upstreams have few slots. */
	for (int i = 0; i < BODIES; i++) {
		rig_send(callers[i], "b");
		RIG_UNTIL(rig, rig_has_received(callers[i], "\r\n\r\n"));
		check_memory(rig);
		if (rig_has_received(callers[i], "HTTP/1.1 503 "))
			refused++;
		else
			assert_true(rig_has_received(callers[i], "from "));
		rig_caller_destroy(callers[i]);
	}
	assert_in_range(refused, 1, BODIES - BODIES_MIN);
	check_serves(rig, "usual-after");
	g_free(body);
	g_string_free(text, TRUE);
}

/* Has upstreams read nothing from new connections, and receive little, or as usual. */
static void set_deaf(gateway_rig_t *rig, bool deaf)
{
	for (int i = 0; i < rig->upstream_count; i++) {
		uv_handle_t *listener = (uv_handle_t *)&rig->upstreams[i].listener;
		int bytes = SOCKET_BYTES;

		rig->upstreams[i].deaf = deaf;
		if (deaf)
			assert_int_equal(uv_recv_buffer_size(listener, &bytes), 0);
	}
}

/* Guards against bodies that are kept twice as their upstreams do not read them. */
static void test_bodies_that_upstreams_do_not_read_fit_into_memory(void **state)
{
	gateway_rig_t *rig = *state;
	char *body = g_strnfill(LARGE_BODY_BYTES, 'b');
	rig_caller_t *callers[LARGE_BODIES];

	rig->body_bytes_max = LARGE_BODY_BYTES;
	rig_put_config(rig, 2, "");
	RIG_UNTIL(rig, rig_count_logged(rig, 0, "config=2") > 0);
	set_deaf(rig, true);
	for (int i = 0; i < LARGE_BODIES; i++) {
		GString *text = g_string_new(NULL);
		size_t sent = 0;

		g_string_printf(text,
				"POST /unsafe/x HTTP/1.1\r\nHost: h\r\n"
				"X-Deadline-Ms: 3000\r\n"
				"Authorization: Bearer k\r\n"
				"Content-Length: %d\r\n\r\n%s",
				LARGE_BODY_BYTES, body);
		callers[i] = rig_call(rig, rig_port(rig, 0, "callers"), "");
		while (sent < text->len) {
			ssize_t len = send(callers[i]->fd, text->str + sent,
					   text->len - sent, MSG_NOSIGNAL);

			sent += len > 0 ? (size_t)len : 0;
			rig_run_once(rig);
			check_memory(rig);
		}
		g_string_free(text, TRUE);
	}
	for (int i = 0; i < LARGE_BODIES; i++) {
		RIG_UNTIL(rig, (check_memory(rig),
				rig_has_received(callers[i], "HTTP/1.1 50")));
		rig_caller_destroy(callers[i]);
	}
	set_deaf(rig, false);
	check_serves(rig, "usual-after");
	g_free(body);
}

/* Guards against an upstream that uses its connection to send on after an answer. */
static void test_answer_goes_on_after_its_length(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;

	set_endless(rig,
		    &(endless_t){ .begin = HEAD "Content-Length: 2\r\n\r\nok",
				  .piece = "\r\n" });
	caller = rig_call_at(rig, 0, "POST", "/unsafe/endless", "goes-on");
	await_end(rig, caller, "\r\n\r\nok");
	for (int i = 0; i < rig->upstream_count; i++)
		RIG_UNTIL_WITHIN(rig, list_empty(&rig->upstreams[i].sessions),
				 ANSWER_MS_MAX);
	check_serves(rig, "usual");
	rig_caller_destroy(caller);
}

/* Guards against a store whose answers exhaust the gateway's memory. */
static void test_store_answers_without_end(void **state)
{
	gateway_rig_t *rig = *state;
	uint64_t end = rig_now_ms() + 4000;

	rig->stores[0].endless_begin = LENGTH_HEAD;
	rig->stores[0].endless_piece = "a";
	rig->stores[0].behavior = RIG_ENDLESS;
	while (rig_now_ms() < end) {
		rig_run_once(rig);
		check_memory(rig);
	}
	check_serves(rig, "meanwhile");
	rig->stores[0].behavior = RIG_ANSWER;
	rig_put_config(rig, 2, "");
	RIG_UNTIL(rig, rig_count_logged(rig, 0, "config=2") > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_endless_answers_end, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_endless_events_end, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_slow_endless_answers_end_at_the_deadline,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_stream_resumes_after_an_endless_event,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_many_endless_answers_fit_into_memory,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_unread_streams_fit_into_memory,
						setup_many_upstreams, teardown),
		cmocka_unit_test_setup_teardown(test_unread_answers_fit_into_memory,
						setup_many_upstreams, teardown),
		cmocka_unit_test_setup_teardown(test_stream_goes_on_after_its_caller_reads,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_relayed_stream_goes_on_after_its_caller_reads,
			setup_cut_off, teardown),
		cmocka_unit_test_setup_teardown(test_endless_answers_end_over_a_relay,
						setup_cut_off, teardown),
		cmocka_unit_test_setup_teardown(test_unread_answers_over_a_relay_fit_into_memory,
						setup_cut_off, teardown),
		cmocka_unit_test_setup_teardown(test_unread_answers_to_pipelined_requests,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_unread_answers_of_the_health_check,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_bodies_that_are_read_fit_into_memory,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_bodies_that_upstreams_do_not_read_fit_into_memory,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_answer_goes_on_after_its_length,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_store_answers_without_end,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
