/* Requests in flight by incarnation, and which of them ran after a power loss. */
#include "core/forward/usage_inflight.h"

/*
 * Boot times of a VM that differ by less belong to the same boot: the clock may have been
 * corrected by seconds in between. A VM that reboots has usually been up for longer.
 */
#define BOOT_TIME_TOLERANCE (10 * PD_SEC)

struct usage_inflight {
	GHashTable *by_incarnation; /* of inflight_snapshot_t */
};

/* Frees the content of an inflight_expected_t. */
static void expected_clear(void *data)
{
	g_free(((inflight_expected_t *)data)->account);
}

/* Returns a snapshot without requests of an incarnation; the caller owns it. */
inflight_snapshot_t *inflight_snapshot_create(uint64_t incarnation_id)
{
	inflight_snapshot_t *snapshot = g_new0(inflight_snapshot_t, 1);

	snapshot->incarnation_id = incarnation_id;
	snapshot->expected =
		g_array_new(FALSE, FALSE, sizeof(inflight_expected_t));
	g_array_set_clear_func(snapshot->expected, expected_clear);
	return snapshot;
}

/* Frees a snapshot; NULL is allowed. */
void inflight_snapshot_destroy(inflight_snapshot_t *snapshot)
{
	if (!snapshot)
		return;
	g_array_unref(snapshot->expected);
	g_free(snapshot);
}

/*
 * Adds an account to a snapshot; the name is copied. COUNT is what the account's count
 * would be if all its requests in flight were answered.
 */
void inflight_snapshot_add(inflight_snapshot_t *snapshot, const char *account,
			   uint64_t count)
{
	const inflight_expected_t expected = { g_strdup(account), count };

	g_array_append_val(snapshot->expected, expected);
}

/* Returns an empty set of snapshots; the caller owns it. */
usage_inflight_t *usage_inflight_create(void)
{
	usage_inflight_t *inflight = g_new0(usage_inflight_t, 1);

	inflight->by_incarnation =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				      (GDestroyNotify)inflight_snapshot_destroy);
	return inflight;
}

/* Frees the set and its snapshots; NULL is allowed. */
void usage_inflight_destroy(usage_inflight_t *inflight)
{
	if (!inflight)
		return;
	g_hash_table_unref(inflight->by_incarnation);
	g_free(inflight);
}

/*
 * Stores a snapshot, of which it takes ownership, in place of the incarnation's previous
 * one. Frees it instead if the previous one was taken later.
 */
void usage_inflight_update(usage_inflight_t *inflight, inflight_snapshot_t *snapshot)
{
	const inflight_snapshot_t *previous =
		usage_inflight_find(inflight, snapshot->incarnation_id);

	if (previous && previous->taken_at > snapshot->taken_at) {
		inflight_snapshot_destroy(snapshot);
		return;
	}
	g_hash_table_replace(inflight->by_incarnation,
			     &snapshot->incarnation_id, snapshot);
}

/* Returns the latest snapshot of an incarnation, borrowed; NULL if there is none. */
const inflight_snapshot_t *usage_inflight_find(const usage_inflight_t *inflight,
					       uint64_t incarnation_id)
{
	return g_hash_table_lookup(inflight->by_incarnation, &incarnation_id);
}

/* Calls EACH for the snapshots whose windows are FROM or later. */
void usage_inflight_each(const usage_inflight_t *inflight, int64_t from,
			 inflight_snapshot_each_t each, void *ctx)
{
	GHashTableIter iter;
	gpointer snapshot;

	g_hash_table_iter_init(&iter, inflight->by_incarnation);
	while (g_hash_table_iter_next(&iter, NULL, &snapshot)) {
		if (((const inflight_snapshot_t *)snapshot)->window >= from)
			each(ctx, snapshot);
	}
}

/* Returns whether two snapshots were taken in the same boot of their VM. */
static bool is_same_boot(const inflight_snapshot_t *one,
			 const inflight_snapshot_t *other)
{
	return ABS(one->boot_time - other->boot_time) < BOOT_TIME_TOLERANCE;
}

/* Returns the time of day at which a snapshot was taken. */
static pd_time_t snapshot_wall_time(const inflight_snapshot_t *snapshot)
{
	return snapshot->boot_time + snapshot->taken_at;
}

/*
 * Returns whether the VM lost power while the snapshot's incarnation ran: it has rebooted
 * since, and no later incarnation started in the same boot.
 */
static bool snapshot_lost_power(const usage_inflight_t *inflight,
				const inflight_snapshot_t *snapshot)
{
	bool rebooted = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, inflight->by_incarnation);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const inflight_snapshot_t *other = value;

		if (usage_incarnation_vm(other->incarnation_id) !=
		    usage_incarnation_vm(snapshot->incarnation_id))
			continue;
		if (!is_same_boot(other, snapshot))
			rebooted |= snapshot_wall_time(other) >
				    snapshot_wall_time(snapshot);
		else if (other->started_at >= snapshot->taken_at)
			return false;
	}
	return rebooted;
}

/*
 * Calls EACH with the number of an account's requests in flight that USAGE does not
 * count.
 */
static void snapshot_each_uncounted(const inflight_snapshot_t *snapshot,
				    const usage_t *usage, usage_each_t each,
				    void *ctx)
{
	for (guint i = 0; i < snapshot->expected->len; i++) {
		const inflight_expected_t *expected =
			&g_array_index(snapshot->expected, inflight_expected_t, i);
		uint64_t counted = usage_count(usage, snapshot->window,
					       snapshot->incarnation_id,
					       expected->account);
		const usage_entry_t entry = {
			.window = snapshot->window,
			.incarnation_id = snapshot->incarnation_id,
			.account = expected->account,
			.count = expected->count - counted,
		};

		if (expected->count > counted)
			each(ctx, &entry);
	}
}

/*
 * Calls EACH with the number of requests of a window that were in flight when their VMs
 * lost power, by incarnation and account. Requests that are in USAGE are subtracted.
 */
void usage_inflight_each_lost(const usage_inflight_t *inflight,
			      const usage_t *usage, int64_t window,
			      usage_each_t each, void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, inflight->by_incarnation);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const inflight_snapshot_t *snapshot = value;

		if (snapshot->window == window && snapshot->expected->len &&
		    snapshot_lost_power(inflight, snapshot))
			snapshot_each_uncounted(snapshot, usage, each, ctx);
	}
}

/* Returns whether a snapshot's window is before *BEFORE. */
static gboolean snapshot_is_expired(gpointer incarnation_id, gpointer value,
				    gpointer before)
{
	const inflight_snapshot_t *snapshot = value;

	(void)incarnation_id;
	return snapshot->window < *(int64_t *)before;
}

/* Frees the snapshots of the windows before BEFORE. */
void usage_inflight_discard(usage_inflight_t *inflight, int64_t before)
{
	g_hash_table_foreach_remove(inflight->by_incarnation,
				    snapshot_is_expired, &before);
}
