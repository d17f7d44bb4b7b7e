/* State of the duties, shared by duties*.c and private to them. */
#ifndef PISTACHIO_GATEWAY_DUTIES_STATE_H
#define PISTACHIO_GATEWAY_DUTIES_STATE_H

#include "adapters/gateway/duties.h"
#include "adapters/gateway/duties_note.h"
#include "core/lease.h"

struct gateway_duties {
	gateway_t *gateway;
	lease_t *lease;
	store_op_t op; /* of the lease call in flight */
	uint64_t fencing_token; /* fencing token of the lease last held; 0: none */
	pd_time_t act_not_before; /* a new leader waits until then */
	bool held;
	bool resuming; /* this VM led before all gateways were killed */
	bool store_reachable; /* at the previous run */
	int64_t reported_window; /* the last one whose report the platform accepted */
	int64_t sent_window; /* of the report sent last */
	bool report_in_flight;
	pd_time_t report_at; /* earliest time of the next report */
	pd_time_t counts_requested_at; /* counts were requested for a report; 0: not yet */
	bool waiting_for_counts; /* the next report waits for counts of gateways */
	GHashTable *plans; /* service -> scale_plan_t */
	GHashTable *orders; /* "service zone kind" -> order_t */
	pd_time_t plan_at; /* when to plan the scaling next */
	duties_note_t *lease_note; /* parsed from lease_note_text */
	char *lease_note_text; /* note of the lease's record when it was last parsed */
};

const char *duties_lease_note_text(const gateway_duties_t *duties);
const duties_note_t *duties_lease_note(gateway_duties_t *duties);
void duties_add_needs(gateway_duties_t *duties, duties_note_t *note);
void duties_post(const gateway_duties_t *duties, const char *path,
		 const char *body, http1_on_reply_t on_reply, void *ctx);
void duties_run_usage(gateway_duties_t *duties, pd_time_t now);
void duties_run_scale(gateway_duties_t *duties, pd_time_t now);

#endif
