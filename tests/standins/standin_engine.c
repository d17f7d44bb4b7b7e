/*
 * Stand-in for a model engine. The tokens it generates depend only on the prompt
 * and the offset, so that an answer can be checked and resumed from any offset.
 * Prefills run one at a time and take time in proportion to the tokens missing
 * from the prefix cache. It exports and imports KV caches, queues requests by
 * priority, records what it ran, and reports its load at /load.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/http_client.h"
#include "adapters/json.h"
#include "core/bundle.h"
#include "core/hash.h"
#include "core/list.h"
#include "core/prefix.h"
#include "tests/standins/engine_orders.h"
#include "tests/standins/standin.h"

#define KEEPALIVE_PERIOD_MS 500 /* of comments to queued streams */
#define KV_CACHES_MAX 1024 /* streams whose KV cache is kept, the newest */
#define CACHE_EVENTS_MAX 4096 /* beyond it the older half is discarded */
#define CACHE_EVENT_DELAY_US 100000 /* delay before a cache event is reported */
#define IO_TIMEOUT (5 * PD_SEC)

/* A prefix block that entered or left the prefix cache. */
typedef struct cache_event {
	uint64_t prefix;
	bool held;
	int64_t at; /* monotonic microseconds */
} cache_event_t;

typedef struct engine {
	uv_loop_t *loop;
	uv_timer_t keepalive;
	http_client_t *client;
	uint64_t token_ms; /* between tokens */
	uint64_t first_token_ms; /* to the first token, besides the prefill */
	int64_t prefill_us; /* per token */
	int64_t transfer_us; /* per token of an exported KV cache */
	unsigned int slots;
	unsigned int queue_max;
	unsigned int cache_blocks;
	unsigned int running;
	unsigned int waiting;
	list_node_t queues[PRIORITIES];
	int64_t busy_until; /* end of the last prefill; monotonic microseconds */
	GHashTable *cache; /* prefix -> NULL */
	GQueue cache_order; /* prefixes, oldest first; owned by CACHE */
	GHashTable *kv; /* request id -> tokens cached, as a pointer */
	GQueue kv_order; /* request ids, oldest first; owned by KV */
	GArray *cache_events; /* of cache_event_t */
	uint64_t first_event_number; /* sequence number of CACHE_EVENTS[0] */
	bool leaving;
	int64_t leaves_in_ms; /* counted from the notice */
	bool accepts_while_leaving; /* accepts new requests while leaving */
	int64_t notices_left; /* load replies that still report the notice; -1: all */
	bool silent; /* accepts requests but sends nothing */
	json_t *record; /* request ids, in execution order */
	json_t *arrivals; /* request ids and arrival times since the notice */
	int64_t notice_at; /* monotonic microseconds; 0: none */
	int64_t tokens; /* generated */
	int64_t recomputed; /* tokens prefilled */
	int64_t imported; /* KV caches */
	int64_t rejected; /* requests rejected as full, draining or leaving */
	int64_t abandoned; /* streams whose caller disconnected before the end */
	engine_orders_t orders;
} engine_t;

typedef struct stream {
	list_node_t node; /* in its queue while it waits for a slot */
	engine_t *engine;
	http_exchange_t *exchange; /* NULL once the caller has disconnected */
	http_call_t *import; /* in progress, or NULL */
	GString *import_body;
	char *request_id;
	char *context; /* prompt and the tokens already emitted */
	uint64_t seed; /* hash of the prompt */
	uint64_t offset; /* of the next token */
	uint64_t end; /* offset at which the answer ends */
	unsigned int imported_tokens; /* tokens of an imported KV cache */
	bool is_running;
	uv_timer_t timer;
} stream_t;

/* Returns the token at OFFSET of the answer for SEED; the caller owns it. */
static char *make_token(uint64_t seed, uint64_t offset)
{
	char *place = g_strdup_printf("%" G_GUINT64_FORMAT, offset);
	char *base = g_strdup_printf("%" G_GUINT64_FORMAT, seed);
	char *token =
		g_strdup_printf("%s%04x", offset ? " " : "",
				(unsigned int)(hash_pair(base, place) & 0xffff));

	g_free(place);
	g_free(base);
	return token;
}

/* Records a cache event; discards the older half of them if there are too many. */
static void cache_event_add(engine_t *engine, uint64_t prefix, bool held)
{
	cache_event_t event = { prefix, held, g_get_monotonic_time() };

	g_array_append_val(engine->cache_events, event);
	if (engine->cache_events->len > CACHE_EVENTS_MAX) {
		g_array_remove_range(engine->cache_events, 0, CACHE_EVENTS_MAX / 2);
		engine->first_event_number += CACHE_EVENTS_MAX / 2;
	}
}

/* Caches the blocks of a text and evicts the oldest blocks beyond the capacity. */
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
		g_queue_push_tail(&engine->cache_order, prefix);
		cache_event_add(engine, hashes[i], true);
	}
	while (g_queue_get_length(&engine->cache_order) > engine->cache_blocks) {
		uint64_t *prefix = g_queue_pop_head(&engine->cache_order);

		cache_event_add(engine, *prefix, false);
		g_hash_table_remove(engine->cache, prefix);
	}
}

/* Returns the number of leading tokens of TEXT that are in the prefix cache. */
static unsigned int cached_tokens(const engine_t *engine, const char *text)
{
	uint64_t hashes[PREFIX_BLOCKS_MAX];
	size_t count = prefix_hashes(text, strlen(text), hashes, PREFIX_BLOCKS_MAX);
	size_t held = 0;

	while (held < count && g_hash_table_contains(engine->cache, &hashes[held]))
		held++;
	return (unsigned int)(held * PREFIX_BLOCK_BYTES / PREFIX_BYTES_PER_TOKEN);
}

/* Returns the number of tokens to prefill: the prompt and what was emitted. */
static unsigned int stream_context_tokens(const stream_t *stream)
{
	return (unsigned int)(strlen(stream->context) / PREFIX_BYTES_PER_TOKEN);
}

/* Keeps a stream's KV cache for export; evicts the oldest beyond KV_CACHES_MAX. */
static void kv_save(engine_t *engine, const stream_t *stream)
{
	unsigned int tokens =
		stream_context_tokens(stream) + (unsigned int)stream->end;
	char *id = g_strdup(stream->request_id);

	if (g_hash_table_contains(engine->kv, id)) {
		g_free(id);
		return;
	}
	g_hash_table_insert(engine->kv, id, GUINT_TO_POINTER(tokens));
	g_queue_push_tail(&engine->kv_order, id);
	while (g_queue_get_length(&engine->kv_order) > KV_CACHES_MAX)
		g_hash_table_remove(engine->kv,
				    g_queue_pop_head(&engine->kv_order));
}

static void engine_start_next(engine_t *engine);

static void stream_on_closed(uv_handle_t *handle)
{
	stream_t *stream = handle->data;
	engine_t *engine = stream->engine;

	if (stream->is_running)
		engine->running--;
	g_string_free(stream->import_body, TRUE);
	g_free(stream->request_id);
	g_free(stream->context);
	g_free(stream);
	engine_start_next(engine);
}

/* Removes a stream from its queue, cancels its import and frees it later. */
static void stream_close(stream_t *stream)
{
	if (!list_empty(&stream->node)) {
		list_remove(&stream->node);
		stream->engine->waiting--;
	}
	if (stream->import)
		http_call_cancel(stream->import);
	stream->import = NULL;
	uv_timer_stop(&stream->timer);
	uv_close((uv_handle_t *)&stream->timer, stream_on_closed);
}

static void stream_on_disconnect(void *ctx)
{
	stream_t *stream = ctx;

	stream->exchange = NULL;
	stream->engine->abandoned += stream->offset < stream->end;
	stream_close(stream);
}

/* Sends the next token, or the end event after the last one. */
static void stream_on_token(uv_timer_t *timer)
{
	static const char end[] = "event: end\ndata: {}\n\n";
	stream_t *stream = timer->data;
	char *token;
	char *event;

	if (stream->engine->silent)
		return;
	if (stream->offset >= stream->end) {
		http_exchange_send(stream->exchange, end, strlen(end));
		http_exchange_end(stream->exchange);
		stream_close(stream);
		return;
	}
	token = make_token(stream->seed, stream->offset);
	event = g_strdup_printf("id: %" G_GUINT64_FORMAT
				"\ndata: {\"token\":\"%s\"}\n\n",
				stream->offset, token);
	stream->offset++;
	stream->engine->tokens++;
	http_exchange_send(stream->exchange, event, strlen(event));
	g_free(event);
	g_free(token);
}

/* Ends the prefill: sends the start event and starts generating tokens. */
static void stream_on_prefilled(uv_timer_t *timer)
{
	stream_t *stream = timer->data;
	engine_t *engine = stream->engine;
	unsigned int length = stream_context_tokens(stream);
	unsigned int held = MAX(cached_tokens(engine, stream->context),
				stream->imported_tokens);
	unsigned int recomputed = length - MIN(held, length);
	char *event = g_strdup_printf("event: start\ndata: {\"recomputed\":%u,"
				      "\"running\":%u,\"waiting\":%u}\n\n",
				      recomputed, engine->running,
				      engine->waiting);

	engine->recomputed += recomputed;
	cache_add(engine, stream->context);
	kv_save(engine, stream);
	if (!engine->silent)
		http_exchange_send(stream->exchange, event, strlen(event));
	g_free(event);
	uv_timer_start(timer, stream_on_token, engine->token_ms, engine->token_ms);
}

/* Schedules the prefill behind those already scheduled. */
static void stream_prefill(stream_t *stream)
{
	engine_t *engine = stream->engine;
	unsigned int length = stream_context_tokens(stream);
	unsigned int held = MAX(cached_tokens(engine, stream->context),
				stream->imported_tokens);
	int64_t now = g_get_monotonic_time();
	int64_t duration = (length - MIN(held, length)) * engine->prefill_us;
	int64_t begins_at = MAX(now, engine->busy_until);

	engine->busy_until = begins_at + duration;
	uv_timer_start(&stream->timer, stream_on_prefilled,
		       engine->first_token_ms +
			       (uint64_t)(engine->busy_until - now) / 1000,
		       0);
}

static void import_on_body(void *ctx, const char *data, size_t len)
{
	stream_t *stream = ctx;

	g_string_append_len(stream->import_body, data, (gssize)len);
}

/* Starts the prefill; if the import failed, all of the prompt is recomputed. */
static void import_on_done(void *ctx, const pd_error_t *err)
{
	stream_t *stream = ctx;
	pd_error_t parse_err;
	json_t *body = NULL;

	stream->import = NULL;
	if (!err)
		body = json_parse(stream->import_body->str,
				  stream->import_body->len, &parse_err);
	stream->imported_tokens = (unsigned int)json_integer_or(body, "tokens", 0);
	if (stream->imported_tokens)
		stream->engine->imported++;
	json_decref(body);
	stream_prefill(stream);
}

/* Starts to fetch the stream's KV cache from another engine. */
static void stream_import(stream_t *stream, const char *address, uint16_t port)
{
	static const http_call_handlers_t handlers = {
		.on_body = import_on_body,
		.on_done = import_on_done,
	};
	char *path = g_strconcat("/kv/", stream->request_id, NULL);
	const http_request_t request = {
		.address = address, .port = port, .method = "GET", .path = path
	};

	stream->import = http_call_start(stream->engine->client, &request,
					 &handlers, stream);
	g_free(path);
}

/* Gives the stream a slot. An import in progress starts the prefill at its end. */
static void stream_run(stream_t *stream)
{
	engine_t *engine = stream->engine;

	stream->is_running = true;
	engine->running++;
	json_array_append_new(engine->record, json_string(stream->request_id));
	if (!stream->import)
		stream_prefill(stream);
}

/* Gives a free slot to the first stream of the highest non-empty priority. */
static void engine_start_next(engine_t *engine)
{
	for (int i = 0; i < PRIORITIES && engine->running < engine->slots; i++) {
		list_node_t *node = list_pop(&engine->queues[i]);

		if (!node)
			continue;
		engine->waiting--;
		stream_run(LIST_ENTRY(node, stream_t, node));
		return;
	}
}

/* Sends a keep-alive comment to every queued stream. */
static void on_keepalive(uv_timer_t *timer)
{
	engine_t *engine = timer->data;

	for (int i = 0; i < PRIORITIES && !engine->silent; i++) {
		LIST_FOR_EACH (it, &engine->queues[i]) {
			stream_t *stream = LIST_ENTRY(it, stream_t, node);

			http_exchange_send(stream->exchange, ":\n\n", 3);
		}
	}
}

/* Returns a stream for a request body; stream_close() frees it. */
static stream_t *stream_create(engine_t *engine, http_exchange_t *exchange,
			       const json_t *body)
{
	stream_t *stream = g_new0(stream_t, 1);
	const char *prompt = json_string_or(body, "prompt", "");

	list_init(&stream->node);
	stream->engine = engine;
	stream->exchange = exchange;
	stream->import_body = g_string_new(NULL);
	stream->request_id = g_strdup(json_string_or(body, "request_id", ""));
	stream->context =
		g_strconcat(prompt, json_string_or(body, "emitted", ""), NULL);
	stream->seed = hash_string(prompt);
	stream->offset = (uint64_t)json_integer_or(body, "offset", 0);
	stream->end = (uint64_t)json_integer_or(body, "max_tokens", 16);
	uv_timer_init(engine->loop, &stream->timer);
	stream->timer.data = stream;
	return stream;
}

/* Returns true if a new request must be rejected with 503. */
static bool engine_is_rejecting(const engine_t *engine)
{
	return (engine->leaving && !engine->accepts_while_leaving) ||
	       engine->orders.draining ||
	       (engine->running >= engine->slots &&
		engine->waiting >= engine->queue_max);
}

/* Runs or queues a request, or rejects it with 503. */
static void on_generate(engine_t *engine, http_exchange_t *exchange)
{
	const http_header_t type = { "content-type", "text/event-stream" };
	json_t *body = standin_parse_body(exchange);
	const char *kv_address = json_string_or(body, "kv_address", NULL);
	priority_t priority = PRIORITY_NORMAL;
	stream_t *stream;

	if (engine->notice_at)
		json_array_append_new(
			engine->arrivals,
			json_pack("{s:s, s:I}", "id",
				  json_string_or(body, "request_id", ""), "at",
				  (json_int_t)g_get_monotonic_time()));
	if (engine_is_rejecting(engine)) {
		engine->rejected++;
		standin_reply_text(exchange, 503, NULL, "{}", 2);
		json_decref(body);
		return;
	}
	priority_parse(json_string_or(body, "priority", "normal"), &priority);
	stream = stream_create(engine, exchange, body);
	http_exchange_on_disconnect(exchange, stream_on_disconnect, stream);
	http_exchange_begin(exchange, 200, &type, 1);
	/* Sends the head at once: it tells the caller of the acceptance. */
	http_exchange_send(exchange, ":\n\n", 3);
	if (engine->running >= engine->slots) {
		list_append(&engine->queues[priority], &stream->node);
		engine->waiting++;
	} else {
		if (kv_address)
			stream_import(stream, kv_address,
				      (uint16_t)json_integer_or(body, "kv_port", 0));
		stream_run(stream);
	}
	json_decref(body);
}

typedef struct export
{
	http_exchange_t *exchange; /* NULL once the caller has disconnected */
	unsigned int tokens;
}
export_t;

static void export_on_disconnect(void *ctx)
{
	export_t *export = ctx;

	export->exchange = NULL;
}

static void export_finish(void *ctx)
{
	export_t *export = ctx;

	if (export->exchange) {
		http_exchange_on_disconnect(export->exchange, NULL, NULL);
		standin_reply_json(export->exchange, 200,
				   json_pack("{s:i}", "tokens",
					     (int)export->tokens));
	}
	g_free(export);
}

/* Exports a stream's KV cache, after a transfer time in proportion to its size. */
static void on_kv(engine_t *engine, http_exchange_t *exchange, const char *id)
{
	gpointer tokens = g_hash_table_lookup(engine->kv, id);
	export_t *export;

	if (!tokens) {
		standin_reply_text(exchange, 404, NULL, "{}", 2);
		return;
	}
	export = g_new0(export_t, 1);
	export->exchange = exchange;
	export->tokens = GPOINTER_TO_UINT(tokens);
	http_exchange_on_disconnect(exchange, export_on_disconnect, export);
	standin_start_timer(engine->loop,
			    (uint64_t)(export->tokens * engine->transfer_us / 1000),
			    export_finish, export);
}

/*
 * Returns the cache events with a sequence number above AFTER that are at least
 * CACHE_EVENT_DELAY_US old, and sets *LAST to the number of the last one. The caller owns
 * the list.
 */
static json_t *cache_events_since(const engine_t *engine, uint64_t after,
				  uint64_t *last)
{
	json_t *list = json_array();
	int64_t report_until = g_get_monotonic_time() - CACHE_EVENT_DELAY_US;

	*last = after;
	for (guint i = 0; i < engine->cache_events->len; i++) {
		const cache_event_t *event =
			&g_array_index(engine->cache_events, cache_event_t, i);
		uint64_t number = engine->first_event_number + i;
		char *prefix;

		if (number <= after || event->at > report_until)
			continue;
		prefix = g_strdup_printf("%016" G_GINT64_MODIFIER "x",
					 event->prefix);
		json_array_append_new(list, json_pack("{s:s, s:b}", "prefix", prefix,
						      "held", event->held));
		*last = number;
		g_free(prefix);
	}
	return list;
}

/* Reports the load, the reclaim notice and the cache events since a number. */
static void on_load(engine_t *engine, http_exchange_t *exchange)
{
	const char *query = http_exchange_query(exchange, "cache_after");
	uint64_t after = query ? g_ascii_strtoull(query, NULL, 10) : 0;
	bool reports_notice = engine->leaving && engine->notices_left != 0;
	/* An engine ordered to drain accepts no new requests either. */
	bool leaving = reports_notice || engine->orders.draining;
	int64_t elapsed_ms = (g_get_monotonic_time() - engine->notice_at) / 1000;
	int64_t time_left_ms = MAX(engine->leaves_in_ms - elapsed_ms, 0);
	uint64_t last;
	json_t *events;

	if (reports_notice && engine->notices_left > 0)
		engine->notices_left--;
	/* The number stems from before a restart: report from the start. */
	if (after >= engine->first_event_number + engine->cache_events->len)
		after = 0;
	events = cache_events_since(engine, after, &last);
	standin_reply_json(
		exchange, 200,
		json_pack("{s:i, s:i, s:b, s:I, s:o, s:I, s:b}", "running",
			  (int)engine->running, "waiting", (int)engine->waiting,
			  "leaving", leaving, "leaves_in_ms",
			  (json_int_t)(reports_notice ? time_left_ms : 0),
			  "cache", events, "cache_last", (json_int_t)last,
			  "cache_gap", after + 1 < engine->first_event_number));
}

/* Sets the reclaim notice and the faults given in the request. */
static void on_faults(engine_t *engine, http_exchange_t *exchange)
{
	json_t *body = standin_parse_body(exchange);

	engine->leaving = json_is_true(json_object_get(body, "leaving"));
	engine->leaves_in_ms = json_integer_or(body, "leaves_in_ms", 0);
	engine->silent = json_is_true(json_object_get(body, "silent"));
	engine->accepts_while_leaving =
		json_is_true(json_object_get(body, "accepts"));
	engine->notices_left = json_integer_or(body, "tell", -1);
	if (engine->leaving && !engine->notice_at)
		engine->notice_at = g_get_monotonic_time();
	standin_reply_text(exchange, 200, NULL, "{}", 2);
	json_decref(body);
}

/* Sets the costs and capacities given in the request. */
static void on_settings(engine_t *engine, http_exchange_t *exchange)
{
	json_t *body = standin_parse_body(exchange);

	engine->prefill_us =
		json_integer_or(body, "prefill_us", engine->prefill_us);
	engine->transfer_us =
		json_integer_or(body, "transfer_us", engine->transfer_us);
	engine->cache_blocks = (unsigned int)json_integer_or(body, "cache_blocks",
							     engine->cache_blocks);
	engine->queue_max = (unsigned int)json_integer_or(body, "queue_max",
							  engine->queue_max);
	standin_reply_text(exchange, 200, NULL, "{}", 2);
	json_decref(body);
}

/* Replies with the record and the counters. */
static void on_record(engine_t *engine, http_exchange_t *exchange)
{
	standin_reply_json(exchange, 200,
			   json_pack("{s:O, s:O, s:I, s:I, s:I, s:I, s:I, s:I}",
				     "ran", engine->record, "arrivals",
				     engine->arrivals, "notice_at",
				     (json_int_t)engine->notice_at, "tokens",
				     (json_int_t)engine->tokens, "refused",
				     (json_int_t)engine->rejected, "recomputed",
				     (json_int_t)engine->recomputed, "imported",
				     (json_int_t)engine->imported, "dropped",
				     (json_int_t)engine->abandoned));
}

static void on_request(void *ctx, http_exchange_t *exchange)
{
	engine_t *engine = ctx;
	const char *path = http_exchange_path(exchange);

	if (!strcmp(path, "/generate"))
		on_generate(engine, exchange);
	else if (g_str_has_prefix(path, "/kv/"))
		on_kv(engine, exchange, path + strlen("/kv/"));
	else if (!strcmp(path, "/load"))
		on_load(engine, exchange);
	else if (engine_orders_handle(&engine->orders, exchange, engine->running))
		return;
	else if (!strcmp(path, "/standin/faults"))
		on_faults(engine, exchange);
	else if (!strcmp(path, "/standin/settings"))
		on_settings(engine, exchange);
	else if (!strcmp(path, "/standin/record"))
		on_record(engine, exchange);
	else
		standin_reply_text(exchange, 404, NULL, "{}", 2);
}

/* Arguments: ms per token, ms to the first, slots, 1 to check fencing tokens. */
int main(int argc, char **argv)
{
	engine_t engine = { .loop = uv_default_loop(),
			    .token_ms = 5,
			    .first_token_ms = 20,
			    .prefill_us = 50,
			    .transfer_us = 5,
			    .slots = 64,
			    .queue_max = 16,
			    .cache_blocks = 4096,
			    .first_event_number = 1 };

	if (argc > 1)
		engine.token_ms = strtoull(argv[1], NULL, 10);
	if (argc > 2)
		engine.first_token_ms = strtoull(argv[2], NULL, 10);
	if (argc > 3)
		engine.slots = (unsigned int)strtoul(argv[3], NULL, 10);
	for (int i = 0; i < PRIORITIES; i++)
		list_init(&engine.queues[i]);
	engine.client = http_client_create(engine.loop, IO_TIMEOUT);
	engine.cache =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	engine.kv = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	engine.cache_events = g_array_new(FALSE, FALSE, sizeof(cache_event_t));
	if (argc > 4)
		engine.orders.checks_fencing = !strcmp(argv[4], "1");
	engine.orders.record = json_array();
	engine.record = json_array();
	engine.arrivals = json_array();
	uv_timer_init(engine.loop, &engine.keepalive);
	engine.keepalive.data = &engine;
	uv_timer_start(&engine.keepalive, on_keepalive, KEEPALIVE_PERIOD_MS,
		       KEEPALIVE_PERIOD_MS);
	standin_serve(engine.loop, on_request, &engine);
	standin_run(engine.loop);
	return 0;
}
