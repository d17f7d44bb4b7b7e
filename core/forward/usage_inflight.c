/* Requests in flight by start, and which of them ran after power was lost. */
#include "core/forward/usage_inflight.h"

/*
 * Boots of a VM that differ by less are the same one: clocks are set and corrected by
 * seconds, and a VM that boots anew has been up for longer.
 */
#define BOOT_TOLERANCE (10 * PD_SEC)

struct usage_inflight {
	GHashTable *by_incarnation; /* of usage_flight_t */
};

static void expected_clear(void *data)
{
	g_free(((usage_expected_t *)data)->account);
}

/* Returns a start's requests in flight, none as yet; the caller owns them. */
usage_flight_t *usage_flight_create(uint64_t incarnation_id)
{
	usage_flight_t *flight = g_new0(usage_flight_t, 1);

	flight->incarnation_id = incarnation_id;
	flight->expected = g_array_new(FALSE, FALSE, sizeof(usage_expected_t));
	g_array_set_clear_func(flight->expected, expected_clear);
	return flight;
}

/* Frees them; NULL is allowed. */
void usage_flight_destroy(usage_flight_t *flight)
{
	if (!flight)
		return;
	g_array_unref(flight->expected);
	g_free(flight);
}

/* Adds an account, copied, with what its count would be. */
void usage_flight_add(usage_flight_t *flight, const char *account, uint64_t count)
{
	const usage_expected_t expected = { g_strdup(account), count };

	g_array_append_val(flight->expected, expected);
}

/* Returns what no start has told; the caller owns it. */
usage_inflight_t *usage_inflight_create(void)
{
	usage_inflight_t *inflight = g_new0(usage_inflight_t, 1);

	inflight->by_incarnation =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				      (GDestroyNotify)usage_flight_destroy);
	return inflight;
}

/* Frees it; NULL is allowed. */
void usage_inflight_destroy(usage_inflight_t *inflight)
{
	if (!inflight)
		return;
	g_hash_table_unref(inflight->by_incarnation);
	g_free(inflight);
}

/* Takes what a start has in flight, and owns it; what it told before is replaced. */
void usage_inflight_take(usage_inflight_t *inflight, usage_flight_t *flight)
{
	const usage_flight_t *known =
		usage_inflight_find(inflight, flight->incarnation_id);

	if (known && known->told > flight->told) {
		usage_flight_destroy(flight);
		return;
	}
	g_hash_table_replace(inflight->by_incarnation, &flight->incarnation_id,
			     flight);
}

/* Returns what a start has told last, borrowed; NULL: nothing. */
const usage_flight_t *usage_inflight_find(const usage_inflight_t *inflight,
					  uint64_t incarnation_id)
{
	return g_hash_table_lookup(inflight->by_incarnation, &incarnation_id);
}

/* Calls EACH for what starts have told in the windows from FROM on. */
void usage_inflight_each(const usage_inflight_t *inflight, int64_t from,
			 usage_flight_each_t each, void *ctx)
{
	GHashTableIter iter;
	gpointer flight;

	g_hash_table_iter_init(&iter, inflight->by_incarnation);
	while (g_hash_table_iter_next(&iter, NULL, &flight)) {
		if (((const usage_flight_t *)flight)->window >= from)
			each(ctx, flight);
	}
}

static bool is_same_boot(const usage_flight_t *one, const usage_flight_t *other)
{
	return ABS(one->booted - other->booted) < BOOT_TOLERANCE;
}

/* Returns the time of day at which this was told. */
static pd_time_t flight_time(const usage_flight_t *flight)
{
	return flight->booted + flight->told;
}

/*
 * Returns whether a VM has lost power under this start: it has booted anew since, and no
 * other start has followed in the same boot.
 */
static bool flight_is_lost(const usage_inflight_t *inflight,
			   const usage_flight_t *flight)
{
	bool rebooted = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, inflight->by_incarnation);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const usage_flight_t *other = value;

		if (usage_incarnation_vm(other->incarnation_id) !=
		    usage_incarnation_vm(flight->incarnation_id))
			continue;
		if (!is_same_boot(other, flight))
			rebooted |= flight_time(other) > flight_time(flight);
		else if (other->begun >= flight->told)
			return false;
	}
	return rebooted;
}

static void flight_each_uncounted(const usage_flight_t *flight,
				  const usage_t *usage, usage_each_t each,
				  void *ctx)
{
	for (guint i = 0; i < flight->expected->len; i++) {
		const usage_expected_t *expected =
			&g_array_index(flight->expected, usage_expected_t, i);
		uint64_t counted = usage_count(usage, flight->window,
					       flight->incarnation_id,
					       expected->account);
		const usage_entry_t entry = {
			.window = flight->window,
			.incarnation_id = flight->incarnation_id,
			.account = expected->account,
			.count = expected->count - counted,
		};

		if (expected->count > counted)
			each(ctx, &entry);
	}
}

/*
 * Calls EACH for the requests of a window that were in flight when their VMs lost power,
 * by start and account, less those that were counted since.
 */
void usage_inflight_each_lost(const usage_inflight_t *inflight,
			      const usage_t *usage, int64_t window,
			      usage_each_t each, void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, inflight->by_incarnation);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const usage_flight_t *flight = value;

		if (flight->window == window && flight->expected->len &&
		    flight_is_lost(inflight, flight))
			flight_each_uncounted(flight, usage, each, ctx);
	}
}

static gboolean flight_is_old(gpointer incarnation_id, gpointer value,
			      gpointer before)
{
	const usage_flight_t *flight = value;

	(void)incarnation_id;
	return flight->window < *(int64_t *)before;
}

/* Drops what was told in the windows before one. */
void usage_inflight_discard(usage_inflight_t *inflight, int64_t before)
{
	g_hash_table_foreach_remove(inflight->by_incarnation, flight_is_old,
				    &before);
}
