/* Hashes the beginnings of a text, and remembers which an engine holds. */
#include "core/prefix.h"

#include <xxhash.h>

/* Prefixes remembered of one upstream; 24 upstreams then take some 2 MB. */
#define PREFIX_SET_MAX 2048

/*
 * Fills HASHES with the hash of the first block of TEXT, of its first two, and
 * so on, at most MAX; a last block that is not full is left out. Returns how
 * many there are.
 */
size_t prefix_hashes(const char *text, size_t len, uint64_t *hashes, size_t max)
{
	size_t blocks = len / PREFIX_BLOCK_BYTES;
	uint64_t hash = 0;

	if (blocks > max)
		blocks = max;
	for (size_t i = 0; i < blocks; i++) {
		hash = XXH64(text + i * PREFIX_BLOCK_BYTES, PREFIX_BLOCK_BYTES,
			     hash);
		hashes[i] = hash;
	}
	return blocks;
}

/* Returns an empty set of prefixes; the caller owns it. */
GHashTable *prefix_set_create(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

/* Makes room for one prefix more by forgetting any one. */
static void prefix_set_evict(GHashTable *set)
{
	GHashTableIter it;

	if (g_hash_table_size(set) < PREFIX_SET_MAX)
		return;
	g_hash_table_iter_init(&it, set);
	if (g_hash_table_iter_next(&it, NULL, NULL))
		g_hash_table_iter_remove(&it);
}

/* Notes that an engine holds the prefix, or has dropped it. */
void prefix_set_update(GHashTable *set, uint64_t prefix, bool held)
{
	if (!held) {
		g_hash_table_remove(set, &prefix);
		return;
	}
	if (g_hash_table_contains(set, &prefix))
		return;
	prefix_set_evict(set);
	g_hash_table_add(set, g_memdup2(&prefix, sizeof(prefix)));
}

/* Returns how many blocks the longest of the text's prefixes in the set has. */
size_t prefix_set_count_blocks(GHashTable *set, const uint64_t *prefixes,
			       size_t count)
{
	for (size_t i = count; i > 0; i--) {
		if (g_hash_table_contains(set, &prefixes[i - 1]))
			return i;
	}
	return 0;
}
