/* Tests how a gateway asks for slots, and dispatches those of other gateways. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "adapters/gateway/grants.h"
#include "adapters/gateway/peer_state.h"
#include "adapters/gateway/slots.h"
#include "adapters/log_glib.h"
#include "core/hash.h"

#define OWN "127.0.0.1:1"
#define OTHER "127.0.0.1:2"
#define ROOM 7 /* requests that an upstream of 6 slots is granted */

/* A gateway with only what slots need. */
typedef struct fixture {
	gateway_t gateway;
	gateway_peers_t peers;
	peer_t other;
	uint32_t service;
	unsigned int granted;
	unsigned int refused;
} fixture_t;

static fixture_t *hook_target;

static void on_granted(gateway_request_t *request, uint32_t short_id)
{
	(void)request;
	(void)short_id;
	hook_target->granted++;
}

static void on_refused(gateway_request_t *request, pd_time_t retry_after)
{
	(void)request;
	(void)retry_after;
	hook_target->refused++;
}

static void on_unanswered(gateway_request_t *request)
{
	(void)request;
}

static int setup(void **state)
{
	static const gateway_slot_hooks_t hooks = { on_granted, on_refused,
						    on_unanswered };
	static const gateway_grant_hooks_t grant_hooks = { 0 };
	static const forward_registration_t registration = {
		.id = "u",
		.service = "s",
		.address = "127.0.0.1",
		.port = 1,
		.zone = "a",
		.slots = 6,
		.stage = FORWARD_SERVING,
		.revision = 1
	};
	fixture_t *f = g_new0(fixture_t, 1);

	f->gateway.random = g_rand_new_with_seed(1);
	f->gateway.metrics = metrics_create();
	f->gateway.upstreams = forward_upstreams_create();
	f->gateway.config = forward_config_create();
	forward_config_add_service(f->gateway.config)->name = g_strdup("s");
	forward_upstreams_apply(f->gateway.upstreams, &registration);
	f->gateway.peers = &f->peers;
	f->gateway.slots = gateway_slots_create(&f->gateway, &hooks);
	f->gateway.grants = gateway_grants_create(&f->gateway, &grant_hooks);
	f->peers.gateway = &f->gateway;
	f->peers.address = g_strdup(OWN);
	f->peers.incarnation = g_strdup("g#1");
	f->peers.by_address = g_hash_table_new(g_str_hash, g_str_equal);
	f->peers.slot_outboxes = peers_slot_outboxes_create();
	list_init(&f->peers.list);
	f->other.address = (char *)OTHER;
	g_hash_table_insert(f->peers.by_address, f->other.address, &f->other);
	f->service = (uint32_t)hash_string("s");
	hook_target = f;
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *f = *state;

	gateway_slots_destroy(f->gateway.slots);
	gateway_grants_destroy(f->gateway.grants);
	metrics_destroy(f->gateway.metrics);
	g_hash_table_unref(f->peers.slot_outboxes);
	g_hash_table_unref(f->peers.by_address);
	g_free(f->peers.address);
	g_free(f->peers.incarnation);
	forward_config_unref(f->gateway.config);
	forward_upstreams_destroy(f->gateway.upstreams);
	g_rand_free(f->gateway.random);
	g_free(f);
	return 0;
}

/* Asks for a slot at this gateway itself; returns the number. */
static uint32_t ask_own(fixture_t *f, pd_time_t time_left)
{
	/* Never a null pointer: the hooks get it back. */
	gateway_request_t *request = (gateway_request_t *)f;
	slot_request_t ask = { .weight = 1,
			       .goal = time_left,
			       .time_left = time_left };
	uint32_t number = 0;

	f->peers.view = (peer_view_t){
		.at = gateway_now(), .alive = 20, .fleet_size = 20, .rank = 3
	};
	assert_true(gateway_slots_ask(f->gateway.slots, "s", &ask, request,
				      &number));
	return number;
}

/*
 * Guards against requests that are freed by the answer to another one: while a request
 * asks or ends, code further up still uses it, and others in its list.
 */
static void test_own_answers_come_after_the_call(void **state)
{
	fixture_t *f = *state;
	uint32_t numbers[ROOM];

	for (int i = 0; i < ROOM; i++)
		numbers[i] = ask_own(f, PD_SEC);
	assert_int_equal(f->granted, 0);
	gateway_slots_flush(f->gateway.slots);
	assert_int_equal(f->granted, ROOM);
	ask_own(f, PD_SEC);
	ask_own(f, 0);
	gateway_slots_flush(f->gateway.slots);
	gateway_slots_run(f->gateway.slots, gateway_now());
	gateway_slots_release(f->gateway.slots, numbers[0], false);
	assert_int_equal(f->granted, ROOM);
	assert_int_equal(f->refused, 0);
	gateway_slots_flush(f->gateway.slots);
	assert_int_equal(f->granted, ROOM + 1);
	assert_int_equal(f->refused, 1);
}

/* Guards against an answer to a request that has ended before the answer is applied. */
static void test_answers_to_ended_requests_are_dropped(void **state)
{
	fixture_t *f = *state;
	uint32_t number = ask_own(f, PD_SEC);

	gateway_slots_release(f->gateway.slots, number, false);
	gateway_slots_release(f->gateway.slots, number, false);
	gateway_slots_flush(f->gateway.slots);
	assert_int_equal(f->granted, 0);
	for (int i = 0; i < ROOM; i++)
		ask_own(f, PD_SEC);
	gateway_slots_flush(f->gateway.slots);
	assert_int_equal(f->granted, ROOM);
}

/* Has the gateway OTHER, or one with its address, send a request to this one. */
static void receive_request(fixture_t *f, const char *incarnation, uint32_t number)
{
	gateway_peers_t sender = { .address = (char *)OTHER,
				   .incarnation = (char *)incarnation,
				   .slot_outboxes = peers_slot_outboxes_create() };
	slot_request_t request = {
		.number = number, .weight = 1, .goal = PD_SEC, .time_left = PD_SEC
	};
	msgpack_sbuffer buffer;

	gateway_peers_send_slot_request(&sender, OWN, f->service, &request);
	assert_true(peers_pack_slots(&buffer, &sender, OWN, MESSAGE_SLOT_REQUEST));
	assert_int_equal(peers_receive(&f->peers, buffer.data, buffer.size), 0);
	msgpack_sbuffer_destroy(&buffer);
	g_hash_table_unref(sender.slot_outboxes);
}

/* Returns the kind of the only answer that waits to be sent to the gateway OTHER. */
static slot_answer_kind_t take_answer(fixture_t *f)
{
	msgpack_unpacked unpacked;
	msgpack_sbuffer buffer;
	size_t offset = 0;
	const msgpack_object *items;
	slot_answer_kind_t kind;

	assert_true(peers_pack_slots(&buffer, &f->peers, OTHER,
				     MESSAGE_SLOT_ANSWER));
	msgpack_unpacked_init(&unpacked);
	assert_int_equal(msgpack_unpack_next(&unpacked, buffer.data,
					     buffer.size, &offset),
			 MSGPACK_UNPACK_SUCCESS);
	items = &unpacked.data.via.array.ptr[SLOT_FIELDS - 1];
	assert_int_equal(items->via.array.size, 1);
	kind = (slot_answer_kind_t)msgpack_field_uint64(
		&items->via.array.ptr[0].via.array.ptr[1]);
	msgpack_unpacked_destroy(&unpacked);
	msgpack_sbuffer_destroy(&buffer);
	return kind;
}

/* Guards against slots that stay taken by the earlier process of a gateway. */
static void test_new_process_frees_the_slots_of_the_last(void **state)
{
	fixture_t *f = *state;

	for (uint32_t i = 1; i <= ROOM; i++) {
		receive_request(f, "h#1", i);
		assert_int_equal(take_answer(f), SLOT_GRANTED);
	}
	receive_request(f, "h#1", ROOM + 1);
	assert_int_equal(take_answer(f), SLOT_QUEUED);
	for (uint32_t i = 1; i <= ROOM; i++) {
		receive_request(f, "h#2", i);
		assert_int_equal(take_answer(f), SLOT_GRANTED);
	}
	receive_request(f, "h#2", ROOM + 1);
	assert_int_equal(take_answer(f), SLOT_QUEUED);
}

/* Guards against refusals where the dispatcher does not have a new service yet. */
static void test_unknown_service_is_not_refused(void **state)
{
	fixture_t *f = *state;
	msgpack_sbuffer buffer;

	f->service++;
	receive_request(f, "h#1", 1);
	assert_false(peers_pack_slots(&buffer, &f->peers, OTHER,
				      MESSAGE_SLOT_ANSWER));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_own_answers_come_after_the_call,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_answers_to_ended_requests_are_dropped,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_new_process_frees_the_slots_of_the_last,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_unknown_service_is_not_refused,
						setup, teardown),
	};

	log_init("error");
	return cmocka_run_group_tests(tests, NULL, NULL);
}
