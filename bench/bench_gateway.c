/*
 * Sends a number of calls through one gateway process and stops it, so that its
 * instructions can be counted. The difference of two runs under callgrind with
 * different counts, divided by the difference of the counts, is the cost of a
 * call.
 *
 *   bench_gateway [safe|stream [COUNT]]
 *
 * bench/gateway-instructions does that.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "tests/harness/gateway_rig.h"

/* Concurrent calls; more of them reduce the share of the timer ticks. */
#define BATCH_SIZE 20

static const char *route;
static unsigned int call_count;

/* Sends CALLS concurrent calls and waits for their responses. */
static void send_batch(gateway_rig_t *rig, uint16_t port, unsigned int calls)
{
	rig_caller_t *callers[BATCH_SIZE];

	for (unsigned int i = 0; i < calls; i++) {
		char *text = g_strdup_printf(
			"POST /%s/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: c%u\r\n"
			"X-Deadline-Ms: 60000\r\nAuthorization: Bearer k\r\n"
			"Connection: close\r\nContent-Length: 4\r\n\r\nbody",
			route, i);

		callers[i] = rig_call(rig, port, text);
		g_free(text);
	}
	for (unsigned int i = 0; i < calls; i++) {
		RIG_UNTIL(rig, (rig_receive(callers[i]), callers[i]->closed));
		assert_non_null(
			strstr(callers[i]->received->str, "HTTP/1.1 200"));
		rig_caller_destroy(callers[i]);
	}
}

/* Runs the gateway and sends CALL_COUNT calls in batches. */
static void bench(void **state)
{
	gateway_rig_t *rig = gateway_rig_create();
	uint16_t port;

	(void)state;
	rig_put_config(rig, 1, "");
	for (int i = 0; i < RIG_UPSTREAMS; i++) {
		rig->upstreams[i].behavior = strcmp(route, "safe") ? RIG_STREAM
								   : RIG_ANSWER;
		rig_put_upstream(rig, i, "ready");
	}
	rig_start(rig, 0);
	RIG_UNTIL(rig, rig_port(rig, 0, "health"));
	port = rig_port(rig, 0, "callers");
	/* Calls are refused until the gateway has read both lists. */
	for (uint64_t end = uv_hrtime() / 1000000 + 3000;
	     uv_hrtime() / 1000000 < end;)
		rig_run_once(rig);
	for (unsigned int remaining = call_count; remaining;) {
		unsigned int calls = MIN(remaining, BATCH_SIZE);

		send_batch(rig, port, calls);
		remaining -= calls;
	}
	process_signal(rig->gateways[0], SIGTERM);
	RIG_UNTIL(rig, process_ended(rig->gateways[0]));
	gateway_rig_destroy(rig);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = { cmocka_unit_test(bench) };

	route = argc > 1 ? argv[1] : "safe";
	call_count = argc > 2 ? (unsigned int)strtoul(argv[2], NULL, 10)
			      : BATCH_SIZE;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
