/*
 * Messages about upstreams that fail if they have to reject too many requests, and have
 * rejected one: all gateways pause then. See core/forward/brittle-notes.md.
 */
#include "adapters/gateway/peer_state.h"
#include "adapters/msgpack_write.h"

/* Rejections in one message; further ones are not sent. */
#define REJECTIONS_MAX 5
/*
 * A larger fleet sends messages on; there each gateway sends one in this time on average,
 * and some at once.
 */
#define REJECTIONS_PERIOD_LARGE (100 * PD_MSEC)
#define REJECTIONS_BURST 10
/* Rejections that are older say nothing about the next request. */
#define REJECTION_AGE_MAX PD_SEC

/* Packs rejections, as short ids of upstreams and ages in turn. */
void peers_pack_rejections(msgpack_sbuffer *buffer, const gateway_peers_t *peers,
			   const rejection_t *rejections, unsigned int count)
{
	pd_time_t now = gateway_now();
	msgpack_packer packer;

	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, REJECTIONS_FIELDS);
	msgpack_pack_uint8(&packer, MESSAGE_REJECTIONS);
	msgpack_write_string(&packer, peers->address);
	msgpack_pack_uint64(&packer,
			    (uint64_t)(time_vote_wall(peers->gateway->vote, now) /
				       PD_MSEC));
	msgpack_pack_array(&packer, REJECTION_FIELDS * count);
	for (unsigned int i = 0; i < count; i++) {
		msgpack_pack_uint32(&packer, rejections[i].short_id);
		msgpack_pack_uint64(&packer, (uint64_t)((now - rejections[i].at) /
							PD_MSEC));
	}
}

/* Sends the rejections that other gateways have not been sent. */
static void send_pending(gateway_peers_t *peers, pd_time_t now)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	peers_pack_rejections(&buffer, peers,
			      &g_array_index(peers->rejections, rejection_t, 0),
			      peers->rejections->len);
	peers_spread(peers, &buffer, now);
	msgpack_sbuffer_destroy(&buffer);
	g_array_set_size(peers->rejections, 0);
	peers->rejections_due_at =
		MAX(peers->rejections_due_at, now) + REJECTIONS_PERIOD_LARGE;
}

/* Sends pending rejections if it is time to. */
void peers_run_rejections(gateway_peers_t *peers, pd_time_t now)
{
	if (!peers->rejections->len)
		return;
	if (peers_is_mesh(peers, now) ||
	    now >= peers->rejections_due_at -
			    REJECTIONS_BURST * REJECTIONS_PERIOD_LARGE)
		send_pending(peers, now);
}

/* Has a rejection sent to other gateways, at once if possible. */
static void queue_rejection(gateway_peers_t *peers, const rejection_t *rejection)
{
	if (peers->rejections->len == REJECTIONS_MAX)
		return;
	g_array_append_vals(peers->rejections, rejection, 1);
	peers_run_rejections(peers, gateway_now());
}

/* Pauses an upstream that rejected a request at a time. Returns whether that is news. */
static bool pause_upstream(gateway_t *gateway, forward_upstream_t *upstream,
			   pd_time_t at)
{
	const brittle_sharer_t sharer = { gateway->name_hash,
					  gateway_count(gateway) };

	return forward_upstream_record_brittle_rejection(upstream, &sharer, at);
}

/*
 * Records that an upstream, which fails if it has to reject too many requests, has
 * rejected one of this gateway, for all gateways.
 */
void gateway_peers_record_rejection(gateway_peers_t *peers,
				    forward_upstream_t *upstream)
{
	const rejection_t rejection = { forward_upstream_short_id(upstream),
					gateway_now() };

	metrics_add(peers->gateway->metrics, "gateway_brittle_rejections_total", 1);
	if (pause_upstream(peers->gateway, upstream, rejection.at))
		queue_rejection(peers, &rejection);
}

/* Returns whether a message is too old, by the time at which it was sent. */
static bool is_late(const gateway_peers_t *peers, const msgpack_object *sent,
		    pd_time_t now)
{
	uint64_t ms = msgpack_field_uint64(sent);

	return ms > (uint64_t)(PD_TIME_MAX / PD_MSEC) ||
	       time_vote_wall(peers->gateway->vote, now) - pd_time_from_ms(ms) >
		       REJECTION_AGE_MAX;
}

/*
 * Pauses upstreams that have rejected requests of another gateway, and sends on what is
 * new where the sender does not reach all. Returns 0, or -1 if the message is malformed.
 */
int peers_receive_rejections(gateway_peers_t *peers, const msgpack_object *fields)
{
	pd_time_t now = gateway_now();
	bool forward = !peers_is_mesh(peers, now);
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(&fields[3], 0, &count);

	if (!items)
		return -1;
	if (is_late(peers, &fields[2], now))
		return 0;
	count = MIN(count / REJECTION_FIELDS, REJECTIONS_MAX);
	for (uint32_t i = 0; i < count; i++, items += REJECTION_FIELDS) {
		uint64_t age_ms = msgpack_field_uint64(&items[1]);
		rejection_t rejection = {
			(uint32_t)msgpack_field_uint64(&items[0]),
			now - pd_time_from_ms(age_ms),
		};
		forward_upstream_t *upstream =
			forward_upstreams_find_by_short_id(peers->gateway->upstreams,
							   rejection.short_id);

		if (upstream && age_ms <= REJECTION_AGE_MAX / PD_MSEC &&
		    pause_upstream(peers->gateway, upstream, rejection.at) &&
		    forward)
			queue_rejection(peers, &rejection);
	}
	return 0;
}
