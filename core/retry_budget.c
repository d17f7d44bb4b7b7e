/* The retry budget: each request earns a part of a retry. */
#include "core/retry_budget.h"

#define RETRIES_PER_REQUEST 0.2 /* of a retry, by each new request */
#define RETRY_TOKENS_MAX 50.0 /* saved up at most */

/* Fills the budget, so that the first failures may be retried. */
void retry_budget_init(retry_budget_t *budget)
{
	budget->tokens = RETRY_TOKENS_MAX;
}

/* Credits one new request. */
void retry_budget_credit(retry_budget_t *budget)
{
	budget->tokens += RETRIES_PER_REQUEST;
	if (budget->tokens > RETRY_TOKENS_MAX)
		budget->tokens = RETRY_TOKENS_MAX;
}

/* Takes one retry; returns false if there is none. */
bool retry_budget_spend(retry_budget_t *budget)
{
	if (budget->tokens < 1.0)
		return false;
	budget->tokens -= 1.0;
	return true;
}
