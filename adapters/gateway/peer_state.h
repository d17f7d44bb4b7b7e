/*
 * Declarations shared by the source files of the gossip module. Private to it.
 */
#ifndef PISTACHIO_PEER_STATE_H
#define PISTACHIO_PEER_STATE_H

#include <msgpack.h>

#include "adapters/frame_link.h"
#include "adapters/gateway/peers.h"
#include "adapters/msgpack_fields.h"

typedef enum message_kind {
	MESSAGE_STATE, /* the sender's own counters and knowledge */
	/* the same summed over all gateways but the receiver */
	MESSAGE_SUMMARY,
	MESSAGE_UPDATES, /* upstreams that changed */
	MESSAGE_ANNOUNCEMENT, /* version of a newly applied configuration */
	MESSAGE_CONFIG,
	MESSAGE_FETCH, /* requests a configuration or upstreams */
	/* counters changed since the last one, for checkpoint writers */
	MESSAGE_COUNTS,
	MESSAGE_PERMIT_REQUEST, /* to the gateway that issues permits */
	MESSAGE_PERMITS, /* its reply, or limits that it knows */
	MESSAGE_QUARANTINE, /* requests under which upstreams ended */
	MESSAGE_STREAMS, /* software versions that began streams */
	MESSAGE_STREAM_QUERY, /* asks for that of one stream */
	MESSAGE_REJECTIONS, /* of earlier builds; ignored */
	MESSAGE_ROLLOUT, /* orders to change software versions, and how they go */
	MESSAGE_SLOT_REQUEST, /* to the dispatcher of a plain service */
	MESSAGE_SLOT_ANSWER,
	MESSAGE_SLOT_RELEASE,
	MESSAGE_GRANT_ASK, /* to the gateway that issues an upstream's grants */
	MESSAGE_GRANT_ANSWER,
	MESSAGE_GRANT_REPORT, /* what became of granted requests */
	MESSAGE_BRITTLE, /* services whose upstreams are brittle */
	MESSAGE_KINDS /* number of kinds */
} message_kind_t;

/* Fields of a state and a summary, in wire order. */
typedef enum state_field {
	STATE_KIND,
	STATE_ADDRESS,
	STATE_INCARNATION,
	/* time of day: by the sender's clock, in a summary the fleet's */
	STATE_WALL_TIME,
	STATE_CONFIG,
	STATE_DIGEST, /* of the sender's table of upstreams */
	STATE_UPTIME, /* of the sender's process */
	STATE_FLAGS,
	STATE_STORE_ANSWER_AGE, /* time since the store last answered anyone */
	STATE_LEADER, /* address of the leader */
	/* the leader's fencing token; the highest is the newest */
	STATE_LEADER_FENCE,
	STATE_FLEET_SIZE, /* number of gateways known to the sender */
	STATE_LIMIT_USES,
	STATE_WORK,
	STATE_LOADS,
	STATE_USAGE,
	STATE_MEMBERS,
	STATE_ENGINE_SPEEDS, /* observed prefill speed of engines, by service */
	STATE_ZONE, /* hash of the sender's availability zone */
	/* time since the sender's clock stepped; 0: it has not */
	STATE_CLOCK_STEP_AGE,
	/* last window whose usage counts are complete; nil: unknown */
	STATE_WATERMARK,
	STATE_STREAMS, /* software versions that began streams lately */
	STATE_ROLLOUTS, /* answers by version while a roll-out runs; nil: none runs */
	STATE_SPEEDS, /* samples of upstreams' speeds; in a summary their levels */
	STATE_FIELDS /* number of fields */
} state_field_t;

#define STATE_FIELDS_MIN STATE_STREAMS /* earlier builds send no more */

#define STATE_FLAG_HAS_STORE 1u
#define STATE_FLAG_HIGH_CAPACITY 2u
#define STATE_FLAG_REQUESTS_SUMMARY 4u /* requests a summary in return */
/* knows messages about rate limits of upstreams */
#define STATE_FLAG_HANDLES_LIMITS 8u
#define STATE_FLAG_CUT_OFF 16u /* from the upstreams of some service */
/* knows messages about requests under which upstreams ended */
#define STATE_FLAG_HANDLES_QUARANTINE 32u
/* knows messages about software versions that began streams */
#define STATE_FLAG_HANDLES_STREAMS 64u
/* Records of streams in one state. */
#define STATE_STREAMS_MAX 512
/* the port for relayed requests, in the upper bits of the flags; 0: none */
#define STATE_RELAY_PORT_SHIFT 16

/*
 * Period of messages with members and usage. They may be older than loads, but
 * must arrive several times within MENTION_TIMEOUT at any message period.
 */
#define PEERS_FULL_PERIOD (1600 * PD_MSEC)

/* Numbers of top-ranked gateways that aggregate, and that watch the store. */
#define AGGREGATORS 2
#define STORE_WATCHERS 3
/*
 * Members listed in one message: the top-ranked ones and, in larger fleets, a
 * random sample of the others, so that messages do not grow with the fleet.
 */
#define MEMBERS_LISTED_MAX 100
/*
 * Upstreams whose loads are listed in one message; for the others it has the
 * mean.
 */
#define LOADS_LISTED_MAX 128
/* A peer not heard of for this long no longer counts towards the fleet size. */
#define FLEET_MEMBER_TIMEOUT (60 * PD_SEC)
/*
 * Unit of prompt tokens in a load: it fits one byte for most upstreams, and is
 * finer than one request's part of a prompt.
 */
#define PREFILL_UNIT_TOKENS 64
/* short id of the upstream, running requests, prefill units */
#define LOAD_FIELDS 3
/* short id of the upstream, samples, mean of their logarithms in thousandths */
#define SPEED_SAMPLE_FIELDS 3
/* short id of the upstream, level above the lowest one */
#define SPEED_LEVEL_FIELDS 2

/* kind, sender, whether all upstreams are listed, upstreams */
#define UPDATES_FIELDS 4
#define FETCH_FIELDS 4 /* kind, sender, FETCH_ flags, digests or id hashes */
/* address, whether it has high capacity, zone, relay port or 0 if it takes no relays */
#define MEMBER_FIELDS 4
#define MEMBER_FIELDS_MIN 3 /* earlier builds send no relay port */
/* account, granted tokens, bucket level or nil, requested */
#define LIMIT_USE_FIELDS 4
/* kind, sender, incarnation, usage, limits, in flight */
#define COUNTS_FIELDS 6
/* kind, sender, when permits were requested by the receiver's clock, limits */
#define LIMITS_FIELDS 4
/* short id of the upstream, rate or nil, age in ms or nil if not stated, permits */
#define LIMIT_FIELDS 4
#define STREAMS_FIELDS 3 /* kind, sender, versions and attempts in turn */
#define STREAM_QUERY_FIELDS \
	4 /* kind, sender, hash of the attempt, service or nil */
#define QUARANTINE_FIELDS 3 /* kind, sender, reports */
#define REPORT_FIELDS 3 /* fingerprint, idle ms, ends */
#define END_FIELDS 3 /* short id, whether it was cleared, age in ms */
#define REJECTIONS_FIELDS 4
/* number, short id of the upstream, its slots, rejections it bears, ms left */
#define GRANT_ASK_FIELDS 5
#define GRANT_ANSWER_FIELDS \
	3 /* number, whether it was granted, retry after ms */
#define GRANT_REPORT_FIELDS 3 /* short id of the upstream, number, outcome */
#define BRITTLE_FIELDS 3 /* kind, sender, services */
/* name, rejections its upstreams bear, age of the response in ms */
#define BRITTLE_SERVICE_FIELDS 3
#define USAGE_FIELDS 3 /* window, account, count */
/* kind, sender, revision up to which orders are known, reports */
#define ROLLOUT_FIELDS 4
/* service, version, revision, ordered at, period, step, state, bad, heartbeat */
#define ROLLOUT_REPORT_FIELDS 9
/* service, id of the new version, route, whether new, sent, answers, failed, slow */
#define ROLLOUT_COUNT_FIELDS 12
#define SLOT_FIELDS 4 /* kind, sender, hash of its incarnation, items */
/* service, number, rank, account, weight, returned, ms to the goal, ms left, tried */
#define SLOT_REQUEST_FIELDS 9
#define SLOT_ANSWER_FIELDS \
	4 /* number, kind, short id of the upstream, retry after ms */
#define SLOT_RELEASE_FIELDS 3 /* service, number, whether it was rejected */
/* An upstream in full, or only its id hash, stage, revision and start time. */
#define UPSTREAM_FIELDS 11
#define UPSTREAM_FIELDS_MIN 10 /* earlier builds send no software version */
#define STAGE_FIELDS 4

#define FETCH_CONFIG 1u
#define FETCH_UPSTREAMS 2u /* those in buckets whose digests differ */
#define FETCH_BY_ID_HASH 4u /* those listed by id hash */

/* Samples of an upstream's speed. */
typedef struct speed_sample {
	uint32_t short_id; /* of the upstream */
	unsigned int count;
	double log_mean;
} speed_sample_t;

/* Requests running at an upstream, of one gateway or of several. */
typedef struct load {
	uint32_t short_id; /* of the upstream */
	unsigned int running;
	double prefill_tokens;
} load_t;

/* Gateways that rank first and issue the grants of brittle upstreams. */
#define GRANT_CANDIDATES 24
#define GRANT_CANDIDATES_AGE (100 * PD_MSEC)

/* These gateways; recomputed every GRANT_CANDIDATES_AGE. */
typedef struct grant_candidates {
	GPtrArray *addresses; /* of char */
	GArray *hashes; /* of uint64_t: of the addresses */
	uint64_t generation; /* differs for other gateways */
	pd_time_t at; /* when they were computed */
	pd_time_t changed_at;
} grant_candidates_t;

/* The kinds of items that are sent to one gateway together, in the order of messages. */
typedef enum item_kind {
	ITEM_SLOT_REQUEST,
	ITEM_SLOT_ANSWER,
	ITEM_SLOT_RELEASE,
	ITEM_GRANT_ASK,
	ITEM_GRANT_ANSWER,
	ITEM_GRANT_REPORT,
	ITEM_KINDS /* number of kinds */
} item_kind_t;

/* Membership as seen by this gateway; recomputed every VIEW_MAX_AGE. */
typedef struct peer_view {
	pd_time_t at; /* when it was computed */
	unsigned int alive; /* live gateways, including this one */
	/* the same plus those lost within FLEET_MEMBER_TIMEOUT */
	unsigned int fleet_size;
	unsigned int rank; /* number of live gateways ranked before this one */
} peer_view_t;

typedef struct peer {
	list_node_t node;
	char *address; /* address:port */
	char *host;
	uint16_t port;
	guint hash; /* of the address, for ranking */
	char *incarnation; /* NULL: not heard from yet */
	char *vm_id; /* NULL: not heard from yet */
	bool seed;
	bool high_capacity; /* its VM has CPU and bandwidth for an aggregator */
	uint16_t zone; /* hash of its availability zone; 0: unknown */
	bool has_store; /* the store was serving it when last heard from */
	bool cut_off; /* it took no relays when last heard from */
	uint32_t slots_start; /* incarnation that last asked for slots; 0: none */
	uint16_t relay_port; /* where it takes relayed requests; 0: nowhere */
	bool handles_limits; /* it knows messages about upstreams' limits */
	pd_time_t limits_sent_at; /* when limits were last sent to it; 0: never */
	bool handles_quarantine; /* it knows messages about held requests */
	bool handles_streams; /* it knows messages about streams */
	bool knows_held; /* it was sent those held before it started */
	pd_time_t added_at;
	/* start of its process, as last reported; 0: never */
	pd_time_t started_at;
	pd_time_t heard_at; /* when it last sent a state or summary; 0: never */
	/* when another peer last listed it as live; 0: never */
	pd_time_t mentioned_at;
	/* when a summary with members was last sent to it */
	pd_time_t members_sent_at;
	/* not used as aggregator until then, as it did not answer */
	pd_time_t skipped_until;
	/* when a connection to it last failed; 0: never */
	pd_time_t disconnected_at;
	/* when one could last not be made; 0: never */
	pd_time_t unreachable_at;
	GArray *loads; /* of load_t */
	GHashTable *granted; /* account -> double, tokens */
	GHashTable *requested; /* account -> double, tokens */
	GHashTable *work; /* service -> double */
} peer_t;

struct gateway_peers {
	gateway_t *gateway;
	frame_link_t *link;
	char *address; /* of this gateway, with the port that it listens on */
	/* node id and a random number of this process start */
	char *incarnation;
	bool high_capacity;
	uint16_t zone; /* hash of this gateway's availability zone */
	list_node_t list; /* of peer_t */
	GHashTable *by_address; /* address -> peer_t; borrows both */
	peer_view_t view;
	/* number of gateways in the last summary */
	unsigned int summary_fleet_size;
	GHashTable *granted; /* account -> double: the sum over all peers */
	GHashTable *requested; /* account -> double: the sum over all peers */
	GHashTable *work; /* service -> double: the sum over all peers */
	/* loads of all gateways, cached for summaries */
	msgpack_sbuffer loads_packed;
	pd_time_t loads_packed_at;
	GArray *last_sent_loads; /* of load_t: own loads as last sent */
	GArray *speed_samples; /* of speed_sample_t: in the states of a period */
	guint speed_samples_from; /* turn of the upstreams with samples */
	pd_time_t speeds_updated_at;
	GHashTable *slot_outboxes; /* address -> items to send about slots and grants */
	pd_time_t started_at;
	pd_time_t next_state_at;
	pd_time_t next_full_state_at; /* when members and usage are sent next */
	/* when limit uses are sent next to the checkpoint writers */
	pd_time_t next_limit_uses_at;
	pd_time_t next_limits_at; /* when permits are requested next */
	pd_time_t limits_run_at; /* when they last were */
	pd_time_t limits_changed_at; /* when a limit last changed here */
	/* when counts were last sent to them; 0: never */
	pd_time_t counts_sent_at;
	/* time of the in-flight snapshot last sent to them */
	pd_time_t snapshot_sent_at;
	stream_record_t stream_records[STATE_STREAMS_MAX]; /* in the states of a period */
	unsigned int stream_record_count;
	pd_time_t next_streams_at; /* when records may be sent before the next state */
	/* addresses of the current writers; NULL: none */
	char *checkpoint_writers[CHECKPOINT_SLOTS];
	/* when a peer last sent counts; 0: never */
	pd_time_t counts_received_at;
	/* bucket levels were taken over from a longer-running peer */
	bool levels_adopted;
	/* address whose summaries are applied; NULL: peers' states are */
	char *aggregator;
	pd_time_t summary_received_at; /* when its last summary arrived */
	/* the same of any aggregator, or when this gateway began to follow one */
	pd_time_t summarized_at;
	GArray *aggregator_loads; /* of load_t, from that summary */
	char *leader; /* address of the leader; NULL: unknown */
	uint64_t leader_fence;
	bool is_leader;
	/* when the store last answered any gateway */
	pd_time_t store_answered_at;
	pd_time_t fetched_config_at;
	pd_time_t fetched_upstreams_at;
	/* since when a peer's digest differs; 0: it does not */
	pd_time_t diverged_since;
	pd_time_t fetch_backoff; /* before upstreams are fetched again */
	/* XOR of the two digests at the last fetch */
	uint64_t fetched_difference;
	GHashTable *pending_updates; /* ids of changed upstreams to send */
	/* id hash of an unknown upstream -> when it was requested */
	GHashTable *pending_fetches;
	GArray *stream_queries; /* of stream_query_t, until the store is read */
	grant_candidates_t grant_candidates;
	/* when expired ones were last removed */
	pd_time_t pending_fetches_pruned_at;
};

GHashTable *peers_values_create(void);
double *peers_value(GHashTable *values, const char *name);
peer_t *peers_find(gateway_peers_t *peers, const char *address);
peer_t *peers_add(gateway_peers_t *peers, const char *address);
bool peer_is_heard(const peer_t *peer, pd_time_t now);
bool peer_is_alive(const peer_t *peer, pd_time_t now);
void peers_remove_loads(gateway_peers_t *peers, GArray *loads);
void peers_pack_own_loads(msgpack_packer *packer, gateway_peers_t *peers);
void peers_pack_summed_loads(msgpack_sbuffer *buffer, gateway_peers_t *peers,
			     pd_time_t now);
void peers_receive_loads(gateway_peers_t *peers, GArray *loads,
			 const msgpack_object *object);
void peers_receive_summed_loads(gateway_peers_t *peers,
				const msgpack_object *object);
void peers_pack_rollouts(msgpack_sbuffer *buffer, const gateway_peers_t *peers);
void peers_send_rollouts(gateway_peers_t *peers, const peer_t *peer);
int peers_receive_rollouts(gateway_peers_t *peers, const msgpack_object *fields);
void peers_pack_rollout_counts(msgpack_sbuffer *buffer, msgpack_packer *packer,
			       const gateway_peers_t *peers, const peer_t *except);
void peers_receive_rollout_counts(gateway_peers_t *peers, const char *peer,
				  const msgpack_object *object);
void peers_run_speeds(gateway_peers_t *peers, pd_time_t now);
void peers_take_speed_samples(gateway_peers_t *peers);
void peers_pack_speed_samples(msgpack_packer *packer, const gateway_peers_t *peers);
void peers_pack_speed_levels(msgpack_packer *packer, const gateway_peers_t *peers);
void peers_receive_speed_samples(gateway_peers_t *peers,
				 const msgpack_object *object);
void peers_receive_speed_levels(gateway_peers_t *peers,
				const msgpack_object *object);
GHashTable *peers_slot_outboxes_create(void);
bool peers_pack_slots(msgpack_sbuffer *buffer, gateway_peers_t *peers,
		      const char *address, message_kind_t kind);
int peers_receive_slots(gateway_peers_t *peers, message_kind_t kind,
			const msgpack_object *fields);
void peers_remove_values(gateway_peers_t *peers, peer_t *peer);
const peer_view_t *peers_view(gateway_peers_t *peers, pd_time_t now);
bool peers_ranks_before(const gateway_peers_t *peers, const peer_t *other);
pd_time_t peers_state_period(gateway_peers_t *peers, pd_time_t now);
void peers_run_limits(gateway_peers_t *peers, pd_time_t now);
void peers_pack_limits(msgpack_sbuffer *buffer, const gateway_peers_t *peers,
		       message_kind_t kind, pd_time_t requested_at,
		       const upstream_limit_t *limits, unsigned int count);
int peers_receive_permit_request(gateway_peers_t *peers,
				 const msgpack_object *fields);
int peers_receive_permits(gateway_peers_t *peers, const msgpack_object *fields);
void peers_pack_stream_records(msgpack_sbuffer *out, msgpack_packer *packer,
			       const stream_record_t *records, unsigned int count);
GArray *peers_stream_queries_create(void);
void peers_pack_streams(msgpack_sbuffer *buffer, const gateway_peers_t *peers,
			const stream_record_t *records, unsigned int count);
void peers_pack_stream_query(msgpack_sbuffer *buffer, const gateway_peers_t *peers,
			     uint64_t attempt, const char *service);
void peers_take_stream_records(gateway_peers_t *peers);
void peers_merge_stream_records(gateway_peers_t *peers,
				const msgpack_object *object);
int peers_receive_streams(gateway_peers_t *peers, const msgpack_object *fields);
int peers_receive_stream_query(gateway_peers_t *peers,
			       const msgpack_object *fields);
void peers_pack_quarantine(msgpack_sbuffer *buffer, const gateway_peers_t *peers,
			   const quarantine_report_t *reports, unsigned int count);
void peers_repeat_quarantine(gateway_peers_t *peers);
void peers_send_held(gateway_peers_t *peers, peer_t *peer);
msgpack_packer *peers_begin_item(gateway_peers_t *peers, const char *address,
				 item_kind_t kind);
void peers_grant_candidates_init(grant_candidates_t *candidates);
void peers_grant_candidates_clear(grant_candidates_t *candidates);
void peers_receive_grant_ask(gateway_peers_t *peers, const char *sender,
			     const msgpack_object *object);
void peers_receive_grant_answer(gateway_peers_t *peers, const char *sender,
				const msgpack_object *object);
void peers_receive_grant_report(gateway_peers_t *peers, const char *sender,
				const msgpack_object *object);
void peers_pack_brittle(msgpack_sbuffer *buffer, const gateway_peers_t *peers);
void peers_send_brittle(gateway_peers_t *peers, const peer_t *peer);
int peers_receive_brittle(gateway_peers_t *peers, const msgpack_object *fields);
int peers_receive_quarantine(gateway_peers_t *peers, const msgpack_object *fields);
GPtrArray *peers_alive(const gateway_peers_t *peers, pd_time_t now);
void peers_spread(gateway_peers_t *peers, const msgpack_sbuffer *buffer,
		  pd_time_t now);
bool peers_is_mesh(gateway_peers_t *peers, pd_time_t now);
pd_time_t peers_store_silence_max(gateway_peers_t *peers, pd_time_t now);
unsigned int peers_top_ranked(const gateway_peers_t *peers, peer_t **first,
			      unsigned int most, pd_time_t now);
unsigned int peers_top_alive(const gateway_peers_t *peers, peer_t **first,
			     unsigned int most, pd_time_t now);
unsigned int peers_top_heard(const gateway_peers_t *peers, peer_t **first,
			     unsigned int most, pd_time_t now);
unsigned int peers_checkpoint_writers(gateway_peers_t *peers, peer_t **writers,
				      pd_time_t now);
void peers_send(const gateway_peers_t *peers, const peer_t *peer,
		const msgpack_sbuffer *buffer);
void peers_pack_state(msgpack_sbuffer *buffer, gateway_peers_t *peers,
		      bool request_summary, bool full);
void peers_pack_summary(msgpack_sbuffer *buffer, gateway_peers_t *peers,
			const peer_t *receiver, bool full);
void peers_send_state(gateway_peers_t *peers, peer_t *peer,
		      bool request_summary, bool full);
void peers_send_summary(gateway_peers_t *peers, peer_t *peer, bool full);
bool peers_snapshot_is_unsent(const gateway_peers_t *peers);
unsigned int peers_pack_counts(msgpack_sbuffer *buffer, gateway_peers_t *peers);
void peers_send_fetch(gateway_peers_t *peers, peer_t *peer, unsigned int what);
void peers_send_fetch_by_id_hash(gateway_peers_t *peers, peer_t *peer,
				 const GArray *id_hashes);
void peers_send_by_id_hash(gateway_peers_t *peers, peer_t *peer,
			   const GArray *id_hashes);
void peers_send_config(gateway_peers_t *peers, peer_t *peer);
void peers_send_announcement(gateway_peers_t *peers, peer_t *peer);
void peers_send_upstreams(gateway_peers_t *peers, peer_t *peer,
			  const uint64_t *digests);
void peers_pack_announcement(msgpack_packer *packer, const gateway_peers_t *peers);
void peers_pack_updates(msgpack_packer *packer, const gateway_peers_t *peers,
			GHashTable *ids);
int peers_receive(gateway_peers_t *peers, const char *data, size_t len);
uint64_t peers_config_version(const gateway_peers_t *peers);
uint64_t peers_digest(const gateway_peers_t *peers);

#endif
