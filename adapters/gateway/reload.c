/*
 * Reloads the settings on SIGHUP and when the file has changed. Settings that are read
 * at start only are logged and keep their values until the next start.
 */
#include "adapters/gateway/reload.h"

#include <glib/gstdio.h>
#include <string.h>

#include "adapters/gateway/peers.h"
#include "adapters/log_glib.h"

#define LOG_COMPONENT "settings"
/* The file may change without a signal; each check costs one system call. */
#define CHECK_PERIOD (2 * PD_SEC)

/* Returns whether a key is read at start only: identity and listen addresses. */
static bool is_read_at_start_only(const char *key)
{
	static const char *const fixed[] = {
		"node.id",	 "node.zone",	 "node.start", "callers.listen",
		"health.listen", "peers.listen", NULL
	};

	return g_strv_contains(fixed, key);
}

/* Returns a number that changes when the file does; 0 if its status can't be read. */
static int64_t file_stamp(const char *path)
{
	GStatBuf seen;

	if (g_stat(path, &seen) != 0)
		return 0;
	return (int64_t)seen.st_mtim.tv_sec * 1000000000 +
	       seen.st_mtim.tv_nsec + seen.st_size;
}

/* Points a client to another address; logs one without a port and ignores it. */
static void set_client_address(http1_client_t *client, const char *address)
{
	char *host = NULL;
	uint16_t port = 0;

	if (!gateway_split_address(address, &host, &port)) {
		log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
			 "address=%s ignored: expected address:port", address);
		return;
	}
	http1_client_set_address(client, host, port);
	g_free(host);
}

/* Passes a changed setting on to the parts of the gateway that hold a copy of it. */
static void apply_setting(gateway_t *gateway, const setting_t *setting)
{
	const gateway_settings_t *settings = gateway->settings;

	if (!strcmp(setting->key, "store.address"))
		set_client_address(gateway->store, settings->store_address);
	else if (!strcmp(setting->key, "cloud.address"))
		set_client_address(gateway->cloud, settings->cloud_address);
	else if (!strcmp(setting->key, "peers.seeds"))
		gateway_peers_add_seeds(gateway->peers);
	else if (g_str_has_prefix(setting->key, "retry.")) {
		const retry_limits_t limits = gateway_settings_retries(settings);

		retry_windows_set_limits(gateway->retries, &limits);
	} else if (g_str_has_prefix(setting->key, "rollout.")) {
		const rollout_settings_t bounds =
			gateway_settings_rollouts(settings);

		rollouts_configure(gateway->rollouts, &bounds);
	} else if (g_str_has_prefix(setting->key, "limits.")) {
		const token_limits_config_t rules =
			gateway_settings_limits(settings);

		token_limits_configure(gateway->limits, &rules);
	}
}

/*
 * Swaps the settings that differ, except those read at start only, so that LOADED then
 * has the old values. Returns the number of settings that were applied.
 */
static unsigned int apply_changes(gateway_t *gateway, gateway_settings_t *loaded)
{
	const setting_table_t *table = gateway_settings_table();
	unsigned int taken = 0;

	for (size_t i = 0; i < table->count; i++) {
		const setting_t *row = &table->rows[i];

		if (setting_equal(row, gateway->settings, loaded))
			continue;
		if (is_read_at_start_only(row->key)) {
			log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
				 "key=%s changed=no reason=\"read at start "
				 "only\"",
				 row->key);
			continue;
		}
		setting_swap(row, gateway->settings, loaded);
		log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "key=%s changed=yes",
			 row->key);
		apply_setting(gateway, row);
		taken++;
	}
	return taken;
}

/*
 * Reloads the settings file. If it is invalid, logs that and keeps the current
 * settings: exiting on a typo would drop all callers of this gateway.
 */
void gateway_reload(gateway_t *gateway)
{
	gateway_settings_t *loaded;
	pd_error_t err;

	if (!gateway->settings_path)
		return;
	gateway->settings_stamp = file_stamp(gateway->settings_path);
	loaded = gateway_settings_read(gateway->settings_path, &err);
	if (!loaded) {
		log_error(LOG_COMPONENT, "reload", &err);
		return;
	}
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "reload path=%s keys=%u",
		 gateway->settings_path, apply_changes(gateway, loaded));
	gateway_settings_destroy(loaded);
}

/* Checks every CHECK_PERIOD whether the file has changed, and reloads it if so. */
void gateway_reload_run(gateway_t *gateway, pd_time_t now)
{
	int64_t stamp;

	if (!gateway->settings_path || now < gateway->settings_check_at)
		return;
	gateway->settings_check_at = now + CHECK_PERIOD;
	stamp = file_stamp(gateway->settings_path);
	if (!gateway->settings_stamp)
		gateway->settings_stamp = stamp;
	if (stamp && stamp != gateway->settings_stamp)
		gateway_reload(gateway);
}
