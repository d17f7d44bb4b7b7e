/* Tests of the exchange of the speeds of upstreams between gateways. */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "adapters/gateway/peer_state.h"
#include "adapters/log_glib.h"

#define FEW 32
#define MANY 790
#define SUMMARIES_MAX 400
#define PAUSE 20000.0 /* us */

/* A gateway with only a table of upstreams and the state of the exchange. */
typedef struct fixture {
	gateway_t gateway;
	gateway_peers_t peers;
} fixture_t;

static forward_upstream_t *upstream_at(const fixture_t *fixture, unsigned int i)
{
	char id[16];

	snprintf(id, sizeof(id), "u%u", i);
	return forward_upstreams_find(fixture->gateway.upstreams, id);
}

static fixture_t *fixture_create(unsigned int upstreams)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	char id[16];

	fixture->gateway.upstreams = forward_upstreams_create();
	fixture->gateway.random = g_rand_new_with_seed(3);
	fixture->peers.gateway = &fixture->gateway;
	fixture->peers.speed_samples =
		g_array_new(FALSE, FALSE, sizeof(speed_sample_t));
	for (unsigned int i = 0; i < upstreams; i++) {
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
		forward_upstreams_apply(fixture->gateway.upstreams, &registration);
	}
	return fixture;
}

static void fixture_destroy(fixture_t *fixture)
{
	forward_upstreams_destroy(fixture->gateway.upstreams);
	g_rand_free(fixture->gateway.random);
	g_array_unref(fixture->peers.speed_samples);
	g_free(fixture);
}

/* Records samples of all upstreams, of which every third one is three times slower. */
static void record_samples(fixture_t *fixture, unsigned int upstreams,
			   unsigned int count)
{
	for (unsigned int i = 0; i < upstreams * count; i++)
		upstream_speed_record_own(&upstream_at(fixture, i % upstreams)->speed,
					  i % upstreams % 3 ? PAUSE : 3 * PAUSE);
}

typedef void (*receive_t)(gateway_peers_t *peers, const msgpack_object *object);

/* Unpacks a message and hands it to a receiver. Frees it, and returns its size. */
static size_t deliver(msgpack_sbuffer *buffer, fixture_t *to, receive_t receive)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	size_t size = buffer->size;

	msgpack_unpacked_init(&unpacked);
	assert_int_equal(msgpack_unpack_next(&unpacked, buffer->data, size, &offset),
			 MSGPACK_UNPACK_SUCCESS);
	receive(&to->peers, &unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	msgpack_sbuffer_destroy(buffer);
	return size;
}

/* Sends the levels of a summary. Returns their size in bytes. */
static size_t send_levels(fixture_t *from, fixture_t *to)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	peers_pack_speed_levels(&packer, &from->peers);
	return deliver(&buffer, to, peers_receive_speed_levels);
}

static void send_samples(fixture_t *from, fixture_t *to)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	peers_take_speed_samples(&from->peers);
	peers_pack_speed_samples(&packer, &from->peers);
	deliver(&buffer, to, peers_receive_speed_samples);
}

/* Returns the number of upstreams whose levels differ between two gateways. */
static unsigned int count_different(const fixture_t *a, const fixture_t *b,
				    unsigned int upstreams)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < upstreams; i++)
		count += upstream_at(a, i)->speed.level !=
			 upstream_at(b, i)->speed.level;
	return count;
}

/* Guards against summaries that grow with the fleet, or never list some upstreams. */
static void test_a_summary_is_bounded_and_all_levels_are_learned(void **state)
{
	fixture_t *small = fixture_create(FEW);
	fixture_t *aggregator = fixture_create(MANY);
	fixture_t *node = fixture_create(MANY);
	unsigned int summaries = 0;
	size_t size;

	(void)state;
	record_samples(small, FEW, 10);
	record_samples(aggregator, MANY, 10);
	forward_upstreams_update_speeds(aggregator->gateway.upstreams);
	assert_true(count_different(aggregator, node, MANY) > MANY / 4);
	size = send_levels(small, node);
	while (count_different(aggregator, node, MANY)) {
		assert_true(summaries++ < SUMMARIES_MAX);
		/* The array's head is of one or three bytes. */
		assert_true(send_levels(aggregator, node) <= size + 2);
	}
	print_message("%u summaries of %zu bytes\n", summaries, size);
	fixture_destroy(small);
	fixture_destroy(aggregator);
	fixture_destroy(node);
}

/* Guards against samples that are lost, or counted in more than one state. */
static void test_samples_are_sent_once(void **state)
{
	fixture_t *node = fixture_create(3);
	fixture_t *aggregator = fixture_create(3);
	const upstream_speed_t *speed = &upstream_at(aggregator, 0)->speed;

	(void)state;
	record_samples(node, 2, 5);
	send_samples(node, aggregator);
	assert_true(speed->samples == 5);
	assert_true(fabs(speed->log_time - log(3 * PAUSE)) < 0.001);
	assert_int_equal(speed->unsent, 0);
	send_samples(node, aggregator);
	assert_true(speed->samples == 5);
	assert_false(upstream_speed_is_known(&upstream_at(aggregator, 2)->speed));
	fixture_destroy(node);
	fixture_destroy(aggregator);
}

/* Guards against upstreams whose samples never fit into a state, as others come first. */
static void test_samples_of_all_upstreams_are_sent_in_turn(void **state)
{
	fixture_t *node = fixture_create(MANY);
	fixture_t *aggregator = fixture_create(MANY);

	(void)state;
	for (unsigned int i = 0; i < 2 * MANY / 64; i++) {
		record_samples(node, MANY, 1);
		send_samples(node, aggregator);
	}
	for (unsigned int i = 0; i < MANY; i++)
		assert_true(upstream_at(aggregator, i)->speed.samples > 0);
	fixture_destroy(node);
	fixture_destroy(aggregator);
}

/*
 * Guards against a gateway that changes levels by its own few samples, and one that
 * loses what was known when it takes over from an aggregator that died.
 */
static void test_levels_are_updated_only_without_an_aggregator(void **state)
{
	fixture_t *aggregator = fixture_create(6);
	fixture_t *node = fixture_create(6);
	char address[] = "127.0.0.1:9";

	(void)state;
	record_samples(aggregator, 6, 40);
	peers_run_speeds(&aggregator->peers, PD_SEC);
	assert_true(upstream_at(aggregator, 0)->speed.level <= -2);
	send_levels(aggregator, node);
	node->peers.aggregator = address;
	record_samples(node, 6, 4);
	peers_run_speeds(&node->peers, PD_SEC);
	assert_int_equal(count_different(aggregator, node, 6), 0);
	node->peers.aggregator = NULL;
	for (unsigned int i = 0; i < 40; i++) {
		peers_run_speeds(&node->peers, (2 + i) * PD_SEC);
		for (unsigned int j = 0; j < 6; j++)
			assert_true(abs(upstream_at(node, j)->speed.level -
					upstream_at(aggregator, j)->speed.level) <=
				    1);
		record_samples(node, 6, 1);
	}
	fixture_destroy(aggregator);
	fixture_destroy(node);
}

/* Guards against fields of another type or range that are taken for speeds. */
static void test_malformed_speeds_are_ignored(void **state)
{
	fixture_t *node = fixture_create(1);
	const upstream_speed_t *speed = &upstream_at(node, 0)->speed;
	uint32_t short_id = forward_upstream_short_id(upstream_at(node, 0));

	(void)state;
	for (unsigned int i = 0; i < 6; i++) {
		msgpack_sbuffer buffer;
		msgpack_packer packer;

		msgpack_sbuffer_init(&buffer);
		msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
		msgpack_pack_array(&packer, i < 3 ? 2 : 3);
		msgpack_pack_uint32(&packer, short_id);
		if (i == 0)
			msgpack_pack_nil(&packer);
		else if (i == 1)
			msgpack_pack_int(&packer, -3);
		else if (i == 2)
			msgpack_pack_uint8(&packer,
					   2 * UPSTREAM_SPEED_LEVEL_MAX + 1);
		else
			msgpack_pack_uint32(&packer, i == 3 ? 1000000 : 5);
		if (i == 3)
			msgpack_pack_uint32(&packer, 9900);
		else if (i == 4)
			msgpack_pack_nil(&packer);
		else if (i == 5)
			msgpack_pack_double(&packer, 1e300);
		deliver(&buffer, node,
			i < 3 ? peers_receive_speed_levels
			      : peers_receive_speed_samples);
		assert_int_equal(speed->level, 0);
		assert_true(speed->samples == 0);
	}
	fixture_destroy(node);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_summary_is_bounded_and_all_levels_are_learned),
		cmocka_unit_test(test_samples_are_sent_once),
		cmocka_unit_test(test_samples_of_all_upstreams_are_sent_in_turn),
		cmocka_unit_test(test_levels_are_updated_only_without_an_aggregator),
		cmocka_unit_test(test_malformed_speeds_are_ignored),
	};

	log_init("error");
	return cmocka_run_group_tests(tests, NULL, NULL);
}
