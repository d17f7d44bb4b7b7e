/* State shared by the modules of the gateway; private to adapters/gateway. */
#ifndef PISTACHIO_GATEWAY_STATE_H
#define PISTACHIO_GATEWAY_STATE_H

#include <uv.h>

#include "adapters/gateway/settings.h"
#include "adapters/http1/http1_call.h"
#include "adapters/metrics.h"
#include "core/forward/config.h"
#include "core/forward/quarantine.h"
#include "core/forward/reach.h"
#include "core/forward/return_detector.h"
#include "core/forward/retry_window.h"
#include "core/forward/rollout.h"
#include "core/forward/room_rate.h"
#include "core/forward/store_outage.h"
#include "core/forward/stream_journal.h"
#include "core/forward/stream_versions.h"
#include "core/forward/time_vote.h"
#include "core/forward/token_limits.h"
#include "core/forward/upstream_limits.h"
#include "core/forward/upstreams.h"
#include "core/forward/usage.h"
#include "core/forward/usage_inflight.h"
#include "core/forward/usage_watermark.h"
#include "core/forward/work_rate.h"

/* Connecting takes a few milliseconds, or one retransmission more. */
#define GATEWAY_CONNECT_TIMEOUT (400 * PD_MSEC)
/* What arrived in such a time without a tick may have arrived at its beginning. */
#define GATEWAY_STALL_MIN (250 * PD_MSEC)
#define GATEWAY_RANKS 10 /* priority ranks of requests; 0 is the most urgent */

typedef struct gateway_peers gateway_peers_t;
typedef struct gateway_duties gateway_duties_t;
typedef struct gateway_checkpoint gateway_checkpoint_t;
typedef struct fleet_feed fleet_feed_t;
typedef struct sole_versions sole_versions_t;
typedef struct gateway_slots gateway_slots_t;
typedef struct gateway_grants gateway_grants_t;

/* Where the configuration came from; see config_origin.c. All 0: there is none. */
typedef struct config_origin {
	char *source; /* "store" or "peer" */
	pd_time_t applied_at;
	pd_time_t read_at; /* when the store last told this gateway its configuration */
	uint64_t heard_version; /* the highest that a peer had */
	char *heard_from; /* its address */
	pd_time_t heard_at; /* since when a newer one than that in force is known */
	char *fetched_from; /* the peer that was last asked since */
	unsigned int fetches; /* the same, how often */
	pd_time_t refusal_logged_at;
	pd_time_t behind_logged_at;
} config_origin_t;

typedef struct gateway {
	uv_loop_t *loop;
	const char *settings_path; /* NULL: settings are never reloaded */
	gateway_settings_t *settings;
	pd_time_t settings_check_at; /* next check of the file for changes */
	int64_t settings_stamp; /* of the file as last read; see file_stamp() */
	forward_config_t *config; /* NULL: none yet */
	char *config_text; /* source text of config, sent to peers */
	config_origin_t config_origin;
	bool upstreams_listed; /* a complete listing was read, here or by a peer */
	bool upstreams_usable; /* at least one page of a listing was read */
	forward_upstreams_t *upstreams;
	GHashTable *reaches; /* service -> reach_t; those whose links failed */
	list_node_t probes; /* of upstreams, in progress */
	size_t end_probes; /* those started to verify the end of a response */
	pd_time_t ticked_at;
	pd_time_t stalled_at; /* first tick after GATEWAY_STALL_MIN without; 0: none */
	stream_versions_t *streams; /* which software version began each */
	stream_journal_t *stream_journal; /* of the latest, for the checkpoint */
	rollouts_t *rollouts; /* orders to change a service's software version */
	GHashTable *invalid_orders; /* name -> revision of those logged */
	GHashTable *logged_rollouts; /* service -> what was logged last */
	pd_time_t versions_record_at; /* when those that serve are next recorded */
	quarantine_t *quarantine; /* of requests under which upstreams end */
	list_node_t quarantine_checks; /* of upstreams that may have ended */
	list_node_t silences; /* requests that got no answer, whose upstream may end */
	unsigned int silence_count;
	pd_time_t quarantine_expire_at;
	uint64_t quarantine_holds; /* up to which requests in progress were ended */
	upstream_limits_t *upstream_limits; /* that upstreams name in responses */
	token_limits_t *limits;
	uint64_t limits_version; /* of the configuration whose accounts are in limits */
	retry_windows_t *retries;
	usage_t *usage;
	usage_watermarks_t *watermarks; /* of the incarnations that count usage */
	usage_inflight_t *inflight; /* requests in flight, by gateway incarnation */
	bool inflight_changed; /* since this gateway's last in-flight snapshot */
	int64_t usage_discarded_window; /* current window when usage was last discarded */
	work_rate_t *work;
	GHashTable *shedders; /* service -> shed_t */
	GHashTable *rooms; /* service -> room_rate_t */
	return_detector_t *returns; /* recognizes callers that come back */
	time_vote_t *vote;
	metrics_t *metrics;
	http1_client_t *store;
	store_outage_t *outage; /* detects outages of the store */
	http1_client_t *cloud;
	fleet_feed_t *feed;
	sole_versions_t *sole_versions;
	gateway_peers_t *peers;
	gateway_duties_t *duties;
	gateway_slots_t *slots; /* of plain services, while they are scarce */
	gateway_grants_t *grants; /* for brittle upstreams */
	gateway_checkpoint_t *checkpoint;
	GRand *random;
	uv_tcp_t callers_listener;
	uv_tcp_t health_listener;
	uv_tcp_t relay_listener;
	uint16_t relay_port; /* 0: no requests of other gateways are accepted */
	uv_timer_t timer;
	uv_prepare_t flush; /* sends what an iteration of the loop has queued */
	pd_time_t links_check_at; /* next check of idle upstream connections */
	list_node_t callers; /* caller_t: open connections */
	list_node_t requests; /* gateway_request_t: all in progress */
	list_node_t startup_queue; /* requests received before initialization */
	list_node_t queues[GATEWAY_RANKS]; /* requests that wait for capacity */
	unsigned int queued; /* requests in startup_queue and queues */
	size_t body_bytes; /* buffered for all requests in progress */
	size_t answer_bytes; /* of upstreams' answers, the same */
	pd_time_t started_at;
	pd_time_t stop_requested_at; /* 0: not stopping */
	bool listening;
} gateway_t;

pd_time_t gateway_now(void);
pd_time_t gateway_wall_time(void);
pd_time_t gateway_jitter(const gateway_t *gateway, pd_time_t most);
pd_time_t gateway_window_length(const gateway_t *gateway);
pd_time_t gateway_report_delay_max(const gateway_t *gateway);
int64_t gateway_current_window(const gateway_t *gateway);
int64_t gateway_first_due_window(const gateway_t *gateway);
unsigned int gateway_count(const gateway_t *gateway);
double gateway_engine_rate(const gateway_t *gateway, const char *service);
bool gateway_has_time_for(const gateway_t *gateway, forward_route_kind_t kind,
			  pd_time_t deadline);
bool gateway_split_address(const char *address, char **host, uint16_t *port);

#endif
