/* Setting, wrapping and naming errors. */
#include "core/error.h"

#include <glib.h>
#include <stdarg.h>

static const char *const kind_names[PD_ERROR_KINDS] = {
	[PD_ERROR_NONE] = "none",
	[PD_ERROR_INPUT] = "input",
	[PD_ERROR_TOO_LARGE] = "too-large",
	[PD_ERROR_VERSION] = "version",
	[PD_ERROR_SETTINGS] = "settings",
	[PD_ERROR_IO] = "io",
	[PD_ERROR_TIMEOUT] = "timeout",
	[PD_ERROR_CONFLICT] = "conflict",
	[PD_ERROR_NOT_FOUND] = "not-found",
	[PD_ERROR_UNAVAILABLE] = "unavailable",
	[PD_ERROR_SIGNATURE] = "signature",
	[PD_ERROR_DENIED] = "denied",
};

/* Resets ERR, so that a later pd_error_wrap() finds no old cause. */
void pd_error_clear(pd_error_t *err)
{
	err->kind = PD_ERROR_NONE;
	err->cause = PD_ERROR_NONE;
	err->context[0] = '\0';
}

/*
 * Sets ERR to a kind and a formatted context, truncated to fit. Returns -1, so
 * that callers can return the result of the call.
 */
int pd_error_set(pd_error_t *err, pd_error_kind_t kind, const char *format, ...)
{
	va_list args;

	err->kind = kind;
	err->cause = PD_ERROR_NONE;
	va_start(args, format);
	g_vsnprintf(err->context, sizeof(err->context), format, args);
	va_end(args);
	return -1;
}

/*
 * Wraps the error in ERR with a kind and a formatted context. The kind in ERR
 * becomes the cause, and its context is appended to the new one. Returns -1.
 */
int pd_error_wrap(pd_error_t *err, pd_error_kind_t kind, const char *format, ...)
{
	char head[PD_ERROR_CONTEXT_MAX];
	char below[PD_ERROR_CONTEXT_MAX];
	va_list args;

	g_strlcpy(below, err->context, sizeof(below));
	va_start(args, format);
	g_vsnprintf(head, sizeof(head), format, args);
	va_end(args);
	err->cause = err->kind;
	err->kind = kind;
	g_snprintf(err->context, sizeof(err->context), "%s: %s", head, below);
	return -1;
}

/* Returns the name of a kind as it appears in logs and --json output. */
const char *pd_error_kind_name(pd_error_kind_t kind)
{
	g_assert(kind >= PD_ERROR_NONE && kind < PD_ERROR_KINDS);
	return kind_names[kind];
}
