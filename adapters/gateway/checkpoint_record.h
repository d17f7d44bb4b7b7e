/*
 * What all gateways know together and none may forget, as it lies in the store:
 * how many they are, what accounts have left of their limits, and the counts of
 * usage. Whoever starts reads it.
 */
#ifndef PISTACHIO_GATEWAY_CHECKPOINT_RECORD_H
#define PISTACHIO_GATEWAY_CHECKPOINT_RECORD_H

#include <glib.h>

#include "core/error.h"
#include "core/forward/usage.h"

/* What is left of an account's limit, and what its callers ask for. */
typedef struct account_record {
	char *account;
	double level; /* of the bucket that all gateways share, in tokens */
	double demand; /* in tokens a second, refused ones included */
} account_record_t;

typedef struct checkpoint_record {
	char *writer; /* which start of which gateway; NULL: not said */
	unsigned int gateways; /* that share what is limited in sum */
	GArray *accounts; /* of account_record_t */
	GArray *counts; /* of usage_entry_t, with names of their own */
} checkpoint_record_t;

checkpoint_record_t *checkpoint_record_create(void);
checkpoint_record_t *checkpoint_record_read(const char *text, pd_error_t *err);
void checkpoint_record_destroy(checkpoint_record_t *record);
void checkpoint_record_account(checkpoint_record_t *record, const char *account,
			       double level, double demand);
void checkpoint_record_count(checkpoint_record_t *record, int64_t window,
			     const char *account, uint64_t count);
char *checkpoint_record_write(const checkpoint_record_t *record);

#endif
