/*
 * Which engine probably holds which prompt prefix, by the engines' cache
 * events, which lag and have gaps, and by what this entry itself sent to them.
 */
#ifndef PISTACHIO_PREFIX_CACHE_H
#define PISTACHIO_PREFIX_CACHE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ports/upstream.h"

#define PREFIX_BYTES 1024 /* of the prompt; shorter ones have no prefix */

typedef struct prefix_cache prefix_cache_t;

prefix_cache_t *prefix_cache_create(void);
void prefix_cache_destroy(prefix_cache_t *cache);
uint64_t prefix_cache_hash_prompt(GBytes *prompt);
void prefix_cache_apply_events(prefix_cache_t *cache, const char *vm_id,
			       const cache_event_t *events, size_t count,
			       pd_time_t now);
void prefix_cache_record_send(prefix_cache_t *cache, const char *vm_id,
			      uint64_t prefix, pd_time_t now);
bool prefix_cache_contains(const prefix_cache_t *cache, const char *vm_id,
			   uint64_t prefix, pd_time_t now);

#endif
