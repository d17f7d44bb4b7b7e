/* Which upstreams may be used, and which one a request gets. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/forward/choice.h"

#define START (1000 * PD_SEC)

static unsigned int gone_count;

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

/* Lists an upstream that was started at BORN; 0: it is not told. */
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

static bool list(forward_upstreams_t *set, const char *id, uint64_t revision,
		 forward_stage_t stage)
{
	return list_start(set, id, revision, stage, 0);
}

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
 * An upstream says that it leaves. A request sent there later may be cut off
 * when it ends.
 */
static void test_a_draining_upstream_gets_nothing_new(void **state)
{
	list(*state, "u1", 1, FORWARD_SERVING);
	assert_non_null(choose(*state, START));
	assert_true(list(*state, "u1", 2, FORWARD_DRAINING));
	assert_null(choose(*state, START));
}

/* Peers tell each other late; an old state must not undo a newer one. */
static void test_old_news_changes_nothing(void **state)
{
	list(*state, "u1", 5, FORWARD_DRAINING);
	assert_false(list(*state, "u1", 4, FORWARD_SERVING));
	assert_false(forward_upstreams_remove(*state, "u1", 4, START));
	assert_null(choose(*state, START));
}

/*
 * The store is away for all, and the entries of upstreams that live lapse.
 * Without the wait, callers would be refused by a whole healthy fleet until the
 * entries are back.
 */
static void test_entries_that_lapsed_get_time_to_come_back(void **state)
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
 * An entry lapsed and a peer, which has not heard of that, tells once more what
 * it knew before. Taken for a sign of life, requests went on to an upstream that
 * had left, and were cut off.
 */
static void test_old_news_does_not_undo_a_lapse(void **state)
{
	list(*state, "u1", 1, FORWARD_SERVING);
	forward_upstreams_store_recovered(*state, START);
	forward_upstreams_remove(*state, "u1", 2, START);
	list(*state, "u1", 1, FORWARD_SERVING);
	forward_upstreams_expire(*state, START + 3 * PD_SEC, on_gone, NULL);
	assert_null(choose(*state, START + 3 * PD_SEC));
	assert_int_equal(gone_count, 1);
}

/* Without an outage before, an entry that goes means an upstream that left. */
static void test_an_entry_that_goes_is_gone_at_once(void **state)
{
	list(*state, "u1", 1, FORWARD_SERVING);
	assert_true(forward_upstreams_remove(*state, "u1", 2, START));
	assert_null(choose(*state, START));
}

/* A watch may lose its past; what the new list lacks has left meanwhile. */
static void test_what_a_new_listing_lacks_is_gone(void **state)
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

/* An upstream that fails twice in a row is left alone while others serve. */
static void test_a_failing_upstream_is_avoided_and_tried_again(void **state)
{
	forward_upstream_t *bad;

	list(*state, "u1", 1, FORWARD_SERVING);
	list(*state, "u2", 2, FORWARD_SERVING);
	bad = forward_upstreams_find(*state, "u1");
	forward_upstream_record_failure(bad, START);
	forward_upstream_record_failure(bad, START);
	forward_upstreams_find(*state, "u2")->running = 3;
	assert_string_equal(choose(*state, START)->id, "u2");
	assert_string_equal(choose(*state, START + 10 * PD_SEC)->id, "u1");
	forward_upstream_record_success(bad);
	assert_string_equal(choose(*state, START)->id, "u1");
}

/*
 * A crashed upstream runs nothing and looks the best by its load. Each request
 * would go there first.
 */
static void test_an_unreachable_upstream_is_left_at_once(void **state)
{
	list(*state, "u1", 1, FORWARD_SERVING);
	list(*state, "u2", 2, FORWARD_SERVING);
	forward_upstream_record_connect_failure(forward_upstreams_find(*state, "u1"),
						START);
	forward_upstreams_find(*state, "u2")->running = 3;
	assert_string_equal(choose(*state, START)->id, "u2");
}

/* What an upstream says itself of its room is newer than what peers told. */
static void test_an_upstream_that_rejected_is_full(void **state)
{
	list(*state, "u1", 1, FORWARD_SERVING);
	forward_upstream_record_rejection(forward_upstreams_find(*state, "u1"),
					  START);
	assert_null(choose(*state, START));
	assert_non_null(choose(*state, START + PD_SEC));
}

static void test_a_full_upstream_is_passed_over(void **state)
{
	list(*state, "u1", 1, FORWARD_SERVING);
	forward_upstreams_find(*state, "u1")->running = 1;
	forward_upstreams_find(*state, "u1")->peers_running = 3;
	assert_null(choose(*state, START));
}

static forward_call_t subject_call(uint64_t subject)
{
	forward_call_t call = {
		.prompt_tokens = 6000,
		.parts = { { 1, 500 }, { subject, 5000 }, { 99, 500 } },
		.part_count = 3
	};

	return call;
}

/*
 * Two entries know nothing of each other's requests. If each sent a subject's
 * requests elsewhere, every upstream would read the same long prompt.
 */
static void test_entries_agree_on_a_subjects_upstream(void **state)
{
	forward_upstreams_t *other = forward_upstreams_create();
	unsigned int moved = 0;

	for (unsigned int i = 0; i < 6; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "u%u", i);
		list(*state, id, i + 1, FORWARD_SERVING);
		g_snprintf(id, sizeof(id), "u%u", 5 - i);
		list(other, id, i + 1, FORWARD_SERVING);
	}
	for (uint64_t subject = 100; subject < 150; subject++) {
		forward_call_t call = subject_call(subject);
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
		moved += strcmp(one.upstream->id, "u0") != 0;
	}
	assert_true(moved > 25); /* the subjects are spread */
	forward_upstreams_destroy(other);
}

/* A shared prompt draws requests only while its upstream has no long queue. */
static void test_a_loaded_home_loses_its_subject(void **state)
{
	forward_call_t call = subject_call(7);
	const forward_criteria_t criteria = { .service = "s",
					      .zone = "a",
					      .call = &call,
					      .has_prompt = true,
					      .overcommit = 1 };
	forward_pick_t home;
	forward_pick_t next;

	list(*state, "u1", 1, FORWARD_SERVING);
	list(*state, "u2", 2, FORWARD_SERVING);
	forward_upstreams_choose(*state, &criteria, START, &home);
	home.upstream->prefill_tokens = 20000;
	forward_upstreams_choose(*state, &criteria, START, &next);
	assert_ptr_not_equal(home.upstream, next.upstream);
}

/*
 * Two gateways hear of the same changes in another order. If their digests
 * differed, each would fetch the whole table from the other, over and over.
 */
static void test_digests_go_by_what_is_known(void **state)
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
 * In a large fleet a request is compared with a few upstreams at random. With
 * nearly all of them full, the one that has room must be found all the same, or
 * callers would be refused beside a free place.
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
 * In a large fleet the upstream that holds what a subject's requests share is
 * loaded. Sent to any other at random, nearly each of them would read thousands
 * of shared tokens anew; one other place that all entries agree on reads them once.
 */
static void test_a_loaded_home_has_a_second(void **state)
{
	forward_call_t call = subject_call(7);
	GRand *random = g_rand_new_with_seed(3);
	const forward_criteria_t all = { .service = "s",
					 .zone = "a",
					 .call = &call,
					 .has_prompt = true,
					 .overcommit = 1 };
	forward_criteria_t few = all;
	forward_upstream_t *home;
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
	home = pick.upstream;
	home->prefill_tokens = 50000;
	for (int i = 0; i < 50; i++) {
		forward_upstreams_choose(*state, &few, START, &pick);
		assert_ptr_not_equal(pick.upstream, home);
		if (!second)
			second = pick.upstream;
		assert_ptr_equal(pick.upstream, second);
		assert_true(pick.uncached_tokens < 1000);
	}
	/* Where loads are known, it is a second place to nobody. */
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

static void list_started_at(forward_upstreams_t *set, uint64_t revision,
			    int64_t start_time_ms)
{
	list_start(set, "u1", revision, FORWARD_SERVING, start_time_ms);
}

/*
 * An upstream crashes and starts again under its id. It has lost the prompts that
 * it had read: believed to hold them still, it draws the requests of subjects
 * that it must read anew; avoided for failures of before, it stands idle.
 */
static void test_one_that_restarted_holds_nothing(void **state)
{
	const forward_call_t call = subject_call(7);
	forward_upstream_t *upstream;
	double fresh;

	list_started_at(*state, 1, 1000);
	upstream = forward_upstreams_find(*state, "u1");
	fresh = forward_upstream_uncached_tokens(upstream, &call, START);
	forward_upstream_record_send(upstream, &call, START);
	forward_upstream_record_connect_failure(upstream, START);
	upstream->peers_running = 3;
	assert_true(forward_upstream_uncached_tokens(upstream, &call, START) <
		    fresh);
	list_started_at(*state, 2, 1000);
	assert_true(forward_upstream_uncached_tokens(upstream, &call, START) <
		    fresh);
	assert_int_equal(upstream->incarnation, 0);
	list_started_at(*state, 3, 2000);
	assert_ptr_equal(forward_upstreams_find(*state, "u1"), upstream);
	assert_int_equal(upstream->incarnation, 1);
	assert_true(forward_upstream_uncached_tokens(upstream, &call, START) ==
		    fresh);
	assert_false(forward_upstream_in_backoff(upstream, START));
	assert_int_equal(upstream->peers_running, 0);
	assert_ptr_equal(choose(*state, START), upstream);
}

/* The same told by a peer in brief, and after the entry had gone in between. */
static void test_a_restart_is_known_by_peers_and_after_a_gap(void **state)
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
		cmocka_unit_test_setup_teardown(test_a_draining_upstream_gets_nothing_new,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_old_news_changes_nothing,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_entries_that_lapsed_get_time_to_come_back,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_old_news_does_not_undo_a_lapse,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_an_entry_that_goes_is_gone_at_once,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_what_a_new_listing_lacks_is_gone,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_a_failing_upstream_is_avoided_and_tried_again,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_an_unreachable_upstream_is_left_at_once,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_an_upstream_that_rejected_is_full,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_full_upstream_is_passed_over,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_entries_agree_on_a_subjects_upstream,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_loaded_home_loses_its_subject,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_digests_go_by_what_is_known,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_sample_finds_the_one_with_room,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_one_that_restarted_holds_nothing,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_restart_is_known_by_peers_and_after_a_gap,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_loaded_home_has_a_second,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
