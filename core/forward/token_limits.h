/*
 * Rate limits of the client accounts over all gateways together. Every gateway keeps a
 * copy of each account's whole token bucket and takes out the tokens that it and the
 * others use.
 */
#ifndef PISTACHIO_TOKEN_LIMITS_H
#define PISTACHIO_TOKEN_LIMITS_H

#include "core/forward/config.h"

typedef struct token_limits_config {
	pd_time_t window;
	double overage; /* fraction of the limit by which it may be exceeded */
	double slack; /* tokens by which the limit may be exceeded in a window */
} token_limits_config_t;

typedef struct token_limits token_limits_t;

/* The basis of the decision on a request. */
typedef struct token_decision {
	double level; /* of the bucket before the request */
	double needed; /* tokens that the level had to cover */
	pd_time_t retry_after; /* 0 if it was granted */
} token_decision_t;

/* A gateway's view of an account's use. */
typedef struct token_use {
	double granted; /* tokens taken from the bucket here since this gateway started */
	double requested; /* granted plus the tokens refused */
	bool has_level; /* the account's limit is known here */
	double level; /* of the shared bucket */
} token_use_t;

typedef void (*token_limits_each_t)(void *ctx, const char *account,
				    const token_use_t *use);

token_limits_t *token_limits_create(const token_limits_config_t *config, bool full);
void token_limits_configure(token_limits_t *limits,
			    const token_limits_config_t *config);
void token_limits_set_gateway_count(token_limits_t *limits,
				    unsigned int gateway_count);
void token_limits_set_lag(token_limits_t *limits, pd_time_t lag);
void token_limits_seed(token_limits_t *limits, uint32_t seed);
void token_limits_begin_empty(token_limits_t *limits);
void token_limits_restore(token_limits_t *limits, const char *account,
			  double level, double demand, pd_time_t now);
void token_limits_add_account(token_limits_t *limits,
			      const forward_account_t *account, pd_time_t now);
void token_limits_destroy(token_limits_t *limits);
bool token_limits_take(token_limits_t *limits, const forward_account_t *account,
		       double amount, pd_time_t now, token_decision_t *decision);
bool token_limits_take_resumed(token_limits_t *limits,
			       const forward_account_t *account, double amount,
			       pd_time_t now, token_decision_t *decision);
void token_limits_refund(token_limits_t *limits, const char *account,
			 double amount);
void token_limits_record_peer_use(token_limits_t *limits, const char *account,
				  const char *peer, double granted, bool recent,
				  pd_time_t now);
void token_limits_record_peer_demand(token_limits_t *limits,
				     const char *account, const char *peer,
				     double requested, pd_time_t now);
double token_limits_demand(const token_limits_t *limits, const char *account,
			   pd_time_t now);
void token_limits_mark_reported(token_limits_t *limits);
void token_limits_set_level(token_limits_t *limits, const char *account,
			    double level, pd_time_t now);
void token_limits_remove_peer(token_limits_t *limits, const char *peer,
			      pd_time_t now);
void token_limits_clear_peers(token_limits_t *limits);
void token_limits_raise_level(token_limits_t *limits, const char *account,
			      double level, pd_time_t now);
void token_limits_each_changed(token_limits_t *limits, pd_time_t now,
			       token_limits_each_t each, void *ctx);
void token_limits_each(token_limits_t *limits, pd_time_t now,
		       token_limits_each_t each, void *ctx);

#endif
