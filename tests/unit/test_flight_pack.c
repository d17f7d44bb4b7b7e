/* What is in flight, as messages and the checkpoint carry it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "adapters/gateway/flight_pack.h"

/* Reads what was packed; NULL: it is nothing that is in flight. */
static inflight_snapshot_t *read_packed(const msgpack_sbuffer *buffer)
{
	inflight_snapshot_t *flight;
	msgpack_unpacked unpacked;
	size_t offset = 0;

	msgpack_unpacked_init(&unpacked);
	assert_int_equal(msgpack_unpack_next(&unpacked, buffer->data,
					     buffer->size, &offset),
			 MSGPACK_UNPACK_SUCCESS);
	flight = flight_read(&unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	return flight;
}

static void test_a_flight_survives_the_round_trip(void **state)
{
	inflight_snapshot_t *flight =
		inflight_snapshot_create(usage_incarnation_id("g0#1"));
	inflight_snapshot_t *read;
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	(void)state;
	flight->boot_time = 1772338322000 * PD_MSEC;
	flight->started_at = 94107805 * PD_MSEC;
	flight->taken_at = 94107905 * PD_MSEC;
	flight->window = 354467664;
	inflight_snapshot_add(flight, "mill", 7);
	inflight_snapshot_add(flight, "gin \"\\", 1);
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	flight_pack(&packer, flight);
	read = read_packed(&buffer);
	assert_non_null(read);
	assert_true(read->incarnation_id == flight->incarnation_id);
	assert_int_equal(read->boot_time, flight->boot_time);
	assert_int_equal(read->started_at, flight->started_at);
	assert_int_equal(read->taken_at, flight->taken_at);
	assert_int_equal(read->window, flight->window);
	assert_int_equal(read->expected->len, 2);
	assert_string_equal(
		g_array_index(read->expected, inflight_expected_t, 1).account,
		"gin \"\\");
	assert_int_equal(g_array_index(read->expected, inflight_expected_t, 0).count,
			 7);
	inflight_snapshot_destroy(read);
	inflight_snapshot_destroy(flight);
	msgpack_sbuffer_destroy(&buffer);
}

/* Guards against times that overflow. */
static void test_times_of_no_sense_are_bounded(void **state)
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
	read = read_packed(&buffer);
	assert_non_null(read);
	assert_true(read->boot_time > 0 &&
		    read->boot_time <= (pd_time_t)PD_TIME_MAX);
	assert_true(read->taken_at > 0 && read->taken_at <= (pd_time_t)PD_TIME_MAX);
	inflight_snapshot_destroy(read);
	msgpack_sbuffer_destroy(&buffer);
}

static void test_what_is_no_flight_is_none(void **state)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	(void)state;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 4);
	for (int i = 0; i < 4; i++)
		msgpack_pack_nil(&packer);
	assert_null(read_packed(&buffer));
	msgpack_sbuffer_destroy(&buffer);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_flight_survives_the_round_trip),
		cmocka_unit_test(test_times_of_no_sense_are_bounded),
		cmocka_unit_test(test_what_is_no_flight_is_none),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
