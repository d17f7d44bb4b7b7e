/*
 * One request of a caller, from its head to the end of the response. Its state decides
 * how a failure is reported to the caller; request-notes.md has the table.
 */
#ifndef PISTACHIO_GATEWAY_REQUEST_H
#define PISTACHIO_GATEWAY_REQUEST_H

#include "adapters/gateway/caller.h"
#include "core/forward/call.h"

typedef struct gateway_request gateway_request_t;

gateway_request_t *gateway_request_create(gateway_t *gateway, caller_t *caller,
					  const http1_head_t *head);
bool gateway_request_add_body(gateway_request_t *request, const char *data,
			      size_t len);
bool gateway_request_is_overdue(const gateway_request_t *request, pd_time_t now);
void gateway_request_start(gateway_request_t *request);
void gateway_request_abandon(gateway_request_t *request, const char *reason);
const struct gateway_slot_hooks *gateway_request_slot_hooks(void);
const struct gateway_grant_hooks *gateway_request_grant_hooks(void);
unsigned int gateway_queue_length(const gateway_t *gateway, const char *service,
				  int ranks);
bool gateway_answers_are_behind(const gateway_t *gateway, size_t unread);
void gateway_limit_answers(gateway_t *gateway);
void gateway_request_pace(gateway_request_t *request);
void gateway_requests_run(gateway_t *gateway, pd_time_t now);
void gateway_requests_end(gateway_t *gateway);

#endif
