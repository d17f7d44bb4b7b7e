/*
 * Feeds the decoders input that a faulty or malicious sender could send. They
 * must neither crash nor accept invalid input, and each error has a kind.
 */
#include <rapidcheck.h>

#include <glib/gstdio.h>

#include <cstring>
#include <string>
#include <vector>

#include "tests/property/mutated.h"

extern "C" {
#include "adapters/bundle_json.h"
#include "adapters/json.h"
#include "adapters/peer_codec.h"
#include "adapters/peer_seal.h"
#include "adapters/platform_json.h"
#include "adapters/price_watch.h"
#include "adapters/settings.h"
#include "adapters/signing.h"
#include "adapters/sse.h"
}

/* Returns a message with all parts set, owned by the caller. */
static peer_msg_t *sample_msg()
{
	peer_msg_t *msg = peer_msg_create(PEER_HANDOVER);

	msg->sequence = *rc::gen::arbitrary<uint64_t>();
	msg->generation = *rc::gen::arbitrary<uint64_t>();
	msg->from.id = g_strdup("entry-1");
	msg->from.zone = g_strdup("zone-a");
	msg->from.address = g_strdup("127.0.0.1");
	msg->from.peer_port = *rc::gen::arbitrary<uint16_t>();
	msg->from.incarnation = *rc::gen::arbitrary<uint64_t>();
	msg->update_count = 1;
	member_info_copy(&msg->updates[0], &msg->from);
	msg->leaving_count = 1;
	msg->leaving[0].vm_id = g_strdup("vm-1");
	msg->leaving[0].leaves_in = 5;
	msg->demand_count = 1;
	msg->demand[0].account = g_strdup("line");
	msg->demand[0].per_second = 7;
	msg->subject = g_strdup("entry-2");
	msg->claim.key = g_strdup("k");
	msg->claim.nonce = g_strdup("n");
	msg->claim.digest = g_strdup("d");
	msg->handover.request_id = g_strdup("r");
	msg->handover.account = g_strdup("line");
	msg->handover.target = g_strdup("m");
	msg->handover.path = g_strdup("/");
	msg->handover.emitted = g_strdup("so far");
	msg->handover.offset = *rc::gen::arbitrary<uint64_t>();
	msg->handover.body = g_bytes_new("body", 4);
	msg->body = g_bytes_new("envelope", 8);
	return msg;
}

/* Returns the encoded message. */
static std::string encoded(const peer_msg_t *msg)
{
	GBytes *bytes = peer_msg_encode(msg);
	gsize len;
	const char *data =
		static_cast<const char *>(g_bytes_get_data(bytes, &len));
	std::string copy(data, len);

	g_bytes_unref(bytes);
	return copy;
}

static bool check_peer_round_trip()
{
	return rc::check("a peer message survives its encoding", [] {
		peer_msg_t *msg = sample_msg();
		std::string bytes = encoded(msg);
		pd_error_t err;
		peer_msg_t *copy =
			peer_msg_decode(bytes.data(), bytes.size(), &err);

		RC_ASSERT(copy);
		RC_ASSERT(copy->sequence == msg->sequence);
		RC_ASSERT(copy->handover.offset == msg->handover.offset);
		RC_ASSERT(encoded(copy) == bytes);
		peer_msg_destroy(msg);
		peer_msg_destroy(copy);
	});
}

static bool check_peer_decoder()
{
	return rc::check("a damaged peer message gives a typed error", [] {
		peer_msg_t *msg = sample_msg();
		std::string bytes = mutated(encoded(msg));
		pd_error_t err;
		peer_msg_t *copy;

		pd_error_clear(&err);
		copy = peer_msg_decode(bytes.data(), bytes.size(), &err);
		RC_ASSERT(copy || err.kind == PD_ERROR_INPUT ||
			  err.kind == PD_ERROR_VERSION);
		peer_msg_destroy(msg);
		peer_msg_destroy(copy);
	});
}

/*
 * Guards against an array header of five bytes that declares up to 2^32 - 1
 * items: msgpack-c would allocate space for all of them and exhaust memory.
 */
static bool check_claimed_sizes()
{
	return rc::check("a claimed size beyond the bytes is refused", [] {
		auto count = *rc::gen::inRange<uint32_t>(2, UINT32_MAX);
		std::string bytes("\xdd", 1);
		pd_error_t err;

		for (int shift = 24; shift >= 0; shift -= 8)
			bytes += static_cast<char>(count >> shift);
		bytes += '\x01';
		RC_ASSERT(!peer_msg_decode(bytes.data(), bytes.size(), &err));
		RC_ASSERT(err.kind == PD_ERROR_INPUT);
	});
}

/*
 * Guards against typing errors in an operator's file: an error names the file,
 * and no partially read settings are returned.
 */
static bool check_toml()
{
	static const std::string text =
		"[node]\nid = \"entry-1\"\nzone = \"zone-a\"\n"
		"[platform]\naddress = \"127.0.0.1\"\nport = 1234\n"
		"[placer]\nzones = [\"a\", \"b\"]\n"
		"[peers]\nkey_file = \"/dev/null\"\n"
		"[bundle]\npublic_key_file = \"/dev/null\"\n";

	return rc::check("damaged settings and bundles give typed errors", [] {
		static char *path;
		std::string damaged = mutated(text);
		pd_error_t err;
		settings_t *settings;

		if (!path) {
			int fd = g_file_open_tmp("decoders-XXXXXX", &path, NULL);

			g_close(fd, NULL);
		}
		RC_ASSERT(g_file_set_contents(path, damaged.data(),
					      (gssize)damaged.size(), NULL));
		settings = settings_read(path, &err);
		RC_ASSERT(settings || err.kind == PD_ERROR_SETTINGS);
		if (!settings)
			RC_ASSERT(strstr(err.context, path));
		settings_destroy(settings);
		g_free(bundle_canonical(path, &err));
	});
}

/* Guards against accepting a sealed message in which any bit was changed. */
static bool check_seal()
{
	return rc::check("a sealed message with a bit changed opens never", [] {
		static peer_keys_t *keys;
		auto text = *rc::gen::nonEmpty<std::string>();
		pd_error_t err;

		if (!keys) {
			char *path = NULL;
			int fd = g_file_open_tmp("peers-key-XXXXXX", &path, NULL);
			char *hex = signing_random_key();

			RC_ASSERT(g_file_set_contents(path, hex, -1, NULL));
			keys = peer_keys_read(path, &err);
			g_close(fd, NULL);
			g_unlink(path);
			g_free(path);
			g_free(hex);
		}
		GBytes *message = g_bytes_new(text.data(), text.size());
		GBytes *sealed = peer_seal(keys, message);
		gsize size;
		const char *data = static_cast<const char *>(
			g_bytes_get_data(sealed, &size));
		std::string bytes(data, size);

		RC_ASSERT(peer_unseal(keys, bytes.data(), size, &err) == 0);
		auto bit = *rc::gen::inRange<size_t>(0, size * 8);
		bytes[bit / 8] =
			static_cast<char>(bytes[bit / 8] ^ (1 << (bit % 8)));
		RC_ASSERT(peer_unseal(keys, bytes.data(), size, &err) < 0);
		RC_ASSERT(err.kind == PD_ERROR_SIGNATURE);
		g_bytes_unref(sealed);
		g_bytes_unref(message);
	});
}

/* Guards against crashes on corrupted objects of the platform. */
static bool check_platform_decoders()
{
	static const std::string claims =
		"{\"claims\":[{\"key\":\"k\",\"nonce\":\"n\",\"digest\":\"d\","
		"\"state\":\"held\",\"made_at\":1}]}";
	static const std::string lease =
		"{\"holder\":\"p\",\"fence\":3,\"intents\":[{\"tag\":\"t\","
		"\"target\":\"m\",\"zone\":\"z\"}]}";
	static const std::string vms =
		"{\"vms\":[{\"id\":\"v\",\"zone\":\"z\",\"address\":\"a\","
		"\"role\":\"model\",\"state\":\"live\",\"serves\":\"m\","
		"\"port\":80}]}";
	static const std::string prices =
		"{\"offers\":[{\"zone\":\"z\",\"machine_class\":\"c\","
		"\"price\":1000000,\"slots\":8,\"reclaimable\":true}]}";

	return rc::check("damaged platform objects give typed errors", [] {
		std::string text = mutated(*rc::gen::elementOf(
			std::vector<std::string>{ claims, lease, vms, prices }));
		member_info_t info;
		pd_error_t err;

		memset(&info, 0, sizeof(info));
		claim_table_destroy(
			claim_table_decode(text.data(), text.size(), &err));
		lease_record_destroy(
			lease_record_decode(text.data(), text.size(), &err));
		vm_list_free(vm_list_decode(text.data(), text.size(), &err));
		if (GArray *offers = offers_decode(text.data(), text.size(), &err))
			g_array_unref(offers);
		if (member_info_decode(text.data(), text.size(), &info, &err) == 0)
			member_info_clear(&info);
	});
}

/* Guards against accepting a corrupted bundle envelope. */
static bool check_envelope()
{
	return rc::check("no damaged envelope opens", [] {
		static char *public_key;
		static char *secret_key;
		std::string payload =
			"{\"bundle\":{\"generation\":1,\"name\":\"x\"}}";
		pd_error_t err;
		bundle_t *bundle;
		char *sealed;

		if (!public_key)
			signing_keygen(&public_key, &secret_key);
		sealed = envelope_sign(payload.c_str(), secret_key, &err);
		std::string bytes(sealed);
		std::string damaged = mutated(bytes);
		bundle = envelope_open(damaged.data(), damaged.size(),
				       public_key, &err);
		/*
		 * Changed white space between members leaves the payload
		 * intact.
		 */
		if (bundle)
			RC_ASSERT(bundle->generation == 1u);
		bundle_destroy(bundle);
		g_free(sealed);
	});
}

/* Counts an event in the int that CTX points to. */
static void count_event(void *ctx, const sse_event_t *event)
{
	(void)event;
	++*static_cast<int *>(ctx);
}

/* Checks that events are parsed alike however the stream is divided. */
static bool check_sse()
{
	return rc::check("events do not depend on how bytes are cut", [] {
		std::string text = "id: 1\ndata: {\"token\":\"a\"}\n\n"
				   "event: end\ndata: {}\n\n";
		auto cut = *rc::gen::inRange<size_t>(0, text.size() + 1);
		int events = 0;
		pd_error_t err;
		sse_parser_t *parser = sse_parser_create(count_event, &events);

		RC_ASSERT(sse_parser_feed(parser, text.data(), cut, &err) == 0);
		RC_ASSERT(sse_parser_feed(parser, text.data() + cut,
					  text.size() - cut, &err) == 0);
		RC_ASSERT(events == 2);
		sse_parser_destroy(parser);
	});
}

int main()
{
	pd_error_t err;
	bool good = signing_init(&err) == 0;

	good = check_peer_round_trip() && good;
	good = check_peer_decoder() && good;
	good = check_claimed_sizes() && good;
	good = check_toml() && good;
	good = check_seal() && good;
	good = check_platform_decoders() && good;
	good = check_envelope() && good;
	good = check_sse() && good;
	return good ? 0 : 1;
}
