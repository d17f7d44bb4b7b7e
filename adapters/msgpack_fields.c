/* Fields of unpacked msgpack, whatever the sender put there. */
#include "adapters/msgpack_fields.h"

#include <glib.h>

/* Returns a copy of a text, which the caller frees; NULL: it is none. */
char *msgpack_field_string(const msgpack_object *object)
{
	if (object->type != MSGPACK_OBJECT_STR)
		return NULL;
	return g_strndup(object->via.str.ptr, object->via.str.size);
}

/* Returns a number, 0 if it is none. */
uint64_t msgpack_field_uint64(const msgpack_object *object)
{
	return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER ? object->via.u64
							       : 0;
}

/* Returns a decimal or whole number, 0 if it is none. */
double msgpack_field_double(const msgpack_object *object)
{
	if (object->type == MSGPACK_OBJECT_FLOAT32 ||
	    object->type == MSGPACK_OBJECT_FLOAT64)
		return object->via.f64;
	return (double)msgpack_field_uint64(object);
}

/* Returns the items of an array of at least MIN_COUNT, or NULL. */
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
