/*
 * Exchange of the speeds of upstreams. Each gateway sends its own samples; those that
 * have the samples of all work out the levels, which summaries list for a part of the
 * upstreams, so that no message grows with the fleet.
 */
#include <math.h>

#include "adapters/gateway/peer_state.h"
#include "adapters/log_glib.h"

#define UPDATE_PERIOD (500 * PD_MSEC)
/* Upstreams in one state or summary; a summary begins at a random one. */
#define SAMPLES_LISTED_MAX 64
#define LEVELS_LISTED_MAX 32
/* Samples of an upstream in one state; more are an error. */
#define SAMPLE_COUNT_MAX 1000
#define LOG_UNITS 1000.0

/* Logs an upstream's level, if it is not the usual one or was not. */
static void log_levels(const gateway_peers_t *peers)
{
	unsigned int slow = 0;
	unsigned int fast = 0;

	LIST_FOR_EACH (it, forward_upstreams_list(peers->gateway->upstreams)) {
		const forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		slow += upstream->speed.level < 0;
		fast += upstream->speed.level > 0;
	}
	log_line(G_LOG_LEVEL_INFO, "speeds", "slow=%u fast=%u", slow, fast);
}

/* Updates the levels if that is due, and if this gateway has the samples of all. */
void peers_run_speeds(gateway_peers_t *peers, pd_time_t now)
{
	if (peers->aggregator || now - peers->speeds_updated_at < UPDATE_PERIOD)
		return;
	peers->speeds_updated_at = now;
	if (forward_upstreams_update_speeds(peers->gateway->upstreams))
		log_levels(peers);
}

/* Returns the upstreams with samples that were not sent, borrowed; the caller frees it. */
static GPtrArray *unsent_upstreams(const gateway_peers_t *peers)
{
	GPtrArray *unsent = g_ptr_array_new();

	LIST_FOR_EACH (it, forward_upstreams_list(peers->gateway->upstreams)) {
		forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		if (upstream->speed.unsent)
			g_ptr_array_add(unsent, upstream);
	}
	return unsent;
}

/*
 * Takes the samples that the next states have in them. Where they do not fit, upstreams
 * take turns.
 */
void peers_take_speed_samples(gateway_peers_t *peers)
{
	GPtrArray *unsent = unsent_upstreams(peers);
	guint count = MIN(unsent->len, SAMPLES_LISTED_MAX);

	g_array_set_size(peers->speed_samples, 0);
	for (guint i = 0; i < count; i++) {
		forward_upstream_t *upstream =
			g_ptr_array_index(unsent, (peers->speed_samples_from +
						   i) % unsent->len);
		upstream_speed_t *speed = &upstream->speed;
		const speed_sample_t sample = {
			forward_upstream_short_id(upstream), speed->unsent,
			speed->unsent_sum / speed->unsent
		};

		g_array_append_val(peers->speed_samples, sample);
		speed->unsent = 0;
		speed->unsent_sum = 0;
	}
	peers->speed_samples_from += count;
	g_ptr_array_unref(unsent);
}

/* Packs the samples of this period. */
void peers_pack_speed_samples(msgpack_packer *packer, const gateway_peers_t *peers)
{
	msgpack_pack_array(packer, peers->speed_samples->len * SPEED_SAMPLE_FIELDS);
	for (guint i = 0; i < peers->speed_samples->len; i++) {
		const speed_sample_t *sample =
			&g_array_index(peers->speed_samples, speed_sample_t, i);

		msgpack_pack_uint32(packer, sample->short_id);
		msgpack_pack_uint32(packer, sample->count);
		msgpack_pack_int32(packer,
				   (int32_t)lround(sample->log_mean * LOG_UNITS));
	}
}

/* Returns the upstreams whose speeds this gateway knows, borrowed; the caller frees it. */
static GPtrArray *known_upstreams(const gateway_peers_t *peers)
{
	GPtrArray *known = g_ptr_array_new();

	LIST_FOR_EACH (it, forward_upstreams_list(peers->gateway->upstreams)) {
		forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		if (forward_upstream_is_serving(upstream) &&
		    upstream_speed_is_known(&upstream->speed))
			g_ptr_array_add(known, upstream);
	}
	return known;
}

/* Packs the levels of some upstreams, beginning at a random one. */
void peers_pack_speed_levels(msgpack_packer *packer, const gateway_peers_t *peers)
{
	GPtrArray *known = known_upstreams(peers);
	guint count = MIN(known->len, LEVELS_LISTED_MAX);
	guint first = count < known->len
			      ? (guint)g_rand_int_range(peers->gateway->random,
							0, (gint32)known->len)
			      : 0;

	msgpack_pack_array(packer, count * SPEED_LEVEL_FIELDS);
	for (guint i = 0; i < count; i++) {
		const forward_upstream_t *upstream =
			g_ptr_array_index(known, (first + i) % known->len);

		msgpack_pack_uint32(packer, forward_upstream_short_id(upstream));
		msgpack_pack_uint8(packer, (uint8_t)(upstream->speed.level +
						     UPSTREAM_SPEED_LEVEL_MAX));
	}
	g_ptr_array_unref(known);
}

/* Returns the upstream with a short id, borrowed; NULL: it is not known. */
static forward_upstream_t *find_upstream(const gateway_peers_t *peers,
					 const msgpack_object *short_id)
{
	return forward_upstreams_find_by_short_id(peers->gateway->upstreams,
						  (uint32_t)msgpack_field_uint64(
							  short_id));
}

/* Applies the samples of a peer; drops those of unknown upstreams, and malformed ones. */
void peers_receive_speed_samples(gateway_peers_t *peers, const msgpack_object *object)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(object, 0, &count);

	for (uint32_t i = 0; i + SPEED_SAMPLE_FIELDS <= count;
	     i += SPEED_SAMPLE_FIELDS) {
		forward_upstream_t *upstream = find_upstream(peers, &items[i]);
		uint64_t samples = msgpack_field_uint64(&items[i + 1]);
		double log_mean = msgpack_field_double(&items[i + 2]);

		/* A field of another type is read as 0, which is no plausible time. */
		if (upstream && samples <= SAMPLE_COUNT_MAX && log_mean > 0)
			upstream_speed_record_peer(&upstream->speed,
						   (unsigned int)samples,
						   log_mean / LOG_UNITS);
	}
}

/* Applies the levels of an aggregator; drops malformed ones. */
void peers_receive_speed_levels(gateway_peers_t *peers, const msgpack_object *object)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(object, 0, &count);

	for (uint32_t i = 0; i + SPEED_LEVEL_FIELDS <= count;
	     i += SPEED_LEVEL_FIELDS) {
		forward_upstream_t *upstream = find_upstream(peers, &items[i]);
		uint64_t level = msgpack_field_uint64(&items[i + 1]);

		/* A field of another type would be read as the lowest level. */
		if (upstream &&
		    items[i + 1].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
		    level <= 2 * UPSTREAM_SPEED_LEVEL_MAX)
			upstream_speed_set_level(&upstream->speed,
						 (int)level -
							 UPSTREAM_SPEED_LEVEL_MAX);
	}
}
