/* Watches the pointer to the bundle and reads the bodies that it names. */
#include "adapters/bundle_watch.h"

#include <string.h>

#include "adapters/bundle_json.h"
#include "adapters/json.h"
#include "adapters/log_glib.h"

#define LOG_COMPONENT "bundle"
#define RETRY_MS 1000
/*
 * Random part of the retry delay. Without it, all entries would retry at the
 * same moment after an outage, and the recovering store would refuse most of
 * them.
 */
#define RETRY_SPREAD_MS 1000
/*
 * All entries see an update of the pointer at once. If each read the body from
 * the store, the store would serve as many bodies as there are entries, and each
 * entry would receive one more than it needs. So each waits a random time that
 * grows with the fleet, and by then has usually received the body from a peer:
 * up to 10 ms for each member, which is 60 ms with 6 entries and 3.2 s with 320,
 * of the 7 s that a rollout may take.
 */
#define SPREAD_MS_PER_MEMBER 10

struct bundle_watch {
	bundle_watch_config_t config;
	uv_timer_t retry_timer;
	uv_timer_t read_timer;
	GRand *rand;
	bool started;
	uint64_t generation; /* of the bundle that the pointer names */
	char *object_key; /* key of that bundle's body */
	uint64_t read_version; /* of the pointer that has been followed */
	uint64_t pending_version; /* of the pointer that is being followed */
};

static void watch_start(bundle_watch_t *watch);

/* Watches the pointer again after a failure. */
static void watch_retry(uv_timer_t *timer)
{
	watch_start(timer->data);
}

/* Schedules another attempt after a random delay. */
static void watch_schedule_retry(bundle_watch_t *watch)
{
	uint64_t wait = RETRY_MS + (uint64_t)g_random_int_range(0, RETRY_SPREAD_MS);

	uv_timer_start(&watch->retry_timer, watch_retry, wait, 0);
}

/*
 * Verifies an envelope, whatever its source, and delivers the bundle in it.
 * Returns false if it is not validly signed by the operators.
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

/*
 * Handles the body that was read, and watches the pointer for the next update.
 */
static void watch_on_body(void *ctx, const platform_answer_t *answer)
{
	bundle_watch_t *watch = ctx;
	GBytes *envelope;

	if (answer->status != STORE_OK) {
		watch_schedule_retry(watch);
		return;
	}
	/*
	 * An invalid body is read again. If the pointer were treated as followed,
	 * this entry would serve an outdated bundle until the next rollout.
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

/* Returns the random delay before a body is read, in milliseconds. */
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

/* Reads the body that the pointer names, unless a peer has sent it already. */
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

/* Handles a new value of the pointer, or the end of a watch without one. */
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

/* Waits until the pointer's version is above the one that was followed last. */
static void watch_start(bundle_watch_t *watch)
{
	platform_watch(watch->config.platform, BUNDLE_POINTER,
		       watch->read_version, watch_on_pointer, watch);
}

/* Starts following the pointer; does nothing if it has been started. */
void bundle_watch_start(bundle_watch_t *watch)
{
	if (watch->started)
		return;
	watch->started = true;
	watch_start(watch);
}

/* Returns a watch that lives as long as the loop; CONFIG is copied. */
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
