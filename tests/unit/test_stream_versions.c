/* Tests of the software versions that began streams. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/forward/choice.h"
#include "core/forward/stream_versions.h"

#define T0 (1000 * PD_SEC)
#define TTL (30 * PD_SEC)
#define OLD 11 /* version ids */
#define NEW 12
#define SERVICE "s"

static int setup(void **state)
{
	*state = stream_versions_create(TTL, T0);
	return 0;
}

static int teardown(void **state)
{
	stream_versions_destroy(*state);
	return 0;
}

static void test_version_of_attempt_is_found(void **state)
{
	stream_versions_t *streams = *state;
	uint64_t attempt = stream_versions_hash("a");

	assert_int_equal(stream_versions_find(streams, attempt), 0);
	stream_versions_record(streams, attempt, OLD, T0);
	assert_int_equal(stream_versions_find(streams, attempt), OLD);
	assert_int_equal(stream_versions_find(streams, stream_versions_hash("b")),
			 0);
}

/* Guards against memory that grows with the streams of a day. */
static void test_streams_are_forgotten_after_their_time(void **state)
{
	stream_versions_t *streams = *state;

	stream_versions_record(streams, 1, OLD, T0);
	stream_versions_record(streams, 2, OLD, T0 + TTL);
	assert_int_equal(stream_versions_find(streams, 1), OLD);
	stream_versions_record(streams, 3, OLD, T0 + 2 * TTL);
	assert_int_equal(stream_versions_find(streams, 1), 0);
	assert_int_equal(stream_versions_find(streams, 2), OLD);
	for (uint64_t i = 10; i < 1000000; i++)
		stream_versions_record(streams, i, OLD, T0 + 2 * TTL);
	assert_int_equal(stream_versions_find(streams, 2), 0);
	assert_int_equal(stream_versions_find(streams, 999999), OLD);
}

static void test_records_are_sent_once_and_merged(void **state)
{
	stream_versions_t *streams = *state;
	stream_versions_t *other = stream_versions_create(TTL, T0);
	stream_record_t records[4];

	stream_versions_record(streams, 1, OLD, T0);
	stream_versions_record(streams, 2, NEW, T0);
	assert_true(stream_versions_is_unsent(streams, 1));
	assert_int_equal(stream_versions_take_unsent(streams, records, 4), 2);
	assert_false(stream_versions_is_unsent(streams, 1));
	assert_int_equal(stream_versions_take_unsent(streams, records, 4), 0);
	stream_versions_merge(other, &records[0], T0);
	stream_versions_merge(other, &records[1], T0);
	assert_int_equal(stream_versions_find(other, 1), OLD);
	assert_int_equal(stream_versions_find(other, 2), NEW);
	assert_false(stream_versions_is_unsent(other, 1));
	stream_versions_destroy(other);
}

/* Guards against a stream that goes on at one of two versions that were recorded. */
static void test_records_that_differ_name_no_version(void **state)
{
	stream_versions_t *streams = *state;
	const stream_record_t unknown = { 1, FORWARD_VERSION_UNKNOWN };
	const stream_record_t old = { 1, OLD };
	const stream_record_t new = { 1, NEW };

	stream_versions_merge(streams, &unknown, T0);
	assert_int_equal(stream_versions_find(streams, 1), FORWARD_VERSION_UNKNOWN);
	stream_versions_merge(streams, &old, T0);
	stream_versions_merge(streams, &old, T0);
	assert_int_equal(stream_versions_find(streams, 1), OLD);
	stream_versions_merge(streams, &new, T0);
	assert_int_equal(stream_versions_find(streams, 1), STREAM_VERSION_DISPUTED);
	stream_versions_merge(streams, &old, T0);
	assert_int_equal(stream_versions_find(streams, 1), STREAM_VERSION_DISPUTED);
}

/* Guards against an unknown stream that goes on at a version that served too late. */
static void test_only_version_is_known_after_time_of_streams(void **state)
{
	stream_versions_t *streams = *state;

	stream_versions_record_serving(streams, SERVICE, NEW, T0);
	assert_int_equal(stream_versions_sole(streams, SERVICE, T0), 0);
	stream_versions_record_serving(streams, SERVICE, NEW, T0 + TTL);
	assert_int_equal(stream_versions_sole(streams, SERVICE, T0 + TTL), NEW);
	assert_int_equal(stream_versions_sole(streams, "other", T0 + TTL), 0);
}

static void test_two_versions_are_ambiguous_until_one_is_gone_for_long(void **state)
{
	stream_versions_t *streams = *state;
	pd_time_t gone_at = T0 + 2 * TTL;

	stream_versions_record_serving(streams, SERVICE, OLD, gone_at);
	stream_versions_record_serving(streams, SERVICE, NEW, gone_at + TTL);
	assert_int_equal(stream_versions_sole(streams, SERVICE, gone_at + TTL), 0);
	stream_versions_record_serving(streams, SERVICE, NEW, gone_at + TTL + 1);
	assert_int_equal(stream_versions_sole(streams, SERVICE, gone_at + TTL + 1),
			 NEW);
}

/* Guards against the refusal of all unknown streams for long after each start. */
static void test_only_version_is_restored(void **state)
{
	stream_versions_t *streams = *state;

	stream_versions_restore_sole(streams, SERVICE, OLD, T0);
	assert_int_equal(stream_versions_sole(streams, SERVICE, T0), OLD);
	stream_versions_record_serving(streams, SERVICE, NEW, T0);
	assert_int_equal(stream_versions_sole(streams, SERVICE, T0), 0);
}

/* Guards against a shorter timeout for which streams that run longer are forgotten. */
static void test_longer_streams_count_after_their_timeout_was_shortened(void **state)
{
	stream_versions_t *streams = *state;
	pd_time_t now = T0 + 10 * TTL;

	stream_versions_set_ttl(streams, 4 * TTL, T0);
	stream_versions_record_serving(streams, SERVICE, OLD, now);
	stream_versions_set_ttl(streams, TTL, now);
	now += 2 * TTL;
	stream_versions_record_serving(streams, SERVICE, NEW, now);
	assert_int_equal(stream_versions_sole(streams, SERVICE, now), 0);
	now += 3 * TTL;
	stream_versions_record_serving(streams, SERVICE, NEW, now);
	stream_versions_record_serving(streams, SERVICE, OLD, now);
	now += TTL + 1;
	stream_versions_record_serving(streams, SERVICE, NEW, now);
	assert_int_equal(stream_versions_sole(streams, SERVICE, now), NEW);
}

static void test_first_gateways_know_all_versions(void **state)
{
	stream_versions_t *first = stream_versions_create(TTL, T0);

	(void)state;
	stream_versions_record_first(first);
	stream_versions_record_serving(first, SERVICE, OLD, T0);
	assert_int_equal(stream_versions_sole(first, SERVICE, T0), OLD);
	stream_versions_destroy(first);
}

/* Registers an upstream of a version. */
static void add_upstream(forward_upstreams_t *set, const char *id,
			 const char *version, uint64_t revision)
{
	const forward_registration_t registration = {
		.id = id,
		.service = SERVICE,
		.address = "127.0.0.1",
		.port = 9,
		.zone = "a",
		.version = version,
		.slots = 8,
		.revision = revision,
	};

	forward_upstreams_apply(set, &registration);
}

/* Guards against a choice, also from a sample, of an upstream of another version. */
static void test_choice_is_among_upstreams_of_the_version(void **state)
{
	forward_upstreams_t *set = forward_upstreams_create();
	forward_call_t *call = forward_call_create();
	GRand *random = g_rand_new_with_seed(1);
	forward_criteria_t criteria = { .service = SERVICE,
					.zone = "a",
					.call = call,
					.overcommit = 1,
					.random = random };
	forward_pick_t pick;

	(void)state;
	for (unsigned int i = 0; i < 20; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "u%u", i);
		add_upstream(set, id, i == 7 ? "v1" : "v2", i + 1);
	}
	criteria.version_id = forward_upstreams_find(set, "u7")->version_id;
	for (unsigned int i = 0; i < 50; i++) {
		criteria.sample_size = i % 2;
		assert_int_equal(forward_upstreams_choose(set, &criteria, T0, &pick),
				 FORWARD_CHOSEN);
		assert_string_equal(pick.upstream->id, "u7");
	}
	assert_true(forward_upstreams_has_version(set, SERVICE,
						  criteria.version_id));
	forward_upstreams_remove(set, "u7", 100, T0);
	assert_int_equal(forward_upstreams_choose(set, &criteria, T0, &pick),
			 FORWARD_NONE_LEFT);
	assert_false(forward_upstreams_has_version(set, SERVICE,
						   criteria.version_id));
	g_rand_free(random);
	forward_call_destroy(call);
	forward_upstreams_destroy(set);
}

/* Guards against versions of the same name of two services that are taken for one. */
static void test_version_id_is_of_service_and_version(void **state)
{
	forward_upstreams_t *set = forward_upstreams_create();
	forward_registration_t other = { .id = "o",
					 .service = "t",
					 .address = "127.0.0.1",
					 .port = 9,
					 .zone = "a",
					 .version = "v1",
					 .slots = 8,
					 .revision = 5 };

	(void)state;
	add_upstream(set, "u1", "v1", 1);
	add_upstream(set, "u2", "v1", 2);
	add_upstream(set, "u3", "v2", 3);
	forward_upstreams_apply(set, &other);
	assert_true(forward_upstreams_find(set, "u1")->version_id ==
		    forward_upstreams_find(set, "u2")->version_id);
	assert_true(forward_upstreams_find(set, "u1")->version_id !=
		    forward_upstreams_find(set, "u3")->version_id);
	assert_true(forward_upstreams_find(set, "u1")->version_id !=
		    forward_upstreams_find(set, "o")->version_id);
	forward_upstreams_destroy(set);
}

/* Guards against versions that stay unknown as a peer of an earlier build sent none. */
static void test_missing_version_is_filled_in(void **state)
{
	forward_upstreams_t *set = forward_upstreams_create();
	uint64_t version_id;

	(void)state;
	add_upstream(set, "u1", "v1", 1);
	version_id = forward_upstreams_find(set, "u1")->version_id;
	add_upstream(set, "u2", NULL, 2);
	assert_true(forward_upstreams_find(set, "u2")->version_id != version_id);
	add_upstream(set, "u2", "v1", 2);
	assert_true(forward_upstreams_find(set, "u2")->version_id == version_id);
	forward_upstreams_destroy(set);
}

/* Guards against versions that came and went while nothing could be read. */
static void test_only_version_is_unknown_after_a_gap(void **state)
{
	stream_versions_t *streams = *state;
	pd_time_t gap = T0 + 2 * TTL;

	stream_versions_record_serving(streams, SERVICE, OLD, gap);
	assert_int_equal(stream_versions_sole(streams, SERVICE, gap), OLD);
	stream_versions_lose_history(streams, gap);
	stream_versions_record_serving(streams, SERVICE, OLD, gap + TTL);
	assert_int_equal(stream_versions_sole(streams, SERVICE, gap + 1), 0);
	assert_int_equal(stream_versions_sole(streams, SERVICE, gap + TTL), OLD);
	stream_versions_restore_sole(streams, SERVICE, OLD, gap + TTL);
	stream_versions_lose_history(streams, gap + TTL);
	assert_int_equal(stream_versions_sole(streams, SERVICE, gap + TTL), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_version_of_attempt_is_found,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_streams_are_forgotten_after_their_time,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_records_that_differ_name_no_version,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_records_are_sent_once_and_merged,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_only_version_is_known_after_time_of_streams,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_two_versions_are_ambiguous_until_one_is_gone_for_long,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_only_version_is_restored,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_longer_streams_count_after_their_timeout_was_shortened,
			setup, teardown),
		cmocka_unit_test(test_first_gateways_know_all_versions),
		cmocka_unit_test(test_choice_is_among_upstreams_of_the_version),
		cmocka_unit_test(test_version_id_is_of_service_and_version),
		cmocka_unit_test(test_missing_version_is_filled_in),
		cmocka_unit_test_setup_teardown(test_only_version_is_unknown_after_a_gap,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
