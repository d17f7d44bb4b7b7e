/*
 * Common routing policies as baselines: entries do not cooperate, there is no
 * admission control and no queue, and load, cache contents and reclaim notices
 * are ignored. A stream whose engine is lost restarts from the first token.
 */
#include "bench/sim.h"

#include <string.h>

#include "core/hash.h"

/* Returns whether the engine has not been terminated. */
static bool is_usable(const sim_t *sim, unsigned int engine)
{
	return !sim_engine(sim, engine)->terminated;
}

/* Returns the next usable engine of an entry in turn. */
static unsigned int round_robin(sim_t *sim, unsigned int entry)
{
	unsigned int count = sim->site->engines;

	do {
		sim->next_engine[entry] = (sim->next_engine[entry] + 1) % count;
	} while (!is_usable(sim, sim->next_engine[entry]));
	return sim->next_engine[entry];
}

/*
 * Returns the engine to which the entry has the fewest outstanding requests.
 * The search starts at a rotating position: otherwise every entry would prefer
 * the first engines on ties.
 */
static unsigned int least_outstanding(sim_t *sim, unsigned int entry)
{
	unsigned int best = round_robin(sim, entry);

	for (unsigned int i = 0; i < sim->site->engines; i++) {
		if (is_usable(sim, i) &&
		    sim->outstanding[entry][i] < sim->outstanding[entry][best])
			best = i;
	}
	return best;
}

/*
 * Returns the usable engine with the highest rendezvous weight for the prefix.
 */
static unsigned int prefix_affinity(const sim_t *sim, uint64_t prefix)
{
	char *text = g_strdup_printf("%" G_GUINT64_FORMAT, prefix);
	unsigned int best = 0;
	uint64_t best_weight = 0;

	for (unsigned int i = 0; i < sim->site->engines; i++) {
		uint64_t weight = hash_pair(text, sim_engine(sim, i)->id);

		if (is_usable(sim, i) && weight >= best_weight) {
			best = i;
			best_weight = weight;
		}
	}
	g_free(text);
	return best;
}

/* Sends a call, from its first token, to the engine that the policy selects. */
void baseline_submit(sim_t *sim, unsigned int entry, unsigned int index)
{
	call_t *call = sim_call(sim, index);
	job_t job = { .attempt = index + 1,
		      .entry = entry,
		      .call = index,
		      .priority = PRIORITY_NORMAL,
		      .prompt = call->prompt,
		      .prefix = call->prefix,
		      .is_retry = call->attempts++ > 0,
		      .end = call->tokens };
	unsigned int engine;

	switch (sim->policy) {
	case POLICY_LEAST_OUTSTANDING:
		engine = least_outstanding(sim, entry);
		break;
	case POLICY_PREFIX:
		engine = prefix_affinity(sim, call->prefix);
		break;
	default:
		engine = round_robin(sim, entry);
		break;
	}
	sim->outstanding[entry][engine]++;
	fake_engine_submit(sim_engine(sim, engine), &job, sim->now);
}

/* Records a token. One that the caller already has counts as recomputed. */
void baseline_on_token(sim_t *sim, const job_t *job, unsigned int engine, bool last)
{
	call_t *call = sim_call(sim, job->call);

	if (job->offset < call->received_tokens) {
		sim_engine(sim, engine)->recomputed++;
	} else {
		call->received_tokens++;
		if (!call->first_at)
			call->first_at = sim->now;
	}
	if (last) {
		call->done_at = sim->now;
		sim->outstanding[job->entry][engine]--;
	}
}

/* Restarts a stream whose engine was lost. */
void baseline_on_engine_lost(sim_t *sim, const job_t *job, unsigned int engine)
{
	sim->outstanding[job->entry][engine]--;
	baseline_submit(sim, job->entry, job->call);
}
