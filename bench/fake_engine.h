/*
 * A fake model engine on a simulated clock: continuous batching in iterations,
 * a small LRU prefix cache, a history of load snapshots and a log of cache
 * events, from which the simulation delivers delayed and incomplete reports.
 */
#ifndef PISTACHIO_BENCH_FAKE_ENGINE_H
#define PISTACHIO_BENCH_FAKE_ENGINE_H

#include <glib.h>

#include "core/bundle.h"
#include "ports/upstream.h"

#define ENGINE_SLOTS 16
#define ENGINE_CHUNK_TOKENS \
	128 /* prompt tokens prefilled per iteration, at most */
#define ENGINE_CACHE_PREFIXES 12 /* capacity, in prefixes */
#define ENGINE_BASE_MS 12.0 /* fixed cost of an iteration */
#define ENGINE_TOKEN_MS 0.25 /* for each stream in the batch */
#define ENGINE_PREFILL_MS 0.1 /* for each prefilled token */
#define PREFIX_TOKENS 256
#define SNAPSHOT_PERIOD (100 * PD_MSEC)
#define SNAPSHOT_COUNT 128

/* One attempt as the engine sees it. */
typedef struct job {
	attempt_id_t attempt;
	unsigned int entry; /* index of the sender */
	unsigned int call; /* index of the caller's request */
	priority_t priority;
	unsigned int prompt; /* tokens, including those already emitted */
	uint64_t prefix;
	bool is_retry; /* an earlier attempt computed the prompt */
	unsigned int offset; /* index of the next token */
	unsigned int end;
	unsigned int prefill_left;
} job_t;

typedef struct timed_cache_event {
	cache_event_t event;
	pd_time_t at;
} timed_cache_event_t;

typedef struct fake_engine {
	char *id;
	char *zone;
	bool terminated;
	pd_time_t leaves_at; /* 0: not being reclaimed */
	pd_time_t iteration_ends; /* 0: idle */
	GPtrArray *running; /* of job_t, owned */
	GPtrArray *waiting; /* of job_t, owned; most urgent first */
	uint64_t cache[ENGINE_CACHE_PREFIXES]; /* most recently used first */
	GArray *cache_events; /* of cache_note_t, oldest first */
	unsigned int load[SNAPSHOT_COUNT]; /* running jobs at each snapshot */
	unsigned int queue[SNAPSHOT_COUNT];
	unsigned int snapshots;
	uint64_t recomputed; /* prompt tokens computed more than once */
	uint64_t admitted;
	uint64_t hits; /* in the prefix cache */
} fake_engine_t;

/* Called for each token; LAST is true for the final one of a job. */
typedef void engine_token_fn_t(void *ctx, const job_t *job, bool last);

fake_engine_t *fake_engine_create(const char *id, const char *zone);
void fake_engine_destroy(fake_engine_t *engine);
void fake_engine_submit(fake_engine_t *engine, const job_t *job, pd_time_t now);
bool fake_engine_cancel(fake_engine_t *engine, unsigned int entry,
			attempt_id_t attempt);
void fake_engine_step(fake_engine_t *engine, pd_time_t now,
		      engine_token_fn_t *on_token, void *ctx);
void fake_engine_snapshot(fake_engine_t *engine);
unsigned int fake_engine_jobs(const fake_engine_t *engine);

#endif
