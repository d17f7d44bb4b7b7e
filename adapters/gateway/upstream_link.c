/*
 * The pool reuses the connection that was released last, and closes idle connections
 * before the upstream does.
 */
#include "adapters/gateway/upstream_link.h"

#include "adapters/gateway/fleet_feed.h"
#include "adapters/gateway/upstream_reach.h"

/*
 * An upstream closes idle connections after a time that it announces in whole seconds,
 * or not at all if that is below one second. A request that meets the close is reset
 * and may have run, so a link is reused only well before.
 */
#define IDLE_FRACTION 0.6
#define IDLE_DEFAULT (250 * PD_MSEC)
#define IDLE_MAX (8 * PD_SEC)
/* How often idle links are checked; the check visits all upstreams. */
#define LINKS_CHECK_PERIOD (100 * PD_MSEC)
/* A request that may not be repeated only reuses a link that was idle for less. */
#define RECENT_USE_MAX (500 * PD_MSEC)

struct upstream_link {
	list_node_t node; /* in the upstream's idle links */
	http1_t *conn;
	const gateway_t *gateway;
	forward_upstream_t *upstream;
	/* to which it leads as far as is known: when it connected, or brought data later */
	unsigned int upstream_incarnation;
	const upstream_link_callbacks_t *callbacks; /* NULL: idle */
	void *ctx;
	pd_time_t connected_at; /* 0: not connected yet */
	pd_time_t received_at; /* when data last arrived; 0: none yet */
	pd_time_t held_until; /* when it was last not read; 0: never */
	bool held;
	pd_time_t idle_since;
	pd_time_t idle_until;
};

/* Frees a link and takes it off its upstream's count; its connection is closed. */
static void link_free(upstream_link_t *link)
{
	list_remove(&link->node);
	link->upstream->connections--;
	forward_upstream_unref(link->upstream);
	g_free(link);
}

/* Closes and frees a link in any state, without calling its callbacks. */
void upstream_link_close(upstream_link_t *link)
{
	http1_close(link->conn);
	link_free(link);
}

static void on_connected(void *ctx)
{
	upstream_link_t *link = ctx;

	link->connected_at = gateway_now();
	link->upstream_incarnation = link->upstream->incarnation;
	upstream_process_record_connected(&link->upstream->process,
					  link->connected_at);
	if (link->callbacks)
		link->callbacks->on_connected(link->ctx);
}

/* Records data of the upstream's process, and to which process the link leads by it. */
static void record_data(upstream_link_t *link)
{
	upstream_process_t *process = &link->upstream->process;
	pd_time_t polled_at = link->gateway->ticked_at;

	link->received_at = gateway_now();
	upstream_process_record_data(process, link->connected_at, polled_at);
	if (upstream_process_is_proven(process, polled_at))
		link->upstream_incarnation = link->upstream->incarnation;
}

static void on_head(void *ctx, const http1_head_t *head)
{
	upstream_link_t *link = ctx;

	record_data(link);
	if (link->callbacks)
		link->callbacks->on_head(link->ctx, head);
}

static void on_body(void *ctx, const char *data, size_t len)
{
	upstream_link_t *link = ctx;

	record_data(link);
	if (link->callbacks)
		link->callbacks->on_body(link->ctx, data, len);
}

static void on_message(void *ctx)
{
	upstream_link_t *link = ctx;

	if (link->callbacks)
		link->callbacks->on_message(link->ctx);
}

/* The connection ended, or received unexpected data; idle links are freed silently. */
static void on_end(void *ctx, http1_end_t end)
{
	upstream_link_t *link = ctx;
	const upstream_link_callbacks_t *callbacks = link->callbacks;
	void *callbacks_ctx = link->ctx;

	if (end == HTTP1_END_REFUSED)
		gateway_reach_record_refusal(link->gateway, link->upstream);
	link_free(link);
	if (callbacks)
		callbacks->on_end(callbacks_ctx, end);
}

/* Takes the link released last out of the pool; NULL if it can no longer be reused. */
static upstream_link_t *take_idle(forward_upstream_t *upstream, bool recently_used)
{
	pd_time_t now = gateway_now();
	list_node_t *last = upstream->idle_links.prev;
	upstream_link_t *link;

	if (last == &upstream->idle_links)
		return NULL;
	link = LIST_ENTRY(last, upstream_link_t, node);
	if (now >= link->idle_until ||
	    link->upstream_incarnation != upstream->incarnation ||
	    (recently_used && now - link->idle_since >= RECENT_USE_MAX))
		return NULL;
	list_remove(&link->node);
	return link;
}

/* Opens a connection; returns its link, or NULL if it can not be opened. */
static upstream_link_t *open_new(gateway_t *gateway, forward_upstream_t *upstream)
{
	static const http1_events_t events = { on_connected, on_head, on_body,
					       on_message, on_end };
	upstream_link_t *link = g_new0(upstream_link_t, 1);

	list_init(&link->node);
	link->gateway = gateway;
	link->upstream = forward_upstream_ref(upstream);
	link->upstream_incarnation = upstream->incarnation;
	upstream->connections++;
	link->conn = http1_create(gateway->loop, HTTP1_CLIENT, &events, link);
	if (http1_connect(link->conn, upstream->address, upstream->port) < 0) {
		upstream_link_close(link);
		return NULL;
	}
	return link;
}

/*
 * Returns a link for one request: an idle one, or a new one that is connected when
 * on_connected is called. RECENTLY_USED excludes idle links that the upstream may be
 * closing. Returns NULL if no connection can be opened.
 */
upstream_link_t *upstream_link_open(gateway_t *gateway,
				    forward_upstream_t *upstream,
				    bool recently_used,
				    const upstream_link_callbacks_t *callbacks,
				    void *ctx)
{
	upstream_link_t *link = take_idle(upstream, recently_used);

	if (!link)
		link = open_new(gateway, upstream);
	if (!link)
		return NULL;
	link->callbacks = callbacks;
	link->ctx = ctx;
	return link;
}

/* Returns whether the connection is established. */
bool upstream_link_is_connected(const upstream_link_t *link)
{
	return link->connected_at != 0;
}

/* Returns to which incarnation of the upstream the link leads, as far as is known. */
unsigned int upstream_link_incarnation(const upstream_link_t *link)
{
	return link->upstream_incarnation;
}

/*
 * Returns whether the link leads to a process that has ended, as the upstream was restarted
 * since. If its VM was disconnected, no TCP reset shows that.
 */
bool upstream_link_has_ended(const upstream_link_t *link, pd_time_t now)
{
	const forward_upstream_t *upstream = link->upstream;
	const upstream_connection_t connection = {
		.connected_at = link->connected_at,
		.read_since = MAX(link->held_until, link->gateway->stalled_at),
	};

	return link->upstream_incarnation != upstream->incarnation && !link->held &&
	       upstream_process_has_ended(&upstream->process, &connection, now);
}

/* Returns when the connection was established; 0: it is not yet. */
pd_time_t upstream_link_connected_at(const upstream_link_t *link)
{
	return link->connected_at;
}

/* Returns when data last arrived on the connection; 0: none yet. */
pd_time_t upstream_link_received_at(const upstream_link_t *link)
{
	return link->received_at;
}

/*
 * Sends a request and expects its response. BODY, which may be NULL, must not be changed
 * afterwards. TO_HEAD: the method is HEAD, so the response has no body.
 */
void upstream_link_send(upstream_link_t *link, const GString *head,
			GByteArray *body, bool to_head)
{
	http1_expect_response(link->conn, to_head);
	http1_write_request(link->conn, head, body);
}

/* Stops reading the response, or goes on. */
void upstream_link_hold(upstream_link_t *link, bool hold)
{
	http1_hold(link->conn, hold);
	if (link->held)
		link->held_until = gateway_now();
	link->held = hold;
}

/* Expects one more response, after one that belonged to another request. */
void upstream_link_expect_response(upstream_link_t *link)
{
	http1_expect_response(link->conn, false);
}

/*
 * Returns a link to the pool, or closes it: an upstream that leaves gets no more
 * requests, and one that responded before it had read the whole request would take the
 * rest for the next one. IDLE_TIMEOUT is the one that the upstream announced; 0: none.
 */
void upstream_link_release(upstream_link_t *link, pd_time_t idle_timeout)
{
	pd_time_t now = gateway_now();
	pd_time_t idle = IDLE_DEFAULT;

	if (http1_unsent_bytes(link->conn) ||
	    !forward_upstream_is_serving(link->upstream) ||
	    link->upstream_incarnation != link->upstream->incarnation) {
		upstream_link_close(link);
		return;
	}
	if (idle_timeout > 0)
		idle = MIN((pd_time_t)((double)idle_timeout * IDLE_FRACTION),
			   IDLE_MAX);
	upstream_link_hold(link, false);
	link->callbacks = NULL;
	link->ctx = NULL;
	link->idle_since = now;
	link->idle_until = now + idle;
	list_append(&link->upstream->idle_links, &link->node);
}

/*
 * Closes expired idle links, and those to upstreams that left or restarted, and ends doubts
 * about processes of upstreams.
 */
void upstream_links_run(gateway_t *gateway, pd_time_t now)
{
	if (now < gateway->links_check_at)
		return;
	gateway->links_check_at = now + LINKS_CHECK_PERIOD;
	LIST_FOR_EACH (it, forward_upstreams_list(gateway->upstreams)) {
		forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);
		bool leaving = !forward_upstream_is_serving(upstream);

		upstream_process_run(&upstream->process,
				     fleet_feed_is_store_reachable(gateway->feed),
				     now);
		LIST_FOR_EACH_SAFE (idle, &upstream->idle_links) {
			upstream_link_t *link =
				LIST_ENTRY(idle, upstream_link_t, node);

			if (leaving ||
			    link->upstream_incarnation != upstream->incarnation ||
			    now >= link->idle_until)
				upstream_link_close(link);
		}
	}
}
