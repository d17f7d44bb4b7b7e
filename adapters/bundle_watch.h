/*
 * Follows the bundle in the platform's store: watches the pointer that a rollout
 * updates, reads the body that it names, and delivers each body whose signature
 * is valid.
 */
#ifndef PISTACHIO_BUNDLE_WATCH_H
#define PISTACHIO_BUNDLE_WATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "adapters/platform_http.h"
#include "core/bundle.h"

#define BUNDLE_POINTER "bundle/current"

typedef struct bundle_watch bundle_watch_t;

typedef struct bundle_watch_config {
	platform_t *platform; /* borrowed */
	char *public_key; /* borrowed */
	uint32_t seed; /* of the random delays before a body is read */
	bool defer_start; /* until bundle_watch_start() is called */
	/*
	 * Return the generation in force and the number of entries that may have a
	 * body. NULL if the process has no peers.
	 */
	uint64_t (*get_generation)(void *ctx);
	unsigned int (*get_member_count)(void *ctx);
	/* The handler takes ownership of *BUNDLE if it sets it to NULL. */
	void (*on_bundle)(void *ctx, bundle_t **bundle, GBytes *envelope);
	void *ctx;
} bundle_watch_config_t;

bundle_watch_t *bundle_watch_create(uv_loop_t *loop,
				    const bundle_watch_config_t *config);
void bundle_watch_start(bundle_watch_t *watch);
bool bundle_watch_offer(bundle_watch_t *watch, GBytes *envelope);

#endif
