/* Tests of three gateways that roll a software version out on an operator's order. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "tests/harness/gateway_calls.h"

#define UPSTREAMS 4 /* the first half is of the old version */
#define CALLERS 64
#define CALL_PERIOD_MS 8
/* Shorter answers vary by several times on loopback, so that equal versions differ. */
#define WORK_MS 20
#define PERIOD_S 6
#define LONG_PERIOD_S \
	14 /* in which another gateway leads, or all are started again */
#define SHARE 0.1
#define SLACK 30

typedef struct fixture {
	gateway_rig_t *rig;
	rig_caller_t *callers[CALLERS];
	unsigned int calls;
	uint64_t called_ms;
	uint64_t ordered_ms;
	unsigned int sent[2]; /* to upstreams of the old version, of the new one */
} fixture_t;

static void count_call(void *ctx, int upstream, const char *call_id)
{
	fixture_t *fix = ctx;

	(void)call_id;
	fix->sent[upstream >= UPSTREAMS / 2]++;
}

static int setup(void **state)
{
	fixture_t *fix = g_new0(fixture_t, 1);
	gateway_rig_t *rig = gateway_rig_create_sized(RIG_GATEWAYS, UPSTREAMS);

	rig->first_start = true;
	rig->more_settings = "[rollout]\nexposure_share = 0.1\n"
			     "exposure_slack = 30.0\nrollback_ms = 5000\n";
	rig->observe_call = count_call;
	rig->ctx = fix;
	rig_put_config(rig, 1, "");
	for (int i = 0; i < UPSTREAMS; i++) {
		rig->upstreams[i].version = i < UPSTREAMS / 2 ? "v1" : "v2";
		rig->upstreams[i].work_ms = WORK_MS;
	}
	for (int i = 0; i < UPSTREAMS / 2; i++)
		rig_put_upstream(rig, i, "ready");
	rig_start_gateways(rig, 1);
	fix->rig = rig;
	*state = fix;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *fix = *state;

	for (int i = 0; i < CALLERS; i++)
		if (fix->callers[i])
			rig_caller_destroy(fix->callers[i]);
	gateway_rig_destroy(fix->rig);
	g_free(fix);
	return 0;
}

/* Runs the loop once, and calls a gateway that runs if that is due. */
static void run_once(fixture_t *fix)
{
	rig_caller_t **caller = &fix->callers[fix->calls % CALLERS];
	int gateway = (int)(fix->calls % RIG_GATEWAYS);
	char id[32];

	rig_run_once(fix->rig);
	if (rig_now_ms() < fix->called_ms + CALL_PERIOD_MS)
		return;
	fix->called_ms = rig_now_ms();
	fix->calls++;
	if (!fix->rig->gateways[gateway])
		return;
	if (*caller)
		rig_caller_destroy(*caller);
	snprintf(id, sizeof(id), "c%u", fix->calls);
	*caller = rig_call_at(fix->rig, gateway, "POST", "/safe/x", id);
}

/* Calls gateways for MS. */
static void run_for(fixture_t *fix, uint64_t ms)
{
	uint64_t end = rig_now_ms() + ms;

	while (rig_now_ms() < end)
		run_once(fix);
}

/* Orders version v2, and then registers its upstreams. */
static void order(fixture_t *fix, int period_s)
{
	char *spec = g_strdup_printf(
		"{\"service\":\"s\",\"to\":\"v2\",\"periodS\":%d}", period_s);

	run_for(fix, 500);
	fix->sent[0] = 0;
	rig_put(fix->rig, "rollouts", "s", spec);
	fix->ordered_ms = rig_now_ms();
	run_for(fix, 300);
	for (int i = UPSTREAMS / 2; i < UPSTREAMS; i++)
		rig_put_upstream(fix->rig, i, "ready");
	g_free(spec);
}

/* Returns the state in the store; an empty string if there is none. */
static const char *get_state(const fixture_t *fix, const char *name)
{
	json_t *kind = json_object_get(fix->rig->objects, "rollouts");
	json_t *status = json_object_get(json_object_get(kind, name), "status");
	const char *state = json_string_value(json_object_get(status, "state"));

	return state ? state : "";
}

/* Calls gateways until the order is over, and checks its state. */
static void check_ends(fixture_t *fix, const char *state, int period_s)
{
	uint64_t end = fix->ordered_ms + (uint64_t)period_s * 1000;

	while (rig_now_ms() < end && (!*get_state(fix, "s") ||
				      !strcmp(get_state(fix, "s"), "running")))
		run_once(fix);
	print_message("%s after %d ms, sent %u to v1, %u to v2\n",
		      get_state(fix, "s"), (int)(rig_now_ms() - fix->ordered_ms),
		      fix->sent[0], fix->sent[1]);
	assert_string_equal(get_state(fix, "s"), state);
}

/* Checks that a version, 0: the old one, gets no more calls while the other does. */
static void check_gets_none(fixture_t *fix, int version)
{
	unsigned int sent[2];

	run_for(fix, 300);
	memcpy(sent, fix->sent, sizeof(sent));
	run_for(fix, 1000);
	assert_int_equal(fix->sent[version], sent[version]);
	assert_true(fix->sent[!version] > sent[!version] + 50);
}

static void kill_gateway(gateway_rig_t *rig, int i)
{
	process_destroy(rig->gateways[i]);
	rig->gateways[i] = NULL;
}

static void test_good_version_is_completed(void **state)
{
	fixture_t *fix = *state;

	order(fix, PERIOD_S);
	check_ends(fix, "completed", PERIOD_S);
	check_gets_none(fix, 0);
}

static void test_failing_version_is_rolled_back(void **state)
{
	fixture_t *fix = *state;

	fix->rig->upstreams[2].behavior = RIG_FAIL;
	fix->rig->upstreams[3].behavior = RIG_FAIL;
	order(fix, LONG_PERIOD_S);
	check_ends(fix, "rolled_back", LONG_PERIOD_S);
	assert_true(fix->sent[1] <= SHARE * (fix->sent[0] + fix->sent[1]) + SLACK);
	check_gets_none(fix, 1);
}

/* Guards against an order that nobody ends once the leader is gone. */
static void test_killed_leader_is_replaced(void **state)
{
	fixture_t *fix = *state;
	bool killed = false;

	order(fix, LONG_PERIOD_S);
	while (!*get_state(fix, "s") && rig_now_ms() < fix->ordered_ms + 4000)
		run_for(fix, 20);
	run_for(fix, 500);
	for (int i = 0; i < RIG_GATEWAYS; i++) {
		if (killed || !rig_count_logged(fix->rig, i, "write service=s"))
			continue;
		kill_gateway(fix->rig, i);
		killed = true;
	}
	assert_true(killed);
	check_ends(fix, "completed", LONG_PERIOD_S);
}

/* Guards against a leader that takes the lost answer for a write that failed. */
static void test_lost_answer_of_the_final_write_is_harmless(void **state)
{
	fixture_t *fix = *state;

	order(fix, PERIOD_S);
	run_for(fix, 1500);
	assert_string_equal(get_state(fix, "s"), "running");
	fix->rig->status_answers_to_drop = 1;
	check_ends(fix, "completed", PERIOD_S);
	assert_int_equal(fix->rig->status_answers_to_drop, 0);
	check_gets_none(fix, 0);
}

/* Guards against an order that begins anew, or is forgotten, after a kill of all. */
static void test_killed_gateways_go_on(void **state)
{
	fixture_t *fix = *state;

	order(fix, LONG_PERIOD_S);
	run_for(fix, 2000);
	for (int i = 0; i < RIG_GATEWAYS; i++)
		kill_gateway(fix->rig, i);
	fix->rig->first_start = false;
	rig_start_gateways(fix->rig, 2);
	check_ends(fix, "completed", LONG_PERIOD_S);
	assert_true(fix->sent[1] > 0);
}

/* Guards against requests that wait for a new version that went away in the last step. */
static void test_old_version_serves_where_the_new_one_is_gone(void **state)
{
	fixture_t *fix = *state;
	unsigned int sent_old;

	order(fix, PERIOD_S);
	while (!rig_count_logged(fix->rig, 0, "step=full") &&
	       rig_now_ms() < fix->ordered_ms + PERIOD_S * 1000)
		run_for(fix, 20);
	for (int i = UPSTREAMS / 2; i < UPSTREAMS; i++)
		rig_put_upstream(fix->rig, i, "draining");
	run_for(fix, 200);
	sent_old = fix->sent[0];
	run_for(fix, 500);
	assert_true(fix->sent[0] > sent_old + 30);
	check_ends(fix, "rolled_back", PERIOD_S + 2);
}

/* Guards against orders written by hand that stop a gateway or are logged again and again. */
static void test_invalid_orders_are_logged_once(void **state)
{
	static const char *const invalid[] = {
		"{\"service\":\"x0\",\"to\":\"v2\",\"periodS\":5}",
		"{\"to\":\"v2\",\"periodS\":5}",
		"{\"service\":\"x2\",\"periodS\":5}",
		"{\"service\":\"x3\",\"to\":\"v2\"}",
		"{\"service\":\"x4\",\"to\":7,\"periodS\":5}",
		"{\"service\":\"x5\",\"to\":\"v2\",\"periodS\":0}",
		"{\"service\":\"x6\",\"to\":\"v2\",\"periodS\":\"5\"}",
		"[]",
		"{\"service\":\"s\",\"to\":\"v2\",\"periodS\":5}",
	};
	fixture_t *fix = *state;
	char name[8];

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		snprintf(name, sizeof(name), "x%zu", i);
		rig_put(fix->rig, "rollouts", name, invalid[i]);
	}
	run_for(fix, 2000);
	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		snprintf(name, sizeof(name), "x%zu", i);
		assert_string_equal(get_state(fix, name), "");
		for (int j = 0; j < RIG_GATEWAYS; j++) {
			char *text = g_strdup_printf("rollout: %s", name);

			assert_int_equal(rig_count_logged(fix->rig, j, text), 1);
			g_free(text);
		}
	}
	order(fix, PERIOD_S);
	check_ends(fix, "completed", PERIOD_S);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_good_version_is_completed),
		TEST(test_failing_version_is_rolled_back),
		TEST(test_killed_leader_is_replaced),
		TEST(test_lost_answer_of_the_final_write_is_harmless),
		TEST(test_killed_gateways_go_on),
		TEST(test_old_version_serves_where_the_new_one_is_gone),
		TEST(test_invalid_orders_are_logged_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
