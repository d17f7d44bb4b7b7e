/* pistachio-entry: accepts callers' requests and routes them to upstreams. */
#include <signal.h>
#include <stdio.h>
#include <sysexits.h>
#include <uv.h>

#include "adapters/entry_runner.h"
#include "adapters/signing.h"
#include "programs/cli.h"

static void on_signal(uv_signal_t *handle, int signum)
{
	(void)signum;
	entry_runner_stop(handle->data);
}

static void watch_signal(uv_loop_t *loop, uv_signal_t *handle, int signum,
			 entry_runner_t *runner)
{
	uv_signal_init(loop, handle);
	handle->data = runner;
	uv_signal_start(handle, on_signal, signum);
}

int main(int argc, char **argv)
{
	settings_t *settings =
		cli_load_settings(argc, argv,
				  "Take callers' requests and route them.");
	uv_loop_t *loop = uv_default_loop();
	uv_signal_t terminate;
	uv_signal_t interrupt;
	entry_runner_t *runner;
	pd_error_t err;

	signal(SIGPIPE, SIG_IGN);
	if (signing_init(&err) < 0)
		goto error;
	runner = entry_runner_create(loop, settings, &err);
	if (!runner)
		goto error;
	watch_signal(loop, &terminate, SIGTERM, runner);
	watch_signal(loop, &interrupt, SIGINT, runner);
	uv_run(loop, UV_RUN_DEFAULT);
	return EX_OK;
error:
	fprintf(stderr, "pistachio-entry: %s\n", err.context);
	return err.kind == PD_ERROR_SETTINGS ? EX_CONFIG : EX_UNAVAILABLE;
}
