/*
 * What the core asks of upstreams and hears from them. One dispatch opens one
 * connection, so a connection that went silent can spoil one attempt only.
 */
#ifndef PISTACHIO_UPSTREAM_PORT_H
#define PISTACHIO_UPSTREAM_PORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/bundle.h"
#include "ports/clock.h"

typedef uint64_t attempt_id_t;

/* One try of one request on one upstream. */
typedef struct dispatch {
	attempt_id_t attempt;
	target_kind_t kind;
	char *vm_id;
	char *address;
	uint16_t port;
	char *request_id;
	char *target;
	char *path; /* of a plain service, from the slash on */
	char *idempotency_key; /* NULL if the caller gave none */
	GBytes *body; /* a service's body, or a model's prompt */
	char *emitted; /* text that the caller already has */
	uint64_t offset; /* how many tokens that text is */
	char *kv_address; /* of an engine that has its KV cache, or NULL */
	uint16_t kv_port;
	unsigned int max_tokens;
	uint64_t fence; /* 0 if the upstream does not check */
	priority_t priority;
	pd_time_t timeout; /* for the adapter's own backstop */
} dispatch_t;

typedef enum upstream_event_kind {
	UPSTREAM_SENDING, /* the first byte may have left this process */
	UPSTREAM_QUEUED, /* it waits for its turn at the engine */
	UPSTREAM_STARTED, /* the engine has set up the prompt */
	UPSTREAM_TOKEN, /* one token of a model's answer */
	UPSTREAM_ANSWER, /* the whole answer of a plain service */
	UPSTREAM_END, /* the model's answer is whole */
	UPSTREAM_REJECTED, /* refused before it ran: full, leaving, or old fence */
	UPSTREAM_FAILED
} upstream_event_kind_t;

typedef struct upstream_event {
	upstream_event_kind_t kind;
	attempt_id_t attempt;
	uint64_t offset; /* of a token: its place in the answer, from 0 */
	const char *data; /* borrowed; a token's text or an answer's body */
	size_t len;
	unsigned int recomputed; /* of a start: tokens computed before one */
	int status; /* of a plain service's answer */
	bool written; /* of a failure: a byte may have left */
} upstream_event_t;

/*
 * News of an engine's prefix cache: it holds, or has dropped, the prefix of
 * that hash. Such news comes late and with gaps.
 */
typedef struct cache_event {
	uint64_t prefix;
	bool held;
} cache_event_t;

/* What an upstream reports of itself when probed. */
typedef struct load_report {
	const char *vm_id; /* borrowed */
	bool answered;
	bool leaving;
	pd_time_t leaves_in; /* if leaving: time left */
	unsigned int running;
	unsigned int waiting;
	const cache_event_t *cache; /* borrowed; since the last report */
	size_t cache_count;
	bool cache_gap; /* some news before these was lost */
} load_report_t;

#endif
