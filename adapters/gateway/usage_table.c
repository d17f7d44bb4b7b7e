/*
 * Encodes usage counts for the store, and merges encoded ones. A fleet of
 * hundreds of gateways has thousands of small counts, written several times a
 * second; packed they take a quarter of the bytes of JSON.
 *
 * {"format": 1, "counts": base64 of msgpack [accounts, row, row...],
 *  "in_flight": base64 of msgpack [snapshot, snapshot...]}
 *
 * A row is [window, incarnation, account index, count, account index,
 * count...]; a snapshot is as in flight_pack.h.
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
#define ROW_HEADER_FIELDS 2 /* window and incarnation */
#define CELL_FIELDS 2 /* account index and count */

/*
 * Encodes rows. The cells of a row are buffered, as their number comes first.
 */
typedef struct table_writer {
	GPtrArray *accounts; /* borrowed names */
	GHashTable *indexes; /* name -> index in accounts + 1 */
	msgpack_sbuffer rows;
	uint32_t row_count;
	int64_t window; /* of the buffered row */
	uint64_t incarnation_id;
	/* uint64_t: account index, count, account index, count... */
	GArray *cells;
} table_writer_t;

/* Appends the buffered row, if there is one, to the packed rows. */
static void flush_row(table_writer_t *writer)
{
	msgpack_packer packer;

	if (!writer->cells->len)
		return;
	msgpack_packer_init(&packer, &writer->rows, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, ROW_HEADER_FIELDS + writer->cells->len);
	msgpack_pack_int64(&packer, writer->window);
	msgpack_pack_uint64(&packer, writer->incarnation_id);
	for (guint i = 0; i < writer->cells->len; i++)
		msgpack_pack_uint64(&packer,
				    g_array_index(writer->cells, uint64_t, i));
	writer->row_count++;
	g_array_set_size(writer->cells, 0);
}

/*
 * Returns the index of an account, which is added if it is new. NAME is
 * borrowed.
 */
static uint64_t account_index(table_writer_t *writer, const char *account)
{
	guint index =
		GPOINTER_TO_UINT(g_hash_table_lookup(writer->indexes, account));

	if (index)
		return index - 1;
	g_ptr_array_add(writer->accounts, (char *)account);
	g_hash_table_insert(writer->indexes, (char *)account,
			    GUINT_TO_POINTER(writer->accounts->len));
	return writer->accounts->len - 1;
}

/*
 * Adds an entry to the buffered row, or to a new one if it is of another window
 * or incarnation.
 */
static void add_entry(void *ctx, const usage_entry_t *entry)
{
	table_writer_t *writer = ctx;
	uint64_t index = account_index(writer, entry->account);
	uint64_t count = entry->count;

	if (entry->window != writer->window ||
	    entry->incarnation_id != writer->incarnation_id)
		flush_row(writer);
	writer->window = entry->window;
	writer->incarnation_id = entry->incarnation_id;
	g_array_append_val(writer->cells, index);
	g_array_append_val(writer->cells, count);
}

/* Packs the names of accounts, to which the cells refer by index. */
static void pack_accounts(msgpack_packer *packer, const GPtrArray *accounts)
{
	msgpack_pack_array(packer, accounts->len);
	for (guint i = 0; i < accounts->len; i++)
		msgpack_write_string(packer, g_ptr_array_index(accounts, i));
}

/*
 * Returns the contents of a buffer in base64, owned by the caller. Destroys the
 * buffer.
 */
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

/* Packs a snapshot with CTX, a list_writer_t. */
static void add_snapshot(void *ctx, const inflight_snapshot_t *snapshot)
{
	list_writer_t *writer = ctx;

	writer->count++;
	flight_pack(&writer->packer, snapshot);
}

/*
 * Returns the in-flight snapshots of windows from FROM on in base64, owned by
 * the caller.
 */
static char *snapshots_encode(const usage_inflight_t *inflight, int64_t from)
{
	list_writer_t writer;
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	list_writer_init(&writer);
	usage_inflight_each(inflight, from, add_snapshot, &writer);
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	list_writer_end(&writer, &buffer, &packer);
	return buffer_encode(&buffer);
}

/*
 * Returns the usage counts and in-flight snapshots of windows from FROM on as
 * JSON, owned by the caller.
 */
char *usage_table_encode(const usage_t *usage, const usage_inflight_t *inflight,
			 int64_t from)
{
	char *snapshots = snapshots_encode(inflight, from);
	char *counts;
	table_writer_t writer = {
		.accounts = g_ptr_array_new(),
		.indexes = g_hash_table_new(g_str_hash, g_str_equal),
		.cells = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
	};
	char *text;

	msgpack_sbuffer_init(&writer.rows);
	usage_each(usage, from, add_entry, &writer);
	flush_row(&writer);
	counts = table_encode(&writer);
	text = g_strdup_printf("{\"format\":%d,\"counts\":\"%s\",\"in_flight\":"
			       "\"%s\"}",
			       FORMAT, counts, snapshots);
	g_free(counts);
	g_free(snapshots);
	msgpack_sbuffer_destroy(&writer.rows);
	g_ptr_array_unref(writer.accounts);
	g_hash_table_unref(writer.indexes);
	g_array_unref(writer.cells);
	return text;
}

/* Merges a row. Cells with an unknown account index are skipped. */
static void merge_row(usage_t *usage, const msgpack_object *object,
		      const GPtrArray *accounts)
{
	uint32_t count = 0;
	const msgpack_object *fields =
		msgpack_field_array(object, ROW_HEADER_FIELDS, &count);

	for (uint32_t i = ROW_HEADER_FIELDS; fields && i + 1 < count;
	     i += CELL_FIELDS) {
		uint64_t index = msgpack_field_uint64(&fields[i]);
		usage_entry_t entry = {
			.window = (int64_t)msgpack_field_uint64(&fields[0]),
			.incarnation_id = msgpack_field_uint64(&fields[1]),
			.count = msgpack_field_uint64(&fields[i + 1]),
		};

		if (index >= accounts->len)
			continue;
		entry.account = g_ptr_array_index(accounts, index);
		usage_merge(usage, &entry);
	}
}

/*
 * Returns the names of the accounts, owned by the caller. Invalid ones are "",
 * which keeps the indexes of the others.
 */
static GPtrArray *read_accounts(const msgpack_object *object)
{
	GPtrArray *accounts = g_ptr_array_new_with_free_func(g_free);
	uint32_t count = 0;
	const msgpack_object *items = msgpack_field_array(object, 0, &count);

	for (uint32_t i = 0; i < count; i++) {
		char *account = msgpack_field_string(&items[i]);

		g_ptr_array_add(accounts, account ? account : g_strdup(""));
	}
	return accounts;
}

/* A decoded msgpack array. */
typedef struct packed_list {
	guchar *data; /* that the items refer to */
	msgpack_unpacked unpacked;
	const msgpack_object *items; /* NULL: it is malformed */
	uint32_t count;
} packed_list_t;

/*
 * Decodes base64 of an array with at least COUNT_MIN items. The caller closes
 * the list also if it is malformed.
 */
static void packed_list_open(packed_list_t *list, const char *encoded,
			     uint32_t count_min)
{
	size_t offset = 0;
	gsize len;

	list->data = g_base64_decode(encoded, &len);
	list->items = NULL;
	list->count = 0;
	msgpack_unpacked_init(&list->unpacked);
	if (msgpack_lengths_fit((const char *)list->data, len) &&
	    msgpack_unpack_next(&list->unpacked, (const char *)list->data, len,
				&offset) == MSGPACK_UNPACK_SUCCESS)
		list->items = msgpack_field_array(&list->unpacked.data,
						  count_min, &list->count);
}

/* Frees what a list owns. */
static void packed_list_close(packed_list_t *list)
{
	msgpack_unpacked_destroy(&list->unpacked);
	g_free(list->data);
}

/*
 * Merges the encoded counts. Returns 0, or -1 with ERR set if they are
 * malformed.
 */
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
				  "usage counts: malformed table of %zu "
				  "characters",
				  strlen(encoded));
	}
	packed_list_close(&list);
	return rc;
}

/*
 * Merges the encoded in-flight snapshots. Returns 0, or -1 with ERR set if they
 * are malformed.
 */
static int merge_snapshots(const char *encoded, usage_inflight_t *inflight,
			   pd_error_t *err)
{
	packed_list_t list;
	int rc = 0;

	packed_list_open(&list, encoded, 0);
	for (uint32_t i = 0; i < list.count; i++) {
		inflight_snapshot_t *snapshot = flight_unpack(&list.items[i]);

		if (snapshot)
			usage_inflight_update(inflight, snapshot);
	}
	if (!list.items)
		rc = pd_error_set(err, PD_ERROR_INPUT,
				  "requests in flight: malformed list of %zu "
				  "characters",
				  strlen(encoded));
	packed_list_close(&list);
	return rc;
}

/*
 * Merges encoded counts and in-flight snapshots. Returns 0, or -1 with ERR set
 * if TEXT is malformed or of another format. Malformed rows are skipped.
 */
int usage_table_merge(const char *text, usage_t *usage,
		      usage_inflight_t *inflight, pd_error_t *err)
{
	json_t *root = json_parse(text, strlen(text), err);
	const char *encoded;
	const char *snapshots;
	int64_t format;
	int rc = -1;

	if (!root)
		return -1;
	format = json_integer_or(root, "format", 0);
	encoded = json_string_or(root, "counts", NULL);
	if (format != FORMAT || !encoded) {
		pd_error_set(err, PD_ERROR_VERSION,
			     "usage counts: format %" G_GINT64_FORMAT
			     ", expected %d",
			     format, FORMAT);
		goto done;
	}
	rc = merge_counts(encoded, usage, err);
	snapshots = json_string_or(root, "in_flight", NULL);
	if (rc == 0 && snapshots)
		rc = merge_snapshots(snapshots, inflight, err);
done:
	json_decref(root);
	return rc;
}
