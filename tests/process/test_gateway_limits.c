/* Tests of three gateways whose upstreams name a rate limit in their answers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "tests/harness/gateway_calls.h"

#define RATE_LIMIT 3.0 /* requests a second */
#define CALL_PERIOD_MS 20 /* to each gateway in turn */
#define LEARNING_MS 3000 /* after which a limit that was named is kept */
#define WINDOW_MS 4000
/* What an upstream may get in a window from all gateways together. */
#define WINDOW_ALLOWED (1.5 * RATE_LIMIT * WINDOW_MS / 1000 + 5)
/* Gateways share what is allowed without leaving most of it unused. */
#define WINDOW_WANTED (0.5 * RATE_LIMIT * WINDOW_MS / 1000)
/* A refusal that is known to be due does not wait for room. */
#define REFUSAL_MS 300

/* Upstreams that fall over, and that the calls are more than enough for. */
#define BRITTLE 3 /* rejections a second */
#define BRITTLE_ROOM 8
#define FALLS_ALLOWED 2 /* of a few upstreams while they are brittle */
#define BRITTLE_WORK_MS 800
/* Many upstreams, and calls that are more than enough for them. */
#define MANY_UPSTREAMS RIG_UPSTREAMS_MAX
#define MANY_CALLS_PERIOD_MS 3
#define MANY_FALLS_ALLOWED (2 + MANY_UPSTREAMS / 10)
#define LONG_WORK_MS 1500

/* The outcomes of calls. */
typedef struct outcomes {
	unsigned int served;
	unsigned int refused;
	unsigned int other;
	double retry_after_max; /* seconds, of refusals */
	unsigned int refused_late; /* after more than REFUSAL_MS */
} outcomes_t;

/* A call whose response is awaited. */
typedef struct pending {
	rig_caller_t *caller;
	uint64_t sent_ms;
} pending_t;

/* Starts gateways that know each other, with some upstreams. */
static gateway_rig_t *start_rig(int gateways, int upstreams)
{
	gateway_rig_t *rig = gateway_rig_create_sized(gateways, upstreams);

	rig_start_fleet(rig);
	return rig;
}

static int setup(void **state)
{
	*state = start_rig(RIG_GATEWAYS, RIG_UPSTREAMS);
	return 0;
}

static int setup_mesh(void **state)
{
	*state = start_rig(6, RIG_UPSTREAMS);
	return 0;
}

static int setup_large_fleet(void **state)
{
	*state = start_rig(RIG_GATEWAYS_MAX, RIG_UPSTREAMS);
	return 0;
}

static int setup_mesh_of_many_upstreams(void **state)
{
	*state = start_rig(6, MANY_UPSTREAMS);
	return 0;
}

static int setup_large_fleet_of_many_upstreams(void **state)
{
	*state = start_rig(RIG_GATEWAYS_MAX, MANY_UPSTREAMS);
	return 0;
}

static int teardown(void **state)
{
	gateway_rig_destroy(*state);
	return 0;
}

/* Counts the outcome of a call whose response has arrived. */
static void count_outcome(outcomes_t *outcomes, const pending_t *pending)
{
	const char *text = pending->caller->received->str;
	const char *retry_after = strstr(text, "Retry-After: ");

	if (strstr(text, "HTTP/1.1 200")) {
		outcomes->served++;
	} else if (strstr(text, "HTTP/1.1 503") && retry_after) {
		double value =
			g_ascii_strtod(retry_after + strlen("Retry-After: "), NULL);

		outcomes->refused++;
		outcomes->retry_after_max = MAX(outcomes->retry_after_max, value);
		outcomes->refused_late += rig_now_ms() - pending->sent_ms >
					  REFUSAL_MS;
	} else {
		outcomes->other++;
	}
}

/* Returns whether the response of a call is complete. */
static bool is_answered(rig_caller_t *caller)
{
	return rig_has_received(caller, "\r\n\r\n");
}

/* Counts and forgets the calls that were answered. */
static void collect(GArray *calls, outcomes_t *outcomes)
{
	for (guint i = calls->len; i-- > 0;) {
		pending_t *pending = &g_array_index(calls, pending_t, i);

		if (!is_answered(pending->caller))
			continue;
		count_outcome(outcomes, pending);
		rig_caller_destroy(pending->caller);
		g_array_remove_index_fast(calls, i);
	}
}

/* Sends calls, one each PERIOD ms, to all gateways in turn for MS; waits for responses. */
static outcomes_t send_calls_every(gateway_rig_t *rig, const char *path,
				   uint64_t period, uint64_t ms)
{
	static int number;
	GArray *calls = g_array_new(FALSE, FALSE, sizeof(pending_t));
	outcomes_t outcomes = { 0 };
	uint64_t start = rig_now_ms();
	uint64_t next = start;

	while (rig_now_ms() - start < ms) {
		rig_run_once(rig);
		if (rig_now_ms() >= next) {
			char id[32];
			pending_t pending = { .sent_ms = rig_now_ms() };

			snprintf(id, sizeof(id), "c%d", ++number);
			pending.caller =
				rig_call_at(rig, number % rig->gateway_count,
					    "POST", path, id);
			g_array_append_val(calls, pending);
			next += period;
		}
		collect(calls, &outcomes);
	}
	RIG_UNTIL(rig, (collect(calls, &outcomes), !calls->len));
	g_array_unref(calls);
	return outcomes;
}

/* Does the same with a call each CALL_PERIOD_MS. */
static outcomes_t send_calls(gateway_rig_t *rig, const char *path, uint64_t ms)
{
	return send_calls_every(rig, path, CALL_PERIOD_MS, ms);
}

/*
 * Guards against gateways that together send an upstream several times the rate
 * that it names.
 */
static void test_named_limit_holds_over_all_gateways(void **state)
{
	gateway_rig_t *rig = *state;
	rig_server_t *limited = &rig->upstreams[0];
	outcomes_t outcomes;
	unsigned int before;

	send_calls(rig, "/safe/x", 500);
	limited->rate_limit = RATE_LIMIT;
	send_calls(rig, "/safe/x", LEARNING_MS);
	before = limited->arrivals;
	outcomes = send_calls(rig, "/safe/x", WINDOW_MS);
	print_message("%u of %.0f allowed\n", limited->arrivals - before,
		      WINDOW_ALLOWED);
	assert_true(limited->arrivals - before <= WINDOW_ALLOWED);
	assert_true(limited->arrivals - before >= WINDOW_WANTED);
	assert_int_equal(outcomes.refused, 0);
	assert_int_equal(outcomes.other, 0);
}

/* Guards against upstreams that get little for long after their limit has ended. */
static void test_limit_ends_when_it_is_no_longer_named(void **state)
{
	gateway_rig_t *rig = *state;
	rig_server_t *limited = &rig->upstreams[0];
	unsigned int before;

	limited->rate_limit = RATE_LIMIT;
	send_calls(rig, "/safe/x", LEARNING_MS);
	limited->rate_limit = 0;
	send_calls(rig, "/safe/x", LEARNING_MS);
	before = limited->arrivals;
	send_calls(rig, "/safe/x", 2000);
	/* An equal share of what is sent would be a third. */
	assert_true(limited->arrivals - before >= 2000 / CALL_PERIOD_MS / 6);
}

/*
 * Guards against calls that wait for their deadline where the limits of all upstreams
 * leave no room.
 */
static void test_calls_beyond_all_limits_are_refused_at_once(void **state)
{
	gateway_rig_t *rig = *state;
	unsigned int before = 0;
	unsigned int after = 0;
	outcomes_t outcomes;

	for (int i = 0; i < RIG_UPSTREAMS; i++)
		rig->upstreams[i].rate_limit = RATE_LIMIT;
	send_calls(rig, "/once/x", LEARNING_MS);
	for (int i = 0; i < RIG_UPSTREAMS; i++)
		before += rig->upstreams[i].arrivals;
	outcomes = send_calls(rig, "/once/x", WINDOW_MS);
	for (int i = 0; i < RIG_UPSTREAMS; i++)
		after += rig->upstreams[i].arrivals;
	print_message("%u sent, %u served, %u refused, %u of them late, "
		      "retry after %.2f s at most\n",
		      after - before, outcomes.served, outcomes.refused,
		      outcomes.refused_late, outcomes.retry_after_max);
	assert_true(after - before <= RIG_UPSTREAMS * WINDOW_ALLOWED);
	assert_true(outcomes.served >= RIG_UPSTREAMS * WINDOW_WANTED);
	assert_int_equal(outcomes.other, 0);
	assert_true(outcomes.refused > outcomes.served);
	assert_true(outcomes.refused_late * 10 <= outcomes.refused);
	assert_true(outcomes.retry_after_max > 0);
}

/* Has all upstreams admit ROOM calls, and fall over if they have to reject many. */
static void make_brittle(gateway_rig_t *rig, unsigned int room)
{
	for (int i = 0; i < rig->upstream_count; i++) {
		rig->upstreams[i].brittle = BRITTLE;
		rig->upstreams[i].work_ms = BRITTLE_WORK_MS;
		rig->upstreams[i].room = room;
		rig->upstreams[i].falls = 0;
	}
}

/* Returns how often upstreams have fallen over since they were made brittle. */
static unsigned int count_falls(const gateway_rig_t *rig)
{
	unsigned int falls = 0;

	for (int i = 0; i < rig->upstream_count; i++)
		falls += rig->upstreams[i].falls;
	return falls;
}

/*
 * Guards against gateways that together fill upstreams until these have to reject
 * requests and fall over.
 */
static void test_brittle_upstreams_do_not_fall_over(void **state)
{
	gateway_rig_t *rig = *state;
	outcomes_t outcomes;

	/* As many as they register slots: they let none wait. */
	make_brittle(rig, BRITTLE_ROOM);
	send_calls(rig, "/safe/x", 500);
	make_brittle(rig, BRITTLE_ROOM);
	outcomes = send_calls(rig, "/safe/x", WINDOW_MS);
	print_message("%u falls, %u served, %u refused, %u other\n",
		      count_falls(rig), outcomes.served, outcomes.refused,
		      outcomes.other);
	assert_int_equal(count_falls(rig), 0);
	/* Half of what the upstreams could serve. */
	assert_true(outcomes.served >= RIG_UPSTREAMS * BRITTLE_ROOM *
					       WINDOW_MS / BRITTLE_WORK_MS / 2);
	assert_int_equal(outcomes.other, 0);
}

/*
 * Guards against gateways that each go on to try upstreams that admit fewer requests than
 * their slots, until these fall over.
 */
static void test_brittle_upstreams_that_admit_few_do_not_fall_over(void **state)
{
	gateway_rig_t *rig = *state;
	outcomes_t outcomes;

	make_brittle(rig, BRITTLE_ROOM);
	send_calls(rig, "/safe/x", LEARNING_MS);
	make_brittle(rig, BRITTLE_ROOM / 3);
	outcomes = send_calls(rig, "/safe/x", 2 * WINDOW_MS);
	print_message("%d gateways: %u falls, %u served, %u refused, %u "
		      "other\n",
		      rig->gateway_count, count_falls(rig), outcomes.served,
		      outcomes.refused, outcomes.other);
	assert_true(count_falls(rig) <= FALLS_ALLOWED);
	/* A quarter of what the upstreams could serve. */
	assert_true(outcomes.served >= RIG_UPSTREAMS * (BRITTLE_ROOM / 3) * 2 *
					       WINDOW_MS / BRITTLE_WORK_MS / 4);
}

/*
 * Guards against rejections that are too many to be sent to all gateways, so that these go
 * on to cause more until the upstreams fall over.
 */
static void test_many_brittle_upstreams_do_not_fall_over(void **state)
{
	gateway_rig_t *rig = *state;
	outcomes_t outcomes;

	make_brittle(rig, BRITTLE_ROOM);
	send_calls_every(rig, "/safe/x", MANY_CALLS_PERIOD_MS, LEARNING_MS);
	make_brittle(rig, BRITTLE_ROOM / 4);
	outcomes = send_calls_every(rig, "/safe/x", MANY_CALLS_PERIOD_MS,
				    2 * WINDOW_MS);
	print_message("%d gateways: %u falls, %u served, %u refused, %u "
		      "other\n",
		      rig->gateway_count, count_falls(rig), outcomes.served,
		      outcomes.refused, outcomes.other);
	assert_true(count_falls(rig) <= MANY_FALLS_ALLOWED);
	/* A quarter of what the upstreams could serve. */
	assert_true(outcomes.served >= MANY_UPSTREAMS * (BRITTLE_ROOM / 4) * 2 *
					       WINDOW_MS / BRITTLE_WORK_MS / 4);
}

/*
 * Guards against shares of the slots that change while requests last, so that all
 * gateways together fill upstreams beyond their slots.
 */
static void test_long_requests_do_not_overfill_brittle_upstreams(void **state)
{
	gateway_rig_t *rig = *state;
	outcomes_t outcomes;

	make_brittle(rig, BRITTLE_ROOM);
	for (int i = 0; i < rig->upstream_count; i++)
		rig->upstreams[i].work_ms = LONG_WORK_MS;
	outcomes = send_calls_every(rig, "/once/x", 2 * MANY_CALLS_PERIOD_MS,
				    2 * WINDOW_MS);
	print_message("%d gateways: %u falls, %u served, %u refused, %u "
		      "other\n",
		      rig->gateway_count, count_falls(rig), outcomes.served,
		      outcomes.refused, outcomes.other);
	assert_true(count_falls(rig) <= MANY_FALLS_ALLOWED);
	/* A quarter of what the upstreams could serve. */
	assert_true(outcomes.served >= MANY_UPSTREAMS * BRITTLE_ROOM * 2 *
					       WINDOW_MS / LONG_WORK_MS / 4);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_named_limit_holds_over_all_gateways,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_limit_ends_when_it_is_no_longer_named,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_calls_beyond_all_limits_are_refused_at_once,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_brittle_upstreams_do_not_fall_over,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_brittle_upstreams_that_admit_few_do_not_fall_over,
			setup_mesh, teardown),
		cmocka_unit_test_setup_teardown(
			test_brittle_upstreams_that_admit_few_do_not_fall_over,
			setup_large_fleet, teardown),
		cmocka_unit_test_setup_teardown(
			test_many_brittle_upstreams_do_not_fall_over,
			setup_mesh_of_many_upstreams, teardown),
		cmocka_unit_test_setup_teardown(
			test_many_brittle_upstreams_do_not_fall_over,
			setup_large_fleet_of_many_upstreams, teardown),
		cmocka_unit_test_setup_teardown(
			test_long_requests_do_not_overfill_brittle_upstreams,
			setup_large_fleet_of_many_upstreams, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
