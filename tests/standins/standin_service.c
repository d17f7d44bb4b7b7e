/*
 * Stand-in for a plain service, such as station-call. It runs every request
 * without deduplication and counts the runs of each idempotency key, so that
 * tests can detect a call that ran twice.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/json.h"
#include "tests/standins/standin.h"

typedef struct service {
	uv_loop_t *loop;
	uint64_t work_ms; /* duration of a call */
	bool checks_fencing;
	uint64_t fencing_token; /* highest fencing token seen */
	bool silent; /* runs calls but never replies */
	json_t *runs; /* idempotency key -> number of runs */
	json_t *request_ids; /* request ids, in execution order */
	int64_t running; /* calls in progress */
} service_t;

typedef struct call {
	service_t *service;
	http_exchange_t *exchange; /* NULL once the caller has disconnected */
	char *key;
	json_int_t run_number; /* 1 for the first run of KEY */
} call_t;

static void call_on_disconnect(void *ctx)
{
	call_t *call = ctx;

	call->exchange = NULL;
}

/* Replies after the call's working time, unless silent, and frees the call. */
static void call_finish(void *ctx)
{
	call_t *call = ctx;

	call->service->running--;
	if (call->exchange && !call->service->silent)
		standin_reply_json(call->exchange, 200,
				   json_pack("{s:s, s:I}", "key", call->key,
					     "run", call->run_number));
	g_free(call->key);
	g_free(call);
}

/*
 * Returns true if fencing is checked and the request's token is stale. A token
 * that is not stale becomes the highest seen.
 */
static bool is_stale(service_t *service, const http_exchange_t *exchange)
{
	const char *text = http_exchange_header(exchange, "x-fencing-number");
	uint64_t fencing_token = text ? g_ascii_strtoull(text, NULL, 10) : 0;

	if (!service->checks_fencing)
		return false;
	if (fencing_token < service->fencing_token)
		return true;
	service->fencing_token = fencing_token;
	return false;
}

/* Counts a run of the request's key and replies after WORK_MS. */
static void on_call(service_t *service, http_exchange_t *exchange)
{
	const char *key = http_exchange_header(exchange, "idempotency-key");
	const char *id = http_exchange_header(exchange, "x-request-id");
	call_t *call;

	if (is_stale(service, exchange)) {
		standin_reply_text(exchange, 409, NULL, "{}", 2);
		return;
	}
	call = g_new0(call_t, 1);
	call->service = service;
	call->exchange = exchange;
	call->key = g_strdup(key ? key : "-");
	call->run_number = json_integer_or(service->runs, call->key, 0) + 1;
	json_object_set_new(service->runs, call->key,
			    json_integer(call->run_number));
	json_array_append_new(service->request_ids, json_string(id ? id : ""));
	service->running++;
	http_exchange_on_disconnect(exchange, call_on_disconnect, call);
	standin_start_timer(service->loop, service->work_ms, call_finish, call);
}

/* Sets the faults given in the request. */
static void on_faults(service_t *service, http_exchange_t *exchange)
{
	json_t *body = standin_parse_body(exchange);

	service->silent = json_is_true(json_object_get(body, "silent"));
	service->work_ms = (uint64_t)json_integer_or(body, "work_ms",
						     (json_int_t)service->work_ms);
	standin_reply_text(exchange, 200, NULL, "{}", 2);
	json_decref(body);
}

static void on_request(void *ctx, http_exchange_t *exchange)
{
	service_t *service = ctx;
	const char *path = http_exchange_path(exchange);

	if (!strcmp(path, "/load"))
		standin_reply_json(exchange, 200,
				   json_pack("{s:I, s:i}", "running",
					     (json_int_t)service->running,
					     "waiting", 0));
	else if (!strcmp(path, "/standin/faults"))
		on_faults(service, exchange);
	else if (!strcmp(path, "/standin/record"))
		standin_reply_json(exchange, 200,
				   json_pack("{s:O, s:O}", "runs", service->runs,
					     "ran", service->request_ids));
	else
		on_call(service, exchange);
}

/* Arguments: duration of a call in ms; 1 to check fencing tokens, else 0. */
int main(int argc, char **argv)
{
	service_t service = { .loop = uv_default_loop(), .work_ms = 5 };

	if (argc > 1)
		service.work_ms = strtoull(argv[1], NULL, 10);
	if (argc > 2)
		service.checks_fencing = !strcmp(argv[2], "1");
	service.runs = json_object();
	service.request_ids = json_array();
	standin_serve(service.loop, on_request, &service);
	standin_run(service.loop);
	return 0;
}
