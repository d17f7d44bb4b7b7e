/* Encodes and decodes peer messages as msgpack. */
#ifndef PISTACHIO_PEER_CODEC_H
#define PISTACHIO_PEER_CODEC_H

#include <glib.h>

#include "core/error.h"
#include "ports/peer.h"

#define PEER_MSG_BYTES_MAX (2 * 1024 * 1024) /* a bundle is below 1 MB */

GBytes *peer_msg_encode(const peer_msg_t *msg);
peer_msg_t *peer_msg_decode(const char *data, size_t len, pd_error_t *err);

#endif
