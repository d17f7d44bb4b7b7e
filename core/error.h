/*
 * The error that every fallible function sets and passes to its caller: a kind
 * to switch on, a context for people, and at most one underlying cause.
 */
#ifndef PISTACHIO_ERROR_H
#define PISTACHIO_ERROR_H

typedef enum pd_error_kind {
	PD_ERROR_NONE,
	PD_ERROR_INPUT, /* malformed input */
	PD_ERROR_TOO_LARGE,
	PD_ERROR_VERSION, /* unsupported protocol version */
	PD_ERROR_SETTINGS,
	PD_ERROR_IO,
	PD_ERROR_TIMEOUT,
	PD_ERROR_CONFLICT, /* a conditional write that failed */
	PD_ERROR_NOT_FOUND,
	PD_ERROR_UNAVAILABLE,
	PD_ERROR_SIGNATURE,
	PD_ERROR_DENIED,
	PD_ERROR_KINDS /* number of kinds; never set */
} pd_error_kind_t;

#define PD_ERROR_CONTEXT_MAX 320

typedef struct pd_error {
	pd_error_kind_t kind;
	pd_error_kind_t cause; /* PD_ERROR_NONE: no underlying error */
	char context[PD_ERROR_CONTEXT_MAX];
} pd_error_t;

void pd_error_clear(pd_error_t *err);
int pd_error_set(pd_error_t *err, pd_error_kind_t kind, const char *format, ...)
	__attribute__((format(printf, 3, 4)));
int pd_error_wrap(pd_error_t *err, pd_error_kind_t kind, const char *format, ...)
	__attribute__((format(printf, 3, 4)));
const char *pd_error_kind_name(pd_error_kind_t kind);

#endif
