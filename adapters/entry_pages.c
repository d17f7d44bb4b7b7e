/*
 * HTTP endpoints for operators, the load balancer and agents on the entry's VM.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>

#include "adapters/entry_runner_parts.h"
#include "adapters/json.h"

#define LEAVES_IN_MS_MAX (24 * 3600 * 1000)

/* Replies with a text of the content type TYPE. */
static void reply_text(http_exchange_t *exchange, int status, const char *type,
		       const char *text)
{
	const http_header_t header = { "content-type", type };

	http_exchange_reply(exchange, status, &header, 1, text, strlen(text));
}

/* Replies with all metrics, after updating the gauges. */
static void reply_metrics(entry_runner_t *runner, http_exchange_t *exchange)
{
	char *text;

	metrics_set_gauge(runner->metrics, "pistachio_in_flight",
			  entry_in_flight(runner->entry));
	metrics_set_gauge(runner->metrics, "pistachio_bundle_generation",
			  (double)entry_generation(runner->entry));
	metrics_set_gauge(runner->metrics, "pistachio_upstreams_usable",
			  entry_upstreams_usable(runner->entry));
	metrics_set_gauge(runner->metrics, "pistachio_members_alive",
			  entry_members_alive(runner->entry));
	metrics_set_gauge(runner->metrics, "pistachio_peer_bytes_total",
			  (double)peer_link_bytes(runner->peers));
	text = metrics_format(runner->metrics);
	reply_text(exchange, 200, "text/plain; version=0.0.4", text);
	g_free(text);
}

/* Replies with the entry's status as JSON. */
static void reply_status(entry_runner_t *runner, http_exchange_t *exchange)
{
	json_t *status =
		json_pack("{s:s, s:s, s:b, s:I, s:i, s:i, s:i}", "id",
			  runner->self.id, "zone", runner->self.zone, "ready",
			  entry_is_ready(runner->entry), "generation",
			  (json_int_t)entry_generation(runner->entry), "in_flight",
			  (int)entry_in_flight(runner->entry), "members_alive",
			  (int)entry_members_alive(runner->entry),
			  "upstreams_usable",
			  (int)entry_upstreams_usable(runner->entry));
	char *text = json_dumps(status, JSON_COMPACT);

	reply_text(exchange, 200, "application/json", text);
	free(text);
	json_decref(status);
}

/* Replies with the recorded decisions of a request; 404 if there are none. */
static void reply_explain(entry_runner_t *runner, http_exchange_t *exchange,
			  const char *request_id)
{
	char *text = explain_json(runner->explain, request_id);

	if (text)
		reply_text(exchange, 200, "application/json", text);
	else
		reply_text(exchange, 404, "application/json", "{}");
	g_free(text);
}

/*
 * Handles a reclaim notice from an agent on this VM. Requests from elsewhere are
 * refused, because callers can reach this port and could stop the entry with
 * one.
 */
static void reply_reclaim(entry_runner_t *runner, http_exchange_t *exchange)
{
	size_t len;
	const char *data = http_exchange_body(exchange, &len);
	json_t *notice;
	int64_t leaves_in_ms;
	pd_error_t err;

	if (!http_exchange_is_local(exchange)) {
		reply_text(exchange, 403, "text/plain", "from this VM only\n");
		return;
	}
	notice = json_parse(data, len, &err);
	leaves_in_ms = notice ? json_integer_or(notice, "leaves_in_ms", -1) : -1;
	json_decref(notice);
	if (leaves_in_ms < 0 || leaves_in_ms > LEAVES_IN_MS_MAX) {
		reply_text(exchange, 400, "text/plain", "leaves_in_ms expected\n");
		return;
	}
	reply_text(exchange, 200, "text/plain", "leaving\n");
	entry_runner_handle_vm_notice(runner, leaves_in_ms * PD_MSEC);
}

/*
 * Replies to a request of an operator, the load balancer or the VM's agent.
 * Returns false if the path is none of theirs; nothing is sent then. CTX is the
 * runner.
 */
bool entry_pages_reply(void *ctx, http_exchange_t *exchange)
{
	static const char explain_prefix[] = "/explain/";
	entry_runner_t *runner = ctx;
	const char *path = http_exchange_path(exchange);
	bool ready = entry_is_ready(runner->entry);

	if (!strcmp(path, "/healthz"))
		reply_text(exchange, 200, "text/plain", "ok\n");
	else if (!strcmp(path, "/readyz"))
		reply_text(exchange, ready ? 200 : 503, "text/plain",
			   ready ? "ready\n" : "not ready\n");
	else if (!strcmp(path, "/metrics"))
		reply_metrics(runner, exchange);
	else if (!strcmp(path, "/status"))
		reply_status(runner, exchange);
	else if (!strcmp(path, "/reclaim") &&
		 !strcmp(http_exchange_method(exchange), "POST"))
		reply_reclaim(runner, exchange);
	else if (g_str_has_prefix(path, explain_prefix))
		reply_explain(runner, exchange, path + strlen(explain_prefix));
	else
		return false;
	return true;
}
