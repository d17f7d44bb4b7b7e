/*
 * Hashes of the prefixes of a text, as engines and entries agree on them: an
 * engine caches whole blocks, and its cache events carry these hashes.
 */
#ifndef PISTACHIO_PREFIX_H
#define PISTACHIO_PREFIX_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PREFIX_BLOCK_BYTES 64
#define PREFIX_BLOCKS_MAX 512
#define PREFIX_BYTES_PER_TOKEN 4 /* of plain text, on average */

size_t prefix_hashes(const char *text, size_t len, uint64_t *hashes, size_t max);
GHashTable *prefix_set_create(void);
void prefix_set_update(GHashTable *set, uint64_t prefix, bool held);
size_t prefix_set_count_blocks(GHashTable *set, const uint64_t *prefixes,
			       size_t count);

#endif
