/* The clock, the engines and the zone reclaims of a simulation. */
#include "bench/sim.h"

#include <string.h>

#define STEP (1 * PD_MSEC)
#define TICK_PERIOD (20 * PD_MSEC)
#define RECLAIM_AT (10 * PD_SEC)
#define RECLAIM_INTERVAL (30 * PD_SEC) /* between the zones */
#define RECLAIM_NOTICE (5 * PD_SEC)
#define WARM_UP (3 * PD_SEC) /* before calls arrive */
#define DRAIN_TIME (40 * PD_SEC) /* after the last call arrives */

/* Returns the engine at INDEX, borrowed. */
fake_engine_t *sim_engine(const sim_t *sim, unsigned int index)
{
	return g_ptr_array_index(sim->engines, index);
}

/* Returns the call at INDEX, borrowed. */
call_t *sim_call(const sim_t *sim, unsigned int index)
{
	return &g_array_index(sim->calls, call_t, index);
}

/* Returns the index of the engine with the given id, which must exist. */
unsigned int sim_find_engine(const sim_t *sim, const char *id)
{
	for (unsigned int i = 0; i < sim->site->engines; i++) {
		if (!strcmp(sim_engine(sim, i)->id, id))
			return i;
	}
	g_assert_not_reached();
}

/*
 * Creates a simulation without running it. The caller owns it; SITE and
 * SCENARIO must outlive it.
 */
sim_t *sim_create(policy_t policy, const site_t *site,
		  const scenario_t *scenario, uint32_t seed)
{
	sim_t *sim = g_new0(sim_t, 1);

	sim->policy = policy;
	sim->site = site;
	sim->scenario = scenario;
	sim->rand = g_rand_new_with_seed(seed);
	sim->calls = scenario_calls(site, scenario, seed);
	sim->calls_by_body = g_hash_table_new(NULL, NULL);
	for (guint i = 0; i < sim->calls->len; i++)
		g_hash_table_insert(sim->calls_by_body, sim_call(sim, i)->body,
				    GUINT_TO_POINTER(i));
	sim->messages = g_array_new(FALSE, FALSE, sizeof(sim_peer_msg_t));
	sim->engines = g_ptr_array_new();
	for (unsigned int i = 0; i < site->engines; i++) {
		char *id = g_strdup_printf("vm-%u", i);
		char *zone = g_strdup_printf("zone-%u", i % site->zones);

		g_ptr_array_add(sim->engines, fake_engine_create(id, zone));
		g_free(id);
		g_free(zone);
	}
	sim->now = WARM_UP;
	if (policy == POLICY_ENTRY)
		entries_create(sim, seed);
	return sim;
}

/* Frees a simulation. */
void sim_destroy(sim_t *sim)
{
	if (sim->policy == POLICY_ENTRY)
		entries_destroy(sim);
	for (unsigned int i = 0; i < sim->site->engines; i++)
		fake_engine_destroy(sim_engine(sim, i));
	g_ptr_array_unref(sim->engines);
	g_array_unref(sim->messages);
	g_hash_table_unref(sim->calls_by_body);
	scenario_calls_free(sim->calls);
	g_rand_free(sim->rand);
	g_free(sim);
}

typedef struct token_ctx {
	sim_t *sim;
	unsigned int engine;
} token_ctx_t;

/* Reports a token of an engine to the policy that sent the job. */
static void on_token(void *ctx, const job_t *job, bool last)
{
	token_ctx_t *token_ctx = ctx;

	if (token_ctx->sim->policy != POLICY_ENTRY) {
		baseline_on_token(token_ctx->sim, job, token_ctx->engine, last);
		return;
	}
	if (job->offset == 0)
		entries_report_load(token_ctx->sim, job, token_ctx->engine);
	entries_report_upstream(token_ctx->sim, job, UPSTREAM_TOKEN);
	if (last)
		entries_report_upstream(token_ctx->sim, job, UPSTREAM_END);
}

/* Terminates the VM of an engine: all of its streams break. */
static void terminate_engine(sim_t *sim, unsigned int index)
{
	fake_engine_t *engine = sim_engine(sim, index);
	GPtrArray *lost[] = { engine->running, engine->waiting };

	engine->terminated = true;
	sim->vms_changed = true;
	for (size_t i = 0; i < G_N_ELEMENTS(lost); i++) {
		while (lost[i]->len) {
			job_t *job = g_ptr_array_steal_index(lost[i], 0);

			if (sim->policy == POLICY_ENTRY)
				entries_report_upstream(sim, job, UPSTREAM_FAILED);
			else
				baseline_on_engine_lost(sim, job, index);
			g_free(job);
		}
	}
}

/*
 * Sends the reclaim notices that are due, and terminates the VMs whose notice
 * period has ended.
 */
static void reclaim_zones(sim_t *sim, pd_time_t start)
{
	for (unsigned int i = 0; i < sim->site->engines; i++) {
		fake_engine_t *engine = sim_engine(sim, i);
		unsigned int zone = i % sim->site->zones;
		pd_time_t at = start + RECLAIM_AT + zone * RECLAIM_INTERVAL;

		if (zone >= sim->scenario->reclaimed_zones || engine->terminated)
			continue;
		if (!engine->leaves_at && sim->now >= at) {
			engine->leaves_at = at + RECLAIM_NOTICE;
			sim->vms_changed = true;
		}
		if (engine->leaves_at && sim->now >= engine->leaves_at)
			terminate_engine(sim, i);
	}
}

/* Sends the calls that have arrived by now, each to a random entry. */
static void send_due_calls(sim_t *sim, unsigned int *next, pd_time_t start)
{
	while (*next < sim->calls->len &&
	       start + sim_call(sim, *next)->at <= sim->now) {
		unsigned int entry =
			(unsigned int)g_rand_int_range(sim->rand, 0,
						       (gint32)sim->site->entries);
		unsigned int index = (*next)++;

		if (sim->scenario->kind == SCENARIO_UNEVEN)
			entry = 0;
		sim_call(sim, index)->at += start;
		if (sim->policy == POLICY_ENTRY)
			entries_submit(sim, entry, index);
		else
			baseline_submit(sim, entry, index);
	}
}

/* Advances engines, reclaims, entries and callers by one step. */
static void step(sim_t *sim, unsigned int *next, pd_time_t start)
{
	for (unsigned int i = 0; i < sim->site->engines; i++) {
		token_ctx_t token_ctx = { sim, i };

		if (sim->now % SNAPSHOT_PERIOD == 0)
			fake_engine_snapshot(sim_engine(sim, i));
		fake_engine_step(sim_engine(sim, i), sim->now, on_token,
				 &token_ctx);
	}
	reclaim_zones(sim, start);
	if (sim->policy == POLICY_ENTRY && sim->now % TICK_PERIOD == 0)
		entries_tick(sim);
	send_due_calls(sim, next, start);
}

/* Runs the simulation until DRAIN_TIME after the last call. */
void sim_run(sim_t *sim)
{
	pd_time_t start = 2 * WARM_UP;
	pd_time_t end = start + sim->scenario->duration + DRAIN_TIME;
	unsigned int next = 0;

	for (; sim->now < end; sim->now += STEP)
		step(sim, &next, start);
}
