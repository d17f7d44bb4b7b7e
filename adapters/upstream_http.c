/* Makes one HTTP call per attempt and translates it to events of the core. */
#include "adapters/upstream_http.h"

#include <jansson.h>
#include <string.h>

#include "adapters/http_client.h"
#include "adapters/json.h"
#include "adapters/log_glib.h"
#include "adapters/sse.h"

#define LOG_COMPONENT "upstream"
/* A last resort: the core cancels silent attempts long before. */
#define ATTEMPT_IO_TIMEOUT (120 * PD_SEC)
#define PROBE_TIMEOUT (1500 * PD_MSEC)
#define RESPONSE_BYTES_MAX (4 * 1024 * 1024)
#define LOAD_REPORT_BYTES_MAX (1024 * 1024)
#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503
#define HEADERS_MAX 6
/* Cache events read from one report; the next report continues after them. */
#define CACHE_EVENTS_MAX 8192
/* Bounds memory as VMs come and go; when exceeded, all cursors are reset. */
#define CACHE_CURSORS_MAX 1024

struct upstream_http {
	upstream_http_config_t config;
	http_client_t *client;
	http_client_t *probe_client;
	GHashTable *attempts; /* attempt id -> attempt_t */
	GHashTable *cache_cursors; /* VM id -> number of the last cache event read */
};

typedef struct attempt {
	upstream_http_t *http;
	attempt_id_t id;
	target_kind_t kind;
	char *vm_id;
	http_call_t *call;
	bool written;
	bool ended; /* the core expects no more events */
	int status;
	sse_parser_t *sse;
	GString *answer;
} attempt_t;

typedef struct probe {
	upstream_http_t *http;
	char *vm_id;
	int status;
	GString *body;
} probe_t;

/* Returns an adapter without attempts, which lives as long as the loop. */
upstream_http_t *upstream_http_create(uv_loop_t *loop,
				      const upstream_http_config_t *config)
{
	upstream_http_t *http = g_new0(upstream_http_t, 1);

	http->config = *config;
	http->client = http_client_create(loop, ATTEMPT_IO_TIMEOUT);
	http->probe_client = http_client_create(loop, PROBE_TIMEOUT);
	http->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	http->cache_cursors =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return http;
}

/* Frees an attempt, once its call has ended. */
static void attempt_free(void *ctx)
{
	attempt_t *attempt = ctx;

	g_hash_table_remove(attempt->http->attempts, &attempt->id);
	sse_parser_destroy(attempt->sse);
	g_string_free(attempt->answer, TRUE);
	g_free(attempt->vm_id);
	g_free(attempt);
}

/* Reports an event of the attempt to the core. */
static void attempt_report_event(attempt_t *attempt, upstream_event_t *event)
{
	event->attempt = attempt->id;
	attempt->http->config.on_event(attempt->http->config.ctx, event);
}

/* Reports the last event of an attempt, unless one was reported before. */
static void attempt_report_last_event(attempt_t *attempt, upstream_event_t *event)
{
	if (attempt->ended)
		return;
	attempt->ended = true;
	attempt_report_event(attempt, event);
}

/* Reports that the first byte of the request may have left this process. */
static void attempt_on_written(void *ctx)
{
	attempt_t *attempt = ctx;
	upstream_event_t event = { .kind = UPSTREAM_SENDING };

	attempt->written = true;
	attempt_report_event(attempt, &event);
}

/* Records the status of the upstream's response. */
static void attempt_on_head(void *ctx, http_call_t *call, int status)
{
	attempt_t *attempt = ctx;

	(void)call;
	attempt->status = status;
}

/*
 * Reports the load that an engine states with each start of a stream. It keeps
 * the load of upstreams in use up to date, so that probes are needed only for
 * the others.
 */
static void attempt_report_load(const attempt_t *attempt, const json_t *data)
{
	load_report_t report = { .vm_id = attempt->vm_id, .answered = true };

	if (!json_object_get(data, "running"))
		return;
	report.running = (unsigned int)json_integer_or(data, "running", 0);
	report.waiting = (unsigned int)json_integer_or(data, "waiting", 0);
	attempt->http->config.on_load(attempt->http->config.ctx, &report);
}

/* Reports that the engine has processed the prompt. */
static void attempt_on_start(attempt_t *attempt, const json_t *data)
{
	upstream_event_t event = { .kind = UPSTREAM_STARTED };

	event.recomputed = (unsigned int)json_integer_or(data, "recomputed", 0);
	attempt_report_event(attempt, &event);
	attempt_report_load(attempt, data);
}

/* Handles one event of a model's stream; malformed ones are dropped. */
static void attempt_on_sse(void *ctx, const sse_event_t *sse)
{
	attempt_t *attempt = ctx;
	upstream_event_t event = { .kind = UPSTREAM_TOKEN };
	pd_error_t err;
	json_t *data;

	if (attempt->ended)
		return;
	if (!strcmp(sse->name, SSE_COMMENT)) {
		event.kind = UPSTREAM_QUEUED;
		attempt_report_event(attempt, &event);
		return;
	}
	if (!strcmp(sse->name, "end")) {
		event.kind = UPSTREAM_END;
		attempt_report_last_event(attempt, &event);
		return;
	}
	data = json_parse(sse->data, strlen(sse->data), &err);
	if (data && !strcmp(sse->name, "start")) {
		attempt_on_start(attempt, data);
		json_decref(data);
		return;
	}
	if (!data || json_read_string(data, "token", &event.data, &err) < 0) {
		log_error(LOG_COMPONENT, "dropped an event", &err);
		json_decref(data);
		return;
	}
	event.offset = g_ascii_strtoull(sse->id, NULL, 10);
	event.len = strlen(event.data);
	attempt_report_event(attempt, &event);
	json_decref(data);
}

/*
 * Parses a model's stream, or collects the body of a service's answer or an
 * error, of which data beyond RESPONSE_BYTES_MAX is dropped.
 */
static void attempt_on_body(void *ctx, const char *data, size_t len)
{
	attempt_t *attempt = ctx;
	pd_error_t err;

	if (attempt->ended)
		return;
	if (attempt->kind == TARGET_MODEL && attempt->status == STATUS_OK) {
		if (sse_parser_feed(attempt->sse, data, len, &err) < 0)
			log_error(LOG_COMPONENT, "dropped a stream", &err);
		return;
	}
	if (attempt->answer->len + len <= RESPONSE_BYTES_MAX)
		g_string_append_len(attempt->answer, data, (gssize)len);
}

/* Reports how the attempt ended, unless its stream has ended already. */
static void attempt_on_done(void *ctx, const pd_error_t *err)
{
	attempt_t *attempt = ctx;
	upstream_event_t event = { .kind = UPSTREAM_FAILED,
				   .written = attempt->written };

	if (err) {
		log_error(LOG_COMPONENT, "an attempt failed", err);
	} else if (attempt->kind == TARGET_SERVICE) {
		event.kind = UPSTREAM_ANSWER;
		event.status = attempt->status;
		event.data = attempt->answer->str;
		event.len = attempt->answer->len;
	} else if (attempt->status == STATUS_UNAVAILABLE) {
		event.kind = UPSTREAM_REJECTED;
	}
	attempt_report_last_event(attempt, &event);
}

static const http_call_handlers_t attempt_handlers = {
	.on_sending = attempt_on_written,
	.on_head = attempt_on_head,
	.on_body = attempt_on_body,
	.on_done = attempt_on_done,
	.on_free = attempt_free,
};

/* Returns the JSON body of a request to an engine; the caller free()s it. */
static char *format_generate_request(const dispatch_t *dispatch)
{
	json_t *body = json_object();
	gsize len;
	const char *prompt = g_bytes_get_data(dispatch->body, &len);
	char *text;

	json_object_set_new(body, "request_id", json_string(dispatch->request_id));
	json_object_set_new(body, "model", json_string(dispatch->target));
	json_object_set_new(body, "prompt",
			    json_stringn(prompt ? prompt : "", len));
	json_object_set_new(body, "emitted", json_string(dispatch->emitted));
	json_object_set_new(body, "offset",
			    json_integer((json_int_t)dispatch->offset));
	json_object_set_new(body, "max_tokens", json_integer(dispatch->max_tokens));
	json_object_set_new(body, "priority",
			    json_string(priority_name(dispatch->priority)));
	if (dispatch->kv_address) {
		json_object_set_new(body, "kv_address",
				    json_string(dispatch->kv_address));
		json_object_set_new(body, "kv_port",
				    json_integer(dispatch->kv_port));
	}
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

/* Starts an attempt. Its events are reported after this function returns. */
void upstream_http_dispatch(upstream_http_t *http, const dispatch_t *dispatch)
{
	attempt_t *attempt = g_new0(attempt_t, 1);
	http_header_t headers[HEADERS_MAX];
	char *fence = g_strdup_printf("%" G_GUINT64_FORMAT, dispatch->fence);
	char *generate_body = NULL;
	http_request_t request = { .address = dispatch->address,
				   .port = dispatch->port,
				   .method = "POST",
				   .headers = headers };
	gsize body_len = 0;

	attempt->http = http;
	attempt->id = dispatch->attempt;
	attempt->kind = dispatch->kind;
	attempt->vm_id = g_strdup(dispatch->vm_id);
	attempt->sse = sse_parser_create(attempt_on_sse, attempt);
	attempt->answer = g_string_new(NULL);
	headers[request.header_count++] =
		(http_header_t){ "x-request-id", dispatch->request_id };
	headers[request.header_count++] =
		(http_header_t){ "content-type", "application/json" };
	if (dispatch->idempotency_key)
		headers[request.header_count++] =
			(http_header_t){ "idempotency-key",
					 dispatch->idempotency_key };
	if (dispatch->fence)
		headers[request.header_count++] =
			(http_header_t){ "x-fencing-number", fence };
	if (dispatch->kind == TARGET_MODEL) {
		generate_body = format_generate_request(dispatch);
		request.path = "/generate";
		request.body = generate_body;
		request.body_len = strlen(generate_body);
	} else {
		request.path = dispatch->path;
		request.body = g_bytes_get_data(dispatch->body, &body_len);
		request.body_len = body_len;
	}
	g_hash_table_insert(http->attempts, &attempt->id, attempt);
	attempt->call = http_call_start(http->client, &request,
					&attempt_handlers, attempt);
	free(generate_body);
	g_free(fence);
}

/*
 * Cancels an attempt: closes its connection and reports no more events. Does
 * nothing if the attempt has ended.
 */
void upstream_http_cancel(upstream_http_t *http, attempt_id_t id)
{
	attempt_t *attempt = g_hash_table_lookup(http->attempts, &id);

	if (!attempt || attempt->ended)
		return;
	attempt->ended = true;
	http_call_cancel(attempt->call);
}

/* Records the status of the upstream's response. */
static void probe_on_head(void *ctx, http_call_t *call, int status)
{
	probe_t *probe = ctx;

	(void)call;
	probe->status = status;
}

/* Appends to the body; data beyond LOAD_REPORT_BYTES_MAX is dropped. */
static void probe_on_body(void *ctx, const char *data, size_t len)
{
	probe_t *probe = ctx;

	if (probe->body->len + len <= LOAD_REPORT_BYTES_MAX)
		g_string_append_len(probe->body, data, (gssize)len);
}

/* Stores the number of the VM's last cache event that was read. */
static void probe_save_cursor(probe_t *probe, uint64_t cursor)
{
	GHashTable *cache_cursors = probe->http->cache_cursors;

	if (g_hash_table_size(cache_cursors) >= CACHE_CURSORS_MAX)
		g_hash_table_remove_all(cache_cursors);
	g_hash_table_replace(cache_cursors, g_strdup(probe->vm_id),
			     g_memdup2(&cursor, sizeof(cursor)));
}

/*
 * Parses the cache events of a load report into REPORT, which borrows them, and
 * stores the cursor. Returns the events, which the caller frees.
 */
static cache_event_t *probe_parse_cache_events(probe_t *probe, const json_t *body,
					       load_report_t *report)
{
	const json_t *list = json_object_get(body, "cache");
	size_t count = MIN(json_array_size(list), CACHE_EVENTS_MAX);
	cache_event_t *events = g_new0(cache_event_t, count);

	for (size_t i = 0; i < count; i++) {
		const json_t *item = json_array_get(list, i);

		events[i].prefix =
			g_ascii_strtoull(json_string_or(item, "prefix", "0"),
					 NULL, 16);
		events[i].held = json_is_true(json_object_get(item, "held"));
	}
	report->cache = events;
	report->cache_count = count;
	report->cache_gap = json_is_true(json_object_get(body, "cache_gap"));
	if (count > 0)
		probe_save_cursor(probe,
				  (uint64_t)json_integer_or(body, "cache_last", 0));
	return events;
}

/* Reports the load, or that the probe got no valid answer. */
static void probe_on_done(void *ctx, const pd_error_t *err)
{
	probe_t *probe = ctx;
	load_report_t report = { .vm_id = probe->vm_id };
	cache_event_t *events = NULL;
	pd_error_t parse_err;
	json_t *body = NULL;

	if (!err && probe->status == STATUS_OK)
		body = json_parse(probe->body->str, probe->body->len, &parse_err);
	if (body) {
		report.answered = true;
		report.running = (unsigned int)json_integer_or(body, "running", 0);
		report.waiting = (unsigned int)json_integer_or(body, "waiting", 0);
		report.leaving = json_is_true(json_object_get(body, "leaving"));
		report.leaves_in =
			json_integer_or(body, "leaves_in_ms", 0) * PD_MSEC;
		events = probe_parse_cache_events(probe, body, &report);
		json_decref(body);
	}
	probe->http->config.on_load(probe->http->config.ctx, &report);
	g_free(events);
}

/* Frees a probe. */
static void probe_free(void *ctx)
{
	probe_t *probe = ctx;

	g_string_free(probe->body, TRUE);
	g_free(probe->vm_id);
	g_free(probe);
}

static const http_call_handlers_t probe_handlers = {
	.on_head = probe_on_head,
	.on_body = probe_on_body,
	.on_done = probe_on_done,
	.on_free = probe_free,
};

/*
 * Requests the load of an upstream on a separate connection. Any result, also a
 * failure, is reported through on_load.
 */
void upstream_http_probe(upstream_http_t *http, const char *vm_id,
			 const char *address, uint16_t port)
{
	probe_t *probe = g_new0(probe_t, 1);
	const uint64_t *cursor = g_hash_table_lookup(http->cache_cursors, vm_id);
	char *path = g_strdup_printf("/load?cache_after=%" G_GUINT64_FORMAT,
				     cursor ? *cursor : 0);
	const http_request_t request = {
		.address = address, .port = port, .method = "GET", .path = path
	};

	probe->http = http;
	probe->vm_id = g_strdup(vm_id);
	probe->body = g_string_new(NULL);
	http_call_start(http->probe_client, &request, &probe_handlers, probe);
	g_free(path);
}
