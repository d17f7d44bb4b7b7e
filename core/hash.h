/*
 * Hash functions for rendezvous hashing, shards and seeds. They are xxHash and
 * the same on every machine, so that all entries agree without communication.
 */
#ifndef PISTACHIO_HASH_H
#define PISTACHIO_HASH_H

#include <stddef.h>
#include <stdint.h>

uint64_t hash_pair(const char *a, const char *b);
uint64_t hash_string(const char *text);
uint64_t hash_bytes(const char *bytes, size_t len);
uint64_t hash_number(uint64_t value);

#endif
