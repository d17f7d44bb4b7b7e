/*
 * Drives one entry's core directly, on a simulated clock that only the test
 * advances: the test sends events and inspects actions. For unit and property
 * tests.
 */
#ifndef PISTACHIO_TEST_DRIVE_H
#define PISTACHIO_TEST_DRIVE_H

#include "core/entry.h"

#define DRIVE_KEY_HASH "hash-of-the-key"
#define DRIVE_URGENT_KEY_HASH "hash-of-an-urgent-key"

typedef struct drive {
	entry_t *entry;
	pd_time_t now;
	int64_t wall;
	list_node_t actions;
	caller_id_t next_caller;
} drive_t;

drive_t *drive_create(const char *id, const char *zone, uint64_t seed);
void drive_destroy(drive_t *drive);
void drive_event(drive_t *drive, event_t *event);
void drive_tick(drive_t *drive, pd_time_t step);
void drive_bundle(drive_t *drive, uint64_t generation);
void drive_vms(drive_t *drive, unsigned int models, unsigned int services,
	       unsigned int slots);
caller_id_t drive_urgent_request(drive_t *drive, const char *target);
caller_id_t drive_request(drive_t *drive, target_kind_t kind,
			  const char *target, const char *idempotency_key);
void drive_upstream(drive_t *drive, upstream_event_kind_t kind,
		    attempt_id_t attempt, uint64_t offset, bool written);
void drive_store_reply(drive_t *drive, const action_t *request_action,
		       store_status_t status, uint64_t version,
		       claim_table_t *table);
action_t *drive_take(drive_t *drive, action_kind_t kind);
unsigned int drive_count(const drive_t *drive, action_kind_t kind);
void drive_clear(drive_t *drive);

#endif
