/*
 * msgpack-c allocates space for as many items as an array's header declares
 * before it has read any of them, so five bytes from a faulty peer can request
 * 128 GB, and the process is killed for lack of memory. Checking the headers
 * first, and requiring at least one remaining byte for each declared item,
 * bounds what the library allocates by the size of the message.
 */
#include "adapters/msgpack_check.h"

#include <stdint.h>

/* What follows the first byte of a value. */
typedef struct header {
	uint64_t payload_bytes; /* content without nested values */
	uint64_t nested_values; /* in an array or map */
	unsigned int length_width; /* bytes of the length field; 0: none */
	unsigned int type_bytes; /* of an extension, after its length */
	bool is_container; /* the length counts items, not bytes */
	unsigned int values_per_item; /* 2 in a map: key and value */
} header_t;

/*
 * Returns the header of a value whose first byte does not include its length.
 */
static header_t header_of_code(uint8_t code)
{
	switch (code) {
	case 0xc4:
	case 0xd9:
		return (header_t){ .length_width = 1 };
	case 0xc5:
	case 0xda:
		return (header_t){ .length_width = 2 };
	case 0xc6:
	case 0xdb:
		return (header_t){ .length_width = 4 };
	case 0xc7:
		return (header_t){ .length_width = 1, .type_bytes = 1 };
	case 0xc8:
		return (header_t){ .length_width = 2, .type_bytes = 1 };
	case 0xc9:
		return (header_t){ .length_width = 4, .type_bytes = 1 };
	case 0xcc:
	case 0xd0:
		return (header_t){ .payload_bytes = 1 };
	case 0xcd:
	case 0xd1:
		return (header_t){ .payload_bytes = 2 };
	case 0xca:
	case 0xce:
	case 0xd2:
		return (header_t){ .payload_bytes = 4 };
	case 0xcb:
	case 0xcf:
	case 0xd3:
		return (header_t){ .payload_bytes = 8 };
	case 0xdc:
		return (header_t){ .length_width = 2,
				   .is_container = true,
				   .values_per_item = 1 };
	case 0xdd:
		return (header_t){ .length_width = 4,
				   .is_container = true,
				   .values_per_item = 1 };
	case 0xde:
		return (header_t){ .length_width = 2,
				   .is_container = true,
				   .values_per_item = 2 };
	case 0xdf:
		return (header_t){ .length_width = 4,
				   .is_container = true,
				   .values_per_item = 2 };
	default:
		break;
	}
	if (code >= 0xd4 && code <= 0xd8)
		return (header_t){ .payload_bytes = 1 + (1ULL << (code - 0xd4)) };
	return (header_t){ 0 };
}

/* Returns the header of a value with this first byte. */
static header_t header_of(uint8_t byte)
{
	if (byte >= 0x80 && byte <= 0x8f)
		return (header_t){ .nested_values = 2ULL * (byte & 0x0f) };
	if (byte >= 0x90 && byte <= 0x9f)
		return (header_t){ .nested_values = byte & 0x0f };
	if (byte >= 0xa0 && byte <= 0xbf)
		return (header_t){ .payload_bytes = byte & 0x1f };
	return header_of_code(byte);
}

/* Reads a big-endian integer of WIDTH bytes. */
static uint64_t read_length(const uint8_t *bytes, unsigned int width)
{
	uint64_t value = 0;

	for (unsigned int i = 0; i < width; i++)
		value = value << 8 | bytes[i];
	return value;
}

/*
 * Returns whether DATA begins with one complete value in which no header
 * declares more bytes or items than the bytes that follow it can hold.
 */
bool msgpack_lengths_fit(const char *data, size_t len)
{
	const uint8_t *bytes = (const uint8_t *)data;
	uint64_t values_left = 1; /* still to be read */
	size_t offset = 0;

	while (values_left > 0) {
		header_t header;

		if (offset >= len)
			return false;
		header = header_of(bytes[offset++]);
		values_left--;
		if (header.length_width > len - offset)
			return false;
		if (header.length_width && header.is_container)
			header.nested_values =
				header.values_per_item *
				read_length(bytes + offset, header.length_width);
		else if (header.length_width)
			header.payload_bytes =
				header.type_bytes +
				read_length(bytes + offset, header.length_width);
		offset += header.length_width;
		if (header.payload_bytes > len - offset ||
		    header.nested_values > len - offset)
			return false;
		offset += (size_t)header.payload_bytes;
		values_left += header.nested_values;
		if (values_left > len - offset)
			return false;
	}
	return true;
}
