/*
 * The encoding of bundles: operators write TOML, which is converted to canonical
 * JSON (sorted keys, no spaces), signed, and distributed in an envelope.
 */
#ifndef PISTACHIO_BUNDLE_JSON_H
#define PISTACHIO_BUNDLE_JSON_H

#include <glib.h>

#include "core/bundle.h"

typedef enum rule_kind {
	RULE_STRING,
	RULE_INTEGER,
	RULE_BOOLEAN,
	RULE_PRIORITY,
	RULE_NAMES
} rule_kind_t;

/* The schema of one key; checks and documentation are derived from it. */
typedef struct bundle_rule {
	const char *section;
	const char *key;
	rule_kind_t kind;
	int64_t min; /* range of an integer */
	int64_t max;
	const char *default_value; /* NULL: the key is required */
	const char *description;
} bundle_rule_t;

/* An error found in a bundle. */
typedef struct bundle_fault {
	char *path; /* for example services.station-call.priority */
	char *expected;
} bundle_fault_t;

const bundle_rule_t *bundle_rules(size_t *count);
char *bundle_canonical(const char *toml_path, pd_error_t *err);
bundle_t *bundle_decode(const char *json, size_t len, GPtrArray *faults,
			pd_error_t *err);
GPtrArray *bundle_faults_create(void);
char *envelope_sign(const char *canonical, const char *secret_key, pd_error_t *err);
bundle_t *envelope_open(const char *data, size_t len, const char *public_key,
			pd_error_t *err);

#endif
