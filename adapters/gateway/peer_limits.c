/*
 * Messages about the rate limits of upstreams: one gateway issues the permits of the
 * fleet, the others request them. See core/forward/upstream-limits-notes.md.
 */
#include <math.h>

#include "adapters/gateway/peer_state.h"
#include "adapters/gateway/rate_limits.h"
#include "adapters/msgpack_write.h"

/*
 * A gateway that issues permits is taken for lost after this much silence, and after
 * three periods at least. It sends its state every period.
 */
#define ISSUER_TIMEOUT (1200 * PD_MSEC)
/* Limits are sent again to peers that have not asked for permits for so long. */
#define LIMITS_PUSH_PERIOD PD_SEC
/* Changed limits are sent at once, but not more often than this. */
#define LIMITS_PERIOD_MIN (50 * PD_MSEC)
/* Random variation of the period: equal phases would favour the same gateways. */
#define PERIOD_JITTER 0.3

/* Returns whether this gateway receives the states of all that rank before it. */
static bool receives_states_before(gateway_peers_t *peers, pd_time_t now)
{
	return peers_is_mesh(peers, now) ||
	       peers_view(peers, now)->rank < AGGREGATORS;
}

/* Returns the live peer that ranks first and is not silent, borrowed, or NULL. */
static peer_t *first_peer(gateway_peers_t *peers, pd_time_t now)
{
	pd_time_t silence =
		MAX(ISSUER_TIMEOUT, 3 * peers_state_period(peers, now));
	peer_t *first[GATEWAY_MESH_MAX];
	unsigned int count =
		peers_top_ranked(peers, first, G_N_ELEMENTS(first), now);

	if (!receives_states_before(peers, now))
		return count ? first[0] : NULL;
	for (unsigned int i = 0; i < count; i++) {
		if (first[i]->heard_at && now - first[i]->heard_at < silence)
			return first[i];
	}
	return NULL;
}

/* Returns the peer that issues permits, borrowed; NULL: this gateway does. */
static peer_t *find_issuer(gateway_peers_t *peers, pd_time_t now)
{
	peer_t *first = first_peer(peers, now);

	return first && !peers_ranks_before(peers, first) ? first : NULL;
}

/*
 * Returns the part of the rates that this gateway issues permits for: in a fleet that
 * is split, each side issues for its own members.
 */
static double issued_share(gateway_peers_t *peers, pd_time_t now)
{
	const peer_view_t *view = peers_view(peers, now);

	return (double)view->alive / MAX(view->fleet_size, 1);
}

/* Packs a limit; unless STATED, only the permits that are requested for it. */
static void pack_limit(msgpack_packer *packer, const upstream_limit_t *limit,
		       bool stated)
{
	msgpack_pack_array(packer, LIMIT_FIELDS);
	msgpack_pack_uint32(packer, limit->short_id);
	if (limit->limited)
		msgpack_pack_double(packer, limit->rate);
	else
		msgpack_pack_nil(packer);
	if (stated)
		msgpack_pack_uint64(packer, (uint64_t)(limit->age / PD_MSEC));
	else
		msgpack_pack_nil(packer);
	msgpack_pack_uint32(packer, limit->permits);
}

/*
 * Packs a request for permits, made at REQUESTED_AT by this gateway's clock, or a reply
 * to one that a peer made at that time by its clock; 0: to none.
 */
void peers_pack_limits(msgpack_sbuffer *buffer, const gateway_peers_t *peers,
		       message_kind_t kind, pd_time_t requested_at,
		       const upstream_limit_t *limits, unsigned int count)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, LIMITS_FIELDS);
	msgpack_pack_uint8(&packer, (uint8_t)kind);
	msgpack_write_string(&packer, peers->address);
	msgpack_pack_uint64(&packer, (uint64_t)requested_at);
	msgpack_pack_array(&packer, count);
	for (unsigned int i = 0; i < count; i++)
		pack_limit(&packer, &limits[i],
			   kind == MESSAGE_PERMITS || limits[i].observed);
}

/* Sends a message with limits, of upstream_limit_t. */
static void send_limits(const gateway_peers_t *peers, const peer_t *peer,
			message_kind_t kind, pd_time_t requested_at,
			const GArray *limits)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	peers_pack_limits(&buffer, peers, kind, requested_at,
			  (const upstream_limit_t *)limits->data, limits->len);
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Requests permits, and sends what responses have named since the last request. */
static void send_request(gateway_peers_t *peers, const peer_t *issuer,
			 const GArray *limits, pd_time_t now)
{
	GArray *listed = g_array_new(FALSE, FALSE, sizeof(upstream_limit_t));

	for (guint i = 0;
	     i < limits->len && listed->len < UPSTREAM_LIMITS_LISTED_MAX; i++) {
		const upstream_limit_t *limit =
			&g_array_index(limits, upstream_limit_t, i);

		if (!limit->permits && !limit->observed)
			continue;
		g_array_append_val(listed, *limit);
		upstream_limits_mark_sent(peers->gateway->upstream_limits,
					  limit->short_id);
	}
	send_limits(peers, issuer, MESSAGE_PERMIT_REQUEST, now, listed);
	g_array_unref(listed);
}

/* Issues permits to this gateway itself. */
static void grant_to_self(gateway_peers_t *peers, const GArray *limits,
			  pd_time_t now)
{
	gateway_t *gateway = peers->gateway;

	for (guint i = 0; i < limits->len; i++) {
		const upstream_limit_t *limit =
			&g_array_index(limits, upstream_limit_t, i);

		upstream_limits_mark_sent(gateway->upstream_limits,
					  limit->short_id);
		gateway_limits_add_permits(
			gateway, limit->short_id,
			upstream_limits_grant(gateway->upstream_limits,
					      limit->short_id, limit->permits, now),
			now);
	}
}

/* Adds a limit without permits to an array. */
static void add_limit(void *ctx, const upstream_limit_t *limit)
{
	upstream_limit_t added = *limit;

	added.permits = 0;
	g_array_append_val((GArray *)ctx, added);
}

/*
 * Appends known limits to a message until it lists UPSTREAM_LIMITS_LISTED_MAX, from a
 * random one on, so that all of them are sent in turn.
 */
static void add_known_limits(gateway_peers_t *peers, GArray *listed, pd_time_t now)
{
	GArray *known = g_array_new(FALSE, FALSE, sizeof(upstream_limit_t));
	guint first;

	upstream_limits_each(peers->gateway->upstream_limits, now, add_limit,
			     known);
	first = known->len ? (guint)g_rand_int_range(peers->gateway->random, 0,
						     (gint32)known->len)
			   : 0;
	for (guint i = 0;
	     i < known->len && listed->len < UPSTREAM_LIMITS_LISTED_MAX; i++)
		g_array_append_val(listed, g_array_index(known, upstream_limit_t,
							 (first + i) % known->len));
	g_array_unref(known);
}

/* Sends the limits to the peers that lack a change, or that were sent none lately. */
static void push_limits(gateway_peers_t *peers, pd_time_t now)
{
	GArray *listed = g_array_new(FALSE, FALSE, sizeof(upstream_limit_t));

	add_known_limits(peers, listed, now);
	LIST_FOR_EACH (it, &peers->list) {
		peer_t *peer = LIST_ENTRY(it, peer_t, node);

		if (!peer->handles_limits || !peer_is_heard(peer, now) ||
		    (peer->limits_sent_at > peers->limits_changed_at &&
		     now - peer->limits_sent_at < LIMITS_PUSH_PERIOD))
			continue;
		peer->limits_sent_at = now;
		send_limits(peers, peer, MESSAGE_PERMITS, 0, listed);
	}
	g_array_unref(listed);
}

/* Returns the time until permits are requested next. */
static pd_time_t next_period(gateway_peers_t *peers, pd_time_t now)
{
	double factor = 1 - PERIOD_JITTER +
			2 * PERIOD_JITTER * g_rand_double(peers->gateway->random);

	return (pd_time_t)((double)peers_state_period(peers, now) * factor);
}

/* Exchanges limits and permits with the gateway that issues them, when it is due. */
void peers_run_limits(gateway_peers_t *peers, pd_time_t now)
{
	gateway_t *gateway = peers->gateway;
	const peer_t *issuer;
	GArray *limits;

	if (now < peers->next_limits_at)
		return;
	peers->next_limits_at = now + next_period(peers, now);
	peers->limits_run_at = now;
	issuer = find_issuer(peers, now);
	upstream_limits_set_issuing(gateway->upstream_limits,
				    issuer ? 0 : issued_share(peers, now), now);
	if (upstream_limits_are_empty(gateway->upstream_limits))
		return;
	gateway_limits_expire(gateway, now);
	limits = gateway_limits_plan_requests(gateway,
					      peers_state_period(peers, now), now);
	if (!issuer) {
		grant_to_self(peers, limits, now);
		push_limits(peers, now);
	} else if (issuer->handles_limits) {
		send_request(peers, issuer, limits, now);
	}
	g_array_unref(limits);
}

/* Has changed limits sent soon. */
void gateway_peers_limits_changed(gateway_peers_t *peers)
{
	peers->limits_changed_at = gateway_now();
	peers->next_limits_at = MIN(peers->next_limits_at,
				    peers->limits_run_at + LIMITS_PERIOD_MIN);
}

/* Decodes a number that must not be negative. Returns false if it is none. */
static bool read_number(const msgpack_object *object, double *number)
{
	if (object->type != MSGPACK_OBJECT_FLOAT64 &&
	    object->type != MSGPACK_OBJECT_FLOAT32 &&
	    object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*number = msgpack_field_double(object);
	return isfinite(*number) && *number >= 0 && *number <= UPSTREAM_RATE_MAX;
}

/*
 * Decodes a limit. STATED is set if the message says what is known of it. Returns false
 * if it is malformed.
 */
static bool read_limit(const msgpack_object *object, upstream_limit_t *limit,
		       bool *stated)
{
	const msgpack_object *fields =
		msgpack_field_array(object, LIMIT_FIELDS, NULL);
	uint64_t age;

	if (!fields)
		return false;
	age = msgpack_field_uint64(&fields[2]);
	*stated = fields[2].type == MSGPACK_OBJECT_POSITIVE_INTEGER;
	*limit = (upstream_limit_t){
		.short_id = (uint32_t)msgpack_field_uint64(&fields[0]),
		.limited = fields[1].type != MSGPACK_OBJECT_NIL,
		.age = pd_time_from_ms(age),
		.permits = (unsigned int)MIN(msgpack_field_uint64(&fields[3]),
					     UPSTREAM_PERMITS_MAX),
	};
	return !limit->limited || read_number(&fields[1], &limit->rate);
}

/* Applies what a message says of a limit; the others are sent what is new. */
static void merge_limit(gateway_peers_t *peers, const upstream_limit_t *limit)
{
	if (gateway_limits_merge(peers->gateway, limit))
		gateway_peers_limits_changed(peers);
}

/*
 * Issues permits to a peer, if this gateway issues any, and replies with them and with
 * the limits that are known. Returns 0, or -1 if the message is malformed.
 */
int peers_receive_permit_request(gateway_peers_t *peers, const msgpack_object *fields)
{
	char *address = msgpack_field_string(&fields[1]);
	peer_t *peer = address ? peers_find(peers, address) : NULL;
	uint64_t requested_at = msgpack_field_uint64(&fields[2]);
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(&fields[3], 0, &count);
	pd_time_t now = gateway_now();
	GArray *reply = g_array_new(FALSE, FALSE, sizeof(upstream_limit_t));
	upstream_limit_t limit;
	bool stated;

	for (uint32_t i = 0; i < MIN(count, UPSTREAM_LIMITS_LISTED_MAX); i++) {
		if (!read_limit(&items[i], &limit, &stated))
			continue;
		if (stated)
			merge_limit(peers, &limit);
		limit.permits =
			upstream_limits_grant(peers->gateway->upstream_limits,
					      limit.short_id, limit.permits, now);
		if (!limit.permits)
			continue;
		metrics_add(peers->gateway->metrics,
			    "gateway_permits_issued_total", limit.permits);
		upstream_limits_get(peers->gateway->upstream_limits, now, &limit);
		g_array_append_val(reply, limit);
	}
	if (peer && requested_at <= PD_TIME_MAX) {
		add_known_limits(peers, reply, now);
		peer->limits_sent_at = now;
		send_limits(peers, peer, MESSAGE_PERMITS,
			    (pd_time_t)requested_at, reply);
	}
	g_array_unref(reply);
	g_free(address);
	return address && items ? 0 : -1;
}

/*
 * Applies limits that the issuer of permits knows, and the permits that it issued to
 * this gateway. Returns 0, or -1 if the message is malformed.
 */
int peers_receive_permits(gateway_peers_t *peers, const msgpack_object *fields)
{
	uint64_t requested_at = msgpack_field_uint64(&fields[2]);
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(&fields[3], 0, &count);
	upstream_limit_t limit;
	bool stated;

	if (!items || requested_at > PD_TIME_MAX)
		return -1;
	for (uint32_t i = 0; i < count; i++) {
		if (!read_limit(&items[i], &limit, &stated))
			continue;
		if (stated)
			merge_limit(peers, &limit);
		gateway_limits_add_permits(peers->gateway, limit.short_id,
					   limit.permits, (pd_time_t)requested_at);
	}
	return 0;
}
