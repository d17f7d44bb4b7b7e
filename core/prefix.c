/*
 * Hashes the prefixes of a text, and holds the set of those that an engine has
 * cached.
 */
#include "core/prefix.h"

#include <xxhash.h>

/*
 * Max prefixes in the set of one upstream; 24 upstreams then take about 2 MB.
 */
#define PREFIX_SET_MAX 2048

/*
 * Fills HASHES with the hash of the first block of TEXT, of its first two
 * blocks, and so on, at most MAX hashes; an incomplete last block is ignored.
 * Returns the number of hashes.
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

/* Returns an empty set of prefixes. The caller owns it. */
GHashTable *prefix_set_create(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

/* Removes an arbitrary prefix if the set is full. */
static void prefix_set_evict(GHashTable *set)
{
	GHashTableIter it;

	if (g_hash_table_size(set) < PREFIX_SET_MAX)
		return;
	g_hash_table_iter_init(&it, set);
	if (g_hash_table_iter_next(&it, NULL, NULL))
		g_hash_table_iter_remove(&it);
}

/* Adds the prefix if the engine holds it, else removes it. */
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

/*
 * Returns the number of blocks of the longest of the text's prefixes that is in
 * the set, 0 if none is.
 */
size_t prefix_set_count_blocks(GHashTable *set, const uint64_t *prefixes,
			       size_t count)
{
	for (size_t i = count; i > 0; i--) {
		if (g_hash_table_contains(set, &prefixes[i - 1]))
			return i;
	}
	return 0;
}
