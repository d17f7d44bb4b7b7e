/*
 * The workload and the faults of a scenario, for sites of two sizes. The calls
 * depend only on the seed, so that every policy is given the same ones.
 */
#ifndef PISTACHIO_BENCH_SCENARIO_H
#define PISTACHIO_BENCH_SCENARIO_H

#include <glib.h>

#include "core/bundle.h"

#define ACCOUNT_COUNT 5
#define URGENT_ACCOUNT \
	0 /* the others are normal, except for one batch account */
#define LARGE_ACCOUNT 1
#define BATCH_ACCOUNT 2

typedef struct site {
	const char *name;
	unsigned int engines;
	unsigned int entries;
	unsigned int zones;
	unsigned int prefixes;
} site_t;

typedef enum scenario_kind {
	SCENARIO_DAY,
	SCENARIO_BURST,
	SCENARIO_LAG,
	SCENARIO_FLOOD,
	SCENARIO_OVERLOAD,
	SCENARIO_ONE_ZONE,
	SCENARIO_TWO_ZONES,
	SCENARIO_UNEVEN, /* one entry receives all calls */
	SCENARIO_COUNT
} scenario_kind_t;

typedef struct scenario {
	scenario_kind_t kind;
	unsigned int reclaimed_zones;
	const char *name;
	double load; /* offered load, as a fraction of the capacity */
	pd_time_t duration; /* for which calls arrive */
	pd_time_t report_lag;
	double limit_factor; /* account rate limit / normal rate */
} scenario_t;

typedef struct call {
	pd_time_t at;
	unsigned int account;
	priority_t priority;
	unsigned int prompt; /* tokens */
	uint64_t prefix;
	unsigned int tokens; /* of the response */
	GBytes *body;
	/* The result. */
	pd_time_t first_at; /* 0: no token received */
	pd_time_t done_at; /* 0: not completed */
	unsigned int attempts; /* dispatched so far */
	unsigned int received_tokens;
	bool refused;
	pd_time_t refused_at;
	pd_time_t retry_after;
} call_t;

extern const site_t sites[2];
extern const scenario_t scenario_table[SCENARIO_COUNT];

double site_capacity(const site_t *site);
double account_rate(const site_t *site, unsigned int account);
GArray *scenario_calls(const site_t *site, const scenario_t *scenario,
		       uint32_t seed);
void scenario_calls_free(GArray *calls);

#endif
