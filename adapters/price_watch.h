/* Polls the cloud's prices unless paused. */
#ifndef PISTACHIO_PRICE_WATCH_H
#define PISTACHIO_PRICE_WATCH_H

#include <stdbool.h>
#include <uv.h>

#include "adapters/platform_http.h"

typedef struct price_watch price_watch_t;

typedef struct price_watch_config {
	platform_t *platform; /* borrowed */
	/* OFFERS is borrowed for the call. */
	void (*on_prices)(void *ctx, const offer_t *offers, size_t count);
	void *ctx;
} price_watch_config_t;

price_watch_t *price_watch_create(uv_loop_t *loop,
				  const price_watch_config_t *config);
void price_watch_set_paused(price_watch_t *watch, bool paused);
GArray *offers_decode(const char *data, size_t len, pd_error_t *err);

#endif
