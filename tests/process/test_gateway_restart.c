/*
 * Tests of recovery after all gateways are killed at once, and of the
 * checkpoint that it relies on.
 */
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
/* Usage that was counted within this time before the kill may be lost. */
#define COUNTS_MAX_AGE_MS 250
#define REPORTS_TIMEOUT_MS 20000
#define STARTS 10
/*
 * Includes up to 1 s until another gateway writes the checkpoint. Less than the
 * 3 s until a dead peer no longer counts as alive.
 */
#define WRITER_FAILOVER_MS 1000
/* a restarted gateway has heard from its peers by then */
#define FIRST_WATCH_DELAY_MS 150
#define DOWNTIME_MS 2500 /* some windows of the rig */
#define ORDERS_OBSERVED_MS 500 /* less than the timeout of an order, 1.5 s */
/* of up to 2 s until a started gateway reads the lease */
#define RESUME_TIMEOUT_MS 300
#define WINDOW_MS 1000 /* of the rig */
#define COUNTS_SENT_MS 100 /* upper bound until counts are sent */
/* a report comes 2.2 s after its window, 5 s if it waits */
#define REPORT_LAG_MAX_MS 4000
/* past the time of a report that waits for no counts */
#define SUSPENDED_MS 3000
#define BOOT_TIME_SHIFT (3600 * PD_SEC)
/* until a mock server has read what killed gateways sent */
#define SOCKET_DRAIN_MS 50
#define CALL_READ_MS 20 /* until a gateway has certainly read a call */

/*
 * Starts all gateways for the START_COUNT-th time and waits until they have found
 * each other.
 */
static void start_all(gateway_rig_t *rig, int start_count)
{
	memset(rig->peer_ports, 0, sizeof(rig->peer_ports));
	for (int i = 0; i < RIG_GATEWAYS; i++)
		rig_start_gateway(rig, i, start_count);
	for (int i = 0; i < RIG_GATEWAYS; i++)
		RIG_UNTIL(rig, rig_is_ready(rig, i) &&
				       rig_count_logged(rig, i, "found=") >=
					       start_count * (RIG_GATEWAYS - 1));
}

/* Kills all gateways and lets the mock servers read what they had sent. */
static void kill_all(gateway_rig_t *rig)
{
	for (int i = 0; i < RIG_GATEWAYS; i++) {
		process_destroy(rig->gateways[i]);
		rig->gateways[i] = NULL;
	}
	rig_run_for(rig, SOCKET_DRAIN_MS);
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

/* Sends calls to the running gateways in turn and waits for the answers. */
static void send_calls(gateway_rig_t *rig)
{
	for (int i = 0; i < CALLS; i++) {
		int number = i % RIG_GATEWAYS;
		char id[16];
		rig_caller_t *caller;

		if (!rig->gateways[number])
			number = (number + 1) % RIG_GATEWAYS;
		snprintf(id, sizeof(id), "c%d", i);
		caller = rig_call_at(rig, number, "POST", "/safe/x", id);
		RIG_UNTIL(rig, rig_has_received(caller, "HTTP/1.1 200"));
		rig_caller_destroy(caller);
	}
}

static void add_entry(void *ctx, const usage_entry_t *entry)
{
	*(json_int_t *)ctx += (json_int_t)entry->count;
}

/* Merges the usage counts and in-flight snapshots in the store. */
static void merge_checkpointed_counts(gateway_rig_t *rig, usage_t *usage,
				      usage_inflight_t *inflight)
{
	const char *name;
	json_t *object;

	rig_run_once(rig);
	json_object_foreach(json_object_get(rig->objects, "counts"), name, object)
	{
		char *text = json_dumps(json_object_get(object, "spec"), 0);
		pd_error_t err;

		assert_int_equal(usage_table_merge(text, usage, inflight, &err), 0);
		free(text);
	}
}

/* Returns the number of calls counted in the checkpoint. */
static json_int_t calls_checkpointed(gateway_rig_t *rig)
{
	usage_t *usage = usage_create("reader#1");
	usage_inflight_t *inflight = usage_inflight_create();
	json_int_t sum = 0;

	merge_checkpointed_counts(rig, usage, inflight);
	usage_each(usage, 0, add_entry, &sum);
	usage_destroy(usage);
	usage_inflight_destroy(inflight);
	return sum;
}

/* Returns the number of calls in the reports, counting each window once. */
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

/*
 * Serves calls and kills all gateways COUNTS_MAX_AGE_MS after the last answer,
 * a twentieth of a window of 5 s.
 */
static void serve_and_kill_all(gateway_rig_t *rig)
{
	send_calls(rig);
	rig_run_for(rig, COUNTS_MAX_AGE_MS);
	kill_all(rig);
}

/* Returns a gateway that is not the leader, or -1 if there is no leader. */
static int find_follower(gateway_rig_t *rig)
{
	for (int i = 0; i < RIG_GATEWAYS; i++) {
		if (rig_count_logged(rig, i, "duties: holder=self"))
			return (i + 1) % RIG_GATEWAYS;
	}
	return -1;
}

/* Returns the time since the end of the last reported window, in ms. */
static int64_t report_lag(gateway_rig_t *rig)
{
	const char *text = g_ptr_array_index(rig->usage, rig->usage->len - 1);
	json_t *body = json_loads(text, 0, NULL);
	int64_t window = json_integer_value(json_object_get(body, "windowId"));

	json_decref(body);
	return g_get_real_time() / 1000 - (window + 1) * 1000;
}

/* Waits until all calls are reported; fails if any is reported twice. */
static void wait_for_reports(gateway_rig_t *rig)
{
	RIG_UNTIL_WITHIN(rig, calls_reported(rig) >= CALLS, REPORTS_TIMEOUT_MS);
	assert_int_equal(calls_reported(rig), CALLS);
}

/* Returns whether the current window is in its first quarter. */
static bool window_has_begun(gateway_rig_t *rig)
{
	rig_run_once(rig);
	return g_get_real_time() / 1000 % WINDOW_MS < WINDOW_MS / 4;
}

/*
 * Guards against reports that lack the counts of a gateway that was suspended
 * in between.
 */
static void test_report_waits_for_suspended_gateway(void **state)
{
	gateway_rig_t *rig = *state;
	guint before;
	int number;
	rig_caller_t *caller;

	RIG_UNTIL_WITHIN(rig,
			 rig->usage->len > 0 && report_lag(rig) < REPORT_LAG_MAX_MS,
			 REPORTS_TIMEOUT_MS);
	number = find_follower(rig);
	assert_true(number >= 0);
	RIG_UNTIL(rig, window_has_begun(rig));
	caller = rig_call_at(rig, number, "POST", "/safe/x", "c0");
	RIG_UNTIL(rig, rig_has_received(caller, "HTTP/1.1 200"));
	rig_caller_destroy(caller);
	rig_run_for(rig, COUNTS_SENT_MS);
	process_signal(rig->gateways[number], SIGSTOP);
	rig_run_for(rig, SUSPENDED_MS);
	before = rig->usage->len;
	rig_run_for(rig, WINDOW_MS);
	assert_int_equal(rig->usage->len, before);
	process_signal(rig->gateways[number], SIGCONT);
	RIG_UNTIL(rig, rig->usage->len > before);
	RIG_UNTIL(rig, calls_reported(rig) == 1);
}

/*
 * Guards against reports that lack what was counted before all gateways were
 * killed.
 */
static void test_usage_survives_kill_of_all_gateways(void **state)
{
	gateway_rig_t *rig = *state;

	serve_and_kill_all(rig);
	start_all(rig, 2);
	wait_for_reports(rig);
	/* No later report may count them again. */
	rig_run_for(rig, 2000);
	assert_int_equal(calls_reported(rig), CALLS);
}

static void add_expected(void *ctx, const inflight_snapshot_t *snapshot)
{
	for (guint i = 0; i < snapshot->expected->len; i++)
		*(uint64_t *)ctx +=
			g_array_index(snapshot->expected, inflight_expected_t, i)
				.count;
}

/* Returns the number of calls that the checkpoint has as in flight. */
static uint64_t calls_in_flight(gateway_rig_t *rig)
{
	usage_t *usage = usage_create("reader#1");
	usage_inflight_t *inflight = usage_inflight_create();
	uint64_t sum = 0;

	merge_checkpointed_counts(rig, usage, inflight);
	usage_inflight_each(inflight, 0, add_expected, &sum);
	usage_destroy(usage);
	usage_inflight_destroy(inflight);
	return sum;
}

/* Adds a snapshot as if its VM had rebooted since. */
static void add_with_earlier_boot(void *ctx, const inflight_snapshot_t *snapshot)
{
	inflight_snapshot_t *moved =
		inflight_snapshot_create(snapshot->incarnation_id);

	moved->boot_time = snapshot->boot_time - BOOT_TIME_SHIFT;
	moved->started_at = snapshot->started_at;
	moved->taken_at = snapshot->taken_at;
	moved->window = snapshot->window;
	for (guint i = 0; i < snapshot->expected->len; i++) {
		const inflight_expected_t *expected =
			&g_array_index(snapshot->expected, inflight_expected_t, i);

		inflight_snapshot_add(moved, expected->account, expected->count);
	}
	usage_inflight_update(ctx, moved);
}

/* Changes the checkpoint as if the VMs of all gateways had lost power since. */
static void simulate_power_loss(gateway_rig_t *rig)
{
	usage_t *usage = usage_create("reader#1");
	usage_inflight_t *inflight = usage_inflight_create();
	usage_inflight_t *moved = usage_inflight_create();
	char *text;

	merge_checkpointed_counts(rig, usage, inflight);
	usage_inflight_each(inflight, 0, add_with_earlier_boot, moved);
	text = usage_table_encode(usage, moved, 0);
	rig_remove(rig, "counts", "slot-1");
	rig_put(rig, "counts", "slot-0", text);
	g_free(text);
	usage_destroy(usage);
	usage_inflight_destroy(inflight);
	usage_inflight_destroy(moved);
}

/*
 * Sends a call that no upstream answers, and kills all gateways once the
 * checkpoint has it.
 */
static void kill_all_with_a_call_in_flight(gateway_rig_t *rig)
{
	rig_caller_t *caller;

	for (int i = 0; i < RIG_UPSTREAMS; i++)
		rig->upstreams[i].behavior = RIG_HANG;
	caller = rig_call_at(rig, 1, "POST", "/unsafe/x", "c0");
	RIG_UNTIL(rig, calls_in_flight(rig) == 1);
	kill_all(rig);
	rig_caller_destroy(caller);
}

/*
 * Guards against reports that lack the calls run by upstreams after a power
 * loss of the gateways.
 */
static void test_calls_in_flight_are_reported_after_power_loss(void **state)
{
	gateway_rig_t *rig = *state;

	kill_all_with_a_call_in_flight(rig);
	simulate_power_loss(rig);
	start_all(rig, 2);
	RIG_UNTIL_WITHIN(rig, calls_reported(rig) > 0, REPORTS_TIMEOUT_MS);
	assert_int_equal(calls_reported(rig), 1);
}

/*
 * Guards against billing calls that upstreams dropped with their connections.
 */
static void test_calls_in_flight_are_not_reported_after_process_kill(void **state)
{
	gateway_rig_t *rig = *state;
	guint before;

	kill_all_with_a_call_in_flight(rig);
	start_all(rig, 2);
	before = rig->usage->len;
	RIG_UNTIL_WITHIN(rig, rig->usage->len > before + 2, REPORTS_TIMEOUT_MS);
	rig_run_for(rig, 2000);
	assert_int_equal(calls_reported(rig), 0);
}

/* Guards against counts that are dropped while their report is still due. */
static void test_usage_survives_downtime(void **state)
{
	gateway_rig_t *rig = *state;

	serve_and_kill_all(rig);
	rig_run_for(rig, DOWNTIME_MS);
	start_all(rig, 2);
	wait_for_reports(rig);
}

/*
 * Guards against counts that are lost if a second kill comes before their
 * report.
 */
static void test_usage_survives_two_kills(void **state)
{
	gateway_rig_t *rig = *state;

	serve_and_kill_all(rig);
	start_all(rig, 2);
	kill_all(rig);
	start_all(rig, 3);
	wait_for_reports(rig);
}

/*
 * Returns the gateway that writes a slot of the checkpoint, or -1 if none has
 * logged so.
 */
static int find_writer(gateway_rig_t *rig, int slot)
{
	char *now = g_strdup_printf("checkpoint: slot=%d ", slot);
	char *before = g_strdup_printf(" before=%d\n", slot);
	int writer = -1;

	for (int i = 0; i < RIG_GATEWAYS; i++) {
		if (rig->gateways[i] && rig_count_logged(rig, i, now) >
						rig_count_logged(rig, i, before))
			writer = i;
	}
	g_free(now);
	g_free(before);
	return writer;
}

/* Guards against counts that are sent to a dead checkpoint writer. */
static void test_counts_survive_death_of_checkpoint_writer(void **state)
{
	gateway_rig_t *rig = *state;
	int number = -1;

	RIG_UNTIL(rig, (number = find_writer(rig, 0)) >= 0);
	process_destroy(rig->gateways[number]);
	rig->gateways[number] = NULL;
	send_calls(rig);
	RIG_UNTIL_WITHIN(rig, calls_checkpointed(rig) == CALLS, WRITER_FAILOVER_MS);
}

/* Guards against counts that wait for the answer to an earlier write. */
static void test_counts_are_written_while_store_answers_are_lost(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;

	RIG_UNTIL(rig, find_writer(rig, 0) >= 0);
	rig->answers_to_drop = 2;
	caller = rig_call_at(rig, 0, "POST", "/safe/x", "first");
	RIG_UNTIL(rig, rig_has_received(caller, "HTTP/1.1 200"));
	rig_caller_destroy(caller);
	RIG_UNTIL(rig, rig->answers_to_drop == 0);
	send_calls(rig);
	RIG_UNTIL_WITHIN(rig, calls_checkpointed(rig) == CALLS + 1,
			 WRITER_FAILOVER_MS);
}

/*
 * Guards against rejections before a restarted gateway has read the
 * configuration.
 */
static void test_call_before_configuration_is_served(void **state)
{
	gateway_rig_t *rig = *state;
	bool served = false;

	kill_all(rig);
	for (int i = 0; i < STARTS && !served; i++) {
		rig_caller_t *caller;

		rig_remove(rig, "config", "main");
		rig_start(rig, 0);
		RIG_UNTIL(rig, rig_count_logged(rig, 0, "gateway: start") == i + 2);
		caller = rig_call_at(rig, 0, "POST", "/safe/x", "c1");
		rig_run_for(rig, CALL_READ_MS);
		rig_put_config(rig, i + 2, "");
		RIG_UNTIL(rig, rig_has_received(caller, "HTTP/1.1 "));
		served = rig_has_received(caller, "HTTP/1.1 200");
		rig_caller_destroy(caller);
		process_destroy(rig->gateways[0]);
		rig->gateways[0] = NULL;
	}
	assert_true(served);
}

/*
 * Guards against rejections before a restarted gateway has listed the last page
 * of upstreams.
 */
static void test_restart_serves_from_first_page(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;

	kill_all(rig);
	rig->first_page_only = true;
	rig_start(rig, 0);
	RIG_UNTIL(rig, rig_count_logged(rig, 0, "gateway: start") == 2);
	caller = rig_call_at(rig, 0, "POST", "/safe/x", "c1");
	RIG_UNTIL(rig, rig_has_received(caller, "HTTP/1.1 "));
	assert_true(rig_has_received(caller, "HTTP/1.1 200"));
	rig_caller_destroy(caller);
}

/*
 * Guards against watches from hundreds of restarted gateways that do not know
 * yet which of them are to watch.
 */
static void test_restart_delays_first_watch(void **state)
{
	gateway_rig_t *rig = *state;

	kill_all(rig);
	rig_put(rig, "records", "slot-0", "{\"gateways\":63,\"accounts\":{}}");
	rig->upstreams_listed_ms = 0;
	rig->upstreams_watched_ms = 0;
	rig_start(rig, 0);
	RIG_UNTIL(rig, rig->upstreams_listed_ms && rig->upstreams_watched_ms);
	assert_true(rig->upstreams_watched_ms - rig->upstreams_listed_ms >=
		    FIRST_WATCH_DELAY_MS);
}

/*
 * Guards against a wrong clock that is trusted right after a kill of all
 * gateways.
 */
static void test_restart_corrects_clock_from_checkpoint(void **state)
{
	gateway_rig_t *rig = *state;

	kill_all(rig);
	rig_put(rig, "records", "slot-0",
		"{\"gateways\":1,\"accounts\":{},\"clocks\":{\"g0\":-25}}");
	rig_start(rig, 0);
	RIG_UNTIL(rig,
		  rig_count_logged(rig, 0, " fleet_step_ms=") &&
			  rig_count_logged(rig, 0, " own_off_ms=-2500\n") == 2);
}

static bool has_object(gateway_rig_t *rig, const char *kind, const char *name)
{
	rig_run_once(rig);
	return json_object_get(json_object_get(rig->objects, kind), name);
}

/* Guards against waiting for a takeover although the former leader is back. */
static void test_former_leader_requests_lease_at_once(void **state)
{
	gateway_rig_t *rig = *state;

	kill_all(rig);
	rig_put(rig, "records", "slot-0",
		"{\"gateways\":1,\"accounts\":{},\"leader\":\"g0\"}");
	rig_remove(rig, "leases", "duties");
	rig_start(rig, 0);
	RIG_UNTIL(rig, rig_count_logged(rig, 0, "duties: resume") == 1);
	RIG_UNTIL_WITHIN(rig, has_object(rig, "leases", "duties"),
			 RESUME_TIMEOUT_MS);
}

/* Guards against a restart that restores nothing as another writer's record is newer. */
static void test_record_of_another_writer_hides_none(void **state)
{
	static const char *const others[] = { "[]", "{}", "{\"gateways\":\"x\"}" };
	gateway_rig_t *rig = *state;

	kill_all(rig);
	rig_put(rig, "records", "slot-0",
		"{\"gateways\":1,\"accounts\":{},\"leader\":\"g0\"}");
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		char *name = g_strdup_printf("other-%zu", i);

		rig_put(rig, "records", name, others[i]);
		g_free(name);
	}
	rig_start(rig, 0);
	RIG_UNTIL_WITHIN(rig, rig_count_logged(rig, 0, "leader=g0") == 1,
			 RESUME_TIMEOUT_MS);
}

/* Returns the leader in a checkpoint record, borrowed, or NULL. */
static const char *recorded_leader(gateway_rig_t *rig, const char *name)
{
	json_t *records = json_object_get(rig->objects, "records");
	json_t *spec = json_object_get(json_object_get(records, name), "spec");

	return json_string_value(json_object_get(spec, "leader"));
}

/* Returns the fencing token of the lease in the store; 0: no lease. */
static json_int_t lease_token(gateway_rig_t *rig)
{
	json_t *leases = json_object_get(rig->objects, "leases");
	json_t *spec =
		json_object_get(json_object_get(leases, "duties"), "spec");

	rig_run_once(rig);
	return json_integer_value(json_object_get(spec, "fence"));
}

/* Guards against two machines that act with the same token as they have the same name. */
static void test_machine_of_the_same_name_gets_a_new_token(void **state)
{
	gateway_rig_t *rig = *state;
	json_int_t token;
	int leader;

	RIG_UNTIL_WITHIN(rig, rig->usage->len > 0, REPORTS_TIMEOUT_MS);
	leader = (find_follower(rig) + RIG_GATEWAYS - 1) % RIG_GATEWAYS;
	kill_all(rig);
	token = lease_token(rig);
	g_ptr_array_set_size(rig->usage, 0);
	rig->listen_ports[leader] = 0;
	rig_start(rig, leader);
	RIG_UNTIL_WITHIN(rig, rig->usage->len > 0, REPORTS_TIMEOUT_MS);
	assert_true(lease_token(rig) > token);
}

/* Guards against incomplete reports that are not marked as such. */
static void test_usage_gaps_are_logged(void **state)
{
	gateway_rig_t *rig = *state;

	RIG_UNTIL_WITHIN(rig, rig->usage->len > 0, REPORTS_TIMEOUT_MS);
	kill_all(rig);
	rig_run_for(rig, DOWNTIME_MS);
	start_all(rig, 2);
	RIG_UNTIL_WITHIN(
		rig,
		rig_count_logged(rig, 0, "usage gap window=") +
				rig_count_logged(rig, 1, "usage gap window=") +
				rig_count_logged(rig, 2, "usage gap window=") >=
			DOWNTIME_MS / WINDOW_MS,
		REPORTS_TIMEOUT_MS);
}

/*
 * Guards against a restarted gateway that drops the recorded leader before it
 * knows the current one.
 */
static void test_restart_keeps_recorded_leader(void **state)
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

/* Returns the number of orders of on-demand upstreams. */
static int on_demand_orders(gateway_rig_t *rig)
{
	int count = 0;

	rig_run_once(rig);
	for (guint i = 0; i < rig->orders->len; i++)
		count += !strstr(g_ptr_array_index(rig->orders, i),
				 "preemptible");
	return count;
}

/*
 * Guards against a new leader that gives up on-demand upstreams in a shortage.
 */
static void test_on_demand_orders_wait_for_spot_answers(void **state)
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
	rig_run_for(rig, ORDERS_OBSERVED_MS);
	assert_int_equal(on_demand_orders(rig), 0);
	rig->orders_unanswered = false;
	RIG_UNTIL(rig, on_demand_orders(rig) > 0);
}

/* Guards against a report that is late because its leader was told to stop. */
static void test_stopping_leader_reports_until_exit(void **state)
{
	gateway_rig_t *rig = *state;
	rig_caller_t *caller;
	guint before;

	kill_all(rig);
	rig_start(rig, 0);
	RIG_UNTIL(rig, rig_count_logged(rig, 0, "gateway: start") == 2);
	RIG_UNTIL(rig, rig_is_ready(rig, 0));
	before = rig->usage->len;
	RIG_UNTIL(rig, rig->usage->len > before);
	for (int i = 0; i < RIG_UPSTREAMS; i++)
		rig->upstreams[i].behavior = RIG_HANG;
	caller = rig_call_at(rig, 0, "POST", "/unsafe/x", "c1");
	RIG_UNTIL(rig, rig->upstreams[0].arrivals + rig->upstreams[1].arrivals);
	process_signal(rig->gateways[0], SIGTERM);
	RIG_UNTIL(rig, rig_count_logged(rig, 0, "gateway: stop grace_s"));
	before = rig->usage->len;
	RIG_UNTIL(rig, rig->usage->len > before || process_ended(rig->gateways[0]));
	assert_true(rig->usage->len > before);
	rig_caller_destroy(caller);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_usage_survives_kill_of_all_gateways,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_report_waits_for_suspended_gateway,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_usage_survives_downtime,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_usage_survives_two_kills,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_calls_in_flight_are_reported_after_power_loss,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_calls_in_flight_are_not_reported_after_process_kill,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_counts_survive_death_of_checkpoint_writer,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_counts_are_written_while_store_answers_are_lost,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_call_before_configuration_is_served,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_restart_serves_from_first_page,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_restart_delays_first_watch,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_restart_corrects_clock_from_checkpoint,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_former_leader_requests_lease_at_once,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_machine_of_the_same_name_gets_a_new_token,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_record_of_another_writer_hides_none,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_usage_gaps_are_logged,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_restart_keeps_recorded_leader,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_on_demand_orders_wait_for_spot_answers,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_stopping_leader_reports_until_exit,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
