/*
 * The queues of requests that wait for capacity at an upstream. Private to
 * core/.
 */
#ifndef PISTACHIO_QUEUE_H
#define PISTACHIO_QUEUE_H

#include "core/entry_state.h"

void queue_add(entry_t *entry, request_t *request, bool first);
void queue_remove(entry_t *entry, request_t *request);
double queue_slots(const entry_t *entry, priority_t priority);
void queue_run(entry_t *entry);

#endif
