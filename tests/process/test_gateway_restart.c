/* Tests of recovery after every gateway is killed at once, and of what it rests on. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "adapters/gateway/usage_table.h"
#include "tests/harness/gateway_calls.h"

#define CALLS 24
/* What may be lost is what was counted in this time before the kill. */
#define COUNTS_AGE_MS 250
#define REPORTS_TIMEOUT_MS 20000
#define STARTS 10
/* With the second until another keeps the record: less than until a dead peer no
 * longer counts as alive, three seconds. */
#define WRITER_TOLD_MS 1000
#define FIRST_WATCH_MS 150 /* a start has heard its peers by then */
#define DOWN_MS 2500 /* some windows of the rig */
#define ORDERS_WAIT_MS 500 /* less than the timeout of an order, 1.5 s */
#define RESUME_MS 300 /* of up to 2 s until a start looks at the lease */
#define WINDOW_MS 1000 /* of the rig */
#define SENT_MS 100 /* until counts are sent, or sooner */
#define SETTLED_MS \
	4000 /* a report comes 2.2 s after its window, 5 s if it waits */
#define FROZEN_MS 3000 /* beyond the moment at which the report does not wait */
#define BOOTS_APART (3600 * PD_SEC)
#define LEFTOVERS_MS 50 /* until a stand-in has read what the dead have sent */
#define READ_MS 20 /* until a gateway has read a call for certain */

/* Counts what a gateway has logged, in all its starts so far. */
static int times_logged(gateway_rig_t *rig, int number, const char *text)
{
	char *log = NULL;
	int times = 0;

	rig_turn(rig);
	if (!g_file_get_contents(rig->gateways[number]->out_path, &log, NULL, NULL))
		return 0;
	for (const char *at = log; (at = strstr(at, text)) != NULL; at++)
		times++;
	g_free(log);
	return times;
}

/* Starts all gateways for the given time, and waits until all know each other. */
static void start_all(gateway_rig_t *rig, int starts)
{
	memset(rig->peer_ports, 0, sizeof(rig->peer_ports));
	for (int i = 0; i < RIG_GATEWAYS; i++) {
		rig_start(rig, i);
		RIG_UNTIL(rig, times_logged(rig, i, "gateway: start") == starts);
		rig->peer_ports[i] = rig_port(rig, i, "peers");
	}
	for (int i = 0; i < RIG_GATEWAYS; i++)
		RIG_UNTIL(rig, rig_is_ready(rig, i) &&
				       times_logged(rig, i, "found=") >=
					       starts * (RIG_GATEWAYS - 1));
}

static void pass(gateway_rig_t *rig, uint64_t ms)
{
	uint64_t end = uv_hrtime() / 1000000 + ms;

	while (uv_hrtime() / 1000000 < end)
		rig_turn(rig);
}

/* Kills all, and has the stand-ins take in what they have sent until then. */
static void kill_all(gateway_rig_t *rig)
{
	for (int i = 0; i < RIG_GATEWAYS; i++) {
		process_destroy(rig->gateways[i]);
		rig->gateways[i] = NULL;
	}
	pass(rig, LEFTOVERS_MS);
}

static int setup(void **state)
{
	gateway_rig_t *rig = gateway_rig_create();

	rig_put_config(rig, 1, "");
	for (int i = 0; i < 2; i++)
		rig_put_upstream(rig, i, "ready");
	start_all(rig, 1);
	*state = rig;
	return 0;
}

static int teardown(void **state)
{
	gateway_rig_destroy(*state);
	return 0;
}

/* Makes calls at all gateways that run in turn, and waits for their answers. */
static void make_calls(gateway_rig_t *rig)
{
	for (int i = 0; i < CALLS; i++) {
		int number = i % RIG_GATEWAYS;
		char id[16];
		rig_caller_t *caller;

		if (!rig->gateways[number])
			number = (number + 1) % RIG_GATEWAYS;
		snprintf(id, sizeof(id), "c%d", i);
		caller = rig_call_at(rig, number, "POST", "/safe/x", id);
		RIG_UNTIL(rig, rig_heard(caller, "HTTP/1.1 200"));
		rig_caller_destroy(caller);
	}
}

static void add_entry(void *ctx, const usage_entry_t *entry)
{
	*(json_int_t *)ctx += (json_int_t)entry->count;
}

/* Merges what is checkpointed of the usage. */
static void read_counts(gateway_rig_t *rig, usage_t *usage,
			usage_inflight_t *inflight)
{
	const char *name;
	json_t *object;

	rig_turn(rig);
	json_object_foreach(json_object_get(rig->objects, "counts"), name, object)
	{
		char *text = json_dumps(json_object_get(object, "spec"), 0);
		pd_error_t err;

		assert_int_equal(usage_table_merge(text, usage, inflight, &err), 0);
		free(text);
	}
}

/* Returns how many calls are checkpointed in the store. */
static json_int_t calls_recorded(gateway_rig_t *rig)
{
	usage_t *usage = usage_create("reader#1");
	usage_inflight_t *inflight = usage_inflight_create();
	json_int_t sum = 0;

	read_counts(rig, usage, inflight);
	usage_each(usage, 0, add_entry, &sum);
	usage_destroy(usage);
	usage_inflight_destroy(inflight);
	return sum;
}

/* Returns how many calls the reports name, each window taken once. */
static json_int_t calls_reported(const gateway_rig_t *rig)
{
	GHashTable *windows = g_hash_table_new(g_int64_hash, g_int64_equal);
	GArray *numbers = g_array_new(FALSE, FALSE, sizeof(gint64));
	json_int_t sum = 0;

	g_array_set_size(numbers, rig->usage->len);
	for (guint i = 0; i < rig->usage->len; i++) {
		json_t *body =
			json_loads(g_ptr_array_index(rig->usage, i), 0, NULL);
		gint64 *number = &g_array_index(numbers, gint64, i);
		const char *account;
		json_t *count;

		*number = json_integer_value(json_object_get(body, "windowId"));
		if (g_hash_table_add(windows, number)) {
			json_object_foreach(json_object_get(body, "counts"),
					    account, count)
				sum += json_integer_value(count);
		}
		json_decref(body);
	}
	g_hash_table_unref(windows);
	g_array_unref(numbers);
	return sum;
}

/* Kills all gateways a twentieth of a window of 5 s after their last answer. */
static void serve_and_kill_all(gateway_rig_t *rig)
{
	make_calls(rig);
	pass(rig, COUNTS_AGE_MS);
	kill_all(rig);
}

/* Returns a gateway that does not lead, while another does; -1: none leads. */
static int follower_of(gateway_rig_t *rig)
{
	for (int i = 0; i < RIG_GATEWAYS; i++) {
		if (times_logged(rig, i, "duties: holder=self"))
			return (i + 1) % RIG_GATEWAYS;
	}
	return -1;
}

/* Returns how long ago the window has ended that was reported last, in ms. */
static int64_t report_lag(gateway_rig_t *rig)
{
	const char *text = g_ptr_array_index(rig->usage, rig->usage->len - 1);
	json_t *body = json_loads(text, 0, NULL);
	int64_t window = json_integer_value(json_object_get(body, "windowId"));

	json_decref(body);
	return g_get_real_time() / 1000 - (window + 1) * 1000;
}

/* Waits until all calls are reported, each once. */
static void await_reports(gateway_rig_t *rig)
{
	RIG_UNTIL_WITHIN(rig, calls_reported(rig) >= CALLS, REPORTS_TIMEOUT_MS);
	assert_int_equal(calls_reported(rig), CALLS);
}

/* Returns whether a window began just now. */
static bool window_has_begun(gateway_rig_t *rig)
{
	rig_turn(rig);
	return g_get_real_time() / 1000 % WINDOW_MS < WINDOW_MS / 4;
}

/* Guards against reports without the counts of a gateway that is cut off meanwhile. */
static void test_a_report_waits_for_a_gateway_that_has_counted(void **state)
{
	gateway_rig_t *rig = *state;
	guint before;
	int number;
	rig_caller_t *caller;

	RIG_UNTIL_WITHIN(rig, rig->usage->len > 0 && report_lag(rig) < SETTLED_MS,
			 REPORTS_TIMEOUT_MS);
	number = follower_of(rig);
	assert_true(number >= 0);
	RIG_UNTIL(rig, window_has_begun(rig));
	caller = rig_call_at(rig, number, "POST", "/safe/x", "c0");
	RIG_UNTIL(rig, rig_heard(caller, "HTTP/1.1 200"));
	rig_caller_destroy(caller);
	pass(rig, SENT_MS);
	process_signal(rig->gateways[number], SIGSTOP);
	pass(rig, FROZEN_MS);
	before = rig->usage->len;
	pass(rig, WINDOW_MS);
	assert_int_equal(rig->usage->len, before);
	process_signal(rig->gateways[number], SIGCONT);
	RIG_UNTIL(rig, rig->usage->len > before);
	RIG_UNTIL(rig, calls_reported(rig) == 1);
}

/* Guards against reports without what was counted before a kill of all. */
static void test_usage_outlives_a_kill_of_all(void **state)
{
	gateway_rig_t *rig = *state;

	serve_and_kill_all(rig);
	start_all(rig, 2);
	await_reports(rig);
	/* No later report may count them again. */
	pass(rig, 2000);
	assert_int_equal(calls_reported(rig), CALLS);
}

static void add_expected(void *ctx, const inflight_snapshot_t *flight)
{
	for (guint i = 0; i < flight->expected->len; i++)
		*(uint64_t *)ctx +=
			g_array_index(flight->expected, inflight_expected_t, i).count;
}

/* Returns how many calls are checkpointed as in flight. */
static uint64_t calls_in_flight(gateway_rig_t *rig)
{
	usage_t *usage = usage_create("reader#1");
	usage_inflight_t *inflight = usage_inflight_create();
	uint64_t sum = 0;

	read_counts(rig, usage, inflight);
	usage_inflight_each(inflight, 0, add_expected, &sum);
	usage_destroy(usage);
	usage_inflight_destroy(inflight);
	return sum;
}

/* Adds a flight as if its VM had lost power since. */
static void add_rebooted(void *ctx, const inflight_snapshot_t *flight)
{
	inflight_snapshot_t *moved =
		inflight_snapshot_create(flight->incarnation_id);

	moved->boot_time = flight->boot_time - BOOTS_APART;
	moved->started_at = flight->started_at;
	moved->taken_at = flight->taken_at;
	moved->window = flight->window;
	for (guint i = 0; i < flight->expected->len; i++) {
		const inflight_expected_t *expected =
			&g_array_index(flight->expected, inflight_expected_t, i);

		inflight_snapshot_add(moved, expected->account, expected->count);
	}
	usage_inflight_update(ctx, moved);
}

/* Has the checkpoint say that the VMs of all starts have lost power since. */
static void lose_power(gateway_rig_t *rig)
{
	usage_t *usage = usage_create("reader#1");
	usage_inflight_t *inflight = usage_inflight_create();
	usage_inflight_t *moved = usage_inflight_create();
	char *text;

	read_counts(rig, usage, inflight);
	usage_inflight_each(inflight, 0, add_rebooted, moved);
	text = usage_table_write(usage, moved, 0);
	rig_remove(rig, "counts", "slot-1");
	rig_put(rig, "counts", "slot-0", text);
	g_free(text);
	usage_destroy(usage);
	usage_inflight_destroy(inflight);
	usage_inflight_destroy(moved);
}

/* Makes a call that no upstream answers, and kills all when that is checkpointed. */
static void kill_all_with_a_call_in_flight(gateway_rig_t *rig)
{
	rig_caller_t *caller;

	for (int i = 0; i < RIG_UPSTREAMS; i++)
		rig->upstreams[i].act = RIG_HANG;
	caller = rig_call_at(rig, 1, "POST", "/unsafe/x", "c0");
	RIG_UNTIL(rig, calls_in_flight(rig) == 1);
	kill_all(rig);
	rig_caller_destroy(caller);
}

/* Guards against reports without what upstreams ran after power was lost. */
static void test_calls_in_flight_are_reported_when_power_is_lost(void **state)
{
	gateway_rig_t *rig = *state;

	kill_all_with_a_call_in_flight(rig);
	lose_power(rig);
	start_all(rig, 2);
	RIG_UNTIL_WITHIN(rig, calls_reported(rig) > 0, REPORTS_TIMEOUT_MS);
	assert_int_equal(calls_reported(rig), 1);
}

/* Guards against bills for calls that were dropped with their connections. */
static void test_calls_in_flight_end_with_a_killed_process(void **state)
{
	gateway_rig_t *rig = *state;
	guint before;

	kill_all_with_a_call_in_flight(rig);
	start_all(rig, 2);
	before = rig->usage->len;
	RIG_UNTIL_WITHIN(rig, rig->usage->len > before + 2, REPORTS_TIMEOUT_MS);
	pass(rig, 2000);
	assert_int_equal(calls_reported(rig), 0);
}

/* Guards against counts that are dropped while their report is still due. */
static void test_usage_outlives_some_seconds_without_gateways(void **state)
{
	gateway_rig_t *rig = *state;

	serve_and_kill_all(rig);
	pass(rig, DOWN_MS);
	start_all(rig, 2);
	await_reports(rig);
}

/* Guards against counts that a second kill loses before their report. */
static void test_usage_outlives_two_kills(void **state)
{
	gateway_rig_t *rig = *state;

	serve_and_kill_all(rig);
	start_all(rig, 2);
	kill_all(rig);
	start_all(rig, 3);
	await_reports(rig);
}

/* Returns a gateway that writes a slot of the checkpoint; -1: none says so. */
static int writer_of(gateway_rig_t *rig, int slot)
{
	char *now = g_strdup_printf("checkpoint: slot=%d ", slot);
	char *before = g_strdup_printf(" before=%d\n", slot);
	int writer = -1;

	for (int i = 0; i < RIG_GATEWAYS; i++) {
		if (rig->gateways[i] &&
		    times_logged(rig, i, now) > times_logged(rig, i, before))
			writer = i;
	}
	g_free(now);
	g_free(before);
	return writer;
}

/* Guards against counts that are sent to a writer that has died. */
static void test_counts_are_kept_when_the_writer_dies(void **state)
{
	gateway_rig_t *rig = *state;
	int number = -1;

	RIG_UNTIL(rig, (number = writer_of(rig, 0)) >= 0);
	process_destroy(rig->gateways[number]);
	rig->gateways[number] = NULL;
	make_calls(rig);
	RIG_UNTIL_WITHIN(rig, calls_recorded(rig) == CALLS, WRITER_TOLD_MS);
}

/* Guards against counts that wait for the answer to a write before them. */
static void test_counts_are_kept_while_answers_are_lost(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;

	RIG_UNTIL(rig, writer_of(rig, 0) >= 0);
	rig->answers_lost = 2;
	caller = rig_call_at(rig, 0, "POST", "/safe/x", "first");
	RIG_UNTIL(rig, rig_heard(caller, "HTTP/1.1 200"));
	rig_caller_destroy(caller);
	RIG_UNTIL(rig, rig->answers_lost == 0);
	make_calls(rig);
	RIG_UNTIL_WITHIN(rig, calls_recorded(rig) == CALLS + 1, WRITER_TOLD_MS);
}

/* Guards against refusals while a start has not read the configuration yet. */
static void test_a_call_that_comes_before_the_configuration_is_served(void **state)
{
	gateway_rig_t *rig = *state;
	bool served = false;

	kill_all(rig);
	for (int i = 0; i < STARTS && !served; i++) {
		rig_caller_t *caller;

		rig_remove(rig, "config", "main");
		rig_start(rig, 0);
		RIG_UNTIL(rig, times_logged(rig, 0, "gateway: start") == i + 2);
		caller = rig_call_at(rig, 0, "POST", "/safe/x", "c1");
		pass(rig, READ_MS);
		rig_put_config(rig, i + 2, "");
		RIG_UNTIL(rig, rig_heard(caller, "HTTP/1.1 "));
		served = rig_heard(caller, "HTTP/1.1 200");
		rig_caller_destroy(caller);
		process_destroy(rig->gateways[0]);
		rig->gateways[0] = NULL;
	}
	assert_true(served);
}

/* Guards against refusals until a start has listed the last of many upstreams. */
static void test_a_start_serves_from_the_first_page(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;

	kill_all(rig);
	rig->first_page_only = true;
	rig_start(rig, 0);
	RIG_UNTIL(rig, times_logged(rig, 0, "gateway: start") == 2);
	caller = rig_call_at(rig, 0, "POST", "/safe/x", "c1");
	RIG_UNTIL(rig, rig_heard(caller, "HTTP/1.1 "));
	assert_true(rig_heard(caller, "HTTP/1.1 200"));
	rig_caller_destroy(caller);
}

/* Guards against calls of hundreds of starts that do not know yet who watches. */
static void test_a_start_does_not_watch_at_once(void **state)
{
	gateway_rig_t *rig = *state;

	kill_all(rig);
	rig_put(rig, "records", "slot-0", "{\"gateways\":63,\"accounts\":{}}");
	rig->listed_ms = 0;
	rig->watched_ms = 0;
	rig_start(rig, 0);
	RIG_UNTIL(rig, rig->listed_ms && rig->watched_ms);
	assert_true(rig->watched_ms - rig->listed_ms >= FIRST_WATCH_MS);
}

/* Guards against a clock that is off and taken for right after a kill of all. */
static void test_a_start_corrects_its_clock_by_the_checkpoint(void **state)
{
	gateway_rig_t *rig = *state;

	kill_all(rig);
	rig_put(rig, "records", "slot-0",
		"{\"gateways\":1,\"accounts\":{},\"clocks\":{\"g0\":-25}}");
	rig_start(rig, 0);
	RIG_UNTIL(rig, times_logged(rig, 0, " fleet_step_ms=") &&
			       times_logged(rig, 0, " own_off_ms=-2500\n") == 2);
}

static bool has_object(gateway_rig_t *rig, const char *kind, const char *name)
{
	rig_turn(rig);
	return json_object_get(json_object_get(rig->objects, kind), name);
}

/* Guards against a takeover that is waited for though the former leader is back. */
static void test_a_former_leader_asks_for_the_lease_at_once(void **state)
{
	gateway_rig_t *rig = *state;

	kill_all(rig);
	rig_put(rig, "records", "slot-0",
		"{\"gateways\":1,\"accounts\":{},\"leader\":\"g0\"}");
	rig_remove(rig, "leases", "duties");
	rig_start(rig, 0);
	RIG_UNTIL(rig, times_logged(rig, 0, "duties: resume") == 1);
	RIG_UNTIL_WITHIN(rig, has_object(rig, "leases", "duties"), RESUME_MS);
}

/* Returns the leader that a record of the checkpoint names, borrowed, or NULL. */
static const char *recorded_leader(gateway_rig_t *rig, const char *name)
{
	json_t *records = json_object_get(rig->objects, "records");
	json_t *spec = json_object_get(json_object_get(records, name), "spec");

	return json_string_value(json_object_get(spec, "leader"));
}

/* Guards against reports that may be short and nobody knows which. */
static void test_windows_without_a_checkpoint_are_named(void **state)
{
	gateway_rig_t *rig = *state;

	RIG_UNTIL_WITHIN(rig, rig->usage->len > 0, REPORTS_TIMEOUT_MS);
	kill_all(rig);
	pass(rig, DOWN_MS);
	start_all(rig, 2);
	RIG_UNTIL_WITHIN(rig,
			 times_logged(rig, 0, "usage gap window=") +
					 times_logged(rig, 1, "usage gap window=") +
					 times_logged(rig, 2, "usage gap window=") >=
				 DOWN_MS / WINDOW_MS,
			 REPORTS_TIMEOUT_MS);
}

/* Guards against a start that forgets the leader before it has heard of one. */
static void test_a_start_keeps_the_name_of_the_leader(void **state)
{
	gateway_rig_t *rig = *state;

	kill_all(rig);
	rig_put(rig, "records", "slot-1",
		"{\"gateways\":1,\"accounts\":{},\"leader\":\"g9\"}");
	rig_remove(rig, "records", "slot-0");
	rig_put(rig, "leases", "duties", "{\"holder\":\"g9\",\"fence\":9}");
	rig_start(rig, 0);
	RIG_UNTIL(rig, has_object(rig, "records", "slot-0"));
	assert_non_null(recorded_leader(rig, "slot-0"));
	assert_string_equal(recorded_leader(rig, "slot-0"), "g9");
}

/* Returns how many orders came in for on-demand upstreams. */
static int on_demand_orders(gateway_rig_t *rig)
{
	int count = 0;

	rig_turn(rig);
	for (guint i = 0; i < rig->orders->len; i++)
		count += !strstr(g_ptr_array_index(rig->orders, i),
				 "preemptible");
	return count;
}

/* Guards against a new leader that gives up on-demand upstreams in a shortage. */
static void test_on_demand_orders_wait_for_answers_to_the_others(void **state)
{
	gateway_rig_t *rig = *state;

	kill_all(rig);
	rig_put(rig, "config", "main",
		"{\"version\":2,\"routes\":[],\"services\":[{\"name\":\"s\","
		"\"maxConns\":64,\"engine\":{\"slots\":8,\"kvCapacity\":1000},"
		"\"scaling\":{\"min\":1,\"max\":6,\"bootS\":4.0,"
		"\"spotPrice\":0.22,\"zonePrices\":{\"a\":1.0}}}],"
		"\"limits\":{},\"tenants\":[]}");
	rig->orders_unanswered = true;
	rig_start(rig, 0);
	RIG_UNTIL(rig, rig->orders->len > 0);
	pass(rig, ORDERS_WAIT_MS);
	assert_int_equal(on_demand_orders(rig), 0);
	rig->orders_unanswered = false;
	RIG_UNTIL(rig, on_demand_orders(rig) > 0);
}

/* Guards against a report that is late as its leader was told to stop. */
static void test_a_stopping_holder_goes_on_until_it_ends(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;
	guint before;

	kill_all(rig);
	rig_start(rig, 0);
	RIG_UNTIL(rig, times_logged(rig, 0, "gateway: start") == 2);
	RIG_UNTIL(rig, rig_is_ready(rig, 0));
	before = rig->usage->len;
	RIG_UNTIL(rig, rig->usage->len > before);
	for (int i = 0; i < RIG_UPSTREAMS; i++)
		rig->upstreams[i].act = RIG_HANG;
	caller = rig_call_at(rig, 0, "POST", "/unsafe/x", "c1");
	RIG_UNTIL(rig, rig->upstreams[0].arrivals + rig->upstreams[1].arrivals);
	process_signal(rig->gateways[0], SIGTERM);
	RIG_UNTIL(rig, times_logged(rig, 0, "gateway: stop grace_s"));
	before = rig->usage->len;
	RIG_UNTIL(rig, rig->usage->len > before || process_ended(rig->gateways[0]));
	assert_true(rig->usage->len > before);
	rig_caller_destroy(caller);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_usage_outlives_a_kill_of_all,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_a_report_waits_for_a_gateway_that_has_counted,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_usage_outlives_some_seconds_without_gateways,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_usage_outlives_two_kills,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_calls_in_flight_are_reported_when_power_is_lost,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_calls_in_flight_end_with_a_killed_process,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_counts_are_kept_when_the_writer_dies,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_counts_are_kept_while_answers_are_lost,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_a_call_that_comes_before_the_configuration_is_served,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_start_serves_from_the_first_page,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_start_does_not_watch_at_once,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_start_corrects_its_clock_by_the_checkpoint,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_former_leader_asks_for_the_lease_at_once,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_windows_without_a_checkpoint_are_named,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_start_keeps_the_name_of_the_leader,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_on_demand_orders_wait_for_answers_to_the_others,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_stopping_holder_goes_on_until_it_ends,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
