/*
 * The gateway: a reverse proxy that forwards callers' requests to upstreams. Its
 * configuration and the list of upstreams come from the platform's store and from
 * peer gateways.
 */
#ifndef PISTACHIO_GATEWAY_H
#define PISTACHIO_GATEWAY_H

#include "adapters/gateway/gateway_state.h"
#include "core/error.h"

gateway_t *gateway_create(uv_loop_t *loop, gateway_settings_t *settings,
			  pd_error_t *err);
void gateway_stop(gateway_t *gateway);
void gateway_update_gauges(gateway_t *gateway);
bool gateway_is_initialized(const gateway_t *gateway);
bool gateway_is_ready(const gateway_t *gateway);
bool gateway_apply_config(gateway_t *gateway, const char *text, const char *source);
void gateway_store_answered(gateway_t *gateway, pd_time_t at);
void gateway_store_failed(gateway_t *gateway, pd_time_t sent_at);
uint64_t gateway_sole_version(gateway_t *gateway, const char *service,
			      pd_time_t since);
uint64_t gateway_each_sole_version(gateway_t *gateway,
				   stream_versions_each_t each, void *ctx);
void gateway_upstream_changed(gateway_t *gateway, const char *id,
			      const char *source);

#endif
