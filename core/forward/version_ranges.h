/*
 * Chooses the version of each new stream by the hash of its attempt: each version of a
 * service has a range of hashes, in proportion to its upstreams. Where no range has moved
 * for as long as streams last, the version of any stream follows from its attempt.
 */
#ifndef PISTACHIO_FORWARD_VERSION_RANGES_H
#define PISTACHIO_FORWARD_VERSION_RANGES_H

#include <glib.h>
#include <stdint.h>

#include "ports/clock.h"

typedef struct version_share {
	uint64_t version_id;
	unsigned int slots; /* of its upstreams */
} version_share_t;

typedef struct version_ranges version_ranges_t;

version_ranges_t *version_ranges_create(pd_time_t ttl);
void version_ranges_destroy(version_ranges_t *ranges);
void version_ranges_set(version_ranges_t *ranges, const version_share_t *shares,
			unsigned int count, pd_time_t now);
uint64_t version_ranges_choose(const version_ranges_t *ranges, uint64_t attempt);
uint64_t version_ranges_find(const version_ranges_t *ranges, uint64_t attempt,
			     pd_time_t now);

#endif
