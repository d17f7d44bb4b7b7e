/* Tests the packing of strings and of lists of unknown length. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "adapters/msgpack_fields.h"
#include "adapters/msgpack_write.h"

static void test_list_is_packed_after_its_length(void **state)
{
	static const char *const texts[] = { "", "mill", "gin \"\\" };
	list_writer_t writer;
	msgpack_sbuffer out;
	msgpack_packer packer;
	msgpack_unpacked unpacked;
	const msgpack_object *items;
	uint32_t count = 0;
	size_t offset = 0;

	(void)state;
	msgpack_sbuffer_init(&out);
	msgpack_packer_init(&packer, &out, msgpack_sbuffer_write);
	list_writer_init(&writer);
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		writer.count++;
		msgpack_write_string(&writer.packer, texts[i]);
	}
	list_writer_end(&writer, &out, &packer);
	msgpack_unpacked_init(&unpacked);
	assert_int_equal(msgpack_unpack_next(&unpacked, out.data, out.size, &offset),
			 MSGPACK_UNPACK_SUCCESS);
	assert_int_equal(offset, out.size);
	items = msgpack_field_array(&unpacked.data, 0, &count);
	assert_int_equal(count, G_N_ELEMENTS(texts));
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		assert_int_equal(items[i].type, MSGPACK_OBJECT_STR);
		assert_int_equal(items[i].via.str.size, strlen(texts[i]));
		if (*texts[i])
			assert_memory_equal(items[i].via.str.ptr, texts[i],
					    strlen(texts[i]));
	}
	msgpack_unpacked_destroy(&unpacked);
	msgpack_sbuffer_destroy(&out);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_list_is_packed_after_its_length),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
