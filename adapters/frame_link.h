/*
 * Frames between entries over TCP: a length of four bytes, big end first, and
 * the bytes. The receiver answers each frame with an empty one, so the sender
 * notices a connection that swallows bytes and opens a new one.
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
	uint32_t frame_max; /* bytes; a longer frame ends its connection */
	/* Returns -1 to have the connection closed. */
	int (*on_frame)(void *ctx, const char *data, size_t len);
	/*
	 * A connection that was opened here has failed, and frames on it may be
	 * lost; KEY is the peer's address:port. It may not send. May be NULL.
	 */
	void (*on_lost)(void *ctx, const char *key);
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
