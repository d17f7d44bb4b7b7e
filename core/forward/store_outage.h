/*
 * Detects when the store answered no gateway, so that registrations of
 * upstreams may have expired.
 */
#ifndef PISTACHIO_STORE_OUTAGE_H
#define PISTACHIO_STORE_OUTAGE_H

#include "ports/clock.h"

typedef struct store_outage store_outage_t;

store_outage_t *store_outage_create(pd_time_t now);
void store_outage_destroy(store_outage_t *outage);
void store_outage_record_answer(store_outage_t *outage, pd_time_t at);
void store_outage_record_peer_message(store_outage_t *outage, pd_time_t now);
void store_outage_record_failure(store_outage_t *outage, pd_time_t sent_at,
				 pd_time_t now);
pd_time_t store_outage_end(const store_outage_t *outage);

#endif
