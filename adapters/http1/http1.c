/*
 * HTTP/1.1 connections: the parser library's callbacks gathered into whole
 * heads, writes that never block, and ends that are told apart.
 */
#include "adapters/http1/http1.h"

#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

/* One read; all connections share the buffer, as the loop has one thread. */
#define READ_BUFFER_BYTES (64 * 1024)
/* Bytes taken in while a message is paused back, before reading pauses. */
#define PENDING_BYTES_MAX (64 * 1024)
#define HEADERS_MAX 128
/* Heads of answers and of calls to services; callers' limit is configured. */
#define HEAD_BYTES_MAX (64 * 1024)
/*
 * A connection can go silent for good without a reset, when something between
 * the two ends has lost track of it. Probes after a second of silence, a second
 * apart, end it within about three; writes left unacknowledged end it as soon.
 */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define UNACKED_TIMEOUT_MS 2500

typedef struct offsets {
	size_t name; /* offsets into the head's text */
	size_t value;
} header_offsets_t;

struct http1 {
	uv_tcp_t tcp;
	uv_connect_t connect_req;
	uv_shutdown_t shutdown_req;
	http1_side_t side;
	http1_events_t events;
	void *ctx;
	http_parser parser;
	GString *text; /* the head's strings, each with its end mark */
	GArray *header_offsets; /* of header_offsets_t */
	bool in_value;
	bool in_message; /* a message has begun and not ended */
	bool expecting_response; /* a client side: an answer is due */
	bool response_to_head; /* the answer due is one to HEAD */
	bool paused; /* the next message is kept back */
	bool malformed; /* the head broke a rule of ours */
	bool too_large;
	bool reading;
	bool draining;
	bool closing;
	bool ended; /* on_end was called, or is not wanted */
	size_t head_bytes;
	size_t head_max;
	GByteArray *pending; /* read while paused */
};

typedef struct pending_write {
	uv_write_t req;
	char bytes[];
} pending_write_t;

static char read_buffer[READ_BUFFER_BYTES];
/* Connections that close once their written bytes are with the kernel. */
static unsigned int draining_count;

static int on_parser_message_begin(http_parser *parser);
static int on_parser_url(http_parser *parser, const char *at, size_t len);
static int on_parser_header_field(http_parser *parser, const char *at, size_t len);
static int on_parser_header_value(http_parser *parser, const char *at, size_t len);
static int on_parser_headers_complete(http_parser *parser);
static int on_parser_body(http_parser *parser, const char *at, size_t len);
static int on_parser_message_complete(http_parser *parser);
static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf);

static const http_parser_settings parser_settings = {
	.on_message_begin = on_parser_message_begin,
	.on_url = on_parser_url,
	.on_header_field = on_parser_header_field,
	.on_header_value = on_parser_header_value,
	.on_headers_complete = on_parser_headers_complete,
	.on_body = on_parser_body,
	.on_message_complete = on_parser_message_complete,
};

/* Returns a connection that is not yet up. Freed by itself after http1_close(). */
http1_t *http1_create(uv_loop_t *loop, http1_side_t side,
		      const http1_events_t *events, void *ctx)
{
	http1_t *conn = g_new0(http1_t, 1);

	conn->side = side;
	conn->events = *events;
	conn->ctx = ctx;
	conn->text = g_string_sized_new(256);
	conn->header_offsets =
		g_array_sized_new(FALSE, FALSE, sizeof(header_offsets_t), 16);
	conn->head_max = HEAD_BYTES_MAX;
	http_parser_init(&conn->parser,
			 side == HTTP1_SERVER ? HTTP_REQUEST : HTTP_RESPONSE);
	conn->parser.data = conn;
	uv_tcp_init(loop, &conn->tcp);
	conn->tcp.data = conn;
	return conn;
}

/* Sets how many bytes a head may have; longer ones end the connection. */
void http1_set_head_limit(http1_t *conn, size_t bytes)
{
	conn->head_max = bytes;
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void conn_start_reading(http1_t *conn)
{
	if (conn->reading || conn->closing)
		return;
	conn->reading = true;
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

static void conn_set_option(int fd, int level, int option, int value)
{
	/* A connection without the option still works; it only ends later. */
	(void)setsockopt(fd, level, option, &value, sizeof(value));
}

static void conn_set_options(http1_t *conn)
{
	uv_os_fd_t fd;

	uv_tcp_nodelay(&conn->tcp, 1);
	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) < 0)
		return;
	conn_set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	conn_set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	conn_set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	conn_set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
	conn_set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS);
}

static void on_closed(uv_handle_t *handle)
{
	http1_t *conn = handle->data;

	g_string_free(conn->text, TRUE);
	g_array_unref(conn->header_offsets);
	if (conn->pending)
		g_byte_array_unref(conn->pending);
	g_free(conn);
}

/* Closes the connection without an event; twice is harmless. */
void http1_close(http1_t *conn)
{
	conn->ended = true;
	if (conn->closing)
		return;
	conn->closing = true;
	if (conn->draining)
		draining_count--;
	uv_close((uv_handle_t *)&conn->tcp, on_closed);
}

static void conn_end(http1_t *conn, http1_end_t end)
{
	bool notify = !conn->ended;
	http1_events_t events = conn->events;
	void *ctx = conn->ctx;

	http1_close(conn);
	if (notify)
		events.on_end(ctx, end);
}

static void on_shutdown(uv_shutdown_t *req, int status)
{
	(void)status;
	http1_close(req->handle->data);
}

/*
 * Closes once all written bytes are with the kernel. Closing at once, with
 * bytes of the caller unread, would reset the connection and could destroy the
 * answer on its way.
 */
void http1_close_when_sent(http1_t *conn)
{
	conn->ended = true;
	if (conn->closing || conn->draining)
		return;
	conn->draining = true;
	draining_count++;
	if (conn->reading)
		uv_read_stop((uv_stream_t *)&conn->tcp);
	conn->reading = false;
	conn->shutdown_req.data = conn;
	if (uv_shutdown(&conn->shutdown_req, (uv_stream_t *)&conn->tcp,
			on_shutdown) < 0)
		http1_close(conn);
}

/* Returns whether a connection still has bytes to send before it closes. */
bool http1_is_draining(void)
{
	return draining_count > 0;
}

/* Takes a waiting connection from the listener; -1 if there is none. */
int http1_accept(http1_t *conn, uv_stream_t *listener)
{
	if (uv_accept(listener, (uv_stream_t *)&conn->tcp) < 0)
		return -1;
	conn_set_options(conn);
	conn_start_reading(conn);
	return 0;
}

static void on_connect_done(uv_connect_t *req, int status)
{
	http1_t *conn = req->handle->data;

	if (conn->closing)
		return;
	if (status < 0) {
		conn_end(conn, HTTP1_END_CONNECT_FAILED);
		return;
	}
	conn_set_options(conn);
	conn_start_reading(conn);
	conn->events.on_connected(conn->ctx);
}

/* Starts to connect; on_connected or on_end follows. -1: it can't be tried. */
int http1_connect(http1_t *conn, const char *address, uint16_t port)
{
	struct sockaddr_in addr;

	if (uv_ip4_addr(address, port, &addr) < 0)
		return -1;
	return uv_tcp_connect(&conn->connect_req, &conn->tcp,
			      (const struct sockaddr *)&addr, on_connect_done) < 0
		       ? -1
		       : 0;
}

static void on_write_done(uv_write_t *req, int status)
{
	http1_t *conn = req->handle->data;

	g_free(req);
	if (status < 0 && !conn->closing)
		conn_end(conn, conn->in_message || conn->expecting_response
				       ? HTTP1_END_TRUNCATED
				       : HTTP1_END_RESET);
}

/* Sends bytes, copying what the kernel does not take at once. */
void http1_write(http1_t *conn, const char *data, size_t len)
{
	uv_buf_t buf = uv_buf_init((char *)data, (unsigned int)len);
	pending_write_t *write;
	int sent;

	if (conn->closing || !len)
		return;
	sent = uv_try_write((uv_stream_t *)&conn->tcp, &buf, 1);
	if (sent == (int)len)
		return;
	/* An error shows again at the queued write, outside of the caller. */
	if (sent < 0)
		sent = 0;
	write = g_malloc(sizeof(*write) + len - (size_t)sent);
	memcpy(write->bytes, data + sent, len - (size_t)sent);
	buf = uv_buf_init(write->bytes, (unsigned int)(len - (size_t)sent));
	if (uv_write(&write->req, (uv_stream_t *)&conn->tcp, &buf, 1,
		     on_write_done) < 0)
		g_free(write);
}

/* Returns how many written bytes the kernel has not taken yet. */
size_t http1_unsent_bytes(const http1_t *conn)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp);
}

/* Says whether a message has begun to come in and has not ended. */
bool http1_in_message(const http1_t *conn)
{
	return conn->in_message;
}

/*
 * A client side: says that an answer is due, so that one is let in. An answer
 * to HEAD states a length and has no body.
 */
void http1_expect_response(http1_t *conn, bool for_head)
{
	conn->expecting_response = true;
	conn->response_to_head = for_head;
}

static void append_head_text(http1_t *conn, const char *at, size_t len)
{
	g_string_append_len(conn->text, at, (gssize)len);
	conn->head_bytes += len;
	if (conn->head_bytes > conn->head_max)
		conn->too_large = true;
}

static int on_parser_message_begin(http_parser *parser)
{
	http1_t *conn = parser->data;

	conn->in_message = true;
	conn->in_value = false;
	conn->head_bytes = 0;
	g_string_truncate(conn->text, 0);
	g_array_set_size(conn->header_offsets, 0);
	/* An answer that nobody asked for belongs to no request. */
	if (conn->side == HTTP1_CLIENT && !conn->expecting_response)
		return 1;
	return 0;
}

static int on_parser_url(http_parser *parser, const char *at, size_t len)
{
	http1_t *conn = parser->data;

	append_head_text(conn, at, len);
	return conn->too_large;
}

static int on_parser_header_field(http_parser *parser, const char *at, size_t len)
{
	http1_t *conn = parser->data;

	if (conn->in_value || !conn->header_offsets->len) {
		header_offsets_t offsets;

		g_string_append_c(conn->text, '\0');
		offsets.name = conn->text->len;
		offsets.value = offsets.name;
		g_array_append_val(conn->header_offsets, offsets);
		conn->in_value = false;
		if (conn->header_offsets->len > HEADERS_MAX)
			conn->too_large = true;
	}
	/* Blanks before the colon are read by some as part of the name. */
	if (memchr(at, ' ', len) || memchr(at, '\t', len))
		conn->malformed = true;
	append_head_text(conn, at, len);
	return conn->too_large || conn->malformed;
}

static int on_parser_header_value(http_parser *parser, const char *at, size_t len)
{
	http1_t *conn = parser->data;

	if (!conn->in_value) {
		g_string_append_c(conn->text, '\0');
		g_array_index(conn->header_offsets, header_offsets_t,
			      conn->header_offsets->len - 1)
			.value = conn->text->len;
		conn->in_value = true;
	}
	if (memchr(at, '\0', len) || memchr(at, '\r', len) || memchr(at, '\n', len))
		conn->malformed = true;
	append_head_text(conn, at, len);
	return conn->too_large || conn->malformed;
}

/*
 * Fills the list of headers. Two that say how long the body is, or a transfer
 * coding other than plain chunks, can be read in two ways; what follows such a
 * head could be smuggled past one of the readers, so it is refused.
 */
static bool collect_headers(http1_t *conn, header_t *headers)
{
	unsigned int lengths = 0;
	unsigned int codings = 0;

	for (guint i = 0; i < conn->header_offsets->len; i++) {
		header_offsets_t *offsets = &g_array_index(conn->header_offsets,
							   header_offsets_t, i);

		headers[i].name = conn->text->str + offsets->name;
		headers[i].value = conn->text->str + offsets->value;
		/* A header with an empty value has no value callback. */
		if (offsets->value == offsets->name)
			headers[i].value = "";
		if (!strcasecmp(headers[i].name, "Content-Length"))
			lengths++;
		if (!strcasecmp(headers[i].name, "Transfer-Encoding")) {
			codings++;
			if (strcasecmp(headers[i].value, "chunked"))
				return false;
		}
	}
	return lengths + codings <= 1;
}

static int on_parser_headers_complete(http_parser *parser)
{
	http1_t *conn = parser->data;
	header_t headers[HEADERS_MAX + 1];
	http1_head_t head = { .headers = headers };
	bool chunked = parser->flags & F_CHUNKED;

	if (conn->side == HTTP1_CLIENT && parser->status_code < 200)
		return 0;
	g_string_append_c(conn->text, '\0');
	if (!collect_headers(conn, headers)) {
		conn->malformed = true;
		return -1;
	}
	head.header_count = conn->header_offsets->len;
	head.keep_alive = http_should_keep_alive(parser);
	if (conn->side == HTTP1_SERVER) {
		head.method = http_method_str(parser->method);
		head.target = conn->text->str;
		head.has_body = chunked || (parser->content_length &&
					    parser->content_length != ULLONG_MAX);
	} else {
		head.status = (int)parser->status_code;
		head.ends_with_connection = !chunked &&
					    parser->content_length == ULLONG_MAX;
		head.has_body = chunked || parser->content_length;
	}
	conn->events.on_head(conn->ctx, &head);
	if (conn->ended)
		return -1;
	return conn->response_to_head ? 1 : 0; /* 1 tells the parser to skip the body */
}

static int on_parser_body(http_parser *parser, const char *at, size_t len)
{
	http1_t *conn = parser->data;

	conn->events.on_body(conn->ctx, at, len);
	return conn->ended;
}

static int on_parser_message_complete(http_parser *parser)
{
	http1_t *conn = parser->data;
	bool interim = conn->side == HTTP1_CLIENT && parser->status_code < 200;

	conn->in_message = false;
	if (interim)
		return 0;
	conn->expecting_response = false;
	conn->events.on_message(conn->ctx);
	/* One request at a time: what follows waits until this is answered. */
	if (conn->paused && !conn->ended)
		http_parser_pause(parser, 1);
	return conn->ended;
}

static void conn_buffer_input(http1_t *conn, const char *data, size_t len)
{
	if (!conn->pending)
		conn->pending = g_byte_array_new();
	g_byte_array_append(conn->pending, (const guint8 *)data, (guint)len);
	if (conn->pending->len > PENDING_BYTES_MAX && conn->reading) {
		uv_read_stop((uv_stream_t *)&conn->tcp);
		conn->reading = false;
	}
}

/*
 * Ends a connection whose bytes can't be followed any more. A caller is told
 * why; what comes after the fault is not looked at, as it may be smuggled.
 */
static void conn_reject(http1_t *conn, int status, http1_end_t end)
{
	http1_events_t events = conn->events;
	void *ctx = conn->ctx;
	bool notify = !conn->ended;
	char *answer;

	if (conn->side == HTTP1_CLIENT) {
		conn_end(conn, end);
		return;
	}
	answer = g_strdup_printf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\n"
				 "Connection: close\r\n\r\n",
				 status, http1_reason_phrase(status));
	http1_write(conn, answer, strlen(answer));
	g_free(answer);
	http1_close_when_sent(conn);
	if (notify)
		events.on_end(ctx, end);
}

static void conn_parse(http1_t *conn, const char *data, size_t len)
{
	size_t used =
		http_parser_execute(&conn->parser, &parser_settings, data, len);
	enum http_errno failure = HTTP_PARSER_ERRNO(&conn->parser);

	if (conn->ended)
		return;
	if (failure == HPE_PAUSED) {
		http_parser_pause(&conn->parser, 0);
		if (conn->paused) {
			if (used < len)
				conn_buffer_input(conn, data + used, len - used);
		} else {
			/* Answered within the callback: go on at once. */
			conn_parse(conn, data + used, len - used);
		}
		return;
	}
	if (conn->too_large || failure == HPE_HEADER_OVERFLOW)
		conn_reject(conn, 431, HTTP1_END_TOO_LARGE);
	else if (failure != HPE_OK || conn->parser.upgrade)
		conn_reject(conn, 400, HTTP1_END_PROTOCOL_ERROR);
}

/* Tells the parser of the end, which completes an answer without a length. */
static void conn_handle_eof(http1_t *conn, bool reset)
{
	bool was_idle = !conn->in_message && !conn->expecting_response;

	if (!reset && conn->in_message)
		http_parser_execute(&conn->parser, &parser_settings, NULL, 0);
	if (conn->ended)
		return;
	if (conn->in_message || conn->expecting_response)
		conn_end(conn, HTTP1_END_TRUNCATED);
	else
		conn_end(conn, reset && was_idle ? HTTP1_END_RESET
						 : HTTP1_END_CLOSED);
}

/*
 * A reset that comes right after data can be read as an ordinary end; only the
 * socket's error tells. Taken for the end of an answer without a length, a part
 * of it would be passed on as the whole.
 */
static bool conn_was_reset(const http1_t *conn)
{
	int error = 0;
	socklen_t len = sizeof(error);
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)&conn->tcp, &fd) < 0)
		return true;
	return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0 || error;
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	http1_t *conn = stream->data;

	if (conn->ended || len == 0)
		return;
	if (len < 0)
		conn_handle_eof(conn, len != UV_EOF || conn_was_reset(conn));
	else if (conn->paused)
		conn_buffer_input(conn, buf->base, (size_t)len);
	else
		conn_parse(conn, buf->base, (size_t)len);
}

/* Keeps the next message back; the end of the connection is still noticed. */
void http1_pause(http1_t *conn)
{
	conn->paused = true;
}

/* Lets the next message in, and what was read of it meanwhile. */
void http1_resume(http1_t *conn)
{
	GByteArray *pending = conn->pending;

	conn->paused = false;
	if (conn->ended)
		return;
	conn_start_reading(conn);
	if (!pending)
		return;
	conn->pending = NULL;
	conn_parse(conn, (const char *)pending->data, pending->len);
	g_byte_array_unref(pending);
}

/* Returns the usual phrase of a status, or "Status" for an unusual one. */
const char *http1_reason_phrase(int status)
{
	switch (status) {
#define REASON(code, name, text) \
	case code:               \
		return #text;
		HTTP_STATUS_MAP(REASON)
#undef REASON
	default:
		return "Status";
	}
}
