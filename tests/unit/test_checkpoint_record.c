/* The checkpoint as text: the record that a start reads, and the counts of usage. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "adapters/gateway/checkpoint_record.h"
#include "adapters/gateway/usage_table.h"

#define STARTS 300
#define ACCOUNTS 40
#define ACCOUNTS_IN_FLIGHT 4 /* of a gateway */
#define FLEET_BYTES_MAX 40000 /* of one window of a fleet of that size */

static void test_a_record_survives_the_round_trip(void **state)
{
	checkpoint_record_t *record = checkpoint_record_create();
	checkpoint_record_t *read;
	pd_error_t err;
	char *text;
	char *again;
	char *stamped;

	(void)state;
	record->gateways = 63;
	record->leader = g_strdup("g5");
	record->before = 3 * PD_SEC;
	checkpoint_record_account(record, "mill", -500, 9000);
	checkpoint_record_clock(record, "g1", -2500 * PD_MSEC);
	text = checkpoint_record_write(record);
	stamped = checkpoint_record_stamp(text, 7 * PD_SEC);
	read = checkpoint_record_read(stamped, &err);
	assert_int_equal(read->written_at, 7 * PD_SEC);
	assert_int_equal(read->before, 3 * PD_SEC);
	again = checkpoint_record_write(read);
	assert_string_equal(again, text);
	assert_int_equal(read->gateways, 63);
	assert_string_equal(read->leader, "g5");
	assert_true(g_array_index(read->accounts, account_record_t, 0).level ==
		    -500);
	assert_true(g_array_index(read->accounts, account_record_t, 0).demand ==
		    9000);
	assert_string_equal(g_array_index(read->clocks, clock_record_t, 0).node,
			    "g1");
	assert_int_equal(g_array_index(read->clocks, clock_record_t, 0).offset,
			 -2500 * PD_MSEC);
	checkpoint_record_destroy(record);
	checkpoint_record_destroy(read);
	g_free(text);
	g_free(again);
	g_free(stamped);
}

/* Guards against offsets of clocks that are no numbers, or beyond all reason. */
static void test_offsets_of_no_sense_are_left_out(void **state)
{
	pd_error_t err;
	checkpoint_record_t *record = checkpoint_record_read(
		"{\"gateways\":6,\"accounts\":{},\"clocks\":{\"g0\":\"5\","
		"\"g1\":9223372036854775807,\"g2\":-9223372036854775808}}",
		&err);

	(void)state;
	assert_non_null(record);
	assert_int_equal(record->clocks->len, 0);
	checkpoint_record_destroy(record);
	record = checkpoint_record_read("{\"gateways\":6,\"clocks\":[7]}", &err);
	assert_non_null(record);
	assert_int_equal(record->clocks->len, 0);
	checkpoint_record_destroy(record);
}

static void add_up(void *ctx, const char *account, uint64_t sum)
{
	(void)account;
	*(uint64_t *)ctx += sum;
}

static uint64_t sum_of(const usage_t *usage, int64_t window)
{
	uint64_t sum = 0;

	usage_each_sum(usage, window, add_up, &sum);
	return sum;
}

static void merge(usage_t *usage, int64_t window, uint64_t start,
		  const char *account, uint64_t count)
{
	const usage_entry_t entry = { window, start, account, count };

	usage_merge(usage, &entry);
}

static void test_counts_survive_the_round_trip(void **state)
{
	usage_t *usage = usage_create("g0#1");
	usage_t *read = usage_create("g0#2");
	usage_inflight_t *inflight = usage_inflight_create();
	char *text;
	pd_error_t err;

	(void)state;
	usage_increment(usage, 7, "mill");
	merge(usage, 7, UINT64_MAX, "mill", 1000);
	merge(usage, 7, 5, "gin \"\\", 20);
	merge(usage, 8, 5, "gin \"\\", 3);
	merge(usage, 6, 5, "mill", 9);
	text = usage_table_write(usage, inflight, 7);
	assert_int_equal(usage_table_merge(text, read, inflight, &err), 0);
	assert_int_equal(usage_table_merge(text, read, inflight, &err), 0);
	assert_int_equal(sum_of(read, 7), 1021);
	assert_int_equal(sum_of(read, 8), 3);
	assert_int_equal(sum_of(read, 6), 0);
	g_free(text);
	usage_destroy(usage);
	usage_destroy(read);
	usage_inflight_destroy(inflight);
}

/* Guards against a checkpoint that fills the links of a fleet of hundreds. */
static void test_counts_of_a_large_fleet_are_small(void **state)
{
	usage_t *usage = usage_create("g0#1");
	usage_inflight_t *inflight = usage_inflight_create();
	char *text;

	(void)state;
	for (uint64_t start = 0; start < STARTS; start++) {
		for (uint64_t i = 0; i < ACCOUNTS; i += 2) {
			char account[16];

			g_snprintf(account, sizeof(account), "account-%u",
				   (unsigned int)i);
			merge(usage, 353445120, start << 40, account, 2);
		}
	}
	text = usage_table_write(usage, inflight, 0);
	assert_true(strlen(text) < FLEET_BYTES_MAX);
	g_free(text);
	usage_destroy(usage);
	usage_inflight_destroy(inflight);
}

/* Guards against requests in flight that take more of a link than the counts do. */
static void test_flights_of_a_large_fleet_are_small(void **state)
{
	usage_t *usage = usage_create("g0#1");
	usage_inflight_t *inflight = usage_inflight_create();
	char *text;

	(void)state;
	for (uint64_t start = 0; start < STARTS; start++) {
		inflight_snapshot_t *flight = inflight_snapshot_create(start << 40);

		flight->boot_time = 1772338322000 * PD_MSEC;
		flight->started_at = 94107805 * PD_MSEC;
		flight->taken_at = 94107905 * PD_MSEC;
		flight->window = 353445120;
		for (int i = 0; i < ACCOUNTS_IN_FLIGHT; i++) {
			char account[16];

			g_snprintf(account, sizeof(account), "account-%d", i);
			inflight_snapshot_add(flight, account, 200);
		}
		usage_inflight_update(inflight, flight);
	}
	text = usage_table_write(usage, inflight, 0);
	assert_true(strlen(text) < FLEET_BYTES_MAX);
	g_free(text);
	usage_destroy(usage);
	usage_inflight_destroy(inflight);
}

/* Guards against a checkpoint of another program that ends service or is believed. */
static void test_what_is_no_table_is_told_by_type(void **state)
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
		cmocka_unit_test(test_a_record_survives_the_round_trip),
		cmocka_unit_test(test_offsets_of_no_sense_are_left_out),
		cmocka_unit_test(test_counts_survive_the_round_trip),
		cmocka_unit_test(test_counts_of_a_large_fleet_are_small),
		cmocka_unit_test(test_flights_of_a_large_fleet_are_small),
		cmocka_unit_test(test_what_is_no_table_is_told_by_type),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
