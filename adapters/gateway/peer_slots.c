/*
 * Messages about the slots of plain services, and the framing of those about grants. Those
 * to one gateway that arise in one iteration of the event loop are sent together.
 */
#include <string.h>

#include "adapters/gateway/grants.h"
#include "adapters/gateway/peer_state.h"
#include "adapters/gateway/slots.h"
#include "adapters/msgpack_write.h"
#include "core/hash.h"

/* Gateways that rank first, of which each service has one as its dispatcher. */
#define DISPATCHER_CANDIDATES 8
/* Items in one message that is received; more are an error. */
#define ITEMS_MAX 4096
#define WEIGHT_UNIT 1000.0

/* Items for one gateway. */
typedef struct outbox {
	list_writer_t items[ITEM_KINDS];
	bool used[ITEM_KINDS];
} outbox_t;

static const message_kind_t message_kinds[] = {
	[ITEM_SLOT_REQUEST] = MESSAGE_SLOT_REQUEST,
	[ITEM_SLOT_ANSWER] = MESSAGE_SLOT_ANSWER,
	[ITEM_SLOT_RELEASE] = MESSAGE_SLOT_RELEASE,
	[ITEM_GRANT_ASK] = MESSAGE_GRANT_ASK,
	[ITEM_GRANT_ANSWER] = MESSAGE_GRANT_ANSWER,
	[ITEM_GRANT_REPORT] = MESSAGE_GRANT_REPORT,
};

/* Returns the address of this gateway, borrowed. */
const char *gateway_peers_address(const gateway_peers_t *peers)
{
	return peers->address;
}

/* Returns whether A is a better dispatcher of a service than B, by rendezvous hashing. */
static bool is_better(const char *service, const char *a, const char *b)
{
	return !b || hash_pair(service, a) > hash_pair(service, b);
}

/*
 * Returns the address of the gateway that dispatches the slots of a service, borrowed: one
 * of the first in rank but the aggregators, which have the most to do. NULL: none.
 */
const char *gateway_peers_slot_dispatcher(gateway_peers_t *peers, const char *service)
{
	pd_time_t now = gateway_now();
	unsigned int own_rank = peers_view(peers, now)->rank;
	peer_t *first[DISPATCHER_CANDIDATES];
	unsigned int count =
		peers_top_ranked(peers, first, DISPATCHER_CANDIDATES, now);
	unsigned int rank = 0;
	const char *best = NULL;

	if (own_rank >= AGGREGATORS && own_rank < DISPATCHER_CANDIDATES)
		best = peers->address;
	for (unsigned int i = 0; i < count; i++, rank++) {
		if (rank == own_rank)
			rank++;
		if (rank >= AGGREGATORS && rank < DISPATCHER_CANDIDATES &&
		    is_better(service, first[i]->address, best))
			best = first[i]->address;
	}
	return best;
}

/* Frees what is not sent. */
static void outbox_destroy(void *data)
{
	outbox_t *outbox = data;

	for (int kind = 0; kind < ITEM_KINDS; kind++) {
		if (outbox->used[kind])
			msgpack_sbuffer_destroy(&outbox->items[kind].buffer);
	}
	g_free(outbox);
}

/* Returns the table of items to send; the caller owns it. */
GHashTable *peers_slot_outboxes_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     outbox_destroy);
}

/* Returns the writer of items of a kind to a gateway, with one item more counted. */
msgpack_packer *peers_begin_item(gateway_peers_t *peers, const char *address,
				 item_kind_t kind)
{
	outbox_t *outbox = g_hash_table_lookup(peers->slot_outboxes, address);

	if (!outbox) {
		outbox = g_new0(outbox_t, 1);
		g_hash_table_insert(peers->slot_outboxes, g_strdup(address),
				    outbox);
	}
	if (!outbox->used[kind])
		list_writer_init(&outbox->items[kind]);
	outbox->used[kind] = true;
	outbox->items[kind].count++;
	return &outbox->items[kind].packer;
}

/* Queues a request for a slot, to be sent to a dispatcher. */
void gateway_peers_send_slot_request(gateway_peers_t *peers,
				     const char *address, uint32_t service,
				     const slot_request_t *request)
{
	msgpack_packer *packer =
		peers_begin_item(peers, address, ITEM_SLOT_REQUEST);

	msgpack_pack_array(packer, SLOT_REQUEST_FIELDS);
	msgpack_pack_uint32(packer, service);
	msgpack_pack_uint32(packer, request->number);
	msgpack_pack_uint8(packer, (uint8_t)request->rank);
	msgpack_pack_uint32(packer, request->account);
	msgpack_pack_uint64(packer, (uint64_t)(request->weight * WEIGHT_UNIT));
	msgpack_pack_uint8(packer, request->returned);
	msgpack_pack_uint64(packer, (uint64_t)MAX(request->goal / PD_MSEC, 0));
	msgpack_pack_uint64(packer, (uint64_t)MAX(request->time_left / PD_MSEC, 0));
	msgpack_pack_array(packer, request->tried_count);
	for (unsigned int i = 0; i < request->tried_count; i++)
		msgpack_pack_uint32(packer, request->tried[i]);
}

/* Queues an answer to a gateway that asked for a slot. */
void gateway_peers_send_slot_answer(gateway_peers_t *peers,
				    const slot_answer_t *answer)
{
	msgpack_packer *packer =
		peers_begin_item(peers, answer->gateway, ITEM_SLOT_ANSWER);

	msgpack_pack_array(packer, SLOT_ANSWER_FIELDS);
	msgpack_pack_uint32(packer, answer->number);
	msgpack_pack_uint8(packer, (uint8_t)answer->kind);
	msgpack_pack_uint32(packer, answer->short_id);
	msgpack_pack_uint64(packer, (uint64_t)(answer->retry_after / PD_MSEC));
}

/* Queues that a slot is free, to be sent to its dispatcher. */
void gateway_peers_send_slot_release(gateway_peers_t *peers,
				     const char *address, uint32_t service,
				     uint32_t number, bool rejected)
{
	msgpack_packer *packer =
		peers_begin_item(peers, address, ITEM_SLOT_RELEASE);

	msgpack_pack_array(packer, SLOT_RELEASE_FIELDS);
	msgpack_pack_uint32(packer, service);
	msgpack_pack_uint32(packer, number);
	msgpack_pack_uint8(packer, rejected);
}

/* Packs a message with the items of one kind, and removes them. */
static void pack_items(msgpack_sbuffer *buffer, const gateway_peers_t *peers,
		       outbox_t *outbox, item_kind_t kind)
{
	msgpack_packer packer;

	msgpack_sbuffer_init(buffer);
	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, SLOT_FIELDS);
	msgpack_pack_uint8(&packer, (uint8_t)message_kinds[kind]);
	msgpack_write_string(&packer, peers->address);
	msgpack_pack_uint32(&packer, (uint32_t)hash_string(peers->incarnation));
	list_writer_end(&outbox->items[kind], buffer, &packer);
	outbox->used[kind] = false;
}

/*
 * Packs a message with the queued items of a kind to a gateway, and removes them. Returns
 * false, with BUFFER as it was, if there are none.
 */
bool peers_pack_slots(msgpack_sbuffer *buffer, gateway_peers_t *peers,
		      const char *address, message_kind_t kind)
{
	outbox_t *outbox = g_hash_table_lookup(peers->slot_outboxes, address);
	item_kind_t item = (item_kind_t)(kind - MESSAGE_SLOT_REQUEST);

	if (!outbox || !outbox->used[item])
		return false;
	pack_items(buffer, peers, outbox, item);
	return true;
}

/* Sends the items of one kind to a gateway. */
static void send_items(gateway_peers_t *peers, const peer_t *peer,
		       outbox_t *outbox, item_kind_t kind)
{
	msgpack_sbuffer buffer;

	pack_items(&buffer, peers, outbox, kind);
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Sends all queued items. */
void gateway_peers_flush_slots(gateway_peers_t *peers)
{
	GHashTableIter iter;
	gpointer address;
	gpointer value;

	if (!g_hash_table_size(peers->slot_outboxes))
		return;
	g_hash_table_iter_init(&iter, peers->slot_outboxes);
	while (g_hash_table_iter_next(&iter, &address, &value)) {
		outbox_t *outbox = value;
		const peer_t *peer = peers_find(peers, address);

		for (int kind = 0; peer && kind < ITEM_KINDS; kind++) {
			if (outbox->used[kind])
				send_items(peers, peer, outbox, (item_kind_t)kind);
		}
	}
	g_hash_table_remove_all(peers->slot_outboxes);
}

/* Applies one request for a slot; malformed ones are ignored. */
static void receive_request(gateway_peers_t *peers, const char *sender,
			    const msgpack_object *object)
{
	const msgpack_object *fields =
		msgpack_field_array(object, SLOT_REQUEST_FIELDS, NULL);
	slot_request_t request = { .gateway = sender };
	const msgpack_object *tried;
	uint32_t count = 0;

	if (!fields)
		return;
	request.number = (uint32_t)msgpack_field_uint64(&fields[1]);
	request.rank =
		(int)MIN(msgpack_field_uint64(&fields[2]), GATEWAY_RANKS - 1);
	request.account = (uint32_t)msgpack_field_uint64(&fields[3]);
	request.weight = (double)msgpack_field_uint64(&fields[4]) / WEIGHT_UNIT;
	request.returned = msgpack_field_uint64(&fields[5]) != 0;
	request.goal = pd_time_from_ms(msgpack_field_uint64(&fields[6]));
	request.time_left = pd_time_from_ms(msgpack_field_uint64(&fields[7]));
	tried = msgpack_field_array(&fields[8], 0, &count);
	request.tried_count = MIN(count, SLOT_TRIED_MAX);
	for (unsigned int i = 0; i < request.tried_count; i++)
		request.tried[i] = (uint32_t)msgpack_field_uint64(&tried[i]);
	gateway_slots_receive_request(peers->gateway->slots,
				      (uint32_t)msgpack_field_uint64(&fields[0]),
				      &request);
}

/* Applies one answer; malformed ones are ignored. */
static void receive_answer(gateway_peers_t *peers, const char *sender,
			   const msgpack_object *object)
{
	const msgpack_object *fields =
		msgpack_field_array(object, SLOT_ANSWER_FIELDS, NULL);
	slot_answer_t answer = { .gateway = peers->address };
	uint64_t kind = fields ? msgpack_field_uint64(&fields[1]) : UINT64_MAX;

	(void)sender;
	if (kind > SLOT_REFUSED)
		return;
	answer.kind = (slot_answer_kind_t)kind;
	answer.number = (uint32_t)msgpack_field_uint64(&fields[0]);
	answer.short_id = (uint32_t)msgpack_field_uint64(&fields[2]);
	answer.retry_after = pd_time_from_ms(msgpack_field_uint64(&fields[3]));
	gateway_slots_receive_answer(peers->gateway->slots, &answer);
}

/* Applies one release; malformed ones are ignored. */
static void receive_release(gateway_peers_t *peers, const char *sender,
			    const msgpack_object *object)
{
	const msgpack_object *fields =
		msgpack_field_array(object, SLOT_RELEASE_FIELDS, NULL);

	if (fields)
		gateway_slots_receive_release(
			peers->gateway->slots, sender,
			(uint32_t)msgpack_field_uint64(&fields[0]),
			(uint32_t)msgpack_field_uint64(&fields[1]),
			msgpack_field_uint64(&fields[2]) != 0);
}

/*
 * Frees what earlier processes of a gateway had, when a new one asks. States don't tell a
 * dispatcher in time, as it gets them from few gateways.
 */
static void note_start(gateway_peers_t *peers, peer_t *peer, uint32_t start)
{
	if (peer->slots_start && peer->slots_start != start) {
		gateway_slots_remove_gateway(peers->gateway->slots, peer->address);
		gateway_grants_remove_gateway(peers->gateway->grants,
					      peer->address);
	}
	peer->slots_start = start;
}

/* Applies a message about slots or grants. Returns 0, or -1 if it is malformed. */
int peers_receive_slots(gateway_peers_t *peers, message_kind_t kind,
			const msgpack_object *fields)
{
	static void (*const receive[])(gateway_peers_t * peers, const char *sender,
				       const msgpack_object *object) = {
		[MESSAGE_SLOT_REQUEST] = receive_request,
		[MESSAGE_SLOT_ANSWER] = receive_answer,
		[MESSAGE_SLOT_RELEASE] = receive_release,
		[MESSAGE_GRANT_ASK] = peers_receive_grant_ask,
		[MESSAGE_GRANT_ANSWER] = peers_receive_grant_answer,
		[MESSAGE_GRANT_REPORT] = peers_receive_grant_report,
	};
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(&fields[3], 0, &count);
	char *sender = msgpack_field_string(&fields[1]);
	peer_t *peer = items && sender ? peers_add(peers, sender) : NULL;

	if (peer && (kind == MESSAGE_SLOT_REQUEST || kind == MESSAGE_GRANT_ASK))
		note_start(peers, peer, (uint32_t)msgpack_field_uint64(&fields[2]));
	for (uint32_t i = 0; peer && i < count && i < ITEMS_MAX; i++)
		receive[kind](peers, sender, &items[i]);
	g_free(sender);
	return peer ? 0 : -1;
}
