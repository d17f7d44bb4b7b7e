/*
 * Decoding of bundles: all faults are reported, and signatures are verified
 * first.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "adapters/bundle_json.h"
#include "adapters/signing.h"

#define HASH "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

static const char valid_bundle[] =
	"{\"bundle\":{\"generation\":3,\"name\":\"x\"},"
	"\"models\":{\"m\":{\"priority\":\"batch\"}},"
	"\"services\":{\"s\":{\"repeatable\":false,\"priority\":\"urgent\"}},"
	"\"accounts\":{\"a\":{\"key_hash\":\"" HASH
	"\",\"allow\":[\"m\",\"s\"]}}}";

/* Decodes a bundle, owned by the caller, and adds its faults to FAULTS. */
static bundle_t *decode(const char *text, GPtrArray *faults)
{
	pd_error_t err;

	return bundle_decode(text, strlen(text), faults, &err);
}

/* A valid bundle is decoded, and keys that are left out get their defaults. */
static void test_valid_bundle_is_decoded(void **state)
{
	GPtrArray *faults = bundle_faults_create();
	bundle_t *bundle = decode(valid_bundle, faults);

	(void)state;
	assert_non_null(bundle);
	assert_int_equal(bundle->generation, 3);
	assert_false(bundle_target(bundle, "s")->repeatable);
	assert_int_equal(bundle_target(bundle, "s")->priority, PRIORITY_URGENT);
	assert_true(account_allows(bundle_account(bundle, HASH), "m"));
	assert_int_equal(bundle->drain_bound, 2 * PD_SEC);
	bundle_destroy(bundle);
	g_ptr_array_unref(faults);
}

/* Returns whether there is a fault at PATH. */
static bool has_fault(const GPtrArray *faults, const char *path)
{
	for (guint i = 0; i < faults->len; i++) {
		const bundle_fault_t *fault = g_ptr_array_index(faults, i);

		if (!strcmp(fault->path, path))
			return true;
	}
	return false;
}

/*
 * An operator who fixes one fault only to be shown the next loses time during an
 * incident, so all must be reported together.
 */
static void test_all_faults_are_reported(void **state)
{
	GPtrArray *faults = bundle_faults_create();

	(void)state;
	assert_null(decode("{\"bundle\":{\"generation\":0},"
			   "\"extra\":1,"
			   "\"limits\":{\"queue_limit\":\"x\"},"
			   "\"models\":{\"m\":{\"priority\":\"top\"}},"
			   "\"services\":{\"m\":{},\"s\":{\"repeatable\":1}},"
			   "\"accounts\":{\"a\":{\"key_hash\":\"zz\","
			   "\"allow\":[\"none\"]}}}",
			   faults));
	assert_true(has_fault(faults, "bundle.generation"));
	assert_true(has_fault(faults, "bundle.name"));
	assert_true(has_fault(faults, "(top).extra"));
	assert_true(has_fault(faults, "limits.queue_limit"));
	assert_true(has_fault(faults, "models.m.priority"));
	assert_true(has_fault(faults, "services.m."));
	assert_true(has_fault(faults, "services.s.repeatable"));
	assert_true(has_fault(faults, "accounts.a.key_hash"));
	assert_true(has_fault(faults, "accounts.a.allow"));
	g_ptr_array_unref(faults);
}

/*
 * Opens an envelope; returns its bundle, owned by the caller, or NULL with ERR
 * set.
 */
static bundle_t *open_envelope(char *envelope, const char *key, pd_error_t *err)
{
	return envelope_open(envelope, strlen(envelope), key, err);
}

/*
 * An attacker who can write to the platform's store modifies a bundle's body, or
 * signs one with another key. No program may apply it.
 */
static void test_tampered_envelope_is_rejected(void **state)
{
	char *public_key;
	char *secret_key;
	char *other_public;
	char *other_secret;
	bundle_t *bundle;
	pd_error_t err;
	char *envelope;
	char *digit;

	(void)state;
	assert_int_equal(signing_init(&err), 0);
	signing_keygen(&public_key, &secret_key);
	signing_keygen(&other_public, &other_secret);
	envelope = envelope_sign(valid_bundle, secret_key, &err);
	bundle = open_envelope(envelope, public_key, &err);
	assert_non_null(bundle);
	bundle_destroy(bundle);
	assert_null(open_envelope(envelope, other_public, &err));
	assert_int_equal(err.kind, PD_ERROR_SIGNATURE);
	digit = strstr(envelope, "generation");
	digit = strchr(digit, '3');
	*digit = '9';
	assert_null(open_envelope(envelope, public_key, &err));
	assert_int_equal(err.kind, PD_ERROR_SIGNATURE);
	g_free(envelope);
	g_free(public_key);
	g_free(secret_key);
	g_free(other_public);
	g_free(other_secret);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_valid_bundle_is_decoded),
		cmocka_unit_test(test_all_faults_are_reported),
		cmocka_unit_test(test_tampered_envelope_is_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
