/*
 * msgpack-c allocates room for as many items as an array's head claims before
 * it has seen one of them, so five bytes from a faulty peer can ask for 128 GB:
 * the process would be killed for lack of memory. Walking the heads first, and
 * asking that every claimed item have at least one byte left to it, bounds what
 * the library allocates by the size of the message.
 */
#include "adapters/msgpack_check.h"

#include <stdint.h>

/* What follows a head byte. */
typedef struct header {
	uint64_t payload_bytes; /* bytes of content that hold no further value */
	uint64_t nested_values; /* values inside */
	unsigned int length_width; /* bytes of the length that follows, if any */
	unsigned int type_bytes; /* bytes after that length, before the content */
	bool is_container; /* the length counts values, not bytes */
	unsigned int values_per_item; /* values for each counted item */
} header_t;

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

static uint64_t read_length(const uint8_t *bytes, unsigned int width)
{
	uint64_t value = 0;

	for (unsigned int i = 0; i < width; i++)
		value = value << 8 | bytes[i];
	return value;
}

/* Says whether no head in DATA claims more than DATA has room for. */
bool msgpack_lengths_fit(const char *data, size_t len)
{
	const uint8_t *bytes = (const uint8_t *)data;
	uint64_t values_left = 1; /* still to come */
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
