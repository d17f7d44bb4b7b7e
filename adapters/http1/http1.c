/*
 * HTTP/1.1 connections: collects the parser's callbacks into complete heads,
 * writes without blocking and classifies how a connection ended.
 */
#include "adapters/http1/http1.h"

#include <http_parser.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "core/list.h"

/* Per read; all connections share the buffer, as the loop has one thread. */
#define READ_BUFFER_BYTES (64 * 1024)
/* Bytes buffered while messages are paused; then reading stops. */
#define PENDING_BYTES_MAX (64 * 1024)
#define HEADERS_MAX 128
/* A larger body of a request is sent apart from its head, without a copy. */
#define COPIED_BODY_MAX (64 * 1024)
/* The default; the limit for callers' requests is configurable. */
#define HEAD_BYTES_MAX (64 * 1024)
/*
 * Interim (1xx) responses before one response. Upstreams send one or two; without a
 * limit, an upstream that sends nothing else occupies its request until the deadline.
 */
#define INTERIM_RESPONSES_MAX 32
/* Statuses that HTTP defines classes for. */
#define STATUS_MIN 100
#define STATUS_MAX 599
/*
 * A connection can die without a reset, for example when a device on the path
 * loses its state. TCP keep-alive probes start after one idle second and end such
 * a connection within about three seconds; unacknowledged writes end it as fast.
 */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define UNACKED_TIMEOUT_MS 2500

typedef struct offsets {
	size_t name; /* in http1_t.text */
	size_t value; /* equal to NAME if the value is empty */
} header_offsets_t;

struct http1 {
	uv_tcp_t tcp;
	uv_connect_t connect_req;
	uv_shutdown_t shutdown_req;
	http1_side_t side;
	http1_events_t events;
	void *ctx;
	http_parser parser;
	GString *text; /* the head's strings, each NUL-terminated */
	GArray *header_offsets; /* of header_offsets_t */
	bool in_value;
	bool in_message; /* a message has begun and not ended */
	bool expecting_response; /* client only */
	bool response_to_head; /* the expected response is to a HEAD request */
	unsigned int interim_responses; /* received before the expected one */
	bool paused; /* the next message is buffered */
	bool malformed; /* the head is rejected by this module's checks */
	bool too_large; /* the head, or the number of interim responses */
	bool reading;
	bool held; /* reading is stopped by http1_hold() */
	bool draining;
	bool closing;
	bool ended; /* on_end was called, or must not be called */
	size_t head_bytes;
	size_t head_bytes_max;
	GByteArray *pending; /* read while paused */
	list_node_t queue_node; /* of a server with queued writes, in servers_queued */
	size_t queued_bytes; /* allocated for writes that the kernel has not taken */
};

typedef struct pending_write {
	uv_write_t req;
	size_t size; /* of itself */
	GByteArray *shared; /* that is sent in place of bytes; NULL: none */
	char bytes[];
} pending_write_t;

static char read_buffer[READ_BUFFER_BYTES];
/* Connections that wait for queued writes before they close. */
static unsigned int draining_count;
/* Servers' connections with queued writes, and the sum of their queued_bytes. */
static list_node_t servers_queued = { &servers_queued, &servers_queued };
static size_t servers_queued_bytes;

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

/* Returns an unconnected connection, which http1_close() frees. EVENTS is copied. */
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
	conn->head_bytes_max = HEAD_BYTES_MAX;
	list_init(&conn->queue_node);
	http_parser_init(&conn->parser,
			 side == HTTP1_SERVER ? HTTP_REQUEST : HTTP_RESPONSE);
	conn->parser.data = conn;
	uv_tcp_init(loop, &conn->tcp);
	conn->tcp.data = conn;
	return conn;
}

/* Sets the maximum size of a head; a longer one ends the connection. */
void http1_set_head_limit(http1_t *conn, size_t bytes)
{
	conn->head_bytes_max = bytes;
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void conn_start_reading(http1_t *conn)
{
	if (conn->reading || conn->closing || conn->held)
		return;
	conn->reading = true;
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

static void conn_set_option(int fd, int level, int option, int value)
{
	/* Without the option the connection works, but failures show later. */
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

/* Counts queued writes of SIZE bytes. */
static void conn_add_queued(http1_t *conn, size_t size)
{
	if (conn->side == HTTP1_SERVER) {
		if (!conn->queued_bytes)
			list_append(&servers_queued, &conn->queue_node);
		servers_queued_bytes += size;
	}
	conn->queued_bytes += size;
}

/* Takes SIZE bytes, which were sent or are dropped, off the queued writes. */
static void conn_remove_queued(http1_t *conn, size_t size)
{
	conn->queued_bytes -= size;
	if (conn->side != HTTP1_SERVER)
		return;
	servers_queued_bytes -= size;
	if (!conn->queued_bytes)
		list_remove(&conn->queue_node);
}

/* Closes and frees the connection without calling on_end; idempotent. */
void http1_close(http1_t *conn)
{
	conn->ended = true;
	if (conn->closing)
		return;
	conn->closing = true;
	if (conn->draining)
		draining_count--;
	/* libuv drops queued writes before the loop waits again. */
	conn_remove_queued(conn, conn->queued_bytes);
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
 * Closes the connection after all queued writes have been sent, without calling
 * on_end. An immediate close with unread input would reset the connection and
 * could destroy the response in transit.
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

/* Returns whether any connection still sends queued writes before it closes. */
bool http1_is_draining(void)
{
	return draining_count > 0;
}

/* Accepts a connection from LISTENER; returns -1 if there is none. */
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
		conn_end(conn, status == UV_ECONNREFUSED
				       ? HTTP1_END_REFUSED
				       : HTTP1_END_CONNECT_FAILED);
		return;
	}
	conn_set_options(conn);
	conn_start_reading(conn);
	conn->events.on_connected(conn->ctx);
}

/*
 * Starts to connect to an IPv4 address; on_connected or on_end follows. Returns
 * -1, without a callback, if that fails at once.
 */
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

static void write_free(pending_write_t *write)
{
	if (write->shared)
		g_byte_array_unref(write->shared);
	g_free(write);
}

static void on_write_done(uv_write_t *req, int status)
{
	http1_t *conn = req->handle->data;

	if (!conn->closing)
		conn_remove_queued(conn, ((pending_write_t *)req)->size);
	write_free((pending_write_t *)req);
	if (status < 0 && !conn->closing)
		conn_end(conn, conn->in_message || conn->expecting_response
				       ? HTTP1_END_TRUNCATED
				       : HTTP1_END_RESET);
}

/*
 * Sends LEN bytes without blocking. Those that the kernel doesn't take are copied, or are
 * part of SHARED, of which a reference is held until they are sent; NULL: they are copied.
 */
static void conn_write(http1_t *conn, const char *data, size_t len,
		       GByteArray *shared)
{
	uv_buf_t buf = uv_buf_init((char *)data, (unsigned int)len);
	pending_write_t *write;
	size_t copied;
	int sent;

	if (conn->closing || !len)
		return;
	sent = uv_try_write((uv_stream_t *)&conn->tcp, &buf, 1);
	if (sent == (int)len)
		return;
	/* The queued write reports an error again, after this call returned. */
	if (sent < 0)
		sent = 0;
	buf = uv_buf_init((char *)data + sent, (unsigned int)(len - (size_t)sent));
	copied = shared ? 0 : buf.len;
	write = g_malloc(sizeof(*write) + copied);
	write->size = sizeof(*write) + copied;
	write->shared = shared ? g_byte_array_ref(shared) : NULL;
	if (!shared) {
		memcpy(write->bytes, buf.base, buf.len);
		buf.base = write->bytes;
	}
	if (uv_write(&write->req, (uv_stream_t *)&conn->tcp, &buf, 1,
		     on_write_done) < 0)
		write_free(write);
	else
		conn_add_queued(conn, write->size);
}

/* Sends bytes without blocking; those that the kernel doesn't take are copied. */
void http1_write(http1_t *conn, const char *data, size_t len)
{
	conn_write(conn, data, len, NULL);
}

/*
 * Sends a request without blocking. BODY, which may be NULL, is referenced until it is sent
 * if it is large, and must not be changed afterwards.
 */
void http1_write_request(http1_t *conn, const GString *head, GByteArray *body)
{
	size_t body_len = body ? body->len : 0;
	GString *all;

	if (!body_len || body_len > COPIED_BODY_MAX) {
		conn_write(conn, head->str, head->len, NULL);
		if (body_len)
			conn_write(conn, (const char *)body->data, body_len, body);
		return;
	}
	/* One segment for both. */
	all = g_string_sized_new(head->len + body_len);
	g_string_append_len(all, head->str, (gssize)head->len);
	g_string_append_len(all, (const char *)body->data, (gssize)body_len);
	conn_write(conn, all->str, all->len, NULL);
	g_string_free(all, TRUE);
}

/* Returns the number of queued bytes that the kernel has not taken yet. */
size_t http1_unsent_bytes(const http1_t *conn)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp);
}

/* Returns the memory that writes take which the kernel has not taken yet, in bytes. */
size_t http1_queued_bytes(const http1_t *conn)
{
	return conn->queued_bytes;
}

/* Returns the same of all servers' connections together. */
size_t http1_servers_queued_bytes(void)
{
	return servers_queued_bytes;
}

/* Returns the server's connection with the most queued bytes, borrowed; NULL: none. */
http1_t *http1_find_longest_queue(void)
{
	http1_t *longest = NULL;

	LIST_FOR_EACH (it, &servers_queued) {
		http1_t *conn = LIST_ENTRY(it, http1_t, queue_node);

		if (!longest || conn->queued_bytes > longest->queued_bytes)
			longest = conn;
	}
	return longest;
}

/*
 * Ends a connection whose queued bytes the other side does not read, and drops them.
 * Calls on_end, unless http1_close_when_sent() was called.
 */
void http1_end_unread(http1_t *conn)
{
	conn_end(conn, HTTP1_END_UNREAD);
}

/*
 * Stops reading from an established connection, or goes on. While it is held, its end
 * is not detected.
 */
void http1_hold(http1_t *conn, bool hold)
{
	if (conn->held == hold || conn->ended || (hold && !conn->reading))
		return;
	conn->held = hold;
	if (!hold) {
		conn_start_reading(conn);
		return;
	}
	uv_read_stop((uv_stream_t *)&conn->tcp);
	conn->reading = false;
}

/* Returns whether a message has been received in part. */
bool http1_in_message(const http1_t *conn)
{
	return conn->in_message;
}

/*
 * Client only: allows one response. A response to HEAD has no body although it
 * may state a length.
 */
void http1_expect_response(http1_t *conn, bool for_head)
{
	conn->expecting_response = true;
	conn->response_to_head = for_head;
	conn->interim_responses = 0;
}

static void append_head_text(http1_t *conn, const char *at, size_t len)
{
	g_string_append_len(conn->text, at, (gssize)len);
	conn->head_bytes += len;
	if (conn->head_bytes > conn->head_bytes_max)
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
	/* An unsolicited response belongs to no request. */
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
	/* Some parsers take blanks before the colon as part of the name. */
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
 * Fills HEADERS; returns false if the framing is ambiguous. With several
 * Content-Length or Transfer-Encoding headers, or a coding other than chunked,
 * two parsers may disagree on the body's end, which allows request smuggling.
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

/* Returns whether the response being read may have a body, by request and status. */
static bool may_have_body(const http1_t *conn)
{
	return !conn->response_to_head && conn->parser.status_code != 204 &&
	       conn->parser.status_code != 304;
}

/*
 * Returns whether the response being read is one to a request without an upgrade: its status
 * is defined, and an interim response has no body, which would count as part of the next.
 */
static bool is_valid_response(const http1_t *conn)
{
	const http_parser *parser = &conn->parser;
	bool has_body =
		(parser->flags & F_CHUNKED) ||
		(parser->content_length && parser->content_length != ULLONG_MAX);

	if (parser->status_code < STATUS_MIN || parser->status_code > STATUS_MAX ||
	    parser->status_code == HTTP_STATUS_SWITCHING_PROTOCOLS)
		return false;
	return parser->status_code >= 200 || !has_body;
}

static int on_parser_headers_complete(http_parser *parser)
{
	http1_t *conn = parser->data;
	header_t headers[HEADERS_MAX + 1];
	http1_head_t head = { .headers = headers };
	bool chunked = parser->flags & F_CHUNKED;

	if (conn->side == HTTP1_CLIENT && !is_valid_response(conn)) {
		conn->malformed = true;
		return -1;
	}
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
					    parser->content_length == ULLONG_MAX &&
					    may_have_body(conn);
		head.has_body = chunked || parser->content_length;
	}
	conn->events.on_head(conn->ctx, &head);
	if (conn->ended)
		return -1;
	return conn->response_to_head ? 1 : 0; /* 1: skip the body */
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
	if (interim) {
		conn->too_large = ++conn->interim_responses > INTERIM_RESPONSES_MAX;
		return conn->too_large;
	}
	conn->expecting_response = false;
	conn->events.on_message(conn->ctx);
	/* Pipelined requests wait until the current one is answered. */
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
 * Ends a connection after a framing error. A server sends an error response
 * first. Input after the error is ignored, as it may be a smuggled request.
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
			/* Resumed within the callback. */
			conn_parse(conn, data + used, len - used);
		}
		return;
	}
	if (conn->too_large || failure == HPE_HEADER_OVERFLOW)
		conn_reject(conn, 431, HTTP1_END_TOO_LARGE);
	else if (failure != HPE_OK || conn->parser.upgrade)
		conn_reject(conn, 400, HTTP1_END_PROTOCOL_ERROR);
}

/*
 * Returns whether the other side has yet to receive a part of what was written. If it closes
 * nevertheless, it resets the connection, which may show later than the end of file.
 */
static bool conn_has_unreceived(const http1_t *conn)
{
	int bytes = 0;
	uv_os_fd_t fd;

	if (http1_unsent_bytes(conn))
		return true;
	return uv_fileno((const uv_handle_t *)&conn->tcp, &fd) == 0 &&
	       ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

/*
 * Handles end of file or reset; end of file ends a response without a length, unless the
 * request was not received whole.
 */
static void conn_handle_eof(http1_t *conn, bool reset)
{
	bool was_idle = !conn->in_message && !conn->expecting_response;
	bool cut_off = reset ||
		       (conn->side == HTTP1_CLIENT && conn_has_unreceived(conn));

	if (!cut_off && conn->in_message)
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
 * Returns whether the connection was reset. A reset right after data can show as
 * end of file, and only SO_ERROR reveals it. If it were taken for the end of a
 * response without a length, a truncated response would be forwarded as complete.
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

/* Buffers the next message; the end of the connection is still detected. */
void http1_pause(http1_t *conn)
{
	conn->paused = true;
}

/* Resumes messages and handles the input that was buffered. */
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

/* Returns the reason phrase of a status code, or "Status" if it is unknown. */
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
