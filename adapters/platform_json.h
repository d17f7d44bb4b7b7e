/* JSON encoding of the platform's objects: claims, the lease, VMs, entries. */
#ifndef PISTACHIO_PLATFORM_JSON_H
#define PISTACHIO_PLATFORM_JSON_H

#include <glib.h>

#include "core/error.h"
#include "ports/peer.h"
#include "ports/placer_event.h"
#include "ports/platform.h"

char *claim_table_encode(const claim_table_t *table);
claim_table_t *claim_table_decode(const char *data, size_t len, pd_error_t *err);
char *lease_record_encode(const lease_record_t *record);
lease_record_t *lease_record_decode(const char *data, size_t len, pd_error_t *err);
GArray *vm_list_decode(const char *data, size_t len, pd_error_t *err);
void vm_list_free(GArray *vms);
char *member_info_encode(const member_info_t *info);
int member_info_decode(const char *data, size_t len, member_info_t *info,
		       pd_error_t *err);

#endif
