/*
 * Limits the retries that this entry adds to its callers' own requests. Without
 * a budget a wave of failures multiplies the load just when capacity is lowest.
 * Moves away from a VM with a reclaim notice are not retries.
 */
#ifndef PISTACHIO_RETRY_BUDGET_H
#define PISTACHIO_RETRY_BUDGET_H

#include <stdbool.h>

typedef struct retry_budget {
	double tokens;
} retry_budget_t;

void retry_budget_init(retry_budget_t *budget);
void retry_budget_credit(retry_budget_t *budget);
bool retry_budget_spend(retry_budget_t *budget);

#endif
