/* The entry's core: hands each event to the part it is for. */
#include "core/entry.h"

#include <string.h>

#include "core/entry_state.h"
#include "core/hash.h"
#include "core/queue.h"

/*
 * After a planned stop began, callers whom the balancer has not yet turned away
 * are still served for this long; refusing them would be an error they see.
 */
#define STOP_GRACE (2 * PD_SEC)
/*
 * With the store down, what is still to be written about claims can't be, and
 * an entry that waited for it would never end: operators would see a
 * replacement that hangs. After this long without a request in flight it ends
 * all the same. Claims that were not given back stay held and answers that were
 * not recorded are missing, so a caller's retry hears "outcome unknown", never
 * "not run"; no call runs twice.
 */
#define STOP_STORE_MAX (30 * PD_SEC)
/*
 * A fresh entry may read a stale bundle from the store. It serves only once a
 * peer has told it of none later, or none has answered for this long; callers
 * would else be served by a bundle that the rest has left behind.
 */
#define PEERS_WAIT (2 * PD_SEC)
/*
 * News of a generation comes from several peers at once, and each pull moves a
 * whole body; this long only one is asked.
 */
#define PULL_TIMEOUT (500 * PD_MSEC)
#define RETENTION_DEFAULT (24 * 3600 * PD_SEC)

/* Returns an entry with no bundle and no upstreams; the caller owns it. */
entry_t *entry_create(const entry_config_t *config)
{
	entry_t *entry = g_new0(entry_t, 1);

	member_info_copy(&entry->self, &config->self);
	entry->upstreams = upstreams_create(config->self.id, config->self.zone,
					    config->subset);
	entry->claims = claims_create(config->self.id, RETENTION_DEFAULT);
	entry->limits = limits_create();
	entry->members = members_create(&config->self, (uint32_t)config->seed);
	retry_budget_init(&entry->retries);
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
	entry->held = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    held_destroy);
	for (int i = 0; i < PRIORITIES; i++)
		list_init(&entry->queues[i]);
	entry->next_id = 1;
	return entry;
}

/* Frees an entry and everything in flight, unsaid; NULL is allowed. */
void entry_destroy(entry_t *entry)
{
	if (!entry)
		return;
	g_hash_table_unref(entry->running);
	g_hash_table_unref(entry->claiming);
	g_hash_table_unref(entry->finding);
	g_hash_table_unref(entry->requests);
	g_hash_table_unref(entry->held);
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

/* Appends a refusal for a caller. */
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
	entry_decide(entry, request_id ? request_id : "-", "admission",
		     refusal_name(refusal), refusal_reason_name(reason), "");
}

/* Appends the log line of one decision; copies its strings. */
void entry_decide(entry_t *entry, const char *request_id, const char *part,
		  const char *choice, const char *reason, const char *passed_over)
{
	action_t *action = action_create(ACTION_DECISION);

	action->decision.request_id = g_strdup(request_id);
	action->decision.component = g_strdup(part);
	action->decision.choice = g_strdup(choice);
	action->decision.reason = g_strdup(reason);
	action->decision.passed_over = g_strdup(passed_over);
	list_append(entry->actions, &action->node);
}

/* Returns the generation of the bundle in force, 0 if there is none. */
uint64_t entry_generation(const entry_t *entry)
{
	return entry->bundle ? entry->bundle->generation : 0;
}

/* Says whether there is a bundle that callers may be served by. */
bool entry_serves(const entry_t *entry)
{
	if (!entry->bundle)
		return false;
	return entry->peers_agree || members_alive(entry->members) == 1 ||
	       entry->now - entry->first_bundle_at >= PEERS_WAIT;
}

/* Says whether the balancer should send callers here. */
bool entry_is_ready(const entry_t *entry)
{
	return entry_serves(entry) && entry->vm_list_seen && !entry->stopping;
}

/* Returns how many requests this entry has taken on and not ended. */
unsigned int entry_in_flight(const entry_t *entry)
{
	return g_hash_table_size(entry->requests);
}

/* Returns how many upstreams may get new work from this entry. */
unsigned int entry_upstreams_usable(const entry_t *entry)
{
	unsigned int usable = 0;

	LIST_FOR_EACH (it, upstreams_list(entry->upstreams))
		usable += upstream_is_usable(LIST_ENTRY(it, upstream_t, node));
	return usable;
}

/* Says whether another entry has stopped, or been dead for long. */
bool entry_member_is_gone(const entry_t *entry, const char *id)
{
	return members_is_gone(entry->members, id, entry->now);
}

/* Returns how many entries are thought alive, this one among them. */
unsigned int entry_members_alive(const entry_t *entry)
{
	return members_alive(entry->members);
}

/* Returns how many tokens upstreams computed again for moved requests. */
uint64_t entry_recomputed_tokens(const entry_t *entry)
{
	return entry->recomputed;
}

/* Notes that a VM leaves and passes it on if that is news here. */
static void entry_vm_leaving(entry_t *entry, const char *vm_id, pd_time_t leaves_in)
{
	pd_time_t leaves_at = entry->now + leaves_in;

	if (!upstreams_leaving(entry->upstreams, vm_id, leaves_at))
		return;
	members_announce_leaving(entry->members, vm_id, leaves_at);
	entry_decide(entry, "-", "drain", vm_id, "told to leave", "");
}

static void entry_vm_list(entry_t *entry, const vm_t *vms, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (vms[i].state == VM_LEAVING)
			entry_vm_leaving(entry, vms[i].id, vms[i].leaves_in);
	}
	upstreams_update(entry->upstreams, vms, count, entry->now);
	entry->room = true;
	/*
	 * The list lags, so the first one may be empty though VMs are live.
	 * An entry that called itself ready on it would refuse what its
	 * fellows could serve. Once it has seen VMs it stays ready without
	 * them: an honest refusal is better than no entry at all.
	 */
	if (count > 0)
		entry->vm_list_seen = true;
}

static void entry_check_peers(entry_t *entry)
{
	if (entry->bundle && entry->peer_heard &&
	    entry->peer_generation <= entry_generation(entry))
		entry->peers_agree = true;
}

/*
 * Puts a bundle in force if it is newer than the one that is. A peer or a stale
 * read may bring an older one; taking it would undo what operators signed off.
 */
static void entry_bundle(entry_t *entry, event_t *event)
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

/* Appends a message of this entry's to a peer; takes MSG over. */
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

/* Asks the sender for its bundle, if that is later than this entry's. */
static void entry_pull(entry_t *entry, const peer_msg_t *msg)
{
	if (msg->generation <= entry_generation(entry) ||
	    (msg->generation <= entry->pull_generation &&
	     entry->now - entry->pull_at < PULL_TIMEOUT))
		return;
	entry->pull_generation = msg->generation;
	entry->pull_at = entry->now;
	entry_send_peer(entry, &msg->from, peer_msg_create(PEER_BUNDLE_PULL));
}

/* Hands a message about requests that change entries to its part. */
static void entry_peer_request(entry_t *entry, const peer_msg_t *msg)
{
	if (msg->kind == PEER_HANDOVER)
		adopt_handover(entry, msg);
	else if (msg->kind == PEER_HANDOVER_ACK && msg->subject)
		handover_acknowledged(entry, msg->subject);
	else if (msg->kind == PEER_FIND)
		adopt_find(entry, msg);
	else if (msg->kind == PEER_FOUND)
		resume_found(entry, msg);
}

static void entry_peer(entry_t *entry, const peer_msg_t *msg)
{
	for (unsigned int i = 0; i < msg->leaving_count; i++)
		entry_vm_leaving(entry, msg->leaving[i].vm_id,
				 msg->leaving[i].leaves_in);
	demand_record_peer(entry->demand, msg, entry->now);
	members_receive(entry->members, msg, entry->now, entry->actions);
	entry->peer_heard = true;
	entry->peer_generation = MAX(entry->peer_generation, msg->generation);
	entry_check_peers(entry);
	entry_peer_request(entry, msg);
	if (msg->kind == PEER_BUNDLE_PULL && entry->envelope) {
		peer_msg_t *reply = peer_msg_create(PEER_BUNDLE);

		reply->body = g_bytes_ref(entry->envelope);
		entry_send_peer(entry, &msg->from, reply);
	} else if (msg->kind != PEER_BUNDLE) {
		entry_pull(entry, msg);
	}
}

static void entry_load(entry_t *entry, const load_report_t *report)
{
	if (report->leaving)
		entry_vm_leaving(entry, report->vm_id, report->leaves_in);
	upstreams_report(entry->upstreams, report, entry->now);
	prefix_cache_news(entry->prefixes, report->vm_id, report->cache,
			  report->cache_count, entry->now);
	entry->room = true;
}

/* Lets this entry's demand ride on the heartbeats that go out. */
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

/* Does what time alone makes due, after every event. */
static void entry_run(entry_t *entry)
{
	list_node_t results;
	list_node_t *node;

	list_init(&results);
	claims_run(entry->claims, entry->now, entry->wall, entry->actions,
		   &results);
	while ((node = list_pop(&results))) {
		claim_result_t *result = LIST_ENTRY(node, claim_result_t, node);

		admission_claimed(entry, result);
		claim_result_destroy(result);
	}
	queue_run(entry);
	members_run(entry->members, entry->now, entry->actions);
	entry_add_demand(entry);
}

static void entry_stop(entry_t *entry)
{
	if (entry->stopping)
		return;
	entry->stopping = true;
	entry->stop_at = entry->now + STOP_GRACE;
}

/* Says whether the claims are written, or have had their time. */
static bool entry_claims_done(entry_t *entry)
{
	if (claims_is_idle(entry->claims))
		return true;
	if (!entry->claims_wait_from)
		entry->claims_wait_from = entry->now;
	if (entry->now - entry->claims_wait_from < STOP_STORE_MAX)
		return false;
	entry_decide(entry, "-", "stop", "end with claims unwritten",
		     "the store is down", "");
	return true;
}

/*
 * Notes that this entry's VM is reclaimed at LEAVES_AT. The caller then hands
 * in EVENT_STOP; what has not ended shortly before that time goes to a peer. An
 * earlier time than noted before counts, a later one does not.
 */
void entry_leave_by(entry_t *entry, pd_time_t leaves_at)
{
	if (!entry->leaves_at || leaves_at < entry->leaves_at)
		entry->leaves_at = leaves_at;
}

static void entry_check_stopped(entry_t *entry)
{
	if (!entry->stopping || entry->stopped || entry->now < entry->stop_at)
		return;
	if (entry_in_flight(entry) > 0) {
		entry->claims_wait_from = 0;
		return;
	}
	if (!entry_claims_done(entry))
		return;
	entry->stopped = true;
	members_leave(entry->members, entry->now, entry->actions);
	list_append(entry->actions, &action_create(ACTION_STOPPED)->node);
}

static void entry_tick(entry_t *entry)
{
	/* Walks all members, so not after each event: tokens are events too. */
	claims_set_entries(entry->claims, members_alive(entry->members));
	dispatch_check(entry);
	handover_run(entry);
	resume_run(entry);
	adopt_run(entry);
	entry->room = true;
	upstreams_probe(entry->upstreams, entry->now, entry->actions);
	entry_check_stopped(entry);
}

/*
 * Takes one event and appends to ACTIONS what follows from it, in the order in
 * which it must be done. The caller owns the actions.
 */
void entry_handle(entry_t *entry, event_t *event, list_node_t *actions)
{
	entry->now = event->now;
	entry->wall = event->wall;
	entry->actions = actions;
	switch (event->kind) {
	case EVENT_TICK:
		entry_tick(entry);
		break;
	case EVENT_STOP:
		entry_stop(entry);
		break;
	case EVENT_REQUEST:
		admission_arrive(entry, &event->request);
		break;
	case EVENT_CALLER_DISCONNECTED:
		admission_caller_gone(entry, event->caller);
		break;
	case EVENT_UPSTREAM:
		attempt_upstream(entry, &event->upstream);
		break;
	case EVENT_LOAD:
		entry_load(entry, &event->load);
		break;
	case EVENT_STORE_REPLY:
		claims_handle_store_reply(entry->claims, &event->store, entry->now);
		break;
	case EVENT_VM_LIST:
		entry_vm_list(entry, event->vm_list.vms, event->vm_list.count);
		break;
	case EVENT_PEER_MSG:
		entry_peer(entry, event->peer);
		break;
	case EVENT_PEER_SEEDS:
		members_seed(entry->members, event->seeds.members,
			     event->seeds.count, entry->now);
		break;
	case EVENT_BUNDLE:
		entry_bundle(entry, event);
		break;
	}
	entry_run(entry);
}
