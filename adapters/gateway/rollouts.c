/* Connects the decisions about roll-outs with the store, the peers and the log. */
#include "adapters/gateway/rollouts.h"

#include <string.h>

#include "adapters/gateway/duties.h"
#include "adapters/gateway/peers.h"
#include "adapters/log_glib.h"
#include "core/forward/rollout.h"

#define LOG_COMPONENT "rollout"
#define STORE_TIMEOUT_MS 1500

static const char *const step_names[] = {
	[ROLLOUT_CANARY] = "canary",
	[ROLLOUT_QUARTER] = "quarter",
	[ROLLOUT_HALF] = "half",
	[ROLLOUT_FULL] = "full",
};
static const char *const state_names[] = {
	[ROLLOUT_RUNNING] = "running",
	[ROLLOUT_COMPLETED] = "completed",
	[ROLLOUT_ROLLED_BACK] = "rolled_back",
};

/* Returns the time by which roll-outs are timed, on which all gateways agree. */
pd_time_t gateway_rollouts_now(const gateway_t *gateway)
{
	return time_vote_wall(gateway->vote, gateway_now());
}

/* Logs an invalid order once, until its object changes. */
static void log_invalid_order(gateway_t *gateway, const wire_page_t *page,
			      size_t i, const pd_error_t *err)
{
	const char *name = wire_page_name(page, i);
	gpointer revision = GSIZE_TO_POINTER(wire_page_object_revision(page, i));

	if (g_hash_table_lookup(gateway->invalid_orders, name) == revision)
		return;
	g_hash_table_replace(gateway->invalid_orders, g_strdup(name), revision);
	metrics_add(gateway->metrics, "gateway_rollout_invalid_orders_total", 1);
	log_error(LOG_COMPONENT, name, err);
}

/* Returns whether the configuration in force has a service; true if there is none yet. */
static bool is_service_known(const gateway_t *gateway, const char *service)
{
	return !gateway->config ||
	       forward_config_service(gateway->config, service) != NULL;
}

/* Applies entry I of a page: an order, its removal, or an invalid one. */
static void apply_order(gateway_t *gateway, const wire_page_t *page, size_t i,
			bool *is_news)
{
	rollout_order_t order;
	pd_error_t err;

	if (wire_page_is_removed(page, i)) {
		rollouts_remove_order(gateway->rollouts, wire_page_name(page, i),
				      wire_page_object_revision(page, i));
		return;
	}
	if (wire_page_parse_rollout(page, i, &order, &err) < 0) {
		log_invalid_order(gateway, page, i, &err);
		return;
	}
	if (!is_service_known(gateway, order.service)) {
		pd_error_set(&err, PD_ERROR_INPUT,
			     "service: not in the configuration");
		log_invalid_order(gateway, page, i, &err);
		return;
	}
	*is_news |= rollouts_apply_order(gateway->rollouts, &order,
					 gateway_rollouts_now(gateway));
}

/* Applies the orders of a page of the store, and sends what is new to the peers. */
void gateway_rollouts_apply_page(gateway_t *gateway, const wire_page_t *page)
{
	pd_time_t now = gateway_rollouts_now(gateway);
	bool is_news = false;

	for (size_t i = 0; i < wire_page_count(page); i++)
		apply_order(gateway, page, i, &is_news);
	if (rollouts_set_known_revision(gateway->rollouts, wire_page_revision(page)))
		is_news |= rollouts_has_held_version(gateway->rollouts, now);
	if (is_news)
		gateway_peers_spread_rollouts(gateway->peers);
}

/* Records the version of an upstream that is registered. */
void gateway_rollouts_record_version(gateway_t *gateway,
				     const forward_upstream_t *upstream)
{
	if (!rollouts_is_enabled(gateway->rollouts) || !upstream->revision ||
	    upstream->stage == FORWARD_GONE)
		return;
	if (rollouts_record_version(gateway->rollouts, upstream->service,
				    upstream->version_id, upstream->revision,
				    gateway_rollouts_now(gateway)))
		log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
			 "service=%s further version=%s "
			 "revision=%" G_GUINT64_FORMAT,
			 upstream->service, upstream->version, upstream->revision);
}

/* Counts a service's upstreams and requests by version; CTX is the gateway. */
static rollout_fleet_t count_fleet(void *ctx, const char *service,
				   uint64_t new_version_id)
{
	const gateway_t *gateway = ctx;
	rollout_fleet_t fleet = { 0 };

	LIST_FOR_EACH (it, forward_upstreams_list(gateway->upstreams)) {
		const forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);
		bool serves = forward_upstream_is_serving(upstream);

		if (strcmp(upstream->service, service) != 0 ||
		    upstream->stage == FORWARD_GONE)
			continue;
		if (upstream->version_id == new_version_id) {
			fleet.new_serving += serves;
		} else {
			fleet.old_serving += serves;
			fleet.old_running += forward_upstream_running(upstream);
		}
	}
	return fleet;
}

/* Applies the reply to a status, which has the order as the store has it. */
static void on_status_reply(void *ctx, const http1_reply_t *reply)
{
	gateway_t *gateway = ctx;
	wire_page_t *page;
	pd_error_t err;

	log_line(reply->status == 200 ? G_LOG_LEVEL_INFO : G_LOG_LEVEL_WARNING,
		 LOG_COMPONENT, "status written=%d", reply->status);
	if (reply->status != 200 && reply->status != 409)
		return;
	page = wire_page_parse_object(reply->body, reply->len, &err);
	if (!page) {
		log_error(LOG_COMPONENT, "status", &err);
		return;
	}
	gateway_rollouts_apply_page(gateway, page);
	wire_page_destroy(page);
}

/* Writes the status of an order; CTX is the gateway. */
static void write_status(void *ctx, const rollout_write_t *write)
{
	gateway_t *gateway = ctx;
	char *path = wire_rollout_status_path(write->service);
	char *body = wire_rollout_status_format(write);

	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
		 "write service=%s to=%s state=%s revision=%" G_GUINT64_FORMAT,
		 write->service, write->to, state_names[write->state],
		 write->revision);
	http1_client_call(gateway->store, &(http1_request_t){
						  .method = "PUT",
						  .path = path,
						  .body = body,
						  .timeout_ms = STORE_TIMEOUT_MS,
						  .on_reply = on_status_reply,
						  .ctx = gateway,
					  });
	g_free(path);
	g_free(body);
}

/* Logs a roll-out if its step, state or verdict has changed; CTX is the gateway. */
static void log_change(void *ctx, const rollout_report_t *report)
{
	gateway_t *gateway = ctx;
	uint64_t sent_new;
	uint64_t sent_all;
	char *now = g_strdup_printf("to=%s step=%s state=%s bad=%d", report->to,
				    step_names[report->step],
				    state_names[report->state], report->bad);
	const char *before =
		g_hash_table_lookup(gateway->logged_rollouts, report->service);

	if (!g_strcmp0(now, before)) {
		g_free(now);
		return;
	}
	rollouts_sent(gateway->rollouts, report->service, &sent_new, &sent_all);
	log_line(report->bad ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_INFO,
		 LOG_COMPONENT,
		 "service=%s %s sent_new=%" G_GUINT64_FORMAT
		 " sent_all=%" G_GUINT64_FORMAT,
		 report->service, now, sent_new, sent_all);
	metrics_increment(gateway->metrics, "gateway_rollout_changes_total",
			  "state",
			  report->bad ? "bad" : state_names[report->state]);
	g_hash_table_replace(gateway->logged_rollouts,
			     g_strdup(report->service), now);
}

/* Runs the decisions, and sends, writes and logs what follows. */
void gateway_rollouts_run(gateway_t *gateway, pd_time_t now)
{
	const rollouts_hooks_t hooks = { count_fleet, write_status, gateway };
	bool is_leader = gateway_duties_is_acting(gateway->duties, now);

	if (!rollouts_is_enabled(gateway->rollouts))
		return;
	if (rollouts_run(gateway->rollouts, is_leader, &hooks,
			 gateway_rollouts_now(gateway)))
		gateway_peers_spread_rollouts(gateway->peers);
	rollouts_each(gateway->rollouts, log_change, gateway);
}
