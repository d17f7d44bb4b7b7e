/* The duties in progress, as the files of duties share them. Private to them. */
#ifndef PISTACHIO_GATEWAY_DUTIES_STATE_H
#define PISTACHIO_GATEWAY_DUTIES_STATE_H

#include "adapters/gateway/duties.h"
#include "adapters/gateway/duties_note.h"
#include "core/lease.h"

struct gateway_duties {
	gateway_t *gateway;
	lease_t *lease;
	store_op_t op; /* of the call that is out */
	uint64_t fence; /* last seen as held */
	pd_time_t act_not_before; /* a new holder waits until then */
	bool held;
	bool resuming; /* this VM led before all gateways were killed */
	bool store_reachable; /* as seen last */
	int64_t reported_window; /* the last window that the platform took */
	int64_t sent_window; /* the window of the report that is out */
	bool report_in_flight; /* a report is out */
	pd_time_t report_at;
	pd_time_t counts_asked_at; /* for a report; 0: not yet */
	bool waiting_for_counts; /* the next report waits for gateways' counts */
	GHashTable *plans; /* service -> scale_plan_t */
	GHashTable *orders; /* "service zone kind" -> order_t */
	pd_time_t plan_at;
	duties_note_t *lease_note; /* of the lease's record, as read last */
	char *lease_note_text;
};

const char *duties_lease_note_text(const gateway_duties_t *duties);
const duties_note_t *duties_lease_note(gateway_duties_t *duties);
void duties_add_needs(gateway_duties_t *duties, duties_note_t *note);
void duties_post(const gateway_duties_t *duties, const char *path,
		 const char *body, http1_replied_t on_reply, void *ctx);
void duties_run_usage(gateway_duties_t *duties, pd_time_t now);
void duties_run_scale(gateway_duties_t *duties, pd_time_t now);

#endif
