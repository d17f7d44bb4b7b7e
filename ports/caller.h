/*
 * What callers ask and what they are told. The refusals are the product's
 * promise: REFUSAL_NOT_RUN is said only where nothing was written to any
 * upstream, and everything else that ends without an answer is
 * REFUSAL_OUTCOME_UNKNOWN.
 */
#ifndef PISTACHIO_CALLER_PORT_H
#define PISTACHIO_CALLER_PORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/bundle.h"

typedef uint64_t caller_id_t; /* one waiting caller, named by the adapter */

typedef struct caller_request {
	caller_id_t caller;
	target_kind_t kind;
	const char *key_hash; /* of the caller's key; NULL if none was given */
	const char *target;
	const char *path;
	const char *idempotency_key; /* NULL if none */
	GBytes *body; /* borrowed; a prompt or a service's body */
	unsigned int max_tokens;
	bool stream;
	const char *resume_id; /* request to take up again, NULL if new */
	uint64_t resume_offset; /* tokens of it that the caller has */
} caller_request_t;

typedef enum refusal {
	REFUSAL_UNAUTHENTICATED,
	REFUSAL_FORBIDDEN,
	REFUSAL_UNKNOWN_TARGET,
	REFUSAL_KEY_REQUIRED,
	REFUSAL_KEY_REUSED, /* the key came before with another body */
	REFUSAL_OVER_LIMIT,
	REFUSAL_NOT_RUN,
	REFUSAL_OUTCOME_UNKNOWN,
	REFUSAL_COUNT
} refusal_t;

/* Why a request was not run, or its outcome is not known. */
typedef enum refusal_reason {
	REASON_NONE,
	REASON_QUEUE_FULL,
	REASON_NO_UPSTREAM,
	REASON_TOO_LATE,
	REASON_STORE_DOWN,
	REASON_NOT_READY,
	REASON_STOPPING,
	REASON_UPSTREAM_LOST,
	REASON_RETRY_BUDGET,
	REASON_EARLIER_ATTEMPT,
	REASON_COUNT
} refusal_reason_t;

const char *refusal_name(refusal_t refusal);
const char *refusal_reason_name(refusal_reason_t reason);
int refusal_status(refusal_t refusal);

#endif
