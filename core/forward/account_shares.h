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

/* Accounts that are told apart; those beyond share one entry. */
#define ACCOUNT_SHARES_MAX 256

/* What one account asks for. */
typedef struct account_request {
	const char *account;
	double weight; /* its share relative to others; above 0 */
	/* work per second that it asks all gateways for; 0: not known */
	double fleet_demand;
	double work;
	bool returned; /* its caller was told to come back, and did */
} account_request_t;

typedef struct account_shares account_shares_t;

account_shares_t *account_shares_create(void);
void account_shares_destroy(account_shares_t *shares);
void account_shares_record(account_shares_t *shares,
			   const account_request_t *request);
void account_shares_decay(account_shares_t *shares, double part);
double account_shares_part(account_shares_t *shares,
			   const account_request_t *request, double part);

#endif
