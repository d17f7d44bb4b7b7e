/* The record that outlives all gateways, as text. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "adapters/gateway/checkpoint_record.h"

static checkpoint_record_t *record_by(const char *writer)
{
	checkpoint_record_t *record = checkpoint_record_create();

	record->writer = g_strdup(writer);
	record->gateways = 63;
	checkpoint_record_account(record, "mill", -500, 9000);
	checkpoint_record_count(record, 7, "mill", 8);
	return record;
}

static void test_a_record_survives_the_round_trip(void **state)
{
	checkpoint_record_t *record = record_by("g0#1");
	char *text = checkpoint_record_write(record);
	pd_error_t err;
	checkpoint_record_t *read = checkpoint_record_read(text, &err);
	char *again = checkpoint_record_write(read);

	(void)state;
	assert_string_equal(again, text);
	assert_string_equal(read->writer, "g0#1");
	assert_int_equal(read->gateways, 63);
	assert_true(g_array_index(read->accounts, account_record_t, 0).level ==
		    -500);
	assert_int_equal(g_array_index(read->counts, usage_entry_t, 0).count, 8);
	checkpoint_record_destroy(record);
	checkpoint_record_destroy(read);
	g_free(text);
	g_free(again);
}

/*
 * Two gateways that have just started have served as many calls each, and both write
 * the record. Of the one whose write fails the store shows the other's. Were the
 * texts the same, it would take that for its own write and its calls for recorded.
 */
static void test_two_writers_never_write_the_same(void **state)
{
	checkpoint_record_t *one = record_by("g0#1");
	checkpoint_record_t *other = record_by("g1#1");
	char *text = checkpoint_record_write(one);
	char *other_text = checkpoint_record_write(other);

	(void)state;
	assert_string_not_equal(text, other_text);
	checkpoint_record_destroy(one);
	checkpoint_record_destroy(other);
	g_free(text);
	g_free(other_text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_record_survives_the_round_trip),
		cmocka_unit_test(test_two_writers_never_write_the_same),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
