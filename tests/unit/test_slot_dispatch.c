/* Tests how the slots of a service are assigned to the requests of all gateways. */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/forward/slot_dispatch.h"
#include "core/list.h"

#define START (1000 * PD_SEC)
#define UPSTREAMS 3
#define SLOTS 6
#define ROOM (SLOTS + 1) /* requests that an upstream of SLOTS is granted */
#define SEED 7

/* The load of a heavy day. */
#define LOAD_TIME (60 * PD_SEC)
#define STEP (250 * PD_USEC)
#define LATENCY_GOAL (300 * PD_MSEC)
#define BEGIN_GOAL (210 * PD_MSEC)
#define TIMEOUT (2 * PD_SEC)
#define MEAN_WORK (60 * PD_MSEC)
#define SPREAD 0.5
#define SLOWDOWN 2.5
#define SLOW_TIME (600 * PD_MSEC)
#define SLOW_PERIOD (7 * SLOW_TIME)
#define MESSAGE_TIME (2 * PD_MSEC)
#define REQUESTS_MAX 40000
#define ACCOUNTS 16

typedef enum stage {
	STAGE_ASKED,
	STAGE_SENT, /* on its way to its upstream */
	STAGE_THERE,
	STAGE_RELEASED /* its release is on its way */
} stage_t;

typedef struct job {
	list_node_t node;
	stage_t stage;
	unsigned int account;
	unsigned int server;
	pd_time_t arrived_at;
	pd_time_t due_at; /* of what is on its way */
	double work;
} job_t;

typedef struct load {
	slot_dispatch_t *dispatch; /* NULL: an upstream is chosen at random */
	GRand *random;
	pd_time_t now;
	job_t jobs[REQUESTS_MAX];
	list_node_t active;
	list_node_t servers[UPSTREAMS];
	unsigned int at_server[UPSTREAMS];
	double rate;
	double greed; /* how many times as much the last account asks for */
	unsigned int asked[ACCOUNTS];
	unsigned int served[ACCOUNTS];
	unsigned int count;
	unsigned int in_time;
	unsigned int refused;
	unsigned int arrivals;
	unsigned int exceeding;
	unsigned int longest_queue;
} load_t;

static void send_job(load_t *load, job_t *job, unsigned int server)
{
	job->stage = STAGE_SENT;
	job->server = server;
	job->due_at = load->now + MESSAGE_TIME;
}

static void on_load_answer(void *ctx, const slot_answer_t *answer)
{
	load_t *load = ctx;
	job_t *job = &load->jobs[answer->number];

	if (answer->kind == SLOT_GRANTED) {
		send_job(load, job, answer->short_id - 1);
	} else if (answer->kind == SLOT_REFUSED) {
		load->refused++;
		list_remove(&job->node);
	}
}

static double draw_work(GRand *random)
{
	double normal = sqrt(-2 * log(1 - g_rand_double(random))) *
			cos(2 * G_PI * g_rand_double(random));

	return (double)MEAN_WORK * exp(SPREAD * normal - SPREAD * SPREAD / 2);
}

static void load_arrive(load_t *load)
{
	job_t *job = &load->jobs[load->count];
	double draw = g_rand_double(load->random) * (ACCOUNTS - 1 + load->greed);
	slot_request_t request = { .gateway = "g",
				   .number = load->count,
				   .weight = 1,
				   .goal = BEGIN_GOAL,
				   .time_left = TIMEOUT };

	assert_true(load->count < REQUESTS_MAX);
	load->count++;
	job->account = (unsigned int)MIN(draw, ACCOUNTS - 1);
	job->arrived_at = load->now;
	job->work = draw_work(load->random);
	load->asked[job->account]++;
	list_append(&load->active, &job->node);
	request.account = job->account + 1;
	if (load->dispatch)
		slot_dispatch_request(load->dispatch, &request, load->now);
	else
		send_job(load, job,
			 (unsigned int)g_rand_int_range(load->random, 0, UPSTREAMS));
}

static void job_reach_upstream(load_t *load, job_t *job)
{
	list_remove(&job->node);
	list_append(&load->servers[job->server], &job->node);
	job->stage = STAGE_THERE;
	load->arrivals++;
	load->exceeding += ++load->at_server[job->server] > ROOM;
}

/* Advances the requests that an upstream works on; the others wait there. */
static void server_run(load_t *load, unsigned int server)
{
	pd_time_t phase = load->now + SLOW_PERIOD * server / UPSTREAMS;
	double done = phase % SLOW_PERIOD < SLOW_TIME ? (double)STEP / SLOWDOWN
						      : (double)STEP;
	unsigned int running = 0;

	LIST_FOR_EACH_SAFE (it, &load->servers[server]) {
		job_t *job = LIST_ENTRY(it, job_t, node);

		if (running++ == SLOTS)
			break;
		job->work -= done;
		if (job->work > 0)
			continue;
		load->at_server[server]--;
		load->served[job->account]++;
		load->in_time += load->now - job->arrived_at <= LATENCY_GOAL;
		job->stage = STAGE_RELEASED;
		job->due_at = load->now + MESSAGE_TIME;
		list_remove(&job->node);
		list_append(&load->active, &job->node);
	}
}

static void load_step(load_t *load)
{
	bool arrives = g_rand_double(load->random) <
		       load->rate * (double)STEP / (double)PD_SEC;

	if (arrives)
		load_arrive(load);
	LIST_FOR_EACH_SAFE (it, &load->active) {
		job_t *job = LIST_ENTRY(it, job_t, node);

		if (job->stage == STAGE_ASKED || load->now < job->due_at)
			continue;
		if (job->stage == STAGE_SENT) {
			job_reach_upstream(load, job);
			continue;
		}
		list_remove(&job->node);
		if (load->dispatch)
			slot_dispatch_release(load->dispatch, "g",
					      (uint32_t)(job - load->jobs),
					      false, load->now);
	}
	for (unsigned int i = 0; i < UPSTREAMS; i++)
		server_run(load, i);
	if (load->dispatch && load->now % (20 * PD_MSEC) == 0)
		slot_dispatch_run(load->dispatch, load->now);
}

/* Plays a load for a minute; the caller frees it. */
static load_t *load_play(double rate, double greed, bool dispatched)
{
	static const slot_upstream_t upstreams[] = { { 1, SLOTS },
						     { 2, SLOTS },
						     { 3, SLOTS } };
	load_t *load = g_new0(load_t, 1);

	load->random = g_rand_new_with_seed(SEED);
	load->rate = rate;
	load->greed = greed;
	list_init(&load->active);
	for (unsigned int i = 0; i < UPSTREAMS; i++)
		list_init(&load->servers[i]);
	if (dispatched) {
		load->dispatch = slot_dispatch_create(on_load_answer, load);
		slot_dispatch_set_upstreams(load->dispatch, upstreams, UPSTREAMS);
	}
	for (load->now = START; load->now < START + LOAD_TIME; load->now += STEP)
		load_step(load);
	slot_dispatch_destroy(load->dispatch);
	g_rand_free(load->random);
	print_message("%s, %.0f a second: %.3f in time, %.3f refused, "
		      "%u of %u arrivals exceed the room\n",
		      dispatched ? "dispatched" : "at random", rate,
		      (double)load->in_time / load->count,
		      (double)load->refused / load->count, load->exceeding,
		      load->arrivals);
	return load;
}

/* Guards against queues at one upstream while others idle, and against rejections. */
static void test_most_requests_are_answered_in_time(void **state)
{
	load_t *random = load_play(225, 1, false);
	load_t *load = load_play(225, 1, true);

	(void)state;
	assert_true(load->in_time >= 0.85 * load->count);
	assert_true(load->exceeding * 1000 < load->arrivals);
	assert_true(load->in_time > random->in_time);
	g_free(load);
	g_free(random);
}

/* Guards against a dispatcher that refuses what it could serve after a shortage. */
static void test_free_slots_are_used_under_overload(void **state)
{
	load_t *load = load_play(400, 1, true);

	(void)state;
	/* The slots, slowed as they are, end 274 requests a second. */
	assert_true(load->arrivals >= 0.85 * 274 * LOAD_TIME / PD_SEC);
	assert_true(load->in_time >= 0.85 * load->arrivals);
	g_free(load);
}

/* Guards against an account that displaces others by asking for more. */
static void test_greedy_account_leaves_others_their_share(void **state)
{
	load_t *load = load_play(343, 10, true);
	double least = 1;

	(void)state;
	for (unsigned int i = 0; i < ACCOUNTS - 1; i++)
		least = MIN(least, (double)load->served[i] / load->asked[i]);
	print_message("others served at least %.3f, the greedy one %.3f\n", least,
		      (double)load->served[ACCOUNTS - 1] /
			      load->asked[ACCOUNTS - 1]);
	assert_true(least >= 0.9);
	assert_true(load->served[ACCOUNTS - 1] >= load->served[0]);
	g_free(load);
}

/* A dispatcher and what it answered last for each number. */
typedef struct fixture {
	slot_dispatch_t *dispatch;
	pd_time_t now;
	GArray *granted; /* numbers, in the order of their grants */
	slot_answer_t last[256];
	unsigned int answers[256];
} fixture_t;

static void on_answer(void *ctx, const slot_answer_t *answer)
{
	fixture_t *f = ctx;

	f->last[answer->number] = *answer;
	f->answers[answer->number]++;
	if (answer->kind == SLOT_GRANTED)
		g_array_append_val(f->granted, answer->number);
}

static int setup(void **state)
{
	static const slot_upstream_t upstream = { 1, SLOTS };
	fixture_t *f = g_new0(fixture_t, 1);

	f->now = START;
	f->granted = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	f->dispatch = slot_dispatch_create(on_answer, f);
	slot_dispatch_set_upstreams(f->dispatch, &upstream, 1);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *f = *state;

	slot_dispatch_destroy(f->dispatch);
	g_array_unref(f->granted);
	g_free(f);
	return 0;
}

/* Returns a request of gateway "g" that has time. */
static slot_request_t make_request(uint32_t number)
{
	return (slot_request_t){ .gateway = "g",
				 .number = number,
				 .weight = 1,
				 .goal = PD_SEC,
				 .time_left = 2 * PD_SEC };
}

static void ask(fixture_t *f, const slot_request_t *request)
{
	slot_dispatch_request(f->dispatch, request, f->now);
}

static void release(fixture_t *f, const char *gateway, uint32_t number)
{
	slot_dispatch_release(f->dispatch, gateway, number, false, f->now);
}

/* Takes all slots, by numbers from 1 on. */
static void fill(fixture_t *f)
{
	for (uint32_t i = 1; i <= ROOM; i++) {
		slot_request_t request = make_request(i);

		ask(f, &request);
		assert_int_equal(f->last[i].kind, SLOT_GRANTED);
	}
}

/* Ends the granted ones in turn, with MS in between, until COUNT more are granted. */
static void drain(fixture_t *f, unsigned int count, int ms)
{
	for (unsigned int i = 0; i < count; i++) {
		f->now += ms * PD_MSEC;
		release(f, "g", g_array_index(f->granted, uint32_t, i));
	}
}

/* Guards against an order that depends on the arrival only. */
static void test_order(void **state)
{
	static const struct {
		uint32_t number;
		int rank;
		uint32_t account;
		bool returned;
		pd_time_t goal;
	} waiting[] = {
		{ 20, 1, 9, false, 0 },	     { 21, 1, 6, false, PD_SEC },
		{ 22, 1, 5, false, PD_SEC }, { 23, 1, 5, true, PD_SEC },
		{ 24, 1, 5, false, PD_SEC }, { 25, 0, 6, false, 0 },
	};
	static const uint32_t order[] = { 25, 23, 22, 24, 21, 20 };
	fixture_t *f = *state;
	slot_request_t request;

	/* Account 6 is served twice as much for its weight as account 5. */
	fill(f);
	for (uint32_t i = 0; i < 2; i++) {
		release(f, "g", 1 + i);
		request = make_request(10 + i);
		request.account = 5 + i;
		request.weight = i ? 0.5 : 1;
		ask(f, &request);
	}
	g_array_remove_range(f->granted, 0, 2);
	for (unsigned int i = 0; i < G_N_ELEMENTS(waiting); i++) {
		request = make_request(waiting[i].number);
		request.rank = waiting[i].rank;
		request.account = waiting[i].account;
		request.returned = waiting[i].returned;
		request.goal = waiting[i].goal;
		request.weight = waiting[i].account == 6 ? 0.5 : 1;
		ask(f, &request);
	}
	drain(f, G_N_ELEMENTS(order), 1);
	assert_int_equal(f->granted->len, ROOM + G_N_ELEMENTS(order));
	for (unsigned int i = 0; i < G_N_ELEMENTS(order); i++)
		assert_int_equal(g_array_index(f->granted, uint32_t, ROOM + i),
				 order[i]);
}

/* Has COUNT requests wait from FIRST on. */
static void queue_some(fixture_t *f, uint32_t first, unsigned int count)
{
	for (unsigned int i = 0; i < count; i++) {
		slot_request_t request = make_request(first + i);

		ask(f, &request);
		assert_int_equal(f->last[first + i].kind, SLOT_QUEUED);
	}
}

/* Fills the slots, which come free every 10 ms as the dispatcher learns. */
static void fill_and_learn_rate(fixture_t *f)
{
	fill(f);
	queue_some(f, 20, 50);
	drain(f, 50, 10);
	g_array_remove_range(f->granted, 0, 50);
}

/* Returns what a request that can't begin in time is told, at once. */
static pd_time_t refused_retry_after(fixture_t *f, uint32_t number)
{
	slot_request_t request = make_request(number);

	request.goal = PD_MSEC;
	ask(f, &request);
	assert_int_equal(f->last[number].kind, SLOT_REFUSED);
	assert_int_equal(f->answers[number], 1);
	return f->last[number].retry_after;
}

/* Guards against requests that wait in vain, and against callers that return too early. */
static void test_refusal_of_what_cannot_begin_in_time(void **state)
{
	fixture_t *f = *state;
	slot_request_t request = make_request(200);
	pd_time_t early;
	pd_time_t later;

	fill_and_learn_rate(f);
	queue_some(f, 100, 20);
	early = refused_retry_after(f, 150);
	queue_some(f, 120, 20);
	later = refused_retry_after(f, 151);
	/* 20 and 40 wait, and a slot comes free every 10 ms; spread by a half. */
	assert_in_range(early, 170 * PD_MSEC, 350 * PD_MSEC);
	assert_in_range(later, 350 * PD_MSEC, 700 * PD_MSEC);
	/* It would be late, and over before a slot is free. */
	request.goal = 0;
	request.time_left = 200 * PD_MSEC;
	ask(f, &request);
	assert_int_equal(f->last[200].kind, SLOT_REFUSED);
}

/* Guards against callers that are refused together and so return together. */
static void test_retry_after_is_spread(void **state)
{
	fixture_t *f = *state;
	pd_time_t least = PD_SEC;
	pd_time_t most = 0;

	fill_and_learn_rate(f);
	queue_some(f, 100, 20);
	for (uint32_t i = 0; i < 20; i++) {
		pd_time_t time = refused_retry_after(f, 150 + i);

		least = MIN(least, time);
		most = MAX(most, time);
	}
	assert_true(most - least >= least / 4);
}

/* Guards against requests that wait past their deadline, or without a sign of life. */
static void test_waiting_ends_at_the_deadline(void **state)
{
	fixture_t *f = *state;
	slot_request_t request = make_request(20);

	request.time_left = 250 * PD_MSEC;
	fill(f);
	ask(f, &request);
	f->now += 200 * PD_MSEC;
	slot_dispatch_run(f->dispatch, f->now);
	assert_int_equal(f->last[20].kind, SLOT_QUEUED);
	assert_int_equal(f->answers[20], 2);
	f->now += 50 * PD_MSEC;
	slot_dispatch_run(f->dispatch, f->now);
	assert_int_equal(f->last[20].kind, SLOT_REFUSED);
	assert_int_equal(slot_dispatch_stats(f->dispatch)->queued, 0);
}

/* Guards against refusals that go on after the upstreams stood still for a second. */
static void test_queue_is_used_again_after_a_standstill(void **state)
{
	fixture_t *f = *state;
	slot_request_t request = make_request(200);

	fill_and_learn_rate(f);
	queue_some(f, 100, 1);
	for (int ms = 0; ms < 1000; ms += 20) {
		f->now += 20 * PD_MSEC;
		slot_dispatch_run(f->dispatch, f->now);
	}
	/* They go on as before, but nobody waits. */
	drain(f, 1, 10);
	for (uint32_t i = 0; i < 40; i++) {
		drain(f, 1, 10);
		g_array_remove_index(f->granted, 0);
		request.number = 150 + i;
		ask(f, &request);
		slot_dispatch_run(f->dispatch, f->now);
	}
	request.number = 200;
	ask(f, &request);
	request.number = 201;
	ask(f, &request);
	assert_int_equal(f->last[201].kind, SLOT_QUEUED);
}

/* Guards against waiting for upstreams that have all been tried, or have all left. */
static void test_requests_without_an_upstream_are_refused(void **state)
{
	fixture_t *f = *state;
	slot_request_t request = make_request(20);

	request.tried[0] = 1;
	request.tried_count = 1;
	ask(f, &request);
	assert_int_equal(f->last[20].kind, SLOT_REFUSED);
	fill(f);
	queue_some(f, 21, 1);
	slot_dispatch_set_upstreams(f->dispatch, NULL, 0);
	slot_dispatch_run(f->dispatch, f->now);
	assert_int_equal(f->last[21].kind, SLOT_REFUSED);
	request = make_request(22);
	ask(f, &request);
	assert_int_equal(f->last[22].kind, SLOT_REFUSED);
}

/* Guards against a free slot that is withheld as others wait that can't use it. */
static void test_free_slot_goes_past_those_that_tried_its_upstream(void **state)
{
	static const slot_upstream_t upstreams[] = { { 1, SLOTS }, { 2, SLOTS } };
	fixture_t *f = *state;
	slot_request_t request = make_request(20);

	fill_and_learn_rate(f);
	slot_dispatch_set_upstreams(f->dispatch, upstreams, 2);
	request.tried[0] = 2;
	request.tried_count = 1;
	ask(f, &request);
	assert_int_equal(f->last[20].kind, SLOT_QUEUED);
	request = make_request(21);
	request.goal = PD_MSEC;
	ask(f, &request);
	assert_int_equal(f->last[21].kind, SLOT_GRANTED);
	assert_int_equal(f->last[21].short_id, 2);
}

/* Guards against slots that stay taken by a gateway that has ended or starts anew. */
static void test_lost_grants_are_freed(void **state)
{
	fixture_t *f = *state;
	slot_request_t request = make_request(20);

	fill(f);
	queue_some(f, 20, 1);
	request.gateway = "h";
	request.number = 21;
	ask(f, &request);
	slot_dispatch_remove_gateway(f->dispatch, "g", f->now);
	assert_int_equal(f->last[20].kind, SLOT_QUEUED);
	assert_int_equal(f->last[21].kind, SLOT_GRANTED);
	slot_dispatch_remove_gateway(f->dispatch, "h", f->now);
	fill(f);
	f->now += 3 * PD_SEC;
	slot_dispatch_run(f->dispatch, f->now);
	fill(f);
}

/* Guards against grants of an upstream that has left or has no room. */
static void test_upstreams_that_leave_or_reject_get_nothing(void **state)
{
	static const slot_upstream_t upstreams[] = { { 1, SLOTS }, { 2, SLOTS } };
	fixture_t *f = *state;
	slot_request_t request = make_request(20);

	fill(f);
	slot_dispatch_set_upstreams(f->dispatch, &upstreams[1], 1);
	release(f, "g", 1);
	ask(f, &request);
	assert_int_equal(f->last[20].short_id, 2);
	slot_dispatch_set_upstreams(f->dispatch, upstreams, 2);
	slot_dispatch_release(f->dispatch, "g", 20, true, f->now);
	/* The other one has a free slot; then none is left but at that which rejected. */
	request.number = 21;
	ask(f, &request);
	assert_int_equal(f->last[21].short_id, 1);
	queue_some(f, 22, 1);
	f->now += 100 * PD_MSEC;
	slot_dispatch_run(f->dispatch, f->now);
	assert_int_equal(f->last[22].kind, SLOT_GRANTED);
	assert_int_equal(f->last[22].short_id, 2);
}

/* Guards against slots that are freed twice, or for another gateway. */
static void test_stray_releases_do_no_harm(void **state)
{
	fixture_t *f = *state;
	slot_request_t request = make_request(1);

	fill(f);
	request.gateway = "h";
	ask(f, &request);
	assert_int_equal(f->last[1].kind, SLOT_QUEUED);
	release(f, "i", 1);
	release(f, "g", 99);
	assert_int_equal(f->last[1].kind, SLOT_QUEUED);
	release(f, "g", 1);
	assert_string_equal(f->last[1].gateway, "h");
	assert_int_equal(f->last[1].kind, SLOT_GRANTED);
	release(f, "g", 1);
	queue_some(f, 20, 1);
	release(f, "h", 1);
	assert_int_equal(f->last[20].kind, SLOT_GRANTED);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_most_requests_are_answered_in_time),
		cmocka_unit_test(test_free_slots_are_used_under_overload),
		cmocka_unit_test(test_greedy_account_leaves_others_their_share),
		cmocka_unit_test_setup_teardown(test_order, setup, teardown),
		cmocka_unit_test_setup_teardown(test_refusal_of_what_cannot_begin_in_time,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_retry_after_is_spread,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_waiting_ends_at_the_deadline,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_queue_is_used_again_after_a_standstill,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_requests_without_an_upstream_are_refused,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_free_slot_goes_past_those_that_tried_its_upstream,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_lost_grants_are_freed,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_upstreams_that_leave_or_reject_get_nothing,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_stray_releases_do_no_harm,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
