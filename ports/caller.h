/*
 * Callers' requests and the errors that they receive. Callers rely on the
 * meaning of the errors: REFUSAL_NOT_RUN is returned only if nothing was written
 * to any upstream; any other request that ends without an answer gets
 * REFUSAL_OUTCOME_UNKNOWN.
 */
#ifndef PISTACHIO_CALLER_PORT_H
#define PISTACHIO_CALLER_PORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/bundle.h"

typedef uint64_t caller_id_t; /* of a waiting caller, assigned by the adapter */

typedef struct caller_request {
	caller_id_t caller;
	target_kind_t kind;
	const char *key_hash; /* of the caller's API key; NULL if none was sent */
	const char *target;
	const char *path;
	const char *idempotency_key; /* NULL if none */
	GBytes *body; /* borrowed; a prompt or a request body for a service */
	unsigned int max_tokens;
	bool stream;
	const char *resume_id; /* id of the request to resume; NULL if new */
	uint64_t resume_offset; /* tokens that the caller already has */
} caller_request_t;

typedef enum refusal {
	REFUSAL_UNAUTHENTICATED,
	REFUSAL_FORBIDDEN,
	REFUSAL_UNKNOWN_TARGET,
	REFUSAL_KEY_REQUIRED,
	REFUSAL_KEY_REUSED, /* the key was used before with another body */
	REFUSAL_OVER_LIMIT,
	REFUSAL_NOT_RUN,
	REFUSAL_OUTCOME_UNKNOWN,
	REFUSAL_COUNT
} refusal_t;

/* Why a request was not run, or why its outcome is unknown. */
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
