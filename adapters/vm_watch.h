/* Polls the platform's VM list, which is sent only when it has changed. */
#ifndef PISTACHIO_VM_WATCH_H
#define PISTACHIO_VM_WATCH_H

#include <stdbool.h>
#include <uv.h>

#include "adapters/platform_http.h"

typedef struct vm_watch vm_watch_t;

typedef struct vm_watch_config {
	platform_t *platform; /* borrowed */
	uint64_t period_ms;
	/* VMS is borrowed for the call. */
	void (*on_list)(void *ctx, const vm_t *vms, size_t count);
	void *ctx;
} vm_watch_config_t;

vm_watch_t *vm_watch_create(uv_loop_t *loop, const vm_watch_config_t *config);
void vm_watch_set_paused(vm_watch_t *watch, bool paused);

#endif
