/*
 * Tests of gateways whose upstreams end when they run a certain request, or requests with
 * a certain part in their prompts.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "tests/harness/gateway_calls.h"

#define UPSTREAMS_LARGE 12 /* of the larger rigs */
#define TRIES 8 /* of a caller at one request */
#define ENDS_ALLOWED 3 /* upstreams that may end under one request */
#define CUT_OFF_MS 3000 /* until a gateway has found out that it is cut off */
#define PROMPTS 100 /* with a part that ends upstreams, and as many without */
#define PROMPT_PERIOD_MS 40
#define PART_ENDS_ALLOWED \
	5 /* upstreams that may end under one part of prompts */
#define REFUSAL_MS 300 /* a refusal that is due does not wait */

/* Calls to paths that end in "end" end upstreams. */
static rig_behavior_t choose_behavior(void *ctx, const char *target)
{
	(void)ctx;
	if (g_str_has_suffix(target, "/end"))
		return RIG_END;
	if (g_str_has_suffix(target, "/unframed"))
		return RIG_UNFRAMED_END;
	if (g_str_has_suffix(target, "/vanish"))
		return RIG_VANISH;
	if (g_str_has_suffix(target, "/cut"))
		return RIG_CUT;
	if (g_str_has_suffix(target, "/slow"))
		return RIG_SLOW;
	if (g_str_has_prefix(target, "/stream/"))
		return RIG_STREAM;
	return RIG_ANSWER;
}

/* Starts gateways that know each other. CUT_OFF: gateway 0 reaches no upstream. */
static gateway_rig_t *start_rig(int gateways, int upstreams, bool cut_off)
{
	gateway_rig_t *rig = gateway_rig_create_sized(gateways, upstreams);

	rig->choose_behavior = choose_behavior;
	if (cut_off)
		rig_cut_off(rig, 0);
	rig_start_fleet(rig);
	return rig;
}

static int setup(void **state)
{
	*state = start_rig(RIG_GATEWAYS, RIG_UPSTREAMS, false);
	return 0;
}

static int setup_cut_off(void **state)
{
	*state = start_rig(RIG_GATEWAYS, RIG_UPSTREAMS, true);
	return 0;
}

static int setup_mesh(void **state)
{
	*state = start_rig(6, UPSTREAMS_LARGE, false);
	return 0;
}

static int setup_large_fleet(void **state)
{
	*state = start_rig(RIG_GATEWAYS_MAX, UPSTREAMS_LARGE, false);
	return 0;
}

static int teardown(void **state)
{
	gateway_rig_destroy(*state);
	return 0;
}

/* Returns how often upstreams ended; each counts its ends when it starts again. */
static unsigned int count_ends(const gateway_rig_t *rig)
{
	unsigned int ends = 0;

	for (int i = 0; i < rig->upstream_count; i++)
		ends += rig->upstreams[i].ends;
	return ends;
}

/* Returns whether a call ended, with a complete response or without. */
static bool is_over(rig_caller_t *caller)
{
	return rig_has_received(caller, "\r\n\r\n") || rig_is_closed(caller);
}

/* Sends a call, and returns its caller when the response has arrived; owned. */
static rig_caller_t *finish_call(gateway_rig_t *rig, int gateway,
				 const char *path, int number)
{
	char id[32];
	rig_caller_t *caller;

	snprintf(id, sizeof(id), "a%d", number);
	caller = rig_call_at(rig, gateway, "POST", path, id);
	RIG_UNTIL(rig, is_over(caller));
	return caller;
}

/* Returns whether a call was answered with 200. */
static bool is_served(gateway_rig_t *rig, int gateway, const char *path, int number)
{
	rig_caller_t *caller = finish_call(rig, gateway, path, number);
	bool served = strstr(caller->received->str, "HTTP/1.1 200") != NULL;

	rig_caller_destroy(caller);
	return served;
}

/* Has a caller try a request that ends upstreams through one gateway after another. */
static void try_in_turn(gateway_rig_t *rig, const char *path, int first, int tries)
{
	for (int i = first; i < first + tries; i++) {
		rig_caller_destroy(finish_call(rig, i % RIG_GATEWAYS, path, i));
		rig_run_for(rig, 100);
	}
	rig_run_for(rig, RIG_RESTART_MS + 200);
}

/*
 * Guards against a request that ends one upstream after the other over the attempts of
 * its caller.
 */
static void test_request_that_ends_upstreams_is_held_over_attempts(void **state)
{
	static const char *const paths[] = { "/safe/end", "/stream/end",
					     "/once/end" };
	gateway_rig_t *rig = *state;
	unsigned int before = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		rig_caller_t *caller;
		uint64_t sent;

		try_in_turn(rig, paths[i], (int)(100 * i), TRIES);
		print_message("%s: %u ended in %d attempts\n", paths[i],
			      count_ends(rig) - before, TRIES);
		assert_true(count_ends(rig) - before <= ENDS_ALLOWED);
		before = count_ends(rig);
		sent = rig_now_ms();
		caller = finish_call(rig, 0, paths[i], (int)(100 * i) + TRIES);
		assert_true(rig_now_ms() - sent < REFUSAL_MS);
		assert_non_null(strstr(caller->received->str, "HTTP/1.1 503"));
		assert_non_null(strstr(caller->received->str, "Retry-After: "));
		rig_caller_destroy(caller);
	}
	assert_true(is_served(rig, 0, "/safe/x", 900));
}

/* Guards against an upstream whose end is taken for that of its response. */
static void test_request_that_ends_upstreams_in_a_response_without_length(void **state)
{
	gateway_rig_t *rig = *state;

	try_in_turn(rig, "/stream/unframed", 0, TRIES);
	print_message("%u ended\n", count_ends(rig));
	assert_true(count_ends(rig) <= ENDS_ALLOWED);
}

/* Guards against attempts at once that each end as many upstreams as one alone. */
static void test_attempts_at_once_end_one_upstream_each(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *callers[RIG_GATEWAYS];

	for (int i = 0; i < RIG_GATEWAYS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "b%d", i);
		callers[i] = rig_call_at(rig, i, "POST", "/safe/end", id);
	}
	for (int i = 0; i < RIG_GATEWAYS; i++) {
		RIG_UNTIL(rig, is_over(callers[i]));
		rig_caller_destroy(callers[i]);
	}
	try_in_turn(rig, "/safe/end", 10, TRIES);
	print_message("%u ended\n", count_ends(rig));
	assert_true(count_ends(rig) <= ENDS_ALLOWED);
}

/* Guards against gateways that forget in a restart what a request has ended. */
static void test_restarted_gateway_learns_of_held_requests(void **state)
{
	gateway_rig_t *rig = *state;

	try_in_turn(rig, "/safe/end", 0, 3);
	for (int i = 0; i < RIG_GATEWAYS; i++) {
		process_destroy(rig->gateways[i]);
		rig->gateways[i] = NULL;
		rig_start_gateway(rig, i, 2);
		RIG_UNTIL(rig, rig_is_ready(rig, i));
		try_in_turn(rig, "/safe/end", 10 + i * RIG_GATEWAYS, RIG_GATEWAYS);
	}
	print_message("%u ended\n", count_ends(rig));
	assert_true(count_ends(rig) <= ENDS_ALLOWED);
}

/* Guards against a request that is relayed and ends upstreams by other gateways. */
static void test_relayed_request_that_ends_upstreams_is_held(void **state)
{
	gateway_rig_t *rig = *state;
	uint64_t end = rig_now_ms() + CUT_OFF_MS;

	for (int i = 0; rig_now_ms() < end; i++)
		is_served(rig, 0, "/safe/x", 500 + i);
	assert_true(is_served(rig, 0, "/safe/x", 499));
	for (int i = 0; i < TRIES; i++) {
		rig_caller_destroy(finish_call(rig, 0, "/safe/end", i));
		rig_run_for(rig, 100);
	}
	rig_run_for(rig, RIG_RESTART_MS + 200);
	print_message("%u ended\n", count_ends(rig));
	assert_in_range(count_ends(rig), 1, ENDS_ALLOWED);
}

/* Guards against a request that takes VMs down, so that no connection breaks. */
static void test_request_under_which_upstreams_vanish_is_held(void **state)
{
	gateway_rig_t *rig = *state;

	for (int i = 0; i < TRIES; i++) {
		char id[32];
		rig_caller_t *caller;

		snprintf(id, sizeof(id), "v%d", i);
		caller = rig_call_at(rig, i % RIG_GATEWAYS, "POST",
				     "/stream/vanish", id);
		rig_run_for(rig, 200);
		rig_caller_destroy(caller);
		rig_run_for(rig, RIG_RESTART_MS + 400);
	}
	print_message("%u ended\n", count_ends(rig));
	assert_true(count_ends(rig) <= ENDS_ALLOWED);
}

/* Guards against the rejection of requests that ran beside one that ended upstreams. */
static void test_requests_beside_one_that_ends_upstreams_are_served(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *callers[12];

	for (int round = 0; round < 2; round++) {
		for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
			char path[32];
			char id[32];

			snprintf(path, sizeof(path), "/safe/%zu/slow", i);
			snprintf(id, sizeof(id), "c%d-%zu", round, i);
			callers[i] = rig_call_at(rig, (int)(i % RIG_GATEWAYS),
						 "POST", path, id);
		}
		rig_run_for(rig, 50);
		rig_caller_destroy(finish_call(rig, 0, "/once/end", round));
		for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
			RIG_UNTIL(rig, is_over(callers[i]));
			assert_non_null(strstr(callers[i]->received->str,
					       "HTTP/1.1 200"));
			rig_caller_destroy(callers[i]);
		}
		rig_run_for(rig, RIG_RESTART_MS);
	}
	assert_int_equal(count_ends(rig), 2);
}

/* Guards against connections that break being taken for upstreams that ended. */
static void test_broken_connections_hold_no_request(void **state)
{
	gateway_rig_t *rig = *state;
	unsigned int arrivals = 0;

	try_in_turn(rig, "/safe/cut", 0, TRIES);
	for (int i = 0; i < RIG_UPSTREAMS; i++)
		arrivals += rig->upstreams[i].arrivals;
	assert_true(arrivals >= TRIES);
	rig->choose_behavior = NULL;
	assert_true(is_served(rig, 0, "/safe/cut", 900));
}

/*
 * Sends a stream call whose prompt has a part in common with all others, one of the given
 * id, and one of its own; ENDS: it ends its upstream. Returns its caller, owned.
 */
static rig_caller_t *send_prompt(gateway_rig_t *rig, int gateway,
				 unsigned int part, bool ends, int number)
{
	rig_caller_t *caller = rig_call(rig, rig_port(rig, gateway, "callers"), "");
	char more[128];
	char path[32];
	char id[32];

	snprintf(id, sizeof(id), "p%d", number);
	snprintf(path, sizeof(path), "/stream/%d/%s", number, ends ? "end" : "x");
	snprintf(more, sizeof(more),
		 "X-Prompt-Prefix: a1:100,%x:50,%x:10\r\n"
		 "X-Token-Count: 160,10\r\n",
		 part, 0x10000U + (unsigned int)number);
	rig_send_call_with(caller, "POST", path, id, more);
	return caller;
}

/*
 * Guards against a part of a prompt under which upstreams end one after the other, as no
 * two requests with it are alike, and against holding what is shared with sound ones.
 */
static void test_part_of_prompts_that_ends_upstreams_is_held(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *bad[PROMPTS];
	rig_caller_t *sound[PROMPTS];
	unsigned int served = 0;
	unsigned int ends;

	for (int i = 0; i < PROMPTS; i++) {
		int gateway = i % rig->gateway_count;

		bad[i] = send_prompt(rig, gateway, 0xbad, true, 2 * i);
		sound[i] = send_prompt(rig, gateway, 0xb0 + (unsigned int)i % 8,
				       false, 2 * i + 1);
		rig_run_for(rig, PROMPT_PERIOD_MS);
	}
	for (int i = 0; i < PROMPTS; i++) {
		RIG_UNTIL(rig, is_over(bad[i]));
		RIG_UNTIL(rig, is_over(sound[i]));
		served += i >= PROMPTS / 2 &&
			  strstr(sound[i]->received->str, "HTTP/1.1 200") != NULL;
		rig_caller_destroy(bad[i]);
		rig_caller_destroy(sound[i]);
	}
	rig_run_for(rig, RIG_RESTART_MS + 200);
	ends = count_ends(rig);
	print_message("%d gateways: %u ended under %d calls, "
		      "%u of %d sound ones served\n",
		      rig->gateway_count, ends, PROMPTS, served, PROMPTS / 2);
	assert_true(ends <= PART_ENDS_ALLOWED);
	assert_true(served * 50 >= PROMPTS / 2 * 49);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_request_that_ends_upstreams_is_held_over_attempts,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_request_that_ends_upstreams_in_a_response_without_length,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_attempts_at_once_end_one_upstream_each,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_restarted_gateway_learns_of_held_requests,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_relayed_request_that_ends_upstreams_is_held,
						setup_cut_off, teardown),
		cmocka_unit_test_setup_teardown(test_request_under_which_upstreams_vanish_is_held,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_requests_beside_one_that_ends_upstreams_are_served,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_broken_connections_hold_no_request,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_part_of_prompts_that_ends_upstreams_is_held,
						setup_mesh, teardown),
		cmocka_unit_test_setup_teardown(test_part_of_prompts_that_ends_upstreams_is_held,
						setup_large_fleet, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
