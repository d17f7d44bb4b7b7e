/* A pool of connections to upstreams: opened for a request and reused for later ones. */
#ifndef PISTACHIO_UPSTREAM_LINK_H
#define PISTACHIO_UPSTREAM_LINK_H

#include "adapters/gateway/gateway_state.h"

typedef struct upstream_link upstream_link_t;

/* Events of a link that is in use; it is freed before on_end is called. */
typedef struct upstream_link_callbacks {
	void (*on_connected)(void *ctx);
	void (*on_head)(void *ctx, const http1_head_t *head);
	void (*on_body)(void *ctx, const char *data, size_t len);
	void (*on_message)(void *ctx);
	void (*on_end)(void *ctx, http1_end_t end);
} upstream_link_callbacks_t;

upstream_link_t *upstream_link_open(gateway_t *gateway,
				    forward_upstream_t *upstream,
				    bool recently_used,
				    const upstream_link_callbacks_t *callbacks,
				    void *ctx);
bool upstream_link_is_connected(const upstream_link_t *link);
unsigned int upstream_link_incarnation(const upstream_link_t *link);
bool upstream_link_has_ended(const upstream_link_t *link, pd_time_t now);
pd_time_t upstream_link_connected_at(const upstream_link_t *link);
pd_time_t upstream_link_received_at(const upstream_link_t *link);
void upstream_link_send(upstream_link_t *link, const GString *head,
			GByteArray *body, bool to_head);
void upstream_link_hold(upstream_link_t *link, bool hold);
void upstream_link_expect_response(upstream_link_t *link);
void upstream_link_release(upstream_link_t *link, pd_time_t idle_timeout);
void upstream_link_close(upstream_link_t *link);
void upstream_links_run(gateway_t *gateway, pd_time_t now);

#endif
