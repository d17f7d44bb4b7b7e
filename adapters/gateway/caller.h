/* Connections of callers: each carries one request at a time. */
#ifndef PISTACHIO_CALLER_H
#define PISTACHIO_CALLER_H

#include "adapters/gateway/gateway_state.h"

typedef struct caller caller_t;

void caller_accept(gateway_t *gateway, uv_stream_t *listener, bool is_gateway);
bool caller_is_gateway(const caller_t *caller);
void caller_write(caller_t *caller, const char *data, size_t len);
size_t caller_unread_bytes(const caller_t *caller);
bool caller_has_connection(const caller_t *caller, const http1_t *conn);
bool caller_keeps_alive(const caller_t *caller);
void caller_response_done(caller_t *caller);
void caller_abort(caller_t *caller);
void callers_run(gateway_t *gateway, pd_time_t now);
void callers_close_idle(gateway_t *gateway, pd_time_t now);
void callers_close_all(gateway_t *gateway);

#endif
