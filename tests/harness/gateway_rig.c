/* The stand-ins of the rig and the processes between them. */
#include "tests/harness/gateway_rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define EVENT_MS 20

/* A connection to one of the stand-ins. */
typedef struct visit {
	rig_server_t *server;
	http1_t *conn;
	list_node_t watch; /* in the rig's watches, while one waits */
	json_int_t since;
	char *kind;
	char *method;
	char *target;
	char *call_id;
	char *resume_after;
	GString *body;
	uv_timer_t timer;
	rig_act_t act;
	int event; /* the last that was sent */
	bool busy; /* a request was read and not answered */
} visit_t;

static void visit_write(visit_t *visit, int status, const char *headers,
			const char *body)
{
	char *text = g_strdup_printf("HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n"
				     "%s\r\n%s",
				     status, http1_reason(status), strlen(body),
				     headers, body);

	visit->busy = false;
	http1_write(visit->conn, text, strlen(text));
	g_free(text);
}

static void visit_json(visit_t *visit, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	visit_write(visit, status, "Content-Type: application/json\r\n", text);
	free(text);
	json_decref(body);
}

static void visit_freed(uv_handle_t *handle)
{
	visit_t *visit = handle->data;

	g_free(visit->kind);
	g_free(visit->method);
	g_free(visit->target);
	g_free(visit->call_id);
	g_free(visit->resume_after);
	g_string_free(visit->body, TRUE);
	g_free(visit);
}

static void visit_free(visit_t *visit)
{
	list_remove(&visit->watch);
	if (!uv_is_closing((uv_handle_t *)&visit->timer))
		uv_close((uv_handle_t *)&visit->timer, visit_freed);
}

static void visit_cut(visit_t *visit)
{
	http1_close_when_sent(visit->conn);
	visit_free(visit);
}

static void on_connected(void *ctx)
{
	(void)ctx;
}

static void on_head(void *ctx, const http1_head_t *head)
{
	visit_t *visit = ctx;
	GString *last = visit->server->last;

	g_free(visit->method);
	g_free(visit->target);
	g_free(visit->call_id);
	g_free(visit->resume_after);
	visit->method = g_strdup(head->method);
	visit->target = g_strdup(head->target);
	visit->call_id = g_strdup(
		header_find(head->headers, head->header_count, "X-Attempt-Id"));
	visit->resume_after = g_strdup(
		header_find(head->headers, head->header_count, "Last-Event-Id"));
	g_string_truncate(visit->body, 0);
	g_string_printf(last, "%s %s\n", head->method, head->target);
	for (size_t i = 0; i < head->header_count; i++)
		g_string_append_printf(last, "%s: %s\n", head->headers[i].name,
				       head->headers[i].value);
}

static void on_body(void *ctx, const char *data, size_t len)
{
	visit_t *visit = ctx;

	g_string_append_len(visit->body, data, (gssize)len);
	g_string_append_len(visit->server->last, data, (gssize)len);
}

/* Returns how often an upstream began to run a call. */
unsigned int rig_runs(const gateway_rig_t *rig, const char *call_id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(rig->runs, call_id));
}

/* Upstreams. */

static void upstream_answer_body(visit_t *visit, int status, const char *id,
				 const char *body)
{
	char *headers = g_strdup_printf("X-Attempt-Id: %s\r\n"
					"X-Response-Seal: s%d\r\n"
					"Keep-Alive: timeout=5\r\n",
					id ? id : "", visit->server->number);

	visit_write(visit, status, headers, body);
	g_free(headers);
}

static void upstream_answer(visit_t *visit, int status, const char *id)
{
	char *body = g_strdup_printf("from %d", visit->server->number);

	upstream_answer_body(visit, status, id, body);
	g_free(body);
}

static void upstream_answer_large(visit_t *visit)
{
	char *body = g_strnfill(RIG_LARGE_BYTES, 'x');

	upstream_answer_body(visit, 200, visit->call_id, body);
	g_free(body);
}

static void on_slow(uv_timer_t *timer)
{
	visit_t *visit = timer->data;

	upstream_answer(visit, 200, visit->call_id);
}

static void stream_write(visit_t *visit, const char *text)
{
	char *chunk = g_strdup_printf("%zx\r\n%s\r\n", strlen(text), text);

	http1_write(visit->conn, chunk, strlen(chunk));
	g_free(chunk);
}

static void on_event(uv_timer_t *timer)
{
	visit_t *visit = timer->data;
	char event[64];

	visit->event++;
	if (visit->act == RIG_STREAM_CUT && visit->event == 4) {
		stream_write(visit, "id: 4\nda");
		visit_cut(visit);
		return;
	}
	snprintf(event, sizeof(event), "id: %d\ndata: e%d\n\n", visit->event,
		 visit->event);
	stream_write(visit, event);
	if (visit->event < RIG_EVENTS)
		return;
	uv_timer_stop(timer);
	visit->busy = false;
	http1_write(visit->conn, "0\r\n\r\n", 5);
}

static void stream_begin(visit_t *visit)
{
	char *head = g_strdup_printf("HTTP/1.1 200 OK\r\n"
				     "Content-Type: text/event-stream\r\n"
				     "Transfer-Encoding: chunked\r\n"
				     "X-Attempt-Id: %s\r\n"
				     "X-Response-Seal: s%d\r\n\r\n",
				     visit->call_id ? visit->call_id : "",
				     visit->server->number);

	http1_write(visit->conn, head, strlen(head));
	g_free(head);
	visit->event = visit->resume_after ? atoi(visit->resume_after) : 0;
	uv_timer_start(&visit->timer, on_event, EVENT_MS, EVENT_MS);
}

static void upstream_serve(visit_t *visit)
{
	static const char cut[] = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n"
				  "X-Response-Seal: s\r\n\r\nabc";

	gateway_rig_t *rig = visit->server->rig;

	visit->act = visit->server->act;
	if (rig->choose_act)
		visit->act = rig->choose_act(rig->ctx, visit->target);
	if (visit->act != RIG_REJECT && visit->call_id)
		g_hash_table_insert(rig->runs, g_strdup(visit->call_id),
				    GUINT_TO_POINTER(
					    rig_runs(rig, visit->call_id) + 1));
	switch (visit->act) {
	case RIG_ANSWER:
		upstream_answer(visit, 200, visit->call_id);
		return;
	case RIG_FAIL:
		upstream_answer(visit, 500, visit->call_id);
		return;
	case RIG_REJECT:
		visit_write(visit, 503, "X-Not-Run: 1\r\n", "");
		return;
	case RIG_HANG:
		return;
	case RIG_CUT:
		http1_write(visit->conn, cut, sizeof(cut) - 1);
		visit_cut(visit);
		return;
	case RIG_DOUBLE:
		upstream_answer(visit, 200, "of-another-call");
		upstream_answer(visit, 200, visit->call_id);
		return;
	case RIG_SLOW:
		uv_timer_start(&visit->timer, on_slow, RIG_SLOW_MS, 0);
		return;
	case RIG_LARGE:
		upstream_answer_large(visit);
		return;
	case RIG_STREAM:
	case RIG_STREAM_CUT:
		stream_begin(visit);
		return;
	}
}

/* The store. */

static json_t *store_kind(gateway_rig_t *rig, const char *kind)
{
	json_t *objects = json_object_get(rig->objects, kind);

	if (!objects) {
		objects = json_object();
		json_object_set_new(rig->objects, kind, objects);
	}
	return objects;
}

static json_t *watch_events(const gateway_rig_t *rig, const char *kind,
			    json_int_t since)
{
	json_t *found = json_array();
	json_t *event;
	size_t i;

	json_array_foreach(rig->events, i, event)
	{
		if (json_integer_value(json_object_get(event, "at")) > since &&
		    !strcmp(json_string_value(json_object_get(event, "kind")), kind))
			json_array_append(found,
					  json_object_get(event, "event"));
	}
	return found;
}

static bool watch_answer(visit_t *visit, bool even_if_empty)
{
	const gateway_rig_t *rig = visit->server->rig;
	json_t *events = watch_events(rig, visit->kind, visit->since);

	if (!json_array_size(events) && !even_if_empty) {
		json_decref(events);
		return false;
	}
	uv_timer_stop(&visit->timer);
	list_remove(&visit->watch);
	visit_json(visit, 200,
		   json_pack("{s:o, s:I}", "events", events, "asOf", rig->revision));
	return true;
}

static void on_watch_timeout(uv_timer_t *timer)
{
	watch_answer(timer->data, true);
}

static void store_changed(gateway_rig_t *rig, const char *kind, json_t *object,
			  bool gone)
{
	json_t *event =
		json_pack("{s:b, s:O}", "tombstone", gone, "object", object);

	json_array_append_new(rig->events,
			      json_pack("{s:s, s:I, s:o}", "kind", kind, "at",
					rig->revision, "event", event));
	LIST_FOR_EACH_SAFE (it, &rig->watches)
		watch_answer(LIST_ENTRY(it, visit_t, watch), false);
}

static json_t *store_write(gateway_rig_t *rig, const char *kind,
			   const char *name, json_t *spec)
{
	json_t *object = json_pack("{s:{s:s, s:I}, s:o}", "metadata", "name", name,
				   "revision", ++rig->revision, "spec", spec);

	json_object_set_new(store_kind(rig, kind), name, object);
	store_changed(rig, kind, object, false);
	return object;
}

/* Puts an object into the store, as operators and upstreams do. */
void rig_put(gateway_rig_t *rig, const char *kind, const char *name,
	     const char *spec)
{
	json_error_t err;
	json_t *value = json_loads(spec, 0, &err);

	if (!value)
		g_error("not JSON: %s", spec);
	store_write(rig, kind, name, value);
}

/* Takes an object out of the store. */
void rig_remove(gateway_rig_t *rig, const char *kind, const char *name)
{
	json_t *object = json_incref(json_object_get(store_kind(rig, kind), name));

	json_object_del(store_kind(rig, kind), name);
	rig->revision++;
	store_changed(rig, kind, object, true);
	json_decref(object);
}

static void store_list(visit_t *visit)
{
	gateway_rig_t *rig = visit->server->rig;
	bool more = rig->first_page_only && !strcmp(visit->kind, "servers");
	json_t *items = json_array();
	const char *name;
	json_t *object;

	json_object_foreach(store_kind(rig, visit->kind), name, object)
		json_array_append(items, object);
	visit_json(visit, 200,
		   json_pack("{s:o, s:b, s:I}", "items", items, "hasMore", more,
			     "asOf", rig->revision));
}

/* Returns whether a write that was done is not answered. */
static bool store_loses_answer(visit_t *visit)
{
	gateway_rig_t *rig = visit->server->rig;

	if (!rig->answers_lost || !strcmp(visit->kind, "leases"))
		return false;
	rig->answers_lost--;
	return true;
}

static void store_change(visit_t *visit, const char *name)
{
	gateway_rig_t *rig = visit->server->rig;
	json_error_t err;
	json_t *body = json_loads(visit->body->str, 0, &err);
	json_t *head = json_object_get(body, "metadata");
	json_t *known;
	json_int_t asked =
		json_integer_value(json_object_get(head, "revision"));
	bool conflict;

	if (!name)
		name = json_string_value(json_object_get(head, "name"));
	known = json_object_get(store_kind(rig, visit->kind), name);
	conflict = known && asked != json_integer_value(json_object_get(
					     json_object_get(known, "metadata"),
					     "revision"));
	if (conflict) {
		visit_json(visit, 409, json_incref(known));
	} else {
		known = store_write(rig, visit->kind, name,
				    json_incref(json_object_get(body, "spec")));
		if (!store_loses_answer(visit))
			visit_json(visit, 200, json_incref(known));
	}
	json_decref(body);
}

static void note_reading(gateway_rig_t *rig, const char *kind, bool watch)
{
	uint64_t now = uv_hrtime() / 1000000;

	if (strcmp(kind, "servers") != 0)
		return;
	if (!watch) {
		rig->listed_ms = now;
		rig->watched_ms = 0;
	} else if (!rig->watched_ms) {
		rig->watched_ms = now;
	}
}

static void store_serve(visit_t *visit)
{
	gateway_rig_t *rig = visit->server->rig;
	char **parts = g_strsplit_set(visit->target, "/?", -1);
	const char *watch = strstr(visit->target, "watch=");
	const char *wait = strstr(visit->target, "waitMs=");
	const char *name = g_strv_length(parts) > 3 && !watch ? parts[3] : NULL;

	g_free(visit->kind);
	visit->kind = g_strdup(parts[2]);
	note_reading(rig, visit->kind, watch != NULL);
	if (strcmp(visit->method, "GET") != 0) {
		store_change(visit, name);
	} else if (watch) {
		visit->since = strtoll(watch + strlen("watch="), NULL, 10);
		if (!watch_answer(visit, false)) {
			list_append(&rig->watches, &visit->watch);
			uv_timer_start(&visit->timer, on_watch_timeout,
				       wait ? (uint64_t)atoi(wait + 7) : 0, 0);
		}
	} else if (name && *name) {
		json_t *object =
			json_object_get(store_kind(rig, visit->kind), name);

		if (object)
			visit_json(visit, 200, json_incref(object));
		else
			visit_write(visit, 404, "", "{}");
	} else {
		store_list(visit);
	}
	g_strfreev(parts);
}

static void cloud_serve(visit_t *visit)
{
	gateway_rig_t *rig = visit->server->rig;
	GPtrArray *into = strstr(visit->target, "usage") ? rig->usage : rig->orders;

	g_ptr_array_add(into, g_strdup(visit->body->str));
	if (into == rig->usage || !rig->orders_unanswered)
		visit_write(visit, 200, "", "{}");
}

/* The servers. */

static void on_message(void *ctx)
{
	visit_t *visit = ctx;
	rig_server_t *server = visit->server;
	gateway_rig_t *rig = server->rig;

	server->arrivals++;
	visit->busy = true;
	if (server->down) {
		visit_cut(visit);
		return;
	}
	if (server->silent) {
		server->silent_watches +=
			g_str_has_prefix(visit->target,
					 "/objects/servers?watch=");
		return;
	}
	if (server >= rig->upstreams && server < rig->upstreams + RIG_UPSTREAMS)
		upstream_serve(visit);
	else if (server == &rig->cloud)
		cloud_serve(visit);
	else
		store_serve(visit);
}

static void on_end(void *ctx, http1_end_t end)
{
	visit_t *visit = ctx;

	(void)end;
	visit->server->hang_ups += visit->busy;
	visit_free(visit);
}

static void on_accept(uv_stream_t *listener, int status)
{
	static const http1_events_t events = { on_connected, on_head, on_body,
					       on_message, on_end };
	rig_server_t *server = listener->data;
	visit_t *visit;

	if (status < 0)
		return;
	visit = g_new0(visit_t, 1);
	visit->server = server;
	visit->body = g_string_new(NULL);
	list_init(&visit->watch);
	uv_timer_init(&server->rig->loop, &visit->timer);
	visit->timer.data = visit;
	visit->conn =
		http1_create(&server->rig->loop, HTTP1_SERVER, &events, visit);
	http1_accept(visit->conn, listener);
}

static void server_start(gateway_rig_t *rig, rig_server_t *server, int number)
{
	struct sockaddr_in addr;
	int len = sizeof(addr);

	server->rig = rig;
	server->number = number;
	server->last = g_string_new(NULL);
	uv_tcp_init(&rig->loop, &server->listener);
	server->listener.data = server;
	uv_ip4_addr("127.0.0.1", 0, &addr);
	uv_tcp_bind(&server->listener, (struct sockaddr *)&addr, 0);
	uv_listen((uv_stream_t *)&server->listener, 64, on_accept);
	uv_tcp_getsockname(&server->listener, (struct sockaddr *)&addr, &len);
	server->port = ntohs(addr.sin_port);
}

static void on_pace(uv_timer_t *timer)
{
	(void)timer;
}

/* Starts the stand-ins; gateways are started apart. */
gateway_rig_t *gateway_rig_create(void)
{
	gateway_rig_t *rig = g_new0(gateway_rig_t, 1);
	int i;

	/* A stand-in may write to a gateway that was killed a moment ago. */
	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&rig->loop);
	uv_timer_init(&rig->loop, &rig->pacer);
	uv_timer_start(&rig->pacer, on_pace, 2, 2);
	rig->dir = g_dir_make_tmp("gateway-XXXXXX", NULL);
	rig->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rig->objects = json_object();
	rig->events = json_array();
	rig->usage = g_ptr_array_new_with_free_func(g_free);
	rig->orders = g_ptr_array_new_with_free_func(g_free);
	list_init(&rig->watches);
	for (i = 0; i < RIG_GATEWAYS; i++)
		server_start(rig, &rig->stores[i], i);
	for (i = 0; i < RIG_UPSTREAMS; i++)
		server_start(rig, &rig->upstreams[i], i);
	server_start(rig, &rig->cloud, 0);
	return rig;
}

static void close_handle(uv_handle_t *handle, void *ctx)
{
	(void)ctx;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

/* Ends the gateways and the stand-ins. What they hold ends with the test. */
void gateway_rig_destroy(gateway_rig_t *rig)
{
	for (int i = 0; i < RIG_GATEWAYS; i++)
		process_destroy(rig->gateways[i]);
	for (int i = 0; i < 50; i++)
		uv_run(&rig->loop, UV_RUN_NOWAIT);
	uv_walk(&rig->loop, close_handle, NULL);
	while (uv_run(&rig->loop, UV_RUN_NOWAIT))
		continue;
	uv_loop_close(&rig->loop);
	g_hash_table_unref(rig->runs);
	json_decref(rig->objects);
	json_decref(rig->events);
	g_ptr_array_unref(rig->usage);
	g_ptr_array_unref(rig->orders);
	g_free(rig->dir);
	g_free(rig);
}

/* Lets the loop take what is there, waiting for at most a few milliseconds. */
void rig_turn(gateway_rig_t *rig)
{
	uv_run(&rig->loop, UV_RUN_ONCE);
}

/*
 * Puts a configuration in force: /safe/, /unsafe/, /stream/ (may be resumed)
 * and /once/ (a stream that may not), all to one service with one account.
 */
void rig_put_config(gateway_rig_t *rig, int version, const char *more_routes)
{
	static const char *const kinds[] = { "safe", "unsafe", "stream", "once" };
	GString *spec = g_string_new(NULL);

	g_string_printf(spec, "{\"version\":%d,\"routes\":[", version);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		g_string_append_printf(
			spec,
			"%s{\"name\":\"%s\",\"host\":\"h\",\"pathPrefix\":"
			"\"/%s/\",\"kind\":\"%s\",\"timeoutMs\":4000,"
			"\"goalMs\":2000,\"priority\":1,\"service\":\"s\","
			"\"maxAttempts\":2,\"resumable\":%s}",
			i ? "," : "", kinds[i], kinds[i],
			i < 2 ? kinds[i] : "stream", i == 2 ? "true" : "false");
	g_string_append_printf(
		spec,
		"%s],\"services\":[{\"name\":\"s\",\"maxConns\":64}],"
		"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":65536,"
		"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
		"\"tenants\":[{\"name\":\"mill\",\"apiKeys\":[\"k\"]}]}",
		more_routes);
	rig_put(rig, "config", "main", spec->str);
	g_string_free(spec, TRUE);
}

static uint16_t via(uint16_t between, uint16_t port)
{
	return between ? between : port;
}

static void put_entry(gateway_rig_t *rig, int number, const char *state,
		      const char *more)
{
	char name[16];
	char spec[256];

	snprintf(name, sizeof(name), "u%d", number);
	snprintf(spec, sizeof(spec),
		 "{\"service\":\"s\",\"address\":\"127.0.0.1:%u\","
		 "\"zone\":\"a\",\"slots\":8,\"state\":\"%s\"%s}",
		 via(rig->upstream_via[number], rig->upstreams[number].port),
		 state, more);
	rig_put(rig, "servers", name, spec);
}

/* Lists an upstream in the store: "ready" or "draining". */
void rig_put_upstream(gateway_rig_t *rig, int number, const char *state)
{
	put_entry(rig, number, state, "");
}

/* Lists an upstream that serves and was started at BORN, in milliseconds. */
void rig_put_started(gateway_rig_t *rig, int number, long born)
{
	char more[32];

	snprintf(more, sizeof(more), ",\"born\":%ld", born);
	put_entry(rig, number, "ready", more);
}

static char *settings_path(const gateway_rig_t *rig, int number)
{
	return g_strdup_printf("%s/g%d.toml", rig->dir, number);
}

/*
 * Writes a gateway's settings: its door to the store, and for seeds the others
 * whose ports are known.
 */
void rig_write_settings(gateway_rig_t *rig, int number, int door)
{
	char *path = settings_path(rig, number);
	GString *seeds = g_string_new(NULL);
	char *text;

	for (int i = 0; i < RIG_GATEWAYS; i++) {
		if (i != number && rig->peer_ports[i])
			g_string_append_printf(seeds, "%s\"127.0.0.1:%u\"",
					       seeds->len ? ", " : "",
					       rig->peer_ports[i]);
	}
	text = g_strdup_printf(
		"[node]\nid = \"g%d\"\nzone = \"a\"\n[fleet]\nzones = [\"a\"]\n"
		"[callers]\nlisten = \"127.0.0.1:0\"\n"
		"[health]\nlisten = \"127.0.0.1:0\"\n"
		"[peers]\nlisten = \"127.0.0.1:0\"\nseeds = [%s]\n"
		"[store]\naddress = \"127.0.0.1:%u\"\n"
		"[cloud]\naddress = \"127.0.0.1:%u\"\n"
		"[retry]\nslack = 100\n[stop]\ngrace_s = 8\n"
		"[duties]\nusage_window_s = 1\nlease_gap_ms = 300\n",
		number, seeds->str,
		via(rig->store_via[door], rig->stores[door].port),
		rig->cloud.port);
	g_file_set_contents(path, text, -1, NULL);
	g_free(text);
	g_string_free(seeds, TRUE);
	g_free(path);
}

/* Spoils a gateway's settings. */
void rig_spoil_settings(gateway_rig_t *rig, int number)
{
	char *path = settings_path(rig, number);

	g_file_set_contents(path, "[retry]\nslack = \"many\"\n", -1, NULL);
	g_free(path);
}

/* Starts a gateway on settings of its own. */
void rig_start(gateway_rig_t *rig, int number)
{
	char *path = settings_path(rig, number);
	char *name = g_strdup_printf("g%d", number);
	char *program =
		g_strdup_printf("%s/pistachio-gateway",
				g_getenv("B") ? g_getenv("B") : "build/release");
	const char *const argv[] = { program, "--settings", path, NULL };

	rig_write_settings(rig, number, number);
	rig->gateways[number] = process_start(rig->dir, name, argv);
	g_free(program);
	g_free(name);
	g_free(path);
}

/* Returns a port that a gateway has logged, 0 before it has. */
uint16_t rig_port(gateway_rig_t *rig, int number, const char *what)
{
	process_t *process = rig->gateways[number];
	char *before = g_strdup_printf("listen %s=", what);
	int port = process_read_port(process, process->out_path, before);

	g_free(before);
	return (uint16_t)port;
}

/* Opens a caller's connection and sends bytes. */
rig_caller_t *rig_call(gateway_rig_t *rig, uint16_t port, const char *text)
{
	rig_caller_t *caller = g_new0(rig_caller_t, 1);
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port) };

	(void)rig;
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	caller->got = g_string_new(NULL);
	caller->fd = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(caller->fd, (struct sockaddr *)&addr, sizeof(addr)) < 0)
		caller->closed = true;
	fcntl(caller->fd, F_SETFL, O_NONBLOCK);
	rig_say(caller, text);
	return caller;
}

/* Sends more bytes. */
void rig_say(rig_caller_t *caller, const char *text)
{
	if (!caller->closed)
		(void)send(caller->fd, text, strlen(text), MSG_NOSIGNAL);
}

/* Takes in one buffer at most of what has come back; false: nothing was there. */
bool rig_hear_some(rig_caller_t *caller)
{
	char buffer[4096];
	ssize_t len;

	if (caller->closed)
		return false;
	len = recv(caller->fd, buffer, sizeof(buffer), 0);
	if (len < 0 && errno == EAGAIN)
		return false;
	if (len > 0)
		g_string_append_len(caller->got, buffer, len);
	else
		caller->closed = true;
	return true;
}

/* Takes in what has come back. */
void rig_hear(rig_caller_t *caller)
{
	while (rig_hear_some(caller))
		continue;
}

/* Closes the connection, as a caller does who gives up. */
void rig_hang_up(rig_caller_t *caller)
{
	close(caller->fd);
	caller->closed = true;
	caller->fd = -1;
}

/* Closes and frees a caller. */
void rig_caller_destroy(rig_caller_t *caller)
{
	if (caller->fd >= 0)
		close(caller->fd);
	g_string_free(caller->got, TRUE);
	g_free(caller);
}
