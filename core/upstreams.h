/*
 * The upstreams that this entry knows: which VMs serve what, which are leaving
 * or silent, and how much work each has by the latest report and by what this
 * entry itself has sent since.
 */
#ifndef PISTACHIO_UPSTREAMS_H
#define PISTACHIO_UPSTREAMS_H

#include <glib.h>

#include "core/list.h"
#include "ports/clock.h"
#include "ports/platform.h"
#include "ports/upstream.h"

typedef struct upstream {
	list_node_t node;
	vm_t vm;
	uint64_t rendezvous_weight; /* of this upstream for this entry; fixed */
	bool listed; /* in the latest VM list */
	bool in_subset; /* in the subset that this entry sends to */
	bool leaving;
	pd_time_t leaves_at; /* if leaving */
	unsigned int missed_probes; /* probes in a row without an answer */
	bool probing;
	pd_time_t probed_at;
	bool refuses_when_full; /* it has refused an attempt as busy */
	pd_time_t failed_at; /* of the last failed attempt; 0 if none */
	unsigned int running; /* attempts of this entry under way */
	unsigned int starting; /* of those, not yet heard of */
	double others_load; /* requests of other entries there, smoothed */
	double allowance; /* streams that reports have shown room for */
	double others_load_peak; /* the same, falling slowly from the highest */
	pd_time_t reported_at; /* 0 if it never reported */
	GHashTable *cached_prefixes; /* that its cache is thought to hold */
} upstream_t;

typedef struct upstreams upstreams_t;

upstreams_t *upstreams_create(const char *entry_id, const char *zone,
			      unsigned int subset);
void upstreams_destroy(upstreams_t *upstreams);
void upstreams_update(upstreams_t *upstreams, const vm_t *vms, size_t count,
		      pd_time_t now);
upstream_t *upstreams_find(const upstreams_t *upstreams, const char *vm_id);
bool upstreams_record_notice(upstreams_t *upstreams, const char *vm_id,
			     pd_time_t leaves_at);
void upstreams_record_report(upstreams_t *upstreams,
			     const load_report_t *report, pd_time_t now);
void upstreams_probe(upstreams_t *upstreams, pd_time_t now, list_node_t *actions);
list_node_t *upstreams_list(upstreams_t *upstreams);
const char *upstreams_zone(const upstreams_t *upstreams);
void upstream_record_send(upstream_t *upstream);
void upstream_record_end(upstream_t *upstream);
bool upstream_is_usable(const upstream_t *upstream);
void upstream_record_start(upstream_t *upstream);
unsigned int upstream_cached_tokens(const upstream_t *upstream,
				    const uint64_t *prefixes, size_t count);
double upstreams_senders_per_upstream(const upstreams_t *upstreams,
				      unsigned int entries);
double upstream_load(const upstream_t *upstream);
void vm_copy(vm_t *to, const vm_t *from);
void vm_clear(vm_t *vm);

#endif
