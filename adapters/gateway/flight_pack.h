/*
 * Encoding of in-flight snapshots as msgpack, in messages and in the
 * checkpoint: [incarnation, boot time, start, time taken, window, account,
 * count, account, count...], times in ms.
 */
#ifndef PISTACHIO_GATEWAY_FLIGHT_PACK_H
#define PISTACHIO_GATEWAY_FLIGHT_PACK_H

#include <msgpack.h>

#include "core/forward/usage_inflight.h"

void flight_pack(msgpack_packer *packer, const inflight_snapshot_t *snapshot);
inflight_snapshot_t *flight_unpack(const msgpack_object *object);

#endif
