/*
 * The table of upstreams: which VMs serve what, which are leaving or
 * unresponsive, and the load of each by the latest reports and by what this
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
	uint64_t rendezvous_weight; /* for this entry; constant */
	bool listed; /* is in the latest VM list */
	bool in_subset; /* this entry may send to it */
	bool leaving;
	pd_time_t leaves_at; /* if leaving */
	unsigned int missed_probes; /* consecutive, without an answer */
	bool probing;
	pd_time_t probed_at;
	bool rejects_when_full; /* has rejected an attempt as busy */
	pd_time_t failed_at; /* time of the last failed attempt; 0 if none */
	unsigned int running; /* attempts of this entry in flight */
	unsigned int starting; /* of those, without a response so far */
	double others_load; /* requests of other entries, smoothed */
	double allowance; /* attempts that reports have shown capacity for */
	double others_load_peak; /* decaying maximum of others_load */
	pd_time_t reported_at; /* 0 if it never reported */
	GHashTable *cached_prefixes; /* hashes that it probably holds */
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
