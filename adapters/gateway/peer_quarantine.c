/*
 * Messages about requests under which upstreams ended; see
 * core/forward/quarantine-notes.md.
 */
#include "adapters/gateway/peer_state.h"
#include "adapters/msgpack_write.h"

/* Held requests that are sent again to those that may have missed them. */
#define REPEATED_MAX 8

/* Packs the reports of a message. */
void peers_pack_quarantine(msgpack_sbuffer *buffer, const gateway_peers_t *peers,
			   const quarantine_report_t *reports, unsigned int count)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, QUARANTINE_FIELDS);
	msgpack_pack_uint8(&packer, MESSAGE_QUARANTINE);
	msgpack_write_string(&packer, peers->address);
	msgpack_pack_array(&packer, count);
	for (unsigned int i = 0; i < count; i++) {
		const quarantine_report_t *report = &reports[i];

		msgpack_pack_array(&packer, REPORT_FIELDS);
		msgpack_pack_uint64(&packer, report->fingerprint);
		msgpack_pack_uint64(&packer, (uint64_t)(report->idle / PD_MSEC));
		msgpack_pack_array(&packer, END_FIELDS * report->end_count);
		for (unsigned int j = 0; j < report->end_count; j++) {
			const quarantine_end_t *end = &report->ends[j];

			msgpack_pack_uint32(&packer, end->upstream);
			msgpack_pack_uint8(&packer, end->cleared);
			msgpack_pack_uint64(&packer,
					    (uint64_t)(end->age / PD_MSEC));
		}
	}
}

/* Sends reports to those of some peers that know such messages. */
static void send_reports(const gateway_peers_t *peers, peer_t *const *receivers,
			 unsigned int receiver_count,
			 const quarantine_report_t *reports, unsigned int count)
{
	msgpack_sbuffer buffer;

	if (!count)
		return;
	msgpack_sbuffer_init(&buffer);
	peers_pack_quarantine(&buffer, peers, reports, count);
	for (unsigned int i = 0; i < receiver_count; i++) {
		if (receivers[i]->handles_quarantine)
			peers_send(peers, receivers[i], &buffer);
	}
	msgpack_sbuffer_destroy(&buffer);
}

/* Returns whether this gateway knows all others, and may send them something rare. */
static bool knows_all(gateway_peers_t *peers, pd_time_t now)
{
	return peers_is_mesh(peers, now) ||
	       peers_view(peers, now)->rank < AGGREGATORS;
}

/* Sends reports to all peers of a mesh, or to a sample that sends them on. */
static void spread_to_sample(gateway_peers_t *peers,
			     const quarantine_report_t *reports, unsigned int count)
{
	msgpack_sbuffer buffer;

	if (!count)
		return;
	msgpack_sbuffer_init(&buffer);
	peers_pack_quarantine(&buffer, peers, reports, count);
	peers_spread(peers, &buffer, gateway_now());
	msgpack_sbuffer_destroy(&buffer);
}

/* Sends reports to all peers, or to a sample that sends them on. */
static void spread_reports(gateway_peers_t *peers,
			   const quarantine_report_t *reports, unsigned int count)
{
	pd_time_t now = gateway_now();
	GPtrArray *alive;

	if (!knows_all(peers, now)) {
		spread_to_sample(peers, reports, count);
		return;
	}
	alive = peers_alive(peers, now);
	send_reports(peers, (peer_t *const *)alive->pdata, alive->len, reports,
		     count);
	g_ptr_array_unref(alive);
}

/*
 * Sends suspects to the gateways that count for a larger fleet; the rest learns of
 * those that are held.
 */
static void send_suspects(gateway_peers_t *peers,
			  const quarantine_report_t *reports,
			  unsigned int count, pd_time_t now)
{
	peer_t *first[AGGREGATORS];

	send_reports(peers, first,
		     peers_top_ranked(peers, first, AGGREGATORS, now), reports,
		     count);
}

/* Sends what changed, at most one message of each sort. */
static void send_unsent(gateway_peers_t *peers)
{
	quarantine_t *quarantine = peers->gateway->quarantine;
	quarantine_report_t reports[QUARANTINE_REPORTS_MAX];
	pd_time_t now = gateway_now();
	unsigned int count;

	if (peers_is_mesh(peers, now)) {
		count = quarantine_take_unsent(quarantine, true, now, reports);
		spread_reports(peers, reports, count);
		return;
	}
	count = quarantine_take_unsent(quarantine, false, now, reports);
	spread_reports(peers, reports, count);
	count = quarantine_take_unsent(quarantine, true, now, reports);
	if (!knows_all(peers, now))
		send_suspects(peers, reports, count, now);
}

/* Sends what other gateways need to know at once. */
void gateway_peers_send_quarantine(gateway_peers_t *peers)
{
	if (quarantine_has_unsent(peers->gateway->quarantine))
		send_unsent(peers);
}

/*
 * Sends what was cleared, and the requests held last again to a few, as some
 * gateways may have missed them.
 */
void peers_repeat_quarantine(gateway_peers_t *peers)
{
	quarantine_report_t reports[REPEATED_MAX];

	send_unsent(peers);
	spread_to_sample(peers, reports,
			 quarantine_list_held(peers->gateway->quarantine,
					      gateway_now(), reports,
					      REPEATED_MAX));
}

/* Sends the requests that are held to a peer that started after it was last sent them. */
void peers_send_held(gateway_peers_t *peers, peer_t *peer)
{
	quarantine_report_t reports[QUARANTINE_REPORTS_MAX];

	if (peer->knows_held || !peer->handles_quarantine)
		return;
	peer->knows_held = true;
	send_reports(peers, &peer, 1, reports,
		     quarantine_list_held(peers->gateway->quarantine, gateway_now(),
					  reports, QUARANTINE_REPORTS_MAX));
}

/* Decodes an age in ms. Returns false if it is none. */
static bool read_age(const msgpack_object *object, pd_time_t *age)
{
	uint64_t ms = msgpack_field_uint64(object);

	*age = pd_time_from_ms(ms);
	return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

/* Decodes a report. Returns false if it is malformed. */
static bool read_report(const msgpack_object *object, quarantine_report_t *report)
{
	const msgpack_object *fields =
		msgpack_field_array(object, REPORT_FIELDS, NULL);
	const msgpack_object *ends;
	uint32_t count = 0;

	if (!fields)
		return false;
	ends = msgpack_field_array(&fields[2], 0, &count);
	*report = (quarantine_report_t){
		.fingerprint = msgpack_field_uint64(&fields[0]),
		.end_count = MIN(count / END_FIELDS, QUARANTINE_ENDS_KEPT),
	};
	if (!ends || !report->fingerprint || !read_age(&fields[1], &report->idle))
		return false;
	for (unsigned int i = 0; i < report->end_count; i++) {
		const msgpack_object *end = &ends[END_FIELDS * i];

		report->ends[i].upstream = (uint32_t)msgpack_field_uint64(&end[0]);
		report->ends[i].cleared = msgpack_field_uint64(&end[1]) != 0;
		if (!read_age(&end[2], &report->ends[i].age))
			return false;
	}
	return true;
}

/*
 * Applies what another gateway knows, and sends on what is new. Returns 0, or -1 if the
 * message is malformed.
 */
int peers_receive_quarantine(gateway_peers_t *peers, const msgpack_object *fields)
{
	gateway_t *gateway = peers->gateway;
	bool mesh = peers_is_mesh(peers, gateway_now());
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(&fields[2], 0, &count);
	quarantine_report_t report;

	if (!items)
		return -1;
	for (uint32_t i = 0; i < MIN(count, QUARANTINE_REPORTS_MAX); i++) {
		if (read_report(&items[i], &report))
			quarantine_merge(gateway->quarantine, &report, !mesh,
					 gateway_now());
	}
	if (!mesh)
		gateway_peers_send_quarantine(peers);
	return 0;
}
