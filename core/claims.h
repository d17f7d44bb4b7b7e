/*
 * Idempotency claims: at-most-once execution of calls that must not be
 * repeated. Before such a call is dispatched, a record with a nonce of this
 * attempt is written conditionally to a claims object in the platform's store;
 * only the attempt whose nonce is read back may dispatch. The safety argument
 * is in claims-notes.md.
 */
#ifndef PISTACHIO_CLAIMS_H
#define PISTACHIO_CLAIMS_H

#include "core/list.h"
#include "ports/clock.h"
#include "ports/platform.h"

#define CLAIM_SHARDS 16

typedef enum claim_outcome {
	CLAIM_WON, /* may be dispatched, once */
	CLAIM_ANSWERED, /* already ran: replay the recorded answer */
	CLAIM_TAKEN, /* another attempt is running it or may have run it */
	CLAIM_MISMATCH, /* the key was used for a different call */
	CLAIM_UNAVAILABLE /* no answer from the store; not dispatched */
} claim_outcome_t;

/* The outcome of one claims_acquire(). */
typedef struct claim_result {
	list_node_t node;
	uint64_t ticket;
	claim_outcome_t outcome;
	int status; /* HTTP status of the recorded answer */
	char *answer; /* recorded body, or NULL if too long to keep */
} claim_result_t;

typedef struct claims claims_t;

claims_t *claims_create(const char *entry_id, pd_time_t retention);
void claims_destroy(claims_t *claims);
void claims_set_retention(claims_t *claims, pd_time_t retention);
void claims_set_entries(claims_t *claims, unsigned int entries);
void claims_acquire(claims_t *claims, uint64_t ticket, const char *key,
		    const char *nonce, const char *digest, pd_time_t now);
void claims_complete(claims_t *claims, const char *key, const char *nonce,
		     int status, const char *answer, pd_time_t now);
void claims_release(claims_t *claims, const char *key, const char *nonce,
		    pd_time_t now);
void claims_handle_store_reply(claims_t *claims, const store_reply_t *reply,
			       pd_time_t now);
void claims_run(claims_t *claims, pd_time_t now, int64_t wall,
		list_node_t *actions, list_node_t *results);
bool claims_is_idle(const claims_t *claims);
void claim_result_destroy(claim_result_t *result);

#endif
