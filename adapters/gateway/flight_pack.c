/* Requests in flight as msgpack, and back. */
#include "adapters/gateway/flight_pack.h"

#include "adapters/msgpack_fields.h"
#include "adapters/msgpack_write.h"

#define HEAD_FIELDS 5 /* start, booted, begun, told, window */
#define CELL_FIELDS 2 /* account, count */

static void pack_time(msgpack_packer *packer, pd_time_t time)
{
	msgpack_pack_uint64(packer, (uint64_t)MAX(time / PD_MSEC, 0));
}

/* Packs what a start has in flight. */
void flight_pack(msgpack_packer *packer, const inflight_snapshot_t *flight)
{
	const GArray *expected = flight->expected;

	msgpack_pack_array(packer, HEAD_FIELDS + CELL_FIELDS * expected->len);
	msgpack_pack_uint64(packer, flight->incarnation_id);
	pack_time(packer, flight->boot_time);
	pack_time(packer, flight->started_at);
	pack_time(packer, flight->taken_at);
	msgpack_pack_int64(packer, flight->window);
	for (guint i = 0; i < expected->len; i++) {
		const inflight_expected_t *cell =
			&g_array_index(expected, inflight_expected_t, i);

		msgpack_write_text(packer, cell->account);
		msgpack_pack_uint64(packer, cell->count);
	}
}

/* Returns what a start has in flight, owned by the caller; NULL: it is none. */
inflight_snapshot_t *flight_read(const msgpack_object *object)
{
	uint32_t count = 0;
	const msgpack_object *fields =
		msgpack_field_items(object, HEAD_FIELDS, &count);
	inflight_snapshot_t *flight;

	if (!fields)
		return NULL;
	flight = inflight_snapshot_create(msgpack_field_number(&fields[0]));
	flight->boot_time = pd_time_of_ms(msgpack_field_number(&fields[1]));
	flight->started_at = pd_time_of_ms(msgpack_field_number(&fields[2]));
	flight->taken_at = pd_time_of_ms(msgpack_field_number(&fields[3]));
	flight->window = (int64_t)msgpack_field_number(&fields[4]);
	for (uint32_t i = HEAD_FIELDS; i + 1 < count; i += CELL_FIELDS) {
		char *account = msgpack_field_text(&fields[i]);

		if (account)
			inflight_snapshot_add(flight, account,
					      msgpack_field_number(&fields[i + 1]));
		g_free(account);
	}
	return flight;
}
