/*
 * Records calls and their outcomes and compares them with the stand-ins' records of
 * what they ran. It reads nothing from the system under test.
 */
#ifndef PISTACHIO_TEST_HISTORY_H
#define PISTACHIO_TEST_HISTORY_H

#include "tests/harness/fleet.h"

typedef struct history history_t;

/* Numbers of calls by outcome, and of violated guarantees. */
typedef struct history_stats {
	unsigned int answered;
	unsigned int not_run;
	unsigned int outcome_unknown;
	unsigned int unknown_but_not_run; /* of those, calls that never ran */
	unsigned int refused; /* other problems and statuses */
	unsigned int broken; /* connection lost without a final event */
	unsigned int keys_run_twice;
	unsigned int not_run_but_ran;
	unsigned int wrong_answers;
} history_stats_t;

history_t *history_create(fleet_t *fleet);
void history_destroy(history_t *history);
void history_add_completion(history_t *history, call_t *call,
			    const char *prompt, unsigned int tokens);
void history_add_station_call(history_t *history, call_t *call, const char *key);
void history_wait(history_t *history);
history_stats_t history_check(history_t *history);
void history_assert_guarantees(const history_stats_t *stats);

#endif
