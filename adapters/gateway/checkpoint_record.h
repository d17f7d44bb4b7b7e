/*
 * Checkpoint record: what a restarted fleet needs to know of the previous one.
 * It has the number of gateways, the leader, what is left of accounts' limits,
 * the clocks that are off, and which services ran one software version only.
 */
#ifndef PISTACHIO_GATEWAY_CHECKPOINT_RECORD_H
#define PISTACHIO_GATEWAY_CHECKPOINT_RECORD_H

#include <glib.h>

#include "core/error.h"
#include "core/forward/rollout.h"
#include "ports/clock.h"

/* State of an account's limit. */
typedef struct account_record {
	char *account;
	double level; /* of the bucket shared by all gateways, in tokens */
	double demand; /* tokens per second, including rejected requests */
} account_record_t;

/* Offset of a gateway's clock ahead of the fleet's time. */
typedef struct clock_record {
	char *node; /* id of the gateway's VM */
	pd_time_t offset;
} clock_record_t;

/* A service of which only one software version served lately. */
typedef struct version_record {
	char *service;
	uint64_t version_id; /* as forward_upstream_t has it */
} version_record_t;

/* A roll-out that runs, and the requests that it has had so far. */
typedef struct rollout_record {
	rollout_report_t report; /* owns its strings */
	uint64_t sent_new;
	uint64_t sent_all;
} rollout_record_t;

/* An upstream whose speed is not the usual one of its service. */
typedef struct speed_record {
	uint32_t short_id;
	int level; /* as upstream_speed_t has it */
} speed_record_t;

typedef struct checkpoint_record {
	unsigned int fleet_size; /* number of gateways that share the limits */
	char *leader; /* id of its VM; NULL: unknown */
	pd_time_t written_at; /* time of day; 0: unknown */
	/*
	 * time of day of the last write before the writer's start; 0: unknown
	 */
	pd_time_t previous_write_at;
	GArray *accounts; /* of account_record_t */
	GArray *clocks; /* of clock_record_t */
	GArray *versions; /* of version_record_t */
	uint64_t upstreams_revision; /* of the store, as of which they are; 0: unknown */
	GArray *rollouts; /* of rollout_record_t */
	GArray *speeds; /* of speed_record_t */
} checkpoint_record_t;

checkpoint_record_t *checkpoint_record_create(void);
checkpoint_record_t *checkpoint_record_parse(const char *text, pd_error_t *err);
void checkpoint_record_destroy(checkpoint_record_t *record);
void checkpoint_record_add_account(checkpoint_record_t *record, const char *account,
				   double level, double demand);
void checkpoint_record_add_clock(checkpoint_record_t *record, const char *node,
				 pd_time_t offset);
void checkpoint_record_add_version(checkpoint_record_t *record,
				   const char *service, uint64_t version_id);
void checkpoint_record_add_rollout(checkpoint_record_t *record,
				   const rollout_report_t *report,
				   uint64_t sent_new, uint64_t sent_all);
void checkpoint_record_add_speed(checkpoint_record_t *record, uint32_t short_id,
				 int level);
char *checkpoint_record_format(const checkpoint_record_t *record);
char *checkpoint_record_stamp(const char *text, pd_time_t at);

#endif
