/* Packing of C strings, and of arrays whose length isn't known in advance. */
#ifndef PISTACHIO_MSGPACK_WRITE_H
#define PISTACHIO_MSGPACK_WRITE_H

#include <msgpack.h>
#include <stdint.h>

/*
 * Buffers the packed items of an array, since msgpack has their number precede
 * them.
 */
typedef struct list_writer {
	msgpack_sbuffer buffer;
	msgpack_packer packer; /* packs items into BUFFER */
	uint32_t count; /* of items; the caller increments it for each */
} list_writer_t;

void msgpack_write_string(msgpack_packer *packer, const char *text);
void list_writer_init(list_writer_t *writer);
void list_writer_end(list_writer_t *writer, msgpack_sbuffer *out,
		     msgpack_packer *packer);

#endif
