/* Feeds the placer's core with events and carries out its actions. */
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

#define PART "placer"
#define TICK_MS 200
#define LEASE_KEY "placer/lease"
#define ENGINE_TIMEOUT (2 * PD_SEC)
#define ENGINE_ANSWER_MAX (64 * 1024)

struct placer_runner {
	uv_loop_t *loop;
	placer_t *placer;
	char *public_key;
	platform_t *platform;
	http_client_t *engines;
	vm_watch_t *vms;
	price_watch_t *prices;
	bundle_watch_t *bundles; /* NULL until it first acts */
	uv_timer_t tick;
	bool acting;
	bool handling;
	list_node_t actions;
};

typedef struct lease_ask {
	placer_runner_t *runner;
	store_op_t op;
	bool write;
} lease_ask_t;

typedef struct buy_ask {
	placer_runner_t *runner;
	char *tag;
} buy_ask_t;

typedef struct engine_ask {
	placer_runner_t *runner;
	char *vm_id;
	int status;
	GString *body;
} engine_ask_t;

static void runner_perform(placer_runner_t *runner, placer_action_t *action);

static void runner_follow(placer_runner_t *runner);

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
	runner_follow(runner);
}

static void on_lease_answer(void *ctx, const platform_answer_t *answer)
{
	lease_ask_t *ask = ctx;
	lease_record_t *record = NULL;
	pd_error_t err;
	placer_event_t event = { .kind = PLACER_LEASE_REPLY,
				 .lease = { .op = ask->op,
					    .status = answer->status,
					    .version = answer->version } };

	if (!ask->write && answer->status == STORE_OK) {
		record = lease_record_decode(answer->body, answer->len, &err);
		if (!record) {
			log_error(PART, "dropped the lease", &err);
			event.lease.status = STORE_DOWN;
		}
	}
	event.lease.record = record;
	runner_handle(ask->runner, &event);
	lease_record_destroy(record);
	g_free(ask);
}

static void perform_lease(placer_runner_t *runner, const placer_action_t *action)
{
	lease_ask_t *ask = g_new0(lease_ask_t, 1);
	char *body;

	ask->runner = runner;
	ask->op = action->lease.op;
	ask->write = action->kind == PLACER_LEASE_WRITE;
	if (!ask->write) {
		platform_read(runner->platform, LEASE_KEY, on_lease_answer, ask);
		return;
	}
	body = lease_record_encode(action->lease.record);
	platform_write(runner->platform, LEASE_KEY, action->lease.version, body,
		       strlen(body), on_lease_answer, ask);
	g_free(body);
}

static void on_bought(void *ctx, const platform_answer_t *answer)
{
	buy_ask_t *ask = ctx;
	placer_event_t event = { .kind = PLACER_PURCHASE_REPLY,
				 .purchase = { ask->tag, answer->status } };

	log_line(G_LOG_LEVEL_INFO, PART, "purchase %s: %s", ask->tag,
		 answer->status == STORE_OK	? "taken"
		 : answer->status == STORE_DOWN ? "refused"
						: "no clear answer");
	runner_handle(ask->runner, &event);
	g_free(ask->tag);
	g_free(ask);
}

static void on_released(void *ctx, const platform_answer_t *answer)
{
	(void)ctx;
	if (answer->status != STORE_OK)
		log_line(G_LOG_LEVEL_WARNING, PART,
			 "a release had no clear answer");
}

static void engine_on_head(void *ctx, http_call_t *http, int status)
{
	(void)http;
	((engine_ask_t *)ctx)->status = status;
}

static void engine_on_body(void *ctx, const char *data, size_t len)
{
	GString *body = ((engine_ask_t *)ctx)->body;

	if (body->len + len <= ENGINE_ANSWER_MAX)
		g_string_append_len(body, data, (gssize)len);
}

static void engine_on_done(void *ctx, const pd_error_t *err)
{
	engine_ask_t *ask = ctx;
	pd_error_t ignored;
	json_t *answer = json_parse(ask->body->str, ask->body->len, &ignored);
	int64_t running = json_integer_or(answer, "running", -1);
	bool good = !err && ask->status == 200 && running >= 0;
	placer_event_t event = {
		.kind = PLACER_ENGINE_REPLY,
		.engine = { .vm_id = ask->vm_id,
			    .status = good ? STORE_OK : STORE_UNKNOWN,
			    .running = good ? (unsigned int)running : 0 },
	};

	json_decref(answer);
	runner_handle(ask->runner, &event);
}

static void engine_on_free(void *ctx)
{
	engine_ask_t *ask = ctx;

	g_string_free(ask->body, TRUE);
	g_free(ask->vm_id);
	g_free(ask);
}

static void perform_engine_order(placer_runner_t *runner,
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
	engine_ask_t *ask = g_new0(engine_ask_t, 1);

	ask->runner = runner;
	ask->vm_id = g_strdup(action->engine.vm_id);
	ask->body = g_string_new(NULL);
	http_call_start(runner->engines, &request, &handlers, ask);
	g_free(fence);
	free(body);
	json_decref(order);
}

/*
 * A process that was paused after its core decided would send an order under a
 * lease that is another's by now; two placers would act. The clock is read here,
 * right before the order leaves, which leaves only a pause in the send itself;
 * tags and fencing numbers are for that one.
 */
static bool is_too_late(pd_time_t not_after, const char *what)
{
	if (clock_now() < not_after)
		return false;
	log_line(G_LOG_LEVEL_WARNING, PART,
		 "dropped a %s decided under a lease that lapsed", what);
	return true;
}

static void runner_perform(placer_runner_t *runner, placer_action_t *action)
{
	buy_ask_t *ask;

	switch (action->kind) {
	case PLACER_LEASE_READ:
	case PLACER_LEASE_WRITE:
		perform_lease(runner, action);
		break;
	case PLACER_BUY:
		if (is_too_late(action->buy.not_after, "purchase"))
			break;
		ask = g_new0(buy_ask_t, 1);
		ask->runner = runner;
		ask->tag = g_strdup(action->buy.intent.tag);
		platform_buy(runner->platform, &action->buy.intent,
			     action->buy.fence, on_bought, ask);
		break;
	case PLACER_RELEASE:
		if (is_too_late(action->release.not_after, "release"))
			break;
		platform_release(runner->platform, action->release.vm_id,
				 action->release.fence, on_released, runner);
		break;
	case PLACER_ENGINE_ORDER:
		if (!is_too_late(action->engine.not_after, "engine order"))
			perform_engine_order(runner, action);
		break;
	case PLACER_DECISION:
		log_decision(&action->decision);
		break;
	}
}

static void on_vm_list(void *ctx, const vm_t *vms, size_t count)
{
	placer_event_t event = { .kind = PLACER_VM_LIST, .vm_list = { vms, count } };

	runner_handle(ctx, &event);
}

static void on_prices(void *ctx, const offer_t *offers, size_t count)
{
	placer_event_t event = { .kind = PLACER_PRICES,
				 .prices = { offers, count } };

	runner_handle(ctx, &event);
}

static void on_bundle(void *ctx, bundle_t **bundle, GBytes *envelope)
{
	placer_event_t event = { .kind = PLACER_BUNDLE, .bundle = *bundle };

	(void)envelope;
	runner_handle(ctx, &event);
	*bundle = event.bundle;
}

static void on_tick(uv_timer_t *timer)
{
	placer_event_t event = { .kind = PLACER_TICK };

	runner_handle(timer->data, &event);
}

static void runner_timer(placer_runner_t *runner, uv_timer_t *timer,
			 uv_timer_cb callback, uint64_t period_ms)
{
	uv_timer_init(runner->loop, timer);
	timer->data = runner;
	uv_timer_start(timer, callback, 0, period_ms);
}

/*
 * Reads the VM list and the bundle only while acting: at the planned size
 * hundreds of placers stand by, and their reads would fill the platform's rate.
 */
static void runner_follow(placer_runner_t *runner)
{
	bundle_watch_config_t config = { .platform = runner->platform,
					 .public_key = runner->public_key,
					 .on_bundle = on_bundle,
					 .ctx = runner };
	bool acting = placer_is_active(runner->placer);

	if (acting == runner->acting)
		return;
	runner->acting = acting;
	log_line(G_LOG_LEVEL_INFO, PART, "%s", acting ? "acts" : "stands by");
	vm_watch_pause(runner->vms, !acting);
	price_watch_pause(runner->prices, !acting);
	if (!runner->bundles)
		runner->bundles = bundle_watch_create(runner->loop, &config);
}

/*
 * Starts a placer on the loop. NULL with ERR set if its key file can't be read;
 * the process then ends, so nothing is taken back.
 */
placer_runner_t *placer_runner_create(uv_loop_t *loop,
				      const settings_t *settings, pd_error_t *err)
{
	placer_runner_t *runner = g_new0(placer_runner_t, 1);
	/* Unique to this process: a restarted placer is another holder. */
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
	vm_watch_pause(runner->vms, true);
	prices.platform = runner->platform;
	runner->prices = price_watch_create(loop, &prices);
	runner_timer(runner, &runner->tick, on_tick, TICK_MS);
	log_line(G_LOG_LEVEL_INFO, PART, "%s started", id);
	g_free(id);
	return runner;
}
