/*
 * Sends invalid input, as a faulty or malicious program could, to the port for
 * peers. The entry must close the connection and continue to serve callers.
 */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "adapters/peer_seal.h"
#include "tests/harness/fleet.h"

/* Starts two entries and one engine. */
static int setup(void **state)
{
	const fleet_config_t config = { .entries = 2, .engines = 1 };

	*state = fleet_create(&config);
	return 0;
}

/* Stops the fleet. */
static int teardown(void **state)
{
	fleet_destroy(*state);
	return 0;
}

/* Returns the port for peers of the first entry. */
static int peer_port(fleet_t *fleet)
{
	return process_read_port(fleet->entries[0].process,
				 fleet->entries[0].process->log_path,
				 "peers on port ");
}

/* Returns a frame sealed with the fleet's key, owned by the caller. */
static GByteArray *sealed_frame(fleet_t *fleet, const void *data, size_t len)
{
	char *path = g_build_filename(fleet->dir, "peers.key", NULL);
	pd_error_t err;
	peer_keys_t *keys = peer_keys_read(path, &err);
	GBytes *message = g_bytes_new(data, len);
	GBytes *sealed = peer_seal(keys, message);
	GByteArray *frame = g_byte_array_new();
	gsize size;
	const guint8 *bytes = g_bytes_get_data(sealed, &size);
	uint32_t length = GUINT32_TO_BE((uint32_t)size);

	g_byte_array_append(frame, (const guint8 *)&length, sizeof(length));
	g_byte_array_append(frame, bytes, (guint)size);
	g_bytes_unref(sealed);
	g_bytes_unref(message);
	peer_keys_destroy(keys);
	g_free(path);
	return frame;
}

/*
 * Sends bytes to the first entry and waits until it closes the connection; with
 * CLOSE_NOW closes it without waiting.
 */
static void send_bytes(fleet_t *fleet, const void *data, size_t len, bool close_now)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons((uint16_t)peer_port(fleet)) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char byte;

	inet_pton(AF_INET, "127.0.0.1", &addr.sin_addr);
	assert_int_equal(connect(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	assert_int_equal(send(fd, data, len, 0), len);
	while (!close_now && recv(fd, &byte, 1, 0) > 0)
		;
	close(fd);
}

/* Asserts that the first entry completes a request. */
static void assert_serves(fleet_t *fleet)
{
	call_t *call = completion_start(fleet, fleet->entries[0].port, "go on",
					4, true);

	call_wait(call);
	assert_true(completion_is_complete(call));
	call_destroy(call);
}

static void test_oversized_frame_is_dropped(void **state)
{
	send_bytes(*state, "\xff\xff\xff\xff", 4, false);
	assert_serves(*state);
}

/* Sends a message in a sealed frame and waits for the entry to close. */
static void send_sealed(fleet_t *fleet, const void *data, size_t len)
{
	GByteArray *frame = sealed_frame(fleet, data, len);

	send_bytes(fleet, frame->data, frame->len, false);
	g_byte_array_unref(frame);
}

static void test_invalid_message_is_dropped(void **state)
{
	send_sealed(*state, "junk", 4);
	assert_serves(*state);
}

static void test_unknown_version_is_dropped(void **state)
{
	/* An array of twelve items: version 9, then nil. */
	send_sealed(*state,
		    "\x9c\x09\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0", 13);
	assert_serves(*state);
}

/*
 * Guards against a host without the key that reaches the peers' port and sends
 * forged messages: it could announce that every VM is leaving.
 */
static void test_frame_without_valid_seal_is_dropped(void **state)
{
	char frame[4 + PEER_SEAL_BYTES + 1] = { 0, 0, 0, PEER_SEAL_BYTES + 1 };
	fleet_t *fleet = *state;
	char *log;

	send_bytes(fleet, frame, sizeof(frame), false);
	log = process_log(fleet->entries[0].process);
	assert_non_null(strstr(log, "the seal is not by our key"));
	g_free(log);
	assert_serves(fleet);
}

static void test_truncated_frame_is_dropped(void **state)
{
	send_bytes(*state, "\0\0\0\x40\x9c", 5, true);
	assert_serves(*state);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_oversized_frame_is_dropped),
		cmocka_unit_test(test_invalid_message_is_dropped),
		cmocka_unit_test(test_unknown_version_is_dropped),
		cmocka_unit_test(test_frame_without_valid_seal_is_dropped),
		cmocka_unit_test(test_truncated_frame_is_dropped),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
