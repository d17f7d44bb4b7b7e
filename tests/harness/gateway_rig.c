/* The mock servers of the rig, and its gateway processes and callers. */
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

/* Below the ports that Linux gives to connections. */
#define LISTEN_PORTS_FIRST 10000
#define LISTEN_PORTS 20000
#define SEEDS_MAX 3 /* in the settings of a gateway */
#define EVENT_MS 20 /* between the events of a stream */

/* Returns the time in ms of a steady clock. */
uint64_t rig_now_ms(void)
{
	return uv_hrtime() / 1000000;
}

/* A connection to one of the mock servers. */
typedef struct session {
	list_node_t node; /* in server->sessions */
	rig_server_t *server;
	http1_t *conn;
	list_node_t watch; /* in rig->watches while a watch is held open */
	json_int_t since;
	char *kind;
	char *method;
	char *target;
	char *call_id;
	char *expected_id; /* of the upstream that may run the call; NULL: any */
	char *resume_after;
	GString *body;
	uv_timer_t timer;
	rig_behavior_t behavior;
	int event; /* number of the last one sent */
	const char *piece; /* of an endless answer */
	const char *version; /* of the upstream when the stream began */
	bool busy; /* a request awaits its response */
	bool works; /* it takes room of its upstream */
} session_t;

/* Sends a complete response; HEADERS are lines that end in CRLF. */
static void session_write(session_t *session, int status, const char *headers,
			  const char *body)
{
	char *text = g_strdup_printf("HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n"
				     "%s\r\n%s",
				     status, http1_reason_phrase(status),
				     strlen(body), headers, body);

	session->busy = false;
	http1_write(session->conn, text, strlen(text));
	g_free(text);
}

/* Sends a JSON response; takes over BODY. */
static void session_json(session_t *session, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	session_write(session, status, "Content-Type: application/json\r\n", text);
	free(text);
	json_decref(body);
}

/* Frees the session once its timer is closed. */
static void session_freed(uv_handle_t *handle)
{
	session_t *session = handle->data;

	g_free(session->kind);
	g_free(session->method);
	g_free(session->target);
	g_free(session->call_id);
	g_free(session->expected_id);
	g_free(session->resume_after);
	g_string_free(session->body, TRUE);
	g_free(session);
}

/* Gives back the room that a session takes of its upstream, if any. */
static void end_work(session_t *session)
{
	if (session->works)
		session->server->running--;
	session->works = false;
}

/* Frees the session; its connection is closed elsewhere. */
static void session_free(session_t *session)
{
	end_work(session);
	list_remove(&session->node);
	list_remove(&session->watch);
	if (!uv_is_closing((uv_handle_t *)&session->timer))
		uv_close((uv_handle_t *)&session->timer, session_freed);
}

/* Closes the connection after what was written, and frees the session. */
static void session_cut(session_t *session)
{
	http1_close_when_sent(session->conn);
	session_free(session);
}

static void on_connected(void *ctx)
{
	(void)ctx;
}

/* Stores the head of a request, and appends it to the server's last request. */
static void on_head(void *ctx, const http1_head_t *head)
{
	session_t *session = ctx;
	GString *last = session->server->last;

	g_free(session->method);
	g_free(session->target);
	g_free(session->call_id);
	g_free(session->expected_id);
	g_free(session->resume_after);
	session->method = g_strdup(head->method);
	session->target = g_strdup(head->target);
	session->call_id = g_strdup(
		header_find(head->headers, head->header_count, "X-Attempt-Id"));
	session->expected_id =
		g_strdup(header_find(head->headers, head->header_count,
				     "X-Expect-Instance"));
	session->resume_after = g_strdup(
		header_find(head->headers, head->header_count, "Last-Event-Id"));
	g_string_truncate(session->body, 0);
	g_string_printf(last, "%s %s\n", head->method, head->target);
	for (size_t i = 0; i < head->header_count; i++)
		g_string_append_printf(last, "%s: %s\n", head->headers[i].name,
				       head->headers[i].value);
}

/* Appends to the body of a request. */
static void on_body(void *ctx, const char *data, size_t len)
{
	session_t *session = ctx;

	g_string_append_len(session->body, data, (gssize)len);
	g_string_append_len(session->server->last, data, (gssize)len);
}

/* Returns how often upstreams began to run a call, all together. */
unsigned int rig_run_count(const gateway_rig_t *rig, const char *call_id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(rig->runs, call_id));
}

static void on_accept(uv_stream_t *listener, int status);
static json_t *store_kind(gateway_rig_t *rig, const char *kind);

/* Upstreams. */

/* Appends the headers that name an upstream's limits, if it has any. */
static void append_limits(GString *headers, const rig_server_t *server)
{
	if (server->brittle)
		g_string_append_printf(headers, "Server-Brittle: %u\r\n",
				       server->brittle);
	if (server->leaving)
		g_string_append_printf(headers, "Server-Leaving: %s\r\n",
				       server->leaving);
	if (server->rate_limit > 0)
		g_string_append_printf(headers, "Server-Limit: %.1f\r\n",
				       server->rate_limit);
}

/* Sends an upstream's sealed response to the call with ID; NULL: to none. */
static void upstream_answer_body(session_t *session, int status, const char *id,
				 const char *body)
{
	GString *headers = g_string_new(NULL);

	g_string_printf(headers,
			"X-Attempt-Id: %s\r\nX-Response-Seal: s%d\r\n"
			"Keep-Alive: timeout=5\r\n",
			id ? id : "", session->server->number);
	append_limits(headers, session->server);
	session_write(session, status, headers->str, body);
	g_string_free(headers, TRUE);
}

/* Sends a response whose body has the number of the upstream. */
static void upstream_answer(session_t *session, int status, const char *id)
{
	char *body = g_strdup_printf("from %d", session->server->number);

	upstream_answer_body(session, status, id, body);
	g_free(body);
}

/* Rejects a call for want of room; a brittle upstream may fall over. */
static void upstream_reject(session_t *session)
{
	rig_server_t *server = session->server;
	uint64_t now = rig_now_ms();
	GString *headers = g_string_new("X-Not-Run: 1\r\n");
	uint64_t *oldest;
	bool falls;

	append_limits(headers, server);
	if (server->rest)
		g_string_append_printf(headers, "Retry-After: %s\r\n",
				       server->rest);
	session_write(session, 503, headers->str, "");
	g_string_free(headers, TRUE);
	if (!server->brittle)
		return;
	/* More than BRITTLE in any second: the one so many before is in it. */
	oldest = &server->rejected_ms[server->rejections++ %
				      MIN(server->brittle, RIG_BRITTLE_MAX)];
	falls = *oldest && now - *oldest < 1000;
	*oldest = now;
	if (!falls)
		return;
	memset(server->rejected_ms, 0, sizeof(server->rejected_ms));
	server->rejections = 0;
	server->falls++;
	server->down_until_ms = now + RIG_DOWN_MS;
}

static void upstream_answer_large(session_t *session)
{
	char *body = g_strnfill(RIG_LARGE_BYTES, 'x');

	upstream_answer_body(session, 200, session->call_id, body);
	g_free(body);
}

static void on_slow(uv_timer_t *timer)
{
	session_t *session = timer->data;

	end_work(session);
	if (session->behavior == RIG_REJECT_SLOWLY)
		upstream_reject(session);
	else
		upstream_answer(session, 200, session->call_id);
}

/* Sends a chunk of a chunked response. */
static void write_chunk(session_t *session, const char *text, size_t len)
{
	char *chunk = g_strdup_printf("%zx\r\n%.*s\r\n", len, (int)len, text);

	http1_write(session->conn, chunk, strlen(chunk));
	g_free(chunk);
}

/* Returns whether the response to a session is chunked. */
static bool is_chunked(const session_t *session)
{
	return session->behavior != RIG_STREAM_SIZED &&
	       session->behavior != RIG_STREAM_UNFRAMED;
}

/* Sends a part of a stream. */
static void stream_write(session_t *session, const char *text)
{
	if (!is_chunked(session))
		http1_write(session->conn, text, strlen(text));
	else if (session->behavior == RIG_STREAM_PIECES)
		for (const char *at = text; *at; at++)
			write_chunk(session, at, 1);
	else
		write_chunk(session, text, strlen(text));
}

/* Returns the text of an event; owned by the caller. */
static char *event_text(const session_t *session, int event)
{
	const char *version = session->version ? session->version : "";

	if (session->behavior == RIG_STREAM_WITHOUT_IDS && event != 2)
		return g_strdup_printf("data: e%d%s\n\n", event, version);
	return g_strdup_printf("id: %d\ndata: e%d%s\n\n", event, event, version);
}

/* Sends the next event of a stream, and ends the stream after the last one. */
static void on_event(uv_timer_t *timer)
{
	session_t *session = timer->data;
	char *event;

	session->event++;
	if (session->behavior == RIG_STREAM_CUT && session->event == 4) {
		stream_write(session, "id: 4\nda");
		session_cut(session);
		return;
	}
	if (session->event <= RIG_EVENTS) {
		event = event_text(session, session->event);
		stream_write(session, event);
		g_free(event);
	}
	if (session->event < RIG_EVENTS)
		return;
	uv_timer_stop(timer);
	session->busy = false;
	if (session->behavior == RIG_STREAM_UNFRAMED)
		session_cut(session);
	else if (is_chunked(session))
		http1_write(session->conn, "0\r\n\r\n", 5);
}

/* Appends how the end of a stream is found, to the head of the response. */
static void append_framing(GString *head, const session_t *session)
{
	size_t len = 0;

	if (is_chunked(session))
		g_string_append(head, "Transfer-Encoding: chunked\r\n");
	if (session->behavior != RIG_STREAM_SIZED)
		return;
	for (int i = session->event + 1; i <= RIG_EVENTS; i++) {
		char *event = event_text(session, i);

		len += strlen(event);
		g_free(event);
	}
	g_string_append_printf(head, "Content-Length: %zu\r\n", len);
}

/* Starts a stream after the event that the request resumes from, or at its start. */
static void stream_begin(session_t *session)
{
	GString *head = g_string_new(NULL);

	session->version = session->server->version;
	session->event = 0;
	if (session->resume_after && session->behavior != RIG_STREAM_REPEAT)
		session->event = atoi(session->resume_after);
	g_string_printf(head,
			"HTTP/1.1 200 OK\r\n"
			"Content-Type: text/event-stream\r\n"
			"X-Attempt-Id: %s\r\n"
			"X-Response-Seal: s%d\r\n",
			session->call_id ? session->call_id : "",
			session->server->number);
	append_framing(head, session);
	append_limits(head, session->server);
	g_string_append(head, "\r\n");
	http1_write(session->conn, head->str, head->len);
	g_string_free(head, TRUE);
	uv_timer_start(&session->timer, on_event, EVENT_MS,
		       session->server->event_gap_ms ? session->server->event_gap_ms
						     : EVENT_MS);
}

/* Starts a stream that ends with its connection. */
static void unframed_begin(session_t *session)
{
	char *head = g_strdup_printf("HTTP/1.1 200 OK\r\n"
				     "Content-Type: text/event-stream\r\n"
				     "X-Attempt-Id: %s\r\n"
				     "X-Response-Seal: s%d\r\n\r\n",
				     session->call_id ? session->call_id : "",
				     session->server->number);

	http1_write(session->conn, head, strlen(head));
	g_free(head);
}

/* Sends a block of an endless answer when the one before is sent. */
static void on_endless(uv_timer_t *timer)
{
	session_t *session = timer->data;
	GString *block;

	if (http1_unsent_bytes(session->conn))
		return;
	block = g_string_new(session->piece);
	while (!session->server->endless_gap_ms && block->len < RIG_ENDLESS_BLOCK)
		g_string_append_len(block, block->str, (gssize)block->len);
	http1_write(session->conn, block->str, block->len);
	g_string_free(block, TRUE);
}

/* Begins an answer that goes on until the client disconnects. */
static void endless_begin(session_t *session)
{
	const char *begin = session->server->endless_begin;

	session->piece = session->server->endless_piece;
	http1_write(session->conn, begin, strlen(begin));
	uv_timer_start(&session->timer, on_endless, 0,
		       MAX(session->server->endless_gap_ms, 1));
}

/* Returns the id under which an upstream is registered; the caller owns it. */
static char *upstream_id(const rig_server_t *server)
{
	if (!server->ends)
		return g_strdup_printf("u%d", server->number);
	return g_strdup_printf("u%d.%u", server->number, server->ends);
}

/* Keeps other programs from the port of a server, which refuses connections. */
static void reserve_port(rig_server_t *server)
{
	struct sockaddr_in addr;
	int on = 1;

	uv_ip4_addr("127.0.0.1", server->port, &addr);
	server->reserving_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(server->reserving_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(server->reserving_fd, (struct sockaddr *)&addr, sizeof(addr)) < 0)
		g_error("can't reserve port %u", server->port);
}

/* Gives up the port that is kept, if any. */
static void release_port(rig_server_t *server)
{
	if (server->reserving_fd >= 0)
		close(server->reserving_fd);
	server->reserving_fd = -1;
}

/* Listens on the port of a server, or on a free one of loopback if it has none. */
static void server_listen(rig_server_t *server)
{
	struct sockaddr_in addr;
	int len = sizeof(addr);

	uv_tcp_init(&server->rig->loop, &server->listener);
	server->listener.data = server;
	uv_ip4_addr("127.0.0.1", server->port, &addr);
	if (uv_tcp_bind(&server->listener, (struct sockaddr *)&addr, 0) < 0 ||
	    uv_listen((uv_stream_t *)&server->listener, 64, on_accept) < 0)
		g_error("can't listen on port %u", server->port);
	release_port(server);
	uv_tcp_getsockname(&server->listener, (struct sockaddr *)&addr, &len);
	server->port = ntohs(addr.sin_port);
}

/* Registers an upstream in the state of its former registration, with another id. */
static void register_again(rig_server_t *server)
{
	char *id = upstream_id(server);
	json_t *spec = json_object_get(
		json_object_get(store_kind(server->rig, "servers"), id),
		"spec");
	char *stage =
		g_strdup(json_string_value(json_object_get(spec, "state")));

	rig_remove(server->rig, "servers", id);
	g_free(id);
	server->ends++;
	rig_put_upstream(server->rig, server->number, stage);
	g_free(stage);
}

/* Starts an upstream again that ended, at the same address. */
static void on_restart(uv_timer_t *timer)
{
	rig_server_t *server = timer->data;

	if (server->next_version) {
		const char *version = server->version;

		server->version = server->next_version;
		server->next_version = version;
	}
	server_listen(server);
	if (!server->keeps_id)
		register_again(server);
}

/* Ends an upstream: new connections are refused; SILENT: the others stay, else break. */
static void server_end(rig_server_t *server, bool silent)
{
	if (uv_is_closing((uv_handle_t *)&server->listener))
		return;
	uv_close((uv_handle_t *)&server->listener, NULL);
	reserve_port(server);
	uv_timer_start(&server->restart, on_restart, RIG_RESTART_MS, 0);
	if (silent)
		return;
	LIST_FOR_EACH_SAFE (it, &server->sessions) {
		session_t *session = LIST_ENTRY(it, session_t, node);

		http1_close(session->conn);
		session_free(session);
	}
}

/* Ends an upstream, which starts again with another id after RIG_RESTART_MS. */
void rig_end_upstream(gateway_rig_t *rig, int number)
{
	server_end(&rig->upstreams[number], false);
}

/* Ends one whose connections stay silent, as that of a VM that is disconnected. */
void rig_vanish_upstream(gateway_rig_t *rig, int number)
{
	server_end(&rig->upstreams[number], true);
}

static void on_run_ends_upstream(uv_timer_t *timer)
{
	session_t *session = timer->data;

	server_end(session->server, session->behavior == RIG_VANISH);
}

/* Returns whether a call is for an upstream that had the address before. */
static bool is_misdirected(const session_t *session)
{
	char *id = upstream_id(session->server);
	bool is_other = session->expected_id &&
			strcmp(session->expected_id, id) != 0;

	g_free(id);
	return is_other;
}

/* Handles a call by the behavior that is set for the upstream. */
static void upstream_serve(session_t *session)
{
	static const char cut[] = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n"
				  "X-Response-Seal: s\r\n\r\nabc";

	gateway_rig_t *rig = session->server->rig;

	if (rig_now_ms() < session->server->down_until_ms) {
		session_cut(session);
		return;
	}
	if (is_misdirected(session)) {
		session_write(session, 421, "X-Not-Run: 1\r\n", "");
		return;
	}
	if (session->server->room &&
	    session->server->running >= session->server->room) {
		upstream_reject(session);
		return;
	}
	if (rig->observe_call && session->call_id)
		rig->observe_call(rig->ctx, session->server->number,
				  session->call_id);
	if (session->server->rest) {
		upstream_reject(session);
		return;
	}
	session->behavior = session->server->behavior;
	if (rig->choose_behavior)
		session->behavior = rig->choose_behavior(rig->ctx, session->target);
	if (session->behavior != RIG_REJECT &&
	    session->behavior != RIG_REJECT_SLOWLY && session->call_id)
		g_hash_table_insert(rig->runs, g_strdup(session->call_id),
				    GUINT_TO_POINTER(
					    rig_run_count(rig, session->call_id) +
					    1));
	switch (session->behavior) {
	case RIG_ANSWER:
		if (session->server->work_ms) {
			session->works = true;
			session->server->running++;
			uv_timer_start(&session->timer, on_slow,
				       session->server->work_ms, 0);
			return;
		}
		upstream_answer(session, 200, session->call_id);
		return;
	case RIG_FAIL:
		upstream_answer(session, 500, session->call_id);
		return;
	case RIG_REJECT:
		session_write(session, 503, "X-Not-Run: 1\r\n", "");
		return;
	case RIG_HANG:
		return;
	case RIG_CUT:
		http1_write(session->conn, cut, sizeof(cut) - 1);
		session_cut(session);
		return;
	case RIG_DOUBLE:
		upstream_answer(session, 200, "of-another-call");
		upstream_answer(session, 200, session->call_id);
		return;
	case RIG_SLOW:
	case RIG_REJECT_SLOWLY:
		uv_timer_start(&session->timer, on_slow, RIG_SLOW_MS, 0);
		return;
	case RIG_LARGE:
		upstream_answer_large(session);
		return;
	case RIG_STREAM:
	case RIG_STREAM_CUT:
	case RIG_STREAM_PIECES:
	case RIG_STREAM_SIZED:
	case RIG_STREAM_UNFRAMED:
	case RIG_STREAM_REPEAT:
	case RIG_STREAM_WITHOUT_IDS:
		stream_begin(session);
		return;
	case RIG_ENDLESS:
		endless_begin(session);
		return;
	case RIG_UNFRAMED_END:
		unframed_begin(session);
		/* fall through */
	case RIG_END:
	case RIG_VANISH:
		uv_timer_start(&session->timer, on_run_ends_upstream,
			       RIG_RUN_MS, 0);
		return;
	}
}

/* The store. */

/* Returns the objects of a kind by name, borrowed. */
static json_t *store_kind(gateway_rig_t *rig, const char *kind)
{
	json_t *objects = json_object_get(rig->objects, kind);

	if (!objects) {
		objects = json_object();
		json_object_set_new(rig->objects, kind, objects);
	}
	return objects;
}

/* Returns the events of a kind after revision SINCE, as a new array. */
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

/* Responds to a watch if there are events, or EVEN_IF_EMPTY. Returns whether it did. */
static bool watch_answer(session_t *session, bool even_if_empty)
{
	const gateway_rig_t *rig = session->server->rig;
	json_t *events = watch_events(rig, session->kind, session->since);

	if (!json_array_size(events) && !even_if_empty) {
		json_decref(events);
		return false;
	}
	uv_timer_stop(&session->timer);
	list_remove(&session->watch);
	session_json(session, 200,
		     json_pack("{s:o, s:I}", "events", events, "asOf",
			       rig->revision));
	return true;
}

static void on_watch_timeout(uv_timer_t *timer)
{
	watch_answer(timer->data, true);
}

/* Adds an event for OBJECT and responds to the watches that wait for it. */
static void store_changed(gateway_rig_t *rig, const char *kind, json_t *object,
			  bool gone)
{
	json_t *event =
		json_pack("{s:b, s:O}", "tombstone", gone, "object", object);

	json_array_append_new(rig->events,
			      json_pack("{s:s, s:I, s:o}", "kind", kind, "at",
					rig->revision, "event", event));
	LIST_FOR_EACH_SAFE (it, &rig->watches)
		watch_answer(LIST_ENTRY(it, session_t, watch), false);
}

/*
 * Writes an object at the next revision; takes over SPEC and STATUS, which may be NULL.
 * Returns it, borrowed.
 */
static json_t *store_write(gateway_rig_t *rig, const char *kind,
			   const char *name, json_t *spec, json_t *status)
{
	json_t *object = json_pack("{s:{s:s, s:I}, s:o}", "metadata", "name", name,
				   "revision", ++rig->revision, "spec", spec);

	if (status)
		json_object_set_new(object, "status", status);
	json_object_set_new(store_kind(rig, kind), name, object);
	store_changed(rig, kind, object, false);
	return object;
}

/* Writes an object to the store; SPEC is JSON. */
void rig_put(gateway_rig_t *rig, const char *kind, const char *name,
	     const char *spec)
{
	json_error_t err;
	json_t *value = json_loads(spec, 0, &err);

	if (!value)
		g_error("not JSON: %s", spec);
	store_write(rig, kind, name, value, NULL);
}

/* Deletes an object, which must exist, from the store. */
void rig_remove(gateway_rig_t *rig, const char *kind, const char *name)
{
	json_t *object = json_incref(json_object_get(store_kind(rig, kind), name));

	json_object_del(store_kind(rig, kind), name);
	rig->revision++;
	store_changed(rig, kind, object, true);
	json_decref(object);
}

/*
 * Returns a copy of an upstream's object in which the address is that of the link from
 * the gateway that has listener STORE; the object itself, if there is no such link.
 */
static json_t *object_for_gateway(const gateway_rig_t *rig, const char *name,
				  json_t *object, int store)
{
	int number = name[0] == 'u' ? atoi(name + 1) : RIG_UPSTREAMS_MAX;
	uint16_t port =
		number < RIG_UPSTREAMS_MAX ? rig->link_ports[store][number] : 0;
	char address[32];

	if (!port)
		return json_incref(object);
	object = json_deep_copy(object);
	snprintf(address, sizeof(address), "127.0.0.1:%u", port);
	json_object_set_new(json_object_get(object, "spec"), "address",
			    json_string(address));
	return object;
}

/* Responds with all objects of a kind in a single page. */
static void store_list(session_t *session)
{
	gateway_rig_t *rig = session->server->rig;
	bool more = rig->first_page_only && !strcmp(session->kind, "servers");
	json_t *items = json_array();
	const char *name;
	json_t *object;

	json_object_foreach(store_kind(rig, session->kind), name, object)
		json_array_append_new(items,
				      object_for_gateway(rig, name, object,
							 session->server->number));
	session_json(session, 200,
		     json_pack("{s:o, s:b, s:I}", "items", items, "hasMore",
			       more, "asOf", rig->revision));
}

/* Returns whether an executed write is left unanswered; those of leases never are. */
static bool store_drops_answer(session_t *session)
{
	gateway_rig_t *rig = session->server->rig;

	unsigned int *left = strcmp(session->kind, "rollouts") != 0
				     ? &rig->answers_to_drop
				     : &rig->status_answers_to_drop;

	if (!*left || !strcmp(session->kind, "leases"))
		return false;
	(*left)--;
	return true;
}

/* Executes a conditional write of a spec or a status; responds with 409 if the revision has changed. */
static void store_change(session_t *session, const char *name)
{
	gateway_rig_t *rig = session->server->rig;
	json_error_t err;
	json_t *body = json_loads(session->body->str, 0, &err);
	json_t *metadata = json_object_get(body, "metadata");
	json_t *stored;
	json_int_t expected =
		json_integer_value(json_object_get(metadata, "revision"));
	bool conflict;

	if (!name)
		name = json_string_value(json_object_get(metadata, "name"));
	stored = json_object_get(store_kind(rig, session->kind), name);
	conflict = stored &&
		   expected != json_integer_value(json_object_get(
				       json_object_get(stored, "metadata"),
				       "revision"));
	if (conflict) {
		session_json(session, 409, json_incref(stored));
	} else if (!json_object_get(json_object_get(body, "status") ? stored : body,
				    "spec")) {
		/* A status of an object that does not exist. */
		session_json(session, 404, json_object());
	} else {
		json_t *status = json_object_get(body, "status");
		json_t *spec = json_object_get(status ? stored : body, "spec");

		stored = store_write(rig, session->kind, name,
				     json_incref(spec), json_incref(status));
		if (!store_drops_answer(session))
			session_json(session, 200, json_incref(stored));
	}
	json_decref(body);
}

/* Records when upstreams were listed, and first watched after that. */
static void record_upstreams_read(gateway_rig_t *rig, const char *kind, bool watch)
{
	uint64_t now = rig_now_ms();

	if (strcmp(kind, "servers") != 0)
		return;
	if (!watch) {
		rig->upstreams_listed_ms = now;
		rig->upstreams_watched_ms = 0;
	} else if (!rig->upstreams_watched_ms) {
		rig->upstreams_watched_ms = now;
	}
}

/* Handles a read, write, listing or watch of the store. */
static void store_serve(session_t *session)
{
	gateway_rig_t *rig = session->server->rig;
	char **parts = g_strsplit_set(session->target, "/?", -1);
	const char *watch = strstr(session->target, "watch=");
	const char *wait = strstr(session->target, "waitMs=");
	const char *name = g_strv_length(parts) > 3 && !watch ? parts[3] : NULL;

	g_free(session->kind);
	session->kind = g_strdup(parts[2]);
	record_upstreams_read(rig, session->kind, watch != NULL);
	if (strcmp(session->method, "GET") != 0 && rig->refuses_writes) {
		session_write(session, 503, "", "{}");
	} else if (strcmp(session->method, "GET") != 0) {
		store_change(session, name);
	} else if (watch) {
		session->since = strtoll(watch + strlen("watch="), NULL, 10);
		if (session->since < rig->history_from) {
			session_write(session, 410, "", "{}");
		} else if (!watch_answer(session, false)) {
			list_append(&rig->watches, &session->watch);
			uv_timer_start(&session->timer, on_watch_timeout,
				       wait ? (uint64_t)atoi(wait + 7) : 0, 0);
		}
	} else if (name && *name) {
		json_t *object =
			json_object_get(store_kind(rig, session->kind), name);

		if (object)
			session_json(session, 200, json_incref(object));
		else
			session_write(session, 404, "", "{}");
	} else {
		store_list(session);
	}
	g_strfreev(parts);
}

/* Records a usage report or an order of VMs. */
static void cloud_serve(session_t *session)
{
	gateway_rig_t *rig = session->server->rig;
	GPtrArray *into = strstr(session->target, "usage") ? rig->usage
							   : rig->orders;

	g_ptr_array_add(into, g_strdup(session->body->str));
	if (into == rig->usage || !rig->orders_unanswered)
		session_write(session, 200, "", "{}");
}

/* All mock servers. */

/* Handles a request that was read completely. */
static void on_message(void *ctx)
{
	session_t *session = ctx;
	rig_server_t *server = session->server;
	gateway_rig_t *rig = server->rig;

	server->arrivals++;
	session->busy = true;
	if (server->down) {
		session_cut(session);
		return;
	}
	if (server->silent) {
		if (g_str_has_prefix(session->target,
				     "/objects/servers?watch=")) {
			server->silent_watches++;
			server->silent_waits +=
				!g_str_has_suffix(session->target, "waitMs=0");
		}
		return;
	}
	if (server >= rig->upstreams && server < rig->upstreams + RIG_UPSTREAMS_MAX)
		upstream_serve(session);
	else if (server->behavior == RIG_ENDLESS)
		endless_begin(session);
	else if (server == &rig->cloud)
		cloud_serve(session);
	else
		store_serve(session);
}

/* Counts clients that disconnect before the response. */
static void on_end(void *ctx, http1_end_t end)
{
	session_t *session = ctx;

	(void)end;
	session->server->aborted_calls += session->busy;
	session_free(session);
}

static void on_accept(uv_stream_t *listener, int status)
{
	static const http1_events_t events = { on_connected, on_head, on_body,
					       on_message, on_end };
	rig_server_t *server = listener->data;
	session_t *session;

	if (status < 0)
		return;
	session = g_new0(session_t, 1);
	session->server = server;
	session->body = g_string_new(NULL);
	list_init(&session->watch);
	uv_timer_init(&server->rig->loop, &session->timer);
	session->timer.data = session;
	list_append(&server->sessions, &session->node);
	session->conn =
		http1_create(&server->rig->loop, HTTP1_SERVER, &events, session);
	http1_accept(session->conn, listener);
	http1_hold(session->conn, server->deaf);
}

/* Starts a mock server on a free port of loopback. */
static void server_start(gateway_rig_t *rig, rig_server_t *server, int number)
{
	server->rig = rig;
	server->number = number;
	server->last = g_string_new(NULL);
	server->reserving_fd = -1;
	list_init(&server->sessions);
	uv_timer_init(&rig->loop, &server->restart);
	server->restart.data = server;
	server_listen(server);
}

/* Only wakes up the loop, so that conditions are checked again. */
static void on_tick(uv_timer_t *timer)
{
	(void)timer;
}

/*
 * Returns a rig for as many gateways, none of which is started, and upstreams, all of
 * which listen; owned by the caller.
 */
gateway_rig_t *gateway_rig_create_sized(int gateways, int upstreams)
{
	gateway_rig_t *rig = g_new0(gateway_rig_t, 1);
	int i;

	/* A mock server may write to a gateway that was just killed. */
	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&rig->loop);
	uv_timer_init(&rig->loop, &rig->ticker);
	uv_timer_start(&rig->ticker, on_tick, 2, 2);
	rig->dir = g_dir_make_tmp("gateway-XXXXXX", NULL);
	rig->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rig->objects = json_object();
	rig->events = json_array();
	rig->usage = g_ptr_array_new_with_free_func(g_free);
	rig->orders = g_ptr_array_new_with_free_func(g_free);
	list_init(&rig->watches);
	rig->gateway_count = gateways;
	rig->upstream_count = upstreams;
	rig->grace_s = RIG_GRACE_S;
	for (i = 0; i < gateways; i++)
		server_start(rig, &rig->stores[i], i);
	for (i = 0; i < upstreams; i++)
		server_start(rig, &rig->upstreams[i], i);
	server_start(rig, &rig->cloud, 0);
	return rig;
}

/* Returns a rig for RIG_GATEWAYS gateways, with RIG_UPSTREAMS upstreams. */
gateway_rig_t *gateway_rig_create(void)
{
	return gateway_rig_create_sized(RIG_GATEWAYS, RIG_UPSTREAMS);
}

static void close_handle(uv_handle_t *handle, void *ctx)
{
	(void)ctx;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

/* Kills the gateways, closes the mock servers and frees the rig. */
void gateway_rig_destroy(gateway_rig_t *rig)
{
	for (int i = 0; i < rig->gateway_count; i++)
		process_destroy(rig->gateways[i]);
	for (int i = 0; i < rig->upstream_count; i++)
		release_port(&rig->upstreams[i]);
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

/* Runs the event loop once; waits for at most 2 ms, the period of the ticker. */
void rig_run_once(gateway_rig_t *rig)
{
	uv_run(&rig->loop, UV_RUN_ONCE);
}

/* Runs the event loop until MS have passed. */
void rig_run_for(gateway_rig_t *rig, uint64_t ms)
{
	uint64_t end = rig_now_ms() + ms;

	while (rig_now_ms() < end)
		rig_run_once(rig);
}

/* Returns how often a gateway has logged TEXT, over all its starts. */
int rig_count_logged(gateway_rig_t *rig, int number, const char *text)
{
	char *log = NULL;
	int times = 0;

	rig_run_once(rig);
	if (!g_file_get_contents(rig->gateways[number]->out_path, &log, NULL, NULL))
		return 0;
	for (const char *at = log; (at = strstr(at, text)) != NULL; at++)
		times++;
	g_free(log);
	return times;
}

/*
 * Stores a configuration with the routes /safe/, /unsafe/, /stream/ (resumable) and
 * /once/ (a stream that is not), all to one service with one account. MORE_ROUTES is
 * appended to the JSON of the routes.
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
		"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":%u,"
		"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
		"\"tenants\":[{\"name\":\"mill\",\"apiKeys\":[\"k\"]}]}",
		more_routes, rig->body_bytes_max ? rig->body_bytes_max : 65536);
	rig_put(rig, "config", "main", spec->str);
	g_string_free(spec, TRUE);
}

/* Returns PROXY_PORT, or PORT if that is 0. */
static uint16_t proxy_or_direct(uint16_t proxy_port, uint16_t port)
{
	return proxy_port ? proxy_port : port;
}

/* Registers an upstream; MORE is appended to the JSON of its spec. */
static void put_registration(gateway_rig_t *rig, int number, const char *state,
			     const char *more)
{
	char *name = upstream_id(&rig->upstreams[number]);
	const char *version = rig->upstreams[number].version;
	char spec[256];

	snprintf(spec, sizeof(spec),
		 "{\"service\":\"s\",\"address\":\"127.0.0.1:%u\","
		 "\"zone\":\"a\",\"slots\":8,\"version\":\"%s\","
		 "\"state\":\"%s\"%s}",
		 proxy_or_direct(rig->upstream_proxy_ports[number],
				 rig->upstreams[number].port),
		 version ? version : "v", state, more);
	rig_put(rig, "servers", name, spec);
	g_free(name);
}

/* Registers an upstream in the store; STATE is "ready" or "draining". */
void rig_put_upstream(gateway_rig_t *rig, int number, const char *state)
{
	put_registration(rig, number, state, "");
}

/* Registers a serving upstream that started at STARTED_AT, in ms of wall time. */
void rig_put_upstream_started_at(gateway_rig_t *rig, int number, long started_at)
{
	char more[32];

	snprintf(more, sizeof(more), ",\"born\":%ld", started_at);
	put_registration(rig, number, "ready", more);
}

/* Returns the path of a gateway's settings; the caller owns it. */
static char *settings_path(const gateway_rig_t *rig, int number)
{
	return g_strdup_printf("%s/g%d.toml", rig->dir, number);
}

/* Returns whether nobody listens on a port of loopback. */
static bool is_free(uint16_t port)
{
	const struct sockaddr_in addr = { .sin_family = AF_INET,
					  .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
					  .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool free = !bind(fd, (const struct sockaddr *)&addr, sizeof(addr));

	close(fd);
	return free;
}

/*
 * Returns a port that no gateway of the rig had before. Connections never use those of
 * its range, so that a gateway finds it free after a restart.
 */
static uint16_t next_listen_port(gateway_rig_t *rig)
{
	unsigned int first = (unsigned int)getpid() * RIG_GATEWAYS_MAX;
	uint16_t port;

	do {
		port = (uint16_t)(LISTEN_PORTS_FIRST +
				  (first + rig->listen_ports_tried++) %
					  LISTEN_PORTS);
	} while (!is_free(port));
	return port;
}

/*
 * Writes a gateway's settings. It reaches the store by listener STORE; its seeds are the
 * other gateways whose peer ports are known, unless one of the two is apart.
 */
void rig_write_settings(gateway_rig_t *rig, int number, int store)
{
	char *path = settings_path(rig, number);
	GString *seeds = g_string_new(NULL);
	char *text;

	if (!rig->listen_ports[number])
		rig->listen_ports[number] = next_listen_port(rig);
	for (int i = 0, listed = 0;
	     i < rig->gateway_count && listed < SEEDS_MAX; i++) {
		if (i == number || !rig->peer_ports[i] || rig->apart[i] ||
		    rig->apart[number])
			continue;
		g_string_append_printf(seeds, "%s\"127.0.0.1:%u\"",
				       seeds->len ? ", " : "", rig->peer_ports[i]);
		listed++;
	}
	text = g_strdup_printf(
		"[node]\nid = \"g%d\"\nzone = \"a\"\n%s[fleet]\nzones = "
		"[\"a\"]\n"
		"[callers]\nlisten = \"127.0.0.1:0\"\n"
		"[health]\nlisten = \"127.0.0.1:0\"\n"
		"[peers]\nlisten = \"127.0.0.1:%u\"\nseeds = [%s]\n"
		"[relay]\nlisten = \"127.0.0.1:0\"\n"
		"[store]\naddress = \"127.0.0.1:%u\"\n"
		"[cloud]\naddress = \"127.0.0.1:%u\"\n"
		"[retry]\nslack = 100\n[stop]\ngrace_s = %u\n"
		"[duties]\nusage_window_s = 1\nlease_gap_ms = 300\n%s",
		number, rig->first_start ? "start = \"first\"\n" : "",
		rig->listen_ports[number], seeds->str,
		proxy_or_direct(rig->store_proxy_ports[store],
				rig->stores[store].port),
		rig->cloud.port, rig->grace_s,
		rig->more_settings ? rig->more_settings : "");
	g_file_set_contents(path, text, -1, NULL);
	g_free(text);
	g_string_free(seeds, TRUE);
	g_free(path);
}

/* Replaces a gateway's settings by invalid ones. */
void rig_write_invalid_settings(gateway_rig_t *rig, int number)
{
	char *path = settings_path(rig, number);

	g_file_set_contents(path, "[retry]\nslack = \"many\"\n", -1, NULL);
	g_free(path);
}

/* Writes the settings of a gateway and starts its process. */
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

/* Returns the port that a gateway logged for WHAT, such as "callers"; 0: none yet. */
uint16_t rig_port(gateway_rig_t *rig, int number, const char *what)
{
	process_t *process = rig->gateways[number];
	char *before = g_strdup_printf("listen %s=", what);
	int port = process_read_port(process, process->out_path, before);

	g_free(before);
	return (uint16_t)port;
}

/* Connects to a gateway and sends TEXT. Returns the caller, owned by the test. */
rig_caller_t *rig_call(gateway_rig_t *rig, uint16_t port, const char *text)
{
	rig_caller_t *caller = g_new0(rig_caller_t, 1);
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port) };

	(void)rig;
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	caller->received = g_string_new(NULL);
	caller->fd = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(caller->fd, (struct sockaddr *)&addr, sizeof(addr)) < 0)
		caller->closed = true;
	fcntl(caller->fd, F_SETFL, O_NONBLOCK);
	rig_send(caller, text);
	return caller;
}

/* Sends TEXT, unless the connection is closed. */
void rig_send(rig_caller_t *caller, const char *text)
{
	if (!caller->closed)
		(void)send(caller->fd, text, strlen(text), MSG_NOSIGNAL);
}

/* Receives up to 4 KB without waiting. Returns whether anything, or the end, came. */
bool rig_receive_some(rig_caller_t *caller)
{
	char buffer[4096];
	ssize_t len;

	if (caller->closed)
		return false;
	len = recv(caller->fd, buffer, sizeof(buffer), 0);
	if (len < 0 && errno == EAGAIN)
		return false;
	if (len > 0)
		g_string_append_len(caller->received, buffer, len);
	else
		caller->closed = true;
	return true;
}

/* Receives all that is available, without waiting. */
void rig_receive(rig_caller_t *caller)
{
	while (rig_receive_some(caller))
		continue;
}

/* Closes the caller's connection before the response is complete. */
void rig_caller_close(rig_caller_t *caller)
{
	close(caller->fd);
	caller->closed = true;
	caller->fd = -1;
}

/* Closes the connection and frees the caller. */
void rig_caller_destroy(rig_caller_t *caller)
{
	if (caller->fd >= 0)
		close(caller->fd);
	g_string_free(caller->received, TRUE);
	g_free(caller);
}
