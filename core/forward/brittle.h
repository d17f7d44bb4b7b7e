/*
 * Grants for requests to brittle upstreams, which fail when they have to reject more than a
 * few requests in a second. It answers the load of many gateways that fill such upstreams:
 * one gateway issues the grants of an upstream, so that all together exceed neither the
 * room that it has nor the rejections that it bears.
 * brittle-notes.md argues the bounds.
 */
#ifndef PISTACHIO_FORWARD_BRITTLE_H
#define PISTACHIO_FORWARD_BRITTLE_H

#include <stdbool.h>
#include <stdint.h>

#include "ports/clock.h"

/* A granted request is sent so soon after the gateway asked, or not at all. */
#define BRITTLE_GRANT_TTL (600 * PD_MSEC)
/* A request that was not rejected so soon after it was sent was admitted. */
#define BRITTLE_SETTLE_TIME (60 * PD_MSEC)
/* The largest number of rejections in a second that an upstream is taken to bear. */
#define BRITTLE_REJECTIONS_MAX 1000

/* A request of a gateway for a grant. */
typedef struct brittle_ask {
	const char *gateway; /* address of the one that asks */
	uint32_t number; /* unique at that gateway */
	uint32_t short_id; /* of the upstream */
	unsigned int slots; /* that the upstream registered */
	unsigned int rejections_max; /* in a second that it bears; at least 1 */
	pd_time_t time_left; /* until the request's deadline */
} brittle_ask_t;

/* The answer to an ask. */
typedef struct brittle_answer {
	uint32_t number; /* of the ask */
	bool granted;
	pd_time_t retry_after; /* of a denial: when to ask again */
} brittle_answer_t;

/* What became of a granted request. */
typedef enum brittle_outcome {
	BRITTLE_ADMITTED, /* it runs or waits there */
	BRITTLE_ENDED, /* it ended, or was not sent */
	BRITTLE_REJECTED,
	BRITTLE_LOST /* it ended without an answer */
} brittle_outcome_t;

/* Figures for metrics. */
typedef struct brittle_stats {
	uint64_t granted;
	uint64_t denied;
	uint64_t rejected;
} brittle_stats_t;

typedef struct brittle_issuer brittle_issuer_t;

/* Returns whether this gateway still issues an upstream's grants; must not call the issuer. */
typedef bool (*brittle_keep_fn_t)(void *ctx, uint32_t short_id);

unsigned int brittle_find_issuer(uint64_t upstream_hash, const uint64_t *hashes,
				 unsigned int count);
brittle_issuer_t *brittle_issuer_create(void);
void brittle_issuer_destroy(brittle_issuer_t *issuer);
bool brittle_issuer_request(brittle_issuer_t *issuer, const brittle_ask_t *ask,
			    pd_time_t issues_since, pd_time_t now,
			    pd_time_t *retry_after);
void brittle_issuer_report(brittle_issuer_t *issuer, const char *gateway,
			   uint32_t short_id, uint32_t number,
			   brittle_outcome_t outcome, pd_time_t now);
void brittle_issuer_remove_gateway(brittle_issuer_t *issuer,
				   const char *gateway, pd_time_t now);
void brittle_issuer_set_share(brittle_issuer_t *issuer, double share,
			      pd_time_t now);
void brittle_issuer_filter(brittle_issuer_t *issuer, brittle_keep_fn_t keep,
			   void *ctx);
void brittle_issuer_run(brittle_issuer_t *issuer, pd_time_t now);
unsigned int brittle_issuer_room(const brittle_issuer_t *issuer, uint32_t short_id);
const brittle_stats_t *brittle_issuer_stats(const brittle_issuer_t *issuer);

#endif
