/* Watermarks of the usage counts of gateway incarnations. */
#include "core/forward/usage_watermark.h"

/*
 * A report is complete if at most 1/OPEN_DIVISOR of its requests are by incarnations with
 * counts still to come: half of the error allowed, as kills take the other half.
 */
#define OPEN_DIVISOR (2 * USAGE_ERROR_DIVISOR)
/* Counts arrive with the gateways' periodic states; the slowest take this long. */
#define COUNTS_DELIVERY_TIME (2200 * PD_MSEC)
/* An incomplete report waits for 1/DELAY_DIVISOR of the time until it is due. */
#define DELAY_DIVISOR 2

/* The watermark of a VM's latest incarnation. */
typedef struct watermark {
	uint32_t vm;
	uint64_t latest; /* incarnation id */
	uint64_t previous; /* incarnation id; its messages may come late; 0: none */
	int64_t closed; /* last window whose counts by LATEST were all received */
	int64_t given_up; /* window reported without its counts; INT64_MIN: none */
} watermark_t;

struct usage_watermarks {
	GHashTable *by_vm; /* of watermark_t */
};

/* Returns an empty set of watermarks; the caller owns it. */
usage_watermarks_t *usage_watermarks_create(void)
{
	usage_watermarks_t *watermarks = g_new0(usage_watermarks_t, 1);

	watermarks->by_vm =
		g_hash_table_new_full(g_int_hash, g_int_equal, NULL, g_free);
	return watermarks;
}

/* Frees the watermarks; NULL is allowed. */
void usage_watermarks_destroy(usage_watermarks_t *watermarks)
{
	if (!watermarks)
		return;
	g_hash_table_unref(watermarks->by_vm);
	g_free(watermarks);
}

/* Returns the watermark of an incarnation's VM, or NULL if there is none. */
static watermark_t *watermarks_find(const usage_watermarks_t *watermarks,
				    uint64_t incarnation_id)
{
	uint32_t vm = usage_incarnation_vm(incarnation_id);

	return g_hash_table_lookup(watermarks->by_vm, &vm);
}

/* Returns the watermark of an incarnation's VM, and creates it if needed. */
static watermark_t *watermarks_add(usage_watermarks_t *watermarks,
				   uint64_t incarnation_id)
{
	watermark_t *watermark = watermarks_find(watermarks, incarnation_id);

	if (watermark)
		return watermark;
	watermark = g_new0(watermark_t, 1);
	watermark->vm = usage_incarnation_vm(incarnation_id);
	watermark->latest = incarnation_id;
	watermark->closed = INT64_MIN;
	watermark->given_up = INT64_MIN;
	g_hash_table_insert(watermarks->by_vm, &watermark->vm, watermark);
	return watermark;
}

/*
 * Records that all counts of an incarnation were received for the windows up to CLOSED.
 * Earlier incarnations of its VM have ended.
 */
void usage_watermarks_advance(usage_watermarks_t *watermarks,
			      uint64_t incarnation_id, int64_t closed)
{
	watermark_t *watermark = watermarks_add(watermarks, incarnation_id);

	if (incarnation_id == watermark->previous)
		return;
	if (incarnation_id != watermark->latest) {
		watermark->previous = watermark->latest;
		watermark->latest = incarnation_id;
		watermark->closed = INT64_MIN;
	}
	watermark->closed = MAX(watermark->closed, closed);
	watermark->given_up = INT64_MIN;
}

/*
 * Returns whether counts of a window by an incarnation may still arrive. OWN is the
 * incarnation id of this gateway, which has its own counts; earlier incarnations of its
 * VM have ended.
 */
static bool is_open(const usage_watermarks_t *watermarks,
		    uint64_t incarnation_id, uint64_t own, int64_t window)
{
	const watermark_t *watermark = watermarks_find(watermarks, incarnation_id);

	if (usage_incarnation_vm(incarnation_id) == usage_incarnation_vm(own))
		return false;
	if (!watermark)
		return true;
	return watermark->latest == incarnation_id &&
	       watermark->closed < window && watermark->given_up == INT64_MIN;
}

typedef struct coverage_sum {
	const usage_watermarks_t *watermarks;
	uint64_t own;
	int64_t window;
	usage_coverage_t coverage;
} coverage_sum_t;

/* Adds a count to the coverage in CTX, a coverage_sum_t. */
static void coverage_add(void *ctx, const usage_entry_t *entry)
{
	coverage_sum_t *sum = ctx;

	if (entry->window > sum->window)
		return;
	sum->coverage.counted += entry->count;
	if (is_open(sum->watermarks, entry->incarnation_id, sum->own, sum->window))
		sum->coverage.open += entry->count;
}

/*
 * Returns how complete the report of a past window would be. An incarnation with counts in
 * the window or the previous one is open until it, or a later incarnation of its VM, has
 * reported that it closed the window.
 */
usage_coverage_t usage_watermarks_coverage(const usage_watermarks_t *watermarks,
					   const usage_t *usage, int64_t window)
{
	coverage_sum_t sum = {
		.watermarks = watermarks,
		.own = usage_own_id(usage),
		.window = window,
	};

	usage_each(usage, window - 1, coverage_add, &sum);
	return sum.coverage;
}

/* Returns whether the counts that may be missing are within the error allowed. */
bool usage_coverage_is_complete(const usage_coverage_t *coverage)
{
	return coverage->open * OPEN_DIVISOR <= coverage->counted;
}

typedef struct give_up_ctx {
	usage_watermarks_t *watermarks;
	uint64_t own;
	int64_t window;
} give_up_ctx_t;

/* Marks the watermark of an open incarnation as given up; CTX is a give_up_ctx_t. */
static void give_up_on_open(void *ctx, const usage_entry_t *entry)
{
	const give_up_ctx_t *give_up = ctx;

	if (entry->window > give_up->window ||
	    !is_open(give_up->watermarks, entry->incarnation_id, give_up->own,
		     give_up->window))
		return;
	watermarks_add(give_up->watermarks, entry->incarnation_id)->given_up =
		give_up->window;
}

/*
 * Records that the report of a window was made without the open incarnations. Later
 * reports don't wait for them until they send again, as their VMs may be gone.
 */
void usage_watermarks_give_up(usage_watermarks_t *watermarks,
			      const usage_t *usage, int64_t window)
{
	give_up_ctx_t give_up = { watermarks, usage_own_id(usage), window };

	usage_each(usage, window - 1, give_up_on_open, &give_up);
}

/* Returns whether a watermark's VM was last heard before window *BEFORE. */
static gboolean watermark_is_expired(gpointer vm, gpointer value, gpointer before)
{
	const watermark_t *watermark = value;

	(void)vm;
	return MAX(watermark->closed, watermark->given_up) < *(int64_t *)before;
}

/* Frees the watermarks of VMs that were last heard before window BEFORE. */
void usage_watermarks_discard(usage_watermarks_t *watermarks, int64_t before)
{
	g_hash_table_foreach_remove(watermarks->by_vm, watermark_is_expired,
				    &before);
}

/*
 * Returns the delay from the end of a window to its report, which is due DUE after the end.
 * A report that is not COMPLETE waits, but leaves the next leader time to make it in case
 * this one dies.
 */
pd_time_t usage_report_delay(bool complete, pd_time_t due)
{
	return complete ? COUNTS_DELIVERY_TIME
			: MAX(COUNTS_DELIVERY_TIME, due / DELAY_DIVISOR);
}
