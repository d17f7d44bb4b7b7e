/* Sums what the gateways count of a roll-out. */
#include "core/forward/rollout_counts.h"

struct rollout_counts {
	GArray *own; /* of rollout_row_t */
	GHashTable *peers; /* name -> GArray of rollout_row_t */
};

/* Returns an empty table of rows; the caller owns it. */
static GArray *rows_create(void)
{
	return g_array_new(FALSE, TRUE, sizeof(rollout_row_t));
}

/* Returns empty counts; the caller owns them. */
rollout_counts_t *rollout_counts_create(void)
{
	rollout_counts_t *counts = g_new0(rollout_counts_t, 1);

	counts->own = rows_create();
	counts->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      (GDestroyNotify)g_array_unref);
	return counts;
}

/* Frees counts; NULL is allowed. */
void rollout_counts_destroy(rollout_counts_t *counts)
{
	if (!counts)
		return;
	g_array_unref(counts->own);
	g_hash_table_unref(counts->peers);
	g_free(counts);
}

/*
 * Returns the row of a route, borrowed until a row is added; adds one that is missing, or
 * returns the common one if there are too many.
 */
rollout_row_t *rollout_rows_get(GArray *rows, uint32_t route)
{
	rollout_row_t added = { .route = route };

	for (guint i = 0; i < rows->len; i++) {
		rollout_row_t *row = &g_array_index(rows, rollout_row_t, i);

		if (row->route == route)
			return row;
	}
	if (route && rows->len >= ROLLOUT_ROUTES_MAX)
		return rollout_rows_get(rows, 0);
	g_array_append_val(rows, added);
	return &g_array_index(rows, rollout_row_t, rows->len - 1);
}

/* Returns the row in which a route is counted, borrowed; NULL: none. */
const rollout_row_t *rollout_rows_find(const GArray *rows, uint32_t route)
{
	const rollout_row_t *common = NULL;

	for (guint i = 0; i < rows->len; i++) {
		const rollout_row_t *row = &g_array_index(rows, rollout_row_t, i);

		if (row->route == route)
			return row;
		if (!row->route)
			common = row;
	}
	return common;
}

/* Returns this gateway's row of a route, borrowed. */
rollout_row_t *rollout_counts_own(rollout_counts_t *counts, uint32_t route)
{
	return rollout_rows_get(counts->own, route);
}

/* Returns a peer's row of a route, borrowed. */
rollout_row_t *rollout_counts_of_peer(rollout_counts_t *counts,
				      const char *peer, uint32_t route)
{
	GArray *rows = g_hash_table_lookup(counts->peers, peer);

	if (!rows) {
		rows = rows_create();
		g_hash_table_insert(counts->peers, g_strdup(peer), rows);
	}
	return rollout_rows_get(rows, route);
}

/* Forgets what peers reported. */
void rollout_counts_clear_peers(rollout_counts_t *counts)
{
	g_hash_table_remove_all(counts->peers);
}

/* Returns this gateway's rows, borrowed. */
const GArray *rollout_counts_own_rows(const rollout_counts_t *counts)
{
	return counts->own;
}

/* Adds all of MORE to the rows in SUM. */
static void add_rows(GArray *sum, const GArray *more)
{
	for (guint i = 0; i < more->len; i++) {
		const rollout_row_t *row = &g_array_index(more, rollout_row_t, i);
		rollout_row_t *into = rollout_rows_get(sum, row->route);

		for (int side = 0; side < ROLLOUT_SIDES; side++)
			rollout_tally_add(&into->sides[side], &row->sides[side]);
	}
}

/*
 * Returns the sum over this gateway and all peers but EXCEPT_PEER, which may be NULL; the
 * caller owns it.
 */
GArray *rollout_counts_sum(const rollout_counts_t *counts, const char *except_peer)
{
	GArray *sum = rows_create();
	GHashTableIter iter;
	gpointer name;
	gpointer rows;

	add_rows(sum, counts->own);
	g_hash_table_iter_init(&iter, counts->peers);
	while (g_hash_table_iter_next(&iter, &name, &rows)) {
		if (g_strcmp0(name, except_peer))
			add_rows(sum, rows);
	}
	return sum;
}

/* Returns the sum of one side over all routes. */
rollout_tally_t rollout_rows_total(const GArray *rows, rollout_side_t side)
{
	rollout_tally_t total = { 0 };

	for (guint i = 0; i < rows->len; i++)
		rollout_tally_add(&total,
				  &g_array_index(rows, rollout_row_t, i).sides[side]);
	return total;
}
