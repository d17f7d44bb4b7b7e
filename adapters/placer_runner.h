/* Connects the placer's core to its adapters on an event loop. */
#ifndef PISTACHIO_PLACER_RUNNER_H
#define PISTACHIO_PLACER_RUNNER_H

#include <uv.h>

#include "adapters/settings.h"
#include "core/error.h"

typedef struct placer_runner placer_runner_t;

placer_runner_t *placer_runner_create(uv_loop_t *loop, const settings_t *settings,
				      pd_error_t *err);

#endif
