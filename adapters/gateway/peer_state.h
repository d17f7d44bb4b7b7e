/* What the files of the peers' gossip share. Private to them. */
#ifndef PISTACHIO_PEER_STATE_H
#define PISTACHIO_PEER_STATE_H

#include <msgpack.h>

#include "adapters/frame_link.h"
#include "adapters/gateway/peers.h"
#include "adapters/msgpack_fields.h"

typedef enum message_kind {
	MESSAGE_STATE, /* what the sender itself did and knows */
	MESSAGE_SUMMARY, /* the same of all gateways but the receiver */
	MESSAGE_UPDATES, /* upstreams that changed */
	MESSAGE_ANNOUNCEMENT, /* the version of a configuration just taken */
	MESSAGE_CONFIG,
	MESSAGE_FETCH, /* asks for what the sender lacks */
	MESSAGE_COUNTS /* what changed since the last, to who keeps the record */
} message_kind_t;

/* The fields of a state and a summary, in their order on the wire. */
typedef enum state_field {
	STATE_KIND,
	STATE_ADDRESS,
	STATE_INCARNATION,
	STATE_WALL_TIME, /* time of day: the own clock's, in a summary the fleet's */
	STATE_CONFIG,
	STATE_DIGEST, /* of what is known of the upstreams */
	STATE_UPTIME, /* of the sender's process */
	STATE_FLAGS,
	STATE_STORE_ANSWER_AGE, /* since the store was last heard */
	STATE_LEADER, /* address of the holder of the duties */
	STATE_LEADER_FENCE, /* of that holder; the highest is the newest */
	STATE_FLEET_SIZE, /* of gateways that the sender counts */
	STATE_LIMIT_USES,
	STATE_WORK,
	STATE_LOADS,
	STATE_USAGE,
	STATE_MEMBERS,
	STATE_ENGINE_SPEEDS, /* at which engines read prompts, by service */
	STATE_ZONE, /* of the sender */
	STATE_CLOCK_STEP_AGE, /* since the sender's clock has jumped; 0: it has not */
	STATE_WATERMARK, /* the last window whose counts are all in usages; nil: none is */
	STATE_FIELDS /* how many there are */
} state_field_t;

#define STATE_FLAG_HAS_STORE 1u
#define STATE_FLAG_HIGH_CAPACITY 2u
#define STATE_FLAG_ASKS 4u /* for a summary in return */

/*
 * Members and usage need not be as fresh as loads, but they must come several times
 * before a mention runs out, whatever the period of the messages is.
 */
#define PEERS_FULL_PERIOD (1600 * PD_MSEC)

/* So many gateways go first: two sum up, and three watch the store. */
#define AGGREGATORS 2
#define STORE_WATCHERS 3
/*
 * Members that one message names: in larger fleets those that go first, and
 * others at random. Naming all, messages would grow with the fleet.
 */
#define MEMBERS_LISTED_MAX 100
/* Upstreams whose loads one message names; of the others it tells the mean. */
#define LOADS_LISTED_MAX 128
/* A peer not heard of for so long no longer counts as one of the fleet. */
#define FLEET_MEMBER_TIMEOUT (60 * PD_SEC)
/*
 * Prompt tokens in a load are told in this unit: one byte for most upstreams,
 * and finer than one request's part of a prompt.
 */
#define PREFILL_UNIT_TOKENS 64
#define LOAD_FIELDS 3 /* of a load: mark, running, units to read */

#define UPDATES_FIELDS 4 /* kind, sender, whether these are all, upstreams */
#define FETCH_FIELDS 4 /* kind, sender, what, digests or marks */
#define MEMBER_FIELDS 3 /* address, whether it is strong, zone */
#define LIMIT_USE_FIELDS 4 /* account, total, level or nil, asked */
#define COUNTS_FIELDS 6 /* kind, sender, its start, usage, limits, in flight */
#define USAGE_FIELDS 3 /* window, account, count */
/* An upstream in full, and just its mark, stage, revision and start. */
#define UPSTREAM_FIELDS 10
#define STAGE_FIELDS 4

#define FETCH_CONFIG 1u
#define FETCH_UPSTREAMS 2u /* those of the parts whose digests differ */
#define FETCH_BY_ID_HASH 4u /* those that are named */

/* What gateways have running at an upstream. */
typedef struct load {
	uint32_t short_id; /* of the upstream */
	unsigned int running;
	double prefill_tokens;
} load_t;

/* What follows from who is alive; worked out anew every so often. */
typedef struct peer_view {
	pd_time_t at; /* when that was */
	unsigned int alive; /* gateways, this one included */
	unsigned int fleet_size; /* also those that were lost lately */
	unsigned int rank; /* live gateways that go before this one */
} peer_view_t;

typedef struct peer {
	list_node_t node;
	char *address; /* address:port */
	char *host;
	uint16_t port;
	guint hash; /* of the address, for ranks */
	char *incarnation; /* NULL: not heard yet */
	char *vm_id; /* NULL: not heard yet */
	bool seed;
	bool high_capacity; /* its VM has a processor and a link to spare */
	uint16_t zone; /* a hash of its availability zone; 0: unknown */
	bool has_store; /* it was being served when last heard */
	pd_time_t added_at;
	pd_time_t started_at; /* its process, as it said last; 0: never */
	pd_time_t heard_at; /* 0: never */
	pd_time_t mentioned_at; /* by another peer that hears it; 0: never */
	pd_time_t members_sent_at; /* when it was told the members last, as a summary */
	pd_time_t skipped_until; /* as an aggregator, for it did not answer */
	pd_time_t disconnected_at; /* when a connection to it failed; 0: never */
	GArray *loads; /* of load_t */
	GHashTable *granted; /* account -> double */
	GHashTable *requested; /* account -> double */
	GHashTable *work; /* service -> double */
} peer_t;

struct gateway_peers {
	gateway_t *gateway;
	frame_link_t *link;
	char *address; /* of this gateway, with the port it was given */
	char *incarnation; /* the node's id and a number of this start */
	bool high_capacity;
	uint16_t zone; /* a hash of the availability zone */
	list_node_t list; /* of peer_t */
	GHashTable *by_address; /* address -> peer_t; borrows both */
	peer_view_t view;
	unsigned int summary_fleet_size; /* gateways, as the aggregator counts them */
	GHashTable *granted; /* account -> double: the sum over all peers */
	GHashTable *requested; /* account -> double: the same */
	GHashTable *work; /* service -> double: the same */
	msgpack_sbuffer loads_packed; /* the loads of all, for summaries */
	pd_time_t loads_packed_at;
	GArray *last_sent_loads; /* of load_t: own ones, as last told */
	pd_time_t started_at;
	pd_time_t next_state_at;
	pd_time_t next_full_state_at; /* when members and usage are told next */
	pd_time_t next_limit_uses_at; /* when the use of limits is sent next to the writers */
	pd_time_t counts_sent_at; /* when they were sent counts last; 0: never */
	pd_time_t snapshot_sent_at; /* when what they were sent last was in flight */
	char *counts_receivers[CHECKPOINT_SLOTS]; /* who those were last; NULL: none */
	pd_time_t counts_received_at; /* when others' counts came last; 0: never */
	bool levels_adopted; /* levels of buckets, from an older peer */
	char *aggregator; /* whose summaries are followed; NULL: peers are heard */
	pd_time_t summary_received_at; /* when its last summary came */
	GArray *aggregator_loads; /* of load_t, from that summary */
	char *leader; /* address of the duties' holder; NULL: unknown */
	uint64_t leader_fence;
	bool is_leader;
	pd_time_t store_answered_at; /* by anybody */
	pd_time_t fetched_config_at;
	pd_time_t fetched_upstreams_at;
	pd_time_t diverged_since; /* from what a peer knows; 0: it did not */
	pd_time_t fetch_backoff; /* before upstreams are fetched again */
	uint64_t fetched_difference; /* the two digests that differed then */
	GHashTable *pending_updates; /* ids of upstreams to tell about */
	GHashTable *pending_fetches; /* mark of an unknown upstream -> when it was asked for */
	pd_time_t pending_fetches_pruned_at; /* when old ones were dropped last */
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
void peers_remove_values(gateway_peers_t *peers, peer_t *peer);
const peer_view_t *peers_view(gateway_peers_t *peers, pd_time_t now);
bool peers_is_mesh(gateway_peers_t *peers, pd_time_t now);
pd_time_t peers_store_silence_max(gateway_peers_t *peers, pd_time_t now);
unsigned int peers_top_ranked(const gateway_peers_t *peers, peer_t **first,
			      unsigned int most, pd_time_t now);
unsigned int peers_checkpoint_writers(gateway_peers_t *peers, peer_t **writers,
				      pd_time_t now);
void peers_send(const gateway_peers_t *peers, const peer_t *peer,
		const msgpack_sbuffer *buffer);
void peers_pack_state(msgpack_sbuffer *buffer, gateway_peers_t *peers,
		      bool asks, bool full);
void peers_pack_summary(msgpack_sbuffer *buffer, gateway_peers_t *peers,
			const peer_t *receiver, bool full);
void peers_send_state(gateway_peers_t *peers, peer_t *peer, bool asks, bool full);
void peers_send_summary(gateway_peers_t *peers, peer_t *peer, bool full);
bool peers_snapshot_is_unsent(const gateway_peers_t *peers);
unsigned int peers_pack_counts(msgpack_sbuffer *buffer, gateway_peers_t *peers);
void peers_send_fetch(gateway_peers_t *peers, peer_t *peer, unsigned int what);
void peers_send_fetch_by_id_hash(gateway_peers_t *peers, peer_t *peer,
				 const GArray *id_hashes);
void peers_send_by_id_hash(gateway_peers_t *peers, peer_t *peer,
			   const GArray *id_hashes);
void peers_send_config(gateway_peers_t *peers, peer_t *peer);
void peers_send_upstreams(gateway_peers_t *peers, peer_t *peer,
			  const uint64_t *digests);
void peers_pack_announcement(msgpack_packer *packer, const gateway_peers_t *peers);
void peers_pack_updates(msgpack_packer *packer, const gateway_peers_t *peers,
			GHashTable *ids);
int peers_receive(gateway_peers_t *peers, const char *data, size_t len);
uint64_t peers_config_version(const gateway_peers_t *peers);
uint64_t peers_digest(const gateway_peers_t *peers);

#endif
