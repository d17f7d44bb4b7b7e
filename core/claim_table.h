/*
 * The content of one claims object: which attempt holds each not-repeatable
 * call. A record is written before its call is dispatched, and only the writer
 * that reads back its own nonce may dispatch.
 */
#ifndef PISTACHIO_CLAIM_TABLE_H
#define PISTACHIO_CLAIM_TABLE_H

#include <glib.h>
#include <stdint.h>

typedef enum claim_state {
	CLAIM_HELD, /* claimed; the call may be running or have run */
	CLAIM_DONE, /* the call ran; its answer is recorded */
	CLAIM_RELEASED /* never dispatched by its holder, nor will be */
} claim_state_t;

/*
 * Sizes of an encoded table in bytes, by estimate. The store rejects objects
 * over 1 MB; the difference between the two limits leaves room for the records
 * of one write.
 */
#define CLAIM_TABLE_MAX_BYTES (960 * 1024)
#define CLAIM_TABLE_FULL_BYTES (880 * 1024) /* no new claims */

/* Longest answer that is kept for retries of the same key. */
#define CLAIM_ANSWER_MAX_BYTES 2048

typedef struct claim {
	char *key; /* hash of account and idempotency key, in hex */
	char *nonce; /* of the attempt that holds the claim */
	char *digest; /* hash of the call's target, path and body, in hex */
	claim_state_t state;
	int64_t made_at; /* wall-clock seconds, used for retention only */
	int status; /* HTTP status of the answer, if done */
	char *answer; /* body of the answer if short enough, else NULL */
} claim_t;

typedef struct claim_table {
	GHashTable *claims; /* key -> claim_t, owned */
} claim_table_t;

claim_table_t *claim_table_create(void);
claim_table_t *claim_table_copy(const claim_table_t *table);
void claim_table_destroy(claim_table_t *table);
claim_t *claim_table_get(const claim_table_t *table, const char *key);
claim_t *claim_table_put(claim_table_t *table, const char *key,
			 const char *nonce, const char *digest);
size_t claim_table_size(const claim_table_t *table);
void claim_table_trim(claim_table_t *table, size_t max);
void claim_table_expire(claim_table_t *table, int64_t before);

#endif
