/* Messages about roll-outs, and the counts of their answers in states and summaries. */
#include "adapters/gateway/peer_state.h"
#include "adapters/gateway/rollouts.h"
#include "adapters/msgpack_write.h"

/* Counts in one message: two versions on each route of a few roll-outs. */
#define COUNTS_MAX 256

/* Packs one report with CTX, a list_writer_t. */
static void pack_report(void *ctx, const rollout_report_t *report)
{
	list_writer_t *writer = ctx;
	msgpack_packer *packer = &writer->packer;

	writer->count++;
	msgpack_pack_array(packer, ROLLOUT_REPORT_FIELDS);
	msgpack_write_string(packer, report->service);
	msgpack_write_string(packer, report->to);
	msgpack_pack_uint64(packer, report->revision);
	msgpack_pack_uint64(packer, (uint64_t)report->ordered_at);
	msgpack_pack_uint64(packer, (uint64_t)report->period);
	msgpack_pack_uint8(packer, (uint8_t)report->step);
	msgpack_pack_uint8(packer, (uint8_t)report->state);
	msgpack_pack_uint8(packer, report->bad);
	msgpack_pack_uint64(packer, report->heartbeat);
}

/* Packs all that this gateway knows of roll-outs. */
void peers_pack_rollouts(msgpack_sbuffer *buffer, const gateway_peers_t *peers)
{
	const rollouts_t *rollouts = peers->gateway->rollouts;
	list_writer_t reports;
	msgpack_packer packer;

	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, ROLLOUT_FIELDS);
	msgpack_pack_uint8(&packer, MESSAGE_ROLLOUT);
	msgpack_write_string(&packer, peers->address);
	msgpack_pack_uint64(&packer, rollouts_known_revision(rollouts));
	list_writer_init(&reports);
	rollouts_each(rollouts, pack_report, &reports);
	list_writer_end(&reports, buffer, &packer);
}

/* Sends what this gateway knows of roll-outs to all peers of a mesh, or to a sample. */
void gateway_peers_spread_rollouts(gateway_peers_t *peers)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	peers_pack_rollouts(&buffer, peers);
	peers_spread(peers, &buffer, gateway_now());
	msgpack_sbuffer_destroy(&buffer);
}

/* Sends a peer that is new what this gateway knows of roll-outs, if they are served. */
void peers_send_rollouts(gateway_peers_t *peers, const peer_t *peer)
{
	msgpack_sbuffer buffer;

	if (!rollouts_is_enabled(peers->gateway->rollouts) ||
	    !rollouts_known_revision(peers->gateway->rollouts))
		return;
	msgpack_sbuffer_init(&buffer);
	peers_pack_rollouts(&buffer, peers);
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Merges one report. Returns whether it had anything new; malformed ones have not. */
static bool merge_report(gateway_t *gateway, const msgpack_object *object)
{
	const msgpack_object *fields =
		msgpack_field_array(object, ROLLOUT_REPORT_FIELDS, NULL);
	char *service = fields ? msgpack_field_string(&fields[0]) : NULL;
	char *to = fields ? msgpack_field_string(&fields[1]) : NULL;
	rollout_report_t report = { .service = service, .to = to };
	bool is_news = false;

	if (!service || !to)
		goto done;
	report.revision = msgpack_field_uint64(&fields[2]);
	report.ordered_at = (pd_time_t)MIN(msgpack_field_uint64(&fields[3]),
					   (uint64_t)PD_TIME_MAX);
	report.period = (pd_time_t)MIN(msgpack_field_uint64(&fields[4]),
				       (uint64_t)PD_TIME_MAX);
	report.step = (rollout_step_t)msgpack_field_uint64(&fields[5]);
	report.state = (rollout_state_t)msgpack_field_uint64(&fields[6]);
	report.bad = msgpack_field_uint64(&fields[7]) != 0;
	report.heartbeat = msgpack_field_uint64(&fields[8]);
	if (report.step < ROLLOUT_STEPS && report.state <= ROLLOUT_ROLLED_BACK &&
	    report.period > 0 && report.period <= ROLLOUT_PERIOD_MAX)
		is_news = rollouts_merge(gateway->rollouts, &report,
					 gateway_rollouts_now(gateway));
done:
	g_free(service);
	g_free(to);
	return is_news;
}

/*
 * Applies a message about roll-outs, and sends on what was new. Returns 0, or -1 if it is
 * malformed.
 */
int peers_receive_rollouts(gateway_peers_t *peers, const msgpack_object *fields)
{
	gateway_t *gateway = peers->gateway;
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(&fields[3], 0, &count);
	pd_time_t now = gateway_rollouts_now(gateway);
	bool is_held = rollouts_has_held_version(gateway->rollouts, now);
	bool is_news = false;

	if (!items || !rollouts_is_enabled(gateway->rollouts))
		return items ? 0 : -1;
	for (uint32_t i = 0; i < count; i++)
		is_news |= merge_report(gateway, &items[i]);
	if (rollouts_set_known_revision(gateway->rollouts,
					msgpack_field_uint64(&fields[2])))
		is_news |= is_held;
	if (is_news)
		gateway_peers_spread_rollouts(peers);
	return 0;
}

/* Packs one count with CTX, a list_writer_t. */
static void pack_count(void *ctx, const rollout_count_t *count)
{
	list_writer_t *writer = ctx;
	msgpack_packer *packer = &writer->packer;

	if (writer->count >= COUNTS_MAX)
		return;
	writer->count++;
	msgpack_pack_array(packer, ROLLOUT_COUNT_FIELDS);
	msgpack_write_string(packer, count->service);
	msgpack_pack_uint64(packer, count->to_id);
	msgpack_pack_uint32(packer, count->route);
	msgpack_pack_uint8(packer, count->is_new);
	msgpack_pack_uint64(packer, count->tally.sent);
	msgpack_pack_uint64(packer, count->tally.answers);
	msgpack_pack_uint64(packer, count->tally.failed);
	msgpack_pack_uint64(packer, count->tally.slow);
	msgpack_pack_uint64(packer, count->tally.timed);
	msgpack_pack_uint64(packer, count->tally.log_times);
	msgpack_pack_uint64(packer, count->tally.gapped);
	msgpack_pack_uint64(packer, count->tally.log_gaps);
}

/*
 * Packs the counts of running roll-outs, or nil if none runs: this gateway's own, or those
 * of all but EXCEPT if that is not NULL.
 */
void peers_pack_rollout_counts(msgpack_sbuffer *buffer, msgpack_packer *packer,
			       const gateway_peers_t *peers, const peer_t *except)
{
	const rollouts_t *rollouts = peers->gateway->rollouts;
	list_writer_t counts;

	if (!rollouts_is_counting(rollouts)) {
		msgpack_pack_nil(packer);
		return;
	}
	list_writer_init(&counts);
	if (except)
		rollouts_each_sum(rollouts, except->incarnation, pack_count,
				  &counts);
	else
		rollouts_each_own_count(rollouts, pack_count, &counts);
	list_writer_end(&counts, buffer, packer);
}

/* Applies the counts of a peer, named by its incarnation or as all peers. */
void peers_receive_rollout_counts(gateway_peers_t *peers, const char *peer,
				  const msgpack_object *object)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(object, 0, &count);

	for (uint32_t i = 0; i < count && i < COUNTS_MAX; i++) {
		const msgpack_object *fields =
			msgpack_field_array(&items[i], ROLLOUT_COUNT_FIELDS, NULL);
		char *service = fields ? msgpack_field_string(&fields[0]) : NULL;
		rollout_count_t entry = { .service = service };

		if (!service)
			continue;
		entry.to_id = msgpack_field_uint64(&fields[1]);
		entry.route = (uint32_t)msgpack_field_uint64(&fields[2]);
		entry.is_new = msgpack_field_uint64(&fields[3]) != 0;
		entry.tally.sent = msgpack_field_uint64(&fields[4]);
		entry.tally.answers = msgpack_field_uint64(&fields[5]);
		entry.tally.failed = msgpack_field_uint64(&fields[6]);
		entry.tally.slow = msgpack_field_uint64(&fields[7]);
		entry.tally.timed = msgpack_field_uint64(&fields[8]);
		entry.tally.log_times = msgpack_field_uint64(&fields[9]);
		entry.tally.gapped = msgpack_field_uint64(&fields[10]);
		entry.tally.log_gaps = msgpack_field_uint64(&fields[11]);
		rollouts_record_peer(peers->gateway->rollouts, peer, &entry);
		g_free(service);
	}
}
