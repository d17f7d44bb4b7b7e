/*
 * The true time of day, by the middle of what this entry and its peers hold it
 * to be: a VM whose clock jumps by seconds would count requests in the wrong
 * window, and seen by others would report a window that has not ended.
 */
#ifndef PISTACHIO_TIME_VOTE_H
#define PISTACHIO_TIME_VOTE_H

#include <glib.h>

#include "ports/clock.h"

typedef struct time_vote time_vote_t;

time_vote_t *time_vote_create(void);
void time_vote_destroy(time_vote_t *vote);
void time_vote_hear(time_vote_t *vote, const char *who, pd_time_t wall,
		    pd_time_t now);
void time_vote_follow(time_vote_t *vote, pd_time_t wall, pd_time_t now);
pd_time_t time_vote_wall(const time_vote_t *vote, pd_time_t own_wall,
			 pd_time_t now);

#endif
