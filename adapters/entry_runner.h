/* Connects the entry's core to its adapters on one event loop. */
#ifndef PISTACHIO_ENTRY_RUNNER_H
#define PISTACHIO_ENTRY_RUNNER_H

#include <uv.h>

#include "adapters/settings.h"
#include "core/error.h"

#include "ports/clock.h"

typedef struct entry_runner entry_runner_t;

entry_runner_t *entry_runner_create(uv_loop_t *loop, const settings_t *settings,
				    pd_error_t *err);
void entry_runner_stop(entry_runner_t *runner);
void entry_runner_handle_vm_notice(entry_runner_t *runner, pd_time_t leaves_in);

#endif
