/*
 * Fuzzes the decoders of what a gateway reads from peers, the platform and
 * upstreams, with bytes changed, cut or inserted. No input may crash the
 * gateway or be accepted with out-of-range values.
 */
#include <rapidcheck.h>

#include <cmath>
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

#include "tests/property/mutated.h"

extern "C" {
#include "adapters/gateway/duties_note.h"
#include "adapters/gateway/checkpoint_record.h"
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/peer_state.h"
#include "adapters/gateway/grants.h"
#include "adapters/gateway/slots.h"
#include "adapters/gateway/rollouts.h"
#include "adapters/gateway/stream_slices.h"
#include "adapters/gateway/usage_table.h"
#include "adapters/log_glib.h"
#include "adapters/msgpack_check.h"
#include "core/forward/event_stream.h"
#include "core/hash.h"
#include "platform/wire.h"
}

static const char config_text[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
	"\"pathPrefix\":\"/a/\",\"kind\":\"stream\",\"timeoutMs\":15000,"
	"\"goalMs\":600,\"priority\":1,\"split\":[{\"service\":\"s\","
	"\"weight\":90}],\"maxAttempts\":2,\"public\":true,\"sticky\":true,"
	"\"resumable\":true,\"gapGoalMs\":250}],\"services\":[{\"name\":\"s\","
	"\"maxConns\":480,\"engine\":{\"slots\":96,\"kvCapacity\":1000},"
	"\"scaling\":{\"min\":1,\"max\":6,\"bootS\":4.0,"
	"\"spotPrice\":0.22,\"zonePrices\":{\"a\":1.0}}}],"
	"\"limits\":{\"maxHeaderBytes\":100,\"maxBodyBytes\":200,"
	"\"headerTimeoutMs\":300,\"idleTimeoutMs\":400},\"tenants\":["
	"{\"name\":\"mill\",\"apiKeys\":[\"k\"],\"unit\":\"tokens\","
	"\"plainTokens\":200,\"ratePerS\":10,\"burst\":20}]}";

static const char list_text[] =
	"{\"items\":[{\"metadata\":{\"name\":\"i-1\",\"revision\":4},"
	"\"spec\":{\"service\":\"s\",\"address\":\"10.0.0.9:80\","
	"\"zone\":\"a\",\"slots\":6,\"state\":\"draining\","
	"\"born\":1775915655123,"
	"\"version\":\"v1\",\"preemptible\":true}}],\"hasMore\":true,\"asOf\":"
	"9}";

static const char order_text[] =
	"{\"items\":[{\"metadata\":{\"name\":\"s\",\"revision\":4},"
	"\"spec\":{\"service\":\"s\",\"to\":\"v2\",\"periodS\":12},"
	"\"status\":{\"state\":\"running\",\"to\":\"v2\"}}],\"asOf\":9}";

static const char watch_text[] =
	"{\"events\":[{\"tombstone\":true,\"object\":{\"metadata\":"
	"{\"name\":\"i-1\",\"revision\":4}}}],\"asOf\":12}";

static const char lease_text[] =
	"{\"metadata\":{\"name\":\"duties\",\"revision\":3},\"spec\":"
	"{\"holder\":\"g\",\"fence\":2,\"note\":\"5 {}\"}}";

/*
 * Returns a gateway that listens on loopback and whose event loop is not run.
 */
static gateway_t *create_idle_gateway()
{
	static gateway_settings_t settings;
	char any[] = "127.0.0.1:0";
	pd_error_t err;

	settings.node_id = g_strdup("g");
	settings.node_zone = g_strdup("a");
	settings.node_start = g_strdup("first");
	settings.zones[0] = g_strdup("a");
	settings.callers_listen = g_strdup(any);
	settings.health_listen = g_strdup(any);
	settings.peers_listen = g_strdup(any);
	settings.relay_listen = g_strdup("");
	settings.store_address = g_strdup(any);
	settings.cloud_address = g_strdup(any);
	settings.retry_window_s = 10;
	settings.limits_window_s = 8;
	settings.usage_window_s = 5;
	settings.stop_grace_s = 8;
	settings.exposure_share = 0.1;
	return gateway_create(uv_default_loop(), &settings, &err);
}

/* Has a roll-out run, with counts of answers that are packed in states. */
static void add_rollout(gateway_t *gateway)
{
	const rollout_order_t order = { "s", "v2",  12 * PD_SEC,
					5,   false, ROLLOUT_RUNNING };
	const rollout_times_t times = { PD_MSEC, PD_MSEC, 9 * PD_MSEC };

	rollouts_apply_order(gateway->rollouts, &order, PD_SEC);
	rollouts_set_known_revision(gateway->rollouts, 5);
	for (const char *version : { "v1", "v2" }) {
		uint64_t id = rollout_version_id("s", version);

		rollouts_record_send(gateway->rollouts, "s", "r", id);
		rollouts_record_answer(gateway->rollouts, "s", "r", id, false,
				       &times);
	}
}

/* Adds data to the gateway, so that its messages have all parts. */
static void fill_gateway(gateway_t *gateway)
{
	gateway_apply_config(gateway, config_text, "test");
	for (unsigned int i = 0; i < 4; i++) {
		std::string id = "u" + std::to_string(i);
		forward_registration_t listing = {};

		listing.id = id.c_str();
		listing.service = "s";
		listing.address = "127.0.0.1";
		listing.port = 9;
		listing.zone = "a";
		listing.slots = 6;
		listing.revision = i + 1;
		forward_upstreams_apply(gateway->upstreams, &listing);
		forward_upstreams_find(gateway->upstreams, listing.id)->running = i;
	}
	gateway->upstreams_listed = true;
	usage_increment(gateway->usage, 3, "mill");
	work_rate_add(gateway->work, "s", 1000);
	add_rollout(gateway);
}

/* Packs a request for permits, or a reply to one. */
static void pack_limits(gateway_t *gateway, msgpack_sbuffer *buffer,
			message_kind_t kind)
{
	const upstream_limit_t limits[] = {
		{ forward_upstream_short_id(
			  forward_upstreams_find(gateway->upstreams, "u1")),
		  true, 3.5, 20 * PD_MSEC, 4, true },
		{ forward_upstream_short_id(
			  forward_upstreams_find(gateway->upstreams, "u2")),
		  false, 0, PD_SEC, 0, true },
	};

	peers_pack_limits(buffer, gateway->peers, kind, gateway_now() - PD_MSEC,
			  limits, 2);
}

/* Packs reports of a request that is held, and of one that was cleared. */
static void pack_quarantine(gateway_t *gateway, msgpack_sbuffer *buffer)
{
	const quarantine_report_t reports[] = {
		{ 77, PD_SEC, 2, { { 1, false, PD_SEC }, { 2, false, 2 * PD_SEC } } },
		{ 78, PD_SEC, 1, { { 1, true, PD_MSEC } } },
	};

	peers_pack_quarantine(buffer, gateway->peers, reports, 2);
}

/* Packs asks for grants, answers to asks of the receiver, or reports. */
static void pack_grants(const gateway_t *gateway, msgpack_sbuffer *buffer,
			message_kind_t kind)
{
	static const char to[] = "127.0.0.1:9";
	gateway_peers_t sender = {};
	char address[] = "127.0.0.1:8";
	char incarnation[] = "h#1";
	brittle_ask_t ask = {};
	brittle_answer_t answer = {};

	sender.address = address;
	sender.incarnation = incarnation;
	sender.slot_outboxes = peers_slot_outboxes_create();
	ask.short_id = forward_upstream_short_id(
		forward_upstreams_find(gateway->upstreams, "u1"));
	ask.slots = 6;
	ask.rejections_max = 3;
	ask.time_left = PD_SEC;
	for (uint32_t number = 1; number < 4; number++) {
		ask.number = answer.number = number;
		answer.granted = number == 2;
		answer.retry_after = 20 * PD_MSEC;
		gateway_peers_send_grant_ask(&sender, to, &ask);
		gateway_peers_send_grant_answer(&sender, to, &answer);
		gateway_peers_send_grant_report(&sender, to, ask.short_id, number,
						static_cast<brittle_outcome_t>(
							number));
	}
	peers_pack_slots(buffer, &sender, to, kind);
	g_hash_table_unref(sender.slot_outboxes);
}

/* Packs requests for slots, answers to requests of the receiver, or releases. */
static void pack_slots(msgpack_sbuffer *buffer, message_kind_t kind)
{
	static const char to[] = "127.0.0.1:9";
	gateway_peers_t sender = {};
	char address[] = "127.0.0.1:8";
	char incarnation[] = "h#1";
	auto service = static_cast<uint32_t>(hash_string("s"));
	slot_request_t request = {};
	slot_answer_t answer = {};

	sender.address = address;
	sender.incarnation = incarnation;
	sender.slot_outboxes = peers_slot_outboxes_create();
	request.weight = 2.5;
	request.goal = request.time_left = 200 * PD_MSEC;
	request.tried_count = 2;
	answer.gateway = to;
	for (uint32_t number = 1; number < 4; number++) {
		request.number = answer.number = number;
		answer.kind = static_cast<slot_answer_kind_t>(number - 1);
		gateway_peers_send_slot_request(&sender, to, service, &request);
		gateway_peers_send_slot_answer(&sender, &answer);
		gateway_peers_send_slot_release(&sender, to, service, number,
						number == 2);
	}
	peers_pack_slots(buffer, &sender, to, kind);
	g_hash_table_unref(sender.slot_outboxes);
}

static void check_limit(void *ctx, const upstream_limit_t *limit)
{
	bool valid = limit->rate >= 0 && limit->rate <= UPSTREAM_RATE_MAX &&
		     limit->permits <= UPSTREAM_PERMITS_MAX;

	*static_cast<bool *>(ctx) &= valid;
}

/* Records samples of the speeds of the first upstreams. */
static void record_speeds(gateway_t *gateway)
{
	for (int i = 0; i < 9; i++) {
		std::string id = "u" + std::to_string(i % 3);

		upstream_speed_record_own(
			&forward_upstreams_find(gateway->upstreams, id.c_str())->speed,
			20000.0);
	}
}

/* Returns whether the speeds of all upstreams are within their bounds. */
static bool speeds_are_valid(gateway_t *gateway)
{
	LIST_FOR_EACH (it, forward_upstreams_list(gateway->upstreams)) {
		const upstream_speed_t *speed =
			&LIST_ENTRY(it, forward_upstream_t, node)->speed;

		if (std::abs(speed->level) > UPSTREAM_SPEED_LEVEL_MAX ||
		    !(std::fabs(speed->log_time) <= 32) ||
		    !(speed->samples >= 0 && speed->samples <= 1000) ||
		    !(upstream_speed_factor(speed) > 0))
			return false;
	}
	return true;
}

static rollout_fleet_t get_fleet(void *, const char *, uint64_t)
{
	return { 1, 0, 1 };
}

static void ignore_write(void *, const rollout_write_t *)
{
}

/* Has the leader decide by what was received. */
static void run_rollouts(gateway_t *gateway)
{
	const rollouts_hooks_t hooks = { get_fleet, ignore_write, nullptr };

	rollouts_run(gateway->rollouts, true, &hooks,
		     gateway_rollouts_now(gateway));
}

static void check_report(void *ctx, const rollout_report_t *report)
{
	bool valid = report->step < ROLLOUT_STEPS && report->period > 0 &&
		     report->period <= ROLLOUT_PERIOD_MAX &&
		     report->state <= ROLLOUT_ROLLED_BACK;

	*static_cast<bool *>(ctx) &= valid;
}

static std::string message(gateway_t *gateway, int kind)
{
	gateway_peers_t *peers = gateway->peers;
	peer_t *peer = peers_add(peers, "127.0.0.1:9");
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	std::string bytes;
	stream_record_t records[] = { { 77, 5 }, { 78, 6 }, { 79, 5 } };

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	switch (kind) {
	case 0:
		stream_versions_record(gateway->streams, 80, 5, gateway_now());
		peers_take_stream_records(peers);
		record_speeds(gateway);
		peers_take_speed_samples(peers);
		peers_pack_state(&buffer, peers, true, true);
		break;
	case 1:
		record_speeds(gateway);
		peers_pack_summary(&buffer, peers, peer, true);
		break;
	case 2:
		peers_pack_updates(&packer, peers, NULL);
		break;
	case 3:
		peers_pack_counts(&buffer, peers);
		usage_mark_unsent(gateway->usage);
		break;
	case 4:
		pack_limits(gateway, &buffer, MESSAGE_PERMIT_REQUEST);
		break;
	case 5:
		pack_limits(gateway, &buffer, MESSAGE_PERMITS);
		break;
	case 6:
		pack_quarantine(gateway, &buffer);
		break;
	case 7:
		peers_pack_streams(&buffer, peers, records, 3);
		break;
	case 8:
		peers_pack_stream_query(&buffer, peers, 77, "s");
		break;
	case 9:
		forward_upstreams_record_brittleness(
			gateway->upstreams,
			forward_upstreams_find(gateway->upstreams, "u1"), 3,
			gateway_now());
		peers_pack_brittle(&buffer, peers);
		break;
	case 10:
	case 11:
	case 12:
		msgpack_sbuffer_destroy(&buffer);
		pack_slots(&buffer, static_cast<message_kind_t>(
					    MESSAGE_SLOT_REQUEST + kind - 10));
		break;
	case 13:
		msgpack_sbuffer_destroy(&buffer);
		peers_pack_rollouts(&buffer, peers);
		break;
	case 14:
	case 15:
	case 16:
		msgpack_sbuffer_destroy(&buffer);
		pack_grants(gateway, &buffer,
			    static_cast<message_kind_t>(MESSAGE_GRANT_ASK +
							kind - 14));
		break;
	default:
		peers_pack_announcement(&packer, peers);
		break;
	}
	bytes.assign(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
}

static bool prop_peers(gateway_t *gateway)
{
	return rc::check("messages of peers", [gateway] {
		auto kind = *rc::gen::inRange(0, 18);
		bool valid = true;
		auto bytes = mutated(message(gateway, kind));

		peers_receive(gateway->peers, bytes.data(), bytes.size());
		gateway_slots_run(gateway->slots, gateway_now());
		gateway_slots_flush(gateway->slots);
		gateway_grants_run(gateway->grants, gateway_now());
		gateway_grants_flush(gateway->grants);
		gateway_peers_flush_slots(gateway->peers);
		upstream_limits_each(gateway->upstream_limits, gateway_now(),
				     check_limit, &valid);
		run_rollouts(gateway);
		rollouts_each(gateway->rollouts, check_report, &valid);
		RC_ASSERT(valid);
		RC_ASSERT(quarantine_held_count(gateway->quarantine) <= 4096U);
		LIST_FOR_EACH (it, forward_upstreams_list(gateway->upstreams)) {
			forward_upstream_t *upstream =
				LIST_ENTRY(it, forward_upstream_t, node);

			RC_ASSERT(upstream->stage <= FORWARD_GONE);
		}
		RC_ASSERT(speeds_are_valid(gateway));
	});
}

/* A gateway that follows an aggregator reads levels, and an aggregator reads samples. */
static bool prop_speeds(gateway_t *gateway)
{
	return rc::check("speeds of upstreams", [gateway] {
		auto levels = *rc::gen::arbitrary<bool>();
		gateway_peers_t *peers = gateway->peers;
		msgpack_sbuffer buffer;
		msgpack_packer packer;
		msgpack_unpacked unpacked;
		size_t offset = 0;
		std::string bytes;

		msgpack_sbuffer_init(&buffer);
		msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
		record_speeds(gateway);
		peers_take_speed_samples(peers);
		if (levels)
			peers_pack_speed_levels(&packer, peers);
		else
			peers_pack_speed_samples(&packer, peers);
		bytes.assign(buffer.data, buffer.size);
		msgpack_sbuffer_destroy(&buffer);
		bytes = mutated(bytes);
		msgpack_unpacked_init(&unpacked);
		if (msgpack_lengths_fit(bytes.data(), bytes.size()) &&
		    msgpack_unpack_next(&unpacked, bytes.data(), bytes.size(),
					&offset) == MSGPACK_UNPACK_SUCCESS) {
			peers_receive_speed_levels(peers, &unpacked.data);
			peers_receive_speed_samples(peers, &unpacked.data);
		}
		msgpack_unpacked_destroy(&unpacked);
		forward_upstreams_update_speeds(gateway->upstreams);
		RC_ASSERT(speeds_are_valid(gateway));
	});
}

static bool prop_config()
{
	return rc::check("configurations", [] {
		auto bytes = mutated(config_text);
		pd_error_t err;
		forward_config_t *config =
			wire_config_parse(bytes.data(), bytes.size(), &err);

		if (!config)
			return;
		forward_config_route(config, "h", "/a/b");
		forward_config_account(config, "k");
		forward_config_unref(config);
	});
}

static bool prop_pages()
{
	return rc::check("pages of the store", [] {
		auto bytes = mutated(*rc::gen::element(std::string(list_text),
						       std::string(order_text),
						       std::string(watch_text)));
		pd_error_t err;
		wire_page_t *page =
			wire_page_parse(bytes.data(), bytes.size(), &err);
		forward_registration_t listing;
		rollout_order_t order;

		for (size_t i = 0; page && i < wire_page_count(page); i++) {
			RC_ASSERT(wire_page_name(page, i) != nullptr);
			if (wire_page_is_removed(page, i))
				continue;
			if (wire_page_parse_upstream(page, i, &listing, &err) == 0)
				RC_ASSERT(listing.stage <= FORWARD_GONE);
			if (wire_page_parse_rollout(page, i, &order, &err) == 0)
				RC_ASSERT(order.period > 0 &&
					  order.period <= ROLLOUT_PERIOD_MAX);
			g_free(wire_page_spec(page, i));
		}
		if (page)
			wire_page_destroy(page);
	});
}

static bool prop_lease()
{
	return rc::check("the lease", [] {
		auto bytes = mutated(lease_text);
		uint64_t revision = 0;
		pd_error_t err;

		lease_record_destroy(wire_lease_parse(bytes.data(), bytes.size(),
						      &revision, &err));
	});
}

static bool prop_note()
{
	return rc::check("the note of the duties' holder", [] {
		auto bytes = mutated("{\"needs\":{\"s\":4.5},\"report\":\"r\","
				     "\"window\":5}");
		duties_note_t *note = duties_note_parse(bytes.c_str());

		RC_ASSERT(duties_note_need(note, "s") >= 0);
		duties_note_destroy(note);
	});
}

static bool prop_record()
{
	return rc::check("the checkpoint's record", [] {
		auto bytes = mutated("{\"metadata\":{\"name\":\"slot-0\","
				     "\"revision\":3},\"spec\":{"
				     "\"gateways\":63,\"accounts\":"
				     "{\"mill\":[-5,900]},"
				     "\"clocks\":{\"g1\":-25},"
				     "\"versions\":{\"s\":\"9f\"},"
				     "\"speeds\":{\"9f\":-3},"
				     "\"leader\":\"g5\"}}");
		uint64_t revision = 0;
		pd_error_t err;
		char *text = wire_record_parse(bytes.data(), bytes.size(),
					       &revision, &err);
		checkpoint_record_t *record =
			text ? checkpoint_record_parse(text, &err) : nullptr;

		checkpoint_record_destroy(record);
		g_free(text);
	});
}

/* Returns the bytes that TEXT has in base64 under KEY. */
static std::string decoded(const char *text, const std::string &key)
{
	std::string packed = strstr(text, (key + "\":\"").c_str()) + key.size() + 3;
	guchar *data;
	gsize len;

	packed.resize(packed.find('"'));
	data = g_base64_decode(packed.c_str(), &len);
	packed.assign(reinterpret_cast<char *>(data), len);
	g_free(data);
	return packed;
}

static std::string encoded(const std::string &packed)
{
	char *text =
		g_base64_encode(reinterpret_cast<const guchar *>(packed.data()),
				packed.size());
	std::string copy = text;

	g_free(text);
	return copy;
}

/* Returns msgpack of usage counts and of in-flight snapshots. */
static std::pair<std::string, std::string> packed_counts()
{
	usage_t *usage = usage_create("g#1");
	usage_inflight_t *inflight = usage_inflight_create();
	inflight_snapshot_t *snapshot =
		inflight_snapshot_create(usage_own_id(usage));
	std::pair<std::string, std::string> packed;
	char *text;

	usage_increment(usage, 7, "mill");
	usage_increment(usage, 7, "gin");
	usage_increment(usage, 8, "mill");
	snapshot->boot_time = PD_SEC;
	snapshot->taken_at = PD_SEC;
	snapshot->window = 8;
	inflight_snapshot_add(snapshot, "mill", 3);
	usage_inflight_update(inflight, snapshot);
	text = usage_table_encode(usage, inflight, 0);
	packed = { decoded(text, "counts"), decoded(text, "in_flight") };
	g_free(text);
	usage_inflight_destroy(inflight);
	usage_destroy(usage);
	return packed;
}

static std::string table(const std::string &counts, const std::string &snapshots)
{
	return "{\"format\":1,\"counts\":\"" + encoded(counts) +
	       "\",\"in_flight\":\"" + encoded(snapshots) + "\"}";
}

static void add_lost(void *ctx, const usage_entry_t *entry)
{
	*static_cast<uint64_t *>(ctx) += entry->count;
}

static bool prop_counts()
{
	return rc::check("the checkpoint's counts", [] {
		auto packed = packed_counts();
		auto counts = table(mutated(packed.first), packed.second);
		auto snapshots = table(packed.first, mutated(packed.second));
		auto text = mutated(counts);
		usage_t *usage = usage_create("g#2");
		usage_inflight_t *inflight = usage_inflight_create();
		uint64_t sum = 0;
		pd_error_t err;

		usage_table_merge(counts.c_str(), usage, inflight, &err);
		usage_table_merge(snapshots.c_str(), usage, inflight, &err);
		usage_table_merge(text.c_str(), usage, inflight, &err);
		usage_inflight_each_lost(inflight, usage, 8, add_lost, &sum);
		usage_inflight_destroy(inflight);
		usage_destroy(usage);
	});
}

/* Slices of streams: what is not of the format changes nothing. */
static bool prop_stream_slices()
{
	static const char slice[] =
		"{\"format\":1,\"slice\":8,\"versions\":{\"fe\":"
		"\"AQAAAAAAAAACAAAAAAAAAA==\",\"7\":\"AwAAAAAAAAA=\"}}";

	return rc::check("slices of streams", [] {
		auto text = mutated(slice);
		stream_versions_t *streams = stream_versions_create(PD_SEC, 0);
		stream_journal_t *journal = stream_journal_create();
		pd_error_t err;
		int rc = stream_slice_merge(text.c_str(), journal, streams, 0,
					    9 * PD_SEC, &err);

		for (unsigned i = 0; i < STREAM_SLICES; i++) {
			const stream_slice_t *one =
				stream_journal_slice(journal, i);

			RC_ASSERT(one->number <= 9 + STREAM_SLICES);
			if (rc < 0)
				RC_ASSERT(!g_hash_table_size(one->versions));
		}
		stream_journal_destroy(journal);
		stream_versions_destroy(streams);
	});
}

/* The same complete events are found however a response is split. */
static bool prop_events()
{
	return rc::check("event streams", [] {
		auto bytes =
			mutated("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
				"id: 3\ndata: c");
		auto cut = *rc::gen::inRange<size_t>(0, bytes.size() + 1);
		event_stream_t *whole = event_stream_create(NULL);
		event_stream_t *parts = event_stream_create(NULL);

		event_stream_feed(whole, bytes.data(), bytes.size());
		event_stream_feed(parts, bytes.data(), cut);
		event_stream_feed(parts, bytes.data() + cut, bytes.size() - cut);
		RC_ASSERT(whole->count == parts->count);
		RC_ASSERT(whole->whole == parts->whole);
		RC_ASSERT(g_strcmp0(whole->last_id, parts->last_id) == 0);
		event_stream_destroy(whole);
		event_stream_destroy(parts);
	});
}

static bool prop_calls()
{
	return rc::check("headers of calls and answers", [] {
		auto names = std::vector<std::string>{
			"X-Prompt-Prefix", "X-Token-Count", "X-Deadline-Ms",
			"Authorization",   "Connection",    "Keep-Alive",
			"Last-Event-Id",   "Host",	    "X-Attempt-Id"
		};
		auto name = *rc::gen::elementOf(names);
		auto value = mutated("1f:800,2a:10,timeout=3, close");
		header_t header = { name.c_str(), value.c_str() };
		forward_call_t *call = wire_call_parse("GET", "/", &header, 1);
		wire_response_t answer;

		RC_ASSERT(call->part_count <= PROMPT_PARTS_MAX);
		wire_response_parse(&header, 1, &answer);
		wire_response_header_is_forwarded(&header, 1, 0);
		forward_call_destroy(call);
	});
}

int main()
{
	gateway_t *gateway;
	bool ok = true;

	log_init("error");
	gateway = create_idle_gateway();
	if (!gateway)
		return 1;
	fill_gateway(gateway);
	ok &= prop_peers(gateway);
	ok &= prop_speeds(gateway);
	ok &= prop_config();
	ok &= prop_pages();
	ok &= prop_lease();
	ok &= prop_note();
	ok &= prop_record();
	ok &= prop_counts();
	ok &= prop_stream_slices();
	ok &= prop_events();
	ok &= prop_calls();
	return ok ? 0 : 1;
}
