/*
 * The core of one entry (gateway process): handles events and returns actions.
 * It holds the requests in flight and the modules that decide about them, and
 * does no I/O.
 */
#ifndef PISTACHIO_ENTRY_H
#define PISTACHIO_ENTRY_H

#include "ports/event.h"

typedef struct entry_config {
	member_info_t self; /* borrowed by entry_create() */
	unsigned int subset; /* max upstreams per model or service */
	uint64_t seed; /* of all random choices */
} entry_config_t;

typedef struct entry entry_t;

entry_t *entry_create(const entry_config_t *config);
void entry_destroy(entry_t *entry);
void entry_set_reclaim_time(entry_t *entry, pd_time_t leaves_at);
void entry_handle(entry_t *entry, event_t *event, list_node_t *actions);
uint64_t entry_generation(const entry_t *entry);
bool entry_is_ready(const entry_t *entry);
unsigned int entry_in_flight(const entry_t *entry);
unsigned int entry_upstreams_usable(const entry_t *entry);
bool entry_member_is_gone(const entry_t *entry, const char *id);
unsigned int entry_members_alive(const entry_t *entry);
uint64_t entry_recomputed_tokens(const entry_t *entry);

#endif
