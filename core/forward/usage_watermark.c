/* Watermarks of the starts that count usage. */
#include "core/forward/usage_watermark.h"

/*
 * Starts whose counts may not be all there may have counted up to one part in so many:
 * half of what a report may be off by, as kills lose the other half.
 */
#define OPEN_PART (2 * USAGE_ERROR_DIVISOR)
/* Counts come in with the gateways' states, and the slowest take so long. */
#define SETTLE_TIME (2200 * PD_MSEC)
/* An open report waits for one part in so many of the time until it is due. */
#define WAIT_PART 2

/* What was received of a VM's starts. */
typedef struct watermark {
	uint32_t vm;
	uint64_t latest; /* incarnation id */
	uint64_t previous; /* the one before, whose messages may come late; 0: none */
	int64_t closed; /* the last window whose counts by that start are all here */
	int64_t given_up; /* whose report has waited in vain; INT64_MIN: none has */
} watermark_t;

struct usage_watermarks {
	GHashTable *by_vm; /* of watermark_t */
};

/* Returns watermarks of no start; the caller owns them. */
usage_watermarks_t *usage_watermarks_create(void)
{
	usage_watermarks_t *marks = g_new0(usage_watermarks_t, 1);

	marks->by_vm = g_hash_table_new_full(g_int_hash, g_int_equal, NULL, g_free);
	return marks;
}

/* Frees the watermarks; NULL is allowed. */
void usage_watermarks_destroy(usage_watermarks_t *marks)
{
	if (!marks)
		return;
	g_hash_table_unref(marks->by_vm);
	g_free(marks);
}

static watermark_t *marks_find(const usage_watermarks_t *marks,
			       uint64_t incarnation_id)
{
	uint32_t vm = usage_incarnation_vm(incarnation_id);

	return g_hash_table_lookup(marks->by_vm, &vm);
}

static watermark_t *marks_add(usage_watermarks_t *marks, uint64_t incarnation_id)
{
	watermark_t *mark = marks_find(marks, incarnation_id);

	if (mark)
		return mark;
	mark = g_new0(watermark_t, 1);
	mark->vm = usage_incarnation_vm(incarnation_id);
	mark->latest = incarnation_id;
	mark->closed = INT64_MIN;
	mark->given_up = INT64_MIN;
	g_hash_table_insert(marks->by_vm, &mark->vm, mark);
	return mark;
}

/*
 * Takes that a start has sent all its counts of the windows up to CLOSED, with these
 * counts. Earlier starts of its VM have ended.
 */
void usage_watermarks_take(usage_watermarks_t *marks, uint64_t incarnation_id,
			   int64_t closed)
{
	watermark_t *mark = marks_add(marks, incarnation_id);

	if (incarnation_id == mark->previous)
		return;
	if (incarnation_id != mark->latest) {
		mark->previous = mark->latest;
		mark->latest = incarnation_id;
		mark->closed = INT64_MIN;
	}
	mark->closed = MAX(mark->closed, closed);
	mark->given_up = INT64_MIN;
}

/*
 * Returns whether counts of a window by a start may still be on their way. OWN is the
 * start of this gateway: it has its own counts, and earlier starts of its VM have ended.
 */
static bool incarnation_is_open(const usage_watermarks_t *marks,
				uint64_t incarnation_id, uint64_t own,
				int64_t window)
{
	const watermark_t *mark = marks_find(marks, incarnation_id);

	if (usage_incarnation_vm(incarnation_id) == usage_incarnation_vm(own))
		return false;
	if (!mark)
		return true;
	return mark->latest == incarnation_id && mark->closed < window &&
	       mark->given_up == INT64_MIN;
}

typedef struct coverage_sum {
	const usage_watermarks_t *marks;
	uint64_t own;
	int64_t window;
	usage_coverage_t coverage;
} coverage_sum_t;

static void coverage_add(void *ctx, const usage_entry_t *entry)
{
	coverage_sum_t *sum = ctx;

	if (entry->window > sum->window)
		return;
	sum->coverage.counted += entry->count;
	if (incarnation_is_open(sum->marks, entry->incarnation_id, sum->own,
				sum->window))
		sum->coverage.open += entry->count;
}

/*
 * Returns what a report of a window that has ended would cover. A start that has counted
 * in the window or the one before is open until it, or a later start of its VM, was
 * heard to have closed the window.
 */
usage_coverage_t usage_watermarks_coverage(const usage_watermarks_t *marks,
					   const usage_t *usage, int64_t window)
{
	coverage_sum_t sum = {
		.marks = marks,
		.own = usage_own_id(usage),
		.window = window,
	};

	usage_each(usage, window - 1, coverage_add, &sum);
	return sum.coverage;
}

/* Returns whether what may be missing is less than a report may be off by. */
bool usage_coverage_is_complete(const usage_coverage_t *coverage)
{
	return coverage->open * OPEN_PART <= coverage->counted;
}

typedef struct giving_up {
	usage_watermarks_t *marks;
	uint64_t own;
	int64_t window;
} giving_up_t;

static void give_up_open(void *ctx, const usage_entry_t *entry)
{
	const giving_up_t *giving = ctx;

	if (entry->window > giving->window ||
	    !incarnation_is_open(giving->marks, entry->incarnation_id,
				 giving->own, giving->window))
		return;
	marks_add(giving->marks, entry->incarnation_id)->given_up = giving->window;
}

/*
 * Notes that the report of a window was made while starts were open: later ones do not
 * wait for these, unless they are heard, as their VMs may be gone for good.
 */
void usage_watermarks_give_up(usage_watermarks_t *marks, const usage_t *usage,
			      int64_t window)
{
	giving_up_t giving = { marks, usage_own_id(usage), window };

	usage_each(usage, window - 1, give_up_open, &giving);
}

static gboolean mark_is_old(gpointer vm, gpointer value, gpointer before)
{
	const watermark_t *mark = value;

	(void)vm;
	return MAX(mark->closed, mark->given_up) < *(int64_t *)before;
}

/* Drops the watermarks of VMs that were last heard before a window. */
void usage_watermarks_discard(usage_watermarks_t *marks, int64_t before)
{
	g_hash_table_foreach_remove(marks->by_vm, mark_is_old, &before);
}

/*
 * Returns how long after the end of its window a report is made that is due DUE after it.
 * One that is not COMPLETE waits, but leaves the next leader time in case this one dies.
 */
pd_time_t usage_report_delay(bool complete, pd_time_t due)
{
	return complete ? SETTLE_TIME : MAX(SETTLE_TIME, due / WAIT_PART);
}
