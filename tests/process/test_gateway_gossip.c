/*
 * Tests of gossip between two gateways in one event loop, over real
 * connections.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "adapters/gateway/duties.h"
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/peer_state.h"
#include "adapters/log_buffer.h"
#include "adapters/log_glib.h"
#include "platform/wire.h"

#define TIMEOUT_MS 10000 /* of a wait for a condition */
/* twice the period of full states; members expire after 6 s */
#define FULL_STATE_TIMEOUT_MS 3200
#define ANSWER_MS 500
#define PAIR 2

typedef struct pair {
	uv_loop_t loop;
	uv_timer_t wakeup_timer;
	gateway_settings_t settings[PAIR];
	gateway_t *gateways[PAIR];
} pair_t;

static void on_wakeup(uv_timer_t *timer)
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
	settings->relay_listen = g_strdup(any);
	settings->store_address = g_strdup(any);
	settings->cloud_address = g_strdup(any);
	settings->retry_window_s = 10;
	settings->limits_window_s = 8;
	settings->usage_window_s = 5;
	settings->stop_grace_s = 8;
}

static void run_loop_once(pair_t *pair)
{
	uv_run(&pair->loop, UV_RUN_ONCE);
}

/* Runs the loop until CONDITION holds; fails the test after MS milliseconds. */
#define WAIT_UNTIL_WITHIN(pair, condition, ms)                           \
	do {                                                             \
		uint64_t end = uv_hrtime() / 1000000 + (ms);             \
		while (!(condition) && uv_hrtime() / 1000000 < end)      \
			run_loop_once(pair);                             \
		if (!(condition))                                        \
			fail_msg("gave up waiting for: %s", #condition); \
	} while (0)

/* The same with the default timeout. */
#define WAIT_UNTIL(pair, condition) \
	WAIT_UNTIL_WITHIN(pair, condition, TIMEOUT_MS)

/* Starts two gateways; the second has the first as its seed. */
static int setup(void **state)
{
	pair_t *pair = g_new0(pair_t, 1);
	pd_error_t err;

	uv_loop_init(&pair->loop);
	uv_timer_init(&pair->loop, &pair->wakeup_timer);
	uv_timer_start(&pair->wakeup_timer, on_wakeup, 1, 5);
	for (unsigned int i = 0; i < PAIR; i++) {
		fill_settings(&pair->settings[i], i);
		if (i > 0)
			pair->settings[i].peers_seeds[0] =
				g_strdup(pair->gateways[0]->peers->address);
		pair->gateways[i] =
			gateway_create(&pair->loop, &pair->settings[i], &err);
		assert_non_null(pair->gateways[i]);
		pair->gateways[i]->upstreams_listed = true;
	}
	*state = pair;
	return 0;
}

static void change_upstream(gateway_t *gateway, const char *id,
			    forward_stage_t stage, uint64_t revision)
{
	const forward_registration_t registration = { .id = id,
						      .service = "s",
						      .address = "10.0.0.9",
						      .port = 80,
						      .zone = "a",
						      .slots = 6,
						      .stage = stage,
						      .revision = revision };

	assert_true(forward_upstreams_apply(gateway->upstreams, &registration));
	gateway_upstream_changed(gateway, id, "test");
}

static const forward_upstream_t *find_upstream(const gateway_t *gateway,
					       const char *id)
{
	return forward_upstreams_find(gateway->upstreams, id);
}

static void add_to_sum(void *ctx, const char *account, uint64_t sum)
{
	(void)account;
	*(uint64_t *)ctx += sum;
}

static uint64_t window_sum(const gateway_t *gateway, int64_t window)
{
	uint64_t sum = 0;

	usage_each_sum(gateway->usage, window, add_to_sum, &sum);
	return sum;
}

/*
 * Guards against counts of past windows that are kept for ever by all gateways
 * but the one that reports them: in a fleet of hundreds they nearly filled the
 * memory of a VM.
 */
static void test_counts_of_old_windows_are_dropped(void **state)
{
	pair_t *pair = *state;

	usage_increment(pair->gateways[1]->usage, 3, "mill");
	assert_int_equal(window_sum(pair->gateways[1], 3), 1);
	WAIT_UNTIL(pair, window_sum(pair->gateways[1], 3) == 0);
}

/*
 * Only one gateway learns of a new upstream, as the store rejects the other's
 * calls. Updates have only the stage of an upstream; unless the other gateway
 * fetched the rest, it would never send requests there.
 */
static void test_new_upstream_is_fetched_in_full(void **state)
{
	pair_t *pair = *state;
	const gateway_t *other = pair->gateways[1];

	WAIT_UNTIL(pair, peers_view(other->peers, gateway_now())->alive == PAIR);
	change_upstream(pair->gateways[0], "u1", FORWARD_SERVING, 5);
	WAIT_UNTIL(pair, find_upstream(other, "u1") != NULL);
	assert_string_equal(find_upstream(other, "u1")->address, "10.0.0.9");
	assert_int_equal(find_upstream(other, "u1")->revision, 5);
}

/*
 * Only one gateway learns that an upstream is draining. Requests that the other
 * one went on sending would be cut off when the upstream ends.
 */
static void test_draining_upstream_is_propagated(void **state)
{
	pair_t *pair = *state;
	const gateway_t *other = pair->gateways[1];

	WAIT_UNTIL(pair, peers_view(other->peers, gateway_now())->alive == PAIR);
	change_upstream(pair->gateways[0], "u1", FORWARD_SERVING, 5);
	WAIT_UNTIL(pair, find_upstream(other, "u1") != NULL);
	change_upstream(pair->gateways[0], "u1", FORWARD_DRAINING, 6);
	WAIT_UNTIL(pair, find_upstream(other, "u1")->stage == FORWARD_DRAINING);
	assert_false(forward_upstream_is_serving(find_upstream(other, "u1")));
}

/*
 * Adds enough peers of higher rank for a large fleet, in which this gateway
 * ranks last.
 */
static void add_high_ranked_peers(gateway_t *gateway)
{
	pd_time_t now = gateway_now();

	for (int i = 0; i < GATEWAY_MESH_MAX; i++) {
		char *address = g_strdup_printf("127.0.0.1:%d", i + 1);
		peer_t *peer = peers_add(gateway->peers, address);

		peer->high_capacity = true;
		peer->mentioned_at = now;
		g_free(address);
	}
	gateway->peers->high_capacity = false;
	gateway->peers->view.at = 0;
}

/*
 * Guards against a leader that gets no counts from gateways whose members do
 * not include it.
 */
static void test_leader_outside_members_is_sent_states(void **state)
{
	pair_t *pair = *state;
	gateway_peers_t *member = pair->gateways[0]->peers;
	gateway_peers_t *leader = pair->gateways[1]->peers;

	add_high_ranked_peers(pair->gateways[0]);
	add_high_ranked_peers(pair->gateways[1]);
	assert_null(peers_find(member, leader->address));
	member->leader = g_strdup(leader->address);
	member->leader_fence = 1;
	WAIT_UNTIL_WITHIN(pair, peers_find(leader, member->address)->heard_at,
			  FULL_STATE_TIMEOUT_MS);
}

/* Gives a gateway a configuration, of which it tells nobody. */
static void set_config(gateway_t *gateway, int version)
{
	pd_error_t err;
	char *text =
		g_strdup_printf("{\"version\":%d,\"routes\":[],\"services\":[],"
				"\"limits\":{\"maxHeaderBytes\":16384,"
				"\"maxBodyBytes\":65536,"
				"\"headerTimeoutMs\":3000,"
				"\"idleTimeoutMs\":15000},\"tenants\":[]}",
				version);

	gateway->config = wire_config_parse(text, strlen(text), &err);
	assert_non_null(gateway->config);
	gateway->config_text = text;
}

/* Guards against a missed announcement while all aggregators that are known are dead. */
static void test_config_is_fetched_without_aggregator(void **state)
{
	pair_t *pair = *state;
	const gateway_t *other = pair->gateways[1];

	WAIT_UNTIL(pair, peers_view(other->peers, gateway_now())->alive == PAIR);
	add_high_ranked_peers(pair->gateways[0]);
	add_high_ranked_peers(pair->gateways[1]);
	set_config(pair->gateways[0], 7);
	WAIT_UNTIL_WITHIN(pair, other->config && other->config->version == 7,
			  FULL_STATE_TIMEOUT_MS);
}

/* Guards against a gateway that tells others of an old configuration and is not told. */
static void test_old_announcement_is_answered(void **state)
{
	pair_t *pair = *state;
	gateway_t *other = pair->gateways[1];
	peer_t *peer;

	WAIT_UNTIL(pair, peers_view(other->peers, gateway_now())->alive == PAIR);
	set_config(pair->gateways[0], 7);
	set_config(other, 6);
	peer = peers_find(other->peers, pair->gateways[0]->peers->address);
	peer->heard_at = gateway_now();
	pair->gateways[0]->peers->next_state_at = gateway_now() + PD_SEC;
	peers_send_announcement(other->peers, peer);
	WAIT_UNTIL_WITHIN(pair, other->config->version == 7, ANSWER_MS);
}

/* Guards against a dead gateway of which the others remind each other for ever. */
static void test_dead_member_is_forgotten(void **state)
{
	pair_t *pair = *state;
	peer_t *dead[PAIR];

	WAIT_UNTIL(pair, peers_view(pair->gateways[1]->peers, gateway_now())->alive ==
				 PAIR);
	for (unsigned int i = 0; i < PAIR; i++) {
		dead[i] = peers_add(pair->gateways[i]->peers, "127.0.0.1:1");
		dead[i]->high_capacity = true;
		dead[i]->mentioned_at = gateway_now();
	}
	WAIT_UNTIL(pair, !peer_is_alive(dead[0], gateway_now()) &&
				 !peer_is_alive(dead[1], gateway_now()));
}

/*
 * Guards against a former leader that does not request the lease because other
 * gateways rank before it.
 */
static void test_former_leader_may_acquire_lease(void **state)
{
	pair_t *pair = *state;
	gateway_t *gateway = pair->gateways[0];

	add_high_ranked_peers(gateway);
	assert_false(gateway_duties_may_hold(gateway->duties));
	gateway_duties_resume(gateway->duties);
	assert_true(gateway_duties_may_hold(gateway->duties));
}

/*
 * An update is lost with its connection, and nothing changes afterwards. The
 * digests in states differ, so the upstream is fetched.
 */
static void test_lost_update_is_fetched(void **state)
{
	pair_t *pair = *state;
	gateway_t *other = pair->gateways[1];
	const forward_registration_t registration = { .id = "u2",
						      .service = "s",
						      .address = "10.0.0.8",
						      .port = 80,
						      .zone = "a",
						      .slots = 6,
						      .revision = 7 };

	WAIT_UNTIL(pair, peers_view(other->peers, gateway_now())->alive == PAIR);
	forward_upstreams_apply(pair->gateways[0]->upstreams, &registration);
	WAIT_UNTIL(pair, find_upstream(other, "u2") != NULL);
	assert_string_equal(find_upstream(other, "u2")->address, "10.0.0.8");
}

/*
 * Delivers the first gateway's update of an upstream to the second. Returns the
 * number of bytes that the second sent in return.
 */
static uint64_t deliver_update(pair_t *pair, const char *id)
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
	peers_pack_updates(&packer, from, ids);
	assert_int_equal(peers_receive(to, buffer.data, buffer.size), 0);
	msgpack_sbuffer_destroy(&buffer);
	g_hash_table_unref(ids);
	return frame_link_bytes(to->link) - before;
}

/* Guards against fetching an upstream again while the answer is in flight. */
static void test_unknown_upstream_is_fetched_once(void **state)
{
	pair_t *pair = *state;
	const forward_registration_t registration = { .id = "u3",
						      .service = "s",
						      .address = "10.0.0.7",
						      .port = 80,
						      .zone = "a",
						      .slots = 6,
						      .revision = 8 };

	WAIT_UNTIL(pair, peers_view(pair->gateways[1]->peers, gateway_now())->alive ==
				 PAIR);
	forward_upstreams_apply(pair->gateways[0]->upstreams, &registration);
	assert_true(deliver_update(pair, "u3") > 0);
	/*
	 * Makes the next update prune expired fetches; this one has not
	 * expired.
	 */
	pair->gateways[1]->peers->pending_fetches_pruned_at = 0;
	assert_int_equal(deliver_update(pair, "u3"), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_counts_of_old_windows_are_dropped, setup),
		cmocka_unit_test_setup(test_new_upstream_is_fetched_in_full, setup),
		cmocka_unit_test_setup(test_draining_upstream_is_propagated, setup),
		cmocka_unit_test_setup(test_leader_outside_members_is_sent_states,
				       setup),
		cmocka_unit_test_setup(test_config_is_fetched_without_aggregator,
				       setup),
		cmocka_unit_test_setup(test_old_announcement_is_answered, setup),
		cmocka_unit_test_setup(test_dead_member_is_forgotten, setup),
		cmocka_unit_test_setup(test_former_leader_may_acquire_lease, setup),
		cmocka_unit_test_setup(test_lost_update_is_fetched, setup),
		cmocka_unit_test_setup(test_unknown_upstream_is_fetched_once, setup),
	};

	/*
	 * Like the gateway program, as peers may close connections at any time.
	 */
	signal(SIGPIPE, SIG_IGN);
	log_init("error");
	log_buffer_init(STDOUT_FILENO);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
