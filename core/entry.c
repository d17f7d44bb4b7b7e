/* The entry's core: passes each event to the module that handles it. */
#include "core/entry.h"

#include <string.h>

#include "core/entry_state.h"
#include "core/hash.h"
#include "core/queue.h"

/*
 * After a planned stop begins, requests that the load balancer still sends here
 * are served for this long; refusing them would be an error that callers see.
 */
#define STOP_GRACE (2 * PD_SEC)
/*
 * While the store is down, pending claim writes can't complete, and an entry
 * that waited for them would never exit: operators would see a replacement that
 * hangs. After this long without a request in flight the entry exits anyway.
 * Claims that were not released then stay held and answers that were not
 * recorded are missing, so a caller's retry gets "outcome unknown", never "not
 * run"; no call runs twice.
 */
#define STOP_CLAIMS_TIMEOUT (30 * PD_SEC)
/*
 * A new entry may read a stale bundle from the store, and callers would be
 * served by a configuration that the other entries have replaced. So it serves
 * only once a peer has reported no later generation, or no peer has answered
 * for this long.
 */
#define PEER_BUNDLE_WAIT (2 * PD_SEC)
/*
 * Several peers announce a new generation at once, and each pull transfers the
 * whole bundle; so only one peer is asked within this time.
 */
#define PULL_TIMEOUT (500 * PD_MSEC)
#define CLAIM_RETENTION_DEFAULT (24 * 3600 * PD_SEC)

/* Returns an entry with no bundle and no upstreams. The caller owns it. */
entry_t *entry_create(const entry_config_t *config)
{
	entry_t *entry = g_new0(entry_t, 1);

	member_info_copy(&entry->self, &config->self);
	entry->upstreams = upstreams_create(config->self.id, config->self.zone,
					    config->subset);
	entry->claims = claims_create(config->self.id, CLAIM_RETENTION_DEFAULT);
	entry->limits = limits_create();
	entry->members = members_create(&config->self, (uint32_t)config->seed);
	retry_budget_init(&entry->retry_budget);
	move_costs_init(&entry->move_costs);
	entry->prefixes = prefix_cache_create();
	entry->predict = predict_create();
	entry->demand = demand_create();
	entry->rand = g_rand_new_with_seed((uint32_t)config->seed);
	entry->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, request_destroy);
	entry->running = g_hash_table_new(g_int64_hash, g_int64_equal);
	entry->claiming = g_hash_table_new(g_int64_hash, g_int64_equal);
	entry->finding = g_hash_table_new(g_int64_hash, g_int64_equal);
	entry->adopted = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       adopted_answer_destroy);
	for (int i = 0; i < PRIORITIES; i++)
		list_init(&entry->queues[i]);
	entry->next_id = 1;
	return entry;
}

/*
 * Frees an entry and its requests in flight without replying to their callers.
 * NULL is allowed.
 */
void entry_destroy(entry_t *entry)
{
	if (!entry)
		return;
	g_hash_table_unref(entry->running);
	g_hash_table_unref(entry->claiming);
	g_hash_table_unref(entry->finding);
	g_hash_table_unref(entry->requests);
	g_hash_table_unref(entry->adopted);
	members_destroy(entry->members);
	limits_destroy(entry->limits);
	prefix_cache_destroy(entry->prefixes);
	predict_destroy(entry->predict);
	demand_destroy(entry->demand);
	g_rand_free(entry->rand);
	claims_destroy(entry->claims);
	upstreams_destroy(entry->upstreams);
	bundle_destroy(entry->bundle);
	g_clear_pointer(&entry->envelope, g_bytes_unref);
	member_info_clear(&entry->self);
	g_free(entry);
}

/*
 * Appends an action that refuses a caller's request, and logs it. REQUEST_ID
 * may be NULL. RETRY_AFTER is 0 if the caller should not retry.
 */
void entry_refuse(entry_t *entry, caller_id_t caller, const char *request_id,
		  refusal_t refusal, refusal_reason_t reason, pd_time_t retry_after)
{
	action_t *action = action_create(ACTION_REFUSE);

	action->refuse.caller = caller;
	action->refuse.request_id = g_strdup(request_id);
	action->refuse.refusal = refusal;
	action->refuse.reason = reason;
	action->refuse.retry_after = retry_after;
	list_append(entry->actions, &action->node);
	entry_log_decision(entry, request_id ? request_id : "-", "admission",
			   refusal_name(refusal), refusal_reason_name(reason), "");
}

/* Appends an action that logs one decision. Copies the strings. */
void entry_log_decision(entry_t *entry, const char *request_id,
			const char *part, const char *choice,
			const char *reason, const char *passed_over)
{
	action_t *action = action_create(ACTION_DECISION);

	action->decision.request_id = g_strdup(request_id);
	action->decision.component = g_strdup(part);
	action->decision.choice = g_strdup(choice);
	action->decision.reason = g_strdup(reason);
	action->decision.passed_over = g_strdup(passed_over);
	list_append(entry->actions, &action->node);
}

/* Returns the generation of the bundle in force, or 0 if there is none. */
uint64_t entry_generation(const entry_t *entry)
{
	return entry->bundle ? entry->bundle->generation : 0;
}

/*
 * Returns whether callers may be served by the bundle in force: it is confirmed
 * by a peer, there are no peers, or none answered in time.
 */
bool entry_can_serve(const entry_t *entry)
{
	if (!entry->bundle)
		return false;
	return entry->bundle_confirmed || members_alive(entry->members) == 1 ||
	       entry->now - entry->first_bundle_at >= PEER_BUNDLE_WAIT;
}

/* Returns whether the load balancer should send callers here. */
bool entry_is_ready(const entry_t *entry)
{
	return entry_can_serve(entry) && entry->vm_list_seen && !entry->stopping;
}

/* Returns the number of requests that this entry has accepted and not ended. */
unsigned int entry_in_flight(const entry_t *entry)
{
	return g_hash_table_size(entry->requests);
}

/* Returns the number of upstreams that may get new work from this entry. */
unsigned int entry_upstreams_usable(const entry_t *entry)
{
	unsigned int usable = 0;

	LIST_FOR_EACH (it, upstreams_list(entry->upstreams))
		usable += upstream_is_usable(LIST_ENTRY(it, upstream_t, node));
	return usable;
}

/* Returns whether another entry has stopped or has been dead for long. */
bool entry_member_is_gone(const entry_t *entry, const char *id)
{
	return members_is_gone(entry->members, id, entry->now);
}

/*
 * Returns the number of entries that are considered alive, including this one.
 */
unsigned int entry_members_alive(const entry_t *entry)
{
	return members_alive(entry->members);
}

/* Returns how many tokens upstreams recomputed for moved requests. */
uint64_t entry_recomputed_tokens(const entry_t *entry)
{
	return entry->recomputed_tokens;
}

/*
 * Records the notice that a VM is reclaimed in LEAVES_IN, and gossips it if it
 * was not known here.
 */
static void entry_handle_vm_notice(entry_t *entry, const char *vm_id,
				   pd_time_t leaves_in)
{
	pd_time_t leaves_at = entry->now + leaves_in;

	if (!upstreams_record_notice(entry->upstreams, vm_id, leaves_at))
		return;
	members_announce_leaving(entry->members, vm_id, leaves_at);
	entry_log_decision(entry, "-", "drain", vm_id, "told to leave", "");
}

/*
 * Updates the table of upstreams and the notices from the platform's VM list.
 */
static void entry_handle_vm_list(entry_t *entry, const vm_t *vms, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (vms[i].state == VM_LEAVING)
			entry_handle_vm_notice(entry, vms[i].id, vms[i].leaves_in);
	}
	upstreams_update(entry->upstreams, vms, count, entry->now);
	entry->room_may_exist = true;
	/*
	 * The list lags, so the first one may be empty though VMs are live. An
	 * entry that called itself ready on it would refuse what other entries
	 * could serve. Once it has seen VMs it stays ready without them: a
	 * refusal with a reason is better than no entry at all.
	 */
	if (count > 0)
		entry->vm_list_seen = true;
}

/* Confirms the bundle in force if no peer has reported a later generation. */
static void entry_check_peers(entry_t *entry)
{
	if (entry->bundle && entry->peer_msg_received &&
	    entry->peer_generation <= entry_generation(entry))
		entry->bundle_confirmed = true;
}

/*
 * Puts a bundle in force if it is newer than the current one, and then takes it
 * from EVENT. A peer or a stale read may deliver an older one; applying it
 * would undo what operators signed.
 */
static void entry_handle_bundle(entry_t *entry, event_t *event)
{
	bundle_t *bundle = event->bundle.bundle;
	action_t *action;

	if (bundle->generation <= entry_generation(entry))
		return;
	event->bundle.bundle = NULL;
	if (!entry->bundle)
		entry->first_bundle_at = entry->now;
	bundle_destroy(entry->bundle);
	entry->bundle = bundle;
	g_clear_pointer(&entry->envelope, g_bytes_unref);
	entry->envelope = g_bytes_ref(event->bundle.envelope);
	claims_set_retention(entry->claims, bundle->claim_retention);
	members_set_generation(entry->members, bundle->generation);
	entry_check_peers(entry);
	action = action_create(ACTION_BUNDLE_APPLIED);
	action->generation = bundle->generation;
	list_append(entry->actions, &action->node);
}

/*
 * Appends an action that sends MSG to a peer, with this entry's identity and
 * generation. Takes ownership of MSG.
 */
void entry_send_peer(entry_t *entry, const member_info_t *to, peer_msg_t *msg)
{
	action_t *action = action_create(ACTION_PEER_SEND);

	member_info_copy(&msg->from, &entry->self);
	msg->generation = entry_generation(entry);
	action->peer.address = g_strdup(to->address);
	action->peer.port = to->peer_port;
	action->peer.msg = msg;
	list_append(entry->actions, &action->node);
}

/*
 * Requests the sender's bundle if it is later than this entry's and no such
 * request is in flight.
 */
static void entry_pull_bundle(entry_t *entry, const peer_msg_t *msg)
{
	if (msg->generation <= entry_generation(entry) ||
	    (msg->generation <= entry->pull_generation &&
	     entry->now - entry->pulled_at < PULL_TIMEOUT))
		return;
	entry->pull_generation = msg->generation;
	entry->pulled_at = entry->now;
	entry_send_peer(entry, &msg->from, peer_msg_create(PEER_BUNDLE_PULL));
}

/* Handles the messages that transfer requests between entries. */
static void entry_handle_request_msg(entry_t *entry, const peer_msg_t *msg)
{
	if (msg->kind == PEER_HANDOVER)
		adopt_handover(entry, msg);
	else if (msg->kind == PEER_HANDOVER_ACK && msg->subject)
		handover_handle_ack(entry, msg->subject);
	else if (msg->kind == PEER_FIND)
		adopt_handle_find(entry, msg);
	else if (msg->kind == PEER_FOUND)
		resume_handle_found(entry, msg);
}

/*
 * Handles a peer's message: notices, demand, membership, requests and bundles.
 */
static void entry_handle_peer_msg(entry_t *entry, const peer_msg_t *msg)
{
	for (unsigned int i = 0; i < msg->leaving_count; i++)
		entry_handle_vm_notice(entry, msg->leaving[i].vm_id,
				       msg->leaving[i].leaves_in);
	demand_record_peer(entry->demand, msg, entry->now);
	members_receive(entry->members, msg, entry->now, entry->actions);
	entry->peer_msg_received = true;
	entry->peer_generation = MAX(entry->peer_generation, msg->generation);
	entry_check_peers(entry);
	entry_handle_request_msg(entry, msg);
	if (msg->kind == PEER_BUNDLE_PULL && entry->envelope) {
		peer_msg_t *reply = peer_msg_create(PEER_BUNDLE);

		reply->body = g_bytes_ref(entry->envelope);
		entry_send_peer(entry, &msg->from, reply);
	} else if (msg->kind != PEER_BUNDLE) {
		entry_pull_bundle(entry, msg);
	}
}

/* Updates what is known of an upstream from its load report. */
static void entry_handle_load_report(entry_t *entry, const load_report_t *report)
{
	if (report->leaving)
		entry_handle_vm_notice(entry, report->vm_id, report->leaves_in);
	upstreams_record_report(entry->upstreams, report, entry->now);
	prefix_cache_apply_events(entry->prefixes, report->vm_id, report->cache,
				  report->cache_count, entry->now);
	entry->room_may_exist = true;
}

/* Adds this entry's demand to the pings and acks that are about to be sent. */
static void entry_add_demand(entry_t *entry)
{
	LIST_FOR_EACH (it, entry->actions) {
		const action_t *action = LIST_ENTRY(it, action_t, node);
		peer_msg_t *msg;

		if (action->kind != ACTION_PEER_SEND)
			continue;
		msg = action->peer.msg;
		if (msg->demand_count == 0 &&
		    (msg->kind == PEER_PING || msg->kind == PEER_ACK))
			demand_add_to_msg(entry->demand, msg, entry->now);
	}
}

/* Runs what is due at the current time; called after every event. */
static void entry_advance_time(entry_t *entry)
{
	list_node_t results;
	list_node_t *node;

	list_init(&results);
	claims_run(entry->claims, entry->now, entry->wall, entry->actions,
		   &results);
	while ((node = list_pop(&results))) {
		claim_result_t *result = LIST_ENTRY(node, claim_result_t, node);

		admission_handle_claim(entry, result);
		claim_result_destroy(result);
	}
	queue_run(entry);
	members_run(entry->members, entry->now, entry->actions);
	entry_add_demand(entry);
}

/* Begins a planned stop. Repeated calls have no effect. */
static void entry_begin_stop(entry_t *entry)
{
	if (entry->stopping)
		return;
	entry->stopping = true;
	entry->stop_at = entry->now + STOP_GRACE;
}

/* Returns whether all claims are written or STOP_CLAIMS_TIMEOUT has passed. */
static bool entry_claims_done(entry_t *entry)
{
	if (claims_is_idle(entry->claims))
		return true;
	if (!entry->claims_wait_started_at)
		entry->claims_wait_started_at = entry->now;
	if (entry->now - entry->claims_wait_started_at < STOP_CLAIMS_TIMEOUT)
		return false;
	entry_log_decision(entry, "-", "stop", "end with claims unwritten",
			   "the store is down", "");
	return true;
}

/*
 * Sets the time at which this entry's VM is reclaimed. The caller then sends
 * EVENT_STOP; requests that have not ended shortly before that time are handed
 * over to a peer. An earlier time replaces the current one, a later one is
 * ignored.
 */
void entry_set_reclaim_time(entry_t *entry, pd_time_t leaves_at)
{
	if (!entry->leaves_at || leaves_at < entry->leaves_at)
		entry->leaves_at = leaves_at;
}

/*
 * Reports the stop as complete once no request is in flight, the claims are
 * written and the grace period is over.
 */
static void entry_finish_stop(entry_t *entry)
{
	if (!entry->stopping || entry->stopped || entry->now < entry->stop_at)
		return;
	if (entry_in_flight(entry) > 0) {
		entry->claims_wait_started_at = 0;
		return;
	}
	if (!entry_claims_done(entry))
		return;
	entry->stopped = true;
	members_leave(entry->members, entry->now, entry->actions);
	list_append(entry->actions, &action_create(ACTION_STOPPED)->node);
}

/* Runs the periodic work of all modules. */
static void entry_handle_tick(entry_t *entry)
{
	/* Walks all members, so not after each event: tokens are events too. */
	claims_set_entries(entry->claims, members_alive(entry->members));
	dispatch_check_all(entry);
	handover_run(entry);
	resume_run(entry);
	adopt_run(entry);
	entry->room_may_exist = true;
	upstreams_probe(entry->upstreams, entry->now, entry->actions);
	entry_finish_stop(entry);
}

/*
 * Handles one event and appends the resulting actions to ACTIONS, in the order
 * in which they must be performed. The caller owns the actions.
 */
void entry_handle(entry_t *entry, event_t *event, list_node_t *actions)
{
	entry->now = event->now;
	entry->wall = event->wall;
	entry->actions = actions;
	switch (event->kind) {
	case EVENT_TICK:
		entry_handle_tick(entry);
		break;
	case EVENT_STOP:
		entry_begin_stop(entry);
		break;
	case EVENT_REQUEST:
		admission_handle_request(entry, &event->request);
		break;
	case EVENT_CALLER_DISCONNECTED:
		admission_handle_disconnect(entry, event->caller);
		break;
	case EVENT_UPSTREAM:
		attempt_handle_event(entry, &event->upstream);
		break;
	case EVENT_LOAD:
		entry_handle_load_report(entry, &event->load);
		break;
	case EVENT_STORE_REPLY:
		claims_handle_store_reply(entry->claims, &event->store, entry->now);
		break;
	case EVENT_VM_LIST:
		entry_handle_vm_list(entry, event->vm_list.vms,
				     event->vm_list.count);
		break;
	case EVENT_PEER_MSG:
		entry_handle_peer_msg(entry, event->peer);
		break;
	case EVENT_PEER_SEEDS:
		members_seed(entry->members, event->seeds.members,
			     event->seeds.count, entry->now);
		break;
	case EVENT_BUNDLE:
		entry_handle_bundle(entry, event);
		break;
	}
	entry_advance_time(entry);
}
