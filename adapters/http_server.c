/* The HTTP server: a small interface to h2o's handlers and generators. */
#include "adapters/http_server.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

#include "adapters/h2o_uv.h"

#define LISTEN_BACKLOG 512

struct http_server {
	uv_tcp_t listener;
	bool listening;
	bool draining;
	unsigned int open_exchanges; /* whose response h2o has not finished */
	h2o_globalconf_t globalconf;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	http_server_config_t config;
	uint16_t port;
};

struct http_exchange {
	h2o_generator_t generator; /* first: h2o passes its address back */
	http_server_t *server;
	h2o_req_t *req; /* NULL once h2o has freed the request */
	char *method;
	char *target; /* path and query, as received */
	char *path;
	GHashTable *query;
	GHashTable *headers;
	bool head_sent; /* the response's headers were passed to h2o */
	bool ended; /* the handler has ended the response */
	bool sending; /* h2o is sending IN_TRANSIT */
	bool closed; /* the end was passed to h2o */
	GString *pending; /* body data not yet passed to h2o */
	GString *in_transit; /* body data that h2o is sending */
	void (*on_disconnect)(void *ctx);
	void *disconnect_ctx;
};

typedef struct server_handler {
	h2o_handler_t super;
	http_server_t *server;
} server_handler_t;

/*
 * Frees an exchange together with h2o's request, and reports a disconnect if the
 * response has not been ended.
 */
static void exchange_dispose(void *data)
{
	http_exchange_t *exchange = *(http_exchange_t **)data;
	void (*on_disconnect)(void *ctx) = exchange->on_disconnect;

	exchange->server->open_exchanges--;
	exchange->req = NULL;
	exchange->on_disconnect = NULL;
	if (!exchange->ended && on_disconnect)
		on_disconnect(exchange->disconnect_ctx);
	g_free(exchange->method);
	g_free(exchange->target);
	g_free(exchange->path);
	g_hash_table_unref(exchange->query);
	g_hash_table_unref(exchange->headers);
	g_string_free(exchange->pending, TRUE);
	g_string_free(exchange->in_transit, TRUE);
	g_free(exchange);
}

/* Passes pending data to h2o unless it is still sending earlier data. */
static void exchange_flush(http_exchange_t *exchange)
{
	GString *in_transit = exchange->in_transit;
	h2o_iovec_t buf;
	bool final;

	if (exchange->sending || exchange->closed || !exchange->req)
		return;
	if (exchange->pending->len == 0 && !exchange->ended)
		return;
	exchange->in_transit = exchange->pending;
	exchange->pending = g_string_truncate(in_transit, 0);
	buf = h2o_iovec_init(exchange->in_transit->str, exchange->in_transit->len);
	final = exchange->ended;
	exchange->sending = true;
	exchange->closed = final;
	h2o_send(exchange->req, &buf, buf.len ? 1 : 0,
		 final ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

/* Continues after h2o has sent the data passed to it. */
static void exchange_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	http_exchange_t *exchange = (http_exchange_t *)generator;

	(void)req;
	exchange->sending = false;
	exchange_flush(exchange);
}

/* Reports that the client has closed the connection during the response. */
static void exchange_stop(h2o_generator_t *generator, h2o_req_t *req)
{
	http_exchange_t *exchange = (http_exchange_t *)generator;
	void (*on_disconnect)(void *ctx) = exchange->on_disconnect;

	(void)req;
	exchange->req = NULL;
	exchange->on_disconnect = NULL;
	if (!exchange->ended && on_disconnect)
		on_disconnect(exchange->disconnect_ctx);
	exchange->ended = true;
}

/* Stores the unescaped query parameters; those without a value are ignored. */
static void exchange_parse_query(http_exchange_t *exchange, const char *query)
{
	char **pairs = g_strsplit(query, "&", -1);

	for (char **pair = pairs; *pair; pair++) {
		char *equals = strchr(*pair, '=');

		if (!equals)
			continue;
		*equals = '\0';
		g_hash_table_replace(exchange->query, g_strdup(*pair),
				     g_uri_unescape_string(equals + 1, NULL));
	}
	g_strfreev(pairs);
}

/*
 * Returns an exchange for a request of h2o, which owns it through the request's
 * pool.
 */
static http_exchange_t *exchange_create(http_server_t *server, h2o_req_t *req)
{
	http_exchange_t *exchange = g_new0(http_exchange_t, 1);
	http_exchange_t **pool_slot = h2o_mem_alloc_shared(&req->pool,
							   sizeof(exchange),
							   exchange_dispose);
	char *raw = g_strndup(req->path.base, req->path.len);
	char *question = strchr(raw, '?');

	*pool_slot = exchange;
	exchange->server = server;
	server->open_exchanges++;
	exchange->generator.proceed = exchange_proceed;
	exchange->generator.stop = exchange_stop;
	exchange->req = req;
	exchange->pending = g_string_new(NULL);
	exchange->in_transit = g_string_new(NULL);
	exchange->query =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	exchange->headers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	exchange->method = g_strndup(req->method.base, req->method.len);
	exchange->target = g_strdup(raw);
	if (question) {
		*question = '\0';
		exchange_parse_query(exchange, question + 1);
	}
	exchange->path = raw;
	for (size_t i = 0; i < req->headers.size; i++) {
		const h2o_header_t *header = &req->headers.entries[i];

		g_hash_table_replace(exchange->headers,
				     g_ascii_strdown(header->name->base,
						     (gssize)header->name->len),
				     g_strndup(header->value.base,
					       header->value.len));
	}
	return exchange;
}

/*
 * Passes a request to the handler; a draining server closes the connection
 * afterwards.
 */
static int server_on_request(h2o_handler_t *handler, h2o_req_t *req)
{
	http_server_t *server = ((server_handler_t *)handler)->server;

	if (server->draining)
		req->http1_is_persistent = 0;
	server->config.on_request(server->config.ctx, exchange_create(server, req));
	return 0;
}

/* Accepts a connection and passes it to h2o. */
static void server_on_connection(uv_stream_t *listener, int status)
{
	http_server_t *server = listener->data;
	uv_tcp_t *conn;

	if (status != 0)
		return;
	conn = h2o_mem_alloc(sizeof(*conn));
	uv_tcp_init(listener->loop, conn);
	if (uv_accept(listener, (uv_stream_t *)conn) != 0) {
		uv_close((uv_handle_t *)conn, (uv_close_cb)free);
		return;
	}
	uv_tcp_nodelay(conn, 1);
	h2o_accept(&server->accept,
		   h2o_uv_socket_create((uv_stream_t *)conn, (uv_close_cb)free));
}

/* Starts listening. Returns -1 with ERR set if that fails. */
static int server_listen(http_server_t *server, uv_loop_t *loop, pd_error_t *err)
{
	const http_server_config_t *config = &server->config;
	struct sockaddr_storage bound;
	struct sockaddr_in addr;
	int len = sizeof(bound);
	int rc;

	uv_tcp_init(loop, &server->listener);
	server->listener.data = server;
	server->listening = true;
	rc = uv_ip4_addr(config->address, config->port, &addr);
	if (rc == 0)
		rc = uv_tcp_bind(&server->listener, (struct sockaddr *)&addr, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
			       server_on_connection);
	if (rc == 0)
		rc = uv_tcp_getsockname(&server->listener,
					(struct sockaddr *)&bound, &len);
	if (rc != 0)
		return pd_error_set(err, PD_ERROR_IO, "listen on %s:%u: %s",
				    config->address, config->port,
				    uv_strerror(rc));
	server->port = ntohs(((struct sockaddr_in *)&bound)->sin_port);
	return 0;
}

/*
 * Starts a server on the loop; CONFIG is copied. Returns NULL with ERR set if
 * the address can't be listened on. The caller destroys it.
 */
http_server_t *http_server_create(uv_loop_t *loop,
				  const http_server_config_t *config,
				  pd_error_t *err)
{
	http_server_t *server = g_new0(http_server_t, 1);
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	server_handler_t *handler;

	server->config = *config;
	h2o_config_init(&server->globalconf);
	server->globalconf.max_request_entity_size = config->body_max;
	server->globalconf.server_name =
		h2o_iovec_init(H2O_STRLIT("pistachio"));
	host = h2o_config_register_host(&server->globalconf,
					h2o_iovec_init(H2O_STRLIT("default")),
					65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (server_handler_t *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = server_on_request;
	handler->server = server;
	h2o_context_init(&server->context, loop, &server->globalconf);
	server->accept.ctx = &server->context;
	server->accept.hosts = server->globalconf.hosts;
	if (server_listen(server, loop, err) < 0)
		goto error;
	return server;
error:
	http_server_destroy(server);
	return NULL;
}

/* Returns the TCP port that the server listens on. */
uint16_t http_server_port(const http_server_t *server)
{
	return server->port;
}

/*
 * Returns the number of exchanges whose response has not been sent completely.
 */
unsigned int http_server_open_exchanges(const http_server_t *server)
{
	return server->open_exchanges;
}

/*
 * Closes idle connections, and each other one after its response, so that
 * callers reconnect and the load balancer directs them elsewhere.
 */
void http_server_drain(http_server_t *server)
{
	if (server->draining)
		return;
	server->draining = true;
	h2o_context_request_shutdown(&server->context);
}

/*
 * Stops listening; NULL is allowed. The memory is not freed, as h2o can't
 * dispose of a context that has open connections.
 */
void http_server_destroy(http_server_t *server)
{
	if (!server)
		return;
	if (server->listening && !uv_is_closing((uv_handle_t *)&server->listener))
		uv_close((uv_handle_t *)&server->listener, NULL);
	server->listening = false;
}

/* Returns the request's method, borrowed. */
const char *http_exchange_method(const http_exchange_t *exchange)
{
	return exchange->method;
}

/* Returns the path with the query as received, borrowed. */
const char *http_exchange_target(const http_exchange_t *exchange)
{
	return exchange->target;
}

/* Returns the path without the query, borrowed. */
const char *http_exchange_path(const http_exchange_t *exchange)
{
	return exchange->path;
}

/* Returns a query parameter, unescaped and borrowed, or NULL. */
const char *http_exchange_query(const http_exchange_t *exchange, const char *name)
{
	return g_hash_table_lookup(exchange->query, name);
}

/* Returns a header by its lower-case name, borrowed, or NULL. */
const char *http_exchange_header(const http_exchange_t *exchange, const char *name)
{
	return g_hash_table_lookup(exchange->headers, name);
}

/* Returns whether the request came from a process on this VM. */
bool http_exchange_is_local(const http_exchange_t *exchange)
{
	struct sockaddr_storage peer = { 0 };
	struct sockaddr_storage own = { 0 };
	const struct sockaddr_in *from = (const struct sockaddr_in *)&peer;
	const struct sockaddr_in *to = (const struct sockaddr_in *)&own;
	h2o_conn_t *conn;

	if (!exchange->req)
		return false;
	conn = exchange->req->conn;
	if (!conn->callbacks->get_peername(conn, (struct sockaddr *)&peer) ||
	    !conn->callbacks->get_sockname(conn, (struct sockaddr *)&own))
		return false;
	return peer.ss_family == AF_INET && own.ss_family == AF_INET &&
	       from->sin_addr.s_addr == to->sin_addr.s_addr;
}

/* Returns the body of LEN bytes, borrowed; it lives as long as the exchange. */
const char *http_exchange_body(const http_exchange_t *exchange, size_t *len)
{
	*len = exchange->req->entity.len;
	return exchange->req->entity.base ? exchange->req->entity.base : "";
}

/*
 * Calls ON_DISCONNECT if the client disconnects before the response has been
 * ended. After that call the exchange must not be used.
 */
void http_exchange_on_disconnect(http_exchange_t *exchange,
				 void (*on_disconnect)(void *ctx), void *ctx)
{
	exchange->on_disconnect = on_disconnect;
	exchange->disconnect_ctx = ctx;
}

/* Returns whether the response has begun. */
bool http_exchange_has_begun(const http_exchange_t *exchange)
{
	return exchange->head_sent;
}

/* Returns the reason phrase of a status. */
static const char *reason_phrase(int status)
{
	static const struct {
		int status;
		const char *phrase;
	} phrases[] = {
		{ 200, "OK" },
		{ 201, "Created" },
		{ 304, "Not Modified" },
		{ 400, "Bad Request" },
		{ 401, "Unauthorized" },
		{ 403, "Forbidden" },
		{ 404, "Not Found" },
		{ 409, "Conflict" },
		{ 412, "Precondition Failed" },
		{ 413, "Content Too Large" },
		{ 422, "Unprocessable Content" },
		{ 429, "Too Many Requests" },
		{ 502, "Bad Gateway" },
		{ 503, "Service Unavailable" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(phrases); i++) {
		if (phrases[i].status == status)
			return phrases[i].phrase;
	}
	return "Unknown";
}

/* Begins a response whose body follows in parts; the headers are copied. */
void http_exchange_begin(http_exchange_t *exchange, int status,
			 const http_header_t *headers, size_t count)
{
	h2o_req_t *req = exchange->req;

	g_assert(!exchange->head_sent);
	exchange->head_sent = true;
	req->res.status = status;
	req->res.reason = reason_phrase(status);
	for (size_t i = 0; i < count; i++) {
		h2o_iovec_t value = h2o_strdup(&req->pool, headers[i].value,
					       strlen(headers[i].value));
		h2o_iovec_t name = h2o_strdup(&req->pool, headers[i].name,
					      strlen(headers[i].name));

		h2o_add_header_by_str(&req->pool, &req->res.headers, name.base,
				      name.len, 1, NULL, value.base, value.len);
	}
	h2o_start_response(req, &exchange->generator);
}

/* Sends a part of the body; it is copied. */
void http_exchange_send(http_exchange_t *exchange, const char *data, size_t len)
{
	g_string_append_len(exchange->pending, data, (gssize)len);
	exchange_flush(exchange);
}

/* Ends the response. The exchange must not be used afterwards. */
void http_exchange_end(http_exchange_t *exchange)
{
	exchange->ended = true;
	exchange->on_disconnect = NULL;
	exchange_flush(exchange);
}

/* Returns the bytes buffered behind those that h2o is sending. */
size_t http_exchange_pending(const http_exchange_t *exchange)
{
	return exchange->pending->len;
}

/*
 * Ends the response after the data that h2o is sending, and discards the rest.
 * The exchange must not be used afterwards.
 */
void http_exchange_truncate(http_exchange_t *exchange)
{
	g_string_truncate(exchange->pending, 0);
	http_exchange_end(exchange);
}

/*
 * Aborts the connection, as an upstream that dies would; for stand-ins in tests.
 */
void http_exchange_abort(http_exchange_t *exchange)
{
	exchange->ended = true;
	exchange->on_disconnect = NULL;
	exchange->closed = true;
	if (!exchange->head_sent) {
		exchange->head_sent = true;
		exchange->req->res.status = 500;
		h2o_start_response(exchange->req, &exchange->generator);
	}
	exchange->req->http1_is_persistent = 0;
	h2o_send(exchange->req, NULL, 0, H2O_SEND_STATE_ERROR);
}

/* Sends a complete response. The exchange must not be used afterwards. */
void http_exchange_reply(http_exchange_t *exchange, int status,
			 const http_header_t *headers, size_t count,
			 const char *body, size_t len)
{
	exchange->req->res.content_length = len;
	http_exchange_begin(exchange, status, headers, count);
	g_string_append_len(exchange->pending, body, (gssize)len);
	http_exchange_end(exchange);
}
