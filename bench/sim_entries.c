/* Feeds events to the entry cores and performs their actions on the fakes. */
#include <string.h>

#include "bench/sim.h"

#define CACHE_EVENT_LOSS 0.05 /* probability that a cache event is lost */
#define VM_LIST_PERIOD (2 * PD_SEC)
#define REQUEST_TIMEOUT (30 * PD_SEC)
#define CACHE_EVENTS_MAX 64

static const char *const account_keys[ACCOUNT_COUNT] = { "k0", "k1", "k2", "k3",
							 "k4" };

static void perform_actions(sim_t *sim, unsigned int entry, list_node_t *actions);

/* Passes an event to an entry and performs the resulting actions. */
static void handle_event(sim_t *sim, unsigned int entry, event_t *event)
{
	list_node_t actions;

	list_init(&actions);
	event->now = sim->now;
	event->wall = sim->now / PD_SEC;
	entry_handle(sim->entries[entry], event, &actions);
	perform_actions(sim, entry, &actions);
}

/* Returns a bundle with one model and all accounts. The caller owns it. */
static bundle_t *make_bundle(const sim_t *sim)
{
	bundle_t *bundle = bundle_create();
	target_t *target = bundle_add_target(bundle, TARGET_MODEL, "m");

	bundle->generation = 1;
	target->timeout = REQUEST_TIMEOUT;
	for (unsigned int i = 0; i < ACCOUNT_COUNT; i++) {
		account_t *account = bundle_add_account(bundle, account_keys[i],
							account_keys[i]);
		double rate = account_rate(sim->site, i) *
			      sim->scenario->limit_factor;

		account->requests_per_second = rate;
		account->burst = rate;
		account->has_priority = true;
		account->priority = i == URGENT_ACCOUNT	 ? PRIORITY_URGENT
				    : i == BATCH_ACCOUNT ? PRIORITY_BATCH
							 : PRIORITY_NORMAL;
		g_ptr_array_add(account->allowed, g_strdup("m"));
	}
	return bundle;
}

/* Returns the member information of an entry. The caller owns it. */
static member_info_t make_self(unsigned int entry, const site_t *site)
{
	member_info_t self = { .address = g_strdup("127.0.0.1"),
			       .peer_port = (uint16_t)(entry + 1),
			       .incarnation = 1 };

	self.id = g_strdup_printf("entry-%u", entry);
	self.zone = g_strdup_printf("zone-%u", entry % site->zones);
	return self;
}

/*
 * Creates the entries and gives them their peers, the bundle and the VM list.
 */
void entries_create(sim_t *sim, uint32_t seed)
{
	GBytes *envelope = g_bytes_new_static("e", 1);
	member_info_t *selves = g_new0(member_info_t, sim->site->entries);

	for (unsigned int i = 0; i < sim->site->entries; i++) {
		entry_config_t config = { .subset = 24, .seed = seed + i };

		selves[i] = make_self(i, sim->site);
		config.self = selves[i];
		sim->entries[i] = entry_create(&config);
	}
	for (unsigned int i = 0; i < sim->site->entries; i++) {
		event_t seeds = { .kind = EVENT_PEER_SEEDS,
				  .seeds = { selves, sim->site->entries } };
		event_t bundle = { .kind = EVENT_BUNDLE,
				   .bundle = { make_bundle(sim), envelope } };

		handle_event(sim, i, &seeds);
		handle_event(sim, i, &bundle);
		bundle_destroy(bundle.bundle.bundle);
	}
	for (unsigned int i = 0; i < sim->site->entries; i++)
		member_info_clear(&selves[i]);
	g_free(selves);
	g_bytes_unref(envelope);
	entries_send_vm_list(sim);
}

/* Frees the entries and the messages in transit. */
void entries_destroy(sim_t *sim)
{
	for (unsigned int i = 0; i < sim->site->entries; i++)
		entry_destroy(sim->entries[i]);
	for (guint i = 0; i < sim->messages->len; i++)
		peer_msg_destroy(
			g_array_index(sim->messages, sim_peer_msg_t, i).msg);
}

/* Sends the current VM list to every entry. */
void entries_send_vm_list(sim_t *sim)
{
	vm_t *vms = g_new0(vm_t, sim->site->engines);
	size_t count = 0;
	event_t event = { .kind = EVENT_VM_LIST };

	for (unsigned int i = 0; i < sim->site->engines; i++) {
		const fake_engine_t *engine = sim_engine(sim, i);

		if (engine->terminated)
			continue;
		vms[count++] = (vm_t){
			.id = engine->id,
			.zone = engine->zone,
			.machine_class = (char *)"any",
			.address = (char *)"127.0.0.1",
			.port = (uint16_t)(i + 1),
			.role = VM_MODEL,
			.state = engine->leaves_at ? VM_LEAVING : VM_LIVE,
			.reclaimable = i % 5 < 3,
			.serves = (char *)"m",
			.slots = ENGINE_SLOTS,
			.leaves_in = MAX(engine->leaves_at - sim->now, 0),
		};
	}
	event.vm_list.vms = vms;
	event.vm_list.count = count;
	for (unsigned int i = 0; i < sim->site->entries; i++)
		handle_event(sim, i, &event);
	g_free(vms);
}

/* Submits a caller's request to an entry. */
void entries_submit(sim_t *sim, unsigned int entry, unsigned int index)
{
	const call_t *call = sim_call(sim, index);
	event_t event = { .kind = EVENT_REQUEST,
			  .request = { .caller = index + 1,
				       .kind = TARGET_MODEL,
				       .key_hash = account_keys[call->account],
				       .target = "m",
				       .body = call->body,
				       .max_tokens = call->tokens,
				       .stream = true } };

	handle_event(sim, entry, &event);
}

/* Reports an upstream event of a job to the entry that sent it. */
void entries_report_upstream(sim_t *sim, const job_t *job, upstream_event_kind_t kind)
{
	event_t event = { .kind = EVENT_UPSTREAM,
			  .upstream = { .kind = kind,
					.attempt = job->attempt,
					.offset = job->offset,
					.data = "tokn",
					.len = 4,
					.written = true } };

	handle_event(sim, job->entry, &event);
}

/*
 * Collects at most CACHE_EVENTS_MAX cache events that are due and not sent yet,
 * of which some are lost. Returns their number, and sets *GAP if any was lost.
 */
static size_t take_cache_events(sim_t *sim, unsigned int entry, unsigned int index,
				cache_event_t *events, bool *gap)
{
	const GArray *cache_events = sim_engine(sim, index)->cache_events;
	size_t *sent = &sim->cache_events_sent[entry][index];
	size_t count = 0;

	while (*sent < cache_events->len && count < CACHE_EVENTS_MAX) {
		const timed_cache_event_t *timed =
			&g_array_index(cache_events, timed_cache_event_t, *sent);

		if (timed->at + sim->scenario->report_lag > sim->now)
			break;
		(*sent)++;
		if (g_rand_double(sim->rand) < CACHE_EVENT_LOSS)
			*gap = true;
		else
			events[count++] = timed->event;
	}
	return count;
}

/* Fills in the load of an engine as it was REPORT_LAG ago. */
static void fill_load(const sim_t *sim, const fake_engine_t *engine,
		      load_report_t *load)
{
	unsigned int lag =
		(unsigned int)(sim->scenario->report_lag / SNAPSHOT_PERIOD);
	unsigned int at;

	if (engine->snapshots <= lag)
		return;
	at = (engine->snapshots - 1 - lag) % SNAPSHOT_COUNT;
	load->running = engine->load[at];
	load->waiting = engine->queue[at];
}

/*
 * Reports to the sender of a job the load that the engine returns when its
 * response starts.
 */
void entries_report_load(sim_t *sim, const job_t *job, unsigned int index)
{
	const fake_engine_t *engine = sim_engine(sim, index);
	event_t event = { .kind = EVENT_LOAD,
			  .load = { .vm_id = engine->id, .answered = true } };

	fill_load(sim, engine, &event.load);
	handle_event(sim, job->entry, &event);
}

/*
 * Answers a probe of an engine by an entry: load, reclaim notice and cache
 * events.
 */
static void answer_probe(sim_t *sim, unsigned int entry, const char *vm_id)
{
	unsigned int index = sim_find_engine(sim, vm_id);
	const fake_engine_t *engine = sim_engine(sim, index);
	cache_event_t events[CACHE_EVENTS_MAX];
	event_t event = { .kind = EVENT_LOAD,
			  .load = { .vm_id = vm_id, .cache = events } };
	load_report_t *load = &event.load;

	load->answered = !engine->terminated;
	load->leaving = engine->leaves_at != 0;
	load->leaves_in = MAX(engine->leaves_at - sim->now, 0);
	fill_load(sim, engine, load);
	load->cache_count =
		take_cache_events(sim, entry, index, events, &load->cache_gap);
	handle_event(sim, entry, &event);
}

/* Submits a dispatch to its engine, or reports a failure if the VM is gone. */
static void submit(sim_t *sim, unsigned int entry, const dispatch_t *dispatch)
{
	unsigned int index = sim_find_engine(sim, dispatch->vm_id);
	call_t *call;
	job_t job = { .attempt = dispatch->attempt,
		      .entry = entry,
		      .priority = dispatch->priority,
		      .offset = (unsigned int)dispatch->offset,
		      .end = dispatch->max_tokens };

	job.call = GPOINTER_TO_UINT(
		g_hash_table_lookup(sim->calls_by_body, dispatch->body));
	call = sim_call(sim, job.call);
	job.prompt = call->prompt + job.offset;
	job.prefix = call->prefix;
	job.is_retry = call->attempts++ > 0;
	if (sim_engine(sim, index)->terminated)
		entries_report_upstream(sim, &job, UPSTREAM_FAILED);
	else
		fake_engine_submit(sim_engine(sim, index), &job, sim->now);
}

/* Performs one action of an entry and records what the caller receives. */
static void perform_action(sim_t *sim, unsigned int entry, action_t *action)
{
	call_t *call;
	sim_peer_msg_t message;

	switch (action->kind) {
	case ACTION_DISPATCH:
		submit(sim, entry, &action->dispatch);
		break;
	case ACTION_CANCEL:
		for (unsigned int i = 0; i < sim->site->engines; i++)
			fake_engine_cancel(sim_engine(sim, i), entry,
					   action->attempt);
		break;
	case ACTION_PROBE:
		answer_probe(sim, entry, action->probe.vm_id);
		break;
	case ACTION_TOKEN:
		call = sim_call(sim, (unsigned int)action->reply.caller - 1);
		call->received_tokens++;
		if (!call->first_at)
			call->first_at = sim->now;
		break;
	case ACTION_END:
		call = sim_call(sim, (unsigned int)action->reply.caller - 1);
		call->done_at = sim->now;
		break;
	case ACTION_REFUSE:
		call = sim_call(sim, (unsigned int)action->refuse.caller - 1);
		call->refused = true;
		call->refused_at = sim->now;
		call->retry_after = action->refuse.retry_after;
		break;
	case ACTION_PEER_SEND:
		message.to = action->peer.port - 1u;
		message.msg = g_steal_pointer(&action->peer.msg);
		g_array_append_val(sim->messages, message);
		break;
	default:
		break;
	}
}

/* Performs and frees all actions of an entry. */
static void perform_actions(sim_t *sim, unsigned int entry, list_node_t *actions)
{
	list_node_t *node;

	while ((node = list_pop(actions))) {
		action_t *action = LIST_ENTRY(node, action_t, node);

		perform_action(sim, entry, action);
		action_destroy(action);
	}
}

/*
 * Delivers the messages in transit. Those sent in response wait for the next
 * tick.
 */
static void deliver_messages(sim_t *sim)
{
	GArray *due = sim->messages;

	sim->messages = g_array_new(FALSE, FALSE, sizeof(sim_peer_msg_t));
	for (guint i = 0; i < due->len; i++) {
		sim_peer_msg_t *message = &g_array_index(due, sim_peer_msg_t, i);
		event_t event = { .kind = EVENT_PEER_MSG, .peer = message->msg };

		handle_event(sim, message->to, &event);
		peer_msg_destroy(message->msg);
	}
	g_array_unref(due);
}

/*
 * Ticks every entry, after delivering messages and, every VM_LIST_PERIOD, a
 * changed VM list.
 */
void entries_tick(sim_t *sim)
{
	deliver_messages(sim);
	if (sim->vms_changed && sim->now % VM_LIST_PERIOD == 0) {
		sim->vms_changed = false;
		entries_send_vm_list(sim);
	}
	for (unsigned int i = 0; i < sim->site->entries; i++) {
		event_t event = { .kind = EVENT_TICK };

		handle_event(sim, i, &event);
	}
}
