/* Sends and receives frames on TCP connections between entries. */
#include "adapters/frame_link.h"

#include <glib.h>
#include <string.h>

#include "adapters/log_glib.h"
#include "core/list.h"
#include "ports/clock.h"

#define LOG_COMPONENT "frame-link"
#define LENGTH_BYTES 4
#define LISTEN_BACKLOG 512
#define SWEEP_MS 250
/*
 * A connection whose frames are not acknowledged within this time is closed. If
 * a middlebox has lost the connection's state, writes still succeed, and only
 * the missing acknowledgement shows that the connection is dead.
 */
#define ACK_TIMEOUT_MS 1000
#define IDLE_TIMEOUT_MS 30000
/* Of a connection: queued while it is opened, or written and not read by the peer. */
#define QUEUED_BYTES_MAX ((size_t)4 * 1024 * 1024)
/* Of the incomplete frames of all connections, in frames of the largest size. */
#define INCOMPLETE_FRAMES_MAX 4

/* Shared by all connections, as the loop has one thread. */
static char read_buffer[64 * 1024];

typedef struct conn {
	list_node_t node;
	frame_link_t *link;
	uv_tcp_t tcp;
	uv_connect_t connect;
	char *key; /* address:port; NULL: opened by the peer */
	bool connected;
	bool closing;
	GByteArray *input; /* received, not yet parsed */
	GByteArray *queued; /* frames to send once connected */
	size_t writing_bytes; /* allocated for writes that are not complete */
	unsigned int unacked; /* frames sent or queued */
	uint64_t unacked_since; /* loop time, ms */
	uint64_t last_used_at; /* loop time, ms */
} conn_t;

typedef struct write {
	uv_write_t req;
	GBytes *bytes;
	size_t size; /* of itself, and of its bytes */
} write_t;

struct frame_link {
	uv_loop_t *loop;
	uv_tcp_t listener;
	uv_timer_t sweep;
	frame_link_config_t config;
	uint16_t port;
	GHashTable *outgoing; /* key -> conn_t, borrowed */
	list_node_t conns; /* of conn_t */
	size_t input_bytes; /* of all of them */
	uint64_t bytes; /* sent and received */
};

/* Frees a closed connection. */
static void on_closed(uv_handle_t *handle)
{
	conn_t *conn = handle->data;

	g_byte_array_unref(conn->input);
	g_byte_array_unref(conn->queued);
	g_free(conn->key);
	g_free(conn);
}

/* Closes a connection; it is freed by the loop. */
static void conn_close(conn_t *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	conn->link->input_bytes -= conn->input->len;
	if (conn->key)
		g_hash_table_remove(conn->link->outgoing, conn->key);
	list_remove(&conn->node);
	uv_close((uv_handle_t *)&conn->tcp, on_closed);
}

/* Closes a connection that failed, and reports it if it was opened here. */
static void conn_fail(conn_t *conn)
{
	const frame_link_config_t *config = &conn->link->config;
	bool notify = conn->key && !conn->closing;

	conn_close(conn);
	if (notify && !conn->connected && config->on_unreachable)
		config->on_unreachable(config->ctx, conn->key);
	if (notify && config->on_lost)
		config->on_lost(config->ctx, conn->key);
}

/* Returns a new connection, owned by LINK. */
static conn_t *conn_create(frame_link_t *link)
{
	conn_t *conn = g_new0(conn_t, 1);

	conn->link = link;
	conn->input = g_byte_array_new();
	conn->queued = g_byte_array_new();
	conn->last_used_at = uv_now(link->loop);
	uv_tcp_init(link->loop, &conn->tcp);
	conn->tcp.data = conn;
	list_append(&link->conns, &conn->node);
	return conn;
}

/* Frees a write, and fails its connection on an error. */
static void on_write_done(uv_write_t *req, int status)
{
	write_t *write = (write_t *)req;
	conn_t *conn = req->handle->data;

	conn->writing_bytes -= write->size;
	if (status < 0 && status != UV_ECANCELED)
		conn_fail(conn);
	g_bytes_unref(write->bytes);
	g_free(write);
}

/*
 * Writes BYTES, which are referenced until they are written. Fails the connection if its
 * peer leaves too much unread.
 */
static void conn_write(conn_t *conn, GBytes *bytes)
{
	write_t *write = g_new0(write_t, 1);
	gsize len;
	void *data = (void *)g_bytes_get_data(bytes, &len);
	uv_buf_t buf = uv_buf_init(data, (unsigned int)len);

	write->bytes = g_bytes_ref(bytes);
	write->size = sizeof(*write) + len;
	conn->link->bytes += len;
	if (uv_write(&write->req, (uv_stream_t *)&conn->tcp, &buf, 1,
		     on_write_done) < 0) {
		g_bytes_unref(write->bytes);
		g_free(write);
		conn_fail(conn);
		return;
	}
	conn->writing_bytes += write->size;
	if (conn->writing_bytes > QUEUED_BYTES_MAX)
		conn_fail(conn);
}

/* Returns a frame with a copy of DATA, owned by the caller. */
static GBytes *encode_frame(const void *data, size_t len)
{
	GByteArray *frame = g_byte_array_new();
	const uint32_t length = GUINT32_TO_BE((uint32_t)len);

	g_byte_array_append(frame, (const guint8 *)&length, LENGTH_BYTES);
	if (len)
		g_byte_array_append(frame, data, (guint)len);
	return g_byte_array_free_to_bytes(frame);
}

/*
 * Handles one frame: an empty one acknowledges the oldest frame sent; any other
 * is acknowledged and delivered.
 */
static void conn_handle_frame(conn_t *conn, const char *data, size_t len)
{
	GBytes *ack;

	if (len == 0) {
		if (conn->unacked)
			conn->unacked--;
		conn->unacked_since = uv_now(conn->link->loop);
		return;
	}
	ack = encode_frame(NULL, 0);
	conn_write(conn, ack);
	g_bytes_unref(ack);
	if (conn->link->config.on_frame(conn->link->config.ctx, data, len) < 0)
		conn_close(conn);
}

/* Handles all complete frames that have been received. */
static void conn_parse_input(conn_t *conn)
{
	guint consumed = 0;

	while (!conn->closing && conn->input->len - consumed >= LENGTH_BYTES) {
		uint32_t length;

		memcpy(&length, conn->input->data + consumed, LENGTH_BYTES);
		length = GUINT32_FROM_BE(length);
		if (length > conn->link->config.frame_max) {
			log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
				 "connection closed: frame of %u bytes exceeds "
				 "the limit",
				 length);
			conn_close(conn);
			return;
		}
		if (conn->input->len - consumed - LENGTH_BYTES < length)
			break;
		consumed += LENGTH_BYTES;
		conn_handle_frame(conn, (const char *)conn->input->data + consumed,
				  length);
		consumed += length;
	}
	if (!consumed)
		return;
	if (!conn->closing)
		conn->link->input_bytes -= consumed;
	if (consumed < conn->input->len) {
		g_byte_array_remove_range(conn->input, 0, consumed);
		return;
	}
	/* A large frame's memory is not kept. */
	g_byte_array_unref(conn->input);
	conn->input = g_byte_array_new();
}

/* Closes the connections with the largest incomplete frames while all take too much. */
static void link_limit_input(frame_link_t *link)
{
	while (link->input_bytes >
	       (size_t)link->config.frame_max * INCOMPLETE_FRAMES_MAX) {
		conn_t *largest = NULL;

		LIST_FOR_EACH (it, &link->conns) {
			conn_t *conn = LIST_ENTRY(it, conn_t, node);

			if (!largest || conn->input->len > largest->input->len)
				largest = conn;
		}
		if (!largest)
			return;
		log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
			 "connection closed: %u bytes of an incomplete frame",
			 largest->input->len);
		conn_fail(largest);
	}
}

/* Provides the shared buffer for a read. */
static void conn_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

/* Handles received data, or the failure of the connection. */
static void conn_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	conn_t *conn = stream->data;

	if (len > 0) {
		conn->link->bytes += (uint64_t)len;
		conn->last_used_at = uv_now(conn->link->loop);
		conn->link->input_bytes += (size_t)len;
		g_byte_array_append(conn->input, (const guint8 *)buf->base,
				    (guint)len);
		conn_parse_input(conn);
		link_limit_input(conn->link);
	}
	if (len < 0)
		conn_fail(conn);
}

/* Accepts a connection of a peer. */
static void link_accept(uv_stream_t *listener, int status)
{
	frame_link_t *link = listener->data;
	conn_t *conn;

	if (status < 0)
		return;
	conn = conn_create(link);
	if (uv_accept(listener, (uv_stream_t *)&conn->tcp) < 0) {
		conn_close(conn);
		return;
	}
	conn->connected = true;
	uv_tcp_nodelay(&conn->tcp, 1);
	uv_read_start((uv_stream_t *)&conn->tcp, conn_alloc, conn_read);
}

/* Closes connections that are dead or idle. */
static void link_sweep(uv_timer_t *timer)
{
	frame_link_t *link = timer->data;
	uint64_t now = uv_now(link->loop);

	LIST_FOR_EACH_SAFE (it, &link->conns) {
		conn_t *conn = LIST_ENTRY(it, conn_t, node);
		bool ack_overdue = conn->unacked &&
				   now - conn->unacked_since >= ACK_TIMEOUT_MS;

		if (ack_overdue)
			conn_fail(conn);
		else if (now - conn->last_used_at >= IDLE_TIMEOUT_MS)
			conn_close(conn);
	}
}

/* Starts listening. Returns -1 with ERR set if that fails. */
static int link_listen(frame_link_t *link, pd_error_t *err)
{
	const frame_link_config_t *config = &link->config;
	struct sockaddr_in addr;
	struct sockaddr_storage bound;
	int len = sizeof(bound);
	int rc = uv_ip4_addr(config->address, config->port, &addr);

	if (rc == 0)
		rc = uv_tcp_bind(&link->listener, (struct sockaddr *)&addr, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&link->listener, LISTEN_BACKLOG,
			       link_accept);
	if (rc == 0)
		rc = uv_tcp_getsockname(&link->listener,
					(struct sockaddr *)&bound, &len);
	if (rc != 0)
		return pd_error_set(err, PD_ERROR_IO, "listen on %s:%u: %s",
				    config->address, config->port,
				    uv_strerror(rc));
	link->port = ntohs(((struct sockaddr_in *)&bound)->sin_port);
	return 0;
}

/*
 * Starts listening for peers; CONFIG is copied. Returns NULL with ERR set if
 * that fails. The caller destroys the result.
 */
frame_link_t *frame_link_create(uv_loop_t *loop,
				const frame_link_config_t *config, pd_error_t *err)
{
	frame_link_t *link = g_new0(frame_link_t, 1);

	link->loop = loop;
	link->config = *config;
	link->outgoing = g_hash_table_new(g_str_hash, g_str_equal);
	list_init(&link->conns);
	uv_tcp_init(loop, &link->listener);
	link->listener.data = link;
	uv_timer_init(loop, &link->sweep);
	link->sweep.data = link;
	uv_timer_start(&link->sweep, link_sweep, SWEEP_MS, SWEEP_MS);
	if (link_listen(link, err) < 0)
		goto error;
	return link;
error:
	frame_link_destroy(link);
	return NULL;
}

/*
 * Closes the listener and every connection; NULL is allowed. Connections are
 * freed by the loop's close callbacks; the link itself is not freed.
 */
void frame_link_destroy(frame_link_t *link)
{
	if (!link)
		return;
	LIST_FOR_EACH_SAFE (it, &link->conns)
		conn_close(LIST_ENTRY(it, conn_t, node));
	uv_close((uv_handle_t *)&link->listener, NULL);
	uv_close((uv_handle_t *)&link->sweep, NULL);
}

/* Returns the TCP port that peers connect to. */
uint16_t frame_link_port(const frame_link_t *link)
{
	return link->port;
}

/* Returns the number of bytes sent and received. */
uint64_t frame_link_bytes(const frame_link_t *link)
{
	return link->bytes;
}

/* Sends the queued frames once a connection is established. */
static void on_connected(uv_connect_t *connect, int status)
{
	conn_t *conn = connect->handle->data;
	GBytes *bytes;

	if (conn->closing)
		return;
	if (status < 0) {
		conn_fail(conn);
		return;
	}
	conn->connected = true;
	uv_tcp_nodelay(&conn->tcp, 1);
	uv_read_start((uv_stream_t *)&conn->tcp, conn_alloc, conn_read);
	bytes = g_bytes_new(conn->queued->data, conn->queued->len);
	g_byte_array_set_size(conn->queued, 0);
	conn_write(conn, bytes);
	g_bytes_unref(bytes);
}

/*
 * Returns the outgoing connection to a peer, opened if there is none; NULL if
 * that fails at once.
 */
static conn_t *link_get_conn(frame_link_t *link, const char *address, uint16_t port)
{
	char *key = g_strdup_printf("%s:%u", address, port);
	conn_t *conn = g_hash_table_lookup(link->outgoing, key);
	struct sockaddr_in addr;

	if (conn) {
		g_free(key);
		return conn;
	}
	conn = conn_create(link);
	conn->key = key;
	g_hash_table_insert(link->outgoing, conn->key, conn);
	if (uv_ip4_addr(address, port, &addr) < 0 ||
	    uv_tcp_connect(&conn->connect, &conn->tcp,
			   (const struct sockaddr *)&addr, on_connected) < 0) {
		conn_close(conn);
		return NULL;
	}
	return conn;
}

/*
 * Sends a frame to a peer, opening a connection if there is none. Delivery is
 * not guaranteed; the protocol above retransmits what matters.
 */
void frame_link_send(frame_link_t *link, const char *address, uint16_t port,
		     GBytes *body)
{
	conn_t *conn = link_get_conn(link, address, port);
	GBytes *frame;
	gsize len;

	if (!conn)
		return;
	frame = encode_frame(g_bytes_get_data(body, NULL), g_bytes_get_size(body));
	if (!conn->unacked)
		conn->unacked_since = uv_now(link->loop);
	conn->unacked++;
	conn->last_used_at = uv_now(link->loop);
	len = g_bytes_get_size(frame);
	if (conn->connected)
		conn_write(conn, frame);
	else if (conn->queued->len + len <= QUEUED_BYTES_MAX)
		g_byte_array_append(conn->queued, g_bytes_get_data(frame, NULL),
				    (guint)len);
	g_bytes_unref(frame);
}
