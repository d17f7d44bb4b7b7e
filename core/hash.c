/* Hashes of strings, pairs of strings and numbers, by xxHash. */
#include "core/hash.h"

#include <string.h>
#include <xxhash.h>

/* Returns the 64-bit hash of LEN bytes. */
uint64_t hash_bytes(const char *bytes, size_t len)
{
	return XXH64(bytes, len, 0);
}

/* Returns the 64-bit hash of TEXT. */
uint64_t hash_string(const char *text)
{
	return hash_bytes(text, strlen(text));
}

/* Returns the weight of A for B in rendezvous hashing. */
uint64_t hash_pair(const char *a, const char *b)
{
	return XXH64(b, strlen(b), hash_string(a));
}

/*
 * Returns the 64-bit hash of a number; similar numbers have unrelated hashes.
 */
uint64_t hash_number(uint64_t value)
{
	return XXH64(&value, sizeof(value), 0);
}
