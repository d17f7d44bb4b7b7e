/*
 * The upstreams that are registered with the platform, and what this gateway
 * knows about each.
 */
#ifndef PISTACHIO_FORWARD_UPSTREAMS_H
#define PISTACHIO_FORWARD_UPSTREAMS_H

#include "core/forward/call.h"
#include "core/forward/config.h"
#include "core/forward/engine_speed.h"
#include "core/forward/upstream_process.h"
#include "core/forward/upstream_speed.h"
#include "core/list.h"

typedef enum forward_stage {
	FORWARD_SERVING,
	FORWARD_DRAINING, /* finishes its requests; gets no new ones */
	FORWARD_GONE
} forward_stage_t;

/*
 * The table is hashed in buckets, so that two gateways can compare theirs and
 * exchange only the buckets that differ.
 */
#define FORWARD_DIGEST_BUCKETS 128

/* The version id of a process whose registration was not read yet; no other has it. */
#define FORWARD_VERSION_UNKNOWN 1

/* An upstream's registration in the platform's store, at one revision. */
typedef struct forward_registration {
	const char *id;
	/*
	 * When its process started, in milliseconds of its VM's wall clock; 0:
	 * unknown. A process that restarts may keep its id, and then only this
	 * differs.
	 */
	int64_t start_time_ms;
	const char *service;
	const char *address;
	uint16_t port;
	const char *zone;
	const char *version; /* of its software; "": unknown */
	unsigned int slots;
	forward_stage_t stage;
	bool reclaimable;
	uint64_t revision;
	pd_time_t read_at; /* when it reached this gateway */
} forward_registration_t;

/*
 * The part of a registration that may change while the address and service
 * stay.
 */
typedef struct forward_stage_update {
	forward_stage_t stage;
	int64_t start_time_ms;
	uint64_t revision;
} forward_stage_update_t;

/*
 * What a response said of whether an upstream fails when it has to reject too many
 * requests.
 */
typedef struct forward_brittleness {
	pd_time_t at; /* of the response; 0: there was none */
	unsigned int rejections_max; /* in a second that it bears; 0: any number */
} forward_brittleness_t;

/* What is known of a brittle service is sent to other gateways again after this. */
#define FORWARD_BRITTLENESS_REPEAT PD_SEC

typedef struct forward_upstream {
	list_node_t node;
	unsigned int refs;
	char *id;
	int64_t start_time_ms; /* as registered; 0: unknown */
	unsigned int incarnation; /* restarts seen under this id */
	upstream_process_t process; /* the present one */
	uint64_t id_hash; /* hash of the id */
	/* the serving upstreams of its service; NULL: not in it */
	GPtrArray *group;
	guint group_index; /* index in group */
	uint64_t digest; /* its term in its bucket's digest */
	char *service;
	char *address;
	uint16_t port;
	char *zone;
	char *version; /* of its software; "": unknown */
	uint64_t version_id; /* of its service and version; not 0 */
	unsigned int slots;
	forward_stage_t stage;
	bool leaving; /* its process said so in a response, perhaps not in the store */
	bool reclaimable;
	uint64_t revision;
	bool listed; /* seen in the listing in progress */
	pd_time_t gone_at; /* when it is or becomes gone; 0: not gone */
	unsigned int running; /* requests of this gateway */
	/*
	 * prompt tokens of this gateway's requests that are not processed yet
	 */
	double prefill_tokens;
	unsigned int peers_running; /* as the peers reported */
	double peers_prefill_tokens;
	unsigned int connections; /* of this gateway */
	/* idle keep-alive connections; owned by the adapter */
	list_node_t idle_links;
	unsigned int failures; /* consecutive */
	/* until then it is used only if no other can be */
	pd_time_t backoff_until;
	pd_time_t full_until; /* set when it rejects a request */
	pd_time_t rest_until; /* its process asked this gateway for no requests until then */
	pd_time_t answered_at; /* when it last sent a head of a response here */
	forward_brittleness_t brittleness; /* by its own responses since it started */
	pd_time_t probe_started_at; /* when a probe request was sent; 0: none */
	upstream_speed_t speed; /* relative to others of its service */
	/* prompt part id -> pd_time_t of its last use */
	GHashTable *cached_parts;
} forward_upstream_t;

typedef struct forward_upstreams forward_upstreams_t;

uint64_t forward_version_id(const char *service, const char *version);
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
void forward_upstreams_restore_speed(forward_upstreams_t *set,
				     uint32_t short_id, int level);
bool forward_upstreams_update_speeds(forward_upstreams_t *set);
const GPtrArray *forward_upstreams_serving(const forward_upstreams_t *set,
					   const char *service);
double forward_upstreams_utilization(const forward_upstreams_t *set,
				     const char *service, pd_time_t now);
bool forward_upstreams_has_other_version(const forward_upstreams_t *set,
					 const char *service, uint64_t version_id);
bool forward_upstreams_has_version(const forward_upstreams_t *set,
				   const char *service, uint64_t version_id);
uint64_t forward_upstreams_digest(const forward_upstreams_t *set,
				  unsigned int bucket);
unsigned int forward_upstream_bucket(const forward_upstream_t *upstream);
forward_upstream_t *forward_upstreams_find(forward_upstreams_t *set,
					   const char *id);
forward_upstream_t *forward_upstreams_find_by_short_id(forward_upstreams_t *set,
						       uint32_t short_id);
uint32_t forward_upstream_short_id(const forward_upstream_t *upstream);
unsigned int forward_upstreams_count_serving(const forward_upstreams_t *set);
bool forward_upstream_is_serving(const forward_upstream_t *upstream);
unsigned int forward_upstream_running(const forward_upstream_t *upstream);
double forward_upstream_prefill_tokens(const forward_upstream_t *upstream);
double forward_upstream_uncached_tokens(const forward_upstream_t *upstream,
					const forward_call_t *call, pd_time_t now);
void forward_upstream_record_send(forward_upstream_t *upstream,
				  const forward_call_t *call, pd_time_t now);
void forward_upstream_record_failure(forward_upstream_t *upstream, pd_time_t now);
void forward_upstream_record_refusal(forward_upstream_t *upstream, pd_time_t now);
void forward_upstream_record_connect_failure(forward_upstream_t *upstream,
					     pd_time_t now);
void forward_upstream_record_rejection(forward_upstream_t *upstream, pd_time_t now);
bool forward_upstreams_record_leaving(forward_upstreams_t *set,
				      forward_upstream_t *upstream);
bool forward_upstreams_record_brittleness(forward_upstreams_t *set,
					  forward_upstream_t *upstream,
					  unsigned int rejections_max,
					  pd_time_t now);
bool forward_upstreams_merge_brittleness(forward_upstreams_t *set,
					 const char *service,
					 const forward_brittleness_t *brittleness);
forward_brittleness_t forward_upstreams_brittleness(const forward_upstreams_t *set,
						    const char *service);
unsigned int forward_upstreams_rejections_max(const forward_upstreams_t *set,
					      const forward_upstream_t *upstream);
void forward_upstream_record_rest(forward_upstream_t *upstream, pd_time_t rest,
				  pd_time_t now);
bool forward_upstream_is_resting(const forward_upstream_t *upstream, pd_time_t now);
pd_time_t forward_upstreams_rest_until(const forward_upstreams_t *set,
				       const char *service, pd_time_t now);
unsigned int forward_upstreams_count_resting(const forward_upstreams_t *set,
					     const char *service, pd_time_t now);
void forward_upstream_record_restart(forward_upstream_t *upstream);
void forward_upstream_record_success(forward_upstream_t *upstream);
bool forward_upstream_in_backoff(const forward_upstream_t *upstream, pd_time_t now);
forward_upstream_t *forward_upstream_ref(forward_upstream_t *upstream);
void forward_upstream_unref(forward_upstream_t *upstream);

#endif
