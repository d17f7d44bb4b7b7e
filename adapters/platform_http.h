/*
 * HTTP client of the platform: its object API, with versions as entity tags,
 * its VM list and its cloud API.
 */
#ifndef PISTACHIO_PLATFORM_HTTP_H
#define PISTACHIO_PLATFORM_HTTP_H

#include <glib.h>
#include <uv.h>

#include "core/error.h"
#include "ports/clock.h"
#include "ports/placer_event.h"
#include "ports/platform.h"

typedef struct platform platform_t;

/* The outcome of one call; BODY is borrowed for the callback. */
typedef struct platform_answer {
	store_status_t status;
	uint64_t version;
	const char *body;
	size_t len;
} platform_answer_t;

/* Called once for each call. */
typedef void (*platform_done_t)(void *ctx, const platform_answer_t *answer);

#define PLATFORM_ANY_VERSION UINT64_MAX /* writes unconditionally */

platform_t *platform_create(uv_loop_t *loop, const char *address, uint16_t port);
void platform_read(platform_t *platform, const char *key, platform_done_t done,
		   void *ctx);
void platform_watch(platform_t *platform, const char *key, uint64_t after,
		    platform_done_t done, void *ctx);
void platform_list(platform_t *platform, const char *prefix,
		   platform_done_t done, void *ctx);
void platform_write(platform_t *platform, const char *key, uint64_t version,
		    const char *body, size_t len, platform_done_t done, void *ctx);
void platform_delete(platform_t *platform, const char *key,
		     platform_done_t done, void *ctx);
void platform_read_vms(platform_t *platform, uint64_t after,
		       platform_done_t done, void *ctx);
void platform_read_prices(platform_t *platform, platform_done_t done, void *ctx);
void platform_buy(platform_t *platform, const intent_t *intent, uint64_t fence,
		  platform_done_t done, void *ctx);
void platform_release(platform_t *platform, const char *vm_id, uint64_t fence,
		      platform_done_t done, void *ctx);

#endif
