/* Acquires and renews the leader's lease, and runs the duties while it is held. */
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

#define LOG_COMPONENT "duties"
#define LEASE_NAME "duties"
#define STORE_TIMEOUT_MS 1500
#define CLOUD_TIMEOUT_MS 1500
/* For timer resolution and clock drift between a leader and the next. */
#define TAKEOVER_MARGIN (300 * PD_MSEC)

/*
 * A leader that dies must be replaced before a window's report is overdue, 10 s after
 * the window's end: it takes about 4 s until another gateway reads the lease, and
 * 3.5 s until that one may take it over.
 */
static const lease_timing_t timing = {
	.term = 2500 * PD_MSEC,
	.renew_period = 1000 * PD_MSEC,
	.takeover_timeout = 3500 * PD_MSEC,
	.standby_period = 4000 * PD_MSEC,
};

/*
 * Returns a lease that is not held, owned by the caller. Its holder is named by the VM's
 * address too, as another VM may have the id of one that is gone.
 */
static lease_t *create_lease(gateway_t *gateway)
{
	char *vm = g_strdup_printf("%s@%s#", gateway->settings->node_id,
				   gateway_peers_address(gateway->peers));
	char *holder = g_strdup_printf("%s%08x", vm, g_rand_int(gateway->random));
	lease_t *lease =
		lease_create(holder, &timing, g_rand_int(gateway->random));

	lease_set_predecessors(lease, vm);
	g_free(holder);
	g_free(vm);
	return lease;
}

/* Returns duties without a lease; the caller owns them. */
gateway_duties_t *gateway_duties_create(gateway_t *gateway)
{
	gateway_duties_t *duties = g_new0(gateway_duties_t, 1);

	duties->gateway = gateway;
	duties->plans = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      (GDestroyNotify)scale_plan_destroy);
	duties->orders = g_hash_table_new(g_str_hash, g_str_equal);
	duties->lease = create_lease(gateway);
	return duties;
}

/* Returns what a reply says about the call; STORE_UNKNOWN: it may have been done. */
static store_status_t store_status(const http1_reply_t *reply)
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

/* Passes a reply of the store on to the lease. */
static void on_lease_reply(void *ctx, const http1_reply_t *reply)
{
	gateway_duties_t *duties = ctx;
	lease_reply_t answer = { .op = duties->op, .status = store_status(reply) };
	lease_record_t *record = NULL;
	pd_error_t err;

	if (answer.status == STORE_OK) {
		record = wire_lease_parse(reply->body, reply->len,
					  &answer.version, &err);
		if (!record) {
			log_error(LOG_COMPONENT, "lease", &err);
			answer.status = STORE_UNKNOWN;
		}
	}
	if (answer.status == STORE_CONFLICT)
		log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "lease write conflicted");
	if (answer.status == STORE_DOWN || answer.status == STORE_UNKNOWN)
		log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
			 "lease call failed status=%d", reply->status);
	answer.record = record;
	lease_handle_reply(duties->lease, &answer, gateway_now());
	lease_record_destroy(record);
}

/* Makes the call to the store that the lease asks for. */
static void lease_call(gateway_duties_t *duties, const placer_action_t *action)
{
	bool write = action->kind == PLACER_LEASE_WRITE;
	bool create = write && !action->lease.version;
	char *path = wire_object_path(WIRE_LEASES, create ? NULL : LEASE_NAME);
	char *body = write ? wire_lease_format(LEASE_NAME, action->lease.record,
					       action->lease.version)
			   : NULL;
	http1_request_t ask = {
		.method = create  ? "POST"
			  : write ? "PUT"
				  : "GET",
		.path = path,
		.body = body,
		.timeout_ms = STORE_TIMEOUT_MS,
		.on_reply = on_lease_reply,
		.ctx = duties,
	};

	duties->op = action->lease.op;
	http1_client_call(duties->gateway->store, &ask);
	g_free(path);
	g_free(body);
}

/* Advances the lease and makes the calls that it asks for. */
static void run_lease(gateway_duties_t *duties, pd_time_t now)
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
 * Returns how long a new leader waits before it acts: until the calls of the previous
 * one have arrived or timed out. The lease is taken over TAKEOVER after the last
 * renewal, so the previous leader made its last call at least TAKEOVER - TERM ago.
 * Besides, no leader may act, lose the lease and act again within the configured gap:
 * it gets the lease back at the earliest TAKEOVER after another gateway had it.
 */
static pd_time_t takeover_delay(const gateway_duties_t *duties)
{
	pd_time_t gap = duties->gateway->settings->lease_gap_ms * PD_MSEC;
	pd_time_t calls = CLOUD_TIMEOUT_MS * PD_MSEC -
			  (timing.takeover_timeout - timing.term) +
			  TAKEOVER_MARGIN;

	return MAX(calls, gap + TAKEOVER_MARGIN - timing.takeover_timeout);
}

/* Updates the state when the lease was acquired or lost. */
static void update_leadership(gateway_duties_t *duties, pd_time_t now)
{
	bool held = lease_is_synced(duties->lease, now);
	uint64_t fence = lease_fencing_token(duties->lease);

	if (held && fence != duties->fencing_token) {
		duties->fencing_token = fence;
		duties->act_not_before = now + takeover_delay(duties);
		/* Plans made under an earlier lease are out of date. */
		g_hash_table_remove_all(duties->plans);
		log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
			 "holder=self fence=%" PRIu64, fence);
		if (!gateway_checkpoint_previous_write_at(duties->gateway->checkpoint))
			gateway_checkpoint_request_record(
				duties->gateway->checkpoint);
	}
	if (duties->held && !lease_is_held(duties->lease, now)) {
		duties->held = false;
		log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
			 "holder=lost fence=%" PRIu64, duties->fencing_token);
	}
	duties->held |= held;
}

/* Returns whether this gateway is the leader and may make calls as such. */
bool gateway_duties_is_acting(const gateway_duties_t *duties, pd_time_t now)
{
	return lease_is_held(duties->lease, now) && now >= duties->act_not_before &&
	       lease_fencing_token(duties->lease) == duties->fencing_token;
}

/* Returns the text of the note in the lease's record, borrowed; NULL: none. */
const char *duties_lease_note_text(const gateway_duties_t *duties)
{
	const lease_record_t *record = lease_record(duties->lease);

	return record ? record->note : NULL;
}

/*
 * Returns the note in the lease's record, borrowed until the record changes. It is
 * requested at every tick, so it is parsed only when the text has changed.
 */
const duties_note_t *duties_lease_note(gateway_duties_t *duties)
{
	const char *text = duties_lease_note_text(duties);

	if (!duties->lease_note || g_strcmp0(text, duties->lease_note_text)) {
		duties_note_destroy(duties->lease_note);
		g_free(duties->lease_note_text);
		duties->lease_note = duties_note_parse(text);
		duties->lease_note_text = g_strdup(text);
	}
	return duties->lease_note;
}

/*
 * Sends a POST to the cloud API with the fencing token of the lease. PATH and BODY are
 * borrowed for the call; ON_REPLY is called with CTX.
 */
void duties_post(const gateway_duties_t *duties, const char *path,
		 const char *body, http1_on_reply_t on_reply, void *ctx)
{
	GString *headers = g_string_new(NULL);
	http1_request_t ask = {
		.method = "POST",
		.path = path,
		.body = body,
		.timeout_ms = CLOUD_TIMEOUT_MS,
		.on_reply = on_reply,
		.ctx = ctx,
	};

	wire_append_duty_headers(headers, duties->gateway->settings->node_id,
				 duties->fencing_token);
	ask.headers = headers->str;
	http1_client_call(duties->gateway->cloud, &ask);
	g_string_free(headers, TRUE);
}

/*
 * Returns whether this gateway may hold the lease. A stopping leader keeps it until the
 * process ends, even if the store was unreachable for longer than a term: the next
 * leader follows only 3.5 to 8 s after one that gives up, so that a report due in
 * between would be late. A stopping gateway never takes over another's lease.
 */
bool gateway_duties_may_hold(const gateway_duties_t *duties)
{
	gateway_peers_t *peers = duties->gateway->peers;

	if (duties->gateway->stop_requested_at)
		return duties->fencing_token &&
		       lease_fencing_token(duties->lease) <= duties->fencing_token &&
		       !gateway_peers_has_newer_leader(peers,
						       duties->fencing_token);
	return duties->resuming || gateway_peers_may_acquire_lease(peers);
}

/*
 * Records that this VM was the leader before all gateways were restarted. It need not
 * be among the candidates of the highest rank, and until it asks for the lease these
 * wait for the lease to expire.
 */
void gateway_duties_resume(gateway_duties_t *duties)
{
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "resume: led before the start");
	duties->resuming = true;
	lease_check_at_start(duties->lease, gateway_now());
}

/* Stops resuming when another gateway has acquired the lease. */
static void check_resuming(gateway_duties_t *duties)
{
	if (lease_is_others(duties->lease))
		duties->resuming = false;
}

/*
 * Reads the lease as soon as the store is reachable again. With the usual pause after a
 * failed read, of up to 5 s, the last leader would continue that much later, and a
 * report that became due in the outage would be late.
 */
static void check_store(gateway_duties_t *duties, pd_time_t now)
{
	bool serves = fleet_feed_is_store_reachable(duties->gateway->feed);

	if (serves && !duties->store_reachable)
		lease_check_now(duties->lease, now);
	duties->store_reachable = serves;
}

/* Renews or acquires the lease, and performs the duties that are due if it is held. */
void gateway_duties_run(gateway_duties_t *duties, pd_time_t now)
{
	if (!gateway_duties_may_hold(duties))
		return;
	check_store(duties, now);
	if (gateway_peers_leader_is_silent(duties->gateway->peers, now))
		lease_check_now(duties->lease, now);
	run_lease(duties, now);
	check_resuming(duties);
	update_leadership(duties, now);
	gateway_peers_set_leadership(duties->gateway->peers,
				     lease_is_held(duties->lease, now),
				     lease_fencing_token(duties->lease));
	if (!gateway_duties_is_acting(duties, now))
		return;
	duties_run_usage(duties, now);
	duties_run_scale(duties, now);
}
