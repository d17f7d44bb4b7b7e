/* Texts and lists as msgpack. */
#include "adapters/msgpack_write.h"

#include <string.h>

/* Packs a text, which may not be NULL. */
void msgpack_write_string(msgpack_packer *packer, const char *text)
{
	size_t len = strlen(text);

	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, text, len);
}

/* Begins a list without items; list_writer_end() frees what it holds. */
void list_writer_init(list_writer_t *writer)
{
	writer->count = 0;
	msgpack_sbuffer_init(&writer->buffer);
	msgpack_packer_init(&writer->packer, &writer->buffer,
			    msgpack_sbuffer_write);
}

/* Appends the list to OUT, which PACKER packs into, and frees it. */
void list_writer_end(list_writer_t *writer, msgpack_sbuffer *out,
		     msgpack_packer *packer)
{
	msgpack_pack_array(packer, writer->count);
	msgpack_sbuffer_write(out, writer->buffer.data, writer->buffer.size);
	msgpack_sbuffer_destroy(&writer->buffer);
}
