/* The lease's calls to the store, and the duties of its holder. */
#include "adapters/gateway/duties.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/gateway/checkpoint.h"
#include "adapters/gateway/duties_state.h"
#include "adapters/gateway/fleet_feed.h"
#include "adapters/gateway/peers.h"
#include "adapters/log_glib.h"
#include "core/forward/scale_plan.h"
#include "platform/wire.h"

#define PART "duties"
#define LEASE_NAME "duties"
#define STORE_TIMEOUT_MS 1500
#define CLOUD_TIMEOUT_MS 1500
/* Ticks, and clocks that run unevenly, between a holder and the next. */
#define CALLS_MARGIN (300 * PD_MSEC)

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
	if (answer.status == STORE_CONFLICT)
		log_line(G_LOG_LEVEL_INFO, PART, "lease write conflicted");
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
		if (!gateway_checkpoint_previous_write_at(duties->gateway->checkpoint))
			gateway_checkpoint_request_record(
				duties->gateway->checkpoint);
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
const char *duties_noted_text(const gateway_duties_t *duties)
{
	const lease_record_t *record = lease_record(duties->lease);

	return record ? record->note : NULL;
}

/*
 * Returns what the lease's record notes, borrowed until the record changes. It is
 * asked for at every tick, and read only when it is another one.
 */
const duties_note_t *duties_noted(gateway_duties_t *duties)
{
	const char *text = duties_noted_text(duties);

	if (!duties->note || g_strcmp0(text, duties->note_text)) {
		duties_note_destroy(duties->note);
		g_free(duties->note_text);
		duties->note = duties_note_read(text);
		duties->note_text = g_strdup(text);
	}
	return duties->note;
}

/* Posts under the fence of the lease held; PATH and BODY are borrowed. */
void duties_post(const gateway_duties_t *duties, const char *path,
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
		       !gateway_peers_has_newer_leader(peers, duties->fence);
	return duties->resumes || gateway_peers_may_acquire_lease(peers);
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
	if (gateway_peers_leader_is_silent(duties->gateway->peers, now))
		lease_hurry(duties->lease, now);
	lease_step(duties, now);
	end_resuming(duties);
	follow_lease(duties, now);
	gateway_peers_set_leadership(duties->gateway->peers,
				     lease_is_held(duties->lease, now),
				     lease_fence(duties->lease));
	if (!may_act(duties, now))
		return;
	duties_run_usage(duties, now);
	duties_run_scale(duties, now);
}
