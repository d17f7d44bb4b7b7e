/* Composes the messages between gateways. */
#include "adapters/gateway/fleet_feed.h"
#include "adapters/gateway/flight_pack.h"
#include "adapters/gateway/peer_state.h"
#include "adapters/gateway/request_flight.h"
#include "adapters/msgpack_write.h"

/* Of the members that are named, so many are those that go first. */
#define MEMBERS_FIRST 8

/* Sends a composed message to a peer. */
void peers_send(const gateway_peers_t *peers, const peer_t *peer,
		const msgpack_sbuffer *buffer)
{
	GBytes *body = g_bytes_new(buffer->data, buffer->size);

	frame_link_send(peers->link, peer->host, peer->port, body);
	g_bytes_unref(body);
}

/* Returns the version of the configuration in force, 0 for none. */
uint64_t peers_config_version(const gateway_peers_t *peers)
{
	const forward_config_t *config = peers->gateway->config;

	return config ? config->version : 0;
}

/* Returns a digest of what is known of the upstreams, 0 before a listing. */
uint64_t peers_digest(const gateway_peers_t *peers)
{
	uint64_t digest = 1;

	if (!peers->gateway->upstreams_known)
		return 0;
	for (unsigned int i = 0; i < FORWARD_BUCKETS; i++)
		digest += forward_upstreams_digest(peers->gateway->upstreams, i);
	return digest;
}

static void sums_add(GHashTable *values, const char *name, double amount)
{
	*peers_value(values, name) += amount;
}

static double value_or_zero(GHashTable *values, const char *name)
{
	const double *value = g_hash_table_lookup(values, name);

	return value ? *value : 0;
}

/* Adds the peers' sums, without what EXCEPT told: it knows that itself. */
static void add_peers(GHashTable *values, GHashTable *sums, GHashTable *except)
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

static void pack_use(msgpack_packer *packer, const char *account,
		     const token_use_t *use)
{
	msgpack_pack_array(packer, USE_FIELDS);
	msgpack_write_text(packer, account);
	msgpack_pack_uint64(packer, (uint64_t)MAX(use->total, 0));
	if (use->has_level)
		msgpack_pack_float(packer, (float)use->level);
	else
		msgpack_pack_nil(packer);
	msgpack_pack_uint64(packer, (uint64_t)MAX(use->requested, 0));
}

/* Returns an account's use in a table of sums, added as none if it is not there. */
static token_use_t *sums_use(GHashTable *sums, const char *account)
{
	token_use_t *use = g_hash_table_lookup(sums, account);

	if (!use) {
		use = g_new0(token_use_t, 1);
		g_hash_table_insert(sums, (char *)account, use);
	}
	return use;
}

static void add_own_use(void *ctx, const char *account, const token_use_t *use)
{
	*sums_use(ctx, account) = *use;
}

/* Adds what the peers used, without what EXCEPT told: it knows that itself. */
static void add_peers_use(GHashTable *sums, const gateway_peers_t *peers,
			  const peer_t *except)
{
	GHashTableIter iter;
	gpointer account;
	gpointer total;

	g_hash_table_iter_init(&iter, peers->totals);
	while (g_hash_table_iter_next(&iter, &account, &total)) {
		token_use_t *use = sums_use(sums, account);

		use->total += *(double *)total -
			      value_or_zero(except->totals, account);
		use->requested += value_or_zero(peers->asked, account) -
				  value_or_zero(except->asked, account);
	}
}

/* Packs what each account used, here or at all but EXCEPT, and the levels. */
static void pack_totals(msgpack_packer *packer, const gateway_peers_t *peers,
			const peer_t *except)
{
	/* Of token_use_t; the names are those of the limits and the peers. */
	GHashTable *sums =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter iter;
	gpointer account;
	gpointer use;

	token_limits_each(peers->gateway->limits, gateway_now(), add_own_use, sums);
	if (except)
		add_peers_use(sums, peers, except);
	msgpack_pack_array(packer, g_hash_table_size(sums));
	g_hash_table_iter_init(&iter, sums);
	while (g_hash_table_iter_next(&iter, &account, &use))
		pack_use(packer, account, use);
	g_hash_table_unref(sums);
}

static void add_own_work(void *ctx, const char *service, double total)
{
	sums_add(ctx, service, total);
}

static void pack_works(msgpack_packer *packer, const gateway_peers_t *peers,
		       const peer_t *except)
{
	GHashTable *sums = peers_values_create();
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	work_rate_each_own(peers->gateway->work, add_own_work, sums);
	if (except)
		add_peers(sums, peers->works, except->works);
	msgpack_pack_array(packer, g_hash_table_size(sums));
	g_hash_table_iter_init(&iter, sums);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		msgpack_pack_array(packer, 2);
		msgpack_write_text(packer, name);
		msgpack_pack_uint64(packer, (uint64_t)MAX(*(double *)value, 0));
	}
	g_hash_table_unref(sums);
}

static void pack_usage(void *ctx, const usage_entry_t *entry)
{
	list_writer_t *writer = ctx;

	writer->count++;
	msgpack_pack_array(&writer->packer, USAGE_FIELDS);
	msgpack_pack_uint64(&writer->packer, (uint64_t)entry->window);
	msgpack_write_text(&writer->packer, entry->account);
	msgpack_pack_uint64(&writer->packer, entry->count);
}

static void pack_usages(msgpack_sbuffer *out, msgpack_packer *packer,
			const gateway_t *gateway)
{
	int64_t from = gateway_first_window_due(gateway);
	list_writer_t writer;

	list_writer_init(&writer);
	usage_each_own(gateway->usage, from, pack_usage, &writer);
	list_writer_end(&writer, out, packer);
}

static void add_new_use(void *ctx, const char *account, const token_use_t *use)
{
	list_writer_t *writer = ctx;

	writer->count++;
	pack_use(&writer->packer, account, use);
}

/*
 * Packs what the checkpoint writers have not been sent yet: usage, the use of limits and
 * the requests in flight. Returns how many numbers that are.
 */
unsigned int peers_pack_counts(msgpack_sbuffer *buffer, gateway_peers_t *peers)
{
	bool flight_is_new = peers_flight_is_unsent(peers);
	const inflight_snapshot_t *flight =
		gateway_requests_note_flight(peers->gateway);
	list_writer_t usage;
	list_writer_t uses;
	msgpack_packer packer;

	list_writer_init(&usage);
	list_writer_init(&uses);
	usage_each_unsent(peers->gateway->usage, pack_usage, &usage);
	token_limits_each_changed(peers->gateway->limits, gateway_now(),
				  add_new_use, &uses);
	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, COUNTS_FIELDS);
	msgpack_pack_uint8(&packer, MESSAGE_COUNTS);
	msgpack_write_text(&packer, peers->address);
	msgpack_write_text(&packer, peers->incarnation);
	list_writer_end(&usage, buffer, &packer);
	list_writer_end(&uses, buffer, &packer);
	if (flight)
		flight_pack(&packer, flight);
	else
		msgpack_pack_nil(&packer);
	peers->flight_sent = flight ? flight->taken_at : 0;
	return usage.count + uses.count + flight_is_new;
}

static void pack_member(msgpack_packer *packer, const peer_t *peer)
{
	msgpack_pack_array(packer, MEMBER_FIELDS);
	msgpack_write_text(packer, peer->address);
	msgpack_pack_uint8(packer, peer->strong);
	msgpack_pack_uint16(packer, peer->zone);
}

static bool is_among(const peer_t *peer, peer_t *const *peers, unsigned int count)
{
	for (unsigned int i = 0; i < count; i++) {
		if (peers[i] == peer)
			return true;
	}
	return false;
}

/* Packs peers that are heard: those that go first, and others at random. */
static void pack_members(msgpack_packer *packer, const gateway_peers_t *peers,
			 pd_time_t now)
{
	peer_t *first[MEMBERS_FIRST + 1];
	unsigned int firsts = peers_first(peers, first, MEMBERS_FIRST, now);
	unsigned int heard = 0;
	unsigned int left;

	LIST_FOR_EACH (it, &peers->list) {
		const peer_t *peer = LIST_ENTRY(it, peer_t, node);

		heard += peer_is_heard(peer, now) &&
			 !is_among(peer, first, firsts);
	}
	left = MIN(heard, MEMBERS_TOLD - MEMBERS_FIRST);
	msgpack_pack_array(packer, firsts + left);
	for (unsigned int i = 0; i < firsts; i++)
		pack_member(packer, first[i]);
	LIST_FOR_EACH (it, &peers->list) {
		const peer_t *peer = LIST_ENTRY(it, peer_t, node);

		if (!peer_is_heard(peer, now) || is_among(peer, first, firsts))
			continue;
		/* Each of those left is as likely to be among the chosen. */
		if (g_rand_double(peers->gateway->random) * heard < left) {
			pack_member(packer, peer);
			left--;
		}
		heard--;
	}
}

static unsigned int state_flags(const gateway_peers_t *peers, bool asks)
{
	unsigned int flags = 0;

	if (fleet_feed_is_back(peers->gateway->feed))
		flags |= STATE_FLAG_HAS_STORE;
	if (peers->strong)
		flags |= STATE_FLAG_STRONG;
	if (asks)
		flags |= STATE_FLAG_ASKS;
	return flags;
}

static void pack_head(msgpack_packer *packer, gateway_peers_t *peers,
		      message_kind_t kind, pd_time_t wall, bool asks)
{
	pd_time_t now = gateway_now();

	msgpack_pack_array(packer, STATE_FIELDS);
	msgpack_pack_uint8(packer, (uint8_t)kind);
	msgpack_write_text(packer, peers->address);
	msgpack_write_text(packer, peers->incarnation);
	msgpack_pack_uint64(packer, (uint64_t)wall);
	msgpack_pack_uint64(packer, peers_config_version(peers));
	msgpack_pack_uint64(packer, peers_digest(peers));
	msgpack_pack_uint64(packer, (uint64_t)(now - peers->started_at));
	msgpack_pack_uint8(packer, (uint8_t)state_flags(peers, asks));
	msgpack_pack_uint64(packer, (uint64_t)(now - peers->store_heard_at));
	msgpack_write_text(packer, peers->is_holder ? peers->address
				   : peers->holder  ? peers->holder
						    : "");
	msgpack_pack_uint64(packer, peers->holder_fence);
	msgpack_pack_uint32(packer, peers_view(peers, now)->counted);
}

static void add_speed(void *ctx, const char *service, double rate)
{
	sums_add(ctx, service, rate);
}

/*
 * Packs the speeds of engines that this gateway has seen itself. What it was only
 * told is not told on, or a wrong figure would go round for ever.
 */
static void pack_speeds(msgpack_packer *packer, const gateway_peers_t *peers)
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
		msgpack_write_text(packer, name);
		msgpack_pack_float(packer, (float)*(double *)rate);
	}
	g_hash_table_unref(speeds);
}

/* Packs what this gateway did; FULL: with usage and members. */
void peers_pack_state(msgpack_sbuffer *buffer, gateway_peers_t *peers,
		      bool asks, bool full)
{
	const time_vote_t *vote = peers->gateway->vote;
	pd_time_t now = gateway_now();
	msgpack_packer packer;

	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	pack_head(&packer, peers, MESSAGE_STATE, time_vote_own_wall(vote, now),
		  asks);
	pack_totals(&packer, peers, NULL);
	pack_works(&packer, peers, NULL);
	peers_pack_own_loads(&packer, peers);
	if (full) {
		pack_usages(buffer, &packer, peers->gateway);
		pack_members(&packer, peers, now);
	} else {
		msgpack_pack_nil(&packer);
		msgpack_pack_nil(&packer);
	}
	pack_speeds(&packer, peers);
	msgpack_pack_uint16(&packer, peers->zone);
	msgpack_pack_uint64(&packer, (uint64_t)time_vote_own_step_age(vote, now));
	if (full)
		msgpack_pack_int64(&packer, gateway_window(peers->gateway) - 1);
	else
		msgpack_pack_nil(&packer);
}

/* Sends what this gateway did. */
void peers_send_state(gateway_peers_t *peers, peer_t *peer, bool asks, bool full)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	peers_pack_state(&buffer, peers, asks, full);
	if (asks)
		token_limits_mark_reported(peers->gateway->limits);
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Packs what all gateways but the receiver did; FULL: with the members. */
void peers_pack_summary(msgpack_sbuffer *buffer, gateway_peers_t *peers,
			const peer_t *receiver, bool full)
{
	const gateway_t *gateway = peers->gateway;
	pd_time_t now = gateway_now();
	msgpack_packer packer;

	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	pack_head(&packer, peers, MESSAGE_SUMMARY,
		  time_vote_wall(gateway->vote, now), false);
	pack_totals(&packer, peers, receiver);
	pack_works(&packer, peers, receiver);
	peers_pack_all_loads(buffer, peers, now);
	msgpack_pack_nil(&packer);
	if (full)
		pack_members(&packer, peers, now);
	else
		msgpack_pack_nil(&packer);
	pack_speeds(&packer, peers);
	msgpack_pack_uint16(&packer, peers->zone);
	msgpack_pack_uint64(&packer, 0);
	msgpack_pack_nil(&packer);
}

/* Sends what all gateways but the receiver did. */
void peers_send_summary(gateway_peers_t *peers, peer_t *peer, bool full)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	peers_pack_summary(&buffer, peers, peer, full);
	if (full)
		peer->members_at = gateway_now();
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

static void pack_digests(msgpack_packer *packer, const gateway_peers_t *peers)
{
	msgpack_pack_array(packer, FORWARD_BUCKETS);
	for (unsigned int i = 0; i < FORWARD_BUCKETS; i++)
		msgpack_pack_uint64(packer,
				    forward_upstreams_digest(peers->gateway->upstreams,
							     i));
}

static void pack_fetch_head(msgpack_packer *packer,
			    const gateway_peers_t *peers, unsigned int what)
{
	msgpack_pack_array(packer, FETCH_FIELDS);
	msgpack_pack_uint8(packer, MESSAGE_FETCH);
	msgpack_write_text(packer, peers->address);
	msgpack_pack_uint8(packer, (uint8_t)what);
}

/* Asks a peer for upstreams by their marks. */
void peers_send_fetch_marked(gateway_peers_t *peers, peer_t *peer,
			     const GArray *marks)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	pack_fetch_head(&packer, peers, FETCH_MARKED);
	msgpack_pack_array(&packer, marks->len);
	for (guint i = 0; i < marks->len; i++)
		msgpack_pack_uint64(&packer, g_array_index(marks, uint64_t, i));
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Asks a peer for what this gateway lacks. */
void peers_send_fetch(gateway_peers_t *peers, peer_t *peer, unsigned int what)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	pack_fetch_head(&packer, peers, what);
	if ((what & FETCH_UPSTREAMS) && peers->gateway->upstreams_known)
		pack_digests(&packer, peers);
	else
		msgpack_pack_nil(&packer);
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Sends the configuration in force, if there is one. */
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
	msgpack_write_text(&packer, peers->gateway->config_text);
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Packs the version of the configuration that was just taken. */
void peers_pack_announce(msgpack_packer *packer, const gateway_peers_t *peers)
{
	msgpack_pack_array(packer, 3);
	msgpack_pack_uint8(packer, MESSAGE_ANNOUNCE);
	msgpack_write_text(packer, peers->address);
	msgpack_pack_uint64(packer, peers_config_version(peers));
}

static void pack_upstream(msgpack_packer *packer, const forward_upstream_t *upstream)
{
	msgpack_pack_array(packer, NEWS_FULL_FIELDS);
	msgpack_write_text(packer, upstream->id);
	msgpack_write_text(packer, upstream->service);
	msgpack_write_text(packer, upstream->address);
	msgpack_pack_uint16(packer, upstream->port);
	msgpack_write_text(packer, upstream->zone);
	msgpack_pack_uint32(packer, upstream->slots);
	msgpack_pack_uint8(packer, (uint8_t)upstream->stage);
	msgpack_pack_uint8(packer, upstream->reclaimable);
	msgpack_pack_uint64(packer, upstream->revision);
	msgpack_pack_int64(packer, upstream->born);
}

/*
 * Packs the stage of an upstream: a sixth of the bytes of all of it. Everybody
 * hears it from several peers, and who does not know it asks one for the rest.
 */
static void pack_stage(msgpack_packer *packer, const forward_upstream_t *upstream)
{
	msgpack_pack_array(packer, NEWS_BRIEF_FIELDS);
	msgpack_pack_uint64(packer, upstream->mark);
	msgpack_pack_uint8(packer, (uint8_t)upstream->stage);
	msgpack_pack_uint64(packer, upstream->revision);
	msgpack_pack_int64(packer, upstream->born);
}

/* Which upstreams a message tells about. */
typedef struct news_choice {
	GHashTable *ids; /* only these; NULL: any */
	const uint64_t *digests; /* only in buckets with others; NULL: in any */
} news_choice_t;

static bool news_includes(const gateway_peers_t *peers, const news_choice_t *choice,
			  const forward_upstream_t *upstream)
{
	unsigned int bucket = forward_upstream_bucket(upstream);

	if (choice->ids && !g_hash_table_contains(choice->ids, upstream->id))
		return false;
	return !choice->digests ||
	       choice->digests[bucket] !=
		       forward_upstreams_digest(peers->gateway->upstreams, bucket);
}

static void pack_news_head(msgpack_packer *packer, const gateway_peers_t *peers,
			   bool all)
{
	msgpack_pack_array(packer, NEWS_FIELDS);
	msgpack_pack_uint8(packer, MESSAGE_NEWS);
	msgpack_write_text(packer, peers->address);
	msgpack_pack_uint8(packer, all);
}

static uint32_t pack_news(msgpack_packer *packer, const gateway_peers_t *peers,
			  const news_choice_t *choice)
{
	list_node_t *list = forward_upstreams_list(peers->gateway->upstreams);
	bool all = !choice->ids && !choice->digests;
	uint32_t count = 0;

	LIST_FOR_EACH (it, list)
		count += news_includes(peers, choice,
				       LIST_ENTRY(it, forward_upstream_t, node));
	pack_news_head(packer, peers, all);
	msgpack_pack_array(packer, count);
	LIST_FOR_EACH (it, list) {
		const forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		if (!news_includes(peers, choice, upstream))
			continue;
		if (!all)
			pack_stage(packer, upstream);
		else
			pack_upstream(packer, upstream);
	}
	return count;
}

/* Packs what is known of some upstreams. */
void peers_pack_news(msgpack_packer *packer, const gateway_peers_t *peers,
		     GHashTable *ids)
{
	const news_choice_t choice = { .ids = ids };

	pack_news(packer, peers, &choice);
}

/*
 * Sends upstreams, if a whole listing is known: the stages of those in buckets in
 * which the receiver's digests differ, or all in full. A thousand upstreams are
 * 90 KB, and in a large fleet one of them changes nearly always: whole lists
 * would fill the links of small VMs.
 */
void peers_send_upstreams(gateway_peers_t *peers, peer_t *peer,
			  const uint64_t *digests)
{
	const news_choice_t choice = { .digests = digests };
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	if (!peers->gateway->upstreams_known)
		return;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	if (pack_news(&packer, peers, &choice) || !digests)
		peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Sends upstreams in full that a peer named by their marks. */
void peers_send_marked(gateway_peers_t *peers, peer_t *peer, const GArray *marks)
{
	GPtrArray *found = g_ptr_array_new();
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	for (guint i = 0; i < marks->len; i++) {
		uint64_t mark = g_array_index(marks, uint64_t, i);
		forward_upstream_t *upstream =
			forward_upstreams_marked(peers->gateway->upstreams,
						 (uint32_t)mark);

		if (upstream && upstream->mark == mark)
			g_ptr_array_add(found, upstream);
	}
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	pack_news_head(&packer, peers, false);
	msgpack_pack_array(&packer, found->len);
	for (guint i = 0; i < found->len; i++)
		pack_upstream(&packer, g_ptr_array_index(found, i));
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
	g_ptr_array_unref(found);
}
