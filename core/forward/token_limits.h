/*
 * What each client account may use, over all entries together. Every entry
 * keeps the account's whole bucket and takes out what it and the others use.
 */
#ifndef PISTACHIO_TOKEN_LIMITS_H
#define PISTACHIO_TOKEN_LIMITS_H

#include "core/forward/config.h"

typedef struct token_limits token_limits_t;

token_limits_t *token_limits_create(void);
void token_limits_destroy(token_limits_t *limits);
bool token_limits_take(token_limits_t *limits, const forward_account_t *account,
		       double amount, pd_time_t now, pd_time_t *retry_after);
void token_limits_return(token_limits_t *limits, const char *account,
			 double amount);
void token_limits_heard(token_limits_t *limits, const char *account,
			const char *peer, double total, pd_time_t now);
void token_limits_each(const token_limits_t *limits,
		       void (*each)(void *ctx, const char *account, double total),
		       void *ctx);

#endif
