/*
 * The core's interface to upstreams. Each dispatch opens its own connection, so
 * that a stalled connection affects a single attempt.
 */
#ifndef PISTACHIO_UPSTREAM_PORT_H
#define PISTACHIO_UPSTREAM_PORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/bundle.h"
#include "ports/clock.h"

typedef uint64_t attempt_id_t;

/* One attempt to run a request on an upstream. */
typedef struct dispatch {
	attempt_id_t attempt;
	target_kind_t kind;
	char *vm_id;
	char *address;
	uint16_t port;
	char *request_id;
	char *target;
	char *path; /* for a plain service, with the leading slash */
	char *idempotency_key; /* NULL if the caller sent none */
	GBytes *body; /* a request body for a service, or a prompt */
	char *emitted; /* answer text that the caller already has */
	uint64_t offset; /* tokens in EMITTED */
	char *kv_address; /* of the engine to import KV cache from, or NULL */
	uint16_t kv_port;
	unsigned int max_tokens;
	uint64_t fence; /* fencing token; 0 if the upstream does not check it */
	priority_t priority;
	pd_time_t timeout; /* after which the adapter ends the attempt itself */
} dispatch_t;

typedef enum upstream_event_kind {
	UPSTREAM_SENDING, /* the first byte may have been sent */
	UPSTREAM_QUEUED, /* the request is waiting in the engine's queue */
	UPSTREAM_STARTED, /* the engine has completed prefill */
	UPSTREAM_TOKEN, /* one token of a model's answer */
	UPSTREAM_ANSWER, /* the complete answer of a plain service */
	UPSTREAM_END, /* the model's answer is complete */
	UPSTREAM_REJECTED, /* not run: upstream full, leaving, or fence too old */
	UPSTREAM_FAILED
} upstream_event_kind_t;

typedef struct upstream_event {
	upstream_event_kind_t kind;
	attempt_id_t attempt;
	uint64_t offset; /* UPSTREAM_TOKEN: its index in the answer, from 0 */
	const char *data; /* borrowed; a token's text or an answer's body */
	size_t len;
	unsigned int recomputed; /* UPSTREAM_STARTED: tokens that were prefilled */
	int status; /* UPSTREAM_ANSWER: HTTP status */
	bool written; /* UPSTREAM_FAILED: a byte may have been sent */
} upstream_event_t;

/*
 * A change of an engine's prefix cache: the prefix of that hash was stored or
 * evicted. Events can be late, and some are lost.
 */
typedef struct cache_event {
	uint64_t prefix;
	bool held;
} cache_event_t;

/* An upstream's reply to a probe. */
typedef struct load_report {
	const char *vm_id; /* borrowed */
	bool answered;
	bool leaving;
	pd_time_t leaves_in; /* time until reclaim, if LEAVING */
	unsigned int running;
	unsigned int waiting;
	const cache_event_t *cache; /* borrowed; since the last report */
	size_t cache_count;
	bool cache_gap; /* events before these were lost */
} load_report_t;

#endif
