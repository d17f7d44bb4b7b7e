/* Decodes and applies the messages of other gateways. */
#include <string.h>

#include "adapters/gateway/config_origin.h"
#include "adapters/gateway/flight_pack.h"
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/peer_state.h"
#include "adapters/log_glib.h"
#include "adapters/msgpack_check.h"

#define LOG_COMPONENT "peers"
/*
 * Stands for all other gateways when an aggregator sends the sum of their
 * counters.
 */
#define ALL_PEERS "everybody"
/*
 * Bucket levels are adopted from longer-running peers only this soon after the
 * start.
 */
#define LEVEL_ADOPTION_WINDOW (3 * PD_SEC)
/* Minimum time before the same data is fetched again. */
#define FETCH_PERIOD (400 * PD_MSEC)
/*
 * Updates take some tens of milliseconds to spread. Digests that differ for
 * less than this do not mean that an update was lost.
 */
#define DIVERGENCE_MIN (300 * PD_MSEC)
/* Bound on the time between fetches that do not help. */
#define FETCH_PERIOD_MAX (6400 * PD_MSEC)

/* A peer's values by name, and the sums over all peers that include them. */
typedef struct summed_values {
	GHashTable *values;
	GHashTable *sums;
} summed_values_t;

/* Sets a peer's value and adjusts the sum by the difference. */
static void summed_values_set(const summed_values_t *summed, const char *name,
			      double value)
{
	double *previous = peers_value(summed->values, name);

	*peers_value(summed->sums, name) += value - *previous;
	*previous = value;
}

/* One account's limit use, as sent. */
typedef struct limit_use {
	char *account; /* owned */
	double granted;
	double requested;
	bool has_level;
	double level;
} limit_use_t;

/*
 * Decodes an account's limit use. Returns false if it is malformed; otherwise
 * the caller frees the account.
 */
static bool read_limit_use(const msgpack_object *object, limit_use_t *use)
{
	const msgpack_object *fields =
		msgpack_field_array(object, LIMIT_USE_FIELDS, NULL);

	if (!fields)
		return false;
	use->account = msgpack_field_string(&fields[0]);
	use->granted = msgpack_field_double(&fields[1]);
	use->has_level = fields[2].type != MSGPACK_OBJECT_NIL;
	use->level = msgpack_field_double(&fields[2]);
	use->requested = msgpack_field_double(&fields[3]);
	return use->account != NULL;
}

/*
 * Applies a peer's limit uses. ADOPT: take over its bucket levels too, as it
 * has run for longer. RECENT: it started within the limits' window, so all of
 * its use counts and not only what it uses from now on.
 */
static void merge_limit_uses(gateway_peers_t *peers, peer_t *peer,
			     const msgpack_object *object, bool adopt, bool recent)
{
	const summed_values_t granted = { peer->granted, peers->granted };
	const summed_values_t requested = { peer->requested, peers->requested };
	token_limits_t *limits = peers->gateway->limits;
	pd_time_t now = gateway_now();
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(object, 0, &count);
	limit_use_t use;

	for (uint32_t i = 0; i < count; i++) {
		if (!read_limit_use(&items[i], &use))
			continue;
		if (adopt && use.has_level)
			token_limits_raise_level(limits, use.account, use.level,
						 now);
		token_limits_record_peer_use(limits, use.account, peer->incarnation,
					     use.granted, recent, now);
		token_limits_record_peer_demand(limits, use.account,
						peer->incarnation,
						use.requested, now);
		summed_values_set(&granted, use.account, use.granted);
		summed_values_set(&requested, use.account, use.requested);
		g_free(use.account);
	}
}

/*
 * Applies an aggregator's limit uses, summed over all gateways but this one,
 * and its bucket levels.
 */
static void apply_limit_use_sums(gateway_peers_t *peers, const msgpack_object *object)
{
	token_limits_t *limits = peers->gateway->limits;
	pd_time_t now = gateway_now();
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(object, 0, &count);
	limit_use_t use;

	for (uint32_t i = 0; i < count; i++) {
		if (!read_limit_use(&items[i], &use))
			continue;
		token_limits_record_peer_use(limits, use.account, ALL_PEERS,
					     use.granted, false, now);
		token_limits_record_peer_demand(limits, use.account, ALL_PEERS,
						use.requested, now);
		if (use.has_level)
			token_limits_set_level(limits, use.account, use.level, now);
		g_free(use.account);
	}
}

/*
 * Applies the work of a peer, named by its incarnation or ALL_PEERS. SUMMED: its values
 * and the sums to update too; NULL: none.
 */
static void merge_work(gateway_t *gateway, const char *peer,
		       const msgpack_object *object, const summed_values_t *summed)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(object, 0, &count);

	for (uint32_t i = 0; i < count; i++) {
		const msgpack_object *pair =
			msgpack_field_array(&items[i], 2, NULL);
		char *service = pair ? msgpack_field_string(&pair[0]) : NULL;
		double total;

		if (!service)
			continue;
		total = msgpack_field_double(&pair[1]);
		work_rate_record_peer(gateway->work, peer, service, total);
		if (summed)
			summed_values_set(summed, service, total);
		g_free(service);
	}
}

/* Applies the engine speeds observed by a peer. */
static void merge_engine_speeds(gateway_t *gateway, const msgpack_object *object)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(object, 0, &count);

	for (uint32_t i = 0; i < count; i++) {
		const msgpack_object *pair =
			msgpack_field_array(&items[i], 2, NULL);
		char *service = pair ? msgpack_field_string(&pair[0]) : NULL;

		/* A peer must not add services unknown to this gateway. */
		if (service && gateway->config &&
		    forward_config_service(gateway->config, service))
			engine_speeds_record_peer(forward_upstreams_speeds(
							  gateway->upstreams),
						  service,
						  msgpack_field_double(&pair[1]));
		g_free(service);
	}
}

/* Merges the usage counts of one incarnation of a peer. */
static void merge_usage(gateway_t *gateway, const char *incarnation,
			const msgpack_object *object)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(object, 0, &count);
	uint64_t incarnation_id = usage_incarnation_id(incarnation);

	for (uint32_t i = 0; i < count; i++) {
		const msgpack_object *fields =
			msgpack_field_array(&items[i], USAGE_FIELDS, NULL);
		char *account = fields ? msgpack_field_string(&fields[1]) : NULL;

		if (account) {
			const usage_entry_t entry = {
				.window = (int64_t)msgpack_field_uint64(&fields[0]),
				.incarnation_id = incarnation_id,
				.account = account,
				.count = msgpack_field_uint64(&fields[2]),
			};

			usage_merge(gateway->usage, &entry);
		}
		g_free(account);
	}
}

/*
 * Applies the watermark of a state: all usage of its sender up to that window
 * is known.
 */
static void merge_watermark(gateway_t *gateway, const char *incarnation,
			    const msgpack_object *object)
{
	if (object->type != MSGPACK_OBJECT_NIL)
		usage_watermarks_advance(gateway->watermarks,
					 usage_incarnation_id(incarnation),
					 (int64_t)msgpack_field_uint64(object));
}

/*
 * Applies what another gateway lists of a member, unless the member itself was heard
 * from, which is newer.
 */
static void update_relay_port(peer_t *peer, uint16_t relay_port)
{
	if (peer_is_heard(peer, gateway_now()))
		return;
	peer->relay_port = relay_port;
	peer->cut_off = false;
}

/* Adds the members that a peer lists, and records that it heard from them. */
static void merge_members(gateway_peers_t *peers, const msgpack_object *object)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(object, 0, &count);

	for (uint32_t i = 0; i < count; i++) {
		uint32_t fields_count = 0;
		const msgpack_object *fields =
			msgpack_field_array(&items[i], MEMBER_FIELDS_MIN,
					    &fields_count);
		char *address = fields ? msgpack_field_string(&fields[0]) : NULL;
		peer_t *peer = address ? peers_add(peers, address) : NULL;

		if (peer) {
			peer->mentioned_at = gateway_now();
			peer->high_capacity = msgpack_field_uint64(&fields[1]) != 0;
			peer->zone = (uint16_t)msgpack_field_uint64(&fields[2]);
			if (fields_count >= MEMBER_FIELDS)
				update_relay_port(peer,
						  (uint16_t)msgpack_field_uint64(
							  &fields[3]));
		}
		g_free(address);
	}
}

/* Returns the window of the token limits. */
static pd_time_t limits_window(const gateway_peers_t *peers)
{
	return (pd_time_t)(peers->gateway->settings->limits_window_s * PD_SEC);
}

/*
 * Returns whether to adopt the bucket levels of a peer with that uptime, as it
 * knows what was used before this gateway started. True at most once.
 */
static bool should_adopt_levels(gateway_peers_t *peers, uint64_t uptime)
{
	if (peers->levels_adopted ||
	    gateway_now() - peers->started_at > LEVEL_ADOPTION_WINDOW ||
	    (pd_time_t)uptime < limits_window(peers))
		return false;
	peers->levels_adopted = true;
	return true;
}

/*
 * Returns whether to fetch upstreams from a peer whose digest is DIGEST. The
 * time between fetches doubles while fetching does not help, as the peer may be
 * the one that is behind, until either digest changes.
 */
static bool may_fetch_upstreams(gateway_peers_t *peers, uint64_t digest,
				pd_time_t now)
{
	uint64_t differing = digest ^ peers_digest(peers);

	if (!differing)
		peers->diverged_since = 0;
	else if (!peers->diverged_since)
		peers->diverged_since = now;
	if (!differing || (peers->gateway->upstreams_listed &&
			   now - peers->diverged_since < DIVERGENCE_MIN))
		return false;
	if (now - peers->fetched_upstreams_at < peers->fetch_backoff)
		return false;
	if (differing == peers->fetched_difference)
		peers->fetch_backoff =
			MIN(peers->fetch_backoff * 2, FETCH_PERIOD_MAX);
	else
		peers->fetch_backoff = FETCH_PERIOD;
	peers->fetched_difference = differing;
	peers->fetched_upstreams_at = now;
	return true;
}

/*
 * Fetches what the peer has in a newer version or knows differently. A VERSION
 * or DIGEST of 0 is not compared.
 */
static void fetch_newer(gateway_peers_t *peers, peer_t *peer, uint64_t version,
			uint64_t digest)
{
	pd_time_t now = gateway_now();
	unsigned int what = 0;

	gateway_config_record_heard(peers->gateway, version, peer->address);
	if (version > peers_config_version(peers) &&
	    now - peers->fetched_config_at > FETCH_PERIOD) {
		peers->fetched_config_at = now;
		what |= FETCH_CONFIG;
		gateway_config_record_fetch(peers->gateway, peer->address);
	}
	if (digest && may_fetch_upstreams(peers, digest, now))
		what |= FETCH_UPSTREAMS;
	if (what)
		peers_send_fetch(peers, peer, what);
}

/* Applies the time since the store answered any gateway, as known to a peer. */
static void update_store_answered_at(gateway_peers_t *peers, uint64_t age)
{
	pd_time_t answered_at = gateway_now() - (pd_time_t)age;

	peers->store_answered_at = MAX(peers->store_answered_at, answered_at);
	gateway_store_answered(peers->gateway, answered_at);
}

/*
 * Applies a peer's view of the leader if its fencing token is newer. Without
 * the token, the many gateways that do not know a new leader yet would keep
 * reporting the old one to the aggregators, and usage would still be sent to
 * it.
 */
static void update_leader(gateway_peers_t *peers, const msgpack_object *object,
			  uint64_t fence)
{
	char *leader = msgpack_field_string(object);

	if (leader && *leader && fence > peers->leader_fence) {
		g_free(peers->leader);
		peers->leader = g_steal_pointer(&leader);
		peers->leader_fence = fence;
		peers->is_leader = false;
	}
	g_free(leader);
}

/*
 * Returns the id of the VM, which is the first part of an incarnation's name;
 * owned by the caller.
 */
static char *incarnation_vm(const char *incarnation)
{
	return g_strndup(incarnation, usage_vm_len(incarnation));
}

/*
 * Applies the fields that describe the sender of a state or summary. Returns
 * its peer, borrowed, or NULL if the fields are malformed.
 */
static peer_t *identify_sender(gateway_peers_t *peers, const msgpack_object *fields)
{
	unsigned int flags =
		(unsigned int)msgpack_field_uint64(&fields[STATE_FLAGS]);
	char *address = msgpack_field_string(&fields[STATE_ADDRESS]);
	char *incarnation = msgpack_field_string(&fields[STATE_INCARNATION]);
	peer_t *peer = address && incarnation ? peers_add(peers, address) : NULL;

	if (!peer)
		goto done;
	if (!peer->incarnation || strcmp(peer->incarnation, incarnation)) {
		log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "found=%s address=%s",
			 incarnation, address);
		if (peer->incarnation)
			token_limits_remove_peer(peers->gateway->limits,
						 peer->incarnation, gateway_now());
		peers_remove_values(peers, peer);
		peer->knows_held = false;
	}
	g_free(peer->incarnation);
	g_free(peer->vm_id);
	peer->incarnation = g_strdup(incarnation);
	peer->vm_id = incarnation_vm(incarnation);
	peer->high_capacity = flags & STATE_FLAG_HIGH_CAPACITY;
	peer->has_store = flags & STATE_FLAG_HAS_STORE;
	peer->cut_off = flags & STATE_FLAG_CUT_OFF;
	peer->relay_port = (uint16_t)(flags >> STATE_RELAY_PORT_SHIFT);
	peer->handles_limits = flags & STATE_FLAG_HANDLES_LIMITS;
	peer->handles_streams = flags & STATE_FLAG_HANDLES_STREAMS;
	peer->handles_quarantine = flags & STATE_FLAG_HANDLES_QUARANTINE;
	peer->zone = (uint16_t)msgpack_field_uint64(&fields[STATE_ZONE]);
	update_store_answered_at(peers, msgpack_field_uint64(
						&fields[STATE_STORE_ANSWER_AGE]));
	update_leader(peers, &fields[STATE_LEADER],
		      msgpack_field_uint64(&fields[STATE_LEADER_FENCE]));
done:
	g_free(address);
	g_free(incarnation);
	return peer;
}

/* Applies the clock of a state's sender. Out-of-range times are ignored. */
static void vote_clock(gateway_t *gateway, const peer_t *peer,
		       const msgpack_object *fields, pd_time_t now)
{
	uint64_t wall = msgpack_field_uint64(&fields[STATE_WALL_TIME]);
	uint64_t step_age = msgpack_field_uint64(&fields[STATE_CLOCK_STEP_AGE]);

	if (wall <= PD_TIME_MAX && step_age <= PD_TIME_MAX)
		time_vote_receive_reading(gateway->vote, peer->vm_id,
					  (pd_time_t)wall, (pd_time_t)step_age,
					  now);
}

/* Records that a peer was heard from, and whether the store was serving it. */
static void record_peer_store_health(gateway_t *gateway, const peer_t *peer,
				     pd_time_t now)
{
	store_outage_record_peer_message(gateway->outage, now);
	if (!peer->has_store)
		gateway_store_failed(gateway, now);
}

/*
 * Applies a state of COUNT fields, and replies with a summary if it requests one, or with
 * this gateway's state if the peer is new. Returns 0, or -1 if it is malformed.
 */
static int handle_state(gateway_peers_t *peers, const msgpack_object *fields,
			uint32_t count)
{
	gateway_t *gateway = peers->gateway;
	unsigned int flags =
		(unsigned int)msgpack_field_uint64(&fields[STATE_FLAGS]);
	peer_t *peer = identify_sender(peers, fields);
	pd_time_t now = gateway_now();
	uint64_t uptime = msgpack_field_uint64(&fields[STATE_UPTIME]);
	bool first;

	if (!peer)
		return -1;
	first = !peer_is_heard(peer, now);
	peer->heard_at = now;
	peer->started_at = now - (pd_time_t)MIN(uptime, PD_TIME_MAX);
	record_peer_store_health(gateway, peer, now);
	vote_clock(gateway, peer, fields, now);
	peers_send_held(peers, peer);
	if (first) {
		peers_send_rollouts(peers, peer);
		peers_send_brittle(peers, peer);
	}
	merge_usage(gateway, peer->incarnation, &fields[STATE_USAGE]);
	merge_watermark(gateway, peer->incarnation, &fields[STATE_WATERMARK]);
	merge_engine_speeds(gateway, &fields[STATE_ENGINE_SPEEDS]);
	if (count > STATE_STREAMS)
		peers_merge_stream_records(peers, &fields[STATE_STREAMS]);
	merge_members(peers, &fields[STATE_MEMBERS]);
	/* An aggregator's sums already include this peer. */
	if (!peers->aggregator && count > STATE_ROLLOUTS)
		peers_receive_rollout_counts(peers, peer->incarnation,
					     &fields[STATE_ROLLOUTS]);
	if (!peers->aggregator && count > STATE_SPEEDS)
		peers_receive_speed_samples(peers, &fields[STATE_SPEEDS]);
	if (!peers->aggregator) {
		const summed_values_t work = { peer->work, peers->work };

		merge_limit_uses(peers, peer, &fields[STATE_LIMIT_USES],
				 should_adopt_levels(peers, uptime),
				 (pd_time_t)uptime < limits_window(peers));
		merge_work(gateway, peer->incarnation, &fields[STATE_WORK], &work);
		peers_receive_loads(peers, peer->loads, &fields[STATE_LOADS]);
	}
	if (flags & STATE_FLAG_REQUESTS_SUMMARY)
		peers_send_summary(peers, peer,
				   first || now - peer->members_sent_at >=
						    PEERS_FULL_PERIOD);
	else if (first)
		peers_send_state(peers, peer, false, true);
	fetch_newer(peers, peer, msgpack_field_uint64(&fields[STATE_CONFIG]),
		    msgpack_field_uint64(&fields[STATE_DIGEST]));
	return 0;
}

/*
 * Applies a summary of COUNT fields; its sums only if it is from the current aggregator.
 * Returns 0, or -1 if it is malformed.
 */
static int handle_summary(gateway_peers_t *peers, const msgpack_object *fields,
			  uint32_t count)
{
	gateway_t *gateway = peers->gateway;
	peer_t *peer = identify_sender(peers, fields);
	pd_time_t now = gateway_now();
	uint64_t wall;

	if (!peer)
		return -1;
	peer->heard_at = now;
	record_peer_store_health(gateway, peer, now);
	merge_members(peers, &fields[STATE_MEMBERS]);
	fetch_newer(peers, peer, msgpack_field_uint64(&fields[STATE_CONFIG]),
		    msgpack_field_uint64(&fields[STATE_DIGEST]));
	if (!peers->aggregator || strcmp(peers->aggregator, peer->address))
		return 0;
	peers->summary_received_at = now;
	peers->summarized_at = now;
	peers->summary_fleet_size =
		(unsigned int)msgpack_field_uint64(&fields[STATE_FLEET_SIZE]);
	wall = msgpack_field_uint64(&fields[STATE_WALL_TIME]);
	if (wall <= PD_TIME_MAX)
		time_vote_receive_result(gateway->vote, (pd_time_t)wall, now);
	apply_limit_use_sums(peers, &fields[STATE_LIMIT_USES]);
	merge_work(gateway, ALL_PEERS, &fields[STATE_WORK], NULL);
	merge_engine_speeds(gateway, &fields[STATE_ENGINE_SPEEDS]);
	peers_receive_summed_loads(peers, &fields[STATE_LOADS]);
	if (count > STATE_ROLLOUTS)
		peers_receive_rollout_counts(peers, ALL_PEERS,
					     &fields[STATE_ROLLOUTS]);
	if (count > STATE_SPEEDS)
		peers_receive_speed_levels(peers, &fields[STATE_SPEEDS]);
	return 0;
}

/*
 * Fetches an announced configuration if it is newer, and announces the own one if that is.
 * Returns 0, or -1 if the message is malformed.
 */
static int handle_announcement(gateway_peers_t *peers, const msgpack_object *fields)
{
	char *address = msgpack_field_string(&fields[1]);
	peer_t *peer = address ? peers_add(peers, address) : NULL;
	uint64_t version = msgpack_field_uint64(&fields[2]);

	g_free(address);
	if (!peer)
		return -1;
	fetch_newer(peers, peer, version, 0);
	if (version < peers_config_version(peers))
		peers_send_announcement(peers, peer);
	return 0;
}

/*
 * Applies a configuration sent by a peer. Returns 0, or -1 if it is malformed.
 */
static int handle_config(gateway_peers_t *peers, const msgpack_object *fields)
{
	char *text = msgpack_field_string(&fields[1]);

	if (!text)
		return -1;
	gateway_apply_config(peers->gateway, text, "peer");
	g_free(text);
	return 0;
}

/* Returns whether a fetch by id hash may be repeated; times are passed as pointers. */
static gboolean fetch_has_expired(gpointer id_hash, gpointer requested_at,
				  gpointer now)
{
	(void)id_hash;
	return (pd_time_t)(gintptr)now - (pd_time_t)(gintptr)requested_at >
	       FETCH_PERIOD;
}

/*
 * Returns whether to request an upstream in full, and records the request: it
 * was not requested within FETCH_PERIOD.
 */
static bool may_fetch_id_hash(gateway_peers_t *peers, uint64_t id_hash)
{
	pd_time_t now = gateway_now();

	if (now - peers->pending_fetches_pruned_at > FETCH_PERIOD) {
		g_hash_table_foreach_remove(peers->pending_fetches,
					    fetch_has_expired,
					    (gpointer)(gintptr)now);
		peers->pending_fetches_pruned_at = now;
	}
	if (g_hash_table_contains(peers->pending_fetches, GSIZE_TO_POINTER(id_hash)))
		return false;
	g_hash_table_insert(peers->pending_fetches, GSIZE_TO_POINTER(id_hash),
			    (gpointer)(gintptr)now);
	return true;
}

/*
 * Applies the stage of an upstream. If the upstream is not known and not gone,
 * adds its id hash to UNKNOWN.
 */
static void apply_stage(gateway_peers_t *peers, const msgpack_object *fields,
			GArray *unknown)
{
	gateway_t *gateway = peers->gateway;
	uint64_t id_hash = msgpack_field_uint64(&fields[0]);
	const forward_stage_update_t change = {
		.stage = (forward_stage_t)msgpack_field_uint64(&fields[1]),
		.revision = msgpack_field_uint64(&fields[2]),
		.start_time_ms = (int64_t)msgpack_field_uint64(&fields[3]),
	};
	forward_upstream_t *upstream =
		forward_upstreams_find_by_short_id(gateway->upstreams,
						   (uint32_t)id_hash);

	if (change.stage > FORWARD_GONE)
		return;
	if (!upstream || upstream->id_hash != id_hash) {
		if (change.stage != FORWARD_GONE &&
		    may_fetch_id_hash(peers, id_hash))
			g_array_append_val(unknown, id_hash);
		return;
	}
	if (forward_upstreams_update_stage(gateway->upstreams, upstream,
					   &change, gateway_now()))
		gateway_upstream_changed(gateway, upstream->id, "peer");
}

/* Applies one upstream of an update, in full or only its stage. */
static void apply_upstream(gateway_peers_t *peers, const msgpack_object *object,
			   GArray *unknown)
{
	gateway_t *gateway = peers->gateway;
	uint32_t count = 0;
	const msgpack_object *fields =
		msgpack_field_array(object, UPSTREAM_FIELDS_MIN, &count);
	char *texts[5] = { NULL };
	forward_registration_t registration = { 0 };
	bool changed = false;

	if (!fields) {
		fields = msgpack_field_array(object, STAGE_FIELDS, NULL);
		if (fields)
			apply_stage(peers, fields, unknown);
		return;
	}
	texts[0] = msgpack_field_string(&fields[0]);
	texts[1] = msgpack_field_string(&fields[1]);
	texts[2] = msgpack_field_string(&fields[2]);
	texts[3] = msgpack_field_string(&fields[4]);
	if (count >= UPSTREAM_FIELDS)
		texts[4] = msgpack_field_string(&fields[10]);
	registration.id = texts[0];
	registration.service = texts[1];
	registration.address = texts[2];
	registration.port = (uint16_t)msgpack_field_uint64(&fields[3]);
	registration.zone = texts[3];
	registration.version = texts[4];
	registration.slots = (unsigned int)msgpack_field_uint64(&fields[5]);
	registration.stage = (forward_stage_t)msgpack_field_uint64(&fields[6]);
	registration.reclaimable = msgpack_field_uint64(&fields[7]) != 0;
	registration.revision = msgpack_field_uint64(&fields[8]);
	registration.start_time_ms = (int64_t)msgpack_field_uint64(&fields[9]);
	registration.read_at = gateway_now();
	if (!texts[0] || !texts[1] || !texts[2] || !texts[3] ||
	    registration.stage > FORWARD_GONE)
		goto done;
	if (registration.stage == FORWARD_GONE)
		changed = forward_upstreams_remove(gateway->upstreams,
						   registration.id,
						   registration.revision,
						   gateway_now());
	else
		changed = forward_upstreams_apply(gateway->upstreams,
						  &registration);
	/* Forwarded, as it may reach peers that the sender does not reach. */
	if (changed)
		gateway_upstream_changed(gateway, registration.id, "peer");
done:
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		g_free(texts[i]);
}

/*
 * Applies the listed upstreams and fetches those of which only the stage is
 * known. Returns 0, or -1 if the message is malformed.
 */
static int handle_updates(gateway_peers_t *peers, const msgpack_object *fields)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(&fields[3], 0, &count);
	char *address = msgpack_field_string(&fields[1]);
	peer_t *peer = address ? peers_add(peers, address) : NULL;
	GArray *unknown;

	g_free(address);
	if (!peer || !items)
		return -1;
	unknown = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (uint32_t i = 0; i < count; i++)
		apply_upstream(peers, &items[i], unknown);
	if (msgpack_field_uint64(&fields[2]))
		peers->gateway->upstreams_listed = true;
	if (unknown->len)
		peers_send_fetch_by_id_hash(peers, peer, unknown);
	g_array_unref(unknown);
	return 0;
}

/* Sends the upstreams whose id hashes a fetch lists. */
static void send_requested_upstreams(gateway_peers_t *peers, peer_t *peer,
				     const msgpack_object *object)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(object, 0, &count);
	GArray *id_hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (uint32_t i = 0; i < count; i++) {
		uint64_t id_hash = msgpack_field_uint64(&items[i]);

		g_array_append_val(id_hashes, id_hash);
	}
	peers_send_by_id_hash(peers, peer, id_hashes);
	g_array_unref(id_hashes);
}

/* Decodes the digests of a fetch. Returns false if it has none. */
static bool read_digests(const msgpack_object *object,
			 uint64_t digests[FORWARD_DIGEST_BUCKETS])
{
	const msgpack_object *items =
		msgpack_field_array(object, FORWARD_DIGEST_BUCKETS, NULL);

	if (!items)
		return false;
	for (unsigned int i = 0; i < FORWARD_DIGEST_BUCKETS; i++)
		digests[i] = msgpack_field_uint64(&items[i]);
	return true;
}

/* Sends what a peer requests. Returns 0, or -1 if the message is malformed. */
static int handle_fetch(gateway_peers_t *peers, const msgpack_object *fields)
{
	uint64_t digests[FORWARD_DIGEST_BUCKETS];
	uint64_t what = msgpack_field_uint64(&fields[2]);
	char *address = msgpack_field_string(&fields[1]);
	peer_t *peer = address ? peers_add(peers, address) : NULL;

	g_free(address);
	if (!peer)
		return -1;
	if (what & FETCH_CONFIG)
		peers_send_config(peers, peer);
	if (what & FETCH_BY_ID_HASH)
		send_requested_upstreams(peers, peer, &fields[3]);
	if (what & FETCH_UPSTREAMS)
		peers_send_upstreams(peers, peer,
				     read_digests(&fields[3], digests) ? digests
								       : NULL);
	return 0;
}

/* Merges a peer's in-flight snapshot; malformed ones are ignored. */
static void merge_inflight(gateway_t *gateway, const msgpack_object *object)
{
	inflight_snapshot_t *snapshot = flight_unpack(object);

	if (snapshot)
		usage_inflight_update(gateway->inflight, snapshot);
}

/*
 * Applies the counts sent to this gateway as a checkpoint writer. Returns 0, or
 * -1 if the message is malformed.
 */
static int handle_counts(gateway_peers_t *peers, const msgpack_object *fields)
{
	char *address = msgpack_field_string(&fields[1]);
	char *incarnation = msgpack_field_string(&fields[2]);
	peer_t *peer = address ? peers_find(peers, address) : NULL;
	int rc;

	if (incarnation)
		merge_usage(peers->gateway, incarnation, &fields[3]);
	merge_inflight(peers->gateway, &fields[5]);
	peers->counts_received_at = gateway_now();
	/*
	 * What the peer used before this gateway first heard from it is in its
	 * state.
	 */
	if (peer && incarnation && !g_strcmp0(peer->incarnation, incarnation) &&
	    !peers->aggregator)
		merge_limit_uses(peers, peer, &fields[4], false, true);
	rc = address && incarnation ? 0 : -1;
	g_free(address);
	g_free(incarnation);
	return rc;
}

/*
 * Applies a decoded message by its kind. Returns 0, or -1 if it is malformed or
 * of an unknown kind.
 */
static int dispatch_message(gateway_peers_t *peers, const msgpack_object *object)
{
	static const uint32_t lengths[] = {
		[MESSAGE_STATE] = STATE_FIELDS_MIN,
		[MESSAGE_SUMMARY] = STATE_FIELDS_MIN,
		[MESSAGE_UPDATES] = UPDATES_FIELDS,
		[MESSAGE_ANNOUNCEMENT] = 3,
		[MESSAGE_CONFIG] = 2,
		[MESSAGE_FETCH] = FETCH_FIELDS,
		[MESSAGE_COUNTS] = COUNTS_FIELDS,
		[MESSAGE_PERMIT_REQUEST] = LIMITS_FIELDS,
		[MESSAGE_PERMITS] = LIMITS_FIELDS,
		[MESSAGE_QUARANTINE] = QUARANTINE_FIELDS,
		[MESSAGE_STREAMS] = STREAMS_FIELDS,
		[MESSAGE_STREAM_QUERY] = STREAM_QUERY_FIELDS,
		[MESSAGE_REJECTIONS] = REJECTIONS_FIELDS,
		[MESSAGE_ROLLOUT] = ROLLOUT_FIELDS,
		[MESSAGE_SLOT_REQUEST] = SLOT_FIELDS,
		[MESSAGE_SLOT_ANSWER] = SLOT_FIELDS,
		[MESSAGE_SLOT_RELEASE] = SLOT_FIELDS,
		[MESSAGE_GRANT_ASK] = SLOT_FIELDS,
		[MESSAGE_GRANT_ANSWER] = SLOT_FIELDS,
		[MESSAGE_GRANT_REPORT] = SLOT_FIELDS,
		[MESSAGE_BRITTLE] = BRITTLE_FIELDS,
	};
	uint32_t count = 0;
	const msgpack_object *fields = msgpack_field_array(object, 1, &count);
	uint64_t kind = fields ? msgpack_field_uint64(&fields[0]) : UINT64_MAX;

	if (kind >= MESSAGE_KINDS || count < lengths[kind])
		return -1;
	switch ((message_kind_t)kind) {
	case MESSAGE_STATE:
		return handle_state(peers, fields, count);
	case MESSAGE_SUMMARY:
		return handle_summary(peers, fields, count);
	case MESSAGE_UPDATES:
		return handle_updates(peers, fields);
	case MESSAGE_ANNOUNCEMENT:
		return handle_announcement(peers, fields);
	case MESSAGE_CONFIG:
		return handle_config(peers, fields);
	case MESSAGE_FETCH:
		return handle_fetch(peers, fields);
	case MESSAGE_COUNTS:
		return handle_counts(peers, fields);
	case MESSAGE_PERMIT_REQUEST:
		return peers_receive_permit_request(peers, fields);
	case MESSAGE_PERMITS:
		return peers_receive_permits(peers, fields);
	case MESSAGE_QUARANTINE:
		return peers_receive_quarantine(peers, fields);
	case MESSAGE_STREAMS:
		return peers_receive_streams(peers, fields);
	case MESSAGE_STREAM_QUERY:
		return peers_receive_stream_query(peers, fields);
	case MESSAGE_REJECTIONS:
		return 0;
	case MESSAGE_ROLLOUT:
		return peers_receive_rollouts(peers, fields);
	case MESSAGE_SLOT_REQUEST:
	case MESSAGE_SLOT_ANSWER:
	case MESSAGE_SLOT_RELEASE:
	case MESSAGE_GRANT_ASK:
	case MESSAGE_GRANT_ANSWER:
	case MESSAGE_GRANT_REPORT:
		return peers_receive_slots(peers, (message_kind_t)kind, fields);
	case MESSAGE_BRITTLE:
		return peers_receive_brittle(peers, fields);
	case MESSAGE_KINDS:
		break;
	}
	return -1;
}

/* Decodes and applies one message. Returns 0, or -1 if it is malformed. */
int peers_receive(gateway_peers_t *peers, const char *data, size_t len)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	int rc = -1;

	msgpack_unpacked_init(&unpacked);
	if (msgpack_lengths_fit(data, len) &&
	    msgpack_unpack_next(&unpacked, data, len, &offset) ==
		    MSGPACK_UNPACK_SUCCESS)
		rc = dispatch_message(peers, &unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	if (rc < 0)
		log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
			 "dropped a malformed message of %zu bytes", len);
	return rc;
}
