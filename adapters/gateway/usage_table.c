/*
 * Counts of usage as text, and back. A fleet of hundreds has thousands of small
 * counts, and they are written several times a second: packed they take a
 * quarter of the bytes that JSON would.
 *
 * {"format": 1, "counts": base64 of msgpack [accounts, row, row...], "in_flight": base64
 * of msgpack [flight, flight...]}, where a row is [window, start, place of an account, its
 * count, place, count...] and flight_pack.h has a flight.
 */
#include "adapters/gateway/usage_table.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/gateway/flight_pack.h"
#include "adapters/json.h"
#include "adapters/msgpack_check.h"
#include "adapters/msgpack_fields.h"
#include "adapters/msgpack_write.h"

#define FORMAT 1
#define ROW_HEAD 2 /* window and start */
#define CELL_FIELDS 2 /* place of an account, and its count */

/* A row is gathered whole, as its length goes first. */
typedef struct table_writer {
	GPtrArray *accounts; /* borrowed names */
	GHashTable *places; /* name -> place in accounts + 1 */
	msgpack_sbuffer rows;
	uint32_t row_count;
	int64_t window; /* of the row that is gathered */
	uint64_t start;
	GArray *cells; /* uint64_t: place, count, place, count... */
} table_writer_t;

static void end_row(table_writer_t *writer)
{
	msgpack_packer packer;

	if (!writer->cells->len)
		return;
	msgpack_packer_init(&packer, &writer->rows, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, ROW_HEAD + writer->cells->len);
	msgpack_pack_int64(&packer, writer->window);
	msgpack_pack_uint64(&packer, writer->start);
	for (guint i = 0; i < writer->cells->len; i++)
		msgpack_pack_uint64(&packer,
				    g_array_index(writer->cells, uint64_t, i));
	writer->row_count++;
	g_array_set_size(writer->cells, 0);
}

static uint64_t account_place(table_writer_t *writer, const char *account)
{
	guint place =
		GPOINTER_TO_UINT(g_hash_table_lookup(writer->places, account));

	if (place)
		return place - 1;
	g_ptr_array_add(writer->accounts, (char *)account);
	g_hash_table_insert(writer->places, (char *)account,
			    GUINT_TO_POINTER(writer->accounts->len));
	return writer->accounts->len - 1;
}

static void add_entry(void *ctx, const usage_entry_t *entry)
{
	table_writer_t *writer = ctx;
	uint64_t place = account_place(writer, entry->account);
	uint64_t count = entry->count;

	if (entry->window != writer->window || entry->incarnation_id != writer->start)
		end_row(writer);
	writer->window = entry->window;
	writer->start = entry->incarnation_id;
	g_array_append_val(writer->cells, place);
	g_array_append_val(writer->cells, count);
}

static void pack_accounts(msgpack_packer *packer, const GPtrArray *accounts)
{
	msgpack_pack_array(packer, accounts->len);
	for (guint i = 0; i < accounts->len; i++)
		msgpack_write_text(packer, g_ptr_array_index(accounts, i));
}

/* Returns a buffer's bytes in base64, owned by the caller, and frees the buffer. */
static char *buffer_encode(msgpack_sbuffer *buffer)
{
	char *encoded = g_base64_encode((const guchar *)buffer->data, buffer->size);

	msgpack_sbuffer_destroy(buffer);
	return encoded;
}

/* Returns the accounts and rows in base64, owned by the caller. */
static char *table_encode(const table_writer_t *writer)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 1 + writer->row_count);
	pack_accounts(&packer, writer->accounts);
	msgpack_sbuffer_write(&buffer, writer->rows.data, writer->rows.size);
	return buffer_encode(&buffer);
}

static void add_flight(void *ctx, const inflight_snapshot_t *flight)
{
	list_writer_t *writer = ctx;

	writer->count++;
	flight_pack(&writer->packer, flight);
}

/* Returns what is in flight in base64, owned by the caller. */
static char *flights_encode(const usage_inflight_t *inflight, int64_t from)
{
	list_writer_t writer;
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	list_writer_init(&writer);
	usage_inflight_each(inflight, from, add_flight, &writer);
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	list_writer_end(&writer, &buffer, &packer);
	return buffer_encode(&buffer);
}

/*
 * Returns the counts of the windows from FROM on, and what is in flight in them, as JSON,
 * owned by the caller.
 */
char *usage_table_write(const usage_t *usage, const usage_inflight_t *inflight,
			int64_t from)
{
	char *flights = flights_encode(inflight, from);
	char *counts;
	table_writer_t writer = {
		.accounts = g_ptr_array_new(),
		.places = g_hash_table_new(g_str_hash, g_str_equal),
		.cells = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
	};
	char *text;

	msgpack_sbuffer_init(&writer.rows);
	usage_each(usage, from, add_entry, &writer);
	end_row(&writer);
	counts = table_encode(&writer);
	text = g_strdup_printf("{\"format\":%d,\"counts\":\"%s\",\"in_flight\":"
			       "\"%s\"}",
			       FORMAT, counts, flights);
	g_free(counts);
	g_free(flights);
	msgpack_sbuffer_destroy(&writer.rows);
	g_ptr_array_unref(writer.accounts);
	g_hash_table_unref(writer.places);
	g_array_unref(writer.cells);
	return text;
}

/* Merges a row; cells of accounts that are not named are left out. */
static void merge_row(usage_t *usage, const msgpack_object *object,
		      const GPtrArray *accounts)
{
	uint32_t count = 0;
	const msgpack_object *fields =
		msgpack_field_items(object, ROW_HEAD, &count);

	for (uint32_t i = ROW_HEAD; fields && i + 1 < count; i += CELL_FIELDS) {
		uint64_t place = msgpack_field_number(&fields[i]);
		usage_entry_t entry = {
			.window = (int64_t)msgpack_field_number(&fields[0]),
			.incarnation_id = msgpack_field_number(&fields[1]),
			.count = msgpack_field_number(&fields[i + 1]),
		};

		if (place >= accounts->len)
			continue;
		entry.account = g_ptr_array_index(accounts, place);
		usage_merge(usage, &entry);
	}
}

/* Returns the names of the accounts, owned by the caller; what is none is "". */
static GPtrArray *read_accounts(const msgpack_object *object)
{
	GPtrArray *accounts = g_ptr_array_new_with_free_func(g_free);
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_items(object, 0, &count);

	for (uint32_t i = 0; i < count; i++) {
		char *account = msgpack_field_text(&items[i]);

		g_ptr_array_add(accounts, account ? account : g_strdup(""));
	}
	return accounts;
}

/* An array in base64 that was unpacked. */
typedef struct packed_list {
	guchar *data; /* which the items refer to */
	msgpack_unpacked unpacked;
	const msgpack_object *items; /* NULL: it is none */
	uint32_t count;
} packed_list_t;

static void packed_list_open(packed_list_t *list, const char *encoded, uint32_t least)
{
	size_t offset = 0;
	gsize len;

	list->data = g_base64_decode(encoded, &len);
	list->items = NULL;
	list->count = 0;
	msgpack_unpacked_init(&list->unpacked);
	if (msgpack_sizes_fit((const char *)list->data, len) &&
	    msgpack_unpack_next(&list->unpacked, (const char *)list->data, len,
				&offset) == MSGPACK_UNPACK_SUCCESS)
		list->items = msgpack_field_items(&list->unpacked.data, least,
						  &list->count);
}

static void packed_list_close(packed_list_t *list)
{
	msgpack_unpacked_destroy(&list->unpacked);
	g_free(list->data);
}

static int merge_counts(const char *encoded, usage_t *usage, pd_error_t *err)
{
	packed_list_t list;
	int rc = 0;

	packed_list_open(&list, encoded, 1);
	if (list.items) {
		GPtrArray *accounts = read_accounts(&list.items[0]);

		for (uint32_t i = 1; i < list.count; i++)
			merge_row(usage, &list.items[i], accounts);
		g_ptr_array_unref(accounts);
	} else {
		rc = pd_error_set(err, PD_ERROR_INPUT,
				  "counts of usage: no table in %zu characters",
				  strlen(encoded));
	}
	packed_list_close(&list);
	return rc;
}

static int merge_flights(const char *encoded, usage_inflight_t *inflight,
			 pd_error_t *err)
{
	packed_list_t list;
	int rc = 0;

	packed_list_open(&list, encoded, 0);
	for (uint32_t i = 0; i < list.count; i++) {
		inflight_snapshot_t *flight = flight_read(&list.items[i]);

		if (flight)
			usage_inflight_update(inflight, flight);
	}
	if (!list.items)
		rc = pd_error_set(err, PD_ERROR_INPUT,
				  "requests in flight: no list in %zu "
				  "characters",
				  strlen(encoded));
	packed_list_close(&list);
	return rc;
}

/*
 * Merges a text into the counts and what is in flight. Returns -1 with ERR set if it is
 * none, or of another format; rows that make no sense are left out.
 */
int usage_table_merge(const char *text, usage_t *usage,
		      usage_inflight_t *inflight, pd_error_t *err)
{
	json_t *root = json_parse(text, strlen(text), err);
	const char *encoded;
	const char *flights;
	int64_t format;
	int rc = -1;

	if (!root)
		return -1;
	format = json_integer_or(root, "format", 0);
	encoded = json_string_or(root, "counts", NULL);
	if (format != FORMAT || !encoded) {
		pd_error_set(err, PD_ERROR_VERSION,
			     "counts of usage: format %" G_GINT64_FORMAT
			     " where %d is known",
			     format, FORMAT);
		goto done;
	}
	rc = merge_counts(encoded, usage, err);
	flights = json_string_or(root, "in_flight", NULL);
	if (rc == 0 && flights)
		rc = merge_flights(flights, inflight, err);
done:
	json_decref(root);
	return rc;
}
