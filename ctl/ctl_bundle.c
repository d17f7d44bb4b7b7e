/* Commands that work without the platform: keygen, check and sign. */
#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "adapters/bundle_json.h"
#include "adapters/signing.h"
#include "ctl/ctl.h"

#define BUNDLE_BYTES_MAX (1000 * 1000) /* bytes, with the signature */
#define ENVELOPE_OVERHEAD_BYTES \
	256 /* bytes of JSON syntax, names and signature */

#define SECRET_FILE_MODE 0600

static int write_file(const char *path, const char *text, int mode, pd_error_t *err)
{
	if (!g_file_set_contents_full(path, text, -1,
				      G_FILE_SET_CONTENTS_CONSISTENT, mode, NULL))
		return pd_error_set(err, PD_ERROR_IO, "can't write %s", path);
	return 0;
}

/* Prints a new account key and its hash. */
static void keygen_account(void)
{
	char *key = signing_random_key();
	char *hash = signing_hash(key, strlen(key));

	printf("key      %s\nkey_hash %s\n", key, hash);
	g_free(key);
	g_free(hash);
}

/* Writes a new key that entries share to PREFIX.key; returns the exit code. */
static int keygen_peers(const ctl_options_t *options)
{
	const char *prefix = options->output ? options->output : "peers";
	char *path = g_strconcat(prefix, ".key", NULL);
	char *key = signing_random_key();
	int code = EX_OK;
	pd_error_t err;

	if (write_file(path, key, SECRET_FILE_MODE, &err) < 0)
		code = ctl_fail(options, &err);
	else
		printf("wrote %s\n", path);
	g_free(path);
	g_free(key);
	return code;
}

/* Creates an account key, a key for entries or an operator's key pair. */
int ctl_keygen(const ctl_options_t *options)
{
	const char *prefix = options->output ? options->output : "operator";
	char *public_path = g_strconcat(prefix, ".pub", NULL);
	char *secret_path = g_strconcat(prefix, ".key", NULL);
	int code = EX_OK;
	char *public_key;
	char *secret_key;
	pd_error_t err;

	if (options->account) {
		keygen_account();
		goto done;
	}
	if (options->peers) {
		code = keygen_peers(options);
		goto done;
	}
	signing_keygen(&public_key, &secret_key);
	if (write_file(secret_path, secret_key, SECRET_FILE_MODE, &err) < 0 ||
	    write_file(public_path, public_key, 0644, &err) < 0)
		code = ctl_fail(options, &err);
	else
		printf("wrote %s and %s\n", public_path, secret_path);
	g_free(public_key);
	g_free(secret_key);
done:
	g_free(public_path);
	g_free(secret_path);
	return code;
}

static void print_faults(const ctl_options_t *options, const GPtrArray *faults)
{
	json_t *list = json_array();
	json_t *report;

	for (guint i = 0; i < faults->len; i++) {
		const bundle_fault_t *fault = g_ptr_array_index(faults, i);

		if (!options->json)
			printf("%s: %s: %s\n", options->argument, fault->path,
			       fault->expected);
		json_array_append_new(list, json_pack("{s:s, s:s}", "path",
						      fault->path, "expected",
						      fault->expected));
	}
	report = json_pack("{s:o}", "faults", list);
	if (options->json) {
		json_dumpf(report, stdout, JSON_COMPACT);
		putchar('\n');
	}
	json_decref(report);
}

/*
 * Returns -1 with ERR set if a bundle exceeds the store's limit of one megabyte
 * for a value. It could be signed, and would fail only at the rollout.
 */
static int check_size(const char *canonical, pd_error_t *err)
{
	json_t *payload = json_string(canonical);
	char *quoted = json_dumps(payload, JSON_ENCODE_ANY);
	size_t size = strlen(quoted) + ENVELOPE_OVERHEAD_BYTES;

	free(quoted);
	json_decref(payload);
	if (size <= BUNDLE_BYTES_MAX)
		return 0;
	return pd_error_set(err, PD_ERROR_INPUT,
			    "%zu bytes when signed; at most %d", size,
			    BUNDLE_BYTES_MAX);
}

/*
 * Returns the canonical text of a valid bundle, owned by the caller; otherwise
 * reports the errors and returns NULL with CODE set to the exit code.
 */
static char *load_checked_bundle(const ctl_options_t *options, int *code)
{
	GPtrArray *faults = bundle_faults_create();
	pd_error_t err;
	char *canonical = NULL;
	bundle_t *bundle = NULL;

	*code = EX_OK;
	if (options->argument)
		canonical = bundle_canonical(options->argument, &err);
	else
		pd_error_set(&err, PD_ERROR_SETTINGS, "a bundle is needed");
	if (!canonical) {
		*code = ctl_fail(options, &err);
		goto error;
	}
	if (check_size(canonical, &err) < 0) {
		*code = ctl_fail(options, &err);
		g_clear_pointer(&canonical, g_free);
		goto error;
	}
	bundle = bundle_decode(canonical, strlen(canonical), faults, &err);
	if (!bundle) {
		print_faults(options, faults);
		*code = EX_DATAERR;
		g_clear_pointer(&canonical, g_free);
	}
error:
	bundle_destroy(bundle);
	g_ptr_array_unref(faults);
	return canonical;
}

/* Checks a bundle and reports all its errors. */
int ctl_check(const ctl_options_t *options)
{
	int code;
	char *canonical = load_checked_bundle(options, &code);

	if (canonical && options->json)
		printf("{\"faults\":[]}\n");
	else if (canonical)
		printf("%s: ok\n", options->argument);
	g_free(canonical);
	return code;
}

/* Checks and signs a bundle. */
int ctl_sign(const ctl_options_t *options)
{
	int code;
	char *canonical = load_checked_bundle(options, &code);
	char *secret = NULL;
	char *envelope = NULL;
	pd_error_t err;

	if (!canonical)
		return code;
	if (!options->output) {
		pd_error_set(&err, PD_ERROR_SETTINGS, "--output is needed");
		goto error;
	}
	secret = ctl_read_file(options->key_file, &err);
	if (!secret)
		goto error;
	envelope = envelope_sign(canonical, secret, &err);
	if (!envelope || write_file(options->output, envelope, 0644, &err) < 0)
		goto error;
	printf("signed %s as %s\n", options->argument, options->output);
	goto done;
error:
	code = ctl_fail(options, &err);
done:
	g_free(canonical);
	g_free(secret);
	g_free(envelope);
	return code;
}
