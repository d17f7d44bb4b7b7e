/* Tests of the journal of streams and of its slices in the store. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "adapters/gateway/stream_slices.h"

#define T0 (1000 * PD_SEC)
#define WALL (70000 * PD_SEC)
#define TTL (30 * PD_SEC)
#define OLD 11 /* version ids */
#define NEW 0xfedcba9876543210
#define OTHER 13 /* of a service with one version */

typedef struct fixture {
	stream_journal_t *journal;
	stream_versions_t *streams;
} fixture_t;

/* Returns the slice of a time. */
static const stream_slice_t *slice_at(const fixture_t *fixture, pd_time_t wall)
{
	return stream_journal_slice(fixture->journal,
				    (unsigned int)(wall / STREAM_SLICE_LENGTH %
						   STREAM_SLICES));
}

/* Has a service with two versions serve, and one with one. */
static int setup(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->journal = stream_journal_create();
	fixture->streams = stream_versions_create(TTL, T0);
	stream_versions_record_first(fixture->streams);
	stream_versions_record_serving(fixture->streams, "s", OLD, T0);
	stream_versions_record_serving(fixture->streams, "s", NEW, T0);
	stream_versions_record_serving(fixture->streams, "t", OTHER, T0);
	*state = fixture;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *fixture = *state;

	stream_journal_destroy(fixture->journal);
	stream_versions_destroy(fixture->streams);
	g_free(fixture);
	return 0;
}

/* Adds a stream to the journal. */
static void add(const fixture_t *fixture, uint64_t attempt, uint64_t version_id,
		pd_time_t wall)
{
	stream_journal_add(fixture->journal,
			   &(stream_record_t){ attempt, version_id }, wall);
}

/* Merges TEXT into new tables, and returns the version of an attempt there. */
static uint64_t merged_version(const char *text, uint64_t attempt)
{
	stream_journal_t *journal = stream_journal_create();
	stream_versions_t *streams = stream_versions_create(TTL, T0);
	uint64_t version_id;
	pd_error_t err;

	assert_int_equal(stream_slice_merge(text, journal, streams, T0, WALL, &err),
			 0);
	version_id = stream_versions_find(streams, attempt);
	stream_journal_destroy(journal);
	stream_versions_destroy(streams);
	return version_id;
}

static void test_slice_has_streams_of_services_with_several_versions(void **state)
{
	const fixture_t *fixture = *state;
	char *text;

	add(fixture, 1, OTHER, WALL);
	assert_null(stream_slice_encode(slice_at(fixture, WALL),
					fixture->streams, T0));
	add(fixture, 2, OLD, WALL);
	add(fixture, 3, NEW, WALL);
	text = stream_slice_encode(slice_at(fixture, WALL), fixture->streams, T0);
	assert_non_null(text);
	assert_int_equal(merged_version(text, 1), 0);
	assert_int_equal(merged_version(text, 2), OLD);
	assert_int_equal(merged_version(text, 3), NEW);
	g_free(text);
}

/* Guards against the loss of streams that began before the second version came. */
static void test_streams_of_before_the_second_version_are_written(void **state)
{
	const fixture_t *fixture = *state;
	char *text;

	add(fixture, 1, OTHER, WALL);
	stream_versions_record_serving(fixture->streams, "t", OTHER + 1, T0);
	text = stream_slice_encode(slice_at(fixture, WALL), fixture->streams, T0);
	assert_int_equal(merged_version(text, 1), OTHER);
	g_free(text);
}

/* Guards against objects and memory that grow with the load. */
static void test_slices_are_bounded_and_replaced(void **state)
{
	const fixture_t *fixture = *state;
	char *text;

	for (uint64_t i = 1; i <= STREAM_SLICE_RECORDS_MAX + 5; i++)
		add(fixture, i, OLD, WALL);
	assert_int_equal(g_hash_table_size(slice_at(fixture, WALL)->versions),
			 STREAM_SLICE_RECORDS_MAX);
	assert_int_equal(stream_journal_dropped(fixture->journal), 5);
	text = stream_slice_encode(slice_at(fixture, WALL), fixture->streams, T0);
	assert_true(strlen(text) < 24 * 1024);
	g_free(text);
	add(fixture, 7, NEW, WALL + STREAM_SLICES * STREAM_SLICE_LENGTH);
	add(fixture, 8, NEW, WALL); /* late */
	assert_int_equal(g_hash_table_size(slice_at(fixture, WALL)->versions), 1);
}

/* Guards against slices that others wrote and that are lost in the next write. */
static void test_slice_of_another_gateway_is_joined(void **state)
{
	const fixture_t *fixture = *state;
	pd_error_t err;
	char *text;

	add(fixture, 1, OLD, WALL);
	text = stream_slice_encode(slice_at(fixture, WALL), fixture->streams, T0);
	stream_journal_destroy(fixture->journal);
	((fixture_t *)*state)->journal = stream_journal_create();
	add(fixture, 2, NEW, WALL);
	assert_int_equal(stream_slice_merge(text, fixture->journal,
					    fixture->streams, T0, WALL, &err),
			 0);
	g_free(text);
	text = stream_slice_encode(slice_at(fixture, WALL), fixture->streams, T0);
	assert_int_equal(merged_version(text, 1), OLD);
	assert_int_equal(merged_version(text, 2), NEW);
	g_free(text);
}

/* Guards against a slice of the future that keeps those of the present out. */
static void test_malformed_slices_change_nothing(void **state)
{
	static const char *const malformed[] = {
		"{\"format\":2,\"slice\":8,\"versions\":{\"b\":\"AQAAAAAAAAA="
		"\"}}",
		"{\"format\":1,\"slice\":-8,\"versions\":{\"b\":\"AQAAAAAAAAA="
		"\"}}",
		"{\"format\":1,\"slice\":\"8\",\"versions\":{\"b\":"
		"\"AQAAAAAAAAA=\"}}",
		"{\"format\":1,\"slice\":8,\"versions\":[7]}",
		"[]",
		"{\"format\":1,\"sli",
	};
	const fixture_t *fixture = *state;
	pd_error_t err;

	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
		assert_int_equal(stream_slice_merge(malformed[i], fixture->journal,
						    fixture->streams, T0, WALL,
						    &err),
				 -1);
	assert_int_equal(stream_slice_merge(
				 "{\"format\":1,\"slice\":9000000000000000,"
				 "\"versions\":{\"x\":\"AQAAAAAAAAA=\",\"-1\":"
				 "\"AQAAAAAAAAA=\",\"b\":[1],\"c\":\"AQ\"}}",
				 fixture->journal, fixture->streams, T0, WALL, &err),
			 0);
	assert_int_equal(stream_versions_find(fixture->streams, 1), 0);
	add(fixture, 2, OLD, WALL);
	assert_int_equal(g_hash_table_size(slice_at(fixture, WALL)->versions), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_slice_has_streams_of_services_with_several_versions,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_streams_of_before_the_second_version_are_written,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_slices_are_bounded_and_replaced,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_slice_of_another_gateway_is_joined,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_malformed_slices_change_nothing,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
