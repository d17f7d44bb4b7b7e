/*
 * Requests and answers of one roll-out by route and version: those of this gateway, and
 * those that peers reported.
 */
#ifndef PISTACHIO_ROLLOUT_COUNTS_H
#define PISTACHIO_ROLLOUT_COUNTS_H

#include <glib.h>

#include "core/forward/rollout_judge.h"

/* Routes that are counted one by one; those beyond share a row. */
#define ROLLOUT_ROUTES_MAX 16

typedef enum rollout_side {
	ROLLOUT_OLD, /* all versions but the new one */
	ROLLOUT_NEW,
	ROLLOUT_SIDES /* number of sides */
} rollout_side_t;

/* The counts of one route. */
typedef struct rollout_row {
	uint32_t route; /* hash of its name; 0: all routes beyond the limit */
	rollout_tally_t sides[ROLLOUT_SIDES];
} rollout_row_t;

typedef struct rollout_counts rollout_counts_t;

rollout_counts_t *rollout_counts_create(void);
void rollout_counts_destroy(rollout_counts_t *counts);
rollout_row_t *rollout_counts_own(rollout_counts_t *counts, uint32_t route);
rollout_row_t *rollout_counts_of_peer(rollout_counts_t *counts,
				      const char *peer, uint32_t route);
void rollout_counts_clear_peers(rollout_counts_t *counts);
const GArray *rollout_counts_own_rows(const rollout_counts_t *counts);
GArray *rollout_counts_sum(const rollout_counts_t *counts, const char *except_peer);
const rollout_row_t *rollout_rows_find(const GArray *rows, uint32_t route);
rollout_row_t *rollout_rows_get(GArray *rows, uint32_t route);
rollout_tally_t rollout_rows_total(const GArray *rows, rollout_side_t side);

#endif
