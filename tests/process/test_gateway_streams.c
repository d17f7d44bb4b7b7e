/*
 * Tests of what callers receive of streams whose upstreams are killed, break off or ignore
 * Last-Event-Id: each event once and in order, of one version, and complete only with the
 * last one. SEEDS=N and FIRST_SEED=M choose the schedules of the last test.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "tests/harness/gateway_calls.h"

#define OLD "-old" /* versions, as they stand in the data of events */
#define NEW "-new"
#define KILLED_AFTER 3 /* events */
#define KILLED_AFTER_MS 70 /* the same, of a response that is not streamed */
#define SERIES_UPSTREAMS 5
#define SERIES_MS 4000
#define SERIES_SETTLE_MS 3500 /* calls have a deadline of 3 s */
#define ATTEMPTS_MAX 5 /* of a caller at a stream */

/* A stream of a caller, with the attempts that took it up. */
typedef struct stream {
	rig_caller_t *caller; /* of the current attempt; NULL: it is over */
	const char *path;
	char began[32]; /* id of the first attempt */
	GString *received; /* in the attempts before */
	int last; /* id of the last event of these */
	int attempts;
} stream_t;

/* A series of overlapping failures. */
typedef struct series {
	gateway_rig_t *rig;
	GRand *random;
	GPtrArray *streams; /* of stream_t */
	bool up[RIG_GATEWAYS];
	bool paused[RIG_GATEWAYS];
	int starts[RIG_GATEWAYS];
} series_t;

static void start_rig(void **state, int gateways, int upstreams,
		      rig_behavior_t behavior)
{
	gateway_rig_t *rig = gateway_rig_create_sized(gateways, upstreams);

	rig->first_start = true;
	for (int i = 0; i < upstreams; i++)
		rig->upstreams[i].behavior = behavior;
	rig_start_fleet(rig);
	*state = rig;
}

static int setup_unframed(void **state)
{
	start_rig(state, 1, 2, RIG_STREAM_UNFRAMED);
	return 0;
}

static int setup_series(void **state)
{
	start_rig(state, RIG_GATEWAYS, SERIES_UPSTREAMS, RIG_STREAM);
	return 0;
}

static int teardown(void **state)
{
	gateway_rig_destroy(*state);
	return 0;
}

/* Returns whether the response to a caller looks complete. */
static bool is_complete(const rig_caller_t *caller)
{
	static const char name[] = "Content-Length: ";
	const char *text = caller->received->str;
	const char *length = strstr(text, name);
	const char *body = strstr(text, "\r\n\r\n");

	if (strstr(text, "\r\n0\r\n\r\n"))
		return true;
	return length && body && length < body &&
	       strlen(body + 4) == strtoul(length + sizeof(name) - 1, NULL, 10);
}

static bool is_over(rig_caller_t *caller)
{
	return rig_is_closed(caller) || is_complete(caller);
}

/*
 * Checks that the events that a caller has received follow the one with id LAST, without a
 * gap, and that none is missing if the response is a success that looks complete. Returns
 * the last id.
 */
static int check_order(const rig_caller_t *caller, int last)
{
	const char *text = caller->received->str;

	for (const char *at = text; (at = strstr(at, "id: ")); at++) {
		char *end;
		long id = strtol(at + strlen("id: "), &end, 10);

		if (*end != '\n' || !strstr(end, "\n\n"))
			break;
		if (id != last + 1)
			fail_msg("event %ld after %d: %s", id, last, text);
		last = (int)id;
	}
	if (last != RIG_EVENTS && strstr(text, "HTTP/1.1 200") &&
	    is_complete(caller))
		fail_msg("complete with event %d: %s", last, text);
	return last;
}

/* Returns the number of the upstream that answers a caller. */
static int upstream_of(const rig_caller_t *caller)
{
	static const char name[] = "X-Response-Seal: s";

	return atoi(strstr(caller->received->str, name) + sizeof(name) - 1);
}

/* Kills the upstream of a stream after some events; returns its caller when that is over. */
static rig_caller_t *call_killed_stream(gateway_rig_t *rig, const char *path)
{
	rig_caller_t *caller = rig_call_at(rig, 0, "POST", path, "a1");

	RIG_UNTIL(rig, rig_has_received(caller, "id: 3\n"));
	rig_end_upstream(rig, upstream_of(caller));
	RIG_UNTIL(rig, is_over(caller));
	return caller;
}

/* The same for a call whose response is not streamed. */
static rig_caller_t *call_killed(gateway_rig_t *rig, const char *path)
{
	rig_caller_t *caller = rig_call_at(rig, 0, "POST", path, "a1");

	RIG_UNTIL(rig, rig_run_count(rig, "a1") == 1);
	rig_run_for(rig, KILLED_AFTER_MS);
	rig_end_upstream(rig, rig->upstreams[0].arrivals ? 0 : 1);
	RIG_UNTIL(rig, is_over(caller));
	return caller;
}

/* Guards against a stream without a length that looks complete as its upstream is killed. */
static void test_stream_of_killed_upstream_is_not_complete(void **state)
{
	rig_caller_t *caller = call_killed_stream(*state, "/once/");

	assert_int_equal(check_order(caller, 0), KILLED_AFTER);
	assert_int_equal(rig_run_count(*state, "a1"), 1);
	rig_caller_destroy(caller);
}

/* Guards against the same where the stream can go on at another upstream. */
static void test_stream_of_killed_upstream_is_resumed(void **state)
{
	rig_caller_t *caller = call_killed_stream(*state, "/stream/");

	assert_int_equal(check_order(caller, 0), RIG_EVENTS);
	assert_true(is_complete(caller));
	assert_int_equal(rig_run_count(*state, "a1"), 2);
	rig_caller_destroy(caller);
}

/* Guards against a part of a response without a length that is sent as the whole. */
static void test_unsafe_call_of_killed_upstream_fails(void **state)
{
	rig_caller_t *caller = call_killed(*state, "/unsafe/");

	assert_true(rig_has_received(caller, "HTTP/1.1 502"));
	assert_int_equal(rig_run_count(*state, "a1"), 1);
	rig_caller_destroy(caller);
}

/* Guards against the same where the call can be repeated. */
static void test_safe_call_of_killed_upstream_is_repeated(void **state)
{
	rig_caller_t *caller = call_killed(*state, "/safe/");

	assert_true(rig_has_received(caller, "HTTP/1.1 200"));
	assert_int_equal(check_order(caller, 0), RIG_EVENTS);
	assert_int_equal(rig_run_count(*state, "a1"), 2);
	rig_caller_destroy(caller);
}

/* Guards against another upstream at its address that is taken for the killed one. */
static void test_upstream_is_replaced_while_gateway_is_paused(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller = rig_call_at(rig, 0, "POST", "/once/", "a1");

	RIG_UNTIL(rig, rig_has_received(caller, "id: 3\n"));
	process_signal(rig->gateways[0], SIGSTOP);
	rig_end_upstream(rig, upstream_of(caller));
	rig_run_for(rig, RIG_RESTART_MS + 100);
	process_signal(rig->gateways[0], SIGCONT);
	RIG_UNTIL(rig, is_over(caller));
	check_order(caller, 0);
	rig_caller_destroy(caller);
}

/* Guards against whole responses without a length that are taken for broken. */
static void test_response_without_length_runs_once(void **state)
{
	static const char *const paths[] = { "/stream/", "/once/", "/safe/",
					     "/unsafe/" };

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		char id[8];
		rig_caller_t *caller;

		snprintf(id, sizeof(id), "a%zu", i);
		caller = rig_call_at(*state, 0, "POST", paths[i], id);
		RIG_UNTIL((gateway_rig_t *)*state, is_over(caller));
		assert_true(is_complete(caller));
		assert_int_equal(check_order(caller, 0), RIG_EVENTS);
		assert_int_equal(rig_run_count(*state, id), 1);
		rig_caller_destroy(caller);
	}
}

static void set_behaviors(gateway_rig_t *rig, rig_behavior_t behavior)
{
	for (int i = 0; i < rig->upstream_count; i++)
		rig->upstreams[i].behavior = behavior;
}

/* Guards against events that come twice as an upstream ignores Last-Event-Id. */
static void test_upstream_ignores_last_event_id(void **state)
{
	rig_caller_t *caller;

	set_behaviors(*state, RIG_STREAM_REPEAT);
	caller = call_killed_stream(*state, "/stream/");
	assert_int_equal(check_order(caller, 0), KILLED_AFTER);
	rig_caller_destroy(caller);
}

/* Guards against the same for a stream that its caller takes up. */
static void test_upstream_ignores_last_event_id_of_caller(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller = rig_call(rig, rig_port(rig, 0, "callers"), "");

	set_behaviors(rig, RIG_STREAM_REPEAT);
	rig_send_call_with(caller, "POST", "/stream/", "a1",
			   "Last-Event-Id: 2\r\n");
	RIG_UNTIL(rig, is_over(caller));
	assert_int_equal(check_order(caller, 2), 2);
	rig_caller_destroy(caller);
}

/* Guards against events that come twice as the last ones received had no id. */
static void test_stream_without_ids_is_not_resumed(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;

	set_behaviors(rig, RIG_STREAM_WITHOUT_IDS);
	caller = rig_call_at(rig, 0, "POST", "/stream/", "a1");
	RIG_UNTIL(rig, rig_has_received(caller, "data: e3\n"));
	rig_end_upstream(rig, upstream_of(caller));
	RIG_UNTIL(rig, is_over(caller));
	assert_false(is_complete(caller));
	assert_null(strstr(strstr(caller->received->str, "data: e3\n") + 1,
			   "data: e3\n"));
	rig_caller_destroy(caller);
}

/* Sends the next attempt of a stream to a random gateway that runs. */
static void send_attempt(series_t *series, stream_t *stream)
{
	int gateway = g_rand_int_range(series->random, 0, RIG_GATEWAYS);
	char id[32];
	char more[96] = "";

	while (!series->up[gateway])
		gateway = (gateway + 1) % RIG_GATEWAYS;
	snprintf(id, sizeof(id), "%p-%d", (void *)stream, stream->attempts++);
	if (stream->last)
		snprintf(more, sizeof(more), "Resumes: %s\r\nLast-Event-Id: %d\r\n",
			 stream->began, stream->last);
	else
		g_strlcpy(stream->began, id, sizeof(stream->began));
	stream->caller = rig_call(series->rig,
				  rig_port(series->rig, gateway, "callers"), "");
	rig_send_call_with(stream->caller, "POST", stream->path, id, more);
}

/* Begins a stream at a random route. */
static void begin_stream(series_t *series)
{
	static const char *const paths[] = { "/stream/", "/stream/", "/once/",
					     "/safe/" };
	stream_t *stream = g_new0(stream_t, 1);

	stream->path =
		paths[g_rand_int_range(series->random, 0, G_N_ELEMENTS(paths))];
	stream->received = g_string_new(NULL);
	g_ptr_array_add(series->streams, stream);
	send_attempt(series, stream);
}

/* Checks a stream whose attempt is over, and takes it up if it broke off. */
static void follow_stream(series_t *series, stream_t *stream)
{
	if (!stream->caller || !is_over(stream->caller))
		return;
	stream->last = check_order(stream->caller, stream->last);
	g_string_append(stream->received, stream->caller->received->str);
	if (strstr(stream->received->str, OLD "\n") &&
	    strstr(stream->received->str, NEW "\n"))
		fail_msg("events of two versions: %s", stream->received->str);
	rig_caller_destroy(stream->caller);
	stream->caller = NULL;
	if (stream->last < RIG_EVENTS && !strcmp(stream->path, "/stream/") &&
	    stream->attempts < ATTEMPTS_MAX)
		send_attempt(series, stream);
}

/* Changes what a random upstream does, and may kill it; its version may change then. */
static void disturb_upstream(series_t *series)
{
	static const rig_behavior_t behaviors[] = {
		RIG_STREAM,	     RIG_STREAM_CUT,	  RIG_STREAM_PIECES,
		RIG_STREAM_SIZED,    RIG_STREAM_UNFRAMED, RIG_STREAM_UNFRAMED,
		RIG_STREAM_UNFRAMED, RIG_STREAM_REPEAT,
	};
	GRand *random = series->random;
	int number = g_rand_int_range(random, 0, SERIES_UPSTREAMS);
	rig_server_t *upstream = &series->rig->upstreams[number];

	upstream->behavior =
		behaviors[g_rand_int_range(random, 0, G_N_ELEMENTS(behaviors))];
	if (g_rand_int_range(random, 0, 3) == 0)
		return;
	upstream->next_version = upstream->version;
	if (g_rand_boolean(random))
		upstream->next_version = g_strcmp0(upstream->version, OLD) ? OLD
									   : NEW;
	rig_end_upstream(series->rig, number);
}

/* Kills, pauses or continues a random gateway, or starts one that was killed. */
static void disturb_gateway(series_t *series)
{
	gateway_rig_t *rig = series->rig;
	int number = g_rand_int_range(series->random, 0, RIG_GATEWAYS);
	int running = 0;

	for (int i = 0; i < RIG_GATEWAYS; i++)
		running += series->up[i] && !series->paused[i];
	if (!series->up[number]) {
		process_destroy(rig->gateways[number]);
		rig_start_gateway(rig, number, ++series->starts[number]);
		series->up[number] = true;
	} else if (series->paused[number]) {
		process_signal(rig->gateways[number], SIGCONT);
		series->paused[number] = false;
	} else if (running > 1 && g_rand_boolean(series->random)) {
		process_signal(rig->gateways[number], SIGSTOP);
		series->paused[number] = true;
	} else if (running > 1) {
		process_signal(rig->gateways[number], SIGKILL);
		RIG_UNTIL(rig, process_ended(rig->gateways[number]));
		series->up[number] = false;
	}
}

/* Ends a stream; returns whether all its events were received. */
static bool stream_free(stream_t *stream)
{
	bool complete = stream->last == RIG_EVENTS;

	if (stream->caller)
		rig_caller_destroy(stream->caller);
	g_string_free(stream->received, TRUE);
	g_free(stream);
	return complete;
}

/* Plays a series of overlapping failures, and checks what the callers receive. */
static void play_series(gateway_rig_t *rig, guint32 seed)
{
	series_t series = { .rig = rig };
	uint64_t began = rig_now_ms();
	uint64_t disturb_at = began;
	uint64_t now = began;
	unsigned int complete = 0;

	series.random = g_rand_new_with_seed(seed);
	series.streams = g_ptr_array_new();
	for (int i = 0; i < RIG_GATEWAYS; i++) {
		series.up[i] = true;
		series.starts[i] = 1;
	}
	for (; now - began < SERIES_MS + SERIES_SETTLE_MS; now = rig_now_ms()) {
		rig_run_once(rig);
		if (now - began < SERIES_MS &&
		    g_rand_int_range(series.random, 0, 6) == 0)
			begin_stream(&series);
		if (now - began < SERIES_MS && now >= disturb_at) {
			disturb_at = now + (uint64_t)g_rand_int_range(series.random,
								      10, 90);
			if (g_rand_int_range(series.random, 0, 5))
				disturb_upstream(&series);
			else
				disturb_gateway(&series);
		}
		for (guint i = 0; i < series.streams->len; i++)
			follow_stream(&series, series.streams->pdata[i]);
	}
	for (guint i = 0; i < series.streams->len; i++)
		complete += stream_free(series.streams->pdata[i]);
	print_message("seed %u: %u of %u streams complete\n", seed, complete,
		      series.streams->len);
	assert_true(complete > 0);
	g_ptr_array_free(series.streams, TRUE);
	g_rand_free(series.random);
}

static unsigned int env_number(const char *name, unsigned int otherwise)
{
	const char *text = g_getenv(name);

	return text ? (unsigned int)strtoul(text, NULL, 10) : otherwise;
}

/* Guards against streams that are not whole or out of order, whatever fails at once. */
static void test_streams_are_in_order_in_series_of_failures(void **state)
{
	unsigned int first = env_number("FIRST_SEED", 1);
	unsigned int seeds = env_number("SEEDS", 1);

	for (unsigned int seed = first; seed < first + seeds; seed++) {
		if (seed > first) {
			teardown(state);
			setup_series(state);
		}
		play_series(*state, seed);
	}
}

#define TEST(name, setup) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_stream_of_killed_upstream_is_not_complete, setup_unframed),
		TEST(test_stream_of_killed_upstream_is_resumed, setup_unframed),
		TEST(test_unsafe_call_of_killed_upstream_fails, setup_unframed),
		TEST(test_safe_call_of_killed_upstream_is_repeated, setup_unframed),
		TEST(test_upstream_is_replaced_while_gateway_is_paused,
		     setup_unframed),
		TEST(test_response_without_length_runs_once, setup_unframed),
		TEST(test_upstream_ignores_last_event_id, setup_unframed),
		TEST(test_upstream_ignores_last_event_id_of_caller, setup_unframed),
		TEST(test_stream_without_ids_is_not_resumed, setup_unframed),
		TEST(test_streams_are_in_order_in_series_of_failures, setup_series),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
