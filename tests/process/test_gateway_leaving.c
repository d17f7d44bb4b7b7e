/* Tests of gateways whose upstreams say in their answers that they leave. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "tests/harness/gateway_calls.h"

#define UPSTREAMS 3
#define LEAVING 0 /* the upstream that says so; the store does not */
#define DRAIN_MS 2000 /* from an answer on which nothing more is to arrive */
#define CALLS_PERIOD_MS 60 /* to each gateway */

/* A rig; the calls' ids begin with the gateway's number. */
typedef struct fixture {
	gateway_rig_t *rig;
	uint64_t told_ms[RIG_GATEWAYS_MAX]; /* when a gateway first had such an answer */
	unsigned int late; /* arrivals later than DRAIN_MS after that */
	unsigned int number;
} fixture_t;

/* Counts what reaches the leaving upstream late. Its answers are sent at once. */
static void on_call(void *ctx, int upstream, const char *call_id)
{
	fixture_t *f = ctx;
	uint64_t *told = &f->told_ms[atoi(call_id)];
	uint64_t now = rig_now_ms();

	if (upstream != LEAVING || !f->rig->upstreams[LEAVING].leaving)
		return;
	if (!*told)
		*told = now;
	f->late += now > *told + DRAIN_MS;
}

static fixture_t *create(int gateways)
{
	fixture_t *f = g_new0(fixture_t, 1);

	f->rig = gateway_rig_create_sized(gateways, UPSTREAMS);
	f->rig->observe_call = on_call;
	f->rig->ctx = f;
	rig_start_fleet(f->rig);
	return f;
}

static int setup_mesh(void **state)
{
	*state = create(6);
	return 0;
}

static int setup_large_fleet(void **state)
{
	*state = create(RIG_GATEWAYS_MAX);
	return 0;
}

static int teardown(void **state)
{
	fixture_t *f = *state;

	gateway_rig_destroy(f->rig);
	g_free(f);
	return 0;
}

/* Sends calls to all gateways in turn for MS; returns how many were served. */
static unsigned int send_calls(fixture_t *f, const char *path, uint64_t ms)
{
	int gateways = f->rig->gateway_count;
	unsigned int served = 0;
	uint64_t start = rig_now_ms();

	while (rig_now_ms() - start < ms) {
		int gateway = (int)(f->number % (unsigned)gateways);
		uint64_t next = rig_now_ms() + CALLS_PERIOD_MS / (uint64_t)gateways;
		rig_caller_t *caller;
		char id[32];

		snprintf(id, sizeof(id), "%d-%u", gateway, f->number++);
		caller = rig_call_at(f->rig, gateway, "POST", path, id);
		RIG_UNTIL(f->rig,
			  rig_has_received(caller, "from ") ||
				  rig_has_received(caller, "id: 6") ||
				  rig_has_received(caller, "HTTP/1.1 50") ||
				  rig_is_closed(caller));
		served += rig_has_received(caller, "HTTP/1.1 200");
		rig_caller_destroy(caller);
		while (rig_now_ms() < next)
			rig_run_once(f->rig);
	}
	return served;
}

/* Has an upstream say that it leaves, and checks that it gets nothing late. */
static void check_nothing_is_late(fixture_t *f, const char *path)
{
	unsigned int arrivals;

	send_calls(f, path, 500);
	f->rig->upstreams[LEAVING].leaving = "1";
	arrivals = f->rig->upstreams[LEAVING].arrivals;
	send_calls(f, path, DRAIN_MS + 2000);
	print_message("%d gateways: %u arrivals, %u late\n", f->rig->gateway_count,
		      f->rig->upstreams[LEAVING].arrivals - arrivals, f->late);
	assert_true(f->rig->upstreams[LEAVING].arrivals > arrivals);
	assert_int_equal(f->late, 0);
}

/* Guards against requests to an upstream that leaves, by gateways that the store lacks. */
static void test_leaving_answers_end_requests(void **state)
{
	check_nothing_is_late(*state, "/safe/x");
}

/* Guards against streams that begin or go on at an upstream that leaves. */
static void test_leaving_answers_end_streams(void **state)
{
	fixture_t *f = *state;

	for (int i = 0; i < UPSTREAMS; i++)
		f->rig->upstreams[i].behavior = RIG_STREAM;
	f->rig->upstreams[1].behavior = RIG_STREAM_CUT;
	check_nothing_is_late(f, "/stream/x");
}

/* Guards against requests to an upstream that leaves because no other one is left. */
static void test_leaving_answers_hold_for_the_last_upstream(void **state)
{
	fixture_t *f = *state;

	f->rig->upstreams[1].down = true;
	f->rig->upstreams[2].down = true;
	check_nothing_is_late(f, "/safe/x");
}

/* Guards against upstreams that are not used after an answer with another value. */
static void test_odd_values_of_leaving_do_no_harm(void **state)
{
	static const char *const values[] = { "", "0", "-1", "no", "1e400", "11" };
	fixture_t *f = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		for (int k = 0; k < UPSTREAMS; k++)
			f->rig->upstreams[k].leaving = values[i];
		send_calls(f, "/safe/x", 300);
	}
	for (int k = 0; k < UPSTREAMS; k++)
		f->rig->upstreams[k].leaving = NULL;
	assert_true(send_calls(f, "/safe/x", 500) > 10);
	/* A process that starts under the same id does not leave. */
	f->rig->upstreams[LEAVING].leaving = "1";
	rig_put_upstream_started_at(f->rig, LEAVING, 1000);
	send_calls(f, "/safe/x", 500);
	f->rig->upstreams[LEAVING].leaving = NULL;
	rig_put_upstream_started_at(f->rig, LEAVING, 5000);
	f->rig->upstreams[1].down = true;
	f->rig->upstreams[2].down = true;
	rig_run_for(f->rig, 300);
	f->rig->upstreams[LEAVING].arrivals = 0;
	send_calls(f, "/safe/x", 500);
	assert_true(f->rig->upstreams[LEAVING].arrivals > 0);
}

int main(void)
{
#define LEAVING_TEST(name, fleet) \
	cmocka_unit_test_setup_teardown(name, setup_##fleet, teardown)
	const struct CMUnitTest tests[] = {
		LEAVING_TEST(test_leaving_answers_end_requests, mesh),
		LEAVING_TEST(test_leaving_answers_end_requests, large_fleet),
		LEAVING_TEST(test_leaving_answers_end_streams, mesh),
		LEAVING_TEST(test_leaving_answers_hold_for_the_last_upstream, mesh),
		LEAVING_TEST(test_odd_values_of_leaving_do_no_harm, mesh),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
