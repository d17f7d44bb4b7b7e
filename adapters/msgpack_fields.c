/* Typed access to unpacked msgpack objects from untrusted senders. */
#include "adapters/msgpack_fields.h"

#include <glib.h>

/*
 * Returns a copy of a string, owned by the caller; NULL if OBJECT is no string.
 */
char *msgpack_field_string(const msgpack_object *object)
{
	if (object->type != MSGPACK_OBJECT_STR)
		return NULL;
	return g_strndup(object->via.str.ptr, object->via.str.size);
}

/* Returns a non-negative integer; 0 if OBJECT is anything else. */
uint64_t msgpack_field_uint64(const msgpack_object *object)
{
	return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER ? object->via.u64
							       : 0;
}

/* Returns a float or a non-negative integer; 0 if OBJECT is anything else. */
double msgpack_field_double(const msgpack_object *object)
{
	if (object->type == MSGPACK_OBJECT_FLOAT32 ||
	    object->type == MSGPACK_OBJECT_FLOAT64)
		return object->via.f64;
	return (double)msgpack_field_uint64(object);
}

/*
 * Returns the items of an array and, unless COUNT is NULL, sets COUNT to their
 * number. Returns NULL if OBJECT is no array or has fewer than MIN_COUNT items.
 * The items are borrowed from OBJECT.
 */
const msgpack_object *msgpack_field_array(const msgpack_object *object,
					  uint32_t min_count, uint32_t *count)
{
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < min_count)
		return NULL;
	if (count)
		*count = object->via.array.size;
	return object->via.array.ptr;
}
