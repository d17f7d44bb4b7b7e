/*
 * Requests with random byte changes: an entry replies or disconnects, and
 * continues to serve other callers.
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

#include "tests/harness/fleet.h"

#define SEED 20261202
#define REQUESTS 400
#define MUTATIONS_MAX 6

static const char sample[] =
	"POST /v1/chat/completions HTTP/1.1\r\n"
	"host: entry\r\nauthorization: Bearer " FLEET_OFFICE_KEY "\r\n"
	"last-event-id: entry-1-1-1/4\r\ncontent-length: 102\r\n\r\n"
	"{\"model\":\"ledger-reader\",\"max_tokens\":2,\"stream\":true,"
	"\"messages\":[{\"role\":\"user\",\"content\":\"page 1\"}]}";

/* Starts a fleet of one entry and one engine. */
static int setup(void **state)
{
	const fleet_config_t config = { .entries = 1, .engines = 1 };

	*state = fleet_create(&config);
	return 0;
}

/* Stops the fleet. */
static int teardown(void **state)
{
	fleet_destroy(*state);
	return 0;
}

/* Changes some random bytes and may truncate them; returns the new length. */
static size_t mutate_bytes(GRand *rand, char *bytes, size_t len)
{
	int mutations = g_rand_int_range(rand, 0, MUTATIONS_MAX);

	for (int i = 0; i < mutations; i++)
		bytes[g_rand_int_range(rand, 0, (gint32)len)] =
			(char)g_rand_int_range(rand, 0, 256);
	if (g_rand_int_range(rand, 0, 3) == 0)
		len = (size_t)g_rand_int_range(rand, 0, (gint32)len);
	return len;
}

/* Sends the bytes and disconnects without reading. */
static void send_and_close(int port, const char *bytes, size_t len)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &addr.sin_addr);
	assert_int_equal(connect(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	assert_true(send(fd, bytes, len, MSG_NOSIGNAL) >= 0 || len == 0);
	close(fd);
}

/*
 * After all mutated requests, the entry must still run and complete a valid one.
 */
static void test_mutated_requests(void **state)
{
	fleet_t *fleet = *state;
	GRand *rand = g_rand_new_with_seed(SEED);
	call_t *call;

	for (int i = 0; i < REQUESTS; i++) {
		char bytes[sizeof(sample)];
		size_t len;

		memcpy(bytes, sample, sizeof(sample));
		len = mutate_bytes(rand, bytes, sizeof(sample) - 1);
		send_and_close(fleet->entries[0].port, bytes, len);
	}
	g_rand_free(rand);
	call = completion_start(fleet, fleet->entries[0].port, "still there", 4,
				true);
	call_wait(call);
	assert_true(completion_is_complete(call));
	assert_false(process_ended(fleet->entries[0].process));
	call_destroy(call);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_mutated_requests),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
