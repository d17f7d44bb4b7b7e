/*
 * Tolerant parsing of JSON that several writers contributed to: an invalid part
 * of one writer must not hide the parts of the others.
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
