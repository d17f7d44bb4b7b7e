/* When a gateway asks the store, alone, in a mesh and in a large fleet. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/forward/store_feed.h"

#define START (1000 * PD_SEC)
#define STEP (10 * PD_MSEC)
#define SEED 7
#define CALLS 100
/* What a leave may stay unknown of the two seconds that it may be sent requests. */
#define NOTICE_MAX (1200 * PD_MSEC)

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

/* Returns how long after NOW a call is made, -1: not within LIMIT. */
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

static void list_all(store_feed_t *feed, const store_feed_fleet_t *fleet,
		     pd_time_t now)
{
	assert_int_equal(store_feed_next_call(feed, fleet, now).kind,
			 STORE_CALL_LIST);
	store_feed_record_answer(feed, now);
	store_feed_end_listing(feed, now);
}

static void test_a_listing_comes_before_watches(void **state)
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

static void test_a_failed_call_is_made_again_soon(void **state)
{
	fixture_t *fixture = *state;
	store_call_t call;

	list_all(fixture->feed, &mesh, START);
	store_feed_next_call(fixture->feed, &mesh, START);
	store_feed_record_failure(fixture->feed, &mesh, START);
	assert_true(store_feed_is_unreachable(fixture->feed));
	assert_in_range(next_call(fixture->feed, &mesh, START, PD_SEC, &call),
			0, 300 * PD_MSEC);
	store_feed_record_answer(fixture->feed, START + PD_SEC);
	assert_false(store_feed_is_unreachable(fixture->feed));
}

/*
 * Guards against a call that hangs in a silent store for as long as a watch may, so
 * that leaves after the outage stay unknown for seconds.
 */
static void test_the_end_of_a_silence_is_noticed(void **state)
{
	fixture_t *fixture = *state;
	pd_time_t now = START;
	pd_time_t end;
	store_call_t call;

	list_all(fixture->feed, &mesh, now);
	store_feed_next_call(fixture->feed, &mesh, now);
	store_feed_record_failure(fixture->feed, &mesh, now);
	for (int i = 0; i < CALLS; i++) {
		now += next_call(fixture->feed, &mesh, now, PD_SEC, &call);
		/* The store is back just after it has missed this call. */
		end = now;
		now += call.timeout;
		store_feed_record_failure(fixture->feed, &mesh, now);
		assert_true(now + next_call(fixture->feed, &mesh, now, PD_SEC, &call) -
				    end <=
			    NOTICE_MAX);
		assert_int_equal(call.wait, 0);
		store_feed_record_failure(fixture->feed, &mesh, now);
	}
}

static void test_members_of_a_large_fleet_leave_it_to_the_first(void **state)
{
	fixture_t *fixture = *state;
	store_call_t call;

	list_all(fixture->feed, &watcher, START);
	assert_int_equal(next_call(fixture->feed, &member, START, 5 * PD_SEC, &call),
			 -1);
	assert_true(next_call(fixture->feed, &watcher, START + PD_SEC, 0,
			      &call) >= 0);
	assert_int_equal(call.kind, STORE_CALL_WATCH);
}

/* Guards against a listing of several pages that ends as the first page was news. */
static void test_a_listing_goes_on_though_others_watch(void **state)
{
	fixture_t *fixture = *state;

	store_feed_next_call(fixture->feed, &watcher, START);
	store_feed_record_answer(fixture->feed, START);
	assert_int_equal(store_feed_next_call(fixture->feed, &member, START).kind,
			 STORE_CALL_LIST);
}

static void test_a_start_in_a_large_fleet_holds_its_first_watch(void **state)
{
	fixture_t *fixture = *state;
	store_call_t call;

	list_all(fixture->feed, &watcher, START);
	assert_in_range(next_call(fixture->feed, &watcher, START, PD_SEC, &call),
			200 * PD_MSEC, 400 * PD_MSEC);
}

#define FEED_TEST(test) cmocka_unit_test_setup_teardown(test, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		FEED_TEST(test_a_listing_comes_before_watches),
		FEED_TEST(test_a_failed_call_is_made_again_soon),
		FEED_TEST(test_the_end_of_a_silence_is_noticed),
		FEED_TEST(test_members_of_a_large_fleet_leave_it_to_the_first),
		FEED_TEST(test_a_listing_goes_on_though_others_watch),
		FEED_TEST(test_a_start_in_a_large_fleet_holds_its_first_watch),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
