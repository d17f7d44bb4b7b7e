/*
 * The interface between the entry's core and its adapters: the core takes an
 * event with the current time and returns a list of actions. Data that an event
 * points to is borrowed for the call; data that an action points to is owned by
 * the action.
 */
#ifndef PISTACHIO_EVENT_H
#define PISTACHIO_EVENT_H

#include "core/bundle.h"
#include "core/list.h"
#include "ports/caller.h"
#include "ports/clock.h"
#include "ports/peer.h"
#include "ports/platform.h"
#include "ports/upstream.h"

typedef enum event_kind {
	EVENT_TICK,
	EVENT_STOP, /* finish requests in flight, accept no new ones */
	EVENT_REQUEST,
	EVENT_CALLER_DISCONNECTED,
	EVENT_UPSTREAM,
	EVENT_LOAD,
	EVENT_STORE_REPLY,
	EVENT_VM_LIST,
	EVENT_PEER_MSG,
	EVENT_PEER_SEEDS, /* entries listed by the platform */
	EVENT_BUNDLE /* a bundle whose signature has been verified */
} event_kind_t;

typedef struct event {
	event_kind_t kind;
	pd_time_t now;
	int64_t wall; /* wall-clock time in seconds; only for claim retention */
	union {
		caller_request_t request;
		caller_id_t caller;
		upstream_event_t upstream;
		load_report_t load;
		store_reply_t store;
		struct {
			const vm_t *vms;
			size_t count;
		} vm_list;
		const peer_msg_t *peer;
		struct {
			const member_info_t *members;
			size_t count;
		} seeds;
		struct {
			bundle_t *bundle; /* ownership is taken: set to NULL */
			GBytes *envelope;
		} bundle;
	};
} event_t;

typedef enum action_kind {
	ACTION_DISPATCH,
	ACTION_CANCEL, /* abort an attempt; no more events follow for it */
	ACTION_PROBE, /* request an upstream's load */
	ACTION_TOKEN, /* to a caller */
	ACTION_ANSWER, /* to a caller: the answer of a plain service */
	ACTION_END, /* to a caller: a model's answer is complete */
	ACTION_MOVED, /* to a caller: resume at any entry, with the request id */
	ACTION_REFUSE, /* to a caller */
	ACTION_STORE_READ,
	ACTION_STORE_WRITE,
	ACTION_PEER_SEND,
	ACTION_DECISION, /* log a decision */
	ACTION_BUNDLE_APPLIED,
	ACTION_STOPPED /* no requests are in flight any more */
} action_kind_t;

/* One routing or placement decision, for the log and for `explain`. */
typedef struct decision {
	char *request_id;
	char *component; /* the component that decided, for filtering the log */
	char *choice;
	char *reason;
	char *passed_over; /* the candidates that were not chosen */
} decision_t;

typedef struct action {
	list_node_t node;
	action_kind_t kind;
	union {
		dispatch_t dispatch;
		attempt_id_t attempt;
		struct {
			char *vm_id;
			char *address;
			uint16_t port;
		} probe;
		struct {
			caller_id_t caller;
			char *request_id;
			uint64_t offset;
			char *data;
			size_t len;
			int status;
			bool replayed; /* the recorded answer of an earlier attempt */
		} reply;
		struct {
			caller_id_t caller;
			char *request_id; /* NULL if none was assigned */
			refusal_t refusal;
			refusal_reason_t reason;
			pd_time_t retry_after; /* 0: a retry would not help */
		} refuse;
		struct {
			store_op_t op;
			char *key;
			uint64_t version; /* expected by a write; 0: no object */
			claim_table_t *table; /* to be written */
		} store;
		struct {
			char *address;
			uint16_t port;
			peer_msg_t *msg;
		} peer;
		decision_t decision;
		uint64_t generation;
	};
} action_t;

action_t *action_create(action_kind_t kind);
void action_destroy(action_t *action);
void action_list_clear(list_node_t *actions);

#endif
