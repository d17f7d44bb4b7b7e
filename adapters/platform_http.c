/* Calls the platform and maps its responses to store statuses. */
#include "adapters/platform_http.h"

#include <string.h>

#include "adapters/http_client.h"
#include "adapters/json.h"

#define REQUEST_TIMEOUT (2 * PD_SEC)
#define WATCH_DURATION (20 * PD_SEC) /* the platform answers by then */
/* A watch still unanswered this long after its duration is considered dead. */
#define WATCH_TIMEOUT_MARGIN (3 * PD_SEC)
#define RESPONSE_BYTES_MAX (4 * 1024 * 1024)

struct platform {
	char *address;
	uint16_t port;
	http_client_t *calls;
	http_client_t *watches;
};

typedef struct platform_call {
	platform_done_t done;
	void *ctx;
	bool is_write;
	bool written;
	int status;
	uint64_t version;
	GString *body;
} platform_call_t;

/*
 * Returns a client of the platform at ADDRESS, which lives as long as the loop.
 * Sends nothing yet.
 */
platform_t *platform_create(uv_loop_t *loop, const char *address, uint16_t port)
{
	platform_t *platform = g_new0(platform_t, 1);

	platform->address = g_strdup(address);
	platform->port = port;
	platform->calls = http_client_create(loop, REQUEST_TIMEOUT);
	platform->watches =
		http_client_create(loop, WATCH_DURATION + WATCH_TIMEOUT_MARGIN);
	return platform;
}

/* Records that the request may have reached the platform. */
static void call_on_written(void *ctx)
{
	platform_call_t *call = ctx;

	call->written = true;
}

/* Records the status and the version, which is the entity tag. */
static void call_on_head(void *ctx, http_call_t *http, int status)
{
	platform_call_t *call = ctx;
	const char *etag = http_call_header(http, "etag");

	call->status = status;
	if (etag && *etag == '"')
		call->version = g_ascii_strtoull(etag + 1, NULL, 10);
}

/* Appends to the body; data beyond RESPONSE_BYTES_MAX is dropped. */
static void call_on_body(void *ctx, const char *data, size_t len)
{
	platform_call_t *call = ctx;

	if (call->body->len + len <= RESPONSE_BYTES_MAX)
		g_string_append_len(call->body, data, (gssize)len);
}

/*
 * Returns the status of a call that ended, with ERR if it failed. A write that
 * was sent but got no definite response may have taken effect, so it is
 * STORE_UNKNOWN, not STORE_DOWN.
 */
static store_status_t store_status_of(const platform_call_t *call,
				      const pd_error_t *err)
{
	if (err)
		return call->is_write && call->written ? STORE_UNKNOWN : STORE_DOWN;
	switch (call->status) {
	case 200:
	case 201:
		return STORE_OK;
	case 404:
		return STORE_MISSING;
	case 304:
	case 409:
	case 412:
		return STORE_CONFLICT;
	case 429:
	case 503:
		return STORE_DOWN;
	default:
		return call->is_write ? STORE_UNKNOWN : STORE_DOWN;
	}
}

/* Passes the outcome to the call's callback. */
static void call_on_done(void *ctx, const pd_error_t *err)
{
	platform_call_t *call = ctx;
	const platform_answer_t answer = {
		.status = store_status_of(call, err),
		.version = call->version,
		.body = call->body->str,
		.len = call->body->len,
	};

	call->done(call->ctx, &answer);
}

/* Frees a call. */
static void call_on_free(void *ctx)
{
	platform_call_t *call = ctx;

	g_string_free(call->body, TRUE);
	g_free(call);
}

static const http_call_handlers_t platform_handlers = {
	.on_sending = call_on_written,
	.on_head = call_on_head,
	.on_body = call_on_body,
	.on_done = call_on_done,
	.on_free = call_on_free,
};

/*
 * Sends REQUEST to the platform; DONE gets the outcome. Any method but GET
 * counts as a write.
 */
static void platform_send_request(platform_t *platform, http_client_t *client,
				  http_request_t *request, platform_done_t done,
				  void *ctx)
{
	platform_call_t *call = g_new0(platform_call_t, 1);

	call->done = done;
	call->ctx = ctx;
	call->is_write = strcmp(request->method, "GET") != 0;
	call->body = g_string_new(NULL);
	request->address = platform->address;
	request->port = platform->port;
	http_call_start(client, request, &platform_handlers, call);
}

/* Sends a GET request for PATH, which it frees. */
static void platform_get(platform_t *platform, http_client_t *client,
			 char *path, platform_done_t done, void *ctx)
{
	http_request_t request = { .method = "GET", .path = path };

	platform_send_request(platform, client, &request, done, ctx);
	g_free(path);
}

/* Reads an object. DONE gets STORE_OK, STORE_MISSING or STORE_DOWN. */
void platform_read(platform_t *platform, const char *key, platform_done_t done,
		   void *ctx)
{
	platform_get(platform, platform->calls,
		     g_strdup_printf("/objects/%s", key), done, ctx);
}

/*
 * Waits for a version of the object above AFTER (long polling). DONE gets
 * STORE_CONFLICT if there is none within WATCH_DURATION.
 */
void platform_watch(platform_t *platform, const char *key, uint64_t after,
		    platform_done_t done, void *ctx)
{
	platform_get(platform, platform->watches,
		     g_strdup_printf("/objects/%s?after=%" G_GUINT64_FORMAT
				     "&wait_ms=%" G_GINT64_FORMAT,
				     key, after, WATCH_DURATION / PD_MSEC),
		     done, ctx);
}

/* Lists the objects whose keys begin with PREFIX, with their bodies. */
void platform_list(platform_t *platform, const char *prefix,
		   platform_done_t done, void *ctx)
{
	platform_get(platform, platform->calls,
		     g_strdup_printf("/objects?prefix=%s", prefix), done, ctx);
}

/*
 * Writes an object if its current version is VERSION: 0 requires that it
 * doesn't exist, PLATFORM_ANY_VERSION writes unconditionally. BODY is copied.
 * DONE gets STORE_CONFLICT if the version differs.
 */
void platform_write(platform_t *platform, const char *key, uint64_t version,
		    const char *body, size_t len, platform_done_t done, void *ctx)
{
	char *path = g_strdup_printf("/objects/%s", key);
	char *tag = g_strdup_printf("\"%" G_GUINT64_FORMAT "\"", version);
	const http_header_t match = { "if-match", tag };
	const http_header_t none = { "if-none-match", "*" };
	http_request_t request = {
		.method = "PUT",
		.path = path,
		.headers = version ? &match : &none,
		.header_count = version == PLATFORM_ANY_VERSION ? 0 : 1,
		.body = body,
		.body_len = len,
	};

	platform_send_request(platform, platform->calls, &request, done, ctx);
	g_free(path);
	g_free(tag);
}

/* Deletes an object of any version; a missing one counts as deleted. */
void platform_delete(platform_t *platform, const char *key,
		     platform_done_t done, void *ctx)
{
	char *path = g_strdup_printf("/objects/%s", key);
	http_request_t request = { .method = "DELETE", .path = path };

	platform_send_request(platform, platform->calls, &request, done, ctx);
	g_free(path);
}

/*
 * Reads the VM list if its version is above AFTER; otherwise DONE gets
 * STORE_CONFLICT. The condition avoids transferring an unchanged list, which
 * has about 150 KB at the planned fleet size.
 */
void platform_read_vms(platform_t *platform, uint64_t after,
		       platform_done_t done, void *ctx)
{
	platform_get(platform, platform->calls,
		     g_strdup_printf("/vms?after=%" G_GUINT64_FORMAT, after),
		     done, ctx);
}

/* Reads the cloud's current offers and their prices. */
void platform_read_prices(platform_t *platform, platform_done_t done, void *ctx)
{
	platform_get(platform, platform->calls, g_strdup("/prices"), done, ctx);
}

/*
 * Orders a VM. The intent's tag makes the order idempotent; FENCE is the
 * fencing token of the lease.
 */
void platform_buy(platform_t *platform, const intent_t *intent, uint64_t fence,
		  platform_done_t done, void *ctx)
{
	json_t *order = json_object();
	http_request_t request = { .method = "POST", .path = "/vms" };
	char *body;

	json_object_set_new(order, "tag", json_string(intent->tag));
	json_object_set_new(order, "zone", json_string(intent->zone));
	json_object_set_new(order, "serves", json_string(intent->target));
	json_object_set_new(order, "machine_class",
			    json_string(intent->machine_class));
	json_object_set_new(order, "reclaimable",
			    json_boolean(intent->reclaimable));
	json_object_set_new(order, "fence", json_integer((json_int_t)fence));
	body = json_dumps(order, JSON_COMPACT);
	request.body = body;
	request.body_len = strlen(body);
	platform_send_request(platform, platform->calls, &request, done, ctx);
	free(body);
	json_decref(order);
}

/* Releases a VM; FENCE is the fencing token of the lease. */
void platform_release(platform_t *platform, const char *vm_id, uint64_t fence,
		      platform_done_t done, void *ctx)
{
	char *path = g_strdup_printf("/vms/%s?fence=%" G_GUINT64_FORMAT, vm_id,
				     fence);
	http_request_t request = { .method = "DELETE", .path = path };

	platform_send_request(platform, platform->calls, &request, done, ctx);
	g_free(path);
}
