/* The log writer, and the log lines that all programs share. */
#include "adapters/log_glib.h"

#include <stdio.h>
#include <string.h>

#define DOMAIN "pistachio"

static log_sink_t log_sink; /* NULL: standard error */
static GLogLevelFlags log_threshold = G_LOG_LEVEL_INFO;

/* Returns a field of a log record, or "" if it has none of that name. */
static const char *log_field(const GLogField *fields, gsize count, const char *key)
{
	for (gsize i = 0; i < count; i++) {
		if (!strcmp(fields[i].key, key))
			return fields[i].value;
	}
	return "";
}

/* Returns the name of a level as it is logged. */
static const char *level_name(GLogLevelFlags level)
{
	switch (level & G_LOG_LEVEL_MASK) {
	case G_LOG_LEVEL_ERROR:
	case G_LOG_LEVEL_CRITICAL:
		return "error";
	case G_LOG_LEVEL_WARNING:
		return "warning";
	case G_LOG_LEVEL_DEBUG:
		return "debug";
	default:
		return "info";
	}
}

/* Formats a record as one line and writes it to the sink. */
static GLogWriterOutput log_write(GLogLevelFlags level, const GLogField *fields,
				  gsize count, void *data)
{
	GDateTime *now;
	char *stamp;
	char *line;

	(void)data;
	if ((level & G_LOG_LEVEL_MASK) > log_threshold)
		return G_LOG_WRITER_HANDLED;
	now = g_date_time_new_now_utc();
	stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%f");
	line = g_strdup_printf("%sZ %s %s: %s\n", stamp, level_name(level),
			       log_field(fields, count, "PART"),
			       log_field(fields, count, "MESSAGE"));
	if (log_sink)
		log_sink(line, strlen(line));
	else
		fputs(line, stderr);
	g_free(line);
	g_free(stamp);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}

/* Starts logging at a minimum level: debug, info (default), warning or error. */
void log_init(const char *level)
{
	if (!strcmp(level, "debug"))
		log_threshold = G_LOG_LEVEL_DEBUG;
	else if (!strcmp(level, "warning"))
		log_threshold = G_LOG_LEVEL_WARNING;
	else if (!strcmp(level, "error"))
		log_threshold = G_LOG_LEVEL_CRITICAL;
	else
		log_threshold = G_LOG_LEVEL_INFO;
	g_log_set_writer_func(log_write, NULL, NULL);
}

/* Sends all further lines to SINK, or to standard error if it is NULL. */
void log_set_sink(log_sink_t sink)
{
	log_sink = sink;
}

/* Logs one line for a component. */
void log_line(GLogLevelFlags level, const char *component, const char *format, ...)
{
	char *message;
	va_list args;

	if (level > log_threshold)
		return;
	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	g_log_structured(DOMAIN, level, "PART", component, "MESSAGE", "%s",
			 message);
	g_free(message);
}

/* Logs a warning with the kind and context of an error. */
void log_error(const char *component, const char *what, const pd_error_t *err)
{
	log_line(G_LOG_LEVEL_WARNING, component, "%s: %s: %s", what,
		 pd_error_kind_name(err->kind), err->context);
}

/* Logs one routing or placement decision. */
void log_decision(const decision_t *decision)
{
	log_line(G_LOG_LEVEL_INFO, decision->component,
		 "request=%s choice=%s reason=\"%s\" passed_over=\"%s\"",
		 decision->request_id, decision->choice, decision->reason,
		 decision->passed_over);
}
