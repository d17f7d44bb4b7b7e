/* The orders for upstreams. */
#include "adapters/gateway/duties_state.h"
#include "adapters/log_glib.h"
#include "core/forward/scale_plan.h"
#include "platform/wire.h"

#define PART "duties"
/* How often the fleet's size is thought over, and an order is tried again. */
#define PLAN_PERIOD (200 * PD_MSEC)
#define ORDER_RETRY (1500 * PD_MSEC)
/* Upstreams list themselves a little after they have started. */
#define BOOT_MARGIN (1500 * PD_MSEC)

/* What was last ordered of one kind of upstream in one zone. */
typedef struct order {
	gateway_duties_t *duties;
	char *service;
	char *zone;
	bool reclaimable;
	unsigned int wanted;
	unsigned int ordered; /* taken by the platform */
	bool confirmed; /* since this process holds the lease */
	bool out; /* a call is on its way */
	bool answered; /* by the platform, to this process */
	unsigned int asked;
	pd_time_t next_at;
	pd_time_t taken_at; /* when the last order was taken */
} order_t;

/* Adds the loads that the fleets are planned for at present. */
void duties_note_needs(gateway_duties_t *duties, duties_note_t *note)
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
 * Has the next renewal write what the fleets are planned for, so that a leader that
 * follows in a shortage keeps the on-demand upstreams.
 */
static void keep_needs(gateway_duties_t *duties, pd_time_t now)
{
	duties_note_t *note;
	char *text;

	if (!lease_is_settled(duties->lease, now))
		return;
	note = duties_note_read(duties_noted_text(duties));
	duties_note_needs(duties, note);
	text = duties_note_write(note);
	lease_update_note(duties->lease, text, now);
	g_free(text);
	duties_note_destroy(note);
}

static order_t *duties_order(gateway_duties_t *duties, const char *service,
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

/* Returns the plan of a service; each has its own load and shortages. */
static scale_plan_t *duties_plan(gateway_duties_t *duties, const char *service)
{
	scale_plan_t *plan = g_hash_table_lookup(duties->plans, service);

	if (!plan) {
		plan = scale_plan_create();
		scale_plan_restore(plan, duties_note_need(duties_noted(duties),
							  service));
		g_hash_table_insert(duties->plans, g_strdup(service), plan);
	}
	return plan;
}

static void order_replied(void *ctx, const http1_reply_t *reply)
{
	order_t *order = ctx;
	gateway_duties_t *duties = order->duties;
	pd_time_t now = gateway_now();

	order->out = false;
	order->answered = true;
	order->next_at = now + ORDER_RETRY;
	log_line(G_LOG_LEVEL_INFO, PART,
		 "order service=%s zone=%s reclaimable=%d wanted=%u status=%d",
		 order->service, order->zone, order->reclaimable, order->asked,
		 reply->status);
	if (reply->status == 200) {
		order->ordered = order->asked;
		order->confirmed = true;
		order->taken_at = now;
		if (order->reclaimable)
			scale_plan_mark_granted(duties_plan(duties, order->service),
						order->zone, order->asked, now);
	} else if (reply->status == 409) {
		scale_plan_mark_refused(duties_plan(duties, order->service),
					order->zone, now);
		duties->plan_at = now; /* lasting ones start late enough */
	}
}

static void order_send(order_t *order)
{
	const scale_basis_t *basis =
		scale_plan_basis(duties_plan(order->duties, order->service));
	char *body = wire_scale_write(order->service, order->zone,
				      order->wanted, order->reclaimable);

	order->out = true;
	order->asked = order->wanted;
	log_line(G_LOG_LEVEL_INFO, PART,
		 "ask service=%s zone=%s reclaimable=%d wanted=%u before=%u "
		 "need=%.2f load=%.2f rate=%.0f shortage=%d",
		 order->service, order->zone, order->reclaimable, order->wanted,
		 order->ordered, basis->planned_load, basis->load, basis->rate,
		 basis->shortage);
	duties_post(order->duties, wire_scale_path(), body, order_replied, order);
	g_free(body);
}

/*
 * Orders what is wanted if the platform has not taken that yet, or if so many
 * should have started by now and have not: what was reclaimed does not come
 * back by itself.
 */
static void order_run(order_t *order, const forward_service_t *service,
		      unsigned int wanted, pd_time_t now)
{
	unsigned int serving =
		scale_plan_count_serving(order->duties->gateway->upstreams,
					 order->service, order->zone,
					 order->reclaimable);
	bool late = serving < wanted &&
		    now - order->taken_at > service->boot_time + BOOT_MARGIN;

	order->wanted = wanted;
	if (order->out || now < order->next_at ||
	    (order->confirmed && order->ordered == wanted && !late))
		return;
	order_send(order);
}

/*
 * Orders the reclaimable upstreams of a service. Returns whether the platform has
 * answered to all of these orders since this process leads.
 */
static bool order_reclaimable(gateway_duties_t *duties,
			      const forward_service_t *service,
			      const scale_zone_t *zones, unsigned int count,
			      pd_time_t now)
{
	bool answered = true;

	for (unsigned int i = 0; i < count; i++) {
		order_t *order =
			duties_order(duties, service->name, zones[i].zone, true);

		order_run(order, service, zones[i].reclaimable, now);
		answered &= order->answered;
	}
	return answered;
}

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
	};
	unsigned int count = scale_plan_make(duties_plan(duties, service->name),
					     service, gateway->upstreams,
					     &demand, now, zones);

	/*
	 * Whether on-demand upstreams have to take the place of reclaimable ones is
	 * known from the answers. Ordered before, those of the last leader would be
	 * given up and ordered anew.
	 */
	if (!order_reclaimable(duties, service, zones, count, now))
		return;
	for (unsigned int i = 0; i < count; i++)
		order_run(duties_order(duties, service->name, zones[i].zone, false),
			  service, zones[i].on_demand, now);
}

/* Plans the fleets of all services, and orders what they lack. */
void duties_run_scale(gateway_duties_t *duties, pd_time_t now)
{
	const forward_config_t *config = duties->gateway->config;

	if (!config || !duties->gateway->upstreams_known || now < duties->plan_at)
		return;
	duties->plan_at = now + PLAN_PERIOD;
	for (guint i = 0; i < config->services->len; i++) {
		const forward_service_t *service =
			g_ptr_array_index(config->services, i);

		if (service->scaled)
			scale_service(duties, service, now);
	}
	keep_needs(duties, now);
}
