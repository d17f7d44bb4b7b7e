/*
 * What a start has to know of the fleet before it, as it lies in the store: how
 * many gateways there are and which of them leads, what accounts have left of their
 * limits, and which clocks are off.
 */
#ifndef PISTACHIO_GATEWAY_CHECKPOINT_RECORD_H
#define PISTACHIO_GATEWAY_CHECKPOINT_RECORD_H

#include <glib.h>

#include "core/error.h"
#include "ports/clock.h"

/* What is left of an account's limit, and what its callers ask for. */
typedef struct account_record {
	char *account;
	double level; /* of the bucket that all gateways share, in tokens */
	double demand; /* in tokens a second, refused ones included */
} account_record_t;

/* How far the clock of a gateway's VM is ahead of the fleet's time. */
typedef struct clock_record {
	char *node; /* id of the gateway's VM */
	pd_time_t offset;
} clock_record_t;

typedef struct checkpoint_record {
	unsigned int fleet_size; /* that share what is limited in sum */
	char *leader; /* id of its VM; NULL: none is known */
	pd_time_t written_at; /* time of day; 0: unknown */
	pd_time_t previous_write_at; /* when one was written last before its writer started */
	GArray *accounts; /* of account_record_t */
	GArray *clocks; /* of clock_record_t */
} checkpoint_record_t;

checkpoint_record_t *checkpoint_record_create(void);
checkpoint_record_t *checkpoint_record_parse(const char *text, pd_error_t *err);
void checkpoint_record_destroy(checkpoint_record_t *record);
void checkpoint_record_add_account(checkpoint_record_t *record, const char *account,
				   double level, double demand);
void checkpoint_record_add_clock(checkpoint_record_t *record, const char *node,
				 pd_time_t offset);
char *checkpoint_record_format(const checkpoint_record_t *record);
char *checkpoint_record_stamp(const char *text, pd_time_t at);

#endif
