/* Tests when a gateway calls the store, in a mesh and in a large fleet. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/forward/store_feed.h"

#define START (1000 * PD_SEC)
#define STEP (10 * PD_MSEC)
#define SEED 7
#define OUTAGES 100
/*
 * Of the 2 s in which a leaving upstream may be sent requests, how much its
 * removal may stay unknown.
 */
#define DETECTION_MAX (1200 * PD_MSEC)

static const store_feed_fleet_t mesh = { .is_mesh = true,
					 .is_watcher = true,
					 .must_call = true,
					 .poll_group_size = 1 };
static const store_feed_fleet_t member = { .is_large = true, .poll_group_size = 60 };
static const store_feed_fleet_t watcher = { .is_large = true,
					    .is_watcher = true,
					    .must_call = true,
					    .poll_group_size = 60 };

typedef struct fixture {
	GRand *random;
	store_feed_t *feed;
} fixture_t;

static int setup(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->random = g_rand_new_with_seed(SEED);
	fixture->feed = store_feed_create(fixture->random);
	*state = fixture;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *fixture = *state;

	store_feed_destroy(fixture->feed);
	g_rand_free(fixture->random);
	g_free(fixture);
	return 0;
}

/*
 * Returns how long after NOW the next call is made, and fills in CALL; -1: none
 * within LIMIT.
 */
static pd_time_t next_call(store_feed_t *feed, const store_feed_fleet_t *fleet,
			   pd_time_t now, pd_time_t limit, store_call_t *call)
{
	for (pd_time_t at = now; at <= now + limit; at += STEP) {
		*call = store_feed_next_call(feed, fleet, at);
		if (call->kind != STORE_CALL_NONE)
			return at - now;
	}
	return -1;
}

/* Lists everything in one page at NOW. */
static void complete_listing(store_feed_t *feed,
			     const store_feed_fleet_t *fleet, pd_time_t now)
{
	assert_int_equal(store_feed_next_call(feed, fleet, now).kind,
			 STORE_CALL_LIST);
	store_feed_record_answer(feed, now);
	store_feed_end_listing(feed, now);
}

static void test_a_listing_precedes_watches(void **state)
{
	fixture_t *fixture = *state;
	store_call_t call = store_feed_next_call(fixture->feed, &mesh, START);

	assert_int_equal(call.kind, STORE_CALL_LIST);
	call = store_feed_next_call(fixture->feed, &mesh, START);
	assert_int_equal(call.kind, STORE_CALL_NONE);
	store_feed_record_answer(fixture->feed, START);
	store_feed_end_listing(fixture->feed, START);
	call = store_feed_next_call(fixture->feed, &mesh, START);
	assert_int_equal(call.kind, STORE_CALL_WATCH);
	assert_true(call.wait > 0 && call.timeout > call.wait);
	store_feed_restart_listing(fixture->feed, START);
	call = store_feed_next_call(fixture->feed, &mesh, START);
	assert_int_equal(call.kind, STORE_CALL_LIST);
}

static void test_a_failed_call_is_retried_soon(void **state)
{
	fixture_t *fixture = *state;
	store_call_t call;

	complete_listing(fixture->feed, &mesh, START);
	store_feed_next_call(fixture->feed, &mesh, START);
	store_feed_record_failure(fixture->feed, &mesh, START);
	assert_true(store_feed_is_unreachable(fixture->feed));
	assert_in_range(next_call(fixture->feed, &mesh, START, PD_SEC, &call),
			0, 300 * PD_MSEC);
	store_feed_record_answer(fixture->feed, START + PD_SEC);
	assert_false(store_feed_is_unreachable(fixture->feed));
}

/*
 * Guards against a call to an unreachable store that may wait as long as a
 * watch, so that removals after its recovery stay unknown for seconds.
 */
static void test_the_recovery_of_the_store_is_noticed(void **state)
{
	fixture_t *fixture = *state;
	pd_time_t now = START;
	pd_time_t end;
	store_call_t call;

	complete_listing(fixture->feed, &mesh, now);
	store_feed_next_call(fixture->feed, &mesh, now);
	store_feed_record_failure(fixture->feed, &mesh, now);
	for (int i = 0; i < OUTAGES; i++) {
		now += next_call(fixture->feed, &mesh, now, PD_SEC, &call);
		/* The store recovers just after it has missed this call. */
		end = now;
		now += call.timeout;
		store_feed_record_failure(fixture->feed, &mesh, now);
		assert_true(now + next_call(fixture->feed, &mesh, now, PD_SEC, &call) -
				    end <=
			    DETECTION_MAX);
		assert_int_equal(call.wait, 0);
		store_feed_record_failure(fixture->feed, &mesh, now);
	}
}

static void test_only_watchers_call_in_a_large_fleet(void **state)
{
	fixture_t *fixture = *state;
	store_call_t call;

	complete_listing(fixture->feed, &watcher, START);
	assert_int_equal(next_call(fixture->feed, &member, START, 5 * PD_SEC, &call),
			 -1);
	assert_true(next_call(fixture->feed, &watcher, START + PD_SEC, 0,
			      &call) >= 0);
	assert_int_equal(call.kind, STORE_CALL_WATCH);
}

/*
 * Guards against a listing of several pages that ends after the first, because
 * the store has answered by then and others watch it.
 */
static void test_a_listing_continues_though_others_watch(void **state)
{
	fixture_t *fixture = *state;

	store_feed_next_call(fixture->feed, &watcher, START);
	store_feed_record_answer(fixture->feed, START);
	assert_int_equal(store_feed_next_call(fixture->feed, &member, START).kind,
			 STORE_CALL_LIST);
}

static void test_the_first_watch_is_delayed_in_a_large_fleet(void **state)
{
	fixture_t *fixture = *state;
	store_call_t call;

	complete_listing(fixture->feed, &watcher, START);
	assert_in_range(next_call(fixture->feed, &watcher, START, PD_SEC, &call),
			200 * PD_MSEC, 400 * PD_MSEC);
}

#define FEED_TEST(test) cmocka_unit_test_setup_teardown(test, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		FEED_TEST(test_a_listing_precedes_watches),
		FEED_TEST(test_a_failed_call_is_retried_soon),
		FEED_TEST(test_the_recovery_of_the_store_is_noticed),
		FEED_TEST(test_only_watchers_call_in_a_large_fleet),
		FEED_TEST(test_a_listing_continues_though_others_watch),
		FEED_TEST(test_the_first_watch_is_delayed_in_a_large_fleet),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
