/*
 * Tests of the checkpoint's encoding: the record read at a start, and usage
 * counts.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "adapters/gateway/checkpoint_record.h"
#include "adapters/gateway/usage_table.h"

#define INCARNATIONS 300
#define ACCOUNTS 40
#define ACCOUNTS_IN_FLIGHT 4 /* per gateway */
#define FLEET_BYTES_MAX 40000 /* of one window of a fleet of that size */

static void test_record_round_trip(void **state)
{
	checkpoint_record_t *record = checkpoint_record_create();
	checkpoint_record_t *read;
	pd_error_t err;
	char *text;
	char *again;
	char *stamped;

	(void)state;
	record->fleet_size = 63;
	record->leader = g_strdup("g5");
	record->previous_write_at = 3 * PD_SEC;
	checkpoint_record_add_account(record, "mill", -500, 9000);
	checkpoint_record_add_clock(record, "g1", -2500 * PD_MSEC);
	checkpoint_record_add_version(record, "s", 0xfedcba9876543210);
	checkpoint_record_add_speed(record, 0xfedcba98, -7);
	checkpoint_record_add_speed(record, 3, 2);
	text = checkpoint_record_format(record);
	stamped = checkpoint_record_stamp(text, 7 * PD_SEC);
	read = checkpoint_record_parse(stamped, &err);
	assert_int_equal(read->written_at, 7 * PD_SEC);
	assert_int_equal(read->previous_write_at, 3 * PD_SEC);
	again = checkpoint_record_format(read);
	assert_string_equal(again, text);
	assert_int_equal(read->fleet_size, 63);
	assert_string_equal(read->leader, "g5");
	assert_true(g_array_index(read->accounts, account_record_t, 0).level ==
		    -500);
	assert_true(g_array_index(read->accounts, account_record_t, 0).demand ==
		    9000);
	assert_string_equal(g_array_index(read->versions, version_record_t, 0).service,
			    "s");
	assert_true(g_array_index(read->versions, version_record_t, 0).version_id ==
		    0xfedcba9876543210);
	assert_string_equal(g_array_index(read->clocks, clock_record_t, 0).node,
			    "g1");
	assert_int_equal(g_array_index(read->clocks, clock_record_t, 0).offset,
			 -2500 * PD_MSEC);
	assert_int_equal(read->speeds->len, 2);
	for (guint i = 0; i < 2; i++) {
		const speed_record_t *speed =
			&g_array_index(read->speeds, speed_record_t, i);

		assert_true((speed->short_id == 0xfedcba98 && speed->level == -7) ||
			    (speed->short_id == 3 && speed->level == 2));
	}
	checkpoint_record_destroy(record);
	checkpoint_record_destroy(read);
	g_free(text);
	g_free(again);
	g_free(stamped);
}

/* Guards against clock offsets that are no numbers or out of range. */
static void test_invalid_clock_offsets_are_ignored(void **state)
{
	pd_error_t err;
	checkpoint_record_t *record = checkpoint_record_parse(
		"{\"gateways\":6,\"accounts\":{},\"clocks\":{\"g0\":\"5\","
		"\"g1\":9223372036854775807,\"g2\":-9223372036854775808}}",
		&err);

	(void)state;
	assert_non_null(record);
	assert_int_equal(record->clocks->len, 0);
	checkpoint_record_destroy(record);
	record = checkpoint_record_parse("{\"gateways\":6,\"clocks\":[7]}", &err);
	assert_non_null(record);
	assert_int_equal(record->clocks->len, 0);
	checkpoint_record_destroy(record);
}

/* Guards against levels and ids of upstreams that are of another type or out of range. */
static void test_invalid_speeds_are_ignored(void **state)
{
	static const char *const invalid[] = {
		"{\"speeds\":{\"9f\":8}}",
		"{\"speeds\":{\"9f\":-8}}",
		"{\"speeds\":{\"9f\":9223372036854775807}}",
		"{\"speeds\":{\"9f\":\"2\"}}",
		"{\"speeds\":{\"9f\":null}}",
		"{\"speeds\":{\"9f\":1.5}}",
		"{\"speeds\":{\"\":2}}",
		"{\"speeds\":{\"u9\":2}}",
		"{\"speeds\":{\"9fx\":2}}",
		"{\"speeds\":{\"-1\":2}}",
		"{\"speeds\":{\"10000009f\":2}}",
		"{\"speeds\":[2]}",
		"{\"speeds\":7}",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		pd_error_t err;
		checkpoint_record_t *record =
			checkpoint_record_parse(invalid[i], &err);

		assert_non_null(record);
		if (record->speeds->len)
			fail_msg("%s", invalid[i]);
		checkpoint_record_destroy(record);
	}
}

static void add_to_sum(void *ctx, const char *account, uint64_t sum)
{
	(void)account;
	*(uint64_t *)ctx += sum;
}

static uint64_t window_sum(const usage_t *usage, int64_t window)
{
	uint64_t sum = 0;

	usage_each_sum(usage, window, add_to_sum, &sum);
	return sum;
}

static void merge_count(usage_t *usage, int64_t window, uint64_t incarnation_id,
			const char *account, uint64_t count)
{
	const usage_entry_t entry = { window, incarnation_id, account, count };

	usage_merge(usage, &entry);
}

static void test_counts_round_trip(void **state)
{
	usage_t *usage = usage_create("g0#1");
	usage_t *read = usage_create("g0#2");
	usage_inflight_t *inflight = usage_inflight_create();
	char *text;
	pd_error_t err;

	(void)state;
	usage_increment(usage, 7, "mill");
	merge_count(usage, 7, UINT64_MAX, "mill", 1000);
	merge_count(usage, 7, 5, "gin \"\\", 20);
	merge_count(usage, 8, 5, "gin \"\\", 3);
	merge_count(usage, 6, 5, "mill", 9);
	text = usage_table_encode(usage, inflight, 7);
	assert_int_equal(usage_table_merge(text, read, inflight, &err), 0);
	assert_int_equal(usage_table_merge(text, read, inflight, &err), 0);
	assert_int_equal(window_sum(read, 7), 1021);
	assert_int_equal(window_sum(read, 8), 3);
	assert_int_equal(window_sum(read, 6), 0);
	g_free(text);
	usage_destroy(usage);
	usage_destroy(read);
	usage_inflight_destroy(inflight);
}

/* Guards against a checkpoint that fills the links of a fleet of hundreds. */
static void test_counts_of_large_fleet_are_small(void **state)
{
	usage_t *usage = usage_create("g0#1");
	usage_inflight_t *inflight = usage_inflight_create();
	char *text;

	(void)state;
	for (uint64_t id = 0; id < INCARNATIONS; id++) {
		for (uint64_t i = 0; i < ACCOUNTS; i += 2) {
			char account[16];

			g_snprintf(account, sizeof(account), "account-%u",
				   (unsigned int)i);
			merge_count(usage, 353445120, id << 40, account, 2);
		}
	}
	text = usage_table_encode(usage, inflight, 0);
	assert_true(strlen(text) < FLEET_BYTES_MAX);
	g_free(text);
	usage_destroy(usage);
	usage_inflight_destroy(inflight);
}

/*
 * Guards against in-flight snapshots that take more bandwidth than the counts.
 */
static void test_snapshots_of_large_fleet_are_small(void **state)
{
	usage_t *usage = usage_create("g0#1");
	usage_inflight_t *inflight = usage_inflight_create();
	char *text;

	(void)state;
	for (uint64_t id = 0; id < INCARNATIONS; id++) {
		inflight_snapshot_t *snapshot = inflight_snapshot_create(id << 40);

		snapshot->boot_time = 1772338322000 * PD_MSEC;
		snapshot->started_at = 94107805 * PD_MSEC;
		snapshot->taken_at = 94107905 * PD_MSEC;
		snapshot->window = 353445120;
		for (int i = 0; i < ACCOUNTS_IN_FLIGHT; i++) {
			char account[16];

			g_snprintf(account, sizeof(account), "account-%d", i);
			inflight_snapshot_add(snapshot, account, 200);
		}
		usage_inflight_update(inflight, snapshot);
	}
	text = usage_table_encode(usage, inflight, 0);
	assert_true(strlen(text) < FLEET_BYTES_MAX);
	g_free(text);
	usage_destroy(usage);
	usage_inflight_destroy(inflight);
}

/*
 * Guards against a checkpoint of another program that stops a gateway or is
 * accepted.
 */
static void test_invalid_table_is_rejected(void **state)
{
	static const struct {
		const char *text;
		pd_error_kind_t kind;
	} cases[] = {
		{ "", PD_ERROR_INPUT },
		{ "[]", PD_ERROR_INPUT },
		{ "{\"format\":2,\"counts\":\"kZA=\"}", PD_ERROR_VERSION },
		{ "{\"windows\":{\"7\":{\"mill\":8}}}", PD_ERROR_VERSION },
		{ "{\"format\":1}", PD_ERROR_VERSION },
		{ "{\"format\":1,\"counts\":\"\"}", PD_ERROR_INPUT },
		{ "{\"format\":1,\"counts\":\"3f////8=\"}", PD_ERROR_INPUT },
		{ "{\"format\":1,\"counts\":\"kZA=\",\"in_flight\":\"\"}",
		  PD_ERROR_INPUT },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		usage_t *usage = usage_create("g0#1");
		usage_inflight_t *inflight = usage_inflight_create();
		pd_error_t err;

		pd_error_clear(&err);
		assert_int_equal(usage_table_merge(cases[i].text, usage,
						   inflight, &err),
				 -1);
		assert_int_equal(err.kind, cases[i].kind);
		usage_destroy(usage);
		usage_inflight_destroy(inflight);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_record_round_trip),
		cmocka_unit_test(test_invalid_clock_offsets_are_ignored),
		cmocka_unit_test(test_invalid_speeds_are_ignored),
		cmocka_unit_test(test_counts_round_trip),
		cmocka_unit_test(test_counts_of_large_fleet_are_small),
		cmocka_unit_test(test_snapshots_of_large_fleet_are_small),
		cmocka_unit_test(test_invalid_table_is_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
