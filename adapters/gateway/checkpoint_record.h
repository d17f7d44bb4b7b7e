/*
 * What a start has to know of the fleet before it, as it lies in the store: how
 * many gateways there are, and what accounts have left of their limits.
 */
#ifndef PISTACHIO_GATEWAY_CHECKPOINT_RECORD_H
#define PISTACHIO_GATEWAY_CHECKPOINT_RECORD_H

#include <glib.h>

#include "core/error.h"

/* What is left of an account's limit, and what its callers ask for. */
typedef struct account_record {
	char *account;
	double level; /* of the bucket that all gateways share, in tokens */
	double demand; /* in tokens a second, refused ones included */
} account_record_t;

typedef struct checkpoint_record {
	unsigned int gateways; /* that share what is limited in sum */
	GArray *accounts; /* of account_record_t */
} checkpoint_record_t;

checkpoint_record_t *checkpoint_record_create(void);
checkpoint_record_t *checkpoint_record_read(const char *text, pd_error_t *err);
void checkpoint_record_destroy(checkpoint_record_t *record);
void checkpoint_record_account(checkpoint_record_t *record, const char *account,
			       double level, double demand);
char *checkpoint_record_write(const checkpoint_record_t *record);

#endif
