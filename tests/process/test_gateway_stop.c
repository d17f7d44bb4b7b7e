/*
 * Tests of gateways that are stopped while calls arrive whose routes allow more time than
 * is left until the process is killed.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "tests/harness/gateway_calls.h"

#define SHORT_GRACE_S 2
/* Calls sent later than this after SIGTERM are served whole or not run. */
#define LATE_MS 3000
#define SHORT_DEADLINE_MS 1500
#define LONG_DEADLINE_MS 20000
#define REFUSAL_MS 300 /* of a call that is refused at once */
#define CALL_PERIOD_MS 150
#define LAST_CALL_MS 7500
#define KEPT 60 /* connections that have carried a call before SIGTERM */
#define CALLS_MAX 600
/* Calls that a gateway sends to one upstream at a time, see rig_put_upstream(). */
#define FULL 20

/* A call whose response is awaited. */
typedef struct pending {
	rig_caller_t *caller;
	char id[16];
	bool kept; /* its connection has carried a call before */
	bool unsafe;
	bool is_long; /* its deadline is after the end of the grace period */
	uint64_t sent_ms; /* after SIGTERM; 0: before it */
} pending_t;

typedef struct stop {
	gateway_rig_t *rig;
	uint64_t stopped_ms; /* time of SIGTERM; 0: not yet */
	rig_caller_t *kept[KEPT];
	unsigned int kept_count;
	pending_t calls[CALLS_MAX];
	unsigned int count;
} stop_t;

/* Routes to the service of the rig, with a timeout longer than the grace period. */
static const char long_routes[] =
	",{\"name\":\"long-safe\",\"host\":\"h\",\"pathPrefix\":\"/long-safe/"
	"\","
	"\"kind\":\"safe\",\"timeoutMs\":20000,\"goalMs\":20000,"
	"\"priority\":1,\"service\":\"s\",\"maxAttempts\":2,"
	"\"resumable\":false}"
	",{\"name\":\"long-unsafe\",\"host\":\"h\","
	"\"pathPrefix\":\"/long-unsafe/\",\"kind\":\"unsafe\","
	"\"timeoutMs\":20000,\"goalMs\":20000,\"priority\":1,"
	"\"service\":\"s\",\"maxAttempts\":2,\"resumable\":false}";

/* Has the path of a call decide how it is answered. */
static rig_behavior_t choose_behavior(void *ctx, const char *target)
{
	(void)ctx;
	if (strstr(target, "/hang"))
		return RIG_HANG;
	if (strstr(target, "/rejected"))
		return RIG_REJECT_SLOWLY;
	return strstr(target, "/slow") ? RIG_SLOW : RIG_ANSWER;
}

/* Starts gateways with UPSTREAMS upstreams; those of CUT_OFF reach none of them. */
static stop_t *stop_create(int gateways, int upstreams, int cut_off,
			   unsigned int grace_s)
{
	stop_t *stop = g_new0(stop_t, 1);
	gateway_rig_t *rig = gateway_rig_create_sized(gateways, upstreams);

	stop->rig = rig;
	rig->grace_s = grace_s;
	rig->choose_behavior = choose_behavior;
	for (int i = 0; i < cut_off; i++)
		rig_cut_off(rig, i);
	rig_put_config(rig, 1, long_routes);
	for (int i = 0; i < upstreams; i++)
		rig_put_upstream(rig, i, "ready");
	rig_start_gateways(rig, 1);
	return stop;
}

static int setup(void **state)
{
	*state = stop_create(1, RIG_UPSTREAMS, 0, RIG_GRACE_S);
	return 0;
}

static int setup_short_grace(void **state)
{
	*state = stop_create(1, RIG_UPSTREAMS, 0, SHORT_GRACE_S);
	return 0;
}

static int setup_one_upstream(void **state)
{
	*state = stop_create(1, 1, 0, RIG_GRACE_S);
	return 0;
}

/* Returns whether a call to gateway 0 is served. */
static bool is_served(gateway_rig_t *rig)
{
	rig_caller_t *caller = rig_call_at(rig, 0, "POST", "/safe/", "first");
	bool served;

	RIG_UNTIL(rig, rig_has_received(caller, "\r\n\r\n"));
	served = rig_has_received(caller, "HTTP/1.1 200");
	rig_caller_destroy(caller);
	return served;
}

/* Starts two gateways; the first reaches no upstream and relays its calls. */
static int setup_cut_off(void **state)
{
	stop_t *stop = stop_create(2, RIG_UPSTREAMS, 1, RIG_GRACE_S);

	RIG_UNTIL(stop->rig, is_served(stop->rig));
	*state = stop;
	return 0;
}

static int teardown(void **state)
{
	stop_t *stop = *state;

	for (unsigned int i = 0; i < stop->count; i++)
		rig_caller_destroy(stop->calls[i].caller);
	for (unsigned int i = 0; i < stop->kept_count; i++)
		rig_caller_destroy(stop->kept[i]);
	gateway_rig_destroy(stop->rig);
	g_free(stop);
	return 0;
}

/* Returns the time since SIGTERM, or 0 before it. */
static uint64_t since_stop(const stop_t *stop)
{
	return stop->stopped_ms ? rig_now_ms() - stop->stopped_ms : 0;
}

static void send_call(rig_caller_t *caller, const char *path, const char *id,
		      unsigned int deadline_ms)
{
	char *text = g_strdup_printf("POST %s HTTP/1.1\r\nHost: h\r\n"
				     "X-Attempt-Id: %s\r\n"
				     "X-Deadline-Ms: %u\r\n"
				     "Authorization: Bearer k\r\n"
				     "Content-Length: 4\r\n\r\nbody",
				     path, id, deadline_ms);

	rig_send(caller, text);
	g_free(text);
}

/* Opens connections to gateway 0 that stay open after a first call. */
static void open_kept(stop_t *stop)
{
	for (; stop->kept_count < KEPT; stop->kept_count++) {
		rig_caller_t *caller =
			rig_call_at(stop->rig, 0, "POST", "/safe/", "first");

		RIG_UNTIL(stop->rig, rig_has_received(caller, "from "));
		g_string_truncate(caller->received, 0);
		stop->kept[stop->kept_count] = caller;
	}
}

/* Takes one of the kept connections that is still open; returns NULL if none is. */
static rig_caller_t *take_kept(stop_t *stop)
{
	while (stop->kept_count) {
		rig_caller_t *caller = stop->kept[--stop->kept_count];

		if (!rig_is_closed(caller))
			return caller;
		rig_caller_destroy(caller);
	}
	return NULL;
}

/* Sends a call on CALLER, or on a new connection to gateway NUMBER if that is NULL. */
static pending_t *begin_call(stop_t *stop, int number, rig_caller_t *caller,
			     const char *path, unsigned int deadline_ms)
{
	pending_t *call = &stop->calls[stop->count];

	assert_true(stop->count < CALLS_MAX);
	call->kept = caller != NULL;
	if (!caller)
		caller = rig_call(stop->rig,
				  rig_port(stop->rig, number, "callers"), "");
	snprintf(call->id, sizeof(call->id), "c%u", stop->count);
	call->caller = caller;
	call->unsafe = strstr(path, "unsafe") != NULL;
	call->is_long = deadline_ms == LONG_DEADLINE_MS;
	call->sent_ms = since_stop(stop);
	if (caller->closed) {
		rig_caller_destroy(caller);
		return NULL;
	}
	send_call(caller, path, call->id, deadline_ms);
	stop->count++;
	return call;
}

/* Stops gateway NUMBER. */
static void stop_gateway(stop_t *stop, int number)
{
	process_signal(stop->rig->gateways[number], SIGTERM);
	stop->stopped_ms = rig_now_ms();
}

/* Returns the status of the response to a call; 0: none, or not its whole head. */
static int status_of(pending_t *call)
{
	const char *text;

	rig_receive(call->caller);
	text = call->caller->received->str;
	if (!strstr(text, "\r\n\r\n"))
		return 0;
	return (int)strtol(text + strlen("HTTP/1.1 "), NULL, 10);
}

/*
 * Returns whether a call has a whole answer, or a failure that is true and may be: one
 * that has run ends without a result only at its deadline, or if it was sent early.
 */
static bool is_answered(stop_t *stop, pending_t *call)
{
	unsigned int runs = rig_run_count(stop->rig, call->id);

	if (call->unsafe && runs > 1)
		return false;
	switch (status_of(call)) {
	case 0:
		/* A connection may be closed as a call on it is on its way. */
		return call->kept && !runs;
	case 200:
		return rig_has_received(call->caller, "from ");
	case 502:
		return call->is_long && call->sent_ms <= LATE_MS;
	case 503:
		return !runs &&
		       rig_has_received(call->caller, "Connection: close");
	case 504:
		return !call->is_long;
	default:
		return false;
	}
}

/* Waits until gateway NUMBER ends by itself, and asserts that all calls are answered. */
static void assert_all_answered(stop_t *stop, int number)
{
	process_t *process = stop->rig->gateways[number];
	unsigned int wrong = 0;

	RIG_UNTIL(stop->rig, process_ended(process));
	assert_int_equal(process->status, 0);
	assert_true(since_stop(stop) < stop->rig->grace_s * 1000);
	for (unsigned int i = 0; i < stop->count; i++) {
		pending_t *call = &stop->calls[i];

		if (is_answered(stop, call))
			continue;
		print_error("%s, sent %" G_GUINT64_FORMAT
			    " ms after SIGTERM: status %d, %u runs\n",
			    call->id, call->sent_ms, status_of(call),
			    rig_run_count(stop->rig, call->id));
		wrong++;
	}
	assert_int_equal(wrong, 0);
}

/* Sends a call of each kind. */
static void send_calls(stop_t *stop)
{
	static const char *const paths[] = { "/long-unsafe/hang", "/long-safe/hang",
					     "/long-unsafe/slow" };
	static const unsigned int deadlines[] = { SHORT_DEADLINE_MS,
						  LONG_DEADLINE_MS };

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(deadlines); k++)
			begin_call(stop, 0, NULL, paths[i], deadlines[k]);
	}
	for (size_t k = 0; k < G_N_ELEMENTS(deadlines); k++) {
		rig_caller_t *kept = take_kept(stop);

		if (kept)
			begin_call(stop, 0, kept, "/long-unsafe/hang",
				   deadlines[k]);
	}
}

/* Guards against calls that are taken late in the grace period and cut at its end. */
static void test_a_stop_answers_calls_that_outlast_it(void **state)
{
	stop_t *stop = *state;
	gateway_rig_t *rig = stop->rig;

	open_kept(stop);
	begin_call(stop, 0, NULL, "/long-unsafe/hang", LONG_DEADLINE_MS);
	begin_call(stop, 0, NULL, "/long-safe/hang", LONG_DEADLINE_MS);
	RIG_UNTIL(rig, rig_run_count(rig, "c1") && rig_run_count(rig, "c0"));
	stop_gateway(stop, 0);
	while (since_stop(stop) < LAST_CALL_MS) {
		send_calls(stop);
		rig_run_for(rig, CALL_PERIOD_MS);
	}
	assert_all_answered(stop, 0);
	assert_int_equal(status_of(&stop->calls[0]), 502);
	assert_int_equal(status_of(&stop->calls[1]), 502);
}

/* Guards against refusals of calls that come before the load balancer has noticed. */
static void test_a_stopping_gateway_serves_long_calls_at_first(void **state)
{
	stop_t *stop = *state;
	pending_t *call;

	stop_gateway(stop, 0);
	RIG_UNTIL(stop->rig, !rig_is_ready(stop->rig, 0));
	call = begin_call(stop, 0, NULL, "/long-unsafe/slow", LONG_DEADLINE_MS);
	RIG_UNTIL(stop->rig, status_of(call));
	assert_int_equal(status_of(call), 200);
}

/* Guards against refusals of short calls that still end within the grace period. */
static void test_a_stopping_gateway_serves_short_calls_of_long_routes(void **state)
{
	stop_t *stop = *state;
	pending_t *call;

	stop_gateway(stop, 0);
	rig_run_for(stop->rig, LATE_MS);
	call = begin_call(stop, 0, NULL, "/long-unsafe/slow", SHORT_DEADLINE_MS);
	assert_non_null(call);
	RIG_UNTIL(stop->rig, status_of(call));
	assert_int_equal(status_of(call), 200);
}

/* Guards against unsafe calls that wait as the gateway stops and are sent late. */
static void test_a_stop_refuses_unsafe_calls_that_wait(void **state)
{
	stop_t *stop = *state;
	gateway_rig_t *rig = stop->rig;
	pending_t *call;

	for (int i = 0; i < FULL; i++)
		begin_call(stop, 0, NULL, "/long-safe/hang", LONG_DEADLINE_MS);
	RIG_UNTIL(rig, rig->upstreams[0].arrivals == FULL);
	call = begin_call(stop, 0, NULL, "/long-unsafe/hang", LONG_DEADLINE_MS);
	rig_run_for(rig, REFUSAL_MS);
	assert_int_equal(status_of(call), 0);
	stop_gateway(stop, 0);
	rig_run_for(rig, LATE_MS);
	assert_int_equal(status_of(call), 503);
	assert_all_answered(stop, 0);
}

/* Guards against a retry of an unsafe call that outlasts the grace period. */
static void test_a_stop_ends_retries_of_unsafe_calls(void **state)
{
	stop_t *stop = *state;
	gateway_rig_t *rig = stop->rig;
	pending_t *call;

	stop_gateway(stop, 0);
	rig_run_for(rig, LATE_MS - RIG_SLOW_MS);
	call = begin_call(stop, 0, NULL, "/long-unsafe/rejected", LONG_DEADLINE_MS);
	RIG_UNTIL(rig, status_of(call));
	assert_int_equal(status_of(call), 503);
	assert_int_equal(rig->upstreams[0].arrivals + rig->upstreams[1].arrivals +
				 rig->upstreams[2].arrivals,
			 1);
	assert_all_answered(stop, 0);
}

/* Guards against a relayed call that is cut as the gateway that relays it stops. */
static void test_a_stop_answers_calls_that_it_relays(void **state)
{
	stop_t *stop = *state;
	gateway_rig_t *rig = stop->rig;

	begin_call(stop, 0, NULL, "/long-unsafe/hang", LONG_DEADLINE_MS);
	RIG_UNTIL(rig, rig_run_count(rig, "c0"));
	stop_gateway(stop, 0);
	rig_run_for(rig, LATE_MS);
	begin_call(stop, 0, NULL, "/long-unsafe/hang", LONG_DEADLINE_MS);
	assert_all_answered(stop, 0);
	assert_int_equal(status_of(&stop->calls[0]), 502);
	assert_int_equal(status_of(&stop->calls[1]), 503);
}

/* Guards against relayed calls that a stopping gateway takes late. */
static void test_a_stopping_gateway_refuses_long_relayed_calls(void **state)
{
	stop_t *stop = *state;
	gateway_rig_t *rig = stop->rig;
	pending_t *call;

	begin_call(stop, 0, NULL, "/long-unsafe/", LONG_DEADLINE_MS);
	RIG_UNTIL(rig, rig_run_count(rig, "c0"));
	stop_gateway(stop, 1);
	rig_run_for(rig, LATE_MS);
	call = begin_call(stop, 0, NULL, "/long-unsafe/hang", LONG_DEADLINE_MS);
	rig_run_for(rig, REFUSAL_MS);
	assert_int_equal(status_of(call), 503);
	assert_int_equal(rig_run_count(rig, call->id), 0);
}

/* Guards against a process that is killed since its grace period is short. */
static void test_a_stop_ends_within_a_short_grace_period(void **state)
{
	stop_t *stop = *state;
	gateway_rig_t *rig = stop->rig;

	begin_call(stop, 0, NULL, "/long-unsafe/hang", LONG_DEADLINE_MS);
	RIG_UNTIL(rig, rig_run_count(rig, "c0"));
	stop_gateway(stop, 0);
	assert_all_answered(stop, 0);
	assert_int_equal(status_of(&stop->calls[0]), 502);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_a_stop_answers_calls_that_outlast_it,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_a_stopping_gateway_serves_long_calls_at_first,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_a_stopping_gateway_serves_short_calls_of_long_routes,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_stop_refuses_unsafe_calls_that_wait,
						setup_one_upstream, teardown),
		cmocka_unit_test_setup_teardown(test_a_stop_ends_retries_of_unsafe_calls,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_stop_answers_calls_that_it_relays,
						setup_cut_off, teardown),
		cmocka_unit_test_setup_teardown(
			test_a_stopping_gateway_refuses_long_relayed_calls,
			setup_cut_off, teardown),
		cmocka_unit_test_setup_teardown(test_a_stop_ends_within_a_short_grace_period,
						setup_short_grace, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
