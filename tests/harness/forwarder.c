/* Forwards TCP connections and injects faults into them. */
#include "tests/harness/forwarder.h"

#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/list.h"

#define BACKLOG 128
#define LISTEN_RETRY_MS 20 /* while a connection of the machine has the port */
#define FILLERS 4 /* connections that fill a backlog of 0 */
#define TICK_MS 5 /* resolution of delays */

/* One of the two sockets of a pair. */
typedef struct side {
	uv_tcp_t tcp;
	struct pair *pair;
	struct side *other;
} side_t;

/* An accepted connection and the one to the target that continues it. */
typedef struct pair {
	list_node_t node;
	forwarder_t *forwarder;
	side_t caller;
	side_t target;
	uv_connect_t connect;
	size_t forwarded; /* bytes from caller to target */
	bool silent; /* nothing is forwarded, and no end of a connection */
	bool one_way; /* what the target sends is dropped */
	bool closing;
	unsigned int closed; /* sides whose socket is closed */
} pair_t;

/* A write in progress, with its data. */
typedef struct chunk {
	uv_write_t req;
	char *data;
} chunk_t;

/* Bytes that are delayed. */
typedef struct delayed {
	list_node_t node;
	side_t *to;
	char *data;
	size_t len;
	uint64_t due; /* ms of the loop's clock */
} delayed_t;

struct forwarder {
	uv_loop_t *loop;
	uv_tcp_t listener;
	uv_tcp_t *reservation; /* of the port while it is closed; NULL: none */
	uv_timer_t retry; /* to listen again */
	bool retrying;
	int port;
	int target_port;
	bool refuse; /* new connections are closed at once */
	bool hang; /* new connections are not established */
	bool waiting; /* a connection arrived that is not accepted yet */
	bool closed; /* new connections are reset */
	int fillers[FILLERS];
	bool cut_answers;
	size_t cut_after; /* bytes of a request; 0: never */
	unsigned int open; /* pairs */
	unsigned int delay_ms; /* of new bytes, in both directions */
	uv_timer_t ticker;
	list_node_t delayed; /* of delayed_t, oldest first */
	list_node_t pairs;
};

/* Frees the pair once both of its sides are closed. */
static void side_closed(uv_handle_t *handle)
{
	pair_t *pair = ((side_t *)handle)->pair;

	if (++pair->closed == 2)
		g_free(pair);
}

static void delayed_free(delayed_t *delayed)
{
	list_remove(&delayed->node);
	g_free(delayed->data);
	g_free(delayed);
}

/* Closes both sides of a pair, and drops its delayed bytes. */
static void pair_close(pair_t *pair)
{
	if (pair->closing)
		return;
	pair->closing = true;
	LIST_FOR_EACH_SAFE (it, &pair->forwarder->delayed) {
		delayed_t *delayed = LIST_ENTRY(it, delayed_t, node);

		if (delayed->to->pair == pair)
			delayed_free(delayed);
	}
	pair->forwarder->open--;
	list_remove(&pair->node);
	uv_close((uv_handle_t *)&pair->caller.tcp, side_closed);
	uv_close((uv_handle_t *)&pair->target.tcp, side_closed);
}

/* Ends a write; a failed one closes the pair. */
static void chunk_written(uv_write_t *req, int status)
{
	chunk_t *chunk = (chunk_t *)req;

	if (status < 0 && status != UV_ECANCELED)
		pair_close(((side_t *)req->handle)->pair);
	g_free(chunk->data);
	g_free(chunk);
}

/* Sends a copy of DATA on a side. */
static void side_write(side_t *side, const char *data, size_t len)
{
	chunk_t *chunk = g_new0(chunk_t, 1);
	uv_buf_t buf;

	chunk->data = g_memdup2(data, len);
	buf = uv_buf_init(chunk->data, (unsigned int)len);
	uv_write(&chunk->req, (uv_stream_t *)&side->tcp, &buf, 1, chunk_written);
}

/* Queues a copy of DATA, to be sent on a side after the delay. */
static void delay_bytes(side_t *to, const char *data, size_t len)
{
	forwarder_t *forwarder = to->pair->forwarder;
	delayed_t *delayed = g_new0(delayed_t, 1);

	delayed->to = to;
	delayed->data = g_memdup2(data, len);
	delayed->len = len;
	delayed->due = uv_now(forwarder->loop) + forwarder->delay_ms;
	list_append(&forwarder->delayed, &delayed->node);
}

/* Sends the delayed bytes that are due, in order. */
static void on_tick(uv_timer_t *timer)
{
	forwarder_t *forwarder = timer->data;

	LIST_FOR_EACH_SAFE (it, &forwarder->delayed) {
		delayed_t *delayed = LIST_ENTRY(it, delayed_t, node);

		if (delayed->due > uv_now(forwarder->loop))
			return;
		side_write(delayed->to, delayed->data, delayed->len);
		delayed_free(delayed);
	}
}

static void side_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	*buf = uv_buf_init(g_malloc(size), (unsigned int)size);
}

/* Forwards bytes from a side to the other, or injects the fault that is set. */
static void side_forward(side_t *side, const char *data, size_t len)
{
	pair_t *pair = side->pair;
	forwarder_t *forwarder = pair->forwarder;
	bool request = side == &pair->caller;

	if (!request && forwarder->cut_answers) {
		pair_close(pair);
		return;
	}
	if (request && forwarder->cut_after &&
	    pair->forwarded + len > forwarder->cut_after) {
		len = forwarder->cut_after - pair->forwarded;
		if (len)
			side_write(side->other, data, len);
		pair->forwarded += len;
		pair_close(pair);
		return;
	}
	if (!request && pair->one_way)
		return;
	if (request)
		pair->forwarded += len;
	/* Without a delay, bytes still queue behind those that were delayed before. */
	if (forwarder->delay_ms || !list_empty(&forwarder->delayed))
		delay_bytes(side->other, data, len);
	else
		side_write(side->other, data, len);
}

/* Handles received bytes, or the end of a connection. */
static void side_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	side_t *side = (side_t *)stream;

	if (len > 0 && !side->pair->silent)
		side_forward(side, buf->base, (size_t)len);
	g_free(buf->base);
	if (len < 0 && !side->pair->silent)
		pair_close(side->pair);
}

/* Starts to forward in both directions once the target is connected. */
static void pair_connected(uv_connect_t *connect, int status)
{
	pair_t *pair = ((side_t *)connect->handle)->pair;

	if (pair->closing)
		return;
	if (status < 0) {
		pair_close(pair);
		return;
	}
	uv_read_start((uv_stream_t *)&pair->caller.tcp, side_alloc, side_read);
	uv_read_start((uv_stream_t *)&pair->target.tcp, side_alloc, side_read);
}

/* Accepts a connection and connects to the target. */
static void on_connection(uv_stream_t *listener, int status)
{
	forwarder_t *forwarder = listener->data;
	pair_t *pair;
	struct sockaddr_in addr;

	if (status < 0)
		return;
	/* The event loop accepts no further one until this one is taken. */
	forwarder->waiting = forwarder->hang;
	if (forwarder->hang)
		return;
	pair = g_new0(pair_t, 1);
	pair->forwarder = forwarder;
	pair->caller.pair = pair;
	pair->caller.other = &pair->target;
	pair->target.pair = pair;
	pair->target.other = &pair->caller;
	uv_tcp_init(forwarder->loop, &pair->caller.tcp);
	uv_tcp_init(forwarder->loop, &pair->target.tcp);
	list_append(&forwarder->pairs, &pair->node);
	forwarder->open++;
	if (uv_accept(listener, (uv_stream_t *)&pair->caller.tcp) < 0 ||
	    forwarder->refuse) {
		pair_close(pair);
		return;
	}
	uv_ip4_addr("127.0.0.1", forwarder->target_port, &addr);
	if (uv_tcp_connect(&pair->connect, &pair->target.tcp,
			   (const struct sockaddr *)&addr, pair_connected) < 0)
		pair_close(pair);
}

static void start_listening(forwarder_t *forwarder, int port);

static void on_retry(uv_timer_t *timer)
{
	forwarder_t *forwarder = timer->data;

	forwarder->retrying = false;
	if (!forwarder->closed)
		start_listening(forwarder, forwarder->port);
}

static void on_unlistened_closed(uv_handle_t *handle)
{
	forwarder_t *forwarder = handle->data;

	if (!uv_is_closing((uv_handle_t *)&forwarder->retry))
		uv_timer_start(&forwarder->retry, on_retry, LISTEN_RETRY_MS, 0);
}

static void free_handle(uv_handle_t *handle)
{
	g_free(handle);
}

/* Keeps the port, on which connections are refused, from being given to others. */
static void reserve_port(forwarder_t *forwarder)
{
	struct sockaddr_in addr;

	forwarder->reservation = g_new0(uv_tcp_t, 1);
	uv_tcp_init(forwarder->loop, forwarder->reservation);
	uv_ip4_addr("127.0.0.1", forwarder->port, &addr);
	uv_tcp_bind(forwarder->reservation, (const struct sockaddr *)&addr, 0);
}

/* Gives up the port that is kept, if any. */
static void release_port(forwarder_t *forwarder)
{
	if (forwarder->reservation)
		uv_close((uv_handle_t *)forwarder->reservation, free_handle);
	forwarder->reservation = NULL;
}

/* Listens on a port of loopback, as soon as nobody has it; 0: on any. */
static void start_listening(forwarder_t *forwarder, int port)
{
	struct sockaddr_in addr;
	int len = sizeof(addr);

	release_port(forwarder);
	uv_tcp_init(forwarder->loop, &forwarder->listener);
	forwarder->listener.data = forwarder;
	uv_ip4_addr("127.0.0.1", port, &addr);
	uv_tcp_bind(&forwarder->listener, (const struct sockaddr *)&addr, 0);
	if (uv_listen((uv_stream_t *)&forwarder->listener, BACKLOG,
		      on_connection) < 0) {
		if (!port)
			g_error("the forwarder can't listen");
		forwarder->retrying = true;
		uv_close((uv_handle_t *)&forwarder->listener, on_unlistened_closed);
		return;
	}
	uv_tcp_getsockname(&forwarder->listener, (struct sockaddr *)&addr, &len);
	forwarder->port = ntohs(addr.sin_port);
}

/* Starts forwarding to a port on loopback. Returns a forwarder that is never freed. */
forwarder_t *forwarder_create(uv_loop_t *loop, int target_port)
{
	forwarder_t *forwarder = g_new0(forwarder_t, 1);

	forwarder->loop = loop;
	forwarder->target_port = target_port;
	list_init(&forwarder->pairs);
	list_init(&forwarder->delayed);
	uv_timer_init(loop, &forwarder->retry);
	forwarder->retry.data = forwarder;
	uv_timer_init(loop, &forwarder->ticker);
	forwarder->ticker.data = forwarder;
	uv_timer_start(&forwarder->ticker, on_tick, TICK_MS, TICK_MS);
	start_listening(forwarder, 0);
	return forwarder;
}

/* Returns the port to connect to. */
int forwarder_port(const forwarder_t *forwarder)
{
	return forwarder->port;
}

/* Returns the number of open connections. */
unsigned int forwarder_open(const forwarder_t *forwarder)
{
	return forwarder->open;
}

/* Closes all open connections; later ones work. */
void forwarder_cut(forwarder_t *forwarder)
{
	LIST_FOR_EACH_SAFE (it, &forwarder->pairs)
		pair_close(LIST_ENTRY(it, pair_t, node));
}

/*
 * Makes all open connections silent for good: bytes are received and dropped, and the
 * end of a connection is not forwarded. Later connections work.
 */
void forwarder_silence(forwarder_t *forwarder)
{
	LIST_FOR_EACH (it, &forwarder->pairs)
		LIST_ENTRY(it, pair_t, node)->silent = true;
}

/*
 * Drops what the target sends on all open connections; what the client sends is still
 * forwarded. Later connections work.
 */
void forwarder_one_way(forwarder_t *forwarder)
{
	LIST_FOR_EACH (it, &forwarder->pairs)
		LIST_ENTRY(it, pair_t, node)->one_way = true;
}

/* Delays all bytes by MS; 0: no delay. */
void forwarder_delay(forwarder_t *forwarder, unsigned int ms)
{
	forwarder->delay_ms = ms;
}

/* Sets whether new connections are closed before any byte is forwarded. */
void forwarder_refuse(forwarder_t *forwarder, bool refuse)
{
	forwarder->refuse = refuse;
}

/* Closes each connection after that many bytes of the request; 0: never. */
void forwarder_cut_after(forwarder_t *forwarder, size_t request_bytes)
{
	forwarder->cut_after = request_bytes;
}

/* Sets whether a connection is closed at the first byte of the response. */
void forwarder_cut_answers(forwarder_t *forwarder, bool cut)
{
	forwarder->cut_answers = cut;
}

/* Returns the descriptor of the listener. */
static int listener_fd(const forwarder_t *forwarder)
{
	uv_os_fd_t fd = -1;

	uv_fileno((const uv_handle_t *)&forwarder->listener, &fd);
	return fd;
}

/* Sets whether attempts to connect get no answer. Open connections are not affected. */
void forwarder_hang(forwarder_t *forwarder, bool hang)
{
	struct sockaddr_in addr;

	if (hang == forwarder->hang)
		return;
	forwarder->hang = hang;
	listen(listener_fd(forwarder), hang ? 0 : BACKLOG);
	uv_ip4_addr("127.0.0.1", forwarder->port, &addr);
	for (int i = 0; i < FILLERS; i++) {
		if (!hang) {
			close(forwarder->fillers[i]);
			continue;
		}
		forwarder->fillers[i] =
			socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		/* The later ones stay in progress. */
		(void)!connect(forwarder->fillers[i], (struct sockaddr *)&addr,
			       sizeof(addr));
	}
	if (!hang && forwarder->waiting)
		on_connection((uv_stream_t *)&forwarder->listener, 0);
}

/* Listens again once the earlier socket is closed. */
static void on_listener_closed(uv_handle_t *handle)
{
	forwarder_t *forwarder = handle->data;

	if (!forwarder->closed)
		start_listening(forwarder, forwarder->port);
}

/*
 * Sets whether attempts to connect are reset, as at a port that nobody listens on.
 * Open connections are not affected.
 */
void forwarder_close(forwarder_t *forwarder, bool closed)
{
	bool closing = uv_is_closing((uv_handle_t *)&forwarder->listener);

	if (closed == forwarder->closed)
		return;
	forwarder->closed = closed;
	if (forwarder->retrying)
		return;
	if (closed) {
		uv_close((uv_handle_t *)&forwarder->listener, on_listener_closed);
		reserve_port(forwarder);
	} else if (closing) {
		start_listening(forwarder, forwarder->port);
	}
}
