/* Tests of the exchange of upstream loads between gateways. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "adapters/gateway/peer_state.h"

#define START (1000 * PD_SEC)
#define UPSTREAMS_FEW 20
#define UPSTREAMS_MANY 1000
#define MESSAGE_BYTES_MAX 2048

/* A gateway with only a table of upstreams and the state of the exchange. */
typedef struct fixture {
	gateway_t gateway;
	gateway_peers_t peers;
} fixture_t;

static void list_upstreams(forward_upstreams_t *set, unsigned int count)
{
	char id[16];

	for (unsigned int i = 0; i < count; i++) {
		const forward_registration_t registration = {
			.id = id,
			.service = "s",
			.address = "127.0.0.1",
			.port = 1,
			.zone = "a",
			.slots = 12,
			.stage = FORWARD_SERVING,
			.revision = i + 1
		};

		snprintf(id, sizeof(id), "u%u", i);
		forward_upstreams_apply(set, &registration);
	}
}

static fixture_t *fixture_create(unsigned int upstreams)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	gateway_peers_t *peers = &fixture->peers;

	fixture->gateway.upstreams = forward_upstreams_create();
	fixture->gateway.config = forward_config_create();
	forward_config_add_service(fixture->gateway.config)->name = g_strdup("s");
	list_upstreams(fixture->gateway.upstreams, upstreams);
	peers->gateway = &fixture->gateway;
	peers->aggregator_loads = g_array_new(FALSE, FALSE, sizeof(load_t));
	peers->last_sent_loads = g_array_new(FALSE, FALSE, sizeof(load_t));
	msgpack_sbuffer_init(&peers->loads_packed);
	return fixture;
}

static void fixture_destroy(fixture_t *fixture)
{
	forward_upstreams_destroy(fixture->gateway.upstreams);
	forward_config_unref(fixture->gateway.config);
	g_array_unref(fixture->peers.aggregator_loads);
	g_array_unref(fixture->peers.last_sent_loads);
	msgpack_sbuffer_destroy(&fixture->peers.loads_packed);
	g_free(fixture);
}

static forward_upstream_t *upstream_at(fixture_t *fixture, unsigned int i)
{
	char id[16];

	snprintf(id, sizeof(id), "u%u", i);
	return forward_upstreams_find(fixture->gateway.upstreams, id);
}

/*
 * Sends a summary's loads from one gateway to the other. Returns their size in
 * bytes.
 */
static size_t send_summed_loads(fixture_t *from, fixture_t *to)
{
	msgpack_sbuffer buffer;
	msgpack_unpacked unpacked;
	size_t offset = 0;
	size_t size;

	msgpack_sbuffer_init(&buffer);
	peers_pack_summed_loads(&buffer, &from->peers, START);
	msgpack_unpacked_init(&unpacked);
	assert_int_equal(msgpack_unpack_next(&unpacked, buffer.data,
					     buffer.size, &offset),
			 MSGPACK_UNPACK_SUCCESS);
	peers_receive_summed_loads(&to->peers, &unpacked.data);
	size = buffer.size;
	msgpack_unpacked_destroy(&unpacked);
	msgpack_sbuffer_destroy(&buffer);
	return size;
}

/* Packs a gateway's own loads, which stores them as last sent. */
static void send_own_loads(fixture_t *fixture)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	peers_pack_own_loads(&packer, &fixture->peers);
	msgpack_sbuffer_destroy(&buffer);
}

/*
 * Guards against a gateway that adds its own part of an aggregator's sums once
 * more and takes its upstreams for twice as loaded as they are.
 */
static void test_own_requests_are_not_counted_twice(void **state)
{
	fixture_t *aggregator = fixture_create(UPSTREAMS_FEW);
	fixture_t *node = fixture_create(UPSTREAMS_FEW);

	(void)state;
	upstream_at(aggregator, 3)->running = 2;
	upstream_at(aggregator, 3)->peers_running = 3;
	upstream_at(aggregator, 3)->peers_prefill_tokens = 6400;
	upstream_at(node, 3)->running = 1;
	upstream_at(node, 3)->prefill_tokens = 640;
	send_own_loads(node);
	send_summed_loads(aggregator, node);
	assert_int_equal(upstream_at(node, 3)->peers_running, 4);
	assert_int_equal((int)upstream_at(node, 3)->peers_prefill_tokens, 5760);
	assert_int_equal(upstream_at(node, 4)->peers_running, 0);
	send_summed_loads(aggregator, node);
	assert_int_equal(upstream_at(node, 3)->peers_running, 4);
	fixture_destroy(aggregator);
	fixture_destroy(node);
}

/*
 * Guards against messages that list every upstream of a large fleet: they fill
 * the links of small VMs and delay answers to callers. The most loaded
 * upstreams are listed; the others get the mean.
 */
static void test_message_size_is_bounded_in_large_fleet(void **state)
{
	fixture_t *aggregator = fixture_create(UPSTREAMS_MANY);
	fixture_t *node = fixture_create(UPSTREAMS_MANY);
	size_t size;

	(void)state;
	for (unsigned int i = 0; i < UPSTREAMS_MANY; i++) {
		upstream_at(aggregator, i)->peers_running =
			i < LOADS_LISTED_MAX ? 12 : 3;
		upstream_at(aggregator, i)->peers_prefill_tokens =
			i < LOADS_LISTED_MAX ? 20000 : 1000;
	}
	size = send_summed_loads(aggregator, node);
	assert_true(size < MESSAGE_BYTES_MAX);
	assert_int_equal(upstream_at(node, 5)->peers_running, 12);
	assert_int_equal(upstream_at(node, UPSTREAMS_MANY - 1)->peers_running, 3);
	assert_int_equal((int)upstream_at(node, UPSTREAMS_MANY - 1)->peers_prefill_tokens,
			 1000);
	fixture_destroy(aggregator);
	fixture_destroy(node);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_own_requests_are_not_counted_twice),
		cmocka_unit_test(test_message_size_is_bounded_in_large_fleet),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
