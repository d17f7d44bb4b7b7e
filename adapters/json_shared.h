/*
 * JSON of which several parties wrote parts. What one of them spoiled must not
 * hide what the others wrote.
 */
#ifndef PISTACHIO_JSON_SHARED_H
#define PISTACHIO_JSON_SHARED_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "core/error.h"

json_t *json_parse_shared(const char *data, size_t len, pd_error_t *err);
bool json_is_readable(const json_t *value);

#endif
