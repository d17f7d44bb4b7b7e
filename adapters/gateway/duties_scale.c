/* Scales the upstreams: orders as many of each kind as the plans ask for. */
#include "adapters/gateway/duties_state.h"
#include "adapters/gateway/rate_limits.h"
#include "adapters/log_glib.h"
#include "core/forward/scale_plan.h"
#include "platform/wire.h"

#define LOG_COMPONENT "duties"
/* How often the numbers of upstreams are planned, and an order is retried. */
#define PLAN_PERIOD (200 * PD_MSEC)
#define ORDER_RETRY (1500 * PD_MSEC)
/* Upstreams register some time after they have started. */
#define BOOT_MARGIN (1500 * PD_MSEC)

/* The number of upstreams of one kind to run in one zone. */
typedef struct order {
	gateway_duties_t *duties;
	char *service;
	char *zone;
	bool reclaimable;
	unsigned int target; /* of the current plan */
	unsigned int accepted; /* by the platform, last */
	bool confirmed; /* the platform accepted an order of this process */
	bool in_flight; /* a call waits for its reply */
	bool answered; /* the platform replied to an order of this process */
	unsigned int requested; /* by the last call */
	pd_time_t next_at; /* earliest time of the next call */
	pd_time_t accepted_at;
} order_t;

/* Adds the current planned load of each service to a note. */
void duties_add_needs(gateway_duties_t *duties, duties_note_t *note)
{
	GHashTableIter iter;
	gpointer service;
	gpointer plan;

	g_hash_table_iter_init(&iter, duties->plans);
	while (g_hash_table_iter_next(&iter, &service, &plan))
		duties_note_set_need(note, service,
				     scale_plan_basis(plan)->planned_load);
}

/*
 * Has the next renewal of the lease write the planned loads, so that a leader that
 * takes over during a shortage keeps the on-demand upstreams.
 */
static void save_needs(gateway_duties_t *duties, pd_time_t now)
{
	duties_note_t *note;
	char *text;

	if (!lease_is_synced(duties->lease, now))
		return;
	note = duties_note_parse(duties_lease_note_text(duties));
	duties_add_needs(duties, note);
	text = duties_note_format(note);
	lease_set_note_deferred(duties->lease, text, now);
	g_free(text);
	duties_note_destroy(note);
}

/* Returns the order of a service, zone and kind; creates one that is missing. */
static order_t *get_order(gateway_duties_t *duties, const char *service,
			  const char *zone, bool reclaimable)
{
	char *key = g_strdup_printf("%s %s %d", service, zone, reclaimable);
	order_t *order = g_hash_table_lookup(duties->orders, key);

	if (order) {
		g_free(key);
		return order;
	}
	order = g_new0(order_t, 1);
	order->duties = duties;
	order->service = g_strdup(service);
	order->zone = g_strdup(zone);
	order->reclaimable = reclaimable;
	g_hash_table_insert(duties->orders, key, order);
	return order;
}

/*
 * Returns the plan of a service, which has its own load and shortages; creates one that
 * is missing from the load in the lease's note.
 */
static scale_plan_t *get_plan(gateway_duties_t *duties, const char *service)
{
	scale_plan_t *plan = g_hash_table_lookup(duties->plans, service);

	if (!plan) {
		plan = scale_plan_create();
		scale_plan_restore(plan, duties_note_need(duties_lease_note(duties),
							  service));
		g_hash_table_insert(duties->plans, g_strdup(service), plan);
	}
	return plan;
}

/* Records whether the platform accepted an order (200) or has no capacity (409). */
static void on_order_reply(void *ctx, const http1_reply_t *reply)
{
	order_t *order = ctx;
	gateway_duties_t *duties = order->duties;
	pd_time_t now = gateway_now();

	order->in_flight = false;
	order->answered = true;
	order->next_at = now + ORDER_RETRY;
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
		 "order service=%s zone=%s reclaimable=%d wanted=%u status=%d",
		 order->service, order->zone, order->reclaimable,
		 order->requested, reply->status);
	if (reply->status == 200) {
		order->accepted = order->requested;
		order->confirmed = true;
		order->accepted_at = now;
		if (order->reclaimable)
			scale_plan_mark_granted(get_plan(duties, order->service),
						order->zone, order->requested,
						now);
	} else if (reply->status == 409) {
		scale_plan_mark_refused(get_plan(duties, order->service),
					order->zone, now);
		duties->plan_at = now; /* on-demand ones take long enough to start */
	}
}

/* Orders the target from the platform. */
static void order_send(order_t *order)
{
	const scale_basis_t *basis =
		scale_plan_basis(get_plan(order->duties, order->service));
	char *body = wire_scale_format(order->service, order->zone,
				       order->target, order->reclaimable);

	order->in_flight = true;
	order->requested = order->target;
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
		 "ask service=%s zone=%s reclaimable=%d wanted=%u before=%u "
		 "need=%.2f load=%.2f rate=%.0f lost=%.1f shortage=%d",
		 order->service, order->zone, order->reclaimable, order->target,
		 order->accepted, basis->planned_load, basis->load, basis->rate,
		 basis->lost, basis->shortage);
	duties_post(order->duties, wire_scale_path(), body, on_order_reply, order);
	g_free(body);
}

/*
 * Orders TARGET upstreams unless the platform has accepted that already. Orders again if
 * so many should have started by now and have not, as the platform does not replace
 * reclaimed VMs by itself.
 */
static void order_run(order_t *order, const forward_service_t *service,
		      unsigned int target, pd_time_t now)
{
	unsigned int serving =
		scale_plan_count_serving(order->duties->gateway->upstreams,
					 order->service, order->zone,
					 order->reclaimable);
	bool late = serving < target &&
		    now - order->accepted_at > service->boot_time + BOOT_MARGIN;

	order->target = target;
	if (order->in_flight || now < order->next_at ||
	    (order->confirmed && order->accepted == target && !late))
		return;
	order_send(order);
}

/*
 * Orders the reclaimable upstreams of a service. Returns whether the platform has
 * replied to each of these orders of this process.
 */
static bool run_reclaimable_orders(gateway_duties_t *duties,
				   const forward_service_t *service,
				   const scale_zone_t *zones,
				   unsigned int count, pd_time_t now)
{
	bool answered = true;

	for (unsigned int i = 0; i < count; i++) {
		order_t *order =
			get_order(duties, service->name, zones[i].zone, true);

		order_run(order, service, zones[i].reclaimable, now);
		answered &= order->answered;
	}
	return answered;
}

/* Plans the upstreams of one service and orders them. */
static void scale_service(gateway_duties_t *duties,
			  const forward_service_t *service, pd_time_t now)
{
	gateway_t *gateway = duties->gateway;
	const engine_speeds_t *speeds =
		forward_upstreams_speeds(gateway->upstreams);
	scale_zone_t zones[SCALE_ZONES_MAX];
	const scale_demand_t demand = {
		.sent = work_rate_get(gateway->work, service->name),
		.refused = work_rate_refused(gateway->work, service->name),
		.rate = engine_speeds_is_known(speeds, service->name)
				? engine_speeds_rate(speeds, service->name)
				: 0,
		.lost = gateway_limits_lost_upstreams(gateway, service->name, now) +
			forward_upstreams_count_resting(gateway->upstreams,
							service->name, now),
	};
	unsigned int count = scale_plan_make(get_plan(duties, service->name),
					     service, gateway->upstreams,
					     &demand, now, zones);

	/*
	 * The replies tell whether on-demand upstreams must replace reclaimable ones.
	 * Without them, a new leader would release those that the previous one had
	 * ordered and then order them again.
	 */
	if (!run_reclaimable_orders(duties, service, zones, count, now))
		return;
	for (unsigned int i = 0; i < count; i++)
		order_run(get_order(duties, service->name, zones[i].zone, false),
			  service, zones[i].on_demand, now);
}

/* Plans the upstreams of all scaled services every PLAN_PERIOD, and orders them. */
void duties_run_scale(gateway_duties_t *duties, pd_time_t now)
{
	const forward_config_t *config = duties->gateway->config;

	if (!config || !duties->gateway->upstreams_listed || now < duties->plan_at)
		return;
	duties->plan_at = now + PLAN_PERIOD;
	for (guint i = 0; i < config->services->len; i++) {
		const forward_service_t *service =
			g_ptr_array_index(config->services, i);

		if (service->autoscaled)
			scale_service(duties, service, now);
	}
	save_needs(duties, now);
}
