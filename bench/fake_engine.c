/* Batching and the prefix cache of the fake engine. */
#include "bench/fake_engine.h"

#include <string.h>

/* Creates an idle engine with an empty cache. The caller owns it. */
fake_engine_t *fake_engine_create(const char *id, const char *zone)
{
	fake_engine_t *engine = g_new0(fake_engine_t, 1);

	engine->id = g_strdup(id);
	engine->zone = g_strdup(zone);
	engine->running = g_ptr_array_new_with_free_func(g_free);
	engine->waiting = g_ptr_array_new_with_free_func(g_free);
	engine->cache_events =
		g_array_new(FALSE, FALSE, sizeof(timed_cache_event_t));
	return engine;
}

/* Frees an engine and its jobs. */
void fake_engine_destroy(fake_engine_t *engine)
{
	g_ptr_array_unref(engine->running);
	g_ptr_array_unref(engine->waiting);
	g_array_unref(engine->cache_events);
	g_free(engine->id);
	g_free(engine->zone);
	g_free(engine);
}

/* Returns the number of running and waiting jobs. */
unsigned int fake_engine_jobs(const fake_engine_t *engine)
{
	return engine->running->len + engine->waiting->len;
}

/* Records that PREFIX was added to the cache or evicted from it at NOW. */
static void record_cache_event(fake_engine_t *engine, uint64_t prefix,
			       bool cached, pd_time_t now)
{
	timed_cache_event_t entry = { { prefix, cached }, now };

	g_array_append_val(engine->cache_events, entry);
}

/*
 * Looks up PREFIX and makes it the most recently used, evicting the least
 * recently used one on a miss. Returns whether it was cached.
 */
static bool cache_access(fake_engine_t *engine, uint64_t prefix, pd_time_t now)
{
	unsigned int at = 0;
	bool cached;

	while (at < ENGINE_CACHE_PREFIXES - 1 && engine->cache[at] != prefix)
		at++;
	cached = engine->cache[at] == prefix;
	if (!cached && engine->cache[at])
		record_cache_event(engine, engine->cache[at], false, now);
	memmove(&engine->cache[1], &engine->cache[0], at * sizeof(uint64_t));
	engine->cache[0] = prefix;
	if (!cached)
		record_cache_event(engine, prefix, true, now);
	return cached;
}

/* Queues a copy of JOB behind waiting jobs of the same or a higher priority. */
void fake_engine_submit(fake_engine_t *engine, const job_t *job, pd_time_t now)
{
	job_t *copy = g_memdup2(job, sizeof(*job));
	guint at = engine->waiting->len;

	while (at > 0) {
		const job_t *before = g_ptr_array_index(engine->waiting, at - 1);

		if (before->priority <= job->priority)
			break;
		at--;
	}
	g_ptr_array_insert(engine->waiting, (gint)at, copy);
	if (!engine->iteration_ends)
		engine->iteration_ends = now;
}

/* Removes and frees the job of an attempt. Returns false if JOBS has none. */
static bool remove_job(GPtrArray *jobs, unsigned int entry, attempt_id_t attempt)
{
	for (guint i = 0; i < jobs->len; i++) {
		const job_t *job = g_ptr_array_index(jobs, i);

		if (job->entry == entry && job->attempt == attempt) {
			g_ptr_array_remove_index(jobs, i);
			return true;
		}
	}
	return false;
}

/* Cancels an attempt. Returns false if the engine has no such job. */
bool fake_engine_cancel(fake_engine_t *engine, unsigned int entry,
			attempt_id_t attempt)
{
	return remove_job(engine->running, entry, attempt) ||
	       remove_job(engine->waiting, entry, attempt);
}

/*
 * Moves waiting jobs into free slots and accounts for prefix cache hits and
 * recomputed prompt tokens.
 */
static void admit(fake_engine_t *engine, pd_time_t now)
{
	while (engine->running->len < ENGINE_SLOTS && engine->waiting->len) {
		job_t *job = g_ptr_array_steal_index(engine->waiting, 0);

		job->prefill_left = job->prompt;
		engine->admitted++;
		if (cache_access(engine, job->prefix, now)) {
			job->prefill_left -= MIN(job->prompt, PREFIX_TOKENS);
			engine->hits++;
		}
		if (job->is_retry)
			engine->recomputed += job->prefill_left;
		g_ptr_array_add(engine->running, job);
	}
}

/*
 * Completes the current iteration: every stream whose prompt is prefilled emits
 * one token.
 */
static void finish_iteration(fake_engine_t *engine, engine_token_fn_t *on_token,
			     void *ctx)
{
	for (guint i = engine->running->len; i-- > 0;) {
		job_t *job = g_ptr_array_index(engine->running, i);
		job_t done = *job;

		if (job->prefill_left > 0)
			continue;
		job->offset++;
		if (job->offset >= job->end)
			g_ptr_array_remove_index(engine->running, i);
		on_token(ctx, &done, done.offset + 1 >= done.end);
	}
}

/*
 * Starts an iteration, which prefills prompts in order of priority. Returns its
 * duration.
 */
static pd_time_t start_iteration(fake_engine_t *engine)
{
	unsigned int chunk = ENGINE_CHUNK_TOKENS;
	double ms = ENGINE_BASE_MS + ENGINE_TOKEN_MS * engine->running->len;

	for (priority_t priority = 0; priority < PRIORITIES; priority++) {
		for (guint i = 0; i < engine->running->len; i++) {
			job_t *job = g_ptr_array_index(engine->running, i);
			unsigned int part = MIN(job->prefill_left, chunk);

			if (job->priority != priority)
				continue;
			job->prefill_left -= part;
			chunk -= part;
		}
	}
	ms += ENGINE_PREFILL_MS * (ENGINE_CHUNK_TOKENS - chunk);
	return (pd_time_t)(ms * PD_MSEC);
}

/* Advances the engine to NOW and calls ON_TOKEN for each token emitted. */
void fake_engine_step(fake_engine_t *engine, pd_time_t now,
		      engine_token_fn_t *on_token, void *ctx)
{
	if (engine->terminated || !engine->iteration_ends ||
	    now < engine->iteration_ends)
		return;
	finish_iteration(engine, on_token, ctx);
	admit(engine, now);
	if (!engine->running->len) {
		engine->iteration_ends = 0;
		return;
	}
	engine->iteration_ends = now + start_iteration(engine);
}

/* Records the current load, which is reported later. */
void fake_engine_snapshot(fake_engine_t *engine)
{
	unsigned int at = engine->snapshots++ % SNAPSHOT_COUNT;

	engine->load[at] = engine->running->len;
	engine->queue[at] = engine->waiting->len;
}
