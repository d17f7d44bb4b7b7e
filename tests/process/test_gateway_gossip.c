/* Two gateways in one loop, over real connections: what they tell each other. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <unistd.h>

#include <cmocka.h>

#include "adapters/gateway/duties.h"
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/peer_state.h"
#include "adapters/log_buffer.h"
#include "adapters/log_glib.h"

#define TIMEOUT_MS 10000 /* of a wait for a condition */
#define FULL_STATE_MS \
	3200 /* twice its period; gateways are forgotten after 6 s */
#define PAIR 2

typedef struct pair {
	uv_loop_t loop;
	uv_timer_t pacer;
	gateway_settings_t settings[PAIR];
	gateway_t *gateways[PAIR];
} pair_t;

static void on_pace(uv_timer_t *timer)
{
	(void)timer;
}

static void fill_settings(gateway_settings_t *settings, unsigned int number)
{
	static char any[] = "127.0.0.1:0";

	settings->node_id = g_strdup_printf("g%u", number);
	settings->node_zone = g_strdup("a");
	settings->node_start = g_strdup("first");
	settings->zones[0] = g_strdup("a");
	settings->callers_listen = g_strdup(any);
	settings->health_listen = g_strdup(any);
	settings->peers_listen = g_strdup(any);
	settings->store_address = g_strdup(any);
	settings->cloud_address = g_strdup(any);
	settings->retry_window_s = 10;
	settings->limits_window_s = 8;
	settings->usage_window_s = 5;
	settings->stop_grace_s = 8;
}

static void turn(pair_t *pair)
{
	uv_run(&pair->loop, UV_RUN_ONCE);
}

/* Turns the loop until a condition holds; fails the test after MS. */
#define UNTIL_WITHIN(pair, condition, ms)                                \
	do {                                                             \
		uint64_t end = uv_hrtime() / 1000000 + (ms);             \
		while (!(condition) && uv_hrtime() / 1000000 < end)      \
			turn(pair);                                      \
		if (!(condition))                                        \
			fail_msg("gave up waiting for: %s", #condition); \
	} while (0)

/* The same, with the usual timeout. */
#define UNTIL(pair, condition) UNTIL_WITHIN(pair, condition, TIMEOUT_MS)

/* Starts both; the second has the first for its seed. */
static int setup(void **state)
{
	pair_t *pair = g_new0(pair_t, 1);
	pd_error_t err;

	uv_loop_init(&pair->loop);
	uv_timer_init(&pair->loop, &pair->pacer);
	uv_timer_start(&pair->pacer, on_pace, 1, 5);
	for (unsigned int i = 0; i < PAIR; i++) {
		fill_settings(&pair->settings[i], i);
		if (i > 0)
			pair->settings[i].peers_seeds[0] =
				g_strdup(pair->gateways[0]->peers->address);
		pair->gateways[i] =
			gateway_create(&pair->loop, &pair->settings[i], &err);
		assert_non_null(pair->gateways[i]);
		pair->gateways[i]->upstreams_known = true;
	}
	*state = pair;
	return 0;
}

static void tell(gateway_t *gateway, const char *id, forward_stage_t stage,
		 uint64_t revision)
{
	const forward_listing_t listing = { .id = id,
					    .service = "s",
					    .address = "10.0.0.9",
					    .port = 80,
					    .zone = "a",
					    .slots = 6,
					    .stage = stage,
					    .revision = revision };

	assert_true(forward_upstreams_apply(gateway->upstreams, &listing));
	gateway_upstream_news(gateway, id, "test");
}

static const forward_upstream_t *known(const gateway_t *gateway, const char *id)
{
	return forward_upstreams_find(gateway->upstreams, id);
}

static void add_up(void *ctx, const char *account, uint64_t sum)
{
	(void)account;
	*(uint64_t *)ctx += sum;
}

static uint64_t counted(const gateway_t *gateway, int64_t window)
{
	uint64_t sum = 0;

	usage_each_sum(gateway->usage, window, add_up, &sum);
	return sum;
}

/*
 * Gateways tell each other what they count in each window. Only the one that
 * reports dropped what is over; all others kept every count for as long as they
 * ran, and the busiest of hundreds came near the memory that its VM has.
 */
static void test_counts_of_old_windows_are_dropped(void **state)
{
	pair_t *pair = *state;

	usage_increment(pair->gateways[1]->usage, 3, "mill");
	assert_int_equal(counted(pair->gateways[1], 3), 1);
	UNTIL(pair, counted(pair->gateways[1], 3) == 0);
}

/*
 * Only one gateway hears of a new upstream, as the store turns the other away.
 * News names upstreams briefly; the other has to ask for the rest, or it would
 * never send anything there.
 */
static void test_a_new_upstream_becomes_known_in_full(void **state)
{
	pair_t *pair = *state;
	const gateway_t *other = pair->gateways[1];

	UNTIL(pair, peers_view(other->peers, gateway_now())->alive == PAIR);
	tell(pair->gateways[0], "u1", FORWARD_SERVING, 5);
	UNTIL(pair, known(other, "u1") != NULL);
	assert_string_equal(known(other, "u1")->address, "10.0.0.9");
	assert_int_equal(known(other, "u1")->revision, 5);
}

/*
 * Only one gateway hears that an upstream leaves. Sent on to it, requests would
 * be cut off when it ends.
 */
static void test_a_leaving_upstream_is_told(void **state)
{
	pair_t *pair = *state;
	const gateway_t *other = pair->gateways[1];

	UNTIL(pair, peers_view(other->peers, gateway_now())->alive == PAIR);
	tell(pair->gateways[0], "u1", FORWARD_SERVING, 5);
	UNTIL(pair, known(other, "u1") != NULL);
	tell(pair->gateways[0], "u1", FORWARD_DRAINING, 6);
	UNTIL(pair, known(other, "u1")->stage == FORWARD_DRAINING);
	assert_false(forward_upstream_serves(known(other, "u1")));
}

/* Has a gateway know a large fleet, in which it goes last. */
static void know_many(gateway_t *gateway)
{
	pd_time_t now = gateway_now();

	for (int i = 0; i < GATEWAY_MESH_MAX; i++) {
		char *address = g_strdup_printf("127.0.0.1:%d", i + 1);
		peer_t *peer = peers_add(gateway->peers, address);

		peer->strong = true;
		peer->mentioned_at = now;
		g_free(address);
	}
	gateway->peers->strong = false;
	gateway->peers->view.at = 0;
}

/* Guards against a leader that is not sent the counts of who was not told of it. */
static void test_a_leader_that_is_no_member_is_sent_states(void **state)
{
	pair_t *pair = *state;
	gateway_peers_t *member = pair->gateways[0]->peers;
	gateway_peers_t *leader = pair->gateways[1]->peers;

	know_many(pair->gateways[0]);
	know_many(pair->gateways[1]);
	assert_null(peers_find(member, leader->address));
	member->holder = g_strdup(leader->address);
	member->holder_fence = 1;
	UNTIL_WITHIN(pair, peers_find(leader, member->address)->heard_at,
		     FULL_STATE_MS);
}

/* Guards against a former leader that does not stand as others go before it. */
static void test_a_former_leader_stands_for_the_lease(void **state)
{
	pair_t *pair = *state;
	gateway_t *gateway = pair->gateways[0];

	know_many(gateway);
	assert_false(gateway_duties_may_hold(gateway->duties));
	gateway_duties_resume(gateway->duties);
	assert_true(gateway_duties_may_hold(gateway->duties));
}

/*
 * News is lost with a connection, and nothing else changes afterwards. The
 * digests that gateways tell show the difference, and what differs is fetched.
 */
static void test_lost_news_is_made_up_for(void **state)
{
	pair_t *pair = *state;
	gateway_t *other = pair->gateways[1];
	const forward_listing_t listing = { .id = "u2",
					    .service = "s",
					    .address = "10.0.0.8",
					    .port = 80,
					    .zone = "a",
					    .slots = 6,
					    .revision = 7 };

	UNTIL(pair, peers_view(other->peers, gateway_now())->alive == PAIR);
	forward_upstreams_apply(pair->gateways[0]->upstreams, &listing);
	UNTIL(pair, known(other, "u2") != NULL);
	assert_string_equal(known(other, "u2")->address, "10.0.0.8");
}

/* Has a gateway take the other's update of an upstream; returns the bytes it sent. */
static uint64_t take_update(pair_t *pair, const char *id)
{
	gateway_peers_t *from = pair->gateways[0]->peers;
	gateway_peers_t *to = pair->gateways[1]->peers;
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
	uint64_t before = frame_link_bytes(to->link);
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	g_hash_table_add(ids, (char *)id);
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	peers_pack_news(&packer, from, ids);
	assert_int_equal(peers_take(to, buffer.data, buffer.size), 0);
	msgpack_sbuffer_destroy(&buffer);
	g_hash_table_unref(ids);
	return frame_link_bytes(to->link) - before;
}

/* Guards against asking for an upstream again while the answer is on its way. */
static void test_an_unknown_upstream_is_asked_for_once(void **state)
{
	pair_t *pair = *state;
	const forward_listing_t listing = { .id = "u3",
					    .service = "s",
					    .address = "10.0.0.7",
					    .port = 80,
					    .zone = "a",
					    .slots = 6,
					    .revision = 8 };

	UNTIL(pair, peers_view(pair->gateways[1]->peers, gateway_now())->alive ==
			    PAIR);
	forward_upstreams_apply(pair->gateways[0]->upstreams, &listing);
	assert_true(take_update(pair, "u3") > 0);
	/* Old questions are dropped now and then; this one is not old. */
	pair->gateways[1]->peers->wanted_at = 0;
	assert_int_equal(take_update(pair, "u3"), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_counts_of_old_windows_are_dropped, setup),
		cmocka_unit_test_setup(test_a_new_upstream_becomes_known_in_full,
				       setup),
		cmocka_unit_test_setup(test_a_leaving_upstream_is_told, setup),
		cmocka_unit_test_setup(test_a_leader_that_is_no_member_is_sent_states,
				       setup),
		cmocka_unit_test_setup(test_a_former_leader_stands_for_the_lease,
				       setup),
		cmocka_unit_test_setup(test_lost_news_is_made_up_for, setup),
		cmocka_unit_test_setup(test_an_unknown_upstream_is_asked_for_once,
				       setup),
	};

	/* As the program does; peers close connections at any time. */
	signal(SIGPIPE, SIG_IGN);
	log_init("error");
	log_buffer_init(STDOUT_FILENO);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
