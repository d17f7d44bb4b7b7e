/* The retry budget: a token bucket that each new request refills a little. */
#include "core/retry_budget.h"

#define RETRIES_PER_REQUEST 0.2 /* tokens added by each new request */
#define RETRY_TOKENS_MAX 50.0 /* bucket size */

/* Fills the bucket, so that the first failures may be retried. */
void retry_budget_init(retry_budget_t *budget)
{
	budget->tokens = RETRY_TOKENS_MAX;
}

/* Adds the tokens of one new request. */
void retry_budget_credit(retry_budget_t *budget)
{
	budget->tokens += RETRIES_PER_REQUEST;
	if (budget->tokens > RETRY_TOKENS_MAX)
		budget->tokens = RETRY_TOKENS_MAX;
}

/* Takes the token of one retry. Returns false if there is none. */
bool retry_budget_spend(retry_budget_t *budget)
{
	if (budget->tokens < 1.0)
		return false;
	budget->tokens -= 1.0;
	return true;
}
