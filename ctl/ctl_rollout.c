/*
 * Rollout of a bundle. A conditional write of the bundle pointer decides which
 * bundle is accepted; of concurrent rollouts one succeeds, and the others end
 * with a conflict.
 */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>

#include "adapters/bundle_json.h"
#include "adapters/bundle_watch.h"
#include "adapters/json.h"
#include "adapters/signing.h"
#include "ctl/ctl.h"

#define ROLLOUT_ATTEMPTS_MAX 5
#define DELIVERY_TIMEOUT_US (5 * G_USEC_PER_SEC)
#define DELIVERY_POLL_US (20 * 1000)
#define QUERY_TIMEOUT (1 * PD_SEC) /* of one entry */

typedef struct rollout {
	platform_t *platform;
	char *envelope;
	uint64_t generation;
	char *object; /* key of the new body */
	char *pointer; /* new contents of the pointer */
	char *replaced; /* key of the previous body, or NULL */
} rollout_t;

/* The contents of the bundle pointer. */
typedef struct pointer {
	uint64_t version; /* 0: the pointer does not exist */
	uint64_t generation;
	char *object;
} pointer_t;

/* Reads the pointer; returns -1 with ERR set on failure. */
static int pointer_read(rollout_t *rollout, pointer_t *pointer, pd_error_t *err)
{
	ctl_reply_t reply = { 0 };
	const char *object;
	int64_t generation;
	json_t *body = NULL;
	int rc = -1;

	memset(pointer, 0, sizeof(*pointer));
	platform_read(rollout->platform, BUNDLE_POINTER, ctl_on_reply, &reply);
	ctl_wait(&reply);
	if (reply.status == STORE_MISSING) {
		g_free(reply.body);
		return 0;
	}
	if (reply.status != STORE_OK) {
		pd_error_set(err, PD_ERROR_UNAVAILABLE,
			     "the platform does not answer");
		goto error;
	}
	body = json_parse(reply.body, reply.len, err);
	if (!body || json_read_string(body, "object", &object, err) < 0 ||
	    json_read_integer(body, "generation", &generation, err) < 0)
		goto error;
	pointer->version = reply.version;
	pointer->generation = (uint64_t)generation;
	pointer->object = g_strdup(object);
	rc = 0;
error:
	json_decref(body);
	g_free(reply.body);
	return rc;
}

static int body_write(rollout_t *rollout, pd_error_t *err)
{
	/* The key contains the body's hash, so the write is idempotent. */
	for (int i = 0; i < ROLLOUT_ATTEMPTS_MAX; i++) {
		ctl_reply_t reply = { 0 };

		platform_write(rollout->platform, rollout->object,
			       PLATFORM_ANY_VERSION, rollout->envelope,
			       strlen(rollout->envelope), ctl_on_reply, &reply);
		ctl_wait(&reply);
		g_free(reply.body);
		if (reply.status == STORE_OK)
			return 0;
	}
	return pd_error_set(err, PD_ERROR_UNAVAILABLE,
			    "the body could not be written; nothing was rolled "
			    "out");
}

static store_status_t pointer_write(rollout_t *rollout, uint64_t version)
{
	ctl_reply_t reply = { 0 };

	platform_write(rollout->platform, BUNDLE_POINTER, version, rollout->pointer,
		       strlen(rollout->pointer), ctl_on_reply, &reply);
	ctl_wait(&reply);
	g_free(reply.body);
	return reply.status;
}

/*
 * Updates the pointer; returns -1 with ERR set on failure. A write whose reply was
 * lost may have taken effect, so each attempt first reads the pointer and
 * succeeds if it already names the new body.
 */
static int pointer_update(rollout_t *rollout, pd_error_t *err)
{
	for (int i = 0; i < ROLLOUT_ATTEMPTS_MAX; i++) {
		pointer_t now;

		if (pointer_read(rollout, &now, err) < 0)
			continue;
		if (now.object && !strcmp(now.object, rollout->object)) {
			g_free(now.object);
			return 0;
		}
		g_free(rollout->replaced);
		rollout->replaced = now.object;
		if (now.generation >= rollout->generation)
			return pd_error_set(err, PD_ERROR_CONFLICT,
					    "generation %" G_GUINT64_FORMAT
					    " is in force already; sign with a "
					    "higher one "
					    "than that",
					    now.generation);
		if (pointer_write(rollout, now.version) == STORE_OK)
			return 0;
		pd_error_set(err, PD_ERROR_UNAVAILABLE,
			     "the platform gave no clear answer; run the same "
			     "rollout again to learn the outcome");
	}
	return -1;
}

/* Reads and verifies the signed bundle; returns -1 with ERR set on failure. */
static int rollout_prepare(rollout_t *rollout, const ctl_options_t *options,
			   pd_error_t *err)
{
	char *public_key = ctl_read_file(options->key_file, err);
	bundle_t *bundle = NULL;
	char *hash;
	int rc = -1;

	if (!public_key)
		return -1;
	rollout->envelope = ctl_read_file(options->argument, err);
	if (!rollout->envelope)
		goto error;
	bundle = envelope_open(rollout->envelope, strlen(rollout->envelope),
			       public_key, err);
	if (!bundle)
		goto error;
	hash = signing_hash(rollout->envelope, strlen(rollout->envelope));
	rollout->generation = bundle->generation;
	rollout->object = g_strdup_printf("bundles/%" G_GUINT64_FORMAT "-%s",
					  bundle->generation, hash);
	rollout->pointer = g_strdup_printf("{\"generation\":%" G_GUINT64_FORMAT
					   ",\"object\":\"%s\"}",
					   rollout->generation, rollout->object);
	g_free(hash);
	rc = 0;
error:
	bundle_destroy(bundle);
	g_free(public_key);
	return rc;
}

/* Returns whether an entry runs a bundle of at least GENERATION. */
static bool entry_has_generation(http_client_t *client,
				 const member_info_t *entry, uint64_t generation)
{
	json_t *status = ctl_query_entry(client, entry, "/status");
	int64_t now = status ? json_integer_or(status, "generation", 0) : 0;

	json_decref(status);
	return now >= (int64_t)generation;
}

/*
 * Waits until an entry has the bundle; returns false on timeout. The store may
 * fail right after it accepted a bundle. If no entry had read the body by then,
 * the bundle would take effect nowhere until the store recovers; once one entry
 * has it, the others get it from that entry.
 */
static bool rollout_is_delivered(const rollout_t *rollout, const GArray *entries)
{
	http_client_t *client =
		http_client_create(uv_default_loop(), QUERY_TIMEOUT);
	gint64 end = g_get_monotonic_time() + DELIVERY_TIMEOUT_US;
	bool delivered = entries->len == 0;

	while (!delivered && g_get_monotonic_time() < end) {
		for (guint i = 0; i < entries->len && !delivered; i++)
			delivered = entry_has_generation(
				client, &g_array_index(entries, member_info_t, i),
				rollout->generation);
		if (!delivered)
			g_usleep(DELIVERY_POLL_US);
	}
	return delivered;
}

static void print_accepted(const ctl_options_t *options,
			   const rollout_t *rollout, bool delivered)
{
	if (options->json)
		printf("{\"accepted\":%" G_GUINT64_FORMAT ",\"carried\":%s}\n",
		       rollout->generation, delivered ? "true" : "false");
	else
		printf("generation %" G_GUINT64_FORMAT " is accepted%s\n",
		       rollout->generation,
		       delivered ? "" : "; no entry has it yet, look at status");
}

/*
 * Deletes the previous body. With a thousand rollouts a day old bodies would fill
 * the store; operators archive the bundles that they want to keep.
 */
static void body_delete_replaced(const rollout_t *rollout)
{
	ctl_reply_t reply = { 0 };

	if (!rollout->replaced)
		return;
	platform_delete(rollout->platform, rollout->replaced, ctl_on_reply, &reply);
	ctl_wait(&reply);
	g_free(reply.body);
}

/* Rolls out a signed bundle. */
int ctl_rollout(const ctl_options_t *options)
{
	rollout_t rollout = { 0 };
	GArray *entries = NULL;
	pd_error_t err;
	int code = EX_OK;

	rollout.platform = ctl_create_platform(options, &err);
	if (!rollout.platform || rollout_prepare(&rollout, options, &err) < 0 ||
	    body_write(&rollout, &err) < 0)
		code = ctl_fail(options, &err);
	else if (!(entries = ctl_list_entries(rollout.platform, &err)) ||
		 pointer_update(&rollout, &err) < 0)
		code = ctl_fail(options, &err);
	else
		print_accepted(options, &rollout,
			       rollout_is_delivered(&rollout, entries));
	if (code == EX_OK)
		body_delete_replaced(&rollout);
	if (entries)
		g_array_unref(entries);
	g_free(rollout.envelope);
	g_free(rollout.object);
	g_free(rollout.pointer);
	g_free(rollout.replaced);
	return code;
}
