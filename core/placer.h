/*
 * The core of one placer: keeps the VMs that demand and the bundle require, at
 * the lowest cost. It acts only while it holds the lease.
 */
#ifndef PISTACHIO_PLACER_H
#define PISTACHIO_PLACER_H

#include "core/mix.h"
#include "ports/placer_event.h"

typedef struct placer placer_t;

typedef struct placer_config {
	const char *id; /* unique to this process */
	const char *const *zones; /* to buy VMs in; NULL-terminated */
	uint32_t seed;
	mix_rule_t rule;
} placer_config_t;

placer_t *placer_create(const placer_config_t *config);
void placer_destroy(placer_t *placer);
void placer_handle(placer_t *placer, placer_event_t *event, list_node_t *actions);
bool placer_is_active(const placer_t *placer);

#endif
