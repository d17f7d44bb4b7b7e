/* Tests of 24 gateways before plain upstreams of few slots. */
#include <math.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "tests/harness/forwarder.h"
#include "tests/harness/gateway_calls.h"

#define SLOTS 8 /* of each upstream, as the rig registers them */
#define WORK_MS 60
#define ROOM (SLOTS + 1)
#define UTILIZATION 0.85
#define UTILIZATION_WITHOUT 0.7 /* where the dispatcher fails */
#define START_MS 1500 /* until the gateways find that slots are scarce */
#define LOAD_MS 2000
#define FIND_MS 200
#define ANSWER_MS 1000
/* Without a dispatcher upstreams are chosen at random, and some calls retried in vain. */
#define SERVED_PART 0.95
#define SEED 5

/* A call that was sent. */
typedef struct call {
	rig_caller_t *caller;
	char id[32];
	int gateway;
	bool safe;
	uint64_t sent_ms;
} call_t;

/* Calls to all gateways in turn, one of which may be away. */
typedef struct load {
	gateway_rig_t *rig;
	GRand *random;
	double calls_per_ms;
	GPtrArray *calls; /* of call_t: not answered yet */
	unsigned int dropped; /* calls to a gateway that is away */
	int away; /* no calls go there; negative: none */
	unsigned int number;
	unsigned int served;
	unsigned int refused;
	unsigned int late; /* answered after ANSWER_MS */
	unsigned int ran_twice;
	uint64_t slowest_ms;
} load_t;

static load_t *load_create(gateway_rig_t *rig, double utilization)
{
	load_t *load = g_new0(load_t, 1);

	load->rig = rig;
	load->calls_per_ms = utilization * RIG_UPSTREAMS * SLOTS / WORK_MS;
	load->calls = g_ptr_array_new_with_free_func(g_free);
	load->random = g_rand_new_with_seed(SEED);
	load->away = -1;
	return load;
}

static void load_destroy(load_t *load)
{
	g_ptr_array_unref(load->calls);
	g_rand_free(load->random);
	g_free(load);
}

static void load_send(load_t *load)
{
	call_t *call = g_new0(call_t, 1);

	load->number++;
	call->gateway = (int)load->number % load->rig->gateway_count;
	if (call->gateway == load->away)
		call->gateway = (call->gateway + 1) % load->rig->gateway_count;
	call->safe = load->number % 2;
	call->sent_ms = rig_now_ms();
	snprintf(call->id, sizeof(call->id), "c%u", load->number);
	call->caller = rig_call_at(load->rig, call->gateway, "POST",
				   call->safe ? "/safe/x" : "/unsafe/x", call->id);
	g_ptr_array_add(load->calls, call);
}

/* Counts a call that was answered, and forgets it. */
static void count_call(load_t *load, const call_t *call)
{
	uint64_t took = rig_now_ms() - call->sent_ms;

	load->served += strstr(call->caller->received->str, "HTTP/1.1 200") != NULL;
	load->refused += strstr(call->caller->received->str, "HTTP/1.1 503") !=
			 NULL;
	load->late += took > ANSWER_MS;
	load->slowest_ms = MAX(load->slowest_ms, took);
	load->ran_twice += rig_run_count(load->rig, call->id) > 1;
	rig_caller_destroy(call->caller);
}

static void load_collect(load_t *load)
{
	for (guint i = load->calls->len; i-- > 0;) {
		call_t *call = g_ptr_array_index(load->calls, i);

		if (!rig_has_received(call->caller, "\r\n\r\n") &&
		    !call->caller->closed)
			continue;
		count_call(load, call);
		g_ptr_array_remove_index_fast(load->calls, i);
	}
}

/* Sends calls for a while, at random times. */
static void load_run(load_t *load, double ms)
{
	double start = (double)rig_now_ms();
	double due = 0;

	while (due < ms) {
		if ((double)rig_now_ms() - start < due) {
			rig_run_once(load->rig);
			load_collect(load);
			continue;
		}
		load_send(load);
		due -= log(1 - g_rand_double(load->random)) / load->calls_per_ms;
	}
}

/* Sends no calls to a gateway, and forgets those that it has, which may have run. */
static void load_leave(load_t *load, int gateway)
{
	load->away = gateway;
	for (guint i = load->calls->len; i-- > 0;) {
		call_t *call = g_ptr_array_index(load->calls, i);

		if (call->gateway != gateway)
			continue;
		load->dropped++;
		rig_caller_destroy(call->caller);
		g_ptr_array_remove_index_fast(load->calls, i);
	}
}

/* Waits until all calls are answered; each must have run once, or been refused. */
static void load_finish(load_t *load)
{
	RIG_UNTIL(load->rig, (load_collect(load), !load->calls->len));
	print_message("%u calls: %u served, %u refused, %u dropped, %u late "
		      "(slowest %u ms), %u ran twice\n",
		      load->number, load->served, load->refused, load->dropped,
		      load->late, (unsigned int)load->slowest_ms, load->ran_twice);
	assert_int_equal(load->ran_twice, 0);
	assert_int_equal(load->late, 0);
	assert_int_equal(load->served + load->refused + load->dropped,
			 load->number);
	assert_true(load->served >= SERVED_PART * (load->number - load->dropped));
}

static unsigned int count_arrivals(const gateway_rig_t *rig)
{
	unsigned int arrivals = 0;

	for (int i = 0; i < rig->upstream_count; i++)
		arrivals += rig->upstreams[i].arrivals;
	return arrivals;
}

/* Returns how many slots a gateway has granted, by its metrics. */
static double count_grants(gateway_rig_t *rig, int number)
{
	static const char name[] = "\ngateway_slot_grants_total ";
	rig_caller_t *caller =
		rig_call(rig, rig_port(rig, number, "health"),
			 "GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n");
	const char *line;
	double grants;

	RIG_UNTIL(rig, rig_is_closed(caller));
	line = strstr(caller->received->str, name);
	grants = line ? g_ascii_strtod(line + sizeof(name) - 1, NULL) : 0;
	rig_caller_destroy(caller);
	return grants;
}

/* Returns the gateway that dispatches most slots while calls are sent. */
static int find_dispatcher(load_t *load)
{
	double grants[RIG_GATEWAYS_MAX] = { 0 };
	double most = 0;
	int found = -1;

	for (int i = 0; i < load->rig->gateway_count; i++)
		grants[i] = count_grants(load->rig, i);
	load_run(load, FIND_MS);
	for (int i = 0; i < load->rig->gateway_count; i++) {
		grants[i] = count_grants(load->rig, i) - grants[i];
		if (grants[i] > most) {
			most = grants[i];
			found = i;
		}
	}
	assert_in_range(found, 0, load->rig->gateway_count - 1);
	return found;
}

/* Returns how often all gateways have logged TEXT. */
static unsigned int count_logged(gateway_rig_t *rig, const char *text)
{
	unsigned int times = 0;

	for (int i = 0; i < rig->gateway_count; i++)
		times += (unsigned int)rig_count_logged(rig, i, text);
	return times;
}

/* Returns the part of calls that find no room at one upstream of random choice (Erlang). */
static double rejected_at_random(void)
{
	double offered = UTILIZATION * SLOTS;
	double part = 1;

	for (int i = 1; i <= ROOM; i++)
		part = offered * part / (i + offered * part);
	return part;
}

static gateway_rig_t *create_rig(int upstreams)
{
	gateway_rig_t *rig = gateway_rig_create_sized(RIG_GATEWAYS_MAX, upstreams);

	for (int i = 0; i < rig->upstream_count; i++) {
		rig->upstreams[i].work_ms = WORK_MS;
		rig->upstreams[i].room = ROOM;
	}
	return rig;
}

static int setup(void **state)
{
	*state = create_rig(RIG_UPSTREAMS);
	rig_start_fleet(*state);
	return 0;
}

/* One more upstream is registered that takes no connections. */
static int setup_unreachable(void **state)
{
	gateway_rig_t *rig = create_rig(RIG_UPSTREAMS + 1);
	forwarder_t *link =
		forwarder_create(&rig->loop, rig->upstreams[RIG_UPSTREAMS].port);

	rig->upstream_proxy_ports[RIG_UPSTREAMS] = (uint16_t)forwarder_port(link);
	forwarder_close(link, true);
	rig_start_fleet(rig);
	*state = rig;
	return 0;
}

static int teardown(void **state)
{
	gateway_rig_destroy(*state);
	return 0;
}

/* Guards against rejections by full upstreams while others have free slots. */
static void test_few_calls_are_rejected(void **state)
{
	gateway_rig_t *rig = *state;
	load_t *load = load_create(rig, UTILIZATION);
	unsigned int arrivals;
	unsigned int calls;
	double rejected;

	load_run(load, START_MS);
	load_finish(load);
	arrivals = count_arrivals(rig);
	calls = load->number;
	load_run(load, LOAD_MS);
	load_finish(load);
	arrivals = count_arrivals(rig) - arrivals;
	calls = load->number - calls;
	rejected = 1 - (double)calls / arrivals;
	print_message("%u arrivals of %u calls: %.3f rejected, %.3f at "
		      "random\n",
		      arrivals, calls, rejected, rejected_at_random());
	assert_true(rejected < rejected_at_random() / 2);
	load_destroy(load);
}

/* Guards against calls that wait for a dispatcher that has ended, or run twice. */
static void test_dispatcher_is_killed(void **state)
{
	load_t *load = load_create(*state, UTILIZATION_WITHOUT);
	int dispatcher;

	load_run(load, START_MS);
	dispatcher = find_dispatcher(load);
	process_signal(load->rig->gateways[dispatcher], SIGKILL);
	load_leave(load, dispatcher);
	load_run(load, LOAD_MS);
	load_finish(load);
	assert_true(count_logged(load->rig, "unanswered") > 0);
	load_destroy(load);
}

/* The same where it answers late, when others have gone on without it. */
static void test_dispatcher_is_frozen(void **state)
{
	load_t *load = load_create(*state, UTILIZATION_WITHOUT);
	int dispatcher;

	load_run(load, START_MS);
	dispatcher = find_dispatcher(load);
	process_signal(load->rig->gateways[dispatcher], SIGSTOP);
	load_leave(load, dispatcher);
	load_run(load, LOAD_MS);
	process_signal(load->rig->gateways[dispatcher], SIGCONT);
	load_run(load, LOAD_MS);
	load_finish(load);
	assert_true(count_logged(load->rig, "unanswered") > 0);
	load_destroy(load);
}

/* Guards against slots that are granted again and again where nobody can connect. */
static void test_unreachable_upstream_gets_few_calls(void **state)
{
	load_t *load = load_create(*state, UTILIZATION_WITHOUT);

	unsigned int refused;

	load_run(load, LOAD_MS);
	load_finish(load);
	refused = count_logged(load->rig, "refused the connection");
	print_message("%u connections refused\n", refused);
	assert_true(refused * 5 < load->number);
	load_destroy(load);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_few_calls_are_rejected,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_unreachable_upstream_gets_few_calls,
						setup_unreachable, teardown),
		cmocka_unit_test_setup_teardown(test_dispatcher_is_killed,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_dispatcher_is_frozen,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
