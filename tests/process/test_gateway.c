/* Tests of a gateway process with a mock store and mock upstreams. */
#include <arpa/inet.h>
#include <errno.h>
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

/* Times after SIGTERM by which long requests are refused and the listener is closed. */
#define LONG_REQUESTS_REFUSED_NS 2700000000
#define LISTENER_CLOSED_NS 4200000000
#define SOME_TICKS_NS 100000000 /* a few ticks of a gateway's timer */
/* How long after its drain notice an upstream may be sent requests. */
#define DRAIN_NS 2000000000
/* From the end of an outage to a removal that arrives while a watch waits. */
#define RECOVERY_TO_LEAVE_MS 3400
#define LEAVE_CALLS 4
/* Within which a gateway must detect that the store is back; part of DRAIN_NS. */
#define DETECTION_MAX_MS 1500
#define BACKLOG_FILLERS 4 /* connections that fill a backlog of 0 */
#define CONNECTING_MS 60 /* well below the gateway's connect timeout */

/* Returns whether the log of gateway NUMBER has TEXT by now. */
static bool has_logged(gateway_rig_t *rig, int number, const char *text)
{
	char *log = NULL;
	bool found;

	rig_run_once(rig);
	if (!g_file_get_contents(rig->gateways[number]->out_path, &log, NULL, NULL))
		return false;
	found = strstr(log, text) != NULL;
	g_free(log);
	return found;
}

/* Starts one gateway with an empty store. */
static int setup_bare(void **state)
{
	gateway_rig_t *rig = gateway_rig_create();

	rig_start(rig, 0);
	RIG_UNTIL(rig, rig_port(rig, 0, "health"));
	rig->peer_ports[0] = rig_port(rig, 0, "peers");
	*state = rig;
	return 0;
}

/* Starts one gateway with a configuration and two upstreams. */
static int setup(void **state)
{
	gateway_rig_t *rig;

	setup_bare(state);
	rig = *state;
	rig_put_config(rig, 1, "");
	for (int i = 0; i < 2; i++)
		rig_put_upstream(rig, i, "ready");
	RIG_UNTIL(rig, rig_is_ready(rig, 0));
	return 0;
}

static int teardown(void **state)
{
	gateway_rig_destroy(*state);
	return 0;
}

/* Sends a POST to gateway 0; returns the connection, owned by the caller. */
static rig_caller_t *call(gateway_rig_t *rig, const char *path)
{
	return rig_call_at(rig, 0, "POST", path, "c1");
}

/* Returns the number of calls that upstreams received. */
static unsigned int arrivals(const gateway_rig_t *rig)
{
	unsigned int sum = 0;

	for (int i = 0; i < RIG_UPSTREAMS; i++)
		sum += rig->upstreams[i].arrivals;
	return sum;
}

/* Returns the number of calls whose connection to an upstream was closed early. */
static unsigned int aborted_calls(const gateway_rig_t *rig)
{
	unsigned int sum = 0;

	for (int i = 0; i < RIG_UPSTREAMS; i++)
		sum += rig->upstreams[i].aborted_calls;
	return sum;
}

static void set_all_behaviors(gateway_rig_t *rig, rig_behavior_t behavior)
{
	for (int i = 0; i < RIG_UPSTREAMS; i++)
		rig->upstreams[i].behavior = behavior;
}

/* Returns the last request that an upstream received, borrowed. */
static const char *last_request(const gateway_rig_t *rig)
{
	return rig->upstreams[rig->upstreams[0].arrivals ? 0 : 1].last->str;
}

static void test_a_call_is_forwarded_unchanged(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller =
		rig_call(rig, rig_port(rig, 0, "callers"),
			 "PATCH /unsafe/x%20y?q=1&r HTTP/1.1\r\nHost: h\r\n"
			 "X-Attempt-Id: c1\r\nX-Tenant: other\r\nX-Mine: 1\r\n"
			 "Authorization: Bearer k\r\nX-Deadline-Ms: 3000\r\n"
			 "Transfer-Encoding: "
			 "chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n");
	const char *last;

	RIG_UNTIL(rig, rig_has_received(caller, "from "));
	assert_true(rig_has_received(caller, "HTTP/1.1 200"));
	assert_true(rig_has_received(caller, "X-Response-Seal: s"));
	last = last_request(rig);
	assert_non_null(strstr(last, "PATCH /unsafe/x%20y?q=1&r\n"));
	assert_non_null(strstr(last, "X-Tenant: mill\n"));
	assert_non_null(strstr(last, "X-Mine: 1\n"));
	assert_non_null(strstr(last, "X-Expect-Instance: u"));
	assert_non_null(strstr(last, "\nContent-Length: 4\n"));
	assert_non_null(strstr(last, "body"));
	assert_null(strstr(last, "Authorization"));
	assert_null(strstr(last, "other"));
	rig_caller_destroy(caller);
}

/*
 * Guards against a 404 from a gateway that has no configuration yet, and against
 * readiness before it has one.
 */
static void test_no_configuration_is_no_404(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller = call(rig, "/safe/");

	RIG_UNTIL(rig, rig_has_received(caller, "\r\n\r\n"));
	assert_true(rig_has_received(caller, "HTTP/1.1 503"));
	assert_true(rig_has_received(caller, "Retry-After: "));
	assert_false(rig_is_ready(rig, 0));
	rig_caller_destroy(caller);
	rig_put_config(rig, 1, "");
	rig_put_upstream(rig, 0, "ready");
	RIG_UNTIL(rig, rig_is_ready(rig, 0));
	caller = call(rig, "/safe/");
	RIG_UNTIL(rig, rig_has_received(caller, "HTTP/1.1 200"));
	rig_caller_destroy(caller);
}

static void test_unknown_routes_and_keys(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller = call(rig, "/nowhere/");

	RIG_UNTIL(rig, rig_has_received(caller, "HTTP/1.1 404"));
	rig_caller_destroy(caller);
	caller = rig_call(rig, rig_port(rig, 0, "callers"),
			  "GET /safe/ HTTP/1.1\r\nHost: h\r\n"
			  "Authorization: Bearer wrong\r\n\r\n");
	RIG_UNTIL(rig, rig_has_received(caller, "HTTP/1.1 401"));
	assert_int_equal(arrivals(rig), 0);
	rig_caller_destroy(caller);
}

/*
 * Guards against an upstream that goes on with the call of a caller that has hung up,
 * while other calls wait for its slot.
 */
static void test_a_hang_up_reaches_the_upstream(void **state)
{
	static const char *const paths[] = { "/safe/", "/unsafe/", "/stream/" };
	gateway_rig_t *rig = *state;

	set_all_behaviors(rig, RIG_HANG);
	for (unsigned int i = 0; i < G_N_ELEMENTS(paths); i++) {
		rig_caller_t *caller = call(rig, paths[i]);
		uint64_t left_at;

		RIG_UNTIL(rig, arrivals(rig) == i + 1);
		rig_caller_close(caller);
		left_at = uv_hrtime();
		RIG_UNTIL(rig, aborted_calls(rig) == i + 1);
		assert_true(uv_hrtime() - left_at < 500000000);
		rig_caller_destroy(caller);
	}
}

/*
 * An upstream runs a call that must not be repeated, and its response is cut. Guards
 * against a retry, which would run the call twice, and against a response that means
 * "not run", after which the caller would send it again.
 */
static void test_an_unsafe_call_is_sent_once(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;

	set_all_behaviors(rig, RIG_CUT);
	caller = call(rig, "/unsafe/");
	RIG_UNTIL(rig, rig_has_received(caller, "\r\n\r\n"));
	assert_true(rig_has_received(caller, "HTTP/1.1 502"));
	assert_false(rig_has_received(caller, "Retry-After"));
	assert_int_equal(arrivals(rig), 1);
	rig_caller_destroy(caller);
}

/* The same for a call that may be repeated: it is retried, and the caller gets a 200. */
static void test_a_safe_call_goes_to_another_upstream(void **state)
{
	static const rig_behavior_t behaviors[] = { RIG_CUT, RIG_FAIL, RIG_REJECT };
	gateway_rig_t *rig = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(behaviors); i++) {
		rig_caller_t *caller;

		rig->upstreams[0].behavior = behaviors[i];
		for (int tries = 0; tries < 4; tries++) {
			caller = call(rig, "/safe/");
			RIG_UNTIL(rig, rig_has_received(caller, "from 1"));
			assert_true(rig_has_received(caller, "HTTP/1.1 200"));
			rig_caller_destroy(caller);
		}
	}
}

/* All upstreams reject a call: it has not run, and the caller is told to retry. */
static void test_a_rejected_call_is_refused_as_not_run(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;

	set_all_behaviors(rig, RIG_REJECT);
	caller = call(rig, "/unsafe/");
	RIG_UNTIL(rig, rig_has_received(caller, "\r\n\r\n"));
	assert_true(rig_has_received(caller, "HTTP/1.1 503"));
	assert_true(rig_has_received(caller, "Retry-After: "));
	rig_caller_destroy(caller);
}

/*
 * An upstream responds to a call twice, and the second response arrives in place of the
 * next call's. Guards against forwarding it to the wrong caller.
 */
static void test_the_answer_to_another_call_is_skipped(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;

	set_all_behaviors(rig, RIG_DOUBLE);
	caller = call(rig, "/unsafe/");
	RIG_UNTIL(rig, rig_has_received(caller, "from "));
	assert_true(rig_has_received(caller, "X-Attempt-Id: c1"));
	assert_false(rig_has_received(caller, "of-another-call"));
	rig_caller_destroy(caller);
}

/* Asserts that a caller received each event of a stream once and in order. */
static void assert_events(rig_caller_t *caller)
{
	const char *at = caller->received->str;

	for (int i = 1; i <= RIG_EVENTS; i++) {
		char event[64];

		snprintf(event, sizeof(event), "id: %d\ndata: e%d\n\n", i, i);
		at = strstr(at, event);
		assert_non_null(at);
		at += strlen(event);
		assert_null(strstr(at, event));
	}
}

/*
 * An engine fails in the middle of an event. Another one resumes the stream after the
 * last complete event, in the same response: no event is repeated or missing.
 */
static void test_a_stream_is_resumed_at_another_upstream(void **state)
{
	gateway_rig_t *rig = *state;

	rig->upstreams[0].behavior = RIG_STREAM_CUT;
	rig->upstreams[1].behavior = RIG_STREAM;
	for (int i = 0; i < 4; i++) {
		rig_caller_t *caller = call(rig, "/stream/");

		RIG_UNTIL(rig, rig_has_received(caller, "\r\n0\r\n\r\n"));
		assert_events(caller);
		rig_caller_destroy(caller);
	}
	assert_true(rig->upstreams[0].arrivals > 0);
	assert_non_null(strstr(rig->upstreams[1].last->str, "/stream/"));
}

/* A stream that may not be run again is cut; the caller must be able to notice. */
static void test_an_aborted_stream_does_not_look_complete(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;

	set_all_behaviors(rig, RIG_STREAM_CUT);
	caller = call(rig, "/once/");
	RIG_UNTIL(rig, rig_is_closed(caller));
	assert_true(rig_has_received(caller, "id: 3\n"));
	assert_false(rig_has_received(caller, "id: 4\n"));
	assert_false(rig_has_received(caller, "\r\n0\r\n\r\n"));
	assert_int_equal(arrivals(rig), 1);
	rig_caller_destroy(caller);
}

/* No upstream responds: the caller gets a 504 at its deadline. */
static void test_a_call_is_answered_by_its_deadline(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;
	uint64_t began = uv_hrtime();

	set_all_behaviors(rig, RIG_HANG);
	caller = call(rig, "/unsafe/");
	RIG_UNTIL(rig, rig_has_received(caller, "HTTP/1.1 504"));
	assert_true(uv_hrtime() - began < 3500000000);
	assert_int_equal(arrivals(rig), 1);
	rig_caller_destroy(caller);
}

/* On SIGTERM the readiness check fails at once, and a call in progress is completed. */
static void test_a_stop_completes_requests(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;

	set_all_behaviors(rig, RIG_SLOW);
	caller = call(rig, "/unsafe/");
	RIG_UNTIL(rig, arrivals(rig) == 1);
	process_signal(rig->gateways[0], SIGTERM);
	RIG_UNTIL(rig, !rig_is_ready(rig, 0));
	RIG_UNTIL(rig, rig_has_received(caller, "from "));
	assert_true(rig_has_received(caller, "HTTP/1.1 200"));
	assert_true(rig_has_received(caller, "Connection: close"));
	RIG_UNTIL(rig, process_ended(rig->gateways[0]));
	assert_int_equal(rig->gateways[0]->status, 0);
	rig_caller_destroy(caller);
}

/*
 * Stops the gateway and waits until it refuses long requests. Returns the time at which
 * it was no longer ready, in ns.
 */
static uint64_t stop_until_long_are_refused(gateway_rig_t *rig)
{
	uint64_t since;

	process_signal(rig->gateways[0], SIGTERM);
	RIG_UNTIL(rig, !rig_is_ready(rig, 0));
	since = uv_hrtime();
	RIG_UNTIL(rig, uv_hrtime() - since > LONG_REQUESTS_REFUSED_NS);
	return since;
}

/* Guards against a long request that the end of the process would cut. */
static void test_a_stopping_gateway_refuses_long_requests(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;

	set_all_behaviors(rig, RIG_STREAM);
	stop_until_long_are_refused(rig);
	caller = call(rig, "/stream/");
	RIG_UNTIL(rig, rig_has_received(caller, "\r\n\r\n"));
	assert_true(rig_has_received(caller, "HTTP/1.1 503"));
	assert_int_equal(arrivals(rig), 0);
	rig_caller_destroy(caller);
}

/* Guards against new connections closed as idle before their first request is read. */
static void test_a_stopping_gateway_reads_new_connections(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *long_caller;
	rig_caller_t *short_caller;
	uint64_t since;

	stop_until_long_are_refused(rig);
	long_caller = rig_call(rig, rig_port(rig, 0, "callers"), "");
	short_caller = rig_call(rig, rig_port(rig, 0, "callers"), "");
	since = uv_hrtime();
	RIG_UNTIL(rig, uv_hrtime() - since > SOME_TICKS_NS);
	rig_send_call(long_caller, "POST", "/stream/", "c1");
	rig_send_call(short_caller, "POST", "/safe/", "c2");
	RIG_UNTIL(rig, rig_has_received(long_caller, "\r\n\r\n"));
	assert_true(rig_has_received(long_caller, "HTTP/1.1 503"));
	RIG_UNTIL(rig, rig_has_received(short_caller, "from "));
	assert_true(rig_has_received(short_caller, "Connection: close"));
	rig_caller_destroy(long_caller);
	rig_caller_destroy(short_caller);
}

/* Guards against a process that ends while it reads a request. */
static void test_a_stop_waits_for_a_request_being_read(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;
	uint64_t since = stop_until_long_are_refused(rig);

	caller = rig_call(rig, rig_port(rig, 0, "callers"),
			  "POST /safe/ HTTP/1.1\r\nHost: h\r\n");
	RIG_UNTIL(rig, uv_hrtime() - since > LISTENER_CLOSED_NS);
	rig_send(caller, "X-Attempt-Id: c1\r\nX-Deadline-Ms: 3000\r\n"
			 "Authorization: Bearer k\r\n"
			 "Content-Length: 0\r\n\r\n");
	RIG_UNTIL(rig, rig_has_received(caller, "from "));
	assert_true(rig_has_received(caller, "Connection: close"));
	RIG_UNTIL(rig, process_ended(rig->gateways[0]));
	assert_int_equal(rig->gateways[0]->status, 0);
	rig_caller_destroy(caller);
}

/* Guards against a process that ends before the caller has read a long response. */
static void test_a_stop_waits_for_a_slow_reader(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;
	uint64_t since;

	set_all_behaviors(rig, RIG_LARGE);
	caller = call(rig, "/unsafe/");
	RIG_UNTIL(rig, arrivals(rig) == 1);
	process_signal(rig->gateways[0], SIGTERM);
	since = uv_hrtime();
	while (uv_hrtime() - since < LISTENER_CLOSED_NS) {
		rig_run_once(rig);
		rig_receive_some(caller);
	}
	RIG_UNTIL(rig, rig_is_closed(caller));
	assert_true(caller->received->len > RIG_LARGE_BYTES);
	RIG_UNTIL(rig, process_ended(rig->gateways[0]));
	assert_int_equal(rig->gateways[0]->status, 0);
	rig_caller_destroy(caller);
}

static void test_a_draining_upstream_gets_no_requests(void **state)
{
	gateway_rig_t *rig = *state;
	unsigned int before;
	rig_caller_t *caller;

	rig_put_upstream(rig, 0, "draining");
	caller = call(rig, "/safe/");
	RIG_UNTIL(rig, rig_has_received(caller, "from "));
	rig_caller_destroy(caller);
	before = rig->upstreams[0].arrivals;
	for (int i = 0; i < 5; i++) {
		caller = call(rig, "/safe/");
		RIG_UNTIL(rig, rig_has_received(caller, "from 1"));
		rig_caller_destroy(caller);
	}
	assert_int_equal(rig->upstreams[0].arrivals, before);
}

/*
 * The store rejects one gateway and serves the others. That one must learn of a new
 * route, and of an upstream that leaves, from its peers.
 */
static void test_peers_update_a_gateway_without_the_store(void **state)
{
	static const char route[] =
		",{\"name\":\"new\",\"host\":\"h\",\"pathPrefix\":\"/new/\","
		"\"kind\":\"safe\",\"timeoutMs\":4000,\"service\":\"s\"}";
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;
	unsigned int before;

	rig_start(rig, 1);
	RIG_UNTIL(rig, rig_is_ready(rig, 1));
	rig->stores[1].down = true;
	rig_put_config(rig, 2, route);
	rig_put_upstream(rig, 0, "draining");
	caller = rig_call_at(rig, 1, "GET", "/new/", "c1");
	RIG_UNTIL(rig, rig_has_received(caller, "\r\n\r\n"));
	/* The update takes a moment to arrive; after it the route stays. */
	while (!strstr(caller->received->str, "HTTP/1.1 200")) {
		rig_caller_destroy(caller);
		caller = rig_call_at(rig, 1, "GET", "/new/", "c1");
		RIG_UNTIL(rig, rig_has_received(caller, "\r\n\r\n"));
	}
	rig_caller_destroy(caller);
	RIG_UNTIL(rig, rig->upstreams[1].arrivals > 0);
	before = rig->upstreams[0].arrivals;
	for (int i = 0; i < 4; i++) {
		caller = rig_call_at(rig, 1, "GET", "/new/", "c1");
		RIG_UNTIL(rig, rig_has_received(caller, "from 1"));
		rig_caller_destroy(caller);
	}
	assert_true(rig->upstreams[0].arrivals <= before + 1);
}

/*
 * Registrations of upstreams expire and are renewed while the store rejects one gateway,
 * which then reads both changes in one reply. Guards against removing the renewed ones:
 * no gateway would know an upstream any more, and all callers would be refused.
 */
static void test_registrations_that_expired_and_were_renewed_serve(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;
	uint64_t began;

	rig_start(rig, 1);
	RIG_UNTIL(rig, rig_is_ready(rig, 1));
	rig->stores[0].down = true;
	RIG_UNTIL(rig, has_logged(rig, 0, "lost=upstreams"));
	for (int i = 0; i < 2; i++) {
		char name[16];

		snprintf(name, sizeof(name), "u%d", i);
		rig_remove(rig, "servers", name);
		rig_put_upstream(rig, i, "ready");
	}
	began = uv_hrtime();
	RIG_UNTIL(rig, uv_hrtime() - began > 3000000000);
	rig->stores[0].down = false;
	began = uv_hrtime();
	RIG_UNTIL(rig, uv_hrtime() - began > 4000000000);
	for (int number = 0; number < 2; number++) {
		caller = rig_call_at(rig, number, "GET", "/safe/", "c1");
		RIG_UNTIL(rig, rig_has_received(caller, "\r\n\r\n"));
		assert_true(rig_has_received(caller, "HTTP/1.1 200"));
		rig_caller_destroy(caller);
	}
}

/*
 * An upstream crashes while its link is cut, and starts again under its id. Its calls are
 * lost, but no TCP reset arrives. Guards against callers that wait until their deadlines:
 * a call that may be repeated is answered by another upstream at once, and one that may
 * not gets a 502 at once.
 */
static void test_calls_at_a_restarted_upstream_do_not_wait(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *safe;
	rig_caller_t *unsafe;

	rig_put_upstream_started_at(rig, 0, 1000);
	rig_remove(rig, "servers", "u1");
	RIG_UNTIL(rig, has_logged(rig, 0, "id=u1 stage=gone"));
	rig->upstreams[0].behavior = RIG_HANG;
	safe = rig_call_at(rig, 0, "GET", "/safe/x", "s1");
	unsafe = rig_call_at(rig, 0, "POST", "/unsafe/x", "n1");
	RIG_UNTIL(rig, rig_run_count(rig, "s1") && rig_run_count(rig, "n1"));
	rig_put_upstream_started_at(rig, 1, 1500);
	RIG_UNTIL(rig, has_logged(rig, 0, "id=u1 stage=serving"));
	rig_put_upstream_started_at(rig, 0, 2000);
	RIG_UNTIL(rig, rig_has_received(safe, "HTTP/1.1 200"));
	RIG_UNTIL(rig, rig_has_received(unsafe, "HTTP/1.1 502"));
	assert_true(has_logged(rig, 0, "upstream restarted"));
	assert_int_equal(rig_run_count(rig, "n1"), 1);
	rig_caller_destroy(safe);
	rig_caller_destroy(unsafe);
}

/*
 * Invalid registrations are written besides those of upstreams, and over one of them.
 * The gateway logs them in few lines, sends no calls to those upstreams, and goes on
 * with the others.
 */
static void test_invalid_registrations_do_not_affect_others(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;
	char name[16];

	for (int i = 0; i < 20; i++) {
		snprintf(name, sizeof(name), "odd%d", i);
		rig_put(rig, "servers", name, "{\"service\":\"s\",\"slots\":[]}");
	}
	rig_put(rig, "servers", "u0", "{\"service\":7}");
	RIG_UNTIL(rig, has_logged(rig, 0, "id=u0 stage=gone"));
	assert_true(has_logged(rig, 0, "odd0"));
	assert_false(has_logged(rig, 0, "odd19"));
	caller = call(rig, "/safe/x");
	RIG_UNTIL(rig, rig_has_received(caller, "HTTP/1.1 200"));
	assert_int_equal(rig->upstreams[0].arrivals, 0);
	rig_put_upstream(rig, 0, "ready");
	RIG_UNTIL(rig, has_logged(rig, 0, "id=u0 stage=serving"));
	rig_caller_destroy(caller);
}

/*
 * The leader dies after it has reported a window. Guards against a next leader that
 * reports that window with other counts, or omits later ones.
 */
static void test_windows_are_reported_once(void **state)
{
	gateway_rig_t *rig = *state;
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	rig_start(rig, 1);
	RIG_UNTIL(rig, rig_is_ready(rig, 1));
	RIG_UNTIL(rig, rig->usage->len >= 2);
	process_destroy(rig->gateways[0]);
	rig->gateways[0] = NULL;
	{
		guint before = rig->usage->len;
		uint64_t end = rig_now_ms() + 20000;

		while (rig->usage->len < before + 4 && rig_now_ms() < end)
			rig_run_once(rig);
		assert_true(rig->usage->len >= before + 4);
	}
	for (guint i = 0; i < rig->usage->len; i++) {
		const char *body = g_ptr_array_index(rig->usage, i);
		char *window = g_strdup(strstr(body, "windowId"));
		const char *known = g_hash_table_lookup(seen, window);

		assert_true(!known || !strcmp(known, body));
		g_hash_table_replace(seen, window, g_strdup(body));
	}
	g_hash_table_unref(seen);
}

/*
 * Guards against callers that never complete a head and so hold connections until none
 * are left for others.
 */
static void test_a_slow_head_times_out(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller = rig_call(rig, rig_port(rig, 0, "callers"),
					"GET /safe/ HTTP/1.1\r\nHost: h\r\n");
	uint64_t begun = rig_now_ms();

	/* The limit in the configuration is three seconds. */
	RIG_UNTIL(rig, rig_has_received(caller, "HTTP/1.1 408"));
	assert_true(rig_now_ms() - begun < 5000);
	RIG_UNTIL(rig, (rig_receive(caller), caller->closed));
	rig_caller_destroy(caller);
}

/* A body that is not complete by the caller's own deadline gets a 408. */
static void test_a_late_body_times_out(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller = rig_call(rig, rig_port(rig, 0, "callers"),
					"POST /safe/ HTTP/1.1\r\nHost: h\r\n"
					"X-Attempt-Id: c1\r\n"
					"X-Deadline-Ms: 500\r\n"
					"Authorization: Bearer k\r\n"
					"Content-Length: 4\r\n\r\nbo");

	RIG_UNTIL(rig, rig_has_received(caller, "HTTP/1.1 408"));
	assert_int_equal(arrivals(rig), 0);
	rig_caller_destroy(caller);
}

/* Adds a route to the configuration in the store, and waits until it serves. */
static void await_new_route(gateway_rig_t *rig)
{
	static const char route[] =
		",{\"name\":\"new\",\"host\":\"h\",\"pathPrefix\":\"/new/\","
		"\"kind\":\"safe\",\"timeoutMs\":4000,\"service\":\"s\"}";
	uint64_t until = rig_now_ms() + RIG_TIMEOUT_MS;
	bool served = false;

	rig_put_config(rig, 2, route);
	while (!served && rig_now_ms() < until) {
		rig_caller_t *caller = rig_call_at(rig, 0, "GET", "/new/", "c1");

		RIG_UNTIL(rig, rig_has_received(caller, "\r\n\r\n"));
		served = strstr(caller->received->str, "HTTP/1.1 200") != NULL;
		rig_caller_destroy(caller);
	}
	assert_true(served);
}

/*
 * The store moves to another address, which is written to the settings and followed by
 * a SIGHUP. Guards against a gateway that goes on with an old configuration.
 */
static void test_settings_are_reloaded_on_a_signal(void **state)
{
	gateway_rig_t *rig = *state;

	rig->stores[0].down = true;
	rig_write_settings(rig, 0, 2);
	process_signal(rig->gateways[0], SIGHUP);
	RIG_UNTIL(rig, has_logged(rig, 0, "key=store.address changed=yes"));
	await_new_route(rig);
}

/* The same without a signal. */
static void test_changed_settings_are_reloaded(void **state)
{
	gateway_rig_t *rig = *state;

	/* A change is only detected after the file was checked once. */
	RIG_UNTIL(rig, has_logged(rig, 0, "start node="));
	for (uint64_t end = uv_hrtime() + 50 * 1000000; uv_hrtime() < end;)
		rig_run_once(rig);
	rig->stores[0].down = true;
	rig_write_settings(rig, 0, 2);
	RIG_UNTIL(rig, has_logged(rig, 0, "key=store.address changed=yes"));
	await_new_route(rig);
}

/*
 * Guards against a gateway that exits, or applies half of the settings, when the file is
 * invalid.
 */
static void test_invalid_settings_change_nothing(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;

	rig_write_invalid_settings(rig, 0);
	process_signal(rig->gateways[0], SIGHUP);
	RIG_UNTIL(rig, has_logged(rig, 0, "settings: reload"));
	caller = call(rig, "/safe/");
	RIG_UNTIL(rig, rig_has_received(caller, "HTTP/1.1 200"));
	rig_caller_destroy(caller);
}

#define GATEWAY_TEST(test) \
	cmocka_unit_test_setup_teardown(test, setup, teardown)

/* Runs the rig for MS milliseconds. */
static void run_for(gateway_rig_t *rig, uint64_t ms)
{
	uint64_t end = rig_now_ms() + ms;

	while (rig_now_ms() < end)
		rig_run_once(rig);
}

/* Sends LEAVE_CALLS calls at once and asserts that all of them get a 200. */
static void make_calls(gateway_rig_t *rig)
{
	rig_caller_t *callers[LEAVE_CALLS];

	for (int i = 0; i < LEAVE_CALLS; i++)
		callers[i] = rig_call_at(rig, 0, "GET", "/safe/x", "c");
	for (int i = 0; i < LEAVE_CALLS; i++) {
		RIG_UNTIL(rig, rig_has_received(callers[i], "\r\n\r\n"));
		assert_true(rig_has_received(callers[i], "HTTP/1.1 200"));
		rig_caller_destroy(callers[i]);
	}
}

/*
 * An upstream leaves seconds after an outage in which the store was silent. Guards
 * against its removal being taken for an expiry in the outage, as it comes with the
 * first reply to a watch since then.
 */
static void test_a_removal_after_an_outage_is_no_expiry(void **state)
{
	gateway_rig_t *rig = *state;
	rig_server_t *store = &rig->stores[0];
	unsigned int before;
	uint64_t left;

	make_calls(rig);
	assert_true(rig->upstreams[0].arrivals > 0);
	store->silent = true;
	RIG_UNTIL(rig, has_logged(rig, 0, "lost=upstreams"));
	before = store->silent_watches;
	RIG_UNTIL(rig, store->silent_watches > before);
	store->silent = false;
	run_for(rig, RECOVERY_TO_LEAVE_MS);
	rig_remove(rig, "servers", "u0");
	left = uv_hrtime();
	while (uv_hrtime() - left < DRAIN_NS)
		rig_run_once(rig);
	before = rig->upstreams[0].arrivals;
	make_calls(rig);
	assert_int_equal(rig->upstreams[0].arrivals, before);
}

/*
 * Returns a socket that listens on PORT with a full backlog, so that connecting to it
 * hangs; stores the sockets that fill it in FILLERS. The caller closes them all.
 */
static int listen_with_full_backlog(uint16_t *port, int *fillers)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&addr, len), 0);
	assert_int_equal(listen(fd, 0), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&addr, &len), 0);
	*port = ntohs(addr.sin_port);
	for (int i = 0; i < BACKLOG_FILLERS; i++) {
		fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		assert_true(!connect(fillers[i], (struct sockaddr *)&addr, len) ||
			    errno == EINPROGRESS);
	}
	return fd;
}

/* Guards against a request sent to an upstream that left while it connected. */
static void test_connecting_to_a_draining_upstream_is_abandoned(void **state)
{
	gateway_rig_t *rig = *state;
	int fillers[BACKLOG_FILLERS];
	int full = listen_with_full_backlog(&rig->upstream_proxy_ports[0], fillers);
	rig_caller_t *caller;

	rig_put_config(rig, 1, "");
	rig_put_upstream(rig, 0, "ready");
	RIG_UNTIL(rig, rig_is_ready(rig, 0));
	caller = call(rig, "/unsafe/x");
	run_for(rig, CONNECTING_MS);
	rig_put_upstream(rig, 1, "ready");
	rig_put_upstream(rig, 0, "draining");
	RIG_UNTIL(rig, rig_has_received(caller, "from 1"));
	assert_true(has_logged(rig, 0, "reason=\"upstream left\" upstream=u0"));
	rig_caller_destroy(caller);
	for (int i = 0; i < BACKLOG_FILLERS; i++)
		close(fillers[i]);
	close(full);
}

/*
 * Guards against a call that hangs in a silent store for as long as a watch may, so that
 * a gateway detects the end of the outage seconds late.
 */
static void test_the_end_of_a_silent_outage_is_detected(void **state)
{
	gateway_rig_t *rig = *state;
	rig_server_t *store = &rig->stores[0];
	unsigned int before;

	store->silent = true;
	RIG_UNTIL(rig, has_logged(rig, 0, "lost=upstreams"));
	before = store->silent_watches;
	RIG_UNTIL(rig, store->silent_watches > before);
	store->silent = false;
	RIG_UNTIL_WITHIN(rig, has_logged(rig, 0, "regained=upstreams"),
			 DETECTION_MAX_MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		GATEWAY_TEST(test_a_call_is_forwarded_unchanged),
		cmocka_unit_test_setup_teardown(test_no_configuration_is_no_404,
						setup_bare, teardown),
		GATEWAY_TEST(test_unknown_routes_and_keys),
		GATEWAY_TEST(test_a_hang_up_reaches_the_upstream),
		GATEWAY_TEST(test_an_unsafe_call_is_sent_once),
		GATEWAY_TEST(test_a_safe_call_goes_to_another_upstream),
		GATEWAY_TEST(test_a_rejected_call_is_refused_as_not_run),
		GATEWAY_TEST(test_the_answer_to_another_call_is_skipped),
		GATEWAY_TEST(test_a_stream_is_resumed_at_another_upstream),
		GATEWAY_TEST(test_an_aborted_stream_does_not_look_complete),
		GATEWAY_TEST(test_a_call_is_answered_by_its_deadline),
		GATEWAY_TEST(test_a_stop_completes_requests),
		GATEWAY_TEST(test_a_stopping_gateway_refuses_long_requests),
		GATEWAY_TEST(test_a_stopping_gateway_reads_new_connections),
		GATEWAY_TEST(test_a_stop_waits_for_a_request_being_read),
		GATEWAY_TEST(test_a_stop_waits_for_a_slow_reader),
		GATEWAY_TEST(test_a_draining_upstream_gets_no_requests),
		GATEWAY_TEST(test_peers_update_a_gateway_without_the_store),
		GATEWAY_TEST(test_registrations_that_expired_and_were_renewed_serve),
		GATEWAY_TEST(test_calls_at_a_restarted_upstream_do_not_wait),
		GATEWAY_TEST(test_invalid_registrations_do_not_affect_others),
		GATEWAY_TEST(test_windows_are_reported_once),
		GATEWAY_TEST(test_a_slow_head_times_out),
		GATEWAY_TEST(test_a_late_body_times_out),
		GATEWAY_TEST(test_settings_are_reloaded_on_a_signal),
		GATEWAY_TEST(test_changed_settings_are_reloaded),
		GATEWAY_TEST(test_invalid_settings_change_nothing),
		GATEWAY_TEST(test_a_removal_after_an_outage_is_no_expiry),
		GATEWAY_TEST(test_the_end_of_a_silent_outage_is_detected),
		cmocka_unit_test_setup_teardown(
			test_connecting_to_a_draining_upstream_is_abandoned,
			setup_bare, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
