/*
 * How many requests of each client account began to run in each window of time,
 * here and at the peers, and what a record says of it that outlives all entries.
 * usage-notes.md has the argument why no request is counted twice.
 */
#ifndef PISTACHIO_USAGE_H
#define PISTACHIO_USAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct usage usage_t;

/* What is counted: one account in one window. */
typedef struct usage_entry {
	int64_t window;
	const char *account;
	uint64_t count;
	/* Of an entry's own count: what earlier keepers of the record know. */
	uint64_t prior;
} usage_entry_t;

typedef void (*usage_each_t)(void *ctx, const usage_entry_t *entry);

usage_t *usage_create(void);
void usage_destroy(usage_t *usage);
void usage_add(usage_t *usage, int64_t window, const char *account);
void usage_heard(usage_t *usage, const char *peer, const usage_entry_t *entry);
void usage_each_own(const usage_t *usage, int64_t from, usage_each_t each,
		    void *ctx);
void usage_sum(const usage_t *usage, int64_t window, usage_each_t each, void *ctx);
void usage_forget(usage_t *usage, int64_t before);

/* For whoever keeps the record, and to tell it what to keep. */
void usage_each_news(usage_t *usage, usage_each_t each, void *ctx);
void usage_keeper_answered(usage_t *usage);
void usage_other_keeper(usage_t *usage);
void usage_keep(usage_t *usage, const char *peer, const usage_entry_t *entry);
bool usage_owes(const usage_t *usage);
void usage_adopt(usage_t *usage, const GArray *entries);
void usage_compose(usage_t *usage, int64_t from, usage_each_t each, void *ctx);
void usage_recorded(usage_t *usage);

#endif
