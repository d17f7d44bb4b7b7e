/*
 * The content of one claims object: who may run which not-repeatable call.
 * A record is written before its call is dispatched, and only the writer that
 * reads back its own nonce may dispatch.
 */
#ifndef PISTACHIO_CLAIM_TABLE_H
#define PISTACHIO_CLAIM_TABLE_H

#include <glib.h>
#include <stdint.h>

typedef enum claim_state {
	CLAIM_HELD, /* claimed; it may be running or have run */
	CLAIM_DONE, /* ran; the answer is recorded */
	CLAIM_RELEASED /* its holder never dispatched and never will */
} claim_state_t;

/*
 * Bytes of a table as it is written, by estimate. The store refuses an object
 * over a megabyte; what lies between is room for the records of one write.
 */
#define CLAIM_TABLE_MAX_BYTES (960 * 1024)
#define CLAIM_TABLE_FULL_BYTES (880 * 1024) /* takes no claim any more */

/* Longest answer that is kept for a retry of the same key, in bytes. */
#define CLAIM_ANSWER_MAX_BYTES 2048

typedef struct claim {
	char *key; /* account and idempotency key, hashed, in hex */
	char *nonce; /* of the attempt that holds it */
	char *digest; /* of the call's target, path and body, in hex */
	claim_state_t state;
	int64_t made_at; /* seconds of wall-clock time, for retention only */
	int status; /* of the answer, if done */
	char *answer; /* its body if short enough, else NULL */
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
