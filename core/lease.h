/*
 * A lease on a role: one object in the platform's store that names the holder
 * and a fencing token. The safety argument is in lease-notes.md.
 */
#ifndef PISTACHIO_LEASE_H
#define PISTACHIO_LEASE_H

#include "ports/placer_event.h"

typedef struct lease lease_t;

/* The lease's timing. takeover_timeout exceeds term, as clocks drift. */
typedef struct lease_timing {
	pd_time_t term; /* validity, counted from the request of a renewal */
	pd_time_t renew_period;
	pd_time_t takeover_timeout; /* unrenewed for so long: expired */
	pd_time_t standby_period; /* mean time between checks by candidates */
} lease_timing_t;

extern const lease_timing_t lease_timing_placer;

lease_t *lease_create(const char *holder, const lease_timing_t *timing,
		      uint32_t seed);
void lease_set_predecessors(lease_t *lease, const char *prefix);
void lease_destroy(lease_t *lease);
void lease_handle_reply(lease_t *lease, const lease_reply_t *reply, pd_time_t now);
void lease_run(lease_t *lease, pd_time_t now, list_node_t *actions);
bool lease_is_held(const lease_t *lease, pd_time_t now);
pd_time_t lease_held_until(const lease_t *lease);
bool lease_is_synced(const lease_t *lease, pd_time_t now);
uint64_t lease_fencing_token(const lease_t *lease);
const lease_record_t *lease_record(const lease_t *lease);
bool lease_is_others(const lease_t *lease);
bool lease_set_note(lease_t *lease, const char *note, pd_time_t now);
bool lease_set_note_deferred(lease_t *lease, const char *note, pd_time_t now);
void lease_check_now(lease_t *lease, pd_time_t now);
void lease_check_at_start(lease_t *lease, pd_time_t now);
bool lease_add_intent(lease_t *lease, const intent_t *intent);
void lease_drop_intent(lease_t *lease, const char *tag);

#endif
