/* Sends and receives encoded and sealed peer messages in frames. */
#include "adapters/peer_link.h"

#include <glib.h>

#include "adapters/frame_link.h"
#include "adapters/log_glib.h"
#include "adapters/peer_codec.h"

#define LOG_COMPONENT "peer-link"

struct peer_link {
	peer_link_config_t config;
	frame_link_t *frames;
};

/*
 * Delivers the message of a frame. Returns -1, which closes the connection, if
 * its seal or encoding is invalid.
 */
static int link_on_frame(void *ctx, const char *data, size_t len)
{
	peer_link_t *link = ctx;
	peer_msg_t *msg = NULL;
	pd_error_t err;

	if (peer_unseal(link->config.keys, data, len, &err) == 0)
		msg = peer_msg_decode(data + PEER_SEAL_BYTES,
				      len - PEER_SEAL_BYTES, &err);
	if (!msg) {
		log_error(LOG_COMPONENT, "dropped an invalid message", &err);
		return -1;
	}
	link->config.on_msg(link->config.ctx, msg);
	peer_msg_destroy(msg);
	return 0;
}

/*
 * Returns a link that listens for peers, or NULL with ERR set if it can't
 * listen. The caller destroys it.
 */
peer_link_t *peer_link_create(uv_loop_t *loop, const peer_link_config_t *config,
			      pd_error_t *err)
{
	peer_link_t *link = g_new0(peer_link_t, 1);
	const frame_link_config_t frames = {
		.address = config->address,
		.port = config->port,
		.frame_max = PEER_MSG_BYTES_MAX,
		.on_frame = link_on_frame,
		.ctx = link,
	};

	link->config = *config;
	link->frames = frame_link_create(loop, &frames, err);
	if (!link->frames)
		goto error;
	return link;
error:
	g_free(link);
	return NULL;
}

/*
 * Closes all connections; NULL is allowed. The memory is freed once the loop
 * has run the close callbacks, or at the exit of the process.
 */
void peer_link_destroy(peer_link_t *link)
{
	if (link)
		frame_link_destroy(link->frames);
}

/* Returns the TCP port that peers connect to. */
uint16_t peer_link_port(const peer_link_t *link)
{
	return frame_link_port(link->frames);
}

/* Returns the total number of bytes sent and received. */
uint64_t peer_link_bytes(const peer_link_t *link)
{
	return frame_link_bytes(link->frames);
}

/*
 * Sends a message to a peer, connecting to it if necessary. Delivery is not
 * guaranteed; the protocol above resends what matters.
 */
void peer_link_send(peer_link_t *link, const char *address, uint16_t port,
		    const peer_msg_t *msg)
{
	GBytes *body = peer_msg_encode(msg);
	GBytes *sealed = peer_seal(link->config.keys, body);

	frame_link_send(link->frames, address, port, sealed);
	g_bytes_unref(sealed);
	g_bytes_unref(body);
}
