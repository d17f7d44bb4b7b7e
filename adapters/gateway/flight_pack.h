/*
 * What a start has in flight as msgpack, in messages and in the checkpoint:
 * [start, booted, begun, told, window, account, count, account, count...], times in ms.
 */
#ifndef PISTACHIO_GATEWAY_FLIGHT_PACK_H
#define PISTACHIO_GATEWAY_FLIGHT_PACK_H

#include <msgpack.h>

#include "core/forward/usage_inflight.h"

void flight_pack(msgpack_packer *packer, const inflight_snapshot_t *flight);
inflight_snapshot_t *flight_read(const msgpack_object *object);

#endif
