/*
 * The settings of an entry or placer process, read from a TOML file. A table
 * describes each key, so that tests can check docs/SETTINGS.md against it.
 */
#ifndef PISTACHIO_SETTINGS_H
#define PISTACHIO_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "adapters/setting_table.h"

#define SETTINGS_SEEDS_MAX 8
#define SETTINGS_ZONES_MAX 16

typedef struct settings {
	char *node_id;
	char *node_zone;
	char *node_address;
	char *platform_address;
	int64_t platform_port;
	int64_t platform_vm_list_period_ms;
	int64_t callers_port;
	int64_t callers_body_max;
	int64_t peers_port;
	char *peers_key_file;
	char *peers_seeds[SETTINGS_SEEDS_MAX]; /* address:port; unused ones NULL */
	char *placer_zones[SETTINGS_ZONES_MAX]; /* unused ones NULL */
	int64_t routing_subset;
	char *log_level;
	char *bundle_public_key_file;
} settings_t;

const setting_t *settings_table(size_t *count);
settings_t *settings_read(const char *path, pd_error_t *err);
void settings_destroy(settings_t *settings);

#endif
