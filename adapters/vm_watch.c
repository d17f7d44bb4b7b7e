/* Polls the VM list with conditional requests. */
#include "adapters/vm_watch.h"

#include "adapters/log_glib.h"
#include "adapters/platform_json.h"

#define LOG_COMPONENT "vm-list"

struct vm_watch {
	vm_watch_config_t config;
	uv_timer_t timer;
	uint64_t version; /* of the last list delivered; 0: none */
	bool request_in_flight;
	bool paused;
};

/*
 * Delivers the list of an answer unless it is unchanged, invalid or unwanted.
 */
static void watch_on_answer(void *ctx, const platform_answer_t *answer)
{
	vm_watch_t *watch = ctx;
	pd_error_t err;
	GArray *vms;

	watch->request_in_flight = false;
	if (answer->status != STORE_OK || watch->paused)
		return;
	vms = vm_list_decode(answer->body, answer->len, &err);
	if (!vms) {
		log_error(LOG_COMPONENT, "ignored an invalid VM list", &err);
		return;
	}
	watch->version = answer->version;
	watch->config.on_list(watch->config.ctx, (const vm_t *)vms->data, vms->len);
	vm_list_free(vms);
}

/*
 * Requests the list, unless a request is in flight: a slow platform must not
 * get requests faster than it answers them.
 */
static void watch_on_timer(uv_timer_t *timer)
{
	vm_watch_t *watch = timer->data;

	if (watch->request_in_flight || watch->paused)
		return;
	watch->request_in_flight = true;
	platform_read_vms(watch->config.platform, watch->version,
			  watch_on_answer, watch);
}

/* Returns a watch that polls at once; it lives as long as the loop. */
vm_watch_t *vm_watch_create(uv_loop_t *loop, const vm_watch_config_t *config)
{
	vm_watch_t *watch = g_new0(vm_watch_t, 1);

	watch->config = *config;
	uv_timer_init(loop, &watch->timer);
	watch->timer.data = watch;
	uv_timer_start(&watch->timer, watch_on_timer, 0, config->period_ms);
	return watch;
}

/*
 * Stops polling, or resumes it; after a pause the next list is delivered even
 * if it is unchanged.
 */
void vm_watch_set_paused(vm_watch_t *watch, bool paused)
{
	watch->paused = paused;
	if (paused)
		watch->version = 0;
}
