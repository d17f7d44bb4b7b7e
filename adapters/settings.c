/* Settings of the entry and the placer. */
#include "adapters/settings.h"

#include <glib.h>

#define PORT_MAX 65535
#define OFFSET(member) offsetof(settings_t, member)

static const setting_t rows[] = {
	{ "node.id", SETTING_STRING, OFFSET(node_id), 0, 0, NULL,
	  "unique name of this process's VM" },
	{ "node.zone", SETTING_STRING, OFFSET(node_zone), 0, 0, NULL,
	  "availability zone of this VM" },
	{ "node.address", SETTING_STRING, OFFSET(node_address), 0, 0,
	  "127.0.0.1", "IP number that callers and peers reach" },
	{ "platform.address", SETTING_STRING, OFFSET(platform_address), 0, 0,
	  NULL, "IP number of the platform's API" },
	{ "platform.port", SETTING_INTEGER, OFFSET(platform_port), 1, PORT_MAX,
	  NULL, "its TCP port" },
	{ "platform.vm_list_period_ms", SETTING_INTEGER,
	  OFFSET(platform_vm_list_period_ms), 100, 60000, "2000",
	  "milliseconds between reads of the VM list" },
	{ "callers.port", SETTING_INTEGER, OFFSET(callers_port), 0, PORT_MAX,
	  "8080", "TCP port for callers; 0: the kernel chooses" },
	{ "callers.body_max", SETTING_INTEGER, OFFSET(callers_body_max), 1024,
	  16777216, "1048576", "bytes of a request body" },
	{ "peers.port", SETTING_INTEGER, OFFSET(peers_port), 0, PORT_MAX,
	  "7946", "TCP port for fellow entries; 0: the kernel chooses" },
	{ "peers.key_file", SETTING_FILE, OFFSET(peers_key_file), 0, 0, NULL,
	  "file with the key that entries share, in hex" },
	{ "peers.seeds", SETTING_STRINGS, OFFSET(peers_seeds), 0, SETTINGS_SEEDS_MAX,
	  "", "address:port of entries to ask when the platform is down" },
	{ "placer.zones", SETTING_STRINGS, OFFSET(placer_zones), 0,
	  SETTINGS_ZONES_MAX, "", "availability zones to buy VMs in" },
	{ "routing.subset", SETTING_INTEGER, OFFSET(routing_subset), 2, 256,
	  "24", "upstreams of a model or service that one entry sends to" },
	{ "log.level", SETTING_CHOICE, OFFSET(log_level), 0, 0, "info",
	  "debug|info|warning|error" },
	{ "bundle.public_key_file", SETTING_FILE, OFFSET(bundle_public_key_file),
	  0, 0, NULL, "file with the operators' public key, in hex" },
};

static const setting_table_t table = { rows, G_N_ELEMENTS(rows) };

/* Returns the rows of the table of keys and sets COUNT to their number. */
const setting_t *settings_table(size_t *count)
{
	*count = table.count;
	return table.rows;
}

/*
 * Reads and validates the settings file at PATH. Returns the settings, which
 * the caller destroys, or NULL with ERR set to one line that names the file,
 * line, key and what was expected.
 */
settings_t *settings_read(const char *path, pd_error_t *err)
{
	settings_t *settings = g_new0(settings_t, 1);

	if (setting_table_read(&table, path, settings, err) < 0)
		goto error;
	return settings;
error:
	settings_destroy(settings);
	return NULL;
}

/* Frees the settings; NULL is allowed. */
void settings_destroy(settings_t *settings)
{
	if (!settings)
		return;
	setting_table_clear(&table, settings);
	g_free(settings);
}
