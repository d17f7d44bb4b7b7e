/* Packing of what msgpack-c has no call for: texts, and lists of unknown length. */
#ifndef PISTACHIO_MSGPACK_WRITE_H
#define PISTACHIO_MSGPACK_WRITE_H

#include <msgpack.h>
#include <stdint.h>

/* Items of a list, packed before their number is known, which goes first. */
typedef struct list_writer {
	msgpack_sbuffer buffer;
	msgpack_packer packer; /* of the items */
	uint32_t count; /* which the caller raises with each item */
} list_writer_t;

void msgpack_write_string(msgpack_packer *packer, const char *text);
void list_writer_init(list_writer_t *writer);
void list_writer_end(list_writer_t *writer, msgpack_sbuffer *out,
		     msgpack_packer *packer);

#endif
