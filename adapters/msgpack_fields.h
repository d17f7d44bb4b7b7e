/* Typed reading of unpacked msgpack; what has another type reads as nothing. */
#ifndef PISTACHIO_MSGPACK_FIELDS_H
#define PISTACHIO_MSGPACK_FIELDS_H

#include <msgpack.h>
#include <stdint.h>

const msgpack_object *msgpack_field_items(const msgpack_object *object,
					  uint32_t least, uint32_t *count);
uint64_t msgpack_field_number(const msgpack_object *object);
double msgpack_field_decimal(const msgpack_object *object);
char *msgpack_field_text(const msgpack_object *object);

#endif
