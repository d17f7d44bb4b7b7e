/*
 * Reads the settings again, at SIGHUP and when the file has changed, and puts in
 * force what can be: the rest is logged and waits for the next start.
 */
#include "adapters/gateway/reload.h"

#include <glib/gstdio.h>
#include <string.h>

#include "adapters/gateway/peers.h"
#include "adapters/log_glib.h"

#define PART "settings"
/* The file may change without a signal; a look at it costs one system call. */
#define LOOK_PERIOD (2 * PD_SEC)

/* Says whether a key is only read at start: who and where this process is. */
static bool is_fixed(const char *key)
{
	static const char *const fixed[] = {
		"node.id",	 "node.zone",	 "node.start", "callers.listen",
		"health.listen", "peers.listen", NULL
	};

	return g_strv_contains(fixed, key);
}

/* Returns a number that changes with the file; 0 if it can't be seen. */
static int64_t file_stamp(const char *path)
{
	GStatBuf seen;

	if (g_stat(path, &seen) != 0)
		return 0;
	return (int64_t)seen.st_mtim.tv_sec * 1000000000 +
	       seen.st_mtim.tv_nsec + seen.st_size;
}

static void move_client(http1_client_t *client, const char *address)
{
	char *host = NULL;
	uint16_t port = 0;

	if (!gateway_split_address(address, &host, &port)) {
		log_line(G_LOG_LEVEL_WARNING, PART,
			 "address=%s ignored: expected address:port", address);
		return;
	}
	http1_client_move(client, host, port);
	g_free(host);
}

/* Has the parts of the gateway that hold copies of settings take them anew. */
static void put_in_force(gateway_t *gateway, const setting_t *setting)
{
	const gateway_settings_t *settings = gateway->settings;

	if (!strcmp(setting->key, "store.address"))
		move_client(gateway->store, settings->store_address);
	else if (!strcmp(setting->key, "cloud.address"))
		move_client(gateway->cloud, settings->cloud_address);
	else if (!strcmp(setting->key, "peers.seeds"))
		gateway_peers_take_seeds(gateway->peers);
	else if (g_str_has_prefix(setting->key, "retry.")) {
		const retry_limits_t limits = gateway_settings_retries(settings);

		retry_windows_change(gateway->retries, &limits);
	} else if (g_str_has_prefix(setting->key, "limits.")) {
		const token_limits_config_t rules =
			gateway_settings_limits(settings);

		token_limits_configure(gateway->limits, &rules);
	}
}

/*
 * Exchanges what differs, but for what is fixed; OTHER has the old values then.
 * Returns how many keys were taken over.
 */
static unsigned int take_changes(gateway_t *gateway, gateway_settings_t *other)
{
	const setting_table_t *table = gateway_settings_table();
	unsigned int taken = 0;

	for (size_t i = 0; i < table->count; i++) {
		const setting_t *row = &table->rows[i];

		if (setting_same(row, gateway->settings, other))
			continue;
		if (is_fixed(row->key)) {
			log_line(G_LOG_LEVEL_WARNING,
				 PART, "key=%s changed=no reason=\"read at start only\"",
				 row->key);
			continue;
		}
		setting_swap(row, gateway->settings, other);
		log_line(G_LOG_LEVEL_INFO, PART, "key=%s changed=yes", row->key);
		put_in_force(gateway, row);
		taken++;
	}
	return taken;
}

/*
 * Reads the settings again. If they are wrong, the old ones stay in force: a
 * gateway that ended at a slip in a file would take its callers with it.
 */
void gateway_reload(gateway_t *gateway)
{
	gateway_settings_t *other;
	pd_error_t err;

	if (!gateway->settings_path)
		return;
	gateway->settings_stamp = file_stamp(gateway->settings_path);
	other = gateway_settings_read(gateway->settings_path, &err);
	if (!other) {
		log_error(PART, "reload", &err);
		return;
	}
	log_line(G_LOG_LEVEL_INFO, PART, "reload path=%s keys=%u",
		 gateway->settings_path, take_changes(gateway, other));
	gateway_settings_destroy(other);
}

/* Looks whether the file has changed, every so often. */
void gateway_reload_run(gateway_t *gateway, pd_time_t now)
{
	int64_t stamp;

	if (!gateway->settings_path || now < gateway->settings_at)
		return;
	gateway->settings_at = now + LOOK_PERIOD;
	stamp = file_stamp(gateway->settings_path);
	if (!gateway->settings_stamp)
		gateway->settings_stamp = stamp;
	if (stamp && stamp != gateway->settings_stamp)
		gateway_reload(gateway);
}
