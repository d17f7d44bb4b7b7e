/*
 * What all gateways know together and none may forget, as it lies in the store:
 * how many they are and what their counts of usage are. Whoever starts reads it.
 */
#ifndef PISTACHIO_GATEWAY_FLEET_RECORD_H
#define PISTACHIO_GATEWAY_FLEET_RECORD_H

#include <glib.h>

#include "core/error.h"
#include "core/forward/usage.h"

typedef struct fleet_record {
	unsigned int gateways; /* that share what is limited in sum */
	GArray *counts; /* of usage_entry_t, with names of their own */
} fleet_record_t;

fleet_record_t *fleet_record_create(void);
fleet_record_t *fleet_record_read(const char *text, pd_error_t *err);
void fleet_record_destroy(fleet_record_t *record);
void fleet_record_count(fleet_record_t *record, int64_t window,
			const char *account, uint64_t count);
char *fleet_record_write(const fleet_record_t *record);

#endif
