/* Read-only commands: status and explain. */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <uv.h>

#include "adapters/http_client.h"
#include "adapters/json.h"
#include "adapters/platform_json.h"
#include "ctl/ctl.h"

#define QUERY_TIMEOUT (2 * PD_SEC)

/* An HTTP request to an entry. */
typedef struct query {
	GString *body;
	int status;
	bool done;
} query_t;

static void query_on_head(void *ctx, http_call_t *call, int status)
{
	query_t *query = ctx;

	(void)call;
	query->status = status;
}

static void query_on_body(void *ctx, const char *data, size_t len)
{
	query_t *query = ctx;

	g_string_append_len(query->body, data, (gssize)len);
}

static void query_on_done(void *ctx, const pd_error_t *err)
{
	query_t *query = ctx;

	if (err)
		query->status = 0;
	query->done = true;
}

static void query_start(query_t *query, http_client_t *client,
			const member_info_t *entry, const char *path)
{
	static const http_call_handlers_t handlers = {
		.on_head = query_on_head,
		.on_body = query_on_body,
		.on_done = query_on_done,
	};
	const http_request_t request = { .address = entry->address,
					 .port = entry->http_port,
					 .method = "GET",
					 .path = path };

	query->body = g_string_new(NULL);
	http_call_start(client, &request, &handlers, query);
}

/* Waits for the reply; returns its JSON, or NULL on failure. Frees the body. */
static json_t *query_finish(query_t *query)
{
	json_t *reply = NULL;
	pd_error_t err;

	while (!query->done)
		uv_run(uv_default_loop(), UV_RUN_ONCE);
	if (query->status == 200)
		reply = json_parse(query->body->str, query->body->len, &err);
	g_string_free(query->body, TRUE);
	return reply;
}

static void entry_clear(void *data)
{
	member_info_clear(data);
}

/*
 * Returns the entries listed by the platform, an array of member_info_t owned by
 * the caller; NULL with ERR set on failure.
 */
GArray *ctl_list_entries(platform_t *platform, pd_error_t *err)
{
	GArray *entries = g_array_new(FALSE, TRUE, sizeof(member_info_t));
	ctl_reply_t reply = { 0 };
	json_t *list = NULL;
	json_t *items;
	json_t *item;
	size_t i;

	g_array_set_clear_func(entries, entry_clear);
	platform_list(platform, "entries/", ctl_on_reply, &reply);
	ctl_wait(&reply);
	if (reply.status != STORE_OK) {
		pd_error_set(err, PD_ERROR_UNAVAILABLE,
			     "the platform does not answer");
		goto error;
	}
	list = json_parse(reply.body, reply.len, err);
	if (!list || json_read_array(list, "objects", &items, err) < 0)
		goto error;
	json_array_foreach(items, i, item)
	{
		const char *body = json_string_or(item, "body", "");
		member_info_t info;

		if (member_info_decode(body, strlen(body), &info, err) == 0)
			g_array_append_val(entries, info);
	}
	json_decref(list);
	g_free(reply.body);
	return entries;
error:
	json_decref(list);
	g_free(reply.body);
	g_array_unref(entries);
	return NULL;
}

static void print_status(const member_info_t *entry, const json_t *status)
{
	if (!status) {
		printf("%-12s %-10s no answer\n", entry->id, entry->zone);
		return;
	}
	printf("%-12s %-10s %-9s generation %" G_GINT64_FORMAT
	       ", %" G_GINT64_FORMAT " in flight, sees %" G_GINT64_FORMAT
	       " entries\n",
	       entry->id, entry->zone,
	       json_is_true(json_object_get(status, "ready")) ? "ready" : "not ready",
	       json_integer_or(status, "generation", 0),
	       json_integer_or(status, "in_flight", 0),
	       json_integer_or(status, "members_alive", 0));
}

static void print_json(const json_t *value)
{
	json_dumpf(value, stdout, JSON_COMPACT);
	putchar('\n');
}

/*
 * Shows each entry's readiness, bundle generation, load and number of live
 * members. The queries run concurrently, so that all unreachable entries together
 * cost one timeout.
 */
int ctl_status(const ctl_options_t *options)
{
	pd_error_t err;
	platform_t *platform = ctl_create_platform(options, &err);
	GArray *entries = platform ? ctl_list_entries(platform, &err) : NULL;
	http_client_t *client;
	json_t *report;
	query_t *queries;

	if (!entries)
		return ctl_fail(options, &err);
	client = http_client_create(uv_default_loop(), QUERY_TIMEOUT);
	report = json_array();
	queries = g_new0(query_t, entries->len);
	for (guint i = 0; i < entries->len; i++)
		query_start(&queries[i], client,
			    &g_array_index(entries, member_info_t, i), "/status");
	for (guint i = 0; i < entries->len; i++) {
		const member_info_t *entry =
			&g_array_index(entries, member_info_t, i);
		json_t *status = query_finish(&queries[i]);

		if (!options->json)
			print_status(entry, status);
		if (!status)
			status = json_pack("{s:s, s:b}", "id", entry->id,
					   "ready", 0);
		json_array_append_new(report, status);
	}
	if (options->json)
		print_json(report);
	json_decref(report);
	g_free(queries);
	g_array_unref(entries);
	return EX_OK;
}

static void print_explanation(const json_t *reply)
{
	json_t *decisions = json_object_get(reply, "decisions");
	json_t *decision;
	size_t i;

	printf("request %s\n", json_string_or(reply, "request_id", "?"));
	json_array_foreach(decisions, i, decision)
		printf("  %zu. %s chose %s: %s; passed over: %s\n", i + 1,
		       json_string_or(decision, "part", "?"),
		       json_string_or(decision, "choice", "?"),
		       json_string_or(decision, "reason", "?"),
		       json_string_or(decision, "passed_over", ""));
}

/* Returns an entry's JSON reply, owned by the caller; NULL on failure. */
json_t *ctl_query_entry(http_client_t *client, const member_info_t *entry,
			const char *path)
{
	query_t query = { 0 };

	query_start(&query, client, entry, path);
	return query_finish(&query);
}

/*
 * Shows the decisions about a request. Its id begins with that of the entry that
 * accepted it, so only that entry is queried.
 */
int ctl_explain(const ctl_options_t *options)
{
	pd_error_t err;
	platform_t *platform = ctl_create_platform(options, &err);
	GArray *entries = platform ? ctl_list_entries(platform, &err) : NULL;
	json_t *reply = NULL;
	char *path;

	if (!entries)
		return ctl_fail(options, &err);
	path = g_strconcat("/explain/", options->argument, NULL);
	for (guint i = 0; i < entries->len && !reply; i++) {
		const member_info_t *entry =
			&g_array_index(entries, member_info_t, i);

		if (options->argument &&
		    g_str_has_prefix(options->argument, entry->id))
			reply = ctl_query_entry(http_client_create(uv_default_loop(),
								   QUERY_TIMEOUT),
						entry, path);
	}
	g_free(path);
	g_array_unref(entries);
	if (!reply) {
		pd_error_set(&err, PD_ERROR_NOT_FOUND,
			     "no entry remembers request %s",
			     options->argument ? options->argument : "");
		return ctl_fail(options, &err);
	}
	if (options->json)
		print_json(reply);
	else
		print_explanation(reply);
	json_decref(reply);
	return EX_OK;
}
