/*
 * Decides which requests to refuse while the engines of a service are
 * overloaded: the least urgent first, and only as many as necessary.
 * shed-notes.md compares the methods.
 */
#ifndef PISTACHIO_SHED_H
#define PISTACHIO_SHED_H

#include <stdbool.h>

#include "core/forward/account_shares.h"
#include "ports/clock.h"

#define SHED_RANKS 10 /* 0 is the most urgent */

typedef struct shed shed_t;

/* How much of a service's capacity is in use. */
typedef struct shed_utilization {
	/* requests by slots; over 1: requests queue at the upstreams */
	double ratio;
	/* the requests of other gateways are counted too */
	bool includes_peers;
} shed_utilization_t;

/* The ranks that requests of an account may have. */
typedef struct shed_ranks {
	int first;
	int count;
} shed_ranks_t;

shed_t *shed_create(void);
void shed_destroy(shed_t *shed);
bool shed_admit(shed_t *shed, int rank, double work, double draw);
bool shed_admit_account(shed_t *shed, int rank,
			const account_request_t *request, double draw);
double shed_expected_work(const shed_t *shed, const char *account,
			  const shed_ranks_t *ranks);
void shed_set_account_demand(shed_t *shed, const fleet_demand_t *demand,
			     const shed_ranks_t *ranks);
account_counts_t shed_count_accounts(shed_t *shed);
void shed_record_outcome(shed_t *shed, bool overloaded);
bool shed_update_is_due(const shed_t *shed, pd_time_t now);
bool shed_update(shed_t *shed, const shed_utilization_t *utilization,
		 pd_time_t now);
double shed_admitted_share(const shed_t *shed);
double shed_overload_ratio(const shed_t *shed);

#endif
