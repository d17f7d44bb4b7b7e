/*
 * Decides whether this gateway is cut off from the upstreams of a service: from all or
 * from most of them. Requests that can't be sent give the suspicion, connections to
 * random upstreams decide: requests use kept connections to upstreams that run, so most
 * of the new ones are to those that don't.
 */
#ifndef PISTACHIO_FORWARD_REACH_H
#define PISTACHIO_FORWARD_REACH_H

#include <glib.h>
#include <stdbool.h>

#include "ports/clock.h"

typedef struct reach reach_t;

reach_t *reach_create(void);
void reach_destroy(reach_t *reach);
void reach_record_outcome(reach_t *reach, uint32_t short_id, bool connected,
			  pd_time_t now);
bool reach_record_probe_result(reach_t *reach, bool connected,
			       unsigned int serving);
bool reach_is_suspicious(const reach_t *reach);
bool reach_is_cut_off(const reach_t *reach);
bool reach_is_total(const reach_t *reach);
unsigned int reach_take_probes(reach_t *reach, unsigned int serving, pd_time_t now);
bool reach_may_probe(const reach_t *reach, uint32_t short_id);
void reach_record_probe(reach_t *reach, uint32_t short_id);

#endif
