/* Forwards TCP connections until told to fail. */
#include "tests/harness/forwarder.h"

#include <glib.h>

#include "core/list.h"

#define BACKLOG 128
#define PACE_MS 5 /* how exactly delays are kept */

typedef struct side {
	uv_tcp_t tcp;
	struct pair *pair;
	struct side *other;
} side_t;

/* One connection and its continuation to the target. */
typedef struct pair {
	list_node_t node;
	forwarder_t *forwarder;
	side_t caller;
	side_t target;
	uv_connect_t connect;
	size_t passed; /* bytes from caller to target */
	bool silent;
	bool one_way; /* answers are swallowed */
	bool closing;
	unsigned int closed; /* sides */
} pair_t;

typedef struct chunk {
	uv_write_t req;
	char *data;
} chunk_t;

/* Bytes that are held back for a while. */
typedef struct held {
	list_node_t node;
	side_t *to;
	char *data;
	size_t len;
	uint64_t due; /* ms of the loop's clock */
} held_t;

struct forwarder {
	uv_loop_t *loop;
	uv_tcp_t listener;
	int port;
	int target_port;
	bool refuse;
	bool cut_answers;
	size_t cut_after; /* 0: never */
	unsigned int open;
	unsigned int delay_ms;
	uv_timer_t pacer;
	list_node_t held; /* of held_t, the oldest first */
	list_node_t pairs;
};

static void side_closed(uv_handle_t *handle)
{
	pair_t *pair = ((side_t *)handle)->pair;

	if (++pair->closed == 2)
		g_free(pair);
}

static void held_free(held_t *held)
{
	list_remove(&held->node);
	g_free(held->data);
	g_free(held);
}

static void pair_close(pair_t *pair)
{
	if (pair->closing)
		return;
	pair->closing = true;
	LIST_FOR_EACH_SAFE (it, &pair->forwarder->held) {
		held_t *held = LIST_ENTRY(it, held_t, node);

		if (held->to->pair == pair)
			held_free(held);
	}
	pair->forwarder->open--;
	list_remove(&pair->node);
	uv_close((uv_handle_t *)&pair->caller.tcp, side_closed);
	uv_close((uv_handle_t *)&pair->target.tcp, side_closed);
}

static void chunk_written(uv_write_t *req, int status)
{
	chunk_t *chunk = (chunk_t *)req;

	if (status < 0 && status != UV_ECANCELED)
		pair_close(((side_t *)req->handle)->pair);
	g_free(chunk->data);
	g_free(chunk);
}

static void side_write(side_t *side, const char *data, size_t len)
{
	chunk_t *chunk = g_new0(chunk_t, 1);
	uv_buf_t buf;

	chunk->data = g_memdup2(data, len);
	buf = uv_buf_init(chunk->data, (unsigned int)len);
	uv_write(&chunk->req, (uv_stream_t *)&side->tcp, &buf, 1, chunk_written);
}

static void hold(side_t *to, const char *data, size_t len)
{
	forwarder_t *forwarder = to->pair->forwarder;
	held_t *held = g_new0(held_t, 1);

	held->to = to;
	held->data = g_memdup2(data, len);
	held->len = len;
	held->due = uv_now(forwarder->loop) + forwarder->delay_ms;
	list_append(&forwarder->held, &held->node);
}

/* Lets go what was held for long enough, in order. */
static void on_pace(uv_timer_t *timer)
{
	forwarder_t *forwarder = timer->data;

	LIST_FOR_EACH_SAFE (it, &forwarder->held) {
		held_t *held = LIST_ENTRY(it, held_t, node);

		if (held->due > uv_now(forwarder->loop))
			return;
		side_write(held->to, held->data, held->len);
		held_free(held);
	}
}

static void side_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	*buf = uv_buf_init(g_malloc(size), (unsigned int)size);
}

/* Passes bytes on, or fails as told. */
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
	    pair->passed + len > forwarder->cut_after) {
		len = forwarder->cut_after - pair->passed;
		if (len)
			side_write(side->other, data, len);
		pair->passed += len;
		pair_close(pair);
		return;
	}
	if (!request && pair->one_way)
		return;
	if (request)
		pair->passed += len;
	/* What is held goes first, also once there is no delay any more. */
	if (forwarder->delay_ms || !list_empty(&forwarder->held))
		hold(side->other, data, len);
	else
		side_write(side->other, data, len);
}

static void side_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	side_t *side = (side_t *)stream;

	if (len > 0 && !side->pair->silent)
		side_forward(side, buf->base, (size_t)len);
	g_free(buf->base);
	if (len < 0 && !side->pair->silent)
		pair_close(side->pair);
}

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

static void on_connection(uv_stream_t *listener, int status)
{
	forwarder_t *forwarder = listener->data;
	pair_t *pair;
	struct sockaddr_in addr;

	if (status < 0)
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

/* Starts forwarding to a port on loopback; it lives as long as the loop. */
forwarder_t *forwarder_create(uv_loop_t *loop, int target_port)
{
	forwarder_t *forwarder = g_new0(forwarder_t, 1);
	struct sockaddr_in addr;
	int len = sizeof(addr);

	forwarder->loop = loop;
	forwarder->target_port = target_port;
	list_init(&forwarder->pairs);
	list_init(&forwarder->held);
	uv_timer_init(loop, &forwarder->pacer);
	forwarder->pacer.data = forwarder;
	uv_timer_start(&forwarder->pacer, on_pace, PACE_MS, PACE_MS);
	uv_tcp_init(loop, &forwarder->listener);
	forwarder->listener.data = forwarder;
	uv_ip4_addr("127.0.0.1", 0, &addr);
	uv_tcp_bind(&forwarder->listener, (const struct sockaddr *)&addr, 0);
	if (uv_listen((uv_stream_t *)&forwarder->listener, BACKLOG,
		      on_connection) < 0)
		g_error("the forwarder can't listen");
	uv_tcp_getsockname(&forwarder->listener, (struct sockaddr *)&addr, &len);
	forwarder->port = ntohs(addr.sin_port);
	return forwarder;
}

/* Returns the port to connect to. */
int forwarder_port(const forwarder_t *forwarder)
{
	return forwarder->port;
}

/* Returns how many connections are open. */
unsigned int forwarder_open(const forwarder_t *forwarder)
{
	return forwarder->open;
}

/* Breaks every open connection; new ones work. */
void forwarder_cut(forwarder_t *forwarder)
{
	LIST_FOR_EACH_SAFE (it, &forwarder->pairs)
		pair_close(LIST_ENTRY(it, pair_t, node));
}

/*
 * Makes every open connection silent for good: bytes are taken and go nowhere,
 * and no end is told of the other's. New ones work.
 */
void forwarder_silence(forwarder_t *forwarder)
{
	LIST_FOR_EACH (it, &forwarder->pairs)
		LIST_ENTRY(it, pair_t, node)->silent = true;
}

/*
 * Has every open connection pass on what its caller sends and swallow what comes
 * back. New ones work.
 */
void forwarder_one_way(forwarder_t *forwarder)
{
	LIST_FOR_EACH (it, &forwarder->pairs)
		LIST_ENTRY(it, pair_t, node)->one_way = true;
}

/* Holds all bytes back for so long; 0: no longer. */
void forwarder_delay(forwarder_t *forwarder, unsigned int ms)
{
	forwarder->delay_ms = ms;
}

/* Closes each new connection before a byte is passed, or stops doing so. */
void forwarder_refuse(forwarder_t *forwarder, bool refuse)
{
	forwarder->refuse = refuse;
}

/* Breaks each connection after that many bytes of the request; 0: never. */
void forwarder_cut_after(forwarder_t *forwarder, size_t request_bytes)
{
	forwarder->cut_after = request_bytes;
}

/* Breaks each connection when the answer's first byte comes back. */
void forwarder_cut_answers(forwarder_t *forwarder, bool cut)
{
	forwarder->cut_answers = cut;
}
