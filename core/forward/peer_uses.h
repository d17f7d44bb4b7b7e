/*
 * The tokens that the other gateways take out of one account's bucket: the totals that
 * they report, and between two reports a prediction from their last rate.
 */
#ifndef PISTACHIO_PEER_USES_H
#define PISTACHIO_PEER_USES_H

#include <stdbool.h>

#include "ports/clock.h"

/*
 * Minimum time over which a rate is measured, so that a single request is not measured
 * as a rate.
 */
#define PEER_USES_INTERVAL_MIN (100 * PD_MSEC)
#define PEER_USES_RATE_WEIGHT 0.5 /* of the newest measurement */

typedef struct peer_uses peer_uses_t;

peer_uses_t *peer_uses_create(pd_time_t now);
void peer_uses_destroy(peer_uses_t *uses);
bool peer_uses_report(peer_uses_t *uses, const char *peer, double total,
		      bool recent, pd_time_t now, double *used);
double peer_uses_predict(peer_uses_t *uses, pd_time_t now);
void peer_uses_report_demand(peer_uses_t *uses, const char *peer,
			     double requested, pd_time_t now);
double peer_uses_demand(const peer_uses_t *uses, pd_time_t now);
double peer_uses_remove(peer_uses_t *uses, const char *peer, pd_time_t lag,
			pd_time_t now);
void peer_uses_clear(peer_uses_t *uses);

#endif
