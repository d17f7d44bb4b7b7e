/* Tests of what callers get of responses that are none, or that end early. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "tests/harness/gateway_calls.h"

#define SEAL "X-Response-Seal: s0\r\n"
#define NEXT "HTTP/1.1 200 OK\r\n" SEAL "Content-Length: 5\r\n\r\nworld"
#define NEXT_STREAM                                                   \
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" SEAL \
	"Transfer-Encoding: chunked\r\n\r\n9\r\ndata: x\n\n\r\n0\r\n\r\n"
#define ANSWER_MS 1500 /* well before the routes' timeout of 4 s */

/* Starts a gateway with one upstream, whose answers are given as text. */
static int setup(void **state)
{
	gateway_rig_t *rig = gateway_rig_create_sized(1, 1);

	rig->upstreams[0].behavior = RIG_ENDLESS;
	rig->upstreams[0].endless_piece = " ";
	rig->upstreams[0].endless_gap_ms = 10000;
	rig_start_fleet(rig);
	*state = rig;
	return 0;
}

static int teardown(void **state)
{
	gateway_rig_destroy(*state);
	return 0;
}

/* Calls an upstream that answers with TEXT, and waits for the gateway's answer. */
static rig_caller_t *call(gateway_rig_t *rig, const char *path, const char *text)
{
	rig_caller_t *caller;

	rig->upstreams[0].endless_begin = text;
	caller = rig_call_at(rig, 0, "POST", path, "c1");
	RIG_UNTIL_WITHIN(rig, rig_has_received(caller, "\r\n\r\n"), ANSWER_MS);
	return caller;
}

/* Guards against callers that get bytes that are no response, alone or before another. */
static void test_invalid_statuses_are_no_answers(void **state)
{
	static const char *const answers[][2] = {
		{ "/unsafe/x", "HTTP/1.1 000 None\r\n" SEAL
			       "Content-Length: 5\r\n\r\nhello" },
		{ "/unsafe/x", "HTTP/1.1 000 None\r\n" SEAL
			       "Content-Length: 5\r\n\r\nhello" NEXT },
		{ "/unsafe/x", "HTTP/1.1 103 Early Hints\r\n" SEAL
			       "Content-Length: 5\r\n\r\nhello" NEXT },
		{ "/unsafe/x", "HTTP/1.1 600 High\r\n" SEAL
			       "Content-Length: 5\r\n\r\nhello" },
		{ "/once/x", "HTTP/1.1 000 None\r\n" SEAL
			     "Content-Length: 5\r\n\r\nhello" NEXT_STREAM },
		{ "/once/x", "HTTP/1.1 103 Early Hints\r\n" SEAL
			     "Content-Length: 5\r\n\r\nhello" NEXT_STREAM },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		rig_caller_t *caller;

		setup(state);
		caller = call(*state, answers[i][0], answers[i][1]);
		assert_true(rig_has_received(caller, "HTTP/1.1 502"));
		assert_false(rig_has_received(caller, "hello"));
		rig_caller_destroy(caller);
		teardown(state);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_invalid_statuses_are_no_answers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
