/* HTTP calls to a fleet and their responses. */
#include "tests/harness/fleet.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib/gstdio.h>

#include "adapters/bundle_json.h"
#include "adapters/json.h"
#include "adapters/signing.h"
#include "core/hash.h"

static void call_on_head(void *ctx, http_call_t *http, int status)
{
	call_t *call = ctx;
	const char *retry = http_call_header(http, "retry-after");
	const char *replayed = http_call_header(http, "idempotency-replayed");

	call->status = status;
	call->request_id = g_strdup(http_call_header(http, "x-request-id"));
	call->content_type = g_strdup(http_call_header(http, "content-type"));
	call->replayed = replayed && !strcmp(replayed, "true");
	call->retry_after = retry ? g_ascii_strtoll(retry, NULL, 10) : 0;
}

static void call_on_body(void *ctx, const char *data, size_t len)
{
	call_t *call = ctx;

	if (call->body->len == 0)
		call->first_byte_at = g_get_monotonic_time();
	g_string_append_len(call->body, data, (gssize)len);
	if (!call->first_token_at && strstr(call->body->str, "id: "))
		call->first_token_at = g_get_monotonic_time();
}

static void call_on_done(void *ctx, const pd_error_t *err)
{
	call_t *call = ctx;

	call->failed = err != NULL;
	call->done = true;
	call->done_at = g_get_monotonic_time();
	call->http = NULL;
}

/*
 * Starts a call to a port on loopback. KEY is the account's API key; it, the other
 * headers and the body may be NULL. The caller destroys the call.
 */
call_t *call_start(fleet_t *fleet, int port, const char *method,
		   const char *path, const char *key, const char *idempotency_key,
		   const char *last_event_id, const char *body)
{
	static const http_call_handlers_t handlers = {
		.on_head = call_on_head,
		.on_body = call_on_body,
		.on_done = call_on_done,
	};
	call_t *call = g_new0(call_t, 1);
	char *bearer = g_strconcat("Bearer ", key ? key : "", NULL);
	http_header_t headers[3];
	http_request_t request = { .address = "127.0.0.1",
				   .port = (uint16_t)port,
				   .method = method,
				   .path = path,
				   .headers = headers,
				   .body = body,
				   .body_len = body ? strlen(body) : 0 };

	if (key)
		headers[request.header_count++] =
			(http_header_t){ "authorization", bearer };
	if (idempotency_key)
		headers[request.header_count++] =
			(http_header_t){ "idempotency-key", idempotency_key };
	if (last_event_id)
		headers[request.header_count++] =
			(http_header_t){ "last-event-id", last_event_id };
	call->fleet = fleet;
	call->body = g_string_new(NULL);
	call->sent_at = g_get_monotonic_time();
	call->http = http_call_start(fleet->client, &request, &handlers, call);
	g_free(bearer);
	return call;
}

static bool call_is_done(void *ctx)
{
	return ((call_t *)ctx)->done;
}

/* Waits until the call has completed or failed. */
void call_wait(call_t *call)
{
	fleet_wait(call->fleet, call_is_done, call, "the end of a call");
}

/* Closes the call's connection unless it has ended; the call counts as failed. */
void call_cancel(call_t *call)
{
	if (call->http)
		http_call_cancel(call->http);
	call->http = NULL;
	call->done = true;
	call->failed = true;
}

/* Cancels the call if it is still running and frees it; NULL is allowed. */
void call_destroy(call_t *call)
{
	if (!call)
		return;
	call_cancel(call);
	g_free(call->request_id);
	g_free(call->content_type);
	g_string_free(call->body, TRUE);
	g_free(call);
}

/*
 * Returns the JSON body of GET PATH, or NULL unless the status is 200. The caller
 * owns it.
 */
json_t *fleet_get(fleet_t *fleet, int port, const char *path)
{
	call_t *call = call_start(fleet, port, "GET", path, NULL, NULL, NULL, NULL);
	json_t *answer = NULL;
	pd_error_t err;

	call_wait(call);
	if (!call->failed && call->status == 200)
		answer = json_parse(call->body->str, call->body->len, &err);
	call_destroy(call);
	return answer;
}

/* Sends a POST to a stand-in; fails the test unless the status is 200. */
void fleet_post(fleet_t *fleet, int port, const char *path, const char *body)
{
	call_t *call =
		call_start(fleet, port, "POST", path, NULL, NULL, NULL, body);

	call_wait(call);
	assert_int_equal(call->status, 200);
	call_destroy(call);
}

/* Starts a completion of TOKENS tokens by ledger-reader; the caller destroys it. */
call_t *completion_start(fleet_t *fleet, int port, const char *prompt,
			 unsigned int tokens, bool stream)
{
	json_t *body = json_pack("{s:s, s:b, s:i, s:[{s:s, s:s}]}", "model",
				 "ledger-reader", "stream", stream,
				 "max_tokens", (int)tokens, "messages", "role",
				 "user", "content", prompt);
	char *text = json_dumps(body, JSON_COMPACT);
	call_t *call = call_start(fleet, port, "POST", "/v1/chat/completions",
				  FLEET_OFFICE_KEY, NULL, NULL, text);

	free(text);
	json_decref(body);
	return call;
}

/* Appends the content of one chat.completion.chunk to TEXT. */
static void append_chunk_content(const char *line, GString *text)
{
	json_t *chunk = json_loads(line, 0, NULL);
	json_t *choices = json_object_get(chunk, "choices");
	json_t *delta = json_object_get(json_array_get(choices, 0), "delta");

	g_string_append(text, json_string_or(delta, "content", ""));
	json_decref(chunk);
}

/*
 * Returns the text of a completion, streamed or in a single JSON body. The caller
 * owns it.
 */
char *completion_text(const call_t *call)
{
	GString *text = g_string_new(NULL);
	char **lines = g_strsplit(call->body->str, "\n", -1);
	json_t *response = json_loads(call->body->str, 0, NULL);

	if (response) {
		json_t *choices = json_object_get(response, "choices");
		json_t *message =
			json_object_get(json_array_get(choices, 0), "message");

		g_string_assign(text, json_string_or(message, "content", ""));
	}
	for (char **line = lines; !response && *line; line++) {
		if (g_str_has_prefix(*line, "data: {"))
			append_chunk_content(*line + strlen("data: "), text);
	}
	g_strfreev(lines);
	json_decref(response);
	return g_string_free(text, FALSE);
}

/*
 * Returns the text that the engine stand-in generates for PROMPT. The caller owns
 * it.
 */
char *completion_expected(const char *prompt, unsigned int tokens)
{
	char *engine_prompt = g_strdup_printf("user: %s\n", prompt);
	char *seed = g_strdup_printf("%" G_GUINT64_FORMAT,
				     hash_string(engine_prompt));
	GString *text = g_string_new(NULL);

	for (unsigned int i = 0; i < tokens; i++) {
		char *position = g_strdup_printf("%u", i);

		g_string_append_printf(text, "%s%04x", i ? " " : "",
				       (unsigned int)(hash_pair(seed, position) &
						      0xffff));
		g_free(position);
	}
	g_free(engine_prompt);
	g_free(seed);
	return g_string_free(text, FALSE);
}

/* Returns true if a streamed completion was received up to its end. */
bool completion_is_complete(const call_t *call)
{
	return call->done && !call->failed && call->status == 200 &&
	       strstr(call->body->str, "data: [DONE]");
}

/*
 * Starts a station call, which must not run twice, with an idempotency key. The
 * caller destroys it.
 */
call_t *station_call_start(fleet_t *fleet, int port, const char *key)
{
	return call_start(fleet, port, "POST", "/v1/services/station-call/calls",
			  FLEET_LINE_KEY, key, NULL, "{\"station\":12}");
}

/*
 * Copies the last component of the response's problem type to BUFFER, or "" if it
 * has none. Returns BUFFER.
 */
const char *call_problem(const call_t *call, char *buffer, size_t size)
{
	const char *type =
		strstr(call->body->str, "urn:pistachiodrift:problem:");
	size_t len;

	buffer[0] = '\0';
	if (!type)
		return buffer;
	type += strlen("urn:pistachiodrift:problem:");
	len = strcspn(type, "\"");
	g_strlcpy(buffer, type, MIN(size, len + 1));
	return buffer;
}
