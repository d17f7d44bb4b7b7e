/*
 * Schedules an idempotent call: periodically, and while the store answers late
 * or not at all, without waiting for the calls in flight. It serves a store
 * that loses answers or has become slow.
 */
#ifndef PISTACHIO_CALL_PACER_H
#define PISTACHIO_CALL_PACER_H

#include <stdbool.h>

#include "ports/clock.h"

/*
 * Enough for calls every 30 ms that time out after 1.5 s, with room to spare:
 * calls that hang must leave places for others.
 */
#define CALL_PACER_IN_FLIGHT_MAX 64

typedef struct call_pacer call_pacer_t;

typedef enum call_end {
	CALL_ANSWERED,
	CALL_REFUSED, /* the store answered with a refusal */
	CALL_LOST /* no answer came */
} call_end_t;

call_pacer_t *call_pacer_create(pd_time_t period);
void call_pacer_destroy(call_pacer_t *pacer);
void call_pacer_set_period(call_pacer_t *pacer, pd_time_t period);
bool call_pacer_is_due(const call_pacer_t *pacer, pd_time_t now);
bool call_pacer_is_regular(const call_pacer_t *pacer);
pd_time_t call_pacer_answer_time(const call_pacer_t *pacer);
void call_pacer_set_answer_time(call_pacer_t *pacer, pd_time_t answer_time);
unsigned int call_pacer_begin(call_pacer_t *pacer, pd_time_t now);
void call_pacer_end(call_pacer_t *pacer, unsigned int call, call_end_t end,
		    pd_time_t now);
void call_pacer_reset(call_pacer_t *pacer, pd_time_t now);
void call_pacer_make_due(call_pacer_t *pacer);
void call_pacer_postpone(call_pacer_t *pacer, pd_time_t now);

#endif
