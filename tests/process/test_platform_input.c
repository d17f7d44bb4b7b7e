/*
 * Invalid data is written to objects in the platform's store, by a fault or by
 * another client. Entries must log it, keep their current bundle and go on
 * serving.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "adapters/json.h"
#include "tests/harness/fleet.h"

static int setup(void **state)
{
	const fleet_config_t config = { .entries = 2, .engines = 1, .services = 1 };

	*state = fleet_create(&config);
	return 0;
}

static int teardown(void **state)
{
	fleet_destroy(*state);
	return 0;
}

static void put_object(fleet_t *fleet, const char *key, const char *body)
{
	char *path = g_strconcat("/objects/", key, NULL);
	call_t *call = call_start(fleet, fleet->platform.port, "PUT", path,
				  NULL, NULL, NULL, body);

	call_wait(call);
	assert_int_equal(call->status, 200);
	call_destroy(call);
	g_free(path);
}

typedef struct log_wait {
	fleet_t *fleet;
	const char *text;
} log_wait_t;

static bool entry_logged(void *ctx)
{
	log_wait_t *wait = ctx;
	char *log = process_log(wait->fleet->entries[0].process);
	bool found = strstr(log, wait->text) != NULL;

	g_free(log);
	return found;
}

static void wait_for_log(fleet_t *fleet, const char *text)
{
	log_wait_t wait = { fleet, text };

	fleet_wait(fleet, entry_logged, &wait, text);
}

static void assert_serves(fleet_t *fleet)
{
	call_t *call = completion_start(fleet, fleet->entries[0].port, "go on",
					4, true);

	call_wait(call);
	assert_true(completion_is_complete(call));
	call_destroy(call);
}

static void assert_generation(fleet_t *fleet, int64_t generation)
{
	json_t *status = fleet_get(fleet, fleet->entries[0].port, "/status");

	assert_int_equal(json_integer_or(status, "generation", 0), generation);
	json_decref(status);
}

static void test_bundle_pointer_is_not_json(void **state)
{
	put_object(*state, "bundle/current", "[not json");
	wait_for_log(*state, "bundle: dropped a pointer: input");
	assert_generation(*state, 1);
	assert_serves(*state);
}

static void test_bundle_body_is_unsigned(void **state)
{
	put_object(*state, "bundles/9-forged",
		   "{\"payload\":\"{\\\"bundle\\\":{\\\"generation\\\":9,"
		   "\\\"name\\\":\\\"x\\\"}}\",\"signature\":\"00\"}");
	put_object(*state, "bundle/current",
		   "{\"generation\":9,\"object\":\"bundles/9-forged\"}");
	wait_for_log(*state, "bundle: dropped a body: signature");
	assert_generation(*state, 1);
	assert_serves(*state);
}

/*
 * Guards against running a call whose claims object can't be parsed: whether it
 * may run is then unknown, so it must not run and must be refused as not run.
 */
static void test_claims_object_is_malformed(void **state)
{
	fleet_t *fleet = *state;
	char key[32];
	char problem[64];
	json_t *record;
	call_t *call;

	for (int i = 0; i < 64; i++) {
		g_snprintf(key, sizeof(key), "claims/%02d", i);
		put_object(fleet, key, "{\"claims\":7}");
	}
	call = station_call_start(fleet, fleet->entries[0].port, "harness-9");
	call_wait(call);
	assert_string_equal(call_problem(call, problem, sizeof(problem)),
			    "not-run");
	call_destroy(call);
	record = fleet_get(fleet, fleet->services[0].port, "/standin/record");
	assert_int_equal(json_array_size(json_object_get(record, "ran")), 0);
	json_decref(record);
	assert_serves(fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bundle_pointer_is_not_json),
		cmocka_unit_test(test_bundle_body_is_unsigned),
		cmocka_unit_test(test_claims_object_is_malformed),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
