/*
 * State shared by the modules of the entry's core: the requests in flight and
 * the modules' own state. Private to core/.
 */
#ifndef PISTACHIO_ENTRY_STATE_H
#define PISTACHIO_ENTRY_STATE_H

#include "core/claims.h"
#include "core/demand.h"
#include "core/entry.h"
#include "core/limits.h"
#include "core/members.h"
#include "core/move.h"
#include "core/predict.h"
#include "core/prefix_cache.h"
#include "core/retry_budget.h"
#include "core/route.h"
#include "core/upstreams.h"

typedef enum request_state {
	REQUEST_CLAIMING, /* its claim is being acquired */
	REQUEST_FINDING, /* peers are asked which of them holds its answer */
	REQUEST_MOVING, /* offered to a peer that has not acknowledged it */
	REQUEST_WAITING, /* in the queue of its priority */
	REQUEST_RUNNING /* an attempt is in flight */
} request_state_t;

/* Why an attempt ended before its answer was complete. */
typedef enum failure_cause {
	FAILURE_VM_LEAVING, /* its VM had a reclaim notice */
	FAILURE_NOT_STARTED, /* rejected, or never sent to the upstream */
	FAILURE_LOST
} failure_cause_t;

typedef struct adopted_answer adopted_answer_t;

typedef struct request {
	list_node_t node; /* in its queue, if waiting */
	request_state_t state;
	char *id;
	char *account; /* name */
	caller_id_t caller;
	bool caller_gone; /* continues only to have its answer recorded */
	target_t target; /* as of the bundle at its arrival */
	priority_t priority;
	char *path;
	char *idempotency_key;
	char *claim_key; /* NULL if it is repeatable */
	char *nonce;
	GBytes *body;
	unsigned int max_tokens;
	uint64_t resume_offset; /* tokens that the caller already has */
	GString *emitted; /* text generated so far */
	uint64_t offset; /* tokens in that text */
	unsigned int attempts;
	unsigned int rejections; /* consecutive attempts that did not start */
	unsigned int failures; /* attempts that were lost without a notice */
	attempt_id_t attempt;
	char *vm_id; /* of the attempt in flight, else of the last one */
	bool attempt_written; /* the attempt may have reached the upstream */
	bool written; /* any attempt may have reached an upstream */
	bool kv_exportable; /* by the VM of the last attempt */
	bool imports_kv; /* the attempt imports its KV cache */
	bool started; /* the upstream has responded to the attempt */
	pd_time_t arrived_at;
	pd_time_t deadline;
	pd_time_t sent_at; /* of the attempt */
	pd_time_t last_progress_at; /* of the attempt: last response of any kind */
	pd_time_t retry_at; /* if waiting outside the queue, else 0 */
	uint64_t first_offset; /* of the attempt's first token */
	pd_time_t first_token_at; /* arrival of that token; 0 before */
	adopted_answer_t *adopted; /* if handed over to this entry */
	char *resume_id; /* while finding: its id at the earlier entry */
	unsigned int pending_replies; /* while finding */
	unsigned int offer_count; /* while moving: peers asked so far */
	pd_time_t requested_at; /* while finding or moving */
} request_t;

/*
 * The answer of a request that a leaving entry handed over to this one. It is
 * retained after the answer's end, so that a caller who reconnects later still
 * gets the rest.
 */
struct adopted_answer {
	char *id;
	char *account; /* name; no other account gets the answer */
	GString *text; /* from the first token on */
	uint64_t base_offset; /* tokens at handover; bounds unknown */
	gsize base_bytes; /* length of their text */
	GArray *token_ends; /* gsize: end of each later token in the text */
	bool ended;
	request_t *request; /* NULL once it has ended */
	pd_time_t expires_at;
};

struct entry {
	member_info_t self;
	bundle_t *bundle; /* NULL until one is in force */
	GBytes *envelope; /* the bundle's signed bytes, for peers */
	upstreams_t *upstreams;
	claims_t *claims;
	limits_t *limits;
	members_t *members;
	retry_budget_t retry_budget;
	move_costs_t move_costs;
	uint64_t recomputed_tokens; /* by attempts after the first */
	GHashTable *requests; /* caller id -> request_t, owned */
	GHashTable *running; /* attempt id -> request_t */
	GHashTable *claiming; /* attempt id as ticket -> request_t */
	GHashTable *finding; /* attempt id as ticket -> request_t */
	GHashTable *adopted; /* request id -> adopted_answer_t, owned */
	list_node_t queues[PRIORITIES];
	unsigned int queued[PRIORITIES];
	unsigned int running_of[PRIORITIES];
	bool room_may_exist; /* since the queues were last run */
	unsigned int normal_since_batch; /* requests dispatched */
	prefix_cache_t *prefixes;
	predict_t *predict;
	demand_t *demand;
	GRand *rand; /* random choices of the routing */
	uint64_t next_id;
	pd_time_t first_bundle_at;
	bool peer_msg_received;
	uint64_t peer_generation; /* highest generation that a peer reported */
	bool bundle_confirmed; /* no peer had a later bundle at this entry's start */
	uint64_t pull_generation; /* last requested from a peer */
	pd_time_t pulled_at;
	bool vm_list_seen;
	bool stopping;
	bool stopped; /* ACTION_STOPPED has been given */
	pd_time_t stop_at; /* earliest stop: callers may still arrive */
	pd_time_t leaves_at; /* this entry's VM is reclaimed then; 0: no notice */
	bool leave_announced; /* peers have been told of the notice */
	pd_time_t claims_wait_started_at; /* only claims delay the stop; 0: no */
	/* Of the event being handled. */
	pd_time_t now;
	int64_t wall;
	list_node_t *actions;
};

/* entry.c */
void entry_refuse(entry_t *entry, caller_id_t caller, const char *request_id,
		  refusal_t refusal, refusal_reason_t reason,
		  pd_time_t retry_after);
void entry_log_decision(entry_t *entry, const char *request_id,
			const char *part, const char *choice,
			const char *reason, const char *passed_over);

bool entry_can_serve(const entry_t *entry);
void entry_send_peer(entry_t *entry, const member_info_t *to, peer_msg_t *msg);

/* request.c */
request_t *request_create(entry_t *entry, const caller_request_t *from,
			  const target_t *target);
void request_destroy(void *data);
void request_reply(entry_t *entry, const request_t *request, action_kind_t kind,
		   const char *data, size_t len, int status);
void request_fail(entry_t *entry, request_t *request, refusal_reason_t reason,
		  pd_time_t retry_after);
void request_end(entry_t *entry, request_t *request);

/* admission.c */
void admission_handle_request(entry_t *entry, const caller_request_t *from);
void admission_handle_claim(entry_t *entry, const claim_result_t *result);
void admission_handle_disconnect(entry_t *entry, caller_id_t caller);

/* handover.c */
void handover_run(entry_t *entry);
void handover_handle_ack(entry_t *entry, const char *request_id);

/* adopt.c */
void adopted_answer_destroy(void *data);
void adopt_handover(entry_t *entry, const peer_msg_t *msg);
void adopted_answer_append(adopted_answer_t *adopted, const char *data, size_t len);
void adopt_handle_find(entry_t *entry, const peer_msg_t *msg);
peer_msg_t *adopt_create_found(entry_t *entry, const char *event_id);
void adopt_run(entry_t *entry);

/* resume.c */
void resume_start(entry_t *entry, request_t *request, const char *resume_id);
void resume_handle_found(entry_t *entry, const peer_msg_t *msg);
void resume_run(entry_t *entry);

/* dispatch.c */
bool dispatch_request(entry_t *entry, request_t *request);
route_result_t dispatch_queued(entry_t *entry, request_t *request);
void dispatch_check_all(entry_t *entry);
void dispatch_cancel_attempt(entry_t *entry, request_t *request);
void dispatch_send_to(entry_t *entry, request_t *request, upstream_t *target,
		      const char *reason);

/* attempt.c */
void attempt_handle_event(entry_t *entry, const upstream_event_t *event);
void attempt_redispatch(entry_t *entry, request_t *request);
void attempt_retry(entry_t *entry, request_t *request, failure_cause_t cause);

/* drain.c */
void drain_check(entry_t *entry);
bool drain_resume(entry_t *entry, request_t *request);
size_t drain_hash_prefixes(const request_t *request, uint64_t *hashes);
const upstream_t *drain_export_source(const entry_t *entry,
				      const request_t *request,
				      const upstream_t *target);

#endif
