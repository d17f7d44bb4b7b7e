/* Tests of gateways of which one gets most callers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "tests/harness/gateway_calls.h"

#define CALLS_PER_SECOND 500
#define CALLS_MS 3000
#define WORK_MS 30
#define CROWDED 1 /* the gateway that gets all callers */

static gateway_rig_t *start_rig(int gateways)
{
	gateway_rig_t *rig = gateway_rig_create_sized(gateways, RIG_UPSTREAMS);

	for (int i = 0; i < rig->upstream_count; i++)
		rig->upstreams[i].work_ms = WORK_MS;
	rig_start_fleet(rig);
	return rig;
}

static int setup_mesh(void **state)
{
	*state = start_rig(6);
	return 0;
}

static int setup_large_fleet(void **state)
{
	*state = start_rig(RIG_GATEWAYS_MAX);
	return 0;
}

static int teardown(void **state)
{
	gateway_rig_destroy(*state);
	return 0;
}

/* Forgets the calls that were answered; returns how many were served. */
static unsigned int collect(GPtrArray *callers)
{
	unsigned int served = 0;

	for (guint i = callers->len; i-- > 0;) {
		rig_caller_t *caller = g_ptr_array_index(callers, i);

		if (!rig_has_received(caller, "\r\n\r\n") && !caller->closed)
			continue;
		served += strstr(caller->received->str, "HTTP/1.1 200") != NULL;
		rig_caller_destroy(caller);
		g_ptr_array_remove_index_fast(callers, i);
	}
	return served;
}

/* Sends calls to one gateway, or to all in turn if that is negative; returns those served. */
static unsigned int send_calls(gateway_rig_t *rig, int gateway)
{
	static unsigned int number;
	GPtrArray *callers = g_ptr_array_new();
	uint64_t start = rig_now_ms();
	unsigned int served = 0;
	unsigned int sent = 0;

	while (sent < CALLS_PER_SECOND * CALLS_MS / 1000) {
		int to = gateway < 0 ? (int)sent % rig->gateway_count : gateway;
		char id[32];

		if ((rig_now_ms() - start) * CALLS_PER_SECOND < sent * 1000) {
			rig_run_once(rig);
			served += collect(callers);
			continue;
		}
		snprintf(id, sizeof(id), "c%u", ++number);
		g_ptr_array_add(callers,
				rig_call_at(rig, to, "POST", "/safe/x", id));
		sent++;
	}
	RIG_UNTIL(rig, (served += collect(callers), !callers->len));
	g_ptr_array_unref(callers);
	return served;
}

/* Checks that one gateway with all callers serves most of what all do. */
static void check_crowded(gateway_rig_t *rig)
{
	unsigned int before = send_calls(rig, -1);
	unsigned int after = send_calls(rig, CROWDED);

	print_message("%d gateways: %u served by all, %u by one\n",
		      rig->gateway_count, before, after);
	assert_true(after * 4 >= before * 3);
}

/* Guards against a gateway that refuses callers as its even share of connections is used. */
static void test_most_callers_come_to_one_gateway(void **state)
{
	check_crowded(*state);
}

/* The same where an even share is small. */
static void test_most_callers_come_to_one_of_many_gateways(void **state)
{
	check_crowded(*state);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_most_callers_come_to_one_gateway,
						setup_mesh, teardown),
		cmocka_unit_test_setup_teardown(test_most_callers_come_to_one_of_many_gateways,
						setup_large_fleet, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
