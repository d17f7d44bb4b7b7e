/*
 * Transport of peer messages over TCP. A frame is a big-endian length of four
 * bytes and a sealed msgpack message. The receiver acknowledges each frame with
 * an empty one, so that the sender detects a connection that loses data and
 * opens a new one.
 */
#ifndef PISTACHIO_PEER_LINK_H
#define PISTACHIO_PEER_LINK_H

#include <stdint.h>
#include <uv.h>

#include "adapters/peer_seal.h"
#include "core/error.h"
#include "ports/peer.h"

typedef struct peer_link peer_link_t;

typedef struct peer_link_config {
	const char *address;
	uint16_t port; /* 0: the kernel chooses */
	const peer_keys_t *keys; /* borrowed */
	/* MSG is borrowed for the call. */
	void (*on_msg)(void *ctx, const peer_msg_t *msg);
	void *ctx;
} peer_link_config_t;

peer_link_t *peer_link_create(uv_loop_t *loop, const peer_link_config_t *config,
			      pd_error_t *err);
void peer_link_destroy(peer_link_t *link);
uint16_t peer_link_port(const peer_link_t *link);
void peer_link_send(peer_link_t *link, const char *address, uint16_t port,
		    const peer_msg_t *msg);
uint64_t peer_link_bytes(const peer_link_t *link);

#endif
