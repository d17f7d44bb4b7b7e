/*
 * Shares of client accounts in the part of a service's work that is admitted. It answers
 * a shortage in which some accounts ask for many times their usual: without shares each is
 * admitted in proportion to what it asks for, and pushes the others out.
 * docs/design/account-shares.md has the reasons.
 */
#ifndef PISTACHIO_ACCOUNT_SHARES_H
#define PISTACHIO_ACCOUNT_SHARES_H

#include <glib.h>
#include <stdbool.h>

/* Accounts that are told apart; the part that fits of the work of others is admitted. */
#define ACCOUNT_SHARES_MAX 256

/* A request of an account. */
typedef struct account_request {
	const char *account;
	double weight; /* its share relative to others; 0: the mean of those that have one */
	double work;
	bool returned; /* its caller was told to come back, and did */
} account_request_t;

/* What an account asks all gateways for. */
typedef struct fleet_demand {
	const char *account;
	double weight; /* as in account_request_t */
	double per_second; /* work, or another unit that is the same for all accounts */
} fleet_demand_t;

/* Accounts by whether shares limit them. */
typedef struct account_counts {
	unsigned int below; /* the common level: admitted whole */
	unsigned int limited;
} account_counts_t;

typedef struct account_shares account_shares_t;

account_shares_t *account_shares_create(void);
void account_shares_destroy(account_shares_t *shares);
void account_shares_record(account_shares_t *shares,
			   const account_request_t *request);
void account_shares_set_demand(account_shares_t *shares,
			       const fleet_demand_t *demand);
double account_shares_work(const account_shares_t *shares, const char *account);
void account_shares_decay(account_shares_t *shares, double part);
double account_shares_part(account_shares_t *shares,
			   const account_request_t *request, double part);
void account_shares_count(account_shares_t *shares, double part,
			  account_counts_t *counts);

#endif
