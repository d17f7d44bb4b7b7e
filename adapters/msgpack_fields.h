/*
 * Typed access to unpacked msgpack objects; a mismatched type gives NULL or 0.
 */
#ifndef PISTACHIO_MSGPACK_FIELDS_H
#define PISTACHIO_MSGPACK_FIELDS_H

#include <msgpack.h>
#include <stdint.h>

const msgpack_object *msgpack_field_array(const msgpack_object *object,
					  uint32_t min_count, uint32_t *count);
uint64_t msgpack_field_uint64(const msgpack_object *object);
double msgpack_field_double(const msgpack_object *object);
char *msgpack_field_string(const msgpack_object *object);

#endif
