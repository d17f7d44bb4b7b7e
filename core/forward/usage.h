/*
 * How many requests of each client account began to run in each window of time,
 * here and at the peers, so that whoever reports can sum them up.
 */
#ifndef PISTACHIO_USAGE_H
#define PISTACHIO_USAGE_H

#include <glib.h>
#include <stdint.h>

typedef struct usage usage_t;

typedef void (*usage_each_t)(void *ctx, int64_t window, const char *account,
			     uint64_t count);

usage_t *usage_create(void);
void usage_destroy(usage_t *usage);
void usage_add(usage_t *usage, int64_t window, const char *account);
void usage_heard(usage_t *usage, const char *peer, int64_t window,
		 const char *account, uint64_t count);
void usage_each_own(const usage_t *usage, int64_t from, usage_each_t each,
		    void *ctx);
void usage_sum(const usage_t *usage, int64_t window, usage_each_t each, void *ctx);
void usage_forget(usage_t *usage, int64_t before);

#endif
