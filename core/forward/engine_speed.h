/*
 * The prefill speed of each service's engines: the prompt tokens that an engine
 * processes per second, learned from requests. engine-speed-notes.md explains the
 * method.
 */
#ifndef PISTACHIO_ENGINE_SPEED_H
#define PISTACHIO_ENGINE_SPEED_H

#include <glib.h>
#include <stdbool.h>

#include "ports/clock.h"

typedef struct engine_speeds engine_speeds_t;

typedef void (*engine_speeds_each_t)(void *ctx, const char *service, double rate);

engine_speeds_t *engine_speeds_create(void);
void engine_speeds_destroy(engine_speeds_t *speeds);
void engine_speeds_record_sample(engine_speeds_t *speeds, const char *service,
				 double tokens, pd_time_t elapsed);
void engine_speeds_record_peer(engine_speeds_t *speeds, const char *service,
			       double rate);
bool engine_speeds_is_known(const engine_speeds_t *speeds, const char *service);
double engine_speeds_rate(const engine_speeds_t *speeds, const char *service);
void engine_speeds_each_own(const engine_speeds_t *speeds,
			    engine_speeds_each_t each, void *ctx);

#endif
