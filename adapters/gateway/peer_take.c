/* Takes in the messages of other gateways. */
#include <string.h>

#include "adapters/gateway/flight_pack.h"
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/peer_state.h"
#include "adapters/log_glib.h"
#include "adapters/msgpack_check.h"

#define PART "peers"
/* Who all other gateways are, in the counts, when an aggregator sums them up. */
#define EVERYBODY "everybody"
/* Levels of buckets are taken over from older peers so soon after the start. */
#define ADOPT_MAX (3 * PD_SEC)
/* What was asked for is asked for again only after so long. */
#define FETCH_PERIOD (400 * PD_MSEC)
/*
 * News is on its way for some tens of milliseconds, during which two gateways
 * differ; nothing is missing then.
 */
#define DIFFERS_MIN (300 * PD_MSEC)
#define FETCH_PERIOD_MAX (6400 * PD_MSEC)

/* A peer's values by name, and the sums of all peers' that they are part of. */
typedef struct part {
	GHashTable *values;
	GHashTable *sums;
} part_t;

static void part_set(const part_t *part, const char *name, double value)
{
	double *known = peers_value(part->values, name);

	*peers_value(part->sums, name) += value - *known;
	*known = value;
}

/* What a message says of one account's use. */
typedef struct use_told {
	char *account; /* owned */
	double total;
	double asked;
	bool has_level;
	double level;
} use_told_t;

/* Reads an account's use; false if it is not one. */
static bool read_use(const msgpack_object *object, use_told_t *use)
{
	const msgpack_object *fields =
		msgpack_field_items(object, USE_FIELDS, NULL);

	if (!fields)
		return false;
	use->account = msgpack_field_text(&fields[0]);
	use->total = msgpack_field_decimal(&fields[1]);
	use->has_level = fields[2].type != MSGPACK_OBJECT_NIL;
	use->level = msgpack_field_decimal(&fields[2]);
	use->asked = msgpack_field_decimal(&fields[3]);
	return use->account != NULL;
}

/* Takes what accounts used at a peer; ADOPT: it knows the levels better. */
static void take_uses(gateway_peers_t *peers, peer_t *peer,
		      const msgpack_object *object, bool adopt, bool recent)
{
	const part_t totals = { peer->totals, peers->totals };
	const part_t asked = { peer->asked, peers->asked };
	token_limits_t *limits = peers->gateway->limits;
	pd_time_t now = gateway_now();
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_items(object, 0, &count);
	use_told_t use;

	for (uint32_t i = 0; i < count; i++) {
		if (!read_use(&items[i], &use))
			continue;
		if (adopt && use.has_level)
			token_limits_raise_level(limits, use.account, use.level,
						 now);
		token_limits_record_peer_use(limits, use.account, peer->incarnation,
					     use.total, recent, now);
		token_limits_record_peer_demand(limits, use.account,
						peer->incarnation, use.asked, now);
		part_set(&totals, use.account, use.total);
		part_set(&asked, use.account, use.asked);
		g_free(use.account);
	}
}

/* Takes what accounts used at all but this gateway, and the levels, from an aggregator. */
static void take_sums(gateway_peers_t *peers, const msgpack_object *object)
{
	token_limits_t *limits = peers->gateway->limits;
	pd_time_t now = gateway_now();
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_items(object, 0, &count);
	use_told_t use;

	for (uint32_t i = 0; i < count; i++) {
		if (!read_use(&items[i], &use))
			continue;
		token_limits_record_peer_use(limits, use.account, EVERYBODY,
					     use.total, false, now);
		token_limits_record_peer_demand(limits, use.account, EVERYBODY,
						use.asked, now);
		if (use.has_level)
			token_limits_set_level(limits, use.account, use.level, now);
		g_free(use.account);
	}
}

static void take_works(gateway_t *gateway, const char *who,
		       const msgpack_object *object, const part_t *part)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_items(object, 0, &count);

	for (uint32_t i = 0; i < count; i++) {
		const msgpack_object *pair =
			msgpack_field_items(&items[i], 2, NULL);
		char *service = pair ? msgpack_field_text(&pair[0]) : NULL;
		double total;

		if (!service)
			continue;
		total = msgpack_field_decimal(&pair[1]);
		work_rate_record_peer(gateway->work, who, service, total);
		if (part)
			part_set(part, service, total);
		g_free(service);
	}
}

/* Takes the speeds of engines that a peer has seen. */
static void take_speeds(gateway_t *gateway, const msgpack_object *object)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_items(object, 0, &count);

	for (uint32_t i = 0; i < count; i++) {
		const msgpack_object *pair =
			msgpack_field_items(&items[i], 2, NULL);
		char *service = pair ? msgpack_field_text(&pair[0]) : NULL;

		/* A peer may not have this gateway keep services of its own. */
		if (service && gateway->config &&
		    forward_config_service(gateway->config, service))
			engine_speeds_record_peer(
				forward_upstreams_speeds(gateway->upstreams),
				service, msgpack_field_decimal(&pair[1]));
		g_free(service);
	}
}

/* Merges the counts of usage of one start of a peer. */
static void take_usages(gateway_t *gateway, const char *incarnation,
			const msgpack_object *object)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_items(object, 0, &count);
	uint64_t incarnation_id = usage_incarnation_id(incarnation);

	for (uint32_t i = 0; i < count; i++) {
		const msgpack_object *fields =
			msgpack_field_items(&items[i], USAGE_FIELDS, NULL);
		char *account = fields ? msgpack_field_text(&fields[1]) : NULL;

		if (account) {
			const usage_entry_t entry = {
				.window = (int64_t)msgpack_field_number(&fields[0]),
				.incarnation_id = incarnation_id,
				.account = account,
				.count = msgpack_field_number(&fields[2]),
			};

			usage_merge(gateway->usage, &entry);
		}
		g_free(account);
	}
}

/* Takes up to which window the counts that came with a state are all of its sender's. */
static void take_closed(gateway_t *gateway, const char *incarnation,
			const msgpack_object *object)
{
	if (object->type != MSGPACK_OBJECT_NIL)
		usage_watermarks_advance(gateway->watermarks,
					 usage_incarnation_id(incarnation),
					 (int64_t)msgpack_field_number(object));
}

static void take_members(gateway_peers_t *peers, const msgpack_object *object)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_items(object, 0, &count);

	for (uint32_t i = 0; i < count; i++) {
		const msgpack_object *fields =
			msgpack_field_items(&items[i], MEMBER_FIELDS, NULL);
		char *address = fields ? msgpack_field_text(&fields[0]) : NULL;
		peer_t *peer = address ? peers_add(peers, address) : NULL;

		if (peer) {
			peer->mentioned_at = gateway_now();
			peer->strong = msgpack_field_number(&fields[1]) != 0;
			peer->zone = (uint16_t)msgpack_field_number(&fields[2]);
		}
		g_free(address);
	}
}

static pd_time_t limits_window(const gateway_peers_t *peers)
{
	return (pd_time_t)(peers->gateway->settings->limits_window_s * PD_SEC);
}

/* Says whether a peer of that age knows what was used before this start. */
static bool peer_knows_more(gateway_peers_t *peers, uint64_t age)
{
	if (peers->adopted || gateway_now() - peers->started_at > ADOPT_MAX ||
	    (pd_time_t)age < limits_window(peers))
		return false;
	peers->adopted = true;
	return true;
}

/*
 * Says whether upstreams may be fetched from a peer with another digest. If
 * fetching did not help, as the peer is the one that is behind, it is done less
 * and less often until one of the two learns something.
 */
static bool may_fetch_upstreams(gateway_peers_t *peers, uint64_t digest,
				pd_time_t now)
{
	uint64_t differing = digest ^ peers_digest(peers);

	if (!differing)
		peers->differs_since = 0;
	else if (!peers->differs_since)
		peers->differs_since = now;
	if (!differing || (peers->gateway->upstreams_known &&
			   now - peers->differs_since < DIFFERS_MIN))
		return false;
	if (now - peers->fetched_upstreams_at < peers->fetch_pause)
		return false;
	if (differing == peers->fetched_for)
		peers->fetch_pause = MIN(peers->fetch_pause * 2, FETCH_PERIOD_MAX);
	else
		peers->fetch_pause = FETCH_PERIOD;
	peers->fetched_for = differing;
	peers->fetched_upstreams_at = now;
	return true;
}

/* Asks for what the peer has newer, or knows otherwise; 0: not told. */
static void fetch_newer(gateway_peers_t *peers, peer_t *peer, uint64_t version,
			uint64_t digest)
{
	pd_time_t now = gateway_now();
	unsigned int what = 0;

	if (version > peers_config_version(peers) &&
	    now - peers->fetched_config_at > FETCH_PERIOD) {
		peers->fetched_config_at = now;
		what |= FETCH_CONFIG;
	}
	if (digest && may_fetch_upstreams(peers, digest, now))
		what |= FETCH_UPSTREAMS;
	if (what)
		peers_send_fetch(peers, peer, what);
}

static void take_store_age(gateway_peers_t *peers, uint64_t age)
{
	pd_time_t heard_at = gateway_now() - (pd_time_t)age;

	peers->store_heard_at = MAX(peers->store_heard_at, heard_at);
	gateway_store_answered(peers->gateway, heard_at);
}

/*
 * Takes who holds the duties, if that is newer than what is known. Without the
 * fencing number, the many who had not heard of a new holder told the aggregators the
 * old one again and again, and usage was sent there for the rest of the day.
 */
static void take_holder(gateway_peers_t *peers, const msgpack_object *object,
			uint64_t fence)
{
	char *holder = msgpack_field_text(object);

	if (holder && *holder && fence > peers->holder_fence) {
		g_free(peers->holder);
		peers->holder = g_steal_pointer(&holder);
		peers->holder_fence = fence;
		peers->is_holder = false;
	}
	g_free(holder);
}

/* Returns the id of the VM, which an incarnation begins with; owned by the caller. */
static char *incarnation_vm(const char *incarnation)
{
	return g_strndup(incarnation, usage_vm_len(incarnation));
}

/* Notes who sent a state or summary; NULL if that can't be read. */
static peer_t *take_sender(gateway_peers_t *peers, const msgpack_object *fields)
{
	unsigned int flags =
		(unsigned int)msgpack_field_number(&fields[STATE_FLAGS]);
	char *address = msgpack_field_text(&fields[STATE_ADDRESS]);
	char *who = msgpack_field_text(&fields[STATE_INCARNATION]);
	peer_t *peer = address && who ? peers_add(peers, address) : NULL;

	if (!peer)
		goto done;
	if (!peer->incarnation || strcmp(peer->incarnation, who)) {
		log_line(G_LOG_LEVEL_INFO, PART, "found=%s address=%s", who,
			 address);
		if (peer->incarnation)
			token_limits_remove_peer(peers->gateway->limits,
						 peer->incarnation);
		peers_forget_counts(peers, peer);
	}
	g_free(peer->incarnation);
	g_free(peer->vm_id);
	peer->incarnation = g_strdup(who);
	peer->vm_id = incarnation_vm(who);
	peer->strong = flags & STATE_FLAG_STRONG;
	peer->has_store = flags & STATE_FLAG_HAS_STORE;
	peer->zone = (uint16_t)msgpack_field_number(&fields[STATE_ZONE]);
	take_store_age(peers, msgpack_field_number(&fields[STATE_STORE_AGE]));
	take_holder(peers, &fields[STATE_HOLDER],
		    msgpack_field_number(&fields[STATE_FENCE]));
done:
	g_free(address);
	g_free(who);
	return peer;
}

/* Takes the clock of a state's sender; times beyond all reason are left out. */
static void take_clock(gateway_t *gateway, const peer_t *peer,
		       const msgpack_object *fields, pd_time_t now)
{
	uint64_t wall = msgpack_field_number(&fields[STATE_WALL]);
	uint64_t age = msgpack_field_number(&fields[STATE_CLOCK_AGE]);

	if (wall <= PD_TIME_MAX && age <= PD_TIME_MAX)
		time_vote_receive_reading(gateway->vote, peer->vm_id,
					  (pd_time_t)wall, (pd_time_t)age, now);
}

/* Takes from a peer's message whether it was served by the store. */
static void peer_shows_store(gateway_t *gateway, const peer_t *peer, pd_time_t now)
{
	store_outage_peer_heard(gateway->outage, now);
	if (!peer->has_store)
		gateway_store_failed(gateway, now);
}

static int take_state(gateway_peers_t *peers, const msgpack_object *fields)
{
	gateway_t *gateway = peers->gateway;
	unsigned int flags =
		(unsigned int)msgpack_field_number(&fields[STATE_FLAGS]);
	peer_t *peer = take_sender(peers, fields);
	pd_time_t now = gateway_now();
	uint64_t age = msgpack_field_number(&fields[STATE_AGE]);
	bool first;

	if (!peer)
		return -1;
	first = !peer_is_heard(peer, now);
	peer->heard_at = now;
	peer->started_at = now - (pd_time_t)MIN(age, PD_TIME_MAX);
	peer_shows_store(gateway, peer, now);
	take_clock(gateway, peer, fields, now);
	take_usages(gateway, peer->incarnation, &fields[STATE_USAGES]);
	take_closed(gateway, peer->incarnation, &fields[STATE_CLOSED]);
	take_speeds(gateway, &fields[STATE_SPEEDS]);
	take_members(peers, &fields[STATE_MEMBERS]);
	/* The sums of the aggregator include this peer already. */
	if (!peers->aggregator) {
		const part_t works = { peer->works, peers->works };

		take_uses(peers, peer, &fields[STATE_TOTALS],
			  peer_knows_more(peers, age),
			  (pd_time_t)age < limits_window(peers));
		take_works(gateway, peer->incarnation, &fields[STATE_WORKS],
			   &works);
		peers_take_own_loads(peers, peer->loads, &fields[STATE_LOADS]);
	}
	if (flags & STATE_FLAG_ASKS)
		peers_send_summary(peers, peer,
				   first || now - peer->members_at >=
						    PEERS_FULL_PERIOD);
	else if (first)
		peers_send_state(peers, peer, false, true);
	fetch_newer(peers, peer, msgpack_field_number(&fields[STATE_CONFIG]),
		    msgpack_field_number(&fields[STATE_DIGEST]));
	return 0;
}

static int take_summary(gateway_peers_t *peers, const msgpack_object *fields)
{
	gateway_t *gateway = peers->gateway;
	peer_t *peer = take_sender(peers, fields);
	pd_time_t now = gateway_now();
	uint64_t wall;

	if (!peer)
		return -1;
	peer->heard_at = now;
	peer_shows_store(gateway, peer, now);
	take_members(peers, &fields[STATE_MEMBERS]);
	fetch_newer(peers, peer, msgpack_field_number(&fields[STATE_CONFIG]),
		    msgpack_field_number(&fields[STATE_DIGEST]));
	if (!peers->aggregator || strcmp(peers->aggregator, peer->address))
		return 0;
	peers->summed_at = now;
	peers->told_count =
		(unsigned int)msgpack_field_number(&fields[STATE_COUNT]);
	wall = msgpack_field_number(&fields[STATE_WALL]);
	if (wall <= PD_TIME_MAX)
		time_vote_receive_result(gateway->vote, (pd_time_t)wall, now);
	take_sums(peers, &fields[STATE_TOTALS]);
	take_works(gateway, EVERYBODY, &fields[STATE_WORKS], NULL);
	take_speeds(gateway, &fields[STATE_SPEEDS]);
	peers_take_all_loads(peers, &fields[STATE_LOADS]);
	return 0;
}

static int take_announce(gateway_peers_t *peers, const msgpack_object *fields)
{
	char *address = msgpack_field_text(&fields[1]);
	peer_t *peer = address ? peers_add(peers, address) : NULL;

	g_free(address);
	if (!peer)
		return -1;
	fetch_newer(peers, peer, msgpack_field_number(&fields[2]), 0);
	return 0;
}

static int take_config(gateway_peers_t *peers, const msgpack_object *fields)
{
	char *text = msgpack_field_text(&fields[1]);

	if (!text)
		return -1;
	gateway_take_config(peers->gateway, text, "peer");
	g_free(text);
	return 0;
}

static gboolean was_asked_long_ago(gpointer mark, gpointer asked_at, gpointer now)
{
	(void)mark;
	return (pd_time_t)(gintptr)now - (pd_time_t)(gintptr)asked_at > FETCH_PERIOD;
}

/* Returns whether an upstream's rest may be asked for: no peer was just now. */
static bool may_ask(gateway_peers_t *peers, uint64_t mark)
{
	pd_time_t now = gateway_now();

	if (now - peers->wanted_at > FETCH_PERIOD) {
		g_hash_table_foreach_remove(peers->wanted, was_asked_long_ago,
					    (gpointer)(gintptr)now);
		peers->wanted_at = now;
	}
	if (g_hash_table_contains(peers->wanted, GSIZE_TO_POINTER(mark)))
		return false;
	g_hash_table_insert(peers->wanted, GSIZE_TO_POINTER(mark),
			    (gpointer)(gintptr)now);
	return true;
}

/*
 * Takes the stage of an upstream; adds its mark to UNKNOWN if that is all that
 * is known of it. One that is gone is of no interest then.
 */
static void take_stage(gateway_peers_t *peers, const msgpack_object *fields,
		       GArray *unknown)
{
	gateway_t *gateway = peers->gateway;
	uint64_t mark = msgpack_field_number(&fields[0]);
	const forward_change_t change = {
		.stage = (forward_stage_t)msgpack_field_number(&fields[1]),
		.revision = msgpack_field_number(&fields[2]),
		.born = (int64_t)msgpack_field_number(&fields[3]),
	};
	forward_upstream_t *upstream =
		forward_upstreams_marked(gateway->upstreams, (uint32_t)mark);

	if (change.stage > FORWARD_GONE)
		return;
	if (!upstream || upstream->mark != mark) {
		if (change.stage != FORWARD_GONE && may_ask(peers, mark))
			g_array_append_val(unknown, mark);
		return;
	}
	if (forward_upstreams_restage(gateway->upstreams, upstream, &change,
				      gateway_now()))
		gateway_upstream_news(gateway, upstream->id, "peer");
}

/* Takes one upstream that a peer knows of. */
static void take_upstream(gateway_peers_t *peers, const msgpack_object *object,
			  GArray *unknown)
{
	gateway_t *gateway = peers->gateway;
	const msgpack_object *fields =
		msgpack_field_items(object, NEWS_FULL_FIELDS, NULL);
	char *texts[4] = { NULL };
	forward_listing_t listing = { 0 };
	bool news = false;

	if (!fields) {
		fields = msgpack_field_items(object, NEWS_BRIEF_FIELDS, NULL);
		if (fields)
			take_stage(peers, fields, unknown);
		return;
	}
	texts[0] = msgpack_field_text(&fields[0]);
	texts[1] = msgpack_field_text(&fields[1]);
	texts[2] = msgpack_field_text(&fields[2]);
	texts[3] = msgpack_field_text(&fields[4]);
	listing.id = texts[0];
	listing.service = texts[1];
	listing.address = texts[2];
	listing.port = (uint16_t)msgpack_field_number(&fields[3]);
	listing.zone = texts[3];
	listing.slots = (unsigned int)msgpack_field_number(&fields[5]);
	listing.stage = (forward_stage_t)msgpack_field_number(&fields[6]);
	listing.reclaimable = msgpack_field_number(&fields[7]) != 0;
	listing.revision = msgpack_field_number(&fields[8]);
	listing.born = (int64_t)msgpack_field_number(&fields[9]);
	if (!texts[0] || !texts[1] || !texts[2] || !texts[3] ||
	    listing.stage > FORWARD_GONE)
		goto done;
	if (listing.stage == FORWARD_GONE)
		news = forward_upstreams_remove(gateway->upstreams, listing.id,
						listing.revision, gateway_now());
	else
		news = forward_upstreams_apply(gateway->upstreams, &listing);
	/* Passed on, as a peer may reach some that the sender does not. */
	if (news)
		gateway_upstream_news(gateway, listing.id, "peer");
done:
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		g_free(texts[i]);
}

static int take_news(gateway_peers_t *peers, const msgpack_object *fields)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_items(&fields[3], 0, &count);
	char *address = msgpack_field_text(&fields[1]);
	peer_t *peer = address ? peers_add(peers, address) : NULL;
	GArray *unknown;

	g_free(address);
	if (!peer || !items)
		return -1;
	unknown = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (uint32_t i = 0; i < count; i++)
		take_upstream(peers, &items[i], unknown);
	if (msgpack_field_number(&fields[2]))
		peers->gateway->upstreams_known = true;
	if (unknown->len)
		peers_send_fetch_marked(peers, peer, unknown);
	g_array_unref(unknown);
	return 0;
}

static void give_marked(gateway_peers_t *peers, peer_t *peer,
			const msgpack_object *object)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_items(object, 0, &count);
	GArray *marks = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (uint32_t i = 0; i < count; i++) {
		uint64_t mark = msgpack_field_number(&items[i]);

		g_array_append_val(marks, mark);
	}
	peers_send_marked(peers, peer, marks);
	g_array_unref(marks);
}

/* Reads the digests that a peer sent along. False: it sent none. */
static bool take_digests(const msgpack_object *object,
			 uint64_t digests[FORWARD_BUCKETS])
{
	const msgpack_object *items =
		msgpack_field_items(object, FORWARD_BUCKETS, NULL);

	if (!items)
		return false;
	for (unsigned int i = 0; i < FORWARD_BUCKETS; i++)
		digests[i] = msgpack_field_number(&items[i]);
	return true;
}

static int take_fetch(gateway_peers_t *peers, const msgpack_object *fields)
{
	uint64_t digests[FORWARD_BUCKETS];
	uint64_t what = msgpack_field_number(&fields[2]);
	char *address = msgpack_field_text(&fields[1]);
	peer_t *peer = address ? peers_add(peers, address) : NULL;

	g_free(address);
	if (!peer)
		return -1;
	if (what & FETCH_CONFIG)
		peers_send_config(peers, peer);
	if (what & FETCH_MARKED)
		give_marked(peers, peer, &fields[3]);
	if (what & FETCH_UPSTREAMS)
		peers_send_upstreams(peers, peer,
				     take_digests(&fields[3], digests) ? digests
								       : NULL);
	return 0;
}

static void take_flight(gateway_t *gateway, const msgpack_object *object)
{
	inflight_snapshot_t *flight = flight_read(object);

	if (flight)
		usage_inflight_update(gateway->inflight, flight);
}

static int take_counts(gateway_peers_t *peers, const msgpack_object *fields)
{
	char *address = msgpack_field_text(&fields[1]);
	char *who = msgpack_field_text(&fields[2]);
	peer_t *peer = address ? peers_find(peers, address) : NULL;
	int rc;

	if (who)
		take_usages(peers->gateway, who, &fields[3]);
	take_flight(peers->gateway, &fields[5]);
	peers->counts_taken_at = gateway_now();
	/* What it had used before it was first heard comes with its state. */
	if (peer && who && !g_strcmp0(peer->incarnation, who) && !peers->aggregator)
		take_uses(peers, peer, &fields[4], false, true);
	rc = address && who ? 0 : -1;
	g_free(address);
	g_free(who);
	return rc;
}

static int take_message(gateway_peers_t *peers, const msgpack_object *object)
{
	static const uint32_t lengths[] = {
		[MESSAGE_STATE] = STATE_FIELDS,
		[MESSAGE_SUMMARY] = STATE_FIELDS,
		[MESSAGE_NEWS] = NEWS_FIELDS,
		[MESSAGE_ANNOUNCE] = 3,
		[MESSAGE_CONFIG] = 2,
		[MESSAGE_FETCH] = FETCH_FIELDS,
		[MESSAGE_COUNTS] = COUNTS_FIELDS,
	};
	uint32_t count = 0;
	const msgpack_object *fields = msgpack_field_items(object, 1, &count);
	uint64_t kind = fields ? msgpack_field_number(&fields[0]) : UINT64_MAX;

	if (kind > MESSAGE_COUNTS || count < lengths[kind])
		return -1;
	switch ((message_kind_t)kind) {
	case MESSAGE_STATE:
		return take_state(peers, fields);
	case MESSAGE_SUMMARY:
		return take_summary(peers, fields);
	case MESSAGE_NEWS:
		return take_news(peers, fields);
	case MESSAGE_ANNOUNCE:
		return take_announce(peers, fields);
	case MESSAGE_CONFIG:
		return take_config(peers, fields);
	case MESSAGE_FETCH:
		return take_fetch(peers, fields);
	case MESSAGE_COUNTS:
		return take_counts(peers, fields);
	}
	return -1;
}

/* Takes one message; -1 if it can't be understood. */
int peers_take(gateway_peers_t *peers, const char *data, size_t len)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	int rc = -1;

	msgpack_unpacked_init(&unpacked);
	if (msgpack_sizes_fit(data, len) &&
	    msgpack_unpack_next(&unpacked, data, len, &offset) ==
		    MSGPACK_UNPACK_SUCCESS)
		rc = take_message(peers, &unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	if (rc < 0)
		log_line(G_LOG_LEVEL_WARNING, PART,
			 "dropped a message of %zu bytes: not understood", len);
	return rc;
}
