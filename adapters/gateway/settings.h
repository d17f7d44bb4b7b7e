/* The settings of the gateway program, read from a TOML file. */
#ifndef PISTACHIO_GATEWAY_SETTINGS_H
#define PISTACHIO_GATEWAY_SETTINGS_H

#include "adapters/setting_table.h"
#include "core/forward/retry_window.h"
#include "core/forward/rollout.h"
#include "core/forward/token_limits.h"

#define GATEWAY_SEEDS_MAX 8
#define GATEWAY_ZONES_MAX 32

typedef struct gateway_settings {
	char *node_id;
	char *node_zone;
	char *zones[GATEWAY_ZONES_MAX];
	char *callers_listen; /* address:port, as the addresses below */
	char *health_listen;
	char *peers_listen;
	char *relay_listen; /* empty: none */
	char *peers_seeds[GATEWAY_SEEDS_MAX];
	char *store_address;
	char *cloud_address;
	double retry_ratio;
	double retry_slack;
	double retry_window_s;
	char *node_start;
	double node_cores;
	double node_link_mbps;
	double limits_window_s;
	double limits_overage;
	double limits_slack;
	double stop_grace_s;
	int64_t lease_gap_ms;
	double usage_window_s;
	double usage_due_s;
	double exposure_share;
	double exposure_slack;
	int64_t rollback_ms;
} gateway_settings_t;

const setting_table_t *gateway_settings_table(void);
gateway_settings_t *gateway_settings_read(const char *path, pd_error_t *err);
retry_limits_t gateway_settings_retries(const gateway_settings_t *settings);
rollout_settings_t gateway_settings_rollouts(const gateway_settings_t *settings);
token_limits_config_t gateway_settings_limits(const gateway_settings_t *settings);
void gateway_settings_destroy(gateway_settings_t *settings);

#endif
