/* The lease's calls to the store, and the duties of its holder. */
#include "adapters/gateway/duties.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/gateway/duties_note.h"
#include "adapters/gateway/fleet_feed.h"
#include "adapters/gateway/peers.h"
#include "adapters/gateway/checkpoint.h"
#include "adapters/log_glib.h"
#include "core/forward/scale_plan.h"
#include "core/forward/usage_gap.h"
#include "core/lease.h"
#include "platform/wire.h"

#define PART "duties"
#define LEASE_NAME "duties"
#define STORE_TIMEOUT_MS 1500
#define CLOUD_TIMEOUT_MS 1500
/* Ticks, and clocks that run unevenly, between a holder and the next. */
#define CALLS_MARGIN (300 * PD_MSEC)
#define REPORT_RETRY (500 * PD_MSEC)
/* How often the fleet's size is thought over, and an order is tried again. */
#define PLAN_PERIOD (200 * PD_MSEC)
#define ORDER_RETRY (1500 * PD_MSEC)
/* Upstreams list themselves a little after they have started. */
#define BOOT_MARGIN (1500 * PD_MSEC)
/* A report waits so long for the record at most. */
#define COUNTS_WAIT (700 * PD_MSEC)

/*
 * A holder that dies must be followed before a window's report is overdue, ten
 * seconds after its end: about four until another looks, and three and a half
 * of waiting.
 */
static const lease_timing_t timing = {
	.term = 2500 * PD_MSEC,
	.renew = 1000 * PD_MSEC,
	.takeover = 3500 * PD_MSEC,
	.standby = 4000 * PD_MSEC,
};

struct gateway_duties {
	gateway_t *gateway;
	lease_t *lease;
	store_op_t op; /* of the call that is out */
	uint64_t fence; /* last seen as held */
	pd_time_t acts_from; /* a new holder waits until then */
	bool held;
	bool resumes; /* this VM led before all gateways were killed */
	bool store_serves; /* as seen last */
	int64_t reported; /* the last window that the platform took */
	int64_t sent; /* the window of the report that is out */
	bool reporting; /* a report is out */
	pd_time_t report_at;
	pd_time_t counts_asked_at; /* for a report; 0: not yet */
	bool counts_open; /* the next report waits for gateways' counts */
	GHashTable *plans; /* service -> scale_plan_t */
	GHashTable *orders; /* "service zone kind" -> order_t */
	pd_time_t plan_at;
	duties_note_t *note; /* of the lease's record, as read last */
	char *note_text;
};

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

/* Returns the duties of nobody yet; the caller owns them. */
gateway_duties_t *gateway_duties_create(gateway_t *gateway)
{
	gateway_duties_t *duties = g_new0(gateway_duties_t, 1);

	duties->gateway = gateway;
	duties->plans = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      (GDestroyNotify)scale_plan_destroy);
	duties->orders = g_hash_table_new(g_str_hash, g_str_equal);
	duties->lease = lease_create(gateway->settings->node_id, &timing,
				     g_rand_int(gateway->random));
	return duties;
}

static store_status_t status_of(const http1_reply_t *reply)
{
	switch (reply->status) {
	case 200:
	case 201:
		return STORE_OK;
	case 404:
		return STORE_MISSING;
	case 409:
		return STORE_CONFLICT;
	case 429:
	case 503:
		return STORE_DOWN; /* nothing was done */
	default:
		return reply->sent ? STORE_UNKNOWN : STORE_DOWN;
	}
}

static void lease_replied(void *ctx, const http1_reply_t *reply)
{
	gateway_duties_t *duties = ctx;
	lease_reply_t answer = { .op = duties->op, .status = status_of(reply) };
	lease_record_t *record = NULL;
	pd_error_t err;

	if (answer.status == STORE_OK) {
		record = wire_lease_read(reply->body, reply->len,
					 &answer.version, &err);
		if (!record) {
			log_error(PART, "lease", &err);
			answer.status = STORE_UNKNOWN;
		}
	}
	if (answer.status == STORE_DOWN || answer.status == STORE_UNKNOWN)
		log_line(G_LOG_LEVEL_WARNING, PART,
			 "lease call failed status=%d", reply->status);
	answer.record = record;
	lease_reply(duties->lease, &answer, gateway_now());
	lease_record_destroy(record);
}

static void lease_call(gateway_duties_t *duties, const placer_action_t *action)
{
	bool write = action->kind == PLACER_LEASE_WRITE;
	bool create = write && !action->lease.version;
	char *path = wire_object_path(WIRE_LEASES, create ? NULL : LEASE_NAME);
	char *body = write ? wire_lease_write(LEASE_NAME, action->lease.record,
					      action->lease.version)
			   : NULL;
	http1_ask_t ask = {
		.method = create  ? "POST"
			  : write ? "PUT"
				  : "GET",
		.path = path,
		.body = body,
		.timeout_ms = STORE_TIMEOUT_MS,
		.on_reply = lease_replied,
		.ctx = duties,
	};

	duties->op = action->lease.op;
	http1_client_call(duties->gateway->store, &ask);
	g_free(path);
	g_free(body);
}

static void lease_step(gateway_duties_t *duties, pd_time_t now)
{
	list_node_t actions;
	list_node_t *node;

	list_init(&actions);
	lease_run(duties->lease, now, &actions);
	while ((node = list_pop(&actions)) != NULL) {
		placer_action_t *action = LIST_ENTRY(node, placer_action_t, node);

		lease_call(duties, action);
		placer_action_destroy(action);
	}
}

/*
 * How long a new holder waits before it acts: until the calls of the one before
 * have come in or were given up. Whoever takes over does so TAKEOVER after the
 * last renewal, so the one before made its last call TAKEOVER - TERM ago at least.
 * And no holder may act, lose the duties and act again within the configured gap:
 * it gets them back TAKEOVER after another had them, at the earliest.
 */
static pd_time_t wait_before_acts(const gateway_duties_t *duties)
{
	pd_time_t gap = duties->gateway->settings->lease_gap_ms * PD_MSEC;
	pd_time_t calls = CLOUD_TIMEOUT_MS * PD_MSEC -
			  (timing.takeover - timing.term) + CALLS_MARGIN;

	return MAX(calls, gap + CALLS_MARGIN - timing.takeover);
}

/* Notes when the lease is won or lost. */
static void follow_lease(gateway_duties_t *duties, pd_time_t now)
{
	bool held = lease_is_settled(duties->lease, now);
	uint64_t fence = lease_fence(duties->lease);

	if (held && fence != duties->fence) {
		duties->fence = fence;
		duties->acts_from = now + wait_before_acts(duties);
		/* What was planned under an earlier lease is no longer so. */
		g_hash_table_remove_all(duties->plans);
		log_line(G_LOG_LEVEL_INFO, PART, "holder=self fence=%" PRIu64,
			 fence);
		if (!gateway_checkpoint_written_at(duties->gateway->checkpoint))
			gateway_checkpoint_read_record(duties->gateway->checkpoint);
	}
	if (duties->held && !lease_is_held(duties->lease, now)) {
		duties->held = false;
		log_line(G_LOG_LEVEL_WARNING, PART,
			 "holder=lost fence=%" PRIu64, duties->fence);
	}
	duties->held |= held;
}

static bool may_act(const gateway_duties_t *duties, pd_time_t now)
{
	return lease_is_held(duties->lease, now) && now >= duties->acts_from &&
	       lease_fence(duties->lease) == duties->fence;
}

/* Returns the text of what the lease's record notes, borrowed; NULL: none. */
static const char *noted_text(const gateway_duties_t *duties)
{
	const lease_record_t *record = lease_record(duties->lease);

	return record ? record->note : NULL;
}

/*
 * Returns what the lease's record notes, borrowed until the record changes. It is
 * asked for at every tick, and read only when it is another one.
 */
static const duties_note_t *noted(gateway_duties_t *duties)
{
	const char *text = noted_text(duties);

	if (!duties->note || g_strcmp0(text, duties->note_text)) {
		duties_note_destroy(duties->note);
		g_free(duties->note_text);
		duties->note = duties_note_read(text);
		duties->note_text = g_strdup(text);
	}
	return duties->note;
}

/* Adds the loads that the fleets are planned for at present. */
static void note_needs(gateway_duties_t *duties, duties_note_t *note)
{
	GHashTableIter iter;
	gpointer service;
	gpointer plan;

	g_hash_table_iter_init(&iter, duties->plans);
	while (g_hash_table_iter_next(&iter, &service, &plan))
		duties_note_set_need(note, service, scale_plan_basis(plan)->need);
}

/*
 * Has the next renewal write what the fleets are planned for. All gateways may be
 * killed in the middle of a shortage: whoever came next took the few upstreams
 * that it found for the fleet that was meant, and let lasting ones go.
 */
static void keep_needs(gateway_duties_t *duties, pd_time_t now)
{
	duties_note_t *note;
	char *text;

	if (!lease_is_settled(duties->lease, now))
		return;
	note = duties_note_read(noted_text(duties));
	note_needs(duties, note);
	text = duties_note_write(note);
	lease_update_note(duties->lease, text, now);
	g_free(text);
	duties_note_destroy(note);
}

static void report_replied(void *ctx, const http1_reply_t *reply)
{
	gateway_duties_t *duties = ctx;

	duties->reporting = false;
	log_line(G_LOG_LEVEL_INFO, PART, "usage window=%" PRId64 " status=%d",
		 duties->sent, reply->status);
	/* A report that is refused for what it says is not sent again. */
	if (reply->status >= 200 && reply->status < 500 && reply->status != 429)
		duties->reported = duties->sent;
	else
		duties->report_at = gateway_now() + REPORT_RETRY;
}

/* Posts under the fence of the lease held; PATH and BODY are borrowed. */
static void duties_post(const gateway_duties_t *duties, const char *path,
			const char *body, http1_replied_t on_reply, void *ctx)
{
	GString *headers = g_string_new(NULL);
	http1_ask_t ask = {
		.method = "POST",
		.path = path,
		.body = body,
		.timeout_ms = CLOUD_TIMEOUT_MS,
		.on_reply = on_reply,
		.ctx = ctx,
	};

	wire_duty_headers(headers, duties->gateway->settings->node_id,
			  duties->fence);
	ask.headers = headers->str;
	http1_client_call(duties->gateway->cloud, &ask);
	g_string_free(headers, TRUE);
}

static void send_report(gateway_duties_t *duties, const duties_note_t *note)
{
	duties->reporting = true;
	duties->sent = note->window;
	duties_post(duties, wire_usage_path(), note->report, report_replied,
		    duties);
}

static void add_count(void *ctx, const char *account, uint64_t count)
{
	uint64_t *sum = g_hash_table_lookup(ctx, account);

	if (!sum) {
		sum = g_new0(uint64_t, 1);
		g_hash_table_insert(ctx, g_strdup(account), sum);
	}
	*sum += count;
}

typedef struct lost_sum {
	GHashTable *counts;
	uint64_t sum;
} lost_sum_t;

static void add_lost(void *ctx, const usage_entry_t *entry)
{
	lost_sum_t *lost = ctx;

	add_count(lost->counts, entry->account, entry->count);
	lost->sum += entry->count;
}

/* Adds the requests that were in flight in a window when their VMs lost power. */
static void add_all_lost(const gateway_duties_t *duties, int64_t window,
			 GHashTable *counts)
{
	const gateway_t *gateway = duties->gateway;
	lost_sum_t lost = { .counts = counts };

	usage_inflight_each_lost(gateway->inflight, gateway->usage, window,
				 add_lost, &lost);
	if (!lost.sum)
		return;
	log_line(G_LOG_LEVEL_INFO, PART,
		 "usage in_flight window=%" PRId64 " requests=%" PRIu64, window,
		 lost.sum);
	metrics_add(gateway->metrics, "gateway_usage_in_flight_total",
		    (double)lost.sum);
}

/*
 * Writes a window's report into the lease before it is sent: whoever holds the
 * lease next sends the same once more, and never other counts for it.
 */
static void note_report(gateway_duties_t *duties, int64_t window, pd_time_t now)
{
	GHashTable *counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	duties_note_t *note = duties_note_read(noted_text(duties));
	char *report;
	char *text;

	usage_sum(duties->gateway->usage, window, add_count, counts);
	add_all_lost(duties, window, counts);
	report = wire_usage_write(window, counts);
	duties_note_set_report(note, window, report);
	note_needs(duties, note);
	text = duties_note_write(note);
	lease_set_note(duties->lease, text, now);
	duties_note_destroy(note);
	g_free(text);
	g_free(report);
	g_hash_table_unref(counts);
}

/*
 * Has the checkpointed counts read before a report is made: its writers have those
 * of gateways that have died since. Returns whether there is no more to wait for.
 */
static bool has_counts(gateway_duties_t *duties, pd_time_t now)
{
	gateway_checkpoint_t *checkpoint = duties->gateway->checkpoint;

	if (!duties->counts_asked_at) {
		duties->counts_asked_at = now;
		gateway_checkpoint_read_counts(checkpoint);
	}
	return gateway_checkpoint_counts_read_at(checkpoint) >=
		       duties->counts_asked_at ||
	       now - duties->counts_asked_at > COUNTS_WAIT;
}

/*
 * Returns the window to report next. If no report was ever noted, as all gateways
 * were killed before the lease was taken, windows with counts may still be due.
 */
static int64_t next_window(const gateway_duties_t *duties,
			   const duties_note_t *note, int64_t ended)
{
	const gateway_t *gateway = duties->gateway;
	int64_t due = gateway_first_window_due(gateway);

	if (note->report)
		return MAX(note->window + 1, due);
	return usage_first_window(gateway->usage, due, ended);
}

/* Returns the last window that may be reported if its counts are COMPLETE. */
static int64_t last_window(const gateway_t *gateway, bool complete, pd_time_t now)
{
	pd_time_t due = gateway_report_due(gateway);
	pd_time_t wall = time_vote_wall(gateway->vote, now);

	return (wall - usage_report_delay(complete, due)) /
		       gateway_window_length(gateway) -
	       1;
}

/*
 * Logs and counts for how long a window's counts were not checkpointed before all
 * gateways were killed: what was counted then is lost.
 */
static void report_gap(const gateway_duties_t *duties, int64_t window, pd_time_t now)
{
	const gateway_t *gateway = duties->gateway;
	pd_time_t oldest = gateway_peers_oldest_start(gateway->peers, now);
	const usage_gap_t gap = {
		.from = gateway_checkpoint_written_at(gateway->checkpoint),
		.to = time_vote_wall(gateway->vote, oldest),
	};
	pd_time_t missing = usage_gap_in_window(&gap, window,
						gateway_window_length(gateway)) /
			    PD_MSEC;

	if (!missing)
		return;
	log_line(G_LOG_LEVEL_WARNING, PART,
		 "usage gap window=%" PRId64 " ms=%" PRId64 " from_ms=%" PRId64
		 " to_ms=%" PRId64,
		 window, missing, gap.from / PD_MSEC, gap.to / PD_MSEC);
	metrics_add(gateway->metrics, "gateway_usage_gap_ms_total",
		    (double)missing);
}

/* Logs and counts a report that is made though counts may be on their way. */
static void report_open(gateway_duties_t *duties, int64_t window,
			const usage_coverage_t *coverage)
{
	gateway_t *gateway = duties->gateway;

	log_line(G_LOG_LEVEL_WARNING, PART,
		 "usage open window=%" PRId64 " open=%" PRIu64
		 " counted=%" PRIu64,
		 window, coverage->open, coverage->counted);
	metrics_add(gateway->metrics, "gateway_usage_open_total", 1);
	usage_watermarks_give_up(gateway->watermarks, gateway->usage, window);
}

/*
 * Returns whether the report of a window may be made. It waits for gateways that have
 * counted in it and are cut off, and then for what they have told the writers.
 */
static bool may_report(gateway_duties_t *duties, int64_t window, pd_time_t now)
{
	const gateway_t *gateway = duties->gateway;
	usage_coverage_t coverage =
		usage_watermarks_coverage(gateway->watermarks, gateway->usage,
					  window);
	bool complete = usage_coverage_is_complete(&coverage);
	bool waits = !complete && window > last_window(gateway, false, now);

	if (waits != duties->counts_open) {
		duties->counts_open = waits;
		duties->counts_asked_at = 0;
		log_line(G_LOG_LEVEL_INFO, PART,
			 "usage waits=%d window=%" PRId64 " open=%" PRIu64
			 " counted=%" PRIu64,
			 waits, window, coverage.open, coverage.counted);
		return false;
	}
	if (!waits && !complete)
		report_open(duties, window, &coverage);
	return !waits;
}

static void run_usage(gateway_duties_t *duties, pd_time_t now)
{
	int64_t ended = last_window(duties->gateway, true, now);
	int64_t window;
	const duties_note_t *note;

	if (duties->reporting || now < duties->report_at ||
	    !lease_is_settled(duties->lease, now))
		return;
	note = noted(duties);
	if (note->report && duties->reported < note->window) {
		send_report(duties, note);
		return;
	}
	if ((note->report && note->window >= ended) || !has_counts(duties, now))
		return;
	window = next_window(duties, note, ended);
	if (!may_report(duties, window, now))
		return;
	duties->counts_asked_at = 0;
	report_gap(duties, window, now);
	note_report(duties, window, now);
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
		scale_plan_restore(plan, duties_note_need(noted(duties), service));
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
			scale_plan_granted(duties_plan(duties, order->service),
					   order->zone, order->asked, now);
	} else if (reply->status == 409) {
		scale_plan_refused(duties_plan(duties, order->service),
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
		 order->ordered, basis->need, basis->load, basis->rate,
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
	unsigned int serving = scale_plan_serving(order->duties->gateway->upstreams,
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
		.sent = work_rate_of(gateway->work, service->name),
		.away = work_rate_away(gateway->work, service->name),
		.rate = engine_speeds_known(speeds, service->name)
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
			  service, zones[i].lasting, now);
}

static void run_scale(gateway_duties_t *duties, pd_time_t now)
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

/*
 * Says whether this gateway may hold the duties. One that is told to stop goes on
 * with those it has until it ends, also if the store was away for longer than a
 * term: it stopped acting at once before, the next holder came 3.5 to 8 s later,
 * and a report that was due by then came late. It takes over nobody else's.
 */
bool gateway_duties_may_hold(const gateway_duties_t *duties)
{
	gateway_peers_t *peers = duties->gateway->peers;

	if (duties->gateway->stop_at)
		return duties->fence &&
		       lease_fence(duties->lease) <= duties->fence &&
		       !gateway_peers_has_holder_after(peers, duties->fence);
	return duties->resumes || gateway_peers_stand_for_duties(peers);
}

/*
 * Notes that this VM led before a start of all gateways. It need not be among those
 * that stand by, and for as long as it does not ask for the lease, these wait for the
 * lease to lapse.
 */
void gateway_duties_resume(gateway_duties_t *duties)
{
	log_line(G_LOG_LEVEL_INFO, PART, "resume: led before the start");
	duties->resumes = true;
	lease_resume(duties->lease, gateway_now());
}

/* Another one has taken the lease since. */
static void end_resuming(gateway_duties_t *duties)
{
	const lease_record_t *record = lease_record(duties->lease);

	if (record && record->holder &&
	    strcmp(record->holder, duties->gateway->settings->node_id))
		duties->resumes = false;
}

/*
 * Looks at the lease as soon as the store is back. Left to the usual pause after a
 * failed read, which is up to five seconds, the last holder went on that much later
 * than it could, and a report that was due in an outage came late.
 */
static void watch_store(gateway_duties_t *duties, pd_time_t now)
{
	bool serves = fleet_feed_is_back(duties->gateway->feed);

	if (serves && !duties->store_serves)
		lease_hurry(duties->lease, now);
	duties->store_serves = serves;
}

/* Renews or takes the lease, and does what is due if it is held. */
void gateway_duties_run(gateway_duties_t *duties, pd_time_t now)
{
	if (!gateway_duties_may_hold(duties))
		return;
	watch_store(duties, now);
	if (gateway_peers_holder_is_silent(duties->gateway->peers, now))
		lease_hurry(duties->lease, now);
	lease_step(duties, now);
	end_resuming(duties);
	follow_lease(duties, now);
	gateway_peers_hold_duties(duties->gateway->peers,
				  lease_is_held(duties->lease, now),
				  lease_fence(duties->lease));
	if (!may_act(duties, now))
		return;
	run_usage(duties, now);
	run_scale(duties, now);
}
