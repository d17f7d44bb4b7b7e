/* Typed access to the members of JSON objects. */
#include "adapters/json.h"

#include <math.h>
#include <stdbool.h>

#define NOT_AN_OBJECT "not a JSON object"
/* A double represents every integer up to this exactly: 2 to the 53. */
#define REAL_INTEGER_MAX 9007199254740992.0

/*
 * Returns a parsed JSON object, owned by the caller, or NULL with ERR set if the
 * text is malformed, is no object or has duplicate keys.
 */
json_t *json_parse(const char *data, size_t len, pd_error_t *err)
{
	json_error_t parse_error;
	json_t *value = json_loadb(data, len, JSON_REJECT_DUPLICATES, &parse_error);

	if (!value) {
		pd_error_set(err, PD_ERROR_INPUT, "JSON line %d: %s",
			     parse_error.line, parse_error.text);
		return NULL;
	}
	if (!json_is_object(value)) {
		pd_error_set(err, PD_ERROR_INPUT, NOT_AN_OBJECT);
		json_decref(value);
		return NULL;
	}
	return value;
}

/*
 * Sets VALUE to a string member, borrowed; returns -1 with ERR set if there is
 * none.
 */
int json_read_string(const json_t *object, const char *key, const char **value,
		     pd_error_t *err)
{
	const json_t *member = json_object_get(object, key);

	if (!json_is_string(member))
		return pd_error_set(err, PD_ERROR_INPUT,
				    "%s: expected a string", key);
	*value = json_string_value(member);
	return 0;
}

/* Sets VALUE to an integer. Returns false if NUMBER is none. */
static bool read_integer_value(const json_t *number, int64_t *value)
{
	double real;

	if (json_is_integer(number)) {
		*value = json_integer_value(number);
		return true;
	}
	/* Another writer's integer may be out of range, or a real (json_shared.c). */
	real = json_real_value(number);
	if (!json_is_real(number) || real != trunc(real) ||
	    fabs(real) > REAL_INTEGER_MAX)
		return false;
	*value = (int64_t)real;
	return true;
}

/* Sets VALUE to an integer member; returns -1 with ERR set if there is none. */
int json_read_integer(const json_t *object, const char *key, int64_t *value,
		      pd_error_t *err)
{
	if (!read_integer_value(json_object_get(object, key), value))
		return pd_error_set(err, PD_ERROR_INPUT,
				    "%s: expected an integer", key);
	return 0;
}

/*
 * Sets VALUE to an array member, borrowed; returns -1 with ERR set if there is
 * none.
 */
int json_read_array(const json_t *object, const char *key, json_t **value,
		    pd_error_t *err)
{
	json_t *member = json_object_get(object, key);

	if (!json_is_array(member))
		return pd_error_set(err, PD_ERROR_INPUT,
				    "%s: expected an array", key);
	*value = member;
	return 0;
}

/* Returns a string member, borrowed, or FALLBACK if there is none. */
const char *json_string_or(const json_t *object, const char *key,
			   const char *fallback)
{
	const json_t *member = json_object_get(object, key);

	return json_is_string(member) ? json_string_value(member) : fallback;
}

/* Returns an integer member, or FALLBACK if there is none. */
int64_t json_integer_or(const json_t *object, const char *key, int64_t fallback)
{
	int64_t value;

	return read_integer_value(json_object_get(object, key), &value)
		       ? value
		       : fallback;
}
