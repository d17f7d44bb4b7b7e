/*
 * Decodes bundles, reporting all their errors at once; signs and verifies them.
 */
#include "adapters/bundle_json.h"

#include <string.h>

#include "adapters/json.h"
#include "adapters/signing.h"
#include "adapters/toml_reader.h"

#define KEY_HASH_LEN 64

/* The position in the bundle, and the errors found so far. */
typedef struct reader {
	GPtrArray *faults; /* of bundle_fault_t, borrowed */
	const char *section;
	const char *name; /* of the item in the section, or NULL */
} reader_t;

/* Every key of a bundle; the documentation and all checks use this table. */
static const bundle_rule_t rules[] = {
	{ "bundle", "generation", RULE_INTEGER, 1, INT64_MAX, NULL,
	  "grows with each rollout" },
	{ "bundle", "name", RULE_STRING, 0, 0, NULL, "for people" },
	{ "limits", "first_token_ms", RULE_INTEGER, 1, 600000, "590",
	  "target for the first token, milliseconds, for 95 in 100" },
	{ "limits", "token_gap_ms", RULE_INTEGER, 1, 600000, "38",
	  "target between tokens, milliseconds, for 95 in 100" },
	{ "limits", "drain_bound_ms", RULE_INTEGER, 100, 60000, "2000",
	  "milliseconds after which a leaving upstream gets nothing new" },
	{ "limits", "claim_retention_s", RULE_INTEGER, 60, 31536000, "86400",
	  "seconds a key of a not-repeatable call is remembered" },
	{ "limits", "queue_limit", RULE_INTEGER, 1, 100000, "256",
	  "requests that may wait, for each priority and entry" },
	{ "limits", "reclaimable_percent", RULE_INTEGER, 0, 100, "59",
	  "share of VMs that may be reclaimable, at most" },
	{ "limits", "spare_zones", RULE_INTEGER, 0, 16, "1",
	  "zones whose loss urgent work must not notice" },
	{ "limits", "headroom_percent", RULE_INTEGER, 0, 1000, "30",
	  "room for requests that is kept above the demand seen" },
	{ "models", "priority", RULE_PRIORITY, 0, 0, "normal",
	  "of its requests, unless their account has its own" },
	{ "models", "timeout_ms", RULE_INTEGER, 100, 3600000, "60000",
	  "milliseconds for a whole answer" },
	{ "models", "workers", RULE_INTEGER, 0, 100000, "0",
	  "VMs to keep; 0: not bought by the system" },
	{ "models", "most_workers", RULE_INTEGER, 0, 100000, "0",
	  "VMs to keep at most, as demand asks; 0: always workers" },
	{ "models", "machine_class", RULE_STRING, 0, 0, "any", "class of those VMs" },
	{ "services", "priority", RULE_PRIORITY, 0, 0, "normal",
	  "of its requests, unless their account has its own" },
	{ "services", "timeout_ms", RULE_INTEGER, 100, 3600000, "60000",
	  "milliseconds for a whole answer" },
	{ "services", "workers", RULE_INTEGER, 0, 100000, "0",
	  "VMs to keep; 0: not bought by the system" },
	{ "services", "most_workers", RULE_INTEGER, 0, 100000, "0",
	  "VMs to keep at most, as demand asks; 0: always workers" },
	{ "services", "machine_class", RULE_STRING, 0, 0, "any",
	  "class of those VMs" },
	{ "services", "repeatable", RULE_BOOLEAN, 0, 0, "true",
	  "false: each call runs at most once and needs an Idempotency-Key" },
	{ "services", "checks_fencing", RULE_BOOLEAN, 0, 0, "false",
	  "whether it refuses an old fencing number" },
	{ "accounts", "key_hash", RULE_STRING, 0, 0, NULL,
	  "of its key, as keygen --account prints it" },
	{ "accounts", "requests_per_second", RULE_INTEGER, 1, 1000000, "100",
	  "over all entries" },
	{ "accounts", "burst", RULE_INTEGER, 1, 1000000, "200",
	  "requests at once, over all entries" },
	{ "accounts", "priority", RULE_PRIORITY, 0, 0, "",
	  "of its requests; empty: that of the model or service" },
	{ "accounts", "allow", RULE_NAMES, 0, 0, NULL,
	  "models and services it may call" },
};

/* Returns the table of all keys, and sets COUNT to its length. */
const bundle_rule_t *bundle_rules(size_t *count)
{
	*count = G_N_ELEMENTS(rules);
	return rules;
}

/* Returns the rule of a key, or NULL if the section has no such key. */
static const bundle_rule_t *find_rule(const char *section, const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(rules); i++) {
		if (!strcmp(rules[i].section, section) && !strcmp(rules[i].key, key))
			return &rules[i];
	}
	return NULL;
}

/* Frees a fault of the array. */
static void fault_free(void *data)
{
	bundle_fault_t *fault = data;

	g_free(fault->path);
	g_free(fault->expected);
	g_free(fault);
}

/* Returns an empty array of bundle_fault_t *, owned by the caller. */
GPtrArray *bundle_faults_create(void)
{
	return g_ptr_array_new_with_free_func(fault_free);
}

static void reader_add_fault(const reader_t *reader, const char *key,
			     const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/* Adds a fault at KEY of the current section and item. */
static void reader_add_fault(const reader_t *reader, const char *key,
			     const char *format, ...)
{
	bundle_fault_t *fault = g_new0(bundle_fault_t, 1);
	va_list args;

	va_start(args, format);
	fault->expected = g_strdup_vprintf(format, args);
	va_end(args);
	fault->path = g_strjoin(".", reader->section,
				reader->name ? reader->name : key,
				reader->name ? key : NULL, NULL);
	g_ptr_array_add(reader->faults, fault);
}

/*
 * Returns an integer member or its default; its minimum with a fault if it is
 * invalid.
 */
static int64_t read_integer(const reader_t *reader, const json_t *object,
			    const char *key)
{
	const bundle_rule_t *rule = find_rule(reader->section, key);
	const json_t *member = json_object_get(object, key);
	int64_t value = json_integer_value(member);

	if (!member && rule->default_value)
		return g_ascii_strtoll(rule->default_value, NULL, 10);
	if (!json_is_integer(member) || value < rule->min || value > rule->max) {
		reader_add_fault(reader, key,
				 "expected an integer from %" G_GINT64_FORMAT
				 " to %" G_GINT64_FORMAT,
				 rule->min, rule->max);
		return rule->min;
	}
	return value;
}

/* Returns a boolean member or its default; adds a fault if it is invalid. */
static bool read_boolean(const reader_t *reader, const json_t *object,
			 const char *key)
{
	const bundle_rule_t *rule = find_rule(reader->section, key);
	const json_t *member = json_object_get(object, key);

	if (!member)
		return !strcmp(rule->default_value, "true");
	if (!json_is_boolean(member))
		reader_add_fault(reader, key, "expected true or false");
	return json_is_true(member);
}

/*
 * Returns a string member or its default, borrowed; "" with a fault if it is
 * invalid.
 */
static const char *read_string(const reader_t *reader, const json_t *object,
			       const char *key)
{
	const bundle_rule_t *rule = find_rule(reader->section, key);
	const json_t *member = json_object_get(object, key);

	if (!member && rule->default_value)
		return rule->default_value;
	if (!json_is_string(member) || !*json_string_value(member)) {
		reader_add_fault(reader, key, "expected a non-empty string");
		return "";
	}
	return json_string_value(member);
}

/* Reads a priority. Returns false if there is none and it may be left out. */
static bool read_priority(const reader_t *reader, const json_t *object,
			  priority_t *priority)
{
	const char *name = read_string(reader, object, "priority");

	if (!*name)
		return false;
	if (priority_parse(name, priority) < 0)
		reader_add_fault(reader, "priority",
				 "expected urgent, normal or batch");
	return true;
}

/* Adds a fault for every member of OBJECT that is unknown in its section. */
static void check_keys(const reader_t *reader, json_t *object)
{
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		if (!find_rule(reader->section, key))
			reader_add_fault(reader, key, "unknown key");
	}
}

/* Reads one model or service and adds it to BUNDLE. */
static void read_target(const reader_t *reader, json_t *object,
			target_kind_t kind, bundle_t *bundle)
{
	target_t *target = bundle_add_target(bundle, kind, reader->name);

	check_keys(reader, object);
	read_priority(reader, object, &target->priority);
	target->timeout = read_integer(reader, object, "timeout_ms") * PD_MSEC;
	target->workers = (unsigned int)read_integer(reader, object, "workers");
	target->most_workers =
		(unsigned int)read_integer(reader, object, "most_workers");
	if (target->most_workers && target->most_workers < target->workers)
		reader_add_fault(reader, "most_workers",
				 "expected 0 or at least workers");
	target->machine_class =
		g_strdup(read_string(reader, object, "machine_class"));
	if (kind == TARGET_SERVICE) {
		target->repeatable = read_boolean(reader, object, "repeatable");
		target->checks_fencing =
			read_boolean(reader, object, "checks_fencing");
	}
}

/* Reads all models or all services, which share one namespace. */
static void read_targets(reader_t *reader, json_t *root, const char *section,
			 target_kind_t kind, bundle_t *bundle)
{
	json_t *items = json_object_get(root, section);
	const char *name;
	json_t *item;

	reader->section = section;
	json_object_foreach(items, name, item)
	{
		reader->name = name;
		if (bundle_target(bundle, name))
			reader_add_fault(reader, "", "the name is used twice");
		else if (!json_is_object(item))
			reader_add_fault(reader, "", "expected a table");
		else
			read_target(reader, item, kind, bundle);
	}
	reader->name = NULL;
}

/* Reads the names of the models and services that an account may call. */
static void read_allowed(const reader_t *reader, json_t *object,
			 account_t *account, const bundle_t *bundle)
{
	json_t *allowed = json_object_get(object, "allow");
	json_t *item;
	size_t i;

	if (!json_is_array(allowed))
		reader_add_fault(reader, "allow", "expected an array of names");
	json_array_foreach(allowed, i, item)
	{
		const char *name = json_string_value(item);

		if (!name || !bundle_target(bundle, name))
			reader_add_fault(reader, "allow",
					 "no model or service is called %s",
					 name ? name : "that");
		else
			g_ptr_array_add(account->allowed, g_strdup(name));
	}
}

/* Returns whether TEXT has the form of a key hash. */
static bool is_key_hash(const char *text)
{
	return strlen(text) == KEY_HASH_LEN &&
	       strspn(text, "0123456789abcdef") == KEY_HASH_LEN;
}

/* Reads one account and adds it to BUNDLE. */
static void read_account(const reader_t *reader, json_t *object, bundle_t *bundle)
{
	const char *hash = read_string(reader, object, "key_hash");
	account_t *account;

	check_keys(reader, object);
	if (!is_key_hash(hash))
		reader_add_fault(reader, "key_hash",
				 "expected %d lower-case hex digits",
				 KEY_HASH_LEN);
	else if (bundle_account(bundle, hash))
		reader_add_fault(reader, "key_hash",
				 "another account has the same key");
	account = bundle_add_account(bundle, reader->name, hash);
	account->requests_per_second =
		(double)read_integer(reader, object, "requests_per_second");
	account->burst = (double)read_integer(reader, object, "burst");
	account->has_priority = read_priority(reader, object, &account->priority);
	read_allowed(reader, object, account, bundle);
}

/* Reads all accounts; the targets must have been read. */
static void read_accounts(reader_t *reader, json_t *root, bundle_t *bundle)
{
	const char *name;
	json_t *item;

	reader->section = "accounts";
	json_object_foreach(json_object_get(root, "accounts"), name, item)
	{
		reader->name = name;
		if (!json_is_object(item))
			reader_add_fault(reader, "", "expected a table");
		else
			read_account(reader, item, bundle);
	}
	reader->name = NULL;
}

/* Reads the section of limits. */
static void read_limits(reader_t *reader, json_t *root, bundle_t *bundle)
{
	json_t *limits = json_object_get(root, "limits");

	reader->section = "limits";
	check_keys(reader, limits);
	bundle->first_token_target =
		read_integer(reader, limits, "first_token_ms") * PD_MSEC;
	bundle->token_gap_target =
		read_integer(reader, limits, "token_gap_ms") * PD_MSEC;
	bundle->drain_bound =
		read_integer(reader, limits, "drain_bound_ms") * PD_MSEC;
	bundle->claim_retention =
		read_integer(reader, limits, "claim_retention_s") * PD_SEC;
	bundle->queue_limit =
		(unsigned int)read_integer(reader, limits, "queue_limit");
	bundle->reclaimable_percent =
		(unsigned int)read_integer(reader, limits, "reclaimable_percent");
	bundle->spare_zones =
		(unsigned int)read_integer(reader, limits, "spare_zones");
	bundle->headroom_percent =
		(unsigned int)read_integer(reader, limits, "headroom_percent");
}

/* Reads the generation and the name, and checks the names of all sections. */
static void read_header(reader_t *reader, json_t *root, bundle_t *bundle)
{
	static const char *const sections[] = { "bundle",   "limits",
						"models",   "services",
						"accounts", NULL };
	json_t *header = json_object_get(root, "bundle");
	const char *key;
	json_t *value;

	reader->section = "bundle";
	check_keys(reader, header);
	bundle->generation = (uint64_t)read_integer(reader, header, "generation");
	bundle->name = g_strdup(read_string(reader, header, "name"));
	reader->section = "(top)";
	json_object_foreach(root, key, value)
	{
		if (!g_strv_contains(sections, key))
			reader_add_fault(reader, key, "unknown section");
	}
}

/*
 * Returns the bundle that JSON holds, owned by the caller. Every fault found is
 * added to FAULTS; if there is any, or the JSON is malformed, returns NULL with
 * ERR set to the first.
 */
bundle_t *bundle_decode(const char *json, size_t len, GPtrArray *faults,
			pd_error_t *err)
{
	reader_t reader = { .faults = faults };
	json_t *root = json_parse(json, len, err);
	const bundle_fault_t *first;
	bundle_t *bundle;

	if (!root)
		return NULL;
	bundle = bundle_create();
	read_header(&reader, root, bundle);
	read_limits(&reader, root, bundle);
	read_targets(&reader, root, "models", TARGET_MODEL, bundle);
	read_targets(&reader, root, "services", TARGET_SERVICE, bundle);
	read_accounts(&reader, root, bundle);
	json_decref(root);
	if (faults->len == 0)
		return bundle;
	first = g_ptr_array_index(faults, 0);
	pd_error_set(err, PD_ERROR_INPUT, "bundle: %s: %s", first->path,
		     first->expected);
	bundle_destroy(bundle);
	return NULL;
}

/*
 * Returns the canonical JSON of a bundle written in TOML, owned by the caller,
 * or NULL with ERR set if the file can't be read or parsed.
 */
char *bundle_canonical(const char *toml_path, pd_error_t *err)
{
	toml_document_t *document = toml_document_read(toml_path);
	char *canonical = NULL;
	json_t *root;
	char *text;

	if (document->problem) {
		pd_error_set(err, PD_ERROR_INPUT, "%s:%u: %s", toml_path,
			     document->problem_line, document->problem);
		goto error;
	}
	root = json_parse(document->json, strlen(document->json), err);
	if (!root)
		goto error;
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	canonical = g_strdup(text);
	free(text);
	json_decref(root);
error:
	toml_document_free(document);
	return canonical;
}

/*
 * Returns a signed envelope of a canonical bundle, owned by the caller, or NULL
 * with ERR set if the key is invalid.
 */
char *envelope_sign(const char *canonical, const char *secret_key, pd_error_t *err)
{
	char *signature =
		signing_sign(secret_key, canonical, strlen(canonical), err);
	json_t *envelope;
	char *sealed;
	char *text;

	if (!signature)
		return NULL;
	envelope = json_object();
	json_object_set_new(envelope, "payload", json_string(canonical));
	json_object_set_new(envelope, "signature", json_string(signature));
	text = json_dumps(envelope, JSON_COMPACT | JSON_SORT_KEYS);
	sealed = g_strdup(text);
	free(text);
	json_decref(envelope);
	g_free(signature);
	return sealed;
}

/*
 * Returns the bundle in an envelope, owned by the caller, or NULL with ERR set
 * if the signature or the bundle is invalid. The payload is not parsed before
 * its signature has been verified.
 */
bundle_t *envelope_open(const char *data, size_t len, const char *public_key,
			pd_error_t *err)
{
	json_t *envelope = json_parse(data, len, err);
	GPtrArray *faults = bundle_faults_create();
	bundle_t *bundle = NULL;
	const char *payload;
	const char *signature;

	if (!envelope || json_read_string(envelope, "payload", &payload, err) < 0 ||
	    json_read_string(envelope, "signature", &signature, err) < 0 ||
	    signing_verify(public_key, signature, payload, strlen(payload), err) < 0)
		goto error;
	bundle = bundle_decode(payload, strlen(payload), faults, err);
error:
	g_ptr_array_unref(faults);
	json_decref(envelope);
	return bundle;
}
