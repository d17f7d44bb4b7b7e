/* Counts by window, by the entry that counted, and by account. */
#include "core/forward/usage.h"

#include <string.h>

#define OWN "" /* no peer has this name */
#define RECORD "record" /* nor this: peers' names have a number after a # */

typedef struct count {
	int64_t window;
	char *entry; /* who counted, or RECORD */
	char *account;
	uint64_t value; /* as heard; of the record: what it says */
	/* Of entries' counts, while this entry keeps the record: */
	uint64_t kept; /* as the entry told the keeper */
	uint64_t covered; /* of that: is in the record as well */
	uint64_t composed; /* in the record that is being written */
	/* Of own counts, while another entry keeps the record: */
	uint64_t told; /* the value that the keeper was told last */
	uint64_t answered; /* told before the keeper was heard last */
	uint64_t prior; /* known to keepers before this one */
} count_t;

struct usage {
	GPtrArray *counts; /* of count_t: windows x entries x accounts */
	GHashTable *index; /* the same, by these three; borrows them */
};

static guint count_hash(gconstpointer data)
{
	const count_t *count = data;

	return g_str_hash(count->entry) ^ (g_str_hash(count->account) * 31) ^
	       (guint)count->window;
}

static gboolean count_equal(gconstpointer a, gconstpointer b)
{
	const count_t *left = a;
	const count_t *right = b;

	return left->window == right->window &&
	       !strcmp(left->entry, right->entry) &&
	       !strcmp(left->account, right->account);
}

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
	usage->index = g_hash_table_new(count_hash, count_equal);
	return usage;
}

/* Frees the counts; NULL is allowed. */
void usage_destroy(usage_t *usage)
{
	if (!usage)
		return;
	g_hash_table_unref(usage->index);
	g_ptr_array_unref(usage->counts);
	g_free(usage);
}

static bool count_is_of(const count_t *count, const char *entry)
{
	return !strcmp(count->entry, entry);
}

static count_t *usage_find(const usage_t *usage, int64_t window,
			   const char *entry, const char *account)
{
	const count_t wanted = { .window = window,
				 .entry = (char *)entry,
				 .account = (char *)account };

	return g_hash_table_lookup(usage->index, &wanted);
}

static count_t *usage_count(usage_t *usage, int64_t window, const char *entry,
			    const char *account)
{
	count_t *count = usage_find(usage, window, entry, account);

	if (count)
		return count;
	count = g_new0(count_t, 1);
	count->window = window;
	count->entry = g_strdup(entry);
	count->account = g_strdup(account);
	g_ptr_array_add(usage->counts, count);
	g_hash_table_add(usage->index, count);
	return count;
}

/* Counts one request of this entry. */
void usage_add(usage_t *usage, int64_t window, const char *account)
{
	usage_count(usage, window, OWN, account)->value++;
}

/* Takes a peer's count; counts only grow, so an older one changes nothing. */
void usage_heard(usage_t *usage, const char *peer, const usage_entry_t *entry)
{
	count_t *known = usage_count(usage, entry->window, peer, entry->account);

	known->value = MAX(known->value, entry->count);
}

/* Takes a peer's count that it tells to this entry as the record's keeper. */
void usage_keep(usage_t *usage, const char *peer, const usage_entry_t *entry)
{
	count_t *known = usage_count(usage, entry->window, peer, entry->account);

	known->value = MAX(known->value, entry->count);
	known->kept = MAX(known->kept, entry->count);
	known->covered = MAX(known->covered, entry->prior);
}

/* Calls EACH for this entry's own counts of the windows from FROM on. */
void usage_each_own(const usage_t *usage, int64_t from, usage_each_t each, void *ctx)
{
	for (guint i = 0; i < usage->counts->len; i++) {
		const count_t *count = g_ptr_array_index(usage->counts, i);
		const usage_entry_t entry = { count->window, count->account,
					      count->value, count->prior };

		if (count->window >= from && count_is_of(count, OWN))
			each(ctx, &entry);
	}
}

/* Calls EACH for own counts that have grown since the keeper was told. */
void usage_each_news(usage_t *usage, usage_each_t each, void *ctx)
{
	for (guint i = 0; i < usage->counts->len; i++) {
		count_t *count = g_ptr_array_index(usage->counts, i);
		const usage_entry_t entry = { count->window, count->account,
					      count->value, count->prior };

		if (!count_is_of(count, OWN) || count->told == count->value)
			continue;
		count->told = count->value;
		each(ctx, &entry);
	}
}

/* Notes that the keeper was heard: it has what it was told before. */
void usage_keeper_answered(usage_t *usage)
{
	for (guint i = 0; i < usage->counts->len; i++) {
		count_t *count = g_ptr_array_index(usage->counts, i);

		count->answered = MAX(count->answered, count->told);
	}
}

/*
 * Notes that another entry keeps the record now, which was told nothing yet. What
 * the one before was told since it was last heard is not taken for known: a keeper
 * that dies is told for seconds in vain.
 */
void usage_other_keeper(usage_t *usage)
{
	for (guint i = 0; i < usage->counts->len; i++) {
		count_t *count = g_ptr_array_index(usage->counts, i);

		count->prior = MAX(count->prior, count->answered);
		count->told = 0;
	}
}

/* What is known of an account in a window, before it is made one number. */
typedef struct tally {
	uint64_t heard; /* from all entries that were heard, and counted here */
	uint64_t uncovered; /* told to the keeper, and not on record */
	uint64_t recorded;
} tally_t;

static void tally_add(GHashTable *tallies, const count_t *count)
{
	tally_t *tally = g_hash_table_lookup(tallies, count->account);

	if (!tally) {
		tally = g_new0(tally_t, 1);
		g_hash_table_insert(tallies, count->account, tally);
	}
	if (count_is_of(count, RECORD)) {
		tally->recorded = count->value;
		return;
	}
	tally->heard += count->value;
	tally->uncovered += count->kept - MIN(count->covered, count->kept);
}

/* Returns tallies of a window by account; names are borrowed. */
static GHashTable *usage_tallies(const usage_t *usage, int64_t window)
{
	GHashTable *tallies =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);

	for (guint i = 0; i < usage->counts->len; i++) {
		const count_t *count = g_ptr_array_index(usage->counts, i);

		if (count->window == window)
			tally_add(tallies, count);
	}
	return tallies;
}

/* Calls EACH for each account that is counted in a window, with the sum. */
void usage_sum(const usage_t *usage, int64_t window, usage_each_t each, void *ctx)
{
	GHashTable *tallies = usage_tallies(usage, window);
	GHashTableIter iter;
	gpointer account;
	gpointer value;

	g_hash_table_iter_init(&iter, tallies);
	while (g_hash_table_iter_next(&iter, &account, &value)) {
		const tally_t *tally = value;
		const usage_entry_t entry = {
			.window = window,
			.account = account,
			.count = MAX(tally->heard, tally->recorded),
		};

		each(ctx, &entry);
	}
	g_hash_table_unref(tallies);
}

/*
 * Says whether a peer has told this entry what is not on record yet. That must be
 * written even if another entry keeps the record by now: the peer has no cause to
 * tell it again.
 */
bool usage_owes(const usage_t *usage)
{
	for (guint i = 0; i < usage->counts->len; i++) {
		const count_t *count = g_ptr_array_index(usage->counts, i);

		if (count->kept > count->covered && !count_is_of(count, OWN))
			return true;
	}
	return false;
}

/*
 * Takes what some entry has written to the record. All entries may be killed at
 * once, and with them all that they told each other: the counts of the window of
 * the kill were missing in its report, and those of the one before it if that was
 * not reported yet.
 */
void usage_adopt(usage_t *usage, const GArray *entries)
{
	for (guint i = 0; i < entries->len; i++) {
		const usage_entry_t *entry =
			&g_array_index(entries, usage_entry_t, i);
		count_t *record = usage_count(usage, entry->window, RECORD,
					      entry->account);

		record->value = MAX(record->value, entry->count);
	}
	for (guint i = 0; i < usage->counts->len; i++) {
		count_t *count = g_ptr_array_index(usage->counts, i);

		/* Of peers' counts their priors say the same. */
		if (count_is_of(count, OWN))
			count->covered = MAX(count->covered,
					     MAX(count->answered, count->prior));
	}
}

/* Notes an account's sum that is being written; it is on record if that succeeds. */
static void usage_begin_record(usage_t *usage, const usage_entry_t *entry)
{
	usage_count(usage, entry->window, RECORD, entry->account)->composed =
		entry->count;
}

/*
 * Calls EACH for what the record has to say of the windows from FROM on. Once it
 * is written, usage_recorded() must be called.
 */
void usage_compose(usage_t *usage, int64_t from, usage_each_t each, void *ctx)
{
	int64_t to = from;

	for (guint i = 0; i < usage->counts->len; i++) {
		count_t *count = g_ptr_array_index(usage->counts, i);

		if (count_is_of(count, OWN))
			count->kept = count->value;
		count->composed = count->kept;
		to = MAX(to, count->window);
	}
	for (int64_t window = from; window <= to; window++) {
		GHashTable *tallies = usage_tallies(usage, window);
		GHashTableIter iter;
		gpointer account;
		gpointer value;

		g_hash_table_iter_init(&iter, tallies);
		while (g_hash_table_iter_next(&iter, &account, &value)) {
			const tally_t *tally = value;
			const usage_entry_t entry = {
				.window = window,
				.account = account,
				.count = tally->recorded + tally->uncovered,
			};

			usage_begin_record(usage, &entry);
			each(ctx, &entry);
		}
		g_hash_table_unref(tallies);
	}
}

/* Notes that what was composed last is on record. */
void usage_recorded(usage_t *usage)
{
	for (guint i = 0; i < usage->counts->len; i++) {
		count_t *count = g_ptr_array_index(usage->counts, i);

		if (count_is_of(count, RECORD)) {
			count->value = MAX(count->value, count->composed);
			continue;
		}
		count->covered = MAX(count->covered, count->composed);
		/* Whoever is told of it next learns that it is on record. */
		if (count_is_of(count, OWN))
			count->prior = MAX(count->prior, count->composed);
	}
}

/* Drops the windows before one. */
void usage_forget(usage_t *usage, int64_t before)
{
	for (guint i = usage->counts->len; i > 0; i--) {
		count_t *count = g_ptr_array_index(usage->counts, i - 1);

		if (count->window >= before)
			continue;
		g_hash_table_remove(usage->index, count);
		g_ptr_array_remove_index_fast(usage->counts, i - 1);
	}
}
