/*
 * Translates callers' HTTP requests to core requests, and core answers to HTTP.
 */
#include "adapters/caller_http.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "adapters/json.h"
#include "adapters/log_glib.h"
#include "adapters/signing.h"

/*
 * Bytes of a stream that may be buffered for a caller. An upstream that was
 * stalled may send a thousand tokens at once, which take a third of this.
 */
#define UNSENT_BYTES_MAX ((size_t)1024 * 1024)
#define LOG_COMPONENT "caller"
#define COMPLETIONS_PATH "/v1/chat/completions"
#define SERVICES_PREFIX "/v1/services/"
#define PROBLEM_PREFIX "urn:pistachiodrift:problem:"
#define MAX_TOKENS_DEFAULT 256
#define MAX_TOKENS_LIMIT 100000
#define BEARER "Bearer "
#define MOVED_STATUS 503

struct caller_http {
	http_server_t *server;
	caller_http_config_t config;
	GHashTable *callers; /* caller id -> caller_t, owned */
	caller_id_t next_id;
};

typedef struct caller {
	caller_http_t *http;
	caller_id_t id;
	http_exchange_t *exchange;
	char *model; /* NULL for a service */
	bool stream;
	GString *answer; /* text of a completion that is not streamed */
	uint64_t tokens; /* received so far */
} caller_t;

/* Frees a caller; its exchange is owned by the server. */
static void caller_destroy(void *data)
{
	caller_t *caller = data;

	g_free(caller->model);
	g_string_free(caller->answer, TRUE);
	g_free(caller);
}

/* Removes a caller whose connection has closed, and reports it. */
static void caller_on_disconnect(void *ctx)
{
	caller_t *caller = ctx;
	caller_http_t *http = caller->http;
	caller_id_t id = caller->id;

	g_hash_table_remove(http->callers, &id);
	http->config.on_disconnect(http->config.ctx, id);
}

/* Returns a caller with a new id for EXCHANGE, owned by the table of callers. */
static caller_t *caller_create(caller_http_t *http, http_exchange_t *exchange)
{
	caller_t *caller = g_new0(caller_t, 1);

	caller->http = http;
	caller->id = ++http->next_id;
	caller->exchange = exchange;
	caller->answer = g_string_new(NULL);
	g_hash_table_insert(http->callers, &caller->id, caller);
	http_exchange_on_disconnect(exchange, caller_on_disconnect, caller);
	return caller;
}

/* Replies with a problem document; NAME is its title and the end of its type. */
static void reply_problem(http_exchange_t *exchange, int status,
			  const char *name, const char *detail)
{
	const http_header_t type = { "content-type",
				     "application/problem+json" };
	json_t *problem = json_object();
	char *kind = g_strconcat(PROBLEM_PREFIX, name, NULL);
	char *text;

	json_object_set_new(problem, "type", json_string(kind));
	json_object_set_new(problem, "title", json_string(name));
	json_object_set_new(problem, "status", json_integer(status));
	json_object_set_new(problem, "detail", json_string(detail));
	text = json_dumps(problem, JSON_COMPACT);
	http_exchange_reply(exchange, status, &type, 1, text, strlen(text));
	free(text);
	g_free(kind);
	json_decref(problem);
}

/*
 * Returns the hash of the bearer token, owned by the caller; NULL if there is
 * none.
 */
static char *caller_key_hash(const http_exchange_t *exchange)
{
	const char *value = http_exchange_header(exchange, "authorization");

	if (!value || !g_str_has_prefix(value, BEARER))
		return NULL;
	value += strlen(BEARER);
	return signing_hash(value, strlen(value));
}

/*
 * Appends the messages of a chat to PROMPT, the text that the engine receives.
 * Returns -1 with ERR set if they are invalid.
 */
static int compose_prompt(const json_t *body, GString *prompt, pd_error_t *err)
{
	json_t *messages;
	json_t *message;
	size_t i;

	if (json_read_array(body, "messages", &messages, err) < 0)
		return -1;
	if (json_array_size(messages) == 0)
		return pd_error_set(err, PD_ERROR_INPUT,
				    "messages: expected at least one");
	json_array_foreach(messages, i, message)
	{
		const char *role;
		const char *content;

		if (json_read_string(message, "role", &role, err) < 0 ||
		    json_read_string(message, "content", &content, err) < 0)
			return -1;
		g_string_append_printf(prompt, "%s: %s\n", role, content);
	}
	return 0;
}

/*
 * Parses the Last-Event-ID header, which is REQUEST-ID/OFFSET, or REQUEST-ID
 * alone if no token was received. Returns the request's id, owned by the caller,
 * or NULL if there is no such header; sets OFFSET to the offset of the next
 * token.
 */
static char *parse_last_event_id(const http_exchange_t *exchange, uint64_t *offset)
{
	const char *last = http_exchange_header(exchange, "last-event-id");
	const char *slash = last ? strrchr(last, '/') : NULL;

	*offset = 0;
	if (!slash)
		return g_strdup(last);
	*offset = g_ascii_strtoull(slash + 1, NULL, 10) + 1;
	return g_strndup(last, (gsize)(slash - last));
}

/* Starts a chat completion, or replies with the error in the request. */
static void on_completion(caller_http_t *http, http_exchange_t *exchange)
{
	char *key_hash = caller_key_hash(exchange);
	GString *prompt = g_string_new(NULL);
	caller_request_t request = {
		.kind = TARGET_MODEL,
		.key_hash = key_hash,
		.idempotency_key =
			http_exchange_header(exchange, "idempotency-key"),
	};
	char *resume_id = parse_last_event_id(exchange, &request.resume_offset);
	int64_t max_tokens;
	caller_t *caller;
	pd_error_t err;
	size_t len;
	const char *data = http_exchange_body(exchange, &len);
	json_t *body = json_parse(data, len, &err);

	if (!body || json_read_string(body, "model", &request.target, &err) < 0 ||
	    compose_prompt(body, prompt, &err) < 0)
		goto error;
	max_tokens = json_integer_or(body, "max_tokens", MAX_TOKENS_DEFAULT);
	if (max_tokens < 1 || max_tokens > MAX_TOKENS_LIMIT) {
		pd_error_set(&err, PD_ERROR_INPUT,
			     "max_tokens: expected 1 to %d", MAX_TOKENS_LIMIT);
		goto error;
	}
	request.resume_id = resume_id;
	request.max_tokens = (unsigned int)max_tokens;
	request.stream = json_is_true(json_object_get(body, "stream"));
	request.body = g_bytes_new(prompt->str, prompt->len);
	caller = caller_create(http, exchange);
	caller->model = g_strdup(request.target);
	caller->stream = request.stream;
	request.caller = caller->id;
	http->config.on_request(http->config.ctx, &request);
	g_bytes_unref(request.body);
	json_decref(body);
	g_string_free(prompt, TRUE);
	g_free(resume_id);
	g_free(key_hash);
	return;
error:
	log_error(LOG_COMPONENT, "completion refused", &err);
	reply_problem(exchange, 400, "bad-request", err.context);
	json_decref(body);
	g_string_free(prompt, TRUE);
	g_free(resume_id);
	g_free(key_hash);
}

/*
 * Starts a call of a service; the path names the service and the path within it.
 */
static void on_service(caller_http_t *http, http_exchange_t *exchange)
{
	const char *rest = http_exchange_target(exchange) + strlen(SERVICES_PREFIX);
	const char *end = rest + strcspn(rest, "/?");
	char *name = g_strndup(rest, (gsize)(end - rest));
	char *key_hash = caller_key_hash(exchange);
	size_t len;
	const char *data = http_exchange_body(exchange, &len);
	caller_request_t request = {
		.caller = caller_create(http, exchange)->id,
		.kind = TARGET_SERVICE,
		.key_hash = key_hash,
		.target = name,
		.path = *end == '/' ? end : "/",
		.idempotency_key =
			http_exchange_header(exchange, "idempotency-key"),
		.body = g_bytes_new(data, len),
	};

	http->config.on_request(http->config.ctx, &request);
	g_bytes_unref(request.body);
	g_free(name);
	g_free(key_hash);
}

/* Routes an HTTP request by its method and path. */
static void on_request(void *ctx, http_exchange_t *exchange)
{
	caller_http_t *http = ctx;
	bool post = !strcmp(http_exchange_method(exchange), "POST");
	const char *path = http_exchange_path(exchange);

	if (post && !strcmp(path, COMPLETIONS_PATH))
		on_completion(http, exchange);
	else if (post && g_str_has_prefix(path, SERVICES_PREFIX))
		on_service(http, exchange);
	else if (!http->config.on_other_request(http->config.ctx, exchange))
		reply_problem(exchange, 404, "not-found", "no such resource");
}

/*
 * Starts serving callers; CONFIG is copied. Returns NULL with ERR set if the
 * address can't be listened on. The caller destroys the result.
 */
caller_http_t *caller_http_create(uv_loop_t *loop,
				  const caller_http_config_t *config,
				  pd_error_t *err)
{
	caller_http_t *http = g_new0(caller_http_t, 1);
	const http_server_config_t server = {
		.address = config->address,
		.port = config->port,
		.body_max = config->body_max,
		.on_request = on_request,
		.ctx = http,
	};

	http->config = *config;
	http->callers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      caller_destroy);
	http->server = http_server_create(loop, &server, err);
	if (!http->server)
		goto error;
	return http;
error:
	caller_http_destroy(http);
	return NULL;
}

/* Stops listening and frees HTTP; NULL is allowed. */
void caller_http_destroy(caller_http_t *http)
{
	if (!http)
		return;
	http_server_destroy(http->server);
	g_hash_table_unref(http->callers);
	g_free(http);
}

/* Returns the TCP port that callers connect to. */
uint16_t caller_http_port(const caller_http_t *http)
{
	return http_server_port(http->server);
}

/* Returns the number of requests whose answer has not been sent completely. */
unsigned int caller_http_open_exchanges(const caller_http_t *http)
{
	return http_server_open_exchanges(http->server);
}

/*
 * Closes each connection after its answer, so that callers reconnect elsewhere.
 */
void caller_http_drain(caller_http_t *http)
{
	http_server_drain(http->server);
}

/* Returns the caller with that id, borrowed, or NULL if it has disconnected. */
static caller_t *caller_find(caller_http_t *http, caller_id_t id)
{
	return g_hash_table_lookup(http->callers, &id);
}

/* Ends the answer and removes the caller. */
static void caller_finish(caller_t *caller)
{
	http_exchange_end(caller->exchange);
	g_hash_table_remove(caller->http->callers, &caller->id);
}

/* Sends the headers of an event stream unless they have been sent. */
static void caller_begin_stream(caller_t *caller, const char *request_id)
{
	const http_header_t headers[] = {
		{ "content-type", "text/event-stream" },
		{ "cache-control", "no-store" },
		{ "x-request-id", request_id },
	};

	if (!http_exchange_has_begun(caller->exchange))
		http_exchange_begin(caller->exchange, 200, headers,
				    G_N_ELEMENTS(headers));
}

/*
 * Returns a completion object of the type OBJECT, owned by the caller; takes
 * CHOICE.
 */
static json_t *completion_json(const caller_t *caller, const char *request_id,
			       const char *object, json_t *choice)
{
	json_t *body = json_object();
	json_t *choices = json_array();

	json_object_set_new(choice, "index", json_integer(0));
	json_array_append_new(choices, choice);
	json_object_set_new(body, "id", json_string(request_id));
	json_object_set_new(body, "object", json_string(object));
	json_object_set_new(body, "model", json_string(caller->model));
	json_object_set_new(body, "choices", choices);
	return body;
}

/* Sends a server-sent event; ID and NAME may be NULL. */
static void caller_send_event(caller_t *caller, const char *id,
			      const char *name, json_t *data)
{
	char *text = json_dumps(data, JSON_COMPACT);
	GString *event = g_string_new(NULL);

	if (id)
		g_string_append_printf(event, "id: %s\n", id);
	if (name)
		g_string_append_printf(event, "event: %s\n", name);
	g_string_append_printf(event, "data: %s\n\n", text);
	http_exchange_send(caller->exchange, event->str, event->len);
	g_string_free(event, TRUE);
	free(text);
}

/*
 * Disconnects a caller that does not read its stream. The engine would keep
 * sending, and a few hundred such callers would exhaust the entry's memory. The
 * stream is truncated after a complete event and has no final one; the caller
 * may resume it with Last-Event-ID.
 */
static void caller_drop_slow_reader(caller_t *caller)
{
	http_exchange_t *exchange = caller->exchange;

	caller_on_disconnect(caller);
	http_exchange_truncate(exchange);
}

/*
 * Sends a caller the token at OFFSET of its answer, or collects it if the answer
 * is not streamed. The data is copied.
 */
void caller_http_send_token(caller_http_t *http, caller_id_t id,
			    const char *request_id, uint64_t offset,
			    const char *data, size_t len)
{
	caller_t *caller = caller_find(http, id);
	json_t *choice;
	json_t *chunk;
	char *event_id;

	if (!caller)
		return;
	caller->tokens = offset + 1;
	if (!caller->stream) {
		g_string_append_len(caller->answer, data, (gssize)len);
		return;
	}
	caller_begin_stream(caller, request_id);
	choice = json_object();
	json_object_set_new(choice, "delta",
			    json_pack("{s:s%}", "content", data, len));
	chunk = completion_json(caller, request_id, "chat.completion.chunk",
				choice);
	event_id = g_strdup_printf("%s/%" G_GUINT64_FORMAT, request_id, offset);
	caller_send_event(caller, event_id, NULL, chunk);
	g_free(event_id);
	json_decref(chunk);
	if (http_exchange_pending(caller->exchange) > UNSENT_BYTES_MAX)
		caller_drop_slow_reader(caller);
}

/* Replies with the collected answer as one completion. */
static void caller_reply_completion(caller_t *caller, const char *request_id)
{
	const http_header_t headers[] = {
		{ "content-type", "application/json" },
		{ "x-request-id", request_id },
	};
	json_t *choice = json_object();
	json_t *body;
	char *text;

	json_object_set_new(choice, "finish_reason", json_string("stop"));
	json_object_set_new(choice, "message",
			    json_pack("{s:s, s:s%}", "role", "assistant", "content",
				      caller->answer->str, caller->answer->len));
	body = completion_json(caller, request_id, "chat.completion", choice);
	json_object_set_new(body, "usage",
			    json_pack("{s:I}", "completion_tokens",
				      (json_int_t)caller->tokens));
	text = json_dumps(body, JSON_COMPACT);
	http_exchange_reply(caller->exchange, 200, headers,
			    G_N_ELEMENTS(headers), text, strlen(text));
	g_hash_table_remove(caller->http->callers, &caller->id);
	free(text);
	json_decref(body);
}

/* Completes the answer of a model. */
void caller_http_end(caller_http_t *http, caller_id_t id, const char *request_id)
{
	static const char done[] = "data: [DONE]\n\n";
	caller_t *caller = caller_find(http, id);

	if (!caller)
		return;
	if (!caller->stream) {
		caller_reply_completion(caller, request_id);
		return;
	}
	caller_begin_stream(caller, request_id);
	http_exchange_send(caller->exchange, done, strlen(done));
	caller_finish(caller);
}

/* Replies with the answer of a service, unchanged; DATA is copied. */
void caller_http_answer(caller_http_t *http, caller_id_t id, const char *request_id,
			int status, const char *data, size_t len, bool replayed)
{
	caller_t *caller = caller_find(http, id);
	const http_header_t headers[] = {
		{ "content-type", "application/json" },
		{ "x-request-id", request_id },
		{ "idempotency-replayed", replayed ? "true" : "false" },
	};

	if (!caller)
		return;
	http_exchange_reply(caller->exchange, status, headers,
			    G_N_ELEMENTS(headers), data, len);
	g_hash_table_remove(http->callers, &id);
}

/* Tells a caller without a stream to retry: a status in place of the event. */
static void caller_reply_moved(caller_t *caller, const char *request_id)
{
	const http_header_t headers[] = {
		{ "content-type", "application/problem+json" },
		{ "x-request-id", request_id },
		{ "retry-after", "1" },
	};
	json_t *problem = json_pack("{s:s, s:s, s:i, s:s}", "type",
				    PROBLEM_PREFIX "moved", "title", "moved",
				    "status", MOVED_STATUS, "request_id",
				    request_id);
	char *text = json_dumps(problem, JSON_COMPACT);

	http_exchange_reply(caller->exchange, MOVED_STATUS, headers,
			    G_N_ELEMENTS(headers), text, strlen(text));
	g_hash_table_remove(caller->http->callers, &caller->id);
	free(text);
	json_decref(problem);
}

/*
 * Tells a caller to reconnect, to any entry, with the id of the last event that
 * it received; OFFSET is the number of tokens sent. The event itself carries
 * that id, because a caller without any token has not seen one.
 */
void caller_http_send_moved(caller_http_t *http, caller_id_t id,
			    const char *request_id, uint64_t offset)
{
	caller_t *caller = caller_find(http, id);
	char *event_id;
	json_t *moved;

	if (!caller)
		return;
	if (!caller->stream) {
		caller_reply_moved(caller, request_id);
		return;
	}
	event_id = offset ? g_strdup_printf("%s/%" G_GUINT64_FORMAT, request_id,
					    offset - 1)
			  : g_strdup(request_id);
	moved = json_pack("{s:s}", "request_id", request_id);
	caller_begin_stream(caller, request_id);
	caller_send_event(caller, event_id, "moved", moved);
	caller_finish(caller);
	json_decref(moved);
	g_free(event_id);
}

/*
 * Returns the problem document of a refusal, owned by the caller; REQUEST_ID may
 * be NULL.
 */
static json_t *refusal_json(const char *request_id, refusal_t refusal,
			    refusal_reason_t reason)
{
	char *type = g_strconcat(PROBLEM_PREFIX, refusal_name(refusal), NULL);
	json_t *problem = json_object();

	json_object_set_new(problem, "type", json_string(type));
	json_object_set_new(problem, "title", json_string(refusal_name(refusal)));
	json_object_set_new(problem, "status",
			    json_integer(refusal_status(refusal)));
	json_object_set_new(problem, "reason",
			    json_string(refusal_reason_name(reason)));
	if (request_id)
		json_object_set_new(problem, "request_id", json_string(request_id));
	g_free(type);
	return problem;
}

/*
 * Refuses a request. A stream that has begun ends with an error event instead,
 * as its status has already been sent. RETRY_AFTER is rounded up to seconds; 0
 * sends none.
 */
void caller_http_refuse(caller_http_t *http, caller_id_t id,
			const char *request_id, refusal_t refusal,
			refusal_reason_t reason, pd_time_t retry_after)
{
	caller_t *caller = caller_find(http, id);
	json_t *problem;
	char *seconds;
	char *text;

	if (!caller)
		return;
	problem = refusal_json(request_id, refusal, reason);
	if (http_exchange_has_begun(caller->exchange)) {
		caller_send_event(caller, NULL, "error", problem);
		caller_finish(caller);
		json_decref(problem);
		return;
	}
	seconds = g_strdup_printf("%" G_GINT64_FORMAT,
				  (retry_after + PD_SEC - 1) / PD_SEC);
	text = json_dumps(problem, JSON_COMPACT);
	{
		const http_header_t headers[] = {
			{ "content-type", "application/problem+json" },
			{ "x-request-id", request_id ? request_id : "-" },
			{ "retry-after", seconds },
		};

		http_exchange_reply(caller->exchange, refusal_status(refusal),
				    headers, retry_after ? 3 : 2, text,
				    strlen(text));
	}
	g_hash_table_remove(http->callers, &id);
	free(text);
	g_free(seconds);
	json_decref(problem);
}
