/*
 * Delivers events to the entry's core and performs the resulting actions.
 * Actions of events that occur meanwhile are queued, so that performing them
 * never nests.
 */
#include "adapters/entry_runner.h"

#include <string.h>

#include "adapters/clock_uv.h"
#include "adapters/entry_runner_parts.h"
#include "adapters/log_glib.h"
#include "adapters/platform_json.h"
#include "adapters/vm_watch.h"
#include "core/hash.h"

#define LOG_COMPONENT "entry"
#define TICK_MS 20
/* How long a stopped entry waits for callers to receive their answers. */
#define FLUSH_TIMEOUT (5 * PD_SEC)

/* A call of the platform's store that is in progress. */
typedef struct store_call {
	entry_runner_t *runner;
	store_op_t op;
	bool write;
} store_call_t;

static void runner_perform(entry_runner_t *runner, action_t *action);

/*
 * Delivers one event to the core and performs the resulting actions. If an
 * adapter reports an event while an action is performed, HANDLING is set, and
 * the actions of that event are appended to the same list.
 */
void runner_handle(entry_runner_t *runner, event_t *event)
{
	list_node_t *node;

	event->now = clock_now();
	event->wall = clock_wall();
	entry_handle(runner->entry, event, &runner->actions);
	if (runner->handling)
		return;
	runner->handling = true;
	while ((node = list_pop(&runner->actions))) {
		action_t *action = LIST_ENTRY(node, action_t, node);

		runner_perform(runner, action);
		action_destroy(action);
	}
	runner->handling = false;
}

/* Decodes the reply of the store, delivers it to the core and frees the call. */
static void on_store_reply(void *ctx, const platform_answer_t *answer)
{
	store_call_t *call = ctx;
	entry_runner_t *runner = call->runner;
	claim_table_t *table = NULL;
	pd_error_t err;
	event_t event = { .kind = EVENT_STORE_REPLY,
			  .store = { .op = call->op,
				     .status = answer->status,
				     .version = answer->version } };

	if (!call->write && answer->status == STORE_OK) {
		table = claim_table_decode(answer->body, answer->len, &err);
		if (!table) {
			log_error("claims", "dropped an object", &err);
			event.store.status = STORE_DOWN;
		}
	}
	event.store.table = table;
	runner_handle(runner, &event);
	claim_table_destroy(table);
	g_free(call);
}

/* Reads or writes the claim table that ACTION names. */
static void perform_store(entry_runner_t *runner, const action_t *action)
{
	store_call_t *call = g_new0(store_call_t, 1);
	char *body;

	call->runner = runner;
	call->op = action->store.op;
	call->write = action->kind == ACTION_STORE_WRITE;
	if (!call->write) {
		platform_read(runner->platform, action->store.key,
			      on_store_reply, call);
		return;
	}
	body = claim_table_encode(action->store.table);
	platform_write(runner->platform, action->store.key, action->store.version,
		       body, strlen(body), on_store_reply, call);
	metrics_add(runner->metrics, "pistachio_claim_writes_total", 1);
	g_free(body);
}

/* Refuses a request and counts the refusal by type. */
static void perform_refuse(entry_runner_t *runner, const action_t *action)
{
	caller_http_refuse(runner->callers, action->refuse.caller,
			   action->refuse.request_id, action->refuse.refusal,
			   action->refuse.reason, action->refuse.retry_after);
	metrics_increment(runner->metrics, "pistachio_refusals_total", "type",
			  refusal_name(action->refuse.refusal));
}

/*
 * Stops the loop when the core has stopped and every answer has been sent. The
 * core has no request in flight then, but the last bytes of an answer may still
 * be buffered in this process. A caller that does not read must not keep the
 * process running, so the wait ends after FLUSH_TIMEOUT.
 */
static void runner_finish_stop(entry_runner_t *runner)
{
	bool sent = caller_http_open_exchanges(runner->callers) == 0;

	if (!runner->core_stopped_at)
		return;
	if (!sent && clock_now() - runner->core_stopped_at < FLUSH_TIMEOUT)
		return;
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "stopped, %s",
		 sent ? "every answer sent" : "some answers not fully sent");
	uv_stop(runner->loop);
}

/* Performs one action of the core. */
static void runner_perform(entry_runner_t *runner, action_t *action)
{
	switch (action->kind) {
	case ACTION_DISPATCH:
		metrics_add(runner->metrics, "pistachio_dispatches_total", 1);
		if (action->dispatch.offset)
			metrics_add(runner->metrics,
				    "pistachio_resumed_tokens_total",
				    (double)action->dispatch.offset);
		upstream_http_dispatch(runner->upstreams, &action->dispatch);
		break;
	case ACTION_CANCEL:
		upstream_http_cancel(runner->upstreams, action->attempt);
		break;
	case ACTION_PROBE:
		upstream_http_probe(runner->upstreams, action->probe.vm_id,
				    action->probe.address, action->probe.port);
		break;
	case ACTION_TOKEN:
		metrics_add(runner->metrics, "pistachio_tokens_total", 1);
		caller_http_send_token(runner->callers, action->reply.caller,
				       action->reply.request_id,
				       action->reply.offset, action->reply.data,
				       action->reply.len);
		break;
	case ACTION_ANSWER:
		caller_http_answer(runner->callers, action->reply.caller,
				   action->reply.request_id,
				   action->reply.status, action->reply.data,
				   action->reply.len, action->reply.replayed);
		break;
	case ACTION_END:
		caller_http_end(runner->callers, action->reply.caller,
				action->reply.request_id);
		break;
	case ACTION_MOVED:
		caller_http_send_moved(runner->callers, action->reply.caller,
				       action->reply.request_id,
				       action->reply.offset);
		break;
	case ACTION_REFUSE:
		perform_refuse(runner, action);
		break;
	case ACTION_STORE_READ:
	case ACTION_STORE_WRITE:
		perform_store(runner, action);
		break;
	case ACTION_PEER_SEND:
		peer_link_send(runner->peers, action->peer.address,
			       action->peer.port, action->peer.msg);
		break;
	case ACTION_DECISION:
		log_decision(&action->decision);
		explain_record(runner->explain, &action->decision);
		break;
	case ACTION_BUNDLE_APPLIED:
		log_line(G_LOG_LEVEL_INFO, "bundle",
			 "generation %" G_GUINT64_FORMAT " is in force",
			 action->generation);
		break;
	case ACTION_STOPPED:
		runner->core_stopped_at = clock_now();
		break;
	}
}

/* Delivers a caller's request to the core. */
static void on_caller_request(void *ctx, const caller_request_t *request)
{
	event_t event = { .kind = EVENT_REQUEST, .request = *request };
	entry_runner_t *runner = ctx;

	metrics_add(runner->metrics, "pistachio_requests_total", 1);
	runner_handle(runner, &event);
}

/* Reports a disconnected caller to the core. */
static void on_caller_disconnect(void *ctx, caller_id_t caller)
{
	event_t event = { .kind = EVENT_CALLER_DISCONNECTED, .caller = caller };

	runner_handle(ctx, &event);
}

/* Delivers an event of an attempt to the core and counts recomputed tokens. */
static void on_upstream_event(void *ctx, const upstream_event_t *upstream)
{
	event_t event = { .kind = EVENT_UPSTREAM, .upstream = *upstream };
	entry_runner_t *runner = ctx;
	uint64_t before = entry_recomputed_tokens(runner->entry);

	runner_handle(runner, &event);
	metrics_add(runner->metrics, "pistachio_recomputed_tokens_total",
		    (double)(entry_recomputed_tokens(runner->entry) - before));
}

/* Delivers an upstream's load report to the core. */
static void on_load(void *ctx, const load_report_t *load)
{
	event_t event = { .kind = EVENT_LOAD, .load = *load };

	runner_handle(ctx, &event);
}

/*
 * Delivers a peer's message to the core, and offers a bundle in it to the bundle
 * watch.
 */
static void on_peer_msg(void *ctx, const peer_msg_t *msg)
{
	entry_runner_t *runner = ctx;
	event_t event = { .kind = EVENT_PEER_MSG, .peer = msg };

	runner_handle(runner, &event);
	if (msg->kind == PEER_BUNDLE && msg->body)
		bundle_watch_offer(runner->bundles, msg->body);
}

/*
 * Delivers a verified bundle to the core, which may take ownership and set it to
 * NULL.
 */
static void on_bundle(void *ctx, bundle_t **bundle, GBytes *envelope)
{
	event_t event = { .kind = EVENT_BUNDLE, .bundle = { *bundle, envelope } };

	runner_handle(ctx, &event);
	*bundle = event.bundle.bundle;
}

/* Returns the generation of the bundle in force, 0 if there is none. */
static uint64_t get_generation(void *ctx)
{
	return entry_generation(((entry_runner_t *)ctx)->entry);
}

/* Returns the number of live entries, this one included. */
static unsigned int get_members_alive(void *ctx)
{
	return entry_members_alive(((entry_runner_t *)ctx)->entry);
}

/*
 * Delivers the VM list to the core, and begins to stop if it shows this VM as
 * leaving.
 */
static void on_vm_list(void *ctx, const vm_t *vms, size_t count)
{
	event_t event = { .kind = EVENT_VM_LIST, .vm_list = { vms, count } };
	entry_runner_t *runner = ctx;

	runner_handle(runner, &event);
	for (size_t i = 0; i < count; i++) {
		if (vms[i].state == VM_LEAVING &&
		    !strcmp(vms[i].id, runner->self.id))
			entry_runner_handle_vm_notice(runner, vms[i].leaves_in);
	}
}

/* Advances the core, and ends the loop if the entry has stopped. */
static void on_tick(uv_timer_t *timer)
{
	event_t event = { .kind = EVENT_TICK };

	runner_handle(timer->data, &event);
	runner_finish_stop(timer->data);
}

/* Starts TIMER, which fires at once and then every PERIOD_MS. */
static void runner_start_timer(entry_runner_t *runner, uv_timer_t *timer,
			       uv_timer_cb callback, uint64_t period_ms)
{
	uv_timer_init(runner->loop, timer);
	timer->data = runner;
	uv_timer_start(timer, callback, 0, period_ms);
}

/*
 * Starts listening for callers and peers. Returns -1 with ERR set if that fails.
 */
static int runner_listen(entry_runner_t *runner, pd_error_t *err)
{
	const settings_t *settings = runner->settings;
	const caller_http_config_t callers = {
		.address = settings->node_address,
		.port = (uint16_t)settings->callers_port,
		.body_max = (size_t)settings->callers_body_max,
		.on_request = on_caller_request,
		.on_disconnect = on_caller_disconnect,
		.on_other_request = entry_pages_reply,
		.ctx = runner,
	};
	const peer_link_config_t peers = {
		.address = settings->node_address,
		.port = (uint16_t)settings->peers_port,
		.keys = runner->peer_keys,
		.on_msg = on_peer_msg,
		.ctx = runner,
	};

	runner->callers = caller_http_create(runner->loop, &callers, err);
	if (!runner->callers)
		return -1;
	runner->peers = peer_link_create(runner->loop, &peers, err);
	return runner->peers ? 0 : -1;
}

/* Creates the core and starts the upstream client, watches and timers. */
static void runner_start(entry_runner_t *runner)
{
	const settings_t *settings = runner->settings;
	const upstream_http_config_t upstreams = {
		.on_event = on_upstream_event,
		.on_load = on_load,
		.ctx = runner,
	};
	const bundle_watch_config_t bundles = {
		.platform = runner->platform,
		.public_key = runner->public_key,
		.seed = (uint32_t)hash_string(runner->self.id),
		.defer_start = true, /* until entry_seeds.c has looked for peers */
		.get_generation = get_generation,
		.get_member_count = get_members_alive,
		.on_bundle = on_bundle,
		.ctx = runner,
	};
	const vm_watch_config_t vms = {
		.platform = runner->platform,
		.period_ms = (uint64_t)settings->platform_vm_list_period_ms,
		.on_list = on_vm_list,
		.ctx = runner,
	};
	const entry_config_t config = {
		.self = runner->self,
		.subset = (unsigned int)settings->routing_subset,
		.seed = hash_string(runner->self.id) ^ runner->self.incarnation,
	};

	runner->entry = entry_create(&config);
	runner->upstreams = upstream_http_create(runner->loop, &upstreams);
	runner->bundles = bundle_watch_create(runner->loop, &bundles);
	runner_start_timer(runner, &runner->tick_timer, on_tick, TICK_MS);
	vm_watch_create(runner->loop, &vms);
	entry_seeds_start(runner);
}

/*
 * Starts an entry on the loop. SETTINGS are borrowed and must outlive it.
 * Returns NULL with ERR set if it can't listen or can't read a key file; nothing
 * is freed then, as the process ends.
 */
entry_runner_t *entry_runner_create(uv_loop_t *loop, const settings_t *settings,
				    pd_error_t *err)
{
	entry_runner_t *runner = g_new0(entry_runner_t, 1);

	runner->loop = loop;
	runner->settings = settings;
	list_init(&runner->actions);
	runner->metrics = metrics_create();
	runner->explain = explain_create();
	if (!g_file_get_contents(settings->bundle_public_key_file,
				 &runner->public_key, NULL, NULL)) {
		pd_error_set(err, PD_ERROR_SETTINGS, "can't read %s",
			     settings->bundle_public_key_file);
		return NULL;
	}
	runner->peer_keys = peer_keys_read(settings->peers_key_file, err);
	if (!runner->peer_keys)
		return NULL;
	runner->platform = platform_create(loop, settings->platform_address,
					   (uint16_t)settings->platform_port);
	if (runner_listen(runner, err) < 0)
		return NULL;
	runner->self = (member_info_t){
		.id = settings->node_id,
		.zone = settings->node_zone,
		.address = settings->node_address,
		.peer_port = peer_link_port(runner->peers),
		.http_port = caller_http_port(runner->callers),
		/* Grows with each restart of the same entry. */
		.incarnation = (uint64_t)g_get_real_time(),
	};
	runner_start(runner);
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
		 "%s in zone %s serves callers on port %u, peers on port %u",
		 runner->self.id, runner->self.zone, runner->self.http_port,
		 runner->self.peer_port);
	return runner;
}

/*
 * Begins a graceful stop: requests in flight are completed, and then the loop is
 * stopped.
 */
void entry_runner_stop(entry_runner_t *runner)
{
	event_t event = { .kind = EVENT_STOP };

	if (runner->stopping)
		return;
	runner->stopping = true;
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "stopping, %u requests in flight",
		 entry_in_flight(runner->entry));
	runner_handle(runner, &event);
	caller_http_drain(runner->callers);
}

/*
 * Handles the notice that this entry's VM will be reclaimed in LEAVES_IN: begins
 * a graceful stop, in which requests that can't complete in time are handed over
 * to a peer. A notice may arrive twice, with the VM list and from the VM itself.
 */
void entry_runner_handle_vm_notice(entry_runner_t *runner, pd_time_t leaves_in)
{
	entry_set_reclaim_time(runner->entry, clock_now() + leaves_in);
	entry_runner_stop(runner);
}
