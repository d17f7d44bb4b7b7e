/* pistachio-placer: buys and releases VMs for the bundle, under a lease. */
#include <signal.h>
#include <stdio.h>
#include <sysexits.h>
#include <uv.h>

#include "adapters/placer_runner.h"
#include "adapters/signing.h"
#include "programs/cli.h"

static void on_signal(uv_signal_t *handle, int signum)
{
	(void)signum;
	uv_stop(handle->loop);
}

static void watch_signal(uv_loop_t *loop, uv_signal_t *handle, int signum)
{
	uv_signal_init(loop, handle);
	uv_signal_start(handle, on_signal, signum);
}

int main(int argc, char **argv)
{
	settings_t *settings =
		cli_load_settings(argc, argv,
				  "Keep the VMs that the bundle asks for.");
	uv_loop_t *loop = uv_default_loop();
	uv_signal_t terminate;
	uv_signal_t interrupt;
	pd_error_t err;

	signal(SIGPIPE, SIG_IGN);
	if (signing_init(&err) < 0)
		goto error;
	if (!placer_runner_create(loop, settings, &err))
		goto error;
	watch_signal(loop, &terminate, SIGTERM);
	watch_signal(loop, &interrupt, SIGINT);
	uv_run(loop, UV_RUN_DEFAULT);
	return EX_OK;
error:
	fprintf(stderr, "pistachio-placer: %s\n", err.context);
	return err.kind == PD_ERROR_SETTINGS ? EX_CONFIG : EX_UNAVAILABLE;
}
