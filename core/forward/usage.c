/* Grow-only counters by window, incarnation and account. */
#include "core/forward/usage.h"

#include <string.h>

#include "core/hash.h"

/* Low bits of an incarnation id; the high bits identify the VM. */
#define INCARNATION_BITS 32
/* Kills of all gateways in one window that may together lose the allowed error. */
#define KILLS_PER_WINDOW 3
/* A tick of the sender, a tick of the writer, and the latency of the store. */
#define WRITE_LATENCY (45 * PD_MSEC)
#define WRITE_PERIOD_MIN (80 * PD_MSEC)
#define WRITE_PERIOD_MAX (250 * PD_MSEC)
/* Limits a writer to one received message per this time when all gateways send. */
#define SEND_PERIOD_PER_GATEWAY (300 * PD_USEC)
#define SEND_PERIOD_MIN (20 * PD_MSEC)
#define SEND_PERIOD_MAX (100 * PD_MSEC)
/* Time that gateways which all start at once need to discover each other. */
#define FIRST_WRITE_DELAY_PER_GATEWAY (4 * PD_MSEC)
#define FIRST_WRITE_DELAY_MIN (40 * PD_MSEC)
#define FIRST_WRITE_DELAY_MAX (150 * PD_MSEC)

/* One account's count. An incarnation has few accounts, so a linear search will do. */
typedef struct counter {
	char *account; /* interned */
	uint64_t count;
	uint64_t sent; /* own counters only: the value that was sent last */
} counter_t;

/* The counters of one incarnation in one window. */
typedef struct counter_set {
	uint64_t incarnation_id;
	GArray *counters; /* of counter_t */
} counter_set_t;

typedef struct window {
	int64_t number;
	GHashTable *counter_sets; /* incarnation id -> counter_set_t */
} window_t;

struct usage {
	uint64_t own_id; /* incarnation id of this gateway */
	GPtrArray *windows; /* of window_t; only a few, so they are searched */
	bool has_unsent; /* own counters have grown since they were sent */
};

/* Releases a counter of a GArray. */
static void counter_clear(void *data)
{
	g_ref_string_release(((counter_t *)data)->account);
}

/* Frees a counter_set_t. */
static void counter_set_destroy(void *data)
{
	counter_set_t *set = data;

	g_array_unref(set->counters);
	g_free(set);
}

/* Frees a window_t. */
static void window_destroy(void *data)
{
	window_t *window = data;

	g_hash_table_unref(window->counter_sets);
	g_free(window);
}

/*
 * Returns the length of the VM id at the beginning of an incarnation name, which is the
 * VM id, "#" and a name that is unique among the runs on that VM.
 */
size_t usage_vm_len(const char *incarnation)
{
	const char *end = strrchr(incarnation, '#');

	return end ? (size_t)(end - incarnation) : strlen(incarnation);
}

/*
 * Returns the id of an incarnation by its name. The upper half is the same for all
 * incarnations on a VM.
 */
uint64_t usage_incarnation_id(const char *incarnation)
{
	return hash_bytes(incarnation, usage_vm_len(incarnation))
		       << INCARNATION_BITS |
	       (uint32_t)hash_string(incarnation);
}

/* Returns the part of an incarnation id that identifies its VM. */
uint32_t usage_incarnation_vm(uint64_t incarnation_id)
{
	return (uint32_t)(incarnation_id >> INCARNATION_BITS);
}

/* Returns the incarnation id of this gateway. */
uint64_t usage_own_id(const usage_t *usage)
{
	return usage->own_id;
}

/* Returns empty counters for the gateway of that incarnation; the caller owns them. */
usage_t *usage_create(const char *incarnation)
{
	usage_t *usage = g_new0(usage_t, 1);

	usage->own_id = usage_incarnation_id(incarnation);
	usage->windows = g_ptr_array_new_with_free_func(window_destroy);
	return usage;
}

/* Frees the counters; NULL is allowed. */
void usage_destroy(usage_t *usage)
{
	if (!usage)
		return;
	g_ptr_array_unref(usage->windows);
	g_free(usage);
}

/* Returns a window by its number, or NULL if it has no counts. */
static window_t *usage_find_window(const usage_t *usage, int64_t number)
{
	for (guint i = 0; i < usage->windows->len; i++) {
		window_t *window = g_ptr_array_index(usage->windows, i);

		if (window->number == number)
			return window;
	}
	return NULL;
}

/* Returns a window by its number, and creates it if needed. */
static window_t *usage_window(usage_t *usage, int64_t number)
{
	window_t *window = usage_find_window(usage, number);

	if (window)
		return window;
	window = g_new0(window_t, 1);
	window->number = number;
	window->counter_sets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						     NULL, counter_set_destroy);
	g_ptr_array_add(usage->windows, window);
	return window;
}

/* Returns an incarnation's counters in a window, and creates them if needed. */
static counter_set_t *window_counter_set(window_t *window, uint64_t incarnation_id)
{
	counter_set_t *set =
		g_hash_table_lookup(window->counter_sets, &incarnation_id);

	if (set)
		return set;
	set = g_new0(counter_set_t, 1);
	set->incarnation_id = incarnation_id;
	set->counters = g_array_new(FALSE, TRUE, sizeof(counter_t));
	g_array_set_clear_func(set->counters, counter_clear);
	g_hash_table_insert(window->counter_sets, &set->incarnation_id, set);
	return set;
}

/* Returns this gateway's own counters of a window, or NULL if there are none. */
static counter_set_t *window_own_counter_set(const usage_t *usage,
					     const window_t *window)
{
	return g_hash_table_lookup(window->counter_sets, &usage->own_id);
}

/* Returns an account's counter, and creates it if needed. */
static counter_t *counter_set_counter(counter_set_t *set, const char *account)
{
	counter_t added = { .account = g_ref_string_new_intern(account) };

	for (guint i = 0; i < set->counters->len; i++) {
		counter_t *counter = &g_array_index(set->counters, counter_t, i);

		if (counter->account == added.account) {
			g_ref_string_release(added.account);
			return counter;
		}
	}
	g_array_append_val(set->counters, added);
	return &g_array_index(set->counters, counter_t, set->counters->len - 1);
}

/*
 * Returns the counter of a window, incarnation and account, and creates it if needed.
 */
static counter_t *usage_counter(usage_t *usage, int64_t window,
				uint64_t incarnation_id, const char *account)
{
	return counter_set_counter(window_counter_set(usage_window(usage, window),
						      incarnation_id),
				   account);
}

/* Counts one request that this gateway sent for an account. */
void usage_increment(usage_t *usage, int64_t window, const char *account)
{
	usage_counter(usage, window, usage->own_id, account)->count++;
	usage->has_unsent = true;
}

/*
 * Merges a count that was received from another gateway or read from the store. Own
 * counts are ignored, as they can't be newer than those held here.
 */
void usage_merge(usage_t *usage, const usage_entry_t *entry)
{
	counter_t *counter;

	if (entry->incarnation_id == usage->own_id)
		return;
	counter = usage_counter(usage, entry->window, entry->incarnation_id,
				entry->account);
	counter->count = MAX(counter->count, entry->count);
}

/* Calls EACH for all counts of an incarnation in a window. */
static void counter_set_each(const window_t *window, const counter_set_t *set,
			     usage_each_t each, void *ctx)
{
	for (guint i = 0; i < set->counters->len; i++) {
		const counter_t *counter =
			&g_array_index(set->counters, counter_t, i);
		const usage_entry_t entry = { window->number, set->incarnation_id,
					      counter->account, counter->count };

		each(ctx, &entry);
	}
}

/*
 * Calls EACH for all counts of the windows from FROM on, grouped by window and within a
 * window by incarnation.
 */
void usage_each(const usage_t *usage, int64_t from, usage_each_t each, void *ctx)
{
	for (guint i = 0; i < usage->windows->len; i++) {
		const window_t *window = g_ptr_array_index(usage->windows, i);
		GHashTableIter iter;
		gpointer set;

		if (window->number < from)
			continue;
		g_hash_table_iter_init(&iter, window->counter_sets);
		while (g_hash_table_iter_next(&iter, NULL, &set))
			counter_set_each(window, set, each, ctx);
	}
}

/* Calls EACH for this gateway's own counts of the windows from FROM on. */
void usage_each_own(const usage_t *usage, int64_t from, usage_each_t each, void *ctx)
{
	for (guint i = 0; i < usage->windows->len; i++) {
		const window_t *window = g_ptr_array_index(usage->windows, i);
		const counter_set_t *set = window_own_counter_set(usage, window);

		if (set && window->number >= from)
			counter_set_each(window, set, each, ctx);
	}
}

/*
 * Calls EACH for the counts that have grown since they were sent; marks them as sent.
 */
static void counter_set_each_unsent(const window_t *window, counter_set_t *set,
				    usage_each_t each, void *ctx)
{
	for (guint i = 0; i < set->counters->len; i++) {
		counter_t *counter = &g_array_index(set->counters, counter_t, i);
		const usage_entry_t entry = { window->number, set->incarnation_id,
					      counter->account, counter->count };

		if (counter->sent == counter->count)
			continue;
		counter->sent = counter->count;
		each(ctx, &entry);
	}
}

/* Calls EACH for own counts that have grown since they were sent; marks them as sent. */
void usage_each_unsent(usage_t *usage, usage_each_t each, void *ctx)
{
	usage->has_unsent = false;
	for (guint i = 0; i < usage->windows->len; i++) {
		const window_t *window = g_ptr_array_index(usage->windows, i);
		counter_set_t *set = window_own_counter_set(usage, window);

		if (set)
			counter_set_each_unsent(window, set, each, ctx);
	}
}

/* Returns whether own counts have grown since they were sent. */
bool usage_has_unsent(const usage_t *usage)
{
	return usage->has_unsent;
}

/* Marks all counts as never sent. */
static void counter_set_mark_unsent(counter_set_t *set)
{
	for (guint i = 0; i < set->counters->len; i++)
		g_array_index(set->counters, counter_t, i).sent = 0;
}

/* Marks all own counts as unsent, as the receiver changed or messages were lost. */
void usage_mark_unsent(usage_t *usage)
{
	usage->has_unsent = true;
	for (guint i = 0; i < usage->windows->len; i++) {
		const window_t *window = g_ptr_array_index(usage->windows, i);
		counter_set_t *set = window_own_counter_set(usage, window);

		if (set)
			counter_set_mark_unsent(set);
	}
}

/* Returns an incarnation's count of an account in a window; 0 if there is none. */
uint64_t usage_count(const usage_t *usage, int64_t window,
		     uint64_t incarnation_id, const char *account)
{
	const window_t *found = usage_find_window(usage, window);
	const counter_set_t *set =
		found ? g_hash_table_lookup(found->counter_sets, &incarnation_id)
		      : NULL;

	for (guint i = 0; set && i < set->counters->len; i++) {
		const counter_t *counter =
			&g_array_index(set->counters, counter_t, i);

		if (!strcmp(counter->account, account))
			return counter->count;
	}
	return 0;
}

/* Adds a count to the account's sum in the table CTX. */
static void sum_add(void *ctx, const usage_entry_t *entry)
{
	uint64_t *sum = g_hash_table_lookup(ctx, entry->account);

	if (!sum) {
		sum = g_new0(uint64_t, 1);
		g_hash_table_insert(ctx, (char *)entry->account, sum);
	}
	*sum += entry->count;
}

/* Calls EACH for each account with counts in a window, with the sum of all gateways. */
void usage_each_sum(const usage_t *usage, int64_t window, usage_each_sum_t each,
		    void *ctx)
{
	const window_t *found = usage_find_window(usage, window);
	GHashTable *sums;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	if (!found)
		return;
	sums = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_hash_table_iter_init(&iter, found->counter_sets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		counter_set_each(found, value, sum_add, sums);
	g_hash_table_iter_init(&iter, sums);
	while (g_hash_table_iter_next(&iter, &key, &value))
		each(ctx, key, *(uint64_t *)value);
	g_hash_table_unref(sums);
}

/* Returns the first window in [FROM, TO) that has counts, or TO if none has. */
int64_t usage_first_window(const usage_t *usage, int64_t from, int64_t to)
{
	int64_t first = to;

	for (guint i = 0; i < usage->windows->len; i++) {
		const window_t *window = g_ptr_array_index(usage->windows, i);

		if (window->number >= from)
			first = MIN(first, window->number);
	}
	return first;
}

/* Frees the counts of the windows before BEFORE. */
void usage_discard(usage_t *usage, int64_t before)
{
	for (guint i = usage->windows->len; i > 0; i--) {
		const window_t *window = g_ptr_array_index(usage->windows, i - 1);

		if (window->number < before)
			g_ptr_array_remove_index_fast(usage->windows, i - 1);
	}
}

/*
 * Returns the number of windows, including the current one, whose counts have to be
 * retained: those whose reports are not overdue. A report is due DUE after the end of
 * its window, which is WINDOW long.
 */
int64_t usage_windows_retained(pd_time_t window, pd_time_t due)
{
	return (due + window - 1) / window + 1;
}

/* Returns the minimum time between two sends of counts by one of GATEWAY_COUNT gateways. */
pd_time_t usage_send_period(unsigned int gateway_count)
{
	return CLAMP(gateway_count * SEND_PERIOD_PER_GATEWAY, SEND_PERIOD_MIN,
		     SEND_PERIOD_MAX);
}

/*
 * Returns how long one of GATEWAY_COUNT gateways waits after its start before it writes a
 * checkpoint. All may start at once, and need that time to agree on the writers.
 */
pd_time_t usage_first_write_delay(unsigned int gateway_count)
{
	return CLAMP(gateway_count * FIRST_WRITE_DELAY_PER_GATEWAY,
		     FIRST_WRITE_DELAY_MIN, FIRST_WRITE_DELAY_MAX);
}

/*
 * Returns the period at which each writer has to write the counts that gateways send
 * every SEND_PERIOD, so that KILLS_PER_WINDOW kills of all gateways in one window lose
 * less than a report may miss. The writers take turns, so counts wait for at most
 * 1/USAGE_WRITERS of a period. A writer that has run for an AGE of less than a window
 * writes twice as often: all gateways may just have been killed, and the losses of
 * several kills in one window add up.
 */
pd_time_t usage_write_period(pd_time_t window, pd_time_t send_period, pd_time_t age)
{
	pd_time_t period = USAGE_WRITERS *
			   (window / USAGE_ERROR_DIVISOR / KILLS_PER_WINDOW -
			    WRITE_LATENCY - send_period);

	period = CLAMP(period, WRITE_PERIOD_MIN, WRITE_PERIOD_MAX);
	return age < window ? period / 2 : period;
}

/* Returns whether it is writer WRITER's turn (0 is the first) at time of day WALL. */
bool usage_is_writer_turn(pd_time_t wall, pd_time_t period, int writer)
{
	return wall / (period / USAGE_WRITERS) % USAGE_WRITERS == writer;
}
