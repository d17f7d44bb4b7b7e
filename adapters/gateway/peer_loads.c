/*
 * Exchange of the loads of upstreams between gateways. A message lists the most
 * loaded upstreams and has the mean of the others, so that its size does not
 * grow with the fleet.
 */
#include <string.h>

#include "adapters/gateway/peer_state.h"
#include "core/forward/engine_cost.h"

/* Summaries sent within this time share one encoding of all loads. */
#define PACKED_LOADS_MAX_AGE (50 * PD_MSEC)

/* Packs one load: LOAD_FIELDS numbers in the array of the message. */
static void pack_load(msgpack_packer *packer, uint32_t short_id,
		      unsigned int running, double prefill_tokens)
{
	msgpack_pack_uint32(packer, short_id);
	msgpack_pack_uint32(packer, running);
	msgpack_pack_uint32(packer, (uint32_t)(MAX(prefill_tokens, 0) /
						       PREFILL_UNIT_TOKENS +
					       0.5));
}

/*
 * Packs this gateway's own loads, and stores them for subtracting them from the
 * next summary.
 */
void peers_pack_own_loads(msgpack_packer *packer, gateway_peers_t *peers)
{
	GArray *sent = peers->last_sent_loads;

	g_array_set_size(sent, 0);
	LIST_FOR_EACH (it, forward_upstreams_list(peers->gateway->upstreams)) {
		const forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);
		load_t load = { forward_upstream_short_id(upstream),
				upstream->running, upstream->prefill_tokens };

		if (load.running)
			g_array_append_val(sent, load);
	}
	msgpack_pack_array(packer, sent->len * LOAD_FIELDS);
	for (guint i = 0; i < sent->len; i++) {
		const load_t *load = &g_array_index(sent, load_t, i);

		pack_load(packer, load->short_id, load->running,
			  load->prefill_tokens);
	}
}

/*
 * Returns the prompt tokens that weigh as much as one running request. All
 * loads use the same value, so that they can be compared.
 */
static double running_tokens(const gateway_t *gateway)
{
	double rate = 0;

	for (guint i = 0; i < gateway->config->services->len; i++) {
		const forward_service_t *service =
			g_ptr_array_index(gateway->config->services, i);

		if (service->is_engine)
			rate = MAX(rate,
				   gateway_engine_rate(gateway, service->name));
	}
	return engine_time_to_tokens(rate, ENGINE_RUNNING_REQUEST_TIME);
}

/* Returns the weight of a load, in prompt tokens. */
static double load_weight(const load_t *load, double running_tokens)
{
	return load->prefill_tokens + load->running * running_tokens;
}

/* Orders loads by descending weight. */
static gint compare_weights(gconstpointer a, gconstpointer b, gpointer tokens)
{
	double left = load_weight(a, *(double *)tokens);
	double right = load_weight(b, *(double *)tokens);

	return (left < right) - (left > right);
}

/* Returns the load of an upstream by all gateways. */
static load_t fleet_load(const forward_upstream_t *upstream)
{
	load_t load = { forward_upstream_short_id(upstream),
			forward_upstream_running(upstream),
			forward_upstream_prefill_tokens(upstream) };

	return load;
}

/* Sum of the loads of a service's upstreams that are not listed. */
typedef struct unlisted {
	unsigned int count;
	unsigned int running;
	double prefill_tokens;
} unlisted_t;

/*
 * Returns the sum over a service's upstreams that weigh less than LEAST, the
 * last one listed.
 */
static unlisted_t sum_unlisted(const GPtrArray *serving, const load_t *least,
			       double running_tokens)
{
	unlisted_t unlisted = { 0 };

	for (guint i = 0; i < serving->len; i++) {
		load_t load = fleet_load(g_ptr_array_index(serving, i));

		if (load_weight(&load, running_tokens) >=
		    load_weight(least, running_tokens))
			continue;
		unlisted.count++;
		unlisted.running += load.running;
		unlisted.prefill_tokens += load.prefill_tokens;
	}
	return unlisted;
}

/*
 * Packs, for each service, the mean load of its upstreams that weigh less than
 * LEAST.
 */
static void pack_unlisted_means(msgpack_packer *packer, const gateway_t *gateway,
				const load_t *least, double running_tokens)
{
	const GPtrArray *services = gateway->config->services;

	msgpack_pack_array(packer, services->len);
	for (guint i = 0; i < services->len; i++) {
		const forward_service_t *service = g_ptr_array_index(services, i);
		const GPtrArray *serving =
			forward_upstreams_serving(gateway->upstreams,
						  service->name);
		unlisted_t unlisted = { 0 };

		if (serving)
			unlisted = sum_unlisted(serving, least, running_tokens);
		msgpack_pack_array(packer, 3);
		msgpack_pack_str_with_body(packer, service->name,
					   strlen(service->name));
		msgpack_pack_float(packer, (float)unlisted.running /
						   (float)MAX(unlisted.count, 1));
		msgpack_pack_float(packer, (float)unlisted.prefill_tokens /
						   (float)MAX(unlisted.count, 1));
	}
}

/*
 * Packs the loads by all gateways: those of the most loaded upstreams, and
 * means of the others if there are more than LOADS_LISTED_MAX.
 */
static void pack_summed_loads(msgpack_packer *packer, const gateway_peers_t *peers)
{
	const gateway_t *gateway = peers->gateway;
	GArray *loads = g_array_new(FALSE, FALSE, sizeof(load_t));
	double tokens = 0;
	bool truncated;

	LIST_FOR_EACH (it, forward_upstreams_list(gateway->upstreams)) {
		load_t load = fleet_load(LIST_ENTRY(it, forward_upstream_t, node));

		if (load.running)
			g_array_append_val(loads, load);
	}
	truncated = loads->len > LOADS_LISTED_MAX && gateway->config;
	if (truncated) {
		tokens = running_tokens(gateway);
		g_array_sort_with_data(loads, compare_weights, &tokens);
	}
	msgpack_pack_array(packer, 2);
	msgpack_pack_array(packer, (truncated ? LOADS_LISTED_MAX : loads->len) *
					   LOAD_FIELDS);
	for (guint i = 0; i < (truncated ? LOADS_LISTED_MAX : loads->len); i++) {
		const load_t *load = &g_array_index(loads, load_t, i);

		pack_load(packer, load->short_id, load->running,
			  load->prefill_tokens);
	}
	if (truncated)
		pack_unlisted_means(packer, gateway,
				    &g_array_index(loads, load_t,
						   LOADS_LISTED_MAX - 1),
				    tokens);
	else
		msgpack_pack_array(packer, 0);
	g_array_unref(loads);
}

/*
 * Appends the loads of all gateways to a message. The encoding is shared by
 * messages sent shortly after each other; receivers subtract their own part.
 */
void peers_pack_summed_loads(msgpack_sbuffer *buffer, gateway_peers_t *peers,
			     pd_time_t now)
{
	msgpack_sbuffer *packed = &peers->loads_packed;
	msgpack_packer packer;

	if (!packed->size || now - peers->loads_packed_at > PACKED_LOADS_MAX_AGE) {
		msgpack_sbuffer_clear(packed);
		msgpack_packer_init(&packer, packed, msgpack_sbuffer_write);
		pack_summed_loads(&packer, peers);
		peers->loads_packed_at = now;
	}
	msgpack_sbuffer_write(buffer, packed->data, packed->size);
}

/* Subtracts loads from the upstreams' totals and empties the array. */
void peers_remove_loads(gateway_peers_t *peers, GArray *loads)
{
	for (guint i = 0; i < loads->len; i++) {
		const load_t *load = &g_array_index(loads, load_t, i);
		forward_upstream_t *upstream =
			forward_upstreams_find_by_short_id(peers->gateway->upstreams,
							   load->short_id);

		if (!upstream)
			continue;
		upstream->peers_running -=
			MIN(upstream->peers_running, load->running);
		upstream->peers_prefill_tokens =
			MAX(upstream->peers_prefill_tokens - load->prefill_tokens,
			    0);
	}
	g_array_set_size(loads, 0);
}

/* Adds a load to an upstream's totals and to LOADS. */
static void add_load(GArray *loads, forward_upstream_t *upstream, const load_t *load)
{
	upstream->peers_running += load->running;
	upstream->peers_prefill_tokens += load->prefill_tokens;
	g_array_append_val(loads, *load);
}

/* Returns the load with a short id, borrowed, or NULL. */
static const load_t *loads_find(const GArray *loads, uint32_t short_id)
{
	for (guint i = 0; i < loads->len; i++) {
		const load_t *load = &g_array_index(loads, load_t, i);

		if (load->short_id == short_id)
			return load;
	}
	return NULL;
}

/*
 * Adds the loads listed in a message to the upstreams' totals and to LOADS,
 * less those in EXCLUDED, which may be NULL.
 */
static void add_listed_loads(gateway_peers_t *peers, GArray *loads,
			     const msgpack_object *object, const GArray *excluded)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(object, 0, &count);

	for (uint32_t i = 0; i + LOAD_FIELDS <= count; i += LOAD_FIELDS) {
		load_t load = { (uint32_t)msgpack_field_uint64(&items[i]),
				(unsigned int)msgpack_field_uint64(&items[i + 1]),
				(double)msgpack_field_uint64(&items[i + 2]) *
					PREFILL_UNIT_TOKENS };
		forward_upstream_t *upstream =
			forward_upstreams_find_by_short_id(peers->gateway->upstreams,
							   load.short_id);
		const load_t *own =
			excluded ? loads_find(excluded, load.short_id) : NULL;

		if (!upstream)
			continue;
		if (own) {
			load.running -= MIN(load.running, own->running);
			load.prefill_tokens =
				MAX(load.prefill_tokens - own->prefill_tokens, 0);
		}
		add_load(loads, upstream, &load);
	}
}

/* Replaces the earlier loads of a peer, in LOADS, by those of its state. */
void peers_receive_loads(gateway_peers_t *peers, GArray *loads,
			 const msgpack_object *object)
{
	peers_remove_loads(peers, loads);
	add_listed_loads(peers, loads, object, NULL);
}

/* Sets the loads of a service's unlisted upstreams to their mean. */
static void add_mean_loads(gateway_peers_t *peers, const msgpack_object *object)
{
	const msgpack_object *fields = msgpack_field_array(object, 3, NULL);
	char *service = fields ? msgpack_field_string(&fields[0]) : NULL;
	const GPtrArray *serving =
		service ? forward_upstreams_serving(peers->gateway->upstreams,
						    service)
			: NULL;

	for (guint i = 0; serving && i < serving->len; i++) {
		forward_upstream_t *upstream = g_ptr_array_index(serving, i);
		load_t load = { forward_upstream_short_id(upstream),
				(unsigned int)(msgpack_field_double(&fields[1]) +
					       0.5),
				msgpack_field_double(&fields[2]) };

		if (!upstream->peers_running && upstream->peers_prefill_tokens <= 0)
			add_load(peers->aggregator_loads, upstream, &load);
	}
	g_free(service);
}

/*
 * Replaces the loads of the earlier summary by those of a new one, less what
 * this gateway last sent.
 */
void peers_receive_summed_loads(gateway_peers_t *peers, const msgpack_object *object)
{
	const msgpack_object *parts = msgpack_field_array(object, 2, NULL);
	uint32_t count = 0;
	const msgpack_object *means;

	peers_remove_loads(peers, peers->aggregator_loads);
	if (!parts)
		return;
	add_listed_loads(peers, peers->aggregator_loads, &parts[0],
			 peers->last_sent_loads);
	means = msgpack_field_array(&parts[1], 0, &count);
	for (uint32_t i = 0; i < count; i++)
		add_mean_loads(peers, &means[i]);
}
