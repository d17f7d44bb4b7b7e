/*
 * Work per second that all gateways together send to each service, calculated from the
 * totals that each has sent since its start.
 */
#ifndef PISTACHIO_WORK_RATE_H
#define PISTACHIO_WORK_RATE_H

#include <glib.h>

#include "ports/clock.h"

typedef struct work_rate work_rate_t;

typedef void (*work_rate_each_t)(void *ctx, const char *service, double total);

work_rate_t *work_rate_create(void);
void work_rate_destroy(work_rate_t *work);
void work_rate_add(work_rate_t *work, const char *service, double amount);
void work_rate_add_refused(work_rate_t *work, const char *service, double amount);
void work_rate_record_peer(work_rate_t *work, const char *peer,
			   const char *service, double total);
void work_rate_clear_peers(work_rate_t *work);
void work_rate_update(work_rate_t *work, pd_time_t now);
double work_rate_get(const work_rate_t *work, const char *service);
double work_rate_refused(const work_rate_t *work, const char *service);
void work_rate_each_own(const work_rate_t *work, work_rate_each_t each, void *ctx);

#endif
