/*
 * Tests of the encoding of in-flight snapshots in messages and in the
 * checkpoint.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "adapters/gateway/flight_pack.h"

/*
 * Returns the unpacked snapshot, owned by the caller, or NULL if it is
 * malformed.
 */
static inflight_snapshot_t *unpack_snapshot(const msgpack_sbuffer *buffer)
{
	inflight_snapshot_t *snapshot;
	msgpack_unpacked unpacked;
	size_t offset = 0;

	msgpack_unpacked_init(&unpacked);
	assert_int_equal(msgpack_unpack_next(&unpacked, buffer->data,
					     buffer->size, &offset),
			 MSGPACK_UNPACK_SUCCESS);
	snapshot = flight_unpack(&unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	return snapshot;
}

static void test_round_trip(void **state)
{
	inflight_snapshot_t *snapshot =
		inflight_snapshot_create(usage_incarnation_id("g0#1"));
	inflight_snapshot_t *read;
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	(void)state;
	snapshot->boot_time = 1772338322000 * PD_MSEC;
	snapshot->started_at = 94107805 * PD_MSEC;
	snapshot->taken_at = 94107905 * PD_MSEC;
	snapshot->window = 354467664;
	inflight_snapshot_add(snapshot, "mill", 7);
	inflight_snapshot_add(snapshot, "gin \"\\", 1);
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	flight_pack(&packer, snapshot);
	read = unpack_snapshot(&buffer);
	assert_non_null(read);
	assert_true(read->incarnation_id == snapshot->incarnation_id);
	assert_int_equal(read->boot_time, snapshot->boot_time);
	assert_int_equal(read->started_at, snapshot->started_at);
	assert_int_equal(read->taken_at, snapshot->taken_at);
	assert_int_equal(read->window, snapshot->window);
	assert_int_equal(read->expected->len, 2);
	assert_string_equal(
		g_array_index(read->expected, inflight_expected_t, 1).account,
		"gin \"\\");
	assert_int_equal(g_array_index(read->expected, inflight_expected_t, 0).count,
			 7);
	inflight_snapshot_destroy(read);
	inflight_snapshot_destroy(snapshot);
	msgpack_sbuffer_destroy(&buffer);
}

/* Guards against times that overflow when converted from ms. */
static void test_out_of_range_times_are_clamped(void **state)
{
	inflight_snapshot_t *read;
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	(void)state;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 5);
	for (int i = 0; i < 5; i++)
		msgpack_pack_uint64(&packer, UINT64_MAX);
	read = unpack_snapshot(&buffer);
	assert_non_null(read);
	assert_true(read->boot_time > 0 &&
		    read->boot_time <= (pd_time_t)PD_TIME_MAX);
	assert_true(read->taken_at > 0 && read->taken_at <= (pd_time_t)PD_TIME_MAX);
	inflight_snapshot_destroy(read);
	msgpack_sbuffer_destroy(&buffer);
}

static void test_malformed_snapshot_is_rejected(void **state)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	(void)state;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 4);
	for (int i = 0; i < 4; i++)
		msgpack_pack_nil(&packer);
	assert_null(unpack_snapshot(&buffer));
	msgpack_sbuffer_destroy(&buffer);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_round_trip),
		cmocka_unit_test(test_out_of_range_times_are_clamped),
		cmocka_unit_test(test_malformed_snapshot_is_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
