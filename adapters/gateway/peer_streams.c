/*
 * Messages about the software versions that began streams; see
 * core/forward/stream-versions-notes.md.
 */
#include <stdlib.h>
#include <string.h>

#include "adapters/gateway/gateway.h"
#include "adapters/gateway/peer_state.h"
#include "adapters/gateway/peers.h"
#include "adapters/gateway/sole_versions.h"
#include "adapters/msgpack_write.h"

/* Records of a message about streams that break off. */
#define BREAK_RECORDS_MAX 512
/* Queries that wait for a read of the store; further ones are asked again. */
#define STREAM_QUERIES_MAX 4096

/* A query for the version of a stream that is to be answered. */
typedef struct stream_query {
	char *address; /* of the gateway that asks */
	uint64_t attempt;
	char *service; /* NULL: the route has several */
	pd_time_t at; /* when it was received */
} stream_query_t;

/* Orders records by their version. */
static int compare_versions(const void *a, const void *b)
{
	uint64_t first = ((const stream_record_t *)a)->version_id;
	uint64_t second = ((const stream_record_t *)b)->version_id;

	return first < second ? -1 : first > second;
}

/*
 * Takes up to MOST records that were not sent yet, those of a version in a row. Returns
 * their number.
 */
static unsigned int take_records(const gateway_peers_t *peers,
				 stream_record_t *records, unsigned int most)
{
	unsigned int count = stream_versions_take_unsent(peers->gateway->streams,
							 records, most);

	if (count)
		qsort(records, count, sizeof(*records), compare_versions);
	return count;
}

/* Returns the number of records from FIRST on that have the same version. */
static unsigned int run_length(const stream_record_t *records,
			       unsigned int first, unsigned int count)
{
	unsigned int end = first;

	while (end < count && records[end].version_id == records[first].version_id)
		end++;
	return end - first;
}

/*
 * Packs records with PACKER, whose buffer is OUT: versions in turn with the hashes of
 * the attempts that they began, as bytes.
 */
void peers_pack_stream_records(msgpack_sbuffer *out, msgpack_packer *packer,
			       const stream_record_t *records, unsigned int count)
{
	list_writer_t writer;
	unsigned int length;

	list_writer_init(&writer);
	for (unsigned int i = 0; i < count; i += length) {
		length = run_length(records, i, count);
		msgpack_pack_uint64(&writer.packer, records[i].version_id);
		msgpack_pack_bin(&writer.packer, length * sizeof(uint64_t));
		for (unsigned int j = i; j < i + length; j++)
			msgpack_pack_bin_body(&writer.packer, &records[j].attempt,
					      sizeof(uint64_t));
		writer.count += 2;
	}
	list_writer_end(&writer, out, packer);
}

/* Packs a message with records. */
void peers_pack_streams(msgpack_sbuffer *buffer, const gateway_peers_t *peers,
			const stream_record_t *records, unsigned int count)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, STREAMS_FIELDS);
	msgpack_pack_uint8(&packer, MESSAGE_STREAMS);
	msgpack_write_string(&packer, peers->address);
	peers_pack_stream_records(buffer, &packer, records, count);
}

/* Packs a query for the stream that an attempt began. SERVICE may be NULL. */
void peers_pack_stream_query(msgpack_sbuffer *buffer, const gateway_peers_t *peers,
			     uint64_t attempt, const char *service)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, STREAM_QUERY_FIELDS);
	msgpack_pack_uint8(&packer, MESSAGE_STREAM_QUERY);
	msgpack_write_string(&packer, peers->address);
	msgpack_pack_uint64(&packer, attempt);
	if (service)
		msgpack_write_string(&packer, service);
	else
		msgpack_pack_nil(&packer);
}

/* Sends a message to the gateways that know of streams: all of a mesh, or aggregators. */
static void send_to_keepers(gateway_peers_t *peers, const msgpack_sbuffer *buffer)
{
	pd_time_t now = gateway_now();
	peer_t *first[GATEWAY_MESH_MAX];
	unsigned int most = peers_is_mesh(peers, now) ? G_N_ELEMENTS(first)
						      : AGGREGATORS;
	unsigned int count = peers_top_ranked(peers, first, most, now);

	for (unsigned int i = 0; i < count; i++) {
		if (first[i]->handles_streams)
			peers_send(peers, first[i], buffer);
	}
}

/* Takes the records that the next states have in them. */
void peers_take_stream_records(gateway_peers_t *peers)
{
	peers->stream_record_count =
		take_records(peers, peers->stream_records,
			     G_N_ELEMENTS(peers->stream_records));
}

/* Sends the versions of streams that were not sent yet, as one of them breaks off. */
void gateway_peers_send_streams(gateway_peers_t *peers)
{
	stream_record_t records[BREAK_RECORDS_MAX];
	unsigned int count = take_records(peers, records, BREAK_RECORDS_MAX);
	msgpack_sbuffer buffer;

	if (!count)
		return;
	msgpack_sbuffer_init(&buffer);
	peers_pack_streams(&buffer, peers, records, count);
	send_to_keepers(peers, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Asks other gateways for the version that began a stream of a service. */
void gateway_peers_query_stream(gateway_peers_t *peers, uint64_t attempt,
				const char *service)
{
	msgpack_sbuffer buffer;

	msgpack_sbuffer_init(&buffer);
	peers_pack_stream_query(&buffer, peers, attempt, service);
	send_to_keepers(peers, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/* Applies packed records; malformed ones are ignored. */
void peers_merge_stream_records(gateway_peers_t *peers, const msgpack_object *object)
{
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(object, 0, &count);
	gateway_t *gateway = peers->gateway;
	pd_time_t now = gateway_now();
	pd_time_t wall = time_vote_wall(gateway->vote, now);

	for (uint32_t i = 0; i + 1 < count; i += 2) {
		stream_record_t record = {
			.version_id = msgpack_field_uint64(&items[i]),
		};

		if (items[i + 1].type != MSGPACK_OBJECT_BIN)
			continue;
		for (uint32_t at = 0;
		     at + sizeof(uint64_t) <= items[i + 1].via.bin.size;
		     at += sizeof(uint64_t)) {
			memcpy(&record.attempt, items[i + 1].via.bin.ptr + at,
			       sizeof(uint64_t));
			stream_versions_merge(gateway->streams, &record, now);
			stream_journal_add(gateway->stream_journal, &record, wall);
		}
	}
}

/* Applies the records of a message. Returns 0, or -1 if it is malformed. */
int peers_receive_streams(gateway_peers_t *peers, const msgpack_object *fields)
{
	if (fields[2].type != MSGPACK_OBJECT_ARRAY)
		return -1;
	peers_merge_stream_records(peers, &fields[2]);
	return 0;
}

/* Frees what a stream_query_t owns. */
static void query_clear(void *data)
{
	stream_query_t *query = data;

	g_free(query->address);
	g_free(query->service);
}

/* Returns an empty array of stream_query_t, which owns them. */
GArray *peers_stream_queries_create(void)
{
	GArray *queries = g_array_new(FALSE, FALSE, sizeof(stream_query_t));

	g_array_set_clear_func(queries, query_clear);
	return queries;
}

/* Sends the version of a stream to the gateway that asked for it. */
static void reply_to_query(gateway_peers_t *peers, const char *address,
			   const stream_record_t *record)
{
	const peer_t *peer = peers_find(peers, address);
	msgpack_sbuffer buffer;

	if (!peer)
		return;
	msgpack_sbuffer_init(&buffer);
	peers_pack_streams(&buffer, peers, record, 1);
	peers_send(peers, peer, &buffer);
	msgpack_sbuffer_destroy(&buffer);
}

/*
 * Has a query answered once the store is read, if its service may have one version only.
 * Few gateways do so, as each read is charged for. Takes over what the query owns.
 */
static void defer_query(gateway_peers_t *peers, stream_query_t *query)
{
	/* The read comes first, as old queries are dropped when it ends. */
	if (!query->service || !gateway_peers_is_store_watcher(peers) ||
	    !sole_versions_request(peers->gateway->sole_versions, query->service) ||
	    peers->stream_queries->len >= STREAM_QUERIES_MAX) {
		query_clear(query);
		return;
	}
	g_array_append_val(peers->stream_queries, *query);
}

/* Answers the queries that came before the registrations were read, and drops old ones. */
void gateway_peers_answer_stream_queries(gateway_peers_t *peers)
{
	pd_time_t now = gateway_now();

	for (guint i = peers->stream_queries->len; i-- > 0;) {
		const stream_query_t *query =
			&g_array_index(peers->stream_queries, stream_query_t, i);
		const stream_record_t record = {
			query->attempt,
			gateway_sole_version(peers->gateway, query->service,
					     query->at),
		};

		if (!record.version_id && now - query->at <= REGISTRATION_READ_MAX)
			continue;
		if (record.version_id)
			reply_to_query(peers, query->address, &record);
		g_array_remove_index_fast(peers->stream_queries, i);
	}
}

/*
 * Replies to a query if this gateway has a record of the stream, or later if its service
 * has one version only. Returns 0, or -1 if the message is malformed.
 */
int peers_receive_stream_query(gateway_peers_t *peers, const msgpack_object *fields)
{
	stream_query_t query = {
		.address = msgpack_field_string(&fields[1]),
		.attempt = msgpack_field_uint64(&fields[2]),
		.service = msgpack_field_string(&fields[3]),
		.at = gateway_now(),
	};
	const stream_record_t record = {
		query.attempt,
		stream_versions_find(peers->gateway->streams, query.attempt),
	};
	int rc = query.address && query.attempt ? 0 : -1;

	if (rc == 0 && !record.version_id) {
		defer_query(peers, &query);
		return 0;
	}
	if (rc == 0)
		reply_to_query(peers, query.address, &record);
	query_clear(&query);
	return rc;
}
