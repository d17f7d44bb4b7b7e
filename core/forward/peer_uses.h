/*
 * What the other entries take out of one account's bucket: their reported totals,
 * and between two reports what they take at their last rate.
 */
#ifndef PISTACHIO_PEER_USES_H
#define PISTACHIO_PEER_USES_H

#include <stdbool.h>

#include "ports/clock.h"

/* A rate is measured over at least this, so that one request is no rate. */
#define PEER_USES_INTERVAL_MIN (100 * PD_MSEC)
#define PEER_USES_RATE_WEIGHT 0.5 /* of the newest measure */

typedef struct peer_uses peer_uses_t;

peer_uses_t *peer_uses_create(pd_time_t now);
void peer_uses_destroy(peer_uses_t *uses);
bool peer_uses_report(peer_uses_t *uses, const char *peer, double total,
		      bool recent, pd_time_t now, double *used);
double peer_uses_predict(peer_uses_t *uses, pd_time_t now);
void peer_uses_report_demand(peer_uses_t *uses, const char *peer,
			     double requested, pd_time_t now);
double peer_uses_demand(const peer_uses_t *uses, pd_time_t now);
void peer_uses_remove(peer_uses_t *uses, const char *peer);
void peer_uses_clear(peer_uses_t *uses);

#endif
