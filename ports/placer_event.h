/*
 * The contract between the placer's core and its adapters, in the same manner
 * as the entry's in event.h.
 */
#ifndef PISTACHIO_PLACER_EVENT_H
#define PISTACHIO_PLACER_EVENT_H

#include "core/bundle.h"
#include "core/list.h"
#include "ports/event.h"
#include "ports/platform.h"

#define INTENTS_MAX 32

/* One way to get a VM, and what it costs. */
typedef struct offer {
	char *zone;
	char *machine_class;
	bool reclaimable;
	int64_t price; /* per hour, in millionths of the currency */
	unsigned int slots; /* requests that one VM runs side by side */
} offer_t;

/*
 * What callers ask of one target, summed up over the entries: the requests that
 * would run side by side if none waited, that is the rate of arrivals times the
 * mean time a request runs, and what is needed to serve within a minute what
 * waits. The queue itself is not counted: while VMs start it grows with every
 * second, and counted whole it has far too many bought.
 */
typedef struct demand {
	const char *target; /* borrowed */
	unsigned int requests;
	unsigned int urgent; /* of these */
} demand_t;

/*
 * The state that an engine is to be in. An order names a state and not a step,
 * so that one that comes twice or late changes nothing that the next one does
 * not put right.
 */
typedef enum engine_role { ENGINE_SERVING, ENGINE_DRAINING } engine_role_t;

/*
 * A purchase or a release that was decided; written down before it is ordered,
 * so that whoever acts next goes on with it.
 */
typedef struct intent {
	char *tag;
	char *vm_id; /* to drain and release; NULL: a purchase */
	char *target;
	char *zone;
	char *machine_class;
	bool reclaimable;
} intent_t;

/* The content of the lease object. */
typedef struct lease_record {
	char *holder;
	uint64_t fence; /* grows with each change of holder */
	uint64_t renewals; /* grows with each write, so a renewal shows */
	char *note; /* what the holder wrote down before acting; NULL: none */
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
	PLACER_PURCHASE_REPLY, /* the cloud answered, or did not */
	PLACER_PRICES,
	PLACER_DEMAND,
	PLACER_ENGINE_REPLY /* an engine answered an order, or did not */
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
		bundle_t *bundle; /* taken over: set to NULL */
		struct {
			const char *tag; /* borrowed */
			store_status_t status; /* DOWN: refused */
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
			unsigned int running; /* requests it still has */
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
			uint64_t version; /* that a write replaces; 0: none */
			lease_record_t *record;
		} lease;
		struct {
			intent_t intent;
			uint64_t fence;
			pd_time_t not_after; /* the lease lapses then */
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
