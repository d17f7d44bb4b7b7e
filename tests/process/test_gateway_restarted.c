/* Tests of upstreams whose process starts again under its id and address. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "tests/harness/gateway_calls.h"

#define STREAM_BEGIN                                             \
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" \
	"X-Response-Seal: s0\r\nTransfer-Encoding: chunked\r\n\r\n"
#define EVENT "9\r\ndata: x\n\n\r\n"
#define GAP_MS 200 /* between events */
#define LONG_MS \
	1500 /* longer than a connection may be silent after a restart */
#define OLD "-old" /* versions, as they stand in the data of events */
#define NEW "-new"
#define FIRST_START 1000 /* in ms of wall time */

/* Chooses what an upstream does by the last part of the path. */
static rig_behavior_t choose_behavior(void *ctx, const char *target)
{
	(void)ctx;
	return strstr(target, "/hang") ? RIG_HANG : RIG_ENDLESS;
}

/*
 * Starts a gateway with one upstream whose process has just started again with another
 * version, under its id, and is not registered. Its streams stop in the middle of the
 * fourth event.
 */
static int setup_unregistered(void **state)
{
	gateway_rig_t *rig = gateway_rig_create_sized(1, 3);
	rig_server_t *upstream = &rig->upstreams[0];
	rig_caller_t *caller;

	rig->first_start = true;
	upstream->version = OLD;
	upstream->next_version = NEW;
	upstream->behavior = RIG_STREAM_CUT;
	upstream->event_gap_ms = GAP_MS;
	upstream->keeps_id = true;
	rig_start_fleet(rig);
	rig_remove(rig, "servers", "u1");
	rig_remove(rig, "servers", "u2");
	rig_put_upstream_started_at(rig, 0, FIRST_START);
	RIG_UNTIL(rig, rig_count_logged(rig, 0, "stage=gone") == 2);
	RIG_UNTIL(rig, rig_count_logged(rig, 0, "id=u0 stage=serving") == 2);
	rig_end_upstream(rig, 0);
	caller = rig_call_at(rig, 0, "POST", "/stream/x", "c0");
	RIG_UNTIL(rig, rig_has_received(caller, "HTTP/1.1 503"));
	rig_caller_destroy(caller);
	rig_run_for(rig, LONG_MS);
	*state = rig;
	return 0;
}

/* Registers another upstream, which runs a version. */
static void register_other(gateway_rig_t *rig, int number, const char *version)
{
	char line[32];

	rig->upstreams[number].version = version;
	rig->upstreams[number].behavior = RIG_STREAM;
	rig_put_upstream(rig, number, "ready");
	snprintf(line, sizeof(line), "id=u%d stage=serving", number);
	RIG_UNTIL(rig, rig_count_logged(rig, 0, line) == 2);
}

/* Starts a gateway with one upstream, whose streams go on until their caller leaves. */
static int setup(void **state)
{
	gateway_rig_t *rig = gateway_rig_create_sized(1, 1);
	rig_server_t *upstream = &rig->upstreams[0];

	rig->choose_behavior = choose_behavior;
	upstream->endless_begin = STREAM_BEGIN;
	upstream->endless_piece = EVENT;
	upstream->endless_gap_ms = GAP_MS;
	upstream->keeps_id = true;
	rig_start_fleet(rig);
	rig_put_upstream_started_at(rig, 0, FIRST_START);
	RIG_UNTIL(rig, rig_count_logged(rig, 0, "id=u0 stage=serving") == 2);
	*state = rig;
	return 0;
}

static int teardown(void **state)
{
	gateway_rig_destroy(*state);
	return 0;
}

/* Begins a call that may run once, and waits until the upstream has it. */
static rig_caller_t *begin_call(gateway_rig_t *rig, const char *path, const char *id)
{
	rig_caller_t *caller = rig_call_at(rig, 0, "POST", path, id);

	RIG_UNTIL(rig, rig_run_count(rig, id));
	return caller;
}

/* Begins a stream, and waits for an event. */
static rig_caller_t *begin_stream(gateway_rig_t *rig, const char *id)
{
	rig_caller_t *caller = begin_call(rig, "/once/x", id);

	RIG_UNTIL(rig, rig_has_received(caller, "data: x"));
	return caller;
}

/* Registers the next process of the upstream. */
static void register_restart(gateway_rig_t *rig)
{
	rig_put_upstream_started_at(rig, 0, FIRST_START + 1000);
	RIG_UNTIL(rig, rig_count_logged(rig, 0, "id=u0 stage=serving") == 3);
}

/* Returns whether a stream still brings events after a long time. */
static bool goes_on(gateway_rig_t *rig, rig_caller_t *caller)
{
	size_t before;

	rig_run_for(rig, LONG_MS);
	rig_receive_some(caller);
	before = caller->received->len;
	rig_run_for(rig, 3 * GAP_MS);
	rig_receive_some(caller);
	return !rig_is_closed(caller) && caller->received->len > before;
}

/* Guards against sound streams that are closed as the restart becomes known. */
static void test_streams_of_the_new_process_go_on(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller = begin_stream(rig, "c1");

	register_restart(rig);
	assert_true(goes_on(rig, caller));
	assert_int_equal(rig_run_count(rig, "c1"), 1);
	assert_int_equal(rig_count_logged(rig, 0, "abandoned="), 0);
	rig_caller_destroy(caller);
}

/* Guards against requests at the process that ended, whose callers wait in vain. */
static void test_silent_requests_of_the_former_process_end(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *lost = begin_call(rig, "/once/hang", "c1");
	rig_caller_t *begun;
	rig_caller_t *waiting;

	rig_vanish_upstream(rig, 0);
	begun = rig_call_at(rig, 0, "POST", "/once/x", "c2");
	RIG_UNTIL(rig, rig_has_received(begun, "HTTP/1.1 503"));
	rig_caller_destroy(begun);
	rig_run_for(rig, LONG_MS);
	begun = begin_stream(rig, "c3");
	waiting = begin_call(rig, "/once/hang", "c4");
	register_restart(rig);
	RIG_UNTIL_WITHIN(rig, rig_has_received(lost, "HTTP/1.1 502"), LONG_MS);
	assert_true(goes_on(rig, begun));
	assert_false(rig_has_received(waiting, "HTTP/1.1"));
	assert_int_equal(rig_count_logged(rig, 0, "abandoned="), 1);
	rig_caller_destroy(lost);
	rig_caller_destroy(begun);
	rig_caller_destroy(waiting);
}

/* Guards against a stream that goes on at the version of the former process. */
static void test_stream_of_unregistered_process_is_not_joined(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller = begin_call(rig, "/stream/x", "c1");

	RIG_UNTIL(rig, rig_is_closed(caller));
	assert_true(rig_has_received(caller, "data: e3" NEW));
	rig_caller_destroy(caller);
	register_other(rig, 1, OLD);
	caller = rig_call(rig, rig_port(rig, 0, "callers"), "");
	rig_send_call_with(caller, "POST", "/stream/x", "c2",
			   "Resumes: c1\r\nLast-Event-Id: 3\r\n");
	RIG_UNTIL(rig, rig_has_received(caller, "HTTP/1.1 503"));
	assert_int_equal(rig_run_count(rig, "c2"), 0);
	rig_caller_destroy(caller);
}

/* Guards against the same once the process is registered, and a stream without version. */
static void test_stream_goes_on_at_version_of_registered_process(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller = begin_call(rig, "/stream/x", "c1");

	RIG_UNTIL(rig, rig_has_received(caller, "data: e1" NEW));
	register_restart(rig);
	register_other(rig, 1, OLD);
	register_other(rig, 2, NEW);
	RIG_UNTIL(rig, rig_has_received(caller, "\r\n0\r\n\r\n"));
	assert_true(rig_has_received(caller, "data: e6" NEW));
	assert_false(rig_has_received(caller, OLD));
	assert_int_equal(rig_run_count(rig, "c1"), 2);
	rig_caller_destroy(caller);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_stream_of_unregistered_process_is_not_joined,
						setup_unregistered, teardown),
		cmocka_unit_test_setup_teardown(
			test_stream_goes_on_at_version_of_registered_process,
			setup_unregistered, teardown),
		cmocka_unit_test_setup_teardown(test_streams_of_the_new_process_go_on,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_silent_requests_of_the_former_process_end,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
