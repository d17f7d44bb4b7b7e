/*
 * Measures how many non-repeatable calls per second complete when the store
 * accepts 300 writes per second in total. The claim state machines run against a
 * fake store on a simulated clock, so results do not depend on the machine.
 * Prints CSV.
 */
#include <stdio.h>
#include <string.h>

#include "core/claims.h"
#include "ports/event.h"

#define STORE_WRITES 300 /* per second */
#define STORE_BURST 30
#define STORE_DELAY (3 * PD_MSEC) /* one way */
#define SERVICE_TIME (20 * PD_MSEC) /* of a call */
#define STEP PD_MSEC
#define RUN_TIME (20 * PD_SEC)
#define RETENTION (24 * 3600 * PD_SEC)
#define ENTRIES_MAX 48
#define LATENCY_BUCKETS 8192 /* of one millisecond */

typedef struct object {
	uint64_t version;
	claim_table_t *table;
} object_t;

/* A read or write in transit to the store or, once processed, back. */
typedef struct message {
	list_node_t node;
	unsigned int entry;
	action_t *action;
	pd_time_t due;
	bool processed;
	store_reply_t reply;
} message_t;

/* A call that has acquired its claim and runs. */
typedef struct running {
	list_node_t node;
	unsigned int entry;
	uint64_t ticket;
	pd_time_t ends;
} running_t;

typedef struct bench {
	unsigned int entries;
	claims_t *claims[ENTRIES_MAX];
	GHashTable *objects; /* name -> object_t */
	list_node_t messages;
	list_node_t running;
	GArray *started_at; /* ticket -> pd_time_t */
	pd_time_t now;
	double tokens;
	uint64_t version;
	unsigned int writes;
	unsigned int conflicts;
	unsigned int rate_limited;
	unsigned int completed;
	unsigned int not_run;
	unsigned int latency[LATENCY_BUCKETS];
} bench_t;

/* Returns the idempotency key of a ticket. The caller owns it. */
static char *ticket_key(uint64_t ticket)
{
	return g_strdup_printf("key-%" G_GUINT64_FORMAT, ticket);
}

/* Frees an object, for GHashTable. */
static void object_free(void *data)
{
	object_t *object = data;

	claim_table_destroy(object->table);
	g_free(object);
}

/* Returns the object NAME, borrowed, and creates it if it is missing. */
static object_t *bench_get_object(bench_t *bench, const char *name)
{
	object_t *object = g_hash_table_lookup(bench->objects, name);

	if (!object) {
		object = g_new0(object_t, 1);
		g_hash_table_insert(bench->objects, g_strdup(name), object);
	}
	return object;
}

/*
 * Applies a write if the rate limit and the version permit it, and counts the
 * outcome.
 */
static store_status_t process_write(bench_t *bench, object_t *object,
				    const action_t *action)
{
	if (bench->tokens < 1) {
		bench->rate_limited++;
		return STORE_DOWN;
	}
	bench->tokens -= 1;
	if (object->version != action->store.version) {
		bench->conflicts++;
		return STORE_CONFLICT;
	}
	claim_table_destroy(object->table);
	object->table = claim_table_copy(action->store.table);
	object->version = ++bench->version;
	bench->writes++;
	return STORE_OK;
}

/* Processes a message at the store and sends the reply on its way. */
static void message_process(bench_t *bench, message_t *message)
{
	object_t *object = bench_get_object(bench, message->action->store.key);

	message->processed = true;
	message->due = bench->now + STORE_DELAY;
	message->reply.op = message->action->store.op;
	if (message->action->kind == ACTION_STORE_WRITE) {
		message->reply.status =
			process_write(bench, object, message->action);
	} else {
		message->reply.status = object->table ? STORE_OK : STORE_MISSING;
		if (object->table)
			message->reply.table = claim_table_copy(object->table);
	}
	message->reply.version = object->version;
}

/* Removes a message from its list and frees it. */
static void message_free(message_t *message)
{
	list_remove(&message->node);
	claim_table_destroy(message->reply.table);
	action_destroy(message->action);
	g_free(message);
}

/*
 * Processes requests that have reached the store, and delivers replies that
 * have reached their entry.
 */
static void bench_deliver_messages(bench_t *bench)
{
	LIST_FOR_EACH_SAFE (it, &bench->messages) {
		message_t *message = LIST_ENTRY(it, message_t, node);

		if (message->due > bench->now)
			continue;
		if (!message->processed) {
			message_process(bench, message);
			continue;
		}
		claims_handle_store_reply(bench->claims[message->entry],
					  &message->reply, bench->now);
		message_free(message);
	}
}

/*
 * Records the outcome of a claim, and starts the call if the claim was
 * acquired.
 */
static void bench_handle_result(bench_t *bench, unsigned int entry,
				const claim_result_t *result)
{
	pd_time_t started =
		g_array_index(bench->started_at, pd_time_t, result->ticket);
	pd_time_t waited = (bench->now - started) / PD_MSEC;
	running_t *running;

	if (result->outcome != CLAIM_WON) {
		bench->not_run++;
		return;
	}
	bench->latency[MIN(waited, LATENCY_BUCKETS - 1)]++;
	running = g_new0(running_t, 1);
	running->entry = entry;
	running->ticket = result->ticket;
	running->ends = bench->now + SERVICE_TIME;
	list_append(&bench->running, &running->node);
}

/* Runs the claims of an entry, and sends its store operations. */
static void bench_run_entry(bench_t *bench, unsigned int entry)
{
	list_node_t actions;
	list_node_t results;
	list_node_t *node;

	list_init(&actions);
	list_init(&results);
	claims_run(bench->claims[entry], bench->now, bench->now / PD_SEC,
		   &actions, &results);
	while ((node = list_pop(&actions))) {
		message_t *message = g_new0(message_t, 1);

		message->entry = entry;
		message->action = LIST_ENTRY(node, action_t, node);
		message->due = bench->now + STORE_DELAY;
		list_append(&bench->messages, &message->node);
	}
	while ((node = list_pop(&results))) {
		claim_result_t *result = LIST_ENTRY(node, claim_result_t, node);

		bench_handle_result(bench, entry, result);
		claim_result_destroy(result);
	}
}

/* Records the responses of the calls whose service time has ended. */
static void bench_complete_calls(bench_t *bench)
{
	LIST_FOR_EACH_SAFE (it, &bench->running) {
		running_t *running = LIST_ENTRY(it, running_t, node);
		char *key;

		if (running->ends > bench->now)
			continue;
		key = ticket_key(running->ticket);
		claims_complete(bench->claims[running->entry], key, key, 200,
				"{}", bench->now);
		bench->completed++;
		list_remove(&running->node);
		g_free(running);
		g_free(key);
	}
}

/* Starts a call at the next entry in turn. */
static void bench_start_call(bench_t *bench)
{
	uint64_t ticket = bench->started_at->len;
	char *key = ticket_key(ticket);

	g_array_append_val(bench->started_at, bench->now);
	claims_acquire(bench->claims[ticket % bench->entries], ticket, key, key,
		       "digest", bench->now);
	g_free(key);
}

/* Returns the time in ms within which PERCENT of the claims were acquired. */
static int bench_latency(const bench_t *bench, unsigned int percent)
{
	unsigned int total = 0;
	unsigned int seen = 0;

	for (int i = 0; i < LATENCY_BUCKETS; i++)
		total += bench->latency[i];
	for (int i = 0; i < LATENCY_BUCKETS; i++) {
		seen += bench->latency[i];
		if (seen * 100 >= total * percent)
			return i;
	}
	return LATENCY_BUCKETS;
}

/* Advances the simulation by one step, with OFFERED calls per second. */
static void bench_step(bench_t *bench, double offered)
{
	double due = offered * (double)bench->now / PD_SEC;

	bench->tokens += STORE_WRITES * (double)STEP / PD_SEC;
	bench->tokens = MIN(bench->tokens, STORE_BURST);
	while (bench->started_at->len < due)
		bench_start_call(bench);
	bench_deliver_messages(bench);
	bench_complete_calls(bench);
	for (unsigned int i = 0; i < bench->entries; i++)
		bench_run_entry(bench, i);
	bench->now += STEP;
}

/* Runs one simulation and prints its result as a line of CSV. */
static void bench_run(unsigned int entries, unsigned int offered)
{
	bench_t bench = { .entries = entries, .now = STEP };
	double seconds = (double)RUN_TIME / PD_SEC;

	bench.objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      object_free);
	bench.started_at = g_array_new(FALSE, FALSE, sizeof(pd_time_t));
	list_init(&bench.messages);
	list_init(&bench.running);
	for (unsigned int i = 0; i < entries; i++)
		bench.claims[i] = claims_create("entry", RETENTION);
	for (unsigned int i = 0; i < entries; i++)
		claims_set_entries(bench.claims[i], entries);
	while (bench.now < RUN_TIME)
		bench_step(&bench, offered);
	printf("%u,%u,%.0f,%.1f,%d,%d,%.0f,%.0f,%.0f\n", entries, offered,
	       bench.completed / seconds,
	       100.0 * bench.not_run / bench.started_at->len,
	       bench_latency(&bench, 50), bench_latency(&bench, 95),
	       bench.writes / seconds, bench.conflicts / seconds,
	       bench.rate_limited / seconds);
	LIST_FOR_EACH_SAFE (it, &bench.messages)
		message_free(LIST_ENTRY(it, message_t, node));
	LIST_FOR_EACH_SAFE (it, &bench.running)
		g_free(LIST_ENTRY(it, running_t, node));
	for (unsigned int i = 0; i < entries; i++)
		claims_destroy(bench.claims[i]);
	g_array_unref(bench.started_at);
	g_hash_table_unref(bench.objects);
}

int main(void)
{
	static const unsigned int entries[] = { 1, 6, 24 };
	static const unsigned int offered[] = { 20, 100, 200, 400 };

	puts("entries,offered_per_s,completed_per_s,not_run_percent,claim_p50_"
	     "ms,"
	     "claim_p95_ms,writes_per_s,conflicts_per_s,refused_429_per_s");
	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(offered); j++)
			bench_run(entries[i], offered[j]);
	}
	return 0;
}
