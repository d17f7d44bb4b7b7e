/* Packs and unpacks snapshots of the requests in flight. */
#include "adapters/gateway/flight_pack.h"

#include "adapters/msgpack_fields.h"
#include "adapters/msgpack_write.h"

#define HEADER_FIELDS 5 /* incarnation, boot time, start, time taken, window */
#define CELL_FIELDS 2 /* account, count */

/* Packs a time in ms; negative ones as 0. */
static void pack_time(msgpack_packer *packer, pd_time_t time)
{
	msgpack_pack_uint64(packer, (uint64_t)MAX(time / PD_MSEC, 0));
}

/* Packs the in-flight snapshot of one incarnation. */
void flight_pack(msgpack_packer *packer, const inflight_snapshot_t *snapshot)
{
	const GArray *expected = snapshot->expected;

	msgpack_pack_array(packer, HEADER_FIELDS + CELL_FIELDS * expected->len);
	msgpack_pack_uint64(packer, snapshot->incarnation_id);
	pack_time(packer, snapshot->boot_time);
	pack_time(packer, snapshot->started_at);
	pack_time(packer, snapshot->taken_at);
	msgpack_pack_int64(packer, snapshot->window);
	for (guint i = 0; i < expected->len; i++) {
		const inflight_expected_t *cell =
			&g_array_index(expected, inflight_expected_t, i);

		msgpack_write_string(packer, cell->account);
		msgpack_pack_uint64(packer, cell->count);
	}
}

/*
 * Returns the unpacked snapshot, owned by the caller, or NULL if it is
 * malformed. Out-of-range times are clamped; accounts that are no text are
 * skipped.
 */
inflight_snapshot_t *flight_unpack(const msgpack_object *object)
{
	uint32_t count = 0;
	const msgpack_object *fields =
		msgpack_field_array(object, HEADER_FIELDS, &count);
	inflight_snapshot_t *snapshot;

	if (!fields)
		return NULL;
	snapshot = inflight_snapshot_create(msgpack_field_uint64(&fields[0]));
	snapshot->boot_time = pd_time_from_ms(msgpack_field_uint64(&fields[1]));
	snapshot->started_at = pd_time_from_ms(msgpack_field_uint64(&fields[2]));
	snapshot->taken_at = pd_time_from_ms(msgpack_field_uint64(&fields[3]));
	snapshot->window = (int64_t)msgpack_field_uint64(&fields[4]);
	for (uint32_t i = HEADER_FIELDS; i + 1 < count; i += CELL_FIELDS) {
		char *account = msgpack_field_string(&fields[i]);

		if (account)
			inflight_snapshot_add(snapshot, account,
					      msgpack_field_uint64(&fields[i + 1]));
		g_free(account);
	}
	return snapshot;
}
