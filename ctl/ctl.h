/* Options, commands and shared functions of pistachioctl. */
#ifndef PISTACHIO_CTL_H
#define PISTACHIO_CTL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "adapters/http_client.h"
#include "adapters/platform_http.h"
#include "core/error.h"
#include "ports/peer.h"

typedef struct ctl_options {
	const char *command;
	const char *argument; /* a file or request id; NULL: none */
	const char *platform; /* address:port */
	const char *key_file;
	const char *output;
	bool account; /* keygen: create an account's API key */
	bool peers; /* keygen: create the key that entries share */
	bool json;
} ctl_options_t;

/* The reply to a store call that ctl_wait() waits for. */
typedef struct ctl_reply {
	store_status_t status;
	uint64_t version;
	char *body; /* owned */
	size_t len;
	bool done;
} ctl_reply_t;

/* Commands return an exit code of sysexits.h. */
int ctl_keygen(const ctl_options_t *options);
int ctl_check(const ctl_options_t *options);
int ctl_sign(const ctl_options_t *options);
int ctl_rollout(const ctl_options_t *options);
int ctl_status(const ctl_options_t *options);
int ctl_explain(const ctl_options_t *options);

GArray *ctl_list_entries(platform_t *platform, pd_error_t *err);
json_t *ctl_query_entry(http_client_t *client, const member_info_t *entry,
			const char *path);
int ctl_fail(const ctl_options_t *options, const pd_error_t *err);
platform_t *ctl_create_platform(const ctl_options_t *options, pd_error_t *err);
void ctl_on_reply(void *ctx, const platform_answer_t *reply);
void ctl_wait(ctl_reply_t *reply);
char *ctl_read_file(const char *path, pd_error_t *err);

#endif
