/* State of a request, shared by request*.c and private to them. */
#ifndef PISTACHIO_GATEWAY_REQUEST_STATE_H
#define PISTACHIO_GATEWAY_REQUEST_STATE_H

#include "adapters/gateway/request.h"
#include "adapters/gateway/upstream_link.h"
#include "core/forward/choice.h"
#include "core/forward/event_stream.h"
#include "core/forward/shed.h"
#include "core/forward/recent_median.h"

/*
 * Values of Retry-After: without capacity, about the time in which some requests end;
 * without any upstream, the time of a few reads of the store.
 */
#define RETRY_AFTER_FULL (400 * PD_MSEC)
#define RETRY_AFTER_NO_UPSTREAM (600 * PD_MSEC)
/* Another gateway can accept the caller at once. */
#define RETRY_AFTER_STOPPING (20 * PD_MSEC)
/* The reason of requests that end as all together buffer too much of their answers. */
#define REASON_NO_MEMORY "no memory for answers"
#define REASON_STOP "stopping"

typedef enum request_state {
	REQUEST_READING, /* receiving it from the caller */
	REQUEST_QUEUED,
	REQUEST_CONNECTING, /* an upstream was chosen, nothing was sent */
	REQUEST_SENT, /* bytes may have been sent; no response yet */
	REQUEST_HEAD_RECEIVED, /* of the response; the caller has nothing yet */
	REQUEST_STREAMING, /* the caller has part of the response */
	REQUEST_ENDED
} request_state_t;

/* How an attempt at an upstream ended without a response to forward. */
typedef enum attempt_outcome {
	ATTEMPT_UNSENT, /* nothing was sent */
	ATTEMPT_WITHHELD, /* the same, for no fault of the upstream */
	ATTEMPT_REJECTED, /* the upstream confirmed that it did not run */
	ATTEMPT_UNKNOWN, /* it may have run */
	ATTEMPT_FAILED /* the upstream ran it and reported a failure */
} attempt_outcome_t;

typedef struct relay relay_t;

struct gateway_request {
	list_node_t node;
	list_node_t queue_node; /* in the startup queue or that of its rank */
	gateway_t *gateway;
	caller_t *caller; /* borrowed */
	forward_call_t *call;
	GByteArray *body;
	bool has_body;
	bool too_large;
	bool body_dropped; /* as all bodies together took too much memory */
	request_state_t state;
	forward_config_t *config;
	const forward_route_t *route;
	const forward_account_t *account; /* NULL: unauthenticated, on an open route */
	const char *service;
	int rank; /* 0 is the most urgent */
	bool returned; /* its caller was told to come back, and did */
	uint64_t fingerprint; /* of what it asks for; 0: not read completely */
	/* itself and the parts of its prompt, these until its first event */
	quarantine_suspects_t suspects;
	double charged; /* to the account's limit, in its unit */
	pd_time_t arrived_at; /* when its head was read */
	pd_time_t read_at; /* when it was read completely */
	pd_time_t deadline; /* for the end of the response */
	unsigned int sends; /* attempts begun */
	unsigned int deliveries; /* attempts whose request was sent */
	unsigned int possible_runs; /* attempts that may have run */
	uint64_t version_id; /* at which the stream began or has to begin; 0: any */
	bool version_pinned; /* it was recorded before the first event */
	bool version_recorded; /* an event of this attempt was forwarded */
	pd_time_t version_asked_at; /* when the store or other gateways were; 0: none */
	pd_time_t version_wanted_at; /* since when it waits for the version */
	bool usage_counted;
	bool outcome_recorded; /* for load shedding */
	char *tried[FORWARD_TRIED_MAX];
	unsigned int tried_count;
	uint32_t slot_number; /* of the slot it has or waits for; 0: none */
	bool slot_unanswered; /* it chooses an upstream without asking for a slot */
	/* of the grant of a brittle upstream that it has or waits for; 0: none */
	uint32_t grant_number;
	forward_pick_t granted_pick; /* what it is for; holds a reference */
	bool grant_settled; /* the upstream admitted the request */
	unsigned int relays; /* other gateways that it was relayed to */
	relay_t *relay; /* in progress; NULL: none */
	/* The current attempt. */
	forward_upstream_t *upstream; /* NULL: no attempt */
	unsigned int upstream_incarnation; /* to which it leads, as far as is known */
	/* of that process; FORWARD_VERSION_UNKNOWN until its registration is read */
	uint64_t upstream_version_id;
	pd_time_t connected_at; /* its connection, once the request was sent on it */
	uint64_t resumed_version_id; /* of the parts before this attempt; 0: none */
	bool has_rollout_draw;
	double rollout_draw; /* whether it may use the new version in a roll-out */
	pd_time_t first_event_at; /* of this attempt; 0: none yet */
	pd_time_t last_event_at;
	unsigned int attempt_events; /* events of this attempt */
	upstream_link_t *link;
	pd_time_t attempt_started_at;
	pd_time_t sent_at; /* 0: nothing was sent yet */
	pd_time_t retry_at; /* when another upstream is tried; 0: not waiting for that */
	double prefill_tokens; /* added to the upstream's; 0 after the first event */
	bool prefills_alone; /* the upstream had no other prompt to prefill */
	recent_median_t pauses; /* between events, in microseconds */
	pd_time_t events_at; /* when the last event arrived; 0: none yet */
	bool is_speed_sample; /* the upstream had free slots when it was sent */
	bool skipping_response; /* the current response is for another request */
	unsigned int skipped_responses; /* of this attempt */
	size_t discarded_bytes; /* received in this attempt, of no use to the caller */
	int status;
	bool rejected;
	bool sealed; /* the response has the upstream's signature */
	bool is_stream;
	bool ends_with_connection; /* the response has no length */
	size_t end_probe; /* number of the probe that verifies its end; 0: none */
	bool response_keep_alive;
	pd_time_t idle_timeout;
	GString *response_headers; /* header lines to forward */
	GByteArray *response_body;
	event_stream_t *events;
	bool held; /* its response is not read, as the caller is behind */
	size_t answer_bytes; /* in the three above, as counted in gateway->answer_bytes */
};

extern const upstream_link_callbacks_t gateway_request_link_callbacks;

void gateway_relay_destroy(relay_t *relay);
void gateway_relay_hold(relay_t *relay, bool hold);
bool gateway_request_is_quarantined(gateway_request_t *request);
void gateway_request_clear_parts(gateway_request_t *request);
void gateway_requests_end_held(gateway_t *gateway);
void gateway_request_retry(gateway_request_t *request);
void gateway_request_watch_upstream(const gateway_request_t *request);
void gateway_request_proceed(gateway_request_t *request);
void gateway_request_find_version(gateway_request_t *request);
void gateway_request_check_version(gateway_request_t *request, pd_time_t now);
void gateway_request_pin_version(gateway_request_t *request);
void gateway_request_record_version(gateway_request_t *request);
bool gateway_request_update_version(gateway_request_t *request);
bool gateway_request_is_resumed(const gateway_request_t *request);
bool gateway_request_resolve_version(gateway_request_t *request);
void gateway_request_share_version(gateway_request_t *request);
bool gateway_request_may_relay(const gateway_request_t *request);
void gateway_request_relay(gateway_request_t *request);
void gateway_request_end_relay(gateway_request_t *request, const char *reason);
void gateway_request_check_relay(gateway_request_t *request, pd_time_t now);
void gateway_request_refund(gateway_request_t *request);
bool gateway_request_is_streamed(const gateway_request_t *request,
				 const http1_head_t *head);
void gateway_request_store_headers(gateway_request_t *request,
				   const http1_head_t *head);
void gateway_request_clear_attempt(gateway_request_t *request);
void gateway_request_count_usage(gateway_request_t *request);
void gateway_request_respond_error(gateway_request_t *request, int status,
				   pd_time_t retry_after, const char *reason);
void gateway_request_give_up(gateway_request_t *request, pd_time_t retry_after,
			     const char *reason);
void gateway_request_drop(gateway_request_t *request, const char *reason);
void gateway_request_abort_stream(gateway_request_t *request, const char *reason);
void gateway_request_finish(gateway_request_t *request);
forward_choice_t gateway_request_choose(gateway_request_t *request,
					forward_pick_t *pick);
bool gateway_request_is_restricted(const gateway_request_t *request);
forward_choice_t gateway_request_choose_version(gateway_request_t *request,
						forward_criteria_t *criteria,
						forward_pick_t *pick);
void gateway_request_record_rollout_send(gateway_request_t *request);
void gateway_request_record_events(gateway_request_t *request, unsigned int events);
void gateway_request_record_rollout_abandoned(const gateway_request_t *request);
void gateway_request_record_rollout_answer(const gateway_request_t *request,
					   bool failed);
bool gateway_request_await_slot(gateway_request_t *request);
void gateway_request_release_slot(gateway_request_t *request, bool rejected);
void gateway_request_begin_attempt(gateway_request_t *request,
				   const forward_pick_t *pick);
void gateway_request_release_grant(gateway_request_t *request, bool rejected);
void gateway_request_settle_grant(gateway_request_t *request);
void gateway_request_check_grant(gateway_request_t *request, pd_time_t now);
bool gateway_request_has_fresh_grant(const gateway_request_t *request,
				     pd_time_t now);
bool gateway_request_is_late_to_send(const gateway_request_t *request);
void gateway_request_end_at_stop(gateway_request_t *request);
void gateway_request_send(gateway_request_t *request);
bool gateway_request_is_retryable(const gateway_request_t *request);
void gateway_request_end_attempt(gateway_request_t *request,
				 attempt_outcome_t end, const char *reason);
void gateway_request_start_attempt(gateway_request_t *request,
				   const forward_pick_t *pick);
void gateway_request_dispatch(gateway_request_t *request);
void gateway_request_begin_response(gateway_request_t *request, gint64 length);
void gateway_request_forward_chunk(gateway_request_t *request, const char *data,
				   size_t len);
void gateway_request_accept_answer(gateway_request_t *request);
void gateway_request_reject_answer(gateway_request_t *request);
void gateway_request_verify_end(gateway_request_t *request);
void gateway_request_close_link(gateway_request_t *request);
const char *gateway_request_buffer_body(gateway_request_t *request,
					const char *data, size_t len);
bool gateway_request_answer_fits(gateway_request_t *request);
void gateway_request_discard_answer(gateway_request_t *request);
void gateway_request_cut_off(gateway_request_t *request, const char *reason);
void gateway_request_enqueue(gateway_request_t *request);
pd_time_t gateway_request_queue_time_max(const gateway_request_t *request);
bool gateway_request_may_await_permit(gateway_request_t *request, pd_time_t now);
void gateway_request_record_leaving(gateway_t *gateway,
				    forward_upstream_t *upstream);
bool gateway_is_relay_header(const char *name);
void gateway_request_append_leaving(const gateway_request_t *request,
				    GString *headers);
void gateway_request_record_rest(const gateway_request_t *request, pd_time_t rest);
pd_time_t gateway_request_rest_left(const gateway_request_t *request);
bool gateway_request_may_await_rest(gateway_request_t *request,
				    pd_time_t rest_until, pd_time_t now);
bool gateway_request_may_use(const gateway_request_t *request,
			     const forward_upstream_t *upstream);
double gateway_request_unshared_work(const gateway_request_t *request);
bool gateway_request_admit(gateway_request_t *request);
void gateway_request_record_outcome(gateway_request_t *request, bool overloaded);
void gateway_request_record_first_event(gateway_request_t *request);
void gateway_request_begin_speed_sample(gateway_request_t *request);
void gateway_request_record_pause(gateway_request_t *request, unsigned int events);
void gateway_request_record_speed(gateway_request_t *request);
void gateway_request_check_first_event(gateway_request_t *request, pd_time_t now);
shed_ranks_t gateway_account_ranks(const forward_account_t *account);
void gateway_shedders_run(gateway_t *gateway, pd_time_t now);

#endif
