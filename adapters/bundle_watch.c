/* Watches the bundle's pointer and reads the bodies it names. */
#include "adapters/bundle_watch.h"

#include <string.h>

#include "adapters/bundle_json.h"
#include "adapters/json.h"
#include "adapters/log_glib.h"

#define LOG_COMPONENT "bundle"
#define RETRY_MS 1000
/*
 * After an outage of the store all entries would ask again in the same moment,
 * and the store, just back, would refuse most of them; so each adds up to this.
 */
#define RETRY_SPREAD_MS 1000
/*
 * All entries see the pointer move at once. If each read the body from the
 * store, a rollout would cost it as many bodies as there are entries, and each
 * entry one more than it needs. So each waits a random time that grows with the
 * fleet, and mostly has the body from a peer by then: about 10 ms for each
 * member, that is 60 ms today and 3.2 s at 320, of the 7 s that are allowed.
 */
#define SPREAD_MS_PER_MEMBER 10

struct bundle_watch {
	bundle_watch_config_t config;
	uv_timer_t retry_timer;
	uv_timer_t read_timer;
	GRand *rand;
	bool started;
	uint64_t generation; /* that the pointer names */
	char *object_key; /* its body's key */
	uint64_t read_version; /* of the pointer whose body was read */
	uint64_t pending_version; /* of the pointer whose body is being read */
};

static void watch_start(bundle_watch_t *watch);

static void watch_retry(uv_timer_t *timer)
{
	watch_start(timer->data);
}

static void watch_schedule_retry(bundle_watch_t *watch)
{
	uint64_t wait = RETRY_MS + (uint64_t)g_random_int_range(0, RETRY_SPREAD_MS);

	uv_timer_start(&watch->retry_timer, watch_retry, wait, 0);
}

/*
 * Checks an envelope, from wherever it came, and hands the bundle on. Returns
 * false if it is not one that operators signed.
 */
bool bundle_watch_offer(bundle_watch_t *watch, GBytes *envelope)
{
	pd_error_t err;
	gsize len;
	const char *data = g_bytes_get_data(envelope, &len);
	bundle_t *bundle = envelope_open(data, len, watch->config.public_key, &err);

	if (!bundle) {
		log_error(LOG_COMPONENT, "dropped a body", &err);
		return false;
	}
	watch->config.on_bundle(watch->config.ctx, &bundle, envelope);
	bundle_destroy(bundle);
	return true;
}

static void watch_on_body(void *ctx, const platform_answer_t *answer)
{
	bundle_watch_t *watch = ctx;
	GBytes *envelope;

	if (answer->status != STORE_OK) {
		watch_schedule_retry(watch);
		return;
	}
	/*
	 * A body that came broken is read again. Once the pointer counted as
	 * followed, this entry would wait for the next rollout, and until then
	 * serve a bundle that all others have left behind.
	 */
	envelope = g_bytes_new(answer->body, answer->len);
	if (bundle_watch_offer(watch, envelope)) {
		watch->read_version = watch->pending_version;
		watch_start(watch);
	} else {
		watch_schedule_retry(watch);
	}
	g_bytes_unref(envelope);
}

static uint64_t watch_spread_ms(bundle_watch_t *watch)
{
	unsigned int members = 0;

	if (watch->config.get_member_count)
		members = watch->config.get_member_count(watch->config.ctx);
	if (members < 2)
		return 0;
	return (uint64_t)g_rand_int_range(watch->rand, 0,
					  (gint32)(members * SPREAD_MS_PER_MEMBER));
}

/* Reads the body that the pointer names, unless a peer has brought it. */
static void watch_read_body(uv_timer_t *timer)
{
	bundle_watch_t *watch = timer->data;

	if (watch->config.get_generation &&
	    watch->config.get_generation(watch->config.ctx) >= watch->generation) {
		watch->read_version = watch->pending_version;
		watch_start(watch);
		return;
	}
	platform_read(watch->config.platform, watch->object_key, watch_on_body,
		      watch);
}

static void watch_on_pointer(void *ctx, const platform_answer_t *answer)
{
	bundle_watch_t *watch = ctx;
	const char *object_key;
	int64_t generation;
	pd_error_t err;
	json_t *pointer;

	if (answer->status == STORE_CONFLICT) {
		watch_start(watch);
		return;
	}
	if (answer->status != STORE_OK) {
		watch_schedule_retry(watch);
		return;
	}
	pointer = json_parse(answer->body, answer->len, &err);
	if (!pointer || json_read_string(pointer, "object", &object_key, &err) < 0 ||
	    json_read_integer(pointer, "generation", &generation, &err) < 0) {
		log_error(LOG_COMPONENT, "dropped a pointer", &err);
		json_decref(pointer);
		watch_schedule_retry(watch);
		return;
	}
	watch->pending_version = answer->version;
	watch->generation = (uint64_t)generation;
	g_free(watch->object_key);
	watch->object_key = g_strdup(object_key);
	json_decref(pointer);
	uv_timer_start(&watch->read_timer, watch_read_body,
		       watch_spread_ms(watch), 0);
}

static void watch_start(bundle_watch_t *watch)
{
	platform_watch(watch->config.platform, BUNDLE_POINTER,
		       watch->read_version, watch_on_pointer, watch);
}

/* Starts following the pointer; twice is harmless. */
void bundle_watch_start(bundle_watch_t *watch)
{
	if (watch->started)
		return;
	watch->started = true;
	watch_start(watch);
}

/* Returns a watch that lives as long as the loop. */
bundle_watch_t *bundle_watch_create(uv_loop_t *loop,
				    const bundle_watch_config_t *config)
{
	bundle_watch_t *watch = g_new0(bundle_watch_t, 1);

	watch->config = *config;
	uv_timer_init(loop, &watch->retry_timer);
	watch->retry_timer.data = watch;
	uv_timer_init(loop, &watch->read_timer);
	watch->read_timer.data = watch;
	watch->rand = g_rand_new_with_seed(config->seed);
	if (!config->defer_start)
		bundle_watch_start(watch);
	return watch;
}
