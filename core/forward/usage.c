/* Counts by window, by the entry that counted, and by account. */
#include "core/forward/usage.h"

#include <string.h>

#define OWN "" /* no peer has this name */

typedef struct count {
	int64_t window;
	char *entry; /* who counted */
	char *account;
	uint64_t value;
} count_t;

struct usage {
	GPtrArray *counts; /* of count_t; few: windows x entries x accounts */
};

static void count_destroy(void *data)
{
	count_t *count = data;

	g_free(count->entry);
	g_free(count->account);
	g_free(count);
}

/* Returns an empty count; the caller owns it. */
usage_t *usage_create(void)
{
	usage_t *usage = g_new0(usage_t, 1);

	usage->counts = g_ptr_array_new_with_free_func(count_destroy);
	return usage;
}

/* Frees the counts; NULL is allowed. */
void usage_destroy(usage_t *usage)
{
	if (!usage)
		return;
	g_ptr_array_unref(usage->counts);
	g_free(usage);
}

static count_t *usage_count(usage_t *usage, int64_t window, const char *entry,
			    const char *account)
{
	count_t *count;

	/* The newest are last and the most asked for. */
	for (guint i = usage->counts->len; i > 0; i--) {
		count = g_ptr_array_index(usage->counts, i - 1);
		if (count->window == window && !strcmp(count->entry, entry) &&
		    !strcmp(count->account, account))
			return count;
	}
	count = g_new0(count_t, 1);
	count->window = window;
	count->entry = g_strdup(entry);
	count->account = g_strdup(account);
	g_ptr_array_add(usage->counts, count);
	return count;
}

/* Counts one request of this entry. */
void usage_add(usage_t *usage, int64_t window, const char *account)
{
	usage_count(usage, window, OWN, account)->value++;
}

/* Takes a peer's count; counts only grow, so an older one changes nothing. */
void usage_heard(usage_t *usage, const char *peer, int64_t window,
		 const char *account, uint64_t count)
{
	count_t *known = usage_count(usage, window, peer, account);

	known->value = MAX(known->value, count);
}

/* Calls EACH for this entry's own counts of the windows from FROM on. */
void usage_each_own(const usage_t *usage, int64_t from, usage_each_t each, void *ctx)
{
	for (guint i = 0; i < usage->counts->len; i++) {
		const count_t *count = g_ptr_array_index(usage->counts, i);

		if (count->window >= from && !strcmp(count->entry, OWN))
			each(ctx, count->window, count->account, count->value);
	}
}

/* Calls EACH for each entry's count of a window; an account may come often. */
void usage_sum(const usage_t *usage, int64_t window, usage_each_t each, void *ctx)
{
	for (guint i = 0; i < usage->counts->len; i++) {
		const count_t *count = g_ptr_array_index(usage->counts, i);

		if (count->window == window)
			each(ctx, window, count->account, count->value);
	}
}

/* Drops the windows before one. */
void usage_forget(usage_t *usage, int64_t before)
{
	for (guint i = usage->counts->len; i > 0; i--) {
		const count_t *count = g_ptr_array_index(usage->counts, i - 1);

		if (count->window < before)
			g_ptr_array_remove_index(usage->counts, i - 1);
	}
}
