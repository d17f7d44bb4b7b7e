/* The table of the gateway's settings: keys, types, ranges and defaults. */
#include "adapters/gateway/settings.h"

#include <glib.h>

#define OFFSET(member) offsetof(gateway_settings_t, member)

static const setting_t rows[] = {
	{ "node.id", SETTING_STRING, OFFSET(node_id), 0, 0, NULL,
	  "unique name of this process's VM" },
	{ "node.zone", SETTING_STRING, OFFSET(node_zone), 0, 0, NULL,
	  "availability zone of this VM" },
	{ "node.start", SETTING_CHOICE, OFFSET(node_start), 0, 0, "again",
	  "first|again" },
	{ "node.cores", SETTING_DECIMAL, OFFSET(node_cores), 0, 1024, "1",
	  "processor of this VM, in cores" },
	{ "node.link_mbps", SETTING_DECIMAL, OFFSET(node_link_mbps), 0, 1000000,
	  "1000", "bandwidth of this VM's link, in Mbit/s" },
	{ "fleet.zones", SETTING_STRINGS, OFFSET(zones), 0, GATEWAY_ZONES_MAX,
	  "", "all availability zones" },
	{ "callers.listen", SETTING_STRING, OFFSET(callers_listen), 0, 0, NULL,
	  "address:port for callers" },
	{ "health.listen", SETTING_STRING, OFFSET(health_listen), 0, 0, NULL,
	  "address:port for the balancer's question and for metrics" },
	{ "peers.listen", SETTING_STRING, OFFSET(peers_listen), 0, 0, NULL,
	  "address:port for the other gateways" },
	{ "relay.listen", SETTING_STRING, OFFSET(relay_listen), 0, 0, "",
	  "address:port for requests that other gateways relay; empty: none" },
	{ "peers.seeds", SETTING_STRINGS, OFFSET(peers_seeds), 0,
	  GATEWAY_SEEDS_MAX, "", "address:port of gateways to begin with" },
	{ "store.address", SETTING_STRING, OFFSET(store_address), 0, 0, NULL,
	  "address:port of the platform's store" },
	{ "cloud.address", SETTING_STRING, OFFSET(cloud_address), 0, 0, NULL,
	  "address:port of the platform's cloud API" },
	{ "retry.ratio", SETTING_DECIMAL, OFFSET(retry_ratio), 0, 10, "0.2",
	  "repeated sends for each request to a service" },
	{ "retry.slack", SETTING_DECIMAL, OFFSET(retry_slack), 0, 100000, "10",
	  "repeated sends more, in a window, of all gateways" },
	{ "retry.window_s", SETTING_DECIMAL, OFFSET(retry_window_s), 1, 600,
	  "10", "seconds of that window" },
	{ "limits.window_s", SETTING_DECIMAL, OFFSET(limits_window_s), 1, 600,
	  "8", "seconds over which an account's use is summed" },
	{ "limits.overage", SETTING_DECIMAL, OFFSET(limits_overage), 0, 10,
	  "0.1", "part of a limit by which it may be exceeded" },
	{ "limits.slack", SETTING_DECIMAL, OFFSET(limits_slack), 0, 100000000,
	  "0", "tokens in a window by which a limit may be exceeded" },
	{ "stop.grace_s", SETTING_DECIMAL, OFFSET(stop_grace_s), 1, 600, "8",
	  "seconds from the order to stop until the process is killed" },
	{ "duties.lease_gap_ms", SETTING_INTEGER, OFFSET(lease_gap_ms), 100,
	  60000, "3000",
	  "milliseconds within which no holder may act, lose the duties and "
	  "act again" },
	{ "duties.usage_window_s", SETTING_DECIMAL, OFFSET(usage_window_s), 1,
	  3600, "5", "seconds of a window of usage" },
	{ "duties.usage_due_s", SETTING_DECIMAL, OFFSET(usage_due_s), 1, 3600,
	  "10", "seconds after a window in which its report is due" },
	{ "rollout.exposure_share", SETTING_DECIMAL, OFFSET(exposure_share), 0,
	  1, "0",
	  "part of a service's requests that a bad version may get during its "
	  "roll-out; 0: roll-outs are not served" },
	{ "rollout.exposure_slack", SETTING_DECIMAL, OFFSET(exposure_slack), 0,
	  1000000, "50", "requests that it may get besides" },
	{ "rollout.rollback_ms", SETTING_INTEGER, OFFSET(rollback_ms), 1, 600000,
	  "5000", "milliseconds after its 50th bad answer in which it may get requests" },
};

/* Returns the table of all settings; it is static. */
const setting_table_t *gateway_settings_table(void)
{
	static const setting_table_t table = { rows, G_N_ELEMENTS(rows) };

	return &table;
}

/*
 * Reads and validates the settings file at PATH. On failure returns NULL with ERR set
 * to one line with the file, line, key and expected value. The caller owns the result.
 */
gateway_settings_t *gateway_settings_read(const char *path, pd_error_t *err)
{
	gateway_settings_t *settings = g_new0(gateway_settings_t, 1);

	if (setting_table_read(gateway_settings_table(), path, settings, err) < 0)
		goto error;
	return settings;
error:
	gateway_settings_destroy(settings);
	return NULL;
}

/* Returns the retry budget: what bounds repeated sends. */
retry_limits_t gateway_settings_retries(const gateway_settings_t *settings)
{
	return (retry_limits_t){
		.ratio = settings->retry_ratio,
		.slack = settings->retry_slack,
		.window = (pd_time_t)(settings->retry_window_s * PD_SEC),
	};
}

/* Returns the rules by which the limits of accounts are enforced. */
token_limits_config_t gateway_settings_limits(const gateway_settings_t *settings)
{
	return (token_limits_config_t){
		.window = (pd_time_t)(settings->limits_window_s * PD_SEC),
		.overage = settings->limits_overage,
		.slack = settings->limits_slack,
	};
}

/* Returns the bounds on what a bad version may get in a roll-out. */
rollout_settings_t gateway_settings_rollouts(const gateway_settings_t *settings)
{
	return (rollout_settings_t){
		.exposure_share = settings->exposure_share,
		.exposure_slack = settings->exposure_slack,
		.rollback_time = settings->rollback_ms * PD_MSEC,
	};
}

/* Frees the settings; NULL is allowed. */
void gateway_settings_destroy(gateway_settings_t *settings)
{
	if (!settings)
		return;
	setting_table_clear(gateway_settings_table(), settings);
	g_free(settings);
}
