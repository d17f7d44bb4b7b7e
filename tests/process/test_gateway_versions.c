/* Tests of three gateways whose upstreams run two software versions. */
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
#define STREAMS 24
#define EVENTS_SEEN 2 /* before a stream is broken off */
#define CUT_OFF_MS 3000 /* until a gateway has found out that it is cut off */
#define FORGOTTEN_MS \
	32000 /* after which a version that serves no longer is forgotten */
#define KNOWN_MS 1000 /* after which other gateways know of a stream */

/* A caller that has received a part of a stream. */
typedef struct taken {
	char id[32];
	bool old; /* its first event is from the old version */
} taken_t;

/* Starts the fleet, with upstream 0 of a version and the others of the new one. */
static void start_rig_of(gateway_rig_t *rig, const char *version)
{
	rig->first_start = true;
	for (int i = 0; i < RIG_UPSTREAMS; i++) {
		rig->upstreams[i].version = i ? NEW : version;
		rig->upstreams[i].behavior = RIG_STREAM;
	}
	rig_start_fleet(rig);
}

/*
 * Starts three gateways, with upstream 0 of a version and the others of the new one.
 * CUT_OFF: gateway 1 reaches none of them.
 */
static void start_rig(void **state, const char *version, bool cut_off)
{
	gateway_rig_t *rig = gateway_rig_create();

	if (cut_off)
		rig_cut_off(rig, 1);
	start_rig_of(rig, version);
	*state = rig;
}

/* Starts the same, with a gateway 1 that exchanges no messages with the others. */
static void start_apart(void **state, const char *version)
{
	gateway_rig_t *rig = gateway_rig_create();

	rig->apart[1] = true;
	start_rig_of(rig, version);
	*state = rig;
}

/* Has one version, and gateway 1 apart. */
static int setup_apart(void **state)
{
	start_apart(state, NEW);
	return 0;
}

/* Has two versions, and gateway 1 apart. */
static int setup_two_apart(void **state)
{
	start_apart(state, OLD);
	return 0;
}

/* Has two versions, and gateway 1 start apart and without the store. */
static int setup_late(void **state)
{
	gateway_rig_t *rig = gateway_rig_create();

	rig->apart[1] = true;
	rig->stores[1].silent = true;
	rig->first_start = true;
	rig_put_config(rig, 1, "");
	for (int i = 0; i < RIG_UPSTREAMS; i++) {
		rig->upstreams[i].version = i ? NEW : OLD;
		rig->upstreams[i].behavior = RIG_STREAM;
		rig_put_upstream(rig, i, "ready");
	}
	for (int i = 0; i < RIG_GATEWAYS; i++)
		rig_start_gateway(rig, i, 1);
	RIG_UNTIL(rig, rig_is_ready(rig, 0));
	RIG_UNTIL(rig, rig_is_ready(rig, 2));
	*state = rig;
	return 0;
}

/* Has one version, and no gateway exchange messages with another one. */
static int setup_all_apart(void **state)
{
	gateway_rig_t *rig = gateway_rig_create();

	for (int i = 0; i < RIG_GATEWAYS; i++)
		rig->apart[i] = true;
	start_rig_of(rig, NEW);
	*state = rig;
	return 0;
}

/* Has gateway 1 reach no upstream. */
static int setup_cut_off(void **state)
{
	start_rig(state, OLD, true);
	return 0;
}

static int setup(void **state)
{
	start_rig(state, OLD, false);
	return 0;
}

static int setup_one_version(void **state)
{
	start_rig(state, NEW, false);
	return 0;
}

static int teardown(void **state)
{
	gateway_rig_destroy(*state);
	return 0;
}

/* Fails the test if a caller has received events of two versions. */
static void check_one_version(const rig_caller_t *caller)
{
	const char *text = caller->received->str;

	if (strstr(text, OLD "\n") && strstr(text, NEW "\n"))
		fail_msg("events of two versions: %s", text);
}

/* Returns whether a stream is complete. */
static bool is_complete(const rig_caller_t *caller)
{
	return strstr(caller->received->str, "\r\n0\r\n\r\n") != NULL;
}

/* Returns whether a call has ended, with a complete response or without. */
static bool is_over(rig_caller_t *caller)
{
	rig_receive(caller);
	return caller->closed || is_complete(caller) ||
	       strstr(caller->received->str, "Content-Length: 0");
}

/* Sends a call for stream NUMBER from its start; owned by the caller. */
static rig_caller_t *begin(gateway_rig_t *rig, int gateway, const char *id,
			   int number)
{
	char path[32];

	snprintf(path, sizeof(path), "/stream/%d", number);
	return rig_call_at(rig, gateway, "POST", path, id);
}

/* Guards against gateways that resume a stream at another version by themselves. */
static void test_gateway_resumes_stream_at_its_version_only(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *callers[STREAMS];
	unsigned int complete = 0;

	rig->upstreams[0].behavior = RIG_STREAM_CUT;
	rig->upstreams[1].behavior = RIG_STREAM_CUT;
	for (int i = 0; i < STREAMS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "a%d", i);
		callers[i] = begin(rig, i % RIG_GATEWAYS, id, i);
	}
	for (int i = 0; i < STREAMS; i++) {
		RIG_UNTIL(rig, is_over(callers[i]));
		check_one_version(callers[i]);
		complete += is_complete(callers[i]);
		rig_caller_destroy(callers[i]);
	}
	/* Two of three begin at the new version, and can go on there. */
	print_message("%u of %d complete\n", complete, STREAMS);
	assert_true(complete >= STREAMS / 3);
}

/* Sends a call for stream NUMBER, which attempt BEGAN began; owned by the caller. */
static rig_caller_t *resume(gateway_rig_t *rig, int gateway, const char *id,
			    int number, const char *began)
{
	rig_caller_t *caller = rig_call(rig, rig_port(rig, gateway, "callers"), "");
	char path[32];
	char more[64];

	snprintf(path, sizeof(path), "/stream/%d", number);
	snprintf(more, sizeof(more), "Resumes: %s\r\nLast-Event-Id: %d\r\n",
		 began, EVENTS_SEEN);
	rig_send_call_with(caller, "POST", path, id, more);
	return caller;
}

/* Has callers take a part of a stream each, from gateway 0, and leave. */
static void take_parts(gateway_rig_t *rig, taken_t *taken, bool leave)
{
	rig_caller_t *callers[STREAMS];

	for (int i = 0; i < STREAMS; i++) {
		snprintf(taken[i].id, sizeof(taken[i].id), "t%d", i);
		callers[i] = begin(rig, 0, taken[i].id, i);
	}
	for (int i = 0; i < STREAMS; i++) {
		RIG_UNTIL(rig, rig_has_received(callers[i], "id: 2\n"));
		taken[i].old = strstr(callers[i]->received->str, OLD "\n");
	}
	if (!leave)
		rig_run_for(rig, KNOWN_MS);
	for (int i = 0; i < STREAMS; i++)
		rig_caller_destroy(callers[i]);
}

/*
 * Has the callers go on at other gateways. Checks that none gets events of another
 * version, and returns how many streams went on.
 */
static unsigned int resume_all(gateway_rig_t *rig, const taken_t *taken, int round)
{
	rig_caller_t *callers[STREAMS];
	unsigned int complete = 0;

	for (int i = 0; i < STREAMS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "r%d-%d", round, i);
		callers[i] = resume(rig, 1 + i % (RIG_GATEWAYS - 1), id, i,
				    taken[i].id);
	}
	for (int i = 0; i < STREAMS; i++) {
		const char *text;

		RIG_UNTIL(rig, is_over(callers[i]));
		text = callers[i]->received->str;
		if (strstr(text, taken[i].old ? NEW "\n" : OLD "\n"))
			fail_msg("%s of version %s went on: %s", taken[i].id,
				 taken[i].old ? OLD : NEW, text);
		complete += is_complete(callers[i]);
		rig_caller_destroy(callers[i]);
	}
	print_message("%u of %d went on\n", complete, STREAMS);
	return complete;
}

/* Guards against callers that resume a stream of another version at another gateway. */
static void test_caller_resumes_stream_at_its_version_only(void **state)
{
	gateway_rig_t *rig = *state;
	taken_t taken[STREAMS];

	take_parts(rig, taken, true);
	assert_true(resume_all(rig, taken, 0) >= STREAMS / 2);
}

/* Guards against a stream of a killed gateway that goes on at another version. */
static void test_stream_of_killed_gateway_goes_on_at_its_version_only(void **state)
{
	gateway_rig_t *rig = *state;
	taken_t taken[STREAMS];

	take_parts(rig, taken, false);
	process_destroy(rig->gateways[0]);
	rig->gateways[0] = NULL;
	assert_true(resume_all(rig, taken, 0) >= STREAMS / 2);
}

/* Guards against a stream that goes on at the version that has replaced its own. */
static void test_stream_does_not_go_on_at_version_that_replaced_its_own(void **state)
{
	gateway_rig_t *rig = *state;
	taken_t taken[STREAMS];

	take_parts(rig, taken, true);
	rig->upstreams[0].version = NEW;
	rig_end_upstream(rig, 0);
	rig_run_for(rig, RIG_RESTART_MS + 300);
	assert_true(resume_all(rig, taken, 0) >= STREAMS / 3);
}

/* Guards against the same where the upstream ends while it runs streams. */
static void test_version_is_replaced_at_same_address_mid_stream(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *callers[STREAMS];

	for (int i = 0; i < STREAMS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "m%d", i);
		callers[i] = begin(rig, i % RIG_GATEWAYS, id, i);
	}
	rig_run_for(rig, 70);
	rig->upstreams[0].version = NEW;
	rig->upstreams[1].version = OLD;
	rig_end_upstream(rig, 0);
	rig_end_upstream(rig, 1);
	for (int i = 0; i < STREAMS; i++) {
		RIG_UNTIL(rig, is_over(callers[i]));
		check_one_version(callers[i]);
		rig_caller_destroy(callers[i]);
	}
}

/* Kills all gateways and starts them again, for the time START_COUNT. */
static void restart_all(gateway_rig_t *rig, int start_count)
{
	for (int i = 0; i < RIG_GATEWAYS; i++) {
		process_destroy(rig->gateways[i]);
		rig->gateways[i] = NULL;
	}
	rig->first_start = false;
	rig_start_gateways(rig, start_count);
}

/*
 * Guards against streams that are joined, or refused, after all gateways were killed while
 * two versions serve.
 */
static void test_streams_go_on_at_their_version_after_kill_of_all_gateways(void **state)
{
	gateway_rig_t *rig = *state;
	taken_t taken[STREAMS];

	take_parts(rig, taken, false);
	restart_all(rig, 2);
	assert_true(resume_all(rig, taken, 0) >= STREAMS * 3 / 4);
}

/* Guards against the loss of what one kill of all left by another one soon after. */
static void test_streams_go_on_after_two_kills_of_all_gateways(void **state)
{
	gateway_rig_t *rig = *state;
	taken_t taken[STREAMS];

	take_parts(rig, taken, false);
	restart_all(rig, 2);
	rig_run_for(rig, KNOWN_MS / 4);
	restart_all(rig, 3);
	assert_true(resume_all(rig, taken, 0) >= STREAMS * 3 / 4);
	rig_run_for(rig, KNOWN_MS);
	restart_all(rig, 4);
	assert_true(resume_all(rig, taken, 1) >= STREAMS * 3 / 4);
}

/*
 * Guards against the refusal of streams after all gateways were killed where only one
 * version could have begun them.
 */
static void test_streams_of_only_version_go_on_after_kill_of_all_gateways(void **state)
{
	gateway_rig_t *rig = *state;
	taken_t taken[STREAMS];

	take_parts(rig, taken, false);
	restart_all(rig, 2);
	assert_true(resume_all(rig, taken, 0) >= STREAMS * 3 / 4);
}

/* Has upstream 0 end, and serve again at a version. */
static void replace_upstream(gateway_rig_t *rig, const char *version)
{
	rig->upstreams[0].version = version;
	rig_end_upstream(rig, 0);
	rig_run_for(rig, RIG_RESTART_MS + 300);
}

/*
 * Guards against streams that are joined after a kill of all gateways, as the checkpoint
 * names the only version of a time before another one came and went.
 */
static void test_version_that_came_after_last_write_is_not_joined(void **state)
{
	gateway_rig_t *rig = *state;
	taken_t taken[STREAMS];

	rig_run_for(rig, KNOWN_MS);
	rig->refuses_writes = true;
	replace_upstream(rig, OLD);
	take_parts(rig, taken, false);
	replace_upstream(rig, NEW);
	restart_all(rig, 2);
	resume_all(rig, taken, 0);
}

/* Has the store answer no call of gateway 1 from now on, not even those in flight. */
static void cut_store(gateway_rig_t *rig)
{
	rig->stores[1].silent_waits = 0;
	rig->stores[1].silent = true;
	RIG_UNTIL(rig, rig->stores[1].silent_waits > 0);
}

/* Guards against a gateway out of step that joins streams of a version that it missed. */
static void test_version_that_joined_during_a_cut_is_not_joined(void **state)
{
	gateway_rig_t *rig = *state;
	taken_t taken[STREAMS];

	cut_store(rig);
	replace_upstream(rig, OLD);
	take_parts(rig, taken, true);
	assert_true(resume_all(rig, taken, 0) >= STREAMS * 3 / 8);
}

/* Guards against the same where the version has left again, and the history is gone. */
static void test_version_that_left_before_a_new_listing_is_not_joined(void **state)
{
	gateway_rig_t *rig = *state;
	taken_t taken[STREAMS];

	cut_store(rig);
	replace_upstream(rig, OLD);
	take_parts(rig, taken, true);
	replace_upstream(rig, NEW);
	rig->history_from = rig->revision;
	rig->stores[1].silent = false;
	RIG_UNTIL(rig, rig_count_logged(rig, 1, "relist=upstreams"));
	rig_run_for(rig, KNOWN_MS / 4);
	resume_all(rig, taken, 0);
}

/* Guards against the same where it left before a gateway of the first start listed any. */
static void test_version_that_left_before_the_first_listing_is_not_joined(void **state)
{
	gateway_rig_t *rig = *state;
	taken_t taken[STREAMS];

	take_parts(rig, taken, true);
	replace_upstream(rig, NEW);
	rig->stores[1].silent = false;
	RIG_UNTIL(rig, rig_is_ready(rig, 1));
	resume_all(rig, taken, 0);
}

/* Guards against streams of a version that only a gateway out of step for long still uses. */
static void test_version_that_others_have_forgotten_is_not_joined(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *callers[STREAMS];
	bool old[STREAMS];

	cut_store(rig);
	rig_remove(rig, "servers", "u0");
	rig_run_for(rig, FORGOTTEN_MS);
	for (int i = 0; i < STREAMS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "f%d", i);
		callers[i] = begin(rig, 1, id, i);
	}
	for (int i = 0; i < STREAMS; i++) {
		RIG_UNTIL(rig, rig_has_received(callers[i], "id: 2\n"));
		old[i] = strstr(callers[i]->received->str, OLD "\n");
		rig_caller_destroy(callers[i]);
	}
	for (int i = 0; i < STREAMS; i++) {
		char began[32];
		char id[32];

		snprintf(began, sizeof(began), "f%d", i);
		snprintf(id, sizeof(id), "g%d", i);
		callers[i] = resume(rig, 0, id, i, began);
		RIG_UNTIL(rig, is_over(callers[i]));
		if (strstr(callers[i]->received->str, old[i] ? NEW "\n" : OLD "\n"))
			fail_msg("%s went on: %s", began,
				 callers[i]->received->str);
		rig_caller_destroy(callers[i]);
	}
}

/* Moves the route of streams to another service, which upstream 0 serves. */
static void move_route(gateway_rig_t *rig)
{
	char spec[256];

	snprintf(spec, sizeof(spec),
		 "{\"service\":\"t\",\"address\":\"127.0.0.1:%u\",\"zone\":"
		 "\"a\","
		 "\"slots\":8,\"version\":\"%s\",\"state\":\"ready\"}",
		 rig->upstreams[0].port, OLD);
	rig->upstreams[0].version = OLD;
	rig_put(rig, "servers", "u0", spec);
	rig_put(rig, "config", "main",
		"{\"version\":2,\"routes\":[{\"name\":\"stream\",\"host\":"
		"\"h\","
		"\"pathPrefix\":\"/stream/\",\"kind\":\"stream\","
		"\"timeoutMs\":4000,\"goalMs\":2000,\"priority\":1,"
		"\"service\":\"t\",\"maxAttempts\":2,\"resumable\":true}],"
		"\"services\":[{\"name\":\"t\",\"maxConns\":64}],"
		"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":65536,"
		"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
		"\"tenants\":[{\"name\":\"mill\",\"apiKeys\":[\"k\"]}]}");
	rig_run_for(rig, KNOWN_MS);
}

/* Guards against streams that go on at another service as their route has moved to it. */
static void test_stream_does_not_go_on_at_service_of_a_moved_route(void **state)
{
	gateway_rig_t *rig = *state;
	taken_t taken[STREAMS];

	rig_remove(rig, "servers", "u0");
	rig_run_for(rig, KNOWN_MS);
	take_parts(rig, taken, true);
	move_route(rig);
	resume_all(rig, taken, 0);
}

/*
 * Guards against a gateway that goes without the only version for good after the store has
 * discarded its history while a watch waited.
 */
static void test_only_version_is_known_again_after_history_is_discarded(void **state)
{
	gateway_rig_t *rig = *state;
	taken_t taken[STREAMS];

	rig_run_for(rig, KNOWN_MS);
	rig_put_config(rig, 2, "");
	rig->history_from = rig->revision;
	take_parts(rig, taken, true);
	resume_all(rig, taken, 0);
	rig_put_upstream(rig, 2, "ready");
	rig_run_for(rig, KNOWN_MS);
	take_parts(rig, taken, true);
	assert_true(resume_all(rig, taken, 1) >= STREAMS * 3 / 4);
}

/*
 * Guards against the refusal of streams at a gateway that lacks the store, while another
 * one can read that the service has one version.
 */
static void test_only_version_is_proved_by_others_without_the_store(void **state)
{
	gateway_rig_t *rig = *state;
	taken_t taken[STREAMS];

	cut_store(rig);
	rig_run_for(rig, CUT_OFF_MS);
	take_parts(rig, taken, true);
	process_destroy(rig->gateways[0]);
	rig->gateways[0] = NULL;
	assert_true(resume_all(rig, taken, 0) >= STREAMS * 3 / 4);
}

/* Has gateway 1, which reaches no upstream, find that out. */
static void find_cut(gateway_rig_t *rig)
{
	uint64_t end = rig_now_ms() + CUT_OFF_MS;

	while (rig_now_ms() < end) {
		rig_caller_t *caller = begin(rig, 1, "x", STREAMS);

		RIG_UNTIL(rig, is_over(caller));
		rig_caller_destroy(caller);
	}
}

/* Has callers take a part of a stream each, from gateway 1; those refused call again. */
static void take_relayed_parts(gateway_rig_t *rig, taken_t *taken)
{
	rig_caller_t *callers[STREAMS];
	int calls = 0;

	for (int i = 0; i < STREAMS; i++) {
		snprintf(taken[i].id, sizeof(taken[i].id), "t%d", calls++);
		callers[i] = begin(rig, 1, taken[i].id, i);
	}
	for (int i = 0; i < STREAMS; i++) {
		while (!rig_has_received(callers[i], "id: 2\n")) {
			rig_run_once(rig);
			if (!is_over(callers[i]))
				continue;
			rig_caller_destroy(callers[i]);
			snprintf(taken[i].id, sizeof(taken[i].id), "t%d", calls++);
			callers[i] = begin(rig, 1, taken[i].id, i);
		}
		taken[i].old = strstr(callers[i]->received->str, OLD "\n");
	}
	for (int i = 0; i < STREAMS; i++)
		rig_caller_destroy(callers[i]);
	print_message("%d calls\n", calls);
}

/* Guards against a relayed request that goes on at the version that rejected it first. */
static void test_relayed_stream_does_not_go_on_where_it_was_rejected(void **state)
{
	gateway_rig_t *rig = *state;
	taken_t taken[STREAMS];

	find_cut(rig);
	rig->upstreams[0].behavior = RIG_REJECT;
	take_relayed_parts(rig, taken);
	rig->upstreams[0].behavior = RIG_STREAM;
	rig_run_for(rig, KNOWN_MS);
	resume_all(rig, taken, 0);
}

/* Guards against a relayed request that goes on at another version. */
static void test_relayed_stream_goes_on_at_its_version_only(void **state)
{
	gateway_rig_t *rig = *state;
	taken_t taken[STREAMS];

	find_cut(rig);
	take_parts(rig, taken, true);
	assert_true(resume_all(rig, taken, 0) >= STREAMS / 2);
}

/* Guards against the refusal of streams that a restarted gateway has not seen. */
static void test_restarted_gateway_asks_others_for_versions(void **state)
{
	gateway_rig_t *rig = *state;
	taken_t taken[STREAMS];

	take_parts(rig, taken, false);
	process_destroy(rig->gateways[1]);
	rig->gateways[1] = NULL;
	rig_start_gateway(rig, 1, 2);
	RIG_UNTIL(rig, rig_is_ready(rig, 1));
	assert_true(resume_all(rig, taken, 0) >= STREAMS * 3 / 4);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_gateway_resumes_stream_at_its_version_only,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_caller_resumes_stream_at_its_version_only,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_stream_of_killed_gateway_goes_on_at_its_version_only,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_stream_does_not_go_on_at_version_that_replaced_its_own,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_version_is_replaced_at_same_address_mid_stream,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_streams_go_on_at_their_version_after_kill_of_all_gateways,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_streams_go_on_after_two_kills_of_all_gateways,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_streams_of_only_version_go_on_after_kill_of_all_gateways,
			setup_one_version, teardown),
		cmocka_unit_test_setup_teardown(
			test_version_that_came_after_last_write_is_not_joined,
			setup_one_version, teardown),
		cmocka_unit_test_setup_teardown(
			test_version_that_joined_during_a_cut_is_not_joined,
			setup_apart, teardown),
		cmocka_unit_test_setup_teardown(
			test_version_that_left_before_a_new_listing_is_not_joined,
			setup_apart, teardown),
		cmocka_unit_test_setup_teardown(
			test_version_that_left_before_the_first_listing_is_not_joined,
			setup_late, teardown),
		cmocka_unit_test_setup_teardown(
			test_version_that_others_have_forgotten_is_not_joined,
			setup_two_apart, teardown),
		cmocka_unit_test_setup_teardown(
			test_stream_does_not_go_on_at_service_of_a_moved_route,
			setup_apart, teardown),
		cmocka_unit_test_setup_teardown(
			test_only_version_is_known_again_after_history_is_discarded,
			setup_all_apart, teardown),
		cmocka_unit_test_setup_teardown(
			test_only_version_is_proved_by_others_without_the_store,
			setup_one_version, teardown),
		cmocka_unit_test_setup_teardown(
			test_relayed_stream_does_not_go_on_where_it_was_rejected,
			setup_cut_off, teardown),
		cmocka_unit_test_setup_teardown(test_relayed_stream_goes_on_at_its_version_only,
						setup_cut_off, teardown),
		cmocka_unit_test_setup_teardown(test_restarted_gateway_asks_others_for_versions,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
