/*
 * Measures the tokens recomputed when a zone is reclaimed under full load, under
 * three policies: moving streams before the reclaim, resuming from the text
 * without KV exports or cache events, and restarting every response. One entry
 * core runs against small fake engines on a simulated clock, so that results are
 * reproducible. Prints CSV. SEED=N seeds the prompts; NOTICE_MS=N, a multiple of
 * 20, is the time from the notice to the reclaim.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/prefix.h"
#include "tests/harness/drive.h"

#define ENGINE_COUNT 12
#define ZONE_COUNT 4
#define SLOTS_PER_ENGINE 16
#define STREAM_COUNT 120
#define DOCUMENT_COUNT 12 /* shared prompt prefixes */
#define DOCUMENT_BYTES 6000
#define QUESTION_BYTES 400
#define BASE_TOKENS 800
#define TOKEN_GAP (20 * PD_MSEC)
#define STEP (20 * PD_MSEC) /* of the entry and the engines */
#define PREFILL_TOKEN_US 300 /* prefill of one token */
#define TRANSFER_TOKEN_US 30 /* KV import of one token */
#define CACHE_BLOCKS 2400 /* per engine; about 25 prompts */
#define RECLAIM_AT (8 * PD_SEC)
#define NOTICE_MS_DEFAULT 5000
#define END_AT (300 * PD_SEC)
#define TOKEN_TEXT "x"

typedef enum policy {
	POLICY_MOVES,
	POLICY_TEXT_ONLY, /* resumes broken streams; no notice, export or events */
	POLICY_RESTART, /* the same, but attempts start at token 0 */
	POLICY_COUNT
} policy_t;

static const char *const policy_names[POLICY_COUNT] = { "moves", "text-only",
							"restart" };

typedef struct engine {
	char id[16];
	char zone[16];
	bool terminated;
	pd_time_t busy_until;
	GHashTable *cache; /* prefix -> NULL */
	GQueue cached_blocks; /* oldest first */
	GArray *cache_events; /* of cache_event_t, not reported yet */
	unsigned int running;
} engine_t;

/* One attempt on an engine. */
typedef struct job {
	list_node_t node;
	attempt_id_t attempt;
	engine_t *engine;
	char *text; /* prompt and the text emitted so far */
	uint64_t offset;
	uint64_t from; /* first token that the engine generates */
	uint64_t end;
	pd_time_t starts_at;
	pd_time_t next_at;
	unsigned int recomputed;
	bool started;
} job_t;

typedef struct bench {
	drive_t *drive;
	policy_t policy;
	pd_time_t notice;
	GRand *rand;
	engine_t engines[ENGINE_COUNT];
	list_node_t jobs;
	unsigned int completed;
	unsigned int refused;
	bool reclaim_started; /* count recomputed tokens from now on */
	uint64_t recomputed; /* tokens prefilled or generated again */
	uint64_t moved;
	pd_time_t last_end;
	pd_time_t longest_setup; /* of the moved streams */
} bench_t;

/* Records that PREFIX was cached or evicted, until the next load report. */
static void record_cache_event(engine_t *engine, uint64_t prefix, bool cached)
{
	cache_event_t event = { prefix, cached };

	g_array_append_val(engine->cache_events, event);
}

/*
 * Adds the prefix blocks of TEXT to the cache, and evicts the oldest ones
 * beyond its capacity.
 */
static void cache_add(engine_t *engine, const char *text)
{
	uint64_t hashes[PREFIX_BLOCKS_MAX];
	size_t count = prefix_hashes(text, strlen(text), hashes, PREFIX_BLOCKS_MAX);

	for (size_t i = 0; i < count; i++) {
		uint64_t *prefix;

		if (g_hash_table_contains(engine->cache, &hashes[i]))
			continue;
		prefix = g_memdup2(&hashes[i], sizeof(hashes[i]));
		g_hash_table_add(engine->cache, prefix);
		g_queue_push_tail(&engine->cached_blocks, prefix);
		record_cache_event(engine, hashes[i], true);
	}
	while (g_queue_get_length(&engine->cached_blocks) > CACHE_BLOCKS) {
		uint64_t *prefix = g_queue_pop_head(&engine->cached_blocks);

		record_cache_event(engine, *prefix, false);
		g_hash_table_remove(engine->cache, prefix);
	}
}

/* Returns the number of leading tokens of TEXT that are cached. */
static unsigned int cache_count_tokens(const engine_t *engine, const char *text)
{
	uint64_t hashes[PREFIX_BLOCKS_MAX];
	size_t count = prefix_hashes(text, strlen(text), hashes, PREFIX_BLOCKS_MAX);
	size_t cached = 0;

	while (cached < count &&
	       g_hash_table_contains(engine->cache, &hashes[cached]))
		cached++;
	return (unsigned int)(cached * PREFIX_BLOCK_BYTES / PREFIX_BYTES_PER_TOKEN);
}

/* Returns the engine with that id, borrowed, or NULL. */
static engine_t *find_engine(bench_t *bench, const char *id)
{
	for (unsigned int i = 0; i < ENGINE_COUNT; i++) {
		if (!strcmp(bench->engines[i].id, id))
			return &bench->engines[i];
	}
	return NULL;
}

/* Returns whether the engine that is to export the KV cache still exists. */
static bool can_import_kv(bench_t *bench, const dispatch_t *dispatch)
{
	if (!dispatch->kv_address || bench->policy != POLICY_MOVES)
		return false;
	return !bench->engines[dispatch->kv_port].terminated;
}

/*
 * Starts a dispatch on its engine, and computes its setup time and recomputed
 * tokens.
 */
static void job_create(bench_t *bench, const dispatch_t *dispatch)
{
	job_t *job = g_new0(job_t, 1);
	pd_time_t now = bench->drive->now;
	gsize len;
	const char *prompt = g_bytes_get_data(dispatch->body, &len);
	bool restart = bench->policy == POLICY_RESTART;
	char *text = g_strndup(prompt, len);
	unsigned int context_tokens;
	pd_time_t setup_time;

	list_init(&job->node);
	job->attempt = dispatch->attempt;
	job->engine = find_engine(bench, dispatch->vm_id);
	job->text = g_strconcat(text, restart ? "" : dispatch->emitted, NULL);
	job->offset = restart ? 0 : dispatch->offset;
	job->from = job->offset;
	job->end = dispatch->max_tokens;
	context_tokens = (unsigned int)(len / PREFIX_BYTES_PER_TOKEN + job->offset);
	job->recomputed = context_tokens;
	job->recomputed -=
		MIN(cache_count_tokens(job->engine, job->text), context_tokens);
	setup_time = job->recomputed * PREFILL_TOKEN_US;
	if (can_import_kv(bench, dispatch)) {
		job->recomputed = 0;
		setup_time = context_tokens * TRANSFER_TOKEN_US;
	}
	job->engine->busy_until = MAX(now, job->engine->busy_until) + setup_time;
	job->starts_at = job->engine->busy_until;
	job->engine->running++;
	if (bench->reclaim_started) {
		bench->moved++;
		bench->recomputed += job->recomputed;
		/* The tokens that the caller has are generated again. */
		if (restart)
			bench->recomputed += dispatch->offset;
		bench->longest_setup =
			MAX(bench->longest_setup, job->starts_at - now);
	}
	list_append(&bench->jobs, &job->node);
	g_free(text);
}

/* Removes a job from its engine and frees it. */
static void job_destroy(job_t *job)
{
	list_remove(&job->node);
	job->engine->running--;
	g_free(job->text);
	g_free(job);
}

/* Removes the job of an attempt, if there is one. */
static void job_cancel(bench_t *bench, attempt_id_t attempt)
{
	LIST_FOR_EACH_SAFE (it, &bench->jobs) {
		job_t *job = LIST_ENTRY(it, job_t, node);

		if (job->attempt == attempt)
			job_destroy(job);
	}
}

/* Starts a dispatch. A terminated engine refuses the connection. */
static void handle_dispatch(bench_t *bench, const dispatch_t *dispatch)
{
	if (find_engine(bench, dispatch->vm_id)->terminated)
		drive_upstream(bench->drive, UPSTREAM_FAILED, dispatch->attempt,
			       0, false);
	else
		job_create(bench, dispatch);
}

/* Performs and frees the actions of the entry. */
static void handle_actions(bench_t *bench)
{
	list_node_t *node;

	while ((node = list_pop(&bench->drive->actions))) {
		action_t *action = LIST_ENTRY(node, action_t, node);

		if (action->kind == ACTION_DISPATCH)
			handle_dispatch(bench, &action->dispatch);
		else if (action->kind == ACTION_CANCEL)
			job_cancel(bench, action->attempt);
		else if (action->kind == ACTION_END)
			bench->completed++;
		else if (action->kind == ACTION_REFUSE)
			bench->refused++;
		if (action->kind == ACTION_END)
			bench->last_end = bench->drive->now;
		action_destroy(action);
	}
}

/* Reports that an attempt has started, with the tokens it recomputed. */
static void report_started(bench_t *bench, job_t *job)
{
	event_t event = { .kind = EVENT_UPSTREAM,
			  .upstream = { .kind = UPSTREAM_STARTED,
					.attempt = job->attempt,
					.recomputed = job->recomputed } };

	job->started = true;
	job->next_at = job->starts_at + TOKEN_GAP;
	cache_add(job->engine, job->text);
	drive_event(bench->drive, &event);
}

/* Reports one token of an attempt. */
static void report_token(bench_t *bench, attempt_id_t attempt, uint64_t offset)
{
	event_t event = { .kind = EVENT_UPSTREAM,
			  .upstream = { .kind = UPSTREAM_TOKEN,
					.attempt = attempt,
					.offset = offset,
					.data = TOKEN_TEXT,
					.len = strlen(TOKEN_TEXT) } };

	drive_event(bench->drive, &event);
}

/* Reports the start, the tokens and the end of a job as they are due. */
static void job_run(bench_t *bench, job_t *job)
{
	pd_time_t now = bench->drive->now;

	if (!job->started && now >= job->starts_at)
		report_started(bench, job);
	while (job->started && now >= job->next_at) {
		if (job->offset >= job->end) {
			drive_upstream(bench->drive, UPSTREAM_END, job->attempt,
				       0, true);
			return;
		}
		report_token(bench, job->attempt, job->offset++);
		job->next_at += TOKEN_GAP;
	}
}

/* Reports the load of an engine and, under POLICY_MOVES, its cache events. */
static void report_load(bench_t *bench, engine_t *engine, bool leaving)
{
	event_t event = { .kind = EVENT_LOAD,
			  .load = { .vm_id = engine->id,
				    .answered = !engine->terminated,
				    .leaving = leaving,
				    .leaves_in = bench->notice,
				    .running = engine->running } };

	if (bench->policy == POLICY_MOVES) {
		event.load.cache =
			(const cache_event_t *)(void *)engine->cache_events->data;
		event.load.cache_count = engine->cache_events->len;
	}
	drive_event(bench->drive, &event);
	g_array_set_size(engine->cache_events, 0);
}

/* Sends the entry a VM list with all engines. */
static void send_vm_list(bench_t *bench)
{
	vm_t *vms = g_new0(vm_t, ENGINE_COUNT);
	event_t event = { .kind = EVENT_VM_LIST };

	for (unsigned int i = 0; i < ENGINE_COUNT; i++) {
		vms[i] = (vm_t){ .id = bench->engines[i].id,
				 .zone = bench->engines[i].zone,
				 .machine_class = (char *)"any",
				 .address = (char *)"127.0.0.1",
				 .port = (uint16_t)i,
				 .role = VM_MODEL,
				 .state = VM_LIVE,
				 .slots = SLOTS_PER_ENGINE,
				 .serves = (char *)"m" };
	}
	event.vm_list.vms = vms;
	event.vm_list.count = ENGINE_COUNT;
	drive_event(bench->drive, &event);
	g_free(vms);
}

/* Returns a prompt: shared document and random question. The caller owns it. */
static char *make_prompt(bench_t *bench, unsigned int number)
{
	GString *prompt = g_string_new(NULL);
	unsigned int document = number % DOCUMENT_COUNT;

	while (prompt->len < DOCUMENT_BYTES)
		g_string_append_printf(prompt, "document %u line %u. ",
				       document, (unsigned int)prompt->len);
	g_string_truncate(prompt, DOCUMENT_BYTES);
	while (prompt->len < DOCUMENT_BYTES + QUESTION_BYTES)
		g_string_append_printf(prompt, "%08x", g_rand_int(bench->rand));
	return g_string_free(prompt, FALSE);
}

/* Sends request NUMBER with a random response length. */
static void send_request(bench_t *bench, unsigned int number)
{
	char *prompt = make_prompt(bench, number);
	GBytes *body = g_bytes_new_take(prompt, strlen(prompt));
	event_t event = { .kind = EVENT_REQUEST,
			  .request = { .caller = number + 1,
				       .kind = TARGET_MODEL,
				       .key_hash = DRIVE_KEY_HASH,
				       .target = "m",
				       .path = "/",
				       .body = body,
				       .max_tokens = (unsigned int)g_rand_int_range(
					       bench->rand, BASE_TOKENS / 4,
					       2 * BASE_TOKENS) } };

	drive_event(bench->drive, &event);
	g_bytes_unref(body);
	handle_actions(bench);
}

/* Returns whether the engine is in the zone that is reclaimed. */
static bool in_first_zone(const engine_t *engine)
{
	return !strcmp(engine->zone, "zone-a");
}

/* Terminates the engines of the first zone, and breaks their streams. */
static void terminate_zone(bench_t *bench)
{
	for (unsigned int i = 0; i < ENGINE_COUNT; i++)
		bench->engines[i].terminated |= in_first_zone(&bench->engines[i]);
	LIST_FOR_EACH_SAFE (it, &bench->jobs) {
		job_t *job = LIST_ENTRY(it, job_t, node);

		if (job->engine->terminated)
			drive_upstream(bench->drive, UPSTREAM_FAILED,
				       job->attempt, 0, true);
	}
	handle_actions(bench);
}

/* Advances the simulation by one step. Loads are reported every second. */
static void step(bench_t *bench, pd_time_t elapsed)
{
	drive_tick(bench->drive, STEP);
	handle_actions(bench);
	LIST_FOR_EACH_SAFE (it, &bench->jobs) {
		job_t *job = LIST_ENTRY(it, job_t, node);

		if (!job->engine->terminated)
			job_run(bench, job);
	}
	handle_actions(bench);
	if (elapsed % PD_SEC == 0) {
		for (unsigned int i = 0; i < ENGINE_COUNT; i++)
			report_load(bench, &bench->engines[i], false);
		handle_actions(bench);
	}
}

/* Reports the reclaim notice for the first zone, under POLICY_MOVES only. */
static void send_notice(bench_t *bench)
{
	bench->reclaim_started = true;
	/* The other policies ignore notices. */
	for (unsigned int i = 0; i < ENGINE_COUNT; i++) {
		if (in_first_zone(&bench->engines[i]) &&
		    bench->policy == POLICY_MOVES)
			report_load(bench, &bench->engines[i], true);
	}
}

/* Initializes a simulation. */
static void create(bench_t *bench, policy_t policy, uint32_t seed)
{
	bench->policy = policy;
	bench->rand = g_rand_new_with_seed(seed);
	bench->drive = drive_create("entry-1", "zone-b", seed);
	list_init(&bench->jobs);
	for (unsigned int i = 0; i < ENGINE_COUNT; i++) {
		engine_t *engine = &bench->engines[i];

		snprintf(engine->id, sizeof(engine->id), "m-%u", i + 1);
		snprintf(engine->zone, sizeof(engine->zone), "zone-%c",
			 'a' + (char)(i % ZONE_COUNT));
		engine->cache = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						      g_free, NULL);
		engine->cache_events =
			g_array_new(FALSE, FALSE, sizeof(cache_event_t));
	}
	drive_bundle(bench->drive, 1);
	send_vm_list(bench);
	handle_actions(bench);
}

/* Frees the contents of a simulation. */
static void destroy(bench_t *bench)
{
	LIST_FOR_EACH_SAFE (it, &bench->jobs)
		job_destroy(LIST_ENTRY(it, job_t, node));
	for (unsigned int i = 0; i < ENGINE_COUNT; i++) {
		g_queue_clear(&bench->engines[i].cached_blocks);
		g_hash_table_unref(bench->engines[i].cache);
		g_array_unref(bench->engines[i].cache_events);
	}
	drive_destroy(bench->drive);
	g_rand_free(bench->rand);
}

/* Runs one simulation and prints its result as a line of CSV. */
static void run(policy_t policy, uint32_t seed, uint32_t notice_ms)
{
	bench_t bench = { .notice = notice_ms * PD_MSEC };
	unsigned int requests_sent = 0;
	pd_time_t started_at;

	create(&bench, policy, seed);
	started_at = bench.drive->now;
	for (pd_time_t at = 0; at < END_AT; at += STEP) {
		if (requests_sent < STREAM_COUNT)
			send_request(&bench, requests_sent++);
		if (at == RECLAIM_AT)
			send_notice(&bench);
		if (at == RECLAIM_AT + bench.notice)
			terminate_zone(&bench);
		step(&bench, at);
		if (bench.completed + bench.refused == STREAM_COUNT)
			break;
	}
	printf("%u,%u,%s,%u,%u,%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT
	       ",%.0f,%.1f\n",
	       seed, notice_ms, policy_names[policy], bench.completed,
	       bench.refused, bench.moved, bench.recomputed,
	       (double)bench.longest_setup / PD_MSEC,
	       (double)(bench.last_end - started_at) / PD_SEC);
	destroy(&bench);
}

/* Returns an environment variable as a number, or FALLBACK if it is unset. */
static uint32_t get_env_number(const char *name, uint32_t fallback)
{
	const char *text = getenv(name);

	return text ? (uint32_t)strtoul(text, NULL, 10) : fallback;
}

int main(void)
{
	uint32_t seed = get_env_number("SEED", 1);
	uint32_t notice_ms = get_env_number("NOTICE_MS", NOTICE_MS_DEFAULT);

	printf("seed,notice_ms,policy,whole,refused,moved,recomputed_tokens,"
	       "longest_setup_ms,last_end_s\n");
	for (int policy = 0; policy < POLICY_COUNT; policy++)
		run((policy_t)policy, seed, notice_ms);
	return 0;
}
