/* Two gateways in one loop, over real connections: what they tell each other. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <unistd.h>

#include <cmocka.h>

#include "adapters/gateway/fleet_feed.h"
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/peer_state.h"
#include "adapters/log_buffer.h"
#include "adapters/log_glib.h"

#define TIMEOUT_MS 10000 /* of a wait for a condition */
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

/* Turns the loop until a condition holds; fails the test after the timeout. */
#define UNTIL(pair, condition)                                           \
	do {                                                             \
		uint64_t end = uv_hrtime() / 1000000 + TIMEOUT_MS;       \
		while (!(condition) && uv_hrtime() / 1000000 < end)      \
			turn(pair);                                      \
		if (!(condition))                                        \
			fail_msg("gave up waiting for: %s", #condition); \
	} while (0)

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
	gateway_upstream_news(gateway, id, GATEWAY_SOURCE_STORE);
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

	usage_sum(gateway->usage, window, add_up, &sum);
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

	usage_add(pair->gateways[1]->usage, 3, "mill");
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

/* Has a gateway take what the other knows of some upstreams; NULL: of all. */
static void take_updates(pair_t *pair, GHashTable *ids)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	peers_pack_news(&packer, pair->gateways[0]->peers, ids);
	assert_int_equal(peers_take(pair->gateways[1]->peers, buffer.data,
				    buffer.size),
			 0);
	msgpack_sbuffer_destroy(&buffer);
}

/* Has a gateway take the other's update of an upstream; returns the bytes it sent. */
static uint64_t take_update(pair_t *pair, const char *id)
{
	const frame_link_t *link = pair->gateways[1]->peers->link;
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
	uint64_t before = frame_link_bytes(link);

	g_hash_table_add(ids, (char *)id);
	take_updates(pair, ids);
	g_hash_table_unref(ids);
	return frame_link_bytes(link) - before;
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

/* Guards against passing on a whole table that every start reads by itself. */
static void test_a_start_passes_no_listing_on(void **state)
{
	pair_t *pair = *state;
	gateway_t *start = pair->gateways[1];
	const forward_listing_t listing = { .id = "u4",
					    .service = "s",
					    .address = "10.0.0.6",
					    .port = 80,
					    .zone = "a",
					    .slots = 6,
					    .revision = 9 };

	UNTIL(pair, peers_view(start->peers, gateway_now())->alive == PAIR);
	start->upstreams_known = false;
	forward_upstreams_apply(pair->gateways[0]->upstreams, &listing);
	take_updates(pair, NULL);
	assert_non_null(known(start, "u4"));
	assert_true(start->upstreams_known);
	assert_int_equal(g_hash_table_size(start->peers->news), 0);
	tell(pair->gateways[0], "u4", FORWARD_DRAINING, 10);
	take_update(pair, "u4");
	assert_int_equal(g_hash_table_size(start->peers->news), 1);
}

/* Has a gateway take a summary of the other; returns whether it asks for upstreams. */
static bool asks_after_summary(pair_t *pair)
{
	gateway_peers_t *from = pair->gateways[0]->peers;
	gateway_peers_t *to = pair->gateways[1]->peers;
	const peer_t *receiver = peers_find(from, to->address);
	msgpack_sbuffer buffer;

	to->fetched_upstreams_at = 0;
	msgpack_sbuffer_init(&buffer);
	peers_pack_summary(&buffer, from, receiver, false);
	assert_int_equal(peers_take(to, buffer.data, buffer.size), 0);
	msgpack_sbuffer_destroy(&buffer);
	return to->fetched_upstreams_at != 0;
}

/* Guards against a whole table from one peer for each start that lists the store. */
static void test_a_start_that_lists_asks_no_peer(void **state)
{
	pair_t *pair = *state;
	gateway_t *start = pair->gateways[1];
	fleet_feed_t *failed = start->feed;

	UNTIL(pair, peers_view(pair->gateways[0]->peers, gateway_now())->alive ==
			    PAIR);
	UNTIL(pair, fleet_feed_is_lost(failed));
	start->upstreams_known = false;
	start->upstreams_usable = true;
	start->feed = fleet_feed_create(start);
	assert_false(asks_after_summary(pair));
	g_free(start->feed);
	start->feed = failed;
	assert_true(asks_after_summary(pair));
}

/* Has a gateway believe in so many peers more that live in a zone. */
static void add_peers(gateway_t *gateway, const char *zone, unsigned int count)
{
	for (unsigned int i = 0; i < count; i++) {
		char *address = g_strdup_printf("10.0.%s.%u:1",
						*zone == 'a' ? "1" : "2", i);
		peer_t *peer = peers_add(gateway->peers, address);

		peer->mentioned_at = gateway_now();
		peer->zone = (uint16_t)g_str_hash(zone);
		g_free(address);
	}
	gateway->peers->view.at = 0;
}

/* Guards against a fleet without a leader while its first gateways are cut off. */
static void test_others_stand_by_for_gateways_that_cannot_lead(void **state)
{
	pair_t *pair = *state;
	gateway_peers_t *peers = pair->gateways[1]->peers;
	unsigned int first = 0;

	UNTIL(pair, peers_view(peers, gateway_now())->alive == PAIR);
	add_peers(pair->gateways[1], "b", 20);
	LIST_FOR_EACH (it, &peers->list)
		LIST_ENTRY(it, peer_t, node)->strong = first++ < 3;
	/* The strong come first, by their hashes; this gateway is the last of them. */
	peers->strong = true;
	LIST_FOR_EACH (it, &peers->list) {
		LIST_ENTRY(it, peer_t, node)->hash = 0;
		LIST_ENTRY(it, peer_t, node)->cannot_lead = false;
	}
	peers->view.at = 0;
	assert_int_equal(peers_view(peers, gateway_now())->rank, 3);
	assert_false(gateway_peers_stand_for_duties(peers));
	LIST_FOR_EACH (it, &peers->list)
		LIST_ENTRY(it, peer_t, node)->cannot_lead =
			LIST_ENTRY(it, peer_t, node)->strong;
	peers->view.at = 0;
	assert_true(gateway_peers_stand_for_duties(peers));
}

/* Guards against a gateway that stops being taken for one that stands by. */
static void test_a_stopping_gateway_says_that_it_cannot_lead(void **state)
{
	pair_t *pair = *state;
	gateway_peers_t *from = pair->gateways[0]->peers;
	gateway_peers_t *to = pair->gateways[1]->peers;
	msgpack_sbuffer buffer;

	UNTIL(pair, peers_view(to, gateway_now())->alive == PAIR);
	gateway_stop(pair->gateways[0]);
	msgpack_sbuffer_init(&buffer);
	peers_pack_state(&buffer, from, false, false);
	assert_int_equal(peers_take(to, buffer.data, buffer.size), 0);
	msgpack_sbuffer_destroy(&buffer);
	assert_true(peers_find(to, from->address)->cannot_lead);
}

/* Guards against all gateways of a large fleet asking one and the same. */
static void test_missed_updates_are_asked_of_any_nearby(void **state)
{
	pair_t *pair = *state;
	gateway_peers_t *peers = pair->gateways[1]->peers;
	unsigned int same = 0;
	peer_t *other;

	UNTIL(pair, peers_view(peers, gateway_now())->alive == PAIR);
	other = peers_find(peers, pair->gateways[0]->peers->address);
	assert_ptr_equal(peers_source(peers, other, gateway_now()), other);
	add_peers(pair->gateways[1], "a", 10);
	add_peers(pair->gateways[1], "b", 10);
	for (unsigned int i = 0; i < 200; i++) {
		const peer_t *source = peers_source(peers, other, gateway_now());

		assert_int_equal(source->zone, peers->zone);
		same += source == other;
	}
	assert_in_range(same, 1, 60);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_counts_of_old_windows_are_dropped, setup),
		cmocka_unit_test_setup(test_a_new_upstream_becomes_known_in_full,
				       setup),
		cmocka_unit_test_setup(test_a_leaving_upstream_is_told, setup),
		cmocka_unit_test_setup(test_lost_news_is_made_up_for, setup),
		cmocka_unit_test_setup(test_an_unknown_upstream_is_asked_for_once,
				       setup),
		cmocka_unit_test_setup(test_a_start_passes_no_listing_on, setup),
		cmocka_unit_test_setup(test_a_start_that_lists_asks_no_peer, setup),
		cmocka_unit_test_setup(test_others_stand_by_for_gateways_that_cannot_lead,
				       setup),
		cmocka_unit_test_setup(test_a_stopping_gateway_says_that_it_cannot_lead,
				       setup),
		cmocka_unit_test_setup(test_missed_updates_are_asked_of_any_nearby,
				       setup),
	};

	/* As the program does; peers close connections at any time. */
	signal(SIGPIPE, SIG_IGN);
	log_init("error");
	log_buffer_init(STDOUT_FILENO);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
