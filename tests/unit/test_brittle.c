/* Tests how one gateway issues the grants of a brittle upstream. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/forward/brittle.h"
#include "core/hash.h"

#define START (1000 * PD_SEC)
/* Long before START: no other gateway may have issued since. */
#define SINCE (START - 60 * PD_SEC)
#define UPSTREAM 77
#define SLOTS 8
#define REJECTIONS 3

static pd_time_t ran_until;

static int setup(void **state)
{
	ran_until = START;
	*state = brittle_issuer_create();
	return 0;
}

static int teardown(void **state)
{
	brittle_issuer_destroy(*state);
	return 0;
}

/* Asks for a grant on behalf of a gateway; returns whether it was granted. */
static bool ask_since(brittle_issuer_t *issuer, const char *gateway,
		      uint32_t number, pd_time_t since, pd_time_t now)
{
	const brittle_ask_t ask = { gateway, number,	 UPSTREAM,
				    SLOTS,   REJECTIONS, 10 * PD_SEC };
	pd_time_t retry_after = 0;
	bool granted =
		brittle_issuer_request(issuer, &ask, since, now, &retry_after);

	assert_true(granted || retry_after > 0);
	return granted;
}

/* Has the issuer run until a time. */
static void run_until(brittle_issuer_t *issuer, pd_time_t until)
{
	for (; ran_until < until; ran_until += PD_SEC / 2)
		brittle_issuer_run(issuer, ran_until);
}

static bool ask_as(brittle_issuer_t *issuer, const char *gateway,
		   uint32_t number, pd_time_t now)
{
	run_until(issuer, now);
	return ask_since(issuer, gateway, number, SINCE, now);
}

static bool ask(brittle_issuer_t *issuer, uint32_t number, pd_time_t now)
{
	return ask_as(issuer, "g", number, now);
}

static void report(brittle_issuer_t *issuer, uint32_t number,
		   brittle_outcome_t outcome, pd_time_t now)
{
	brittle_issuer_report(issuer, "g", UPSTREAM, number, outcome, now);
}

/* Asks COUNT times and reports each request as admitted; returns how many were granted. */
static unsigned int fill(brittle_issuer_t *issuer, uint32_t first,
			 unsigned int count, pd_time_t now)
{
	unsigned int granted = 0;

	for (uint32_t i = first; i < first + count; i++) {
		if (!ask(issuer, i, now))
			continue;
		granted++;
		report(issuer, i, BRITTLE_ADMITTED, now);
	}
	return granted;
}

/* Guards against more requests at risk than the rejections that the upstream bears. */
static void test_requests_at_risk_are_limited(void **state)
{
	for (uint32_t i = 1; i <= REJECTIONS; i++)
		assert_true(ask(*state, i, START));
	assert_false(ask(*state, 10, START));
	report(*state, 1, BRITTLE_ADMITTED, START);
	assert_true(ask(*state, 11, START));
	assert_false(ask(*state, 12, START));
}

/* Guards against a lost report, after which the rejection would count no more. */
static void test_unreported_requests_count_for_a_while(void **state)
{
	for (uint32_t i = 1; i <= REJECTIONS; i++)
		assert_true(ask(*state, i, START));
	assert_false(ask(*state, 10, START + BRITTLE_GRANT_TTL + PD_SEC));
	assert_true(ask(*state, 11, START + 3 * PD_SEC));
}

/* Guards against rejections in a second of their own beyond those that it bears. */
static void test_rejections_count_for_a_second(void **state)
{
	for (uint32_t i = 1; i <= REJECTIONS; i++) {
		assert_true(ask(*state, i, START));
		report(*state, i, BRITTLE_REJECTED, START + 100 * PD_MSEC);
	}
	assert_false(ask(*state, 10, START + PD_SEC));
	assert_true(ask(*state, 11, START + 1200 * PD_MSEC));
	report(*state, 11, BRITTLE_LOST, START + 1300 * PD_MSEC);
	assert_int_equal(brittle_issuer_stats(*state)->rejected, REJECTIONS);
}

/* Guards against gateways that together exceed what the upstream has room for. */
static void test_running_requests_do_not_exceed_the_slots(void **state)
{
	assert_int_equal(fill(*state, 1, 2 * SLOTS, START), SLOTS);
	assert_false(ask_as(*state, "other", 1, START));
	report(*state, 1, BRITTLE_ENDED, START);
	assert_true(ask_as(*state, "other", 2, START));
}

/* Guards against finding out again and again how few requests an upstream admits. */
static void test_room_is_learned_from_rejections(void **state)
{
	assert_int_equal(fill(*state, 1, 5, START), 5);
	assert_true(ask(*state, 6, START));
	report(*state, 6, BRITTLE_REJECTED, START);
	assert_int_equal(brittle_issuer_room(*state, UPSTREAM), 3);
	assert_false(ask(*state, 7, START + 100 * PD_MSEC));
	report(*state, 1, BRITTLE_ENDED, START + 100 * PD_MSEC);
	report(*state, 2, BRITTLE_ENDED, START + 100 * PD_MSEC);
	assert_false(ask(*state, 8, START + 100 * PD_MSEC));
	report(*state, 3, BRITTLE_ENDED, START + 100 * PD_MSEC);
	assert_true(ask(*state, 9, START + 100 * PD_MSEC));
	/* It is used up without a rejection, so it grows. */
	report(*state, 9, BRITTLE_ADMITTED, START + 200 * PD_MSEC);
	assert_true(ask(*state, 10, START + 2 * PD_SEC));
	assert_int_equal(brittle_issuer_room(*state, UPSTREAM), 4);
}

/* Guards against two gateways that issue the grants of an upstream at the same time. */
static void test_a_new_issuer_waits(void **state)
{
	assert_false(ask_since(*state, "g", 1, START, START));
	assert_false(ask_since(*state, "g", 2, START, START + PD_SEC));
	run_until(*state, START + 3 * PD_SEC);
	assert_true(ask_since(*state, "g", 3, START, START + 3 * PD_SEC));
}

/* Guards against a gateway that goes on issuing when it wakes after another took over. */
static void test_a_stalled_issuer_waits(void **state)
{
	brittle_issuer_run(*state, START);
	assert_true(ask_since(*state, "g", 1, SINCE, START));
	assert_false(ask_since(*state, "g", 2, SINCE, START + 10 * PD_SEC));
	ran_until = START + 10 * PD_SEC;
	run_until(*state, START + 13 * PD_SEC);
	assert_true(ask_since(*state, "g", 3, SINCE, START + 13 * PD_SEC));
}

/* Guards against two sides of a fleet that each cause all rejections. */
static void test_sides_of_a_split_fleet_share(void **state)
{
	brittle_issuer_set_share(*state, 0.7, START);
	assert_true(ask(*state, 1, START));
	assert_true(ask(*state, 2, START));
	assert_false(ask(*state, 3, START));
	brittle_issuer_set_share(*state, 1, START);
	assert_false(ask(*state, 4, START));
	brittle_issuer_set_share(*state, 1, START + 10 * PD_SEC);
	for (uint32_t i = 5; i < 5 + REJECTIONS; i++)
		assert_true(ask(*state, i, START + 10 * PD_SEC));
	/* A small side does not stop to serve. */
	brittle_issuer_set_share(*state, 0.01, START + 20 * PD_SEC);
	assert_true(ask(*state, 10, START + 20 * PD_SEC));
	assert_false(ask(*state, 11, START + 20 * PD_SEC));
}

/* Guards against slots that stay taken by a gateway that was killed. */
static void test_requests_of_a_gateway_that_restarted_end(void **state)
{
	assert_int_equal(fill(*state, 1, SLOTS, START), SLOTS);
	brittle_issuer_remove_gateway(*state, "other", START);
	assert_false(ask(*state, 20, START));
	brittle_issuer_remove_gateway(*state, "g", START);
	assert_true(ask(*state, 21, START));
}

/* Guards against slots that stay taken when the report of the end is lost. */
static void test_requests_end_after_their_deadline(void **state)
{
	assert_int_equal(fill(*state, 1, SLOTS, START), SLOTS);
	assert_false(ask(*state, 20, START + 9 * PD_SEC));
	assert_true(ask(*state, 21, START + 11 * PD_SEC));
}

/* Guards against the loss of a gateway that changes the issuer of all upstreams. */
static void test_issuers_change_for_few_upstreams(void **state)
{
	uint64_t hashes[6];
	unsigned int counts[6] = { 0 };
	unsigned int changed = 0;

	(void)state;
	for (unsigned int i = 0; i < 6; i++)
		hashes[i] = hash_number(i + 1);
	for (uint64_t upstream = 0; upstream < 600; upstream++) {
		uint64_t hash = hash_number(upstream + 100);
		unsigned int issuer = brittle_find_issuer(hash, hashes, 6);

		counts[issuer]++;
		changed += issuer < 5 &&
			   brittle_find_issuer(hash, hashes, 5) != issuer;
	}
	assert_int_equal(changed, 0);
	for (unsigned int i = 0; i < 6; i++)
		assert_in_range(counts[i], 60, 140);
}

int main(void)
{
#define BRITTLE_TEST(name) \
	cmocka_unit_test_setup_teardown(name, setup, teardown)
	const struct CMUnitTest tests[] = {
		BRITTLE_TEST(test_requests_at_risk_are_limited),
		BRITTLE_TEST(test_unreported_requests_count_for_a_while),
		BRITTLE_TEST(test_rejections_count_for_a_second),
		BRITTLE_TEST(test_running_requests_do_not_exceed_the_slots),
		BRITTLE_TEST(test_room_is_learned_from_rejections),
		BRITTLE_TEST(test_a_new_issuer_waits),
		BRITTLE_TEST(test_a_stalled_issuer_waits),
		BRITTLE_TEST(test_sides_of_a_split_fleet_share),
		BRITTLE_TEST(test_requests_of_a_gateway_that_restarted_end),
		BRITTLE_TEST(test_requests_end_after_their_deadline),
		BRITTLE_TEST(test_issuers_change_for_few_upstreams),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
