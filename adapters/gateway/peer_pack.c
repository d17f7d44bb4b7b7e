/* Encodes the messages between gateways. */
#include "adapters/gateway/fleet_feed.h"
#include "adapters/gateway/flight_pack.h"
#include "adapters/gateway/peer_state.h"
#include "adapters/gateway/request_flight.h"
#include "adapters/gateway/upstream_reach.h"
#include "adapters/msgpack_write.h"

/* Number of top-ranked members listed in each message. */
#define MEMBERS_TOP_RANKED GRANT_CANDIDATES

/* Sends an encoded message to a peer. The buffer is copied. */
void peers_send(const gateway_peers_t *peers, const peer_t *peer,
		const msgpack_sbuffer *buffer)
{
	GBytes *body = g_bytes_new(buffer->data, buffer->size);

	frame_link_send(peers->link, peer->host, peer->port, body);
	g_bytes_unref(body);
}

/* Returns the version of the configuration in force, or 0 if there is none. */
uint64_t peers_config_version(const gateway_peers_t *peers)
{
	const forward_config_t *config = peers->gateway->config;

	return config ? config->version : 0;
}

/*
 * Returns a digest of the table of upstreams, or 0 before a complete listing.
 */
uint64_t peers_digest(const gateway_peers_t *peers)
{
	uint64_t digest = 1;

	if (!peers->gateway->upstreams_listed)
		return 0;
	for (unsigned int i = 0; i < FORWARD_DIGEST_BUCKETS; i++)
		digest += forward_upstreams_digest(peers->gateway->upstreams, i);
	return digest;
}

/* Adds AMOUNT to the value of NAME. */
static void sums_add(GHashTable *values, const char *name, double amount)
{
	*peers_value(values, name) += amount;
}

/* Returns the value of NAME, or 0 if it is missing. */
static double value_or_zero(GHashTable *values, const char *name)
{
	const double *value = g_hash_table_lookup(values, name);

	return value ? *value : 0;
}

/*
 * Adds the sums over all peers, without the part of EXCEPT, which adds its own.
 */
static void add_peer_sums(GHashTable *values, GHashTable *sums, GHashTable *except)
{
	GHashTableIter iter;
	gpointer name;
	gpointer sum;

	g_hash_table_iter_init(&iter, sums);
	while (g_hash_table_iter_next(&iter, &name, &sum)) {
		sums_add(values, name,
			 *(double *)sum - value_or_zero(except, name));
	}
}

/* Packs the use of an account's limit, as LIMIT_USE_FIELDS. */
static void pack_limit_use(msgpack_packer *packer, const char *account,
			   const token_use_t *use)
{
	msgpack_pack_array(packer, LIMIT_USE_FIELDS);
	msgpack_write_string(packer, account);
	msgpack_pack_uint64(packer, (uint64_t)MAX(use->granted, 0));
	if (use->has_level)
		msgpack_pack_float(packer, (float)use->level);
	else
		msgpack_pack_nil(packer);
	msgpack_pack_uint64(packer, (uint64_t)MAX(use->requested, 0));
}

/*
 * Returns the use of an account in a table of sums, borrowed, adding it as zero
 * if it is missing.
 */
static token_use_t *sums_use(GHashTable *sums, const char *account)
{
	token_use_t *use = g_hash_table_lookup(sums, account);

	if (!use) {
		use = g_new0(token_use_t, 1);
		g_hash_table_insert(sums, (char *)account, use);
	}
	return use;
}

/* Stores this gateway's use of an account's limit in CTX, a table of token_use_t. */
static void add_own_limit_use(void *ctx, const char *account, const token_use_t *use)
{
	*sums_use(ctx, account) = *use;
}

/*
 * Adds the peers' limit uses, without the part of EXCEPT, which adds its own.
 */
static void add_peer_limit_uses(GHashTable *sums, const gateway_peers_t *peers,
				const peer_t *except)
{
	GHashTableIter iter;
	gpointer account;
	gpointer granted;

	g_hash_table_iter_init(&iter, peers->granted);
	while (g_hash_table_iter_next(&iter, &account, &granted)) {
		token_use_t *use = sums_use(sums, account);

		use->granted += *(double *)granted -
				value_or_zero(except->granted, account);
		use->requested += value_or_zero(peers->requested, account) -
				  value_or_zero(except->requested, account);
	}
}

/*
 * Packs the limit use and bucket level of each account: this gateway's own, or
 * summed over all gateways but EXCEPT if that is not NULL.
 */
static void pack_limit_uses(msgpack_packer *packer,
			    const gateway_peers_t *peers, const peer_t *except)
{
	/* account -> token_use_t; the names are borrowed. */
	GHashTable *sums =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter iter;
	gpointer account;
	gpointer use;

	token_limits_each(peers->gateway->limits, gateway_now(),
			  add_own_limit_use, sums);
	if (except)
		add_peer_limit_uses(sums, peers, except);
	msgpack_pack_array(packer, g_hash_table_size(sums));
	g_hash_table_iter_init(&iter, sums);
	while (g_hash_table_iter_next(&iter, &account, &use))
		pack_limit_use(packer, account, use);
	g_hash_table_unref(sums);
}

/* Adds this gateway's work for a service to CTX, a table of sums. */
static void add_own_work(void *ctx, const char *service, double total)
{
	sums_add(ctx, service, total);
}

/*
 * Packs the total work of each service: this gateway's own, or summed over all
 * gateways but EXCEPT if that is not NULL.
 */
static void pack_work(msgpack_packer *packer, const gateway_peers_t *peers,
		      const peer_t *except)
{
	GHashTable *sums = peers_values_create();
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	work_rate_each_own(peers->gateway->work, add_own_work, sums);
	if (except)
		add_peer_sums(sums, peers->work, except->work);
	msgpack_pack_array(packer, g_hash_table_size(sums));
	g_hash_table_iter_init(&iter, sums);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		msgpack_pack_array(packer, 2);
		msgpack_write_string(packer, name);
		msgpack_pack_uint64(packer, (uint64_t)MAX(*(double *)value, 0));
	}
	g_hash_table_unref(sums);
}

/* Packs a usage count with CTX, a list_writer_t. */
static void pack_usage(void *ctx, const usage_entry_t *entry)
{
	list_writer_t *writer = ctx;

	writer->count++;
	msgpack_pack_array(&writer->packer, USAGE_FIELDS);
	msgpack_pack_uint64(&writer->packer, (uint64_t)entry->window);
	msgpack_write_string(&writer->packer, entry->account);
	msgpack_pack_uint64(&writer->packer, entry->count);
}

/* Packs this gateway's usage counts of all windows still to be reported. */
static void pack_usage_list(msgpack_sbuffer *out, msgpack_packer *packer,
			    const gateway_t *gateway)
{
	int64_t from = gateway_first_due_window(gateway);
	list_writer_t writer;

	list_writer_init(&writer);
	usage_each_own(gateway->usage, from, pack_usage, &writer);
	list_writer_end(&writer, out, packer);
}

/* Packs an account's limit use with CTX, a list_writer_t. */
static void pack_new_limit_use(void *ctx, const char *account,
			       const token_use_t *use)
{
	list_writer_t *writer = ctx;

	writer->count++;
	pack_limit_use(&writer->packer, account, use);
}

/*
 * Packs the counts that the checkpoint writers have not been sent: usage, limit
 * uses and the in-flight snapshot. Returns the number of values.
 */
unsigned int peers_pack_counts(msgpack_sbuffer *buffer, gateway_peers_t *peers)
{
	bool snapshot_is_new = peers_snapshot_is_unsent(peers);
	const inflight_snapshot_t *snapshot =
		gateway_requests_update_snapshot(peers->gateway);
	list_writer_t usage;
	list_writer_t uses;
	msgpack_packer packer;

	list_writer_init(&usage);
	list_writer_init(&uses);
	usage_each_unsent(peers->gateway->usage, pack_usage, &usage);
	token_limits_each_changed(peers->gateway->limits, gateway_now(),
				  pack_new_limit_use, &uses);
	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, COUNTS_FIELDS);
	msgpack_pack_uint8(&packer, MESSAGE_COUNTS);
	msgpack_write_string(&packer, peers->address);
	msgpack_write_string(&packer, peers->incarnation);
	list_writer_end(&usage, buffer, &packer);
	list_writer_end(&uses, buffer, &packer);
	if (snapshot)
		flight_pack(&packer, snapshot);
	else
		msgpack_pack_nil(&packer);
	peers->snapshot_sent_at = snapshot ? snapshot->taken_at : 0;
	return usage.count + uses.count + snapshot_is_new;
}

/* Packs a member, as MEMBER_FIELDS. */
static void pack_member(msgpack_packer *packer, const peer_t *peer)
{
	msgpack_pack_array(packer, MEMBER_FIELDS);
	msgpack_write_string(packer, peer->address);
	msgpack_pack_uint8(packer, peer->high_capacity);
	msgpack_pack_uint16(packer, peer->zone);
	msgpack_pack_uint16(packer, peer->cut_off ? 0 : peer->relay_port);
}

/* Returns whether a peer is one of the COUNT peers in PEERS. */
static bool is_among(const peer_t *peer, peer_t *const *peers, unsigned int count)
{
	for (unsigned int i = 0; i < count; i++) {
		if (peers[i] == peer)
			return true;
	}
	return false;
}

/*
 * Packs members that this gateway has heard from: the top-ranked ones and a random sample
 * of the others. If those that it only knows of from others were listed, gateways would
 * remind each other of dead ones for ever.
 */
static void pack_members(msgpack_packer *packer, const gateway_peers_t *peers,
			 pd_time_t now)
{
	peer_t *first[MEMBERS_TOP_RANKED + 1];
	unsigned int top_count =
		peers_top_heard(peers, first, MEMBERS_TOP_RANKED, now);
	unsigned int heard = 0;
	unsigned int left;

	LIST_FOR_EACH (it, &peers->list) {
		const peer_t *peer = LIST_ENTRY(it, peer_t, node);

		heard += peer_is_heard(peer, now) &&
			 !is_among(peer, first, top_count);
	}
	left = MIN(heard, MEMBERS_LISTED_MAX - MEMBERS_TOP_RANKED);
	msgpack_pack_array(packer, top_count + left);
	for (unsigned int i = 0; i < top_count; i++)
		pack_member(packer, first[i]);
	LIST_FOR_EACH (it, &peers->list) {
		const peer_t *peer = LIST_ENTRY(it, peer_t, node);

		if (!peer_is_heard(peer, now) || is_among(peer, first, top_count))
			continue;
		/*
		 * Selection sampling: each remaining peer is equally likely to
		 * be chosen.
		 */
		if (g_rand_double(peers->gateway->random) * heard < left) {
			pack_member(packer, peer);
			left--;
		}
		heard--;
	}
}

/* Returns the STATE_FLAG_ bits of this gateway. */
static unsigned int state_flags(const gateway_peers_t *peers, bool request_summary)
{
	unsigned int flags = 0;

	if (fleet_feed_is_store_reachable(peers->gateway->feed))
		flags |= STATE_FLAG_HAS_STORE;
	if (peers->high_capacity)
		flags |= STATE_FLAG_HIGH_CAPACITY;
	if (request_summary)
		flags |= STATE_FLAG_REQUESTS_SUMMARY;
	flags |= STATE_FLAG_HANDLES_LIMITS | STATE_FLAG_HANDLES_QUARANTINE |
		 STATE_FLAG_HANDLES_STREAMS;
	if (gateway_reach_is_cut_off_from_any(peers->gateway))
		flags |= STATE_FLAG_CUT_OFF;
	flags |= (unsigned int)peers->gateway->relay_port << STATE_RELAY_PORT_SHIFT;
	return flags;
}

/*
 * Packs the fields that a state and a summary have in common, up to
 * STATE_FLEET_SIZE. WALL is a time of day.
 */
static void pack_state_header(msgpack_packer *packer, gateway_peers_t *peers,
			      message_kind_t kind, pd_time_t wall,
			      bool request_summary)
{
	pd_time_t now = gateway_now();

	msgpack_pack_array(packer, STATE_FIELDS);
	msgpack_pack_uint8(packer, (uint8_t)kind);
	msgpack_write_string(packer, peers->address);
	msgpack_write_string(packer, peers->incarnation);
	msgpack_pack_uint64(packer, (uint64_t)wall);
	msgpack_pack_uint64(packer, peers_config_version(peers));
	msgpack_pack_uint64(packer, peers_digest(peers));
	msgpack_pack_uint64(packer, (uint64_t)(now - peers->started_at));
	msgpack_pack_uint32(packer, state_flags(peers, request_summary));
	msgpack_pack_uint64(packer, (uint64_t)(now - peers->store_answered_at));
	msgpack_write_string(packer, peers->is_leader ? peers->address
				     : peers->leader  ? peers->leader
						      : "");
	msgpack_pack_uint64(packer, peers->leader_fence);
	msgpack_pack_uint32(packer, peers_view(peers, now)->fleet_size);
}

/* Adds a service's prefill speed to CTX, a table of double. */
static void add_speed(void *ctx, const char *service, double rate)
{
	sums_add(ctx, service, rate);
}

/*
 * Packs the engine speeds observed by this gateway. Speeds received from peers
 * are not forwarded, or a wrong value would circulate for ever.
 */
static void pack_engine_speeds(msgpack_packer *packer, const gateway_peers_t *peers)
{
	GHashTable *speeds = peers_values_create();
	GHashTableIter iter;
	gpointer name;
	gpointer rate;

	engine_speeds_each_own(forward_upstreams_speeds(peers->gateway->upstreams),
			       add_speed, speeds);
	msgpack_pack_array(packer, g_hash_table_size(speeds));
	g_hash_table_iter_init(&iter, speeds);
	while (g_hash_table_iter_next(&iter, &name, &rate)) {
		msgpack_pack_array(packer, 2);
		msgpack_write_string(packer, name);
		msgpack_pack_float(packer, (float)*(double *)rate);
	}
	g_hash_table_unref(speeds);
}

/*
 * Packs this gateway's state. REQUEST_SUMMARY: requests a summary in return. FULL:
 * includes usage and members.
 */
void peers_pack_state(msgpack_sbuffer *buffer, gateway_peers_t *peers,
		      bool request_summary, bool full)
{
	const time_vote_t *vote = peers->gateway->vote;
	pd_time_t now = gateway_now();
	msgpack_packer packer;

	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	pack_state_header(&packer, peers, MESSAGE_STATE,
			  time_vote_own_wall(vote, now), request_summary);
	pack_limit_uses(&packer, peers, NULL);
	pack_work(&packer, peers, NULL);
	peers_pack_own_loads(&packer, peers);
	if (full) {
		pack_usage_list(buffer, &packer, peers->gateway);
		pack_members(&packer, peers, now);
	} else {
		msgpack_pack_nil(&packer);
		msgpack_pack_nil(&packer);
	}
	pack_engine_speeds(&packer, peers);
	msgpack_pack_uint16(&packer, peers->zone);
	msgpack_pack_uint64(&packer, (uint64_t)time_vote_own_step_age(vote, now));
	if (full)
		msgpack_pack_int64(&packer,
				   gateway_current_window(peers->gateway) - 1);
	else
		msgpack_pack_nil(&packer);
	peers_pack_stream_records(buffer, &packer, peers->stream_records,
				  peers->stream_record_count);
	peers_pack_rollout_counts(buffer, &packer, peers, NULL);
	peers_pack_speed_samples(&packer, peers);
}

/*
 * Sends this gateway's state to a peer. REQUEST_SUMMARY and FULL are those of
 * peers_pack_state().
 */
void peers_send_state(gateway_peers_t *peers, peer_t *peer,
		      bool request_summary, bool full)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	peers_pack_state(&buffer, peers, request_summary, full);
	if (request_summary)
		token_limits_mark_reported(peers->gateway->limits);
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/*
 * Packs the sums over all gateways but the receiver. FULL: includes the
 * members.
 */
void peers_pack_summary(msgpack_sbuffer *buffer, gateway_peers_t *peers,
			const peer_t *receiver, bool full)
{
	const gateway_t *gateway = peers->gateway;
	pd_time_t now = gateway_now();
	msgpack_packer packer;

	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	pack_state_header(&packer, peers, MESSAGE_SUMMARY,
			  time_vote_wall(gateway->vote, now), false);
	pack_limit_uses(&packer, peers, receiver);
	pack_work(&packer, peers, receiver);
	peers_pack_summed_loads(buffer, peers, now);
	msgpack_pack_nil(&packer);
	if (full)
		pack_members(&packer, peers, now);
	else
		msgpack_pack_nil(&packer);
	pack_engine_speeds(&packer, peers);
	msgpack_pack_uint16(&packer, peers->zone);
	msgpack_pack_uint64(&packer, 0);
	msgpack_pack_nil(&packer);
	msgpack_pack_nil(&packer);
	peers_pack_rollout_counts(buffer, &packer, peers, receiver);
	peers_pack_speed_levels(&packer, peers);
}

/* Sends a peer the sums over all other gateways. FULL: includes the members. */
void peers_send_summary(gateway_peers_t *peers, peer_t *peer, bool full)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	peers_pack_summary(&buffer, peers, peer, full);
	if (full)
		peer->members_sent_at = gateway_now();
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Packs the digest of each bucket of the table of upstreams. */
static void pack_digests(msgpack_packer *packer, const gateway_peers_t *peers)
{
	msgpack_pack_array(packer, FORWARD_DIGEST_BUCKETS);
	for (unsigned int i = 0; i < FORWARD_DIGEST_BUCKETS; i++)
		msgpack_pack_uint64(packer,
				    forward_upstreams_digest(peers->gateway->upstreams,
							     i));
}

/* Packs a fetch up to its FETCH_ flags; the last field is left to the caller. */
static void pack_fetch_header(msgpack_packer *packer,
			      const gateway_peers_t *peers, unsigned int what)
{
	msgpack_pack_array(packer, FETCH_FIELDS);
	msgpack_pack_uint8(packer, MESSAGE_FETCH);
	msgpack_write_string(packer, peers->address);
	msgpack_pack_uint8(packer, (uint8_t)what);
}

/* Requests upstreams in full from a peer. ID_HASHES is an array of uint64_t. */
void peers_send_fetch_by_id_hash(gateway_peers_t *peers, peer_t *peer,
				 const GArray *id_hashes)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	pack_fetch_header(&packer, peers, FETCH_BY_ID_HASH);
	msgpack_pack_array(&packer, id_hashes->len);
	for (guint i = 0; i < id_hashes->len; i++)
		msgpack_pack_uint64(&packer, g_array_index(id_hashes, uint64_t, i));
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/*
 * Requests what the FETCH_ flags in WHAT name. If this gateway has a complete
 * listing of upstreams, its digests limit the answer to what differs.
 */
void peers_send_fetch(gateway_peers_t *peers, peer_t *peer, unsigned int what)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	pack_fetch_header(&packer, peers, what);
	if ((what & FETCH_UPSTREAMS) && peers->gateway->upstreams_listed)
		pack_digests(&packer, peers);
	else
		msgpack_pack_nil(&packer);
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Sends the configuration in force to a peer, if there is one. */
void peers_send_config(gateway_peers_t *peers, peer_t *peer)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	if (!peers->gateway->config_text)
		return;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint8(&packer, MESSAGE_CONFIG);
	msgpack_write_string(&packer, peers->gateway->config_text);
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Packs an announcement of the version of the configuration in force. */
void peers_pack_announcement(msgpack_packer *packer, const gateway_peers_t *peers)
{
	msgpack_pack_array(packer, 3);
	msgpack_pack_uint8(packer, MESSAGE_ANNOUNCEMENT);
	msgpack_write_string(packer, peers->address);
	msgpack_pack_uint64(packer, peers_config_version(peers));
}

/* Sends a peer the version of the configuration in force. */
void peers_send_announcement(gateway_peers_t *peers, peer_t *peer)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	peers_pack_announcement(&packer, peers);
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Packs an upstream in full. */
static void pack_upstream(msgpack_packer *packer, const forward_upstream_t *upstream)
{
	msgpack_pack_array(packer, UPSTREAM_FIELDS);
	msgpack_write_string(packer, upstream->id);
	msgpack_write_string(packer, upstream->service);
	msgpack_write_string(packer, upstream->address);
	msgpack_pack_uint16(packer, upstream->port);
	msgpack_write_string(packer, upstream->zone);
	msgpack_pack_uint32(packer, upstream->slots);
	msgpack_pack_uint8(packer, (uint8_t)upstream->stage);
	msgpack_pack_uint8(packer, upstream->reclaimable);
	msgpack_pack_uint64(packer, upstream->revision);
	msgpack_pack_int64(packer, upstream->start_time_ms);
	msgpack_write_string(packer, upstream->version);
}

/*
 * Packs the stage of an upstream, in a sixth of the bytes of the whole entry. A
 * gateway receives it from several peers and fetches an unknown upstream from
 * one.
 */
static void pack_stage(msgpack_packer *packer, const forward_upstream_t *upstream)
{
	msgpack_pack_array(packer, STAGE_FIELDS);
	msgpack_pack_uint64(packer, upstream->id_hash);
	msgpack_pack_uint8(packer, (uint8_t)upstream->stage);
	msgpack_pack_uint64(packer, upstream->revision);
	msgpack_pack_int64(packer, upstream->start_time_ms);
}

/* Selects the upstreams of a message. */
typedef struct update_filter {
	GHashTable *ids; /* only these; NULL: any */
	/* only in buckets whose digests differ from these; NULL: any */
	const uint64_t *digests;
} update_filter_t;

/* Returns whether a filter selects an upstream. */
static bool update_filter_matches(const gateway_peers_t *peers,
				  const update_filter_t *filter,
				  const forward_upstream_t *upstream)
{
	unsigned int bucket = forward_upstream_bucket(upstream);

	if (filter->ids && !g_hash_table_contains(filter->ids, upstream->id))
		return false;
	return !filter->digests ||
	       filter->digests[bucket] !=
		       forward_upstreams_digest(peers->gateway->upstreams, bucket);
}

/* Packs updates up to the list of upstreams. ALL: it lists all of them. */
static void pack_updates_header(msgpack_packer *packer,
				const gateway_peers_t *peers, bool all)
{
	msgpack_pack_array(packer, UPDATES_FIELDS);
	msgpack_pack_uint8(packer, MESSAGE_UPDATES);
	msgpack_write_string(packer, peers->address);
	msgpack_pack_uint8(packer, all);
}

/*
 * Packs the upstreams that match a filter: in full if it matches all, otherwise
 * only their stages. Returns their number.
 */
static uint32_t pack_updates(msgpack_packer *packer, const gateway_peers_t *peers,
			     const update_filter_t *filter)
{
	list_node_t *list = forward_upstreams_list(peers->gateway->upstreams);
	bool all = !filter->ids && !filter->digests;
	uint32_t count = 0;

	LIST_FOR_EACH (it, list)
		count += update_filter_matches(peers, filter,
					       LIST_ENTRY(it, forward_upstream_t,
							  node));
	pack_updates_header(packer, peers, all);
	msgpack_pack_array(packer, count);
	LIST_FOR_EACH (it, list) {
		const forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		if (!update_filter_matches(peers, filter, upstream))
			continue;
		if (!all)
			pack_stage(packer, upstream);
		else
			pack_upstream(packer, upstream);
	}
	return count;
}

/*
 * Packs the stages of the upstreams in IDS, or all upstreams in full if it is
 * NULL.
 */
void peers_pack_updates(msgpack_packer *packer, const gateway_peers_t *peers,
			GHashTable *ids)
{
	const update_filter_t filter = { .ids = ids };

	pack_updates(packer, peers, &filter);
}

/*
 * Sends upstreams to a peer if a complete listing is known: the stages of those
 * in buckets whose digests differ from DIGESTS, or all in full if that is NULL.
 * A thousand upstreams take 90 KB, and in a large fleet one of them changes
 * almost all the time: sending complete lists would fill the links of small
 * VMs.
 */
void peers_send_upstreams(gateway_peers_t *peers, peer_t *peer,
			  const uint64_t *digests)
{
	const update_filter_t filter = { .digests = digests };
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	if (!peers->gateway->upstreams_listed)
		return;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	if (pack_updates(&packer, peers, &filter) || !digests)
		peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Sends in full the known upstreams among ID_HASHES, an array of uint64_t. */
void peers_send_by_id_hash(gateway_peers_t *peers, peer_t *peer,
			   const GArray *id_hashes)
{
	GPtrArray *found = g_ptr_array_new();
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	for (guint i = 0; i < id_hashes->len; i++) {
		uint64_t id_hash = g_array_index(id_hashes, uint64_t, i);
		forward_upstream_t *upstream =
			forward_upstreams_find_by_short_id(peers->gateway->upstreams,
							   (uint32_t)id_hash);

		if (upstream && upstream->id_hash == id_hash)
			g_ptr_array_add(found, upstream);
	}
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	pack_updates_header(&packer, peers, false);
	msgpack_pack_array(&packer, found->len);
	for (guint i = 0; i < found->len; i++)
		pack_upstream(&packer, g_ptr_array_index(found, i));
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
	g_ptr_array_unref(found);
}
