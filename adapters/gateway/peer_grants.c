/*
 * Messages about brittle upstreams, and the choice of the gateway that issues the grants of
 * each. See core/forward/brittle-notes.md.
 */
#include <string.h>

#include "adapters/gateway/grants.h"
#include "adapters/gateway/peer_state.h"
#include "adapters/msgpack_write.h"
#include "core/hash.h"

/* What is known of a brittle service is older than this if no response said so lately. */
#define BRITTLENESS_AGE_MAX (2 * PD_SEC)
/* Until a gateway that is cut off from others takes them for lost. */
#define UNHEARD_TIME (6 * PD_SEC)
/* Services in one message; further ones are not sent. */
#define SERVICES_MAX 16

/* Adds the address of a gateway that may issue grants, and its hash. */
static void add_candidate(grant_candidates_t *candidates, const char *address)
{
	uint64_t hash = hash_string(address);

	candidates->generation ^= hash_number(hash);
	g_ptr_array_add(candidates->addresses, g_strdup(address));
	g_array_append_val(candidates->hashes, hash);
}

/* Returns the candidates as of now, borrowed: this gateway and those that rank first. */
static const grant_candidates_t *get_candidates(gateway_peers_t *peers)
{
	grant_candidates_t *candidates = &peers->grant_candidates;
	pd_time_t now = gateway_now();
	uint64_t before = candidates->generation;
	peer_t *first[GRANT_CANDIDATES];
	unsigned int count;

	if (candidates->at && now - candidates->at < GRANT_CANDIDATES_AGE)
		return candidates;
	candidates->at = now;
	candidates->generation = 0;
	g_ptr_array_set_size(candidates->addresses, 0);
	g_array_set_size(candidates->hashes, 0);
	count = peers_top_alive(peers, first, GRANT_CANDIDATES, now);
	if (peers_view(peers, now)->rank < GRANT_CANDIDATES) {
		count = MIN(count, GRANT_CANDIDATES - 1);
		add_candidate(candidates, peers->address);
	}
	for (unsigned int i = 0; i < count; i++)
		add_candidate(candidates, first[i]->address);
	if (candidates->generation != before)
		candidates->changed_at = now;
	return candidates;
}

/* Returns a number that differs when other gateways issue grants. */
uint64_t gateway_peers_grant_candidates(gateway_peers_t *peers)
{
	return get_candidates(peers)->generation;
}

/* Returns the address of the gateway that issues the grants of an upstream, borrowed. */
const char *gateway_peers_grant_issuer(gateway_peers_t *peers, uint64_t upstream_hash)
{
	const grant_candidates_t *candidates = get_candidates(peers);

	return g_ptr_array_index(
		candidates->addresses,
		brittle_find_issuer(upstream_hash,
				    (const uint64_t *)candidates->hashes->data,
				    candidates->hashes->len));
}

/*
 * Returns the part of the gateways that are alive, including this one: in a fleet that is
 * split, each side issues grants for its own members. One that has just started knows the
 * size of the fleet from the checkpoint.
 */
double gateway_peers_fleet_share(gateway_peers_t *peers)
{
	const peer_view_t *view = peers_view(peers, gateway_now());

	return (double)view->alive / MAX(gateway_count(peers->gateway), 1);
}

/*
 * Returns since when no other gateway issues grants of the upstreams that are this one's,
 * or until when one may. Gateways that this one has not heard since it started may still
 * take each other for the whole fleet.
 */
pd_time_t gateway_peers_issues_grants_since(gateway_peers_t *peers)
{
	pd_time_t since = get_candidates(peers)->changed_at;

	if (gateway_peers_fleet_share(peers) < 1)
		return MAX(since, peers->started_at + UNHEARD_TIME);
	return since;
}

/* Initializes the candidates, with none. */
void peers_grant_candidates_init(grant_candidates_t *candidates)
{
	candidates->addresses = g_ptr_array_new_with_free_func(g_free);
	candidates->hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
}

/* Frees what the candidates hold. */
void peers_grant_candidates_clear(grant_candidates_t *candidates)
{
	g_ptr_array_unref(candidates->addresses);
	g_array_unref(candidates->hashes);
}

/* Queues an ask, to be sent to the gateway that issues. */
void gateway_peers_send_grant_ask(gateway_peers_t *peers, const char *address,
				  const brittle_ask_t *ask)
{
	msgpack_packer *packer = peers_begin_item(peers, address, ITEM_GRANT_ASK);

	msgpack_pack_array(packer, GRANT_ASK_FIELDS);
	msgpack_pack_uint32(packer, ask->number);
	msgpack_pack_uint32(packer, ask->short_id);
	msgpack_pack_uint32(packer, ask->slots);
	msgpack_pack_uint32(packer, ask->rejections_max);
	msgpack_pack_uint64(packer, (uint64_t)MAX(ask->time_left / PD_MSEC, 0));
}

/* Queues an answer to a gateway that asked. */
void gateway_peers_send_grant_answer(gateway_peers_t *peers, const char *address,
				     const brittle_answer_t *answer)
{
	msgpack_packer *packer =
		peers_begin_item(peers, address, ITEM_GRANT_ANSWER);

	msgpack_pack_array(packer, GRANT_ANSWER_FIELDS);
	msgpack_pack_uint32(packer, answer->number);
	msgpack_pack_uint8(packer, answer->granted);
	msgpack_pack_uint64(packer, (uint64_t)(answer->retry_after / PD_MSEC));
}

/* Queues what became of a grant, to be sent to the gateway that issued it. */
void gateway_peers_send_grant_report(gateway_peers_t *peers,
				     const char *address, uint32_t short_id,
				     uint32_t number, brittle_outcome_t outcome)
{
	msgpack_packer *packer =
		peers_begin_item(peers, address, ITEM_GRANT_REPORT);

	msgpack_pack_array(packer, GRANT_REPORT_FIELDS);
	msgpack_pack_uint32(packer, short_id);
	msgpack_pack_uint32(packer, number);
	msgpack_pack_uint8(packer, (uint8_t)outcome);
}

/* Applies one ask; malformed ones are ignored. */
void peers_receive_grant_ask(gateway_peers_t *peers, const char *sender,
			     const msgpack_object *object)
{
	const msgpack_object *fields =
		msgpack_field_array(object, GRANT_ASK_FIELDS, NULL);
	brittle_ask_t ask = { .gateway = sender };

	if (!fields)
		return;
	ask.number = (uint32_t)msgpack_field_uint64(&fields[0]);
	ask.short_id = (uint32_t)msgpack_field_uint64(&fields[1]);
	ask.slots = (unsigned int)MIN(msgpack_field_uint64(&fields[2]), UINT16_MAX);
	ask.rejections_max = (unsigned int)MIN(msgpack_field_uint64(&fields[3]),
					       BRITTLE_REJECTIONS_MAX);
	ask.time_left = pd_time_from_ms(msgpack_field_uint64(&fields[4]));
	gateway_grants_receive_ask(peers->gateway->grants, &ask);
}

/* Applies one answer; malformed ones are ignored. */
void peers_receive_grant_answer(gateway_peers_t *peers, const char *sender,
				const msgpack_object *object)
{
	const msgpack_object *fields =
		msgpack_field_array(object, GRANT_ANSWER_FIELDS, NULL);
	brittle_answer_t answer;

	(void)sender;
	if (!fields)
		return;
	answer.number = (uint32_t)msgpack_field_uint64(&fields[0]);
	answer.granted = msgpack_field_uint64(&fields[1]) != 0;
	answer.retry_after = pd_time_from_ms(msgpack_field_uint64(&fields[2]));
	gateway_grants_receive_answer(peers->gateway->grants, &answer);
}

/* Applies one report; malformed ones are ignored. */
void peers_receive_grant_report(gateway_peers_t *peers, const char *sender,
				const msgpack_object *object)
{
	const msgpack_object *fields =
		msgpack_field_array(object, GRANT_REPORT_FIELDS, NULL);
	uint64_t outcome = fields ? msgpack_field_uint64(&fields[2]) : UINT64_MAX;

	if (outcome > BRITTLE_LOST)
		return;
	gateway_grants_receive_report(peers->gateway->grants, sender,
				      (uint32_t)msgpack_field_uint64(&fields[0]),
				      (uint32_t)msgpack_field_uint64(&fields[1]),
				      (brittle_outcome_t)outcome);
}

/* Packs the services that are brittle by a response of the last seconds. */
void peers_pack_brittle(msgpack_sbuffer *buffer, const gateway_peers_t *peers)
{
	const gateway_t *gateway = peers->gateway;
	const forward_config_t *config = gateway->config;
	pd_time_t now = gateway_now();
	msgpack_packer packer;
	list_writer_t services;

	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, BRITTLE_FIELDS);
	msgpack_pack_uint8(&packer, MESSAGE_BRITTLE);
	msgpack_write_string(&packer, peers->address);
	list_writer_init(&services);
	for (guint i = 0; config && i < config->services->len; i++) {
		const forward_service_t *service =
			g_ptr_array_index(config->services, i);
		forward_brittleness_t brittleness =
			forward_upstreams_brittleness(gateway->upstreams,
						      service->name);

		if (!brittleness.at || now - brittleness.at > BRITTLENESS_AGE_MAX ||
		    services.count == SERVICES_MAX)
			continue;
		services.count++;
		msgpack_pack_array(&services.packer, BRITTLE_SERVICE_FIELDS);
		msgpack_write_string(&services.packer, service->name);
		msgpack_pack_uint32(&services.packer, brittleness.rejections_max);
		msgpack_pack_uint64(&services.packer,
				    (uint64_t)((now - brittleness.at) / PD_MSEC));
	}
	list_writer_end(&services, buffer, &packer);
}

/* Sends which services are brittle to the other gateways. */
void gateway_peers_spread_brittle(gateway_peers_t *peers)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	peers_pack_brittle(&buffer, peers);
	peers_spread(peers, &buffer, gateway_now());
	msgpack_sbuffer_destroy(&buffer);
}

/* Sends a gateway that has just started which services are brittle, if any is. */
void peers_send_brittle(gateway_peers_t *peers, const peer_t *peer)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	peers_pack_brittle(&buffer, peers);
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Applies what a message says of one service. Returns whether that is new. */
static bool receive_service(const gateway_peers_t *peers,
			    const msgpack_object *object)
{
	const msgpack_object *fields =
		msgpack_field_array(object, BRITTLE_SERVICE_FIELDS, NULL);
	char *service = fields ? msgpack_field_string(&fields[0]) : NULL;
	uint64_t age_ms = fields ? msgpack_field_uint64(&fields[2]) : 0;
	forward_brittleness_t brittleness;
	bool is_new = false;

	if (service && age_ms <= BRITTLENESS_AGE_MAX / PD_MSEC &&
	    forward_config_service(peers->gateway->config, service)) {
		brittleness.at = gateway_now() - pd_time_from_ms(age_ms);
		brittleness.rejections_max =
			(unsigned int)CLAMP(msgpack_field_uint64(&fields[1]), 1,
					    BRITTLE_REJECTIONS_MAX);
		is_new = forward_upstreams_merge_brittleness(
			peers->gateway->upstreams, service, &brittleness);
	}
	g_free(service);
	return is_new;
}

/*
 * Applies which services are brittle, and sends it on where it is new and the sender does
 * not reach all gateways. Returns 0, or -1 if the message is malformed.
 */
int peers_receive_brittle(gateway_peers_t *peers, const msgpack_object *fields)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(&fields[2], 0, &count);
	bool is_new = false;

	if (!items)
		return -1;
	for (uint32_t i = 0;
	     peers->gateway->config && i < MIN(count, SERVICES_MAX); i++)
		is_new |= receive_service(peers, &items[i]);
	if (is_new && !peers_is_mesh(peers, gateway_now()))
		gateway_peers_spread_brittle(peers);
	return 0;
}
