/* Encoding of usage counts in the store: JSON around packed rows. */
#ifndef PISTACHIO_GATEWAY_USAGE_TABLE_H
#define PISTACHIO_GATEWAY_USAGE_TABLE_H

#include "core/error.h"
#include "core/forward/usage_inflight.h"

char *usage_table_encode(const usage_t *usage, const usage_inflight_t *inflight,
			 int64_t from);
int usage_table_merge(const char *text, usage_t *usage,
		      usage_inflight_t *inflight, pd_error_t *err);

#endif
