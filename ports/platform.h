/*
 * The core's interface to the platform: reads and conditional writes of objects,
 * and the list of VMs. A write whose reply was lost may have taken effect; it
 * ends with STORE_UNKNOWN, and only reading the object back shows the outcome.
 */
#ifndef PISTACHIO_PLATFORM_PORT_H
#define PISTACHIO_PLATFORM_PORT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/claim_table.h"
#include "ports/clock.h"

typedef uint64_t store_op_t;

typedef enum store_status {
	STORE_OK,
	STORE_MISSING,
	STORE_CONFLICT, /* the expected version is not the current one */
	STORE_UNKNOWN, /* no reply: a write may have taken effect */
	STORE_DOWN /* refused: a write has not taken effect */
} store_status_t;

/* The reply to a read or write of a claims object. */
typedef struct store_reply {
	store_op_t op;
	store_status_t status;
	uint64_t version; /* of the object, 0 if there is none */
	claim_table_t *table; /* result of a read; borrowed */
} store_reply_t;

typedef enum vm_role { VM_MODEL, VM_SERVICE } vm_role_t;
typedef enum vm_state { VM_STARTING, VM_LIVE, VM_LEAVING } vm_state_t;

/* One VM of the platform's list. */
typedef struct vm {
	char *id;
	char *zone;
	char *machine_class;
	char *address;
	uint16_t port;
	vm_role_t role;
	vm_state_t state;
	bool reclaimable;
	char *serves; /* name of the model or service */
	char *tag; /* of its purchase */
	unsigned int slots; /* concurrent requests that it runs */
	pd_time_t leaves_in; /* time until reclaim, if VM_LEAVING */
} vm_t;

#endif
