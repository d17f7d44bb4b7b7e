/*
 * The seal of frames between entries: a MAC of the message with a key that only
 * the operators' VMs have. Without it, any host that can reach the peers' port
 * could announce that VMs are leaving or impersonate members.
 */
#ifndef PISTACHIO_PEER_SEAL_H
#define PISTACHIO_PEER_SEAL_H

#include <glib.h>

#include "core/error.h"

#define PEER_SEAL_BYTES 32

typedef struct peer_keys peer_keys_t;

peer_keys_t *peer_keys_read(const char *path, pd_error_t *err);
void peer_keys_destroy(peer_keys_t *keys);
GBytes *peer_seal(const peer_keys_t *keys, GBytes *message);
int peer_unseal(const peer_keys_t *keys, const char *data, size_t len,
		pd_error_t *err);

#endif
