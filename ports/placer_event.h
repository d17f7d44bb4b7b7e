/*
 * The interface between the placer's core and its adapters. Ownership is as in
 * event.h.
 */
#ifndef PISTACHIO_PLACER_EVENT_H
#define PISTACHIO_PLACER_EVENT_H

#include "core/bundle.h"
#include "core/list.h"
#include "ports/event.h"
#include "ports/platform.h"

#define INTENTS_MAX 32

/* A kind of VM that the cloud offers, and its price. */
typedef struct offer {
	char *zone;
	char *machine_class;
	bool reclaimable;
	int64_t price; /* per hour, in millionths of the currency */
	unsigned int slots; /* concurrent requests that one VM runs */
} offer_t;

/*
 * Demand for one target, summed over the entries: the number of requests that
 * would run concurrently without queueing (arrival rate times mean service
 * time), plus the capacity that serves the queue within a minute. The queue
 * length itself is not added: it grows while VMs start, and adding it in full
 * would buy far too many.
 */
typedef struct demand {
	const char *target; /* borrowed */
	unsigned int requests;
	unsigned int urgent; /* the part of REQUESTS that is urgent */
} demand_t;

/*
 * The desired state of an engine. An order names a state, not a transition, so
 * a duplicate or late order is corrected by the next one.
 */
typedef enum engine_role { ENGINE_SERVING, ENGINE_DRAINING } engine_role_t;

/*
 * A purchase or release that was decided. It is stored in the lease record
 * before it is ordered, so that the next lease holder can continue it.
 */
typedef struct intent {
	char *tag;
	char *vm_id; /* the VM to drain and release; NULL: a purchase */
	char *target;
	char *zone;
	char *machine_class;
	bool reclaimable;
} intent_t;

/* The content of the lease object. */
typedef struct lease_record {
	char *holder;
	uint64_t fence; /* fencing token: increases when the holder changes */
	uint64_t renewals; /* increases with each write, to make renewals visible */
	char *note; /* state that the holder stored before acting; NULL: none */
	intent_t intents[INTENTS_MAX];
	unsigned int intent_count;
} lease_record_t;

typedef struct lease_reply {
	store_op_t op;
	store_status_t status;
	uint64_t version;
	const lease_record_t *record; /* of a read; borrowed */
} lease_reply_t;

typedef enum placer_event_kind {
	PLACER_TICK,
	PLACER_STOP,
	PLACER_LEASE_REPLY,
	PLACER_VM_LIST,
	PLACER_BUNDLE,
	PLACER_PURCHASE_REPLY, /* the cloud's reply, or a timeout */
	PLACER_PRICES,
	PLACER_DEMAND,
	PLACER_ENGINE_REPLY /* an engine's reply to an order, or a timeout */
} placer_event_kind_t;

typedef struct placer_event {
	placer_event_kind_t kind;
	pd_time_t now;
	union {
		lease_reply_t lease;
		struct {
			const vm_t *vms;
			size_t count;
		} vm_list;
		bundle_t *bundle; /* ownership is taken: set to NULL */
		struct {
			const char *tag; /* borrowed */
			store_status_t status; /* STORE_DOWN: refused */
		} purchase;
		struct {
			const offer_t *offers;
			size_t count;
		} prices;
		struct {
			const demand_t *demands;
			size_t count;
		} demand;
		struct {
			const char *vm_id; /* borrowed */
			store_status_t status;
			unsigned int running; /* its requests in flight */
		} engine;
	};
} placer_event_t;

typedef enum placer_action_kind {
	PLACER_LEASE_READ,
	PLACER_LEASE_WRITE,
	PLACER_BUY,
	PLACER_RELEASE,
	PLACER_ENGINE_ORDER,
	PLACER_DECISION
} placer_action_kind_t;

typedef struct placer_action {
	list_node_t node;
	placer_action_kind_t kind;
	union {
		struct {
			store_op_t op;
			uint64_t version; /* expected by a write; 0: no object */
			lease_record_t *record;
		} lease;
		struct {
			intent_t intent;
			uint64_t fence;
			pd_time_t not_after; /* when the lease expires */
		} buy;
		struct {
			char *vm_id;
			uint64_t fence;
			pd_time_t not_after;
		} release;
		struct {
			char *vm_id;
			char *address;
			uint16_t port;
			char *model;
			engine_role_t role;
			uint64_t fence;
			pd_time_t not_after;
		} engine;
		decision_t decision;
	};
} placer_action_t;

placer_action_t *placer_action_create(placer_action_kind_t kind);
void placer_action_destroy(placer_action_t *action);
lease_record_t *lease_record_create(void);
lease_record_t *lease_record_copy(const lease_record_t *record);
void lease_record_destroy(lease_record_t *record);
void intent_copy(intent_t *to, const intent_t *from);
void intent_clear(intent_t *intent);
void decision_clear(decision_t *decision);

#endif
