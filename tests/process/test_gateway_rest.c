/* Tests of gateways whose upstreams ask for a rest when they reject a request. */
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
#define REST "2"
#define REST_MS 2000
#define UNDER_WAY_MS 500 /* until requests that were under way have arrived */
#define ARRIVALS_ALLOWED 2 /* from one gateway in its rest */
#define REFUSAL_MS 300 /* a refusal that is known to be due does not wait */

/* When a gateway was first asked for a rest, and what it sent in that time. */
typedef struct rested {
	uint64_t asked_ms; /* 0: not yet */
	unsigned int arrivals;
} rested_t;

/* A rig, and what its upstreams got; the calls' ids begin with the gateway's number. */
typedef struct fixture {
	gateway_rig_t *rig;
	rested_t rested[RIG_GATEWAYS_MAX][UPSTREAMS];
	unsigned int number;
	unsigned int refused;
	double retry_after_min; /* seconds, of refusals */
} fixture_t;

/* Counts what reaches an upstream in the time of rest that it asked a gateway for. */
static void on_call(void *ctx, int upstream, const char *call_id)
{
	fixture_t *f = ctx;
	rested_t *rested = &f->rested[atoi(call_id)][upstream];
	uint64_t now = rig_now_ms();

	if (!f->rig->upstreams[upstream].rest)
		return;
	if (!rested->asked_ms || now > rested->asked_ms + REST_MS)
		*rested = (rested_t){ now, 0 };
	rested->arrivals += now > rested->asked_ms + UNDER_WAY_MS;
}

/* A route of prompts, and one whose calls are tried elsewhere after 250 ms. */
static const char more_routes[] =
	",{\"name\":\"prompt\",\"host\":\"h\",\"pathPrefix\":\"/prompt/\","
	"\"kind\":\"stream\",\"timeoutMs\":4000,\"goalMs\":2000,\"priority\":1,"
	"\"service\":\"s\",\"maxAttempts\":2,\"resumable\":true,\"sticky\":"
	"true}"
	",{\"name\":\"quick\",\"host\":\"h\",\"pathPrefix\":\"/quick/\","
	"\"kind\":\"safe\",\"timeoutMs\":4000,\"goalMs\":100,\"priority\":1,"
	"\"service\":\"s\",\"maxAttempts\":2,\"resumable\":false}";

static fixture_t *create(int gateways)
{
	fixture_t *f = g_new0(fixture_t, 1);

	f->rig = gateway_rig_create_sized(gateways, UPSTREAMS);
	f->rig->observe_call = on_call;
	f->rig->ctx = f;
	f->retry_after_min = 1000;
	rig_start_fleet(f->rig);
	rig_put_config(f->rig, 2, more_routes);
	for (int i = 0; i < gateways; i++)
		RIG_UNTIL(f->rig, rig_count_logged(f->rig, i, "config=2"));
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

/* Sends a call each PERIOD ms to all gateways in turn for MS; returns how many were served. */
static unsigned int send_calls(fixture_t *f, const char *path, uint64_t period,
			       uint64_t ms)
{
	gateway_rig_t *rig = f->rig;
	unsigned int served = 0;
	uint64_t start = rig_now_ms();
	GPtrArray *callers = g_ptr_array_new();
	GArray *sent = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	while (rig_now_ms() - start < ms || callers->len) {
		uint64_t now = rig_now_ms();

		rig_run_once(rig);
		if (now - start < ms && now >= start + sent->len * period) {
			int gateway =
				(int)(f->number % (unsigned)rig->gateway_count);
			rig_caller_t *caller;
			char more[96];
			char id[32];

			snprintf(id, sizeof(id), "%d-%u", gateway, f->number++);
			/* Prompts of a few kinds, each with an upstream of its own. */
			snprintf(more, sizeof(more),
				 "X-Token-Count: 400,8\r\n"
				 "X-Prompt-Prefix: %x:300,%x:100\r\n",
				 f->number % 7 + 1, f->number + 100);
			caller = rig_call(rig,
					  rig_port(rig, gateway, "callers"), "");
			rig_send_call_with(caller, "POST", path, id, more);
			g_ptr_array_add(callers, caller);
			g_array_append_val(sent, now);
		}
		for (guint i = callers->len; i-- > 0;) {
			rig_caller_t *caller = g_ptr_array_index(callers, i);
			const char *retry;

			if (!rig_has_received(caller, "\r\n\r\n") &&
			    !rig_is_closed(caller))
				continue;
			served += strstr(caller->received->str, " 200 ") != NULL;
			retry = strstr(caller->received->str, "Retry-After: ");
			if (strstr(caller->received->str, " 503 ") && retry) {
				f->refused++;
				f->retry_after_min =
					MIN(f->retry_after_min,
					    g_ascii_strtod(retry + 13, NULL));
			}
			rig_caller_destroy(caller);
			g_ptr_array_remove_index(callers, i);
		}
		if (now - start > ms + RIG_TIMEOUT_MS)
			fail_msg("%u calls got no answer", callers->len);
	}
	g_ptr_array_unref(callers);
	g_array_unref(sent);
	return served;
}

/* Returns the most requests that any gateway sent to an upstream while it was to rest. */
static unsigned int worst(const fixture_t *f)
{
	unsigned int most = 0;

	for (int i = 0; i < f->rig->gateway_count; i++) {
		for (int k = 0; k < UPSTREAMS; k++)
			most = MAX(most, f->rested[i][k].arrivals);
	}
	return most;
}

/* Returns the period of calls with which each gateway gets 33 a second. */
static uint64_t period(const fixture_t *f)
{
	return MAX(30 / f->rig->gateway_count, 1);
}

/* Guards against requests to an upstream in the time of rest that it asked for. */
static void test_rest_is_kept(void **state)
{
	fixture_t *f = *state;
	unsigned int served;

	send_calls(f, "/safe/x", period(f), 300);
	f->rig->upstreams[0].rest = REST;
	served = send_calls(f, "/safe/x", period(f), REST_MS);
	print_message("%d gateways: %u arrivals, %u served, %u refused\n",
		      f->rig->gateway_count, worst(f), served, f->refused);
	assert_in_range(worst(f), 0, ARRIVALS_ALLOWED);
	assert_in_range(f->refused, 0, 0);
	f->rig->upstreams[0].rest = NULL;
	f->rig->upstreams[0].arrivals = 0;
	send_calls(f, "/safe/x", period(f), REST_MS + 500);
	assert_true(f->rig->upstreams[0].arrivals > 0);
}

/* Guards against requests to a resting upstream where all others fail or are full. */
static void test_rest_is_kept_where_no_other_upstream_is_left(void **state)
{
	fixture_t *f = *state;

	send_calls(f, "/safe/x", period(f), 300);
	f->rig->upstreams[0].rest = REST;
	f->rig->upstreams[1].room = 1;
	f->rig->upstreams[1].work_ms = 400;
	f->rig->upstreams[2].down = true;
	send_calls(f, "/safe/x", period(f), REST_MS);
	print_message("%d gateways: %u arrivals, %u refused\n",
		      f->rig->gateway_count, worst(f), f->refused);
	assert_in_range(worst(f), 0, ARRIVALS_ALLOWED);
}

/* Guards against streams that are resumed at an upstream that is to rest. */
static void test_rest_is_kept_by_resumed_streams(void **state)
{
	fixture_t *f = *state;

	send_calls(f, "/stream/x", 10, 300);
	f->rig->upstreams[0].rest = REST;
	f->rig->upstreams[1].behavior = RIG_STREAM_CUT;
	f->rig->upstreams[2].behavior = RIG_STREAM;
	send_calls(f, "/stream/x", 10, REST_MS);
	assert_in_range(worst(f), 0, ARRIVALS_ALLOWED);
}

/* Guards against prompts that go to the upstream that has their shared part cached. */
static void test_rest_is_kept_by_prompts(void **state)
{
	fixture_t *f = *state;

	for (int i = 0; i < UPSTREAMS; i++)
		f->rig->upstreams[i].behavior = RIG_STREAM;
	send_calls(f, "/prompt/x", period(f), 300);
	assert_true(f->rig->upstreams[0].arrivals > 0);
	f->rig->upstreams[0].rest = REST;
	send_calls(f, "/prompt/x", period(f), REST_MS);
	assert_in_range(worst(f), 0, ARRIVALS_ALLOWED);
}

/* Guards against calls that are sent once more to a resting upstream, as one is silent. */
static void test_rest_is_kept_by_calls_without_answer(void **state)
{
	fixture_t *f = *state;

	send_calls(f, "/quick/x", period(f), 300);
	f->rig->upstreams[0].rest = REST;
	f->rig->upstreams[1].behavior = RIG_HANG;
	send_calls(f, "/quick/x", 10, REST_MS);
	assert_in_range(worst(f), 0, ARRIVALS_ALLOWED);
}

/* Guards against calls that wait, or are told a wrong time, where all upstreams rest. */
static void test_calls_are_refused_at_once_while_all_rest(void **state)
{
	fixture_t *f = *state;
	uint64_t start;

	for (int i = 0; i < UPSTREAMS; i++)
		f->rig->upstreams[i].rest = "20";
	/* A call that all upstreams reject is told so as well. */
	send_calls(f, "/safe/x", 5, 5);
	assert_true(f->refused > 0);
	assert_true(f->retry_after_min > 17 && f->retry_after_min < 1000);
	/* Each gateway learns it from one call to each upstream. */
	send_calls(f, "/safe/x", period(f), 500);
	f->refused = 0;
	f->retry_after_min = 1000;
	start = rig_now_ms();
	send_calls(f, "/safe/x", period(f), 20);
	print_message("%u refused within %u ms, retry after %.2f s at least\n",
		      f->refused, (unsigned)(rig_now_ms() - start),
		      f->retry_after_min);
	assert_true(f->refused > 0);
	assert_true(rig_now_ms() - start <= REFUSAL_MS);
	assert_true(f->retry_after_min > 17 && f->retry_after_min < 1000);
	assert_in_range(worst(f), 0, ARRIVALS_ALLOWED);
}

/* Guards against values that are no time of rest, after which an upstream is not used. */
static void test_odd_times_of_rest_do_no_harm(void **state)
{
	static const char *const values[] = {
		"",  "-5",   "nan",    "soon",
		"0", "-inf", "2 days", "Wed, 21 Oct 2026 07:28:00 GMT"
	};
	fixture_t *f = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		for (int k = 0; k < UPSTREAMS; k++)
			f->rig->upstreams[k].rest = values[i];
		send_calls(f, "/safe/x", 20, 100);
		for (int k = 0; k < UPSTREAMS; k++)
			f->rig->upstreams[k].rest = NULL;
		rig_run_for(f->rig, 300);
		assert_true(send_calls(f, "/safe/x", 20, 100) >= 4);
	}
}

int main(void)
{
#define REST_TEST(name, fleet) \
	cmocka_unit_test_setup_teardown(name, setup_##fleet, teardown)
	const struct CMUnitTest tests[] = {
		REST_TEST(test_rest_is_kept, mesh),
		REST_TEST(test_rest_is_kept, large_fleet),
		REST_TEST(test_rest_is_kept_where_no_other_upstream_is_left, mesh),
		REST_TEST(test_rest_is_kept_where_no_other_upstream_is_left,
			  large_fleet),
		REST_TEST(test_rest_is_kept_by_resumed_streams, mesh),
		REST_TEST(test_rest_is_kept_by_prompts, mesh),
		REST_TEST(test_rest_is_kept_by_prompts, large_fleet),
		REST_TEST(test_rest_is_kept_by_calls_without_answer, mesh),
		REST_TEST(test_calls_are_refused_at_once_while_all_rest, mesh),
		REST_TEST(test_odd_times_of_rest_do_no_harm, mesh),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
