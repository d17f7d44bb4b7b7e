/* HTTP server, replies and timers shared by the stand-ins. */
#include "tests/standins/standin.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapters/json.h"

#define BODY_BYTES_MAX (8 * 1024 * 1024)

typedef struct delayed_call {
	uv_timer_t timer;
	void (*run)(void *ctx);
	void *ctx;
} delayed_call_t;

/*
 * Serves on an ephemeral loopback port and prints "port N" to standard output.
 * Exits with status 1 if it can't listen.
 */
http_server_t *standin_serve(uv_loop_t *loop, standin_handler_t handler, void *ctx)
{
	const http_server_config_t config = { .address = "127.0.0.1",
					      .body_max = BODY_BYTES_MAX,
					      .on_request = handler,
					      .ctx = ctx };
	pd_error_t err;
	http_server_t *server = http_server_create(loop, &config, &err);

	if (!server) {
		fprintf(stderr, "%s\n", err.context);
		exit(1);
	}
	printf("port %u\n", http_server_port(server));
	fflush(stdout);
	return server;
}

/* Runs the loop until the process is killed. */
void standin_run(uv_loop_t *loop)
{
	signal(SIGPIPE, SIG_IGN);
	uv_run(loop, UV_RUN_DEFAULT);
}

/* Replies with a JSON body and releases BODY. */
void standin_reply_json(http_exchange_t *exchange, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);

	standin_reply_text(exchange, status, NULL, text, strlen(text));
	free(text);
	json_decref(body);
}

/* Replies with LEN bytes of JSON text and, unless it is NULL, an ETag. */
void standin_reply_text(http_exchange_t *exchange, int status, const char *etag,
			const char *body, size_t len)
{
	const http_header_t headers[] = {
		{ "content-type", "application/json" },
		{ "etag", etag },
	};

	http_exchange_reply(exchange, status, headers, etag ? 2 : 1, body, len);
}

/*
 * Returns the request's JSON body, or an empty object if it isn't valid JSON. The
 * caller owns it.
 */
json_t *standin_parse_body(http_exchange_t *exchange)
{
	pd_error_t err;
	size_t len;
	const char *data = http_exchange_body(exchange, &len);
	json_t *body = json_parse(data, len, &err);

	return body ? body : json_object();
}

static void on_timer_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void on_timer(uv_timer_t *timer)
{
	delayed_call_t *delayed_call = timer->data;

	delayed_call->run(delayed_call->ctx);
	uv_close((uv_handle_t *)timer, on_timer_closed);
}

/* Calls RUN with CTX once, after DELAY_MS. */
void standin_start_timer(uv_loop_t *loop, uint64_t delay_ms,
			 void (*run)(void *ctx), void *ctx)
{
	delayed_call_t *delayed_call = g_new0(delayed_call_t, 1);

	delayed_call->run = run;
	delayed_call->ctx = ctx;
	uv_timer_init(loop, &delayed_call->timer);
	delayed_call->timer.data = delayed_call;
	uv_timer_start(&delayed_call->timer, on_timer, delay_ms, 0);
}
