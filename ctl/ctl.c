/* Functions shared by the commands: errors, files and store calls. */
#include "ctl/ctl.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <uv.h>

/* Returns the exit code for a kind of error. */
static int error_exit(pd_error_kind_t kind)
{
	switch (kind) {
	case PD_ERROR_INPUT:
	case PD_ERROR_TOO_LARGE:
	case PD_ERROR_VERSION:
	case PD_ERROR_SIGNATURE:
		return EX_DATAERR;
	case PD_ERROR_SETTINGS:
		return EX_CONFIG;
	case PD_ERROR_NOT_FOUND:
		return EX_NOINPUT;
	case PD_ERROR_DENIED:
		return EX_NOPERM;
	case PD_ERROR_CONFLICT:
		return EX_TEMPFAIL;
	default:
		return EX_UNAVAILABLE;
	}
}

/* Prints an error, as JSON to stdout with --json; returns the exit code. */
int ctl_fail(const ctl_options_t *options, const pd_error_t *err)
{
	json_t *object;

	if (!options->json) {
		fprintf(stderr, "pistachioctl: %s: %s\n",
			pd_error_kind_name(err->kind), err->context);
		return error_exit(err->kind);
	}
	object = json_pack("{s:s, s:s}", "error", pd_error_kind_name(err->kind),
			   "context", err->context);
	json_dumpf(object, stdout, JSON_COMPACT);
	putchar('\n');
	json_decref(object);
	return error_exit(err->kind);
}

/* Returns a client for --platform; NULL with ERR set if that is invalid. */
platform_t *ctl_create_platform(const ctl_options_t *options, pd_error_t *err)
{
	const char *colon = options->platform ? strrchr(options->platform, ':')
					      : NULL;
	platform_t *platform;
	char *address;
	int port;

	if (!colon) {
		pd_error_set(err, PD_ERROR_SETTINGS,
			     "--platform: expected ADDRESS:PORT");
		return NULL;
	}
	port = atoi(colon + 1);
	if (port < 1 || port > UINT16_MAX) {
		pd_error_set(err, PD_ERROR_SETTINGS,
			     "--platform: expected a port from 1 to 65535");
		return NULL;
	}
	address = g_strndup(options->platform, (gsize)(colon - options->platform));
	platform = platform_create(uv_default_loop(), address, (uint16_t)port);
	g_free(address);
	return platform;
}

/* Store callback: copies the reply to the ctl_reply_t at CTX. */
void ctl_on_reply(void *ctx, const platform_answer_t *reply)
{
	ctl_reply_t *saved = ctx;

	saved->status = reply->status;
	saved->version = reply->version;
	saved->body = g_strndup(reply->body ? reply->body : "", reply->len);
	saved->len = reply->len;
	saved->done = true;
}

/* Runs the event loop until the call ends, at the latest by its timeout. */
void ctl_wait(ctl_reply_t *reply)
{
	while (!reply->done)
		uv_run(uv_default_loop(), UV_RUN_ONCE);
}

/* Returns a file's contents, owned by the caller; NULL with ERR set on failure. */
char *ctl_read_file(const char *path, pd_error_t *err)
{
	char *text = NULL;

	if (!path) {
		pd_error_set(err, PD_ERROR_SETTINGS, "a file is needed");
		return NULL;
	}
	if (!g_file_get_contents(path, &text, NULL, NULL))
		pd_error_set(err, PD_ERROR_NOT_FOUND, "can't read %s", path);
	return text;
}
