/*
 * Up to which revision of the store this gateway has read every registration of an
 * upstream, without a gap, and as of when that was all there was. What a gateway that is
 * out of touch has not read can't be told from what does not exist, however short the
 * time, so a conclusion from all registrations needs a read that began after the question.
 */
#ifndef PISTACHIO_FORWARD_REGISTRATION_HISTORY_H
#define PISTACHIO_FORWARD_REGISTRATION_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "ports/clock.h"

/* A read that was requested longer ago is of no use to anybody. */
#define REGISTRATION_READ_MAX PD_SEC

typedef struct registration_history registration_history_t;

registration_history_t *registration_history_create(void);
void registration_history_destroy(registration_history_t *history);
void registration_history_begin(registration_history_t *history, uint64_t revision);
void registration_history_lose(registration_history_t *history);
bool registration_history_is_known(const registration_history_t *history);
void registration_history_advance(registration_history_t *history,
				  uint64_t from, uint64_t to);
void registration_history_request(registration_history_t *history, pd_time_t now);
uint64_t registration_history_next_read(registration_history_t *history,
					pd_time_t now);
bool registration_history_end_read(registration_history_t *history,
				   uint64_t revision, bool is_last);
void registration_history_fail_read(registration_history_t *history);
bool registration_history_is_current(const registration_history_t *history,
				     pd_time_t since);
bool registration_history_is_wanted(const registration_history_t *history,
				    pd_time_t now);

#endif
