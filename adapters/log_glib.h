/*
 * Logging with GLib's structured logging, by default to standard error. A line
 * has the time, the level, the component and a message.
 */
#ifndef PISTACHIO_LOG_GLIB_H
#define PISTACHIO_LOG_GLIB_H

#include <glib.h>

#include "core/error.h"
#include "ports/event.h"

void log_init(const char *level);
typedef void (*log_sink_t)(const char *line, size_t len);
void log_set_sink(log_sink_t sink);
void log_line(GLogLevelFlags level, const char *component, const char *format,
	      ...) __attribute__((format(printf, 3, 4)));
void log_error(const char *component, const char *what, const pd_error_t *err);
void log_decision(const decision_t *decision);

#endif
