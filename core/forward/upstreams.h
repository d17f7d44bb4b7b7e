/* The upstreams that the platform lists, and what this entry knows of each. */
#ifndef PISTACHIO_FORWARD_UPSTREAMS_H
#define PISTACHIO_FORWARD_UPSTREAMS_H

#include "core/forward/call.h"
#include "core/forward/config.h"
#include "core/forward/engine_speed.h"
#include "core/list.h"

typedef enum forward_stage {
	FORWARD_SERVING,
	FORWARD_DRAINING, /* ends what it has; gets nothing new */
	FORWARD_GONE
} forward_stage_t;

/* Parts that digests of the table are kept of, so that two can be compared. */
#define FORWARD_DIGEST_BUCKETS 128

/* What the platform says of an upstream, at one revision of its entry. */
typedef struct forward_registration {
	const char *id;
	/*
	 * When it started, in milliseconds of the time of day of its VM; 0: not
	 * told. One that incarnation again may have the id of before: only this differs.
	 */
	int64_t start_time_ms;
	const char *service;
	const char *address;
	uint16_t port;
	const char *zone;
	unsigned int slots;
	forward_stage_t stage;
	bool reclaimable;
	uint64_t revision;
} forward_registration_t;

/* What of a registration may change while its address and service stay. */
typedef struct forward_stage_update {
	forward_stage_t stage;
	int64_t start_time_ms;
	uint64_t revision;
} forward_stage_update_t;

typedef struct forward_upstream {
	list_node_t node;
	unsigned int refs;
	char *id;
	int64_t start_time_ms; /* as listed; 0: not told */
	unsigned int incarnation; /* incarnation under this id that were seen, less one */
	uint64_t id_hash; /* hash of the id */
	GPtrArray *group; /* of those that serve its service; NULL: none */
	guint group_index; /* its place there */
	uint64_t digest; /* its part of the table's digest */
	char *service;
	char *address;
	uint16_t port;
	char *zone;
	unsigned int slots;
	forward_stage_t stage;
	bool reclaimable;
	uint64_t revision;
	bool listed; /* seen in the listing that is being read */
	pd_time_t gone_at; /* it counts as gone from then on; 0: it does not */
	unsigned int running; /* requests of this entry */
	double prefill_tokens; /* prompt tokens of this entry's requests not yet read */
	unsigned int peers_running; /* as the other entries told */
	double peers_prefill_tokens;
	unsigned int connections; /* of this entry */
	list_node_t idle_links; /* kept connections; the adapter's */
	unsigned int failures; /* in a row */
	pd_time_t backoff_until; /* after failures */
	pd_time_t full_until; /* after it turned a request away */
	pd_time_t probe_started_at; /* the one request that tests it again */
	GHashTable *cached_parts; /* prompt part id -> pd_time_t of the last use */
} forward_upstream_t;

typedef struct forward_upstreams forward_upstreams_t;

forward_upstreams_t *forward_upstreams_create(void);
void forward_upstreams_destroy(forward_upstreams_t *set);
bool forward_upstreams_apply(forward_upstreams_t *set,
			     const forward_registration_t *registration);
bool forward_upstreams_update_stage(forward_upstreams_t *set,
				    forward_upstream_t *upstream,
				    const forward_stage_update_t *change,
				    pd_time_t now);
bool forward_upstreams_remove(forward_upstreams_t *set, const char *id,
			      uint64_t revision, pd_time_t now);
void forward_upstreams_begin_listing(forward_upstreams_t *set);
void forward_upstreams_end_listing(forward_upstreams_t *set, uint64_t revision,
				   pd_time_t now);
void forward_upstreams_store_recovered(forward_upstreams_t *set, pd_time_t at);
void forward_upstreams_expire(forward_upstreams_t *set, pd_time_t now,
			      void (*on_gone)(void *ctx, const char *id),
			      void *ctx);
list_node_t *forward_upstreams_list(forward_upstreams_t *set);
engine_speeds_t *forward_upstreams_speeds(const forward_upstreams_t *set);
const GPtrArray *forward_upstreams_serving(const forward_upstreams_t *set,
					   const char *service);
double forward_upstreams_utilization(const forward_upstreams_t *set,
				     const char *service);
uint64_t forward_upstreams_digest(const forward_upstreams_t *set,
				  unsigned int bucket);
unsigned int forward_upstream_bucket(const forward_upstream_t *upstream);
forward_upstream_t *forward_upstreams_find(forward_upstreams_t *set,
					   const char *id);
forward_upstream_t *forward_upstreams_find_by_short_id(forward_upstreams_t *set,
						       uint32_t short_id);
uint32_t forward_upstream_short_id(const forward_upstream_t *upstream);
bool forward_upstream_is_serving(const forward_upstream_t *upstream);
unsigned int forward_upstream_running(const forward_upstream_t *upstream);
double forward_upstream_prefill_tokens(const forward_upstream_t *upstream);
double forward_upstream_uncached_tokens(const forward_upstream_t *upstream,
					const forward_call_t *call, pd_time_t now);
void forward_upstream_record_send(forward_upstream_t *upstream,
				  const forward_call_t *call, pd_time_t now);
void forward_upstream_record_failure(forward_upstream_t *upstream, pd_time_t now);
void forward_upstream_record_connect_failure(forward_upstream_t *upstream,
					     pd_time_t now);
void forward_upstream_record_rejection(forward_upstream_t *upstream, pd_time_t now);
void forward_upstream_record_restart(forward_upstream_t *upstream);
void forward_upstream_record_success(forward_upstream_t *upstream);
bool forward_upstream_in_backoff(const forward_upstream_t *upstream, pd_time_t now);
forward_upstream_t *forward_upstream_ref(forward_upstream_t *upstream);
void forward_upstream_unref(forward_upstream_t *upstream);

#endif
