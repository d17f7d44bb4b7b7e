/* Delivers events to the placer's core and performs its actions. */
#include "adapters/placer_runner.h"

#include <string.h>

#include "adapters/bundle_watch.h"
#include "adapters/clock_uv.h"
#include "adapters/http_client.h"
#include "adapters/json.h"
#include "adapters/log_glib.h"
#include "adapters/platform_http.h"
#include "adapters/platform_json.h"
#include "adapters/price_watch.h"
#include "adapters/vm_watch.h"
#include "core/placer.h"

#define LOG_COMPONENT "placer"
#define TICK_MS 200
#define LEASE_KEY "placer/lease"
#define ENGINE_TIMEOUT (2 * PD_SEC)
#define ENGINE_RESPONSE_BYTES_MAX (64 * 1024)

struct placer_runner {
	uv_loop_t *loop;
	placer_t *placer;
	char *public_key;
	platform_t *platform;
	http_client_t *engines;
	vm_watch_t *vms;
	price_watch_t *prices;
	bundle_watch_t *bundles; /* NULL until the placer is first active */
	uv_timer_t tick;
	bool active; /* holds the lease, as of the last event */
	bool handling; /* actions are being performed */
	list_node_t actions;
};

/* A read or write of the lease in flight. */
typedef struct lease_call {
	placer_runner_t *runner;
	store_op_t op;
	bool write;
} lease_call_t;

/* A purchase in flight. */
typedef struct purchase_call {
	placer_runner_t *runner;
	char *tag;
} purchase_call_t;

/* An order to an engine in flight. */
typedef struct engine_call {
	placer_runner_t *runner;
	char *vm_id;
	int status;
	GString *body;
} engine_call_t;

static void runner_perform(placer_runner_t *runner, placer_action_t *action);

static void runner_update_watches(placer_runner_t *runner);

/*
 * Delivers an event to the core and performs the actions that result. Actions
 * may cause events of their own; the outermost call performs the actions of
 * all.
 */
static void runner_handle(placer_runner_t *runner, placer_event_t *event)
{
	list_node_t *node;

	event->now = clock_now();
	placer_handle(runner->placer, event, &runner->actions);
	if (runner->handling)
		return;
	runner->handling = true;
	while ((node = list_pop(&runner->actions))) {
		placer_action_t *action = LIST_ENTRY(node, placer_action_t, node);

		runner_perform(runner, action);
		placer_action_destroy(action);
	}
	runner->handling = false;
	runner_update_watches(runner);
}

/*
 * Reports the outcome of a call for the lease. An invalid record counts as an
 * unavailable store.
 */
static void on_lease_answer(void *ctx, const platform_answer_t *answer)
{
	lease_call_t *call = ctx;
	lease_record_t *record = NULL;
	pd_error_t err;
	placer_event_t event = { .kind = PLACER_LEASE_REPLY,
				 .lease = { .op = call->op,
					    .status = answer->status,
					    .version = answer->version } };

	if (!call->write && answer->status == STORE_OK) {
		record = lease_record_decode(answer->body, answer->len, &err);
		if (!record) {
			log_error(LOG_COMPONENT,
				  "ignored an invalid lease record", &err);
			event.lease.status = STORE_DOWN;
		}
	}
	event.lease.record = record;
	runner_handle(call->runner, &event);
	lease_record_destroy(record);
	g_free(call);
}

/* Reads or conditionally writes the lease. */
static void runner_call_lease(placer_runner_t *runner, const placer_action_t *action)
{
	lease_call_t *call = g_new0(lease_call_t, 1);
	char *body;

	call->runner = runner;
	call->op = action->lease.op;
	call->write = action->kind == PLACER_LEASE_WRITE;
	if (!call->write) {
		platform_read(runner->platform, LEASE_KEY, on_lease_answer, call);
		return;
	}
	body = lease_record_encode(action->lease.record);
	platform_write(runner->platform, LEASE_KEY, action->lease.version, body,
		       strlen(body), on_lease_answer, call);
	g_free(body);
}

/* Logs and reports the outcome of a purchase. */
static void on_purchase_answer(void *ctx, const platform_answer_t *answer)
{
	purchase_call_t *call = ctx;
	placer_event_t event = { .kind = PLACER_PURCHASE_REPLY,
				 .purchase = { call->tag, answer->status } };

	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "purchase %s: %s", call->tag,
		 answer->status == STORE_OK	? "accepted"
		 : answer->status == STORE_DOWN ? "refused"
						: "outcome unknown");
	runner_handle(call->runner, &event);
	g_free(call->tag);
	g_free(call);
}

/* Logs a release that failed. */
static void on_release_answer(void *ctx, const platform_answer_t *answer)
{
	(void)ctx;
	if (answer->status != STORE_OK)
		log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
			 "a release failed or its outcome is unknown");
}

/* Records the status of an engine's response. */
static void engine_on_head(void *ctx, http_call_t *http, int status)
{
	(void)http;
	((engine_call_t *)ctx)->status = status;
}

/* Appends to the body; data beyond ENGINE_RESPONSE_BYTES_MAX is dropped. */
static void engine_on_body(void *ctx, const char *data, size_t len)
{
	GString *body = ((engine_call_t *)ctx)->body;

	if (body->len + len <= ENGINE_RESPONSE_BYTES_MAX)
		g_string_append_len(body, data, (gssize)len);
}

/*
 * Reports the outcome of an order to an engine: STORE_OK with the number of its
 * running requests, or STORE_UNKNOWN without a valid response.
 */
static void engine_on_done(void *ctx, const pd_error_t *err)
{
	engine_call_t *call = ctx;
	pd_error_t ignored;
	json_t *answer = json_parse(call->body->str, call->body->len, &ignored);
	int64_t running = json_integer_or(answer, "running", -1);
	bool valid = !err && call->status == 200 && running >= 0;
	placer_event_t event = {
		.kind = PLACER_ENGINE_REPLY,
		.engine = { .vm_id = call->vm_id,
			    .status = valid ? STORE_OK : STORE_UNKNOWN,
			    .running = valid ? (unsigned int)running : 0 },
	};

	json_decref(answer);
	runner_handle(call->runner, &event);
}

/* Frees an order to an engine. */
static void engine_on_free(void *ctx)
{
	engine_call_t *call = ctx;

	g_string_free(call->body, TRUE);
	g_free(call->vm_id);
	g_free(call);
}

/* Tells an engine which model to serve, and whether to serve or to drain. */
static void runner_send_engine_order(placer_runner_t *runner,
				     const placer_action_t *action)
{
	static const http_call_handlers_t handlers = {
		.on_head = engine_on_head,
		.on_body = engine_on_body,
		.on_done = engine_on_done,
		.on_free = engine_on_free,
	};
	bool draining = action->engine.role == ENGINE_DRAINING;
	json_t *order = json_pack("{s:s, s:s}", "model", action->engine.model,
				  "role", draining ? "draining" : "serving");
	char *body = json_dumps(order, JSON_COMPACT | JSON_SORT_KEYS);
	char *fence = g_strdup_printf("%" G_GUINT64_FORMAT, action->engine.fence);
	const http_header_t header = { "x-fencing-number", fence };
	http_request_t request = { .address = action->engine.address,
				   .port = action->engine.port,
				   .method = "POST",
				   .path = "/order",
				   .headers = &header,
				   .header_count = 1,
				   .body = body,
				   .body_len = strlen(body) };
	engine_call_t *call = g_new0(engine_call_t, 1);

	call->runner = runner;
	call->vm_id = g_strdup(action->engine.vm_id);
	call->body = g_string_new(NULL);
	http_call_start(runner->engines, &request, &handlers, call);
	g_free(fence);
	free(body);
	json_decref(order);
}

/*
 * Returns whether the lease under which WHAT was decided expired at NOT_AFTER,
 * and logs it. A process suspended after its core's decision would otherwise
 * send an order under a lease that another placer holds by now, and two placers
 * would act. Reading the clock right before sending leaves only a suspension
 * during the send itself, which tags and fencing tokens guard against.
 */
static bool has_lease_expired(pd_time_t not_after, const char *what)
{
	if (clock_now() < not_after)
		return false;
	log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
		 "dropped a %s decided under an expired lease", what);
	return true;
}

/* Performs one action of the core. */
static void runner_perform(placer_runner_t *runner, placer_action_t *action)
{
	purchase_call_t *call;

	switch (action->kind) {
	case PLACER_LEASE_READ:
	case PLACER_LEASE_WRITE:
		runner_call_lease(runner, action);
		break;
	case PLACER_BUY:
		if (has_lease_expired(action->buy.not_after, "purchase"))
			break;
		call = g_new0(purchase_call_t, 1);
		call->runner = runner;
		call->tag = g_strdup(action->buy.intent.tag);
		platform_buy(runner->platform, &action->buy.intent,
			     action->buy.fence, on_purchase_answer, call);
		break;
	case PLACER_RELEASE:
		if (has_lease_expired(action->release.not_after, "release"))
			break;
		platform_release(runner->platform, action->release.vm_id,
				 action->release.fence, on_release_answer, runner);
		break;
	case PLACER_ENGINE_ORDER:
		if (!has_lease_expired(action->engine.not_after,
				       "engine order"))
			runner_send_engine_order(runner, action);
		break;
	case PLACER_DECISION:
		log_decision(&action->decision);
		break;
	}
}

/* Delivers the VM list to the core. */
static void on_vm_list(void *ctx, const vm_t *vms, size_t count)
{
	placer_event_t event = { .kind = PLACER_VM_LIST, .vm_list = { vms, count } };

	runner_handle(ctx, &event);
}

/* Delivers the prices to the core. */
static void on_prices(void *ctx, const offer_t *offers, size_t count)
{
	placer_event_t event = { .kind = PLACER_PRICES,
				 .prices = { offers, count } };

	runner_handle(ctx, &event);
}

/*
 * Delivers a verified bundle; the core may take it, which sets BUNDLE to NULL.
 */
static void on_bundle(void *ctx, bundle_t **bundle, GBytes *envelope)
{
	placer_event_t event = { .kind = PLACER_BUNDLE, .bundle = *bundle };

	(void)envelope;
	runner_handle(ctx, &event);
	*bundle = event.bundle;
}

/* Lets the core act on the time that has passed. */
static void on_tick(uv_timer_t *timer)
{
	placer_event_t event = { .kind = PLACER_TICK };

	runner_handle(timer->data, &event);
}

/* Starts a timer that fires at once and then every PERIOD_MS. */
static void runner_start_timer(placer_runner_t *runner, uv_timer_t *timer,
			       uv_timer_cb callback, uint64_t period_ms)
{
	uv_timer_init(runner->loop, timer);
	timer->data = runner;
	uv_timer_start(timer, callback, 0, period_ms);
}

/*
 * Polls the VM list and the prices only while the placer is active, and watches
 * the bundle from its first activity on: at the planned fleet size there are
 * hundreds of standby placers, whose reads would exhaust the platform's request
 * rate.
 */
static void runner_update_watches(placer_runner_t *runner)
{
	bundle_watch_config_t config = { .platform = runner->platform,
					 .public_key = runner->public_key,
					 .on_bundle = on_bundle,
					 .ctx = runner };
	bool active = placer_is_active(runner->placer);

	if (active == runner->active)
		return;
	runner->active = active;
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "%s",
		 active ? "active" : "standby");
	vm_watch_set_paused(runner->vms, !active);
	price_watch_set_paused(runner->prices, !active);
	if (!runner->bundles)
		runner->bundles = bundle_watch_create(runner->loop, &config);
}

/*
 * Starts a placer on the loop. Returns NULL with ERR set if the public key file
 * can't be read; nothing is freed then, as the process exits.
 */
placer_runner_t *placer_runner_create(uv_loop_t *loop,
				      const settings_t *settings, pd_error_t *err)
{
	placer_runner_t *runner = g_new0(placer_runner_t, 1);
	/* Unique to this process: a restarted placer is a different holder. */
	char *id = g_strdup_printf("%s-%" G_GINT64_MODIFIER "x",
				   settings->node_id, g_get_real_time());
	price_watch_config_t prices = { .on_prices = on_prices, .ctx = runner };
	placer_config_t config = {
		.zones = (const char *const *)settings->placer_zones,
		.seed = g_random_int(),
		.rule = MIX_SWEEP,
	};
	vm_watch_config_t vms = {
		.period_ms = (uint64_t)settings->platform_vm_list_period_ms,
		.on_list = on_vm_list,
		.ctx = runner,
	};

	runner->loop = loop;
	list_init(&runner->actions);
	if (!g_file_get_contents(settings->bundle_public_key_file,
				 &runner->public_key, NULL, NULL)) {
		pd_error_set(err, PD_ERROR_SETTINGS, "can't read %s",
			     settings->bundle_public_key_file);
		return NULL;
	}
	config.id = id;
	runner->placer = placer_create(&config);
	runner->platform = platform_create(loop, settings->platform_address,
					   (uint16_t)settings->platform_port);
	runner->engines = http_client_create(loop, ENGINE_TIMEOUT);
	vms.platform = runner->platform;
	runner->vms = vm_watch_create(runner->loop, &vms);
	vm_watch_set_paused(runner->vms, true);
	prices.platform = runner->platform;
	runner->prices = price_watch_create(loop, &prices);
	runner_start_timer(runner, &runner->tick, on_tick, TICK_MS);
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "%s started", id);
	g_free(id);
	return runner;
}
