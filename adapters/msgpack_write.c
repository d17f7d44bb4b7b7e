/* Packs C strings and lists of unknown length as msgpack. */
#include "adapters/msgpack_write.h"

#include <string.h>

/* Packs a string; TEXT must not be NULL. */
void msgpack_write_string(msgpack_packer *packer, const char *text)
{
	size_t len = strlen(text);

	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, text, len);
}

/* Begins an empty list; list_writer_end() frees its buffer. */
void list_writer_init(list_writer_t *writer)
{
	writer->count = 0;
	msgpack_sbuffer_init(&writer->buffer);
	msgpack_packer_init(&writer->packer, &writer->buffer,
			    msgpack_sbuffer_write);
}

/* Packs the list with PACKER, whose buffer is OUT, and frees its own buffer. */
void list_writer_end(list_writer_t *writer, msgpack_sbuffer *out,
		     msgpack_packer *packer)
{
	msgpack_pack_array(packer, writer->count);
	msgpack_sbuffer_write(out, writer->buffer.data, writer->buffer.size);
	msgpack_sbuffer_destroy(&writer->buffer);
}
