/* Tests which upstreams may be used, and which one a request gets. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/forward/choice.h"

#define START (1000 * PD_SEC)

static unsigned int gone_count;

/* Counts the upstreams that are reported as gone. */
static void on_gone(void *ctx, const char *id)
{
	(void)ctx;
	(void)id;
	gone_count++;
}

static int setup(void **state)
{
	gone_count = 0;
	*state = forward_upstreams_create();
	return 0;
}

static int teardown(void **state)
{
	forward_upstreams_destroy(*state);
	return 0;
}

/*
 * Registers an upstream that was started at START_TIME_MS; 0: unknown. Returns
 * whether that changed anything.
 */
static bool list_start(forward_upstreams_t *set, const char *id, uint64_t revision,
		       forward_stage_t stage, int64_t start_time_ms)
{
	const forward_registration_t registration = { .id = id,
						      .start_time_ms = start_time_ms,
						      .service = "s",
						      .address = "127.0.0.1",
						      .port = 1,
						      .zone = "a",
						      .slots = 4,
						      .stage = stage,
						      .revision = revision };

	return forward_upstreams_apply(set, &registration);
}

/*
 * Registers an upstream with an unknown start time. Returns whether that
 * changed anything.
 */
static bool list(forward_upstreams_t *set, const char *id, uint64_t revision,
		 forward_stage_t stage)
{
	return list_start(set, id, revision, stage, 0);
}

/* Returns the upstream that a plain request gets, or NULL. */
static forward_upstream_t *choose(forward_upstreams_t *set, pd_time_t now)
{
	static forward_call_t call;
	const forward_criteria_t criteria = {
		.service = "s", .zone = "a", .call = &call, .overcommit = 1
	};
	forward_pick_t pick;

	forward_upstreams_choose(set, &criteria, now, &pick);
	return pick.upstream;
}

/*
 * Guards against requests that are sent to an upstream after it has announced
 * that it leaves, and are cut off when it stops.
 */
static void test_a_draining_upstream_gets_no_requests(void **state)
{
	list(*state, "u1", 1, FORWARD_SERVING);
	assert_non_null(choose(*state, START));
	assert_true(list(*state, "u1", 2, FORWARD_DRAINING));
	assert_null(choose(*state, START));
}

/*
 * Guards against an update that a peer sends late and that undoes a newer one.
 */
static void test_an_older_revision_is_ignored(void **state)
{
	list(*state, "u1", 5, FORWARD_DRAINING);
	assert_false(list(*state, "u1", 4, FORWARD_SERVING));
	assert_false(forward_upstreams_remove(*state, "u1", 4, START));
	assert_null(choose(*state, START));
}

/*
 * Guards against a fleet of running upstreams that refuses callers because its
 * registrations expired in an outage of the store and are not back yet.
 */
static void test_an_expired_registration_has_a_grace_period(void **state)
{
	list(*state, "u1", 1, FORWARD_SERVING);
	forward_upstreams_store_recovered(*state, START);
	forward_upstreams_remove(*state, "u1", 2, START);
	assert_non_null(choose(*state, START + PD_SEC));
	list(*state, "u1", 3, FORWARD_SERVING);
	forward_upstreams_expire(*state, START + 5 * PD_SEC, on_gone, NULL);
	assert_non_null(choose(*state, START + 5 * PD_SEC));
	assert_int_equal(gone_count, 0);
}

/*
 * Guards against requests to an upstream that has left, because a peer that has
 * not heard of its expiry repeats the old registration.
 */
static void test_an_older_revision_does_not_undo_an_expiry(void **state)
{
	list(*state, "u1", 1, FORWARD_SERVING);
	forward_upstreams_store_recovered(*state, START);
	forward_upstreams_remove(*state, "u1", 2, START);
	list(*state, "u1", 1, FORWARD_SERVING);
	forward_upstreams_expire(*state, START + 3 * PD_SEC, on_gone, NULL);
	assert_null(choose(*state, START + 3 * PD_SEC));
	assert_int_equal(gone_count, 1);
}

/*
 * Without an outage before, a removed registration means that the upstream
 * left.
 */
static void test_a_removed_registration_counts_at_once(void **state)
{
	list(*state, "u1", 1, FORWARD_SERVING);
	assert_true(forward_upstreams_remove(*state, "u1", 2, START));
	assert_null(choose(*state, START));
}

/*
 * Guards against upstreams that stay in use because they left while the history
 * of changes was lost, so that no watch reported it.
 */
static void test_upstreams_missing_from_a_listing_are_gone(void **state)
{
	list(*state, "u1", 1, FORWARD_SERVING);
	list(*state, "u2", 2, FORWARD_SERVING);
	forward_upstreams_begin_listing(*state);
	list(*state, "u2", 2, FORWARD_SERVING);
	forward_upstreams_end_listing(*state, 9, START);
	assert_string_equal(choose(*state, START)->id, "u2");
	assert_false(forward_upstream_is_serving(
		forward_upstreams_find(*state, "u1")));
}

/*
 * Guards against requests to an upstream that has failed twice in a row while
 * others serve, and against one that is never tried again.
 */
static void test_a_failing_upstream_is_in_backoff_then_probed(void **state)
{
	forward_upstream_t *failing;

	list(*state, "u1", 1, FORWARD_SERVING);
	list(*state, "u2", 2, FORWARD_SERVING);
	failing = forward_upstreams_find(*state, "u1");
	forward_upstream_record_failure(failing, START);
	forward_upstream_record_failure(failing, START);
	forward_upstreams_find(*state, "u2")->running = 3;
	assert_string_equal(choose(*state, START)->id, "u2");
	assert_string_equal(choose(*state, START + 10 * PD_SEC)->id, "u1");
	forward_upstream_record_success(failing);
	assert_string_equal(choose(*state, START)->id, "u1");
}

/*
 * Guards against a crashed upstream that runs nothing, looks the best by its
 * load, and gets each request first.
 */
static void test_a_connect_failure_starts_the_backoff_at_once(void **state)
{
	list(*state, "u1", 1, FORWARD_SERVING);
	list(*state, "u2", 2, FORWARD_SERVING);
	forward_upstream_record_connect_failure(forward_upstreams_find(*state, "u1"),
						START);
	forward_upstreams_find(*state, "u2")->running = 3;
	assert_string_equal(choose(*state, START)->id, "u2");
}

/*
 * Guards against a choice by the load that peers reported although the upstream
 * itself has said since that it is full.
 */
static void test_an_upstream_that_rejected_is_full(void **state)
{
	list(*state, "u1", 1, FORWARD_SERVING);
	forward_upstream_record_rejection(forward_upstreams_find(*state, "u1"),
					  START);
	assert_null(choose(*state, START));
	assert_non_null(choose(*state, START + PD_SEC));
}

/* Guards against requests to an upstream that asked for a rest, and capacity that is none. */
static void test_resting_upstreams_are_not_chosen(void **state)
{
	forward_upstream_t *first;
	forward_upstream_t *second;

	list(*state, "u1", 1, FORWARD_SERVING);
	list(*state, "u2", 2, FORWARD_SERVING);
	first = forward_upstreams_find(*state, "u1");
	second = forward_upstreams_find(*state, "u2");
	forward_upstream_record_rest(first, 3 * PD_SEC, START);
	forward_upstream_record_rest(first, PD_SEC, START);
	for (int i = 0; i < 20; i++)
		assert_string_equal(choose(*state, START + 2 * PD_SEC)->id,
				    "u2");
	assert_int_equal(forward_upstreams_count_resting(*state, "s", START), 1);
	second->running = second->slots;
	assert_true(forward_upstreams_utilization(*state, "s", START) == 1);
	second->running = 0;
	forward_upstream_record_rest(second, 5 * PD_SEC, START);
	assert_null(choose(*state, START + 2 * PD_SEC));
	assert_true(forward_upstreams_utilization(*state, "s", START) == 1);
	assert_string_equal(choose(*state, START + 4 * PD_SEC)->id, "u1");
	forward_upstream_record_restart(second);
	assert_string_equal(choose(*state, START + 2 * PD_SEC)->id, "u2");
}

/* Guards against an upstream that is filled as it has not answered since its start. */
static void test_upstream_that_started_is_like_its_service(void **state)
{
	forward_upstream_t *first;
	forward_upstream_t *second;

	list(*state, "u1", 1, FORWARD_SERVING);
	list(*state, "u2", 2, FORWARD_SERVING);
	first = forward_upstreams_find(*state, "u1");
	second = forward_upstreams_find(*state, "u2");
	assert_int_equal(forward_upstreams_rejections_max(*state, second), 0);
	forward_upstreams_record_brittleness(*state, first, 3, START);
	assert_int_equal(forward_upstreams_rejections_max(*state, second), 3);
	forward_upstreams_record_brittleness(*state, second, 0, START);
	assert_int_equal(forward_upstreams_rejections_max(*state, second), 0);
	forward_upstream_record_restart(second);
	assert_int_equal(forward_upstreams_rejections_max(*state, second), 3);
}

/* Guards against a response of before the service became brittle, which is still trusted. */
static void test_old_sturdy_response_counts_no_more(void **state)
{
	forward_upstream_t *first;
	forward_upstream_t *second;

	list(*state, "u1", 1, FORWARD_SERVING);
	list(*state, "u2", 2, FORWARD_SERVING);
	first = forward_upstreams_find(*state, "u1");
	second = forward_upstreams_find(*state, "u2");
	forward_upstreams_record_brittleness(*state, second, 0, START);
	forward_upstreams_record_brittleness(*state, first, 3, START + PD_SEC);
	assert_int_equal(forward_upstreams_rejections_max(*state, second), 0);
	forward_upstreams_record_brittleness(*state, first, 4, START + 3 * PD_SEC);
	assert_int_equal(forward_upstreams_rejections_max(*state, second), 4);
	forward_upstreams_record_brittleness(*state, second, 0, START + 4 * PD_SEC);
	assert_int_equal(forward_upstreams_rejections_max(*state, second), 0);
	assert_int_equal(forward_upstreams_rejections_max(*state, first), 4);
}

/* Guards against a gateway that sends on for ever what it was sent. */
static void test_brittle_services_are_news_once(void **state)
{
	const forward_brittleness_t said = { START, 3 };
	const forward_brittleness_t again = { START + 20 * PD_MSEC, 3 };
	const forward_brittleness_t later = { START + 2 * PD_SEC, 5 };

	assert_true(forward_upstreams_merge_brittleness(*state, "s", &said));
	assert_false(forward_upstreams_merge_brittleness(*state, "s", &said));
	assert_false(forward_upstreams_merge_brittleness(*state, "s", &again));
	assert_true(forward_upstreams_merge_brittleness(*state, "s", &later));
	assert_int_equal(forward_upstreams_brittleness(*state, "s").rejections_max,
			 5);
}

static void test_a_full_upstream_is_not_chosen(void **state)
{
	list(*state, "u1", 1, FORWARD_SERVING);
	forward_upstreams_find(*state, "u1")->running = 1;
	forward_upstreams_find(*state, "u1")->peers_running = 3;
	assert_null(choose(*state, START));
}

/* Returns a call whose prompt begins with the shared parts 1 and PREFIX. */
static forward_call_t call_with_prefix(uint64_t prefix)
{
	forward_call_t call = { .prompt_tokens = 6000,
				.parts = { { 1, 500 }, { prefix, 5000 }, { 99, 500 } },
				.part_count = 3 };

	return call;
}

/*
 * Guards against gateways that send requests with the same prompt prefix to
 * different upstreams, each of which then processes the prefix.
 */
static void test_gateways_agree_on_the_upstream_of_a_prefix(void **state)
{
	forward_upstreams_t *other = forward_upstreams_create();
	unsigned int not_first = 0;

	for (unsigned int i = 0; i < 6; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "u%u", i);
		list(*state, id, i + 1, FORWARD_SERVING);
		g_snprintf(id, sizeof(id), "u%u", 5 - i);
		list(other, id, i + 1, FORWARD_SERVING);
	}
	for (uint64_t prefix = 100; prefix < 150; prefix++) {
		forward_call_t call = call_with_prefix(prefix);
		const forward_criteria_t criteria = { .service = "s",
						      .zone = "a",
						      .call = &call,
						      .has_prompt = true,
						      .overcommit = 1 };
		forward_pick_t one;
		forward_pick_t two;

		forward_upstreams_choose(*state, &criteria, START, &one);
		forward_upstreams_choose(other, &criteria, START, &two);
		assert_string_equal(one.upstream->id, two.upstream->id);
		not_first += strcmp(one.upstream->id, "u0") != 0;
	}
	/* prefixes are spread over the upstreams */
	assert_true(not_first > 25);
	forward_upstreams_destroy(other);
}

/*
 * Guards against a shared prompt that attracts requests to an upstream with a
 * long queue.
 */
static void test_a_loaded_preferred_upstream_is_not_chosen(void **state)
{
	forward_call_t call = call_with_prefix(7);
	const forward_criteria_t criteria = { .service = "s",
					      .zone = "a",
					      .call = &call,
					      .has_prompt = true,
					      .overcommit = 1 };
	forward_pick_t preferred;
	forward_pick_t next;

	list(*state, "u1", 1, FORWARD_SERVING);
	list(*state, "u2", 2, FORWARD_SERVING);
	forward_upstreams_choose(*state, &criteria, START, &preferred);
	preferred.upstream->prefill_tokens = 20000;
	forward_upstreams_choose(*state, &criteria, START, &next);
	assert_ptr_not_equal(preferred.upstream, next.upstream);
}

/*
 * Guards against digests that depend on the order of updates: two gateways
 * would fetch the whole table from each other over and over.
 */
static void test_digests_depend_on_the_state_alone(void **state)
{
	forward_upstreams_t *other = forward_upstreams_create();

	list(*state, "u1", 1, FORWARD_SERVING);
	list(*state, "u2", 2, FORWARD_SERVING);
	list(*state, "u2", 3, FORWARD_DRAINING);
	list(*state, "u3", 4, FORWARD_SERVING);
	forward_upstreams_remove(*state, "u3", 5, START);
	list(other, "u2", 3, FORWARD_DRAINING);
	list(other, "u1", 1, FORWARD_SERVING);
	for (unsigned int i = 0; i < FORWARD_DIGEST_BUCKETS; i++)
		assert_int_equal(forward_upstreams_digest(*state, i),
				 forward_upstreams_digest(other, i));
	list(other, "u1", 6, FORWARD_SERVING);
	assert_int_not_equal(
		forward_upstreams_digest(
			*state, forward_upstream_bucket(
					forward_upstreams_find(other, "u1"))),
		forward_upstreams_digest(
			other, forward_upstream_bucket(
				       forward_upstreams_find(other, "u1"))));
	forward_upstreams_destroy(other);
}

/*
 * Guards against a random sample that misses the only upstream with room, so
 * that callers are refused although a slot is free.
 */
static void test_a_sample_finds_the_one_with_room(void **state)
{
	GRand *random = g_rand_new_with_seed(7);
	forward_call_t call = { 0 };
	const forward_criteria_t criteria = { .service = "s",
					      .zone = "a",
					      .call = &call,
					      .overcommit = 1,
					      .sample_size = 2,
					      .random = random };
	char id[16];

	for (unsigned int i = 0; i < 200; i++) {
		g_snprintf(id, sizeof(id), "u%u", i);
		list(*state, id, i + 1, FORWARD_SERVING);
		forward_upstreams_find(*state, id)->running = i == 77 ? 0 : 4;
	}
	for (unsigned int i = 0; i < 20; i++) {
		forward_pick_t pick;

		assert_int_equal(forward_upstreams_choose(*state, &criteria,
							  START, &pick),
				 FORWARD_CHOSEN);
		assert_string_equal(pick.upstream->id, "u77");
	}
	forward_upstreams_find(*state, "u77")->running = 4;
	assert_null(choose(*state, START));
	g_rand_free(random);
}

/*
 * Guards against requests that are sent to upstreams at random when the
 * preferred one is loaded, as nearly each of those would process thousands of
 * shared tokens again. A second one on which all gateways agree processes them
 * once.
 */
static void test_a_sample_includes_a_second_preferred_upstream(void **state)
{
	forward_call_t call = call_with_prefix(7);
	GRand *random = g_rand_new_with_seed(3);
	const forward_criteria_t all = { .service = "s",
					 .zone = "a",
					 .call = &call,
					 .has_prompt = true,
					 .overcommit = 1 };
	forward_criteria_t few = all;
	forward_upstream_t *preferred;
	forward_upstream_t *second = NULL;
	forward_pick_t pick;
	char id[16];

	few.sample_size = 1;
	few.random = random;
	for (unsigned int i = 0; i < 90; i++) {
		g_snprintf(id, sizeof(id), "u%u", i);
		list(*state, id, i + 1, FORWARD_SERVING);
	}
	forward_upstreams_choose(*state, &all, START, &pick);
	assert_true(pick.uncached_tokens < 1000);
	preferred = pick.upstream;
	preferred->prefill_tokens = 50000;
	for (int i = 0; i < 50; i++) {
		forward_upstreams_choose(*state, &few, START, &pick);
		assert_ptr_not_equal(pick.upstream, preferred);
		if (!second)
			second = pick.upstream;
		assert_ptr_equal(pick.upstream, second);
		assert_true(pick.uncached_tokens < 1000);
	}
	/* A choice among all treats the second one like any other. */
	LIST_FOR_EACH (it, forward_upstreams_list(*state)) {
		forward_upstream_t *other =
			LIST_ENTRY(it, forward_upstream_t, node);

		other->running = other == second ? 0 : other->slots;
	}
	forward_upstreams_choose(*state, &all, START, &pick);
	assert_ptr_equal(pick.upstream, second);
	assert_true(pick.uncached_tokens > 1000);
	g_rand_free(random);
}

/* Registers upstream u1 as serving, started at START_TIME_MS. */
static void list_started_at(forward_upstreams_t *set, uint64_t revision,
			    int64_t start_time_ms)
{
	list_start(set, "u1", revision, FORWARD_SERVING, start_time_ms);
}

/*
 * Guards against an upstream that crashed and runs again under its id, and is
 * still taken to have prompts cached, or to be in backoff.
 */
static void test_a_restart_clears_cache_and_backoff(void **state)
{
	const forward_call_t call = call_with_prefix(7);
	forward_upstream_t *upstream;
	double uncached;

	list_started_at(*state, 1, 1000);
	upstream = forward_upstreams_find(*state, "u1");
	uncached = forward_upstream_uncached_tokens(upstream, &call, START);
	forward_upstream_record_send(upstream, &call, START);
	forward_upstream_record_connect_failure(upstream, START);
	upstream->peers_running = 3;
	assert_true(forward_upstream_uncached_tokens(upstream, &call, START) <
		    uncached);
	list_started_at(*state, 2, 1000);
	assert_true(forward_upstream_uncached_tokens(upstream, &call, START) <
		    uncached);
	assert_int_equal(upstream->incarnation, 0);
	list_started_at(*state, 3, 2000);
	assert_ptr_equal(forward_upstreams_find(*state, "u1"), upstream);
	assert_int_equal(upstream->incarnation, 1);
	assert_true(forward_upstream_uncached_tokens(upstream, &call, START) ==
		    uncached);
	assert_false(forward_upstream_in_backoff(upstream, START));
	assert_int_equal(upstream->peers_running, 0);
	assert_ptr_equal(choose(*state, START), upstream);
}

/*
 * A restart is noticed also from a peer's change of stage, and if the
 * registration was removed in between.
 */
static void test_a_restart_is_seen_from_peers_and_after_a_removal(void **state)
{
	const forward_stage_update_t change = { FORWARD_SERVING, 2000, 2 };
	forward_upstream_t *upstream;

	list_started_at(*state, 1, 1000);
	upstream = forward_upstreams_find(*state, "u1");
	assert_true(forward_upstreams_update_stage(*state, upstream, &change,
						   START));
	assert_int_equal(upstream->incarnation, 1);
	assert_true(forward_upstreams_remove(*state, "u1", 2, START));
	assert_null(choose(*state, START));
	list_started_at(*state, 3, 3000);
	assert_int_equal(upstream->incarnation, 2);
	assert_ptr_equal(choose(*state, START), upstream);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_a_draining_upstream_gets_no_requests,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_an_older_revision_is_ignored,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_an_expired_registration_has_a_grace_period,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_an_older_revision_does_not_undo_an_expiry,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_removed_registration_counts_at_once,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_upstreams_missing_from_a_listing_are_gone,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_failing_upstream_is_in_backoff_then_probed,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_connect_failure_starts_the_backoff_at_once,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_an_upstream_that_rejected_is_full,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_brittle_services_are_news_once,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_resting_upstreams_are_not_chosen,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_old_sturdy_response_counts_no_more,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_upstream_that_started_is_like_its_service,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_full_upstream_is_not_chosen,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_gateways_agree_on_the_upstream_of_a_prefix,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_loaded_preferred_upstream_is_not_chosen,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_digests_depend_on_the_state_alone,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_sample_finds_the_one_with_room,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_restart_clears_cache_and_backoff,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_a_restart_is_seen_from_peers_and_after_a_removal,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_a_sample_includes_a_second_preferred_upstream,
			setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
