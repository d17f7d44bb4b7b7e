/*
 * Roll-outs: an operator orders that the requests for a service move to upstreams of
 * another software version within a period. The new version gets a small share of the
 * requests first, on few upstreams, so that one that fails or is slow under load harms
 * few callers; it is compared with the old version throughout, and gets the rest shortly
 * before the deadline, or nothing. docs/design/rollouts.md has the reasons and the bound.
 *
 * All times are those of the fleet, a time of day that all gateways agree on.
 */
#ifndef PISTACHIO_ROLLOUT_H
#define PISTACHIO_ROLLOUT_H

#include <glib.h>

#include "core/forward/rollout_judge.h"

/* The bounds on what a bad version may get. */
typedef struct rollout_settings {
	double exposure_share; /* of the requests from the order to its deadline */
	double exposure_slack; /* requests more */
	/* after its 50th bad answer, in which it may still get requests */
	pd_time_t rollback_time;
} rollout_settings_t;

/* A longer period is an error. */
#define ROLLOUT_PERIOD_MAX (24 * 3600 * PD_SEC)

typedef enum rollout_step {
	ROLLOUT_CANARY,
	ROLLOUT_QUARTER,
	ROLLOUT_HALF,
	ROLLOUT_FULL,
	ROLLOUT_STEPS /* number of steps */
} rollout_step_t;

/* As the store has it. */
typedef enum rollout_state {
	ROLLOUT_RUNNING,
	ROLLOUT_COMPLETED,
	ROLLOUT_ROLLED_BACK
} rollout_state_t;

/* An operator's order, as read from the store. */
typedef struct rollout_order {
	const char *service;
	const char *to; /* software version, as upstreams register it */
	pd_time_t period; /* from the order to its deadline */
	uint64_t revision; /* of the object */
	bool has_state; /* its status is about this version */
	rollout_state_t state;
} rollout_order_t;

/* What gateways send each other about a roll-out. */
typedef struct rollout_report {
	const char *service;
	const char *to;
	uint64_t revision; /* of the order; a newer one replaces the roll-out */
	pd_time_t ordered_at;
	pd_time_t period;
	rollout_step_t step; /* only grows */
	rollout_state_t state;
	bool bad; /* the new version was found to be bad; never taken back */
	uint64_t heartbeat; /* of the leader; only grows */
} rollout_report_t;

/* Requests and answers on one route and version, counted by one gateway or several. */
typedef struct rollout_count {
	const char *service;
	uint64_t to_id; /* id of the new version */
	uint32_t route; /* hash of its name */
	bool is_new; /* of the new version, else of all others */
	rollout_tally_t tally;
} rollout_count_t;

/* The versions that a request may use; 0: no restriction. */
typedef struct rollout_use {
	uint64_t only; /* version id */
	uint64_t except; /* version id */
	/* part of the upstreams of ONLY that are used; 1: all */
	double upstreams_part;
	/*
	 * If no upstream can be chosen, the other versions may be used. Without this, they
	 * may be used instead of ONLY if none of its upstreams serves.
	 */
	bool may_fall_back;
} rollout_use_t;

/* A service's upstreams, by the loads that all gateways reported. */
typedef struct rollout_fleet {
	unsigned int old_serving;
	unsigned int old_running; /* requests that run at upstreams of other versions */
	unsigned int new_serving;
} rollout_fleet_t;

/* A status that the leader is to write. */
typedef struct rollout_write {
	const char *service;
	const char *to;
	uint64_t revision;
	rollout_state_t state;
} rollout_write_t;

typedef struct rollouts rollouts_t;

typedef void (*rollouts_report_each_t)(void *ctx, const rollout_report_t *report);
typedef void (*rollouts_count_each_t)(void *ctx, const rollout_count_t *count);
typedef rollout_fleet_t (*rollouts_fleet_t)(void *ctx, const char *service,
					    uint64_t new_version_id);
typedef void (*rollouts_write_t)(void *ctx, const rollout_write_t *write);

/* What a run needs to know and to do. */
typedef struct rollouts_hooks {
	rollouts_fleet_t fleet;
	rollouts_write_t write; /* only called on the leader */
	void *ctx;
} rollouts_hooks_t;

rollouts_t *rollouts_create(const rollout_settings_t *settings);
void rollouts_destroy(rollouts_t *rollouts);
void rollouts_configure(rollouts_t *rollouts, const rollout_settings_t *settings);
bool rollouts_is_enabled(const rollouts_t *rollouts);
uint64_t rollout_version_id(const char *service, const char *version);

bool rollouts_apply_order(rollouts_t *rollouts, const rollout_order_t *order,
			  pd_time_t now);
void rollouts_remove_order(rollouts_t *rollouts, const char *service,
			   uint64_t revision);
bool rollouts_set_known_revision(rollouts_t *rollouts, uint64_t revision);
uint64_t rollouts_known_revision(const rollouts_t *rollouts);
bool rollouts_merge(rollouts_t *rollouts, const rollout_report_t *report,
		    pd_time_t now);
void rollouts_restore(rollouts_t *rollouts, const rollout_report_t *report,
		      uint64_t sent_new, uint64_t sent_all, pd_time_t now);
void rollouts_each(const rollouts_t *rollouts, rollouts_report_each_t each,
		   void *ctx);
void rollouts_sent(const rollouts_t *rollouts, const char *service,
		   uint64_t *sent_new, uint64_t *sent_all);

bool rollouts_record_version(rollouts_t *rollouts, const char *service,
			     uint64_t version_id, uint64_t revision,
			     pd_time_t now);
bool rollouts_has_held_version(const rollouts_t *rollouts, pd_time_t now);
bool rollouts_restrict(const rollouts_t *rollouts, const char *service);
rollout_use_t rollouts_choose(const rollouts_t *rollouts, const char *service,
			      double draw, pd_time_t now);

void rollouts_record_send(rollouts_t *rollouts, const char *service,
			  const char *route, uint64_t version_id);
void rollouts_record_answer(rollouts_t *rollouts, const char *service,
			    const char *route, uint64_t version_id, bool failed,
			    const rollout_times_t *times);
void rollouts_record_abandoned(rollouts_t *rollouts, const char *service,
			       const char *route, uint64_t version_id,
			       const rollout_times_t *times);
bool rollouts_is_counting(const rollouts_t *rollouts);
void rollouts_each_own_count(const rollouts_t *rollouts,
			     rollouts_count_each_t each, void *ctx);
void rollouts_each_sum(const rollouts_t *rollouts, const char *except_peer,
		       rollouts_count_each_t each, void *ctx);
void rollouts_record_peer(rollouts_t *rollouts, const char *peer,
			  const rollout_count_t *count);
void rollouts_clear_peers(rollouts_t *rollouts);

bool rollouts_run(rollouts_t *rollouts, bool is_leader,
		  const rollouts_hooks_t *hooks, pd_time_t now);

#endif
