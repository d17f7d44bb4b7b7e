/* Kept connections are taken newest first, and let go before the peer does. */
#include "adapters/gateway/upstream_link.h"

/*
 * An upstream closes idle connections after a time that it states in whole
 * seconds, or not at all if that is under one. A request that crosses the close
 * is reset and may have run, so a link is used only well before.
 */
#define IDLE_PART 0.6
#define IDLE_UNSTATED (250 * PD_MSEC)
#define IDLE_MAX (8 * PD_SEC)
/* Idle links are looked at this often: a walk over all upstreams. */
#define LINKS_PERIOD (100 * PD_MSEC)
/* For requests that may not be repeated, a link must have been used lately. */
#define YOUNG_MAX (500 * PD_MSEC)

struct upstream_link {
	list_node_t node; /* in the upstream's idle links */
	http1_t *conn;
	forward_upstream_t *upstream;
	unsigned int start; /* of the upstream, to which it was opened */
	const upstream_link_user_t *user; /* NULL: idle */
	void *ctx;
	bool up;
	pd_time_t idle_since;
	pd_time_t idle_until;
};

static void link_free(upstream_link_t *link)
{
	list_remove(&link->node);
	link->upstream->connections--;
	forward_upstream_unref(link->upstream);
	g_free(link);
}

/* Closes a link, whatever it is doing, without telling its user. */
void upstream_link_close(upstream_link_t *link)
{
	http1_close(link->conn);
	link_free(link);
}

static void on_connected(void *ctx)
{
	upstream_link_t *link = ctx;

	link->up = true;
	if (link->user)
		link->user->on_connected(link->ctx);
}

static void on_head(void *ctx, const http1_head_t *head)
{
	upstream_link_t *link = ctx;

	if (link->user)
		link->user->on_head(link->ctx, head);
}

static void on_body(void *ctx, const char *data, size_t len)
{
	upstream_link_t *link = ctx;

	if (link->user)
		link->user->on_body(link->ctx, data, len);
}

static void on_message(void *ctx)
{
	upstream_link_t *link = ctx;

	if (link->user)
		link->user->on_message(link->ctx);
}

/* An idle link that ends, or says something that nobody asked, is just gone. */
static void on_end(void *ctx, http1_end_t end)
{
	upstream_link_t *link = ctx;
	const upstream_link_user_t *user = link->user;
	void *user_ctx = link->ctx;

	link_free(link);
	if (user)
		user->on_end(user_ctx, end);
}

static upstream_link_t *take_idle(forward_upstream_t *upstream, bool young)
{
	pd_time_t now = gateway_now();
	list_node_t *last = upstream->idle_links.prev;
	upstream_link_t *link;

	if (last == &upstream->idle_links)
		return NULL;
	link = LIST_ENTRY(last, upstream_link_t, node);
	if (now >= link->idle_until || link->start != upstream->incarnation ||
	    (young && now - link->idle_since >= YOUNG_MAX))
		return NULL;
	list_remove(&link->node);
	return link;
}

static upstream_link_t *open_new(gateway_t *gateway, forward_upstream_t *upstream)
{
	static const http1_events_t events = { on_connected, on_head, on_body,
					       on_message, on_end };
	upstream_link_t *link = g_new0(upstream_link_t, 1);

	list_init(&link->node);
	link->upstream = forward_upstream_ref(upstream);
	link->start = upstream->incarnation;
	upstream->connections++;
	link->conn = http1_create(gateway->loop, HTTP1_CLIENT, &events, link);
	if (http1_connect(link->conn, upstream->address, upstream->port) < 0) {
		upstream_link_close(link);
		return NULL;
	}
	return link;
}

/*
 * Returns a link for one request: a kept one, or one that on_connected will say
 * is up. YOUNG asks for one that can hardly be closed by now. NULL if none can
 * be opened.
 */
upstream_link_t *upstream_link_open(gateway_t *gateway,
				    forward_upstream_t *upstream, bool young,
				    const upstream_link_user_t *user, void *ctx)
{
	upstream_link_t *link = take_idle(upstream, young);

	if (!link)
		link = open_new(gateway, upstream);
	if (!link)
		return NULL;
	link->user = user;
	link->ctx = ctx;
	return link;
}

/* Says whether the link is connected. */
bool upstream_link_is_up(const upstream_link_t *link)
{
	return link->up;
}

/* Sends a request, whose answer is then awaited. */
void upstream_link_send(upstream_link_t *link, const GString *head,
			const GByteArray *body, bool to_head)
{
	http1_expect_message(link->conn, to_head);
	if (!body || !body->len) {
		http1_write(link->conn, head->str, head->len);
		return;
	}
	GString *all = g_string_sized_new(head->len + body->len);

	g_string_append_len(all, head->str, (gssize)head->len);
	g_string_append_len(all, (const char *)body->data, body->len);
	http1_write(link->conn, all->str, all->len);
	g_string_free(all, TRUE);
}

/* Awaits one more answer, after one that was not the request's. */
void upstream_link_await(upstream_link_t *link)
{
	http1_expect_message(link->conn, false);
}

/*
 * Keeps a link for the next request, or closes it: an upstream that leaves gets
 * no more, and one that answered before it had read the request would take the
 * rest of it for the next.
 */
void upstream_link_keep(upstream_link_t *link, pd_time_t idle_timeout)
{
	pd_time_t now = gateway_now();
	pd_time_t idle = IDLE_UNSTATED;

	if (http1_unsent(link->conn) ||
	    !forward_upstream_is_serving(link->upstream) ||
	    link->start != link->upstream->incarnation) {
		upstream_link_close(link);
		return;
	}
	if (idle_timeout > 0)
		idle = MIN((pd_time_t)((double)idle_timeout * IDLE_PART), IDLE_MAX);
	link->user = NULL;
	link->ctx = NULL;
	link->idle_since = now;
	link->idle_until = now + idle;
	list_append(&link->upstream->idle_links, &link->node);
}

/* Closes links that were idle for long, and those of upstreams that left. */
void upstream_links_run(gateway_t *gateway, pd_time_t now)
{
	if (now < gateway->links_at)
		return;
	gateway->links_at = now + LINKS_PERIOD;
	LIST_FOR_EACH (it, forward_upstreams_list(gateway->upstreams)) {
		forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);
		bool leaving = !forward_upstream_is_serving(upstream);

		LIST_FOR_EACH_SAFE (idle, &upstream->idle_links) {
			upstream_link_t *link =
				LIST_ENTRY(idle, upstream_link_t, node);

			if (leaving || link->start != upstream->incarnation ||
			    now >= link->idle_until)
				upstream_link_close(link);
		}
	}
}
