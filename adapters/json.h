/* Typed access to the members of JSON objects; errors name the member. */
#ifndef PISTACHIO_JSON_H
#define PISTACHIO_JSON_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "core/error.h"

json_t *json_parse(const char *data, size_t len, pd_error_t *err);
int json_read_string(const json_t *object, const char *key, const char **value,
		     pd_error_t *err);
int json_read_integer(const json_t *object, const char *key, int64_t *value,
		      pd_error_t *err);
int json_read_array(const json_t *object, const char *key, json_t **value,
		    pd_error_t *err);
const char *json_string_or(const json_t *object, const char *key,
			   const char *fallback);
int64_t json_integer_or(const json_t *object, const char *key, int64_t fallback);

#endif
