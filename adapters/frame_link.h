/*
 * Frames between entries over TCP: a big-endian length of four bytes, and the
 * payload. The receiver acknowledges each frame with an empty one, so that the
 * sender detects a dead connection and opens a new one.
 */
#ifndef PISTACHIO_FRAME_LINK_H
#define PISTACHIO_FRAME_LINK_H

#include <glib.h>
#include <stdint.h>
#include <uv.h>

#include "core/error.h"

typedef struct frame_link frame_link_t;

typedef struct frame_link_config {
	const char *address;
	uint16_t port; /* 0: the kernel chooses */
	uint32_t frame_max; /* bytes; a longer frame closes its connection */
	/* Returns -1 if the connection is to be closed. */
	int (*on_frame)(void *ctx, const char *data, size_t len);
	/*
	 * Called when an outgoing connection has failed, so that frames may be lost;
	 * KEY is the peer's address:port. Must not send frames. May be NULL.
	 */
	void (*on_lost)(void *ctx, const char *key);
	/* The same, called before it, if no connection could be established. */
	void (*on_unreachable)(void *ctx, const char *key);
	void *ctx;
} frame_link_config_t;

frame_link_t *frame_link_create(uv_loop_t *loop, const frame_link_config_t *config,
				pd_error_t *err);
void frame_link_destroy(frame_link_t *link);
uint16_t frame_link_port(const frame_link_t *link);
void frame_link_send(frame_link_t *link, const char *address, uint16_t port,
		     GBytes *body);
uint64_t frame_link_bytes(const frame_link_t *link);

#endif
