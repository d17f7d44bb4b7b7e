/*
 * What gateways have running at upstreams, as they tell each other. A message
 * names the most loaded upstreams and gives the mean of the rest, so that it does
 * not grow with the fleet.
 */
#include <string.h>

#include "adapters/gateway/peer_state.h"
#include "core/forward/engine_cost.h"

/* Summaries that are sent within this share what they say of all loads. */
#define PACKED_KEPT (50 * PD_MSEC)

static void pack_load(msgpack_packer *packer, uint32_t mark,
		      unsigned int running, double reading)
{
	msgpack_pack_uint32(packer, mark);
	msgpack_pack_uint32(packer, running);
	msgpack_pack_uint32(packer,
			    (uint32_t)(MAX(reading, 0) / READING_UNIT + 0.5));
}

/* Packs what this gateway itself has running, and notes that it told it. */
void peers_pack_own_loads(msgpack_packer *packer, gateway_peers_t *peers)
{
	GArray *told = peers->loads_told;

	g_array_set_size(told, 0);
	LIST_FOR_EACH (it, forward_upstreams_list(peers->gateway->upstreams)) {
		const forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);
		load_t load = { forward_upstream_mark(upstream),
				upstream->running, upstream->reading };

		if (load.running)
			g_array_append_val(told, load);
	}
	msgpack_pack_array(packer, told->len * LOAD_FIELDS);
	for (guint i = 0; i < told->len; i++) {
		const load_t *load = &g_array_index(told, load_t, i);

		pack_load(packer, load->mark, load->running, load->reading);
	}
}

/* The tokens that one running request stands for; the same for all loads. */
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

static double load_weight(const load_t *load, double running_tokens)
{
	return load->reading + load->running * running_tokens;
}

static gint by_weight(gconstpointer a, gconstpointer b, gpointer tokens)
{
	double left = load_weight(a, *(double *)tokens);
	double right = load_weight(b, *(double *)tokens);

	return (left < right) - (left > right);
}

static load_t load_of_all(const forward_upstream_t *upstream)
{
	load_t load = { forward_upstream_mark(upstream),
			forward_upstream_running(upstream),
			forward_upstream_reading(upstream) };

	return load;
}

/* The loads of a service that are not named one by one. */
typedef struct rest {
	unsigned int count;
	unsigned int running;
	double reading;
} rest_t;

static rest_t rest_of(const GPtrArray *serving, const load_t *least,
		      double running_tokens)
{
	rest_t rest = { 0 };

	for (guint i = 0; i < serving->len; i++) {
		load_t load = load_of_all(g_ptr_array_index(serving, i));

		if (load_weight(&load, running_tokens) >=
		    load_weight(least, running_tokens))
			continue;
		rest.count++;
		rest.running += load.running;
		rest.reading += load.reading;
	}
	return rest;
}

static void pack_rest(msgpack_packer *packer, const gateway_t *gateway,
		      const load_t *least, double running_tokens)
{
	const GPtrArray *services = gateway->config->services;

	msgpack_pack_array(packer, services->len);
	for (guint i = 0; i < services->len; i++) {
		const forward_service_t *service = g_ptr_array_index(services, i);
		const GPtrArray *serving =
			forward_upstreams_serving(gateway->upstreams,
						  service->name);
		rest_t rest = { 0 };

		if (serving)
			rest = rest_of(serving, least, running_tokens);
		msgpack_pack_array(packer, 3);
		msgpack_pack_str_with_body(packer, service->name,
					   strlen(service->name));
		msgpack_pack_float(packer, (float)rest.running /
						   (float)MAX(rest.count, 1));
		msgpack_pack_float(packer, (float)rest.reading /
						   (float)MAX(rest.count, 1));
	}
}

static void pack_all(msgpack_packer *packer, const gateway_peers_t *peers)
{
	const gateway_t *gateway = peers->gateway;
	GArray *loads = g_array_new(FALSE, FALSE, sizeof(load_t));
	double tokens = 0;
	bool some;

	LIST_FOR_EACH (it, forward_upstreams_list(gateway->upstreams)) {
		load_t load =
			load_of_all(LIST_ENTRY(it, forward_upstream_t, node));

		if (load.running)
			g_array_append_val(loads, load);
	}
	some = loads->len > LOADS_TOLD && gateway->config;
	if (some) {
		tokens = running_tokens(gateway);
		g_array_sort_with_data(loads, by_weight, &tokens);
	}
	msgpack_pack_array(packer, 2);
	msgpack_pack_array(packer, (some ? LOADS_TOLD : loads->len) * LOAD_FIELDS);
	for (guint i = 0; i < (some ? LOADS_TOLD : loads->len); i++) {
		const load_t *load = &g_array_index(loads, load_t, i);

		pack_load(packer, load->mark, load->running, load->reading);
	}
	if (some)
		pack_rest(packer, gateway,
			  &g_array_index(loads, load_t, LOADS_TOLD - 1), tokens);
	else
		msgpack_pack_array(packer, 0);
	g_array_unref(loads);
}

/*
 * Adds what all gateways have running to a message. It is packed once for all
 * that are sent shortly after each other; receivers take off what is their own.
 */
void peers_pack_all_loads(msgpack_sbuffer *buffer, gateway_peers_t *peers,
			  pd_time_t now)
{
	msgpack_sbuffer *packed = &peers->loads_packed;
	msgpack_packer packer;

	if (!packed->size || now - peers->loads_packed_at > PACKED_KEPT) {
		msgpack_sbuffer_clear(packed);
		msgpack_packer_init(&packer, packed, msgpack_sbuffer_write);
		pack_all(&packer, peers);
		peers->loads_packed_at = now;
	}
	msgpack_sbuffer_write(buffer, packed->data, packed->size);
}

/* Takes loads off the upstreams and empties the list. */
void peers_unload(gateway_peers_t *peers, GArray *loads)
{
	for (guint i = 0; i < loads->len; i++) {
		const load_t *load = &g_array_index(loads, load_t, i);
		forward_upstream_t *upstream =
			forward_upstreams_marked(peers->gateway->upstreams,
						 load->mark);

		if (!upstream)
			continue;
		upstream->peers_running -=
			MIN(upstream->peers_running, load->running);
		upstream->peers_reading =
			MAX(upstream->peers_reading - load->reading, 0);
	}
	g_array_set_size(loads, 0);
}

static void load_put(GArray *loads, forward_upstream_t *upstream, const load_t *load)
{
	upstream->peers_running += load->running;
	upstream->peers_reading += load->reading;
	g_array_append_val(loads, *load);
}

static const load_t *loads_find(const GArray *loads, uint32_t mark)
{
	for (guint i = 0; i < loads->len; i++) {
		const load_t *load = &g_array_index(loads, load_t, i);

		if (load->mark == mark)
			return load;
	}
	return NULL;
}

/* Adds the loads of a message to those heard; less WITHOUT, if not NULL. */
static void take_named(gateway_peers_t *peers, GArray *loads,
		       const msgpack_object *object, const GArray *without)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_items(object, 0, &count);

	for (uint32_t i = 0; i + LOAD_FIELDS <= count; i += LOAD_FIELDS) {
		load_t load = { (uint32_t)msgpack_field_number(&items[i]),
				(unsigned int)msgpack_field_number(&items[i + 1]),
				(double)msgpack_field_number(&items[i + 2]) *
					READING_UNIT };
		forward_upstream_t *upstream =
			forward_upstreams_marked(peers->gateway->upstreams,
						 load.mark);
		const load_t *own = without ? loads_find(without, load.mark) : NULL;

		if (!upstream)
			continue;
		if (own) {
			load.running -= MIN(load.running, own->running);
			load.reading = MAX(load.reading - own->reading, 0);
		}
		load_put(loads, upstream, &load);
	}
}

/* Puts a peer's own loads in the place of those that it told before. */
void peers_take_own_loads(gateway_peers_t *peers, GArray *loads,
			  const msgpack_object *object)
{
	peers_unload(peers, loads);
	take_named(peers, loads, object, NULL);
}

/* Gives the upstreams of a service that were not named the mean of the rest. */
static void take_rest(gateway_peers_t *peers, const msgpack_object *object)
{
	const msgpack_object *fields = msgpack_field_items(object, 3, NULL);
	char *service = fields ? msgpack_field_text(&fields[0]) : NULL;
	const GPtrArray *serving =
		service ? forward_upstreams_serving(peers->gateway->upstreams,
						    service)
			: NULL;

	for (guint i = 0; serving && i < serving->len; i++) {
		forward_upstream_t *upstream = g_ptr_array_index(serving, i);
		load_t load = { forward_upstream_mark(upstream),
				(unsigned int)(msgpack_field_decimal(&fields[1]) +
					       0.5),
				msgpack_field_decimal(&fields[2]) };

		if (!upstream->peers_running && upstream->peers_reading <= 0)
			load_put(peers->aggregator_loads, upstream, &load);
	}
	g_free(service);
}

/* Puts an aggregator's sums in the place of those before, less this gateway's part. */
void peers_take_all_loads(gateway_peers_t *peers, const msgpack_object *object)
{
	const msgpack_object *parts = msgpack_field_items(object, 2, NULL);
	uint32_t count = 0;
	const msgpack_object *rests;

	peers_unload(peers, peers->aggregator_loads);
	if (!parts)
		return;
	take_named(peers, peers->aggregator_loads, &parts[0], peers->loads_told);
	rests = msgpack_field_items(&parts[1], 0, &count);
	for (uint32_t i = 0; i < count; i++)
		take_rest(peers, &rests[i]);
}
