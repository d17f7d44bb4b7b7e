/* pistachio-gateway: forwards callers' requests to upstreams of the platform. */
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>
#include <unistd.h>
#include <uv.h>

#include "adapters/gateway/gateway.h"
#include "adapters/gateway/reload.h"
#include "adapters/log_buffer.h"
#include "adapters/log_glib.h"
#include "programs/options.h"

/*
 * Buffers of this size are mapped, so that their memory is returned as they are freed.
 * glibc would raise the threshold by itself, and large buffers fragment the heap then.
 */
#define MAPPED_BYTES_MIN (128 * 1024)

static void on_signal(uv_signal_t *handle, int signum)
{
	if (signum == SIGHUP)
		gateway_reload(handle->data);
	else
		gateway_stop(handle->data);
}

static void watch_signal(uv_loop_t *loop, uv_signal_t *handle, int signum,
			 gateway_t *gateway)
{
	uv_signal_init(loop, handle);
	handle->data = gateway;
	uv_signal_start(handle, on_signal, signum);
}

int main(int argc, char **argv)
{
	options_t options = options_read(argc, argv, "Forward callers' requests.");
	uv_loop_t *loop = uv_default_loop();
	gateway_settings_t *settings;
	uv_signal_t terminate;
	uv_signal_t interrupt;
	uv_signal_t hangup;
	gateway_t *gateway;
	pd_error_t err;

	signal(SIGPIPE, SIG_IGN);
	mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES_MIN);
	settings = gateway_settings_read(options.settings, &err);
	if (!settings)
		goto error;
	if (options.check) {
		printf("%s: ok\n", options.settings);
		return EX_OK;
	}
	log_init("info");
	log_buffer_init(STDOUT_FILENO);
	log_set_sink(log_buffer_add);
	gateway = gateway_create(loop, settings, &err);
	if (!gateway)
		goto error;
	gateway->settings_path = options.settings;
	watch_signal(loop, &terminate, SIGTERM, gateway);
	watch_signal(loop, &interrupt, SIGINT, gateway);
	watch_signal(loop, &hangup, SIGHUP, gateway);
	uv_run(loop, UV_RUN_DEFAULT);
	return EX_OK;
error:
	fprintf(stderr, "pistachio-gateway: %s\n", err.context);
	return err.kind == PD_ERROR_SETTINGS ? EX_CONFIG : EX_UNAVAILABLE;
}
