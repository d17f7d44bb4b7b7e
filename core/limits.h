/*
 * Rate limits of accounts: one token bucket per account for the share of its
 * rate that this entry may grant.
 */
#ifndef PISTACHIO_LIMITS_H
#define PISTACHIO_LIMITS_H

#include "core/bundle.h"

typedef struct limits limits_t;

limits_t *limits_create(void);
void limits_destroy(limits_t *limits);
bool limits_take(limits_t *limits, const account_t *account, double share,
		 pd_time_t now, pd_time_t *retry_after);

#endif
