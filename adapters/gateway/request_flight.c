/* The snapshot of this gateway's requests in flight. */
#include "adapters/gateway/request_flight.h"

#include "adapters/gateway/request_state.h"

/*
 * Returns the number of requests in flight by account, owned by the caller; the names
 * are borrowed.
 */
static GHashTable *count_in_flight(const gateway_t *gateway)
{
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);

	LIST_FOR_EACH (it, &gateway->requests) {
		const gateway_request_t *request =
			LIST_ENTRY(it, gateway_request_t, node);
		char *account;
		guint count;

		if (request->state != REQUEST_SENT || request->usage_counted ||
		    !request->account)
			continue;
		account = request->account->name;
		count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, account));
		g_hash_table_insert(counts, account, GUINT_TO_POINTER(count + 1));
	}
	return counts;
}

/* Returns a snapshot of the requests in flight, owned by the caller. */
static inflight_snapshot_t *create_snapshot(const gateway_t *gateway)
{
	inflight_snapshot_t *snapshot =
		inflight_snapshot_create(usage_own_id(gateway->usage));
	GHashTable *counts = count_in_flight(gateway);
	GHashTableIter iter;
	gpointer account;
	gpointer count;

	snapshot->taken_at = gateway_now();
	snapshot->boot_time = time_vote_wall(gateway->vote, snapshot->taken_at) -
			      snapshot->taken_at;
	snapshot->started_at = gateway->started_at;
	snapshot->window = gateway_current_window(gateway);
	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &account, &count))
		inflight_snapshot_add(snapshot, account,
				      usage_count(gateway->usage, snapshot->window,
						  snapshot->incarnation_id,
						  account) +
					      GPOINTER_TO_UINT(count));
	g_hash_table_unref(counts);
	return snapshot;
}

/*
 * Replaces the snapshot of this gateway's requests in flight if they have changed, and
 * returns the current one, borrowed.
 */
const inflight_snapshot_t *gateway_requests_update_snapshot(gateway_t *gateway)
{
	if (gateway->inflight_changed)
		usage_inflight_update(gateway->inflight, create_snapshot(gateway));
	gateway->inflight_changed = false;
	return usage_inflight_find(gateway->inflight, usage_own_id(gateway->usage));
}
