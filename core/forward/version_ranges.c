/* Ranges of hashes by version, and those of the time for which streams last. */
#include "core/forward/version_ranges.h"

#include "core/hash.h"

/* Ranges in force from a time on. */
typedef struct ranges {
	pd_time_t from;
	GArray *shares; /* of version_share_t, oldest version first */
} ranges_t;

struct version_ranges {
	pd_time_t ttl; /* streams last so long */
	GArray *tables; /* of ranges_t, by time */
};

/* Frees what a ranges_t owns. */
static void ranges_clear(void *data)
{
	g_array_unref(((ranges_t *)data)->shares);
}

/* Returns an object without ranges; the caller owns it. Streams last TTL at most. */
version_ranges_t *version_ranges_create(pd_time_t ttl)
{
	version_ranges_t *ranges = g_new0(version_ranges_t, 1);

	ranges->ttl = ttl;
	ranges->tables = g_array_new(FALSE, FALSE, sizeof(ranges_t));
	g_array_set_clear_func(ranges->tables, ranges_clear);
	return ranges;
}

/* Frees the ranges; NULL is allowed. */
void version_ranges_destroy(version_ranges_t *ranges)
{
	if (!ranges)
		return;
	g_array_unref(ranges->tables);
	g_free(ranges);
}

/* Sets the ranges from NOW on; the checkpoint must have them before. */
void version_ranges_set(version_ranges_t *ranges, const version_share_t *shares,
			unsigned int count, pd_time_t now)
{
	ranges_t table = { now,
			   g_array_new(FALSE, FALSE, sizeof(version_share_t)) };

	g_array_append_vals(table.shares, shares, count);
	g_array_append_val(ranges->tables, table);
	/* Those that ended before any stream that may still be resumed began. */
	while (ranges->tables->len > 1 &&
	       g_array_index(ranges->tables, ranges_t, 1).from < now - ranges->ttl)
		g_array_remove_index(ranges->tables, 0);
}

/* Returns the version whose range has an attempt; 0: there is none. */
static uint64_t find_in(const ranges_t *table, uint64_t attempt)
{
	double point = (double)(hash_number(attempt) >> 11) / (double)(1ULL << 53);
	unsigned int all = 0;
	unsigned int sum = 0;

	for (guint i = 0; i < table->shares->len; i++)
		all += g_array_index(table->shares, version_share_t, i).slots;
	for (guint i = 0; i < table->shares->len; i++) {
		const version_share_t *share =
			&g_array_index(table->shares, version_share_t, i);

		sum += share->slots;
		if (point * all < sum)
			return share->version_id;
	}
	return 0;
}

/* Returns the version at which a new stream begins; 0: there is none. */
uint64_t version_ranges_choose(const version_ranges_t *ranges, uint64_t attempt)
{
	guint count = ranges->tables->len;

	return count ? find_in(&g_array_index(ranges->tables, ranges_t, count - 1),
			       attempt)
		     : 0;
}

/* Returns the version that began a stream, or 0 if its range has moved since it may have. */
uint64_t version_ranges_find(const version_ranges_t *ranges, uint64_t attempt,
			     pd_time_t now)
{
	uint64_t found = version_ranges_choose(ranges, attempt);

	for (guint i = ranges->tables->len; i-- > 0;) {
		const ranges_t *table = &g_array_index(ranges->tables, ranges_t, i);

		if (find_in(table, attempt) != found)
			return 0;
		if (table->from <= now - ranges->ttl)
			break;
	}
	return found;
}
