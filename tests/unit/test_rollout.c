/* Tests of roll-outs on a paused clock, with one or a few gateways. */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/forward/rollout.h"

#define T0 (1000 * PD_SEC)
#define STEP (10 * PD_MSEC) /* between runs; each sends SENDS requests */
#define SENDS 4
#define PERIOD (12 * PD_SEC)
#define ORDER 10 /* revision of the order */

/* How often the answers of the versions are bad: every Nth; 0: none. */
typedef struct load {
	unsigned int old_fails;
	unsigned int new_fails;
	unsigned int new_is_slow;
	const char *route; /* the only one on which the new version is bad; NULL: all */
} load_t;

typedef struct fixture {
	rollouts_t *rollouts;
	rollout_fleet_t fleet;
	pd_time_t now;
	uint64_t old_id;
	uint64_t new_id;
	unsigned int draws;
	unsigned int sent_old;
	unsigned int sent_new;
	unsigned int writes;
	rollout_write_t written; /* the last */
	rollout_report_t report; /* the last */
} fixture_t;

static const rollout_settings_t settings = { 0.1, 50, 5 * PD_SEC };
static const load_t good = { 0 };

static rollout_fleet_t get_fleet(void *ctx, const char *service, uint64_t version)
{
	const fixture_t *fix = ctx;

	assert_string_equal(service, "s");
	assert_int_equal(version, fix->new_id);
	return fix->fleet;
}

static void on_write(void *ctx, const rollout_write_t *write)
{
	fixture_t *fix = ctx;

	fix->writes++;
	fix->written = *write;
}

static void keep_report(void *ctx, const rollout_report_t *report)
{
	((fixture_t *)ctx)->report = *report;
}

static const rollout_report_t *get_report(fixture_t *fix)
{
	rollouts_each(fix->rollouts, keep_report, fix);
	return &fix->report;
}

static void apply(fixture_t *fix, const char *to, uint64_t revision)
{
	const rollout_order_t order = { "s",	  to,	 PERIOD,
					revision, false, ROLLOUT_RUNNING };

	rollouts_apply_order(fix->rollouts, &order, fix->now);
}

static bool apply_state(fixture_t *fix, uint64_t revision, rollout_state_t state)
{
	const rollout_order_t order = { "s", "v2", PERIOD, revision, true, state };

	return rollouts_apply_order(fix->rollouts, &order, fix->now);
}

static int setup(void **state)
{
	fixture_t *fix = g_new0(fixture_t, 1);

	fix->rollouts = rollouts_create(&settings);
	fix->now = T0;
	fix->fleet = (rollout_fleet_t){ 4, 4, 4 };
	fix->old_id = rollout_version_id("s", "v1");
	fix->new_id = rollout_version_id("s", "v2");
	*state = fix;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *fix = *state;

	rollouts_destroy(fix->rollouts);
	g_free(fix);
	return 0;
}

static bool is_nth(unsigned int n, unsigned int i)
{
	return n && i % n == 0;
}

/* Sends a request on a route where a draw allows, and has it answered. */
static void send_one(fixture_t *fix, const char *route, const load_t *load)
{
	double draw = fmod(fix->draws++ * 0.6180339887, 1);
	rollout_use_t use = rollouts_choose(fix->rollouts, "s", draw, fix->now);
	rollout_times_t times = { .total = (20 + fix->draws % 5) * PD_MSEC };
	uint64_t id = use.only ? use.only : fix->old_id;
	bool failed;

	assert_int_not_equal(use.except, id);
	if (id == fix->new_id) {
		bool bad = !load->route || !strcmp(load->route, route);

		fix->sent_new++;
		failed = bad && is_nth(load->new_fails, fix->sent_new);
		if (bad && is_nth(load->new_is_slow, fix->sent_new))
			times.total *= 4;
	} else {
		failed = is_nth(load->old_fails, ++fix->sent_old);
	}
	rollouts_record_send(fix->rollouts, "s", route, id);
	rollouts_record_answer(fix->rollouts, "s", route, id, failed, &times);
}

static void run_once(fixture_t *fix, bool is_leader)
{
	const rollouts_hooks_t hooks = { get_fleet, on_write, fix };

	rollouts_run(fix->rollouts, is_leader, &hooks, fix->now);
}

/* Runs the leader until END, with requests on two routes. */
static void play(fixture_t *fix, pd_time_t end, const load_t *load)
{
	for (; fix->now < end; fix->now += STEP) {
		for (int i = 0; i < SENDS; i++)
			send_one(fix, i % 2 ? "a" : "b", load);
		run_once(fix, true);
	}
}

/* Orders v2 and has it serve a load until it is bad, for at most 8 s. */
static void play_until_bad(fixture_t *fix, const load_t *load)
{
	pd_time_t end = fix->now + 8 * PD_SEC;

	while (!get_report(fix)->bad && fix->now < end)
		play(fix, fix->now + STEP, load);
	assert_true(get_report(fix)->bad);
	assert_int_equal(fix->written.state, ROLLOUT_ROLLED_BACK);
	assert_int_equal(rollouts_choose(fix->rollouts, "s", 0, fix->now).except,
			 fix->new_id);
	assert_true(fix->sent_new <= 0.1 * (fix->sent_new + fix->sent_old) + 50);
}

static void test_canary_gets_a_part_of_the_share(void **state)
{
	fixture_t *fix = *state;
	rollout_use_t use;

	apply(fix, "v2", ORDER);
	run_once(fix, true);
	use = rollouts_choose(fix->rollouts, "s", 0, fix->now);
	assert_int_equal(use.only, fix->new_id);
	assert_true(use.upstreams_part < 0.1 && use.may_fall_back);
	play(fix, T0 + 5 * PD_SEC, &good);
	assert_true(fix->sent_new > 40);
	assert_true(fix->sent_new < 0.05 * (fix->sent_old + fix->sent_new));
	assert_int_equal(fix->written.state, ROLLOUT_RUNNING);
}

/* Guards against a canary that exceeds the bound where peers sent it too much. */
static void test_canary_stops_at_half_of_the_bound(void **state)
{
	fixture_t *fix = *state;
	rollout_count_t count = { "s", fix->new_id, 7, true, { .sent = 24 } };

	apply(fix, "v2", ORDER);
	rollouts_record_peer(fix->rollouts, "p", &count);
	run_once(fix, true);
	assert_int_equal(rollouts_choose(fix->rollouts, "s", 0, fix->now).only,
			 fix->new_id);
	count.tally.sent = 27;
	rollouts_record_peer(fix->rollouts, "p", &count);
	fix->now += 100 * PD_MSEC;
	run_once(fix, true);
	assert_int_equal(rollouts_choose(fix->rollouts, "s", 0, fix->now).only, 0);
}

static void test_new_version_is_held_until_orders_are_known(void **state)
{
	fixture_t *fix = *state;
	rollouts_t *r = fix->rollouts;

	rollouts_set_known_revision(r, 5);
	assert_false(rollouts_record_version(r, "s", fix->old_id, 4, T0));
	assert_true(rollouts_record_version(r, "s", fix->new_id, 12, T0));
	assert_int_equal(rollouts_choose(r, "s", 0.5, T0).except, fix->new_id);
	assert_true(rollouts_choose(r, "s", 0.5, T0).may_fall_back);
	rollouts_set_known_revision(r, 11);
	assert_int_equal(rollouts_choose(r, "s", 0.5, T0).except, fix->new_id);
	assert_int_equal(rollouts_choose(r, "s", 0.5, T0 + 1500 * PD_MSEC).except,
			 0);
	rollouts_set_known_revision(r, 12);
	assert_int_equal(rollouts_choose(r, "s", 0.5, T0).except, 0);
}

static void test_only_version_is_not_held(void **state)
{
	fixture_t *fix = *state;

	rollouts_record_version(fix->rollouts, "s", fix->new_id, 12, T0);
	assert_int_equal(rollouts_choose(fix->rollouts, "s", 0.5, T0).except, 0);
}

static void test_failing_version_is_rolled_back(void **state)
{
	apply(*state, "v2", ORDER);
	play_until_bad(*state, &(load_t){ .new_fails = 3 });
}

static void test_slow_version_is_rolled_back(void **state)
{
	apply(*state, "v2", ORDER);
	play_until_bad(*state, &(load_t){ .new_is_slow = 2 });
}

/* Guards against a bad route that is outweighed by the good ones. */
static void test_version_that_fails_on_one_route_is_rolled_back(void **state)
{
	apply(*state, "v2", ORDER);
	play_until_bad(*state, &(load_t){ .new_fails = 2, .route = "a" });
}

/* Guards against many good answers that hide later bad ones. */
static void test_version_that_turns_bad_is_rolled_back(void **state)
{
	fixture_t *fix = *state;
	pd_time_t turned_at = T0 + 8 * PD_SEC;

	apply(fix, "v2", ORDER);
	play(fix, turned_at, &good);
	assert_false(get_report(fix)->bad);
	play_until_bad(fix, &(load_t){ .new_fails = 2 });
	assert_true(fix->now - turned_at < 2500 * PD_MSEC);
}

/* Guards against a verdict by chance, over ten times the answers of a roll-out. */
static void test_equal_versions_are_not_judged_bad(void **state)
{
	fixture_t *fix = *state;
	GRand *random = g_rand_new_with_seed(20261202);

	apply(fix, "v2", ORDER);
	for (int i = 0; i < 60000; i++) {
		uint64_t id = i % 8 ? fix->old_id : fix->new_id;
		const rollout_times_t times = {
			.total = (20 + g_rand_int_range(random, 0, 9)) * PD_MSEC
		};

		rollouts_record_send(fix->rollouts, "s", "a", id);
		rollouts_record_answer(fix->rollouts, "s", "a", id,
				       g_rand_double(random) < 0.02, &times);
		fix->now += 2 * PD_MSEC;
		run_once(fix, false);
	}
	g_rand_free(random);
	assert_false(get_report(fix)->bad);
}

/* Guards against a verdict for an outage that hits both versions alike. */
static void test_outage_of_both_versions_is_no_verdict(void **state)
{
	static const load_t outage = { .old_fails = 1, .new_fails = 1 };
	fixture_t *fix = *state;

	apply(fix, "v2", ORDER);
	play(fix, T0 + 6 * PD_SEC, &good);
	play(fix, T0 + 7500 * PD_MSEC, &outage);
	play(fix, T0 + 9 * PD_SEC, &good);
	assert_false(get_report(fix)->bad);
}

/* Guards against a write so late that its repetition misses the deadline. */
static void test_good_version_is_completed_in_time(void **state)
{
	fixture_t *fix = *state;

	apply(fix, "v2", ORDER);
	play(fix, T0 + 9 * PD_SEC, &good);
	assert_int_equal(get_report(fix)->step, ROLLOUT_CANARY);
	play(fix, T0 + 11 * PD_SEC, &good);
	assert_int_equal(get_report(fix)->step, ROLLOUT_FULL);
	fix->fleet.old_running = 0;
	play(fix, T0 + PERIOD - 500 * PD_MSEC, &good);
	assert_int_equal(fix->written.state, ROLLOUT_COMPLETED);
	assert_int_equal(fix->written.revision, ORDER);
	assert_false(
		rollouts_choose(fix->rollouts, "s", 0.99, fix->now).may_fall_back);
	assert_true(apply_state(fix, ORDER + 1, ROLLOUT_COMPLETED));
	assert_int_equal(rollouts_choose(fix->rollouts, "s", 0.99, fix->now).only,
			 fix->new_id);
}

/* Guards against a `completed` that stops old upstreams while requests run there. */
static void test_completion_waits_for_old_requests_until_the_deadline(void **state)
{
	fixture_t *fix = *state;

	apply(fix, "v2", ORDER);
	play(fix, T0 + PERIOD - 650 * PD_MSEC, &good);
	assert_int_equal(get_report(fix)->step, ROLLOUT_FULL);
	assert_int_equal(fix->written.state, ROLLOUT_RUNNING);
	play(fix, T0 + PERIOD, &good);
	assert_int_equal(fix->written.state, ROLLOUT_COMPLETED);
}

/* Guards against a status that is written before the answer to the last one is due. */
static void test_write_is_repeated_until_it_is_seen(void **state)
{
	fixture_t *fix = *state;

	apply(fix, "v2", ORDER);
	play(fix, T0 + 1010 * PD_MSEC, &good);
	assert_int_equal(fix->writes, 3);
	assert_false(apply_state(fix, ORDER + 1, ROLLOUT_RUNNING));
	play(fix, T0 + 3 * PD_SEC, &good);
	assert_int_equal(fix->writes, 3);
	assert_int_equal(get_report(fix)->revision, ORDER + 1);
}

static void test_order_without_upstreams_is_rolled_back_at_the_deadline(void **state)
{
	fixture_t *fix = *state;

	fix->fleet.new_serving = 0;
	apply(fix, "v2", ORDER);
	play(fix, T0 + PERIOD, &good);
	assert_int_equal(fix->written.state, ROLLOUT_RUNNING);
	play(fix, T0 + PERIOD + 600 * PD_MSEC, &good);
	assert_int_equal(fix->written.state, ROLLOUT_ROLLED_BACK);
}

/* Guards against a gateway that missed a verdict and goes on. */
static void test_new_version_is_not_used_without_heartbeat(void **state)
{
	fixture_t *fix = *state;

	apply(fix, "v2", ORDER);
	assert_int_equal(rollouts_choose(fix->rollouts, "s", 0, T0).only, 0);
	run_once(fix, true);
	assert_int_equal(rollouts_choose(fix->rollouts, "s", 0, T0 + 2 * PD_SEC).only,
			 fix->new_id);
	assert_int_equal(
		rollouts_choose(fix->rollouts, "s", 0, T0 + 2 * PD_SEC + 1).except,
		fix->new_id);
}

/* Merges reports in the order of the digits of ORDER. */
static void merge_in_order(const rollout_report_t *reports, const char *order,
			   fixture_t *fix)
{
	rollouts_destroy(fix->rollouts);
	fix->rollouts = rollouts_create(&settings);
	for (; *order; order++)
		rollouts_merge(fix->rollouts, &reports[*order - '0'], T0);
}

static void test_reports_are_merged_in_any_order(void **state)
{
	static const rollout_report_t reports[] = {
		{ "s", "v1", 8, T0 - PD_SEC, PERIOD, ROLLOUT_FULL,
		  ROLLOUT_RUNNING, true, 90 },
		{ "s", "v2", 10, T0 + 5, PERIOD, ROLLOUT_HALF, ROLLOUT_RUNNING,
		  false, 5 },
		{ "s", "v2", 11, T0, PERIOD, ROLLOUT_CANARY, ROLLOUT_RUNNING,
		  true, 7 },
	};
	static const char *const orders[] = { "012", "021", "102",    "120",
					      "201", "210", "2010121" };
	fixture_t *fix = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
		const rollout_report_t *report;

		merge_in_order(reports, orders[i], fix);
		report = get_report(fix);
		assert_string_equal(report->to, "v2");
		assert_int_equal(report->revision, 11);
		assert_int_equal(report->ordered_at, T0);
		assert_int_equal(report->step, ROLLOUT_HALF);
		assert_int_equal(report->heartbeat, 7);
		assert_true(report->bad);
	}
}

/* Guards against a restored step that is used before a leader confirms it. */
static void test_restored_rollout_waits_for_a_heartbeat(void **state)
{
	static const rollout_report_t report = {
		"s",	"v2",	      ORDER,	       T0 - 3 * PD_SEC,
		PERIOD, ROLLOUT_HALF, ROLLOUT_RUNNING, false,
		77
	};
	fixture_t *fix = *state;
	uint64_t sent_new;
	uint64_t sent_all;

	apply(fix, "v2", ORDER + 1);
	rollouts_restore(fix->rollouts, &report, 40, 400, T0);
	assert_int_equal(get_report(fix)->step, ROLLOUT_HALF);
	assert_int_equal(get_report(fix)->ordered_at, T0 - 3 * PD_SEC);
	assert_int_equal(rollouts_choose(fix->rollouts, "s", 0, T0).only, 0);
	run_once(fix, true);
	assert_int_equal(rollouts_choose(fix->rollouts, "s", 0.4, T0).only,
			 fix->new_id);
	rollouts_sent(fix->rollouts, "s", &sent_new, &sent_all);
	assert_int_equal(sent_new, 40);
	assert_int_equal(sent_all, 400);
}

static void test_newer_order_replaces_the_roll_out(void **state)
{
	fixture_t *fix = *state;

	apply(fix, "v2", ORDER);
	play_until_bad(fix, &(load_t){ .new_fails = 2 });
	apply(fix, "v3", ORDER + 5);
	assert_string_equal(get_report(fix)->to, "v3");
	assert_false(get_report(fix)->bad);
	apply(fix, "v2", ORDER + 1);
	assert_string_equal(get_report(fix)->to, "v3");
}

/* Guards against a deadline that moves when the gateways' own status is read. */
static void test_order_read_again_goes_on(void **state)
{
	fixture_t *fix = *state;

	apply(fix, "v2", ORDER);
	fix->now += 5 * PD_SEC;
	assert_false(apply_state(fix, ORDER + 1, ROLLOUT_RUNNING));
	apply(fix, "v2", ORDER + 2);
	assert_int_equal(get_report(fix)->ordered_at, T0);
	assert_int_equal(get_report(fix)->revision, ORDER + 2);
}

/* Guards against reports of an order that is over, which end the same order given again. */
static void test_report_of_earlier_order_does_not_end_a_newer_one(void **state)
{
	static const rollout_report_t earlier = {
		"s",	"v2",	      ORDER + 1,	   T0,
		PERIOD, ROLLOUT_FULL, ROLLOUT_ROLLED_BACK, true,
		77
	};
	fixture_t *fix = *state;

	apply(fix, "v2", ORDER);
	assert_true(rollouts_merge(fix->rollouts, &earlier, fix->now));
	fix->now += 20 * PD_SEC;
	apply(fix, "v2", ORDER + 5);
	assert_int_equal(get_report(fix)->state, ROLLOUT_RUNNING);
	assert_false(rollouts_merge(fix->rollouts, &earlier, fix->now));
	assert_int_equal(get_report(fix)->state, ROLLOUT_RUNNING);
	assert_false(get_report(fix)->bad);
	assert_int_equal(get_report(fix)->ordered_at, fix->now);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_canary_gets_a_part_of_the_share),
		TEST(test_canary_stops_at_half_of_the_bound),
		TEST(test_new_version_is_held_until_orders_are_known),
		TEST(test_only_version_is_not_held),
		TEST(test_failing_version_is_rolled_back),
		TEST(test_slow_version_is_rolled_back),
		TEST(test_version_that_fails_on_one_route_is_rolled_back),
		TEST(test_version_that_turns_bad_is_rolled_back),
		TEST(test_equal_versions_are_not_judged_bad),
		TEST(test_outage_of_both_versions_is_no_verdict),
		TEST(test_good_version_is_completed_in_time),
		TEST(test_completion_waits_for_old_requests_until_the_deadline),
		TEST(test_write_is_repeated_until_it_is_seen),
		TEST(test_order_without_upstreams_is_rolled_back_at_the_deadline),
		TEST(test_new_version_is_not_used_without_heartbeat),
		TEST(test_reports_are_merged_in_any_order),
		TEST(test_restored_rollout_waits_for_a_heartbeat),
		TEST(test_newer_order_replaces_the_roll_out),
		TEST(test_order_read_again_goes_on),
		TEST(test_report_of_earlier_order_does_not_end_a_newer_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
