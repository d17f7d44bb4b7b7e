/*
 * Grow-only counters (a G-Counter CRDT) of the requests of each client account that
 * began to run in each time window, one per gateway incarnation, that is, per run of
 * a gateway process. Counters are merged by maximum, so they may be received in any
 * order, over any path and any number of times. usage-notes.md bounds how many
 * counts are lost when all gateways are killed.
 */
#ifndef PISTACHIO_USAGE_H
#define PISTACHIO_USAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ports/clock.h"

/* A report may miss at most 1/USAGE_ERROR_DIVISOR of the requests of its window. */
#define USAGE_ERROR_DIVISOR 20
/* Number of checkpoint writers; each stores all counts in an object of its own. */
#define USAGE_WRITERS 2

typedef struct usage usage_t;

/* The count of one account in one window by one incarnation of a gateway. */
typedef struct usage_entry {
	int64_t window; /* window number: time of day / window length */
	uint64_t incarnation_id; /* see usage_incarnation_id() */
	const char *account;
	uint64_t count;
} usage_entry_t;

typedef void (*usage_each_t)(void *ctx, const usage_entry_t *entry);
typedef void (*usage_each_sum_t)(void *ctx, const char *account, uint64_t sum);

size_t usage_vm_len(const char *incarnation);
uint64_t usage_incarnation_id(const char *incarnation);
uint32_t usage_incarnation_vm(uint64_t incarnation_id);
uint64_t usage_own_id(const usage_t *usage);
usage_t *usage_create(const char *incarnation);
void usage_destroy(usage_t *usage);
void usage_increment(usage_t *usage, int64_t window, const char *account);
void usage_merge(usage_t *usage, const usage_entry_t *entry);
void usage_each(const usage_t *usage, int64_t from, usage_each_t each, void *ctx);
void usage_each_own(const usage_t *usage, int64_t from, usage_each_t each,
		    void *ctx);
void usage_each_unsent(usage_t *usage, usage_each_t each, void *ctx);
void usage_mark_unsent(usage_t *usage);
uint64_t usage_count(const usage_t *usage, int64_t window,
		     uint64_t incarnation_id, const char *account);
void usage_each_sum(const usage_t *usage, int64_t window, usage_each_sum_t each,
		    void *ctx);
int64_t usage_first_window(const usage_t *usage, int64_t from, int64_t to);
void usage_discard(usage_t *usage, int64_t before);
int64_t usage_windows_retained(pd_time_t window, pd_time_t due);
bool usage_has_unsent(const usage_t *usage);
pd_time_t usage_send_period(unsigned int gateway_count);
pd_time_t usage_first_write_delay(unsigned int gateway_count);
pd_time_t usage_write_period(pd_time_t window, pd_time_t send_period,
			     pd_time_t age);
bool usage_is_writer_turn(pd_time_t wall, pd_time_t period, int writer);

#endif
