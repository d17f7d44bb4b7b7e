/*
 * The contract between the entry's core and its adapters: an event comes in
 * with the time, and a list of actions comes out. What an event points to is
 * borrowed for the call; what an action points to belongs to the action.
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
	EVENT_STOP, /* finish what runs, take nothing new */
	EVENT_REQUEST,
	EVENT_CALLER_DISCONNECTED,
	EVENT_UPSTREAM,
	EVENT_LOAD,
	EVENT_STORE_REPLY,
	EVENT_VM_LIST,
	EVENT_PEER_MSG,
	EVENT_PEER_SEEDS, /* entries that the platform lists */
	EVENT_BUNDLE /* a body whose signature has been checked */
} event_kind_t;

typedef struct event {
	event_kind_t kind;
	pd_time_t now;
	int64_t wall; /* seconds; for the retention of claims only */
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
			bundle_t *bundle; /* taken over: set to NULL */
			GBytes *envelope;
		} bundle;
	};
} event_t;

typedef enum action_kind {
	ACTION_DISPATCH,
	ACTION_CANCEL, /* drop an attempt; nothing more is heard of it */
	ACTION_PROBE, /* ask an upstream for its load */
	ACTION_TOKEN, /* to a caller */
	ACTION_ANSWER, /* to a caller: a plain service's answer */
	ACTION_END, /* to a caller: a model's answer is whole */
	ACTION_MOVED, /* to a caller: come back, to any entry, with the id */
	ACTION_REFUSE, /* to a caller */
	ACTION_STORE_READ,
	ACTION_STORE_WRITE,
	ACTION_PEER_SEND,
	ACTION_DECISION, /* one log line */
	ACTION_BUNDLE_APPLIED,
	ACTION_STOPPED /* nothing is in flight any more */
} action_kind_t;

/* One routing or placement decision, for the log and for `explain`. */
typedef struct decision {
	char *request_id;
	char *component; /* fixed prefix of the part that decided */
	char *choice;
	char *reason;
	char *passed_over;
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
			bool replayed; /* recorded by an earlier attempt */
		} reply;
		struct {
			caller_id_t caller;
			char *request_id; /* NULL if none was given out */
			refusal_t refusal;
			refusal_reason_t reason;
			pd_time_t retry_after; /* 0: coming back won't help */
		} refuse;
		struct {
			store_op_t op;
			char *key;
			uint64_t version; /* that a write replaces; 0: none */
			claim_table_t *table; /* of a write */
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
