/* A request in progress, as the files of requests share it. Private to them. */
#ifndef PISTACHIO_GATEWAY_REQUEST_STATE_H
#define PISTACHIO_GATEWAY_REQUEST_STATE_H

#include "adapters/gateway/request.h"
#include "adapters/gateway/upstream_link.h"
#include "core/forward/choice.h"
#include "core/forward/event_stream.h"

/*
 * When callers may come back: after a refusal for want of room about the time in
 * which some requests end, and without any upstream a few looks at the store.
 */
#define RETRY_AFTER_FULL (400 * PD_MSEC)
#define RETRY_AFTER_NO_UPSTREAM (600 * PD_MSEC)

typedef enum request_state {
	REQUEST_READING, /* from the caller */
	REQUEST_QUEUED,
	REQUEST_CONNECTING, /* an upstream is chosen, nothing was sent */
	REQUEST_SENT, /* bytes may have left; no answer yet */
	REQUEST_HEAD_RECEIVED, /* an answer's head came; the caller has nothing */
	REQUEST_STREAMING, /* the caller has a part of the answer */
	REQUEST_ENDED
} request_state_t;

/* How an attempt at an upstream ended without an answer to pass on. */
typedef enum attempt_outcome {
	ATTEMPT_UNSENT, /* no byte left */
	ATTEMPT_REJECTED, /* the upstream vouches that it did not run */
	ATTEMPT_UNKNOWN, /* it may have run */
	ATTEMPT_FAILED /* the upstream ran it and says that it failed */
} attempt_outcome_t;

struct gateway_request {
	list_node_t node;
	list_node_t queue_node; /* in a queue */
	gateway_t *gateway;
	caller_t *caller; /* NULL: it left */
	forward_call_t *call;
	GByteArray *body;
	bool has_body;
	bool too_large;
	request_state_t state;
	forward_config_t *config;
	const forward_route_t *route;
	const forward_account_t *account; /* NULL: of nobody */
	const char *service;
	int rank;
	double charged; /* out of the account's limit */
	pd_time_t arrived_at;
	pd_time_t read_at; /* when it was read whole */
	pd_time_t deadline; /* for the final answer */
	unsigned int sends;
	unsigned int deliveries; /* sends that reached an upstream */
	unsigned int possible_runs; /* sends that may have run */
	bool usage_counted; /* in the usage */
	bool outcome_recorded; /* its first send's outcome was noted */
	char *tried[FORWARD_TRIED_MAX];
	unsigned int tried_count;
	/* The attempt in progress. */
	forward_upstream_t *upstream;
	unsigned int upstream_incarnation; /* of the upstream, that the attempt is made at */
	upstream_link_t *link;
	pd_time_t attempt_started_at;
	pd_time_t sent_at; /* 0: nothing was sent yet */
	double prefill_tokens; /* prompt tokens noted at the upstream */
	bool prefills_alone; /* the upstream had nothing else to read */
	bool skipping_response; /* the answer that comes in is of another request */
	int status;
	bool rejected;
	bool sealed;
	bool is_stream;
	bool response_keep_alive;
	pd_time_t idle_timeout;
	GString *response_headers; /* header lines to pass on */
	GByteArray *response_body;
	event_stream_t *events;
};

extern const upstream_link_callbacks_t gateway_request_link_callbacks;

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
void gateway_request_send(gateway_request_t *request);
bool gateway_request_is_retryable(const gateway_request_t *request);
void gateway_request_end_attempt(gateway_request_t *request,
				 attempt_outcome_t end, const char *reason);
void gateway_request_start_attempt(gateway_request_t *request,
				   const forward_pick_t *pick);
void gateway_request_dispatch(gateway_request_t *request);
void gateway_request_begin_response(gateway_request_t *request, gint64 length);
void gateway_request_enqueue(gateway_request_t *request);
bool gateway_request_admit(gateway_request_t *request);
void gateway_request_record_outcome(gateway_request_t *request, bool pressed);
void gateway_request_record_first_event(gateway_request_t *request);
void gateway_request_check_first_event(gateway_request_t *request, pd_time_t now);
void gateway_sheds_run(gateway_t *gateway, pd_time_t now);

#endif
