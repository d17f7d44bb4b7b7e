/*
 * Encodes and decodes peer messages. A message is one msgpack array, whose
 * first item is the protocol version.
 */
#include "adapters/peer_codec.h"

#include <msgpack.h>
#include <string.h>

#include "adapters/msgpack_check.h"

/* Items of the arrays that messages and their parts are encoded as. */
#define MSG_FIELDS 12
#define MEMBER_FIELDS 7
#define LEAVING_FIELDS 2
#define DEMAND_FIELDS 2
#define CLAIM_FIELDS 8
#define HANDOVER_FIELDS 16

/* Packs a string; NULL becomes an empty one. */
static void pack_string(msgpack_packer *packer, const char *text)
{
	size_t len = text ? strlen(text) : 0;

	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, text ? text : "", len);
}

/* Packs a member as an array of MEMBER_FIELDS. */
static void pack_member(msgpack_packer *packer, const member_info_t *info)
{
	msgpack_pack_array(packer, MEMBER_FIELDS);
	pack_string(packer, info->id);
	pack_string(packer, info->zone);
	pack_string(packer, info->address);
	msgpack_pack_uint16(packer, info->peer_port);
	msgpack_pack_uint16(packer, info->http_port);
	msgpack_pack_uint64(packer, info->incarnation);
	msgpack_pack_uint8(packer, (uint8_t)info->state);
}

/* Packs binary data; NULL becomes empty data. */
static void pack_bytes(msgpack_packer *packer, GBytes *bytes)
{
	gsize len = bytes ? g_bytes_get_size(bytes) : 0;

	msgpack_pack_bin(packer, len);
	if (len)
		msgpack_pack_bin_body(packer, g_bytes_get_data(bytes, NULL), len);
}

/* Packs a string, or nil for NULL, which differs from an empty string. */
static void pack_optional(msgpack_packer *packer, const char *text)
{
	if (text)
		pack_string(packer, text);
	else
		msgpack_pack_nil(packer);
}

/* Packs a claim, or nil if there is none. */
static void pack_claim(msgpack_packer *packer, const claim_msg_t *note)
{
	if (!note->key) {
		msgpack_pack_nil(packer);
		return;
	}
	msgpack_pack_array(packer, CLAIM_FIELDS);
	msgpack_pack_uint64(packer, note->ticket);
	msgpack_pack_uint8(packer, note->operation);
	msgpack_pack_uint8(packer, note->outcome);
	pack_string(packer, note->key);
	pack_string(packer, note->nonce);
	pack_string(packer, note->digest);
	msgpack_pack_uint32(packer, (uint32_t)note->status);
	pack_optional(packer, note->answer);
}

/* Packs a handover, or nil if there is none. */
static void pack_handover(msgpack_packer *packer, const handover_t *handover)
{
	if (!handover->request_id) {
		msgpack_pack_nil(packer);
		return;
	}
	msgpack_pack_array(packer, HANDOVER_FIELDS);
	pack_string(packer, handover->request_id);
	pack_string(packer, handover->account);
	pack_string(packer, handover->target);
	pack_string(packer, handover->path);
	pack_optional(packer, handover->idempotency_key);
	pack_optional(packer, handover->claim_key);
	pack_optional(packer, handover->nonce);
	pack_optional(packer, handover->vm_id);
	pack_string(packer, handover->emitted);
	msgpack_pack_uint64(packer, handover->offset);
	msgpack_pack_uint32(packer, handover->max_tokens);
	msgpack_pack_uint8(packer, handover->written);
	msgpack_pack_uint8(packer, handover->ended);
	msgpack_pack_uint32(packer, (uint32_t)handover->status);
	msgpack_pack_uint64(packer, (uint64_t)MAX(handover->deadline_in, 0));
	pack_bytes(packer, handover->body);
}

/* Packs the request rates of accounts as an array of pairs. */
static void pack_demand(msgpack_packer *packer, const peer_msg_t *msg)
{
	msgpack_pack_array(packer, msg->demand_count);
	for (unsigned int i = 0; i < msg->demand_count; i++) {
		msgpack_pack_array(packer, DEMAND_FIELDS);
		pack_string(packer, msg->demand[i].account);
		msgpack_pack_uint32(packer, msg->demand[i].per_second);
	}
}

/* Returns the encoded message, owned by the caller. */
GBytes *peer_msg_encode(const peer_msg_t *msg)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	GBytes *bytes;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, MSG_FIELDS);
	msgpack_pack_uint8(&packer, PEER_PROTOCOL_VERSION);
	msgpack_pack_uint8(&packer, (uint8_t)msg->kind);
	msgpack_pack_uint64(&packer, msg->sequence);
	msgpack_pack_uint64(&packer, msg->generation);
	pack_member(&packer, &msg->from);
	msgpack_pack_array(&packer, msg->update_count);
	for (unsigned int i = 0; i < msg->update_count; i++)
		pack_member(&packer, &msg->updates[i]);
	msgpack_pack_array(&packer, msg->leaving_count);
	for (unsigned int i = 0; i < msg->leaving_count; i++) {
		msgpack_pack_array(&packer, LEAVING_FIELDS);
		pack_string(&packer, msg->leaving[i].vm_id);
		msgpack_pack_int64(&packer, msg->leaving[i].leaves_in);
	}
	pack_demand(&packer, msg);
	pack_string(&packer, msg->subject);
	pack_claim(&packer, &msg->claim);
	pack_handover(&packer, &msg->handover);
	pack_bytes(&packer, msg->body);
	bytes = g_bytes_new(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
}

/*
 * The unpack_ functions return 0, or -1 with ERR set if OBJECT has another type
 * or is out of range. What they write to is freed with the message, also after
 * a failure.
 */

/* Unpacks an integer from 0 to MAX. */
static int unpack_uint(const msgpack_object *object, uint64_t max,
		       uint64_t *value, pd_error_t *err)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
		return pd_error_set(err, PD_ERROR_INPUT,
				    "peer message: expected an integer up to "
				    "%" G_GUINT64_FORMAT,
				    max);
	*value = object->via.u64;
	return 0;
}

/* Unpacks a string without NULs. */
static int unpack_string(const msgpack_object *object, char **text, pd_error_t *err)
{
	const msgpack_object_str *str = &object->via.str;

	if (object->type != MSGPACK_OBJECT_STR || memchr(str->ptr, '\0', str->size))
		return pd_error_set(err, PD_ERROR_INPUT,
				    "peer message: expected a string");
	*text = g_strndup(str->ptr, str->size);
	return 0;
}

/* Checks that OBJECT is an array of MIN_COUNT to MAX_COUNT items. */
static int unpack_array(const msgpack_object *object, uint32_t min_count,
			uint32_t max_count, pd_error_t *err)
{
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < min_count ||
	    object->via.array.size > max_count)
		return pd_error_set(err, PD_ERROR_INPUT,
				    "peer message: expected an array of %u to "
				    "%u items",
				    min_count, max_count);
	return 0;
}

/* Unpacks a member; INFO may own strings even after a failure. */
static int unpack_member(const msgpack_object *object, member_info_t *info,
			 pd_error_t *err)
{
	const msgpack_object *fields;
	uint64_t peer_port = 0;
	uint64_t http_port = 0;
	uint64_t state = 0;

	if (unpack_array(object, MEMBER_FIELDS, MEMBER_FIELDS, err) < 0)
		return -1;
	fields = object->via.array.ptr;
	if (unpack_string(&fields[0], &info->id, err) < 0 ||
	    unpack_string(&fields[1], &info->zone, err) < 0 ||
	    unpack_string(&fields[2], &info->address, err) < 0 ||
	    unpack_uint(&fields[3], UINT16_MAX, &peer_port, err) < 0 ||
	    unpack_uint(&fields[4], UINT16_MAX, &http_port, err) < 0 ||
	    unpack_uint(&fields[5], UINT64_MAX, &info->incarnation, err) < 0 ||
	    unpack_uint(&fields[6], MEMBER_LEFT, &state, err) < 0)
		return -1;
	info->peer_port = (uint16_t)peer_port;
	info->http_port = (uint16_t)http_port;
	info->state = (member_state_t)state;
	return 0;
}

/* Unpacks the updates about members that a heartbeat carries. */
static int unpack_news(const msgpack_object *object, peer_msg_t *msg,
		       pd_error_t *err)
{
	if (unpack_array(object, 0, PEER_MSG_ITEMS_MAX, err) < 0)
		return -1;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		/* Counted first, so that it is freed if unpacking it fails. */
		msg->update_count++;
		if (unpack_member(&object->via.array.ptr[i], &msg->updates[i],
				  err) < 0)
			return -1;
	}
	return 0;
}

/* Unpacks the notices of leaving VMs, as pairs of id and time left. */
static int unpack_leaving(const msgpack_object *object, peer_msg_t *msg,
			  pd_error_t *err)
{
	if (unpack_array(object, 0, PEER_MSG_ITEMS_MAX, err) < 0)
		return -1;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		const msgpack_object *item = &object->via.array.ptr[i];
		uint64_t leaves_in = 0;

		msg->leaving_count++;
		if (unpack_array(item, LEAVING_FIELDS, LEAVING_FIELDS, err) < 0 ||
		    unpack_string(&item->via.array.ptr[0],
				  &msg->leaving[i].vm_id, err) < 0 ||
		    unpack_uint(&item->via.array.ptr[1], INT64_MAX, &leaves_in,
				err) < 0)
			return -1;
		msg->leaving[i].leaves_in = (pd_time_t)leaves_in;
	}
	return 0;
}

/* Unpacks the request rates of accounts, as pairs of name and rate. */
static int unpack_demand(const msgpack_object *object, peer_msg_t *msg,
			 pd_error_t *err)
{
	if (unpack_array(object, 0, PEER_MSG_ITEMS_MAX, err) < 0)
		return -1;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		const msgpack_object *item = &object->via.array.ptr[i];
		uint64_t rate = 0;

		msg->demand_count++;
		if (unpack_array(item, DEMAND_FIELDS, DEMAND_FIELDS, err) < 0 ||
		    unpack_string(&item->via.array.ptr[0],
				  &msg->demand[i].account, err) < 0 ||
		    unpack_uint(&item->via.array.ptr[1], UINT32_MAX, &rate, err) < 0)
			return -1;
		msg->demand[i].per_second = (uint32_t)rate;
	}
	return 0;
}

/* Unpacks a string; nil leaves TEXT as it is. */
static int unpack_optional(const msgpack_object *object, char **text,
			   pd_error_t *err)
{
	if (object->type == MSGPACK_OBJECT_NIL)
		return 0;
	return unpack_string(object, text, err);
}

/* Unpacks binary data; empty data leaves BYTES as it is. */
static int unpack_bytes(const msgpack_object *object, GBytes **bytes,
			pd_error_t *err)
{
	if (object->type != MSGPACK_OBJECT_BIN)
		return pd_error_set(err, PD_ERROR_INPUT,
				    "peer message: expected a binary body");
	if (object->via.bin.size)
		*bytes = g_bytes_new(object->via.bin.ptr, object->via.bin.size);
	return 0;
}

/* Unpacks a claim; nil leaves NOTE as it is. */
static int unpack_claim(const msgpack_object *object, claim_msg_t *note,
			pd_error_t *err)
{
	const msgpack_object *fields;
	uint64_t operation = 0;
	uint64_t outcome = 0;
	uint64_t status = 0;

	if (object->type == MSGPACK_OBJECT_NIL)
		return 0;
	if (unpack_array(object, CLAIM_FIELDS, CLAIM_FIELDS, err) < 0)
		return -1;
	fields = object->via.array.ptr;
	if (unpack_uint(&fields[0], UINT64_MAX, &note->ticket, err) < 0 ||
	    unpack_uint(&fields[1], UINT8_MAX, &operation, err) < 0 ||
	    unpack_uint(&fields[2], UINT8_MAX, &outcome, err) < 0 ||
	    unpack_string(&fields[3], &note->key, err) < 0 ||
	    unpack_string(&fields[4], &note->nonce, err) < 0 ||
	    unpack_string(&fields[5], &note->digest, err) < 0 ||
	    unpack_uint(&fields[6], INT32_MAX, &status, err) < 0 ||
	    unpack_optional(&fields[7], &note->answer, err) < 0)
		return -1;
	note->operation = (uint8_t)operation;
	note->outcome = (uint8_t)outcome;
	note->status = (int32_t)status;
	return 0;
}

/* Unpacks the leading fields of a handover, which are strings. */
static int unpack_handover_strings(const msgpack_object *fields,
				   handover_t *handover, pd_error_t *err)
{
	if (unpack_string(&fields[0], &handover->request_id, err) < 0 ||
	    unpack_string(&fields[1], &handover->account, err) < 0 ||
	    unpack_string(&fields[2], &handover->target, err) < 0 ||
	    unpack_string(&fields[3], &handover->path, err) < 0 ||
	    unpack_optional(&fields[4], &handover->idempotency_key, err) < 0 ||
	    unpack_optional(&fields[5], &handover->claim_key, err) < 0 ||
	    unpack_optional(&fields[6], &handover->nonce, err) < 0 ||
	    unpack_optional(&fields[7], &handover->vm_id, err) < 0 ||
	    unpack_string(&fields[8], &handover->emitted, err) < 0)
		return -1;
	return 0;
}

/* Unpacks a handover; nil leaves HANDOVER as it is. */
static int unpack_handover(const msgpack_object *object, handover_t *handover,
			   pd_error_t *err)
{
	const msgpack_object *fields;
	uint64_t max_tokens = 0;
	uint64_t written = 0;
	uint64_t ended = 0;
	uint64_t status = 0;
	uint64_t deadline_in = 0;

	if (object->type == MSGPACK_OBJECT_NIL)
		return 0;
	if (unpack_array(object, HANDOVER_FIELDS, HANDOVER_FIELDS, err) < 0)
		return -1;
	fields = object->via.array.ptr;
	if (unpack_handover_strings(fields, handover, err) < 0 ||
	    unpack_uint(&fields[9], UINT64_MAX, &handover->offset, err) < 0 ||
	    unpack_uint(&fields[10], UINT32_MAX, &max_tokens, err) < 0 ||
	    unpack_uint(&fields[11], 1, &written, err) < 0 ||
	    unpack_uint(&fields[12], 1, &ended, err) < 0 ||
	    unpack_uint(&fields[13], INT32_MAX, &status, err) < 0 ||
	    unpack_uint(&fields[14], INT64_MAX, &deadline_in, err) < 0 ||
	    unpack_bytes(&fields[15], &handover->body, err) < 0)
		return -1;
	handover->max_tokens = (uint32_t)max_tokens;
	handover->written = written != 0;
	handover->ended = ended != 0;
	handover->status = (int32_t)status;
	handover->deadline_in = (pd_time_t)deadline_in;
	return 0;
}

/* Unpacks a whole message, of the current protocol version only. */
static int unpack_msg(const msgpack_object *root, peer_msg_t *msg, pd_error_t *err)
{
	const msgpack_object *fields;
	uint64_t version = 0;
	uint64_t kind = 0;

	if (unpack_array(root, MSG_FIELDS, MSG_FIELDS, err) < 0)
		return -1;
	fields = root->via.array.ptr;
	if (unpack_uint(&fields[0], UINT8_MAX, &version, err) < 0)
		return -1;
	if (version != PEER_PROTOCOL_VERSION)
		return pd_error_set(err, PD_ERROR_VERSION,
				    "peer message: version %" G_GUINT64_FORMAT,
				    version);
	if (unpack_uint(&fields[1], PEER_MSG_KIND_COUNT - 1, &kind, err) < 0 ||
	    unpack_uint(&fields[2], UINT64_MAX, &msg->sequence, err) < 0 ||
	    unpack_uint(&fields[3], UINT64_MAX, &msg->generation, err) < 0 ||
	    unpack_member(&fields[4], &msg->from, err) < 0 ||
	    unpack_news(&fields[5], msg, err) < 0 ||
	    unpack_leaving(&fields[6], msg, err) < 0 ||
	    unpack_demand(&fields[7], msg, err) < 0 ||
	    unpack_string(&fields[8], &msg->subject, err) < 0 ||
	    unpack_claim(&fields[9], &msg->claim, err) < 0 ||
	    unpack_handover(&fields[10], &msg->handover, err) < 0 ||
	    unpack_bytes(&fields[11], &msg->body, err) < 0)
		return -1;
	msg->kind = (peer_msg_kind_t)kind;
	return 0;
}

/*
 * Decodes a message. Returns it, owned by the caller, or NULL with ERR set if
 * it is malformed (PD_ERROR_INPUT) or of another version (PD_ERROR_VERSION).
 */
peer_msg_t *peer_msg_decode(const char *data, size_t len, pd_error_t *err)
{
	peer_msg_t *msg = peer_msg_create(PEER_PING);
	msgpack_unpacked unpacked;
	size_t offset = 0;

	msgpack_unpacked_init(&unpacked);
	if (!msgpack_lengths_fit(data, len) ||
	    msgpack_unpack_next(&unpacked, data, len, &offset) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    offset != len) {
		pd_error_set(err, PD_ERROR_INPUT,
			     "peer message: not one msgpack value");
		goto error;
	}
	if (unpack_msg(&unpacked.data, msg, err) < 0)
		goto error;
	msgpack_unpacked_destroy(&unpacked);
	return msg;
error:
	msgpack_unpacked_destroy(&unpacked);
	peer_msg_destroy(msg);
	return NULL;
}
