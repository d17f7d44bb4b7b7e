/* Tests of the speeds of upstreams: how they are learned, kept and used to place requests. */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "core/forward/choice.h"
#include "core/hash.h"

#define ENGINES 90
#define GATEWAYS 64
#define SLOTS 24
#define TICK (5 * PD_MSEC)
#define EXCHANGE_PERIOD (500 * PD_MSEC) /* of loads, samples and levels */
#define WARM_UP (10 * PD_SEC)
#define DURATION (60 * PD_SEC)
#define PREFILL_RATE \
	80000.0 /* tokens per second, of an engine of the usual speed */
#define UTILIZATION 0.7
#define TOKENS_MIN 500
#define TOKENS_MAX 7500
#define SHARED_TOKENS 400
#define PREFIXES 1000000 /* few are shared, so that only speeds decide shares */
#define DECODE_TIME (300 * PD_MSEC)
#define PAUSE 20000.0 /* us, between two events at the usual speed */

static const double engine_speeds[] = { 0.6, 1.0, 1.6 };

static double speed_of(unsigned int engine)
{
	return engine_speeds[engine % G_N_ELEMENTS(engine_speeds)];
}

static void add_engines(forward_upstreams_t *set, unsigned int count)
{
	char id[16];

	for (unsigned int i = 0; i < count; i++) {
		const forward_registration_t registration = {
			.id = id,
			.start_time_ms = 1,
			.service = "s",
			.address = "127.0.0.1",
			.port = 1,
			.zone = "a",
			.slots = SLOTS,
			.stage = FORWARD_SERVING,
			.revision = i + 1
		};

		snprintf(id, sizeof(id), "u%u", i);
		forward_upstreams_apply(set, &registration);
	}
}

static forward_upstream_t *engine_at(forward_upstreams_t *set, unsigned int i)
{
	char id[16];

	snprintf(id, sizeof(id), "u%u", i);
	return forward_upstreams_find(set, id);
}

/* Returns a sample of a pause at an upstream of a SPEED, with noise of 30 %. */
static double pause_at(double speed, GRand *random)
{
	return PAUSE / speed * exp(g_rand_double_range(random, -0.3, 0.3));
}

/* A request in progress. */
typedef struct job {
	unsigned int gateway;
	unsigned int engine;
	double tokens;
	pd_time_t sent_at;
	pd_time_t first_event_at;
	pd_time_t ends_at;
	bool prefilled;
} job_t;

/* Engines with one queue of prompts each, and gateways that place requests there. */
typedef struct fleet {
	forward_upstreams_t *sets[GATEWAYS];
	forward_upstream_t *upstreams[GATEWAYS][ENGINES];
	pd_time_t free_at[ENGINES];
	unsigned int sent[ENGINES]; /* after the warm-up, as the next two */
	double wait_sum[ENGINES]; /* ms to the first event */
	GArray *waits; /* of double, ms */
	GArray *jobs; /* of job_t */
	GRand *random;
	GRand *noise;
} fleet_t;

static fleet_t *fleet_create(guint32 seed)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	for (unsigned int i = 0; i < GATEWAYS; i++) {
		fleet->sets[i] = forward_upstreams_create();
		add_engines(fleet->sets[i], ENGINES);
		for (unsigned int j = 0; j < ENGINES; j++)
			fleet->upstreams[i][j] = engine_at(fleet->sets[i], j);
	}
	fleet->waits = g_array_new(FALSE, FALSE, sizeof(double));
	fleet->jobs = g_array_new(FALSE, FALSE, sizeof(job_t));
	fleet->random = g_rand_new_with_seed(seed);
	fleet->noise = g_rand_new_with_seed(seed + 100);
	return fleet;
}

static void fleet_destroy(fleet_t *fleet)
{
	for (unsigned int i = 0; i < GATEWAYS; i++)
		forward_upstreams_destroy(fleet->sets[i]);
	g_array_unref(fleet->waits);
	g_array_unref(fleet->jobs);
	g_rand_free(fleet->random);
	g_rand_free(fleet->noise);
	g_free(fleet);
}

/* Sends a request from a random gateway to the upstream that it chooses. */
static void fleet_send(fleet_t *fleet, pd_time_t now)
{
	job_t job = { .gateway = (unsigned int)g_rand_int_range(fleet->random,
								0, GATEWAYS),
		      .tokens = g_rand_double_range(fleet->random, TOKENS_MIN,
						    TOKENS_MAX),
		      .sent_at = now };
	forward_call_t call = {
		.prompt_tokens = (unsigned int)job.tokens,
		.parts = { { .id = hash_number((uint64_t)g_rand_int_range(
				     fleet->random, 1, PREFIXES)),
			     .tokens = SHARED_TOKENS },
			   { .id = g_rand_int(fleet->random),
			     .tokens = (unsigned int)job.tokens - SHARED_TOKENS } },
		.part_count = 2,
	};
	const forward_criteria_t criteria = { .service = "s",
					      .zone = "a",
					      .call = &call,
					      .has_prompt = true,
					      .overcommit = 4,
					      .sample_size = 1,
					      .random = fleet->random };
	forward_upstream_t *upstream;
	forward_pick_t pick;

	if (forward_upstreams_choose(fleet->sets[job.gateway], &criteria, now,
				     &pick) != FORWARD_CHOSEN)
		return;
	upstream = pick.upstream;
	job.engine = (unsigned int)atoi(upstream->id + 1);
	job.first_event_at = MAX(now, fleet->free_at[job.engine]) +
			     (pd_time_t)(job.tokens / PREFILL_RATE /
					 speed_of(job.engine) * PD_SEC);
	job.ends_at = job.first_event_at +
		      (pd_time_t)(DECODE_TIME / speed_of(job.engine));
	fleet->free_at[job.engine] = job.first_event_at;
	upstream->running++;
	upstream->prefill_tokens += job.tokens;
	g_array_append_val(fleet->jobs, job);
}

/* Records the first event of a request. */
static void record_first_event(fleet_t *fleet, const job_t *job)
{
	double wait = (double)(job->first_event_at - job->sent_at) / PD_MSEC;

	fleet->upstreams[job->gateway][job->engine]->prefill_tokens -= job->tokens;
	if (job->sent_at < WARM_UP)
		return;
	fleet->sent[job->engine]++;
	fleet->wait_sum[job->engine] += wait;
	g_array_append_val(fleet->waits, wait);
}

/* Ends what ends up to NOW; streams that end yield a sample. */
static void fleet_advance(fleet_t *fleet, pd_time_t now)
{
	for (guint i = fleet->jobs->len; i-- > 0;) {
		job_t *job = &g_array_index(fleet->jobs, job_t, i);
		forward_upstream_t *upstream =
			fleet->upstreams[job->gateway][job->engine];

		if (!job->prefilled && job->first_event_at <= now) {
			job->prefilled = true;
			record_first_event(fleet, job);
		}
		if (job->ends_at > now)
			continue;
		upstream->running--;
		upstream_speed_record_own(&upstream->speed,
					  pause_at(speed_of(job->engine),
						   fleet->noise));
		g_array_remove_index_fast(fleet->jobs, i);
	}
}

/* Gives each gateway the loads of all others. */
static void exchange_loads(fleet_t *fleet)
{
	for (unsigned int j = 0; j < ENGINES; j++) {
		unsigned int running = 0;
		double tokens = 0;

		for (unsigned int i = 0; i < GATEWAYS; i++) {
			running += fleet->upstreams[i][j]->running;
			tokens += fleet->upstreams[i][j]->prefill_tokens;
		}
		for (unsigned int i = 0; i < GATEWAYS; i++) {
			forward_upstream_t *upstream = fleet->upstreams[i][j];

			upstream->peers_running = running - upstream->running;
			upstream->peers_prefill_tokens =
				tokens - upstream->prefill_tokens;
		}
	}
}

/* Merges the samples of all gateways at the first one, whose levels all take over. */
static void exchange_speeds(fleet_t *fleet)
{
	for (unsigned int i = 1; i < GATEWAYS; i++) {
		for (unsigned int j = 0; j < ENGINES; j++) {
			upstream_speed_t *speed = &fleet->upstreams[i][j]->speed;

			if (speed->unsent)
				upstream_speed_record_peer(
					&fleet->upstreams[0][j]->speed,
					speed->unsent,
					speed->unsent_sum / speed->unsent);
			speed->unsent = 0;
			speed->unsent_sum = 0;
		}
	}
	forward_upstreams_update_speeds(fleet->sets[0]);
	for (unsigned int i = 1; i < GATEWAYS; i++) {
		for (unsigned int j = 0; j < ENGINES; j++)
			upstream_speed_set_level(&fleet->upstreams[i][j]->speed,
						 fleet->upstreams[0][j]->speed.level);
	}
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* What callers got. */
typedef struct result {
	double p95; /* ms to the first event */
	double spread; /* ms between the engines with the highest and lowest mean */
	double share_min; /* requests of an engine, relative to its part of all speeds */
	double share_max;
} result_t;

static result_t fleet_result(const fleet_t *fleet)
{
	result_t result = { .share_min = INFINITY };
	double speeds = 0;
	double lowest = INFINITY;
	double highest = 0;

	g_array_sort(fleet->waits, compare_doubles);
	result.p95 = g_array_index(fleet->waits, double,
				   fleet->waits->len * 95 / 100);
	for (unsigned int j = 0; j < ENGINES; j++)
		speeds += speed_of(j);
	for (unsigned int j = 0; j < ENGINES; j++) {
		double mean = fleet->wait_sum[j] / MAX(fleet->sent[j], 1);
		double share = fleet->sent[j] * speeds /
			       (fleet->waits->len * speed_of(j));

		lowest = fmin(lowest, mean);
		highest = fmax(highest, mean);
		result.share_min = fmin(result.share_min, share);
		result.share_max = fmax(result.share_max, share);
	}
	result.spread = highest - lowest;
	return result;
}

/* Replays a load, with or without the speeds of engines. */
static result_t replay_load(bool learned, guint32 seed)
{
	fleet_t *fleet = fleet_create(seed);
	double per_tick = 0;
	double due = 0;
	result_t result;

	for (unsigned int j = 0; j < ENGINES; j++)
		per_tick += UTILIZATION * speed_of(j) * PREFILL_RATE * 2 /
			    (TOKENS_MIN + TOKENS_MAX) * TICK / PD_SEC;
	for (pd_time_t now = 0; now < DURATION; now += TICK) {
		fleet_advance(fleet, now);
		if (now % EXCHANGE_PERIOD == 0) {
			exchange_loads(fleet);
			if (learned)
				exchange_speeds(fleet);
		}
		due += per_tick;
		while (due >= 1) {
			fleet_send(fleet, now);
			due--;
		}
	}
	result = fleet_result(fleet);
	print_message("learned=%d p95=%.0f ms spread=%.0f ms "
		      "shares=%.2f..%.2f\n",
		      learned, result.p95, result.spread, result.share_min,
		      result.share_max);
	fleet_destroy(fleet);
	return result;
}

/* Guards against requests that queue at slow engines while fast ones idle. */
static void test_engines_get_requests_in_proportion_to_speed(void **state)
{
	static const guint32 seeds[] = { 5, 103 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++) {
		result_t without = replay_load(false, seeds[i]);
		result_t with = replay_load(true, seeds[i]);

		assert_true(with.p95 < without.p95);
		assert_true(with.spread < without.spread);
		assert_true(with.share_min > 0.75);
		assert_true(with.share_max < 1.25);
	}
}

static forward_upstream_t *choose(forward_upstreams_t *set,
				  const forward_call_t *call, bool has_prompt,
				  unsigned int sample_size, GRand *random)
{
	const forward_criteria_t criteria = { .service = "s",
					      .zone = "a",
					      .call = call,
					      .has_prompt = has_prompt,
					      .overcommit = 1,
					      .sample_size = sample_size,
					      .random = random };
	forward_pick_t pick;

	forward_upstreams_choose(set, &criteria, 0, &pick);
	return pick.upstream;
}

/* Returns the id of the upstream with the highest hash for a prefix. */
static const char *highest_hash(forward_upstreams_t *set, uint64_t prefix)
{
	const forward_upstream_t *best = NULL;

	LIST_FOR_EACH (it, forward_upstreams_list(set)) {
		const forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		if (!best || hash_number(prefix ^ upstream->id_hash) >
				     hash_number(prefix ^ best->id_hash))
			best = upstream;
	}
	assert_non_null(best);
	return best ? best->id : "";
}

/*
 * Guards against other choices, or more draws of random numbers, in a fleet of equal
 * upstreams whose speeds are measured.
 */
static void test_choices_among_equal_upstreams_are_as_without_speeds(void **state)
{
	forward_upstreams_t *plain = forward_upstreams_create();
	forward_upstreams_t *measured = forward_upstreams_create();
	GRand *random = g_rand_new_with_seed(11);
	GRand *first = g_rand_new_with_seed(12);
	GRand *second = g_rand_new_with_seed(12);
	GRand *single = g_rand_new_with_seed(12);

	(void)state;
	add_engines(plain, ENGINES);
	add_engines(measured, ENGINES);
	for (unsigned int i = 0; i < 40 * ENGINES; i++)
		upstream_speed_record_own(&engine_at(measured, i % ENGINES)->speed,
					  pause_at(1, random));
	forward_upstreams_update_speeds(measured);
	for (unsigned int i = 0; i < 5000; i++) {
		unsigned int engine =
			(unsigned int)g_rand_int_range(random, 0, ENGINES);
		unsigned int running =
			(unsigned int)g_rand_int_range(random, 0, SLOTS + 1);
		forward_call_t call = {
			.prompt_tokens = 4000,
			.parts = { { g_rand_int(random), 1000 },
				   { g_rand_int(random), 3000 } },
			.part_count = 2,
		};
		bool has_prompt = i % 3 != 0;
		unsigned int sample_size = i % 5 != 0;
		const forward_upstream_t *a;
		const forward_upstream_t *b;

		engine_at(plain, engine)->running = running;
		engine_at(measured, engine)->running = running;
		engine_at(plain, engine)->prefill_tokens = running * 500.0;
		engine_at(measured, engine)->prefill_tokens = running * 500.0;
		a = choose(plain, &call, has_prompt, sample_size, first);
		b = choose(measured, &call, has_prompt, sample_size, second);
		assert_string_equal(a->id, b->id);
		if (sample_size)
			g_rand_int_range(single, 0, ENGINES);
		assert_int_equal(g_rand_int(first), g_rand_int(single));
		g_rand_int(second);
	}
	for (unsigned int i = 0; i < ENGINES; i++) {
		forward_upstream_t *upstream = engine_at(measured, i);

		assert_int_equal(upstream->speed.level, 0);
		upstream->running = 0;
		upstream->prefill_tokens = 0;
	}
	for (uint64_t prefix = 1; prefix < 3000; prefix++) {
		const forward_call_t call = { .prompt_tokens = 4000,
					      .parts = { { prefix, 1000 },
							 { 1, 3000 } },
					      .part_count = 2 };

		assert_string_equal(choose(measured, &call, true, 0, second)->id,
				    highest_hash(measured, prefix));
	}
	forward_upstreams_destroy(plain);
	forward_upstreams_destroy(measured);
	g_rand_free(random);
	g_rand_free(first);
	g_rand_free(second);
	g_rand_free(single);
}

/* A service of some upstreams at this gateway. */
typedef struct service {
	forward_upstreams_t *set;
	forward_upstream_t *first;
	GRand *random;
} service_t;

#define SERVICE_UPSTREAMS 60 /* one that is slow moves their mean little */

/* Adds COUNT samples of each upstream; the first one has a SPEED of its own. */
static void add_samples(service_t *service, unsigned int count, double speed)
{
	for (unsigned int i = 0; i < count; i++) {
		for (unsigned int j = 0; j < SERVICE_UPSTREAMS; j++)
			upstream_speed_record_own(&engine_at(service->set, j)->speed,
						  pause_at(j ? 1 : speed,
							   service->random));
		forward_upstreams_update_speeds(service->set);
	}
}

static int service_setup(void **state)
{
	service_t *service = g_new0(service_t, 1);

	service->set = forward_upstreams_create();
	add_engines(service->set, SERVICE_UPSTREAMS);
	service->first = engine_at(service->set, 0);
	service->random = g_rand_new_with_seed(9);
	*state = service;
	return 0;
}

static int service_teardown(void **state)
{
	service_t *service = *state;

	forward_upstreams_destroy(service->set);
	g_rand_free(service->random);
	g_free(service);
	return 0;
}

/* Guards against a level that stays behind an upstream that slows down or recovers. */
static void test_a_change_of_speed_is_followed_within_40_samples(void **state)
{
	service_t *service = *state;

	add_samples(service, 60, 1);
	assert_int_equal(service->first->speed.level, 0);
	add_samples(service, 40, 1 / 3.0);
	assert_true(service->first->speed.level <= -3);
	add_samples(service, 60, 1 / 3.0);
	assert_true(abs(service->first->speed.level + 6) <= 1);
	add_samples(service, 40, 1);
	assert_true(service->first->speed.level >= -2);
	add_samples(service, 60, 1);
	assert_true(abs(service->first->speed.level) <= 1);
	for (unsigned int j = 1; j < SERVICE_UPSTREAMS; j++)
		assert_true(abs(engine_at(service->set, j)->speed.level) <= 1);
}

/* Guards against an upstream that is taken for slow for one hang, or a long answer. */
static void test_a_single_hang_does_not_move_the_level(void **state)
{
	service_t *service = *state;

	add_samples(service, 40, 1);
	for (unsigned int i = 0; i < 10; i++) {
		upstream_speed_record_own(&service->first->speed, PAUSE * 1000);
		forward_upstreams_update_speeds(service->set);
		assert_int_equal(service->first->speed.level, 0);
		add_samples(service, 30, 1);
	}
}

/*
 * Guards against gateways that treat upstreams alike again after all were killed or the
 * aggregator died: the next one has few samples, which say what was known before.
 */
static void test_a_known_level_survives_the_first_samples(void **state)
{
	service_t *service = *state;

	forward_upstreams_restore_speed(service->set,
					forward_upstream_short_id(service->first),
					-3);
	for (unsigned int i = 0; i < 60; i++) {
		add_samples(service, 1, 0.58);
		assert_true(service->first->speed.level <= -2);
	}
	/* A level that is wrong by now is given up, to within the hysteresis. */
	add_samples(service, 60, 1);
	assert_true(abs(service->first->speed.level) <= 1);
}

/* Guards against the speed of a process that no longer runs. */
static void test_a_restart_forgets_the_speed(void **state)
{
	service_t *service = *state;
	forward_registration_t registration = {
		.id = "u0",
		.start_time_ms = 1,
		.service = "s",
		.address = "127.0.0.1",
		.zone = "a",
		.slots = SLOTS,
		.stage = FORWARD_SERVING,
		.revision = 100,
	};

	add_samples(service, 60, 0.5);
	assert_true(service->first->speed.level < 0);
	forward_upstreams_apply(service->set, &registration);
	assert_true(service->first->speed.level < 0);
	registration.start_time_ms = 2;
	registration.revision++;
	forward_upstreams_apply(service->set, &registration);
	assert_int_equal(service->first->speed.level, 0);
	assert_int_equal(service->first->speed.unsent, 0);
	assert_false(upstream_speed_is_known(&service->first->speed));
	assert_true(upstream_speed_factor(&service->first->speed) == 1);
}

/* Guards against speeds that are lost because the checkpoint is read before the listing. */
static void test_speeds_are_restored_before_and_after_registration(void **state)
{
	service_t *service = *state;
	forward_upstreams_t *set = forward_upstreams_create();
	static const int invalid[] = { UPSTREAM_SPEED_LEVEL_MAX + 1,
				       -UPSTREAM_SPEED_LEVEL_MAX - 1 };

	for (unsigned int i = 0; i < 2; i++) {
		forward_upstreams_restore_speed(
			set,
			forward_upstream_short_id(engine_at(service->set, i)), -2);
		forward_upstreams_restore_speed(
			set,
			forward_upstream_short_id(engine_at(service->set, i + 2)),
			invalid[i]);
	}
	add_engines(set, SERVICE_UPSTREAMS);
	forward_upstreams_restore_speed(
		set, forward_upstream_short_id(engine_at(service->set, 4)), 3);
	forward_upstreams_restore_speed(set,
					forward_upstream_short_id(
						engine_at(service->set, 4)),
					invalid[0]);
	assert_int_equal(engine_at(set, 0)->speed.level, -2);
	assert_int_equal(engine_at(set, 1)->speed.level, -2);
	assert_int_equal(engine_at(set, 2)->speed.level, 0);
	assert_int_equal(engine_at(set, 3)->speed.level, 0);
	assert_int_equal(engine_at(set, 4)->speed.level, 3);
	assert_true(upstream_speed_factor(&engine_at(set, 0)->speed) < 0.7);
	forward_upstreams_destroy(set);
}

/*
 * Guards against a peer whose malformed samples make an upstream, or all others of its
 * service, look several times faster or slower for ever.
 */
static void test_malformed_samples_are_ignored(void **state)
{
	service_t *service = *state;
	static const double invalid[] = { 1e290, -1e290, 1000, -1000 };

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
		upstream_speed_record_peer(&service->first->speed, 5, invalid[i]);
	upstream_speed_record_peer(&service->first->speed, 5, (double)NAN);
	upstream_speed_record_peer(&service->first->speed, 0, log(PAUSE));
	upstream_speed_record_own(&service->first->speed, 0);
	upstream_speed_record_own(&service->first->speed, -1);
	assert_false(upstream_speed_is_known(&service->first->speed));
	add_samples(service, 40, 1);
	for (unsigned int j = 0; j < SERVICE_UPSTREAMS; j++)
		assert_int_equal(engine_at(service->set, j)->speed.level, 0);
}

#define SERVICE_TEST(test) \
	cmocka_unit_test_setup_teardown(test, service_setup, service_teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_engines_get_requests_in_proportion_to_speed),
		cmocka_unit_test(
			test_choices_among_equal_upstreams_are_as_without_speeds),
		SERVICE_TEST(test_a_change_of_speed_is_followed_within_40_samples),
		SERVICE_TEST(test_a_single_hang_does_not_move_the_level),
		SERVICE_TEST(test_a_known_level_survives_the_first_samples),
		SERVICE_TEST(test_a_restart_forgets_the_speed),
		SERVICE_TEST(test_speeds_are_restored_before_and_after_registration),
		SERVICE_TEST(test_malformed_samples_are_ignored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
