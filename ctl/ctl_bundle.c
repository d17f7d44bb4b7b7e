/* Commands that need no platform: keygen, check and sign. */
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

#define BUNDLE_SIZE_MAX (1000 * 1000) /* bytes, with the signature */
#define ENVELOPE_OVERHEAD 256 /* names, signature and braces around it */

#define SECRET_MODE 0600

static int write_file(const char *path, const char *text, int mode, pd_error_t *err)
{
	if (!g_file_set_contents_full(path, text, -1,
				      G_FILE_SET_CONTENTS_CONSISTENT, mode, NULL))
		return pd_error_set(err, PD_ERROR_IO, "can't write %s", path);
	return 0;
}

static void keygen_account(void)
{
	char *key = signing_random_key();
	char *hash = signing_hash(key, strlen(key));

	printf("key      %s\nkey_hash %s\n", key, hash);
	g_free(key);
	g_free(hash);
}

/* Writes PREFIX.key with a key that entries share. */
static int keygen_peers(const ctl_options_t *options)
{
	const char *prefix = options->output ? options->output : "peers";
	char *path = g_strconcat(prefix, ".key", NULL);
	char *key = signing_random_key();
	int code = EX_OK;
	pd_error_t err;

	if (write_file(path, key, SECRET_MODE, &err) < 0)
		code = ctl_fail(options, &err);
	else
		printf("wrote %s\n", path);
	g_free(path);
	g_free(key);
	return code;
}

/* Makes an account key, a key for entries, or the pair that operators sign with. */
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
	if (write_file(secret_path, secret_key, SECRET_MODE, &err) < 0 ||
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
 * The store holds values of up to a megabyte. A larger bundle would pass the
 * check, be signed, and fail only when it is rolled out.
 */
static int check_size(const char *canonical, pd_error_t *err)
{
	json_t *payload = json_string(canonical);
	char *quoted = json_dumps(payload, JSON_ENCODE_ANY);
	size_t size = strlen(quoted) + ENVELOPE_OVERHEAD;

	free(quoted);
	json_decref(payload);
	if (size <= BUNDLE_SIZE_MAX)
		return 0;
	return pd_error_set(err, PD_ERROR_INPUT,
			    "%zu bytes when signed; at most %d", size,
			    BUNDLE_SIZE_MAX);
}

/* Returns the canonical bytes of a faultless bundle, or NULL with CODE set. */
static char *checked_bundle(const ctl_options_t *options, int *code)
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

/* Reports every fault of a bundle at once. */
int ctl_check(const ctl_options_t *options)
{
	int code;
	char *canonical = checked_bundle(options, &code);

	if (canonical && options->json)
		printf("{\"faults\":[]}\n");
	else if (canonical)
		printf("%s: ok\n", options->argument);
	g_free(canonical);
	return code;
}

/* Signs a faultless bundle. */
int ctl_sign(const ctl_options_t *options)
{
	int code;
	char *canonical = checked_bundle(options, &code);
	char *secret = NULL;
	char *sealed = NULL;
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
	sealed = envelope_sign(canonical, secret, &err);
	if (!sealed || write_file(options->output, sealed, 0644, &err) < 0)
		goto error;
	printf("signed %s as %s\n", options->argument, options->output);
	goto done;
error:
	code = ctl_fail(options, &err);
done:
	g_free(canonical);
	g_free(secret);
	g_free(sealed);
	return code;
}
